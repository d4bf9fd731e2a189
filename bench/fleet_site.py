"""Simulates the hosts, queues and log of a site for the fleet benchmark."""

import dataclasses
import math
import random

from clementinewood import (
    capacity,
    demand,
    fleet,
    fleet_fold,
    fleet_record,
    planner,
)

Step = fleet_record.Step
SLOTS = 8
TASK_SECONDS = 15.0
SWITCH_SECONDS = 20.0
REPORT_LAG = 5.0


@dataclasses.dataclass(frozen=True)
class Shape:
    """Holds size and demand of a site; demand in hosts, `cycle` in seconds."""

    name: str
    zones: tuple
    pools: int
    hosts_per_pool: int
    budget: int
    zone_budget: int
    peak: float
    cycle: float = 86400.0

    @property
    def hosts(self):
        return self.pools * self.hosts_per_pool


# Fraction f of the time that a queue is at 5x its mean. It is at 1/20 of the
# mean otherwise, so that 5 * f + (1 - f) / 20 = 1.
PEAK_PART = 0.95 / 4.95
RAMP = 600.0

GUILD = Shape(
    "guild", ("hobart", "launceston", "burnie"), 5, 6, 2, 1, peak=12.0
)
SANCTUM = Shape(
    "sanctum", ("khomas-a", "khomas-b", "khomas-c"), 5, 6, 2, 1, peak=10.0
)
# The cycle is shorter than a day to limit the time of a run; each peak still
# lasts over an hour.
DESIGN = Shape(
    "design",
    ("r1-a", "r1-b", "r1-c", "r2-a", "r2-b"),
    168,
    71,
    8,
    8,
    142.0,
    cycle=6 * 3600.0,
)


class Machine:
    """Simulates one host."""

    def __init__(self, worker, pool):
        self.worker = worker
        self.pool = pool
        self.up = True
        self.boots = 1
        self.ready_at = None
        self.running = 0
        self.sent = None


