"""Steps for the strict HTTP edge."""

import socket
import threading
import time

import behave

from features import network

GET = b"GET %s HTTP/1.1\r\nHost: a\r\n\r\n"

QUANTITIES = {
    "connections": lambda context: context.edge.connections,
    "held bytes": lambda context: context.edge.held_bytes,
    "buffered bytes": lambda context: context.network.sockets.buffered_bytes,
    "failures": lambda context: context.edge.failures,
    "requests": lambda context: len(context.handler.exchanges),
    "cancelled requests": lambda context: len(context.handler.cancelled),
    "drain reports": lambda context: context.drains,
}


@behave.given("an edge that answers each request at once")
def start_edge(context):
    start_edge_with(context, "connections = 4096")


@behave.given("an edge with {settings}")
def start_edge_with(context, settings):
    values = dict(part.partition(" = ")[::2] for part in settings.split(", "))
    late = "late answers" in values
    values.pop("late answers", None)
    context.answer_bytes = int(values.pop("answer bytes", 0))
    context.network = network.Network()
    context.handler = network.RecordingHandler(answer_at_once=not late)
    if context.answer_bytes:
        answer, body = context.handler.answer, bytes(context.answer_bytes)
        context.handler.answer = lambda exchange: answer(exchange, body)
    context.edge, context.address = network.create_edge(
        context.network,
        context.handler,
        **{name: int(value) for name, value in values.items()},
    )
    context.add_cleanup(context.network.sockets.close_all)
    context.drains = 0


def decode(text):
    return text.encode("latin-1").decode("unicode_escape").encode("latin-1")


def connect(context, data=b"", **options):
    caller = network.Caller(context.network, context.address, **options)
    caller.send(data)
    context.network.settle()
    return caller


@behave.when('a caller sends the request "{text}"')
def send_request(context, text):
    context.caller = connect(context, decode(text))


@behave.when('a caller sends the request "{text}" with {count:d} filler bytes')
def send_filled_request(context, text, count):
    context.caller = connect(context, decode(text) + b"x" * count)


@behave.when('the caller goes on with "{text}"')
def send_more(context, text):
    context.caller.send(decode(text))


@behave.when(
    "a caller sends {count:d} pipelined requests with chunked and plain bodies"
)
def send_pipeline(context, count):
    data = b""
    for index in range(count):
        head = f"POST /{index} HTTP/1.1\r\nHost: a\r\n".encode()
        body = b"body-%d" % index
        if index % 2:
            data += head + b"Content-Length: %d\r\n\r\n" % len(body) + body
        else:
            data += head + b"Transfer-Encoding: chunked\r\n\r\n"
            data += b"%x;a=b\r\n%s\r\n0\r\nT: u\r\n\r\n" % (len(body), body)
    context.caller = network.Caller(context.network, context.address)
    context.caller.send(data)


@behave.when("the handler answers each request that it has, until none is left")
def answer_all(context):
    answered = 0
    context.network.settle()
    while answered < len(context.handler.exchanges):
        context.handler.answer(context.handler.exchanges[answered])
        answered += 1
        context.network.settle()


@behave.when("the loop turns until the handler saw a request")
def turn_until_seen(context):
    context.network.turn_until(lambda: context.handler.exchanges, "a request")


@behave.when("the caller ends its sending side")
def end_sending(context):
    context.caller.socket.shutdown(socket.SHUT_WR)
    context.network.settle()


@behave.when("{count:d} callers connect to the edge")
def connect_callers(context, count):
    context.callers = [connect(context) for _ in range(count)]


@behave.when(
    "a caller sends one byte of a request every second, {count:d} times"
)
def send_slowly(context, count):
    context.caller = connect(context)
    for byte in b"GET / HTTP/1.1\r\nHost: a"[:count]:
        context.caller.send(bytes([byte]))
        context.network.advance(1.0)


@behave.when("{seconds:d} seconds pass at the edge")
def pass_time(context, seconds):
    for _ in range(seconds):
        context.network.advance(1.0)


