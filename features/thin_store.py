"""A stand-in for the platform's store behind a link of limited rate.

It serves newest records and reads over loopback sockets; appends are refused.
All its connections share the rate fairly, on the clock of the timer service.
"""

import base64
import bisect
import collections
import dataclasses
import enum
import json
from urllib import parse

from clementinewood import framing, ports
from clementinewood_platform import storeclient, wire
from features import job_harness

THIN_LINK_BYTES = 625_000
"""Bytes per second of a link of 5 Mbit/s."""

SLICE_SECONDS = 0.02
"""Period of sending: long enough for a test to be fast, and short beside every
timeout."""

PAGE_RECORDS = 500
PAGE_BYTES = 1_000_000
"""Most records and bytes of JSON in a page of newest records."""

MAX_HEAD_BYTES = 8192

STREAMS = {topic: stream for stream, topic in storeclient.TOPICS.items()}


class Fault(enum.Enum):
    """What happens in the middle of an answer."""

    BREAK = "breaks"
    SILENCE = "goes silent"


@dataclasses.dataclass(eq=False)
class Answer:
    """One answer of the store.

    Attributes:
        stream: The stream that was read.
        start: Key or offset that was read from.
        data: The whole answer.
        sent: Bytes sent so far.
        fault: What happens after half of it, if anything.
    """

    stream: ports.Stream | None
    start: str
    data: bytes
    sent: int = 0
    fault: Fault | None = None

    @property
    def stop(self):
        """Bytes after which nothing more is sent."""
        return len(self.data) if self.fault is None else len(self.data) // 2


class _Link:
    """One connection of a client."""

    def __init__(self, store):
        self._store = store
        self._connection = None
        self._received = b""
        self._answers = collections.deque()

    @property
    def pending(self):
        """Bytes that wait to be sent."""
        return sum(answer.stop - answer.sent for answer in self._answers)

    def answer(self, answer):
        self._answers.append(answer)

    def send(self, count):
        """Sends up to `count` bytes and returns how many it sent."""
        answer = self._answers[0]
        part = answer.data[answer.sent : min(answer.sent + count, answer.stop)]
        answer.sent += len(part)
        self._connection.send(part)
        if answer.sent == answer.stop:
            match answer.fault:
                case None:
                    self._answers.popleft()
                case Fault.BREAK:
                    self._connection.abort("fault set by the test")
                case Fault.SILENCE:
                    pass
        return len(part)

    def on_open(self, connection):
        self._connection = connection

    def on_data(self, connection, data):
        self._received += data
        while True:
            end = self._received.find(b"\r\n\r\n")
            if end < 0:
                assert len(self._received) <= MAX_HEAD_BYTES
                return
            head = framing.parse_request_head(self._received[:end])
            whole = end + 4 + (head.length or 0)
            if len(self._received) < whole:
                return
            self._received = self._received[whole:]
            self._store.handle_request(self, head)

    def on_drained(self, connection):
        pass

    def on_closed(self, connection, reason):
        self._answers.clear()
        self._store.links.remove(self)


