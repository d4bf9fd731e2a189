"""Escrow of exact fleet-wide limits.

`EscrowAccounts` is the deterministic fold of the control stream: every entry
that has folded the same records computes the same accounts. `Ledger` tracks the
tokens that one entry gave, received and uses. The tokens held by all entries
and those in transit always add up to the limit, since the giver subtracts an
amount before the receiver adds it.
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
    """Moves tokens between two entries; `total` is cumulative."""

    resource: ResourceId
    giver: Incarnation
    receiver: Incarnation
    total: int


@dataclasses.dataclass(frozen=True, slots=True)
class FencingRecord:
    """Lists the tokens exchanged by `author` and a removed `member`.

    Attributes:
        given: Cumulative tokens that the author gave to the member, per
            resource.
        received: Cumulative tokens that the author received from it.
    """

    member: Incarnation
    author: Incarnation
    given: Mapping[ResourceId, int] = dataclasses.field(default_factory=dict)
    received: Mapping[ResourceId, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Reports the state of one entry's tokens to its peers.

    Attributes:
        offset: Control stream offset that the reporter has folded.
        debts: Resources in deficit: it uses more tokens than it holds.
        opened: Every limit reduction up to this offset is settled at all
            members, as far as the reporter knows.
        surplus: Tokens that it can give, for each resource that changed.
        whole: Whether `surplus` lists all resources, not only changed ones.
    """

    offset: int
    debts: frozenset[ResourceId] = frozenset()
    opened: int = -1
    surplus: Mapping[ResourceId, int] = dataclasses.field(default_factory=dict)
    whole: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class RightsRequest:
    """Asks a peer for tokens of a resource.

    Attributes:
        resource: The resource.
        need: Tokens missing for queued requests or a deficit.
        extra: Additional tokens, granted only from those above the giver's
            recent peak use.
        held: Tokens that the requester holds.
        demand: Number of its running and queued requests.
    """

    resource: ResourceId
    need: int
    extra: int
    held: int
    demand: int


def split_evenly(amount: int, count: int) -> list[int]:
    """Splits `amount`, which may be negative, into `count` even parts."""
    size, rest = divmod(abs(amount), count)
    sign = -1 if amount < 0 else 1
    return [sign * (size + (1 if i < rest else 0)) for i in range(count)]


@dataclasses.dataclass(slots=True)
class _Removal:
    """A former member whose tokens have not been reissued yet.

    Attributes:
        joined: Control offset at which it joined.
        pending_fencers: Members that have not appended a fencing record.
        wait: Whether fencing must wait since its work may still run.
    """

    joined: int
    pending_fencers: set[Incarnation]
    wait: bool


