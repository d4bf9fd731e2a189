"""Manages non-blocking TCP connections on the circuits loop."""

import contextlib
import enum
import errno
import os
import select
import socket
import struct
from collections.abc import Callable
from typing import Protocol

import circuits

from clementinewood import event as log_event
from clementinewood import timer

RECEIVE_BYTES = 65536
DEFAULT_WRITE_LIMIT = 1 << 20
"""Bytes buffered for a slow reader before the connection is aborted."""

LINGER_SECONDS = 2.0
LINGER_BYTES = 1 << 20
"""Input discarded after a close; a reset would destroy the last response.

Beyond this, or after `LINGER_SECONDS`, the connection is closed.
"""

MAX_BACKLOG = 1024
ACCEPTS_PER_EVENT = 64
ACCEPT_RETRY_SECONDS = 0.1
"""Pause after descriptors ran out; polling the listener would spin."""

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of SO_LINGER under which a close discards what the kernel has not
delivered yet, and sends a reset."""

_POLL_BATCH = 256
_IN_PROGRESS = (errno.EINPROGRESS, errno.EWOULDBLOCK, errno.EALREADY)
_EXHAUSTED = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
_READABLE = select.EPOLLIN | select.EPOLLRDHUP
_ENDED = select.EPOLLERR | select.EPOLLHUP


class Receiver(Protocol):
    """Receives the events of one connection, on the loop."""

    def on_open(self, connection: "Connection") -> None:
        """Called once, when the connection is established."""

    def on_data(self, connection: "Connection", data: bytes) -> None:
        """Called with received bytes, which are never empty."""

    def on_drained(self, connection: "Connection") -> None:
        """Called when the write buffer becomes empty."""

    def on_closed(self, connection: "Connection", reason: str) -> None:
        """Called once, when the connection has ended or failed to open."""


Accept = Callable[[tuple[str, int]], Receiver | None]


class _State(enum.Enum):
    CONNECTING = enum.auto()
    OPEN = enum.auto()
    FLUSHING = enum.auto()
    LINGERING = enum.auto()
    CLOSED = enum.auto()


class Connection:
    """One TCP connection.

    Args:
        transport: The component that polls the socket.
        sock: A non-blocking socket, or None if none could be created.
        receiver: Gets the events of this connection.
        peer: IP address and port of the other side.
        write_limit: Bytes that may be buffered before the connection is
            aborted.
        accepted: Whether the peer opened the connection. Such a peer may close
            its sending side first and still gets the buffered bytes.
    """

    __slots__ = (
        "_accepted",
        "_buffer",
        "_discarded",
        "_fd",
        "_mask",
        "_reading",
        "_sock",
        "_state",
        "_timeout",
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
        sock: socket.socket | None,
        receiver: Receiver,
        *,
        peer: tuple[str, int],
        write_limit: int = DEFAULT_WRITE_LIMIT,
        accepted: bool = False,
    ) -> None:
        self._transport = transport
        self._sock = sock
        self._fd = -1 if sock is None else sock.fileno()
        self._mask = 0
        self._buffer = bytearray()
        self._state = _State.CONNECTING
        self._timeout: timer.Subscription | None = None
        self._discarded = 0
        self._reading = False
        self._accepted = accepted
        self._write_limit = write_limit
        self.is_open = False
        self.peer = peer
        self.receiver = receiver
        self.sent_bytes = 0

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes that wait to be sent."""
        return len(self._buffer)

    @property
    def is_closed(self) -> bool:
        """Whether the connection has ended."""
        return self._state is _State.CLOSED

    def send(self, data: bytes) -> bool:
        """Sends `data`, buffering the bytes that the kernel does not accept.

        Returns:
            False if the connection is closed, failed, or was aborted because
            its write buffer would exceed the limit.
        """
        if not self.is_open:
            return False
        sent = 0
        if not self._buffer:
            sent = self._send_now(data)
            if sent < 0:
                return False
            if sent == len(data):
                return True
        if len(self._buffer) + len(data) - sent > self._write_limit:
            self.abort("write buffer over its limit")
            return False
        self._buffer += memoryview(data)[sent:]
        self._transport.buffered_bytes += len(data) - sent
        self._update_mask()
        return True

    def pause_reading(self) -> None:
        """Stops reading, so that TCP flow control slows the peer down."""
        if self._reading:
            self._reading = False
            self._update_mask()

    def resume_reading(self) -> None:
        """Resumes reading after `pause_reading`."""
        if self.is_open and not self._reading:
            self._reading = True
            self._update_mask()

    def has_input(self) -> bool:
        """Whether bytes, an end of stream or an error wait to be read."""
        if self._sock is None or self._state is not _State.OPEN:
            return True
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def close(self) -> None:
        """Sends buffered bytes, then closes the connection gracefully.

        Closing a socket with unread input makes the kernel send a reset, which
        destroys a response that the peer has not read yet. So only the sending
        side is closed, and input is discarded until the peer closes.
        """
        if self._state is _State.CONNECTING:
            self.abort("closed")
        elif self._state is _State.OPEN:
            self.is_open = False
            self._state = _State.FLUSHING
            if self._buffer:
                self._update_mask()
            else:
                self._linger()

    def abort(self, reason: str) -> None:
        """Closes the connection now and drops buffered bytes."""
        self._transport.end_connection(self, reason)

    def reset(self, reason: str) -> None:
        """Closes the connection now; bytes on their way are not sent again.

        After a plain close the kernel goes on sending what the peer has not
        acknowledged, for minutes if the network is partitioned.
        """
        if self._sock is not None:
            # It may be ended by the peer already.
            with contextlib.suppress(OSError):
                self._sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
                )
        self.abort(reason)

    def handle_events(self, events: int) -> None:
        """Handles `events`, the epoll mask reported for this connection."""
        match self._state:
            case _State.OPEN:
                if events & select.EPOLLOUT:
                    self._flush()
                if self.is_open and events & (_READABLE | _ENDED):
                    self._receive(events)
            case _State.CONNECTING:
                self._finish_connect()
            case _State.FLUSHING:
                if events & _ENDED:
                    self.abort("closed by peer")
                else:
                    self._flush()
            case _State.LINGERING:
                self._discard_input()

    def start_connect(self, timeout: timer.Subscription) -> None:
        """Waits for the socket to become writable or for `timeout`."""
        self._timeout = timeout
        self._update_mask()

    def open(self) -> None:
        """Marks the connection as established and notifies the receiver."""
        assert self._sock is not None
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._state = _State.OPEN
        self.is_open = True
        self._reading = True
        self._update_mask()
        self.receiver.on_open(self)

    def release(self) -> socket.socket | None:
        """Marks the connection as ended; returns the socket to close."""
        self._state = _State.CLOSED
        self.is_open = False
        self._transport.buffered_bytes -= len(self._buffer)
        self._buffer.clear()
        if self._timeout is not None:
            self._timeout.cancel()
            self._timeout = None
        self._update_mask()
        sock, self._sock = self._sock, None
        return sock

    def _update_mask(self) -> None:
        match self._state:
            case _State.OPEN:
                mask = select.EPOLLRDHUP
                if self._reading:
                    mask |= select.EPOLLIN
                if self._buffer:
                    mask |= select.EPOLLOUT
            case _State.CONNECTING | _State.FLUSHING:
                mask = select.EPOLLOUT
            case _State.LINGERING:
                mask = _READABLE
            case _:
                mask = 0
        if mask != self._mask:
            self._transport.watch(self, self._fd, self._mask, mask)
            self._mask = mask

    def _send_now(self, data: bytes | bytearray) -> int:
        assert self._sock is not None
        try:
            sent = self._sock.send(data)
        except BlockingIOError:
            return 0
        except OSError as error:
            self.abort(f"send failed: {error.strerror}")
            return -1
        self.sent_bytes += sent
        return sent

    def _flush(self) -> None:
        if self._buffer:
            sent = self._send_now(self._buffer)
            if sent < 0:
                return
            del self._buffer[:sent]
            self._transport.buffered_bytes -= sent
            if self._buffer:
                return
        if self._state is _State.FLUSHING:
            self._linger()
            return
        self._update_mask()
        self.receiver.on_drained(self)

    def _receive(self, events: int) -> None:
        assert self._sock is not None
        if not self._reading:
            self._end_by_peer("closed by peer")
            return
        try:
            data = self._sock.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self.abort(f"receive failed: {error.strerror}")
            return
        if data:
            self.receiver.on_data(self, data)
        elif events & _ENDED:
            self.abort("closed by peer")
        else:
            self._end_by_peer("closed by peer")

    def _end_by_peer(self, reason: str) -> None:
        if self._accepted and self._buffer:
            self.close()
        else:
            self.abort(reason)

    def _linger(self) -> None:
        assert self._sock is not None
        self._state = _State.LINGERING
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.abort("closed")
            return
        self._update_mask()
        self._timeout = self._transport.timers.subscribe_once(
            LINGER_SECONDS, lambda: self.abort("closed")
        )

    def _discard_input(self) -> None:
        assert self._sock is not None
        try:
            data = self._sock.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        self._discarded += len(data)
        if not data or self._discarded > LINGER_BYTES:
            self.abort("closed")

    def _finish_connect(self) -> None:
        assert self._sock is not None
        code = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            name = errno.errorcode.get(code, str(code))
            self.abort(f"connect failed: {name}")
            return
        if self._timeout is not None:
            self._timeout.cancel()
            self._timeout = None
        self.open()


