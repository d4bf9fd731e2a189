"""HTTP/1.1 client connections on the circuits loop, framed by h11."""

import collections
import dataclasses
from collections.abc import Callable, Sequence

import h11

from clementinewood import timer, transport

Header = tuple[bytes, bytes]

MAX_ANSWER_BYTES = 8 << 20
"""Answers are passed on only when whole, so a whole one must fit."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer.

    Attributes:
        status: HTTP status code.
        headers: Names in lower case, with values.
        body: The whole body.
    """

    status: int
    headers: tuple[Header, ...]
    body: bytes

    def find_header(self, name: bytes) -> bytes | None:
        """Returns the first value of header `name`, in lower case."""
        return next((v for n, v in self.headers if n == name), None)


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the request was handed to the network."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """Some bytes were sent and no whole answer came back.

    Attributes:
        detail: What happened.
        timed_out: Whether the time limit ended the attempt.
        invalid: Whether an answer came that is not a whole, well-formed one.
    """

    detail: str
    timed_out: bool = False
    invalid: bool = False


Result = Answer | NotSent | Lost
OnResult = Callable[[Result], None]


class Call:
    """One request on its way; `cancel` closes its connection.

    Args:
        method: HTTP method.
        target: Origin-form request target.
        headers: Headers without framing ones.
        body: Whole body.
        on_result: Called once with the outcome unless cancelled.
    """

    __slots__ = (
        "_done",
        "_on_result",
        "body",
        "deadline",
        "headers",
        "method",
        "on_cancel",
        "target",
    )

    def __init__(
        self,
        method: str,
        target: str,
        headers: Sequence[Header],
        body: bytes,
        on_result: OnResult,
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self._on_result = on_result
        self._done = False
        self.deadline: timer.Subscription | None = None
        self.on_cancel: Callable[[], None] | None = None

    @property
    def done(self) -> bool:
        """Whether the outcome was reported or the call was cancelled."""
        return self._done

    def finish(self, result: Result) -> None:
        """Reports the outcome, once."""
        if self._done:
            return
        self._done = True
        if self.deadline is not None:
            self.deadline.cancel()
        self._on_result(result)

    def cancel(self) -> None:
        """Ends the call without an outcome and closes its connection."""
        if self._done:
            return
        self._done = True
        if self.deadline is not None:
            self.deadline.cancel()
        if self.on_cancel is not None:
            self.on_cancel()


class _Channel:
    """One connection that carries one call at a time."""

    __slots__ = (
        "_body",
        "_head",
        "_parser",
        "_size",
        "call",
        "client",
        "connection",
        "request_sent",
    )

    def __init__(self, client: "HttpClient", call: Call) -> None:
        self.client = client
        self.call: Call | None = call
        self.connection: transport.Connection | None = None
        self.request_sent = False
        self._parser = h11.Connection(h11.CLIENT)
        self._head: h11.Response | None = None
        self._body: list[bytes] = []
        self._size = 0

    def start_call(self, call: Call) -> None:
        """Sends `call` on this idle, open connection."""
        self.call = call
        self._send_request()

    def on_open(self, connection: transport.Connection) -> None:
        self._send_request()

    def _send_request(self) -> None:
        call = self.call
        assert call is not None and self.connection is not None
        self._head = None
        self._body = []
        self._size = 0
        self.request_sent = False
        headers = [(b"host", self.client.host), *call.headers]
        if call.body or call.method in ("POST", "PUT", "PATCH"):
            headers.append((b"content-length", b"%d" % len(call.body)))
        send = self._parser.send
        data = send(
            h11.Request(method=call.method, target=call.target, headers=headers)
        )
        assert data is not None
        if call.body:
            data += send(h11.Data(data=call.body)) or b""
        data += send(h11.EndOfMessage()) or b""
        before = self.connection.sent_bytes
        self.connection.send(data)
        self.request_sent = self.connection.sent_bytes > before

    def on_data(self, connection: transport.Connection, data: bytes) -> None:
        if self.call is None:
            # Bytes that answer no request would be taken for the answer to
            # the next one.
            connection.abort("unexpected bytes")
            return
        try:
            self._parser.receive_data(data)
            self._read_events()
        except h11.RemoteProtocolError as error:
            self._fail(
                Lost(f"malformed answer: {error}", invalid=True), "malformed"
            )

    def _read_events(self) -> None:
        while True:
            match self._parser.next_event():
                case h11.Response() as head:
                    self._head = head
                case h11.Data(data=data):
                    self._size += len(data)
                    if self._size > MAX_ANSWER_BYTES:
                        self._fail(
                            Lost("answer too large", invalid=True), "too large"
                        )
                        return
                    self._body.append(bytes(data))
                case h11.EndOfMessage():
                    self._complete()
                    return
                case h11.InformationalResponse():
                    continue
                case _:
                    return

    def _complete(self) -> None:
        call, head = self.call, self._head
        assert call is not None and head is not None
        answer = Answer(
            head.status_code, tuple(head.headers), b"".join(self._body)
        )
        self.call = None
        trailing, _ = self._parser.trailing_data
        reusable = (
            self._parser.our_state is h11.DONE
            and self._parser.their_state is h11.DONE
            and not trailing
        )
        if reusable:
            self._parser.start_next_cycle()
        self.client.release_channel(self, reusable=reusable)
        call.finish(answer)

    def _fail(self, result: Result, reason: str) -> None:
        call, self.call = self.call, None
        if self.connection is not None:
            self.connection.abort(reason)
        if call is not None:
            call.finish(result)

    def time_out(self) -> None:
        """Ends the call in progress when its time is over."""
        if not self.request_sent:
            self._fail(NotSent("timed out before it was sent"), "timed out")
        else:
            self._fail(Lost("no answer in time", timed_out=True), "timed out")

    def cancel_call(self) -> None:
        """Closes the connection, since its answer is not wanted."""
        self.call = None
        if self.connection is not None:
            self.connection.abort("cancelled")

    def on_drained(self, connection: transport.Connection) -> None:
        self.request_sent = True

    def on_closed(self, connection: transport.Connection, reason: str) -> None:
        self.client.forget_channel(self)
        call, self.call = self.call, None
        if call is None:
            return
        if not self.request_sent and connection.sent_bytes == 0:
            call.finish(NotSent(reason))
            return
        if self._ends_at_close():
            assert self._head is not None
            call.finish(
                Answer(
                    self._head.status_code,
                    tuple(self._head.headers),
                    b"".join(self._body),
                )
            )
            return
        call.finish(Lost(reason, invalid=self._head is not None))

    def _ends_at_close(self) -> bool:
        """Whether the end of the connection ends the answer, as framed.

        An answer without a length can't be told from a short one, so it is
        never passed on as whole.
        """
        return False


class HttpClient:
    """Connections to one HTTP server.

    Args:
        sockets: Opens the connections.
        timers: Ends calls at their time limit.
        address: IP address and port of the server.
        max_connections: Connections open at a time; further calls wait.
        idle_limit: Idle connections kept open.
        connect_timeout: Seconds for one connection attempt.
    """

    def __init__(
        self,
        sockets: transport.Transport,
        timers: timer.TimerService,
        address: tuple[str, int],
        *,
        max_connections: int = 64,
        idle_limit: int = 16,
        connect_timeout: float = 1.0,
    ) -> None:
        self.address = address
        self.host = f"{address[0]}:{address[1]}".encode()
        self.max_connections = max_connections
        self._idle_limit = idle_limit
        self._connect_timeout = connect_timeout
        self._sockets = sockets
        self._timers = timers
        self._idle: list[_Channel] = []
        self._channels: set[_Channel] = set()
        self._waiting: collections.deque[Call] = collections.deque()

    @property
    def connections(self) -> int:
        """Connections open or being opened."""
        return len(self._channels)

    def send(
        self,
        method: str,
        target: str,
        headers: Sequence[Header],
        body: bytes,
        *,
        timeout: float,
        on_result: OnResult,
    ) -> Call:
        """Sends one request.

        Args:
            method: HTTP method.
            target: Origin-form request target.
            headers: Headers without Host and framing headers.
            body: Whole body.
            timeout: Seconds until the attempt is given up.
            on_result: Called once with the outcome.

        Returns:
            The call, which can be cancelled.
        """
        call = Call(method, target, headers, body, on_result)
        call.deadline = self._timers.subscribe_once(
            timeout, lambda: self._time_out(call)
        )
        if self._idle:
            self._assign(self._idle.pop(), call)
        elif len(self._channels) < self.max_connections:
            self._open_channel(call)
        else:
            self._waiting.append(call)
        return call

    def close(self) -> None:
        """Closes every connection; calls in progress fail."""
        for channel in list(self._channels):
            if channel.connection is not None:
                channel.connection.abort("client closed")

    def close_idle(self) -> None:
        """Closes connections that carry no call."""
        idle, self._idle = self._idle, []
        for channel in idle:
            if channel.connection is not None:
                channel.connection.abort("idle")

    def release_channel(self, channel: _Channel, *, reusable: bool) -> None:
        """Takes back a connection whose call has its answer."""
        if not reusable:
            if channel.connection is not None:
                channel.connection.abort("not reusable")
            return
        call = self._pop_waiting()
        if call is not None:
            self._assign(channel, call)
        elif len(self._idle) < self._idle_limit:
            self._idle.append(channel)
        elif channel.connection is not None:
            channel.connection.abort("enough idle connections")

    def forget_channel(self, channel: _Channel) -> None:
        """Drops a closed connection and serves a waiting call."""
        self._channels.discard(channel)
        if channel in self._idle:
            self._idle.remove(channel)
        call = self._pop_waiting()
        if call is not None:
            self._open_channel(call)

    def _pop_waiting(self) -> Call | None:
        while self._waiting:
            call = self._waiting.popleft()
            if not call.done:
                return call
        return None

    def _assign(self, channel: _Channel, call: Call) -> None:
        call.on_cancel = channel.cancel_call
        channel.start_call(call)

    def _open_channel(self, call: Call) -> None:
        channel = _Channel(self, call)
        self._channels.add(channel)
        call.on_cancel = channel.cancel_call
        channel.connection = self._sockets.connect(
            self.address, channel, timeout=self._connect_timeout
        )

    def _time_out(self, call: Call) -> None:
        for channel in self._channels:
            if channel.call is call:
                channel.time_out()
                return
        call.finish(NotSent("timed out while waiting for a connection"))


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
