"""Random schedules over the fleet modules, and the checks on their history."""

import dataclasses
import os

import hypothesis
from hypothesis import strategies

from clementinewood import capacity, fleet, fleet_fold, fleet_record, rollout
from features import fleet_check, fleet_world

APPLIED = fleet_fold.Outcome.APPLIED
HOSTS = [f"{pool}-{i}" for pool in fleet_world.POOLS for i in range(4)]
EXAMPLES = int(os.environ.get("FLEET_EXAMPLES", "200"))
LENGTH = 50

ZONES = fleet_world.ZONES
ACTIONS = {
    "advance": (8, [range(2, 9)]),
    "task": (3, [HOSTS, range(2, 61)]),
    "need": (2, [fleet_world.POOLS[:2], range(9)]),
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
    """One schedule over one world."""

    world: fleet_world.World
    checker: fleet_check.Checker
    steps: int = 0

    def execute(self, action):
        name, *arguments = action
        getattr(self, f"do_{name}")(*arguments)
        self.steps += 1
        self.checker.sample()
        self.checker.check_pools()

    def do_advance(self, seconds):
        self.world.advance(seconds)

    def do_task(self, worker, seconds):
        self.world.start_task(worker, seconds)

    def do_fail(self, worker, seconds):
        self.world.fail(worker, seconds=seconds)

    def do_fail_rack(self, worker):
        rack = self.world.hosts[worker].worker.rack
        self.fail_all(lambda w: w.rack == rack)

    def do_fail_zone(self, place):
        self.fail_all(lambda w: w.zone == place)

    def fail_all(self, lost):
        for worker, machine in self.world.hosts.items():
            if lost(machine.worker):
                self.world.fail(worker, seconds=60)

    def declare(self, **changes):
        declaration = self.world.truth.declaration
        return dataclasses.replace(declaration, **changes)

    def do_zone_out(self, place):
        out = self.world.truth.declaration.zones_out | {place}
        if len(out) < len(fleet_world.ZONES):
            self.world.publish(self.declare(zones_out=out))

    def do_zones_in(self):
        self.world.publish(self.declare(zones_out=frozenset()))

    def do_revision(self):
        revision = self.world.truth.bundle_version + 1
        pools = {
            pool: dataclasses.replace(spec, revision=revision)
            for pool, spec in self.world.truth.declaration.pools.items()
        }
        self.world.publish(self.declare(pools=pools))

    def do_need(self, pool, hosts):
        self.world.needs[pool] = capacity.DEFAULT.scale(hosts)

    def do_log(self, up):
        self.world.log_up = up

    def do_pause(self, number):
        """The node stops between its decision and its append."""
        entry = self.world.nodes[number]
        if not entry.paused:
            entry.plan(lease=False)
            entry.paused = True

    def do_resume(self, number):
        entry = self.world.nodes[number]
        entry.paused = False
        self.world.flush(entry)

    def do_observe(self):
        """Reports arrive before the next planning round."""
        self.world.deliver()
        self.world.deliver()

    def do_race(self, number, worker, hosts):
        """Nodes plan on evidence that differs; their records interleave.

        One node misses a host, and it estimates another demand.
        """
        entry = self.world.nodes[number]
        if hosts:
            need = capacity.DEFAULT.scale(hosts)
            entry.needs = {**self.world.needs, "west": need}
        else:
            seen = self.world.hosts[worker].report(self.world.now)
            entry.fleet.observe(
                dataclasses.replace(seen, listing=fleet.Listing.ABSENT)
            )
        for racer in self.world.nodes:
            if not racer.paused:
                racer.plan(lease=False)
        entry.needs = None
        queues = [n.outbox for n in self.world.nodes if not n.paused]
        while any(queues):
            for queue in queues:
                if queue:
                    self.world.append(queue.pop(0))

    def do_repeat(self, back):
        """A record whose acknowledgement was lost is appended again."""
        for _, payload, _ in self.world.log[-back:]:
            if not isinstance(payload, fleet_record.BundleAccepted):
                self.world.append(payload)

    def do_publish_race(self):
        world = self.world
        expected = world.truth.bundle_version
        outcomes = [
            world.publish(self.declare(), expected=expected, operator=operator)
            for operator in ("ana", "ben")
        ]
        if not world.log_up:
            return
        if outcomes.count(APPLIED) != 1:
            raise fleet_check.ViolationError("two operators won one version")
        loser = "ben" if outcomes[0] is APPLIED else "ana"
        rolls = rollout.Rollout(world.view, rollout.RolloutSettings())
        winner = rolls.find_accepted(expected + 1)
        if winner.operator == loser:
            raise fleet_check.ViolationError("the loser was not told who won")

    def do_signal(self, place, bad):
        self.world.signals = {place: rollout.Signals(100, 50)} if bad else {}

    def do_stay_down(self, worker):
        self.world.hosts[worker].returns = False

    def do_sick(self, worker, healthy):
        self.world.hosts[worker].healthy = healthy

    def do_flap(self, worker):
        """The host comes back twice."""
        for _ in range(2):
            self.world.fail(worker, seconds=2)
            self.world.advance(4)

    def do_replace(self, number):
        world = self.world
        name = f"n{number}/{len(world.log)}"
        world.nodes[number] = fleet_world.Node(name, world, world.parts)
        world.deliver()
        world.deliver()

    def heal(self):
        """Ends every fault and checks that all hosts get maintained."""
        world = self.world
        world.log_up = True
        world.signals = {}
        for pool in fleet_world.POOLS:
            self.do_need(pool, 0)
        for number in range(len(world.nodes)):
            self.do_resume(number)
        for machine in world.hosts.values():
            machine.healthy = machine.returns = True
            if not machine.up:
                machine.back_at = world.now + 1
        self.do_zones_in()
        for _ in range(150):
            world.advance(4, substep=4)
            if all(h.maintained > 0 for h in world.truth.hosts.values()):
                break
        else:
            raise fleet_check.ViolationError("a host was not maintained")
        self.checker.check_pools()
        for entry in world.nodes:
            entry.read()
            if entry.state.hosts != world.truth.hosts:
                raise fleet_check.ViolationError(
                    "entries disagree on the folded state"
                )


def start_run(parts):
    """Returns a run that starts when every host is due."""
    world = fleet_world.World(parts)
    settings = fleet_world.SETTINGS.waves
    world.now = settings.period * settings.lead
    world.deliver()
    world.deliver()
    checker = fleet_check.Checker(world)
    checker.sample()
    world.observers.append(checker)
    return Run(world, checker)


def execute(parts, schedule):
    """Runs one schedule and then ends its faults."""
    run = start_run(parts)
    for action in schedule:
        run.execute(action)
    run.heal()
    return run.steps


def explore(parts, *, examples=None):
    """Runs random schedules and returns the number of their steps."""
    steps = 0

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
