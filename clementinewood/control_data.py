"""Data types of the state folded from the control stream."""

import dataclasses
import enum
from collections.abc import Mapping

from clementinewood import bundle, fleet_fold, membership, roll_state
from clementinewood.identifiers import (
    EntryId,
    Incarnation,
    RecordId,
    WorkerId,
    ZoneId,
)

Bundle = bundle.Bundle


class Outcome(enum.Enum):
    """Result of applying a record to the state."""

    APPLIED = "applied"
    STALE = "stale"
    REPEATED = "repeated"
    INVALID = "invalid"
    IGNORED = "ignored"
    BUFFERED = "buffered"


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """An entry that is a member.

    Attributes:
        entry: Configured name.
        address: IP address and port of its peer listener.
        zone: Availability zone.
        joined_offset: Offset of its `Joined` record.
        newest_format: Newest record format that it can read.
    """

    entry: EntryId
    address: tuple[str, int]
    zone: ZoneId
    joined_offset: int
    newest_format: int


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """A bundle that came into force.

    Attributes:
        version: Its version.
        operator: Operator who signed it.
        digest: SHA-256 of the signed text, in hexadecimal.
        offset: Offset of its record.
        time: Log time of its record, in Unix seconds.
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
    """Membership content of a control record.

    Attributes:
        payload: Payload applied to the roster; `Limits` lists only the limits
            that changed.
        counted: Whether it changed the roster. A stale or repeated record
            changes nothing, but shows its author that the log stored it.
    """

    payload: membership.Payload
    counted: bool


@dataclasses.dataclass(eq=False)
class Content:
    """The folded state; a snapshot stores all of it.

    Attributes:
        next_offset: Offset of the next record.
        time: Highest log time of a folded record, in Unix seconds.
        bundle: Bundle in force.
        bundle_text: Signed text of that bundle.
        bundle_offset: Offset of that bundle's record; -1 without one.
        history: Latest bundles that came into force.
        members: Members in join order.
        roster: Members, suspicions and issued tokens.
        ended: Latest incarnations that were removed or left.
        fleet: Pools and steps of hosts, roll, pause and planner lease.
        seen: Ids of the latest records, to detect repeats.
        snapshot_offset: `next_offset` of the latest snapshot in the log.
        snapshot_time: Log time of that snapshot, in Unix seconds.
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
    fleet: fleet_fold.FleetState = dataclasses.field(
        default_factory=fleet_fold.FleetState
    )
    seen: dict[RecordId, None] = dataclasses.field(default_factory=dict)
    snapshot_offset: int = 0
    snapshot_time: float = 0.0

    @property
    def assignments(self) -> Mapping[WorkerId, fleet_fold.HostState]:
        """State of each host, with its pool and version."""
        return self.fleet.hosts

    @property
    def steps(self) -> Mapping[WorkerId, fleet_fold.HostState]:
        """State of each host that is not in service."""
        return {
            worker: host
            for worker, host in self.fleet.hosts.items()
            if host.step is not fleet_fold.Step.IN_SERVICE
        }

    @property
    def planner_lease(self) -> fleet_fold.LeaseState | None:
        """Latest lease of the planner, or None without a holder."""
        lease = self.fleet.lease
        return None if lease.holder is None else lease

    @property
    def roll(self) -> roll_state.RollState:
        """Progress of the newest bundle through the zones."""
        return self.fleet.roll
