"""Parses the path and headers with which callers control a request."""

import dataclasses
import re

from returns import result

from clementinewood import edge, identifiers, priority, verdict

QUEUE_PREFIX = "/q/"

DEFAULT_DEADLINE_SECONDS = 30.0
MAX_DEADLINE_SECONDS = 86400.0
DEFAULT_ESTIMATE_SECONDS = 0.1
"""Run time in seconds assumed until runs of the queue have been observed."""

MAX_IDEMPOTENCY_KEY = 255
MAX_KEYED_DEADLINE_SECONDS = 1800.0
"""Claims expire after an hour. A keyed request that ran later than that could
run twice, since a repetition would find no claim."""

IDEMPOTENT_METHODS = frozenset(
    ("GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE")
)
"""Idempotent methods of RFC 9110, section 9.2.2."""

_BEARER = re.compile(r"(?i)bearer +([\x21-\x7e]+) *$")
_MILLISECONDS = re.compile(r"[0-9]{1,9}$")
_BOOLEANS = {"true": True, "false": False}


@dataclasses.dataclass(frozen=True, slots=True)
class QueueRequest:
    """Holds the validated parameters of a caller's request.

    Attributes:
        queue: Queue in the path.
        credentials: Bearer token, or None without an Authorization header.
        customer: Value of X-Customer, or None.
        idempotency_key: Key that makes a repeated request run once.
        idempotent: Whether it is safe to run the request twice.
        deadline: Seconds from arrival by which the run should have ended.
        priority: Value of X-Priority, or None.
        estimate: Declared run time in seconds.
    """

    queue: identifiers.QueueId
    credentials: str | None
    customer: identifiers.CustomerId | None
    idempotency_key: str | None
    idempotent: bool
    deadline: float
    priority: priority.Priority | None
    estimate: float


def _refuse(detail: str) -> result.Failure[verdict.Refusal]:
    return result.Failure(
        verdict.Refusal(verdict.Reason.MALFORMED, detail=detail)
    )


def _read_seconds(value: str | None, default: float) -> float | None:
    if value is None:
        return default
    if not _MILLISECONDS.match(value):
        return None
    return int(value) / 1000.0


def parse_queue_request(
    request: edge.HttpRequest,
) -> result.Result[QueueRequest, verdict.Refusal]:
    """Parses the path and headers of a request under `/q/`.

    Returns:
        The parameters, or a refusal that names the invalid header.
    """
    path = request.target.partition("?")[0]
    queue = path.removeprefix(QUEUE_PREFIX).partition("/")[0]
    authorization = request.find_header(b"authorization")
    credentials = None
    if authorization is not None:
        match = _BEARER.match(authorization)
        if match is None:
            return _refuse("Authorization must be 'Bearer KEYID.SECRET'.")
        credentials = match.group(1)
    key = request.find_header(b"idempotency-key")
    if key is not None and not 0 < len(key) <= MAX_IDEMPOTENCY_KEY:
        return _refuse(
            f"Idempotency-Key must have 1 to {MAX_IDEMPOTENCY_KEY} characters."
        )
    deadline = _read_seconds(
        request.find_header(b"x-deadline-ms"), DEFAULT_DEADLINE_SECONDS
    )
    if deadline is None or not 0 < deadline <= MAX_DEADLINE_SECONDS:
        return _refuse("X-Deadline-Ms must be a number from 1 to 86400000.")
    if key is not None and deadline > MAX_KEYED_DEADLINE_SECONDS:
        return _refuse(
            "X-Deadline-Ms must be at most 1800000 with an Idempotency-Key."
        )
    estimate = _read_seconds(
        request.find_header(b"x-estimate-ms"), DEFAULT_ESTIMATE_SECONDS
    )
    if estimate is None:
        return _refuse("X-Estimate-Ms must be a number of milliseconds.")
    wanted = request.find_header(b"x-priority")
    chosen = None
    if wanted is not None:
        try:
            chosen = priority.Priority(wanted)
        except ValueError:
            names = ", ".join(item.value for item in priority.Priority)
            return _refuse(f"X-Priority must be one of {names}.")
    declared = request.find_header(b"x-idempotent")
    if declared is not None and declared not in _BOOLEANS:
        return _refuse("X-Idempotent must be true or false.")
    idempotent = (
        request.method in IDEMPOTENT_METHODS
        if declared is None
        else _BOOLEANS[declared]
    )
    customer = request.find_header(b"x-customer")
    return result.Success(
        QueueRequest(
            queue=identifiers.QueueId(queue),
            credentials=credentials,
            customer=identifiers.CustomerId(customer) if customer else None,
            idempotency_key=key,
            idempotent=idempotent,
            deadline=deadline,
            priority=chosen,
            estimate=estimate,
        )
    )


if __name__ == "__main__":
    print(
        parse_queue_request(
            edge.HttpRequest(
                "POST",
                "/q/quotes/new",
                ((b"authorization", b"Bearer k1.secret"),),
                b"",
                ("127.0.0.1", 1),
            )
        )
    )
