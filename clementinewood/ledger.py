"""Escrow of exact fleet-wide limits.

`Mints` is the deterministic fold of the control stream: every entry that has
folded the same records holds the same accounts. `Ledger` is one entry's side:
what it gave, received and runs. The sum of what all entries hold, with what is
in flight between them, equals the limit at every moment, since a giver
subtracts before a receiver adds.
"""

import dataclasses
from collections.abc import Iterable, Mapping
from typing import NewType

from clementinewood import identifiers

ResourceId = NewType("ResourceId", str)
Incarnation = identifiers.Incarnation


def team_resource(team: identifiers.TeamId) -> ResourceId:
    """Returns the resource that bounds the running requests of `team`."""
    return ResourceId(f"team:{team}")


def slot_resource(minion: identifiers.MinionId) -> ResourceId:
    """Returns the resource that bounds the requests running at `minion`."""
    return ResourceId(f"slot:{minion}")


def connection_resource(minion: identifiers.MinionId) -> ResourceId:
    """Returns the resource that bounds the connections to `minion`."""
    return ResourceId(f"connection:{minion}")


@dataclasses.dataclass(frozen=True, slots=True)
class Transfer:
    """Rights moved between two entries; `total` is cumulative."""

    resource: ResourceId
    giver: Incarnation
    receiver: Incarnation
    total: int