class ThinStore:
    """Serves the newest records and the log of each stream.

    Args:
        sockets: Listens for connections.
        timers: Timer service.
        rate: Bytes per second of all connections together.

    Attributes:
        address: Address that it listens on.
        log: The records; add to them with its `put`.
        pages: Answers with a page of newest records, in order of the requests.
        sent_bytes: Bytes sent on all connections.
        appends: Number of appends that arrived.
        links: Open connections.
    """

    def __init__(self, sockets, timers, *, rate=THIN_LINK_BYTES):
        self.log = job_harness.Store(None)
        self.pages = []
        self.sent_bytes = 0
        self.appends = 0
        self.links = []
        self._timers = timers
        self._slice_bytes = round(rate * SLICE_SECONDS)
        self._faults = {}
        self._calls = {
            "/-/log-newest": self._answer_newest,
            "/-/log-read": self._answer_read,
        }
        self.address = sockets.listen(("127.0.0.1", 0), self._accept)
        timers.subscribe_every(SLICE_SECONDS, self._send_slice)

    def fail_page(self, stream, number, fault):
        """Lets `fault` happen in page `number`, when it is first requested."""
        self._faults[stream, number] = fault

    def count_requests(self, stream):
        """Returns how often each page was requested, in order of the pages."""
        starts = (page.start for page in self.pages if page.stream is stream)
        return list(collections.Counter(starts).values())

    def measure_load(self, streams):
        """Returns the bytes of all pages of `streams`, each sent once."""
        return sum(
            len(page) for stream in streams for page in self._list_pages(stream)
        )

    def describe_work(self):
        """Returns what was requested and sent, for a failure message."""
        rows = []
        for stream in ports.Stream:
            pages = [page for page in self.pages if page.stream is stream]
            if pages:
                whole = sum(page.sent == len(page.data) for page in pages)
                rows.append(
                    f"{stream.value}: {self.count_requests(stream)} requests"
                    f" for its pages, {whole} sent whole"
                )
        return "; ".join([*rows, f"{self.sent_bytes} bytes sent"])

    def handle_request(self, link, head):
        """Answers one request, at once or when a record is stored."""
        target = parse.urlsplit(head.target)
        query = dict(parse.parse_qsl(target.query))
        call = self._calls.get(target.path, self._refuse)
        call(link, query)

    def _accept(self, peer):
        link = _Link(self)
        self.links.append(link)
        return link

    def _send_slice(self):
        left = self._slice_bytes
        ready = [link for link in self.links if link.pending]
        while left > 0 and ready:
            share = max(1, left // len(ready))
            for link in ready:
                sent = link.send(min(share, left))
                left -= sent
                self.sent_bytes += sent
            ready = [link for link in ready if link.pending]

    def _refuse(self, link, query):
        self.appends += 1
        link.answer(Answer(None, "", _render(503, b"")))

    def _answer_newest(self, link, query):
        stream = STREAMS[query["topic"]]
        after = query.get("after", "")
        answer = Answer(stream, after, self._render_page(stream, after)[0])
        known = {page.start for page in self.pages if page.stream is stream}
        if after not in known:
            answer.fault = self._faults.get((stream, len(known) + 1))
        self.pages.append(answer)
        link.answer(answer)

    def _list_pages(self, stream):
        after = ""
        while after is not None:
            page, after = self._render_page(stream, after)
            yield page

    def _render_page(self, stream, after):
        """Returns a page and the key that the next one comes after."""
        newest = self.log.newest[stream]
        keys = sorted(newest)
        begin = bisect.bisect_right(keys, after)
        items = []
        size = 0
        for key in keys[begin : begin + PAGE_RECORDS]:
            item = {
                "key": key,
                "value": base64.b64encode(newest[key].value).decode(),
                "offset": newest[key].offset,
            }
            size += len(json.dumps(item))
            if items and size > PAGE_BYTES:
                break
            items.append(item)
        more = begin + len(items) < len(keys)
        fields = {
            "items": items,
            "more": more,
            "end": len(self.log.records[stream]),
        }
        page = _render(200, json.dumps(fields).encode())
        return page, items[-1]["key"] if more else None

    def _answer_read(self, link, query):
        stream = STREAMS[query["topic"]]
        offset = int(query["from"])
        limit = int(query["max_kb"]) * 1024
        answered = False

        def finish():
            nonlocal answered
            if not answered and link in self.links:
                answered = True
                data = self._render_records(stream, offset, limit)
                link.answer(Answer(stream, str(offset), data))

        def check():
            if len(self.log.records[stream]) > offset:
                finish()
            elif not answered:
                self.log.waiting.append(check)

        if offset < self.log.first[stream]:
            finish()
            return
        check()
        self._timers.subscribe_once(int(query["wait_ms"]) / 1000.0, finish)

    def _render_records(self, stream, offset, limit):
        first = self.log.first[stream]
        if offset < first:
            return _render(410, b"")
        records = self.log.records[stream]
        parts = [len(records).to_bytes(8, "big"), first.to_bytes(8, "big")]
        size = 0
        for record in records[offset:]:
            part = wire.encode_items(
                [ports.KeyedRecord(record.key, record.value)]
            )
            size += len(part)
            if len(parts) > 2 and size > limit:
                break
            parts.append(part)
        return _render(200, b"".join(parts))


def _render(status, body):
    return framing.render_response(status, [], body, close=False)