class Site:
    """Simulates a site with one planner."""

    def __init__(self, shape, *, seed=1, settings=None, reboot=(120, 300)):
        self.shape = shape
        self.random = random.Random(seed)
        self.reboot = reboot
        self.now = 0.0
        self.appends = self.moves = 0
        self.work_seconds = []
        self.reboot_seconds = {}
        pools = {}
        self.machines = {}
        for p in range(shape.pools):
            name = f"p{p:03}"
            workers = []
            for i in range(shape.hosts_per_pool):
                zone = shape.zones[(i + p) % len(shape.zones)]
                rack = f"{zone}-{(p * shape.hosts_per_pool + i) // 20}"
                worker = fleet.Worker(f"{name}-{i:02}", zone, rack)
                self.machines[worker.id] = Machine(worker, name)
                workers.append(worker.id)
            pools[name] = fleet_record.PoolDeclaration(
                tuple(workers),
                spare=p == shape.pools - 1,
                max_unavailable=shape.budget,
                max_unavailable_zone=shape.zone_budget,
            )
        self.declaration = fleet_record.FleetDeclaration(pools, shape.zones)
        self.queues = [p for p, spec in pools.items() if not spec.spare]
        self.state = fleet_fold.FleetState()
        self.publish(self.declaration)
        self.fleet = fleet.Fleet(self.state)
        self.planner = planner.Planner(
            "bench/1", self.fleet, settings or planner.PlannerSettings()
        )
        self.estimator = demand.DemandEstimator()
        self.backlog = dict.fromkeys(self.queues, 0.0)
        self.reports = []
        self.noise = dict.fromkeys(self.queues, 1.0)
        self.send_reports()

    def publish(self, declaration):
        record = fleet_record.BundleAccepted(
            declaration, self.state.bundle_version, "bench", b""
        )
        self.declaration = declaration
        self.append(record)

    def append(self, record):
        outcome = self.state.apply(record, self.appends, self.now)
        self.appends += 1
        applied = outcome.value == "applied"
        if applied and isinstance(record, fleet_record.WorkerAssigned):
            self.moves += 1
        return applied

    def offered(self, queue, now):
        """Returns the demand of a queue in hosts, without noise."""
        shape = self.shape
        index = self.queues.index(queue) if shape.pools < 20 else int(queue[1:])
        phase = (now / shape.cycle - index / len(self.queues)) % 1.0
        low, high = shape.peak / 100, shape.peak
        ramp = RAMP / shape.cycle
        if phase < PEAK_PART:
            return low + (high - low) * min(1.0, phase / ramp)
        return max(low, high - (high - low) * (phase - PEAK_PART) / ramp)

    def advance_machines(self):
        """Executes the steps that the control state orders."""
        for worker in list(self.fleet.in_progress):
            machine = self.machines[worker]
            host = self.state.hosts[worker]
            if not machine.up:
                if machine.ready_at and self.now >= machine.ready_at:
                    machine.up, machine.ready_at = True, None
                else:
                    continue
            elapsed = self.now - host.since
            if host.step is Step.CORDONED and elapsed >= TASK_SECONDS:
                machine.running = 0
            elif host.step is Step.REBOOTING and str(machine.boots) == (
                host.boot
            ):
                seconds = self.random.uniform(*self.reboot)
                self.work_seconds.append(seconds)
                self.reboot_seconds[worker] = seconds
                machine.boots += 1
                machine.up = False
                machine.ready_at = self.now + seconds
            elif host.step is Step.ARRIVING and elapsed >= SWITCH_SECONDS:
                machine.pool = host.pool
            self.report(machine)

    def report(self, machine):
        self.fleet.observe(
            fleet.HostReport(
                machine.worker,
                fleet.Listing.LIVE if machine.up else fleet.Listing.ABSENT,
                machine.running,
                str(machine.boots),
                True,
                machine.pool,
                self.now,
            )
        )
        machine.sent = (machine.running, machine.up)

    def send_reports(self):
        for machine in self.machines.values():
            if machine.sent != (machine.running, machine.up):
                self.report(machine)
        self.fleet.evidence_time = self.now

    def serve(self, seconds):
        """Serves the queues; returns work done and offered in host-seconds."""
        done, offered = {}, {}
        for queue in self.queues:
            noise = self.noise[queue]
            noise += 0.1 * (1 - noise) + self.random.gauss(0, 0.01)
            self.noise[queue] = noise
            arriving = self.offered(queue, self.now) * noise * seconds
            serving = sorted(
                worker
                for hosts in self.fleet.pools[queue].serving.values()
                for worker in hosts
            )
            limit = len(serving) * seconds
            work = min(limit, arriving + self.backlog[queue])
            left = self.backlog[queue] + arriving - work
            self.backlog[queue] = max(0.0, left)
            done[queue], offered[queue] = work, arriving
            self.spread(serving, math.ceil(work / seconds * SLOTS - 1e-9))
            self.sample(queue, work, seconds)
        return done, offered

    def spread(self, serving, tasks):
        if not serving:
            return
        each, rest = divmod(tasks, len(serving))
        for i, worker in enumerate(serving):
            self.machines[worker].running = min(SLOTS, each + (i < rest))

    def sample(self, queue, work, seconds):
        """Reports usage with lag and 3% noise; 1% of the samples are 5x."""
        running = work / seconds * SLOTS * self.random.uniform(0.97, 1.03)
        if self.random.random() < 0.01:
            running *= 5
        queued = self.backlog[queue] * SLOTS / TASK_SECONDS
        completed = work * SLOTS / TASK_SECONDS
        sample = demand.UsageSample(
            self.now, running, queued, completed, work * SLOTS
        )
        self.reports.append((self.now + REPORT_LAG, queue, sample))

    def estimate_needs(self):
        due = [r for r in self.reports if r[0] <= self.now]
        self.reports = [r for r in self.reports if r[0] > self.now]
        for _, queue, sample in due:
            self.estimator.report(queue, sample)
        return self.estimator.estimate_needs(
            self.queues, SLOTS, capacity.DEFAULT, self.now
        )

    def step(self, seconds, plan=None):
        """Advances the site by one round."""
        self.now += seconds
        self.advance_machines()
        served = self.serve(seconds)
        self.send_reports()
        needs = self.estimate_needs()
        records = (
            plan(self, needs) if plan else self.planner.plan(needs, self.now)
        )
        for record in records:
            self.append(record)
        return served