@dataclasses.dataclass(frozen=True, slots=True)
class Closing:
    """What `author` exchanged with a removed `member`, per resource.

    Attributes:
        given: Cumulative totals that the author gave to the member.
        received: Cumulative totals that the author received from it.
    """

    member: Incarnation
    author: Incarnation
    given: Mapping[ResourceId, int] = dataclasses.field(default_factory=dict)
    received: Mapping[ResourceId, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What one entry tells its peers about its part of the limits.

    Attributes:
        member: The entry that reports.
        offset: Control stream offset that it has folded.
        debts: Resources of which it runs more than it holds.
        opened: Every lowering of a limit up to this offset is settled at all
            members, as far as the reporter knows.
        surplus: Rights it can give, per resource; zero is left out.
        need: Rights it lacks for queued requests; zero is left out.
    """

    member: Incarnation
    offset: int
    debts: frozenset[ResourceId] = frozenset()
    opened: int = -1
    surplus: Mapping[ResourceId, int] = dataclasses.field(default_factory=dict)
    need: Mapping[ResourceId, int] = dataclasses.field(default_factory=dict)


def split_evenly(amount: int, count: int) -> list[int]:
    """Splits `amount`, also a negative one, into `count` even parts."""
    size, rest = divmod(abs(amount), count)
    sign = -1 if amount < 0 else 1
    return [sign * (size + (1 if i < rest else 0)) for i in range(count)]


@dataclasses.dataclass(slots=True)
class _Removal:
    """A member that was removed or left and whose account is not re-minted.

    Attributes:
        closers: Members that must close it, each removed once it has.
        wait: Whether its work may still run, so that closers must wait.
    """

    closers: set[Incarnation]
    wait: bool


class Mints:
    """Accounts of minted rights, folded from the control stream.

    A closing moves what its author and the removed member exchanged from their
    rows into their accounts, so the accounts of a resource always add up to
    its limit, and the account of a member closed by everyone is exactly what
    is left of its rights.
    """

    def __init__(self) -> None:
        self.version = 0
        self.limits: dict[ResourceId, int] = {}
        self.accounts: dict[Incarnation, dict[ResourceId, int]] = {}
        self.unowned: dict[ResourceId, int] = {}
        self.members: dict[Incarnation, int] = {}
        self.removals: dict[Incarnation, _Removal] = {}
        self.lowered: dict[ResourceId, int] = {}

    def minted(self, resource: ResourceId, holder: Incarnation) -> int:
        """Returns the rights on the account of `holder`."""
        return self.accounts.get(holder, {}).get(resource, 0)

    def set_limit(self, resource: ResourceId, limit: int, offset: int) -> None:
        """Mints the difference to the limit that was in force before."""
        amount = limit - self.limits.get(resource, 0)
        self.limits[resource] = limit
        if amount:
            self._distribute({resource: amount}, offset)

    def join(self, member: Incarnation, offset: int) -> None:
        """Adds a member; it gets the rights that nobody owns, if any."""
        if member in self.members or member in self.removals:
            return
        self.version += 1
        self.members[member] = offset
        self.accounts.setdefault(member, {})
        for removal in self.removals.values():
            if not removal.closers and removal.wait:
                # Nobody was left to wait for the work of the removed member.
                removal.closers.add(member)
        unowned, self.unowned = self.unowned, {}
        self._distribute(unowned, offset)

    def remove(
        self, member: Incarnation, offset: int, *, graceful: bool = False
    ) -> None:
        """Starts the closing of a member that was removed or left.

        Args:
            member: The member that was removed or left.
            offset: Offset of the record.
            graceful: The member left with nothing running, so that closers
                need not wait.
        """
        if self.members.pop(member, None) is None:
            return
        self.version += 1
        unclosed = any(member in r.closers for r in self.removals.values())
        self.removals[member] = _Removal(
            set(self.members), wait=not graceful or unclosed
        )
        self._settle(offset)

    def close(self, closing: Closing, offset: int) -> bool:
        """Applies a closing.

        Returns:
            Whether it counted; a repeated or foreign one does not.
        """
        removal = self.removals.get(closing.member)
        if removal is None or closing.author not in removal.closers:
            return False
        if closing.author not in self.members:
            return False
        self.version += 1
        removal.closers.remove(closing.author)
        mine = self.accounts[closing.author]
        other = self.accounts[closing.member]
        for sign, totals in ((1, closing.received), (-1, closing.given)):
            for resource, total in totals.items():
                mine[resource] = mine.get(resource, 0) + sign * total
                other[resource] = other.get(resource, 0) - sign * total
        self._settle(offset)
        return True

    def closes(self, author: Incarnation) -> list[Incarnation]:
        """Returns the removed members that `author` has yet to close."""
        return [m for m, r in self.removals.items() if author in r.closers]

    def must_wait(self, member: Incarnation) -> bool:
        """Returns whether work of a removed member may still run."""
        return member in self.removals and self.removals[member].wait

    def _distribute(
        self, amounts: Mapping[ResourceId, int], offset: int
    ) -> None:
        self.version += 1
        for resource, amount in amounts.items():
            if amount < 0:
                self.lowered[resource] = offset
            if not self.members:
                self.unowned[resource] = self.unowned.get(resource, 0) + amount
                continue
            parts = split_evenly(amount, len(self.members))
            for member, part in zip(self.members, parts, strict=True):
                account = self.accounts[member]
                account[resource] = account.get(resource, 0) + part

    def _settle(self, offset: int) -> None:
        for group in self._groups():
            if any(
                closer not in self.removals
                for member in group
                for closer in self.removals[member].closers
            ):
                continue
            amounts: dict[ResourceId, int] = {}
            for member in group:
                del self.removals[member]
                for resource, amount in self.accounts.pop(member).items():
                    amounts[resource] = amounts.get(resource, 0) + amount
            self._distribute({r: a for r, a in amounts.items() if a}, offset)

    def _groups(self) -> list[set[Incarnation]]:
        groups: list[set[Incarnation]] = []
        for member, removal in self.removals.items():
            joined = {member} | (removal.closers & self.removals.keys())
            rest = []
            for group in groups:
                if group & joined:
                    joined |= group
                else:
                    rest.append(group)
            groups = [*rest, joined]
        return groups


class Ledger:
    """One entry's part of the fleet-wide limits.

    Args:
        me: Incarnation of this entry.
        mints: Fold of the control stream that this entry applies.
    """

    def __init__(self, me: Incarnation, mints: Mints | None = None) -> None:
        self.me = me
        self.mints = mints if mints is not None else Mints()
        self._given: dict[Incarnation, dict[ResourceId, int]] = {}
        self._received: dict[Incarnation, dict[ResourceId, int]] = {}
        self._unacknowledged: dict[Incarnation, set[ResourceId]] = {}
        self._running: dict[ResourceId, int] = {}
        self._held: dict[ResourceId, int] = {}
        self._version = -1

    def mint(
        self, resource: ResourceId, holder: Incarnation, amount: int
    ) -> None:
        """Puts rights on one account outside the even split."""
        self.mints.join(holder, -1)
        self.mints.limits[resource] = (
            self.mints.limits.get(resource, 0) + amount
        )
        account = self.mints.accounts[holder]
        account[resource] = account.get(resource, 0) + amount
        self.mints.version += 1

    def held(self, resource: ResourceId) -> int:
        """Returns the rights this entry holds; negative when in debt."""
        self._synchronize()
        return self._held.get(resource, 0)

    def running(self, resource: ResourceId) -> int:
        """Returns the acquired and not yet released rights."""
        return self._running.get(resource, 0)

    def available(self, resource: ResourceId) -> int:
        """Returns how many more acquisitions would succeed now."""
        return max(0, self.held(resource) - self.running(resource))

    def acquire(self, resource: ResourceId) -> bool:
        """Takes one right, if one is free here."""
        if self.available(resource) <= 0:
            return False
        self._running[resource] = self.running(resource) + 1
        return True

    def release(self, resource: ResourceId) -> None:
        """Gives back one right taken by `acquire`."""
        running = self.running(resource)
        if running <= 0:
            raise ValueError(f"{resource} is not acquired")
        self._running[resource] = running - 1

    def give(
        self, resource: ResourceId, to: Incarnation, amount: int
    ) -> Transfer | None:
        """Gives rights that are free here; None if there are too few."""
        if amount <= 0 or self.available(resource) < amount:
            return None
        if to == self.me or to not in self.mints.members:
            return None
        row = self._given.setdefault(to, {})
        row[resource] = row.get(resource, 0) + amount
        self._held[resource] -= amount
        self._unacknowledged.setdefault(to, set()).add(resource)
        return Transfer(resource, self.me, to, row[resource])

    def receive(self, transfer: Transfer) -> Transfer | None:
        """Adds received rights.

        Returns:
            The acknowledgement to send back, or None if the giver is not a
            member, so that this transfer must not count.
        """
        giver = transfer.giver
        if transfer.receiver != self.me or giver not in self.mints.members:
            return None
        self._synchronize()
        row = self._received.setdefault(giver, {})
        resource = transfer.resource
        more = transfer.total - row.get(resource, 0)
        if more > 0:
            row[resource] = transfer.total
            self._held[resource] = self._held.get(resource, 0) + more
        return transfer

    def pending(self, peer: Incarnation) -> list[Transfer]:
        """Returns the transfers to `peer` that it has not acknowledged."""
        row = self._given.get(peer, {})
        return [
            Transfer(resource, self.me, peer, row[resource])
            for resource in sorted(self._unacknowledged.get(peer, ()))
        ]

    def acknowledge(self, transfer: Transfer) -> None:
        """Stops sending a transfer again once its newest total arrived."""
        row = self._given.get(transfer.receiver, {})
        if row.get(transfer.resource, 0) <= transfer.total:
            waiting = self._unacknowledged.get(transfer.receiver, set())
            waiting.discard(transfer.resource)

    def close(self, member: Incarnation) -> Closing:
        """Returns the closing of a removed member, for the log."""
        if member in self.mints.members:
            raise ValueError(f"{member} is still a member")
        return Closing(
            member,
            self.me,
            dict(self._given.get(member, {})),
            dict(self._received.get(member, {})),
        )

    def settle(self, member: Incarnation, closings: Iterable[Closing]) -> None:
        """Applies closings of a member that were read from the log."""
        for closing in closings:
            if closing.member == member:
                self.mints.close(closing, -1)

    def _synchronize(self) -> None:
        """Recomputes what is held after the accounts have changed."""
        if self._version == self.mints.version:
            return
        self._version = self.mints.version
        closable = set(self.mints.closes(self.me))
        for rows in (self._given, self._received):
            for peer in list(rows):
                if peer not in self.mints.members and peer not in closable:
                    del rows[peer]
        for peer in list(self._unacknowledged):
            if peer not in self.mints.members:
                del self._unacknowledged[peer]
        held = dict(self.mints.accounts.get(self.me, {}))
        for sign, rows in ((1, self._received), (-1, self._given)):
            for row in rows.values():
                for resource, total in row.items():
                    held[resource] = held.get(resource, 0) + sign * total
        if self.me not in self.mints.members:
            held = {}
        self._held = held


if __name__ == "__main__":
    one, two = Incarnation("one/1"), Incarnation("two/1")
    shared = Mints()
    shared.join(one, 1)
    shared.join(two, 2)
    shared.set_limit(ResourceId("team:quotes"), 5, 3)
    first, second = Ledger(one, shared), Ledger(two, shared)
    gift = first.give(ResourceId("team:quotes"), two, 2)
    assert gift is not None
    second.receive(gift)
    print(first.held(gift.resource), second.held(gift.resource))
