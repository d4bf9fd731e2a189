"""Random schedules over the fleet modules, and the checks on their history."""

import dataclasses
import os

import hypothesis
from hypothesis import strategies

from clementinewood import capacity, fleet, fleet_fold, fleet_record, rollout
from features import fleet_check, fleet_harness

APPLIED = fleet_fold.Outcome.APPLIED
HOSTS = [f"{pool}-{i}" for pool in fleet_harness.POOLS for i in range(4)]
EXAMPLES = int(os.environ.get("FLEET_EXAMPLES", "200"))
LENGTH = 50

ZONES = fleet_harness.ZONES
ACTIONS = {
    "advance": (8, [range(2, 9)]),
    "task": (3, [HOSTS, range(2, 61)]),
    "need": (2, [fleet_harness.POOLS[:2], range(9)]),
    "fail": (1, [HOSTS, range(5, 61)]),
    "fail_rack": (1, [HOSTS]),
    "fail_zone": (1, [ZONES]),
    "zone_out": (1, [ZONES]),
    "zones_in": (1, []),
    "log": (1, [(False, True)]),
    "pause": (1, [(0, 1)]),
    "resume": (2, [(0, 1)]),
    "race": (2, [(0, 1), HOSTS, range(7)]),
    "observe": (1, []),
    "repeat": (1, [range(1, 10)]),
    "publish_race": (1, []),
    "revision": (1, []),
    "signal": (1, [ZONES, (False, True)]),
    "stay_down": (1, [HOSTS]),
    "sick": (1, [HOSTS, (False, True)]),
    "flap": (1, [HOSTS]),
    "replace": (1, [(0, 1)]),
}
"""Weight of every action and the choices for its arguments."""

NAMES = [name for name, (weight, _) in ACTIONS.items() for _ in range(weight)]
CHOICES = 2**20


def create_action(name, number):
    """Returns an action; `number` selects its arguments."""
    arguments = []
    for choices in ACTIONS[name][1]:
        number, index = divmod(number, len(choices))
        arguments.append(choices[index])
    return (name, *arguments)


SCHEDULES = strategies.lists(
    strategies.builds(
        create_action,
        strategies.sampled_from(NAMES),
        strategies.integers(0, CHOICES),
    ),
    min_size=LENGTH,
    max_size=LENGTH,
)


