"""Throttles filling tasks that share a minion with tasks that serve users.

Load pattern: filling tasks, which use spare capacity, slow serving tasks on the
same minion by amounts that change within seconds. Their pace is halved while
a tail latency is near its target, and rises in steps while all are well below.
"""

import dataclasses
from collections.abc import Iterable, Iterator

from clementinewood import run

TAIL_HIGH_RATIO = 0.85
"""Share of its target from which a tail latency lowers the pace."""

TAIL_LOW_RATIO = 0.6
"""Share of their targets below which all tail latencies must be for the pace to
rise."""

PERIOD_SECONDS = 0.5
"""Least time between changes on one minion, since minions report the tail
latency of the last half second."""

RAISE_STEP = 20
"""Percentage points by which the pace rises in one period."""

MIN_PACE = 10
"""Pace in percent below which a task is halted."""


@dataclasses.dataclass(frozen=True, slots=True)
class PaceChange:
    """New pace of a run, in percent of full pace."""

    run: run.Run
    percent: int


class Pacer:
    """Decides the pace of the filling tasks on each minion."""

    def __init__(self) -> None:
        self._changed: dict[str, float] = {}
        self._reported: set[str] = set()

    def observe(self, view: run.MinionView, now: float) -> None:
        """Records that a minion has reported new tail latencies."""
        self._reported.add(view.minion_id)

    def plan(
        self, views: Iterable[run.MinionView], now: float
    ) -> Iterator[PaceChange]:
        """Yields the runs whose pace changes, and stores their new pace."""
        for view in views:
            if view.minion_id not in self._reported:
                continue
            if now - self._changed.get(view.minion_id, 0.0) < PERIOD_SECONDS:
                continue
            self._reported.discard(view.minion_id)
            for item in _plan_minion(view):
                self._changed[view.minion_id] = now
                item.run.pace = item.percent
                yield item


def _plan_minion(view: run.MinionView) -> list[PaceChange]:
    running = [
        item
        for item in view.runs.values()
        if item.state is run.RunState.RUNNING
    ]
    fillers = [item for item in running if item.fills]
    if not fillers:
        return []
    worst = max(
        (
            item.usage / 1000.0 / item.tail_target
            for item in running
            if item.tail_target > 0
        ),
        default=0.0,
    )
    if worst >= TAIL_HIGH_RATIO:
        return [
            PaceChange(item, _lower(item.pace))
            for item in fillers
            if item.pace > 0
        ]
    if worst < TAIL_LOW_RATIO:
        return [
            PaceChange(item, min(100, item.pace + RAISE_STEP))
            for item in fillers
            if item.pace < 100
        ]
    return []


def _lower(pace: int) -> int:
    lowered = pace // 2
    return lowered if lowered >= MIN_PACE else 0


if __name__ == "__main__":
    print(_lower(100), _lower(15))
