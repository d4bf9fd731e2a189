"""Decides whether and when to retry, and the refusal after the last attempt."""

import collections
import dataclasses
import enum
import random
from collections.abc import Hashable

from clementinewood import identifiers, verdict


class Outcome(enum.Enum):
    """How one attempt at a minion ended."""

    SUCCEEDED = "answered"
    FAILED = "failed"
    REFUSED = "refused"
    NOT_SENT = "not-sent"
    LOST = "lost"
    TIMED_OUT = "timed-out"
    INVALID = "invalid-answer"


EXECUTIONS: dict[Outcome, verdict.Execution] = {
    Outcome.SUCCEEDED: verdict.Execution.RAN,
    Outcome.FAILED: verdict.Execution.RAN,
    Outcome.REFUSED: verdict.Execution.NOT_RUN,
    Outcome.NOT_SENT: verdict.Execution.NOT_RUN,
    Outcome.LOST: verdict.Execution.MAY_HAVE_RUN,
    Outcome.TIMED_OUT: verdict.Execution.MAY_HAVE_RUN,
    Outcome.INVALID: verdict.Execution.MAY_HAVE_RUN,
}
"""Whether the request may have run, for each outcome.

`FAILED` is a 5xx response without `X-Execution: not-run`: the minion worked on
the request. An invalid response may belong to another request.
"""

_CERTAINTY = {
    verdict.Execution.NOT_RUN: 0,
    verdict.Execution.MAY_HAVE_RUN: 1,
    verdict.Execution.RAN: 2,
}


def combine_executions(
    first: verdict.Execution, second: verdict.Execution
) -> verdict.Execution:
    """Returns the execution of a request from those of two attempts."""
    return max(first, second, key=_CERTAINTY.__getitem__)


def combine_refusal(
    refusal: verdict.Refusal, earlier: verdict.Execution
) -> verdict.Refusal:
    """Returns `refusal` with the execution of earlier attempts included.

    A retry that is refused while it waits did not run, but an earlier attempt
    of its request may have.
    """
    return dataclasses.replace(
        refusal, execution=combine_executions(earlier, refusal.execution)
    )


_MAY_REPEAT: dict[tuple[verdict.Execution, bool], bool] = {
    (verdict.Execution.NOT_RUN, False): True,
    (verdict.Execution.NOT_RUN, True): True,
    (verdict.Execution.MAY_HAVE_RUN, False): False,
    (verdict.Execution.MAY_HAVE_RUN, True): True,
    (verdict.Execution.RAN, False): False,
    (verdict.Execution.RAN, True): True,
}
"""Whether a request may be sent again, by its execution and idempotence."""

_REASONS: dict[Outcome, verdict.Reason] = {
    Outcome.FAILED: verdict.Reason.RETRIES_EXHAUSTED,
    Outcome.REFUSED: verdict.Reason.RETRIES_EXHAUSTED,
    Outcome.NOT_SENT: verdict.Reason.NO_MINION,
    Outcome.LOST: verdict.Reason.MINION_LOST,
    Outcome.TIMED_OUT: verdict.Reason.MINION_TIMEOUT,
    Outcome.INVALID: verdict.Reason.MINION_ANSWER,
}
"""Reason of the refusal after a last attempt with this outcome."""

POISON_MINION_COUNT = 3
"""Distinct minions on which a kind of request fails before it is poison."""

FAILURE_HISTORY_SECONDS = 60.0
"""Seconds after which failures no longer count against a kind of request."""

