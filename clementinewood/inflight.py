"""State of a request that an entry has accepted and not yet answered."""

import dataclasses
import enum

from clementinewood import (
    admission,
    claim,
    edge,
    identifiers,
    priority,
    requestlog,
    retry,
    router,
    scheduler,
    verdict,
)


class Phase(enum.Enum):
    """Phase of a request at its entry."""

    CLAIMING = "claiming"
    QUEUED = "queued"
    RUNNING = "running"
    WAITING_RETRY = "waiting-retry"
    DONE = "done"


@dataclasses.dataclass(slots=True)
class InFlightRequest:
    """State of one request at the entry that accepted it.

    Attributes:
        request_id: Id sent to the minion and to the caller.
        exchange: The caller's exchange, which takes one response.
        grant: Queue, team and customer that admission granted.
        pool: Pool that serves the queue.
        priority: Effective priority class.
        idempotent: Whether running it twice is harmless.
        deadline: Monotonic time in seconds by which its run should end.
        run_limit: Seconds after which a minion stops the work.
        estimate: Declared run time in seconds.
        max_attempts: Attempts allowed by the queue.
        received: Monotonic time of arrival, in seconds.
        phase: Current phase.
        attempt: The last attempt that ended.
        exclude: Minions to avoid.
        target: Minion of the attempt in progress.
        started: Monotonic time at which the attempt was sent, in seconds.
        attempt_limit: Run limit of the attempt in progress, in seconds.
        key_claim: Claim of its idempotency key, or None without a key.
        cancelled: Whether the caller has disconnected.
        attempts: Every attempt that ended, in order.
    """

    request_id: identifiers.RequestId
    exchange: edge.Exchange
    grant: admission.Grant
    pool: identifiers.PoolId
    priority: priority.Priority
    idempotent: bool
    deadline: float
    run_limit: float
    estimate: float
    max_attempts: int
    received: float
    phase: Phase = Phase.QUEUED
    attempt: retry.Attempt | None = None
    exclude: frozenset[identifiers.MinionId] = frozenset()
    target: router.Target | None = None
    started: float = 0.0
    attempt_limit: float = 0.0
    key_claim: claim.Claim | None = None
    cancelled: bool = False
    attempts: list[requestlog.AttemptRecord] = dataclasses.field(
        default_factory=list
    )

    @property
    def execution(self) -> verdict.Execution:
        """Execution of the request after all attempts so far."""
        if self.attempt is None:
            return verdict.Execution.NOT_RUN
        return self.attempt.execution

    def end_attempt(
        self, outcome: retry.Outcome, minion: identifiers.MinionId
    ) -> retry.Attempt:
        """Records and returns the attempt at `minion` that ended."""
        self.attempts.append(requestlog.AttemptRecord(minion, outcome))
        if self.attempt is not None:
            self.attempt = self.attempt.follow(outcome, minion)
        else:
            self.attempt = retry.Attempt(
                request_id=self.request_id,
                team=self.grant.team,
                number=1,
                outcome=outcome,
                idempotent=self.idempotent,
                deadline=self.deadline,
                estimate=self.estimate,
                minion=minion,
                max_attempts=self.max_attempts,
                kind=(self.grant.team, self.grant.queue),
            )
        return self.attempt

    def create_job(self) -> scheduler.Job:
        """Returns the job to queue, with the declared run time."""
        return scheduler.Job(
            request_id=self.request_id,
            queue=self.grant.queue,
            team=self.grant.team,
            customer=self.grant.customer,
            priority=self.priority,
            deadline=self.deadline,
            estimate=self.estimate,
        )
