"""Simulates an upstream server, with switches that inject faults."""

import argparse
import collections
import dataclasses
import json
import math
import time
from collections.abc import Callable, Sequence
from typing import Any, cast

from clementinewood import edge, timer, transport, verdict

HISTORY_PATH = "/test/history"
FAULTS_PATH = "/test/faults"
SILENCE_PATH = "/test/silence"

MAX_HISTORY = 200_000
"""Runs kept in memory, enough for a test of several minutes."""


@dataclasses.dataclass(slots=True)
class Faults:
    """Injected faults; each applies to requests while it is set.

    Attributes:
        fail: Start every request and respond 500 at once (F6).
        short: Send half of each response's bytes, then close.
        wrong_id: Echo a request id that was never sent.
        garbage: Send bytes that are not HTTP instead of the response.
        late_seconds: Delay in seconds between the end of a run and its
            response.
        close_after_start: Close the connection when the run has started.
        leaving: Close each connection after its response.
        refuse: Respond 503 without running the request.
    """

    fail: bool = False
    short: bool = False
    wrong_id: bool = False
    garbage: bool = False
    late_seconds: float = 0.0
    close_after_start: bool = False
    leaving: bool = False
    refuse: bool = False


@dataclasses.dataclass(slots=True)
class Run:
    """One request that was started.

    Attributes:
        request_id: Its `X-Request-Id`, or an empty string.
        method: HTTP method.
        target: Request target.
        started: Wall-clock time of the start, in seconds.
        ended: Wall-clock time of the end, in seconds; None while it runs.
        result: `ran`, `failed`, `stopped` at its run limit or `cancelled`.
    """

    request_id: str
    method: str
    target: str
    started: float
    ended: float | None = None
    result: str = ""


def _read_number(request: edge.HttpRequest, name: bytes) -> float:
    """Returns the number in header `name`, or infinity without it.

    Raises:
        ValueError: It is not a number or is negative.
    """
    number = float(request.find_header(name) or "inf")
    if not number >= 0:
        raise ValueError(f"{name!r} is {number}, not a number of at least 0")
    return number


