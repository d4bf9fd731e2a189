"""Judges how the responses of all minions fare: normal, lossy or slow.

Load patterns: for some seconds, one response in ten or so is lost on its way,
from any minion, while the others arrive within milliseconds; shorter polls then
show earlier what a lost one has hidden. Or the responses of all minions arrive
late, since the dispatcher's own link is full or its host is slow; shorter polls
would fill the link further, and giving up on responses that are only late would
end work that runs. A single minion without responses is no sign of either.
"""

import collections
import enum

from clementinewood import identifiers

WINDOW_SECONDS = 4.0
"""Time for which a response or its absence counts."""

MIN_MINIONS = 3
"""Minions with a missing response within the window that make a pattern."""

SLOW_TIMEOUT_RATIO = 0.5
"""Share of missing responses from which all are taken to be slow."""

SLOW_SECONDS = 0.1
"""Mean response time from which responses count as slow; normally it is a few
milliseconds."""

PATIENCE_SECONDS = 0.6
"""Least patience; minions respond in a few milliseconds, and in some tenths of
a second when slow."""

LOSSY_PATIENCE_SECONDS = 0.2
"""Least patience while responses get lost, still several times the usual."""

MAX_PATIENCE_SECONDS = 2.4
"""Most patience: a poll that waits 1 s fits into a lease of 4 s with it."""

EWMA_WEIGHT_RATIO = 0.125
"""Weight of the newest response time in the moving averages."""

DEVIATIONS = 4.0
"""Patience beyond the mean response time, in mean deviations."""


class Condition(enum.Enum):
    """How the responses of all minions fare."""

    NORMAL = "normal"
    LOSSY = "lossy"
    SLOW = "slow"


class ResponseTimes:
    """Measures response times and counts missing responses."""

    def __init__(self) -> None:
        self._mean = 0.0
        self._deviation = 0.0
        self._responses: collections.deque[float] = collections.deque()
        self._timeouts: collections.deque[
            tuple[float, identifiers.MinionId]
        ] = collections.deque()
        self._silent: collections.Counter[identifiers.MinionId] = (
            collections.Counter()
        )

    def observe_response(self, now: float, seconds: float | None) -> None:
        """Adds a response.

        Args:
            now: Monotonic time in seconds.
            seconds: Its response time; None if the minion may have waited for
                an outcome before it responded.
        """
        self._responses.append(now)
        if seconds is None:
            return
        difference = seconds - self._mean
        self._mean += EWMA_WEIGHT_RATIO * difference
        self._deviation += EWMA_WEIGHT_RATIO * (
            abs(difference) - self._deviation
        )

    def observe_timeout(
        self, minion_id: identifiers.MinionId, now: float
    ) -> None:
        """Adds a response that is missing although its minion is in use."""
        self._timeouts.append((now, minion_id))
        self._silent[minion_id] += 1

    def judge(self, now: float) -> Condition:
        """Returns how responses fare.

        Args:
            now: Monotonic time in seconds.
        """
        self._forget(now)
        if self._mean >= SLOW_SECONDS:
            return Condition.SLOW
        if len(self._silent) < MIN_MINIONS:
            return Condition.NORMAL
        exchanges = len(self._responses) + len(self._timeouts)
        if len(self._timeouts) >= SLOW_TIMEOUT_RATIO * exchanges:
            return Condition.SLOW
        return Condition.LOSSY

    def compute_patience(self, now: float) -> float:
        """Returns how long to wait for a response that is due.

        Args:
            now: Monotonic time in seconds.
        """
        measured = self._mean + DEVIATIONS * self._deviation
        match self.judge(now):
            case Condition.NORMAL:
                least = PATIENCE_SECONDS
            case Condition.LOSSY:
                least = LOSSY_PATIENCE_SECONDS
            case Condition.SLOW:
                return MAX_PATIENCE_SECONDS
        return min(max(least, measured), MAX_PATIENCE_SECONDS)

    def _forget(self, now: float) -> None:
        since = now - WINDOW_SECONDS
        while self._responses and self._responses[0] < since:
            self._responses.popleft()
        while self._timeouts and self._timeouts[0][0] < since:
            _, minion_id = self._timeouts.popleft()
            self._silent[minion_id] -= 1
            if not self._silent[minion_id]:
                del self._silent[minion_id]


if __name__ == "__main__":
    times = ResponseTimes()
    for name in ("m1", "m2", "m3"):
        times.observe_timeout(identifiers.MinionId(name), 1.0)
    print(times.judge(2.0), times.compute_patience(2.0), times.judge(9.0))
