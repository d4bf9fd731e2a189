"""A site whose entries forward requests over loopback sockets.

The store and the minions are those of `job_harness`; fronts, listeners for
forwarded requests and the connections between entries are the real ones.
"""

import json

from clementinewood import (
    edge,
    entrydirectory,
    forwarder,
    identifiers,
    ports,
    takeover,
    verdict,
)
from clementinewood_platform import ingress, peerclient
from features import job_harness, loop, network

LOCAL = ("127.0.0.1", 0)


class Turner:
    """Turns the loop for `network.Caller`."""

    def __init__(self, site):
        self._site = site

    def turn_until(self, condition, what):
        self._site.loop.run_until(condition)


class Peers:
    """Passes requests on to other entries, and loses answers when told to."""

    def __init__(self, site, service, timers):
        self.client = peerclient.PeerClient(
            site.loop.sockets,
            site.loop.timers,
            read_version=service.read_newest_version,
            observe_version=service.observe_version,
        )
        self.timers = timers
        self.sent = []
        self.lost = set()
        self.cut = set()

    def send(self, address, request, timeout, on_result):
        self.sent.append(address)

        def answer(outcome):
            if address in self.lost:
                outcome = ports.Failed(verdict.Execution.MAY_HAVE_RUN, "reset")
            on_result(outcome)

        receive = self.timers.receive
        return self.client.send(address, request, timeout, receive(answer))

    def announce(self, address, announced, timeout, on_result):
        on_result = self.timers.receive(on_result)
        if address not in self.cut:
            self.client.announce(address, announced, timeout, on_result)
            return
        lost = ports.Failed(verdict.Execution.MAY_HAVE_RUN, "cut")
        self.timers.subscribe_once(timeout, lambda: on_result(lost))


class ProcessHandler:
    """Serves requests while the entry's process runs."""

    def __init__(self, handler, timers):
        self._handler = handler
        self._receive = timers.receive
        self.render_refusal = handler.render_refusal

    def handle_exchange(self, exchange):
        self._receive(self._handler.handle_exchange)(exchange)


class Entry:
    """One entry with its listeners.

    Args:
        site: Site with its loop.
        service: The job service of the entry.
        zone: Availability zone.
        former: Earlier process of the host, whose listeners are kept.
    """

    def __init__(self, site, service, zone, former=None):
        harness, timers = site.harness, service._timers
        self.name = identifiers.get_entry(service.incarnation)
        self.zone = zone
        self.service = service
        self.link = self.service._store.link
        self._listen(site, former)
        self.directory = entrydirectory.EntryDirectory(
            entrydirectory.EntryAddress(
                identifiers.EntryId(self.name),
                identifiers.ZoneId(zone),
                self.address,
            ),
            store=self.service._store,
            timers=timers,
            random_fraction=harness.random.random,
        )
        self.peers = Peers(site, service, timers)
        self.service.announcer = takeover.LeaderAnnouncer(
            self.directory, self.peers, timers
        )
        self.forwarder = forwarder.Forwarder(
            self.directory,
            self.peers,
            timers,
            job_harness.METRICS,
            random_fraction=harness.random.random,
        )
        self.front._handler = self._create_handler(
            site, forwarder=self.forwarder
        )
        # Given a forwarder, it must not use it.
        self.inner._handler = self._create_handler(
            site, serves_peers=True, forwarder=self.forwarder
        )
        self.directory.start()

    def _listen(self, site, former):
        if former is None:
            self.inner = self._create_edge(site)
            self.address = self.inner.listen(LOCAL)
            self.front = self._create_edge(site)
            self.front_address = self.front.listen(LOCAL)
            return
        self.inner, self.address = former.inner, former.address
        self.front, self.front_address = former.front, former.front_address
        self.cut_connections()

    def _create_handler(self, site, **arguments):
        handler = ingress.Ingress(
            self.service,
            job_harness.METRICS,
            wall=site.harness.wall,
            clock=site.loop.clock,
            **arguments,
        )
        return ProcessHandler(handler, self.service._timers)

    def _create_edge(self, site):
        return edge.Edge(
            site.loop.sockets,
            site.loop.timers,
            self._create_handler(site),
            clock=site.loop.clock,
        )

    def fall_silent(self):
        """Accepts forwarded requests and answers none."""
        self.inner._handler = network.RecordingHandler(answer_at_once=False)

    def cut_connections(self):
        """Ends all connections; what is on them gets lost."""
        for server in (self.front, self.inner):
            for item in list(server._connections):
                item.connection.abort("the process has ended")


class ForwardingSite:
    """Entries on one loop.

    Args:
        zones: Availability zone of each entry.
        seed: Seed of every random choice.
        minions: Number of minions.
        create_harness: Creates the harness of store and minions.
    """

    def __init__(
        self,
        zones,
        seed=1,
        minions=0,
        create_harness=job_harness.JobHarness,
    ):
        self.loop = loop.Loop()
        self.harness = create_harness(
            seed, entries=len(zones), minions=minions, timers=self.loop.timers
        )
        self.entries = [
            Entry(self, service, zone)
            for service, zone in zip(self.harness.entries, zones, strict=True)
        ]
        self.loop.run_until(self.is_complete)
        self.loop.run_for(1.0)

    def is_complete(self):
        count = len(self.entries) - 1
        return all(len(item.directory.peers) == count for item in self.entries)

    def restart_all(self, seconds):
        """Ends all entries and minions at once, and starts the entries anew."""
        for minion in self.harness.minions.values():
            minion.crash()
        for entry in self.entries:
            entry.fall_silent()
            self.harness.kill(entry.service)
        self.loop.run_for(seconds)
        self.entries = [
            Entry(self, self.harness.add_entry(entry.name), entry.zone, entry)
            for entry in self.entries
        ]

    def call(self, entry, method, name, *, body=b"", key="key", patience=3.0):
        """Sends a request and returns (status, headers, body, seconds)."""
        asked = self.loop.clock.now
        caller = self.send(entry, method, name, body, key, patience)
        answer = caller.read_answers(1, methods=(method,))[0]
        caller.socket.close()
        return (*answer, self.loop.clock.now - asked)

    def send(self, entry, method, name, body=b"", key="key", patience=3.0):
        """Sends a request and returns its connection."""
        caller = network.Caller(Turner(self), entry.front_address)
        caller.send(
            f"{method} /quotes/{name} HTTP/1.1\r\nHost: guild\r\n"
            f"Authorization: Bearer {key}\r\n"
            f"X-Deadline-Ms: {int(patience * 1000)}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )
        return caller

    def count_stored(self, name):
        """Returns how often a job's record was appended."""
        records = self.harness.store.records[ports.Stream.JOBS]
        return sum(1 for record in records if record.key == f"j/{name}")

    def count_attempts(self):
        """Returns how many requests entries have sent to each other."""
        return sum(len(entry.peers.sent) for entry in self.entries)

    def close(self):
        self.loop.close()


def render_job():
    """Returns the body of a submission."""
    return json.dumps(
        {"spec": "", "steps": [{"count": 1, "cpu": 1000}]}
    ).encode()