class EscrowAccounts:
    """Accounts of issued tokens, folded from the control stream.

    A fencing record books the transfers between its author and the removed
    member to their accounts. The accounts of a resource therefore always add up
    to its limit, and once all members have fenced a member, its account is
    exactly the number of tokens it still holds.
    """

    def __init__(self) -> None:
        self.version = 0
        self.limits: dict[ResourceId, int] = {}
        self.accounts: dict[Incarnation, dict[ResourceId, int]] = {}
        self.unowned: dict[ResourceId, int] = {}
        self.members: dict[Incarnation, int] = {}
        self.removals: dict[Incarnation, _Removal] = {}
        self.lowered: dict[ResourceId, int] = {}

    def issued(self, resource: ResourceId, holder: Incarnation) -> int:
        """Returns the tokens on the account of `holder`."""
        return self.accounts.get(holder, {}).get(resource, 0)

    def set_limit(self, resource: ResourceId, limit: int, offset: int) -> None:
        """Sets a limit and issues the difference from the previous one."""
        amount = limit - self.limits.get(resource, 0)
        self.limits[resource] = limit
        if amount:
            self._distribute({resource: amount}, offset)

    def join(self, member: Incarnation, offset: int) -> None:
        """Adds a member, and issues it any tokens without an owner."""
        if member in self.members or member in self.removals:
            return
        self.version += 1
        self.members[member] = offset
        self.accounts.setdefault(member, {})
        for removal in self.removals.values():
            if not removal.pending_fencers and removal.wait:
                # No remaining member can fence the removed one, whose work
                # may still run.
                removal.pending_fencers.add(member)
        unowned, self.unowned = self.unowned, {}
        self._distribute(unowned, offset)

    def remove(
        self, member: Incarnation, offset: int, *, graceful: bool = False
    ) -> None:
        """Ends a membership; its tokens are reissued once it is fenced.

        Args:
            member: The member that was removed or left.
            offset: Control offset of the record.
            graceful: Whether the member left without running requests, so
                that fencing need not wait.
        """
        joined = self.members.pop(member, None)
        if joined is None:
            return
        self.version += 1
        # Work of an earlier removed member that this one has not fenced may
        # still run, so fencing this one must wait as well.
        unclosed = any(
            member in removal.pending_fencers and removal.wait
            for removal in self.removals.values()
        )
        self.removals[member] = _Removal(
            joined, set(self.members), wait=not graceful or unclosed
        )
        self._reissue_tokens(offset)

    def apply_fencing_record(
        self, fencing_record: FencingRecord, offset: int
    ) -> bool:
        """Applies a fencing record.

        Returns:
            False if it was ignored: the author is not a member, or the
            member was not removed or is already fenced by the author.
        """
        removal = self.removals.get(fencing_record.member)
        if (
            removal is None
            or fencing_record.author not in removal.pending_fencers
        ):
            return False
        if fencing_record.author not in self.members:
            return False
        self.version += 1
        removal.pending_fencers.remove(fencing_record.author)
        mine = self.accounts[fencing_record.author]
        other = self.accounts[fencing_record.member]
        for sign, totals in (
            (1, fencing_record.received),
            (-1, fencing_record.given),
        ):
            for resource, total in totals.items():
                mine[resource] = mine.get(resource, 0) + sign * total
                other[resource] = other.get(resource, 0) - sign * total
        self._reissue_tokens(offset)
        return True

    def list_unfenced(self, author: Incarnation) -> list[Incarnation]:
        """Returns the removed members that `author` has not fenced yet."""
        return [
            m for m, r in self.removals.items() if author in r.pending_fencers
        ]

    def needs_fencing_delay(self, member: Incarnation) -> bool:
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
        """Returns the accounts as JSON types, for a snapshot."""
        return {
            "limits": self.limits,
            "accounts": self.accounts,
            "unowned": self.unowned,
            "members": list(self.members.items()),
            "lowered": self.lowered,
            "removals": [
                [
                    member,
                    removal.joined,
                    sorted(removal.pending_fencers),
                    removal.wait,
                ]
                for member, removal in self.removals.items()
            ],
        }

    @classmethod
    def load(cls, data: Mapping[str, Any]) -> "EscrowAccounts":
        """Returns the accounts that `dump` wrote."""
        escrow = cls()
        escrow.limits = dict(data["limits"])
        escrow.accounts = {m: dict(a) for m, a in data["accounts"].items()}
        escrow.unowned = dict(data["unowned"])
        escrow.members = {member: joined for member, joined in data["members"]}
        escrow.lowered = dict(data["lowered"])
        escrow.removals = {
            member: _Removal(joined, set(pending_fencers), wait)
            for member, joined, pending_fencers, wait in data["removals"]
        }
        return escrow

    def _reissue_tokens(self, offset: int) -> None:
        for group in self._groups():
            if any(
                fencer not in self.removals
                for member in group
                for fencer in self.removals[member].pending_fencers
            ):
                continue
            amounts: dict[ResourceId, int] = {}
            for member in group:
                del self.removals[member]
                for resource, amount in self.accounts.pop(member).items():
                    amounts[resource] = amounts.get(resource, 0) + amount
            self._distribute({r: a for r, a in amounts.items() if a}, offset)

    def _groups(self) -> list[set[Incarnation]]:
        """Groups removed members that have not fenced each other.

        The transfers between two of them are not in the log, but cancel out in
        the sum of their accounts, so the tokens are reissued together.
        """
        groups: list[set[Incarnation]] = []
        for member, removal in self.removals.items():
            joined = {member} | (removal.pending_fencers & self.removals.keys())
            rest = []
            for group in groups:
                if group & joined:
                    joined |= group
                else:
                    rest.append(group)
            groups = [*rest, joined]
        return groups


@dataclasses.dataclass(slots=True)
class _PendingReduction:
    """A limit reduction that is not known to be settled at all members.

    Attributes:
        latest: Control offset of the resource's last reduction.
        settled: Peers that have folded `latest` and have no deficit.
    """

    latest: int
    settled: set[Incarnation]


