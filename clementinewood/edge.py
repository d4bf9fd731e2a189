"""Strict HTTP/1.1 server in front of the request handlers."""

import dataclasses
import time
from collections.abc import Callable, Sequence
from typing import Protocol

import h11

from clementinewood import timer, transport, verdict

Header = tuple[bytes, bytes]

SWEEP_PERIOD = 1.0
"""Seconds between checks of connection time limits."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EdgeLimits:
    """Bounds on what callers may hold.

    Attributes:
        header_bytes: Request line and headers.
        body_bytes: Request body.
        pipelined_bytes: Bytes read ahead while a request is being served.
        connections: Open connections in all.
        connections_per_address: Open connections of one peer address.
        request_seconds: Time from the first byte of a request to its last.
        idle_seconds: Time a connection may stay open without a request.
    """

    header_bytes: int = 16384
    body_bytes: int = 1 << 20
    pipelined_bytes: int = 65536
    connections: int = 4096
    connections_per_address: int = 1024
    request_seconds: float = 10.0
    idle_seconds: float = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class HttpRequest:
    """A whole, well-framed request.

    Attributes:
        method: HTTP method.
        target: Request target as sent.
        headers: Names in lower case, with values.
        body: Whole body.
        peer: IP address and port of the caller's side.
    """

    method: str
    target: str
    headers: tuple[Header, ...]
    body: bytes
    peer: tuple[str, int]

    def find_header(self, name: bytes) -> str | None:
        """Returns the first value of header `name`, in lower case."""
        value = next((v for n, v in self.headers if n == name), None)
        return None if value is None else value.decode("latin-1")


class Exchange:
    """One request and the single answer to it.

    Args:
        request: The request.
        on_answer: Sends the answer on the connection.
    """

    __slots__ = ("_on_answer", "answered", "on_cancel", "request")

    def __init__(
        self,
        request: HttpRequest,
        on_answer: Callable[[int, Sequence[Header], bytes], None],
    ) -> None:
        self.request = request
        self._on_answer = on_answer
        self.answered = False
        self.on_cancel: Callable[[], None] | None = None

    def respond(
        self, status: int, headers: Sequence[Header], body: bytes
    ) -> None:
        """Answers the request; a second answer is ignored."""
        if self.answered:
            return
        self.answered = True
        self._on_answer(status, headers, body)

    def cancel(self) -> None:
        """Tells the handler that the caller has gone."""
        if self.answered:
            return
        self.answered = True
        if self.on_cancel is not None:
            self.on_cancel()


class Handler(Protocol):
    """Serves requests that passed the edge."""

    def handle_exchange(self, exchange: Exchange) -> None:
        """Answers `exchange` now or later."""

    def render_refusal(
        self, refusal: verdict.Refusal
    ) -> tuple[int, Sequence[Header], bytes]:
        """Returns status, headers and body of a refusal by the edge."""


class _Caller:
    """One caller's connection."""

    __slots__ = (
        "_body",
        "_edge",
        "_head",
        "_parser",
        "_size",
        "_unparsed",
        "connection",
        "deadline",
        "exchange",
    )

    def __init__(self, edge: "Edge") -> None:
        self._edge = edge
        self._parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=edge.limits.header_bytes
        )
        self._head: h11.Request | None = None
        self._body: list[bytes] = []
        self._size = 0
        self._unparsed = 0
        self.connection: transport.Connection | None = None
        self.exchange: Exchange | None = None
        self.deadline = 0.0

    def on_open(self, connection: transport.Connection) -> None:
        self.connection = connection
        self.deadline = self._edge.clock() + self._edge.limits.request_seconds
        self._edge.add_caller(self)

    def on_data(self, connection: transport.Connection, data: bytes) -> None:
        if self.exchange is not None:
            self._unparsed += len(data)
            if self._unparsed > self._edge.limits.pipelined_bytes:
                connection.pause_reading()
        elif self._head is None and self._parser.trailing_data[0] == b"":
            self.deadline = (
                self._edge.clock() + self._edge.limits.request_seconds
            )
        self._parser.receive_data(data)
        if self.exchange is None:
            self._read_events()

    def _read_events(self) -> None:
        """Parses until a request is whole or more bytes are needed."""
        try:
            while self.exchange is None:
                match self._parser.next_event():
                    case h11.Request() as head:
                        if not self._accept_head(head):
                            return
                    case h11.Data(data=data):
                        self._size += len(data)
                        if self._size > self._edge.limits.body_bytes:
                            self._refuse(verdict.Reason.BODY_TOO_LARGE)
                            return
                        self._body.append(bytes(data))
                    case h11.EndOfMessage():
                        self._dispatch()
                    case _:
                        return
        except h11.RemoteProtocolError as error:
            reason = (
                verdict.Reason.HEADERS_TOO_LARGE
                if error.error_status_hint == 431
                else verdict.Reason.MALFORMED
            )
            self._refuse(reason)

    def _accept_head(self, head: h11.Request) -> bool:
        names = [name for name, _ in head.headers]
        framings = names.count(b"content-length") + names.count(
            b"transfer-encoding"
        )
        if framings > 1 or b"\x00" in head.target:
            # Two statements of the length invite request smuggling.
            self._refuse(verdict.Reason.MALFORMED)
            return False
        length = next(
            (v for n, v in head.headers if n == b"content-length"), b"0"
        )
        if int(length) > self._edge.limits.body_bytes:
            self._refuse(verdict.Reason.BODY_TOO_LARGE)
            return False
        self._head = head
        self._body = []
        self._size = 0
        if self._parser.they_are_waiting_for_100_continue:
            self._send(
                self._parser.send(
                    h11.InformationalResponse(status_code=100, headers=[])
                )
            )
        return True

    def _dispatch(self) -> None:
        head, connection = self._head, self.connection
        assert head is not None and connection is not None
        request = HttpRequest(
            head.method.decode("ascii"),
            head.target.decode("ascii"),
            tuple(head.headers),
            b"".join(self._body),
            connection.peer,
        )
        self._unparsed = 0
        self.exchange = Exchange(request, self._answer)
        self._edge.dispatch(self.exchange)

    def _answer(
        self, status: int, headers: Sequence[Header], body: bytes
    ) -> None:
        connection = self.connection
        assert connection is not None
        if not connection.is_open:
            return
        framed = [*headers, (b"content-length", b"%d" % len(body))]
        if self._edge.draining:
            framed.append((b"connection", b"close"))
        send = self._parser.send
        head_only = self._head is not None and self._head.method == b"HEAD"
        data = send(h11.Response(status_code=status, headers=framed)) or b""
        if body and not head_only:
            data += send(h11.Data(data=body)) or b""
        data += send(h11.EndOfMessage()) or b""
        self._send(data)
        self._head = None
        if self._parser.our_state is h11.MUST_CLOSE or (
            self._parser.their_state in (h11.MUST_CLOSE, h11.CLOSED)
        ):
            connection.close()
            return
        self._parser.start_next_cycle()
        self.exchange = None
        self.deadline = self._edge.clock() + self._edge.limits.idle_seconds
        connection.resume_reading()
        if self._parser.trailing_data[0]:
            # A further request may be waiting; parsed from the loop, so that
            # many pipelined requests do not nest calls.
            self._edge.timers.subscribe_once(0.0, self._read_events)

    def _refuse(self, reason: verdict.Reason) -> None:
        """Answers a request that can't be served, then closes."""
        connection = self.connection
        assert connection is not None
        status, headers, body = self._edge.render_refusal(reason)
        self.exchange = _CLOSED
        if self._parser.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            framed = [
                *headers,
                (b"content-length", b"%d" % len(body)),
                (b"connection", b"close"),
            ]
            response = h11.Response(status_code=status, headers=framed)
            data = self._parser.send(response) or b""
            data += self._parser.send(h11.Data(data=body)) or b""
            data += self._parser.send(h11.EndOfMessage()) or b""
            self._send(data)
        connection.close()

    def _send(self, data: bytes | None) -> None:
        if data and self.connection is not None:
            self.connection.send(data)

    def check_time(self, now: float) -> None:
        """Ends the connection when its time limit has passed."""
        if self.exchange is not None or now < self.deadline:
            return
        assert self.connection is not None
        if self._head is not None or self._parser.trailing_data[0]:
            self._refuse(verdict.Reason.REQUEST_TIMEOUT)
        else:
            self.connection.close()

    def close_if_idle(self) -> None:
        """Closes the connection unless a request is on it."""
        if self.exchange is None and self._head is None:
            assert self.connection is not None
            self.connection.close()

    def on_drained(self, connection: transport.Connection) -> None:
        pass

    def on_closed(self, connection: transport.Connection, reason: str) -> None:
        self._edge.remove_caller(self)
        if self.exchange is not None:
            self.exchange.cancel()


