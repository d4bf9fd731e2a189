"""Simulates the platform's log and host list, with injected faults."""

import base64
import collections
import dataclasses
import enum
import hashlib
import json
import random
import time
import urllib.parse
from collections.abc import Callable, Sequence
from typing import Any

from clementinewood import edge, timer, transport, verdict

MAX_RECORD_BYTES = 4 << 20
MAX_ANSWER_BYTES = 1 << 20
"""Record bytes after which a read response is limited."""

MAX_WAIT = 30.0
_JSON = ((b"content-type", b"application/json"),)


class Outage(enum.Enum):
    """How the service fails during an outage."""

    NONE = "none"
    REFUSE = "refuse"
    SILENT = "silent"


@dataclasses.dataclass(slots=True, kw_only=True)
class InjectedFaults:
    """Faults that tests inject.

    Attributes:
        outage: How requests fail; no request takes effect then.
        delay: Seconds before each response.
        read_delay: Additional seconds before the response to a read.
        lose_answers: Number of next appends that are stored without a success
            response: alternately a 504 and none.
        lose_requests: Number of next appends that are not stored and get a 504.
        corrupt_appends: Number of next appends preceded by a corrupted copy.
        corrupt_reads: Number of next reads whose first record is corrupted.
        retention: Number of records kept per stream.
    """

    outage: Outage = Outage.NONE
    delay: float = 0.0
    read_delay: float = 0.0
    lose_answers: int = 0
    lose_requests: int = 0
    corrupt_appends: int = 0
    corrupt_reads: int = 0
    retention: int = 1_000_000


@dataclasses.dataclass(slots=True)
class _Stream:
    """Records of one stream, from `start` on."""

    start: int = 0
    records: collections.deque[tuple[float, bytes]] = dataclasses.field(
        default_factory=collections.deque
    )
    waiting: list["_Read"] = dataclasses.field(default_factory=list)

    @property
    def head(self) -> int:
        return self.start + len(self.records)


@dataclasses.dataclass(slots=True, eq=False)
class _Read:
    """A long poll that waits for a record."""

    exchange: edge.Exchange
    offset: int
    limit: int
    deadline: timer.Subscription | None = None


