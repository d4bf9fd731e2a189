"""HTTP client that reads and appends to one stream of the log service."""

import base64
import binascii
import collections
import dataclasses
import json
import random
import urllib.parse
from collections.abc import Callable
from typing import Any

from returns import result

from clementinewood import event, fault, httpclient, record, timer
from clementinewood.identifiers import Incarnation, RecordId

LONG_POLL_SECONDS = 0.5
"""Maximum wait of one long poll. The age of a read counts from when it was
sent, so this must stay well below the 2 s for which an entry is fresh."""

READ_TIMEOUT_SECONDS = 1.0
"""Seconds beyond the poll's wait after which the log counts as unreachable and
a further read is sent."""

MAX_READ_TIMEOUT_SECONDS = 16.0
"""Seconds beyond the poll's wait after which a read is cancelled; long enough
to read from a slow log."""

HEDGE_SECONDS = 2.0
"""Seconds after which a further read is sent while the log is unreachable.

After an outage, the log does not answer reads that it received before.
Waiting for their time-out delayed an entry by up to 16 s.
"""

MAX_READS = 9
"""Maximum number of concurrent reads: one each `HEDGE_SECONDS` until the first
one times out."""

APPEND_TIMEOUT_SECONDS = 3.0
INITIAL_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 2.0
MAX_RECORDS = 1000
MAX_QUEUED = 1000
APPENDS_PER_SECOND = 20.0

_STREAM_KINDS: dict[str, tuple[type, ...]] = {
    "claims": (record.Claims,),
}


@dataclasses.dataclass(frozen=True, slots=True)
class LoggedRecord:
    """A record with its offset and log time.

    Attributes:
        offset: Offset in the stream.
        time: Log time in Unix seconds.
        record: The record.
    """

    offset: int
    time: float
    record: record.Record


@dataclasses.dataclass(frozen=True, slots=True)
class Appended:
    """The log has stored the record, possibly repeated with the same id."""

    offset: int
    time: float


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The record is not in the log and its append is not retried."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The record may be among those that expired unread."""

    detail: str


AppendResult = Appended | Rejected | Unknown
OnAppend = Callable[[AppendResult], None]
Collect = Callable[[], record.Record | None]


class AppendRate:
    """Token bucket that limits the appends to all streams of an entry.

    Args:
        rate: Appends per second.
        burst: Maximum number of appends without a pause.
    """

    def __init__(
        self, rate: float = APPENDS_PER_SECOND, *, burst: float = 5.0
    ) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._updated: float | None = None

    def take(self, now: float) -> float:
        """Takes a token.

        Returns:
            0 if a token was taken, or the seconds after which to retry.
        """
        if self._updated is not None:
            gained = (now - self._updated) * self._rate
            self._tokens = min(self._burst, self._tokens + gained)
        self._updated = now
        if self._tokens >= 1:
            self._tokens -= 1
            return 0.0
        # The margin prevents a retry that is too early because of rounding.
        return (1 - self._tokens) / self._rate + 1e-4


class _Append:
    """One queued append."""

    __slots__ = ("collect", "data", "id", "on_result")

    def __init__(self, collect: Collect, on_result: OnAppend) -> None:
        self.collect = collect
        self.on_result = on_result
        self.id: RecordId | None = None
        self.data = b""


