"""Fleet planning with one mechanism removed, to show that a check fails."""

import dataclasses

from clementinewood import budget, fleet, fleet_fold, planner
from features import fleet_harness


class PlannedOnlyBudget(budget.AvailabilityBudget):
    """Does not count failures, leaving hosts and zones out."""

    def measure(self, pool, zone):
        counts = self._fleet.pools[pool]
        spec = self._fleet.state.declaration.pools[pool]
        return budget.Headroom(
            spec.max_unavailable - counts.planned_count,
            spec.max_unavailable_zone - counts.planned.get(zone, 0),
        )


class PlannedOnlyPlanner(planner.Planner):
    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.budget = PlannedOnlyBudget(self.fleet)
        self.wave._budget = self.budget


class NoPoolVersion(fleet_fold.FleetState):
    """Accepts cordons that were decided on another state of the pool."""

    def _is_current_pool(self, pool, expected):
        return True


class NoExpiry(fleet_fold.FleetState):
    """Accepts records that a paused planner appends much later."""

    def _is_expired(self, valid_until, time):
        return False


class NoHostVersion(NoPoolVersion):
    """Accepts assignments that name a stale version of a host."""

    def _is_current(self, host, expected):
        return True

    def _may_assign(self, host, pool):
        return pool != host.pool


class RepeatingState(NoExpiry):
    """Accepts the same record again, as a fold without versions would."""

    def _is_current(self, host, expected):
        return True

    def _apply_pause(self, payload, time):
        payload = dataclasses.replace(payload, expected=self.pause.version)
        return super()._apply_pause(payload, time)


class AnyBundle(fleet_fold.FleetState):
    """Accepts a bundle that does not follow the accepted one."""

    def _is_next_bundle(self, payload):
        return True


class RollBack(fleet_fold.FleetState):
    """Puts the former bundle back into force when a roll halts."""

    def _apply_roll(self, payload, time):
        outcome = super()._apply_roll(payload, time)
        if self.roll.halted:
            versions = {**self.roll.zone_versions, payload.zone: 0}
            self.roll = dataclasses.replace(self.roll, zone_versions=versions)
        return outcome


class IgnoreZonesOut(fleet.Fleet):
    """Lets tasks start in zones that are out."""

    def classify(self, worker):
        declaration = self.state.declaration
        self.state.declaration = dataclasses.replace(
            declaration, zones_out=frozenset()
        )
        try:
            return super().classify(worker)
        finally:
            self.state.declaration = declaration


class KeepMembers(fleet.Fleet):
    """Leaves a moved host in its former pool as well."""

    def _count(self, worker, counted, sign):
        super()._count(worker, counted, sign)
        if sign < 0:
            self.pools[counted.pool].members.add(worker)


class RebootAtOnce(planner.Planner):
    """Reboots a host as soon as it is cordoned."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.wave.is_drained = lambda worker: True


class TrustOldEvidence(planner.Planner):
    """Ends a drain on an idle report from before the cordon settled."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        settings = dataclasses.replace(self.wave.settings, settle=-60.0)
        self.wave.settings = settings


class StayPaused(planner.Planner):
    """Never resumes maintenance after a wave of failures."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        plan_pause = self.maintenance.plan_pause

        def plan(now):
            record = plan_pause(now)
            return record if record and record.paused else None

        self.maintenance.plan_pause = plan


class NeverPause(planner.Planner):
    """Goes on with maintenance through a wave of failures."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.maintenance.is_paused = lambda now: False


class ForgetHosts(planner.Planner):
    """Leaves half-done hosts of a former planner alone."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        started = set()
        start, advance = self.wave.start, self.wave._advance_host

        def begin(worker, *rest, **options):
            started.add(worker)
            return start(worker, *rest, **options)

        self.wave.start = begin
        self.wave._advance_host = lambda worker, *rest: (
            advance(worker, *rest) if worker in started else None
        )


PARTS = {
    "planned-only budget": fleet_harness.Parts(planner=PlannedOnlyPlanner),
    "no pool version": fleet_harness.Parts(state=NoPoolVersion),
    "no record expiry": fleet_harness.Parts(state=NoExpiry),
    "no host version": fleet_harness.Parts(state=NoHostVersion),
    "repeated records": fleet_harness.Parts(state=RepeatingState),
    "any bundle": fleet_harness.Parts(state=AnyBundle),
    "rollback on halt": fleet_harness.Parts(state=RollBack),
    "zones out ignored": fleet_harness.Parts(fleet=IgnoreZonesOut),
    "former members kept": fleet_harness.Parts(fleet=KeepMembers),
    "reboot at once": fleet_harness.Parts(planner=RebootAtOnce),
    "old idle evidence": fleet_harness.Parts(planner=TrustOldEvidence),
    "no pause": fleet_harness.Parts(planner=NeverPause),
    "no resume": fleet_harness.Parts(planner=StayPaused),
    "half-done hosts forgotten": fleet_harness.Parts(planner=ForgetHosts),
}

STOPPED = [("pause", 0), ("pause", 1)]
STARTED = [("resume", 0), ("resume", 1), ("observe",)]
BUSY = [("task", w, 90) for w in ("reserve-0", "reserve-0", "reserve-3")]
SCHEDULES = {
    "planned-only budget": [
        *STOPPED,
        ("fail", "east-1", 90),
        ("fail", "east-2", 90),
        ("advance", 24),
        *STARTED,
        ("advance", 4),
    ],
    "no pool version": [
        *STOPPED,
        *BUSY,
        ("task", "reserve-1", 90),
        ("fail", "reserve-2", 90),
        ("advance", 24),
        *STARTED,
        ("race", 0, "", 5),
    ],
    "no record expiry": [
        ("pause", 0),
        ("pause", 1),
        ("fail", "east-1", 90),
        ("fail", "east-2", 90),
        ("advance", 24),
        ("resume", 0),
    ],
    "no host version": [
        ("need", "west", 5),
        ("pause", 0),
        ("need", "west", 0),
        ("advance", 4),
        ("resume", 0),
    ],
    "repeated records": [
        ("fail_zone", "z1"),
        ("fail_zone", "z2"),
        ("advance", 4),
        ("repeat", 9),
    ],
    "any bundle": [("publish_race",)],
    "rollback on halt": [
        ("revision",),
        ("advance", 4),
        ("signal", "z1", True),
        ("advance", 4),
    ],
    "zones out ignored": [
        *STOPPED,
        ("zone_out", "z1"),
        ("advance", 4),
        ("task", "east-0", 5),
    ],
    "former members kept": [("need", "west", 5), ("advance", 4)],
    "reboot at once": [("task", "east-0", 60), ("advance", 8)],
    "old idle evidence": [
        ("advance", 2),
        ("task", "east-0", 60),
        ("advance", 8),
    ],
    "no resume": [
        ("fail_zone", "z1"),
        ("fail_zone", "z2"),
        ("advance", 4),
    ],
    "half-done hosts forgotten": [
        ("advance", 4),
        ("replace", 0),
        ("replace", 1),
        ("advance", 4),
    ],
}
"""For each mechanism, a schedule that needs it."""
