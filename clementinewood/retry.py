"""Retries: whether, when, and what a caller is told after the last attempt."""

import dataclasses
import enum
import random
from collections.abc import Hashable

from clementinewood import identifiers, verdict


class Outcome(enum.Enum):
    """How one attempt at a minion ended."""

    ANSWERED = "answered"
    FAILED = "failed"
    REFUSED = "refused"
    NOT_SENT = "not-sent"
    LOST = "lost"
    TIMED_OUT = "timed-out"
    INVALID = "invalid-answer"


EXECUTIONS: dict[Outcome, verdict.Execution] = {
    Outcome.ANSWERED: verdict.Execution.RAN,
    Outcome.FAILED: verdict.Execution.RAN,
    Outcome.REFUSED: verdict.Execution.NOT_RUN,
    Outcome.NOT_SENT: verdict.Execution.NOT_RUN,
    Outcome.LOST: verdict.Execution.MAY_HAVE_RUN,
    Outcome.TIMED_OUT: verdict.Execution.MAY_HAVE_RUN,
    Outcome.INVALID: verdict.Execution.MAY_HAVE_RUN,
}
"""What each outcome says about execution.

`FAILED` is a 5xx answer to the request without `X-Execution: not-run`; the
minion worked on it. An invalid answer may belong to another request.
"""

_CERTAINTY = {
    verdict.Execution.NOT_RUN: 0,
    verdict.Execution.MAY_HAVE_RUN: 1,
    verdict.Execution.RAN: 2,
}


def combine_executions(
    first: verdict.Execution, second: verdict.Execution
) -> verdict.Execution:
    """Returns what two attempts together say about their request."""
    return max(first, second, key=_CERTAINTY.__getitem__)


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """An attempt that ended, with what is known of its request.

    Attributes:
        request_id: Request, the same over all its attempts.
        team: Team the request counts for.
        number: 1 for the first attempt.
        outcome: How this attempt ended.
        idempotent: Whether running the request twice is harmless.
        deadline: Monotonic time after which the answer is of no use.
        estimate: Expected run time in seconds.
        minion: Minion that was tried; None when none was chosen.
        earlier: What the attempts before this one say about execution.
        failed_on: Minions on which earlier attempts failed after a start.
        max_attempts: Limit declared for the queue.
        kind: Key of the kind of request, for finding those that never run.
    """

    request_id: identifiers.RequestId
    team: identifiers.TeamId
    number: int
    outcome: Outcome
    idempotent: bool
    deadline: float
    estimate: float = 0.0
    minion: identifiers.MinionId | None = None
    earlier: verdict.Execution = verdict.Execution.NOT_RUN
    failed_on: frozenset[identifiers.MinionId] = frozenset()
    max_attempts: int = 3
    kind: Hashable = None

    @property
    def execution(self) -> verdict.Execution:
        """What this and all earlier attempts say about execution."""
        return combine_executions(self.earlier, EXECUTIONS[self.outcome])


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """Another attempt is due.

    Attributes:
        delay: Seconds to wait before it.
        exclude: Minions to avoid.
        execution: What all attempts so far say; `Attempt.earlier` of the next.
    """

    delay: float
    exclude: frozenset[identifiers.MinionId] = frozenset()
    execution: verdict.Execution = verdict.Execution.NOT_RUN


@dataclasses.dataclass(frozen=True, slots=True)
class GiveUp:
    """No further attempt; `refusal` goes to the caller."""

    refusal: verdict.Refusal


class RetryBudget:
    """Token bucket that limits retries to a fraction of requests.

    Args:
        ratio: Tokens earned by each first attempt.
        capacity: Most tokens held; what a burst of retries may take.
    """

    __slots__ = ("capacity", "ratio", "tokens")

    def __init__(self, *, ratio: float = 0.1, capacity: float = 10.0) -> None:
        self.ratio = ratio
        self.capacity = capacity
        self.tokens = capacity

    def earn(self) -> None:
        """Adds the part of a token that one request earns."""
        self.tokens = min(self.capacity, self.tokens + self.ratio)

    @property
    def has_token(self) -> bool:
        """Whether a retry is affordable."""
        return self.tokens >= 1.0

    def spend(self) -> None:
        """Takes one token; the caller has checked that there is one."""
        self.tokens -= 1.0


class RetryPolicy:
    """Decides on retries within budgets per team and for the fleet.

    Args:
        rng: Seeded source of jitter.
        ratio: Retries allowed per request.
        base: Upper bound of the first delay in seconds.
        cap: Upper bound of any delay in seconds.
    """

    def __init__(
        self,
        rng: random.Random,
        *,
        ratio: float = 0.1,
        base: float = 0.05,
        cap: float = 2.0,
    ) -> None:
        self._rng = rng
        self._ratio = ratio
        self._base = base
        self._cap = cap
        self._fleet = RetryBudget(ratio=ratio, capacity=50.0)
        self._teams: dict[identifiers.TeamId, RetryBudget] = {}

    def record_request(self, team: identifiers.TeamId) -> None:
        """Earns retry budget for one request's first attempt."""
        self._fleet.earn()
        self._budget(team).earn()

    def decide(self, attempt: Attempt, now: float) -> Retry | GiveUp:
        """Chooses between another attempt and a true refusal."""
        may_repeat = (
            attempt.idempotent or attempt.execution is verdict.Execution.NOT_RUN
        )
        if not may_repeat or attempt.number >= attempt.max_attempts:
            return self._give_up(attempt, verdict.Reason.RETRIES_EXHAUSTED)
        delay = self._rng.uniform(
            0.0, min(self._cap, self._base * 2 ** (attempt.number - 1))
        )
        if now + delay + attempt.estimate > attempt.deadline:
            return self._give_up(attempt, verdict.Reason.DEADLINE)
        budget = self._budget(attempt.team)
        if not (budget.has_token and self._fleet.has_token):
            return self._give_up(attempt, verdict.Reason.RETRY_BUDGET)
        budget.spend()
        self._fleet.spend()
        tried = frozenset(() if attempt.minion is None else (attempt.minion,))
        return Retry(delay, attempt.failed_on | tried, attempt.execution)

    def _budget(self, team: identifiers.TeamId) -> RetryBudget:
        budget = self._teams.get(team)
        if budget is None:
            budget = self._teams[team] = RetryBudget(ratio=self._ratio)
        return budget

    def _give_up(self, attempt: Attempt, reason: verdict.Reason) -> GiveUp:
        return GiveUp(verdict.Refusal(reason, attempt.execution))
