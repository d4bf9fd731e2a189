"""Keeps a bounded number of completed requests to explain their end."""

import collections
import dataclasses
import enum
from typing import Any

from clementinewood import identifiers, retry, verdict

MAX_REQUESTS_PER_KIND = 2000
"""Requests kept of each kind."""

MAX_QUEUE_NAME_CHARS = 64
"""Characters kept of a queue name, since a caller may send any name."""


class Kind(enum.Enum):
    """Kinds of completed requests, each with its own bound.

    Callers without a valid key can cause any number of refusals; these must
    not evict the refusals of known teams.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    NOT_ADMITTED = "not-admitted"


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptRecord:
    """One attempt at a minion.

    Attributes:
        minion: Minion it was sent to.
        outcome: How it ended.
    """

    minion: identifiers.MinionId
    outcome: retry.Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class CompletedRequest:
    """How a request ended, without keys and content.

    Attributes:
        request_id: Id returned to the caller.
        time: Wall-clock time of the end, in seconds.
        status: HTTP status of the response.
        execution: Whether it ran.
        reason: Why it was refused; None for a minion's response.
        detail: Detail of the refusal returned to the caller.
        queue: Queue named in the request; empty if none was.
        team: Team charged for it; empty if it was not admitted.
        attempts: Every attempt in order.
        seconds: Time from arrival to the end, in seconds.
        replayed: Whether it got the response stored for its idempotency key.
    """

    request_id: identifiers.RequestId
    time: float
    status: int
    execution: verdict.Execution
    reason: verdict.Reason | None = None
    detail: str = ""
    queue: str = ""
    team: str = ""
    attempts: tuple[AttemptRecord, ...] = ()
    seconds: float = 0.0
    replayed: bool = False

    @property
    def kind(self) -> Kind:
        """Kind whose bound it counts against."""
        if self.reason is None:
            return Kind.ANSWERED
        return Kind.REFUSED if self.team else Kind.NOT_ADMITTED

    def describe(self) -> dict[str, Any]:
        """Returns the explanation shown to operators."""
        return {
            "request": self.request_id,
            "phase": "ended",
            "kind": self.kind.value,
            "why": self._explain(),
            "status": self.status,
            "execution": self.execution.value,
            "reason": None if self.reason is None else self.reason.value,
            "queue": self.queue,
            "team": self.team,
            "attempts": [
                {"minion": item.minion, "outcome": item.outcome.value}
                for item in self.attempts
            ],
            "seconds": round(self.seconds, 4),
            "time": round(self.time, 3),
        }

    def _explain(self) -> str:
        if self.replayed:
            return "answered with the answer kept for its idempotency key"
        tries = len(self.attempts)
        where = f" by {self.attempts[-1].minion}" if tries else ""
        if self.reason is None:
            return f"answered with {self.status}{where}, attempts: {tries}"
        detail = f": {self.detail}" if self.detail else ""
        return f"refused, {self.reason.value}{detail}"


class RequestLog:
    """Stores the last completed requests of each kind by request id.

    Args:
        max_per_kind: Largest number of requests of each kind.
    """

    def __init__(self, max_per_kind: int = MAX_REQUESTS_PER_KIND) -> None:
        self._max_per_kind = max_per_kind
        self._completed: dict[identifiers.RequestId, CompletedRequest] = {}
        self._order: dict[Kind, collections.deque[identifiers.RequestId]] = {
            kind: collections.deque() for kind in Kind
        }

    def __len__(self) -> int:
        return len(self._completed)

    def add(self, request: CompletedRequest) -> None:
        """Stores `request`; evicts the oldest of its kind at the bound."""
        if request.request_id in self._completed:
            return
        order = self._order[request.kind]
        if len(order) >= self._max_per_kind:
            del self._completed[order.popleft()]
        if len(request.queue) > MAX_QUEUE_NAME_CHARS:
            request = dataclasses.replace(
                request, queue=request.queue[:MAX_QUEUE_NAME_CHARS]
            )
        order.append(request.request_id)
        self._completed[request.request_id] = request

    def find(
        self, request_id: identifiers.RequestId
    ) -> CompletedRequest | None:
        """Returns how a request ended, or None if it is not in the log."""
        return self._completed.get(request_id)


if __name__ == "__main__":
    example = RequestLog()
    example.add(
        CompletedRequest(
            identifiers.RequestId("r1"),
            0.0,
            429,
            verdict.Execution.NOT_RUN,
            verdict.Reason.QUEUE_FULL,
            queue="quotes",
            team="canvas",
        )
    )
    print(example.find(identifiers.RequestId("r1")))