MAX_KINDS = 1024
"""Kinds of request whose failures are kept; the oldest is evicted first."""


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """An attempt that ended, with the state of its request.

    Attributes:
        request_id: Id of the request, the same for all its attempts.
        team: Team charged for the request.
        number: 1 for the first attempt.
        outcome: How this attempt ended.
        idempotent: Whether running the request twice is harmless.
        deadline: Monotonic time in seconds after which the response is
            useless.
        estimate: Expected run time in seconds.
        minion: Minion of the attempt; None if none was chosen.
        earlier: Execution of the request before this attempt.
        failed_on: Minions on which earlier attempts failed after a start.
        max_attempts: Limit declared for the queue.
        kind: Key of the kind of request, to detect kinds that always fail.
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
        """Execution of the request after this and all earlier attempts."""
        return combine_executions(self.earlier, EXECUTIONS[self.outcome])

    @property
    def failures(self) -> frozenset[identifiers.MinionId]:
        """Minions on which this or an earlier attempt failed after a start."""
        if (
            self.minion is None
            or EXECUTIONS[self.outcome] is verdict.Execution.NOT_RUN
        ):
            return self.failed_on
        return self.failed_on | {self.minion}

    def follow(
        self, outcome: Outcome, minion: identifiers.MinionId | None
    ) -> "Attempt":
        """Returns the next attempt of the request, which ended as `outcome`."""
        return dataclasses.replace(
            self,
            number=self.number + 1,
            outcome=outcome,
            minion=minion,
            earlier=self.execution,
            failed_on=self.failures,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """A decision to send another attempt.

    Attributes:
        delay: Seconds to wait before it.
        exclude: Minions to avoid.
    """

    delay: float
    exclude: frozenset[identifiers.MinionId] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class GiveUp:
    """A decision to send no further attempt and return `refusal`."""

    refusal: verdict.Refusal


class RetryBudget:
    """Token bucket that limits retries to a fraction of requests.

    Args:
        ratio: Tokens added for each first attempt.
        capacity: Largest number of tokens, which limits a burst of retries.
    """

    __slots__ = ("capacity", "ratio", "tokens")

    def __init__(self, *, ratio: float, capacity: float) -> None:
        self.ratio = ratio
        self.capacity = capacity
        self.tokens = capacity

    def earn(self) -> None:
        """Adds the tokens for one first attempt."""
        self.tokens = min(self.capacity, self.tokens + self.ratio)

    @property
    def has_token(self) -> bool:
        """Whether there is a token for a retry."""
        return self.tokens >= 1.0

    def spend(self) -> None:
        """Takes one token; the caller must have checked `has_token`."""
        self.tokens -= 1.0


class _FailureHistory:
    """Minions on which one kind of request failed since its last success."""

    __slots__ = ("minions", "since")

    def __init__(self, since: float) -> None:
        self.since = since
        self.minions: set[identifiers.MinionId] = set()


class RetryPolicy:
    """Decides on retries within budgets per team and for all teams.

    Each entry has its own policy; since budgets are fractions of the requests
    of an entry, the same fraction holds for the fleet.

    Args:
        rng: Source of jitter.
        ratio: Retries allowed per request.
        team_burst: Capacity of a team's budget, in retries.
        burst: Capacity of the budget of all teams, in retries.
        base: Upper bound of the first delay in seconds.
        cap: Upper bound of any delay in seconds.
    """

    def __init__(
        self,
        rng: random.Random,
        *,
        ratio: float = 0.1,
        team_burst: float = 3.0,
        burst: float = 10.0,
        base: float = 0.05,
        cap: float = 2.0,
    ) -> None:
        self._rng = rng
        self._ratio = ratio
        self._team_burst = team_burst
        self._base = base
        self._cap = cap
        self._fleet = RetryBudget(ratio=ratio, capacity=burst)
        self._teams: dict[identifiers.TeamId, RetryBudget] = {}
        self._failure_histories: collections.OrderedDict[
            Hashable, _FailureHistory
        ] = collections.OrderedDict()

    def record_request(self, team: identifiers.TeamId) -> None:
        """Adds to the retry budgets for the first attempt of a request."""
        self._fleet.earn()
        self._budget(team).earn()

    def record_success(self, kind: Hashable) -> None:
        """Clears the earlier failures of a kind of request."""
        if kind is not None:
            self._failure_histories.pop(kind, None)

    def decide(self, attempt: Attempt, now: float) -> Retry | GiveUp:
        """Returns whether to retry, with the delay, or the refusal.

        Raises:
            ValueError: The attempt succeeded.
        """
        if attempt.outcome is Outcome.SUCCEEDED:
            raise ValueError("an answered request needs no decision")
        is_poison = self._record_failure(attempt, now)
        if not _MAY_REPEAT[attempt.execution, attempt.idempotent]:
            return self._give_up(
                attempt,
                _REASONS[attempt.outcome],
                "The request is not idempotent and may not be sent again.",
            )
        if is_poison:
            return self._give_up(
                attempt,
                verdict.Reason.RETRIES_EXHAUSTED,
                f"Requests of this kind failed on {POISON_MINION_COUNT} "
                "minions and on none succeeded.",
            )
        if attempt.number >= attempt.max_attempts:
            return self._give_up(
                attempt,
                verdict.Reason.RETRIES_EXHAUSTED,
                f"All {attempt.number} attempts failed.",
            )
        room = attempt.deadline - attempt.estimate - now
        if room < 0.0:
            return self._give_up(
                attempt,
                verdict.Reason.DEADLINE,
                "No time is left for another attempt.",
            )
        budget = self._budget(attempt.team)
        if not (budget.has_token and self._fleet.has_token):
            return self._give_up(
                attempt,
                verdict.Reason.RETRY_BUDGET,
                "Too many requests are being retried.",
                retry_after=self._cap,
            )
        budget.spend()
        self._fleet.spend()
        limit = min(self._cap, self._base * 2 ** (attempt.number - 1), room)
        tried = () if attempt.minion is None else (attempt.minion,)
        return Retry(
            self._rng.uniform(0.0, limit), attempt.failures.union(tried)
        )

    def _record_failure(self, attempt: Attempt, now: float) -> bool:
        """Records a failure; returns whether the kind of request is poison."""
        failures = attempt.failures
        if attempt.kind is None or not failures:
            return len(failures) >= POISON_MINION_COUNT
        history = self._failure_histories.get(attempt.kind)
        if history is None or now - history.since > FAILURE_HISTORY_SECONDS:
            history = self._failure_histories[attempt.kind] = _FailureHistory(
                now
            )
            self._failure_histories.move_to_end(attempt.kind)
            if len(self._failure_histories) > MAX_KINDS:
                self._failure_histories.popitem(last=False)
        history.minions |= failures
        return len(history.minions) >= POISON_MINION_COUNT

    def _budget(self, team: identifiers.TeamId) -> RetryBudget:
        budget = self._teams.get(team)
        if budget is None:
            budget = self._teams[team] = RetryBudget(
                ratio=self._ratio, capacity=self._team_burst
            )
        return budget

    def _give_up(
        self,
        attempt: Attempt,
        reason: verdict.Reason,
        detail: str,
        *,
        retry_after: float | None = None,
    ) -> GiveUp:
        return GiveUp(
            verdict.Refusal(reason, attempt.execution, detail, retry_after)
        )


if __name__ == "__main__":
    policy = RetryPolicy(random.Random(1))
    lost = Attempt(
        identifiers.create_request_id(),
        identifiers.TeamId("quotes"),
        number=1,
        outcome=Outcome.LOST,
        idempotent=False,
        deadline=10.0,
        minion=identifiers.MinionId("minion-1"),
    )
    print(policy.decide(lost, 0.0))
    print(policy.decide(dataclasses.replace(lost, idempotent=True), 0.0))