_CLOSED = Exchange(
    HttpRequest("", "", (), b"", ("", 0)), lambda status, headers, body: None
)
_CLOSED.answered = True


class Edge:
    """Accepts callers' connections and passes whole requests on.

    circuits.web alone loses pipelined requests, accepts a negative
    Content-Length and bounds nothing, so h11 frames requests here.

    Args:
        sockets: Owns the sockets.
        timers: Timer service for time limits.
        handler: Serves the requests.
        limits: Bounds on what callers may hold.
    """

    def __init__(
        self,
        sockets: transport.Transport,
        timers: timer.TimerService,
        handler: Handler,
        *,
        limits: EdgeLimits | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.limits = limits or EdgeLimits()
        self.timers = timers
        self.clock = clock
        self.draining = False
        self._sockets = sockets
        self._handler = handler
        self._callers: set[_Caller] = set()
        self._per_address: dict[str, int] = {}
        timers.subscribe_every(SWEEP_PERIOD, self._sweep)

    @property
    def connections(self) -> int:
        """Open connections."""
        return len(self._callers)

    def listen(self, address: tuple[str, int]) -> tuple[str, int]:
        """Accepts callers on `address` and returns the address bound."""
        return self._sockets.listen(address, self._accept)

    def start_drain(self) -> None:
        """Closes idle connections; later answers close theirs."""
        self.draining = True
        for caller in list(self._callers):
            caller.close_if_idle()

    def dispatch(self, exchange: Exchange) -> None:
        """Passes a whole request to the handler."""
        self._handler.handle_exchange(exchange)

    def render_refusal(
        self, reason: verdict.Reason
    ) -> tuple[int, Sequence[Header], bytes]:
        """Renders a refusal by the edge itself."""
        return self._handler.render_refusal(verdict.Refusal(reason))

    def add_caller(self, caller: _Caller) -> None:
        """Counts an open connection."""
        assert caller.connection is not None
        self._callers.add(caller)
        host = caller.connection.peer[0]
        self._per_address[host] = self._per_address.get(host, 0) + 1

    def remove_caller(self, caller: _Caller) -> None:
        """Forgets a closed connection."""
        if caller not in self._callers:
            return
        assert caller.connection is not None
        self._callers.discard(caller)
        host = caller.connection.peer[0]
        self._per_address[host] -= 1
        if not self._per_address[host]:
            del self._per_address[host]

    def _accept(self, peer: tuple[str, int]) -> _Caller | None:
        if len(self._callers) >= self.limits.connections:
            return None
        used = self._per_address.get(peer[0], 0)
        if used >= self.limits.connections_per_address:
            return None
        return _Caller(self)

    def _sweep(self) -> None:
        now = self.clock()
        for caller in list(self._callers):
            caller.check_time(now)


class _Hello:
    def handle_exchange(self, exchange: Exchange) -> None:
        exchange.respond(200, [(b"content-type", b"text/plain")], b"hello\n")

    def render_refusal(
        self, refusal: verdict.Refusal
    ) -> tuple[int, Sequence[Header], bytes]:
        return refusal.status, [], b""


if __name__ == "__main__":
    service = timer.TimerService()
    network = transport.Transport(service).register(service)
    print(Edge(network, service, _Hello()).listen(("127.0.0.1", 0)))
    service.subscribe_once(30.0, lambda: service.stop())
    service.run()
