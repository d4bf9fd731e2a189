"""Decides which machines stand in which pool.

Load pattern: queues peak in turn, each for some seconds at several times its
mean and far below it in between. A machine in a pool costs by the second, a
move costs about as much as a machine does in a second and ends what runs on
the machine. A pool that is short takes machines from the spare pool at once,
then idle ones from pools that do not need them; what stands idle for a while
goes back to the spare pool. When all pools together need more than there is,
each gets a share by its need, and pools above theirs empty machines for those
below.
"""

import dataclasses
import math
from collections.abc import Iterator, Mapping, Sequence

from clementinewood import identifiers

HEADROOM = 1.5
"""Capacity kept above the demand that is seen: while a peak builds up, demand
grows by more than this during one move."""

LEAST_MACHINES = 5
"""Machines that a pool keeps: most of what the usual pool holds, since a peak
is over before as many have moved in."""

IDLE_SECONDS = 3.0
"""Time without need for it after which a machine is given back; two moves
cost about as much as keeping the machine this long."""

MOVES_AT_ONCE = 8
"""Moves ordered in one round, so that one wrong reading costs little."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PoolLoad:
    """What a pool has and needs.

    Attributes:
        pool: The pool.
        demand: Cores that its work takes.
        cores: Cores of one of its machines.
        machines: Machines that are up or on their way in.
        idle: Machines among them that run nothing.
        busy: Machines among them that only run work that ends by itself,
            the least busy first.
        least: Machines that it needs whatever the demand, so that tasks of
            one step can stand on different minions.
    """

    pool: identifiers.PoolId
    demand: float
    cores: float
    machines: int
    idle: tuple[identifiers.MachineId, ...] = ()
    busy: tuple[identifiers.MachineId, ...] = ()
    least: int = LEAST_MACHINES

    @property
    def wanted(self) -> int:
        """Machines that it should have."""
        if self.cores <= 0:
            return self.least
        return max(self.least, math.ceil(self.demand * HEADROOM / self.cores))


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """A machine that is to go to another pool.

    Attributes:
        machine_id: The machine.
        pool: Where it goes.
        cause: The load that decided it.
    """

    machine_id: identifiers.MachineId
    pool: identifiers.PoolId
    cause: PoolLoad


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What is to be done now.

    Attributes:
        moves: Machines that move now.
        emptied: Machines that get no new work, so that they can move soon.
    """

    moves: tuple[Move, ...]
    emptied: frozenset[identifiers.MachineId]


class Elasticity:
    """Decides moves between pools and the spare pool."""

    def __init__(self) -> None:
        self._needed_at: dict[identifiers.PoolId, dict[int, float]] = {}

    def plan(
        self,
        loads: Sequence[PoolLoad],
        spare: Sequence[identifiers.MachineId],
        spare_pool: identifiers.PoolId,
        now: float,
    ) -> Plan:
        """Returns what is to be done now.

        Args:
            loads: Every pool but the spare one.
            spare: Machines of the spare pool that may move.
            spare_pool: The spare pool.
            now: Monotonic time in seconds.
        """
        targets = share_machines(loads, len(spare))
        moves: list[Move] = []
        donors = _list_donors(loads, spare, targets)
        lacking = 0
        by_shortage = sorted(
            loads, key=lambda load: load.machines - targets[load.pool]
        )
        for load in by_shortage:
            for _ in range(targets[load.pool] - load.machines):
                machine_id = next(donors, None)
                if machine_id is None or len(moves) >= MOVES_AT_ONCE:
                    lacking += 1
                    continue
                moves.append(Move(machine_id, load.pool, load))
        taken = {move.machine_id for move in moves}
        for load in loads:
            for machine_id in self._find_unneeded(load, now):
                if machine_id not in taken and len(moves) < MOVES_AT_ONCE:
                    moves.append(Move(machine_id, spare_pool, load))
        return Plan(tuple(moves), _choose_emptied(loads, targets, lacking))

    def _find_unneeded(
        self, load: PoolLoad, now: float
    ) -> Sequence[identifiers.MachineId]:
        """Returns idle machines that were not needed for a while."""
        needed_at = self._needed_at.setdefault(load.pool, {})
        for count in range(1, load.wanted + 1):
            needed_at[count] = now
        unneeded = [
            count
            for count in range(load.wanted + 1, load.machines + 1)
            if now - needed_at.setdefault(count, now) >= IDLE_SECONDS
        ]
        return load.idle[: len(unneeded)]


def share_machines(
    loads: Sequence[PoolLoad], spare: int
) -> dict[identifiers.PoolId, int]:
    """Returns how many machines each pool should have of those that exist."""
    existing = spare + sum(load.machines for load in loads)
    wanted = sum(load.wanted for load in loads)
    if wanted <= existing:
        return {load.pool: load.wanted for load in loads}
    least = sum(load.least for load in loads)
    factor = max(0.0, (existing - least) / max(1, wanted - least))
    return {
        load.pool: load.least + int((load.wanted - load.least) * factor)
        for load in loads
    }


def _list_donors(
    loads: Sequence[PoolLoad],
    spare: Sequence[identifiers.MachineId],
    targets: Mapping[identifiers.PoolId, int],
) -> Iterator[identifiers.MachineId]:
    """Yields machines that may go to a pool that is short."""
    yield from spare
    by_surplus = sorted(
        loads, key=lambda load: targets[load.pool] - load.machines
    )
    for load in by_surplus:
        surplus = max(0, load.machines - targets[load.pool])
        yield from load.idle[:surplus]


def _choose_emptied(
    loads: Sequence[PoolLoad],
    targets: Mapping[identifiers.PoolId, int],
    lacking: int,
) -> frozenset[identifiers.MachineId]:
    """Returns machines to be emptied for pools that lack machines."""
    chosen: list[identifiers.MachineId] = []
    for load in loads:
        surplus = load.machines - targets[load.pool] - len(load.idle)
        chosen.extend(load.busy[: max(0, surplus)])
    return frozenset(chosen[:lacking])


if __name__ == "__main__":
    quotes = PoolLoad(
        pool=identifiers.PoolId("quotes"), demand=100, cores=32, machines=3
    )
    spare_machines = [identifiers.MachineId("m1")]
    print(
        Elasticity().plan(
            [quotes], spare_machines, identifiers.PoolId("spare"), 0.0
        )
    )