class _FaultyConnection:
    """A caller's connection on which response faults are injected."""

    def __init__(self, minion: "Minion", receiver: transport.Receiver) -> None:
        self._minion = minion
        self._receiver = receiver
        self._real: transport.Connection | None = None
        self.silent = False

    def __getattr__(self, name: str) -> Any:
        return getattr(self._real, name)

    def _as_connection(self) -> transport.Connection:
        return cast(transport.Connection, self)

    def on_open(self, connection: transport.Connection) -> None:
        self._real = connection
        self._minion.open_connections.add(self)
        self._minion.accepted += 1
        self._receiver.on_open(self._as_connection())

    def on_data(self, connection: transport.Connection, data: bytes) -> None:
        if not self.silent:
            self._receiver.on_data(self._as_connection(), data)

    def on_drained(self, connection: transport.Connection) -> None:
        self._receiver.on_drained(self._as_connection())

    def on_closed(self, connection: transport.Connection, reason: str) -> None:
        self._minion.open_connections.discard(self)
        self._receiver.on_closed(self._as_connection(), reason)

    def send(self, data: bytes) -> bool:
        assert self._real is not None
        if self.silent:
            return True
        faults = self._minion.faults
        if self._minion.is_test_response:
            return self._real.send(data)
        if faults.garbage:
            sent = self._real.send(b"\x16\x03\x01\x02garbage\r\n\r\n")
            self._real.close()
            return sent
        if faults.short:
            sent = self._real.send(data[: len(data) // 2])
            self._real.close()
            return sent
        return self._real.send(data)

    def close(self) -> None:
        assert self._real is not None
        if not self.silent:
            self._real.close()


class _FaultySockets:
    """Wraps the edge's connections for the injection of faults."""

    def __init__(self, minion: "Minion", sockets: transport.Transport) -> None:
        self._minion = minion
        self._sockets = sockets

    def listen(
        self,
        address: tuple[str, int],
        accept: transport.Accept,
        *,
        write_limit: int,
    ) -> tuple[str, int]:
        def wrap(peer: tuple[str, int]) -> transport.Receiver | None:
            receiver = accept(peer)
            if receiver is None:
                return None
            return _FaultyConnection(self._minion, receiver)

        return self._sockets.listen(address, wrap, write_limit=write_limit)

    def close_listener(self, address: tuple[str, int]) -> None:
        self._sockets.close_listener(address)

    @property
    def buffered_bytes(self) -> int:
        return self._sockets.buffered_bytes


class Minion:
    """Serves requests as the platform's upstream servers do.

    A request runs for `Run-Ms` milliseconds (a test header) or else
    `run_seconds`, and its response echoes its body.

    Args:
        sockets: Owns the sockets.
        timers: Ends runs.
        name: Sent in the `Minion` header of each response.
        slots: Requests that run at a time; more are refused as not run.
        connections: Connections open at a time.
        run_seconds: Run time in seconds of requests without `Run-Ms`.
        cancel_on_disconnect: Whether a run ends when its caller disconnects.
        wall_clock: Returns wall-clock time in seconds.
    """

    def __init__(
        self,
        sockets: transport.Transport,
        timers: timer.TimerService,
        *,
        name: str = "minion",
        slots: int = 8,
        connections: int = 64,
        run_seconds: float = 0.0,
        cancel_on_disconnect: bool = True,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self.name = name
        self.faults = Faults()
        self.history: collections.deque[Run] = collections.deque(
            maxlen=MAX_HISTORY
        )
        self.running = 0
        self.refused = 0
        self.accepted = 0
        self.peak_running = 0
        self.is_test_response = False
        self.open_connections: set[_FaultyConnection] = set()
        self._slots = slots
        self._run_seconds = run_seconds
        self._cancel_on_disconnect = cancel_on_disconnect
        self._timers = timers
        self._wall_clock = wall_clock
        self.edge = edge.Edge(
            cast(transport.Transport, _FaultySockets(self, sockets)),
            timers,
            self,
            limits=edge.EdgeLimits(
                connections=connections, connections_per_address=connections
            ),
            clock=timers.clock,
        )

    def listen(self, address: tuple[str, int]) -> tuple[str, int]:
        """Accepts connections on `address` and returns the address bound."""
        return self.edge.listen(address)

    def silence_open_connections(self) -> None:
        """Makes every open connection unresponsive; new ones work."""
        for connection in self.open_connections:
            connection.silent = True

    def handle_exchange(self, exchange: edge.Exchange) -> None:
        """Runs, refuses or fails one request."""
        request = exchange.request
        if request.target.startswith("/test/"):
            self._handle_test(exchange)
            return
        refusal = self._find_refusal(request)
        if refusal is not None:
            status, detail = refusal
            self.refused += 1
            self._respond(exchange, status, verdict.Execution.NOT_RUN, detail)
            return
        self._start(exchange)

    def render_refusal(
        self, refusal: verdict.Refusal
    ) -> tuple[int, Sequence[edge.Header], bytes]:
        """Renders a refusal by the edge."""
        headers = [(b"x-execution", refusal.execution.value.encode())]
        return refusal.status, headers, refusal.reason.value.encode()

    def _find_refusal(
        self, request: edge.HttpRequest
    ) -> tuple[int, bytes] | None:
        try:
            start_before = _read_number(request, b"x-start-before")
            _read_number(request, b"x-run-limit-ms")
            _read_number(request, b"run-ms")
        except ValueError:
            return 400, b"bad number\n"
        if self.faults.refuse:
            return 503, b"refused\n"
        if self._wall_clock() >= start_before:
            return 503, b"too late to start\n"
        if self.running >= self._slots:
            return 503, b"no free slot\n"
        return None

    def _start(self, exchange: edge.Exchange) -> None:
        request = exchange.request
        run = Run(
            request.find_header(b"x-request-id") or "",
            request.method,
            request.target,
            self._wall_clock(),
        )
        self.history.append(run)
        self.running += 1
        self.peak_running = max(self.peak_running, self.running)
        seconds = _read_number(request, b"run-ms") / 1000
        if math.isinf(seconds):
            seconds = self._run_seconds
        limit = _read_number(request, b"x-run-limit-ms") / 1000
        result, status = "ran", 200
        if self.faults.fail:
            seconds, result, status = 0.0, "failed", 500
        elif limit < seconds:
            seconds, result, status = limit, "stopped", 504
        if self.faults.close_after_start:
            self._close_connection(request.peer)
        if seconds <= 0.0:
            self._finish(exchange, run, result, status)
            return
        pending = self._timers.subscribe_once(
            seconds, lambda: self._finish(exchange, run, result, status)
        )

        def cancel() -> None:
            pending.cancel()
            self._end(run, "cancelled")

        if self._cancel_on_disconnect:
            exchange.on_cancel = cancel

    def _end(self, run: Run, result: str) -> None:
        if run.ended is None:
            run.ended = self._wall_clock()
            run.result = result
            self.running -= 1

    def _finish(
        self, exchange: edge.Exchange, run: Run, result: str, status: int
    ) -> None:
        self._end(run, result)
        body = exchange.request.body if status == 200 else result.encode()
        execution = (
            verdict.Execution.MAY_HAVE_RUN
            if result == "stopped"
            else verdict.Execution.RAN
        )
        if self.faults.late_seconds:
            self._timers.subscribe_once(
                self.faults.late_seconds,
                lambda: self._respond(exchange, status, execution, body),
            )
        else:
            self._respond(exchange, status, execution, body)

    def _respond(
        self,
        exchange: edge.Exchange,
        status: int,
        execution: verdict.Execution,
        body: bytes,
    ) -> None:
        headers = [
            (b"content-type", b"application/octet-stream"),
            (b"minion", self.name.encode()),
            (b"x-execution", execution.value.encode()),
        ]
        request_id = exchange.request.find_header(b"x-request-id")
        if self.faults.wrong_id:
            request_id = "0" * 32
        if request_id is not None:
            headers.append((b"x-request-id", request_id.encode("latin-1")))
        if self.faults.leaving:
            headers.append((b"connection", b"close"))
        exchange.respond(status, headers, body)

    def _close_connection(self, peer: tuple[str, int]) -> None:
        for connection in list(self.open_connections):
            if connection.peer == peer:
                connection.abort("closed by a fault switch")

    def _handle_test(self, exchange: edge.Exchange) -> None:
        """Serves the test paths, to which no faults apply."""
        status, answer = 200, {}
        match exchange.request.method, exchange.request.target:
            case "GET", path if path == HISTORY_PATH:
                answer = {
                    "running": self.running,
                    "peak_running": self.peak_running,
                    "refused": self.refused,
                    "runs": [dataclasses.asdict(run) for run in self.history],
                }
            case "POST", path if path == FAULTS_PATH:
                try:
                    self.faults = Faults(**json.loads(exchange.request.body))
                except (ValueError, TypeError) as error:
                    status, answer = 400, {"error": str(error)}
            case "POST", path if path == SILENCE_PATH:
                # The response to this request is lost too.
                self.silence_open_connections()
            case _:
                status = 404
        self.is_test_response = True
        try:
            exchange.respond(
                status,
                [(b"content-type", b"application/json")],
                json.dumps(answer).encode(),
            )
        finally:
            self.is_test_response = False


def main() -> None:
    """Serves until interrupted; prints the address bound."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--name", default="minion")
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--connections", type=int, default=64)
    parser.add_argument("--run-ms", type=float, default=0.0)
    options = parser.parse_args()
    timers = timer.TimerService()
    sockets = transport.Transport(timers).register(timers)
    minion = Minion(
        sockets,
        timers,
        name=options.name,
        slots=options.slots,
        connections=options.connections,
        run_seconds=options.run_ms / 1000,
    )
    host, port = minion.listen((options.host, options.port))
    print(json.dumps({"host": host, "port": port}), flush=True)
    timers.run()


if __name__ == "__main__":
    main()
