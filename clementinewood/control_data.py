"""What the fold of the control stream consists of."""

import dataclasses
import enum

from clementinewood import bundle, membership, record
from clementinewood.identifiers import (
    EntryId,
    Incarnation,
    PoolId,
    RecordId,
    WorkerId,
    ZoneId,
)

Bundle = bundle.Bundle


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


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipChange:
    """What a record says about members or limits.

    Attributes:
        payload: What the roster was given; limits hold the changed ones only.
        counted: Whether it changed the roster. A stale or repeated record
            changes nothing, but shows its author that it landed.
    """

    payload: membership.Payload
    counted: bool


@dataclasses.dataclass(eq=False)
class Content:
    """The folded state, all of which a snapshot holds.

    Attributes:
        next_offset: Offset of the next record.
        time: Log time reached; it never steps back.
        bundle: Bundle in force.
        bundle_text: Its signed text.
        bundle_offset: Offset of its record.
        history: Latest bundles that came into force.
        members: Members in join order.
        roster: Members, suspicions and minted rights.
        ended: Incarnations that were removed or left.
        assignments: Pool of every declared worker.
        steps: Maintenance of workers that ever were in a step.
        seen: Ids of the latest records.
        planner_lease: Latest lease of the planner.
        roll: Progress of the latest roll.
        snapshot_offset: `next_offset` of the latest snapshot in the log.
        snapshot_time: Log time of that snapshot.
    """

    next_offset: int = 0
    time: float = 0.0
    bundle: Bundle | None = None
    bundle_text: str = ""
    bundle_offset: int = -1
    history: list[Accepted] = dataclasses.field(default_factory=list)
    members: dict[Incarnation, Member] = dataclasses.field(default_factory=dict)
    roster: membership.Roster = dataclasses.field(
        default_factory=membership.Roster
    )
    ended: dict[Incarnation, None] = dataclasses.field(default_factory=dict)
    assignments: dict[WorkerId, Assignment] = dataclasses.field(
        default_factory=dict
    )
    steps: dict[WorkerId, MaintenanceState] = dataclasses.field(
        default_factory=dict
    )
    seen: dict[RecordId, None] = dataclasses.field(default_factory=dict)
    planner_lease: Lease | None = None
    roll: Roll | None = None
    snapshot_offset: int = 0
    snapshot_time: float = 0.0
