"""Entries of a site on a manual clock and loopback sockets."""

from clementinewood import dev, fleet_record, record
from features import loop


class EntryHarness:
    """A site whose entries start when a test says so.

    Args:
        entries: Entries of the site, of which none runs yet.
        retention: Records that the log keeps per stream.
    """

    def __init__(self, *, entries, retention):
        self.loop = loop.Loop()
        self.site = dev.DevSite(
            dev.read_example("guild"),
            entries=entries,
            timers=self.loop.timers,
            sockets=self.loop.sockets,
            # Leases expire by log time, so log time has to advance.
            wall_clock=lambda: 1.8e9 + self.loop.clock(),
        )
        self.entries = self.site.entries
        self.site.log.faults.retention = retention
        self.started = []

    def start(self, number):
        """Starts an entry and runs until it may act."""
        entry = self.entries[number]
        entry.start()
        self.started.append(entry)
        self.loop.run_until(lambda: entry.coordination.membership.is_confirmed)

    def roll(self):
        """Brings the example bundle into force at the running entries."""
        self.site.post_bundle(self.site.text)
        self.settle()
        assert all(entry.state.version == 1 for entry in self.started)

    def append_stale(self, count):
        """Appends records that change nothing; returns when all are read."""
        for _ in range(count):
            lease = fleet_record.PlannerLease(self.entries[0].me, 999, 1.0)
            entry = record.create_record(self.entries[0].me, lease)
            self.append(entry)
        self.settle()

    def append(self, entry):
        """Appends a record past every entry."""
        data = record.encode_record(entry, self.site.cluster_key)
        self.site.log.append("control", data)

    def settle(self):
        """Runs until all running entries have read the log to its head."""
        log = self.site.log

        def is_read():
            head = log._open_stream("control").head
            return all(item.state.next_offset == head for item in self.started)

        self.loop.run_for(0.5)
        self.loop.run_until(is_read)

    def list_records(self):
        """Returns the retained control records."""
        return [
            record.decode_record(data, self.site.cluster_key).unwrap()
            for data in self.site.log.read_stream("control")
        ]

    def list_snapshots(self):
        """Returns the authors of the retained snapshots."""
        return [
            entry.author
            for entry in self.list_records()
            if isinstance(entry.payload, record.Snapshot)
        ]

    def check_agreement(self):
        """All running entries hold the same roster and share it inside."""
        first = self.started[0]
        for entry in self.started:
            assert entry.state.has_base, entry.me
            assert entry.coordination.roster is entry.state.roster
            assert entry.coordination.ledger.escrow is entry.state.roster.escrow
            assert entry.coordination.membership.roster is entry.state.roster
            assert entry.coordination.offset == entry.state.next_offset - 1
            assert entry.state.snapshot() == first.state.snapshot(), entry.me
            assert entry.is_fresh, entry.read_readiness()

    def check_rights(self):
        """Held rights of all running entries add up to every limit."""
        limits = self.started[0].state.roster.escrow.limits
        assert limits
        for resource, limit in limits.items():
            held = sum(
                entry.coordination.ledger.held(resource)
                for entry in self.started
            )
            assert held == limit, (resource, held, limit)

    def close(self):
        """Closes the sockets of the site."""
        self.loop.close()
