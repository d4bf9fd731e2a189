"""Non-blocking TCP connections on the circuits poller."""

import contextlib
import errno
import socket
from collections.abc import Callable
from typing import Protocol

import circuits
from circuits.core import pollers
from loguru import logger

from clementinewood import timer

RECEIVE_BYTES = 65536
DEFAULT_WRITE_LIMIT = 1 << 20
"""Bytes that may wait for a slow reader before the connection is cut."""

_IN_PROGRESS = (errno.EINPROGRESS, errno.EWOULDBLOCK, errno.EALREADY)


class Receiver(Protocol):
    """Receives the events of one connection, on the loop."""

    def on_open(self, connection: "Connection") -> None:
        """Called once, when the connection is established."""

    def on_data(self, connection: "Connection", data: bytes) -> None:
        """Called with bytes received, never empty."""

    def on_drained(self, connection: "Connection") -> None:
        """Called when the write buffer has become empty."""

    def on_closed(self, connection: "Connection", reason: str) -> None:
        """Called once, when the connection has ended or was never opened."""


class Connection:
    """One TCP connection.

    Args:
        transport: The component that polls the socket.
        sock: A non-blocking socket.
        receiver: Gets the events of this connection.
        write_limit: Bytes that may be buffered before the peer is cut off.
    """

    __slots__ = (
        "_buffer",
        "_closing",
        "_reading",
        "_sock",
        "_transport",
        "_write_limit",
        "is_open",
        "peer",
        "receiver",
        "sent_bytes",
    )

    def __init__(
        self,
        transport: "Transport",
        sock: socket.socket,
        receiver: Receiver,
        *,
        peer: tuple[str, int],
        write_limit: int = DEFAULT_WRITE_LIMIT,
    ) -> None:
        self._transport = transport
        self._sock = sock
        self._buffer = bytearray()
        self._closing = False
        self._reading = False
        self._write_limit = write_limit
        self.is_open = False
        self.peer = peer
        self.receiver = receiver
        self.sent_bytes = 0

    @property
    def buffered_bytes(self) -> int:
        """Bytes that wait to be sent."""
        return len(self._buffer)

    def send(self, data: bytes) -> bool:
        """Sends `data`, buffering what the kernel does not take now.

        Returns:
            False when the connection is closed or was cut since its write
            buffer is over the limit; nothing of `data` is sent then.
        """
        if not self.is_open or self._closing:
            return False
        if not self._buffer:
            sent = self._send_now(data)
            if sent < 0:
                return False
            if sent == len(data):
                return True
            data = data[sent:]
            self._transport.watch_writable(self._sock)
        self._buffer += data
        if len(self._buffer) > self._write_limit:
            self.abort("write buffer over its limit")
            return False
        return True

    def pause_reading(self) -> None:
        """Stops reading, so that the kernel slows the peer down."""
        if self._reading:
            self._reading = False
            self._transport.ignore_readable(self._sock)

    def resume_reading(self) -> None:
        """Reads again after `pause_reading`."""
        if self.is_open and not self._reading:
            self._reading = True
            self._transport.watch_readable(self._sock)

    def close(self) -> None:
        """Closes the connection once all buffered bytes are sent."""
        if self._buffer and self.is_open:
            self._closing = True
        else:
            self.abort("closed")

    def abort(self, reason: str) -> None:
        """Closes the connection now and drops buffered bytes."""
        self._transport.end_connection(self._sock, reason)

    def _send_now(self, data: bytes | bytearray) -> int:
        try:
            sent = self._sock.send(data)
        except BlockingIOError:
            return 0
        except OSError as error:
            self.abort(f"send failed: {error.strerror}")
            return -1
        self.sent_bytes += sent
        return sent

    def flush_buffer(self) -> None:
        """Sends buffered bytes; called when the socket is writable."""
        sent = self._send_now(self._buffer)
        if sent < 0:
            return
        del self._buffer[:sent]
        if self._buffer:
            return
        self._transport.ignore_writable(self._sock)
        if self._closing:
            self.abort("closed")
        else:
            self.receiver.on_drained(self)


