"""Log clients that share a simulated log, with the records they received."""

import random

import hypothesis

from clementinewood import httpclient, logclient, logservice, record
from clementinewood.identifiers import Incarnation
from features import loop

KEY = b"k" * 32


class Reader:
    """One client with everything it delivered."""

    def __init__(self, harness, number, kind):
        self.name = Incarnation(f"entry-{number}/{number}")
        self.delivered = []
        self.gaps = []
        self.results = {}
        self.client = kind(
            httpclient.HttpClient(
                harness.loop.sockets, harness.loop.timers, harness.address
            ),
            harness.loop.timers,
            "control",
            self.delivered.extend,
            key=KEY,
            on_gap=self.gaps.append,
            random_source=random.Random(number),
        )
        self.client.start()

    def append(self):
        entry = record.create_record(self.name, record.Left(self.name))
        self.results[entry.id] = []
        self.client.append(entry, self.results[entry.id].append)
        return entry.id

    def is_settled(self):
        return all(self.results.values())


class LogHarness:
    """A stand-in log with some clients."""

    def __init__(self, *, clients=2, kind=logclient.LogClient):
        self.loop = loop.Loop()
        self.service = logservice.LogService(
            self.loop.sockets, self.loop.timers, wall_clock=self.loop.clock
        )
        self.address = self.service.listen(("127.0.0.1", 0))
        self.readers = [Reader(self, number, kind) for number in range(clients)]

    @property
    def log(self):
        return self.service.read_stream("control")

    def log_ids(self):
        decoded = [record.decode_record(data, KEY) for data in self.log]
        return [
            item.unwrap().id
            for item in decoded
            if type(item).__name__ == "Success"
        ]

    def read_all(self):
        """Runs until every append has its result and all is read."""
        self.loop.run_until(
            lambda: all(
                reader.is_settled()
                and reader.client.next_offset == len(self.log)
                for reader in self.readers
            )
        )

    def close(self):
        for reader in self.readers:
            reader.client.close()
        self.loop.close()


FAULTS = hypothesis.strategies.lists(
    hypothesis.strategies.one_of(
        hypothesis.strategies.tuples(
            hypothesis.strategies.sampled_from(["append", "run"]),
            hypothesis.strategies.integers(0, 9),
        ),
        hypothesis.strategies.tuples(
            hypothesis.strategies.sampled_from(
                [
                    "lose_answers",
                    "lose_requests",
                    "corrupt_appends",
                    "corrupt_reads",
                    "delay",
                    "outage",
                ]
            ),
            hypothesis.strategies.integers(0, 3),
        ),
    ),
    min_size=4,
    max_size=16,
)


def play(harness, actions):
    """Appends under faults, then ends the faults and settles."""
    faults = harness.service.faults
    outages = list(logservice.Outage)
    for name, amount in actions:
        match name:
            case "append":
                harness.readers[amount % len(harness.readers)].append()
            case "run":
                harness.loop.run_for(amount / 3)
            case "delay":
                faults.delay = amount * 0.7
            case "outage":
                faults.outage = outages[amount % len(outages)]
            case _:
                setattr(faults, name, amount)
    harness.service.faults = logservice.InjectedFaults()
    for reader in harness.readers:
        reader.append()
    harness.read_all()


def check_delivery(harness):
    """Every readable record arrived at every reader, once and in order."""
    expected = [
        (offset, decoded.unwrap().id)
        for offset, data in enumerate(harness.log)
        for decoded in [record.decode_record(data, KEY)]
        if type(decoded).__name__ == "Success"
    ]
    for reader in harness.readers:
        found = [(item.offset, item.record.id) for item in reader.delivered]
        assert found == expected, (found, expected)


def check_appends(harness):
    """Every append took effect exactly once as folding sees it."""
    ids = harness.log_ids()
    wanted = {i for reader in harness.readers for i in reader.results}
    assert set(ids) == wanted, (len(set(ids)), len(wanted))
    for reader in harness.readers:
        for outcomes in reader.results.values():
            assert len(outcomes) == 1, outcomes
            assert isinstance(outcomes[0], logclient.Appended), outcomes


class NewIdClient(logclient.LogClient):
    """Appends a lost record anew, under another id."""

    def _mark_outcome_unknown(self):
        item = self._current
        again = record.create_record(
            Incarnation("again/0"), record.Left(Incarnation("again/0"))
        )
        item.id, item.data = again.id, record.encode_record(again, KEY)
        self._back_off()


class HastyClient(logclient.LogClient):
    """Retries a lost append without looking for it in the log."""

    def _mark_outcome_unknown(self):
        self._back_off()


class TrustingClient(logclient.LogClient):
    """Passes over a broken record without reading it again."""

    def _decode(self, items, offset):
        accepted = []
        for place, time, data in items:
            decoded = record.decode_record(data, KEY)
            if type(decoded).__name__ == "Success":
                accepted.append(
                    logclient.LoggedRecord(place, time, decoded.unwrap())
                )
        return accepted, offset + len(items)
