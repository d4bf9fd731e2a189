"""Follows one keyed stream of the store."""

import dataclasses
import enum
from collections.abc import Callable, Sequence

from clementinewood import event, jobtable, ports, timer

WAIT_SECONDS = 1.0
"""How long one read waits for a record, unless said otherwise; also bounds how
old an idle stream's last reading gets."""

RETRY_SECONDS = 0.1
"""Pause after the first failed read; doubles up to the longest one."""

MAX_RETRY_SECONDS = 0.4
"""Short, since a configuration must be in force soon after an outage."""

_Read = Callable[[Sequence[jobtable.StoredRecord]], None]


class State(enum.Enum):
    """What a feed does."""

    STOPPED = "stopped"
    LOADING = "loading"
    FOLLOWING = "following"


@dataclasses.dataclass(eq=False, frozen=True, slots=True)
class _Question:
    """Somebody who waits for a reading that began after `asked`."""

    asked: float
    callback: Callable[[bool], None]


class Feed:
    """Reads the newest record of each key, then every later record.

    Args:
        store: The store.
        stream: The stream to follow.
        timers: Timer service.
        on_snapshot: Called with the newest record of each key, at the start
            and whenever records expired unread.
        on_records: Called with later records, in order.
        on_fresh: Called whenever everything stored has been read.
        gap: Least seconds between two reads, so that a busy stream is read in
            batches.
        wait: Seconds that one read waits for a record.

    Attributes:
        fresh_at: Monotonic time as of which everything stored was read.
        heard_at: Monotonic time of the store's last good answer.
        next: Offset to go on from.
        gap: See above; may be changed at any time.
    """

    def __init__(
        self,
        store: ports.Store,
        stream: ports.Stream,
        timers: timer.TimerService,
        *,
        on_snapshot: _Read,
        on_records: _Read,
        on_fresh: Callable[[], None] = lambda: None,
        gap: float = 0.0,
        wait: float = WAIT_SECONDS,
    ) -> None:
        self.fresh_at = float("-inf")
        self.heard_at = float("-inf")
        self.next = 0
        self.gap = gap
        self._wait = wait
        self.state = State.STOPPED
        self._store = store
        self._stream = stream
        self._timers = timers
        self._on_snapshot = on_snapshot
        self._on_records = on_records
        self._on_fresh = on_fresh
        self._sent = 0.0
        self._failures = 0
        self._pages: list[jobtable.StoredRecord] = []
        self._first_end = 0
        self._load_sent = 0.0
        self._run = 0
        self._paused: timer.Subscription | None = None
        self._waiting: list[Callable[[], None]] = []
        self._questions: list[_Question] = []
        self._refreshing = False

    def start(self) -> None:
        """Starts to read, from the newest record of each key."""
        self._run += 1
        self._load()

    def stop(self) -> None:
        """Stops reading; outcomes that are still to come are ignored."""
        self._run += 1
        if self._paused is not None:
            self._paused.cancel()
            self._paused = None
        self.state = State.STOPPED
        self.fresh_at = float("-inf")

    def age(self) -> float:
        """Returns seconds since everything stored had been read."""
        return self._timers.clock() - self.fresh_at

    def silence(self) -> float:
        """Returns seconds since the store's last good answer.

        An idle stream is answered after every wait, so that its reading may
        be older than this.
        """
        return self._timers.clock() - self.heard_at

    def hasten(self) -> None:
        """Reads now if the feed pauses between two reads."""
        if self._paused is not None:
            self._paused.cancel()
            self._paused = None
            self._read()

    def call_when_read(
        self, callback: Callable[[], None], limit: float
    ) -> None:
        """Calls back after the next reading, or after `limit` seconds."""
        done = False

        def finish() -> None:
            nonlocal done
            if not done:
                done = True
                callback()

        self._waiting.append(finish)
        self._timers.subscribe_once(limit, finish)
        self.hasten()

    def call_when_fresh(
        self, callback: Callable[[bool], None], limit: float
    ) -> None:
        """Calls back once everything stored before this call has been read.

        Args:
            callback: Called once with whether that came within the limit.
            limit: Longest wait in seconds.
        """
        question = _Question(self._timers.clock(), callback)
        self._questions.append(question)
        self._timers.subscribe_once(
            limit, lambda: self._answer(question, fresh=False)
        )
        if not self._refreshing:
            self.refresh()

    def refresh(self) -> None:
        """Reads up to the end now, also while a read waits for a record."""
        if self.state is not State.FOLLOWING:
            return
        if self._paused is not None:
            self._paused.cancel()
            self._paused = None
        self._run += 1
        self._refreshing = True
        self._read(wait=0.0)

    def _load(self) -> None:
        self.state = State.LOADING
        self._pages = []
        self._first_end = -1
        self._load_sent = self._timers.clock()
        self._load_page("")

    def _load_page(self, after: str) -> None:
        run = self._run
        self._sent = self._timers.clock()
        self._store.read_newest(
            self._stream, after, lambda outcome: self._on_page(run, outcome)
        )

    def _on_page(self, run: int, outcome: ports.ReadResult) -> None:
        if run != self._run:
            return
        match outcome:
            case ports.Records(records, more, end):
                self._note_success()
                self._pages.extend(records)
                if self._first_end < 0:
                    self._first_end = end
                if more >= 0 and records:
                    self._load_page(records[-1].key)
                    return
                pages, self._pages = self._pages, []
                # Pages are no snapshot: records after the first page's end
                # are read again from the stream.
                self.next = self._first_end
                self.state = State.FOLLOWING
                self.fresh_at = self._load_sent
                self._on_snapshot(pages)
                self._note_fresh()
                if run == self._run:
                    self._read()
            case _:
                self._note_failure(outcome)
                self._later(self._load, self._pause())

    def _read(self, wait: float | None = None) -> None:
        if wait is None:
            wait = 0.0 if self._questions else self._wait
        run = self._run
        self._sent = self._timers.clock()
        self._store.read(
            self._stream,
            self.next,
            wait,
            lambda outcome: self._on_read(run, outcome),
        )

    def _on_read(self, run: int, outcome: ports.ReadResult) -> None:
        if run != self._run:
            return
        self._refreshing = False
        match outcome:
            case ports.Records(records, following, end):
                self._note_success()
                self.next = following
                if records:
                    self._on_records(records)
                if following >= end:
                    self.fresh_at = self._sent
                    self._note_fresh()
                if run == self._run:
                    self._read_after_gap()
            case ports.Expired():
                event.emit(
                    event.Event.LOG_GAP,
                    stream=self._stream.value,
                    offset=self.next,
                )
                self._load()
            case ports.Failed():
                self._note_failure(outcome)
                self._later(self._read, self._pause())

    def _note_fresh(self) -> None:
        waiting, self._waiting = self._waiting, []
        for callback in waiting:
            callback()
        for question in list(self._questions):
            if question.asked <= self.fresh_at:
                self._answer(question, fresh=True)
        self._on_fresh()
        if self._questions and not self._refreshing:
            # They came after the last reading had begun.
            self.refresh()

    def _answer(self, question: "_Question", *, fresh: bool) -> None:
        if question in self._questions:
            self._questions.remove(question)
            question.callback(fresh)

    def _read_after_gap(self) -> None:
        left = self._sent + self.gap - self._timers.clock()
        if left <= 0:
            self._read()
            return
        self._paused = self._timers.subscribe_once(left, self.hasten)

    def _later(self, callback: Callable[[], None], seconds: float) -> None:
        run = self._run
        if seconds <= 0:
            callback()
            return
        self._timers.subscribe_once(
            seconds, lambda: callback() if run == self._run else None
        )

    def _pause(self) -> float:
        return min(RETRY_SECONDS * 2 ** (self._failures - 1), MAX_RETRY_SECONDS)

    def _note_success(self) -> None:
        if self._failures:
            event.emit(
                event.Event.LOG_REACHABLE,
                stream=self._stream.value,
                failures=self._failures,
            )
        self._failures = 0
        self.heard_at = self._timers.clock()

    def _note_failure(self, outcome: object) -> None:
        self._failures += 1
        if self._failures == 1:
            event.emit(
                event.Event.LOG_UNREACHABLE,
                stream=self._stream.value,
                detail=str(outcome),
            )
