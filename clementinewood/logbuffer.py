"""Writes log lines to a descriptor without blocking, over a bounded buffer.

Load pattern: the reader of the log is slow or stands still while every request
adds lines. The one thread of the process must not wait for it.
"""

import atexit
import collections
import contextlib
import enum
import fcntl
import io
import itertools
import os
import select
import socket
import stat
import sys
import time
from collections.abc import Callable, Mapping
from typing import Protocol

DEFAULT_LIMIT = 1 << 20
"""Bytes of lines that wait for the reader: at most 1 MiB by specification."""

ERROR_STREAM_LIMIT = 1 << 16
"""Bytes that wait for the reader of standard error, which gets little more
than tracebacks."""

LINE_OVERHEAD_BYTES = 128
"""Memory of a queued line besides its bytes; counted so that many short lines
stay within the limit as well."""

FLUSH_BYTES = 1 << 16
"""Bytes written for one event of the loop, so that a long backlog does not
delay requests once it is read again."""

RETRY_SECONDS = 1.0
"""Time until a descriptor that failed is tried again: a pipe may get another
reader, and a full disk may get room."""

CLOSE_SECONDS = 0.2
"""Time in which `close` writes what waits. Two streams take 0.4 s at most,
which is less than the 0.6 s that a graceful stop leaves before SIGKILL."""


class Rank(enum.IntEnum):
    """Importance of a line; lines of the lowest rank are dropped first."""

    DEBUG = 0
    INFO = 1
    WARNING = 2
    DECISION = 3
    ERROR = 4


class LineQueue:
    """Lines that wait to be written, in order, within a limit of bytes.

    When it is full, the oldest line of the lowest rank is dropped; that may be
    the new line. A line that is partly written is never dropped.

    Args:
        limit: Bytes of lines, `LINE_OVERHEAD_BYTES` for each included.

    Attributes:
        limit: As in `Args`.
        size: Bytes that count towards the limit now.
        dropped: Lines dropped so far, by rank.
    """

    def __init__(self, limit: int = DEFAULT_LIMIT) -> None:
        self.limit = limit
        self.size = 0
        self.dropped: collections.Counter[Rank] = collections.Counter()
        self._order = itertools.count()
        self._lines: dict[Rank, collections.deque[tuple[int, bytes]]] = {
            rank: collections.deque() for rank in Rank
        }
        self._rest = b""

    def __bool__(self) -> bool:
        return self.size > 0

    def put(self, rank: Rank, line: bytes) -> None:
        """Adds `line`; drops lines of the lowest rank if there is no room."""
        cost = len(line) + LINE_OVERHEAD_BYTES
        while self.size + cost > self.limit:
            lowest = next((item for item in Rank if self._lines[item]), None)
            if lowest is None or lowest > rank or cost > self.limit:
                self.dropped[rank] += 1
                return
            _, oldest = self._lines[lowest].popleft()
            self.size -= len(oldest) + LINE_OVERHEAD_BYTES
            self.dropped[lowest] += 1
        self._lines[rank].append((next(self._order), line))
        self.size += cost

    def peek(self) -> bytes:
        """Returns the bytes of one line to write next; empty if none wait."""
        if self._rest:
            return self._rest
        oldest = self._find_oldest()
        return b"" if oldest is None else oldest[0][1]

    def advance(self, count: int) -> None:
        """Removes the first `count` bytes of what `peek` returned."""
        if not self._rest:
            oldest = self._find_oldest()
            if oldest is None or count == 0:
                return
            self._rest = oldest.popleft()[1]
        self._rest = self._rest[count:]
        self.size -= count
        if not self._rest:
            self.size -= LINE_OVERHEAD_BYTES

    def _find_oldest(self) -> collections.deque[tuple[int, bytes]] | None:
        waiting = [lines for lines in self._lines.values() if lines]
        return min(waiting, key=lambda lines: lines[0][0], default=None)


class Poller(Protocol):
    """Calls back when a descriptor accepts output; see `Transport`."""

    def add_writer(self, fd: int, callback: Callable[[], None]) -> None:
        """Calls `callback` whenever `fd` accepts output or has failed."""

    def remove_writer(self, fd: int) -> None:
        """Ends `add_writer`."""


class Timers(Protocol):
    """Calls back after a time; see `TimerService`."""

    def subscribe_once(
        self, delay: float, callback: Callable[[], None]
    ) -> object:
        """Calls `callback` once, `delay` seconds from now."""


class _Wait(enum.Enum):
    NONE = enum.auto()
    OUTPUT = enum.auto()
    RETRY = enum.auto()


