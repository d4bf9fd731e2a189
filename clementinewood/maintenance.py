"""Schedules maintenance of every host once per period, zone by zone."""

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
    """Periods and thresholds of maintenance.

    Attributes:
        period: Seconds within which every host is maintained once.
        lead: Fraction of the period after which a host is due. The rest is a
            reserve for pauses and for hosts whose pool has no budget left.
        urgent: Fraction of the period after which a host is maintained even if
            its pool needs it.
        pause_hosts: Number of recent unplanned losses that count as correlated
            and pause maintenance.
        pause_fraction: The same as a fraction of the fleet. The larger number
            applies, since a large fleet always has some failed hosts.
        quiet: Seconds without correlated losses after which maintenance
            resumes.
        pools_apart: Whether each pool proceeds through the zones separately.
            Otherwise, the fleet is maintained in one zone at a time, and all
            pools wait for the slowest, which takes longer with more pools.
    """

    period: float = 6 * WEEK
    lead: float = 0.75
    urgent: float = 0.9
    pause_hosts: int = 3
    pause_fraction: float = 0.01
    quiet: float = 900.0
    pools_apart: bool = False


class Maintenance:
    """Chooses hosts for maintenance and pauses on correlated failures.

    Args:
        fleet_view: Folded state joined with host reports.
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
        """Replaces the settings and recomputes which hosts are due."""
        if settings == self.settings:
            return
        self.settings = settings
        self._queue.clear()
        self._due.clear()
        self._queued.clear()
        self._on_change(None)

    def _on_change(self, worker: identifiers.WorkerId | None) -> None:
        """Queues hosts whose time of last maintenance has changed."""
        hosts = self._fleet.state.hosts
        for changed in hosts if worker is None else (worker,):
            maintained = hosts[changed].maintained
            if self._queued.get(changed) != maintained:
                self._queued[changed] = maintained
                self._due.pop(changed, None)
                heapq.heappush(self._queue, (maintained, changed))

    def count_recent_losses(self, now: float) -> int:
        """Returns the number of unplanned losses that may be correlated.

        Hosts recorded as lost or broken for more than `quiet` seconds do not
        count, since a host that never returns must not stop maintenance
        permanently. Hosts in zones out do not count, since operators took them
        out.
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
        """Number of recent losses at which maintenance pauses."""
        return max(
            self.settings.pause_hosts,
            int(self.settings.pause_fraction * len(self._fleet.state.hosts)),
        )

    def is_paused(self, now: float) -> bool:
        """Returns whether no new maintenance or roll work may start."""
        return (
            self._fleet.state.pause.paused
            or self.count_recent_losses(now) >= self.threshold
        )

    def active_zone(self) -> identifiers.ZoneId | None:
        """Returns a zone in which planned work is in progress."""
        return next(iter(self._list_active().values()), None)

    def is_due(self, maintained: float, now: float) -> bool:
        """Returns whether a host last maintained at `maintained` is due."""
        return now >= maintained + self.settings.lead * self.settings.period

    def is_urgent(self, maintained: float, now: float) -> bool:
        """Returns whether a host is maintained even if its pool needs it."""
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
            limit: Maximum number of records.
            zone: The only zone allowed, for example that of a roll.
            can_spare: Returns whether a host's pool meets its need without it;
                not called for urgent hosts.

        Returns:
            The records, starting with the longest time since maintenance.
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
        """Returns the pool, or None for the whole fleet.

        Planned work of one scope is limited to one zone at a time.
        """
        if self.settings.pools_apart:
            return self._fleet.state.hosts[worker].pool
        return None

    def _list_active(
        self,
    ) -> dict[identifiers.PoolId | None, identifiers.ZoneId]:
        """Returns the zone with planned work in progress of each scope."""
        active = {}
        for worker in sorted(self._fleet.in_progress):
            host = self._fleet.state.hosts[worker]
            if host.is_planned and host.purpose is not Purpose.MOVE:
                report = self._fleet.reports.get(worker)
                if report is not None:
                    active[self._scope(worker)] = report.worker.zone
        return active

    def _list_due(self, now: float) -> list[tuple[float, identifiers.WorkerId]]:
        """Returns due serving hosts, longest since maintenance first."""
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
