"""Advances hosts through cordon, drain, reboot, check and return to service.

Maintenance and rolls share these steps, so that a host is taken out of service
once. Each step depends only on the folded state and on host reports, so a new
planner completes or undoes the steps that another one started.
"""

import dataclasses
import typing
from collections.abc import Iterable

from clementinewood import budget, fleet, fleet_fold, fleet_record, identifiers

Step = fleet_record.Step
Purpose = fleet_record.Purpose


@dataclasses.dataclass(frozen=True, slots=True)
class WaveSettings:
    """Times of the steps, in seconds.

    Attributes:
        validity: Time within which a record must reach the log.
        settle: Time after a cordon until every entry has folded it; earlier
            reports do not show that a host is idle. Entries act on
            configuration up to 2 s old, plus the time of a send in progress.
        drain: Time after which running tasks are asked to checkpoint.
        give_up: Time after which an undrained host is returned to service.
        reboot: Time after which a rebooting host counts as lost.
        check: Time after which a host that fails its checks counts as broken.
        arrive: Time after which an assigned host that does not serve its pool
            counts as lost.
        lost: Unplanned absence after which a host is recorded as lost.
        zone_loss: Absent fraction of a zone's hosts above which the whole zone
            counts as lost, and its hosts are not recorded individually.
    """

    validity: float = 10.0
    settle: float = 5.0
    drain: float = 600.0
    give_up: float = 7200.0
    reboot: float = 1800.0
    check: float = 900.0
    arrive: float = 900.0
    lost: float = 900.0
    zone_loss: float = 0.5