class Ledger:
    """Tracks one entry's tokens of the fleet-wide limits.

    Args:
        me: Incarnation of this entry.
        escrow: Fold of the control stream that this entry applies.
    """

    def __init__(
        self, me: Incarnation, escrow: EscrowAccounts | None = None
    ) -> None:
        self.me = me
        self.escrow = escrow if escrow is not None else EscrowAccounts()
        self._given: dict[Incarnation, dict[ResourceId, int]] = {}
        self._received: dict[Incarnation, dict[ResourceId, int]] = {}
        self._unacknowledged: dict[Incarnation, set[ResourceId]] = {}
        self._running: dict[ResourceId, int] = {}
        self._reserved: dict[ResourceId, int] = {}
        self._held: dict[ResourceId, int] = {}
        self._version = -1
        self.holdings_revision = 0
        self.usage_revision = 0
        self._negative: set[ResourceId] = set()
        self._pending_reductions: dict[ResourceId, _PendingReduction] = {}
        self._finished_reductions: dict[ResourceId, int] = {}
        self._reports: dict[Incarnation, Report] = {}
        self._settled_offset = -1

    def replace_escrow(self, escrow: EscrowAccounts) -> None:
        """Replaces the accounts with those of a snapshot."""
        self.escrow = escrow
        self.holdings_revision += 1
        # Versions of different `EscrowAccounts` objects are unrelated.
        self._version = -1
        self._synchronize()

    def issue(
        self, resource: ResourceId, holder: Incarnation, amount: int
    ) -> None:
        """Raises a limit and issues the tokens to one account only."""
        self.escrow.join(holder, -1)
        self.escrow.limits[resource] = (
            self.escrow.limits.get(resource, 0) + amount
        )
        account = self.escrow.accounts[holder]
        account[resource] = account.get(resource, 0) + amount
        self.escrow.version += 1

    def held(self, resource: ResourceId) -> int:
        """Returns the tokens held here; negative for a deficit."""
        if self._version != self.escrow.version:
            self._synchronize()
        return self._held.get(resource, 0)

    def running(self, resource: ResourceId) -> int:
        """Returns the number of acquired and not yet released tokens."""
        return self._running.get(resource, 0)

    def resources(self) -> list[ResourceId]:
        """Returns the resources with a limit or a running request, sorted."""
        return sorted(self.escrow.limits.keys() | self._running.keys())

    def free(self, resource: ResourceId) -> int:
        """Returns the unused tokens, also while a reduction is pending."""
        return max(0, self.held(resource) - self.running(resource))

    def available(self, resource: ResourceId) -> int:
        """Returns how many tokens can be acquired now."""
        free = self.free(resource) - self._reserved.get(resource, 0)
        return 0 if resource in self._pending_reductions else max(0, free)

    def is_reduction_pending(self, resource: ResourceId) -> bool:
        """Returns whether a limit reduction is not settled everywhere."""
        self.held(resource)
        return resource in self._pending_reductions

    def acquire(self, resource: ResourceId) -> bool:
        """Acquires one token; returns False if none is available."""
        if self.available(resource) <= 0:
            return False
        self._running[resource] = self._running.get(resource, 0) + 1
        self.usage_revision += 1
        return True

    def release(self, resource: ResourceId) -> None:
        """Releases one token taken by `acquire`.

        Raises:
            ValueError: No token of the resource is acquired.
        """
        self._synchronize()
        running = self._running.get(resource, 0)
        if running <= 0:
            raise ValueError(f"no token of {resource} is acquired")
        self.usage_revision += 1
        if running == 1:
            del self._running[resource]
        else:
            self._running[resource] = running - 1
        if resource in self._pending_reductions:
            self._finish_reduction_if_settled(resource)

    def list_deficits(self) -> list[ResourceId]:
        """Returns the resources with more tokens in use than held."""
        self._synchronize()
        return [
            resource
            for resource in self._running.keys() | self._negative
            if self._running.get(resource, 0) > self._held.get(resource, 0)
        ]

    def list_running(self) -> Mapping[ResourceId, int]:
        """Returns the tokens in use, without unused resources."""
        return self._running

    def may_use_acquired(self, resource: ResourceId) -> bool:
        """Returns whether tokens taken earlier may still be used.

        A limit may be lowered between `acquire` and the start of the work, for
        example while an idempotency claim is decided.
        """
        held = self.held(resource)
        return (
            resource not in self._pending_reductions
            and self.running(resource) <= held
        )

    def reserve(self, resource: ResourceId, amount: int) -> None:
        """Keeps `amount` free tokens from being acquired here."""
        self.usage_revision += 1
        if amount > 0:
            self._reserved[resource] = amount
        else:
            self._reserved.pop(resource, None)

    def give(
        self, resource: ResourceId, to: Incarnation, amount: int
    ) -> Transfer | None:
        """Transfers free tokens; None if there are too few of them."""
        if amount <= 0 or self.free(resource) < amount:
            return None
        if to == self.me or to not in self.escrow.members:
            return None
        row = self._given.setdefault(to, {})
        row[resource] = row.get(resource, 0) + amount
        self._held[resource] -= amount
        self.holdings_revision += 1
        self._unacknowledged.setdefault(to, set()).add(resource)
        return Transfer(resource, self.me, to, row[resource])

    def receive(self, transfer: Transfer) -> Transfer | None:
        """Adds received tokens.

        Returns:
            The acknowledgement to send, or None if the transfer is for another
            incarnation or the giver is not a member; it is then ignored.
        """
        giver = transfer.giver
        if transfer.receiver != self.me or giver not in self.escrow.members:
            return None
        resource = transfer.resource
        self.held(resource)
        row = self._received.setdefault(giver, {})
        more = transfer.total - row.get(resource, 0)
        if more > 0:
            row[resource] = transfer.total
            self._held[resource] = self._held.get(resource, 0) + more
            self.holdings_revision += 1
            if resource in self._pending_reductions:
                self._finish_reduction_if_settled(resource)
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
        """Stops resending a transfer once its latest total arrived."""
        row = self._given.get(transfer.receiver, {})
        if row.get(transfer.resource, 0) <= transfer.total:
            waiting = self._unacknowledged.get(transfer.receiver, set())
            waiting.discard(transfer.resource)

    def create_fencing_record(self, member: Incarnation) -> FencingRecord:
        """Returns the fencing record to append for a removed member.

        Raises:
            ValueError: The member has not been removed.
        """
        if member in self.escrow.members:
            raise ValueError(f"cannot fence {member}: it is still a member")
        return FencingRecord(
            member,
            self.me,
            dict(self._given.get(member, {})),
            dict(self._received.get(member, {})),
        )

    def apply_fencing_records(
        self, member: Incarnation, fencing_records: Iterable[FencingRecord]
    ) -> None:
        """Applies fencing records of a member that were read from the log."""
        for fencing_record in fencing_records:
            if fencing_record.member == member:
                self.escrow.apply_fencing_record(fencing_record, -1)

    def report(self, offset: int) -> Report:
        """Returns the deficits and the settled limit reductions.

        Args:
            offset: Control offset up to which `escrow` is folded. A higher one
                would report a reduction as settled before it is applied.
        """
        self._synchronize()
        debts = frozenset(
            resource
            for resource in self._pending_reductions
            if self.running(resource) > self._held.get(resource, 0)
        )
        # Several reductions may have been folded at once, so a pending one
        # confirms nothing after the last reduction that was settled.
        opened = min(
            (
                self._finished_reductions.get(resource, -1)
                for resource in self._pending_reductions
            ),
            default=offset,
        )
        return Report(offset, debts, opened)

    def on_report(self, member: Incarnation, report: Report) -> None:
        """Applies a peer's report; a settled reduction stays settled."""
        self._synchronize()
        last = self._reports.get(member)
        if last is None or report.offset >= last.offset:
            self._reports[member] = report
        self._settled_offset = max(self._settled_offset, report.opened)
        for resource in list(self._pending_reductions):
            self._mark_settled(resource, member, report)
            self._finish_reduction_if_settled(resource)

    def _mark_settled(
        self, resource: ResourceId, member: Incarnation, report: Report
    ) -> None:
        reduction = self._pending_reductions[resource]
        if report.offset >= reduction.latest and resource not in report.debts:
            reduction.settled.add(member)

    def _finish_reduction_if_settled(self, resource: ResourceId) -> None:
        """Ends the pending reduction of a resource once all have settled.

        A removed member must settle too until its tokens are reissued: if its
        account is negative, the others hold more than the limit.
        """
        reduction = self._pending_reductions[resource]
        if self.running(resource) > self._held.get(resource, 0):
            return
        required = {
            member
            for member, joined in self.escrow.members.items()
            if joined < reduction.latest
        }
        required.update(
            member
            for member, removal in self.escrow.removals.items()
            if removal.joined < reduction.latest
        )
        required.discard(self.me)
        if (
            required <= reduction.settled
            or self._settled_offset >= reduction.latest
        ):
            del self._pending_reductions[resource]
            self._finished_reductions[resource] = reduction.latest

    def _synchronize(self) -> None:
        """Recomputes the held tokens after the accounts have changed."""
        if self._version == self.escrow.version:
            return
        self._version = self.escrow.version
        members = self.escrow.members
        keep = members.keys() | set(self.escrow.list_unfenced(self.me))
        for rows in (self._given, self._received):
            for peer in rows.keys() - keep:
                del rows[peer]
        for peer in self._unacknowledged.keys() - members.keys():
            del self._unacknowledged[peer]
        for peer in self._reports.keys() - members.keys():
            if peer not in self.escrow.removals:
                del self._reports[peer]
        held: dict[ResourceId, int] = {}
        if self.me in members:
            held = dict(self.escrow.accounts[self.me])
            for sign, rows in ((1, self._received), (-1, self._given)):
                for row in rows.values():
                    for resource, total in row.items():
                        held[resource] = held.get(resource, 0) + sign * total
        self._held = held
        self._negative = {r for r, amount in held.items() if amount < 0}
        self._synchronize_reductions()

    def _synchronize_reductions(self) -> None:
        for resource, offset in self.escrow.lowered.items():
            if self._finished_reductions.get(resource, -1) >= offset:
                continue
            reduction = self._pending_reductions.get(resource)
            if reduction is None:
                self._pending_reductions[resource] = _PendingReduction(
                    offset, set()
                )
            elif reduction.latest < offset:
                reduction.latest = offset
                reduction.settled.clear()
            for member, report in self._reports.items():
                self._mark_settled(resource, member, report)
            self._finish_reduction_if_settled(resource)


