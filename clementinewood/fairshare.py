"""Orders jobs by their teams' shares while a pool is short of room.

Load pattern: a queue's demand exceeds what its pool can run for some seconds,
and teams of uneven weight and demand compete for the room. Within a class, the
jobs of teams that use less of their fair share go first, late jobs included.
Otherwise one team's backlog of late jobs would take the room of the others.
"""

import dataclasses
from collections.abc import Collection, Iterable, Mapping, Sequence

from clementinewood import (
    activejob,
    catalog,
    identifiers,
    job,
    placement,
    run,
)

STEP_OF_FAIR_SHARE = 0.1
"""Steps in which loads are compared. Within a step the order is by slack, so
that differences of a few tasks don't outweigh an objective."""

DEFAULT_WEIGHT = 1.0
"""Weight of teams without one if no team of the configuration has any."""

LoadKey = tuple[identifiers.PoolId, identifiers.TeamId]


@dataclasses.dataclass(slots=True)
class Room:
    """Amount of the resources by which shares are measured."""

    cpu: float = 0
    memory: float = 0

    def add(self, need: job.Resources, count: int = 1) -> None:
        """Adds what `count` tasks need."""
        self.cpu += need.cpu * count
        self.memory += need.memory * count

    def exceeds(self, other: "Room") -> bool:
        """Whether any component is larger than that of `other`."""
        return self.cpu > other.cpu or self.memory > other.memory

    def share_of(self, whole: "Room") -> float:
        """Returns the larger of the two fractions of `whole`."""
        return max(
            self.cpu / whole.cpu if whole.cpu > 0 else 0.0,
            self.memory / whole.memory if whole.memory > 0 else 0.0,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """Loads of the teams in pools that are short of room, in one pass.

    Attributes:
        loads: Load of each team that has runs or waiting jobs in such a pool,
            in steps of its fair share.
    """

    loads: Mapping[LoadKey, int]

    def create_key(
        self,
        pool: identifiers.PoolId,
        team: identifiers.TeamId,
        rank: tuple[float, ...],
    ) -> tuple[float, ...]:
        """Returns the sort key of a job; the smallest goes first.

        Args:
            pool: Pool of its queue.
            team: Its team.
            rank: Its rank by priority, class and urgency.
        """
        priority, urgency, *others = rank
        return (priority, urgency, self.loads.get((pool, team), 0), *others)


def measure_order(
    waiting: Iterable[activejob.ActiveJob],
    candidates: Mapping[identifiers.PoolId, Sequence[placement.Candidate]],
    views: Collection[run.MinionView],
    teams: Mapping[identifiers.TeamId, catalog.Team],
    usage: Mapping[identifiers.TeamId, job.Resources],
) -> Order:
    """Returns the loads of the teams in the pools that are short of room.

    Args:
        waiting: Jobs with pending tasks and a known queue.
        candidates: Minions that may get new work, by pool.
        views: All minions.
        teams: Teams of the configuration in force.
        usage: What the runs of each team use, compared with its upper limit.
    """
    wanted = _measure_wanted(waiting)
    short = {
        pool
        for pool, options in candidates.items()
        if pool in wanted and is_short(wanted[pool], options, teams, usage)
    }
    if not short:
        return Order({})
    used: dict[identifiers.PoolId, dict[identifiers.TeamId, Room]] = {
        pool: {} for pool in short
    }
    for view in views:
        by_team = used.get(view.minion.pool)
        if by_team is None:
            continue
        for team, room in view.used_by_team.items():
            by_team.setdefault(team, Room()).add(room)
    loads: dict[LoadKey, int] = {}
    for pool in short:
        capacity = Room()
        for option in candidates[pool]:
            capacity.add(option.view.minion.capacity)
        for team in wanted[pool]:
            used[pool].setdefault(team, Room())
        for team, load in measure_loads(used[pool], capacity, teams).items():
            loads[pool, team] = load
    return Order(loads)


def measure_loads(
    used: Mapping[identifiers.TeamId, Room],
    capacity: Room,
    teams: Mapping[identifiers.TeamId, catalog.Team],
) -> dict[identifiers.TeamId, int]:
    """Returns each team's load in a pool, in steps of its fair share.

    Args:
        used: Room that the runs of each team use; a team that only waits has
            an entry, too.
        capacity: Capacity of the pool.
        teams: Teams of the configuration in force.
    """
    weights = {team: find_weight(team, teams) for team in used}
    total = sum(weights.values())
    return {
        # The dominant share over the weight, relative to that of a team that
        # has exactly its fair share. The addend absorbs rounding errors.
        team: int(
            room.share_of(capacity)
            / (weights[team] / total)
            / STEP_OF_FAIR_SHARE
            + 1e-9
        )
        for team, room in used.items()
    }


def find_weight(
    team: identifiers.TeamId,
    teams: Mapping[identifiers.TeamId, catalog.Team],
) -> float:
    """Returns a team's weight.

    A team without one, or one that the configuration no longer has, counts
    with the smallest declared weight: it neither overtakes all others nor
    waits for them all.
    """
    known = teams.get(team)
    if known is not None and known.weight > 0:
        return known.weight
    declared = (other.weight for other in teams.values() if other.weight > 0)
    return min(declared, default=DEFAULT_WEIGHT)


def is_short(
    wanted: Mapping[identifiers.TeamId, Room],
    options: Iterable[placement.Candidate],
    teams: Mapping[identifiers.TeamId, catalog.Team],
    usage: Mapping[identifiers.TeamId, job.Resources],
) -> bool:
    """Whether the tasks that may start need more room than is free.

    Args:
        wanted: Room that the waiting tasks of each team need.
        options: Minions of the pool that may get new work.
        teams: Teams of the configuration in force.
        usage: What the runs of each team use, compared with its upper limit.
    """
    free = Room()
    for option in options:
        if not option.set_aside:
            free.add(option.free)
    total = Room()
    for team, room in wanted.items():
        cap = teams[team].cap if team in teams else job.Resources()
        used = usage.get(team, job.Resources())
        total.cpu += _limit(room.cpu, cap.cpu, used.cpu)
        total.memory += _limit(room.memory, cap.memory, used.memory)
    return total.exceeds(free)


def _limit(wanted: float, cap: int, used: int) -> float:
    """Returns the part of `wanted` that an upper limit allows; 0 is none."""
    return min(wanted, max(0, cap - used)) if cap else wanted


def _measure_wanted(
    waiting: Iterable[activejob.ActiveJob],
) -> dict[identifiers.PoolId, dict[identifiers.TeamId, Room]]:
    wanted: dict[identifiers.PoolId, dict[identifiers.TeamId, Room]] = {}
    for active in waiting:
        assert active.queue is not None
        room = wanted.setdefault(active.queue.pool, {}).setdefault(
            active.job.team, Room()
        )
        for work in active.work.values():
            if work.pending:
                room.add(work.step.room, len(work.pending))
    return wanted


if __name__ == "__main__":
    canvas, shade = identifiers.TeamId("canvas"), identifiers.TeamId("shade")
    print(
        measure_loads(
            {canvas: Room(8000, 4096), shade: Room(1000, 8192)},
            Room(32000, 65536),
            {canvas: catalog.Team(name=canvas, weight=4.0)},
        )
    )
