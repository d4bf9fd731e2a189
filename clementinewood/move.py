"""Plans moves of hosts between pools: lending, draining and return."""

import dataclasses
from collections.abc import Mapping

from clementinewood import (
    budget,
    capacity,
    fleet,
    fleet_record,
    identifiers,
    pool_balance,
    wave,
)

Purpose = fleet_record.Purpose
Needs = Mapping[identifiers.PoolId, capacity.Resources]


@dataclasses.dataclass(frozen=True, slots=True)
class MoveSettings:
    """Thresholds for moves of hosts.

    Attributes:
        margin: Fraction of its need that a lending pool keeps in addition.
        floor: Minimum serving hosts of a pool with a queue.
        peak: Used fraction of a pool's hosts from which on it is at its peak.
        grace: Seconds for which an absent host still counts as supply, since
            most restarting hosts return before a move would take effect.
        return_after: Seconds for which a borrowed host must be surplus before
            it is returned to its home pool; it moves sooner only if another
            pool needs it. Queues peak at different times, so an early return
            costs one move per host, and a second one at the next peak.
        returns: Maximum hosts returned to their home pools in one round.
    """

    margin: float = 0.1
    floor: int = 1
    peak: float = 0.7
    grace: float = 30.0
    return_after: float = 24 * 3600.0
    returns: int = 1