class _Listener:
    """One listening socket."""

    def __init__(
        self,
        transport: "Transport",
        sock: socket.socket,
        accept: Accept,
        write_limit: int,
    ) -> None:
        self.sock = sock
        self._write_limit = write_limit
        self.address: tuple[str, int] = sock.getsockname()
        self._transport = transport
        self._accept = accept

    def abort(self, reason: str) -> None:
        """Does nothing: one failed `accept` must not close the listener."""

    def handle_events(self, events: int) -> None:
        """Accepts up to `ACCEPTS_PER_EVENT` connections per poll."""
        self.accept_waiting(ACCEPTS_PER_EVENT)

    def accept_waiting(self, count: int) -> None:
        """Accepts up to `count` connections."""
        for _ in range(count):
            try:
                sock, peer = self.sock.accept()
            except BlockingIOError:
                return
            except OSError as error:
                if error.errno in _EXHAUSTED:
                    self._transport.pause_listener(self)
                    return
                # The peer has already disconnected.
                continue
            try:
                receiver = self._accept(peer)
            except Exception:
                sock.close()
                raise
            if receiver is None:
                sock.close()
                continue
            sock.setblocking(False)
            self._transport.adopt(sock, receiver, peer, self._write_limit)


class _Writer:
    """A descriptor of another part that waits until it accepts output."""

    def __init__(
        self, transport: "Transport", fd: int, callback: Callable[[], None]
    ) -> None:
        self._transport = transport
        self._fd = fd
        self._callback = callback

    def handle_events(self, events: int) -> None:
        """Calls back; it writes and notices errors by itself."""
        self._callback()

    def abort(self, reason: str) -> None:
        """Ends the wait: a callback that fails would be called again."""
        self._transport.remove_writer(self._fd)