class LogService:
    """Serves streams and the host list over HTTP.

    Args:
        sockets: Transport that owns the sockets.
        timers: Timer service for long polls and delays.
        wall_clock: Source of record times.
        random_source: Chooses bytes to corrupt.
    """

    def __init__(
        self,
        sockets: transport.Transport,
        timers: timer.TimerService,
        *,
        wall_clock: Callable[[], float] = time.time,
        random_source: random.Random | None = None,
    ) -> None:
        self.faults = InjectedFaults()
        self.hosts: list[dict[str, Any]] = []
        self.requests: collections.Counter[str] = collections.Counter()
        self._timers = timers
        self._wall_clock = wall_clock
        self._random = random_source or random.Random(0)
        self._streams: dict[str, _Stream] = {}
        self._lost = 0
        self._edge = edge.Edge(
            sockets,
            timers,
            self,
            limits=edge.EdgeLimits(
                body_bytes=MAX_RECORD_BYTES, idle_seconds=300.0
            ),
        )

    def listen(self, address: tuple[str, int]) -> tuple[str, int]:
        """Listens on `address` and returns the bound address."""
        return self._edge.listen(address)

    def read_stream(self, name: str) -> list[bytes]:
        """Returns the retained records of a stream."""
        return [data for _, data in self._open_stream(name).records]

    def append(self, name: str, data: bytes) -> tuple[int, float]:
        """Appends a record; returns its offset and time."""
        stream = self._open_stream(name)
        offset, now = stream.head, self._wall_clock()
        stream.records.append((now, data))
        while len(stream.records) > max(1, self.faults.retention):
            stream.records.popleft()
            stream.start += 1
        waiting, stream.waiting = stream.waiting, []
        for read in waiting:
            self._answer_read(stream, read)
        return offset, now

    def handle_exchange(self, exchange: edge.Exchange) -> None:
        """Serves one request."""
        request = exchange.request
        url = urllib.parse.urlsplit(request.target)
        parts = url.path.strip("/").split("/")
        self.requests[f"{request.method} {parts[0]}"] += 1
        if parts == ["switches"]:
            self._set_faults(exchange)
            return
        match self.faults.outage:
            case Outage.REFUSE:
                self._respond(exchange, 503, {"error": "outage"})
                return
            case Outage.SILENT:
                return
        match [request.method, *parts]:
            case ["POST", "streams", name, "records"]:
                self._handle_append(exchange, name)
            case ["GET", "streams", name, "records"]:
                query = urllib.parse.parse_qs(url.query)
                self._handle_read(exchange, name, query)
            case ["GET", "hosts"]:
                self._handle_hosts(exchange)
            case _:
                self._respond(exchange, 404, {"error": "no such resource"})

    def render_refusal(
        self, refusal: verdict.Refusal
    ) -> tuple[int, Sequence[edge.Header], bytes]:
        """Returns status, headers and body for a rejection by the edge."""
        body = json.dumps({"error": refusal.reason.value}).encode()
        return refusal.status, _JSON, body

    def _open_stream(self, name: str) -> _Stream:
        return self._streams.setdefault(name, _Stream())

    def _set_faults(self, exchange: edge.Exchange) -> None:
        """Changes the faults and hosts named in the JSON body."""
        try:
            wanted = json.loads(exchange.request.body)
            hosts = wanted.pop("hosts", self.hosts)
            if "outage" in wanted:
                wanted["outage"] = Outage(wanted["outage"])
            changed = dataclasses.replace(self.faults, **wanted)
        except (ValueError, TypeError, AttributeError) as error:
            self._respond(exchange, 400, {"error": str(error)})
            return
        self.faults = changed
        self.hosts = hosts
        self._respond(exchange, 200, {})

    def _handle_append(self, exchange: edge.Exchange, name: str) -> None:
        faults, data = self.faults, exchange.request.body
        if not data:
            self._respond(exchange, 400, {"error": "empty record"})
            return
        if faults.lose_requests:
            faults.lose_requests -= 1
            self._respond(exchange, 504, {"error": "request lost"})
            return
        if faults.corrupt_appends:
            faults.corrupt_appends -= 1
            self.append(name, self._corrupt(data))
        offset, now = self.append(name, data)
        if faults.lose_answers:
            faults.lose_answers -= 1
            self._lost += 1
            if self._lost % 2:
                self._respond(exchange, 504, {"error": "answer lost"})
            return
        self._respond(exchange, 200, {"offset": offset, "time": now})

    def _handle_read(
        self, exchange: edge.Exchange, name: str, query: dict[str, list[str]]
    ) -> None:
        try:
            offset = int(query.get("from", ["0"])[0])
            limit = int(query.get("max", ["1000"])[0])
            wait = int(query.get("wait", ["0"])[0]) / 1000
        except ValueError:
            self._respond(exchange, 400, {"error": "malformed query"})
            return
        stream = self._open_stream(name)
        read = _Read(exchange, offset, max(1, min(limit, 10000)))
        if offset < stream.head or wait <= 0:
            self._answer_read(stream, read)
            return

        def give_up() -> None:
            if read in stream.waiting:
                stream.waiting.remove(read)
                self._answer_read(stream, read)

        def forget() -> None:
            if read in stream.waiting:
                stream.waiting.remove(read)

        stream.waiting.append(read)
        exchange.on_cancel = forget
        read.deadline = self._timers.subscribe_once(
            min(wait, MAX_WAIT), give_up
        )

    def _handle_hosts(self, exchange: edge.Exchange) -> None:
        body = json.dumps({"hosts": self.hosts}, separators=(",", ":")).encode()
        tag = f'"{hashlib.sha256(body).hexdigest()[:32]}"'
        headers = (*_JSON, (b"etag", tag.encode()))
        if exchange.request.find_header(b"if-none-match") == tag:
            self._send(exchange, 304, headers, b"")
        else:
            self._send(exchange, 200, headers, body)

    def _answer_read(self, stream: _Stream, read: _Read) -> None:
        if read.deadline is not None:
            read.deadline.cancel()
        if self.faults.outage is not Outage.NONE:
            # A poll that is waiting when an outage starts fails like other
            # requests.
            if self.faults.outage is Outage.REFUSE:
                self._respond(read.exchange, 503, {"error": "outage"})
            return
        if read.offset < stream.start:
            self._respond(read.exchange, 410, {"start": stream.start})
            return
        records: list[dict[str, Any]] = []
        size = 0
        for offset in range(read.offset, stream.head):
            now, data = stream.records[offset - stream.start]
            size += len(data)
            if records and size > MAX_ANSWER_BYTES:
                break
            if self.faults.corrupt_reads and not records:
                self.faults.corrupt_reads -= 1
                data = self._corrupt(data)
            records.append(
                {
                    "offset": offset,
                    "time": now,
                    "data": base64.b64encode(data).decode(),
                }
            )
            if len(records) == read.limit:
                break
        self._respond(
            read.exchange,
            200,
            {"start": stream.start, "head": stream.head, "records": records},
        )

    def _corrupt(self, data: bytes) -> bytes:
        broken = bytearray(data)
        broken[self._random.randrange(len(broken))] ^= 0x55
        return bytes(broken)

    def _respond(
        self, exchange: edge.Exchange, status: int, content: dict[str, Any]
    ) -> None:
        body = json.dumps(content, separators=(",", ":")).encode()
        self._send(exchange, status, _JSON, body)

    def _send(
        self,
        exchange: edge.Exchange,
        status: int,
        headers: Sequence[edge.Header],
        body: bytes,
    ) -> None:
        delay = self.faults.delay
        if exchange.request.method == "GET":
            delay += self.faults.read_delay
        if delay > 0:
            self._timers.subscribe_once(
                delay, lambda: exchange.respond(status, headers, body)
            )
        else:
            exchange.respond(status, headers, body)


if __name__ == "__main__":
    service = timer.TimerService()
    network = transport.Transport(service).register(service)
    print(LogService(network, service).listen(("127.0.0.1", 0)))
    service.subscribe_once(30.0, lambda: service.stop())
    service.run()
