"""Cluster membership: joins, suspicion, removal and fencing.

`Roster` is the deterministic fold of the membership records. `Membership`
tracks which peers one entry receives messages from, and decides what the entry
should append next.
"""

import dataclasses
import enum
from collections.abc import Iterable, Mapping
from typing import Any

from clementinewood import identifiers, ledger

Incarnation = identifiers.Incarnation


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Bounds in seconds that every entry of a cluster shares.

    Attributes:
        fresh: Age up to which a configuration counts as fresh.
        start_window: Time after the decision within which a minion may start
            the work (`X-Start-Before`).
        run_limit: Maximum run time of work.
        margin: Allowance for differences between wall clocks and for
            scheduling delays.
        drift: Maximum difference in rate between two clocks, as a fraction.
        suspect_after: Time without a message after which a peer is suspected.
        remove_after: Time that a suspected member has to refute through the
            log.
        resuspect_delay: Minimum time between two suspicions of a member.
    """

    fresh: float = 2.0
    start_window: float = 0.5
    run_limit: float = 30.0
    margin: float = 1.0
    drift: float = 0.001
    suspect_after: float = 3.0
    remove_after: float = 2.0
    resuspect_delay: float = 30.0

    @property
    def isolation_delay(self) -> float:
        """Seconds after which an entry without the log starts no work."""
        return (self.fresh + self.start_window) * (
            1 + 2 * self.drift
        ) + self.margin

    @property
    def append_pause(self) -> float:
        """Seconds without appends after reporting the log unreachable."""
        return self.fresh * (1 + 2 * self.drift) + self.margin

    @property
    def fencing_delay(self) -> float:
        """Seconds after which all work of a removed member has stopped."""
        return self.isolation_delay + self.run_limit * (1 + 2 * self.drift)


@dataclasses.dataclass(frozen=True, slots=True)
class Joined:
    """The author becomes a member."""


@dataclasses.dataclass(frozen=True, slots=True)
class Suspected:
    """Suspects an unresponsive member, which refutes it if it is alive."""

    member: Incarnation


@dataclasses.dataclass(frozen=True, slots=True)
class Refuted:
    """Refutes a suspicion of the author.

    Attributes:
        offset: Control offset that the author has folded.
        flushed: Whether all claims it recorded in an outage are in the log.
        complete: Whether it knows every claim that may have run.
        debts: Resources in deficit: it uses more tokens than it holds.
        opened: Limit reductions up to this offset are settled at all members.
            The record carries this and `debts` to members that receive no
            messages from the author.
    """

    offset: int
    flushed: bool
    complete: bool
    debts: frozenset[ledger.ResourceId] = frozenset()
    opened: int = -1


@dataclasses.dataclass(frozen=True, slots=True)
class Removed:
    """Removes a member if the suspicion at `expected` is not refuted."""

    member: Incarnation
    expected: int


@dataclasses.dataclass(frozen=True, slots=True)
class Left:
    """The author leaves; it runs no work and has flushed its claims.

    Attributes:
        complete: Whether it knew every claim that may have run.
    """

    complete: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits of a bundle, in force from its record on.

    Attributes:
        limits: Limit of each resource.
        whole: Whether limits of resources that are not listed are removed;
            otherwise they are kept.
    """

    limits: Mapping[ledger.ResourceId, int]
    whole: bool = True


Payload = (
    Joined
    | Suspected
    | Refuted
    | Removed
    | Left
    | Limits
    | ledger.FencingRecord
)
"""Content of the control records that change members or limits."""


class ActionKind(enum.Enum):
    """Action that needs data which `Membership` does not have."""

    REFUTE = "refute"
    CLOSE = "close"
    REJOIN = "rejoin"


@dataclasses.dataclass(frozen=True, slots=True)
class Action:
    """A kind of action and the member it concerns."""

    kind: ActionKind
    member: Incarnation


