"""Steps for calls of a process that is paused before it sends them."""

import socket

import behave

from clementinewood import edge, httpclient, identifiers, ports
from clementinewood_platform import machineclient
from features import network


class Server:
    """An HTTP server that counts connections and requests."""

    def __init__(self, net):
        self.network = net
        self.handler = network.RecordingHandler(answer_at_once=False)
        self.front = edge.Edge(net.sockets, net.timers, self.handler)
        self.address = self.front.listen(("127.0.0.1", 0))

    @property
    def received(self):
        return len(self.handler.exchanges)


def start_server(context):
    context.network = network.Network()
    context.server = Server(context.network)
    context.results = []


@behave.given("a server and a client that opens {count:d} connection")
def create_client(context, count):
    start_server(context)
    context.client = httpclient.HttpClient(
        context.network.sockets,
        context.network.timers,
        context.server.address,
        max_connections=count,
        connect_timeout=30.0,
    )


@behave.given(
    "a server that reads nothing and a client with a call of {size:d} bytes"
)
def create_silent_server(context, size):
    context.network = network.Network()
    listener = socket.socket()
    # The connection's window holds a small part of the call.
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    context.add_cleanup(listener.close)
    client = httpclient.HttpClient(
        context.network.sockets, context.network.timers, listener.getsockname()
    )
    context.results = []
    context.call = client.send(
        "POST",
        "/",
        [],
        b"x" * size,
        timeout=1.5,
        on_result=context.results.append,
    )
    context.size = size
    context.network.settle()
    context.peer, _ = listener.accept()
    context.add_cleanup(context.peer.close)


@behave.when("the silent call times out")
def time_out_call(context):
    context.network.clock.now += 2.0
    context.network.settle()
    assert isinstance(context.results[0], httpclient.Lost), context.results


@behave.when("the silent call is cancelled")
def cancel_call(context):
    context.call.cancel()
    context.network.settle()


@behave.then("the server receives less than the whole call")
def check_dropped(context):
    context.peer.settimeout(1.0)
    received = 0
    try:
        while data := context.peer.recv(65536):
            received += len(data)
    except ConnectionResetError:
        pass
    assert received < context.size, received


def make_call(context, limit):
    results = []
    context.client.send(
        "POST", "/", [], b"", timeout=limit, on_result=results.append
    )
    context.results = results


def pause(context, seconds):
    """Moves the clock; what happened meanwhile is read before any timer."""
    context.network.clock.now += seconds
    for _ in range(3):
        context.network.sockets.poll(0.01)
    context.network.settle()


@behave.when("a call with a limit of {limit:g} s is made")
def call(context, limit):
    make_call(context, limit)
    context.network.settle()


@behave.when(
    "a call with a limit of {limit:g} s is made and the process pauses for"
    " {seconds:g} s"
)
def call_and_pause(context, limit, seconds):
    make_call(context, limit)
    pause(context, seconds)


@behave.when(
    "the process pauses for {seconds:g} s and then reads the first response"
)
def pause_and_answer(context, seconds):
    context.server.handler.answer(context.server.handler.exchanges[0])
    pause(context, seconds)


@behave.then("the call ends as not sent")
def check_not_sent(context):
    context.network.settle()
    (result,) = context.results
    assert isinstance(result, httpclient.NotSent), result


@behave.then("the call ends with status {status:d}")
def check_status(context, status):
    for exchange in context.server.handler.exchanges:
        context.server.handler.answer(exchange)
    context.network.turn_until(lambda: context.results, "a result")
    (result,) = context.results
    assert result.status == status, result


@behave.then("the server has received {count:d} request")
@behave.then("the server has received {count:d} requests")
def check_received(context, count):
    assert context.server.received == count, context.server.received


@behave.then("the server has accepted {count:d} connection")
def check_accepted(context, count):
    assert context.server.front.connections == count


@behave.given("a machine service that counts requests")
def create_machine_service(context):
    start_server(context)
    context.machines = machineclient.MachineClient(
        context.network.sockets,
        context.network.timers,
        context.server.address,
        identifiers.EntryId("edge-1"),
    )


@behave.when(
    "a {order:w} is ordered {seconds:g} s before the leadership expires"
)
def order_machine(context, order, seconds):
    machine_id = identifiers.MachineId("m1")
    send_before = context.network.clock() + seconds
    term = identifiers.Term(3)
    if order == "move":
        context.machines.move(
            machine_id,
            identifiers.PoolId("quotes"),
            term,
            context.results.append,
            send_before=send_before,
        )
    else:
        context.machines.start_maintenance(
            machine_id,
            1,
            term,
            context.results.append,
            send_before=send_before,
        )


@behave.when("the process pauses for {seconds:g} s before the connection opens")
def pause_before_open(context, seconds):
    pause(context, seconds)


@behave.then("the order ends as rejected")
def check_rejected(context):
    context.network.settle()
    assert context.results == [ports.MachineOutcome.REFUSED], context.results


@behave.then("the order ends as accepted")
def check_ordered(context):
    context.network.settle()
    for exchange in context.server.handler.exchanges:
        context.server.handler.answer(exchange)
    context.network.turn_until(lambda: context.results, "an outcome")
    assert context.results == [ports.MachineOutcome.ACCEPTED], context.results