@dataclasses.dataclass(slots=True)
class _PromisedTransfer:
    """Tokens promised to a peer out of the next releases.

    Attributes:
        amount: Tokens not yet transferred.
        until: Monotonic time at which the promise expires.
    """

    amount: int
    until: float


class TokenBalancer:
    """Decides which peers to ask for tokens and how many to give.

    An entry asks the peers that report the largest surplus. If none reports
    any, it asks the peers in rotation. The asked peer transfers a share of the
    tokens it uses, in proportion to both demands, as its requests finish.

    Args:
        ledger: Tokens of this entry.
        request_period: Seconds between requests for one resource while a peer
            reports a surplus.
        scarce_request_period: Seconds between them while no peer does, so that
            a resource at its limit everywhere costs one message per period.
        min_hold_seconds: Seconds that a saturated entry keeps a token before
            giving it to an entry with none, even if the proportional share
            rounds to zero; entries take turns with a single token.
        hint_period: Seconds between updates of the surplus in reports.
        full_report_period: Seconds between reports with all resources, which
            restore changes that a peer missed.
    """

    def __init__(
        self,
        ledger: Ledger,
        *,
        request_period: float = 0.25,
        scarce_request_period: float = 2.0,
        min_hold_seconds: float = 1.0,
        hint_period: float = 0.5,
        full_report_period: float = 600.0,
    ) -> None:
        self.ledger = ledger
        self.request_period = request_period
        self.scarce_request_period = scarce_request_period
        self.min_hold_seconds = min_hold_seconds
        self.hint_period = hint_period
        self.full_report_period = full_report_period
        self._waiting: dict[ResourceId, int] = {}
        self._peak: dict[ResourceId, float] = {}
        self._surplus: dict[Incarnation, dict[ResourceId, int]] = {}
        self._requested_at: dict[ResourceId, float] = {}
        self._next_peer_index: dict[ResourceId, int] = {}
        self._promised: dict[
            ResourceId, dict[Incarnation, _PromisedTransfer]
        ] = {}
        self._holding_since: dict[ResourceId, float] = {}
        self._last_surplus: dict[ResourceId, int] = {}
        self._last_report_at = float("-inf")
        self._surplus_key: tuple[int, int, int] | None = None
        self._last_full_report_at = float("-inf")
        self._last_report_peers: set[Incarnation] = set()
        self._decayed_at = float("-inf")

    def request_full_report(self) -> None:
        """Lists all resources in the next report, for missed changes."""
        self._last_full_report_at = float("-inf")

    def set_waiting(self, resource: ResourceId, waiting: int) -> None:
        """Sets how many queued requests lack a token of the resource."""
        if waiting > 0:
            self._waiting[resource] = waiting
        else:
            self._waiting.pop(resource, None)

    def report(self, offset: int, now: float) -> Report:
        """Returns the report for all peers.

        The surplus is rounded down to a power of two so that it changes less
        often; it is a hint and does not limit transfers.
        """
        report = self.ledger.report(offset)
        peers = set(self.ledger.escrow.members)
        whole = (
            now - self._last_full_report_at >= self.full_report_period
            or not peers <= self._last_report_peers
        )
        if not whole and now - self._last_report_at < self.hint_period:
            return dataclasses.replace(report, whole=False)
        self._decay(now)
        surplus = self._list_surplus()
        last_surplus, self._last_surplus = self._last_surplus, surplus
        self._last_report_at, self._last_report_peers = now, peers
        if whole:
            self._last_full_report_at = now
            return dataclasses.replace(report, surplus=surplus)
        changes = _surplus_changes(last_surplus, surplus)
        return dataclasses.replace(report, surplus=changes, whole=False)

    def _list_surplus(self) -> dict[ResourceId, int]:
        """Returns the tokens that can be given, recomputed after a change.

        Recomputing 12,000 slots twice a second took most of the CPU time of an
        idle entry.
        """
        ledger = self.ledger
        key = (
            ledger.holdings_revision,
            ledger.usage_revision,
            ledger.escrow.version,
        )
        steady = not self._waiting and not self._promised
        if steady and key == self._surplus_key:
            return self._last_surplus
        self._surplus_key = key if steady else None
        surplus = {}
        for resource in ledger.resources():
            spare = self._spare(resource)
            if spare > 0:
                surplus[resource] = _round_down(spare)
        return surplus

    def on_report(self, member: Incarnation, report: Report) -> None:
        """Applies a peer's deficits and surplus."""
        self.ledger.on_report(member, report)
        table = self._surplus.setdefault(member, {})
        if report.whole:
            table.clear()
        for resource, amount in report.surplus.items():
            if amount > 0:
                table[resource] = amount
            else:
                table.pop(resource, None)

    def create_requests(
        self, now: float
    ) -> list[tuple[Incarnation, RightsRequest]]:
        """Returns the requests for tokens to send now."""
        members = self.ledger.escrow.members
        for peer in self._surplus.keys() - members.keys():
            del self._surplus[peer]
        peers = [m for m in members if m != self.ledger.me]
        if not peers:
            return []
        requests: list[tuple[Incarnation, RightsRequest]] = []
        for resource in self._wanted():
            need = self._need(resource)
            if need > 0:
                requests.extend(
                    self._create_resource_requests(resource, need, peers, now)
                )
        return requests

    def on_request(
        self, peer: Incarnation, request: RightsRequest, now: float
    ) -> Transfer | None:
        """Gives free tokens to a peer and promises further ones.

        Returns:
            The transfer of the tokens that are free now, if any.
        """
        resource = request.resource
        lack = self._need(resource)
        free = self.ledger.free(resource) if lack <= 0 else 0
        free = max(0, free - self._count_promised(resource))
        amount = min(request.need, free)
        kept = max(0, free - amount - int(self._peak.get(resource, 0)))
        amount += min(request.extra, kept // 2)
        transfer = self.ledger.give(resource, peer, amount)
        if amount < request.need:
            self._promise_share(peer, request, amount, now)
        return transfer

    def transfer_promised(self, now: float) -> list[Transfer]:
        """Returns the transfers of promised tokens that became free."""
        transfers = []
        for resource, promises in list(self._promised.items()):
            for peer, promise in list(promises.items()):
                paid = min(promise.amount, self.ledger.free(resource))
                transfer = self.ledger.give(resource, peer, paid)
                if transfer is not None:
                    promise.amount -= paid
                    transfers.append(transfer)
                if promise.amount <= 0 or now >= promise.until:
                    del promises[peer]
            if not promises:
                del self._promised[resource]
            self.ledger.reserve(resource, self._count_promised(resource))
        return transfers

    def transfer_all_free(self, peers: Sequence[Incarnation]) -> list[Transfer]:
        """Returns the transfers that split all free tokens among `peers`."""
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
        """Starts `min_hold_seconds` for tokens that just arrived."""
        self._holding_since[resource] = now

    def _wanted(self) -> list[ResourceId]:
        return sorted({*self.ledger.list_deficits(), *self._waiting})

    def _need(self, resource: ResourceId) -> int:
        waiting = self._waiting.get(resource, 0)
        demand = self.ledger.running(resource) + waiting
        return demand - self.ledger.held(resource)

    def _spare(self, resource: ResourceId) -> int:
        free = self.ledger.free(resource) - self._count_promised(resource)
        return free - self._waiting.get(resource, 0)

    def _count_promised(self, resource: ResourceId) -> int:
        promises = self._promised.get(resource, {})
        return sum(promise.amount for promise in promises.values())

    def _create_resource_requests(
        self,
        resource: ResourceId,
        need: int,
        peers: list[Incarnation],
        now: float,
    ) -> Iterable[tuple[Incarnation, RightsRequest]]:
        asked = self._requested_at.get(resource, float("-inf"))
        if now - asked < self.request_period:
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
            self._requested_at[resource] = now
            for offer, peer in offers:
                # A surplus is reported rounded down, to at least half.
                part = min(need, 2 * offer)
                extra = part // 2
                yield peer, RightsRequest(resource, part, extra, held, demand)
                need -= part
                if need <= 0:
                    return
        elif now - asked >= self.scarce_request_period:
            self._requested_at[resource] = now
            turn = self._next_peer_index.get(
                resource, hash_text(resource + peers[0])
            )
            self._next_peer_index[resource] = turn + 1
            peer = peers[turn % len(peers)]
            yield peer, RightsRequest(resource, need, 0, held, demand)

    def _promise_share(
        self,
        peer: Incarnation,
        request: RightsRequest,
        given: int,
        now: float,
    ) -> None:
        """Promises a share of the tokens in use, in proportion to demand.

        The share is rounded down, so that two entries of equal demand do not
        exchange the last token with every request.
        """
        resource = request.resource
        if self.ledger.is_reduction_pending(resource):
            return
        mine = max(0, self.ledger.held(resource))
        demand = self.ledger.running(resource)
        demand += self._waiting.get(resource, 0)
        both = mine + max(0, request.held) + given
        fair = both * request.demand // max(1, request.demand + demand)
        amount = min(fair - request.held - given, request.need - given, mine)
        if amount <= 0 and request.held <= 0 and mine > 0:
            since = self._holding_since.setdefault(resource, now)
            amount = 1 if now - since >= self.min_hold_seconds else 0
        if amount > 0:
            promises = self._promised.setdefault(resource, {})
            promises[peer] = _PromisedTransfer(
                amount, now + self.scarce_request_period
            )
            self.ledger.reserve(resource, self._count_promised(resource))
            self._holding_since[resource] = now

    def _decay(self, now: float) -> None:
        """Decays the recent peak use with a half-life of one second."""
        factor = 0.5 ** max(0.0, min(60.0, now - self._decayed_at))
        self._decayed_at = max(self._decayed_at, now)
        peaks = {r: p * factor for r, p in self._peak.items() if p > 0.5}
        for resource, running in self.ledger.list_running().items():
            if running > peaks.get(resource, 0):
                peaks[resource] = running
        self._peak = peaks


def hash_text(text: str) -> int:
    """Returns a 32-bit hash that is the same in every process."""
    return zlib.crc32(text.encode())


def _round_down(amount: int) -> int:
    return 1 << (amount.bit_length() - 1)


def _surplus_changes(
    old: Mapping[ResourceId, int], new: Mapping[ResourceId, int]
) -> dict[ResourceId, int]:
    changed = {r: a for r, a in new.items() if old.get(r) != a}
    changed.update({r: 0 for r in old if r not in new})
    return changed


if __name__ == "__main__":
    one, two = Incarnation("one/1"), Incarnation("two/1")
    shared = EscrowAccounts()
    shared.join(one, 1)
    shared.join(two, 2)
    shared.set_limit(ResourceId("team:quotes"), 5, 3)
    first, second = Ledger(one, shared), Ledger(two, shared)
    transfer = first.give(ResourceId("team:quotes"), two, 2)
    assert transfer is not None
    second.receive(transfer)
    print(first.held(transfer.resource), second.held(transfer.resource))