class Mover:
    """Plans moves between pools.

    A host without running tasks is moved by one record, and its pool never
    counts it as unavailable. A host with running tasks is drained first and
    counts against its pool's budget until it has left.

    Args:
        fleet_view: Folded state joined with host reports.
        engine: Steps of the hosts.
        settings: Thresholds for moves.
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
        self._peaked_at: dict[identifiers.PoolId, float] = {}
        self._balances: dict[identifiers.PoolId, pool_balance.PoolBalance] = {}
        self._lenders: list[identifiers.PoolId] = []
        self._sizes: dict[identifiers.PoolId, set[capacity.Resources]] = {}
        self._pending: dict[
            identifiers.WorkerId, tuple[identifiers.PoolId, int, float]
        ] = {}
        self._moving: set[identifiers.WorkerId] = set()

    def plan(
        self,
        needs: Needs,
        reservation: budget.Reservation,
        now: float,
        *,
        limit: int,
    ) -> list[fleet_record.Payload]:
        """Returns moves to pools whose need exceeds their supply.

        Args:
            needs: Resources that the work of each pool needs. A missing pool
                with a queue has an unknown need and keeps its hosts.
            reservation: Budget use of this round.
            now: Log time.
            limit: Maximum number of records.

        Returns:
            The records, in the order to append them.
        """
        self._balances = self._balance(needs, now)
        self._moving = set()
        for pool, balance in self._balances.items():
            if balance.known and balance.hosts and not balance.spare:
                used = balance.need.share_of(balance.serving)
                if used >= self.settings.peak:
                    self._peaked_at[pool] = now
        self._sizes = {}
        self._lenders = self._order_lenders()
        self._apply_pending(now)
        records = self._plan_new(now, limit)
        blocked: set[identifiers.PoolId] = set()
        while len(records) < limit:
            target = self._find_neediest(blocked)
            if target is None:
                break
            record = self._borrow(target, reservation, now)
            if record is None:
                blocked.add(target)
                continue
            records.append(record)
        left = min(limit - len(records), self.settings.returns)
        records.extend(self._plan_returns(reservation, now, left))
        return records

    def can_spare(self, worker: identifiers.WorkerId) -> bool:
        """Returns whether the host's pool meets its need without it."""
        pool = self._fleet.state.hosts[worker].pool
        balance = self._balances.get(pool)
        if balance is None:
            return True
        rest = balance.serving - self._size(worker)
        return balance.known and rest.covers(balance.need)

    def _size(self, worker: identifiers.WorkerId) -> capacity.Resources:
        return self._fleet.reports[worker].worker.resources

    def _balance(
        self, needs: Needs, now: float
    ) -> dict[identifiers.PoolId, pool_balance.PoolBalance]:
        balances = {}
        for pool, spec in self._fleet.state.declaration.pools.items():
            counts = self._fleet.pools[pool]
            supply = counts.capacity + counts.pending + counts.worked_on
            for worker in counts.absent:
                waited = self._wave.absent_for(worker, now)
                if worker in self._fleet.reports and (
                    self._wave.is_absent(worker)
                    and waited < self.settings.grace
                ):
                    supply += self._size(worker)
            balances[pool] = pool_balance.PoolBalance(
                needs.get(pool, capacity.NONE),
                supply,
                counts.capacity,
                counts.serving_count,
                spec.spare,
                spec.spare or pool in needs,
            )
        return balances

    def _find_neediest(
        self, blocked: set[identifiers.PoolId]
    ) -> identifiers.PoolId | None:
        """Returns the pool with the highest ratio of need to supply."""
        needy = [
            (-balance.need.share_of(balance.supply), pool)
            for pool, balance in self._balances.items()
            if balance.is_short() and pool not in blocked
        ]
        return min(needy)[1] if needy else None

    def _can_lend(
        self, balance: pool_balance.PoolBalance, host: capacity.Resources
    ) -> bool:
        """Returns whether the pool can lend one more host of that size."""
        if balance.spare:
            return (balance.serving - host).covers(balance.need)
        if not balance.known or balance.hosts <= self.settings.floor:
            return False
        keep = balance.need.scale(1 + self.settings.margin)
        return (balance.serving - host).covers(keep)

    def _surplus(self, balance: pool_balance.PoolBalance) -> float:
        """Returns how many of the pool's serving hosts are not needed."""
        return balance.hosts * (1 - balance.need.share_of(balance.serving))

    def _borrow(
        self,
        target: identifiers.PoolId,
        reservation: budget.Reservation,
        now: float,
    ) -> fleet_record.Payload | None:
        """Takes one host, from the spare pool or the one that peaked last.

        Queues peak at different times, so that pool's next peak is the latest.
        It lends all hosts beyond its need first, and pools whose peak comes
        sooner keep theirs. Pools without a known peak follow, the one with the
        largest surplus first.
        """
        for lender in list(self._lenders):
            if lender == target:
                continue
            if not self._has_surplus(lender):
                self._lenders.remove(lender)
                continue
            has_useful_host = False
            for worker in self._rank_hosts(lender, target):
                if not self._helps(target, self._size(worker)):
                    continue
                has_useful_host = True
                record = self._lend(worker, target, reservation, now)
                if record is not None:
                    return record
            if has_useful_host:
                # No host of this lender may move in this round.
                self._lenders.remove(lender)
        return None

    def _order_lenders(self) -> list[identifiers.PoolId]:
        """Returns the possible lenders in the order in which to use them."""
        ranked = sorted(
            (
                not balance.spare,
                -self._peaked_at.get(pool, float("-inf")),
                -self._surplus(balance),
                pool,
            )
            for pool, balance in self._balances.items()
            if balance.known and balance.hosts > 0
        )
        return [pool for *_, pool in ranked]

    def _has_surplus(self, pool: identifiers.PoolId) -> bool:
        """Returns whether the pool can lend a host of any of its sizes."""
        sizes = self._sizes.get(pool)
        if sizes is None:
            sizes = self._sizes[pool] = {
                self._size(worker)
                for workers in self._fleet.pools[pool].serving.values()
                for worker in workers
            }
        balance = self._balances[pool]
        return any(self._can_lend(balance, size) for size in sizes)

    def _helps(
        self, target: identifiers.PoolId, size: capacity.Resources
    ) -> bool:
        """Returns whether the host has a resource that the pool lacks."""
        borrower = self._balances[target]
        if not borrower.is_short():
            return True
        before = borrower.need.share_of(borrower.supply)
        after = borrower.need.share_of(borrower.supply + size)
        return after < before or before == float("inf")

    def _lend(
        self,
        worker: identifiers.WorkerId,
        target: identifiers.PoolId,
        reservation: budget.Reservation,
        now: float,
    ) -> fleet_record.Payload | None:
        lender = self._balances[self._fleet.state.hosts[worker].pool]
        size = self._size(worker)
        if not self._can_lend(lender, size):
            return None
        record = self.create_move(worker, target, reservation, now)
        if record is not None:
            self._moving.add(worker)
            lender.subtract_host(size)
            self._balances[target].supply += size
            version = self._fleet.state.hosts[worker].version
            expires = now + self._wave.settings.validity
            self._pending[worker] = (target, version, expires)
        return record

    def _apply_pending(self, now: float) -> None:
        """Counts moves whose records the log may not have stored yet."""
        hosts = self._fleet.state.hosts
        for worker, (target, version, expires) in list(self._pending.items()):
            host = hosts.get(worker)
            if host is None or host.version != version or now > expires:
                del self._pending[worker]
            elif target in self._balances and host.pool in self._balances:
                self._moving.add(worker)
                self._balances[host.pool].subtract_host(self._size(worker))
                self._balances[target].supply += self._size(worker)

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
        self, lender: identifiers.PoolId, target: identifiers.PoolId
    ) -> list[identifiers.WorkerId]:
        """Orders hosts: idle ones, then those at home in `target`, then zones.

        Hosts of zones in which `target` has few hosts come first.
        """
        present = self._fleet.pools[target].serving
        ranked = [
            (
                self._fleet.reports[worker].running,
                self._fleet.state.home.get(worker) != target,
                len(present.get(zone, ())) - len(workers),
                worker,
            )
            for zone, workers in self._fleet.pools[lender].serving.items()
            for worker in workers
            if worker not in self._moving
        ]
        return [worker for _, _, _, worker in sorted(ranked)]

    def _plan_new(self, now: float, limit: int) -> list[fleet_record.Payload]:
        """Assigns hosts without a pool to the spare pool."""
        spare = [pool for pool, b in self._balances.items() if b.spare]
        if not spare:
            return []
        return [
            fleet_record.WorkerAssigned(
                worker,
                spare[0],
                0,
                0,
                now + self._wave.settings.validity,
            )
            for worker in sorted(self._fleet.unassigned)[:limit]
            if self._fleet.reports[worker].listing is fleet.Listing.LIVE
        ]

    def _plan_returns(
        self, reservation: budget.Reservation, now: float, limit: int
    ) -> list[fleet_record.Payload]:
        """Returns borrowed hosts after a long surplus to their home pools."""
        state = self._fleet.state
        surplus = {
            pool: self._surplus_since.get(pool, now)
            for pool, balance in self._balances.items()
            if balance.hosts and self._surplus(balance) > 1
        }
        self._surplus_since = surplus
        records: list[fleet_record.Payload] = []
        for pool, since in sorted(surplus.items()):
            if now - since < self.settings.return_after:
                continue
            for worker in sorted(self._fleet.pools[pool].members):
                if len(records) >= limit:
                    return records
                home = state.home.get(worker)
                if (
                    home in (None, pool)
                    or home not in self._balances
                    or worker in self._moving
                    or worker not in self._fleet.reports
                    or now - state.hosts[worker].assigned
                    < self.settings.return_after
                ):
                    continue
                record = self._lend(worker, home, reservation, now)
                if record is not None:
                    records.append(record)
        return records
