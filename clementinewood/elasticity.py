"""Decides which machines stand in which pool.

Load pattern: queues peak in turn, each for some seconds at several times its
mean and far below it in between. A machine in a pool costs by the second, a
move costs about as much as a machine does in a second and ends what runs on
the machine. Pools grow as soon as work waits, from the spare pool, and give
back machines that have stood idle.
"""

import dataclasses
import math
from collections.abc import Sequence

from clementinewood import identifiers

HEADROOM = 1.15
"""Capacity kept above the demand that is seen; arrivals are uneven."""

LEAST_MACHINES = 3
"""Machines that a pool keeps: one for each zone of the usual site."""

IDLE_SECONDS = 2.5
"""Time without need for it after which a machine is given back; two moves
cost about as much as keeping the machine this long."""

MOVES_AT_ONCE = 6
"""Moves ordered in one round, so that one wrong reading costs little."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PoolLoad:
    """What a pool has and needs.

    Attributes:
        pool: The pool.
        demand: Cores that running and waiting tasks take.
        cores: Cores of one of its machines.
        machines: Machines that are up or on their way in.
        idle: Machines among them that run nothing.
        least: Machines that it needs whatever the demand, so that tasks of
            one step can stand on different minions.
    """

    pool: identifiers.PoolId
    demand: float
    cores: float
    machines: int
    idle: tuple[identifiers.MachineId, ...] = ()
    least: int = LEAST_MACHINES

    @property
    def wanted(self) -> int:
        """Machines that it should have."""
        if self.cores <= 0:
            return self.least
        return max(self.least, math.ceil(self.demand * HEADROOM / self.cores))


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """A machine that is to go to another pool."""

    machine_id: identifiers.MachineId
    pool: identifiers.PoolId


class Elasticity:
    """Decides moves between pools and the spare pool."""

    def __init__(self) -> None:
        self._needed: dict[identifiers.PoolId, tuple[float, int]] = {}

    def plan(
        self,
        loads: Sequence[PoolLoad],
        spare: Sequence[identifiers.MachineId],
        spare_pool: identifiers.PoolId,
        now: float,
    ) -> list[Move]:
        """Returns the moves to be ordered now.

        Args:
            loads: Every pool but the spare one.
            spare: Machines of the spare pool that may move.
            spare_pool: The spare pool.
            now: Monotonic time in seconds.
        """
        moves: list[Move] = []
        free = list(spare)
        short = sorted(loads, key=lambda load: load.machines - load.wanted)
        for load in short:
            missing = load.wanted - load.machines
            for _ in range(missing):
                if not free or len(moves) >= MOVES_AT_ONCE:
                    break
                moves.append(Move(free.pop(0), load.pool))
        for load in loads:
            for machine_id in self._find_surplus(load, now):
                if len(moves) < MOVES_AT_ONCE:
                    moves.append(Move(machine_id, spare_pool))
        return moves

    def _find_surplus(
        self, load: PoolLoad, now: float
    ) -> Sequence[identifiers.MachineId]:
        """Returns idle machines that were not needed for a while."""
        since, most = self._needed.get(load.pool, (now, load.machines))
        if load.wanted >= most or load.wanted >= load.machines:
            self._needed[load.pool] = (now, load.wanted)
            return ()
        if now - since < IDLE_SECONDS:
            self._needed[load.pool] = (since, most)
            return ()
        surplus = load.machines - load.wanted
        self._needed[load.pool] = (since, load.wanted)
        return load.idle[:surplus]


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
