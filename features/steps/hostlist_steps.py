"""Steps for the host list reader against a simulated service."""

import behave

from clementinewood import hostlist, httpclient, logservice
from features import network


class Recorder(logservice.LogService):
    """A stand-in that counts whole lists and can leave out entity tags."""

    def __init__(self, sockets, timers, *, tags):
        super().__init__(sockets, timers)
        self.tags = tags
        self.wholes = 0

    def _send(self, exchange, status, headers, body):
        self.wholes += status == 200
        if not self.tags:
            headers = [item for item in headers if item[0] != b"etag"]
        super()._send(exchange, status, headers, body)


def start(context, count, *, tags):
    context.network = network.Network()
    sockets, timers = context.network.sockets, context.network.timers
    context.platform = Recorder(sockets, timers, tags=tags)
    context.platform.hosts = [
        {
            "id": f"host-{number}",
            "zone": "hobart",
            "rack": "r1",
            "address": f"127.0.0.1:{9000 + number}",
            "state": "live",
        }
        for number in range(1, count + 1)
    ]
    address = context.platform.listen(("127.0.0.1", 0))
    context.told = []
    context.reader = hostlist.HostList(
        httpclient.HttpClient(sockets, timers, address),
        timers,
        context.told.append,
    )
    context.reader.start()
    context.network.turn_until(lambda: context.told, "a first list")


@behave.given("a host list of {count:d} hosts and a reader")
def start_reader(context, count):
    start(context, count, tags=True)


@behave.given("a host list of {count:d} hosts without entity tags and a reader")
def start_reader_untagged(context, count):
    start(context, count, tags=False)


@behave.when("{seconds:d} seconds pass at the host list")
def pass_seconds(context, seconds):
    for _ in range(seconds):
        context.network.advance(1.0)
        context.network.turn_until(
            lambda: not context.reader._is_polling, "the answer to a read"
        )


@behave.when("host {number:d} starts to leave")
def mark_leaving(context, number):
    context.platform.hosts = [
        {**host, "state": "leaving"} if host["id"] == f"host-{number}" else host
        for host in context.platform.hosts
    ]


@behave.then("the reader was told {count:d} list")
@behave.then("the reader was told {count:d} lists")
def check_told(context, count):
    assert len(context.told) == count, context.told


@behave.then("the server sent the whole list {count:d} time")
@behave.then("the server sent the whole list {count:d} times")
def check_wholes(context, count):
    assert context.platform.wholes == count, context.platform.wholes


@behave.then("the last read is at most 1 second old")
def check_age(context):
    assert context.network.clock() - context.reader.read_at <= 1.0


@behave.then("the reader sees that host {number:d} is leaving")
def check_leaving(context, number):
    assert context.told[-1][f"host-{number}"].leaving
