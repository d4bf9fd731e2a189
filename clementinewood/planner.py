"""Plans the fleet records: host steps, rolls, moves and maintenance."""

import dataclasses
from collections.abc import Mapping

from clementinewood import (
    budget,
    capacity,
    fleet,
    fleet_fold,
    fleet_record,
    identifiers,
    maintenance,
    move,
    rollout,
    sparecapacity,
    wave,
)

RollAction = fleet_record.RollAction


@dataclasses.dataclass(frozen=True, slots=True)
class PlannerSettings:
    """Settings of the planner and its parts.

    Attributes:
        lease: Duration of the planner lease, in seconds of log time.
        evidence: Maximum age of the host list, in seconds, for planning. After
            a pause of its process, a planner still has the list from before.
        limit: Maximum number of records of one round.
        moves: Settings of the moves.
        steps: Times of the steps.
        spare: Losses that the spare capacity covers.
        waves: Periods and thresholds of maintenance.
        rolls: Thresholds for completing and halting a roll.
    """

    lease: float = 10.0
    evidence: float = 30.0
    limit: int = 50
    moves: move.MoveSettings = dataclasses.field(
        default_factory=move.MoveSettings
    )
    steps: wave.WaveSettings = dataclasses.field(
        default_factory=wave.WaveSettings
    )
    spare: sparecapacity.BufferSettings = dataclasses.field(
        default_factory=sparecapacity.BufferSettings
    )
    waves: maintenance.MaintenanceSettings = dataclasses.field(
        default_factory=maintenance.MaintenanceSettings
    )
    rolls: rollout.RolloutSettings = dataclasses.field(
        default_factory=rollout.RolloutSettings
    )


class Planner:
    """Plans rounds of fleet records.

    Any number of planners may run. Every record states the versions that it
    replaces, so log order decides between them, and the lease only avoids
    duplicate work.

    Args:
        me: Incarnation of the entry that plans.
        fleet_view: Folded state joined with host reports.
        settings: Settings of the planner and its parts.
    """

    def __init__(
        self,
        me: identifiers.Incarnation,
        fleet_view: fleet.Fleet,
        settings: PlannerSettings | None = None,
    ) -> None:
        self.me = me
        self.fleet = fleet_view
        self.settings = settings or PlannerSettings()
        self.budget = budget.AvailabilityBudget(fleet_view)
        self.wave = wave.Wave(fleet_view, self.budget, self.settings.steps)
        self.maintenance = maintenance.Maintenance(
            fleet_view, self.wave, self.settings.waves
        )
        self.rollout = rollout.Rollout(
            fleet_view,
            self.settings.rolls,
            validity=self.settings.steps.validity,
        )
        self.spare_capacity = sparecapacity.SpareCapacityPlanner(
            self.settings.spare
        )
        self.mover = move.Mover(fleet_view, self.wave, self.settings.moves)

    def holds_lease(self, now: float) -> bool:
        """Returns whether this planner holds an unexpired lease."""
        lease = self.fleet.state.lease
        return lease.holder == self.me and now < lease.until

    def plan_lease(self, now: float) -> fleet_record.PlannerLease | None:
        """Returns the record that acquires or renews the lease, if due."""
        lease = self.fleet.state.lease
        renew = lease.holder == self.me and (
            lease.until - now < self.settings.lease / 2
        )
        if renew or now >= lease.until:
            return fleet_record.PlannerLease(
                self.me, lease.version, self.settings.lease
            )
        return None

    def plan(
        self,
        needs: move.Needs,
        now: float,
        *,
        fresh: bool = True,
        signals: Mapping[identifiers.ZoneId, rollout.Signals] | None = None,
    ) -> list[fleet_record.Payload]:
        """Returns the records of one round, in the order to append them.

        Args:
            needs: Resources that each pool's work needs, without the pools
                whose need is unknown.
            now: Log time.
            fresh: Whether the folded log is known to be current; otherwise
                nothing is planned.
            signals: Health by zone for a roll in progress.

        Returns:
            Steps in progress first, then the roll, moves and maintenance.
        """
        age = now - self.fleet.evidence_time
        if not fresh or age > self.settings.evidence:
            return []
        reservation = budget.create_reservation(self.fleet, self.budget)
        records = self.wave.advance(reservation, now)
        pause = self.maintenance.plan_pause(now)
        if pause is not None:
            records.append(pause)
        paused = self.maintenance.is_paused(now)
        step = self.rollout.plan(signals or {}, now, paused=paused)
        if step is not None:
            records.append(step)
        records.extend(
            self.mover.plan(
                needs, reservation, now, limit=self._count_remaining(records)
            )
        )
        if not paused:
            records.extend(
                self._plan_waves(
                    reservation, now, self._count_remaining(records)
                )
            )
        return records[: self.settings.limit]

    def plan_spare_capacity(
        self, needs: move.Needs
    ) -> sparecapacity.SpareCapacityPlan:
        """Returns the hosts to keep in service for `needs`.

        Hosts outside the plan may be released. If the plan is not satisfied,
        the fleet is too small for the losses it should survive. `needs` should
        include little headroom, since the spare hosts provide it.
        """
        return self.spare_capacity.require_spare(
            needs,
            (
                self.fleet.reports[worker].worker
                for worker in self.fleet.state.hosts
                if self.fleet.can_start(worker)
            ),
            sum(
                pool.max_unavailable
                for pool in self.fleet.state.declaration.pools.values()
            ),
        )

    def _count_remaining(self, records: list[fleet_record.Payload]) -> int:
        return max(0, self.settings.limit - len(records))

    def _plan_waves(
        self, reservation: budget.Reservation, now: float, limit: int
    ) -> list[fleet_record.Payload]:
        roll = self.fleet.state.roll
        can_spare = self.mover.can_spare
        active = self.maintenance.active_zone()
        if roll.zone is None or roll.halted:
            return self.maintenance.start(
                reservation, now, limit=limit, can_spare=can_spare
            )
        if active is not None and active != roll.zone:
            return []
        records: list[fleet_record.Payload] = []
        for worker in self.rollout.list_outdated(roll.zone):
            if len(records) >= limit:
                break
            record = self.wave.start(
                worker, fleet_record.Purpose.ROLL, reservation, now
            )
            if record is not None:
                records.append(record)
        return records or self.maintenance.start(
            reservation,
            now,
            limit=limit,
            zone=roll.zone,
            can_spare=can_spare,
        )


def _show_example() -> None:
    """Prints the records that move hosts to a pool with too few."""
    east, spare = identifiers.PoolId("east"), identifiers.PoolId("spare")
    zone = identifiers.ZoneId("z1")
    hosts = {
        pool: tuple(identifiers.WorkerId(f"{pool}-{i}") for i in range(3))
        for pool in (east, spare)
    }
    pools = {
        pool: fleet_record.PoolDeclaration(workers, spare=pool == spare)
        for pool, workers in hosts.items()
    }
    state = fleet_fold.FleetState()
    state.apply(
        fleet_record.BundleAccepted(
            fleet_record.FleetDeclaration(pools, (zone,)),
            0,
            "ana",
            identifiers.create_record_id(),
        ),
        0,
        0.0,
    )
    view = fleet.Fleet(state)
    for workers in hosts.values():
        for worker in workers:
            place = fleet.Worker(worker, zone, identifiers.RackId("r1"))
            view.observe(fleet.HostReport(place))
    planner = Planner(identifiers.Incarnation("entry-1/a"), view)
    for record in planner.plan({east: capacity.DEFAULT.scale(4)}, 0.0):
        print(record)


if __name__ == "__main__":
    _show_example()
