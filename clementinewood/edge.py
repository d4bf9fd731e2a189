"""Accepts HTTP/1.1 connections and passes strictly framed requests on."""

import dataclasses
import time
from collections.abc import Callable, Sequence
from typing import Protocol

from clementinewood import event, framing, timer, transport, verdict

Header = framing.Header

SWEEP_PERIOD_SECONDS = 1.0
"""Seconds between checks of connection time limits."""

MAX_REQUESTS_PER_TURN = 16
"""Pipelined requests of one caller served before other events."""

WRITE_LIMIT_BYTES = 16 << 20
"""Above the largest response, which must not be aborted for its size."""

MAX_OPEN_REFUSALS = 64
"""Rejected connections that get a response; more are closed at once."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EdgeLimits:
    """Limits on the resources that callers may use.

    Attributes:
        header_bytes: Bytes of the request line and headers.
        body_bytes: Bytes of the request body.
        pipelined_bytes: Bytes read ahead while a request is being served.
        held_bytes: Bytes of incomplete and read-ahead requests of all callers.
        unsent_bytes: Unsent response bytes of one caller above which its next
            request waits.
        buffered_bytes: Unsent response bytes of all connections above which
            the connection of a caller that does not read is aborted.
        connections: Open connections of all callers.
        connections_per_address: Open connections of one peer address.
        request_seconds: Time from the first byte of a request to its last.
        write_seconds: Time within which a caller must read all sent bytes.
        idle_seconds: Time a connection may stay open without a request.
        drain_seconds: Time that idle connections stay open while draining.
    """

    header_bytes: int = 16384
    body_bytes: int = 1 << 20
    pipelined_bytes: int = 65536
    held_bytes: int = 32 << 20
    unsent_bytes: int = 65536
    buffered_bytes: int = 64 << 20
    connections: int = 4096
    connections_per_address: int = 1024
    request_seconds: float = 10.0
    write_seconds: float = 30.0
    idle_seconds: float = 60.0
    drain_seconds: float = 1.0


@dataclasses.dataclass(slots=True)
class HttpRequest:
    """A complete, well-framed request.

    Attributes:
        method: HTTP method.
        target: Request target as sent.
        headers: Names in lower case, with values.
        body: Complete body.
        peer: IP address and port of the caller.
    """

    method: str
    target: str
    headers: tuple[Header, ...]
    body: bytes
    peer: tuple[str, int]

    def find_header(self, name: bytes) -> str | None:
        """Returns the first value of header `name`, in lower case."""
        for found, value in self.headers:
            if found == name:
                return value.decode("latin-1")
        return None


class Exchange:
    """One request and its single response.

    Args:
        request: The request.
        on_answer: Sends the response on the connection.

    Attributes:
        answered: Whether a response was sent or the exchange was cancelled.
        on_cancel: Set by the handler; called once if the caller disconnects
            before the response.
        context: Set by the handler for the pages that serve the exchange.
    """

    __slots__ = ("_on_answer", "answered", "context", "on_cancel", "request")

    def __init__(
        self,
        request: HttpRequest,
        on_answer: Callable[[int, Sequence[Header], bytes], None],
    ) -> None:
        self.request = request
        self._on_answer = on_answer
        self.answered = False
        self.on_cancel: Callable[[], None] | None = None
        self.context: object = None

    def respond(
        self, status: int, headers: Sequence[Header], body: bytes
    ) -> None:
        """Sends the response; ignored after a response or cancellation.

        Args:
            status: Final HTTP status code.
            headers: Headers; framing ones are replaced. `Connection: close`
                closes the connection after the response.
            body: Complete body.
        """
        if self.answered:
            return
        self.answered = True
        self._on_answer(status, headers, body)

    def cancel(self) -> None:
        """Notifies the handler that the caller has disconnected."""
        if self.answered:
            return
        self.answered = True
        if self.on_cancel is not None:
            self.on_cancel()


class Handler(Protocol):
    """Serves requests accepted by the edge."""

    def handle_exchange(self, exchange: Exchange) -> None:
        """Responds to `exchange` now or later."""

    def render_refusal(
        self, refusal: verdict.Refusal
    ) -> tuple[int, Sequence[Header], bytes]:
        """Returns status, headers and body of a refusal by the edge."""


class ServerConnection:
    """Receives the events of one caller's connection.

    Args:
        edge: The edge that accepted it.
    """

    __slots__ = (
        "_body_left",
        "_body_parts",
        "_buffer",
        "_chunked",
        "_closing",
        "_edge",
        "_head",
        "_head_reader",
        "_held",
        "_parsing",
        "_write_deadline",
        "connection",
        "deadline",
        "exchange",
    )

    def __init__(self, edge: "Edge") -> None:
        self._edge = edge
        self._head_reader = framing.HeadReader(edge.limits.header_bytes)
        self._head: framing.RequestHead | None = None
        self._buffer = b""
        self._body_parts: list[bytes] = []
        self._body_left = 0
        self._chunked: framing.ChunkedBody | None = None
        self._held = 0
        self._parsing = False
        self._closing = False
        self._write_deadline: float | None = None
        self.connection: transport.Connection | None = None
        self.exchange: Exchange | None = None
        self.deadline = 0.0

    @property
    def is_idle(self) -> bool:
        """Whether no request is being received or served."""
        return self.exchange is None and not self._is_receiving

    @property
    def _is_receiving(self) -> bool:
        return self._head is not None or bool(self._buffer)

    def on_open(self, connection: transport.Connection) -> None:
        """Starts the time limit of the first request."""
        self.connection = connection
        self.deadline = self._edge.clock() + self._edge.limits.request_seconds
        self._edge.add_connection(self)

    def on_data(self, connection: transport.Connection, data: bytes) -> None:
        """Reads bytes of the current request or of later ones."""
        if self._closing:
            return
        edge = self._edge
        if self.is_idle:
            self.deadline = edge.clock() + edge.limits.request_seconds
        self._buffer = self._buffer + data if self._buffer else data
        self._parse()
        if len(self._buffer) > edge.limits.pipelined_bytes:
            connection.pause_reading()

    def on_drained(self, connection: transport.Connection) -> None:
        """Continues with requests that waited for the caller to read."""
        self._write_deadline = None
        if self._is_receiving:
            self.deadline = (
                self._edge.clock() + self._edge.limits.request_seconds
            )
        self._parse()

    def on_closed(self, connection: transport.Connection, reason: str) -> None:
        """Cancels the request in progress."""
        self._drop_input()
        self._count_held()
        self._edge.remove_connection(self)
        if self.exchange is not None:
            self.exchange.cancel()

    def check_time(self, now: float) -> None:
        """Ends the connection when one of its time limits has passed."""
        connection = self.connection
        assert connection is not None
        if self._write_deadline is not None and now >= self._write_deadline:
            connection.abort(
                "caller did not read the response within "
                f"{self._edge.limits.write_seconds} s"
            )
        elif self._closing or self.exchange is not None or now < self.deadline:
            return
        elif connection.buffered_bytes:
            # Requests wait for their caller to read earlier responses, which
            # has its own time limit.
            return
        elif self._is_receiving:
            self._refuse(verdict.Reason.REQUEST_TIMEOUT)
        else:
            self._close()

    def close_if_idle(self) -> None:
        """Closes the connection unless a request is on it.

        A request whose bytes are in the kernel already is served.
        """
        assert self.connection is not None
        if self.is_idle and not self.connection.has_input():
            self._close()

    def _parse(self) -> None:
        """Serves complete requests until one waits for its response."""
        if self._parsing:
            return
        self._parsing = True
        connection, limits = self.connection, self._edge.limits
        assert connection is not None
        served = 0
        try:
            while (
                self.exchange is None
                and not self._closing
                and connection.is_open
                and connection.buffered_bytes <= limits.unsent_bytes
            ):
                if served == MAX_REQUESTS_PER_TURN:
                    self._edge.timers.subscribe_once(0.0, self._parse)
                    break
                if not self._read_request():
                    break
                served += 1
        except framing.TooLargeError:
            self._refuse(
                verdict.Reason.HEADERS_TOO_LARGE
                if self._head is None
                else verdict.Reason.BODY_TOO_LARGE
            )
        except framing.FramingError as error:
            self._refuse(verdict.Reason.MALFORMED, str(error))
        finally:
            self._parsing = False
        self._count_held()
        if len(self._buffer) <= limits.pipelined_bytes:
            connection.resume_reading()

    def _read_request(self) -> bool:
        """Reads and dispatches one request; False if it is incomplete."""
        if self._head is None and not self._read_head():
            return False
        if self._chunked is not None:
            self._buffer = self._chunked.feed(self._buffer)
            if not self._chunked.done:
                return False
            body = self._chunked.join()
        elif self._body_left:
            if not self._read_body():
                return False
            body = b"".join(self._body_parts)
        else:
            body = b""
        self._dispatch(body)
        return True

    def _read_head(self) -> bool:
        data = self._buffer
        if not data:
            return False
        end = self._head_reader.find_end(data)
        if end < 0:
            return False
        head = framing.parse_request_head(data[:end])
        self._buffer = data[end + 4 :]
        self._head = head
        if head.chunked:
            self._chunked = framing.ChunkedBody(self._edge.limits.body_bytes)
        elif head.length:
            if head.length > self._edge.limits.body_bytes:
                raise framing.TooLargeError(
                    f"body of {head.length} bytes exceeds the limit of "
                    f"{self._edge.limits.body_bytes}"
                )
            self._body_left = head.length
        has_body = head.chunked or bool(head.length)
        if head.expects_continue and has_body and not self._buffer:
            assert self.connection is not None
            self.connection.send(b"HTTP/1.1 100 Continue\r\n\r\n")
        return True

    def _read_body(self) -> bool:
        part = self._buffer[: self._body_left]
        self._buffer = self._buffer[len(part) :]
        self._body_left -= len(part)
        self._body_parts.append(part)
        return not self._body_left

    def _dispatch(self, body: bytes) -> None:
        head, connection = self._head, self.connection
        assert head is not None and connection is not None
        self._body_parts = []
        self._chunked = None
        exchange = Exchange(
            HttpRequest(
                head.method, head.target, head.headers, body, connection.peer
            ),
            self._answer,
        )
        self.exchange = exchange
        self._edge.dispatch(exchange)

    def _answer(
        self, status: int, headers: Sequence[Header], body: bytes
    ) -> None:
        connection, head, edge = self.connection, self._head, self._edge
        assert connection is not None and head is not None
        if not connection.is_open:
            return
        close = (
            not head.keep_alive
            or _asks_close(headers)
            or (edge.draining and not self._has_next_in_drain())
        )
        try:
            data = framing.render_response(
                status,
                headers,
                body,
                close=close,
                head_only=head.method == "HEAD",
            )
        except framing.FramingError as error:
            edge.record_failure(
                f"response to {head.method} can't be rendered: {error}"
            )
            close = True
            data = edge.render_refused(
                _INTERNAL, head_only=head.method == "HEAD"
            )
        connection.send(data)
        if not connection.is_open:
            return
        self._limit_unread()
        self._head = None
        self.exchange = None
        if close:
            self._close()
            return
        now = edge.clock()
        if self._buffer:
            self.deadline = now + edge.limits.request_seconds
            self._parse()
        else:
            self.deadline = now + edge.limits.idle_seconds

    def _has_next_in_drain(self) -> bool:
        """Whether a pipelined request is still served while draining."""
        return bool(self._buffer) and self._edge.clock() < self._edge.drain_end

    def _refuse(self, reason: verdict.Reason, detail: str = "") -> None:
        """Sends a refusal of the current request and closes the connection."""
        assert self.connection is not None
        self.connection.send(
            self._edge.render_refused(
                verdict.Refusal(reason, detail=detail),
                head_only=self._head is not None
                and self._head.method == "HEAD",
            )
        )
        self._limit_unread()
        self._close()

    def _limit_unread(self) -> None:
        """Limits the time and the memory that unread responses may use."""
        connection, edge = self.connection, self._edge
        assert connection is not None
        if not connection.buffered_bytes:
            return
        if edge.is_over_buffer_limit():
            connection.abort(
                f"response buffers exceed {edge.limits.buffered_bytes} bytes"
            )
        elif self._write_deadline is None:
            self._write_deadline = edge.clock() + edge.limits.write_seconds

    def _close(self) -> None:
        self._drop_input()
        assert self.connection is not None
        self.connection.close()

    def _drop_input(self) -> None:
        self._closing = True
        self._buffer = b""
        self._body_parts = []
        self._chunked = None

    def _count_held(self) -> None:
        held = len(self._buffer)
        if self._body_parts and self._head is not None:
            held += (self._head.length or 0) - self._body_left
        if self._chunked is not None:
            held += self._chunked.size
        if held != self._held:
            change, self._held = held - self._held, held
            if self._edge.add_request_bytes(change) and self.exchange is None:
                self._refuse(verdict.Reason.TOO_MANY_CONNECTIONS)
                self._count_held()


class _RejectedConnection:
    """Refuses a connection over the limits and closes it."""

    def __init__(self, edge: "Edge") -> None:
        self._edge = edge

    def on_open(self, connection: transport.Connection) -> None:
        refusal = verdict.Refusal(verdict.Reason.TOO_MANY_CONNECTIONS)
        connection.send(self._edge.render_refused(refusal))
        connection.close()

    def on_data(self, connection: transport.Connection, data: bytes) -> None:
        pass

    def on_drained(self, connection: transport.Connection) -> None:
        pass

    def on_closed(self, connection: transport.Connection, reason: str) -> None:
        self._edge.refused_open -= 1


def _asks_close(headers: Sequence[Header]) -> bool:
    return any(
        name == b"connection" and b"close" in framing.list_tokens(value)
        for name, value in headers
    )


_INTERNAL = verdict.Refusal(
    verdict.Reason.INTERNAL, verdict.Execution.MAY_HAVE_RUN
)


class Edge:
    """Accepts connections and passes complete requests to a handler.

    circuits.web alone loses pipelined requests, accepts a negative
    Content-Length and has no limits, so requests are framed here.

    Args:
        sockets: Owns the sockets.
        timers: Timer service for time limits.
        handler: Serves the requests.
        limits: Limits on the resources of callers.
        clock: Returns monotonic time in seconds.

    Attributes:
        draining: Whether responses close their connections.
        drain_end: Monotonic time in seconds until which pipelined requests
            are served while draining.
        failures: Handler errors so far.
        refused_open: Connections over the limits that are being refused.
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
        self.drain_end = 0.0
        self.failures = 0
        self.refused_open = 0
        self._sockets = sockets
        self._handler = handler
        self._connections: set[ServerConnection] = set()
        self._per_address: dict[str, int] = {}
        self._addresses: list[tuple[str, int]] = []
        self._held_bytes = 0
        self._on_drained: Callable[[], None] | None = None
        self._sweeps = timers.subscribe_every(SWEEP_PERIOD_SECONDS, self._sweep)

    @property
    def connections(self) -> int:
        """Open connections."""
        return len(self._connections)

    @property
    def held_bytes(self) -> int:
        """Bytes of incomplete and read-ahead requests."""
        return self._held_bytes

    def listen(self, address: tuple[str, int]) -> tuple[str, int]:
        """Accepts callers on `address` and returns the address bound."""
        bound = self._sockets.listen(
            address, self.accept, write_limit=WRITE_LIMIT_BYTES
        )
        self._addresses.append(bound)
        return bound

    def accept(self, peer: tuple[str, int]) -> transport.Receiver | None:
        """Returns the receiver of a new connection, or None to refuse it."""
        limits = self.limits
        if (
            len(self._connections) < limits.connections
            and self._per_address.get(peer[0], 0)
            < limits.connections_per_address
        ):
            return ServerConnection(self)
        if self.refused_open >= MAX_OPEN_REFUSALS:
            return None
        self.refused_open += 1
        return _RejectedConnection(self)

    def start_drain(self, on_drained: Callable[[], None] | None = None) -> None:
        """Stops accepting and finishes requests in progress.

        Idle connections stay open for `drain_seconds`, since a request may
        already be in transit; its response has `Connection: close`. Pipelined
        requests are served for `request_seconds`.

        Args:
            on_drained: Called once, when no connection is open.
        """
        if self.draining:
            return
        self.draining = True
        self.drain_end = self.clock() + self.limits.request_seconds
        self._on_drained = on_drained
        for address in self._addresses:
            self._sockets.close_listener(address)
        self.timers.subscribe_once(self.limits.drain_seconds, self._close_idle)

    def dispatch(self, exchange: Exchange) -> None:
        """Passes a complete request to the handler."""
        try:
            self._handler.handle_exchange(exchange)
        except Exception as error:
            event.emit(
                event.Event.HANDLER_FAILED, exception=error, where="request"
            )
            self.failures += 1
            exchange.respond(*self._handler.render_refusal(_INTERNAL))

    def record_failure(self, message: str) -> None:
        """Counts and logs an error of the handler."""
        self.failures += 1
        event.emit(event.Event.HANDLER_FAILED, where="edge", detail=message)

    def render_refused(
        self, refusal: verdict.Refusal, *, head_only: bool = False
    ) -> bytes:
        """Renders a refusal by the edge, after which the connection closes."""
        status, headers, body = self._handler.render_refusal(refusal)
        return framing.render_response(
            status, headers, body, close=True, head_only=head_only
        )

    def add_request_bytes(self, change: int) -> bool:
        """Counts request bytes; True if an increase exceeds the limit."""
        self._held_bytes += change
        return change > 0 and self._held_bytes > self.limits.held_bytes

    def is_over_buffer_limit(self) -> bool:
        """Whether unsent bytes of all connections exceed their limit."""
        return self._sockets.buffered_bytes > self.limits.buffered_bytes

    def add_connection(self, server_connection: ServerConnection) -> None:
        """Counts an open connection."""
        assert server_connection.connection is not None
        self._connections.add(server_connection)
        host = server_connection.connection.peer[0]
        self._per_address[host] = self._per_address.get(host, 0) + 1

    def remove_connection(self, server_connection: ServerConnection) -> None:
        """Removes a closed connection from the counts."""
        if server_connection not in self._connections:
            return
        assert server_connection.connection is not None
        self._connections.discard(server_connection)
        host = server_connection.connection.peer[0]
        self._per_address[host] -= 1
        if not self._per_address[host]:
            del self._per_address[host]
        self._report_drained()

    def _close_idle(self) -> None:
        for server_connection in list(self._connections):
            server_connection.close_if_idle()
        self._report_drained()

    def _report_drained(self) -> None:
        if self.draining and not self._connections and self._on_drained:
            on_drained, self._on_drained = self._on_drained, None
            on_drained()

    def _sweep(self) -> None:
        now = self.clock()
        for server_connection in list(self._connections):
            server_connection.check_time(now)


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
