"""A loopback network whose event loop and clock are advanced by the test."""

import socket

import h11

from clementinewood import edge, timer, transport
from features import clock

MAX_TURNS = 4000


class Network:
    """Timers and transport; each turn runs timers, events and one poll."""

    def __init__(self):
        self.clock = clock.ManualClock(1000.0)
        self.timers = timer.TimerService(clock=self.clock)
        self.sockets = transport.Transport(self.timers).register(self.timers)
        self.turn()

    def turn(self, wait=0.0):
        self.timers.run_due()
        for task in self.timers._tasks.copy():
            self.timers.processTask(*task)
        self.timers.flush()
        return self.sockets.poll(wait)

    def turn_until(self, condition, what):
        for _ in range(MAX_TURNS):
            if condition():
                return
            self.turn(0.001)
        raise AssertionError(f"never happened: {what}")

    def settle(self):
        """Turns the loop until loopback traffic has arrived."""
        quiet = 0
        while quiet < 2:
            quiet = 0 if self.turn(0.001) else quiet + 1

    def advance(self, seconds):
        self.clock.now += seconds
        self.settle()


class Caller:
    """A plain socket whose reads keep the loop turning."""

    def __init__(self, network, address, *, receive_buffer=None):
        self.network = network
        self.socket = socket.socket()
        if receive_buffer:
            self.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer
            )
        self.socket.setblocking(False)
        self.socket.connect_ex(address)
        self.data = b""
        self.ended = False
        self.was_reset = False

    def send(self, data):
        left = data

        def step():
            nonlocal left
            try:
                left = left[self.socket.send(left) :]
            except BlockingIOError:
                pass
            except OSError:
                self.ended = self.was_reset = True
                return True
            return not left

        self.network.turn_until(step, "bytes taken by the kernel")

    def receive(self):
        try:
            part = self.socket.recv(65536)
        except BlockingIOError:
            return
        except OSError:
            self.was_reset = True
            part = b""
        self.data += part
        self.ended = self.ended or not part

    def read_until(self, condition, what):
        def step():
            self.receive()
            return condition()

        self.network.turn_until(step, what)

    def read_answers(self, count, methods=("GET",)):
        """Returns `count` answers as (status, headers, body)."""
        self.read_until(
            lambda: self.ended or len(self.parse(methods)) >= count,
            f"{count} answers in {self.data[:200]!r}",
        )
        return self.parse(methods)

    def read_end(self):
        self.read_until(lambda: self.ended, "end of the connection")

    def parse(self, methods=("GET",)):
        return parse_answers(self.data, self.ended, methods)


def parse_answers(data, ended, methods=("GET",)):
    """Parses whole answers with h11; `methods` are those of the requests."""
    answers = []
    remaining = data
    while remaining:
        parser = h11.Connection(h11.CLIENT)
        method = methods[min(len(answers), len(methods) - 1)]
        parser.send(
            h11.Request(method=method, target="/", headers=[("host", "a")])
        )
        parser.send(h11.EndOfMessage())
        parser.receive_data(remaining)
        head, body = None, b""
        while True:
            event = parser.next_event()
            match event:
                case h11.InformationalResponse():
                    continue
                case h11.Response():
                    head = event
                case h11.Data():
                    body += bytes(event.data)
                case _:
                    break
        if not isinstance(event, h11.EndOfMessage):
            if ended:
                raise AssertionError(f"cut answer: {remaining!r}")
            break
        answers.append((head.status_code, dict(head.headers), body))
        remaining = parser.trailing_data[0]
    return answers


class RecordingHandler:
    """Keeps exchanges; answers when told to, or at once with an echo."""

    def __init__(self, *, answer_at_once=True):
        self.answer_at_once = answer_at_once
        self.exchanges = []
        self.cancelled = []

    def handle_exchange(self, exchange):
        self.exchanges.append(exchange)
        exchange.on_cancel = lambda: self.cancelled.append(exchange)
        if exchange.request.target == "/crash":
            raise RuntimeError("handler fault set by the test")
        if exchange.request.target == "/split":
            exchange.respond(200, [(b"x-a", b"b\r\nx-c: d")], b"")
        elif exchange.request.target == "/length":
            exchange.respond(200, [(b"content-length", b"4321")], b"")
        elif self.answer_at_once:
            self.answer(exchange)

    def answer(self, exchange, body=None):
        request = exchange.request
        echo = f"{request.method} {request.target} ".encode() + request.body
        fields = [h for h in request.headers if h[0] == b"x-request-id"]
        exchange.respond(200, fields, echo if body is None else body)

    def render_refusal(self, refusal):
        fields = [(b"x-execution", refusal.execution.value.encode())]
        return refusal.status, fields, refusal.reason.value.encode()


def create_edge(network, handler, **limits):
    server = edge.Edge(
        network.sockets,
        network.timers,
        handler,
        limits=edge.EdgeLimits(**limits),
        clock=network.clock,
    )
    return server, server.listen(("127.0.0.1", 0))
