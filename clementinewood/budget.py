"""Computes availability budgets from planned and unplanned unavailability."""

import dataclasses

from clementinewood import fleet, fleet_record, identifiers


@dataclasses.dataclass(frozen=True, slots=True)
class Headroom:
    """Number of hosts of a pool that planning may still take out of service.

    Attributes:
        pool: Hosts left in the pool's budget; negative if exceeded.
        zone: Hosts left in its budget for one zone; negative if exceeded.
    """

    pool: int
    zone: int

    @property
    def hosts(self) -> int:
        """Smaller of the two values, at least 0."""
        return max(0, min(self.pool, self.zone))


class AvailabilityBudget:
    """Computes how many hosts planning may still take out of service.

    Every planned cause (maintenance, rolls, moves) and every unplanned one
    (failures, leaving hosts, zones out) is counted in the same place, so
    causes that overlap cannot each use the budget.

    Args:
        fleet_view: Folded state joined with the host reports.
    """

    def __init__(self, fleet_view: fleet.Fleet) -> None:
        self._fleet = fleet_view

    def measure(
        self, pool: identifiers.PoolId, zone: identifiers.ZoneId
    ) -> Headroom:
        """Returns the hosts left in the budgets of `pool` and its `zone`."""
        spec = self._fleet.state.declaration.pools.get(pool)
        counts = self._fleet.pools.get(pool)
        if spec is None or counts is None:
            return Headroom(0, 0)
        return Headroom(
            spec.max_unavailable
            - counts.planned_count
            - counts.unplanned_count,
            spec.max_unavailable_zone
            - counts.planned.get(zone, 0)
            - counts.unplanned.get(zone, 0),
        )

    def allows(self, worker: identifiers.WorkerId) -> bool:
        """Whether the host may be taken out of service now.

        Hosts that are not guarded are not limited, and a guarded host that
        is already unavailable uses no further budget.
        """
        state = self._fleet.state
        host = state.hosts.get(worker)
        report = self._fleet.reports.get(worker)
        if host is None or report is None:
            return False
        if not state.is_guarded(worker):
            return True
        return self.measure(host.pool, report.worker.zone).hosts > 0

    def is_exceeded(self, worker: identifiers.WorkerId) -> bool:
        """Whether a budget that the host counts against is exceeded."""
        host = self._fleet.state.hosts[worker]
        report = self._fleet.reports.get(worker)
        if report is None or not self._fleet.state.is_guarded(worker):
            return False
        headroom = self.measure(host.pool, report.worker.zone)
        return min(headroom.pool, headroom.zone) < 0


@dataclasses.dataclass(slots=True)
class Reservation:
    """Budget use by records of one planning round that are not folded yet.

    Several hosts of one pool may be cordoned in one round; each record names
    the pool version that results from the record before it.
    """

    budget: AvailabilityBudget
    state_versions: dict[identifiers.PoolId, int]
    pool_uses: dict[identifiers.PoolId, int] = dataclasses.field(
        default_factory=dict
    )
    guarded_uses: dict[identifiers.PoolId, int] = dataclasses.field(
        default_factory=dict
    )
    zone_uses: dict[tuple[identifiers.PoolId, identifiers.ZoneId], int] = (
        dataclasses.field(default_factory=dict)
    )

    def next_version(self, pool: identifiers.PoolId) -> int:
        """Returns the pool version for the round's next record on `pool`."""
        used = self.pool_uses.get(pool, 0)
        self.pool_uses[pool] = used + 1
        return self.state_versions.get(pool, 0) + used

    def left(self, pool: identifiers.PoolId, zone: identifiers.ZoneId) -> int:
        """Returns how many hosts the round may still take out of service."""
        headroom = self.budget.measure(pool, zone)
        return min(
            headroom.pool - self.guarded_uses.get(pool, 0),
            headroom.zone - self.zone_uses.get((pool, zone), 0),
        )

    def take(self, pool: identifiers.PoolId, zone: identifiers.ZoneId) -> None:
        """Counts one more guarded host of `pool` in `zone`."""
        self.guarded_uses[pool] = self.guarded_uses.get(pool, 0) + 1
        place = (pool, zone)
        self.zone_uses[place] = self.zone_uses.get(place, 0) + 1


def create_reservation(
    fleet_view: fleet.Fleet, budget: AvailabilityBudget
) -> Reservation:
    """Returns an empty reservation for one planning round."""
    return Reservation(budget, fleet_view.state.pool_versions)


if __name__ == "__main__":
    print(Headroom(1, 0).hosts, fleet_record.PoolDeclaration(()))