class Transport(circuits.BaseComponent):
    """Owns every socket of the process.

    circuits' own sockets buffer writes without a limit and spin while
    connecting, and its pollers fire an event object for each ready socket and
    search lists for each change of interest. This component polls with epoll
    in the circuits loop and calls connections directly.

    Args:
        timers: Timer service for timeouts of connections.
    """

    channel = "transport"

    def __init__(self, timers: timer.TimerService) -> None:
        super().__init__()
        self.failures = 0
        self.buffered_bytes = 0
        self.timers = timers
        self._epoll = select.epoll()
        self._polled: dict[int, Connection | _Listener | _Writer] = {}
        self._listeners: list[_Listener] = []
        self._connections: set[Connection] = set()
        self._in_batch = False
        self._ended_sockets: list[socket.socket] = []
        self._polling = False
        self._wake_read, self._wake_write = os.pipe()
        os.set_blocking(self._wake_read, False)
        os.set_blocking(self._wake_write, False)
        self._epoll.register(self._wake_read, select.EPOLLIN)

    def listen(
        self,
        address: tuple[str, int],
        accept: Accept,
        *,
        backlog: int = MAX_BACKLOG,
        write_limit: int = DEFAULT_WRITE_LIMIT,
    ) -> tuple[str, int]:
        """Accepts connections on `address`.

        Args:
            address: IP address and port; port 0 picks a free one.
            accept: Returns the receiver for a peer address, or None to refuse.
            backlog: Connections that may wait in the kernel to be accepted.
            write_limit: Bytes that may be buffered for a slow peer.

        Returns:
            The address bound.

        Raises:
            OSError: The address can't be bound.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.setblocking(False)
            sock.bind(address)
            sock.listen(backlog)
        except OSError:
            sock.close()
            raise
        listener = _Listener(self, sock, accept, write_limit)
        self._listeners.append(listener)
        self._poll_listener(listener)
        return listener.address

    def close_listener(self, address: tuple[str, int]) -> None:
        """Stops accepting on `address`; open connections stay.

        Connections that wait in the kernel are accepted first, since closing
        the listener would reset them.
        """
        for listener in self._listeners[:]:
            if listener.address == address:
                self._listeners.remove(listener)
                try:
                    listener.accept_waiting(MAX_BACKLOG)
                except Exception as error:
                    self._record_failure(listener, error)
                if self._polled.pop(listener.sock.fileno(), None):
                    self._epoll.unregister(listener.sock)
                self._dispose(listener.sock)

    def close_listeners(self) -> None:
        """Stops accepting everywhere; open connections stay."""
        for listener in self._listeners[:]:
            self.close_listener(listener.address)

    def connect(
        self,
        address: tuple[str, int],
        receiver: Receiver,
        *,
        timeout: float = 1.0,
        write_limit: int = DEFAULT_WRITE_LIMIT,
    ) -> Connection:
        """Opens a connection; `receiver` is notified of the result later.

        Args:
            address: IP address and port.
            receiver: Gets `on_open`, or `on_closed` if it fails.
            timeout: Seconds until the attempt times out.
            write_limit: Bytes that may be buffered for a slow peer.
        """
        code = 0
        sock: socket.socket | None = None
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            sock.setblocking(False)
            # The look-up of a host name would block; addresses are numbers.
            socket.inet_pton(socket.AF_INET, address[0])
            code = sock.connect_ex(address)
        except OSError as error:
            code = error.errno or errno.EIO
        connection = Connection(
            self, sock, receiver, peer=address, write_limit=write_limit
        )
        self._connections.add(connection)
        if code not in (0, *_IN_PROGRESS):
            name = errno.errorcode.get(code, str(code))
            self.timers.subscribe_once(
                0.0, lambda: connection.abort(f"connect failed: {name}")
            )
        else:
            connection.start_connect(
                self.timers.subscribe_once(
                    timeout, lambda: connection.abort("connect timed out")
                )
            )
        return connection

    def close_all(self) -> None:
        """Closes every connection and the poller; it can't be used again."""
        self.close_listeners()
        for connection in list(self._connections):
            connection.abort("transport closed")
        self._epoll.close()
        os.close(self._wake_read)
        os.close(self._wake_write)

    def adopt(
        self,
        sock: socket.socket,
        receiver: Receiver,
        peer: tuple[str, int],
        write_limit: int,
    ) -> None:
        """Opens a connection on an accepted socket."""
        connection = Connection(
            self,
            sock,
            receiver,
            peer=peer,
            write_limit=write_limit,
            accepted=True,
        )
        self._connections.add(connection)
        try:
            connection.open()
        except Exception as error:
            self._record_failure(connection, error)

    def watch(
        self, connection: Connection, fd: int, old: int, new: int
    ) -> None:
        """Changes the epoll mask of `connection` from `old` to `new`."""
        if not new:
            self._epoll.unregister(fd)
            del self._polled[fd]
        elif old:
            self._epoll.modify(fd, new)
        else:
            self._epoll.register(fd, new)
            self._polled[fd] = connection

    def add_writer(self, fd: int, callback: Callable[[], None]) -> None:
        """Calls `callback` whenever `fd` accepts output or has failed.

        Raises:
            OSError: `fd` can't be polled, such as that of a regular file.
        """
        self._epoll.register(fd, select.EPOLLOUT)
        self._polled[fd] = _Writer(self, fd, callback)

    def remove_writer(self, fd: int) -> None:
        """Ends `add_writer`."""
        if self._polled.pop(fd, None) is not None:
            self._epoll.unregister(fd)

    def end_connection(self, connection: Connection, reason: str) -> None:
        """Closes `connection` and notifies its receiver, once."""
        if connection.is_closed:
            return
        sock = connection.release()
        self._connections.discard(connection)
        if sock is not None:
            self._dispose(sock)
        try:
            connection.receiver.on_closed(connection, reason)
        except Exception as error:
            self._record_failure(connection, error)

    def pause_listener(self, listener: _Listener) -> None:
        """Stops polling `listener` for `ACCEPT_RETRY_SECONDS`."""
        if self._polled.pop(listener.sock.fileno(), None):
            self._epoll.unregister(listener.sock)
            self.timers.subscribe_once(
                ACCEPT_RETRY_SECONDS, lambda: self._resume_listener(listener)
            )

    def poll(self, timeout: float | None) -> int:
        """Waits up to `timeout` seconds and handles ready sockets.

        Returns:
            The number of sockets that were ready.
        """
        self._polling = True
        try:
            ready = self._epoll.poll(timeout, _POLL_BATCH)
        finally:
            self._polling = False
        if ready:
            self._handle_batch(ready)
        return len(ready)

    def resume(self) -> None:
        """Wakes up the poll; circuits calls it when an event is fired."""
        if self._polling:
            with contextlib.suppress(BlockingIOError):
                os.write(self._wake_write, b"\0")

    def _resume_listener(self, listener: _Listener) -> None:
        if listener in self._listeners:
            self._poll_listener(listener)

    def _poll_listener(self, listener: _Listener) -> None:
        fd = listener.sock.fileno()
        self._polled[fd] = listener
        self._epoll.register(fd, select.EPOLLIN)

    def _dispose(self, sock: socket.socket) -> None:
        """Closes `sock`, after the current batch of events if there is one.

        A socket opened in the same batch could reuse the descriptor of a
        closed one and receive an event that was meant for it.
        """
        if self._in_batch:
            self._ended_sockets.append(sock)
        else:
            sock.close()

    def _record_failure(
        self, target: "Connection | _Listener | _Writer", error: Exception
    ) -> None:
        """Counts and logs an exception, and ends its connection.

        circuits only prints the exception of a handler and continues, so a
        faulty receiver would appear healthy.
        """
        self.failures += 1
        log_event.emit(
            log_event.Event.HANDLER_FAILED, exception=error, where="connection"
        )
        target.abort("handler failed")

    def _guard(
        self, target: "Connection | _Listener | _Writer", events: int
    ) -> None:
        try:
            with self.timers.measure_turn("connection"):
                target.handle_events(events)
        except Exception as error:
            self._record_failure(target, error)

    @circuits.handler("generate_events", priority=-9)
    def _on_generate_events(self, event: circuits.Event) -> None:
        event.stop()
        left = event.time_left
        self.poll(None if left < 0 else left)
        event.reduce_time_left(0)

    def _handle_batch(self, ready: list[tuple[int, int]]) -> None:
        self._in_batch = True
        for fd, events in ready:
            if fd == self._wake_read:
                with contextlib.suppress(BlockingIOError):
                    os.read(fd, 4096)
                continue
            target = self._polled.get(fd)
            if target is not None:
                self._guard(target, events)
        self._in_batch = False
        if self._ended_sockets:
            for sock in self._ended_sockets:
                sock.close()
            self._ended_sockets.clear()


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
