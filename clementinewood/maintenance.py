"""Maintenance of every host once in a period, one failure domain at a time."""

import dataclasses

from clementinewood import (
    budget,
    fleet,
    fleet_fold,
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
        pause_hosts: Recent unplanned losses that make a correlated wave.
        pause_fraction: The same as a fraction of the fleet; the larger
            number applies, since a large fleet always has some hosts down.
        quiet: Seconds without a wave after which maintenance resumes.
    """

    period: float = 6 * WEEK
    lead: float = 0.75
    pause_hosts: int = 3
    pause_fraction: float = 0.01
    quiet: float = 900.0


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
        """Returns the zone in which planned work is in progress."""
        for worker in sorted(self._fleet.in_progress):
            host = self._fleet.state.hosts[worker]
            if host.is_planned and host.purpose is not Purpose.MOVE:
                report = self._fleet.reports.get(worker)
                if report is not None:
                    return report.worker.zone
        return None

    def is_due(self, host: fleet_fold.HostState, now: float) -> bool:
        """Whether the host should be maintained now."""
        due = host.maintained + self.settings.lead * self.settings.period
        return now >= due

    def start(
        self,
        reservation: budget.Reservation,
        now: float,
        *,
        limit: int,
        zone: identifiers.ZoneId | None = None,
    ) -> list[fleet_record.Payload]:
        """Cordons due hosts in one zone as far as the budgets allow.

        Args:
            reservation: Budget use of this round.
            now: Log time.
            limit: Largest number of records.
            zone: The only zone allowed, for example that of a roll.

        Returns:
            The records, oldest maintenance first.
        """
        if self.is_paused(now):
            return []
        zone = zone or self.active_zone()
        due = self._list_due(now)
        zones = [zone] if zone else list(dict.fromkeys(z for _, _, z in due))
        for candidate in zones:
            records: list[fleet_record.Payload] = []
            for _, worker, place in due:
                if place != candidate or len(records) >= limit:
                    continue
                record = self._wave.start(
                    worker, Purpose.MAINTENANCE, reservation, now
                )
                if record is not None:
                    records.append(record)
            if records:
                return records
        return []

    def _list_due(
        self, now: float
    ) -> list[tuple[float, identifiers.WorkerId, identifiers.ZoneId]]:
        due = []
        for worker, host in self._fleet.state.hosts.items():
            if self.is_due(host, now) and self._fleet.can_start(worker):
                zone = self._fleet.reports[worker].worker.zone
                due.append((host.maintained, worker, zone))
        return sorted(due)
