"""Decides which machines belong to which pool.

Load pattern: queues peak in turn, each for some seconds at several times its
mean, and stay far below it in between. A machine in a pool costs by the second;
a move costs about as much as one machine-second and ends all runs on the
machine. A pool below its target takes machines from the spare pool at once,
then idle ones from pools above their targets. Machines idle for IDLE_SECONDS
return to the spare pool. If the pools need more machines than exist, each gets
a share by its need, and pools above their share drain machines for the others.

Only machines that take work, or will soon, count as machines of a pool: a pool
whose machines are drained for maintenance or unresponsive is short of others.
"""

import dataclasses
import math
from collections.abc import Iterator, Mapping, Sequence

from clementinewood import identifiers

HEADROOM = 1.2
"""Factor on measured demand. While a peak builds up, demand grows by more than
this during one move."""

RISE_FACTOR = 1.8
"""Additional factor during the first RISE_SECONDS of a peak, whose demand grows
several times before the first machine has moved in."""

RISE_SECONDS = 2.0
"""Time in which a peak builds up and the first machines move in."""

PEAK_JOBS = 2
"""Arrivals within `pooldemand.ARRIVAL_WINDOW_SECONDS` that mark the start of a
peak; between peaks, demand is a twentieth of the mean."""

MIN_MACHINES = 2
"""Machines that a pool without demand keeps while another pool is short."""

KEPT_SHARE = 0.6
"""Share of an even split of all machines that a pool keeps without demand, so
that it can serve the start of a peak before machines move in."""

IDLE_SECONDS = 1.5
"""Time without demand after which a machine returns to the spare pool. Keeping
it for this long costs about as much as one more move."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PoolLoad:
    """Machines and demand of one pool.

    Attributes:
        pool: The pool.
        long_running_cores: Cores that its long-running tasks take.
        demand: Cores that its other work takes. It grows while a peak builds
            up, since it follows the arrival rate.
        backlog: Cores that its accepted work takes if all of it runs at once.
            A peak that builds up does not change it.
        late: Cores among `backlog` of waiting work that can't meet its
            objective any more.
        arrivals: Jobs that arrived in the last
            `pooldemand.ARRIVAL_WINDOW_SECONDS`.
        cores: Cores of one of its machines.
        machines: Machines that take work or will do so soon.
        down: Machines that are down and expected back.
        idle: Machines that run nothing.
        busy: Machines that only run work that ends by itself, the least busy
            first.
        least: Machines that it needs whatever the demand, so that the tasks of
            a step can run on different minions.
    """

    pool: identifiers.PoolId
    long_running_cores: float = 0.0
    demand: float
    backlog: float = 0.0
    late: float = 0.0
    arrivals: int = 0
    cores: float
    machines: int
    down: int = 0
    idle: tuple[identifiers.MachineId, ...] = ()
    busy: tuple[identifiers.MachineId, ...] = ()
    least: int = MIN_MACHINES

    def count_wanted(self, headroom: float, *, timely: bool = False) -> int:
        """Returns the number of machines that the pool should have.

        Args:
            headroom: Factor on demand, without long-running tasks.
            timely: Whether to leave out work that will be late anyway.
        """
        # Machines that are down count towards the minimum, since they return,
        # but they serve no demand.
        least = max(0, self.least - self.down)
        if self.cores <= 0:
            return least
        backlog = self.backlog - (self.late if timely else 0.0)
        short_tasks = max(self.demand * headroom, backlog * HEADROOM)
        cores = self.long_running_cores + short_tasks
        return max(least, math.ceil(cores / self.cores))


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """Move of a machine to another pool.

    Attributes:
        machine_id: The machine.
        pool: Pool that it moves to.
        cause: Load of the pool that caused the move.
        wanted: Machines that the pool with that load should have.
    """

    machine_id: identifiers.MachineId
    pool: identifiers.PoolId
    cause: PoolLoad
    wanted: int


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Result of one round of planning.

    Attributes:
        moves: Machines that move now.
        cordoned: Machines that get no new work, so that they become idle.
        wanted: Machines that each pool should have.
    """

    moves: tuple[Move, ...]
    cordoned: frozenset[identifiers.MachineId]
    wanted: Mapping[identifiers.PoolId, int]


