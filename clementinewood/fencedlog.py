"""Appends records in order under one term, each stored exactly once.

Load pattern: for seconds the store loses responses, responds late or rejects
appends, while a dispatcher's renewals and the assignments of new runs queue
behind each other. An append without a response is sent again under the same
sequence number, on another connection; the store applies one of the attempts.
"""

import dataclasses
from collections.abc import Callable, Sequence

from clementinewood import event, hedge, identifiers, ports, timer

RETRY_SECONDS = 0.1
"""Pause before a failed append is sent again."""

FAILURES_PER_LOG_LINE = 20
"""Consecutive failed attempts per log line."""


@dataclasses.dataclass(frozen=True, slots=True)
class Stored:
    """The records are stored.

    Attributes:
        offset: Position of the first one; None if an attempt without a
            response stored them.
        sent: Monotonic time in seconds at which the first attempt was sent.
    """

    offset: int | None
    sent: float


@dataclasses.dataclass(frozen=True, slots=True)
class Superseded:
    """Another entry has begun this term or a later one."""


Outcome = Stored | Superseded


class FencedLog:
    """Appends records to a stream under one term.

    Args:
        store: The platform's store.
        timers: Timer service.
        term: The term.
        sequence: Sequence number of its first append.
        stream: The stream.
    """

    def __init__(
        self,
        store: ports.Store,
        timers: timer.TimerService,
        term: identifiers.Term,
        sequence: int,
        *,
        stream: ports.Stream = ports.Stream.DISPATCH,
    ) -> None:
        self._store = store
        self._stream = stream
        self._timers = timers
        self._term = term
        self._sequence = sequence
        self._on_outcome: Callable[[Outcome], None] | None = None
        self._items: Sequence[ports.KeyedRecord] = ()
        self._first_sent = 0.0
        self._attempts_in_flight = 0
        self._failures = 0
        self._hedge = hedge.HedgingPolicy()
        self._next_attempt: timer.Subscription | None = None

    @property
    def busy(self) -> bool:
        """Whether an append is in flight."""
        return self._on_outcome is not None

    @property
    def first_sent(self) -> float:
        """Monotonic time in seconds at which the last append was first sent.

        A retried append may be stored from any of its attempts.
        """
        return self._first_sent

    def append(
        self,
        items: Sequence[ports.KeyedRecord],
        on_outcome: Callable[[Outcome], None],
    ) -> None:
        """Appends `items`, retrying until the outcome is certain.

        Args:
            items: The records, stored all or nothing.
            on_outcome: Called once; never after `stop`.
        """
        assert not self.busy, "another append of this term is in flight"
        self._items = items
        self._on_outcome = on_outcome
        self._attempts_in_flight = 0
        self._first_sent = self._timers.clock()
        self._send()

    def retry_now(self) -> None:
        """Sends the append in flight again.

        Earlier attempts may have no response until they time out.
        """
        if self.busy:
            self._send()

    def mark_stored(self) -> None:
        """Completes the append in flight, since it was read from the log."""
        if self.busy:
            self._finish(Stored(None, self._first_sent))

    def stop(self) -> None:
        """Abandons the append in flight; it may still be stored."""
        self._on_outcome = None
        self._cancel_next_attempt()

    def _send(self) -> None:
        self._cancel_next_attempt()
        sequence = self._sequence
        sent = self._timers.clock()
        self._attempts_in_flight += 1
        self._store.append(
            self._stream,
            self._items,
            lambda outcome: self._on_response(sequence, sent, outcome),
            fence=ports.Fence(self._term, sequence),
        )
        if (
            self._on_outcome is not None
            and self._attempts_in_flight < self._hedge.max_concurrent_attempts
        ):
            self._next_attempt = self._timers.subscribe_once(
                self._hedge.delay_seconds, self._send
            )

    def _on_response(
        self, sequence: int, sent: float, outcome: ports.AppendResult
    ) -> None:
        if self._on_outcome is None or sequence != self._sequence:
            return
        self._attempts_in_flight -= 1
        match outcome:
            case ports.Appended(offset):
                self._hedge.observe(self._timers.clock() - sent)
                self._finish(Stored(offset, self._first_sent))
            case ports.OutOfOrder(expected) if expected == sequence + 1:
                # An earlier attempt, whose response was lost, was applied.
                self._finish(Stored(None, self._first_sent))
            case ports.Fenced() | ports.OutOfOrder():
                self._finish(Superseded())
            case ports.Failed():
                self._record_failure(outcome)
                if not self._attempts_in_flight:
                    self._cancel_next_attempt()
                    self._next_attempt = self._timers.subscribe_once(
                        RETRY_SECONDS, self._send
                    )

    def _record_failure(self, failed: ports.Failed) -> None:
        self._failures += 1
        if self._failures % FAILURES_PER_LOG_LINE == 1:
            event.emit(
                event.Event.STORE_APPEND_FAILED,
                detail=failed.detail,
                execution=failed.execution.value,
                term=self._term,
                records=len(self._items),
                failures=self._failures,
            )

    def _finish(self, outcome: Outcome) -> None:
        on_outcome, self._on_outcome = self._on_outcome, None
        assert on_outcome is not None
        self._cancel_next_attempt()
        if isinstance(outcome, Stored):
            self._sequence += 1
            self._failures = 0
        on_outcome(outcome)

    def _cancel_next_attempt(self) -> None:
        if self._next_attempt is not None:
            self._next_attempt.cancel()
            self._next_attempt = None
