"""Checks of fleet planning on each record, task start and reboot."""

import collections

from clementinewood import fleet_fold, fleet_record
from features import fleet_harness

APPLIED = fleet_fold.Outcome.APPLIED
Step = fleet_record.Step


class ViolationError(AssertionError):
    """A property that does not hold; the first argument names it."""


class Checker:
    """Checks each record, start and reboot against plain host data."""

    def __init__(self, harness):
        self.harness = harness
        self.unplanned = []
        self.out_since = {}
        self.applied = set()
        self.bundle_version = 0
        self.zone_versions = {}
        self.step_before = None

    def count_unplanned(self):
        """Returns unplanned losses by pool and zone, and by pool alone."""
        harness = self.harness
        zones_out = harness.truth.declaration.zones_out
        counts = collections.Counter()
        for worker, state in harness.truth.hosts.items():
            machine = harness.hosts[worker]
            place = machine.worker.zone
            if state.is_planned or state.step is Step.ARRIVING:
                continue
            if (
                not machine.up
                or not machine.healthy
                or place in zones_out
                or state.step in (Step.LOST, Step.BROKEN, Step.CHECKING)
            ):
                counts[state.pool, place] += 1
                counts[state.pool, None] += 1
        return counts

    def count_planned(self, pool, zone=None):
        return sum(
            state.pool == pool
            and state.is_planned
            and zone in (None, self.harness.hosts[worker].worker.zone)
            for worker, state in self.harness.truth.hosts.items()
        )

    def sample(self):
        """Keeps what a planner may have seen within a record's validity."""
        now = self.harness.now
        counts = self.count_unplanned()
        self.unplanned.append((now, counts))
        settings = fleet_harness.SETTINGS
        oldest = now - settings.steps.validity - settings.evidence
        self.unplanned = [s for s in self.unplanned if s[0] >= oldest]

    def on_tick(self):
        self.sample()

    def before(self, payload):
        state = self.harness.truth.hosts.get(getattr(payload, "worker", None))
        self.step_before = state

    def after(self, payload, outcome):
        truth = self.harness.truth
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
                    place: self.out_since.get(place, self.harness.now)
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
        truth = self.harness.truth
        pool = truth.hosts[worker].pool
        spec = truth.declaration.pools[pool]
        place = self.harness.hosts[worker].worker.zone
        self.sample()
        for part, limit in (
            (None, spec.max_unavailable),
            (place, spec.max_unavailable_zone),
        ):
            seen = min(counts[pool, part] for _, counts in self.unplanned)
            if self.count_planned(pool, part) > max(0, limit - seen):
                raise ViolationError("a budget was exceeded by plan")

    def on_start(self, worker):
        place = self.harness.hosts[worker].worker.zone
        since = self.out_since.get(place, self.harness.now)
        if self.harness.now - since > fleet_harness.SUBSTEP:
            raise ViolationError("a task started in a zone that is out")

    def on_reboot(self, machine):
        if machine.tasks:
            raise ViolationError("a drain cut work")

    def check_pools(self):
        for name, fleet_view in [
            ("view", self.harness.view),
            *((n.name, n.fleet) for n in self.harness.nodes),
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
