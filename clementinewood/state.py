"""The state that every entry folds from the control stream."""

import collections
import dataclasses
import enum
import hashlib
import itertools
import zlib
from collections.abc import Callable, Collection, Iterator, Mapping
from typing import Any

from returns import result
from thriftpy2 import utils

from clementinewood import bundle, delta, fault, record, signature
from clementinewood.identifiers import (
    EntryId,
    Incarnation,
    PoolId,
    RecordId,
    ResourceId,
    TeamId,
    WorkerId,
    ZoneId,
)

SEEN_IDS = 1024
"""Record ids kept to drop repeats. Every kind also tolerates repeats by its
versions, so an older repeat changes nothing either."""

ENDED_INCARNATIONS = 512
"""Ended incarnations kept, so that a late `Joined` does not revive one."""

HISTORY_VERSIONS = 50
FULL_BUNDLE_EVERY = 64
"""Versions between two records that hold a whole bundle."""

SNAPSHOT_RECORDS = 2000
SNAPSHOT_SECONDS = 900.0


class Outcome(enum.Enum):
    """What a record did to the state."""

    APPLIED = "applied"
    STALE = "stale"
    REPEATED = "repeated"
    INVALID = "invalid"
    IGNORED = "ignored"
    BUFFERED = "buffered"


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """An entry that has joined.

    Attributes:
        entry: Configured name.
        address: IP address and port of its peer listener.
        zone: Availability zone.
        joined_offset: Offset of its `Joined` record.
        newest_format: Newest record format that it reads.
    """

    entry: EntryId
    address: tuple[str, int]
    zone: ZoneId
    joined_offset: int
    newest_format: int


@dataclasses.dataclass(frozen=True, slots=True)
class Assignment:
    """The pool of a worker.

    Attributes:
        pool: The pool.
        version: Offset of the record that assigned it, plus 1. Offsets never
            come again, so a record that names an older one is always stale,
            even when the worker left the bundle in between.
    """

    pool: PoolId
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class MaintenanceState:
    """Maintenance of a worker.

    Attributes:
        step: Present step.
        version: Offset of the record that set it, plus 1.
        time: Log time of that record.
    """

    step: record.Step
    version: int
    time: float


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """The right to plan.

    Attributes:
        holder: Member that plans.
        expires: Log time at which it ends.
        version: Offset of its record, plus 1.
    """

    holder: Incarnation
    expires: float
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Roll:
    """Progress of the latest roll."""

    bundle_version: int
    zone: ZoneId
    phase: record.Phase
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """A bundle that came into force.

    Attributes:
        version: Its version.
        operator: Who signed it.
        digest: SHA-256 of the signed text, in hexadecimal.
        offset: Offset of its record.
        time: Log time of its record.
        author: Entry that appended it.
    """

    version: int
    operator: str
    digest: str
    offset: int
    time: float
    author: Incarnation


@dataclasses.dataclass(slots=True)
class Closing:
    """A removed member whose rights are not yet minted anew.

    Attributes:
        wait: Whether work of it, or of one it had not closed, may still run.
        joined_offset: Offset of its `Joined` record.
        waiting: Members at that time that have not closed it.
        net: Rights given to it less those received from it, by resource.
    """

    wait: bool
    joined_offset: int
    waiting: dict[Incarnation, None]
    net: dict[ResourceId, int]


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class _Rights:
    """Rights to one resource.

    Resources whose rights are spread alike share one object, since a fleet
    of 12,000 workers has 24,000 resources but few ways of spreading them.

    Attributes:
        limit: Limit in force.
        unminted: Rights that wait for a first member.
        minted: Rights minted to each member, in total.
    """

    limit: int = 0
    unminted: int = 0
    minted: Mapping[Incarnation, int] = dataclasses.field(default_factory=dict)


_NO_RIGHTS = _Rights()


class _MintView(Mapping[tuple[ResourceId, Incarnation], int]):
    """Reads minted rights by resource and member."""

    def __init__(self, rights: dict[ResourceId, _Rights]) -> None:
        self._rights = rights

    def __getitem__(self, key: tuple[ResourceId, Incarnation]) -> int:
        resource, holder = key
        return self._rights[resource].minted[holder]

    def __iter__(self) -> Iterator[tuple[ResourceId, Incarnation]]:
        for resource, rights in self._rights.items():
            for holder in rights.minted:
                yield resource, holder

    def __len__(self) -> int:
        return sum(len(rights.minted) for rights in self._rights.values())


def split_evenly(amount: int, count: int) -> list[int]:
    """Splits `amount`, which may be negative, into `count` parts.

    The first parts get one more when it does not divide.
    """
    quotient, rest = divmod(abs(amount), count)
    sign = 1 if amount >= 0 else -1
    return [sign * (quotient + (index < rest)) for index in range(count)]


def list_team_limits(declared: bundle.Bundle) -> dict[ResourceId, int]:
    """Returns the limit of each team's resource."""
    return {
        team_resource(team): spec.limit for team, spec in declared.teams.items()
    }


