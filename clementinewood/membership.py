"""Members known from the log, suspicion, removal and fencing.

`Roster` is the deterministic fold of the membership records. `Membership` is
one entry's view: whom it hears, and what it should append next.
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
        fresh: How long evidence of a current configuration counts.
        start_window: How long after the decision a minion may start the work
            (`X-Start-Before`).
        run_limit: How long work may run after its start.
        margin: Covers differences between wall clocks and scheduling.
        drift: Highest difference in rate between two clocks, as a fraction.
        suspect_after: Silence after which a peer is suspected.
        remove_after: Time to refute a suspicion through the log.
        resuspect_delay: Pause before a refuted suspicion is raised again.
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
        """Wait after which an entry cut off from the log starts nothing."""
        return (self.fresh + self.start_window) * (
            1 + 2 * self.drift
        ) + self.margin

    @property
    def append_pause(self) -> float:
        """Time without appends after stating that the log is out of reach."""
        return self.fresh * (1 + 2 * self.drift) + self.margin

    @property
    def fencing_delay(self) -> float:
        """Wait after which all work of a removed member has stopped."""
        return self.isolation_delay + self.run_limit * (1 + 2 * self.drift)


@dataclasses.dataclass(frozen=True, slots=True)
class Joined:
    """The author becomes a member."""


@dataclasses.dataclass(frozen=True, slots=True)
class Suspected:
    """A member is silent; it refutes this if it reads the log."""

    member: Incarnation


@dataclasses.dataclass(frozen=True, slots=True)
class Refuted:
    """The author is alive.

    Attributes:
        offset: Control offset that it has folded.
        flushed: All claims it recorded in an outage are in the log.
        complete: It knows every claim that may have run.
        debts: Resources of which it runs more than it holds.
        opened: Lowerings up to this offset are settled at all members. This
            and the debts reach members that cannot hear the author.
    """

    offset: int
    flushed: bool
    complete: bool
    debts: frozenset[ledger.ResourceId] = frozenset()
    opened: int = -1


@dataclasses.dataclass(frozen=True, slots=True)
class Removed:
    """Removes a member while the suspicion at `expected` stands."""

    member: Incarnation
    expected: int


@dataclasses.dataclass(frozen=True, slots=True)
class Left:
    """The author leaves; it runs nothing and has flushed its claims.

    Attributes:
        complete: It knew every claim that may have run.
    """

    complete: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits in force from this record on, as a bundle states them.

    Attributes:
        limits: Limit of each resource.
        whole: Resources that are not named have no limit any more; otherwise
            they keep theirs.
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
"""Control records as far as members and limits are concerned."""


class ActionKind(enum.Enum):
    """What an entry should do apart from appending a record."""

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
    `Joined`: of two members that remove each other, the first one stays.

    Args:
        escrow: Accounts that joins, removals and fencing records change.

    Attributes:
        suspicions: Offset of the standing suspicion of each suspected member.
        changed: Offset at which the members last changed.
        departed: Offset at which a member was last removed or left.
        crashed: The last member left without knowing every claim.
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
            Whether it counted.
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
        """Returns the fold as JSON types, for a snapshot."""
        return {
            "mints": self.escrow.dump(),
            "suspicions": self.suspicions,
            "changed": self.changed,
            "departed": self.departed,
            "crashed": self.crashed,
        }

    @classmethod
    def load(cls, data: Mapping[str, Any]) -> "Roster":
        """Returns the fold that `dump` wrote."""
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
    """One entry's view of its peers, and what it should append next.

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
        self._heard: dict[Incarnation, float] = {}
        self._absent: dict[Incarnation, float] = {}
        self._fenced: set[Incarnation] = set()
        self._removed_at: dict[Incarnation, float] = {}
        self._suspected_at: dict[Incarnation, tuple[int, float]] = {}
        self._resuspect_at: dict[Incarnation, float] = {}
        self._awaited: set[Incarnation] = set()
        self._has_complete_claims = False
        self._claims_missed_at = float("-inf")
        self._decided = float("-inf")

    @property
    def is_member(self) -> bool:
        """Whether this incarnation is a member as last folded."""
        return self.me in self.roster.members

    @property
    def is_confirmed(self) -> bool:
        """Whether every older member knows this entry or is closed.

        Before that, an older member may take the log for unreachable by all
        while this entry reads and appends to it.
        """
        return self.is_member and not self._awaited

    def awaits(self, member: Incarnation) -> bool:
        """Returns whether an older member has yet to confirm this entry."""
        return member in self._awaited

    def is_complete(self, now: float) -> bool:
        """Returns whether every claim that may have run is known here.

        Claims of an outage are lost if all members that recorded them died
        before the log was back; without a survivor an entry waits until such
        claims have expired. The wait starts when the last of them is closed,
        since they may have recorded claims until then.
        """
        if not self.is_confirmed or self._confirmed_at is None:
            return False
        lapse = self.window * (1 + 2 * self.timing.drift)
        if now - self._claims_missed_at <= lapse:
            return False
        return self._has_complete_claims or now - self._confirmed_at > lapse

    def on_claims_missed(self, now: float) -> None:
        """Notes that claims expired in the log before they were read here.

        Peers can't stand in for the log: they drop claims by log time and do
        not hand them out.
        """
        self._claims_missed_at = now

    def on_record(
        self, author: Incarnation, payload: Payload, offset: int, now: float
    ) -> bool:
        """Folds one record and notes when this entry learned of it.

        Returns:
            Whether the record counted.
        """
        if not self.roster.apply(author, payload, offset):
            return False
        self.on_folded(author, payload, offset, now)
        return True

    def on_folded(
        self, author: Incarnation, payload: Payload, offset: int, now: float
    ) -> None:
        """Notes when this entry learned of a record that the roster counted.

        Call it right after the fold, before the next record.
        """
        match payload:
            case Joined() if author == self.me:
                self._start(now)
            case Joined():
                self._heard[author] = now
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
                self._heard.pop(member, None)
            case Left(complete):
                self._removed_at[author] = now
                self._forget(author)
                self._heard.pop(author, None)
                if author in self._awaited and complete:
                    # Its claims are in the log.
                    self._has_complete_claims = True
        self._drop_settled(now)

    def adopt_roster(self, roster: Roster, now: float) -> None:
        """Goes on with a roster that a snapshot rebuilt.

        When the missed records landed is unknown, so all waits that they
        begin start now.
        """
        self.roster = roster
        members, removals = roster.members, roster.escrow.removals
        if self.joined_at is None:
            if self.is_member:
                self._start(now)
                # A member that ended in the gap may have known more claims.
                self._has_complete_claims = (
                    self._has_complete_claims and not removals
                )
            return
        self._heard = {
            member: self._heard.get(member, now)
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
        self._absent = {
            member: since
            for member, since in self._absent.items()
            if member in known
        }
        self._drop_settled(now)

    def _drop_settled(self, now: float) -> None:
        """Forgets removed members whose tokens are reissued."""
        removals = self.roster.escrow.removals
        for member in self._removed_at.keys() - removals.keys():
            del self._removed_at[member]
            self._absent.pop(member, None)
            self._fenced.discard(member)
        self._awaited &= self.roster.members.keys() | removals.keys()
        self._mark_confirmed(now)

    def record_message(self, member: Incarnation, now: float) -> None:
        """Notes a message from a peer."""
        if member in self._heard:
            self._heard[member] = max(self._heard[member], now)

    def on_confirmed(
        self, member: Incarnation, offset: int, complete: bool, now: float
    ) -> None:
        """Notes that a member has folded up to `offset`.

        Call this only after the claims that the member has not flushed to the
        log have arrived.

        Args:
            member: The older member.
            offset: Control offset that it has folded.
            complete: Whether it knows every claim that may have run.
            now: Monotonic time.
        """
        joined = self.roster.members.get(self.me)
        if joined is None or offset < joined or member not in self._awaited:
            return
        self._awaited.discard(member)
        self._has_complete_claims = self._has_complete_claims or complete
        self._mark_confirmed(now)

    def on_absent(self, member: Incarnation, now: float) -> None:
        """Notes that the process of a member does not exist any more.

        Its host refuses connections or is off the host list, or a new
        incarnation speaks from its address.
        """
        if member in self.roster.escrow.accounts:
            self._absent.setdefault(member, now)

    def suspects(self, now: float) -> list[Incarnation]:
        """Returns the members that are gone or have been silent too long."""
        return [
            member
            for member, heard in self._heard.items()
            if member in self._absent or now - heard > self.timing.suspect_after
        ]

    def decide(
        self, now: float, *, may_append: bool, log_usable: bool = True
    ) -> list[Action | Suspected | Removed]:
        """Returns what this entry should do now; call it a few times a second.

        Args:
            now: Monotonic time.
            may_append: Whether this entry reads the log and made no promise
                to append nothing.
            log_usable: Whether it reads the log; a refutation breaks no
                promise, since it changes no configuration.
        """
        if now - self._decided > self.timing.suspect_after / 2:
            # After a pause of this process every peer looks silent.
            for member in self._heard:
                self._heard[member] = now
        self._decided = now
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

        A member that never confirmed this entry may go on acting with others
        that cannot reach the log either, since it does not know that this
        entry reads the log. Then only the end of its process counts, or the
        closing by a member that it knows.
        """
        if (
            not self.roster.escrow.needs_fencing_delay(member)
            or member in self._fenced
        ):
            return True
        since = self._removed_at.setdefault(member, now)
        if member in self._awaited:
            since = max(since, self._absent.get(member, float("inf")))
        return now - since >= self.timing.fencing_delay

    def _start(self, now: float) -> None:
        """Begins membership; every older member must confirm it."""
        self.joined_at = now
        older = self.roster.members.keys() - {self.me}
        removals = self.roster.escrow.removals.keys()
        self._awaited = set(older | removals)
        self._has_complete_claims = not older and not self.roster.crashed
        self._heard = dict.fromkeys(older, now)
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
                if now >= self._resuspect_at.get(member, now):
                    again = now + self.timing.resuspect_delay
                    self._resuspect_at[member] = again
                    yield Suspected(member)
            elif now - known[1] >= self.timing.remove_after and (
                self.is_confirmed or member in self._absent
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
