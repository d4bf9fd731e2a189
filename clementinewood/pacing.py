"""Slows tasks that fill beside tasks that serve users.

Load pattern: tasks that use left-over capacity disturb serving tasks on the
same minion by amounts that change within seconds. Their pace is halved while
a tail is near its target, and rises slowly while all tails are well below it.
"""

import dataclasses
from collections.abc import Iterable, Iterator

from clementinewood import run

TAIL_HIGH_RATIO = 0.85
"""Share of its target from which a tail counts as endangered."""

TAIL_LOW_RATIO = 0.6
"""Share of its target below which a filling task may go faster."""

PERIOD_SECONDS = 0.5
"""Minions report tails of the last half second; changes wait that long."""

RAISE_STEP = 20
"""Percent by which the pace rises in one period."""

MIN_PACE = 10
"""Below this pace, in percent, a task is halted."""


@dataclasses.dataclass(frozen=True, slots=True)
class Paced:
    """A run and the pace that it should have, in percent."""

    run: run.Run
    percent: int


class Pacer:
    """Decides the pace of filling tasks, minion by minion."""

    def __init__(self) -> None:
        self._changed: dict[str, float] = {}
        self._fresh: set[str] = set()

    def observe(self, view: run.MinionView, now: float) -> None:
        """Notes that a minion has reported tails."""
        self._fresh.add(view.minion_id)

    def plan(
        self, views: Iterable[run.MinionView], now: float
    ) -> Iterator[Paced]:
        """Yields the runs whose pace is to change."""
        for view in views:
            if view.minion_id not in self._fresh:
                continue
            if now - self._changed.get(view.minion_id, 0.0) < PERIOD_SECONDS:
                continue
            self._fresh.discard(view.minion_id)
            for item in _plan_minion(view):
                self._changed[view.minion_id] = now
                item.run.pace = item.percent
                yield item


def _plan_minion(view: run.MinionView) -> list[Paced]:
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
            Paced(item, _lower(item.pace)) for item in fillers if item.pace > 0
        ]
    if worst < TAIL_LOW_RATIO:
        return [
            Paced(item, min(100, item.pace + RAISE_STEP))
            for item in fillers
            if item.pace < 100
        ]
    return []


def _lower(pace: int) -> int:
    lowered = pace // 2
    return lowered if lowered >= MIN_PACE else 0


if __name__ == "__main__":
    print(_lower(100), _lower(15))