@behave.when(
    "a caller sends a request and then as many bytes as the edge takes"
)
def flood(context):
    request = GET % (b"/" + b"x" * 15000)
    context.caller = connect(context, request)
    context.whole_requests = 1
    left = b""
    idle = 0
    while idle < 20 and context.whole_requests < 1500:
        left = left or request
        try:
            left = left[context.caller.socket.send(left) :]
            context.whole_requests += not left
            idle = 0
        except BlockingIOError:
            idle += 1
        context.network.turn(0.001)


@behave.when("the handler answers what it has and later requests at once")
def answer_from_now(context):
    context.handler.answer_at_once = True
    context.handler.answer(context.handler.exchanges[0])


@behave.then("the caller gets an answer to each whole request that it sent")
def check_each_answered(context):
    caller, count = context.caller, context.whole_requests
    caller.read_until(
        lambda: caller.data.count(b"HTTP/1.1 200 OK") >= count, "all answers"
    )
    # The body of the last answer may not have arrived completely.
    caller.read_until(lambda: len(caller.parse()) >= count, "the last answer")
    context.network.settle()
    answered, handled = len(caller.parse()), len(context.handler.exchanges)
    assert answered == count == handled, (answered, count, handled)


@behave.when("{count:d} callers each send {size:d} bytes of a longer body")
def send_bodies(context, count, size):
    head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n"
    context.callers = [
        connect(context, head + b"x" * size) for _ in range(count)
    ]


@behave.when("a caller that does not read sends {count:d} requests")
def send_unread(context, count):
    context.caller = connect(context, GET % b"/" * count, receive_buffer=65536)


@behave.when("{count:d} callers that do not read send a request each")
def send_all_unread(context, count):
    context.callers = []
    for _ in range(count):
        send_unread(context, 1)
        context.callers.append(context.caller)


@behave.when("the caller disconnects")
def disconnect(context):
    context.caller.socket.close()
    context.network.settle()


@behave.when("a second caller sends half a request")
def send_half(context):
    context.second = connect(context, b"GET /second HTTP/1.1\r\nHo")


@behave.when("a third caller is idle after an answer")
def send_idle(context):
    context.third = connect(context, GET % b"/third")
    context.handler.answer(context.handler.exchanges[-1])
    context.third.read_answers(1)


@behave.when("a fourth caller is in the kernel's queue when the edge drains")
def queue_caller(context):
    context.fourth = network.Caller(context.network, context.address)
    context.fourth.socket.send(GET % b"/fourth")
    drain(context)


@behave.when("the edge drains")
def drain(context):
    def count():
        context.drains += 1

    context.edge.start_drain(count)
    context.network.settle()


@behave.when("the third and second caller complete a request during the drain")
def complete_requests(context):
    context.third.send(GET % b"/last")
    context.network.settle()
    context.network.advance(1.5)
    context.second.send(b"st: a\r\n\r\n")


@behave.when("a caller process sends {count:d} requests to a running loop")
def run_loop(context, count):
    # The loop needs real time, and the caller a thread, since the loop blocks.
    context.network.timers.clock = context.edge.clock = time.monotonic
    context.bodies = []

    def call():
        with socket.create_connection(context.address, 5.0) as client:
            reader = client.makefile("rb")
            for index in range(count):
                client.sendall(GET % b"/%d" % index)
                length = 0
                while (line := reader.readline()) != b"\r\n":
                    if line.startswith(b"content-length:"):
                        length = int(line.split(b":")[1])
                context.bodies.append(reader.read(length))
        context.network.timers.stop()

    thread = threading.Thread(target=call)
    thread.start()
    context.network.timers.run()
    thread.join()


@behave.then("the edge has {count:d} {quantity}")
def check_quantity(context, count, quantity):
    check_range(context, quantity, count, count)


@behave.then("the edge has {quantity} from {low:d} to {high:d}")
def check_range(context, quantity, low, high):
    found = QUANTITIES[quantity](context)
    assert low <= found <= high, f"{found} {quantity}"
    assert context.network.sockets.failures == 0


