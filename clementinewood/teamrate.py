"""Limits each team's guaranteed job rate with a token bucket.

Load pattern: one team sends many times its usual rate for some seconds. Its
weight is its guaranteed rate in jobs per second; jobs beyond that yield to
other teams' work while capacity is short.
"""

import dataclasses

from clementinewood import identifiers

BURST_SECONDS = 2.0
"""Depth of the token bucket in seconds of the team's rate, since jobs arrive
unevenly."""


@dataclasses.dataclass(slots=True)
class _Bucket:
    tokens: float
    refilled_at: float


class TeamTokenBuckets:
    """Holds a token bucket for each team."""

    def __init__(self) -> None:
        self._buckets: dict[identifiers.TeamId, _Bucket] = {}

    def take(self, team: identifiers.TeamId, weight: float, now: float) -> bool:
        """Takes one token from the bucket of `team`.

        Args:
            team: The team.
            weight: Its guaranteed rate in jobs per second.
            now: Monotonic time in seconds at which the job arrived.

        Returns:
            Whether a token was left, so that the job is within the rate.
        """
        bucket = self._refill(team, weight, now)
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True

    def has_token(
        self, team: identifiers.TeamId, weight: float, now: float
    ) -> bool:
        """Whether `take` would find a token."""
        return self._refill(team, weight, now).tokens >= 1.0

    def _refill(
        self, team: identifiers.TeamId, weight: float, now: float
    ) -> _Bucket:
        capacity = max(1.0, weight * BURST_SECONDS)
        bucket = self._buckets.setdefault(team, _Bucket(capacity, now))
        elapsed = max(0.0, now - bucket.refilled_at)
        bucket.tokens = min(capacity, bucket.tokens + elapsed * weight)
        bucket.refilled_at = max(now, bucket.refilled_at)
        return bucket


if __name__ == "__main__":
    print(TeamTokenBuckets().take(identifiers.TeamId("canvas"), 2.0, 0.0))
