"""Ranks waiting jobs by urgency.

Load pattern: a queue's demand rises to about five times its mean for some
seconds, which is more than its pool can run. Serving jobs in order of arrival
makes every job late once the backlog exceeds the slack of a job. Jobs that can
still meet their objective therefore go first, by slack; late jobs follow, by
the latest time at which they are still of use. A step ends with the longest of
its runs, so the critical path of a job with wide steps is expected from the
spread of past runs.
"""

import dataclasses
import enum
import functools
import math
import statistics

from clementinewood import catalog, identifiers

PRIOR_SLOPE = 0.5
"""Slope of the regression before any run has ended. Declared run times are off
by half or more, which is as much as actual run times vary."""

PRIOR_WEIGHT = 20.0
"""Weight of the prior, as a number of observed runs."""

PRIOR_VARIANCE = 0.25
"""Variance of the logarithm of declared run times assumed by the prior."""

HALF_LIFE_RUNS = 400.0
"""Weight in observed runs above which the weight of past runs is halved."""

MIN_SPREAD_RUNS = 20
"""Least number of observed runs from which the spread of run times is used; the
standard error of the spread is then a sixth of it."""

SLACK_MARGIN_RATIO = 0.2
"""Slack that a job needs to count as able to meet its objective, as a share of
its remaining work. Expected run times are uncertain."""

LATE_FACTOR = 3.0
"""Multiple of its objective within which a job still helps its caller."""


class UrgencyClass(enum.IntEnum):
    """Class of a job against its objective; the lowest goes first."""

    BEGUN = 0
    """Started and able to finish in time; interrupting it wastes its work."""

    FEASIBLE = 1
    LATE = 2
    """Past its objective, but still of use."""

    OVER_RATE = 3
    """Beyond its team's token bucket; it runs on unused capacity."""

    EXPIRED = 4
    """Too late to be of use; it still runs to its end."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WaitingJob:
    """Inputs to the rank of one job.

    Attributes:
        queue: Its queue.
        arrived: When it was accepted or is due, in monotonic seconds.
        chain: Expected seconds of its critical path.
        chain_left: Expected seconds of its critical path over unfinished
            steps.
        begun: Whether a task of it has started, or is assigned to a minion.
        long_running: Whether it runs until it is cancelled.
        team_load: Cores that its team uses per unit of the team's weight.
        over_rate: Whether it arrived beyond its team's token bucket.
    """

    queue: catalog.Queue
    arrived: float
    chain: float
    chain_left: float
    begun: bool
    long_running: bool
    team_load: float
    over_rate: bool = False


def rank(waiting: WaitingJob, now: float) -> tuple[float, ...]:
    """Returns the sort key of a job; the smallest goes first.

    Args:
        waiting: The job.
        now: Monotonic time in seconds.
    """
    if waiting.long_running:
        # Long-running tasks are few and are worth more the longer they run.
        return (waiting.queue.priority, -1, waiting.arrived)
    if waiting.over_rate:
        return (waiting.queue.priority, UrgencyClass.OVER_RATE, waiting.arrived)
    objective = waiting.queue.stretch * waiting.chain + waiting.queue.slack
    slack = waiting.arrived + objective - now - waiting.chain_left
    if slack < SLACK_MARGIN_RATIO * waiting.chain_left:
        # A late job is still of use up to LATE_FACTOR times its objective.
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


def find_slack(rank_key: tuple[float, ...]) -> float | None:
    """Returns the seconds by which a job may still start later.

    Args:
        rank_key: Its sort key by `rank`.

    Returns:
        The slack, or None if the job can't meet its objective or has none.
    """
    if rank_key[1] not in (UrgencyClass.BEGUN, UrgencyClass.FEASIBLE):
        return None
    return rank_key[-1]


class _RunTimeRegression:
    """Regression of actual on declared run times of a queue, in logarithms."""

    __slots__ = (
        "actual",
        "actual_square_sum",
        "cross_sum",
        "declared",
        "slope",
        "spread",
        "square_sum",
        "weight",
    )

    def __init__(self) -> None:
        self.weight = 0.0
        self.actual_square_sum = 0.0
        self.slope = PRIOR_SLOPE
        self.spread = 0.0
        self.declared = 0.0
        self.actual = 0.0
        self.square_sum = 0.0
        self.cross_sum = 0.0

    def observe(self, declared: float, actual: float) -> None:
        """Adds the logarithms of one run's declared and actual seconds."""
        if self.weight > HALF_LIFE_RUNS:
            self.weight /= 2
            self.square_sum /= 2
            self.cross_sum /= 2
            self.actual_square_sum /= 2
        self.weight += 1
        before = declared - self.declared
        actual_before = actual - self.actual
        self.declared += before / self.weight
        self.actual += actual_before / self.weight
        self.square_sum += before * (declared - self.declared)
        self.cross_sum += before * (actual - self.actual)
        self.actual_square_sum += actual_before * (actual - self.actual)
        self.slope = (
            self.cross_sum + PRIOR_SLOPE * PRIOR_WEIGHT * PRIOR_VARIANCE
        ) / (self.square_sum + PRIOR_WEIGHT * PRIOR_VARIANCE)
        if self.weight >= MIN_SPREAD_RUNS:
            self.spread = self._measure_spread()

    def expect(self, declared: float) -> float:
        """Returns the expected logarithm of the actual seconds."""
        if not self.weight:
            return declared
        return self.actual + self.slope * (declared - self.declared)

    def _measure_spread(self) -> float:
        """Returns the standard deviation from the regression line."""
        residual_sum = self.actual_square_sum - self.slope * (
            2 * self.cross_sum - self.slope * self.square_sum
        )
        return math.sqrt(max(0.0, residual_sum) / (self.weight - 1))


@functools.cache
def expect_maximum(count: int) -> float:
    """Returns the expected maximum of `count` standard normal values.

    Blom's approximation is at most 0.03 off, which is 2% of a run time at a
    spread of 0.5. The cache is bounded by the largest number of tasks of a
    step.
    """
    return statistics.NormalDist().inv_cdf((count - 0.375) / (count + 0.25))


class RunTimes:
    """Estimates run times of each queue from declared ones and past runs."""

    def __init__(self) -> None:
        self._trends: dict[identifiers.QueueId, _RunTimeRegression] = {}

    def observe(
        self, queue: identifiers.QueueId, declared: float, seconds: float
    ) -> None:
        """Adds a successful run of `queue`; times are in seconds."""
        if declared > 0 and seconds > 0:
            trend = self._trends.setdefault(queue, _RunTimeRegression())
            trend.observe(math.log(declared), math.log(seconds))

    def expect(self, queue: identifiers.QueueId, declared: float) -> float:
        """Returns the expected seconds of a run declared to take `declared`."""
        trend = self._trends.get(queue)
        if trend is None or declared <= 0:
            return declared
        return math.exp(trend.expect(math.log(declared)))

    def expect_longest(
        self, queue: identifiers.QueueId, declared: float, count: int
    ) -> float:
        """Returns the expected seconds of the longest of `count` runs."""
        trend = self._trends.get(queue)
        if trend is None or declared <= 0 or not trend.spread:
            return self.expect(queue, declared)
        return math.exp(
            trend.expect(math.log(declared))
            + trend.spread * expect_maximum(count)
        )


if __name__ == "__main__":
    times = RunTimes()
    times.observe(identifiers.QueueId("quotes"), 1.0, 2.0)
    print(times.expect(identifiers.QueueId("quotes"), 3.0))
