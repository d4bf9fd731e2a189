"""Steps for links between entries."""

import dataclasses
import random

import behave

from clementinewood import (
    claim,
    coordination,
    identifiers,
    ledger,
    metric,
    peer,
    peerwire,
    timer,
    transport,
    verdict,
)

PARTS = (
    ledger.Report,
    coordination.Confirmation,
    claim.Claim,
    claim.ClaimKey,
    claim.Outcome,
    peerwire.RelayedRecord,
    peerwire.TeamUsage,
)
REQUEST = peerwire.RelayRequest("control", 7)


class Listener:
    """Keeps what a hub reports."""

    def __init__(self):
        self.messages = []
        self.ups = 0

    def on_message(self, sender, message):
        self.messages.append(message)

    def on_peer_up(self, sender):
        self.ups += 1

    def on_peer_down(self, sender):
        pass

    def on_peer_refused(self, entry):
        pass


def create_hubs(context, keys):
    context.timers = timer.TimerService()
    context.sockets = transport.Transport(context.timers).register(
        context.timers
    )
    context.listeners = {}
    context.hubs = {}
    addresses = {}
    for name, key in keys.items():
        entry = identifiers.EntryId(name)
        listener = Listener()
        hub = peer.PeerHub(
            context.sockets,
            context.timers,
            identity=peer.PeerIdentity(
                entry,
                identifiers.create_incarnation(entry),
                identifiers.ZoneId("hobart"),
            ),
            cluster_key=key,
            peers=dict(addresses),
            listener=listener,
            metrics=metric.Metrics(),
        )
        addresses[entry] = hub.listen(("127.0.0.1", 0))
        hub.start_dialling()
        context.listeners[name] = listener
        context.hubs[name] = hub
    context.addresses = addresses


def run_until(context, condition, *, limit=8.0):
    """Runs the loop until the condition holds, or for a bounded time."""
    stop = context.timers.clock() + limit

    def look():
        if condition() or context.timers.clock() > stop:
            context.timers.stop()
        else:
            context.timers.subscribe_once(0.01, look)

    context.timers.subscribe_once(0.0, look)
    context.timers.run()


def find_link(context, name):
    (links,) = context.hubs[name]._links.values()
    return links[0]


@behave.then("each message type has a thrift struct with the same fields")
def check_structs(context):
    for kind in (*peerwire._KINDS.values(), *PARTS):
        struct = getattr(peerwire.wire, kind.__name__)
        declared = {item[1] for item in struct.thrift_spec.values()}
        fields = {field.name for field in dataclasses.fields(kind)}
        assert declared == fields, (kind, declared ^ fields)


@behave.then("a status with all its parts is the same after the wire")
def check_status(context):
    one = identifiers.Incarnation("one/1")
    key = claim.ClaimKey(identifiers.TeamId("office"), b"d" * 32)
    team = ledger.ResourceId("team:office")
    status = coordination.Status(
        sequence=3,
        echo=2,
        reachable=True,
        known=9,
        age=0.25,
        report=ledger.Report(9, frozenset((team,)), 4, {team: 2}, False),
        awaits=True,
        confirmation=coordination.Confirmation(
            9,
            True,
            (claim.Claim(key, identifiers.RequestId("r"), one, b"x", True),),
        ),
    )
    released = coordination.Releases(
        (
            claim.Outcome(
                key, identifiers.RequestId("r"), verdict.Execution.NOT_RUN
            ),
        )
    )
    for message in (status, released):
        data = peerwire.encode_frame(5, message)
        assert peerwire.decode_frame(data) == (5, message)


@behave.given("entries one and two that share the cluster key")
def create_linked(context):
    create_hubs(context, {"one": b"k" * 32, "two": b"k" * 32})
    run_until(
        context, lambda: all(item.ups for item in context.listeners.values())
    )
    assert find_link(context, "one").is_up


@behave.given("entries one and two with different cluster keys")
def create_unlinked(context):
    create_hubs(context, {"one": b"k" * 32, "two": b"l" * 32})


@behave.when("the links have had time to come up")
def wait_links(context):
    run_until(context, lambda: False, limit=1.0)


@behave.then("neither entry has a link")
def check_no_link(context):
    assert [item.ups for item in context.listeners.values()] == [0, 0]


@behave.when("entry one asks entry two for relayed records")
def send_request(context):
    context.hubs["one"].broadcast(REQUEST)


@behave.when("a byte of the next frame from entry one is changed on its way")
def change_frame(context):
    link = find_link(context, "one")
    data = bytearray(take_frame(link))
    data[-1] ^= 1
    link.connection.send(bytes(data))


@behave.when("the next frame from entry one is sent twice")
def repeat_frame(context):
    link = find_link(context, "one")
    link.connection.send(take_frame(link) * 2)


def take_frame(link):
    """Returns the bytes of the next frame without sending them."""
    sent = []
    connection = link.connection

    class Recorder:
        def send(self, data):
            sent.append(data)
            return True

    link.connection = Recorder()
    assert link.send(REQUEST)
    link.connection = connection
    return sent[0]


@behave.when("the links go silent without being closed")
def silence_links(context):
    for hub in context.hubs.values():
        for links in hub._links.values():
            for link in links:
                link.connection.receiver = Deaf(link)


class Deaf:
    """Drops what arrives, as a path that has lost a connection does."""

    def __init__(self, link):
        self._link = link

    def on_data(self, connection, data):
        pass

    def on_drained(self, connection):
        pass

    def on_closed(self, connection, reason):
        self._link.on_closed(connection, reason)


@behave.when(
    "{count:d} random byte strings are sent to the peer listener of entry two"
)
def send_foreign(context, count):
    rng = random.Random(4)
    closed = []

    class Sender:
        def __init__(self, data):
            self.data = data

        def on_open(self, connection):
            connection.send(self.data)
            connection.close()

        def on_data(self, connection, data):
            pass

        def on_drained(self, connection):
            pass

        def on_closed(self, connection, reason):
            closed.append(reason)

    for _ in range(count):
        data = rng.randbytes(rng.choice((0, 1, 4, 40, 400)) + 1)
        if rng.random() < 0.5:
            data = peerwire.pack_frame(data)
        context.sockets.connect(context.addresses["two"], Sender(data))
    run_until(context, lambda: len(closed) == count)
    assert len(closed) == count


@behave.then("entry two receives the request once")
def check_received(context):
    messages = context.listeners["two"].messages
    run_until(context, lambda: messages)
    run_until(context, lambda: False, limit=0.1)
    assert messages == [REQUEST], messages


@behave.then("entry two receives nothing")
def check_nothing(context):
    run_until(context, lambda: False, limit=0.1)
    assert context.listeners["two"].messages == []


@behave.then("the link has been dialled again")
def check_redialled(context):
    ups = context.listeners["two"]
    run_until(context, lambda: ups.ups > 1)
    assert ups.ups > 1


@behave.then("no handler has failed")
def check_handlers(context):
    assert context.sockets.failures == 0
    assert context.timers.failures == 0
