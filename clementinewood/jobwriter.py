"""Stores the jobs and cancellations that callers submit.

Load pattern: at a peak, or when the store has become slow, more records arrive
than the store can take single appends, since it serializes the appends of a
partition. Few appends are in flight at a time, and records that arrive
meanwhile are batched into the next one. Records are idempotent, so one without
a response is sent again.
"""

import dataclasses
from collections.abc import Callable, Sequence

from clementinewood import hedge, ports, timer, verdict

MAX_APPENDS_IN_FLIGHT = 3
"""Most appends of one entry in flight. Six entries then queue at most eighteen
appends, 0.1 s of a healthy store. A slow store gets one at a time: more would
only stay queued for longer than callers wait."""

MAX_UNANSWERED = 12
"""Most appends of one entry without a response, including those that have
released their slot to another."""

SLOW_STORE_MAX_UNANSWERED = 2
"""Most appends of one entry without a response at a slow store."""

MAX_BATCH_BYTES = 1 << 20
"""Largest batch in bytes, where the store takes as much."""

RETRY_SECONDS = 0.15
"""Pause before a record whose outcome is unknown is sent again."""


@dataclasses.dataclass(slots=True, kw_only=True)
class _Write:
    """A record whose outcome is not known yet.

    Attributes:
        item: The record.
        deadline: Monotonic time in seconds by which the outcome is reported.
        callbacks: Called with the outcome.
        attempts_in_flight: Number of appends with it that have no outcome.
        maybe_stored: Whether an attempt may have taken effect.
        queued: Whether it waits for the next append.
    """

    item: ports.KeyedRecord
    deadline: float
    callbacks: list[Callable[[ports.AppendResult], None]]
    attempts_in_flight: int = 0
    maybe_stored: bool = False
    queued: bool = False


@dataclasses.dataclass(slots=True)
class _Append:
    """An append in flight.

    Attributes:
        writes: Its records.
        sent: Monotonic time in seconds at which it was sent.
        holds_slot: Whether it counts against the appends in flight; one
            without a response releases its slot to another.
        next_attempt: Timer that sends the records again.
    """

    writes: list[_Write]
    sent: float
    holds_slot: bool = True
    next_attempt: timer.Subscription | None = None


