"""Follows one keyed stream of the store."""

import dataclasses
import enum
from collections.abc import Callable, Sequence

from clementinewood import event, jobtable, ports, timer

LONG_POLL_SECONDS = 1.0
"""Default time that one read waits for a record; also limits the age of an idle
stream's last read."""

RETRY_SECONDS = 0.1
"""Pause after the first failed read; doubles up to `MAX_RETRY_SECONDS`."""

MAX_RETRY_SECONDS = 0.4
"""Longest pause after a failed read. It is short, since a configuration must be
in force soon after an outage."""

LOAD_TAIL_INTERVAL_SECONDS = 2.0
"""Least time between two reads of later records during a load. The store keeps
a history of tens of seconds, which a load over a slow link may outlast."""

LONG_POLL_CREDIT_RATIO = 0.9
"""Part of a long poll that has waited in vain after which everything stored is
known. The store's clock and this entry's may differ."""

FAILURES_PER_LOG_LINE = 10
"""Consecutive failed reads per log line."""

_OnRecords = Callable[[Sequence[jobtable.StoredRecord]], None]


class State(enum.Enum):
    """Phase that a feed is in."""

    STOPPED = "stopped"
    LOADING = "loading"
    FOLLOWING = "following"


@dataclasses.dataclass(eq=False, frozen=True, slots=True)
class _CaughtUpWaiter:
    """Callback that waits for a read sent at or after `registered_at`."""

    registered_at: float
    callback: Callable[[bool], None]


