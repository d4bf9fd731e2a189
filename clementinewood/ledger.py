"""Escrow of exact fleet-wide limits.

`Mints` is the deterministic fold of the control stream: every entry that has
folded the same records holds the same accounts. `Ledger` is one entry's side:
what it gave, received and runs. The sum of what all entries hold, with what is
in flight between them, equals the limit at every moment, since a giver
subtracts before a receiver adds.
"""

import dataclasses
import zlib
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from clementinewood import identifiers

ResourceId = identifiers.ResourceId
Incarnation = identifiers.Incarnation


def team_resource(team: identifiers.TeamId) -> ResourceId:
    """Returns the resource that bounds the running requests of `team`."""
    return ResourceId(f"team:{team}")


def slot_resource(minion: identifiers.MinionId) -> ResourceId:
    """Returns the resource that bounds the requests running at `minion`."""
    return ResourceId(f"slot:{minion}")


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
        offset: Control stream offset that the reporter has folded.
        debts: Resources of which it runs more than it holds.
        opened: Every lowering of a limit up to this offset is settled at all
            members, as far as the reporter knows.
        surplus: Changes of the rights it can give, per resource.
        whole: `surplus` is the whole table, not only the changes.
    """

    offset: int
    debts: frozenset[ResourceId] = frozenset()
    opened: int = -1
    surplus: Mapping[ResourceId, int] = dataclasses.field(default_factory=dict)
    whole: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class RightsRequest:
    """A request for rights of a resource.

    Attributes:
        resource: The resource.
        need: Rights that queued requests or a debt wait for.
        extra: Further rights, given only from what the giver has not used
            lately.
        held: Rights that the requester holds.
        demand: Its running and queued requests.
    """

    resource: ResourceId
    need: int
    extra: int
    held: int
    demand: int


def split_evenly(amount: int, count: int) -> list[int]:
    """Splits `amount`, also a negative one, into `count` even parts."""
    size, rest = divmod(abs(amount), count)
    sign = -1 if amount < 0 else 1
    return [sign * (size + (1 if i < rest else 0)) for i in range(count)]


@dataclasses.dataclass(slots=True)
class _Removal:
    """A member that was removed or left and whose account is not re-minted.

    Attributes:
        joined: Offset at which it joined.
        closers: Members that must close it, each removed once it has.
        wait: Whether its work may still run, so that closers must wait.
    """

    joined: int
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
        joined = self.members.pop(member, None)
        if joined is None:
            return
        self.version += 1
        # The work of a removed member that this one has not closed may still
        # run, so whoever closes this one must wait for it.
        unclosed = any(
            member in removal.closers and removal.wait
            for removal in self.removals.values()
        )
        self.removals[member] = _Removal(
            joined, set(self.members), wait=not graceful or unclosed
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

    def dump(self) -> dict[str, Any]:
        """Returns the fold as JSON types, for a snapshot."""
        return {
            "limits": self.limits,
            "accounts": self.accounts,
            "unowned": self.unowned,
            "members": list(self.members.items()),
            "lowered": self.lowered,
            "removals": [
                [member, removal.joined, sorted(removal.closers), removal.wait]
                for member, removal in self.removals.items()
            ],
        }

    @classmethod
    def load(cls, data: Mapping[str, Any]) -> "Mints":
        """Returns the fold that `dump` wrote."""
        mints = cls()
        mints.limits = dict(data["limits"])
        mints.accounts = {m: dict(a) for m, a in data["accounts"].items()}
        mints.unowned = dict(data["unowned"])
        mints.members = {member: joined for member, joined in data["members"]}
        mints.lowered = dict(data["lowered"])
        mints.removals = {
            member: _Removal(joined, set(closers), wait)
            for member, joined, closers, wait in data["removals"]
        }
        return mints

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
        """Groups removed members that have not closed each other.

        What two of them exchanged is known for neither, but it cancels out in
        the sum of their accounts, so they are re-minted together.
        """
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


@dataclasses.dataclass(slots=True)
class _Gate:
    """A lowered limit that is not known to be settled everywhere.

    Attributes:
        latest: Offset of the last one.
        settled: Peers that have folded `latest` and are not in debt.
    """

    latest: int
    settled: set[Incarnation]


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
        self._reserved: dict[ResourceId, int] = {}
        self._held: dict[ResourceId, int] = {}
        self._version = -1
        self.changes = 0
        self.uses = 0
        self._negative: set[ResourceId] = set()
        self._gates: dict[ResourceId, _Gate] = {}
        self._cleared: dict[ResourceId, int] = {}
        self._reports: dict[Incarnation, Report] = {}
        self._opened = -1

    def adopt_mints(self, mints: Mints) -> None:
        """Goes on with accounts that a snapshot rebuilt."""
        self.mints = mints
        self.changes += 1
        # The version counts the changes of one object only.
        self._version = -1
        self._synchronize()

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
        if self._version != self.mints.version:
            self._synchronize()
        return self._held.get(resource, 0)

    def running(self, resource: ResourceId) -> int:
        """Returns the acquired and not yet released rights."""
        return self._running.get(resource, 0)

    def resources(self) -> list[ResourceId]:
        """Returns the resources with a limit or a running request, sorted."""
        return sorted(self.mints.limits.keys() | self._running.keys())

    def free(self, resource: ResourceId) -> int:
        """Returns the rights held and not running, also while gated."""
        return max(0, self.held(resource) - self.running(resource))

    def available(self, resource: ResourceId) -> int:
        """Returns how many more acquisitions would succeed now."""
        free = self.free(resource) - self._reserved.get(resource, 0)
        return 0 if resource in self._gates else max(0, free)

    def is_gated(self, resource: ResourceId) -> bool:
        """Returns whether a lowered limit is not settled everywhere."""
        self.held(resource)
        return resource in self._gates

    def acquire(self, resource: ResourceId) -> bool:
        """Takes one right, if one is free here."""
        if self.available(resource) <= 0:
            return False
        self._running[resource] = self._running.get(resource, 0) + 1
        self.uses += 1
        return True

    def release(self, resource: ResourceId) -> None:
        """Gives back one right taken by `acquire`."""
        self._synchronize()
        running = self._running.get(resource, 0)
        if running <= 0:
            raise ValueError(f"{resource} is not acquired")
        self.uses += 1
        if running == 1:
            del self._running[resource]
        else:
            self._running[resource] = running - 1
        if resource in self._gates:
            self._check_gate(resource)

    def list_indebted(self) -> list[ResourceId]:
        """Returns the resources of which more is used than held."""
        self._synchronize()
        return [
            resource
            for resource in self._running.keys() | self._negative
            if self._running.get(resource, 0) > self._held.get(resource, 0)
        ]

    def list_running(self) -> Mapping[ResourceId, int]:
        """Returns the rights in use, without resources that are idle."""
        return self._running

    def keeps(self, resource: ResourceId) -> bool:
        """Returns whether rights taken earlier may still be used.

        A limit may have been lowered between `acquire` and the start of the
        work, for example while the claim of a key was decided.
        """
        held = self.held(resource)
        return resource not in self._gates and self.running(resource) <= held

    def reserve(self, resource: ResourceId, amount: int) -> None:
        """Keeps `amount` free rights from being acquired here."""
        self.uses += 1
        if amount > 0:
            self._reserved[resource] = amount
        else:
            self._reserved.pop(resource, None)

    def give(
        self, resource: ResourceId, to: Incarnation, amount: int
    ) -> Transfer | None:
        """Gives rights that are free here; None if there are too few."""
        if amount <= 0 or self.free(resource) < amount:
            return None
        if to == self.me or to not in self.mints.members:
            return None
        row = self._given.setdefault(to, {})
        row[resource] = row.get(resource, 0) + amount
        self._held[resource] -= amount
        self.changes += 1
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
        resource = transfer.resource
        self.held(resource)
        row = self._received.setdefault(giver, {})
        more = transfer.total - row.get(resource, 0)
        if more > 0:
            row[resource] = transfer.total
            self._held[resource] = self._held.get(resource, 0) + more
            self.changes += 1
            if resource in self._gates:
                self._check_gate(resource)
        return transfer

    def pending(self, peer: Incarnation) -> list[Transfer]:
        """Returns the transfers to `peer` that it has not acknowledged."""
        self._synchronize()
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

    def report(self, offset: int) -> Report:
        """Returns the debts and settled lowerings.

        Args:
            offset: Offset up to which `mints` is folded, no further: a higher
                one would claim a lowering settled that is not applied yet.
        """
        self._synchronize()
        debts = frozenset(
            resource
            for resource in self._gates
            if self.running(resource) > self._held.get(resource, 0)
        )
        # Several lowerings may have been folded at once, so a gate vouches
        # for nothing after the last lowering that was settled.
        opened = min(
            (self._cleared.get(resource, -1) for resource in self._gates),
            default=offset,
        )
        return Report(offset, debts, opened)

    def on_report(self, member: Incarnation, report: Report) -> None:
        """Notes a peer's debts; a settled lowering stays settled."""
        self._synchronize()
        last = self._reports.get(member)
        if last is None or report.offset >= last.offset:
            self._reports[member] = report
        self._opened = max(self._opened, report.opened)
        for resource in list(self._gates):
            self._note_settled(resource, member, report)
            self._check_gate(resource)

    def _note_settled(
        self, resource: ResourceId, member: Incarnation, report: Report
    ) -> None:
        gate = self._gates[resource]
        if report.offset >= gate.latest and resource not in report.debts:
            gate.settled.add(member)

    def _check_gate(self, resource: ResourceId) -> None:
        """Opens the gate of a resource once all members are settled.

        A member that is removed but not re-minted still counts: its account
        may be negative, and then the others hold more than the limit.
        """
        gate = self._gates[resource]
        if self.running(resource) > self._held.get(resource, 0):
            return
        required = {
            member
            for member, joined in self.mints.members.items()
            if joined < gate.latest
        }
        required.update(
            member
            for member, removal in self.mints.removals.items()
            if removal.joined < gate.latest
        )
        required.discard(self.me)
        if required <= gate.settled or self._opened >= gate.latest:
            del self._gates[resource]
            self._cleared[resource] = gate.latest

    def _synchronize(self) -> None:
        """Recomputes what is held after the accounts have changed."""
        if self._version == self.mints.version:
            return
        self._version = self.mints.version
        members = self.mints.members
        keep = members.keys() | set(self.mints.closes(self.me))
        for rows in (self._given, self._received):
            for peer in rows.keys() - keep:
                del rows[peer]
        for peer in self._unacknowledged.keys() - members.keys():
            del self._unacknowledged[peer]
        for peer in self._reports.keys() - members.keys():
            if peer not in self.mints.removals:
                del self._reports[peer]
        held: dict[ResourceId, int] = {}
        if self.me in members:
            held = dict(self.mints.accounts[self.me])
            for sign, rows in ((1, self._received), (-1, self._given)):
                for row in rows.values():
                    for resource, total in row.items():
                        held[resource] = held.get(resource, 0) + sign * total
        self._held = held
        self._negative = {r for r, amount in held.items() if amount < 0}
        self._synchronize_gates()

    def _synchronize_gates(self) -> None:
        for resource, offset in self.mints.lowered.items():
            if self._cleared.get(resource, -1) >= offset:
                continue
            gate = self._gates.get(resource)
            if gate is None:
                self._gates[resource] = _Gate(offset, set())
            elif gate.latest < offset:
                gate.latest = offset
                gate.settled.clear()
            for member, report in self._reports.items():
                self._note_settled(resource, member, report)
            self._check_gate(resource)


