"""Simulated log, hosts and planners of a fleet on a manual clock."""

import dataclasses

from clementinewood import capacity, fleet, fleet_fold, fleet_record, planner
from clementinewood.maintenance import MaintenanceSettings
from clementinewood.move import MoveSettings
from clementinewood.rollout import RolloutSettings
from clementinewood.wave import WaveSettings

Step = fleet_record.Step
SUBSTEP = 2.0  # Entries act on configuration at most this old, in seconds.
ZONES = ("z1", "z2", "z3")
POOLS = ("east", "west", "reserve")
SETTINGS = planner.PlannerSettings(
    evidence=8.0,
    moves=MoveSettings(return_after=300.0),
    steps=WaveSettings(
        drain=60, give_up=600, reboot=60, check=60, arrive=60, lost=60
    ),
    waves=MaintenanceSettings(period=3600.0, quiet=60.0, pause_hosts=4),
    rolls=RolloutSettings(observe=10.0),
)


@dataclasses.dataclass
class Host:
    worker: fleet.Worker
    pool: str
    up: bool = True
    healthy: bool = True
    boots: int = 1
    back_at: float | None = None
    returns: bool = True
    tasks: list = dataclasses.field(default_factory=list)

    def report(self, now):
        return fleet.HostReport(
            self.worker,
            fleet.Listing.LIVE if self.up else fleet.Listing.ABSENT,
            running=len(self.tasks),
            boot=str(self.boots),
            healthy=self.healthy,
            pool=self.pool,
            time=now,
        )


class Node:
    """One entry with its own copy of the folded log."""

    def __init__(self, name, harness, parts):
        self.name = name
        self.harness = harness
        self.state = parts.state()
        self.fleet = parts.fleet(self.state)
        self.planner = parts.planner(name, self.fleet, SETTINGS)
        self.offset = 0
        self.read_at = harness.now
        self.paused = False
        self.needs = None
        self.outbox = []

    def read(self):
        for offset, payload, time in self.harness.log[self.offset :]:
            self.state.apply(payload, offset, time)
        self.offset = len(self.harness.log)
        self.read_at = self.harness.now

    def plan(self, *, lease=True):
        harness = self.harness
        if lease:
            record = self.planner.plan_lease(harness.now)
            if record is not None:
                harness.append(record)
                self.read()
            if not self.planner.holds_lease(harness.now):
                return
        fresh = harness.log_up and harness.now - self.read_at <= SUBSTEP
        self.outbox.extend(
            self.planner.plan(
                self.needs or harness.needs,
                harness.now,
                fresh=fresh,
                signals=harness.signals,
            )
        )


@dataclasses.dataclass
class Parts:
    """Classes under test; a scenario replaces one to break a mechanism."""

    state: type = fleet_fold.FleetState
    fleet: type = fleet.Fleet
    planner: type = planner.Planner


def declare(*, out=(), revision=0):
    pools = {
        pool: fleet_record.PoolDeclaration(
            tuple(f"{pool}-{i}" for i in range(4)),
            spare=pool == "reserve",
            max_unavailable=2,
            max_unavailable_zone=1,
            revision=revision,
        )
        for pool in POOLS
    }
    return fleet_record.FleetDeclaration(pools, ZONES, frozenset(out))


class FleetHarness:
    def __init__(self, parts=None, *, nodes=2):
        self.parts = parts or Parts()
        self.now = 0.0
        self.log = []
        self.log_up = True
        self.needs = dict.fromkeys(POOLS, capacity.NONE)
        self.signals = {}
        self.truth = self.parts.state()
        self.view = self.parts.fleet(self.truth)
        self.observers = []
        self.published = 0
        self.violations = []
        self.hosts = {}
        for pool in POOLS:
            for i in range(4):
                zone = ZONES[i % 3]
                worker = fleet.Worker(f"{pool}-{i}", zone, f"{zone}-r{i // 3}")
                self.hosts[worker.id] = Host(worker, pool)
        self.nodes = [Node(f"n{i}/1", self, self.parts) for i in range(nodes)]
        self.router = Node("router/1", self, self.parts)
        self.late_reports = []
        self.publish(declare())
        self.deliver()
        self.deliver()

    def publish(self, declaration, *, expected=None, operator="ana"):
        self.published += 1
        record = fleet_record.BundleAccepted(
            declaration,
            self.truth.bundle_version if expected is None else expected,
            operator,
            self.published.to_bytes(16, "big"),
        )
        return self.append(record)

    def append(self, payload):
        if not self.log_up:
            return None
        offset = len(self.log)
        self.log.append((offset, payload, self.now))
        for observer in self.observers:
            observer.before(payload)
        outcome = self.truth.apply(payload, offset, self.now)
        for observer in self.observers:
            observer.after(payload, outcome)
        return outcome

    def deliver(self):
        """Brings the log and late host reports to parts not paused."""
        reports = self.late_reports
        self.late_reports = [
            host.report(self.now) for host in self.hosts.values()
        ]
        for report in self.late_reports:
            self.view.observe(report)
        for node in (*self.nodes, self.router):
            if node.paused:
                continue
            # Entries relay to each other what was accepted before an outage.
            node.read()
            for report in reports:
                node.fleet.observe(report)

    def start_task(self, worker, seconds):
        """Starts a task if the router's copy of the log allows it."""
        host = self.hosts[worker]
        if not host.up or not self.router.fleet.can_start(worker):
            return False
        for observer in self.observers:
            observer.on_start(worker)
        host.tasks.append(self.now + seconds)
        return True

    def advance(self, seconds, *, substep=SUBSTEP):
        end = self.now + seconds
        while self.now < end:
            self.now = min(end, self.now + substep)
            for host in self.hosts.values():
                self._advance_host(host)
            self.deliver()
            for observer in self.observers:
                observer.on_tick()
            for node in self.nodes:
                if not node.paused:
                    node.plan()
                    self.flush(node)

    def flush(self, node):
        records, node.outbox = node.outbox, []
        for record in records:
            self.append(record)

    def _advance_host(self, host):
        if host.back_at is not None and self.now >= host.back_at:
            host.up, host.back_at = True, None
        host.tasks = [end for end in host.tasks if end > self.now]
        state = self.router.state.hosts.get(host.worker.id)
        if state is None or not host.up:
            return
        match state.step:
            case Step.CHECKPOINTING:
                host.tasks = []
            case Step.REBOOTING if str(host.boots) == state.boot:
                for observer in self.observers:
                    observer.on_reboot(host)
                host.tasks = []
                host.boots += 1
                host.up = False
                host.back_at = self.now + 10 if host.returns else None
            case Step.ARRIVING | Step.CHECKING | Step.LOST if not host.tasks:
                host.pool = state.pool

    def fail(self, worker, *, seconds=None):
        host = self.hosts[worker]
        host.up = False
        host.tasks = []
        host.back_at = None if seconds is None else self.now + seconds