@dataclasses.dataclass
class Run:
    """One schedule over one harness."""

    harness: fleet_harness.FleetHarness
    checker: fleet_check.Checker
    steps: int = 0

    def execute(self, action):
        name, *arguments = action
        getattr(self, f"do_{name}")(*arguments)
        self.steps += 1
        self.checker.sample()
        self.checker.check_pools()

    def do_advance(self, seconds):
        self.harness.advance(seconds)

    def do_task(self, worker, seconds):
        self.harness.start_task(worker, seconds)

    def do_fail(self, worker, seconds):
        self.harness.fail(worker, seconds=seconds)

    def do_fail_rack(self, worker):
        rack = self.harness.hosts[worker].worker.rack
        self.fail_all(lambda w: w.rack == rack)

    def do_fail_zone(self, place):
        self.fail_all(lambda w: w.zone == place)

    def fail_all(self, lost):
        for worker, machine in self.harness.hosts.items():
            if lost(machine.worker):
                self.harness.fail(worker, seconds=60)

    def declare(self, **changes):
        declaration = self.harness.truth.declaration
        return dataclasses.replace(declaration, **changes)

    def do_zone_out(self, place):
        out = self.harness.truth.declaration.zones_out | {place}
        if len(out) < len(fleet_harness.ZONES):
            self.harness.publish(self.declare(zones_out=out))

    def do_zones_in(self):
        self.harness.publish(self.declare(zones_out=frozenset()))

    def do_revision(self):
        revision = self.harness.truth.bundle_version + 1
        pools = {
            pool: dataclasses.replace(spec, revision=revision)
            for pool, spec in self.harness.truth.declaration.pools.items()
        }
        self.harness.publish(self.declare(pools=pools))

    def do_need(self, pool, hosts):
        self.harness.needs[pool] = capacity.DEFAULT.scale(hosts)

    def do_log(self, up):
        self.harness.log_up = up

    def do_pause(self, number):
        """The node stops between its decision and its append."""
        entry = self.harness.nodes[number]
        if not entry.paused:
            entry.plan(lease=False)
            entry.paused = True

    def do_resume(self, number):
        entry = self.harness.nodes[number]
        entry.paused = False
        self.harness.flush(entry)

    def do_observe(self):
        """Reports arrive before the next planning round."""
        self.harness.deliver()
        self.harness.deliver()

    def do_race(self, number, worker, hosts):
        """Nodes plan on evidence that differs; their records interleave.

        One node misses a host, and it estimates another demand.
        """
        entry = self.harness.nodes[number]
        if hosts:
            need = capacity.DEFAULT.scale(hosts)
            entry.needs = {**self.harness.needs, "west": need}
        else:
            seen = self.harness.hosts[worker].report(self.harness.now)
            entry.fleet.observe(
                dataclasses.replace(seen, listing=fleet.Listing.ABSENT)
            )
        for racer in self.harness.nodes:
            if not racer.paused:
                racer.plan(lease=False)
        entry.needs = None
        queues = [n.outbox for n in self.harness.nodes if not n.paused]
        while any(queues):
            for queue in queues:
                if queue:
                    self.harness.append(queue.pop(0))

    def do_repeat(self, back):
        """A record whose acknowledgement was lost is appended again."""
        for _, payload, _ in self.harness.log[-back:]:
            if not isinstance(payload, fleet_record.BundleAccepted):
                self.harness.append(payload)

    def do_publish_race(self):
        harness = self.harness
        expected = harness.truth.bundle_version
        outcomes = [
            harness.publish(
                self.declare(), expected=expected, operator=operator
            )
            for operator in ("ana", "ben")
        ]
        if not harness.log_up:
            return
        if outcomes.count(APPLIED) != 1:
            raise fleet_check.ViolationError("two operators won one version")
        loser = "ben" if outcomes[0] is APPLIED else "ana"
        rolls = rollout.Rollout(harness.view, rollout.RolloutSettings())
        winner = rolls.find_accepted(expected + 1)
        if winner.operator == loser:
            raise fleet_check.ViolationError("the loser was not told who won")

    def do_signal(self, place, bad):
        self.harness.signals = {place: rollout.Signals(100, 50)} if bad else {}

    def do_stay_down(self, worker):
        self.harness.hosts[worker].returns = False

    def do_sick(self, worker, healthy):
        self.harness.hosts[worker].healthy = healthy

    def do_flap(self, worker):
        """The host comes back twice."""
        for _ in range(2):
            self.harness.fail(worker, seconds=2)
            self.harness.advance(4)

    def do_replace(self, number):
        harness = self.harness
        name = f"n{number}/{len(harness.log)}"
        harness.nodes[number] = fleet_harness.Node(name, harness, harness.parts)
        harness.deliver()
        harness.deliver()

    def heal(self):
        """Ends every fault and checks that all hosts get maintained."""
        harness = self.harness
        harness.log_up = True
        harness.signals = {}
        for pool in fleet_harness.POOLS:
            self.do_need(pool, 0)
        for number in range(len(harness.nodes)):
            self.do_resume(number)
        for machine in harness.hosts.values():
            machine.healthy = machine.returns = True
            if not machine.up:
                machine.back_at = harness.now + 1
        self.do_zones_in()
        for _ in range(150):
            harness.advance(4, substep=4)
            if all(h.maintained > 0 for h in harness.truth.hosts.values()):
                break
        else:
            raise fleet_check.ViolationError("a host was not maintained")
        self.checker.check_pools()
        for entry in harness.nodes:
            entry.read()
            if entry.state.hosts != harness.truth.hosts:
                raise fleet_check.ViolationError(
                    "entries disagree on the folded state"
                )


def start_run(parts):
    """Returns a run that starts when every host is due."""
    harness = fleet_harness.FleetHarness(parts)
    settings = fleet_harness.SETTINGS.waves
    harness.now = settings.period * settings.lead
    harness.deliver()
    harness.deliver()
    checker = fleet_check.Checker(harness)
    checker.sample()
    harness.observers.append(checker)
    return Run(harness, checker)


def execute(parts, schedule):
    """Runs one schedule and then ends its faults."""
    run = start_run(parts)
    for action in schedule:
        run.execute(action)
    run.heal()
    return run.steps


# Fixed, so that rewording the test does not change its examples.
EXPLORE_SEED = int(
    "0953ef129b989ae1174bc0fbfa21042db6e99f356d781e57"
    "d867f411e23eb39d0e99de36e343fa35c7ff7b34cd184593",
    16,
)


def explore(parts, *, examples=None):
    """Runs random schedules and returns the number of their steps."""
    steps = 0

    @hypothesis.seed(EXPLORE_SEED)
    @hypothesis.settings(
        derandomize=True,
        deadline=None,
        database=None,
        max_examples=examples or EXAMPLES,
        phases=[hypothesis.Phase.generate],
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(SCHEDULES)
    def run_one(schedule):
        nonlocal steps
        steps += execute(parts, schedule)

    run_one()
    return steps