class Roster:
    """Deterministic fold of the membership records and limits.

    Records whose author is not a member at their offset are ignored, except
    `Joined`. If two members remove each other, the first record counts.

    Args:
        escrow: Accounts that joins, removals and fencing records change.

    Attributes:
        suspicions: Offset of the unrefuted suspicion of each suspected member.
        changed: Control offset of the last membership change.
        departed: Control offset of the last removal or leave.
        crashed: Whether the last member left without knowing every claim.
    """

    def __init__(self, escrow: ledger.EscrowAccounts | None = None) -> None:
        self.escrow = escrow if escrow is not None else ledger.EscrowAccounts()
        self.suspicions: dict[Incarnation, int] = {}
        self.changed = -1
        self.departed = -1
        self.crashed = False

    @property
    def members(self) -> dict[Incarnation, int]:
        """Offset at which each member joined, in join order."""
        return self.escrow.members

    def apply(self, author: Incarnation, payload: Payload, offset: int) -> bool:
        """Applies one record.

        Returns:
            False if it was ignored as stale or invalid.
        """
        if author not in self.members and not isinstance(payload, Joined):
            return False
        match payload:
            case Joined():
                if author in self.members or author in self.escrow.removals:
                    return False
                self.escrow.join(author, offset)
                self.changed = offset
            case Suspected(member):
                if member not in self.members:
                    return False
                self.suspicions.setdefault(member, offset)
            case Refuted():
                self.suspicions.pop(author, None)
            case Removed(member, expected):
                if self.suspicions.get(member) != expected:
                    return False
                self._drop(member, offset, graceful=False)
            case Left(complete):
                self._drop(author, offset, graceful=True)
                if not self.members:
                    self.crashed = not complete
            case Limits(limits, whole):
                gone = self.escrow.limits.keys() if whole else frozenset()
                for resource in sorted(limits.keys() | gone):
                    self.escrow.set_limit(
                        resource, limits.get(resource, 0), offset
                    )
            case ledger.FencingRecord():
                return (
                    payload.author == author
                    and self.escrow.apply_fencing_record(payload, offset)
                )
        return True

    def dump(self) -> dict[str, Any]:
        """Returns the roster as JSON types, for a snapshot."""
        return {
            "mints": self.escrow.dump(),
            "suspicions": self.suspicions,
            "changed": self.changed,
            "departed": self.departed,
            "crashed": self.crashed,
        }

    @classmethod
    def load(cls, data: Mapping[str, Any]) -> "Roster":
        """Returns the roster that `dump` wrote."""
        roster = cls(ledger.EscrowAccounts.load(data["mints"]))
        roster.suspicions = dict(data["suspicions"])
        roster.changed = data["changed"]
        roster.departed = data["departed"]
        roster.crashed = data["crashed"]
        return roster

    def _drop(
        self, member: Incarnation, offset: int, *, graceful: bool
    ) -> None:
        self.suspicions.pop(member, None)
        self.escrow.remove(member, offset, graceful=graceful)
        self.changed = self.departed = offset


