"""Combines membership, limits, freshness and claims of one entry.

`Coordination` takes log records, peer messages and the time, and returns the
messages and records to send. The parts depend on each other (for example, an
offset may be reported only once it is folded), so they are connected here,
without sockets or a clock.
"""

import collections
import dataclasses
from collections.abc import Iterable, Sequence

from clementinewood import (
    claim,
    freshness,
    identifiers,
    ledger,
    membership,
    verdict,
)

Incarnation = identifiers.Incarnation

RELAY_RECORDS = 256
"""Number of folded control records kept for peers without the log."""

ECHO_HISTORY = 64
"""Number of own status messages whose send time is kept for echoes."""


@dataclasses.dataclass(frozen=True, slots=True)
class Confirmation:
    """Confirms to a new member that the sender has folded its join.

    Attributes:
        offset: Control offset that the sender has folded.
        complete: Whether the sender knows every claim that may have run.
        claims: The outage claims that it has not read from the log.
    """

    offset: int
    complete: bool
    claims: tuple[claim.Claim, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """Status of the sender, sent to every member a few times a second.

    Attributes:
        sequence: Number of this status.
        echo: Number of the last status received from the addressee.
        reachable: Whether the sender can reach the log.
        known: Highest control offset it knows of.
        age: Seconds since the read to the head of the log on which its
            freshness is based was sent.
        report: State of its tokens; the offset in it is folded.
        leaving: Whether it is leaving and takes no new work.
        awaits: Whether it waits for the confirmation of the addressee.
        confirmation: Reply to the addressee's `awaits`.
    """

    sequence: int
    echo: int
    reachable: bool
    known: int
    age: float
    report: ledger.Report
    leaving: bool = False
    awaits: bool = False
    confirmation: Confirmation | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class TransferAck:
    """Acknowledges a transfer."""

    transfer: ledger.Transfer


@dataclasses.dataclass(frozen=True, slots=True)
class Releases:
    """Outcomes that free claimed keys before the log has them."""

    outcomes: tuple[claim.Outcome, ...]


ControlRecord = tuple[int, Incarnation, membership.Payload]
"""Offset, author and payload."""


@dataclasses.dataclass(frozen=True, slots=True)
class Relay:
    """Control records that follow the offset `after` without a gap."""

    after: int
    records: tuple[ControlRecord, ...]


Message = (
    Status
    | ledger.Transfer
    | TransferAck
    | ledger.RightsRequest
    | claim.ClaimAsk
    | claim.ClaimAnswer
    | Releases
    | Relay
)


class Coordination:
    """Coordinates one incarnation of an entry with its peers.

    Args:
        me: The incarnation.
        timing: Bounds shared by the cluster.
        window: Seconds for which claims are kept.
        roster: Fold of the control stream up to `offset`, from a snapshot.
        offset: Offset of the last folded control record.
    """

    def __init__(
        self,
        me: Incarnation,
        *,
        timing: membership.Timing | None = None,
        window: float = 3600.0,
        roster: membership.Roster | None = None,
        offset: int = -1,
    ) -> None:
        self.me = me
        self.timing = timing if timing is not None else membership.Timing()
        self.roster = roster if roster is not None else membership.Roster()
        self.membership = membership.Membership(
            me, self.roster, timing=self.timing, window=window
        )
        self.freshness = freshness.Freshness(
            me, fresh=self.timing.fresh, append_pause=self.timing.append_pause
        )
        self.ledger = ledger.Ledger(me, self.roster.escrow)
        self.balancer = ledger.TokenBalancer(self.ledger)
        self.claims = claim.ClaimTable(
            me, window=window, drift=self.timing.drift
        )
        self.offset = offset
        self.leaving = False
        self._changed = self.roster.changed
        self._sequence = 0
        self._status_sent_at: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )
        self._echo: dict[Incarnation, int] = {}
        self._awaiting_peers: set[Incarnation] = set()
        self._leaving_peers: set[Incarnation] = set()
        self._records: collections.deque[ControlRecord] = collections.deque(
            maxlen=RELAY_RECORDS
        )
        self._messages: list[tuple[Incarnation, Message]] = []
        self._appends: list[membership.Payload] = []
        self._outstanding: dict[object, membership.Payload] = {}
        self._decisions: list[claim.Decision] = []

    @property
    def is_removed(self) -> bool:
        """Whether this incarnation was a member and must be replaced."""
        return (
            self.membership.joined_at is not None
            and not self.membership.is_member
        )

    def on_control(
        self,
        author: Incarnation,
        payload: membership.Payload,
        offset: int,
        now: float,
    ) -> None:
        """Folds a control record, unless it is already folded."""
        if offset <= self.offset:
            return
        counted = self.roster.apply(author, payload, offset)
        self.on_folded(author, payload, offset, now, counted=counted)

    def on_folded(
        self,
        author: Incarnation,
        payload: membership.Payload,
        offset: int,
        now: float,
        *,
        counted: bool,
    ) -> None:
        """Handles a control record that the shared roster has just folded.

        Call it before the roster folds the next record.

        Args:
            author: Author of the record.
            payload: Its membership payload.
            offset: Its offset.
            now: Monotonic time.
            counted: Whether it changed the roster.
        """
        if offset <= self.offset:
            return
        self.offset = offset
        self._records.append((offset, author, payload))
        if counted:
            self.membership.on_folded(author, payload, offset, now)
            if isinstance(payload, membership.Refuted):
                self._apply_refutation(author, payload)
        if author == self.me:
            self._outstanding.pop(_append_key(payload), None)
        if self.roster.changed != self._changed:
            self._on_members_changed(now)
        self.freshness.on_offset(offset)

    def adopt_roster(
        self, roster: membership.Roster, offset: int, now: float
    ) -> None:
        """Replaces the roster with that of a snapshot after a gap.

        Args:
            roster: Fold of the control stream up to `offset`.
            offset: Offset of the last folded control record.
            now: Monotonic time.
        """
        self.roster = roster
        self.offset = max(self.offset, offset)
        # Records before and after the gap must not be relayed to peers as
        # consecutive ones.
        self._records.clear()
        # Own records may have been stored in the gap. Appending them again
        # changes nothing.
        self._outstanding.clear()
        self.ledger.replace_escrow(roster.escrow)
        self.membership.adopt_roster(roster, now)
        self._on_members_changed(now)
        self.freshness.on_offset(self.offset)

    def _on_members_changed(self, now: float) -> None:
        self._changed = self.roster.changed
        members = self.roster.members
        self.freshness.set_members(members)
        self._awaiting_peers &= members.keys()
        self._leaving_peers &= members.keys()
        for peer in self._echo.keys() - members.keys():
            del self._echo[peer]
        self.claims.on_roster(
            self.roster.changed,
            self.roster.departed,
            now + self.timing.isolation_delay,
        )

    def on_other_control(self, offset: int) -> None:
        """Advances past a record without members or limits."""
        if offset > self.offset:
            self.offset = offset
            self.freshness.on_offset(offset)

    def on_control_head(self, sent: float) -> None:
        """Handles a control read, sent at `sent`, that reached the head.

        Call it after passing the records of that read to `on_control`.
        """
        self.freshness.on_head_read(sent)

    def on_claims(self, batch: claim.Batch, time: float, now: float) -> None:
        """Applies a record of the claims stream."""
        self._decisions.extend(self.claims.on_batch(batch, time, now))

    def on_claims_head(self, sent: float) -> None:
        """Handles a claims read, sent at `sent`, that reached the head."""
        self.claims.on_head_read(sent)

    def on_peer_absent(self, member: Incarnation, now: float) -> None:
        """Handles the end of a member's process."""
        self.freshness.on_peer_absent(member, now)
        self.membership.on_absent(member, now)

    def on_append_failed(self, payload: membership.Payload) -> None:
        """Allows another append of a record that the log did not store."""
        self._outstanding.pop(_append_key(payload), None)

    def on_message(
        self, sender: Incarnation, message: Message, now: float
    ) -> None:
        """Applies a peer's message, or ignores it if it is no member."""
        if sender not in self.roster.members or self.is_removed:
            return
        self.membership.record_message(sender, now)
        match message:
            case Status():
                self._on_status(sender, message, now)
            case ledger.Transfer():
                acknowledged = self.ledger.receive(message)
                if acknowledged is not None:
                    self.balancer.on_received(message.resource, now)
                    self._send(sender, TransferAck(acknowledged))
            case TransferAck(transfer):
                self.ledger.acknowledge(transfer)
            case ledger.RightsRequest():
                given = self.balancer.on_request(sender, message, now)
                if given is not None:
                    self._send(sender, given)
            case claim.ClaimAsk():
                answer = self.claims.on_ask(message, now, self.roster.members)
                self._send(sender, answer)
            case claim.ClaimAnswer():
                self._decisions.extend(self.claims.on_answer(sender, message))
            case Releases(outcomes):
                self.claims.on_releases(outcomes, now)
            case Relay(after, records):
                if after <= self.offset:
                    for offset, author, payload in records:
                        self.on_control(author, payload, offset, now)

    def advance(self, now: float, *, log_usable: bool) -> None:
        """Does periodic work; call it every 250 ms.

        Args:
            now: Monotonic time.
            log_usable: Whether this entry reads and appends to the log itself.
        """
        if self.membership.joined_at is None:
            if log_usable:
                self._append(membership.Joined())
            return
        may_append = log_usable and self.freshness.may_append(now)
        for action in self.membership.decide(
            now, may_append=may_append, log_usable=log_usable
        ):
            match action:
                case membership.Action(membership.ActionKind.REFUTE):
                    self._append(self._refute(now))
                case membership.Action(membership.ActionKind.CLOSE, member):
                    self._append(self.ledger.create_fencing_record(member))
                case membership.Suspected() | membership.Removed():
                    self._append(action)
        if self.is_removed:
            return
        asks, decisions = self.claims.advance(
            now,
            outage=now - self.freshness.own_read_at > self.timing.fresh / 2,
            complete=self.membership.is_complete(now),
            members=self.roster.members,
        )
        self._decisions.extend(decisions)
        for peer, ask in asks:
            self._send(peer, ask)
        releases = tuple(self.claims.take_releases())
        if releases:
            for peer in self._peers():
                self._send(peer, Releases(releases))
        self._exchange_tokens(now)
        self._send_status(now)
        if self.leaving and may_append and self._may_leave():
            complete = self.membership.is_complete(now)
            self._append(membership.Left(complete))

    def may_act(self, now: float) -> bool:
        """Returns whether this entry may start work now."""
        return not self.leaving and self.freshness.is_fresh(now)

    def may_publish(self, now: float) -> bool:
        """Returns whether bundles may be appended and reported accepted."""
        return (
            self.membership.is_confirmed
            and self.freshness.may_append(now)
            and not self.leaving
        )

    def acquire_tokens(
        self, resources: Sequence[ledger.ResourceId], now: float
    ) -> bool:
        """Acquires one token of each resource, or none.

        The work must reach a minion within `Timing.start_window`.
        """
        if not self.may_act(now):
            return False
        for index, resource in enumerate(resources):
            if not self.ledger.acquire(resource):
                for taken in resources[:index]:
                    self.ledger.release(taken)
                return False
        return True

    def may_dispatch(
        self, resources: Iterable[ledger.ResourceId], now: float
    ) -> bool:
        """Returns whether work with acquired tokens may be sent now.

        Check again after any wait between `acquire_tokens` and the send.
        """
        return self.may_act(now) and all(
            self.ledger.may_use_acquired(resource) for resource in resources
        )

    def release_tokens(self, resources: Iterable[ledger.ResourceId]) -> None:
        """Releases the tokens taken by `acquire_tokens`."""
        for resource in resources:
            self.ledger.release(resource)

    def submit(self, mine: claim.Claim, now: float) -> claim.Decision:
        """Starts the claim of a keyed request."""
        if not self.may_act(now):
            return claim.Decision(
                mine.request_id, claim.DecisionKind.UNAVAILABLE
            )
        complete = self.membership.is_complete(now)
        return self.claims.submit(mine, now, complete=complete)

    def leave(self) -> None:
        """Starts a graceful leave: takes no work, transfers all tokens."""
        self.leaving = True

    def take_messages(self) -> list[tuple[Incarnation, Message]]:
        """Returns the messages to send."""
        messages, self._messages = self._messages, []
        return messages

    def take_appends(self) -> list[membership.Payload]:
        """Returns the control records to append."""
        appends, self._appends = self._appends, []
        return appends

    def take_decisions(self) -> list[claim.Decision]:
        """Returns decisions on keyed requests."""
        decisions, self._decisions = self._decisions, []
        return decisions

    def _apply_refutation(
        self, author: Incarnation, payload: membership.Refuted
    ) -> None:
        if author != self.me:
            report = ledger.Report(
                payload.offset, payload.debts, payload.opened
            )
            self.ledger.on_report(author, report)

    def _peers(self) -> list[Incarnation]:
        return [m for m in self.roster.members if m != self.me]

    def _send(self, peer: Incarnation, message: Message) -> None:
        self._messages.append((peer, message))

    def _append(self, payload: membership.Payload) -> None:
        """Queues a record, unless the log may still store an equal one."""
        name = _append_key(payload)
        if name not in self._outstanding:
            self._outstanding[name] = payload
            self._appends.append(payload)

    def _refute(self, now: float) -> membership.Refuted:
        report = self.ledger.report(self.offset)
        return membership.Refuted(
            self.offset,
            flushed=not self.claims.list_unlogged(),
            complete=self.membership.is_complete(now),
            debts=report.debts,
            opened=report.opened,
        )

    def _exchange_tokens(self, now: float) -> None:
        if self.leaving:
            # Two leaving entries would repeatedly exchange their tokens.
            staying = [p for p in self._peers() if p not in self._leaving_peers]
            transfers = self.balancer.transfer_all_free(staying)
        else:
            transfers = self.balancer.transfer_promised(now)
            for peer, request in self.balancer.create_requests(now):
                self._send(peer, request)
        for transfer in transfers:
            self._send(transfer.receiver, transfer)
        for peer in self._peers():
            for transfer in self.ledger.pending(peer):
                self._send(peer, transfer)

    def _may_leave(self) -> bool:
        """Returns whether all work is done and all state handed over.

        Removed members must be fenced first: if this is the last member, no
        other one would wait for their work to stop.
        """
        busy = any(self.ledger.running(r) for r in self.ledger.resources())
        unacknowledged = any(self.ledger.pending(p) for p in self._peers())
        return not (
            busy
            or unacknowledged
            or self.claims.list_unlogged()
            or self.roster.escrow.list_unfenced(self.me)
        )

    def _send_status(self, now: float) -> None:
        self._sequence += 1
        self._status_sent_at[self._sequence] = now
        if len(self._status_sent_at) > ECHO_HISTORY:
            self._status_sent_at.popitem(last=False)
        report = self.balancer.report(self.offset, now)
        status = Status(
            self._sequence,
            -1,
            self.freshness.report_reachability(now),
            self.freshness.known_offset,
            now - self.freshness.read_at,
            report,
            self.leaving,
        )
        confirmation = None
        if self._awaiting_peers:
            confirmation = Confirmation(
                self.offset,
                self.membership.is_complete(now),
                tuple(self.claims.list_unlogged()),
            )
        for peer in self._peers():
            self._send(
                peer,
                dataclasses.replace(
                    status,
                    echo=self._echo.get(peer, -1),
                    awaits=self.membership.awaits(peer),
                    confirmation=(
                        confirmation if peer in self._awaiting_peers else None
                    ),
                ),
            )

    def _on_status(
        self, sender: Incarnation, status: Status, now: float
    ) -> None:
        self._echo[sender] = max(self._echo.get(sender, -1), status.sequence)
        sent_at = self._status_sent_at.get(status.echo)
        if sent_at is not None:
            self.freshness.on_peer_status(
                sender, status.reachable, status.known, sent_at
            )
            # The peer's clock may be slower than this one.
            age = status.age * (1 + 2 * self.timing.drift)
            self.freshness.on_relay(age, sent_at, head=status.report.offset)
        self.balancer.on_report(sender, status.report)
        if status.leaving:
            self._leaving_peers.add(sender)
        if status.awaits:
            self._awaiting_peers.add(sender)
        else:
            self._awaiting_peers.discard(sender)
        if status.confirmation is not None:
            confirmation = status.confirmation
            self.claims.record_unlogged(confirmation.claims, now)
            self.membership.on_confirmed(
                sender, confirmation.offset, confirmation.complete, now
            )
        peer_offset = status.report.offset
        if peer_offset < self.offset and not status.reachable and self._records:
            records = tuple(r for r in self._records if r[0] > peer_offset)
            if records and self._records[0][0] <= peer_offset + 1:
                self._send(sender, Relay(peer_offset, records))


def _append_key(payload: membership.Payload) -> object:
    """Returns the key of which only one record may be outstanding."""
    match payload:
        case membership.Suspected(member) | membership.Removed(member):
            return type(payload), member
        case ledger.FencingRecord():
            return type(payload), payload.member
    return type(payload)


def run_example() -> None:
    """Joins one entry and starts one request."""
    one = Incarnation("one/1")
    entry = Coordination(one)
    entry.advance(0.0, log_usable=True)
    (joined,) = entry.take_appends()
    entry.on_control(one, joined, 1, 0.1)
    team = ledger.ResourceId("team:quotes")
    entry.on_control(one, membership.Limits({team: 2}), 2, 0.2)
    entry.on_control_head(0.1)
    print(entry.acquire_tokens([team], 0.3), entry.ledger.available(team))
    print(verdict.Execution.RAN.value, entry.freshness.explain(0.3))


if __name__ == "__main__":
    run_example()