class LogOutput:
    """Writes lines to a descriptor and queues those that it does not accept.

    `O_NONBLOCK` belongs to the open file, which other processes may share, and
    would make their writes fail. So a pipe or terminal is opened again through
    /proc, a socket is written to with a flag for each call, and a regular file
    is left as it is. Only where the system forbids to open a pipe again (it
    was created by another user) is the shared open file switched, until
    `close`.

    Args:
        fd: Descriptor of the stream; it stays open.
        limit: As of `LineQueue`.

    Attributes:
        on_dropped: Called on the event loop with the numbers of lines dropped
            since its last call, by rank, once the output is read again.
    """

    def __init__(self, fd: int, *, limit: int = DEFAULT_LIMIT) -> None:
        self.on_dropped: Callable[[Mapping[Rank, int]], None] = lambda _: None
        self._queue = LineQueue(limit)
        self._reported: collections.Counter[Rank] = collections.Counter()
        self._socket: socket.socket | None = None
        self._restored_fd: int | None = None
        self._poller: Poller | None = None
        self._timers: Timers | None = None
        self._wait = _Wait.NONE
        self._closed = False
        self._fd = self._open(fd)
        atexit.register(self.close)

    @property
    def buffered_bytes(self) -> int:
        """Bytes that wait to be written."""
        return self._queue.size

    @property
    def dropped(self) -> Mapping[Rank, int]:
        """Number of lines dropped so far, by rank."""
        return self._queue.dropped

    def attach(self, poller: Poller, timers: Timers) -> None:
        """Lets the event loop write the lines that wait."""
        self._poller, self._timers = poller, timers
        self._resume()

    def write(self, rank: Rank, line: bytes) -> None:
        """Writes `line` now if none wait before it, or queues it."""
        if self._closed:
            return
        waited = bool(self._queue)
        self._queue.put(rank, line)
        if self._poller is None or not waited:
            self._set_wait(self._flush())

    def close(self) -> None:
        """Writes what waits for at most `CLOSE_SECONDS`, and ends."""
        if self._closed:
            return
        self._set_wait(_Wait.NONE)
        self._poller = None
        poll = select.poll()
        poll.register(self._fd, select.POLLOUT)
        end = time.monotonic() + CLOSE_SECONDS
        while True:
            wait = self._flush()
            self._report_dropped()
            left = end - time.monotonic()
            if not self._queue or wait is _Wait.RETRY or left <= 0.0:
                break
            poll.poll(left * 1000.0)
        self._closed = True
        if self._restored_fd is not None:
            # It may have been closed meanwhile.
            with contextlib.suppress(OSError):
                os.set_blocking(self._restored_fd, True)
        if self._socket is not None:
            self._socket.close()
        else:
            os.close(self._fd)
        atexit.unregister(self.close)

    def _open(self, fd: int) -> int:
        mode = os.fstat(fd).st_mode
        if stat.S_ISSOCK(mode):
            self._socket = socket.socket(fileno=os.dup(fd))
            return self._socket.fileno()
        if stat.S_ISREG(mode):
            return os.dup(fd)
        kept = fcntl.fcntl(fd, fcntl.F_GETFL) & os.O_APPEND
        try:
            return os.open(
                f"/proc/self/fd/{fd}",
                os.O_WRONLY | os.O_NONBLOCK | os.O_NOCTTY | kept,
            )
        except OSError:
            if os.get_blocking(fd):
                os.set_blocking(fd, False)
                self._restored_fd = fd
            return os.dup(fd)

    def _write_now(self, data: bytes) -> int:
        if self._socket is not None:
            return self._socket.send(data, socket.MSG_DONTWAIT)
        return os.write(self._fd, data)

    def _flush(self) -> _Wait:
        """Writes lines while the descriptor accepts them.

        Each line is a write of its own: up to PIPE_BUF bytes, it is not mixed
        with lines of other processes on the same pipe.

        Returns:
            What the lines that are left wait for.
        """
        written = 0
        while self._queue and written < FLUSH_BYTES:
            try:
                count = self._write_now(self._queue.peek())
            except BlockingIOError:
                return _Wait.OUTPUT
            except OSError:
                return _Wait.RETRY
            self._queue.advance(count)
            written += count
        return _Wait.OUTPUT if self._queue else _Wait.NONE

    def _resume(self) -> None:
        self._set_wait(self._flush())
        self._report_dropped()

    def _report_dropped(self) -> None:
        """Reports dropped lines once there is room for the report."""
        if self._queue.size > self._queue.limit // 2:
            return
        new = self._queue.dropped - self._reported
        if new:
            self._reported = self._queue.dropped.copy()
            self.on_dropped(new)

    def _set_wait(self, wait: _Wait) -> None:
        if self._poller is None or self._timers is None or wait is self._wait:
            return
        if self._wait is _Wait.OUTPUT:
            self._poller.remove_writer(self._fd)
        if wait is _Wait.OUTPUT:
            try:
                self._poller.add_writer(self._fd, self._resume)
            except OSError:
                # The descriptor can't be polled.
                wait = _Wait.RETRY
        if wait is _Wait.RETRY:
            self._timers.subscribe_once(RETRY_SECONDS, self._retry)
        self._wait = wait

    def _retry(self) -> None:
        if self._wait is _Wait.RETRY:
            self._wait = _Wait.NONE
            self._resume()


class ErrorStream(io.TextIOBase):
    """Text stream for `sys.stderr` that writes to a `LogOutput`.

    Tracebacks that libraries print would block the process like log lines.

    Args:
        output: Where whole lines are written.
    """

    def __init__(self, output: LogOutput) -> None:
        super().__init__()
        self.output = output
        self._line = ""

    def writable(self) -> bool:
        """Returns True."""
        return True

    def write(self, text: str) -> int:
        """Writes the lines that `text` completes."""
        *lines, self._line = (self._line + text).split("\n")
        for line in lines:
            self.output.write(
                Rank.ERROR, f"{line}\n".encode(errors="backslashreplace")
            )
        return len(text)


def redirect_errors() -> LogOutput | None:
    """Lets `sys.stderr` write without blocking.

    Libraries that keep `sys.stderr` must be imported later.

    Returns:
        The output, to be attached to the event loop; None if the process has
        no standard error.
    """
    if sys.__stderr__ is None:
        return None
    output = LogOutput(sys.__stderr__.fileno(), limit=ERROR_STREAM_LIMIT)
    sys.stderr = ErrorStream(output)
    return output


if __name__ == "__main__":
    example = LineQueue(limit=3 * LINE_OVERHEAD_BYTES)
    for importance in (Rank.INFO, Rank.DECISION, Rank.WARNING):
        example.put(importance, f"{importance.name}\n".encode())
    print(example.peek(), dict(example.dropped))
