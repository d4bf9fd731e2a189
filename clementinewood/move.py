"""Moves of hosts between pools: borrow, drain, return."""

import dataclasses
import math
from collections.abc import Mapping

from clementinewood import budget, fleet, fleet_record, identifiers, wave

Purpose = fleet_record.Purpose


@dataclasses.dataclass(frozen=True, slots=True)
class MoveSettings:
    """When hosts move.

    Attributes:
        margin: Hosts that a lending pool keeps above its need.
        floor: Serving hosts that a pool with a queue always keeps.
        return_after: Seconds for which a borrowed host must be surplus
            before it goes home; it moves sooner only when another pool
            needs it. Queues peak in turn, so an early return costs a move
            for each host and a second one at the next peak.
        returns: Hosts that may go home in one round.
    """

    margin: int = 1
    floor: int = 1
    return_after: float = 4 * 3600.0
    returns: int = 1


@dataclasses.dataclass(slots=True)
class _Balance:
    """Hosts of one pool while a round is being planned."""

    need: int
    supply: int
    serving: int
    spare: bool

    def deficit(self) -> int:
        return self.need - self.supply


class Mover:
    """Plans moves between pools.

    A host without running tasks is handed over in one record: the pool loses
    a member but has no unavailable one. A host with running tasks is drained
    first and counts against its pool's budget until it has left.

    Args:
        fleet_view: Folded state joined with evidence.
        engine: Steps of the hosts.
        settings: When hosts move.
    """

    def __init__(
        self,
        fleet_view: fleet.Fleet,
        engine: wave.Wave,
        settings: MoveSettings,
    ) -> None:
        self._fleet = fleet_view
        self._wave = engine
        self.settings = settings
        self._surplus_since: dict[identifiers.PoolId, float] = {}

    def plan(
        self,
        needs: Mapping[identifiers.PoolId, float],
        reservation: budget.Reservation,
        now: float,
        *,
        limit: int,
    ) -> list[fleet_record.Payload]:
        """Returns moves toward pools whose need exceeds their supply."""
        balances = self._balance(needs)
        records: list[fleet_record.Payload] = []
        taken: set[identifiers.WorkerId] = set()
        blocked: set[identifiers.PoolId] = set()
        while len(records) < limit:
            target = self._neediest(balances, blocked)
            if target is None:
                break
            record = self._borrow(target, balances, reservation, taken, now)
            if record is None:
                blocked.add(target)
                continue
            records.append(record)
        records.extend(
            self._plan_returns(
                balances, reservation, taken, now, limit - len(records)
            )
        )
        return records

    def _balance(
        self, needs: Mapping[identifiers.PoolId, float]
    ) -> dict[identifiers.PoolId, _Balance]:
        balances = {}
        for pool, spec in self._fleet.state.declaration.pools.items():
            counts = self._fleet.pools[pool]
            serving = counts.serving_count
            balances[pool] = _Balance(
                math.ceil(needs.get(pool, 0.0) - 1e-9),
                serving + len(counts.arriving) + len(counts.incoming),
                serving,
                spec.spare,
            )
        return balances

    def _neediest(
        self,
        balances: Mapping[identifiers.PoolId, _Balance],
        blocked: set[identifiers.PoolId],
    ) -> identifiers.PoolId | None:
        """Returns the pool with the lowest supply for its need."""
        needy = [
            (balance.supply / balance.need, pool)
            for pool, balance in balances.items()
            if balance.deficit() > 0 and pool not in blocked
        ]
        return min(needy)[1] if needy else None

    def _can_lend(self, balance: _Balance) -> int:
        """Returns the hosts that the pool can lend."""
        if balance.spare:
            return balance.serving - balance.need
        keep = max(balance.need + self.settings.margin, self.settings.floor)
        return min(balance.serving, balance.supply) - keep

    def _borrow(
        self,
        target: identifiers.PoolId,
        balances: dict[identifiers.PoolId, _Balance],
        reservation: budget.Reservation,
        taken: set[identifiers.WorkerId],
        now: float,
    ) -> fleet_record.Payload | None:
        lenders = [
            (not balance.spare, -self._can_lend(balance), pool)
            for pool, balance in balances.items()
            if pool != target and self._can_lend(balance) > 0
        ]
        for _, _, lender in sorted(lenders):
            record = self._move_one(
                lender, target, balances, reservation, taken, now
            )
            if record is not None:
                return record
        return None

    def _move_one(
        self,
        lender: identifiers.PoolId,
        target: identifiers.PoolId,
        balances: dict[identifiers.PoolId, _Balance],
        reservation: budget.Reservation,
        taken: set[identifiers.WorkerId],
        now: float,
    ) -> fleet_record.Payload | None:
        for worker in self._rank_hosts(lender, target, taken):
            record = self.create_move(worker, target, reservation, now)
            if record is not None:
                taken.add(worker)
                balances[lender].supply -= 1
                balances[lender].serving -= 1
                balances[target].supply += 1
                return record
        return None

    def create_move(
        self,
        worker: identifiers.WorkerId,
        target: identifiers.PoolId,
        reservation: budget.Reservation,
        now: float,
    ) -> fleet_record.Payload | None:
        """Returns the first record of a move, or None if it may not start."""
        host = self._fleet.state.hosts[worker]
        if not self._fleet.can_start(worker) or host.pool == target:
            return None
        if self._fleet.reports[worker].running == 0:
            return fleet_record.WorkerAssigned(
                worker,
                target,
                host.version,
                reservation.next_version(host.pool),
                now + self._wave.settings.validity,
            )
        return self._wave.start(
            worker, Purpose.MOVE, reservation, now, target=target
        )

    def _rank_hosts(
        self,
        lender: identifiers.PoolId,
        target: identifiers.PoolId,
        taken: set[identifiers.WorkerId],
    ) -> list[identifiers.WorkerId]:
        """Orders hosts: going home first, then idle, then spreading."""
        source = self._fleet.pools[lender].serving
        present = self._fleet.pools[target].serving
        ranked = []
        for zone, workers in source.items():
            for worker in workers:
                if worker in taken:
                    continue
                ranked.append(
                    (
                        self._fleet.state.home.get(worker) != target,
                        self._fleet.reports[worker].running,
                        len(present.get(zone, ())) - len(workers),
                        worker,
                    )
                )
        return [worker for _, _, _, worker in sorted(ranked)]

    def _plan_returns(
        self,
        balances: dict[identifiers.PoolId, _Balance],
        reservation: budget.Reservation,
        taken: set[identifiers.WorkerId],
        now: float,
        limit: int,
    ) -> list[fleet_record.Payload]:
        """Sends hosts home that their pool has not needed for long."""
        state = self._fleet.state
        surplus = {
            pool: self._surplus_since.get(pool, now)
            for pool, balance in balances.items()
            if self._can_lend(balance) > 0
        }
        self._surplus_since = surplus
        records: list[fleet_record.Payload] = []
        limit = min(limit, self.settings.returns)
        for pool, since in sorted(surplus.items()):
            if now - since < self.settings.return_after:
                continue
            for worker in sorted(self._fleet.pools[pool].members):
                if len(records) >= limit or self._can_lend(balances[pool]) <= 0:
                    break
                home = state.home.get(worker)
                if (
                    home is None
                    or home == pool
                    or home not in balances
                    or worker in taken
                    or state.hosts[worker].assigned
                    > now - self.settings.return_after
                ):
                    continue
                record = self.create_move(worker, home, reservation, now)
                if record is not None:
                    taken.add(worker)
                    balances[pool].serving -= 1
                    balances[pool].supply -= 1
                    records.append(record)
        return records
