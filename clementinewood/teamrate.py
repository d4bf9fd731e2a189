"""Tells which jobs a team sends beyond its share.

Load pattern: one team sends many times its usual for seconds. Its weight is
the number of jobs a second that it may count on; what it sends beyond that
yields to the work of the others while there is not room for all.
"""

import dataclasses

from clementinewood import identifiers

BURST_SECONDS = 2.0
"""Time over which a team may make up for having sent less than its weight;
jobs come unevenly."""


@dataclasses.dataclass(slots=True)
class _Bucket:
    tokens: float
    filled: float


class TeamTokenBuckets:
    """A token bucket for each team."""

    def __init__(self) -> None:
        self._buckets: dict[identifiers.TeamId, _Bucket] = {}

    def take(self, team: identifiers.TeamId, weight: float, now: float) -> bool:
        """Takes a job of `team` off its allowance.

        Args:
            team: The team.
            weight: Jobs a second that it may count on.
            now: Monotonic time in seconds at which the job arrived.

        Returns:
            Whether the job is within the allowance.
        """
        most = max(1.0, weight * BURST_SECONDS)
        bucket = self._buckets.setdefault(team, _Bucket(most, now))
        passed = max(0.0, now - bucket.filled)
        bucket.tokens = min(most, bucket.tokens + passed * weight)
        bucket.filled = max(now, bucket.filled)
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True


if __name__ == "__main__":
    print(TeamTokenBuckets().take(identifiers.TeamId("canvas"), 2.0, 0.0))