class Autoscaler:
    """Plans moves of machines between pools and the spare pool."""

    def __init__(self) -> None:
        self._needed_at: dict[identifiers.PoolId, dict[int, float]] = {}
        self._rising_since: dict[identifiers.PoolId, float] = {}

    def count_wanted(
        self, load: PoolLoad, now: float, *, timely: bool = False
    ) -> int:
        """Returns the number of machines that a pool should have.

        Args:
            load: Load of the pool.
            now: Monotonic time in seconds.
            timely: Whether to leave out work that will be late anyway.
        """
        headroom = HEADROOM
        if not load.arrivals:
            self._rising_since.pop(load.pool, None)
        elif load.arrivals >= PEAK_JOBS:
            since = self._rising_since.setdefault(load.pool, now)
            if now - since < RISE_SECONDS:
                headroom *= RISE_FACTOR
        return load.count_wanted(headroom, timely=timely)

    def plan(
        self,
        loads: Sequence[PoolLoad],
        spare: Sequence[identifiers.MachineId],
        spare_pool: identifiers.PoolId,
        now: float,
        *,
        most_moves: int,
    ) -> Plan:
        """Returns the moves to order now and the machines to cordon.

        Args:
            loads: Loads of all pools except the spare pool.
            spare: Machines of the spare pool that may move.
            spare_pool: The spare pool.
            now: Monotonic time in seconds.
            most_moves: Upper limit of the moves in the plan.
        """
        wanted = {load.pool: self.count_wanted(load, now) for load in loads}
        timely = {
            load.pool: self.count_wanted(load, now, timely=True)
            for load in loads
        }
        targets = share_machines(loads, wanted, len(spare), timely)
        moves: list[Move] = []
        donors = _list_donors(loads, spare, targets)
        missing = 0
        by_shortage = sorted(
            loads, key=lambda load: load.machines - targets[load.pool]
        )
        for load in by_shortage:
            for _ in range(targets[load.pool] - load.machines):
                machine_id = next(donors, None)
                if machine_id is None or len(moves) >= most_moves:
                    missing += 1
                    continue
                moves.append(
                    Move(machine_id, load.pool, load, wanted[load.pool])
                )
        taken = {move.machine_id for move in moves}
        even = len(spare) + sum(load.machines + load.down for load in loads)
        kept = round(KEPT_SHARE * even / (len(loads) + 1))
        for load in loads:
            needed = max(wanted[load.pool], kept)
            for machine_id in self._find_unneeded(load, needed, now):
                if machine_id not in taken and len(moves) < most_moves:
                    moves.append(
                        Move(machine_id, spare_pool, load, wanted[load.pool])
                    )
        cordoned = _choose_cordoned(loads, targets, missing)
        return Plan(tuple(moves), cordoned, wanted)

    def _find_unneeded(
        self, load: PoolLoad, needed: int, now: float
    ) -> Sequence[identifiers.MachineId]:
        """Returns idle machines that were not needed for IDLE_SECONDS."""
        needed_at = self._needed_at.setdefault(load.pool, {})
        for count in range(1, needed + 1):
            needed_at[count] = now
        unneeded = [
            count
            for count in range(needed + 1, load.machines + 1)
            if now - needed_at.setdefault(count, now) >= IDLE_SECONDS
        ]
        return load.idle[: len(unneeded)]


def share_machines(
    loads: Sequence[PoolLoad],
    wanted: Mapping[identifiers.PoolId, int],
    spare: int,
    timely: Mapping[identifiers.PoolId, int] | None = None,
) -> dict[identifiers.PoolId, int]:
    """Returns each pool's target, limited to the machines that exist.

    Args:
        loads: Loads of all pools except the spare pool.
        wanted: Machines that each pool should have.
        spare: Number of spare machines that may move.
        timely: Machines that each pool should have for work that can meet its
            objective; they come first.
    """
    existing = spare + sum(load.machines for load in loads)
    if sum(wanted.values()) <= existing:
        return dict(wanted)
    first = {load.pool: load.least for load in loads}
    if timely is not None:
        needed = {
            pool: max(first[pool], min(timely[pool], count))
            for pool, count in wanted.items()
        }
        if sum(needed.values()) > existing:
            return _share_rest(first, needed, existing)
        first = needed
    return _share_rest(first, wanted, existing)


def _share_rest(
    first: Mapping[identifiers.PoolId, int],
    wanted: Mapping[identifiers.PoolId, int],
    existing: int,
) -> dict[identifiers.PoolId, int]:
    """Returns `first` and an even part of what each pool wants beyond it."""
    rest = sum(wanted.values()) - sum(first.values())
    factor = max(0.0, (existing - sum(first.values())) / max(1, rest))
    return {
        pool: first[pool] + int((count - first[pool]) * factor)
        for pool, count in wanted.items()
    }


def _list_donors(
    loads: Sequence[PoolLoad],
    spare: Sequence[identifiers.MachineId],
    targets: Mapping[identifiers.PoolId, int],
) -> Iterator[identifiers.MachineId]:
    """Yields spare machines, then idle ones of pools above their targets."""
    yield from spare
    by_surplus = sorted(
        loads, key=lambda load: targets[load.pool] - load.machines
    )
    for load in by_surplus:
        surplus = max(0, load.machines - targets[load.pool])
        yield from load.idle[:surplus]


def _choose_cordoned(
    loads: Sequence[PoolLoad],
    targets: Mapping[identifiers.PoolId, int],
    missing: int,
) -> frozenset[identifiers.MachineId]:
    """Returns busy machines to be drained for pools that lack machines."""
    chosen: list[identifiers.MachineId] = []
    for load in loads:
        surplus = load.machines - targets[load.pool] - len(load.idle)
        chosen.extend(load.busy[: max(0, surplus)])
    return frozenset(chosen[:missing])


if __name__ == "__main__":
    quotes = PoolLoad(
        pool=identifiers.PoolId("quotes"), demand=100, cores=32, machines=3
    )
    spare_machines = [identifiers.MachineId("m1")]
    print(
        Autoscaler().plan(
            [quotes],
            spare_machines,
            identifiers.PoolId("spare"),
            0.0,
            most_moves=8,
        )
    )