@dataclasses.dataclass(slots=True)
class _Debt:
    """Rights promised to a peer from the next releases."""

    amount: int
    until: float


class Balancer:
    """Decides whom to ask for rights and how much to give.

    An entry asks the peers that report the largest surplus. When nobody
    reports any, it asks one peer in turn, which gives up part of what it uses
    in proportion to both demands, as its requests finish.

    Args:
        ledger: Rights of this entry.
        ask_period: Seconds between requests for one resource while a peer
            reports a surplus.
        beg_period: Seconds between them while none does. A resource at its
            limit everywhere costs one message in this time.
        turn: Seconds that a saturated entry keeps a right which the
            proportional share would not give up, so that one right is shared
            in time.
        hint_period: Seconds between changes of the surplus in reports.
        whole_period: Seconds between whole tables in reports, which repair
            lost changes.
    """

    def __init__(
        self,
        ledger: Ledger,
        *,
        ask_period: float = 0.25,
        beg_period: float = 2.0,
        turn: float = 1.0,
        hint_period: float = 0.5,
        whole_period: float = 600.0,
    ) -> None:
        self.ledger = ledger
        self.ask_period = ask_period
        self.beg_period = beg_period
        self.turn = turn
        self.hint_period = hint_period
        self.whole_period = whole_period
        self._waiting: dict[ResourceId, int] = {}
        self._peak: dict[ResourceId, float] = {}
        self._surplus: dict[Incarnation, dict[ResourceId, int]] = {}
        self._asked: dict[ResourceId, float] = {}
        self._turns: dict[ResourceId, int] = {}
        self._owed: dict[ResourceId, dict[Incarnation, _Debt]] = {}
        self._since: dict[ResourceId, float] = {}
        self._told: dict[ResourceId, int] = {}
        self._told_at = float("-inf")
        self._surplus_key: tuple[int, int, int] | None = None
        self._told_whole = float("-inf")
        self._told_peers: set[Incarnation] = set()
        self._decayed = float("-inf")

    def repeat_whole(self) -> None:
        """Makes the next report whole, since a peer may have missed changes."""
        self._told_whole = float("-inf")

    def set_waiting(self, resource: ResourceId, waiting: int) -> None:
        """Notes how many queued requests lack a right of the resource."""
        if waiting > 0:
            self._waiting[resource] = waiting
        else:
            self._waiting.pop(resource, None)

    def report(self, offset: int, now: float) -> Report:
        """Returns the report for all peers.

        The numbers are rounded to powers of two, which changes them less
        often; they are hints and bound nothing.
        """
        report = self.ledger.report(offset)
        peers = set(self.ledger.mints.members)
        whole = (
            now - self._told_whole >= self.whole_period
            or not peers <= self._told_peers
        )
        if not whole and now - self._told_at < self.hint_period:
            return dataclasses.replace(report, whole=False)
        self._decay(now)
        surplus = self._list_surplus()
        told, self._told = self._told, surplus
        self._told_at, self._told_peers = now, peers
        if whole:
            self._told_whole = now
            return dataclasses.replace(report, surplus=surplus)
        changes = _changes(told, surplus)
        return dataclasses.replace(report, surplus=changes, whole=False)

    def _list_surplus(self) -> dict[ResourceId, int]:
        """Returns what can be given; computed anew only after a change.

        Going over 12,000 slots twice a second took most of the time of an
        idle entry that was left.
        """
        ledger = self.ledger
        key = (ledger.changes, ledger.uses, ledger.mints.version)
        steady = not self._waiting and not self._owed
        if steady and key == self._surplus_key:
            return self._told
        self._surplus_key = key if steady else None
        surplus = {}
        for resource in ledger.resources():
            spare = self._spare(resource)
            if spare > 0:
                surplus[resource] = _round_down(spare)
        return surplus

    def on_report(self, member: Incarnation, report: Report) -> None:
        """Notes a peer's debts and surplus."""
        self.ledger.on_report(member, report)
        table = self._surplus.setdefault(member, {})
        if report.whole:
            table.clear()
        for resource, amount in report.surplus.items():
            if amount > 0:
                table[resource] = amount
            else:
                table.pop(resource, None)

    def ask(self, now: float) -> list[tuple[Incarnation, RightsRequest]]:
        """Returns the requests for rights to send now."""
        members = self.ledger.mints.members
        for peer in self._surplus.keys() - members.keys():
            del self._surplus[peer]
        peers = [m for m in members if m != self.ledger.me]
        if not peers:
            return []
        requests: list[tuple[Incarnation, RightsRequest]] = []
        for resource in self._wanted():
            need = self._need(resource)
            if need > 0:
                requests.extend(self._ask_one(resource, need, peers, now))
        return requests

    def on_request(
        self, peer: Incarnation, request: RightsRequest, now: float
    ) -> Transfer | None:
        """Answers a request for rights.

        Returns:
            The transfer of what can be given at once, if anything.
        """
        resource = request.resource
        lack = self._need(resource)
        free = self.ledger.free(resource) if lack <= 0 else 0
        free = max(0, free - self._owed_total(resource))
        amount = min(request.need, free)
        kept = max(0, free - amount - int(self._peak.get(resource, 0)))
        amount += min(request.extra, kept // 2)
        transfer = self.ledger.give(resource, peer, amount)
        if amount < request.need:
            self._owe(peer, request, amount, now)
        return transfer

    def pay(self, now: float) -> list[Transfer]:
        """Returns transfers of promised rights that became free."""
        transfers = []
        for resource, debts in list(self._owed.items()):
            for peer, debt in list(debts.items()):
                paid = min(debt.amount, self.ledger.free(resource))
                transfer = self.ledger.give(resource, peer, paid)
                if transfer is not None:
                    debt.amount -= paid
                    transfers.append(transfer)
                if debt.amount <= 0 or now >= debt.until:
                    del debts[peer]
            if not debts:
                del self._owed[resource]
            self.ledger.reserve(resource, self._owed_total(resource))
        return transfers

    def hand_over(self, peers: Sequence[Incarnation]) -> list[Transfer]:
        """Returns transfers that give everything free to `peers`."""
        if not peers:
            return []
        transfers = []
        for resource in self.ledger.resources():
            free = self.ledger.free(resource)
            parts = split_evenly(free, len(peers))
            for peer, part in zip(peers, parts, strict=True):
                transfer = self.ledger.give(resource, peer, part)
                if transfer is not None:
                    transfers.append(transfer)
        return transfers

    def on_received(self, resource: ResourceId, now: float) -> None:
        """Notes that rights arrived, which starts this entry's turn."""
        self._since[resource] = now

    def _wanted(self) -> list[ResourceId]:
        return sorted({*self.ledger.list_indebted(), *self._waiting})

    def _need(self, resource: ResourceId) -> int:
        waiting = self._waiting.get(resource, 0)
        demand = self.ledger.running(resource) + waiting
        return demand - self.ledger.held(resource)

    def _spare(self, resource: ResourceId) -> int:
        free = self.ledger.free(resource) - self._owed_total(resource)
        return free - self._waiting.get(resource, 0)

    def _owed_total(self, resource: ResourceId) -> int:
        debts = self._owed.get(resource, {})
        return sum(debt.amount for debt in debts.values())

    def _ask_one(
        self,
        resource: ResourceId,
        need: int,
        peers: list[Incarnation],
        now: float,
    ) -> Iterable[tuple[Incarnation, RightsRequest]]:
        asked = self._asked.get(resource, float("-inf"))
        if now - asked < self.ask_period:
            return
        held = self.ledger.held(resource)
        demand = need + held
        offers = sorted(
            (
                (table[resource], peer)
                for peer, table in self._surplus.items()
                if table.get(resource, 0) > 0
            ),
            reverse=True,
        )
        if offers:
            self._asked[resource] = now
            for offer, peer in offers:
                # A surplus is reported rounded down, to at least half.
                part = min(need, 2 * offer)
                extra = part // 2
                yield peer, RightsRequest(resource, part, extra, held, demand)
                need -= part
                if need <= 0:
                    return
        elif now - asked >= self.beg_period:
            self._asked[resource] = now
            turn = self._turns.get(resource, hash_text(resource + peers[0]))
            self._turns[resource] = turn + 1
            peer = peers[turn % len(peers)]
            yield peer, RightsRequest(resource, need, 0, held, demand)

    def _owe(
        self,
        peer: Incarnation,
        request: RightsRequest,
        given: int,
        now: float,
    ) -> None:
        """Promises a share of what this entry uses, in proportion to demand.

        The share is rounded down, so that two equal demands do not pass the
        last right back and forth with every request.
        """
        resource = request.resource
        if self.ledger.is_gated(resource):
            return
        mine = max(0, self.ledger.held(resource))
        demand = self.ledger.running(resource)
        demand += self._waiting.get(resource, 0)
        both = mine + max(0, request.held) + given
        fair = both * request.demand // max(1, request.demand + demand)
        amount = min(fair - request.held - given, request.need - given, mine)
        if amount <= 0 and request.held <= 0 and mine > 0:
            since = self._since.setdefault(resource, now)
            amount = 1 if now - since >= self.turn else 0
        if amount > 0:
            debts = self._owed.setdefault(resource, {})
            debts[peer] = _Debt(amount, now + self.beg_period)
            self.ledger.reserve(resource, self._owed_total(resource))
            self._since[resource] = now

    def _decay(self, now: float) -> None:
        """Halves the recent peaks of use once a second."""
        factor = 0.5 ** max(0.0, min(60.0, now - self._decayed))
        self._decayed = max(self._decayed, now)
        peaks = {r: p * factor for r, p in self._peak.items() if p > 0.5}
        for resource, running in self.ledger.list_running().items():
            if running > peaks.get(resource, 0):
                peaks[resource] = running
        self._peak = peaks


def hash_text(text: str) -> int:
    """Returns a small number that is the same in every process."""
    return zlib.crc32(text.encode())


def _round_down(amount: int) -> int:
    return 1 << (amount.bit_length() - 1)


def _changes(
    old: Mapping[ResourceId, int], new: Mapping[ResourceId, int]
) -> dict[ResourceId, int]:
    changed = {r: a for r, a in new.items() if old.get(r) != a}
    changed.update({r: 0 for r in old if r not in new})
    return changed


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