def list_minion_limits(
    declared: bundle.Bundle, assignments: Mapping[WorkerId, Assignment]
) -> dict[ResourceId, int]:
    """Returns the limits of slots and connections of every minion.

    Each worker runs one minion of its pool's service, named as the worker.
    """
    services = {
        pool: declared.services[spec.service]
        for pool, spec in declared.pools.items()
    }
    limits: dict[ResourceId, int] = {}
    for worker, assignment in assignments.items():
        service = services[assignment.pool]
        limits[ResourceId(f"slot:{worker}")] = service.slots
        limits[ResourceId(f"connection:{worker}")] = service.connections
    return limits


def team_resource(team: TeamId) -> ResourceId:
    """Returns the resource that a team's limit counts."""
    return ResourceId(f"team:{team}")


class ControlState:
    """Folds control records; equal records give equal states everywhere.

    Nothing but the records, their offsets and log times takes part: settings
    and clocks differ between entries.

    `limit_changes` holds the limits that the last record changed: with 12,000
    workers, going through all limits at each record takes 20 ms.

    Args:
        start: Offset of the first record that will be applied. Above 0 the
            state waits for a snapshot and keeps the records until then.
    """

    def __init__(self, *, start: int = 0) -> None:
        self.on_mint: Callable[[ResourceId, Incarnation, int], None] | None = (
            None
        )
        self.limit_changes: Mapping[ResourceId, int] = {}
        self.outcomes: collections.Counter[Outcome] = collections.Counter()
        self._parser = bundle.BundleParser()
        self._reset()
        self.based = start == 0
        self.next_offset = start
        self._buffer: list[tuple[record.Record, int, float]] = []
        self._buffer_start = start

    def _reset(self) -> None:
        self.next_offset = 0
        self.time = 0.0
        self.bundle: bundle.Bundle | None = None
        self.bundle_text = ""
        self.bundle_offset = -1
        self.history: list[Accepted] = []
        self._members: dict[Incarnation, Member] = {}
        self._assignments: dict[WorkerId, Assignment] = {}
        self._steps: dict[WorkerId, MaintenanceState] = {}
        self._rights: dict[ResourceId, _Rights] = {}
        self._closings: dict[Incarnation, Closing] = {}
        self._carried: dict[Incarnation, dict[ResourceId, int]] = {}
        self._ended: dict[Incarnation, None] = {}
        self._seen: dict[RecordId, None] = {}
        self._suspicions: dict[Incarnation, int] = {}
        self._lowered: dict[ResourceId, int] = {}
        self._changed = -1
        self._departed = -1
        self._crashed = False
        self.planner_lease: Lease | None = None
        self.roll: Roll | None = None
        self.snapshot_offset = 0
        self.snapshot_time = 0.0

    @property
    def version(self) -> int:
        """Version of the bundle in force; 0 without one."""
        return 0 if self.bundle is None else self.bundle.version

    @property
    def members(self) -> Mapping[Incarnation, Member]:
        """Members in join order."""
        return self._members

    @property
    def assignments(self) -> Mapping[WorkerId, Assignment]:
        """Pool of every declared worker."""
        return self._assignments

    @property
    def steps(self) -> Mapping[WorkerId, MaintenanceState]:
        """Maintenance of workers that ever were in a step."""
        return self._steps

    @property
    def mints(self) -> Mapping[tuple[ResourceId, Incarnation], int]:
        """Rights minted to each member, in total."""
        return _MintView(self._rights)

    @property
    def suspicions(self) -> Mapping[Incarnation, int]:
        """Offset of the standing suspicion of each suspected member."""
        return self._suspicions

    @property
    def closings(self) -> Mapping[Incarnation, Closing]:
        """Removed members that are not settled yet."""
        return self._closings

    @property
    def writable_format(self) -> record.Format:
        """Newest record format that every member reads."""
        newest = min(
            (member.newest_format for member in self._members.values()),
            default=record.Format.PLAIN,
        )
        return record.Format(
            max(record.Format.PLAIN, min(newest, record.NEWEST_FORMAT))
        )

    def list_limits(self) -> dict[ResourceId, int]:
        """Returns the limit of every resource in force."""
        return {
            resource: rights.limit for resource, rights in self._rights.items()
        }

    def export_roster(
        self, *, leave_out: Collection[str] = ("connection:",)
    ) -> dict[str, Any]:
        """Returns what `membership.Roster.load` takes.

        An entry that restored a snapshot rebuilds its membership and ledger
        from this, since the records they were folded from have expired.

        Args:
            leave_out: Prefixes of resources that the ledger does not keep.
        """
        kept = [
            (resource, rights)
            for resource, rights in self._rights.items()
            if not resource.startswith(tuple(leave_out))
        ]
        accounts: dict[Incarnation, dict[ResourceId, int]] = {
            name: dict(self._carried[name])
            for name in [*self._members, *self._closings]
        }
        for name, closing in self._closings.items():
            account = accounts[name]
            for resource, amount in closing.net.items():
                account[resource] = account.get(resource, 0) + amount
        for resource, rights in kept:
            for name, amount in rights.minted.items():
                account = accounts[name]
                account[resource] = account.get(resource, 0) + amount
        return {
            "mints": {
                "limits": {resource: rights.limit for resource, rights in kept},
                "accounts": accounts,
                "unowned": {
                    resource: rights.unminted
                    for resource, rights in kept
                    if rights.unminted
                },
                "members": [
                    (name, member.joined_offset)
                    for name, member in self._members.items()
                ],
                "lowered": {
                    resource: offset
                    for resource, offset in self._lowered.items()
                    if not resource.startswith(tuple(leave_out))
                },
                "removals": [
                    [
                        name,
                        closing.joined_offset,
                        sorted(closing.waiting),
                        closing.wait,
                    ]
                    for name, closing in self._closings.items()
                ],
            },
            "suspicions": dict(self._suspicions),
            "changed": self._changed,
            "departed": self._departed,
            "crashed": self._crashed,
        }

    def count_unminted(self, resource: ResourceId) -> int:
        """Returns rights that wait for a first member."""
        rights = self._rights.get(resource)
        return 0 if rights is None else rights.unminted

    def apply(self, entry: record.Record, offset: int, time: float) -> Outcome:
        """Folds one record.

        Args:
            entry: The record.
            offset: Its offset; those already folded are skipped.
            time: Its log time in Unix seconds.
        """
        if offset < self.next_offset:
            return Outcome.REPEATED
        if self.based:
            outcome = self._fold(entry, offset, time)
        else:
            outcome = self._keep(entry, offset, time)
        self.outcomes[outcome] += 1
        return outcome

    def begin_gap(self, start: int) -> None:
        """Notes that records up to `start` were missed.

        The state stays as it is, stale, until a snapshot covers the gap.
        """
        if start <= self.next_offset:
            return
        self.based = False
        self._buffer = []
        self._buffer_start = start
        self.next_offset = start

    def _keep(self, entry: record.Record, offset: int, time: float) -> Outcome:
        """Keeps a record until a snapshot that it continues from."""
        self._buffer.append((entry, offset, time))
        self.next_offset = offset + 1
        payload = entry.payload
        if (
            not isinstance(payload, record.Snapshot)
            or payload.next_offset < self._buffer_start
        ):
            return Outcome.BUFFERED
        kept, start = self._buffer, self._buffer_start
        match self._load(payload.content):
            case result.Success():
                pass
            case _:
                return Outcome.INVALID
        self._buffer = []
        for item in kept:
            if item[1] >= payload.next_offset and item[1] >= start:
                self._fold(*item)
        self.next_offset = offset + 1
        return Outcome.APPLIED

    def _fold(self, entry: record.Record, offset: int, time: float) -> Outcome:
        self.next_offset = offset + 1
        self.limit_changes = {}
        # The log's clock may step back; leases must not come alive again.
        self.time = max(self.time, time)
        if entry.id in self._seen:
            return Outcome.REPEATED
        self._seen[entry.id] = None
        if len(self._seen) > SEEN_IDS:
            del self._seen[next(iter(self._seen))]
        if entry.author not in self._members and not isinstance(
            entry.payload, record.Joined | record.Snapshot
        ):
            # An entry that was removed, perhaps while it was paused, must not
            # act any more. Of two that remove each other the first one stays.
            return Outcome.STALE
        match entry.payload:
            case record.BundleAccepted() as payload:
                return self._accept_bundle(payload, entry.author, offset)
            case record.Joined() as payload:
                if entry.author != payload.incarnation:
                    return Outcome.INVALID
                return self._join(payload, offset)
            case record.Suspected(incarnation=incarnation):
                if incarnation not in self._members:
                    return Outcome.STALE
                self._suspicions.setdefault(incarnation, offset)
                return Outcome.APPLIED
            case record.Refuted():
                self._suspicions.pop(entry.author, None)
                return Outcome.APPLIED
            case record.Removed(incarnation=incarnation, expected=expected):
                # A member that refuted the suspicion is not removed.
                if self._suspicions.get(incarnation) != expected:
                    return Outcome.STALE
                return self._end(incarnation, offset, graceful=False)
            case record.Left(incarnation=incarnation, complete=complete):
                if entry.author != incarnation:
                    return Outcome.INVALID
                outcome = self._end(incarnation, offset, graceful=True)
                if not self._members:
                    self._crashed = not complete
                return outcome
            case record.Closed() as payload:
                return self._close(entry.author, payload, offset)
            case record.WorkerAssigned() as payload:
                return self._assign(payload, offset)
            case record.MaintenanceStep() as payload:
                return self._step(payload, offset)
            case record.RollStep() as payload:
                return self._roll(payload, offset)
            case record.PlannerLease() as payload:
                return self._lease(payload, offset)
            case record.Snapshot() as payload:
                self.snapshot_offset = max(
                    self.snapshot_offset, payload.next_offset
                )
                self.snapshot_time = self.time
                return Outcome.APPLIED
        return Outcome.IGNORED

    def _accept_bundle(
        self, payload: record.BundleAccepted, author: Incarnation, offset: int
    ) -> Outcome:
        if payload.expected != self.version or payload.version <= self.version:
            return Outcome.STALE
        try:
            if payload.delta:
                text = delta.apply_delta(self.bundle_text, payload.content)
            else:
                text = delta.decompress(payload.content)
        except ValueError:
            return Outcome.INVALID
        digest = hashlib.sha256(text.encode()).digest()
        split = signature.split_signed(text)
        if digest != payload.digest or not isinstance(split, result.Success):
            return Outcome.INVALID
        signed = split.unwrap()
        parsed = self._parser.parse(signed.text)
        if not isinstance(parsed, result.Success):
            return Outcome.INVALID
        declared = parsed.unwrap()
        if declared.version != payload.version:
            return Outcome.INVALID
        self._install(declared, offset)
        self.bundle_text = text
        self.history.append(
            Accepted(
                declared.version,
                signed.operator,
                digest.hex(),
                offset,
                self.time,
                author,
            )
        )
        del self.history[:-HISTORY_VERSIONS]
        return Outcome.APPLIED

    def _install(self, declared: bundle.Bundle, offset: int) -> None:
        before = self.bundle
        if before is None or before.pools != declared.pools:
            self._assignments = self._assign_all(before, declared, offset)
            self._steps = {
                worker: step
                for worker, step in self._steps.items()
                if worker in self._assignments
            }
        self.bundle = declared
        self.bundle_offset = offset
        limits = list_team_limits(declared)
        if (
            before is None
            or before.pools != declared.pools
            or before.services != declared.services
        ):
            limits |= list_minion_limits(declared, self._assignments)
            gone = self._rights.keys() - limits.keys()
        else:
            gone = {team_resource(team) for team in before.teams} - (
                limits.keys()
            )
        for resource in sorted(gone):
            limits[resource] = 0
        self._set_limits(limits, offset)

    def _assign_all(
        self,
        before: bundle.Bundle | None,
        declared: bundle.Bundle,
        offset: int,
    ) -> dict[WorkerId, Assignment]:
        """Returns the assignments under a new bundle.

        A pool that operators change for a worker overrides the planner; one
        that they leave alone does not.
        """
        homes: dict[WorkerId, PoolId] = {}
        if before is not None:
            homes = {
                worker: pool
                for pool, spec in before.pools.items()
                for worker in spec.workers
            }
        assignments: dict[WorkerId, Assignment] = {}
        for pool, spec in declared.pools.items():
            new = Assignment(pool, offset + 1)
            for worker in spec.workers:
                present = self._assignments.get(worker)
                if (
                    present is None
                    or homes.get(worker) != pool
                    or present.pool not in declared.pools
                ):
                    present = new
                assignments[worker] = present
        return assignments

    def _set_limits(
        self, limits: Mapping[ResourceId, int], offset: int
    ) -> None:
        """Sets limits; a difference is minted, negative when lowered."""
        changed: dict[tuple[_Rights, int], _Rights] = {}
        changes: dict[ResourceId, int] = {}
        self.limit_changes = changes
        for resource, limit in limits.items():
            old = self._rights.get(resource, _NO_RIGHTS)
            if old.limit == limit:
                continue
            changes[resource] = limit
            if limit < old.limit:
                self._lowered[resource] = offset
            new = changed.get((old, limit))
            if new is None:
                new = self._spread(
                    dataclasses.replace(old, limit=limit), limit - old.limit
                )
                changed[old, limit] = new
            self._replace_rights(resource, old, new)

    def _spread(self, rights: _Rights, amount: int) -> _Rights:
        """Mints `amount` evenly over the members, in join order."""
        if not self._members:
            return dataclasses.replace(
                rights, unminted=rights.unminted + amount
            )
        minted = dict(rights.minted)
        parts = split_evenly(amount, len(self._members))
        for holder, part in zip(self._members, parts, strict=True):
            minted[holder] = minted.get(holder, 0) + part
            if not minted[holder]:
                del minted[holder]
        return dataclasses.replace(rights, minted=minted)

    def _replace_rights(
        self, resource: ResourceId, old: _Rights, new: _Rights
    ) -> None:
        if new.limit or new.unminted or new.minted:
            self._rights[resource] = new
        else:
            self._rights.pop(resource, None)
        if self.on_mint is None or old.minted is new.minted:
            return
        for holder in self._members:
            part = new.minted.get(holder, 0) - old.minted.get(holder, 0)
            if part:
                self.on_mint(resource, holder, part)

    def _join(self, payload: record.Joined, offset: int) -> Outcome:
        incarnation = payload.incarnation
        if incarnation in self._members or incarnation in self._ended:
            return Outcome.STALE
        first = not self._members
        self._members[incarnation] = Member(
            payload.entry,
            (payload.host, payload.port),
            payload.zone,
            offset,
            payload.newest_format,
        )
        self._carried[incarnation] = {}
        self._changed = offset
        for closing in self._closings.values():
            if closing.wait and not closing.waiting:
                # Nobody may be left who waits for the work of that member.
                closing.waiting[incarnation] = None
        if first:
            self._mint_unminted(offset)
        return Outcome.APPLIED

    def _mint_unminted(self, offset: int) -> None:
        """Gives the first member what was declared before it joined."""
        changed: dict[_Rights, _Rights] = {}
        for resource, old in list(self._rights.items()):
            if not old.unminted:
                continue
            if old.unminted < 0:
                self._lowered[resource] = offset
            new = changed.get(old)
            if new is None:
                new = changed[old] = self._spread(
                    dataclasses.replace(old, unminted=0), old.unminted
                )
            self._replace_rights(resource, old, new)

    def _end(
        self, incarnation: Incarnation, offset: int, *, graceful: bool
    ) -> Outcome:
        member = self._members.pop(incarnation, None)
        if member is None:
            return Outcome.STALE
        self._suspicions.pop(incarnation, None)
        self._changed = self._departed = offset
        self._ended[incarnation] = None
        if len(self._ended) > ENDED_INCARNATIONS:
            del self._ended[next(iter(self._ended))]
        # Work of a removed member that this one has not closed may still run,
        # so whoever closes this one must wait for it.
        unclosed = any(
            closing.wait and incarnation in closing.waiting
            for closing in self._closings.values()
        )
        self._closings[incarnation] = Closing(
            not graceful or unclosed,
            member.joined_offset,
            dict.fromkeys(self._members),
            {},
        )
        self._settle(offset)
        return Outcome.APPLIED

    def _close(
        self, author: Incarnation, payload: record.Closed, offset: int
    ) -> Outcome:
        closing = self._closings.get(payload.incarnation)
        if closing is None or author not in closing.waiting:
            return Outcome.STALE
        del closing.waiting[author]
        carried = self._carried[author]
        for sign, amounts in ((1, payload.given), (-1, payload.received)):
            for name, amount in amounts.items():
                resource = ResourceId(name)
                closing.net[resource] = (
                    closing.net.get(resource, 0) + sign * amount
                )
                # What the author received from a settled member stays part
                # of what the author holds, for its own settlement later.
                carried[resource] = carried.get(resource, 0) - sign * amount
        self._settle(offset)
        return Outcome.APPLIED

    def _settle(self, offset: int) -> None:
        """Mints anew the rights of removed members that are closed.

        Removed members that still wait for each other settle together: what
        passed between them is unknown, but it cancels out in their sum.
        """
        for group in self._group_closings():
            live = any(
                waited in self._members
                for incarnation in group
                for waited in self._closings[incarnation].waiting
            )
            if not live:
                self._settle_group(group, offset)

    def _group_closings(self) -> list[list[Incarnation]]:
        neighbours: dict[Incarnation, set[Incarnation]] = {
            incarnation: set() for incarnation in self._closings
        }
        for incarnation, closing in self._closings.items():
            for waited in closing.waiting:
                if waited in neighbours:
                    neighbours[incarnation].add(waited)
                    neighbours[waited].add(incarnation)
        groups = []
        left = dict.fromkeys(self._closings)
        while left:
            found = [next(iter(left))]
            for incarnation in found:
                left.pop(incarnation, None)
                found += [
                    item
                    for item in neighbours[incarnation]
                    if item not in found
                ]
            groups.append(found)
        return groups

    def _settle_group(self, group: list[Incarnation], offset: int) -> None:
        totals: dict[ResourceId, int] = {}
        for incarnation in group:
            closing = self._closings.pop(incarnation)
            for net in (closing.net, self._carried.pop(incarnation)):
                for resource, amount in net.items():
                    totals[resource] = totals.get(resource, 0) + amount
        changed: dict[tuple[_Rights, int], _Rights] = {}
        for resource in sorted(self._rights.keys() | totals.keys()):
            old = self._rights.get(resource, _NO_RIGHTS)
            total = totals.get(resource, 0)
            amount = total + sum(old.minted.get(item, 0) for item in group)
            if amount < 0:
                self._lowered[resource] = offset
            new = changed.get((old, total))
            if new is None:
                left = {
                    holder: part
                    for holder, part in old.minted.items()
                    if holder not in group
                }
                new = self._spread(
                    dataclasses.replace(old, minted=left), amount
                )
                changed[old, total] = new
            self._replace_rights(resource, old, new)

    def _assign(self, payload: record.WorkerAssigned, offset: int) -> Outcome:
        present = self._assignments.get(payload.worker)
        if present is None or present.version != payload.expected:
            return Outcome.STALE
        declared = self.bundle
        if declared is None or payload.pool not in declared.pools:
            return Outcome.STALE
        self._assignments[payload.worker] = Assignment(payload.pool, offset + 1)
        service = declared.services[declared.pools[payload.pool].service]
        worker = payload.worker
        self._set_limits(
            {
                ResourceId(f"slot:{worker}"): service.slots,
                ResourceId(f"connection:{worker}"): service.connections,
            },
            offset,
        )
        return Outcome.APPLIED

    def _step(self, payload: record.MaintenanceStep, offset: int) -> Outcome:
        present = self._steps.get(payload.worker)
        version = 0 if present is None else present.version
        if payload.worker not in self._assignments:
            return Outcome.STALE
        if version != payload.expected:
            return Outcome.STALE
        self._steps[payload.worker] = MaintenanceState(
            payload.step, offset + 1, self.time
        )
        return Outcome.APPLIED

    def _roll(self, payload: record.RollStep, offset: int) -> Outcome:
        version = 0 if self.roll is None else self.roll.version
        if version != payload.expected:
            return Outcome.STALE
        self.roll = Roll(
            payload.bundle_version, payload.zone, payload.phase, offset + 1
        )
        return Outcome.APPLIED

    def _lease(self, payload: record.PlannerLease, offset: int) -> Outcome:
        version = (
            0 if self.planner_lease is None else (self.planner_lease.version)
        )
        if version != payload.expected or payload.holder not in self._members:
            return Outcome.STALE
        self.planner_lease = Lease(
            payload.holder, self.time + payload.seconds, offset + 1
        )
        return Outcome.APPLIED

    def create_bundle_payload(self, text: str) -> record.BundleAccepted:
        """Returns the payload that would put a signed bundle into force.

        Args:
            text: Signed bundle, already verified by the caller.

        Raises:
            ValueError: The text is not a signed, valid bundle, or it may not
                follow the one in force.
        """
        split = signature.split_signed(text)
        if not isinstance(split, result.Success):
            raise ValueError(split.failure().render())
        parsed = self._parser.parse(split.unwrap().text)
        if not isinstance(parsed, result.Success):
            raise ValueError(parsed.failure()[0].render())
        declared = parsed.unwrap()
        if self.bundle is not None:
            conflicts = bundle.check_change(self.bundle, declared)
            if conflicts:
                raise ValueError(conflicts[0].render())
        version = declared.version
        content, is_delta = delta.compress(text), False
        if self.bundle is not None and version % FULL_BUNDLE_EVERY:
            smaller = delta.encode_delta(self.bundle_text, text)
            if len(smaller) < len(content):
                content, is_delta = smaller, True
        return record.BundleAccepted(
            self.version,
            version,
            is_delta,
            content,
            hashlib.sha256(text.encode()).digest(),
        )

    def is_snapshot_due(self, *, retained_from: int) -> bool:
        """Whether a snapshot should be written now.

        Args:
            retained_from: Oldest offset that the log still has.
        """
        since = self.next_offset - self.snapshot_offset
        if not self.based or since <= 0:
            return False
        retained = self.next_offset - retained_from
        return (
            since >= SNAPSHOT_RECORDS
            or self.time - self.snapshot_time >= SNAPSHOT_SECONDS
            # Half of the retained records is left to write it in.
            or (retained_from > 0 and since * 2 >= retained)
        )

    def snapshot(self) -> bytes:
        """Returns the state for `restore`; equal states give equal bytes."""
        raw = utils.serialize(self._to_image(), record.CODEC)
        return hashlib.sha256(raw).digest() + zlib.compress(raw)

    def create_bootstrap_payload(
        self, *, retained_from: int, head: int
    ) -> record.Snapshot | None:
        """Returns a snapshot of nothing when nothing is left to start from.

        Members write snapshots before records expire, so a log whose records
        have all expired has had no member for as long as it retains records.
        The first entry to come back writes this snapshot, and all others
        start from it; operators then roll their bundle again.

        Args:
            retained_from: Oldest offset that the log still has.
            head: Offset that the next record will get.
        """
        if self.based or self.version or retained_from != head:
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
            data: What `snapshot` returned, here or at another entry.

        Returns:
            A fault when the data is malformed or older than this state; the
            state is then unchanged.
        """
        return self._load(data)

    def _load(self, data: bytes) -> result.Result[None, fault.Fault]:
        try:
            raw = _check_snapshot(data)
            image = utils.deserialize(
                record.wire.StateImage(), raw, record.CODEC
            )
            loaded = _from_image(image)
        except Exception as error:  # The codec documents no exceptions.
            return _refuse_snapshot(f"undecodable: {error}")
        if self.based and loaded.next_offset < self.next_offset:
            return _refuse_snapshot(
                f"it ends at offset {loaded.next_offset}, this state at"
                f" {self.next_offset}"
            )
        if loaded.version < self.version:
            return _refuse_snapshot(
                f"its bundle {loaded.version} is older than {self.version}"
            )
        on_mint, outcomes = self.on_mint, self.outcomes
        loaded.limit_changes = loaded.list_limits()
        buffer, buffer_start = self._buffer, self._buffer_start
        self.__dict__.update(loaded.__dict__)
        self.on_mint, self.outcomes = on_mint, outcomes
        self._buffer, self._buffer_start = buffer, buffer_start
        return result.Success(None)

    def _to_image(self) -> Any:
        wire = record.wire
        return wire.StateImage(
            next_offset=self.next_offset,
            bundle_offset=self.bundle_offset,
            bundle_text=self.bundle_text,
            history=[
                wire.AcceptedImage(**dataclasses.asdict(item))
                for item in self.history
            ],
            members=[
                wire.MemberImage(
                    incarnation=incarnation,
                    entry=member.entry,
                    host=member.address[0],
                    port=member.address[1],
                    zone=member.zone,
                    joined_offset=member.joined_offset,
                    newest_format=member.newest_format,
                )
                for incarnation, member in self._members.items()
            ],
            assignments=self._group_assignments(),
            steps=[
                wire.StepImage(
                    worker=worker,
                    step=step.step.value,
                    version=step.version,
                    time=step.time,
                )
                for worker, step in sorted(self._steps.items())
            ],
            mints=self._group_mints(),
            closings=[
                wire.ClosingImage(
                    incarnation=incarnation,
                    wait=closing.wait,
                    joined_offset=closing.joined_offset,
                    waiting=list(closing.waiting),
                    net=_sort_amounts(closing.net),
                )
                for incarnation, closing in self._closings.items()
            ],
            carried=[
                wire.CarriedImage(
                    incarnation=incarnation, net=_sort_amounts(net)
                )
                for incarnation, net in sorted(self._carried.items())
                if net
            ],
            ended=list(self._ended),
            suspicions=dict(sorted(self._suspicions.items())),
            lowered=self._group_lowered(),
            changed=self._changed,
            departed=self._departed,
            crashed=self._crashed,
            seen=list(self._seen),
            lease=None
            if self.planner_lease is None
            else wire.LeaseImage(**dataclasses.asdict(self.planner_lease)),
            roll=None
            if self.roll is None
            else wire.RollImage(
                bundle_version=self.roll.bundle_version,
                zone=self.roll.zone,
                phase=self.roll.phase.value,
                version=self.roll.version,
            ),
            snapshot_offset=self.snapshot_offset,
            snapshot_time=self.snapshot_time,
            time=self.time,
        )

    def _group_assignments(self) -> list[Any]:
        groups: dict[Assignment, list[int]] = {}
        places = _place_workers(self.bundle)
        for worker, assignment in self._assignments.items():
            groups.setdefault(assignment, []).append(places[worker])
        return [
            record.wire.AssignmentGroup(
                pool=assignment.pool,
                version=assignment.version,
                runs=_join_runs(numbers),
            )
            for assignment, numbers in sorted(
                groups.items(), key=lambda item: item[1]
            )
        ]

    def _group_mints(self) -> list[Any]:
        shared: dict[int, tuple[_Rights, list[ResourceId]]] = {}
        for resource, rights in self._rights.items():
            shared.setdefault(id(rights), (rights, []))[1].append(resource)
        groups: dict[Any, list[ResourceId]] = {}
        for rights, resources in shared.values():
            key = (
                rights.limit,
                rights.unminted,
                tuple(sorted(rights.minted.items())),
            )
            groups.setdefault(key, []).extend(resources)
        places = _place_resources(self.bundle)
        return [
            record.wire.MintGroup(
                **_place_group(resources, places),
                limit=limit,
                unminted=unminted,
                minted=dict(minted),
            )
            for (limit, unminted, minted), resources in sorted(groups.items())
        ]

    def _group_lowered(self) -> list[Any]:
        groups: dict[int, list[ResourceId]] = {}
        for resource, offset in self._lowered.items():
            groups.setdefault(offset, []).append(resource)
        places = _place_resources(self.bundle) if groups else {}
        return [
            record.wire.LoweredGroup(
                **_place_group(resources, places), offset=offset
            )
            for offset, resources in sorted(groups.items())
        ]


def _place_group(
    resources: list[ResourceId], places: Mapping[ResourceId, int]
) -> dict[str, Any]:
    """Returns the runs of declared resources, and the names of others."""
    numbers = [places[item] for item in resources if item in places]
    others = [item for item in resources if item not in places]
    return {"runs": _join_runs(sorted(numbers)), "others": sorted(others)}


def _place_resources(declared: bundle.Bundle | None) -> dict[ResourceId, int]:
    return {
        resource: place
        for place, resource in enumerate(_list_resources(declared))
    }


def _list_workers(declared: bundle.Bundle | None) -> list[WorkerId]:
    """Returns all workers; snapshots refer to them by their place here."""
    if declared is None:
        return []
    return list(
        itertools.chain.from_iterable(
            spec.workers for spec in declared.pools.values()
        )
    )


def _place_workers(declared: bundle.Bundle | None) -> dict[WorkerId, int]:
    return {
        worker: place for place, worker in enumerate(_list_workers(declared))
    }


def _list_resources(declared: bundle.Bundle | None) -> list[ResourceId]:
    """Returns declared resources; snapshots refer to them by place."""
    if declared is None:
        return []
    workers = _list_workers(declared)
    return [
        *(team_resource(team) for team in declared.teams),
        *(ResourceId(f"slot:{worker}") for worker in workers),
        *(ResourceId(f"connection:{worker}") for worker in workers),
    ]


def _join_runs(numbers: list[int]) -> list[int]:
    """Returns ascending numbers as pairs of first number and count."""
    runs: list[int] = []
    for number in numbers:
        if runs and number == runs[-2] + runs[-1]:
            runs[-1] += 1
        else:
            runs += [number, 1]
    return runs


def _expand_runs(runs: list[int], names: list[Any]) -> Iterator[Any]:
    """Yields the names at the places that `runs` hold."""
    for first, count in zip(runs[::2], runs[1::2], strict=True):
        if not 0 <= first < first + count <= len(names):
            raise ValueError("run is out of range")
        yield from names[first : first + count]


def _check_snapshot(data: bytes) -> bytes:
    """Returns the content of a snapshot that is whole.

    thriftpy2 reads past the end of its input when a list claims to be longer
    than that, so nothing but whole content may reach it.

    Raises:
        ValueError: The data is not a whole snapshot.
    """
    inflater = zlib.decompressobj()
    try:
        raw = inflater.decompress(
            data[hashlib.sha256().digest_size :], record.MAX_PAYLOAD_BYTES
        )
    except zlib.error as error:
        raise ValueError(str(error)) from None
    digest = hashlib.sha256(raw).digest()
    if not inflater.eof or not data.startswith(digest):
        raise ValueError("snapshot is not whole")
    return raw


def _sort_amounts(amounts: dict[ResourceId, int]) -> dict[ResourceId, int]:
    return dict(sorted(amounts.items()))


def _refuse_snapshot(detail: str) -> result.Result[None, fault.Fault]:
    return result.Failure(fault.Fault(code=fault.Code.SNAPSHOT, detail=detail))


def _from_image(image: Any) -> ControlState:
    """Builds a state from a decoded snapshot; raises when it is not whole."""
    state = ControlState()
    state.next_offset = int(image.next_offset)
    state.bundle_offset = int(image.bundle_offset)
    state.bundle_text = image.bundle_text
    state.time = float(image.time)
    state.snapshot_offset = int(image.snapshot_offset)
    state.snapshot_time = float(image.snapshot_time)
    if image.bundle_text:
        signed = signature.split_signed(image.bundle_text).unwrap()
        state.bundle = state._parser.parse(signed.text).unwrap()
    state.history = [record.from_wire(Accepted, item) for item in image.history]
    for item in image.members:
        state._members[item.incarnation] = Member(
            item.entry,
            (item.host, item.port),
            item.zone,
            item.joined_offset,
            item.newest_format,
        )
        state._carried[item.incarnation] = {}
    workers = _list_workers(state.bundle)
    for group in image.assignments:
        assignment = Assignment(group.pool, group.version)
        for worker in _expand_runs(group.runs, workers):
            state._assignments[worker] = assignment
    if state._assignments.keys() != set(workers):
        raise ValueError("some workers have no assignment")
    for item in image.steps:
        state._steps[item.worker] = MaintenanceState(
            record.Step(item.step), item.version, item.time
        )
    names = _list_resources(state.bundle)
    for group in image.mints:
        rights = _Rights(group.limit, group.unminted, dict(group.minted))
        for resource in _expand_runs(group.runs, names):
            state._rights[resource] = rights
        for resource in group.others:
            state._rights[resource] = rights
    for item in image.closings:
        state._closings[item.incarnation] = Closing(
            item.wait,
            item.joined_offset,
            dict.fromkeys(item.waiting),
            dict(item.net),
        )
        state._carried[item.incarnation] = {}
    for item in image.carried:
        state._carried[item.incarnation] = dict(item.net)
    state._suspicions = dict(image.suspicions)
    for group in image.lowered:
        for resource in [*_expand_runs(group.runs, names), *group.others]:
            state._lowered[resource] = group.offset
    state._changed = int(image.changed)
    state._departed = int(image.departed)
    state._crashed = bool(image.crashed)
    state._ended = dict.fromkeys(image.ended)
    state._seen = dict.fromkeys(image.seen)
    if image.lease is not None:
        state.planner_lease = record.from_wire(Lease, image.lease)
    if image.roll is not None:
        state.roll = record.from_wire(Roll, image.roll)
    return state


if __name__ == "__main__":
    demo = ControlState()
    me = Incarnation("entry-1/0")
    joined = record.Joined(
        me, EntryId("entry-1"), "127.0.0.1", 7000, ZoneId("hobart")
    )
    print(demo.apply(record.create_record(me, joined), 0, 1.0))
    print(demo.members, len(demo.snapshot()))