class JobWriter:
    """Appends callers' records in batches until their outcome is certain.

    Args:
        store: The platform's store.
        timers: Timer service.
        on_stored: Called with records that were stored and their offset.
        is_store_unresponsive: Returns whether the store has not responded to
            this entry for a while, so that retries would only delay callers.
    """

    def __init__(
        self,
        store: ports.Store,
        timers: timer.TimerService,
        *,
        on_stored: Callable[[Sequence[ports.KeyedRecord], int], None],
        is_store_unresponsive: Callable[[], bool],
    ) -> None:
        self._store = store
        self._timers = timers
        self._on_stored = on_stored
        self._is_store_unresponsive = is_store_unresponsive
        self._max_batch_bytes = min(MAX_BATCH_BYTES, store.limits.call_bytes)
        self._hedge = hedge.HedgingPolicy()
        self._writes: dict[str, _Write] = {}
        self._queue: list[_Write] = []
        self._slots_in_use = 0
        self._unanswered = 0

    def write(
        self,
        item: ports.KeyedRecord,
        deadline: float,
        on_result: Callable[[ports.AppendResult], None],
    ) -> None:
        """Stores `item`.

        Args:
            item: The record; records with the same key count as one.
            deadline: Monotonic time in seconds by which the outcome is
                reported.
            on_result: Called once with the outcome.
        """
        known = self._writes.get(item.key)
        if known is not None:
            known.callbacks.append(on_result)
            return
        if self._is_store_unresponsive():
            on_result(
                ports.Failed(
                    verdict.Execution.NOT_RUN, "the store does not answer"
                )
            )
            return
        write = _Write(item=item, deadline=deadline, callbacks=[on_result])
        self._writes[item.key] = write
        self._timers.subscribe_once(
            deadline - self._timers.clock(), lambda: self._fail_write(write)
        )
        self._enqueue(write)

    def pending(self) -> tuple[str, ...]:
        """Returns the keys of records whose outcome is not known."""
        return tuple(self._writes)

    def mark_stored(self, key: str) -> None:
        """Completes a record as stored, since it was read from the log."""
        write = self._writes.get(key)
        if write is not None:
            self._finish(write, ports.Appended(0))

    def _enqueue(self, write: _Write) -> None:
        if (
            write.queued
            or write.attempts_in_flight >= self._hedge.max_concurrent_attempts
        ):
            return
        if self._writes.get(write.item.key) is write:
            write.queued = True
            self._queue.append(write)
            self._send_queued()

    def _send_queued(self) -> None:
        slow = self._hedge.is_slow
        max_in_flight = 1 if slow else MAX_APPENDS_IN_FLIGHT
        max_unanswered = SLOW_STORE_MAX_UNANSWERED if slow else MAX_UNANSWERED
        while (
            self._queue
            and self._slots_in_use < max_in_flight
            and self._unanswered < max_unanswered
        ):
            batch: list[_Write] = []
            size = 0
            while self._queue:
                write = self._queue[0]
                if batch and size + write.item.size > self._max_batch_bytes:
                    break
                self._queue.pop(0)
                write.queued = False
                if self._writes.get(write.item.key) is write:
                    batch.append(write)
                    size += write.item.size
            if batch:
                self._send(batch)

    def _send(self, writes: list[_Write]) -> None:
        append = _Append(writes, self._timers.clock())
        self._slots_in_use += 1
        self._unanswered += 1
        for write in writes:
            write.attempts_in_flight += 1
        append.next_attempt = self._timers.subscribe_once(
            self._hedge.delay_seconds, lambda: self._send_again(append)
        )
        self._store.append(
            ports.Stream.JOBS,
            [write.item for write in writes],
            lambda outcome: self._on_response(append, outcome),
        )

    def _send_again(self, append: _Append) -> None:
        self._release_slot(append)
        for write in append.writes:
            self._enqueue(write)

    def _release_slot(self, append: _Append) -> None:
        if append.holds_slot:
            append.holds_slot = False
            self._slots_in_use -= 1

    def _on_response(
        self, append: _Append, outcome: ports.AppendResult
    ) -> None:
        self._release_slot(append)
        self._unanswered -= 1
        if append.next_attempt is not None:
            append.next_attempt.cancel()
        for write in append.writes:
            write.attempts_in_flight -= 1
        match outcome:
            case ports.Appended(offset):
                self._hedge.observe(self._timers.clock() - append.sent)
                self._on_stored([write.item for write in append.writes], offset)
                for write in append.writes:
                    self._finish(write, outcome)
            case ports.Failed(verdict.Execution.NOT_RUN):
                for write in append.writes:
                    if write.maybe_stored or write.attempts_in_flight:
                        self._handle_unknown_outcome(write)
                    else:
                        # The store has reported that nothing was stored, so
                        # the callers need not wait for a retry.
                        self._finish(write, outcome)
            case _:
                for write in append.writes:
                    self._handle_unknown_outcome(write)
        self._send_queued()

    def _fail_write(self, write: _Write) -> None:
        execution = verdict.Execution.NOT_RUN
        if write.maybe_stored or write.attempts_in_flight:
            execution = verdict.Execution.MAY_HAVE_RUN
        self._finish(
            write, ports.Failed(execution, "the store did not answer in time")
        )

    def _handle_unknown_outcome(self, write: _Write) -> None:
        """Retries a record that may be stored, or fails it without a store."""
        write.maybe_stored = True
        if self._is_store_unresponsive():
            self._fail_write(write)
        elif not write.attempts_in_flight:
            self._timers.subscribe_once(
                RETRY_SECONDS, lambda: self._enqueue(write)
            )

    def _finish(self, write: _Write, outcome: ports.AppendResult) -> None:
        if self._writes.get(write.item.key) is not write:
            return
        del self._writes[write.item.key]
        for on_result in write.callbacks:
            on_result(outcome)
