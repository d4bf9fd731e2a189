"""Folds the control stream into the state that all entries share."""

import collections
import dataclasses
from collections.abc import Mapping

from returns import result

from clementinewood import (
    assignment,
    bundle,
    bundle_record,
    control_data,
    fault,
    fleet_fold,
    fleet_image,
    fleet_record,
    identifiers,
    ledger,
    membership,
    membership_record,
    record,
    snapshot,
)

Incarnation = identifiers.Incarnation
ResourceId = identifiers.ResourceId
Outcome = control_data.Outcome

SEEN_IDS = 1024
"""Number of record ids kept to ignore repeats. An older repeat changes nothing
either, since every kind of record checks versions."""

ENDED_INCARNATIONS = 512
"""Number of ended incarnations kept to reject a late `Joined` of one."""

HISTORY_VERSIONS = 50

SNAPSHOT_RECORDS = 2000
SNAPSHOT_SECONDS = 900.0


class ControlState(control_data.Content):
    """Folds control records; equal records give equal states everywhere.

    The state depends only on the records, their offsets and their log times,
    since settings and clocks differ between entries.

    `change` holds the membership content of the last record, so that users of
    `roster` need not fold the record again. A snapshot that covers a gap
    replaces `roster` by a new object.

    Args:
        start: Offset of the first record that will be applied. Above 0, records
            are buffered until a snapshot is read.
    """

    def __init__(self, *, start: int = 0) -> None:
        super().__init__()
        self.change: control_data.MembershipChange | None = None
        self.outcomes: collections.Counter[Outcome] = collections.Counter()
        self._parser = bundle.BundleParser()
        self.has_base = start == 0
        self.next_offset = start
        self._buffer: list[tuple[record.Record, int, float]] = []
        self._buffer_start = start

    @property
    def version(self) -> int:
        """Version of the bundle in force; 0 without one."""
        return 0 if self.bundle is None else self.bundle.version

    @property
    def writable_format(self) -> record.Format:
        """Newest record format that every member can read."""
        newest = min(
            (member.newest_format for member in self.members.values()),
            default=record.Format.PLAIN,
        )
        return record.Format(
            max(record.Format.PLAIN, min(newest, record.NEWEST_FORMAT))
        )

    def apply(self, entry: record.Record, offset: int, time: float) -> Outcome:
        """Folds one record.

        Args:
            entry: The record.
            offset: Its offset; a record that is already folded is ignored.
            time: Its log time in Unix seconds.

        Returns:
            The effect on the state.
        """
        self.change = None
        if offset < self.next_offset:
            return Outcome.REPEATED
        if self.has_base:
            outcome = self._fold(entry, offset, time)
        else:
            outcome = self._buffer_record(entry, offset, time)
        self.outcomes[outcome] += 1
        return outcome

    def begin_gap(self, start: int) -> None:
        """Handles a gap: records before `start` expired unread.

        The state stays unchanged until a snapshot that covers the gap is read.
        """
        if start <= self.next_offset:
            return
        self.has_base = False
        self._buffer = []
        self._buffer_start = start
        self.next_offset = start

    def _buffer_record(
        self, entry: record.Record, offset: int, time: float
    ) -> Outcome:
        """Buffers a record, or loads a snapshot and the later records."""
        self._buffer.append((entry, offset, time))
        self.next_offset = offset + 1
        payload = entry.payload
        if (
            not isinstance(payload, record.Snapshot)
            or payload.next_offset < self._buffer_start
        ):
            return Outcome.BUFFERED
        kept, start = self._buffer, self._buffer_start
        if isinstance(self._load(payload.content), result.Failure):
            return Outcome.INVALID
        self._buffer = []
        for item in kept:
            if item[1] >= payload.next_offset and item[1] >= start:
                self._fold(*item)
        self.next_offset = offset + 1
        return Outcome.APPLIED

    def _fold(self, entry: record.Record, offset: int, time: float) -> Outcome:
        self.next_offset = offset + 1
        # The log's clock may step back; an expired lease must stay expired.
        self.time = max(self.time, time)
        translated = membership_record.translate_payload(
            entry.payload, entry.author
        )
        if translated is not None:
            self.change = control_data.MembershipChange(translated, False)
        if entry.id in self.seen:
            return Outcome.REPEATED
        self.seen[entry.id] = None
        if len(self.seen) > SEEN_IDS:
            del self.seen[next(iter(self.seen))]
        if entry.author not in self.members and not isinstance(
            entry.payload, record.Joined | record.Snapshot
        ):
            # An entry that was removed, perhaps while it was paused, must not
            # change the state. If two remove each other, the first record
            # counts.
            return Outcome.STALE
        if translated is not None:
            return self._change_members(entry, translated, offset)
        match entry.payload:
            case record.BundleAccepted() as payload:
                return self._accept_bundle(payload, entry, offset)
            case (
                fleet_record.WorkerAssigned()
                | fleet_record.MaintenanceStep()
                | fleet_record.RollStep()
                | fleet_record.PlannerLease()
                | fleet_record.MaintenancePause()
            ) as payload:
                return self._apply_plan(payload, entry.author, offset)
            case record.Snapshot() as payload:
                self.snapshot_offset = max(
                    self.snapshot_offset, payload.next_offset
                )
                self.snapshot_time = self.time
                return Outcome.APPLIED
        return Outcome.IGNORED

    def _accept_bundle(
        self, payload: record.BundleAccepted, entry: record.Record, offset: int
    ) -> Outcome:
        if payload.expected != self.version or payload.version <= self.version:
            return Outcome.STALE
        read = bundle_record.read_payload(
            payload, self._parser, self.bundle_text
        )
        if read is None:
            return Outcome.INVALID
        text, operator, declared = read
        self._install(declared, operator, entry.id, entry.author, offset)
        self.bundle_text = text
        self.history.append(
            control_data.Accepted(
                declared.version,
                operator,
                payload.digest.hex(),
                offset,
                self.time,
                entry.author,
            )
        )
        del self.history[:-HISTORY_VERSIONS]
        return Outcome.APPLIED

    def _install(
        self,
        declared: bundle.Bundle,
        operator: str,
        record_id: identifiers.RecordId,
        author: Incarnation,
        offset: int,
    ) -> None:
        before = self.bundle
        self.fleet.apply(
            fleet_record.BundleAccepted(
                fleet_image.derive_declaration(
                    declared, before, self.fleet.declaration
                ),
                self.fleet.bundle_version,
                operator,
                record_id,
            ),
            offset,
            self.time,
        )
        # `history` already tells which bundle won each version, and an item of
        # `accepted_versions` holds all hosts.
        self.fleet.accepted_versions.clear()
        self.bundle = declared
        self.bundle_offset = offset
        limits = assignment.list_team_limits(declared)
        if (
            before is None
            or before.pools != declared.pools
            or before.services != declared.services
            # A change of zones also drops lost hosts from the fold.
            or before.zones != declared.zones
        ):
            limits |= assignment.list_minion_limits(declared, self.assignments)
            gone = self.roster.escrow.limits.keys() - limits.keys()
        else:
            gone = {ledger.team_resource(team) for team in before.teams} - (
                limits.keys()
            )
        self._set_limits(limits | dict.fromkeys(gone, 0), author, offset)

    def _set_limits(
        self,
        limits: Mapping[ResourceId, int],
        author: Incarnation,
        offset: int,
    ) -> None:
        """Applies the limits that differ from those in force to the roster.

        With 12,000 workers, applying all limits for each record would take
        several milliseconds.
        """
        old = self.roster.escrow.limits
        changed = {
            resource: limit
            for resource, limit in limits.items()
            if old.get(resource, 0) != limit
        }
        payload = membership.Limits(changed, whole=False)
        counted = self.roster.apply(author, payload, offset)
        self.change = control_data.MembershipChange(payload, counted)

    def _change_members(
        self, entry: record.Record, change: membership.Payload, offset: int
    ) -> Outcome:
        author, payload = entry.author, entry.payload
        if (
            isinstance(payload, record.Joined | record.Left)
            and author != payload.incarnation
        ):
            return Outcome.INVALID
        if isinstance(payload, record.Joined) and author in self.ended:
            return Outcome.STALE
        if not self.roster.apply(author, change, offset):
            return Outcome.STALE
        self.change = control_data.MembershipChange(change, True)
        match payload:
            case record.Joined():
                self.members[author] = control_data.Member(
                    payload.entry,
                    (payload.host, payload.port),
                    payload.zone,
                    offset,
                    payload.newest_format,
                )
            case record.Removed() | record.Left():
                del self.members[payload.incarnation]
                self.ended[payload.incarnation] = None
                if len(self.ended) > ENDED_INCARNATIONS:
                    del self.ended[next(iter(self.ended))]
        return Outcome.APPLIED

    def _apply_plan(
        self, payload: fleet_record.Payload, author: Incarnation, offset: int
    ) -> Outcome:
        """Folds a record of the planner or of maintenance."""
        if (
            isinstance(payload, fleet_record.PlannerLease)
            and payload.holder not in self.members
        ):
            return Outcome.STALE
        outcome = self.fleet.apply(payload, offset, self.time)
        if outcome is not fleet_fold.Outcome.APPLIED:
            return Outcome.STALE
        if isinstance(payload, fleet_record.WorkerAssigned):
            declared, worker = self.bundle, payload.worker
            assert declared is not None
            service = declared.services[declared.pools[payload.pool].service]
            self._set_limits(
                {assignment.slot_resource(worker): service.slots},
                author,
                offset,
            )
        return Outcome.APPLIED

    def create_bundle_payload(self, text: str) -> record.BundleAccepted:
        """Returns the payload of the record that puts a bundle into force.

        Args:
            text: Signed bundle, already verified by the caller.

        Raises:
            ValueError: The text is not a signed, valid bundle, or the bundle
                may not replace the one in force.
        """
        return bundle_record.create_payload(
            text, self._parser, self.bundle, self.bundle_text
        )

    def is_snapshot_due(self, *, retained_from: int) -> bool:
        """Returns whether a snapshot should be written now.

        Args:
            retained_from: Oldest offset that the log retains.
        """
        since = self.next_offset - self.snapshot_offset
        if not self.has_base or since <= 0:
            return False
        retained = self.next_offset - retained_from
        return (
            since >= SNAPSHOT_RECORDS
            or self.time - self.snapshot_time >= SNAPSHOT_SECONDS
            # A snapshot is due before half of the retained records follow the
            # last one, so that it is written before they expire.
            or (retained_from > 0 and since * 2 >= retained)
        )

    def snapshot(self) -> bytes:
        """Returns the state for `restore`; equal states give equal bytes."""
        return snapshot.encode(self)

    def create_bootstrap_payload(
        self, *, retained_from: int, head: int
    ) -> record.Snapshot | None:
        """Returns a snapshot of an empty state if all records have expired.

        Members write snapshots before records expire, so a log whose records
        have all expired had no member during its whole retention period. The
        first entry to start again writes this snapshot, and all others start
        from it. Operators must then roll their bundle again.

        Args:
            retained_from: Oldest offset that the log retains.
            head: Offset that the next record will get.

        Returns:
            The snapshot, or None if there is a state to start from.
        """
        if self.has_base or self.version or retained_from != head:
            return None
        empty = ControlState()
        empty.next_offset = head
        return empty.create_snapshot_payload()

    def create_snapshot_payload(self) -> record.Snapshot:
        """Returns the payload of a snapshot record."""
        return record.Snapshot(self.next_offset, self.snapshot())

    def restore(self, data: bytes) -> result.Result[None, fault.Fault]:
        """Replaces the state by a snapshot.

        Args:
            data: Bytes that `snapshot` returned, here or at another entry.

        Returns:
            A fault if the data is malformed or older than this state, which
            then stays unchanged.
        """
        return self._load(data)

    def _load(self, data: bytes) -> result.Result[None, fault.Fault]:
        try:
            loaded = snapshot.decode(data, self._parser)
        except Exception as error:  # The codec documents no exceptions.
            return _refuse_snapshot(f"undecodable: {error}")
        if self.has_base and loaded.next_offset < self.next_offset:
            return _refuse_snapshot(
                f"ends at offset {loaded.next_offset}, "
                f"before {self.next_offset}"
            )
        version = 0 if loaded.bundle is None else loaded.bundle.version
        if version < self.version:
            return _refuse_snapshot(
                f"bundle version {version} is older than {self.version}"
            )
        fleet = self.fleet
        for field in dataclasses.fields(control_data.Content):
            setattr(self, field.name, getattr(loaded, field.name))
        # The planner holds this object and observes its changes.
        self.fleet = fleet
        fleet.load(loaded.fleet)
        self.has_base = True
        return result.Success(None)


def _refuse_snapshot(detail: str) -> result.Result[None, fault.Fault]:
    return result.Failure(fault.Fault(code=fault.Code.SNAPSHOT, detail=detail))


if __name__ == "__main__":
    demo = ControlState()
    me = Incarnation("entry-1/0")
    zone = identifiers.ZoneId("hobart")
    joined = record.Joined(me, identifiers.EntryId("e1"), "::1", 7000, zone)
    print(demo.apply(record.create_record(me, joined), 0, 1.0))
    print(demo.members, len(demo.snapshot()))