class Wave:
    """Advances hosts that are out of service and takes others out.

    Args:
        fleet_view: Folded state joined with host reports.
        budgets: Availability budgets over the same view.
        settings: Times of the steps.
    """

    def __init__(
        self,
        fleet_view: fleet.Fleet,
        budgets: budget.AvailabilityBudget,
        settings: WaveSettings,
    ) -> None:
        self._fleet = fleet_view
        self._budget = budgets
        self.settings = settings
        self._absent_since: dict[identifiers.WorkerId, float] = {}

    def advance(
        self, reservation: budget.Reservation, now: float
    ) -> list[fleet_record.Payload]:
        """Returns the next step of every host for which one is due."""
        records: list[fleet_record.Payload] = []
        returned: dict[identifiers.PoolId, int] = {}
        for worker in sorted(self._fleet.in_progress):
            record = self._advance_host(worker, reservation, now, returned)
            if record is not None:
                records.append(record)
                records.extend(self._pass_check(record))
        records.extend(self._record_losses(now))
        return records

    def start(
        self,
        worker: identifiers.WorkerId,
        purpose: Purpose,
        reservation: budget.Reservation,
        now: float,
        *,
        target: identifiers.PoolId | None = None,
    ) -> fleet_record.MaintenanceStep | None:
        """Returns the record that cordons a host, if budgets allow it."""
        state = self._fleet.state
        host = state.hosts[worker]
        if not self._fleet.can_start(worker):
            return None
        zone = self._fleet.reports[worker].worker.zone
        if state.is_guarded(worker):
            if reservation.left(host.pool, zone) <= 0:
                return None
            reservation.take(host.pool, zone)
        return fleet_record.MaintenanceStep(
            worker,
            Step.CORDONED,
            host.version,
            now + self.settings.validity,
            purpose=purpose,
            target=target,
            pool_version=reservation.next_version(host.pool),
        )

    def is_drained(self, worker: identifiers.WorkerId) -> bool:
        """Returns whether a report since the cordon shows no running task."""
        host = self._fleet.state.hosts[worker]
        report = self._fleet.reports.get(worker)
        return (
            report is not None
            and report.listing is fleet.Listing.LIVE
            and report.running == 0
            and report.time >= host.since + self.settings.settle
        )

    def _advance_host(
        self,
        worker: identifiers.WorkerId,
        reservation: budget.Reservation,
        now: float,
        returned: dict[identifiers.PoolId, int],
    ) -> fleet_record.Payload | None:
        host = self._fleet.state.hosts[worker]
        report = self._fleet.reports.get(worker)
        waited = now - host.since
        match host.step:
            case Step.CORDONED | Step.CHECKPOINTING:
                return self._advance_drain(
                    worker, host, report, reservation, now, returned
                )
            case Step.REBOOTING:
                if _is_live(report) and self._has_rebooted(host, report):
                    return self._step(worker, Step.CHECKING, now)
                if waited > self.settings.reboot:
                    return self._step(worker, Step.LOST, now)
            case Step.CHECKING:
                if _is_live(report) and report.time > host.since:
                    if report.healthy and report.pool in (None, host.pool):
                        return self._step(worker, Step.IN_SERVICE, now)
                    if waited > self.settings.check:
                        return self._step(worker, Step.BROKEN, now)
                elif waited > self.settings.check:
                    return self._step(worker, Step.LOST, now)
            case Step.ARRIVING:
                if (
                    _is_live(report)
                    and report.healthy
                    and report.pool == host.pool
                    and report.time > host.since
                ):
                    return self._step(worker, Step.IN_SERVICE, now)
                working = _is_live(report) and report.running > 0
                if waited > self.settings.arrive and not working:
                    return self._step(worker, Step.LOST, now)
            case Step.BROKEN | Step.LOST:
                if (
                    _is_live(report)
                    and report.healthy
                    and report.time > host.since
                ):
                    return self._step(worker, Step.CHECKING, now)
        return None

    def _has_rebooted(
        self, host: fleet_fold.HostState, report: fleet.HostReport
    ) -> bool:
        """Returns whether a report since the reboot record shows a new boot.

        If the platform reports no boot id, an absence shows the reboot.
        """
        if report.time <= host.since:
            return False
        if host.boot:
            return report.boot != host.boot
        worker = report.worker.id
        return self._fleet.absent_at.get(worker, host.since) > host.since

    def _pass_check(
        self, record: fleet_record.Payload
    ) -> Iterable[fleet_record.Payload]:
        """Returns a host to service at once if its reboot report is good."""
        if not (
            isinstance(record, fleet_record.MaintenanceStep)
            and record.step is Step.CHECKING
        ):
            return
        host = self._fleet.state.hosts[record.worker]
        report = self._fleet.reports[record.worker]
        if (
            host.step is Step.REBOOTING
            and report.healthy
            and report.pool in (None, host.pool)
        ):
            yield dataclasses.replace(
                record, step=Step.IN_SERVICE, expected=record.expected + 1
            )

    def _advance_drain(
        self,
        worker: identifiers.WorkerId,
        host: fleet_fold.HostState,
        report: fleet.HostReport | None,
        reservation: budget.Reservation,
        now: float,
        returned: dict[identifiers.PoolId, int],
    ) -> fleet_record.Payload | None:
        waited = now - host.since
        if not _is_live(report):
            if waited > self.settings.lost:
                return self._step(worker, Step.LOST, now)
            return None
        if self._must_undo(worker, host, returned):
            returned[host.pool] = returned.get(host.pool, 0) + 1
            return self._step(worker, Step.IN_SERVICE, now)
        if waited > self.settings.give_up:
            return self._step(worker, Step.IN_SERVICE, now)
        if self.is_drained(worker):
            return self._finish_drain(worker, host, report, reservation, now)
        if host.step is Step.CORDONED and waited > self.settings.drain:
            return self._step(worker, Step.CHECKPOINTING, now)
        return None

    def _must_undo(
        self,
        worker: identifiers.WorkerId,
        host: fleet_fold.HostState,
        returned: dict[identifiers.PoolId, int],
    ) -> bool:
        """Returns whether unplanned unavailability exceeds the budget.

        Hosts that are already returned in this round count as available.
        """
        report = self._fleet.reports[worker]
        if not self._fleet.state.is_guarded(worker):
            return False
        budget_left = self._budget.measure(host.pool, report.worker.zone)
        returned_count = returned.get(host.pool, 0)
        return (
            budget_left.pool + returned_count < 0
            or budget_left.zone + returned_count < 0
        )

    def _finish_drain(
        self,
        worker: identifiers.WorkerId,
        host: fleet_fold.HostState,
        report: fleet.HostReport,
        reservation: budget.Reservation,
        now: float,
    ) -> fleet_record.Payload | None:
        if host.purpose is not Purpose.MOVE:
            return self._step(worker, Step.REBOOTING, now, boot=report.boot)
        target = host.target
        zones_out = self._fleet.state.declaration.zones_out
        if (
            target is None
            or target not in self._fleet.state.declaration.pools
            or report.worker.zone in zones_out
        ):
            return self._step(worker, Step.IN_SERVICE, now)
        return fleet_record.WorkerAssigned(
            worker,
            target,
            host.version,
            reservation.next_version(host.pool),
            now + self.settings.validity,
        )

    def is_absent(self, worker: identifiers.WorkerId) -> bool:
        """Returns whether the host is absent and its zone is not out."""
        report = self._fleet.reports.get(worker)
        zones_out = self._fleet.state.declaration.zones_out
        return (
            report is not None
            and not _is_live(report)
            and report.worker.zone not in zones_out
        )

    def absent_for(self, worker: identifiers.WorkerId, now: float) -> float:
        """Returns the seconds since this planner first saw it absent."""
        return now - self._absent_since.get(worker, now)

    def _record_losses(self, now: float) -> Iterable[fleet_record.Payload]:
        """Yields records of serving hosts that stay absent.

        Hosts of a zone that is out or mostly absent are skipped, since their
        records would overload the log at the loss and again at the return.
        """
        state = self._fleet.state
        absent: dict[identifiers.WorkerId, float] = {}
        by_zone: dict[identifiers.ZoneId, list[identifiers.WorkerId]] = {}
        for worker in sorted(self._fleet.unavailable):
            if state.hosts[worker].step is not Step.IN_SERVICE:
                continue
            report = self._fleet.reports.get(worker)
            if _is_live(report) and report.healthy:
                continue
            absent[worker] = self._absent_since.get(worker, now)
            zone = report.worker.zone if report else identifiers.ZoneId("")
            by_zone.setdefault(zone, []).append(worker)
        self._absent_since = absent
        for zone, workers in by_zone.items():
            size = self._fleet.zone_sizes.get(zone, 0)
            if (
                zone in state.declaration.zones_out
                or len(workers) > max(1, size) * self.settings.zone_loss
            ):
                continue
            for worker in workers:
                if now - absent[worker] > self.settings.lost:
                    yield self._step(worker, Step.LOST, now)

    def _step(
        self,
        worker: identifiers.WorkerId,
        step: Step,
        now: float,
        *,
        boot: str = "",
    ) -> fleet_record.MaintenanceStep:
        return fleet_record.MaintenanceStep(
            worker,
            step,
            self._fleet.state.hosts[worker].version,
            now + self.settings.validity,
            boot=boot,
        )


def _is_live(
    report: fleet.HostReport | None,
) -> typing.TypeGuard[fleet.HostReport]:
    return report is not None and report.listing is fleet.Listing.LIVE
