"""Defines whether a request may have run and why it was refused."""

import dataclasses
import enum


class Execution(enum.Enum):
    """Whether a request ran at a minion.

    The value is sent to callers in the `X-Execution` header.
    """

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    RAN = "ran"


class Reason(enum.Enum):
    """Reason of a refusal; each has its own HTTP status and counter."""

    MALFORMED = "malformed-request"
    HEADERS_TOO_LARGE = "headers-too-large"
    BODY_TOO_LARGE = "body-too-large"
    REQUEST_TIMEOUT = "request-timeout"
    TOO_MANY_CONNECTIONS = "too-many-connections"
    KEY_MISSING = "key-missing"
    KEY_UNKNOWN = "key-unknown"
    KEY_REVOKED = "key-revoked"
    QUEUE_UNKNOWN = "queue-unknown"
    QUEUE_FORBIDDEN = "queue-forbidden"
    QUEUE_CLOSING = "queue-closing"
    STALE_CONFIGURATION = "stale-configuration"
    QUEUE_FULL = "queue-full"
    OVERLOADED = "overloaded"
    DEADLINE = "deadline"
    TEAM_LIMIT = "team-limit"
    NO_MINION = "no-minion"
    RETRIES_EXHAUSTED = "retries-exhausted"
    RETRY_BUDGET = "retry-budget"
    CANCELLED = "cancelled"
    SHUTTING_DOWN = "shutting-down"
    CLAIM_UNAVAILABLE = "claim-unavailable"
    DUPLICATE_RUNNING = "duplicate-running"
    DUPLICATE_RAN = "duplicate-ran"
    KEY_REUSED = "idempotency-key-reused"
    MINION_TIMEOUT = "minion-timeout"
    MINION_LOST = "minion-connection-lost"
    MINION_ANSWER = "minion-answer-invalid"
    JOB_UNKNOWN = "job-unknown"
    STORE_UNAVAILABLE = "store-unavailable"
    ACCEPTANCE_UNKNOWN = "acceptance-unknown"
    INTERNAL = "internal-error"


STATUS: dict[Reason, int] = {
    Reason.MALFORMED: 400,
    Reason.HEADERS_TOO_LARGE: 431,
    Reason.BODY_TOO_LARGE: 413,
    Reason.REQUEST_TIMEOUT: 408,
    Reason.TOO_MANY_CONNECTIONS: 503,
    Reason.KEY_MISSING: 401,
    Reason.KEY_UNKNOWN: 401,
    Reason.KEY_REVOKED: 401,
    Reason.QUEUE_UNKNOWN: 404,
    Reason.QUEUE_FORBIDDEN: 403,
    Reason.QUEUE_CLOSING: 410,
    Reason.STALE_CONFIGURATION: 503,
    Reason.QUEUE_FULL: 429,
    Reason.OVERLOADED: 429,
    Reason.DEADLINE: 503,
    Reason.TEAM_LIMIT: 429,
    Reason.NO_MINION: 503,
    Reason.RETRIES_EXHAUSTED: 502,
    Reason.RETRY_BUDGET: 503,
    Reason.CANCELLED: 499,
    Reason.SHUTTING_DOWN: 503,
    Reason.CLAIM_UNAVAILABLE: 503,
    Reason.DUPLICATE_RUNNING: 409,
    Reason.DUPLICATE_RAN: 409,
    Reason.KEY_REUSED: 422,
    Reason.MINION_TIMEOUT: 504,
    Reason.MINION_LOST: 502,
    Reason.MINION_ANSWER: 502,
    Reason.JOB_UNKNOWN: 410,
    Reason.STORE_UNAVAILABLE: 503,
    Reason.ACCEPTANCE_UNKNOWN: 504,
    Reason.INTERNAL: 500,
}
"""HTTP status of each reason."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Refusal of a request, sent instead of a minion's response.

    Attributes:
        reason: Why it was refused.
        execution: Whether it may have run.
        detail: One sentence for the caller; contains no secrets.
        retry_after: Seconds after which a retry may succeed, if known.
    """

    reason: Reason
    execution: Execution = Execution.NOT_RUN
    detail: str = ""
    retry_after: float | None = None

    @property
    def status(self) -> int:
        """HTTP status code of this refusal."""
        return STATUS[self.reason]


if __name__ == "__main__":
    print(Refusal(Reason.QUEUE_FULL, retry_after=1.0).status)
