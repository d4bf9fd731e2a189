"""Random schedules over the fleet modules, and the checks on their history."""

import dataclasses
import os

import hypothesis
from hypothesis import strategies

from clementinewood import capacity, fleet, fleet_fold, fleet_record, rollout
from features import fleet_world

APPLIED = fleet_fold.Outcome.APPLIED
Step = fleet_record.Step
HOSTS = [f"{pool}-{i}" for pool in fleet_world.POOLS for i in range(4)]
EXAMPLES = int(os.environ.get("FLEET_EXAMPLES", "200"))
LENGTH = 50

host = strategies.sampled_from(HOSTS)
zone = strategies.sampled_from(fleet_world.ZONES)
node = strategies.integers(0, 1)
seconds = strategies.integers(2, 8)
ACTIONS = {
    "advance": (8, [seconds]),
    "task": (3, [host, strategies.integers(2, 60)]),
    "need": (
        2,
        [
            strategies.sampled_from(fleet_world.POOLS[:2]),
            strategies.integers(0, 8),
        ],
    ),
    "fail": (1, [host, strategies.integers(5, 60)]),
    "fail_rack": (1, [host]),
    "fail_zone": (1, [zone]),
    "zone_out": (1, [zone]),
    "zones_in": (1, []),
    "log": (1, [strategies.booleans()]),
    "pause": (1, [node]),
    "resume": (2, [node]),
    "race": (2, [node, host, strategies.integers(0, 6)]),
    "observe": (1, []),
    "repeat": (1, [strategies.integers(1, 9)]),
    "publish_race": (1, []),
    "revision": (1, []),
    "signal": (1, [zone, strategies.booleans()]),
    "stay_down": (1, [host]),
    "sick": (1, [host, strategies.booleans()]),
    "flap": (1, [host]),
    "replace": (1, [node]),
}
"""Weight and arguments of every action."""


SCHEDULES = strategies.lists(
    strategies.sampled_from(
        [name for name, (weight, _) in ACTIONS.items() for _ in range(weight)]
    ).flatmap(
        lambda name: strategies.tuples(strategies.just(name), *ACTIONS[name][1])
    ),
    min_size=LENGTH,
    max_size=LENGTH,
)


class ViolationError(AssertionError):
    """A property that does not hold; the first argument names it."""


class Checker:
    """Checks each record, start and reboot against plain host data."""

    def __init__(self, world):
        self.world = world
        self.unplanned = []
        self.out_since = {}
        self.applied = set()
        self.bundle_version = 0
        self.zone_versions = {}
        self.step_before = None

    def count_unplanned(self, pool, zone=None):
        world = self.world
        count = 0
        for worker, state in world.truth.hosts.items():
            place = world.hosts[worker].worker.zone
            if (
                state.pool != pool
                or state.is_planned
                or state.step is Step.ARRIVING
                or zone not in (None, place)
            ):
                continue
            count += (
                not world.hosts[worker].up
                or not world.hosts[worker].healthy
                or place in world.truth.declaration.zones_out
                or state.step in (Step.LOST, Step.BROKEN, Step.CHECKING)
            )
        return count

    def count_planned(self, pool, zone=None):
        return sum(
            state.pool == pool
            and state.is_planned
            and zone in (None, self.world.hosts[worker].worker.zone)
            for worker, state in self.world.truth.hosts.items()
        )

    def sample(self):
        """Keeps what a planner may have seen within a record's validity."""
        now = self.world.now
        counts = {
            (pool, place): self.count_unplanned(pool, place)
            for pool in fleet_world.POOLS
            for place in (None, *fleet_world.ZONES)
        }
        self.unplanned.append((now, counts))
        settings = fleet_world.SETTINGS
        oldest = now - settings.steps.validity - settings.evidence
        self.unplanned = [s for s in self.unplanned if s[0] >= oldest]

    def on_tick(self):
        self.sample()

    def before(self, payload):
        state = self.world.truth.hosts.get(getattr(payload, "worker", None))
        self.step_before = state

    def after(self, payload, outcome):
        truth = self.world.truth
        if outcome is APPLIED:
            if id(payload) in self.applied:
                raise ViolationError("a repeated record changed the state")
            self.applied.add(id(payload))
        if truth.bundle_version < self.bundle_version:
            raise ViolationError("an accepted bundle reverted")
        self.bundle_version = truth.bundle_version
        for place, version in truth.roll.zone_versions.items():
            if version < self.zone_versions.get(place, 0):
                raise ViolationError("an accepted bundle reverted")
            self.zone_versions[place] = version
        if outcome is not APPLIED:
            return
        match payload:
            case fleet_record.BundleAccepted():
                self.out_since = {
                    place: self.out_since.get(place, self.world.now)
                    for place in payload.declaration.zones_out
                }
            case fleet_record.WorkerAssigned():
                before = self.step_before
                if (
                    before.step is not Step.IN_SERVICE
                    and before.purpose is not (fleet_record.Purpose.MOVE)
                ):
                    raise ViolationError("a host under maintenance moved")
            case fleet_record.MaintenanceStep(step=Step.CORDONED):
                self.check_budget(payload.worker)

    def check_budget(self, worker):
        truth = self.world.truth
        pool = truth.hosts[worker].pool
        spec = truth.declaration.pools[pool]
        place = self.world.hosts[worker].worker.zone
        self.sample()
        for part, limit in (
            (None, spec.max_unavailable),
            (place, spec.max_unavailable_zone),
        ):
            seen = min(counts[pool, part] for _, counts in self.unplanned)
            if self.count_planned(pool, part) > max(0, limit - seen):
                raise ViolationError("a budget was exceeded by plan")

    def on_start(self, worker):
        place = self.world.hosts[worker].worker.zone
        since = self.out_since.get(place, self.world.now)
        if self.world.now - since > fleet_world.SUBSTEP:
            raise ViolationError("a task started in a zone that is out")

    def on_reboot(self, machine):
        if machine.tasks:
            raise ViolationError("a drain cut work")

    def check_pools(self):
        for name, fleet_view in [
            ("view", self.world.view),
            *((n.name, n.fleet) for n in self.world.nodes),
        ]:
            seen = {}
            for pool in fleet_view.pools.values():
                for worker in pool.members:
                    if worker in seen:
                        raise ViolationError(
                            f"a host is in two pools at {name}"
                        )
                    seen[worker] = pool.id
            wanted = {w: h.pool for w, h in fleet_view.state.hosts.items()}
            if seen != wanted:
                raise ViolationError(f"a host is in no pool at {name}")


@dataclasses.dataclass
class Run:
    """One schedule over one world."""

    world: fleet_world.World
    checker: Checker
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
            raise ViolationError("two operators won one version")
        loser = "ben" if outcomes[0] is APPLIED else "ana"
        rolls = rollout.Rollout(world.view, rollout.RolloutSettings())
        winner = rolls.find_winner(expected + 1)
        if winner.operator == loser:
            raise ViolationError("the loser was not told who won")

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
            raise ViolationError("a host was not maintained")
        self.checker.check_pools()
        for entry in world.nodes:
            entry.read()
            if entry.state.hosts != world.truth.hosts:
                raise ViolationError("entries disagree on the folded state")


def start_run(parts):
    """Returns a run that starts when every host is due."""
    world = fleet_world.World(parts)
    settings = fleet_world.SETTINGS.waves
    world.now = settings.period * settings.lead
    world.deliver()
    world.deliver()
    checker = Checker(world)
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