class LogClient:
    """Follows a stream and appends to it.

    Args:
        http: Connections to the log service.
        timers: Timer service; its clock is the monotonic clock used.
        stream: Name of the stream.
        on_records: Called with records in order, each once. Records that
            can't be decoded are skipped and counted in `refused`.
        key: Cluster key.
        on_gap: Called with the first retained offset if records before it
            expired unread.
        on_head: Called after `on_records` if a read has reached the head, with
            the monotonic time at which the read was sent.
        next_offset: First offset to read.
        rate: Append rate, shared between the streams of an entry.
        random_source: Random source of the backoff jitter.
        poll_wait: Maximum wait of one long poll, in seconds.
        read_timeout: Seconds beyond the wait after which the log counts as
            unreachable.
        append_timeout: Seconds after which the outcome of an append is unknown.
    """

    def __init__(
        self,
        http: httpclient.HttpClient,
        timers: timer.TimerService,
        stream: str,
        on_records: Callable[[list[LoggedRecord]], None],
        *,
        key: bytes,
        on_gap: Callable[[int], None] | None = None,
        on_head: Callable[[float], None] | None = None,
        next_offset: int = 0,
        rate: AppendRate | None = None,
        random_source: random.Random | None = None,
        poll_wait: float = LONG_POLL_SECONDS,
        read_timeout: float = READ_TIMEOUT_SECONDS,
        append_timeout: float = APPEND_TIMEOUT_SECONDS,
    ) -> None:
        self.stream = stream
        self.next_offset = next_offset
        self.retained_from = 0
        self.last_head_read: float | None = None
        self.reachable = False
        self.refused: collections.Counter[fault.Code] = collections.Counter()
        self.failures = 0
        self.read_failures = 0
        self.append_attempts = 0
        self._http = http
        self._timers = timers
        self._on_records = on_records
        self._on_gap = on_gap
        self._on_head = on_head
        self._key = key
        self._rate = rate or AppendRate()
        self._random = random_source or random.Random()
        self._poll_wait = poll_wait
        self._read_timeout = read_timeout
        self._append_timeout = append_timeout
        self._path = f"/streams/{urllib.parse.quote(stream, safe='')}/records"
        self._read_backoff = INITIAL_BACKOFF_SECONDS
        self._append_backoff = INITIAL_BACKOFF_SECONDS
        self._undecodable: tuple[int, bytes] | None = None
        self._queue: collections.deque[_Append] = collections.deque()
        self._current: _Append | None = None
        self._posting = False
        self._outcome_unknown_since: float | None = None
        self._retry: timer.Subscription | None = None
        self._reads: list[httpclient.Call] = []
        self._read_retry: timer.Subscription | None = None
        self._started = False

    @property
    def is_outcome_unknown(self) -> bool:
        """Whether the log may have stored an unacknowledged append."""
        return self._outcome_unknown_since is not None

    @property
    def queued(self) -> int:
        """Number of appends that are queued or in progress."""
        return len(self._queue) + (self._current is not None)

    def start(self) -> None:
        """Starts reading the stream."""
        if not self._started:
            self._started = True
            self._send_read()

    def close(self) -> None:
        """Stops reading and appending; queued appends get no result."""
        self._started = False
        self._queue.clear()
        self._current = None
        self._outcome_unknown_since = None
        self._cancel_reads()

    def append(self, entry: record.Record, on_result: OnAppend) -> None:
        """Appends a record; `on_result` is called once with the outcome."""
        self.append_batch(lambda: entry, on_result)

    def append_batch(self, collect: Collect, on_result: OnAppend) -> None:
        """Appends a record that is created when its append starts.

        Only one append of a stream is in progress at a time, so callers can
        collect items meanwhile and put all of them into one record.

        Args:
            collect: Returns the record, or None if there is nothing left to
                append; `on_result` is not called then.
            on_result: Called once with the outcome.
        """
        if len(self._queue) >= MAX_QUEUED:
            on_result(Rejected(f"{MAX_QUEUED} appends are already queued"))
            return
        self._queue.append(_Append(collect, on_result))
        self._start_append()

    def observe(self, entry: LoggedRecord) -> None:
        """Completes the current append if `entry` is its record.

        Call it for records of this stream that peers relayed.
        """
        current = self._current
        if current is not None and entry.record.id == current.id:
            self._finish_append(Appended(entry.offset, entry.time))

    # Reading.

    def _send_read(self) -> None:
        if not self._started:
            return
        sent = self._timers.clock()
        wait = self._poll_wait
        # The first read, and reads after a failure, do not wait for records:
        # this shows sooner whether the log is reachable.
        if not self.reachable:
            wait = 0.0
        query = (
            f"from={self.next_offset}&max={MAX_RECORDS}&wait={wait * 1000:.0f}"
        )
        offset = self.next_offset
        hedge_timer = self._timers.subscribe_once(
            wait + (self._read_timeout if self.reachable else HEDGE_SECONDS),
            self._hedge,
        )

        def finish(outcome: httpclient.Result) -> None:
            hedge_timer.cancel()
            if call in self._reads:
                self._reads.remove(call)
            self._finish_read(outcome, offset, sent)

        call = self._http.send(
            "GET",
            f"{self._path}?{query}",
            [],
            b"",
            timeout=wait + MAX_READ_TIMEOUT_SECONDS,
            on_result=finish,
        )
        self._reads.append(call)

    def _hedge(self) -> None:
        """Sends a further read while earlier ones have no response."""
        self._mark_unreachable("no answer in time")
        if len(self._reads) < MAX_READS:
            self._send_read()

    def _cancel_reads(self) -> None:
        calls, self._reads = self._reads, []
        for call in calls:
            call.cancel()
        if self._read_retry is not None:
            self._read_retry.cancel()
            self._read_retry = None

    def _mark_unreachable(self, reason: str) -> None:
        if self.reachable:
            self.reachable = False
            event.emit(
                event.Event.LOG_UNREACHABLE, stream=self.stream, reason=reason
            )

    def _finish_read(
        self, outcome: httpclient.Result, offset: int, sent: float
    ) -> None:
        if not self._started:
            return
        content: dict[str, Any] | None = None
        if isinstance(outcome, httpclient.Response) and outcome.status in (
            200,
            410,
        ):
            content = _parse_object(outcome.body)
        if content is None or not isinstance(outcome, httpclient.Response):
            self._fail_read(outcome)
        elif outcome.status == 410:
            self._skip_gap(outcome, content)
        else:
            self._take_records(outcome, content, offset, sent)

    def _fail_read(self, outcome: httpclient.Result) -> None:
        self.read_failures += 1
        match outcome:
            case httpclient.Response(status=status):
                reason = f"unusable response with status {status}"
            case _:
                reason = outcome.detail
        self._mark_unreachable(reason)
        delay = self._random.uniform(0.3, 1.0) * self._read_backoff
        self._read_backoff = min(self._read_backoff * 2, MAX_BACKOFF_SECONDS)
        if self._read_retry is None:
            self._read_retry = self._timers.subscribe_once(
                delay, self._retry_read
            )

    def _retry_read(self) -> None:
        self._read_retry = None
        if len(self._reads) < MAX_READS:
            self._send_read()

    def _skip_gap(
        self, response: httpclient.Response, content: dict[str, Any]
    ) -> None:
        start = content.get("start")
        if type(start) is not int or start <= self.next_offset:
            self._fail_read(response)
            return
        event.emit(
            event.Event.LOG_GAP,
            stream=self.stream,
            first=self.next_offset,
            last=start - 1,
        )
        self.next_offset = self.retained_from = start
        self._undecodable = None
        if self._on_gap is not None:
            self._run_callback(self._on_gap, start)
        if self._outcome_unknown_since is not None:
            self._finish_append(
                Unknown(f"records before offset {start} expired unread")
            )
        self._cancel_reads()
        self._send_read()

    def _take_records(
        self,
        response: httpclient.Response,
        content: dict[str, Any],
        offset: int,
        sent: float,
    ) -> None:
        if offset != self.next_offset:
            # Another read has returned these records already.
            return
        items = _parse_records(content, offset)
        head, start = content.get("head"), content.get("start")
        if (
            items is None
            or type(head) is not int
            or type(start) is not int
            or head < offset + len(items)
        ):
            self._fail_read(response)
            return
        accepted, read_to = self._decode(items, offset)
        self.retained_from = start
        self._read_backoff = INITIAL_BACKOFF_SECONDS
        self.next_offset = read_to
        if accepted:
            self._run_callback(self._on_records, accepted)
        if not self.reachable:
            self.reachable = True
            event.emit(event.Event.LOG_REACHABLE, stream=self.stream)
        if read_to >= head:
            self.last_head_read = sent
            if self._on_head is not None:
                self._run_callback(self._on_head, sent)
        for entry in accepted:
            self.observe(entry)
        if read_to >= head:
            self._retry_if_absent(sent)
        self._start_append()
        self._cancel_reads()
        self._send_read()

    def _decode(
        self, items: list[tuple[int, float, bytes]], offset: int
    ) -> tuple[list[LoggedRecord], int]:
        """Decodes records.

        A record that can't be decoded is read once more before it is skipped.
        If it was damaged only in transit, skipping it would make the state of
        this reader differ from that of the others.

        Returns:
            The decoded records and the next offset to read.
        """
        accepted = []
        for record_offset, time, data in items:
            decoded = record.decode_record(data, self._key)
            if isinstance(decoded, result.Success):
                entry = decoded.unwrap()
                if self._belongs_to_stream(entry):
                    accepted.append(LoggedRecord(record_offset, time, entry))
                    continue
                code = fault.Code.RECORD_KIND
            else:
                code = decoded.failure().code
            if self._undecodable != (record_offset, data):
                self._undecodable = (record_offset, data)
                return accepted, record_offset
            self._undecodable = None
            self.refused[code] += 1
            event.emit(
                event.Event.RECORD_REFUSED,
                stream=self.stream,
                offset=record_offset,
                cause=code.value,
            )
        return accepted, offset + len(items)

    def _belongs_to_stream(self, entry: record.Record) -> bool:
        """Returns whether a record's kind belongs to this stream."""
        claims = _STREAM_KINDS["claims"]
        return isinstance(entry.payload, claims) == (self.stream == "claims")

    # Appending.

    def _start_append(self) -> None:
        """Sends the next append, if none is in progress.

        Nothing is appended while the log can't be read: peers rely on this
        when they conclude that no member can reach the log.
        """
        if (
            self._posting
            or self._retry is not None
            or self._outcome_unknown_since is not None
            or not self.reachable
        ):
            return
        if self._current is None and not self._queue:
            return
        delay = self._rate.take(self._timers.clock())
        if delay > 0:
            self._retry_append(delay)
            return
        if self._current is None and not self._take_next():
            return
        self._post()

    def _take_next(self) -> bool:
        while self._queue:
            item = self._queue.popleft()
            entry = item.collect()
            if entry is not None:
                item.id = entry.id
                item.data = record.encode_record(entry, self._key)
                self._current = item
                return True
        return False

    def _post(self) -> None:
        item = self._current
        assert item is not None
        self._posting = True
        self.append_attempts += 1
        self._http.send(
            "POST",
            self._path,
            [(b"content-type", b"application/octet-stream")],
            item.data,
            timeout=self._append_timeout,
            on_result=lambda outcome: self._finish_post(item, outcome),
        )

    def _finish_post(self, item: _Append, outcome: httpclient.Result) -> None:
        self._posting = False
        if self._current is not item:
            # The record has already been read from the stream.
            self._start_append()
            return
        match outcome:
            case httpclient.NotSent() | httpclient.Response(status=429):
                self._back_off()
            case httpclient.Response(status=200):
                content = _parse_object(outcome.body) or {}
                match content:
                    case {"offset": int(offset), "time": int() | float() as t}:
                        self._append_backoff = INITIAL_BACKOFF_SECONDS
                        self._finish_append(Appended(offset, float(t)))
                    case _:
                        self._mark_outcome_unknown()
            case httpclient.Response(status=status) if 400 <= status < 500:
                self._finish_append(
                    Rejected(f"log responded with status {status}")
                )
            case _:
                self._mark_outcome_unknown()

    def _mark_outcome_unknown(self) -> None:
        """Waits until a read shows whether the log stored the record."""
        self._outcome_unknown_since = self._timers.clock()

    def _retry_if_absent(self, sent: float) -> None:
        """Retries an append whose record a later read has not returned.

        A retry has the same record id. If the log stores the first append even
        later, readers ignore the record as a repeat.
        """
        if (
            self._outcome_unknown_since is not None
            and sent > self._outcome_unknown_since
        ):
            self._outcome_unknown_since = None
            self._back_off()

    def _back_off(self) -> None:
        delay = self._random.uniform(0.0, 1.0) * self._append_backoff
        self._append_backoff = min(
            self._append_backoff * 2, MAX_BACKOFF_SECONDS
        )
        self._retry_append(delay)

    def _retry_append(self, delay: float) -> None:
        def retry() -> None:
            self._retry = None
            self._start_append()

        self._retry = self._timers.subscribe_once(delay, retry)

    def _finish_append(self, outcome: AppendResult) -> None:
        item, self._current = self._current, None
        self._outcome_unknown_since = None
        self._append_backoff = INITIAL_BACKOFF_SECONDS
        if item is not None:
            self._run_callback(item.on_result, outcome)
        self._start_append()

    def _run_callback(
        self, callback: Callable[[Any], None], value: Any
    ) -> None:
        """Runs a callback and reports its exceptions.

        An exception must not stop reads and appends.
        """
        try:
            callback(value)
        except Exception as error:
            self.failures += 1
            event.emit(
                event.Event.HANDLER_FAILED,
                exception=error,
                where=f"log stream {self.stream}",
            )


