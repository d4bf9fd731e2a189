"""Maintenance of every host once in a period, one failure domain at a time."""

import dataclasses
import heapq
from collections.abc import Callable

from clementinewood import (
    budget,
    fleet,
    fleet_record,
    identifiers,
    wave,
)

Step = fleet_record.Step
Purpose = fleet_record.Purpose

WEEK = 7 * 86400.0


@dataclasses.dataclass(frozen=True, slots=True)
class MaintenanceSettings:
    """When hosts are due and when waves pause.

    Attributes:
        period: Every host is maintained once in this time, in seconds.
        lead: Fraction of the period after which a host is due. The rest is
            reserve for pauses and for hosts whose pool has no budget left.
        urgent: Fraction of the period after which a host no longer waits
            until its pool can do without it.
        pause_hosts: Recent unplanned losses that make a correlated wave.
        pause_fraction: The same as a fraction of the fleet; the larger
            number applies, since a large fleet always has some hosts down.
        quiet: Seconds without a wave after which maintenance resumes.
        pools_apart: Whether each pool goes through the zones on its own. If
            not, the fleet works in one zone at a time and every pool waits
            for the slowest one, which takes longer the more pools there are.
    """

    period: float = 6 * WEEK
    lead: float = 0.75
    urgent: float = 0.9
    pause_hosts: int = 3
    pause_fraction: float = 0.01
    quiet: float = 900.0
    pools_apart: bool = False


