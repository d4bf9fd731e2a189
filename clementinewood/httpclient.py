"""Sends HTTP/1.1 requests over pooled connections on the circuits loop."""

import collections
import dataclasses
import math
from collections.abc import Callable, Sequence

from clementinewood import framing, timer, transport

Header = framing.Header

MAX_RESPONSE_BYTES = 8 << 20
"""Largest response body; it is buffered completely before it is returned."""

MAX_HEAD_BYTES = 32768
WRITE_LIMIT_BYTES = 4 << 20
"""Above the largest request, which must not be aborted for its size."""

MAX_INFORMATIONAL = 8
"""Informational (1xx) responses accepted before the final one."""


@dataclasses.dataclass(slots=True)
class Response:
    """A complete response.

    Attributes:
        status: HTTP status code.
        headers: Names in lower case, with values.
        body: Complete body.
    """

    status: int
    headers: tuple[Header, ...]
    body: bytes

    def find_header(self, name: bytes) -> bytes | None:
        """Returns the first value of header `name`, in lower case."""
        for found, value in self.headers:
            if found == name:
                return value
        return None


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the request was sent.

    Attributes:
        detail: What happened.
    """

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """Some bytes were sent and no complete response was received.

    Attributes:
        detail: What happened.
        timed_out: Whether the call timed out.
        invalid: Whether a truncated or malformed response was received.
        received_bytes: Bytes of the response that were received.
    """

    detail: str
    timed_out: bool = False
    invalid: bool = False
    received_bytes: int = 0


Result = Response | NotSent | Lost
OnResult = Callable[[Result], None]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TransferLimits:
    """Limits of a response whose transfer may take long on a slow link.

    Attributes:
        stall_seconds: Longest time without a byte once a response has begun.
        total_seconds: Longest time from the request to the complete response.
    """

    stall_seconds: float
    total_seconds: float


class Call:
    """One request in progress; `cancel` closes its connection.

    Args:
        method: HTTP method.
        data: Complete request as sent.
        on_result: Called once with the result unless cancelled.
        started_at: Monotonic time of the request in seconds.
        send_before: Monotonic time in seconds from which it is not sent any
            more.
        transfer: Limits of the response's transfer; without them the call's
            timeout applies to the whole response.
    """

    __slots__ = (
        "_done",
        "_on_result",
        "connection",
        "data",
        "deadline",
        "method",
        "send_before",
        "started_at",
        "transfer",
    )

    def __init__(
        self,
        method: str,
        data: bytes,
        on_result: OnResult,
        started_at: float = 0.0,
        send_before: float = math.inf,
        transfer: TransferLimits | None = None,
    ) -> None:
        self.method = method
        self.data = data
        self.started_at = started_at
        self.send_before = send_before
        self.transfer = transfer
        self._on_result = on_result
        self._done = False
        self.deadline: timer.Subscription | None = None
        self.connection: _ClientConnection | None = None

    @property
    def done(self) -> bool:
        """Whether the result was reported or the call was cancelled."""
        return self._done

    def finish(self, result: Result) -> None:
        """Reports the result, once."""
        if self._end():
            self._on_result(result)

    def cancel(self) -> None:
        """Ends the call without a result and closes its connection."""
        if self._end() and self.connection is not None:
            self.connection.cancel_call()

    def _end(self) -> bool:
        if self._done:
            return False
        self._done = True
        if self.deadline is not None:
            self.deadline.cancel()
        return True


class _ClientConnection:
    """One connection, which serves one call at a time."""

    __slots__ = (
        "_body_parts",
        "_buffer",
        "_chunked",
        "_client",
        "_head",
        "_head_reader",
        "_informational",
        "_body_left",
        "_sent_before",
        "call",
        "connection",
        "last_received",
        "received_bytes",
    )

    def __init__(self, client: "HttpClient", call: Call) -> None:
        self._client = client
        self._sent_before = 0
        self._head_reader = framing.HeadReader(MAX_HEAD_BYTES)
        self.call: Call | None = call
        self.connection: transport.Connection | None = None
        self.last_received = 0.0
        self._reset()

    def _reset(self) -> None:
        self.received_bytes = 0
        self._buffer = b""
        self._head: framing.ResponseHead | None = None
        self._body_parts: list[bytes] = []
        self._body_left = 0
        self._chunked: framing.ChunkedBody | None = None
        self._informational = 0

    @property
    def has_sent(self) -> bool:
        """Whether a byte of the current request may have been sent."""
        connection = self.connection
        return (
            connection is not None and connection.sent_bytes > self._sent_before
        )

    def start_call(self, call: Call) -> None:
        """Sends `call` on this idle, open connection."""
        self.call = call
        call.connection = self
        self._send_request()

    def on_open(self, connection: transport.Connection) -> None:
        """Sends the request that the connection was opened for."""
        self.last_received = self._client.clock()
        if self.call is None:
            connection.abort("cancelled")
        else:
            self._send_request()

    def _send_request(self) -> None:
        call, connection = self.call, self.connection
        assert call is not None and connection is not None
        if self._client.clock() >= call.send_before:
            # The process may have been paused while the connection opened.
            self.call = None
            call.connection = None
            self._client.release_connection(self, reusable=True)
            self._client.expire_call(call)
            return
        self._reset()
        self._sent_before = connection.sent_bytes
        connection.send(call.data)

    def on_data(self, connection: transport.Connection, data: bytes) -> None:
        """Reads bytes of the response."""
        self.last_received = self._client.clock()
        if self.call is None:
            # Bytes without a request would be read as the response to the next
            # one.
            connection.abort(f"{len(data)} bytes received without a request")
            return
        self.received_bytes += len(data)
        self._buffer = self._buffer + data if self._buffer else data
        try:
            if self._read_response():
                self._complete()
        except framing.FramingError as error:
            self._fail(
                Lost(f"malformed response: {error}", invalid=True), "malformed"
            )

    def _read_response(self) -> bool:
        """Reads buffered bytes; True if the response is complete."""
        while self._head is None:
            end = self._head_reader.find_end(self._buffer)
            if end < 0:
                return False
            head = framing.parse_response_head(self._buffer[:end])
            self._buffer = self._buffer[end + 4 :]
            if head.status >= 200:
                self._start_body(head)
            else:
                self._informational += 1
                if (
                    head.status == 101
                    or self._informational > MAX_INFORMATIONAL
                ):
                    raise framing.FramingError(
                        f"unexpected informational status {head.status}"
                    )
        if self._chunked is not None:
            self._buffer = self._chunked.feed(self._buffer)
            return self._chunked.done
        if self._body_left:
            part = self._buffer[: self._body_left]
            self._buffer = self._buffer[len(part) :]
            self._body_left -= len(part)
            self._body_parts.append(part)
        return not self._body_left

    def _start_body(self, head: framing.ResponseHead) -> None:
        assert self.call is not None
        self._head = head
        if self.call.method == "HEAD" or head.status in (204, 304):
            return
        if head.chunked:
            self._chunked = framing.ChunkedBody(MAX_RESPONSE_BYTES)
        elif head.length is None:
            # Its end could not be told from a lost connection.
            raise framing.FramingError(
                "response with neither Content-Length nor chunked body"
            )
        elif head.length > MAX_RESPONSE_BYTES:
            raise framing.TooLargeError(
                f"body of {head.length} bytes exceeds {MAX_RESPONSE_BYTES}"
            )
        else:
            self._body_left = head.length

    def _complete(self) -> None:
        call, head, connection = self.call, self._head, self.connection
        assert call is not None and head is not None
        assert connection is not None
        body = (
            self._chunked.join()
            if self._chunked is not None
            else b"".join(self._body_parts)
        )
        reusable = (
            head.keep_alive
            and connection.is_open
            and not self._buffer
            and not connection.buffered_bytes
        )
        self.call = None
        call.connection = None
        self._reset()
        response = Response(head.status, head.headers, body)
        self._client.release_connection(self, reusable=reusable)
        call.finish(response)

    def _fail(self, result: Result, reason: str) -> None:
        call, self.call = self.call, None
        if self.connection is not None:
            # The request must not arrive after the call has been given up.
            self.connection.reset(reason)
        if call is not None:
            call.connection = None
            call.finish(result)

    def time_out(self) -> None:
        """Ends the call in progress, which has timed out."""
        if self.has_sent:
            self._client.close_idle_after_timeout()
            self._fail(
                Lost(
                    "timed out without a complete response",
                    timed_out=True,
                    invalid=self._head is not None,
                    received_bytes=self.received_bytes,
                ),
                "timed out",
            )
        else:
            self._fail(NotSent("timed out before it was sent"), "timed out")

    def cancel_call(self) -> None:
        """Closes the connection, since its response is no longer needed."""
        self.call = None
        if self.connection is not None:
            self.connection.reset("cancelled")

    def on_drained(self, connection: transport.Connection) -> None:
        """Does nothing, since requests are buffered completely."""

    def on_closed(self, connection: transport.Connection, reason: str) -> None:
        """Reports the result of the call on the connection."""
        call, self.call = self.call, None
        self._client.remove_connection(self)
        if call is None:
            return
        call.connection = None
        if self.has_sent:
            partial = self._head is not None or bool(self._buffer)
            call.finish(
                Lost(
                    reason, invalid=partial, received_bytes=self.received_bytes
                )
            )
        else:
            # Sending may have failed inside `HttpClient.send`.
            self._client.finish_later(call, NotSent(reason))


class HttpClient:
    """Sends requests to one HTTP server over pooled connections.

    Args:
        sockets: Opens the connections.
        timers: Times out calls.
        address: IP address and port of the server.
        max_connections: Connections open at a time; further calls wait.
        max_waiting: Calls that may wait for a connection.
        idle_limit: Idle connections kept open.
        idle_seconds: Idle time after which a connection is not reused; below
            the idle timeout of servers, which may close it after that.
        careful_seconds: The same for calls with `reuse_careful`, which must
            not be sent on a closing connection.
        connect_timeout: Timeout in seconds of one connection attempt.
    """

    def __init__(
        self,
        sockets: transport.Transport,
        timers: timer.TimerService,
        address: tuple[str, int],
        *,
        max_connections: int = 64,
        max_waiting: int = 1024,
        idle_limit: int = 16,
        idle_seconds: float = 30.0,
        careful_seconds: float = 5.0,
        connect_timeout: float = 1.0,
    ) -> None:
        self.address = address
        self.host = f"{address[0]}:{address[1]}".encode()
        self.max_connections = max_connections
        self.clock = timers.clock
        self._max_waiting = max_waiting
        self._idle_limit = idle_limit
        self._idle_seconds = idle_seconds
        self._careful_seconds = careful_seconds
        self._connect_timeout = connect_timeout
        self._sockets = sockets
        self._timers = timers
        self._idle: list[_ClientConnection] = []
        self._connections: set[_ClientConnection] = set()
        self._waiting: collections.deque[Call] = collections.deque()

    @property
    def connections(self) -> int:
        """Connections open or being opened."""
        return len(self._connections)

    @property
    def idle_connections(self) -> int:
        """Open connections that carry no call."""
        return len(self._idle)

    def send(
        self,
        method: str,
        target: str,
        headers: Sequence[Header],
        body: bytes,
        *,
        timeout: float,
        on_result: OnResult,
        reuse_careful: bool = False,
        send_before: float = math.inf,
        transfer: TransferLimits | None = None,
    ) -> Call:
        """Sends one request.

        Args:
            method: HTTP method.
            target: Origin-form request target.
            headers: Headers; Host and framing headers are replaced.
            body: Complete body.
            timeout: Seconds until the call times out; with `transfer`, seconds
                until the response must have begun.
            on_result: Called once with the result, after `send` has returned.
            reuse_careful: Whether to reuse only a connection that was active
                within `careful_seconds`, which the server is unlikely to be
                closing.
            send_before: Monotonic time in seconds from which the request must
                not be sent any more, if that is before its timeout.
            transfer: Limits of a response that may be large. A timeout of the
                whole call would abort it on a slow link, however often it is
                repeated.

        Returns:
            The call, which can be cancelled.
        """
        try:
            data = framing.render_request(
                method, target, self.host, headers, body
            )
        except framing.FramingError as error:
            return self._fail_soon(method, on_result, str(error))
        now = self.clock()
        call = Call(
            method,
            data,
            on_result,
            started_at=now,
            send_before=min(now + timeout, send_before),
            transfer=transfer,
        )
        call.deadline = self._timers.subscribe_once(
            timeout, lambda: self._time_out(call)
        )
        if not self._start(call, careful=reuse_careful):
            if len(self._waiting) >= self._max_waiting:
                # Calls that timed out or were cancelled don't count.
                self._waiting = collections.deque(
                    waiting for waiting in self._waiting if not waiting.done
                )
            if len(self._waiting) < self._max_waiting:
                self._waiting.append(call)
            else:
                call.deadline.cancel()
                return self._fail_soon(
                    method,
                    on_result,
                    f"{len(self._waiting)} calls wait for a connection already",
                )
        return call

    def close(self) -> None:
        """Closes every connection; calls in progress end as Lost or NotSent."""
        waiting, self._waiting = self._waiting, collections.deque()
        for client_connection in list(self._connections):
            if client_connection.connection is not None:
                client_connection.connection.abort("client closed")
        for call in waiting:
            call.finish(NotSent("client closed"))

    def close_idle(self) -> None:
        """Closes connections that carry no call."""
        idle, self._idle = self._idle, []
        for client_connection in idle:
            assert client_connection.connection is not None
            client_connection.connection.abort("idle")

    def close_idle_after_timeout(self) -> None:
        """Closes idle connections after a call on another one timed out.

        The cause (a lost route, a restarted host) may affect all connections
        that were open. Those in use are checked by their responses; on an
        idle one, the next call might time out too.
        """
        self.close_idle()

    def release_connection(
        self, client_connection: _ClientConnection, *, reusable: bool
    ) -> None:
        """Reuses, keeps or closes a connection whose call has completed."""
        assert client_connection.connection is not None
        if not reusable:
            client_connection.connection.abort("not reusable")
            return
        if self._waiting and client_connection.connection.has_input():
            client_connection.connection.abort("closing")
            return
        call = self._pop_waiting()
        if call is not None:
            client_connection.start_call(call)
        elif len(self._idle) < self._idle_limit:
            self._idle.append(client_connection)
        else:
            client_connection.connection.abort("enough idle connections")

    def remove_connection(self, client_connection: _ClientConnection) -> None:
        """Removes a closed connection and opens one for a waiting call."""
        self._connections.discard(client_connection)
        if client_connection in self._idle:
            self._idle.remove(client_connection)
        call = self._pop_waiting()
        if call is not None:
            self._open_connection(call)

    def _start(self, call: Call, *, careful: bool) -> bool:
        client_connection = self._take_idle(careful=careful)
        if client_connection is not None:
            client_connection.start_call(call)
            return True
        if len(self._connections) >= self.max_connections and self._idle:
            oldest = self._idle.pop(0)
            assert oldest.connection is not None
            oldest.connection.abort("replaced by a new connection")
        if len(self._connections) >= self.max_connections:
            return False
        self._open_connection(call)
        return True

    def _take_idle(self, *, careful: bool) -> _ClientConnection | None:
        """Returns the idle connection used last, if it may be reused."""
        now = self.clock()
        while self._idle:
            client_connection = self._idle[-1]
            connection = client_connection.connection
            assert connection is not None
            age = now - client_connection.last_received
            if age <= self._idle_seconds and not connection.has_input():
                if careful and age > self._careful_seconds:
                    return None
                return self._idle.pop()
            # Input on an idle connection is its end, or bytes that would be
            # read as the response to the next request.
            connection.abort("idle for too long or closing")
        return None

    def _pop_waiting(self) -> Call | None:
        while self._waiting:
            call = self._waiting.popleft()
            if call.done:
                continue
            if self.clock() < call.send_before:
                return call
            self.expire_call(call)
        return None

    def _open_connection(self, call: Call) -> None:
        client_connection = _ClientConnection(self, call)
        self._connections.add(client_connection)
        call.connection = client_connection
        client_connection.connection = self._sockets.connect(
            self.address,
            client_connection,
            timeout=self._connect_timeout,
            write_limit=WRITE_LIMIT_BYTES,
        )

    def _fail_soon(self, method: str, on_result: OnResult, detail: str) -> Call:
        call = Call(method, b"", on_result)
        self.finish_later(call, NotSent(detail))
        return call

    def expire_call(self, call: Call) -> None:
        """Ends a call that has not been sent and is no longer permitted."""
        self.finish_later(call, NotSent("too late to be sent"))

    def finish_later(self, call: Call, result: Result) -> None:
        """Reports a result from the loop, after the current event."""
        self._timers.subscribe_once(0.0, lambda: call.finish(result))

    def _time_out(self, call: Call) -> None:
        seconds_left = self._compute_transfer_time_left(call)
        if seconds_left > 0:
            call.deadline = self._timers.subscribe_once(
                seconds_left, lambda: self._time_out(call)
            )
        elif call.connection is not None:
            call.connection.time_out()
        else:
            call.finish(NotSent("timed out while waiting for a connection"))

    def _compute_transfer_time_left(self, call: Call) -> float:
        """Returns seconds until a response that has begun times out."""
        limits, connection = call.transfer, call.connection
        if limits is None or connection is None:
            return 0.0
        if not connection.received_bytes:
            return 0.0
        return (
            min(
                connection.last_received + limits.stall_seconds,
                call.started_at + limits.total_seconds,
            )
            - self.clock()
        )


if __name__ == "__main__":
    service = timer.TimerService()
    sockets = transport.Transport(service).register(service)
    client = HttpClient(sockets, service, ("127.0.0.1", 9))

    def show(result: Result) -> None:
        """Prints the outcome and ends the loop."""
        print(result)
        service.stop()

    client.send("GET", "/", [], b"", timeout=2.0, on_result=show)
    service.run()