@behave.then("the caller gets the status {status:d} and the connection ends")
def check_refused(context, status):
    context.caller.read_end()
    # A reset can discard an answer that has not arrived yet.
    assert not context.caller.was_reset
    answers = context.caller.parse()
    assert [answer[0] for answer in answers] == [status], answers
    assert answers[0][1][b"connection"] == b"close"
    assert answers[0][1][b"x-execution"] == b"not-run"


@behave.then("the caller got {count:d} answers and the connection ends")
def check_ended(context, count):
    context.caller.read_end()
    statuses = [answer[0] for answer in context.caller.parse()]
    assert statuses == [200] * count, statuses
    context.caller.socket.close()
    context.network.settle()


@behave.then("the caller gets {count:d} answers in the order of its requests")
def check_order(context, count):
    answers = context.caller.read_answers(count)
    bodies = [answer[2] for answer in answers]
    expected = [b"POST /%d body-%d" % (i, i) for i in range(count)]
    assert bodies == expected, bodies


@behave.then("the caller gets {count:d} whole answers")
def check_whole(context, count):
    caller, size = context.caller, context.answer_bytes
    caller.read_until(
        lambda: caller.ended or len(caller.data) > count * size,
        "answers in all their length",
    )
    answers = caller.read_answers(count)
    sizes = {len(answer[2]) for answer in answers}
    assert len(answers) == count and sizes == {size}


@behave.then('{count:d} of the callers get the status {status:d} with "{word}"')
def check_callers(context, count, status, word):
    found = 0
    for caller in context.callers:
        caller.receive()
        for answer in caller.parse():
            assert answer[0] == status
            assert answer[1][b"x-execution"].decode() == word
            caller.read_end()
            found += 1
    assert found == count, found


@behave.then('the caller has received exactly "{text}"')
def check_received(context, text):
    context.caller.read_until(lambda: context.caller.data, "interim answer")
    assert context.caller.data == decode(text), context.caller.data


@behave.then('the caller has received no "{text}"')
def check_not_received(context, text):
    assert decode(text) not in context.caller.data


@behave.then('the answer is "{text}"')
def check_answer(context, text):
    answers = context.caller.read_answers(1)
    assert [answer[2] for answer in answers] == [text.encode()], answers


@behave.then('the answers to HEAD and GET are "" and "{text}"')
def check_head(context, text):
    answers = context.caller.read_answers(2, ("HEAD", "GET"))
    assert [answer[2] for answer in answers] == [b"", text.encode()], answers
    assert answers[0][1][b"content-length"] == b"8"


@behave.then("the answer to HEAD states the length {count:d}")
def check_stated_length(context, count):
    (answer,) = context.caller.read_answers(1, ("HEAD",))
    assert int(answer[1][b"content-length"]) == count and not answer[2]


@behave.then('the caller gets a 500 with "{word}" and no traceback')
def check_failed(context, word):
    (answer,) = context.caller.read_answers(1)
    assert answer[0] == 500 and answer[1][b"x-execution"].decode() == word
    for text in (b"x-c", b"fault", b"Traceback"):
        assert text not in context.caller.data


@behave.then('each of the four callers has its last answer with "close"')
def check_drained(context):
    for name, target in (
        ("caller", b"/a"),
        ("second", b"/second"),
        ("third", b"/last"),
        ("fourth", b"/fourth"),
    ):
        caller = getattr(context, name)
        caller.read_end()
        answer = caller.parse()[-1]
        assert answer[2] == b"GET %s " % target, (name, answer)
        assert answer[1][b"connection"] == b"close", name
        caller.socket.close()
    context.network.settle()


@behave.then("a new caller is refused by the kernel")
def check_refused_by_kernel(context):
    with socket.socket() as client:
        assert client.connect_ex(context.address) != 0


@behave.then("each of the {count:d} requests has its own answer")
def check_loop(context, count):
    expected = [b"GET /%d " % index for index in range(count)]
    assert context.bodies == expected, context.bodies
