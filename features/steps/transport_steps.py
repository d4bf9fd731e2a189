"""Steps for the transport."""

import os
import resource
import socket

import behave

from features import network


class Recorder:
    """Keeps the events of its connections; acts as its test says."""

    def __init__(self, context):
        self.context = context
        self.connections = []
        self.reasons = []
        self.act = lambda connection: None

    def on_open(self, connection):
        self.connections.append(connection)

    def on_data(self, connection, data):
        self.act(connection)

    def on_drained(self, connection):
        pass

    def on_closed(self, connection, reason):
        self.reasons.append(reason)


@behave.given("a transport that listens on loopback")
def start_transport(context):
    context.network = network.Network()
    context.sockets = context.network.sockets
    context.add_cleanup(context.sockets.close_all)
    context.recorder = Recorder(context)
    context.address = context.sockets.listen(
        ("127.0.0.1", 0), lambda peer: context.recorder
    )


def connect_peers(context, count):
    peers = [socket.create_connection(context.address) for _ in range(count)]
    context.network.settle()
    # A peer that is garbage collected would close its connection.
    context.peers = peers
    return peers


@behave.when("a receiver closes another ready connection and opens a new one")
def replace_connection(context):
    peers = connect_peers(context, 2)
    context.numbers = []

    def act(connection):
        (other,) = [c for c in context.recorder.connections if c != connection]
        context.numbers.append(other._fd)
        other.abort("replaced")
        new = context.sockets.connect(context.address, context.recorder)
        context.numbers.append(new._fd)
        context.recorder.act = lambda connection: None

    context.recorder.act = act
    for peer in peers:
        peer.sendall(b"x")
    context.network.settle()


@behave.then("the new connection has another descriptor than the closed one")
def check_numbers(context):
    closed, new = context.numbers
    assert closed != new
    assert context.sockets.failures == 0


@behave.when("a peer connects while no descriptor is free")
def exhaust_descriptors(context):
    context.peer = socket.socket()
    highest = os.dup(0)
    os.close(highest)
    context.old_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (highest, context.old_limit[1]))
    context.peer.connect(context.address)
    context.network.settle()
    context.ready = context.sockets.poll(0.0)
    resource.setrlimit(resource.RLIMIT_NOFILE, context.old_limit)


@behave.then("the transport does not poll the listener")
def check_paused(context):
    assert context.ready == 0 and not context.recorder.connections


@behave.when("descriptors are free again after a moment")
def wait_for_resume(context):
    context.network.advance(0.2)


@behave.then("the peer is accepted")
def check_accepted(context):
    assert len(context.recorder.connections) == 1


@behave.when("a receiver fails on its data while another one is served")
def fail_receiver(context):
    peers = connect_peers(context, 2)

    def act(connection):
        if connection is context.recorder.connections[0]:
            raise RuntimeError("receiver fault set by the test")
        connection.send(b"served")

    context.recorder.act = act
    for peer in peers:
        peer.sendall(b"x")
    context.network.settle()
    context.received = [peer.recv(100) for peer in peers]


@behave.then("the transport counts {count:d} failures")
def check_failures(context, count):
    assert context.sockets.failures == count


@behave.then("only the other connection is open")
def check_other(context):
    assert sorted(context.received) == [b"", b"served"], context.received
    assert context.recorder.reasons == ["handler failed"]


@behave.when("a connection attempt is not answered within its limit")
def time_out_attempt(context):
    context.sockets.connect(context.address, context.recorder, timeout=1.0)
    context.network.clock.now += 2.0
    context.network.timers.run_due()


@behave.then("its receiver learns that it timed out")
def check_attempt(context):
    assert context.recorder.reasons == ["connect timed out"]
    assert not context.recorder.connections


@behave.when("a receiver sends more than its connection may buffer")
def send_too_much(context):
    connect_peers(context, 1)
    (connection,) = context.recorder.connections
    for _ in range(200):
        connection.send(bytes(1 << 16))


@behave.then("that connection is closed and nothing is buffered")
def check_cut(context):
    assert context.recorder.reasons == ["write buffer over its limit"]
    assert context.sockets.buffered_bytes == 0


@behave.when("{count:d} timers are set and cancelled")
def cancel_timers(context, count):
    for _ in range(count):
        context.network.timers.subscribe_once(60.0, lambda: None).cancel()


@behave.then("the timer service keeps fewer than {count:d} of them")
def check_timers(context, count):
    assert len(context.network.timers._heap) < count