class Feed:
    """Reads the newest record of each key, then every later record.

    A load of several pages goes on with the page that failed, and also reads
    the records stored since its first page, so that it may take longer than the
    store keeps its history.

    Args:
        store: The store.
        stream: The stream to follow.
        timers: Timer service.
        on_snapshot: Called with the newest record of each key, at the start
            and whenever records have expired before they were read.
        on_records: Called with later records, in order.
        on_caught_up: Called whenever everything stored has been read.
        min_read_interval: Least time in seconds between two reads, so that a
            busy stream is read in batches.
        long_poll_seconds: Seconds that one read waits for a record.
        record_load: Called with the seconds that a load took.
        max_retry_seconds: Longest pause in seconds after a failed read.
        on_recovered: Called when a read succeeds after others have failed,
            before `last_response_at` changes.

    Attributes:
        caught_up_at: Monotonic time in seconds up to which all records
            stored have been read.
        last_response_at: Monotonic time in seconds of the store's last
            successful response.
        next_offset: Offset of the next read.
        min_read_interval: As in `Args`; may be changed at any time.
    """

    def __init__(
        self,
        store: ports.Store,
        stream: ports.Stream,
        timers: timer.TimerService,
        *,
        on_snapshot: _OnRecords,
        on_records: _OnRecords,
        on_caught_up: Callable[[], None] = lambda: None,
        min_read_interval: float = 0.0,
        long_poll_seconds: float = LONG_POLL_SECONDS,
        record_load: Callable[[float], None] = lambda seconds: None,
        max_retry_seconds: float = MAX_RETRY_SECONDS,
        on_recovered: Callable[[], None] = lambda: None,
    ) -> None:
        self.caught_up_at = float("-inf")
        self._current_at = float("-inf")
        self.last_response_at = float("-inf")
        self.next_offset = 0
        self.min_read_interval = min_read_interval
        self._long_poll_seconds = long_poll_seconds
        self._max_retry_seconds = max_retry_seconds
        self.state = State.STOPPED
        self._store = store
        self._stream = stream
        self._timers = timers
        self._on_snapshot = on_snapshot
        self._on_records = on_records
        self._on_caught_up = on_caught_up
        self._record_load = record_load
        self._on_recovered = on_recovered
        self._read_sent_at = 0.0
        self._failures = 0
        self._pages: list[jobtable.StoredRecord] = []
        self._tail: list[jobtable.StoredRecord] = []
        self._tail_read_at = 0.0
        self._load_started_at = 0.0
        self._first_page_sent_at = 0.0
        self._behind = False
        self._refresh_requested = False
        self._loaded_pages = 0
        self._loaded_bytes = 0
        self._generation = 0
        self._next_read: timer.Subscription | None = None
        self._read_waiters: list[Callable[[], None]] = []
        self._caught_up_waiters: list[_CaughtUpWaiter] = []
        self._refreshing = False

    def start(self) -> None:
        """Starts reading with the newest record of each key."""
        self._generation += 1
        self._load()

    def stop(self) -> None:
        """Stops reading; later outcomes of reads in flight are ignored."""
        self._generation += 1
        if self._next_read is not None:
            self._next_read.cancel()
            self._next_read = None
        self.state = State.STOPPED
        self.caught_up_at = float("-inf")

    def seconds_since_caught_up(self) -> float:
        """Returns seconds since the feed was last caught up."""
        return self._timers.clock() - self.caught_up_at

    def seconds_since_current(self) -> float:
        """Returns the age of what is known of the stream, in seconds.

        It is less than the time since the feed was caught up: a long poll that
        has waited in vain shows that nothing was stored meanwhile.
        """
        known_at = max(self.caught_up_at, self._current_at)
        return self._timers.clock() - known_at

    def seconds_since_response(self) -> float:
        """Returns seconds since the store's last successful response.

        `caught_up_at` may be older, since a read of an idle stream gets its
        response only after the long poll.
        """
        return self._timers.clock() - self.last_response_at

    def retry_now(self) -> None:
        """Repeats a failed read now, without its pause or its time-out."""
        if not self._failures or self.state is State.STOPPED:
            return
        self._generation += 1
        match self.state:
            case State.LOADING:
                self._load_page()
            case _:
                self._read()

    @property
    def failing(self) -> bool:
        """Whether the last read has failed."""
        return self._failures > 0

    def read_now(self) -> None:
        """Reads now if the feed pauses between two reads."""
        if self._next_read is not None:
            self._next_read.cancel()
            self._next_read = None
            self._read()

    def call_after_next_read(
        self, callback: Callable[[], None], limit: float
    ) -> None:
        """Calls back once the feed catches up, or after `limit` seconds."""
        done = False

        def finish() -> None:
            nonlocal done
            if not done:
                done = True
                callback()

        self._read_waiters.append(finish)
        self._timers.subscribe_once(limit, finish)
        self.read_now()

    def call_when_caught_up(
        self, callback: Callable[[bool], None], limit: float
    ) -> None:
        """Calls back once everything stored before this call has been read.

        Args:
            callback: Called once with whether that happened within `limit`.
            limit: Longest wait in seconds.
        """
        waiter = _CaughtUpWaiter(self._timers.clock(), callback)
        self._caught_up_waiters.append(waiter)
        self._timers.subscribe_once(
            limit, lambda: self._notify_waiter(waiter, caught_up=False)
        )
        if not self._refreshing:
            self.refresh()

    def refresh(self) -> None:
        """Reads without waiting, and drops a read that waits for a record."""
        if self.state is not State.FOLLOWING:
            return
        if self._behind and self._next_read is None:
            # The read in flight does not wait for a record. Dropping it would
            # transfer the same records twice.
            self._refresh_requested = True
            return
        if self._next_read is not None:
            self._next_read.cancel()
            self._next_read = None
        self._generation += 1
        self._refreshing = True
        self._read(long_poll_seconds=0.0)

    def _load(self) -> None:
        self.state = State.LOADING
        self._pages = []
        self._tail = []
        self._behind = False
        self._loaded_pages = 0
        self._loaded_bytes = 0
        self._load_started_at = self._timers.clock()
        self._load_page()

    def _load_page(self) -> None:
        """Reads the page after the last record that was loaded."""
        after = self._pages[-1].key if self._pages else ""
        generation = self._generation
        self._read_sent_at = self._timers.clock()
        self._store.read_newest(
            self._stream,
            after,
            lambda outcome: self._on_page(generation, outcome),
        )

    def _on_page(self, generation: int, outcome: ports.ReadResult) -> None:
        if generation != self._generation:
            return
        match outcome:
            case ports.Records(records, more, end, size):
                self._record_success()
                self._loaded_pages += 1
                self._loaded_bytes += size
                if not self._pages:
                    # The pages are no consistent snapshot, so records after
                    # the end as of the first page are read as well.
                    self.next_offset = end
                    self._first_page_sent_at = self._read_sent_at
                    self._tail_read_at = self._read_sent_at
                self._pages.extend(records)
                if more >= 0 and records:
                    self._continue_load()
                else:
                    self._finish_load()
            case _:
                self._record_failure(outcome)
                self._schedule(self._continue_load, self._compute_retry_delay())

    def _continue_load(self) -> None:
        now = self._timers.clock()
        age = now - self._tail_read_at
        if not self._pages or age < LOAD_TAIL_INTERVAL_SECONDS:
            self._load_page()
            return
        self._tail_read_at = now
        self._read(long_poll_seconds=0.0)

    def _finish_load(self) -> None:
        generation = self._generation
        pages, self._pages = self._pages, []
        tail, self._tail = self._tail, []
        self._report_load(len(pages))
        self.state = State.FOLLOWING
        self.caught_up_at = self._first_page_sent_at
        self._deliver(self._on_snapshot, pages)
        offsets = {record.key: record.offset for record in pages}
        # A page that was read later may hold a newer record of the key.
        newer = [
            record
            for record in tail
            if record.offset > offsets.get(record.key, -1)
        ]
        if newer:
            self._deliver(self._on_records, newer)
        self._handle_caught_up()
        if generation == self._generation:
            self._read()

    def _report_load(self, records: int) -> None:
        seconds = self._timers.clock() - self._load_started_at
        self._record_load(seconds)
        event.emit(
            event.Event.LOG_LOADED,
            stream=self._stream.value,
            seconds=round(seconds, 3),
            pages=self._loaded_pages,
            records=records,
            bytes=self._loaded_bytes,
        )

    def _read(self, long_poll_seconds: float | None = None) -> None:
        if long_poll_seconds is None:
            # A read without a wait shows sooner that the store is back.
            at_once = self._failures or self._caught_up_waiters
            long_poll_seconds = 0.0 if at_once else self._long_poll_seconds
        generation = self._generation
        self._read_sent_at = self._timers.clock()
        self._store.read(
            self._stream,
            self.next_offset,
            long_poll_seconds,
            lambda outcome: self._on_read(
                generation, outcome, long_poll_seconds
            ),
        )

    def _on_read(
        self,
        generation: int,
        outcome: ports.ReadResult,
        long_poll_seconds: float,
    ) -> None:
        if generation != self._generation:
            return
        self._refreshing = False
        # Callbacks may send another read.
        sent_at = self._read_sent_at
        match outcome:
            case ports.Records(records, following, end):
                self._record_success()
                self.next_offset = following
                self._behind = following < end
                if self.state is State.LOADING:
                    self._tail.extend(records)
                    self._load_page()
                    return
                if records:
                    self._deliver(self._on_records, records)
                if not self._behind:
                    self.caught_up_at = sent_at
                    waited = LONG_POLL_CREDIT_RATIO * long_poll_seconds
                    elapsed = self._timers.clock() - sent_at
                    if not records and elapsed >= waited:
                        self._current_at = sent_at + waited
                    self._handle_caught_up()
                if generation == self._generation:
                    self._read_after_interval()
            case ports.Expired():
                event.emit(
                    event.Event.LOG_GAP,
                    stream=self._stream.value,
                    offset=self.next_offset,
                )
                self._load()
            case ports.Failed():
                self._record_failure(outcome)
                loading = self.state is State.LOADING
                self._schedule(
                    self._load_page if loading else self._read,
                    self._compute_retry_delay(),
                )

    def _deliver(
        self,
        callback: _OnRecords,
        records: Sequence[jobtable.StoredRecord],
    ) -> None:
        """Passes records on; an error there must not end the reading."""
        try:
            callback(records)
        except Exception as error:
            self._timers.record_failure(error, f"{self._stream.value} feed")

    def _handle_caught_up(self) -> None:
        waiting, self._read_waiters = self._read_waiters, []
        for callback in waiting:
            callback()
        for waiter in list(self._caught_up_waiters):
            if waiter.registered_at <= self.caught_up_at:
                self._notify_waiter(waiter, caught_up=True)
        self._on_caught_up()
        if self._caught_up_waiters and not self._refreshing:
            # They were registered after the last read was sent.
            self.refresh()

    def _notify_waiter(
        self, waiter: "_CaughtUpWaiter", *, caught_up: bool
    ) -> None:
        if waiter in self._caught_up_waiters:
            self._caught_up_waiters.remove(waiter)
            waiter.callback(caught_up)

    def _read_after_interval(self) -> None:
        if self._refresh_requested and not self._behind:
            self._refresh_requested = False
            self.refresh()
            return
        left = (
            self._read_sent_at + self.min_read_interval - self._timers.clock()
        )
        if left <= 0 or self._behind:
            self._read()
            return
        self._next_read = self._timers.subscribe_once(left, self.read_now)

    def _schedule(self, callback: Callable[[], None], seconds: float) -> None:
        generation = self._generation
        if seconds <= 0:
            callback()
            return
        self._timers.subscribe_once(
            seconds,
            lambda: callback() if generation == self._generation else None,
        )

    def _compute_retry_delay(self) -> float:
        return min(
            RETRY_SECONDS * 2 ** min(self._failures - 1, 16),
            self._max_retry_seconds,
        )

    def _record_success(self) -> None:
        failures, self._failures = self._failures, 0
        if failures:
            event.emit(
                event.Event.LOG_REACHABLE,
                stream=self._stream.value,
                failures=failures,
            )
            self._on_recovered()
        self.last_response_at = self._timers.clock()

    def _record_failure(self, outcome: object) -> None:
        self._failures += 1
        if self._failures % FAILURES_PER_LOG_LINE == 1:
            pages = self._pages
            event.emit(
                event.Event.LOG_UNREACHABLE,
                stream=self._stream.value,
                state=self.state.value,
                failures=self._failures,
                offset=self.next_offset,
                after=pages[-1].key if pages else "",
                pages=self._loaded_pages,
                bytes=self._loaded_bytes,
                seconds=round(self._timers.clock() - self._read_sent_at, 3),
                detail=str(outcome),
            )