class Transport(circuits.BaseComponent):
    """Owns every socket of the process.

    circuits' own sockets buffer writes without a bound and spin while
    connecting, and its default poller is select(2) with 1,024 descriptors;
    this component keeps the circuits loop with the epoll poller.

    Args:
        timers: Timer service used for connect timeouts.
    """

    channel = "transport"

    def __init__(self, timers: timer.TimerService) -> None:
        super().__init__()
        self.failures = 0
        self._timers = timers
        self._poller = pollers.EPoll().register(self)
        self._listeners: dict[
            socket.socket, Callable[[tuple[str, int]], Receiver | None]
        ] = {}
        self._connections: dict[socket.socket, Connection] = {}
        self._timeouts: dict[socket.socket, timer.Subscription] = {}

    def listen(
        self,
        address: tuple[str, int],
        accept: Callable[[tuple[str, int]], Receiver | None],
        *,
        backlog: int = 1024,
    ) -> tuple[str, int]:
        """Accepts connections on `address`.

        Args:
            address: IP address and port; port 0 picks a free one.
            accept: Returns the receiver for a peer address, or None to refuse.
            backlog: Connections that may wait in the kernel.

        Returns:
            The address bound.

        Raises:
            OSError: The address can't be bound.
        """
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        listener.bind(address)
        listener.listen(backlog)
        self._listeners[listener] = accept
        self._poller.addReader(self, listener)
        return listener.getsockname()

    def close_listeners(self) -> None:
        """Stops accepting; open connections stay."""
        for listener in list(self._listeners):
            self._poller.discard(listener)
            listener.close()
        self._listeners.clear()

    def connect(
        self,
        address: tuple[str, int],
        receiver: Receiver,
        *,
        timeout: float = 1.0,
        write_limit: int = DEFAULT_WRITE_LIMIT,
    ) -> Connection:
        """Opens a connection; `receiver` learns of the outcome.

        Args:
            address: IP address and port.
            receiver: Gets `on_open`, or `on_closed` when it fails.
            timeout: Seconds until the attempt is given up.
            write_limit: Bytes that may be buffered for a slow peer.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        connection = Connection(
            self, sock, receiver, peer=address, write_limit=write_limit
        )
        self._connections[sock] = connection
        code = sock.connect_ex(address)
        if code not in (0, *_IN_PROGRESS):
            self._timeouts[sock] = self._timers.subscribe_once(
                0.0,
                lambda: self.end_connection(
                    sock, f"connect failed: {errno.errorcode.get(code, code)}"
                ),
            )
            return connection
        self._poller.addWriter(self, sock)
        self._timeouts[sock] = self._timers.subscribe_once(
            timeout, lambda: self.end_connection(sock, "connect timed out")
        )
        return connection

    def watch_readable(self, sock: socket.socket) -> None:
        """Polls `sock` for input."""
        self._poller.addReader(self, sock)

    def ignore_readable(self, sock: socket.socket) -> None:
        """Stops polling `sock` for input."""
        self._poller.removeReader(sock)

    def watch_writable(self, sock: socket.socket) -> None:
        """Polls `sock` for room in its send buffer."""
        self._poller.addWriter(self, sock)

    def ignore_writable(self, sock: socket.socket) -> None:
        """Stops polling `sock` for room in its send buffer."""
        self._poller.removeWriter(sock)

    def end_connection(self, sock: socket.socket, reason: str) -> None:
        """Closes `sock` and tells its receiver once."""
        connection = self._connections.pop(sock, None)
        if connection is None:
            return
        pending = self._timeouts.pop(sock, None)
        if pending is not None:
            pending.cancel()
        connection.is_open = False
        self._poller.discard(sock)
        with contextlib.suppress(OSError):
            sock.close()
        self._guard(connection.receiver.on_closed, connection, reason)

    def _guard(self, callback: Callable, *arguments: object) -> None:
        """Runs a receiver's callback; a failure is counted and logged.

        circuits only prints an exception of a handler and goes on, so a
        broken receiver would look healthy.
        """
        try:
            callback(*arguments)
        except Exception:
            self.failures += 1
            logger.exception("connection handler failed")
            connection = arguments[0]
            if isinstance(connection, Connection) and connection.is_open:
                connection.abort("handler failed")

    def _accept(self, listener: socket.socket) -> None:
        try:
            sock, peer = listener.accept()
        except OSError:
            # The peer may be gone already, or descriptors are exhausted; the
            # poller reports the listener again.
            return
        receiver = self._listeners[listener](peer)
        if receiver is None:
            sock.close()
            return
        sock.setblocking(False)
        connection = Connection(self, sock, receiver, peer=peer)
        self._connections[sock] = connection
        self._open(sock, connection)

    def _open(self, sock: socket.socket, connection: Connection) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection.is_open = True
        connection.resume_reading()
        self._guard(connection.receiver.on_open, connection)

    @circuits.handler("_read")
    def _on_readable(self, sock: socket.socket) -> None:
        if sock in self._listeners:
            self._accept(sock)
            return
        connection = self._connections.get(sock)
        if connection is None or not connection.is_open:
            return
        try:
            data = sock.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self.end_connection(sock, f"receive failed: {error.strerror}")
            return
        if data:
            self._guard(connection.receiver.on_data, connection, data)
        else:
            self.end_connection(sock, "closed by peer")

    @circuits.handler("_write")
    def _on_writable(self, sock: socket.socket) -> None:
        connection = self._connections.get(sock)
        if connection is None:
            return
        if connection.is_open:
            self._guard(lambda _: connection.flush_buffer(), connection)
            return
        self._finish_connect(sock, connection)

    def _finish_connect(
        self, sock: socket.socket, connection: Connection
    ) -> None:
        code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            name = errno.errorcode.get(code, str(code))
            self.end_connection(sock, f"connect failed: {name}")
            return
        pending = self._timeouts.pop(sock, None)
        if pending is not None:
            pending.cancel()
        self._poller.removeWriter(sock)
        self._open(sock, connection)

    @circuits.handler("_disconnect")
    def _on_disconnect(self, sock: socket.socket) -> None:
        connection = self._connections.get(sock)
        if connection is None:
            return
        if connection.is_open:
            self.end_connection(sock, "closed by peer")
        else:
            self._finish_connect(sock, connection)
            self.end_connection(sock, "connect failed")


class _Echo:
    def on_open(self, connection: Connection) -> None:
        pass

    def on_data(self, connection: Connection, data: bytes) -> None:
        connection.send(data)

    def on_drained(self, connection: Connection) -> None:
        pass

    def on_closed(self, connection: Connection, reason: str) -> None:
        pass


if __name__ == "__main__":
    timers = timer.TimerService()
    transport = Transport(timers).register(timers)
    print(transport.listen(("127.0.0.1", 0), lambda peer: _Echo()))
    timers.subscribe_once(10.0, lambda: timers.stop())
    timers.run()
