"""Orders the work that waits for room.

Load pattern: a queue asks about five times its mean for seconds, more than
its pool holds. Serving in order of arrival makes every job late once the
backlog is longer than the slack of a job. Jobs that can still meet their
objective go first, the most urgent of them ahead; jobs that are late already
yield to them and follow in order of arrival.
"""

import dataclasses
import enum
import math

from clementinewood import catalog, identifiers

PRIOR_SLOPE = 0.5
"""How far a declared run time is believed before runs have ended: declared
times are off by half and more, as much as the real ones differ."""

PRIOR_WEIGHT = 20.0
"""Observed runs that weigh as much as the prior."""

PRIOR_VARIANCE = 0.25
"""Variance of the logarithm of declared run times that the prior assumes."""

HALF_LIFE_RUNS = 400.0
"""Observed runs after which the weight of old ones is halved."""

SLACK_MARGIN_RATIO = 0.2
"""Share of the work left that a job needs as slack beyond it to be taken as
able to finish in time: expected run times are uncertain."""


LATE_FACTOR = 3.0
"""Multiple of its objective up to which a job is of use to its caller."""


class UrgencyClass(enum.IntEnum):
    """How a job stands against its objective; lower goes first."""

    BEGUN = 0
    """Running and able to finish in time; interrupting it wastes its work."""

    FEASIBLE = 1
    LATE = 2
    """Can't meet its objective any more, but can still be of use."""

    OVER_RATE = 3
    """Beyond what its team may count on; it gets what the others leave."""

    EXPIRED = 4
    """Too late to be of use; it still ends."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Waiting:
    """What decides the place of one job.

    Attributes:
        queue: Its queue.
        arrived: When it was accepted or is due, in monotonic seconds.
        chain: Expected seconds of its longest chain of steps.
        chain_left: Expected seconds of the part of it that is not done.
        begun: Whether a task of it has started.
        long_running: Whether it runs until it is cancelled.
        team_load: Share of its team in use, relative to the team's weight.
        over_rate: Whether its team had sent more than it may count on.
    """

    queue: catalog.Queue
    arrived: float
    chain: float
    chain_left: float
    begun: bool
    long_running: bool
    team_load: float
    over_rate: bool = False


def rank(waiting: Waiting, now: float) -> tuple[float, ...]:
    """Returns the sort key of a job; the smallest goes first.

    Args:
        waiting: The job.
        now: Monotonic time in seconds.
    """
    if waiting.long_running:
        # Long-running tasks earn by the second and are few.
        return (waiting.queue.priority, -1, waiting.arrived)
    if waiting.over_rate:
        return (waiting.queue.priority, UrgencyClass.OVER_RATE, waiting.arrived)
    objective = waiting.queue.stretch * waiting.chain + waiting.queue.slack
    slack = waiting.arrived + objective - now - waiting.chain_left
    if slack < SLACK_MARGIN_RATIO * waiting.chain_left:
        # Serving it late still helps its caller, up to a point.
        last = waiting.arrived + LATE_FACTOR * objective - waiting.chain_left
        urgency = UrgencyClass.LATE if last >= now else UrgencyClass.EXPIRED
        return (waiting.queue.priority, urgency, last)
    urgency = UrgencyClass.BEGUN if waiting.begun else UrgencyClass.FEASIBLE
    return (
        waiting.queue.priority,
        urgency,
        round(waiting.team_load, 1),
        slack,
    )


class _Trend:
    """Regression of real on declared run times of one queue, in logarithms."""

    __slots__ = ("cross", "real", "square", "told", "weight")

    def __init__(self) -> None:
        self.weight = 0.0
        self.told = 0.0
        self.real = 0.0
        self.square = 0.0
        self.cross = 0.0

    def observe(self, told: float, real: float) -> None:
        """Adds one run."""
        if self.weight > HALF_LIFE_RUNS:
            self.weight /= 2
            self.square /= 2
            self.cross /= 2
        self.weight += 1
        before = told - self.told
        self.told += before / self.weight
        self.real += (real - self.real) / self.weight
        self.square += before * (told - self.told)
        self.cross += before * (real - self.real)

    def expect(self, told: float) -> float:
        """Returns the expected real value."""
        if not self.weight:
            return told
        slope = (self.cross + PRIOR_SLOPE * PRIOR_WEIGHT * PRIOR_VARIANCE) / (
            self.square + PRIOR_WEIGHT * PRIOR_VARIANCE
        )
        return self.real + slope * (told - self.told)


class RunTimes:
    """Learns how run times of each queue compare with the declared ones."""

    def __init__(self) -> None:
        self._trends: dict[identifiers.QueueId, _Trend] = {}

    def observe(
        self, queue: identifiers.QueueId, declared: float, seconds: float
    ) -> None:
        """Learns from a run of `queue` that ended well."""
        if declared > 0 and seconds > 0:
            trend = self._trends.setdefault(queue, _Trend())
            trend.observe(math.log(declared), math.log(seconds))

    def expect(self, queue: identifiers.QueueId, declared: float) -> float:
        """Returns the expected seconds of a run declared as `declared`."""
        trend = self._trends.get(queue)
        if trend is None or declared <= 0:
            return declared
        return math.exp(trend.expect(math.log(declared)))


if __name__ == "__main__":
    times = RunTimes()
    times.observe(identifiers.QueueId("quotes"), 1.0, 2.0)
    print(times.expect(identifiers.QueueId("quotes"), 3.0))