def _parse_object(body: bytes) -> dict[str, Any] | None:
    try:
        content = json.loads(body)
    except (ValueError, RecursionError):
        return None
    return content if isinstance(content, dict) else None


def _parse_records(
    content: dict[str, Any], offset: int
) -> list[tuple[int, float, bytes]] | None:
    """Returns the records, or None unless they continue from `offset`."""
    items = content.get("records")
    if not isinstance(items, list):
        return None
    records = []
    for record_offset, item in enumerate(items, start=offset):
        match item:
            case {
                "offset": int(found),
                "time": int() | float() as time,
                "data": str(data),
            } if found == record_offset:
                try:
                    raw = base64.b64decode(data, validate=True)
                except (binascii.Error, ValueError):
                    return None
                records.append((record_offset, float(time), raw))
            case _:
                return None
    return records


if __name__ == "__main__":
    from clementinewood import logservice, transport

    service = timer.TimerService()
    network = transport.Transport(service).register(service)
    address = logservice.LogService(network, service).listen(("127.0.0.1", 0))
    client = LogClient(
        httpclient.HttpClient(network, service, address),
        service,
        "control",
        lambda records: print("read", records),
        key=b"k" * 32,
    )
    client.start()
    me = Incarnation("entry-1/0")
    client.append(
        record.create_record(me, record.Left(me)),
        lambda outcome: print("append", outcome),
    )
    service.subscribe_once(2.0, lambda: service.stop())
    service.run()