class Maintenance:
    """Chooses hosts for maintenance and pauses when failures correlate.

    Args:
        fleet_view: Folded state joined with evidence.
        engine: Steps of the hosts.
        settings: Periods and thresholds.
    """

    def __init__(
        self,
        fleet_view: fleet.Fleet,
        engine: wave.Wave,
        settings: MaintenanceSettings,
    ) -> None:
        self._fleet = fleet_view
        self._wave = engine
        self.settings = settings
        self._queue: list[tuple[float, identifiers.WorkerId]] = []
        self._due: dict[identifiers.WorkerId, float] = {}
        self._queued: dict[identifiers.WorkerId, float] = {}
        fleet_view.state.subscribe(self._on_change)
        self._on_change(None)

    def configure(self, settings: MaintenanceSettings) -> None:
        """Replaces the settings; hosts are due by the new period."""
        if settings == self.settings:
            return
        self.settings = settings
        self._queue.clear()
        self._due.clear()
        self._queued.clear()
        self._on_change(None)

    def _on_change(self, worker: identifiers.WorkerId | None) -> None:
        """Queues hosts whose last maintenance is new to this planner."""
        hosts = self._fleet.state.hosts
        for changed in hosts if worker is None else (worker,):
            maintained = hosts[changed].maintained
            if self._queued.get(changed) != maintained:
                self._queued[changed] = maintained
                self._due.pop(changed, None)
                heapq.heappush(self._queue, (maintained, changed))

    def count_recent_losses(self, now: float) -> int:
        """Returns unplanned losses that may belong to one correlated wave.

        Hosts recorded as lost or broken longer ago count no more, since a
        host that never comes back must not stop maintenance for good. Hosts
        in zones out are the operators' decision and not a failure.
        """
        state = self._fleet.state
        count = 0
        for worker in self._fleet.unavailable:
            host = state.hosts[worker]
            report = self._fleet.reports.get(worker)
            if (
                report is not None
                and report.worker.zone in state.declaration.zones_out
            ):
                continue
            settled = host.step in (Step.LOST, Step.BROKEN)
            if settled and now - host.since > self.settings.quiet:
                continue
            count += 1
        return count

    def plan_pause(self, now: float) -> fleet_record.MaintenancePause | None:
        """Returns the record that pauses or resumes work, if one is due."""
        pause = self._fleet.state.pause
        losses = self.count_recent_losses(now)
        threshold = self.threshold
        expires = now + self._wave.settings.validity
        age = now - pause.since
        if losses >= threshold and (
            not pause.paused or age > self.settings.quiet / 2
        ):
            return fleet_record.MaintenancePause(True, pause.version, expires)
        if (
            pause.paused
            and losses <= threshold // 2
            and age > self.settings.quiet
        ):
            return fleet_record.MaintenancePause(False, pause.version, expires)
        return None

    @property
    def threshold(self) -> int:
        """Recent losses at which work pauses."""
        return max(
            self.settings.pause_hosts,
            int(self.settings.pause_fraction * len(self._fleet.state.hosts)),
        )

    def is_paused(self, now: float) -> bool:
        """Whether no new work may start."""
        return (
            self._fleet.state.pause.paused
            or self.count_recent_losses(now) >= self.threshold
        )

    def active_zone(self) -> identifiers.ZoneId | None:
        """Returns a zone in which planned work is in progress."""
        return next(iter(self._list_active().values()), None)

    def is_due(self, maintained: float, now: float) -> bool:
        """Whether a host last maintained then should be maintained now."""
        return now >= maintained + self.settings.lead * self.settings.period

    def is_urgent(self, maintained: float, now: float) -> bool:
        """Whether the host must not wait for a quiet time of its pool."""
        return now >= maintained + self.settings.urgent * self.settings.period

    def start(
        self,
        reservation: budget.Reservation,
        now: float,
        *,
        limit: int,
        zone: identifiers.ZoneId | None = None,
        can_spare: Callable[[identifiers.WorkerId], bool] | None = None,
    ) -> list[fleet_record.Payload]:
        """Cordons due hosts in one zone as far as the budgets allow.

        Args:
            reservation: Budget use of this round.
            now: Log time.
            limit: Largest number of records.
            zone: The only zone allowed, for example that of a roll.
            can_spare: Whether the work of the host's pool can do without it
                now; not asked for urgent hosts.

        Returns:
            The records, oldest maintenance first.
        """
        if self.is_paused(now):
            return []
        chosen = self._list_active()
        records: list[fleet_record.Payload] = []
        for maintained, worker in self._list_due(now):
            if len(records) >= limit:
                break
            place = self._fleet.reports[worker].worker.zone
            scope = self._scope(worker)
            if zone not in (None, place) or (chosen.get(scope, place) != place):
                continue
            if not self.is_urgent(maintained, now) and not (
                can_spare is None or can_spare(worker)
            ):
                continue
            record = self._wave.start(
                worker, Purpose.MAINTENANCE, reservation, now
            )
            if record is not None:
                chosen[scope] = place
                records.append(record)
        return records

    def _scope(self, worker: identifiers.WorkerId) -> identifiers.PoolId | None:
        """Returns what may have planned work in one zone at a time only."""
        if self.settings.pools_apart:
            return self._fleet.state.hosts[worker].pool
        return None

    def _list_active(
        self,
    ) -> dict[identifiers.PoolId | None, identifiers.ZoneId]:
        """Returns the zones in which planned work is in progress."""
        active = {}
        for worker in sorted(self._fleet.in_progress):
            host = self._fleet.state.hosts[worker]
            if host.is_planned and host.purpose is not Purpose.MOVE:
                report = self._fleet.reports.get(worker)
                if report is not None:
                    active[self._scope(worker)] = report.worker.zone
        return active

    def _list_due(self, now: float) -> list[tuple[float, identifiers.WorkerId]]:
        """Returns due hosts that serve, the oldest maintenance first."""
        hosts = self._fleet.state.hosts
        while self._queue and self.is_due(self._queue[0][0], now):
            maintained, worker = heapq.heappop(self._queue)
            if worker in hosts and hosts[worker].maintained == maintained:
                self._due[worker] = maintained
        return sorted(
            (maintained, worker)
            for worker, maintained in self._due.items()
            if self._fleet.can_start(worker)
        )