class Membership:
    """Tracks an entry's peers and decides what it should append next.

    Args:
        me: Incarnation of this entry.
        roster: Fold of the control stream that this entry applies.
        timing: Bounds shared by the cluster.
        window: Seconds for which claims are kept.
    """

    def __init__(
        self,
        me: Incarnation,
        roster: Roster,
        *,
        timing: Timing | None = None,
        window: float = 3600.0,
    ) -> None:
        self.me = me
        self.roster = roster
        self.timing = timing if timing is not None else Timing()
        self.window = window
        self.joined_at: float | None = None
        self._confirmed_at: float | None = None
        self._last_message_at: dict[Incarnation, float] = {}
        self._absent_since: dict[Incarnation, float] = {}
        self._fenced: set[Incarnation] = set()
        self._removed_at: dict[Incarnation, float] = {}
        self._suspected_at: dict[Incarnation, tuple[int, float]] = {}
        self._next_suspicion_at: dict[Incarnation, float] = {}
        self._unconfirmed_by: set[Incarnation] = set()
        self._has_complete_claims = False
        self._claims_missed_at = float("-inf")
        self._decided_at = float("-inf")

    @property
    def is_member(self) -> bool:
        """Whether this incarnation is a member as last folded."""
        return self.me in self.roster.members

    @property
    def is_confirmed(self) -> bool:
        """Whether every older member has confirmed this entry or is fenced.

        Before that, an older member that does not know this entry may conclude
        that no member can reach the log while this entry appends to it.
        """
        return self.is_member and not self._unconfirmed_by

    def awaits(self, member: Incarnation) -> bool:
        """Returns whether an older member has yet to confirm this entry."""
        return member in self._unconfirmed_by

    def is_complete(self, now: float) -> bool:
        """Returns whether every claim that may have run is known here.

        Outage claims are lost if all members that recorded them crash before
        the log is reachable again. If none of these members survives, an entry
        waits until such claims have expired. The wait starts when the last of
        them is fenced, since they may have recorded claims until then.
        """
        if not self.is_confirmed or self._confirmed_at is None:
            return False
        lapse = self.window * (1 + 2 * self.timing.drift)
        if now - self._claims_missed_at <= lapse:
            return False
        return self._has_complete_claims or now - self._confirmed_at > lapse

    def on_claims_missed(self, now: float) -> None:
        """Handles claims that expired in the log before they were read.

        They cannot be read from peers instead, which expire claims by log time
        and do not send logged ones.
        """
        self._claims_missed_at = now

    def on_record(
        self, author: Incarnation, payload: Payload, offset: int, now: float
    ) -> bool:
        """Folds one record and stores the time at which it was read.

        Returns:
            False if the record was ignored as stale or invalid.
        """
        if not self.roster.apply(author, payload, offset):
            return False
        self.on_folded(author, payload, offset, now)
        return True

    def on_folded(
        self, author: Incarnation, payload: Payload, offset: int, now: float
    ) -> None:
        """Stores when a record that changed the roster was read.

        Call it right after the fold, before the next record.
        """
        match payload:
            case Joined() if author == self.me:
                self._start(now)
            case Joined():
                self._last_message_at[author] = now
            case Suspected(member):
                if self.roster.suspicions[member] == offset:
                    self._suspected_at[member] = (offset, now)
            case Refuted(offset=folded, flushed=flushed, complete=complete):
                self._forget(author)
                if flushed:
                    self.on_confirmed(author, folded, complete, now)
            case ledger.FencingRecord(member):
                self._fenced.add(member)
            case Removed(member):
                self._removed_at[member] = now
                self._forget(member)
                self._last_message_at.pop(member, None)
            case Left(complete):
                self._removed_at[author] = now
                self._forget(author)
                self._last_message_at.pop(author, None)
                if author in self._unconfirmed_by and complete:
                    # Its claims are in the log.
                    self._has_complete_claims = True
        self._drop_settled(now)

    def adopt_roster(self, roster: Roster, now: float) -> None:
        """Replaces the roster with that of a snapshot.

        The append times of the missed records are unknown, so all delays that
        depend on them start now.
        """
        self.roster = roster
        members, removals = roster.members, roster.escrow.removals
        if self.joined_at is None:
            if self.is_member:
                self._start(now)
                # A member that departed in the gap may have known claims that
                # no remaining member knows.
                self._has_complete_claims = (
                    self._has_complete_claims and not removals
                )
            return
        self._last_message_at = {
            member: self._last_message_at.get(member, now)
            for member in members
            if member != self.me
        }
        self._removed_at = {
            member: self._removed_at.get(member, now) for member in removals
        }
        self._suspected_at = {
            member: (
                self._suspected_at[member]
                if self._suspected_at.get(member, (-1, now))[0] == offset
                else (offset, now)
            )
            for member, offset in roster.suspicions.items()
        }
        known = members.keys() | removals.keys()
        self._fenced &= removals.keys()
        self._absent_since = {
            member: since
            for member, since in self._absent_since.items()
            if member in known
        }
        self._drop_settled(now)

    def _drop_settled(self, now: float) -> None:
        """Deletes removed members whose tokens are reissued."""
        removals = self.roster.escrow.removals
        for member in self._removed_at.keys() - removals.keys():
            del self._removed_at[member]
            self._absent_since.pop(member, None)
            self._fenced.discard(member)
        self._unconfirmed_by &= self.roster.members.keys() | removals.keys()
        self._mark_confirmed(now)

    def record_message(self, member: Incarnation, now: float) -> None:
        """Stores the time of a message from a peer."""
        if member in self._last_message_at:
            self._last_message_at[member] = max(
                self._last_message_at[member], now
            )

    def on_confirmed(
        self, member: Incarnation, offset: int, complete: bool, now: float
    ) -> None:
        """Handles a member's confirmation that it folded up to `offset`.

        Call this only after receiving the claims that the member has not
        flushed to the log.

        Args:
            member: The older member.
            offset: Control offset that it has folded.
            complete: Whether it knows every claim that may have run.
            now: Monotonic time.
        """
        joined = self.roster.members.get(self.me)
        if (
            joined is None
            or offset < joined
            or member not in self._unconfirmed_by
        ):
            return
        self._unconfirmed_by.discard(member)
        self._has_complete_claims = self._has_complete_claims or complete
        self._mark_confirmed(now)

    def on_absent(self, member: Incarnation, now: float) -> None:
        """Records that the process of a member no longer exists.

        Its host refuses connections or is not on the host list, or a new
        incarnation sends from its address.
        """
        if member in self.roster.escrow.accounts:
            self._absent_since.setdefault(member, now)

    def suspects(self, now: float) -> list[Incarnation]:
        """Returns the members that are absent or unresponsive."""
        return [
            member
            for member, heard in self._last_message_at.items()
            if member in self._absent_since
            or now - heard > self.timing.suspect_after
        ]

    def decide(
        self, now: float, *, may_append: bool, log_usable: bool = True
    ) -> list[Action | Suspected | Removed]:
        """Returns what this entry should do now; call it a few times a second.

        Args:
            now: Monotonic time.
            may_append: Whether this entry reads the log and has not reported
                it unreachable, which would forbid appends.
            log_usable: Whether it reads the log. A refutation needs only this,
                since it changes no configuration.
        """
        if now - self._decided_at > self.timing.suspect_after / 2:
            # After a pause of this process every peer seems unresponsive.
            for member in self._last_message_at:
                self._last_message_at[member] = now
        self._decided_at = now
        if self.joined_at is not None and not self.is_member:
            return [Action(ActionKind.REJOIN, self.me)]
        if self.joined_at is None or not log_usable:
            return []
        actions: list[Action | Suspected | Removed] = []
        if self.me in self.roster.suspicions:
            actions.append(Action(ActionKind.REFUTE, self.me))
        if not may_append:
            return actions
        actions.extend(self._decide_suspicions(now))
        actions.extend(
            Action(ActionKind.CLOSE, member)
            for member in self.roster.escrow.list_unfenced(self.me)
            if self.may_fence(member, now)
        )
        return actions

    def may_fence(self, member: Incarnation, now: float) -> bool:
        """Returns whether all work of a removed member has stopped.

        A member that never confirmed this entry may keep starting work
        together with others that cannot reach the log, since it does not know
        that this entry reads the log. It is then fenced only a delay after its
        process ended, or once a member that it knows has fenced it.
        """
        if (
            not self.roster.escrow.needs_fencing_delay(member)
            or member in self._fenced
        ):
            return True
        since = self._removed_at.setdefault(member, now)
        if member in self._unconfirmed_by:
            since = max(since, self._absent_since.get(member, float("inf")))
        return now - since >= self.timing.fencing_delay

    def _start(self, now: float) -> None:
        """Starts the membership, which all older members must confirm."""
        self.joined_at = now
        older = self.roster.members.keys() - {self.me}
        removals = self.roster.escrow.removals.keys()
        self._unconfirmed_by = set(older | removals)
        self._has_complete_claims = not older and not self.roster.crashed
        self._last_message_at = dict.fromkeys(older, now)
        self._removed_at = dict.fromkeys(removals, now)
        self._suspected_at = {
            member: (offset, now)
            for member, offset in self.roster.suspicions.items()
        }

    def _mark_confirmed(self, now: float) -> None:
        if self.is_confirmed and self._confirmed_at is None:
            self._confirmed_at = now

    def _forget(self, member: Incarnation) -> None:
        self._suspected_at.pop(member, None)

    def _decide_suspicions(self, now: float) -> Iterable[Suspected | Removed]:
        for member in self.suspects(now):
            known = self._suspected_at.get(member)
            if known is None:
                if now >= self._next_suspicion_at.get(member, now):
                    again = now + self.timing.resuspect_delay
                    self._next_suspicion_at[member] = again
                    yield Suspected(member)
            elif now - known[1] >= self.timing.remove_after and (
                self.is_confirmed or member in self._absent_since
            ):
                yield Removed(member, known[0])


if __name__ == "__main__":
    one, two = Incarnation("one/1"), Incarnation("two/1")
    membership = Membership(one, Roster())
    membership.on_record(one, Joined(), 1, 0.0)
    membership.on_record(two, Joined(), 2, 0.0)
    membership.decide(0.0, may_append=True)
    membership.decide(1.0, may_append=True)
    membership.decide(2.0, may_append=True)
    print(membership.decide(3.1, may_append=True))
