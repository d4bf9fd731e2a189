"""Orders the work that waits for room.

Load pattern: a queue asks about five times its mean for seconds, more than
its pool holds. Serving in order of arrival makes every job late once the
backlog is longer than the slack of a job. Jobs that can still meet their
objective go first, the most urgent of them ahead; jobs that are late already
yield to them and follow in order of arrival.
"""

import dataclasses
import enum

from clementinewood import catalog, identifiers

DEFAULT_RATIO = 1.0
"""Real against declared run time of a queue before any run has ended."""

LEARNING = 0.1
"""Weight of one observed run in the learned ratio."""


class Standing(enum.IntEnum):
    """How a job stands against its objective; lower goes first."""

    BEGUN = 0
    """Running and able to finish in time; interrupting it wastes its work."""

    FEASIBLE = 1
    LATE = 2
    """Can't meet its objective any more."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Waiting:
    """What decides the place of one job.

    Attributes:
        queue: Its queue.
        arrived: When it was accepted or its occurrence was due.
        chain: Expected seconds of its longest chain of steps.
        chain_left: Expected seconds of the part of it that is not done.
        begun: Whether a task of it has started.
        long_running: Whether it runs until it is cancelled.
        team_load: Share of its team in use, relative to the team's weight.
    """

    queue: catalog.Queue
    arrived: float
    chain: float
    chain_left: float
    begun: bool
    long_running: bool
    team_load: float


def rank(waiting: Waiting, wall: float) -> tuple[float, ...]:
    """Returns the sort key of a job; the smallest goes first.

    Args:
        waiting: The job.
        wall: Unix time in seconds.
    """
    if waiting.long_running:
        # Long-running tasks earn by the second and are few.
        return (waiting.queue.priority, -1, waiting.arrived)
    objective = waiting.queue.stretch * waiting.chain + waiting.queue.slack
    slack = waiting.arrived + objective - wall - waiting.chain_left
    if slack < 0:
        return (
            waiting.queue.priority,
            Standing.LATE,
            waiting.arrived,
        )
    standing = Standing.BEGUN if waiting.begun else Standing.FEASIBLE
    return (
        waiting.queue.priority,
        standing,
        round(waiting.team_load, 1),
        slack,
    )


class RunTimes:
    """Learns how run times of each queue compare with the declared ones."""

    def __init__(self) -> None:
        self._ratios: dict[identifiers.QueueId, float] = {}

    def observe(
        self, queue: identifiers.QueueId, declared: float, seconds: float
    ) -> None:
        """Learns from a run of `queue` that ended well."""
        if declared <= 0:
            return
        ratio = min(max(seconds / declared, 0.1), 10.0)
        known = self._ratios.get(queue, ratio)
        self._ratios[queue] = known + LEARNING * (ratio - known)

    def expect(self, queue: identifiers.QueueId, declared: float) -> float:
        """Returns the expected seconds of a run declared as `declared`."""
        return declared * self._ratios.get(queue, DEFAULT_RATIO)


if __name__ == "__main__":
    times = RunTimes()
    times.observe(identifiers.QueueId("quotes"), 1.0, 2.0)
    print(times.expect(identifiers.QueueId("quotes"), 3.0))
