"""Members known from the log, suspicion, removal and closing.

`Roster` is the deterministic fold of the membership records. `Membership` is
one entry's view: whom it hears, and what it should append next.
"""

import dataclasses
from collections.abc import Iterable

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
        suspect_again: Pause before a refuted suspicion is raised again.
    """

    fresh: float = 2.0
    start_window: float = 0.5
    run_limit: float = 30.0
    margin: float = 1.0
    drift: float = 0.001
    suspect_after: float = 3.0
    remove_after: float = 2.0
    suspect_again: float = 30.0

    @property
    def stop_wait(self) -> float:
        """Wait after which an entry cut off from the log starts nothing."""
        return (self.fresh + self.start_window) * (
            1 + 2 * self.drift
        ) + self.margin

    @property
    def close_wait(self) -> float:
        """Wait after which all work of a removed member has stopped."""
        return self.stop_wait + self.run_limit * (1 + 2 * self.drift)


@dataclasses.dataclass(frozen=True, slots=True)
class AppendSuspected:
    """Append a suspicion of a silent member."""

    member: Incarnation


@dataclasses.dataclass(frozen=True, slots=True)
class AppendRefuted:
    """Append that this entry is alive."""


@dataclasses.dataclass(frozen=True, slots=True)
class AppendRemoved:
    """Append a removal, valid while the suspicion at `expected` stands."""

    member: Incarnation
    expected: int


@dataclasses.dataclass(frozen=True, slots=True)
class AppendClosed:
    """Append `Ledger.close(member)`."""

    member: Incarnation


@dataclasses.dataclass(frozen=True, slots=True)
class AppendLeft:
    """Append that this entry leaves with nothing running."""


@dataclasses.dataclass(frozen=True, slots=True)
class Rejoin:
    """This incarnation is removed; join as a new one with empty state."""


Action = (
    AppendSuspected
    | AppendRefuted
    | AppendRemoved
    | AppendClosed
    | AppendLeft
    | Rejoin
)


class Roster:
    """Deterministic fold of the membership records.

    Args:
        mints: Accounts that joins, removals and closings change.
    """

    def __init__(self, mints: ledger.Mints | None = None) -> None:
        self.mints = mints if mints is not None else ledger.Mints()
        self.suspicions: dict[Incarnation, int] = {}

    @property
    def members(self) -> dict[Incarnation, int]:
        """Offset at which each member joined, in join order."""
        return self.mints.members

    def join(self, member: Incarnation, offset: int) -> None:
        """Applies `Joined`."""
        self.mints.join(member, offset)

    def suspect(
        self, author: Incarnation, member: Incarnation, offset: int
    ) -> None:
        """Applies `Suspected`; the first unrefuted suspicion stands."""
        if author in self.members and member in self.members:
            self.suspicions.setdefault(member, offset)

    def refute(self, author: Incarnation) -> None:
        """Applies `Refuted`."""
        self.suspicions.pop(author, None)

    def remove(
        self,
        author: Incarnation,
        member: Incarnation,
        expected: int,
        offset: int,
    ) -> bool:
        """Applies `Removed`, unless the suspicion it names was refuted."""
        if author not in self.members:
            return False
        if self.suspicions.get(member) != expected:
            return False
        del self.suspicions[member]
        self.mints.remove(member, offset)
        return True

    def leave(self, author: Incarnation, offset: int) -> None:
        """Applies `Left`."""
        self.suspicions.pop(author, None)
        self.mints.remove(author, offset, graceful=True)

    def close(self, closing: ledger.Closing, offset: int) -> bool:
        """Applies `Closed`."""
        return self.mints.close(closing, offset)


class Membership:
    """One entry's view of its peers.

    Args:
        me: Incarnation of this entry.
        roster: Fold of the control stream that this entry applies.
        timing: Bounds shared by the cluster.
    """

    def __init__(
        self, me: Incarnation, roster: Roster, *, timing: Timing | None = None
    ) -> None:
        self.me = me
        self.roster = roster
        self.timing = timing if timing is not None else Timing()
        self.joined = False
        self.leaving = False
        self._heard: dict[Incarnation, float] = {}
        self._absent: set[Incarnation] = set()
        self._removed_at: dict[Incarnation, float] = {}
        self._suspected_at: dict[Incarnation, tuple[int, float]] = {}
        self._suspect_not_before: dict[Incarnation, float] = {}
        self._awaited: set[Incarnation] = set()
        self._decided = float("-inf")

    def on_folded(self, now: float) -> None:
        """Notes, after records were folded, what changed and when."""
        members = self.roster.members
        if not self.joined and self.me in members:
            self.joined = True
            offset = members[self.me]
            self._awaited = {
                member for member, joined in members.items() if joined < offset
            } | set(self.roster.mints.removals)
        self._awaited &= members.keys() | self.roster.mints.removals.keys()
        for member in self.roster.mints.removals:
            self._removed_at.setdefault(member, now)
        for member in members:
            self._heard.setdefault(member, now)
        for member, offset in self.roster.suspicions.items():
            if self._suspected_at.get(member, (-1, 0.0))[0] != offset:
                self._suspected_at[member] = (offset, now)
        for table in (self._heard, self._suspected_at):
            for member in list(table):
                if member not in members:
                    del table[member]  # type: ignore[attr-defined]
        for member in list(self._removed_at):
            if member not in self.roster.mints.removals:
                del self._removed_at[member]

    def on_heard(self, member: Incarnation, now: float) -> None:
        """Notes a message from a peer."""
        if member in self._heard:
            self._heard[member] = max(self._heard[member], now)

    def on_confirmed(self, member: Incarnation, offset: int) -> None:
        """Notes that a member has folded up to `offset`.

        Call this only after the claims that the member has not flushed to the
        log have arrived.
        """
        joined = self.roster.members.get(self.me)
        if joined is not None and offset >= joined:
            self._awaited.discard(member)

    def on_absent(self, member: Incarnation) -> None:
        """Notes that the process of a member does not exist any more."""
        self._absent.add(member)

    @property
    def is_member(self) -> bool:
        """Whether this incarnation is a member as last folded."""
        return self.me in self.roster.members

    @property
    def confirmed(self) -> bool:
        """Whether every older member knows this entry or is closed."""
        return self.joined and not self._awaited

    def suspects(self, now: float) -> list[Incarnation]:
        """Returns the members that have been silent for too long."""
        return [
            member
            for member, heard in self._heard.items()
            if member != self.me
            and (
                member in self._absent
                or now - heard > self.timing.suspect_after
            )
        ]

    def decide(self, now: float, *, log_usable: bool) -> list[Action]:
        """Returns what this entry should append now.

        Args:
            now: Monotonic time.
            log_usable: Whether this entry reads and appends to the log.
        """
        paused = now - self._decided > self.timing.suspect_after / 2
        self._decided = now
        if paused:
            # After a pause of this process every peer looks silent.
            for member in self._heard:
                self._heard[member] = now
        if self.joined and not self.is_member:
            return [Rejoin()]
        if not self.joined or not log_usable:
            return []
        actions: list[Action] = []
        if self.me in self.roster.suspicions:
            actions.append(AppendRefuted())
        actions.extend(self._decide_suspicions(now))
        actions.extend(
            AppendClosed(member)
            for member in self.roster.mints.closes(self.me)
            if self._may_close(member, now)
        )
        return actions

    def _may_close(self, member: Incarnation, now: float) -> bool:
        if not self.roster.mints.must_wait(member):
            return True
        removed = self._removed_at.get(member, now)
        return now - removed >= self.timing.close_wait

    def _decide_suspicions(self, now: float) -> Iterable[Action]:
        for member in self.suspects(now):
            known = self._suspected_at.get(member)
            if known is None:
                if now >= self._suspect_not_before.get(member, now):
                    self._suspect_not_before[member] = (
                        now + self.timing.suspect_again
                    )
                    yield AppendSuspected(member)
            elif now - known[1] >= self.timing.remove_after:
                yield AppendRemoved(member, known[0])


if __name__ == "__main__":
    roster = Roster()
    roster.join(Incarnation("one/1"), 1)
    roster.join(Incarnation("two/1"), 2)
    membership = Membership(Incarnation("one/1"), roster)
    membership.on_folded(0.0)
    membership.decide(0.0, log_usable=True)
    print(membership.suspects(5.0))
