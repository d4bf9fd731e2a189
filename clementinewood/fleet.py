"""The planner's view of the fleet: hosts, failure domains and pools."""

import dataclasses
import enum
from collections.abc import Iterable
from collections.abc import Set as AbstractSet

from clementinewood import capacity, fleet_fold, fleet_record, identifiers

Step = fleet_record.Step


@dataclasses.dataclass(frozen=True, slots=True)
class Worker:
    """A host, its failure domains and its size."""

    id: identifiers.WorkerId
    zone: identifiers.ZoneId
    rack: identifiers.RackId
    resources: capacity.Resources = capacity.DEFAULT


@dataclasses.dataclass(frozen=True, slots=True)
class Rack:
    """Hosts that fail together with their rack or switch."""

    id: identifiers.RackId
    zone: identifiers.ZoneId
    workers: tuple[identifiers.WorkerId, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class AvailabilityZone:
    """Racks that fail together with their zone."""

    id: identifiers.ZoneId
    racks: tuple[Rack, ...]


class Listing(enum.Enum):
    """State of a host in the platform's host list."""

    LIVE = "live"
    LEAVING = "leaving"
    ABSENT = "absent"


@dataclasses.dataclass(frozen=True, slots=True)
class HostReport:
    """Last report about a host.

    Attributes:
        worker: The host and its failure domains.
        listing: Its state in the host list.
        running: Number of running tasks.
        boot: Id that changes with every boot.
        healthy: Result of its own checks; a host on which all tasks fail is
            reported unhealthy.
        pool: Pool whose service it runs.
        time: Log time of the report, in seconds.
    """

    worker: Worker
    listing: Listing = Listing.LIVE
    running: int = 0
    boot: str = ""
    healthy: bool = True
    pool: identifiers.PoolId | None = None
    time: float = 0.0


class Availability(enum.Enum):
    """How a host counts in its pool."""

    SERVING = "serving"
    ARRIVING = "arriving"
    PLANNED = "planned"
    UNPLANNED = "unplanned"


class Pool:
    """Counts one pool's hosts, updated with every change of a host.

    Attributes:
        members: All hosts assigned to the pool.
        serving: Hosts that accept work, by zone.
        arriving: Hosts that were assigned and do not serve yet. They do not
            count as unavailable, since they never served the pool.
        incoming: Hosts of other pools that drain for a move to this pool.
        absent: Hosts out of service because of failures or zones out.
        worked_on: Resources of hosts in maintenance or rolls, which return
            soon.
        planned: Number of guarded hosts in planned work, by zone.
        unplanned: Number of guarded hosts otherwise out of service, by zone.
        capacity: Resources of the serving hosts.
        pending: Resources of the arriving and incoming hosts.
    """

    def __init__(self, pool: identifiers.PoolId) -> None:
        self.id = pool
        self.members: set[identifiers.WorkerId] = set()
        self.serving: dict[identifiers.ZoneId, set[identifiers.WorkerId]] = {}
        self.arriving: set[identifiers.WorkerId] = set()
        self.incoming: set[identifiers.WorkerId] = set()
        self.absent: set[identifiers.WorkerId] = set()
        self.worked_on = capacity.Resources()
        self.planned: dict[identifiers.ZoneId, int] = {}
        self.unplanned: dict[identifiers.ZoneId, int] = {}
        self.capacity = capacity.Resources()
        self.pending = capacity.Resources()

    @property
    def serving_count(self) -> int:
        """Number of hosts that accept work."""
        return sum(len(hosts) for hosts in self.serving.values())

    @property
    def planned_count(self) -> int:
        """Number of guarded hosts in planned work."""
        return sum(self.planned.values())

    @property
    def unplanned_count(self) -> int:
        """Number of guarded hosts otherwise out of service."""
        return sum(self.unplanned.values())


@dataclasses.dataclass(frozen=True, slots=True)
class _Contribution:
    """How a host is counted, stored to subtract it on a change."""

    pool: identifiers.PoolId
    zone: identifiers.ZoneId
    availability: Availability
    guarded: bool
    resources: capacity.Resources
    target: identifiers.PoolId | None


class Fleet:
    """Joins the folded state with the reports about hosts.

    Args:
        state: Folded state, whose changes the fleet observes.
        lazy: Whether to recount all hosts only in `refresh`. A recount takes
            about 0.3 s for 12,000 hosts, and entries that do not plan need no
            counts.
    """

    def __init__(
        self, state: fleet_fold.FleetState, *, lazy: bool = False
    ) -> None:
        self.state = state
        self._lazy = lazy
        self._recount_pending = False
        self.reports: dict[identifiers.WorkerId, HostReport] = {}
        self.pools: dict[identifiers.PoolId, Pool] = {}
        self.in_progress: set[identifiers.WorkerId] = set()
        self.unavailable: set[identifiers.WorkerId] = set()
        self.unassigned: set[identifiers.WorkerId] = set()
        self.outdated: dict[identifiers.ZoneId, set[identifiers.WorkerId]] = {}
        self.evidence_time = float("-inf")
        self.absent_at: dict[identifiers.WorkerId, float] = {}
        self.zone_sizes: dict[identifiers.ZoneId, int] = {}
        self._counted: dict[identifiers.WorkerId, _Contribution] = {}
        state.subscribe(self._on_change)
        self._rebuild()

    def observe(self, report: HostReport) -> None:
        """Applies a report about one host, unless a newer one is known."""
        old = self.reports.get(report.worker.id)
        if old is not None and report.time < old.time:
            return
        self.reports[report.worker.id] = report
        if report.listing is not Listing.LIVE:
            self.absent_at[report.worker.id] = report.time
        self.evidence_time = max(self.evidence_time, report.time)
        if old is None or old.worker.zone != report.worker.zone:
            self._count_zone(old, -1)
            self._count_zone(report, 1)
        if (
            old is None
            or old.listing is not report.listing
            or old.healthy is not report.healthy
            or old.worker is not report.worker
        ):
            self._refresh(report.worker.id)

    def _count_zone(self, report: HostReport | None, sign: int) -> None:
        if report is not None:
            zone = report.worker.zone
            self.zone_sizes[zone] = self.zone_sizes.get(zone, 0) + sign

    def observe_list(self, reports: Iterable[HostReport], now: float) -> None:
        """Applies a whole host list; hosts missing from it are absent.

        For a host that is listed twice, the worse report counts.
        """
        merged: dict[identifiers.WorkerId, HostReport] = {}
        for report in reports:
            other = merged.get(report.worker.id)
            if other is None or _rank_by_severity(report) > _rank_by_severity(
                other
            ):
                merged[report.worker.id] = report
        self.observe_changes(merged.values(), merged.keys(), now)

    def observe_changes(
        self,
        reports: Iterable[HostReport],
        listed: AbstractSet[identifiers.WorkerId],
        now: float,
    ) -> None:
        """Applies the changes of a host list.

        Args:
            reports: New reports; the other listed hosts are unchanged.
            listed: Every host of the list; hosts missing from it are absent.
            now: Log time at which the list was read.
        """
        for worker in self.reports.keys() - listed:
            old = self.reports[worker]
            if old.listing is not Listing.ABSENT:
                self.observe(
                    dataclasses.replace(
                        old, listing=Listing.ABSENT, running=0, time=now
                    )
                )
        for report in reports:
            self.observe(report)
        self.evidence_time = max(self.evidence_time, now)

    def classify(self, worker: identifiers.WorkerId) -> Availability:
        """Returns how the host counts in its pool now."""
        host = self.state.hosts[worker]
        report = self.reports.get(worker)
        if host.is_planned:
            return Availability.PLANNED
        if (
            report is None
            or report.listing is not Listing.LIVE
            or not report.healthy
            or host.step in (Step.LOST, Step.BROKEN, Step.CHECKING)
            or report.worker.zone in self.state.declaration.zones_out
        ):
            return Availability.UNPLANNED
        if host.step is Step.ARRIVING:
            return Availability.ARRIVING
        return Availability.SERVING

    def can_start(self, worker: identifiers.WorkerId) -> bool:
        """Returns whether a task may start on the host."""
        counted = self._counted.get(worker)
        return (
            counted is not None and counted.availability is Availability.SERVING
        )

    def list_zones(self) -> tuple[AvailabilityZone, ...]:
        """Returns the failure domains with their hosts."""
        racks: dict[
            tuple[identifiers.ZoneId, identifiers.RackId],
            list[identifiers.WorkerId],
        ] = {}
        for report in self.reports.values():
            place = (report.worker.zone, report.worker.rack)
            racks.setdefault(place, []).append(report.worker.id)
        zones: dict[identifiers.ZoneId, list[Rack]] = {}
        for (zone, rack), workers in sorted(racks.items()):
            zones.setdefault(zone, []).append(
                Rack(rack, zone, tuple(sorted(workers)))
            )
        return tuple(
            AvailabilityZone(zone, tuple(members))
            for zone, members in zones.items()
        )

    def refresh(self) -> None:
        """Recounts all hosts if a lazy recount is pending."""
        if self._recount_pending:
            self._rebuild()

    def _on_change(self, worker: identifiers.WorkerId | None) -> None:
        if worker is None and self._lazy:
            self._recount_pending = True
        elif worker is None:
            self._rebuild()
        elif not self._recount_pending:
            self._refresh(worker)

    def _rebuild(self) -> None:
        self._recount_pending = False
        self.pools = {pool: Pool(pool) for pool in self.state.declaration.pools}
        self._counted.clear()
        self.in_progress.clear()
        self.unavailable.clear()
        self.outdated.clear()
        self.unassigned = self.reports.keys() - self.state.hosts.keys()
        for worker in self.state.hosts:
            self._refresh(worker)

    def _refresh(self, worker: identifiers.WorkerId) -> None:
        host = self.state.hosts.get(worker)
        if host is None:
            self.unassigned.add(worker)
            return
        self.unassigned.discard(worker)
        report = self.reports.get(worker)
        place = report.worker if report else None
        availability = self.classify(worker)
        # The budget does not protect an arriving host yet.
        guarded = (
            self.state.is_guarded(worker) and host.step is not Step.ARRIVING
        )
        new = _Contribution(
            host.pool,
            place.zone if place else identifiers.ZoneId(""),
            availability,
            guarded,
            place.resources if place else capacity.Resources(),
            host.target,
        )
        old = self._counted.get(worker)
        if old == new:
            self._track(worker, host, new)
            return
        if old is not None:
            self._count(worker, old, -1)
        self._counted[worker] = new
        self._count(worker, new, 1)
        self._track(worker, host, new)

    def _track(
        self,
        worker: identifiers.WorkerId,
        host: fleet_fold.HostState,
        counted: _Contribution,
    ) -> None:
        spec = self.state.declaration.pools.get(host.pool)
        if spec is not None and host.revision < spec.revision:
            self.outdated.setdefault(counted.zone, set()).add(worker)
        elif counted.zone in self.outdated:
            self.outdated[counted.zone].discard(worker)
        if host.step is Step.IN_SERVICE:
            self.in_progress.discard(worker)
        else:
            self.in_progress.add(worker)
        if counted.availability is Availability.UNPLANNED:
            self.unavailable.add(worker)
        else:
            self.unavailable.discard(worker)

    def _count(
        self, worker: identifiers.WorkerId, counted: _Contribution, sign: int
    ) -> None:
        pool = self.pools.get(counted.pool)
        if pool is None:
            pool = self.pools[counted.pool] = Pool(counted.pool)
        _toggle(pool.members, worker, sign)
        amount = counted.resources.scale(sign)
        match counted.availability:
            case Availability.SERVING:
                hosts = pool.serving.setdefault(counted.zone, set())
                _toggle(hosts, worker, sign)
                pool.capacity += amount
            case Availability.ARRIVING:
                _toggle(pool.arriving, worker, sign)
                pool.pending += amount
            case Availability.PLANNED:
                _add(pool.planned, counted, sign)
                target = self.pools.get(counted.target or pool.id, pool)
                if target is pool:
                    pool.worked_on += amount
                else:
                    _toggle(target.incoming, worker, sign)
                    target.pending += amount
            case Availability.UNPLANNED:
                _add(pool.unplanned, counted, sign)
                _toggle(pool.absent, worker, sign)


def _add(
    counts: dict[identifiers.ZoneId, int], counted: _Contribution, sign: int
) -> None:
    if counted.guarded:
        counts[counted.zone] = counts.get(counted.zone, 0) + sign


def _toggle(
    hosts: set[identifiers.WorkerId], worker: identifiers.WorkerId, sign: int
) -> None:
    if sign > 0:
        hosts.add(worker)
    else:
        hosts.discard(worker)


def _rank_by_severity(report: HostReport) -> tuple[bool, bool, float]:
    return (
        report.listing is not Listing.LIVE,
        not report.healthy,
        report.time,
    )


if __name__ == "__main__":
    print(Fleet(fleet_fold.FleetState()).list_zones())
