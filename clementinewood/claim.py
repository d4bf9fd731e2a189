"""Claims of idempotency keys: a keyed request runs at most once.

A claim is decided in one of two ways. Through the log, the first claim of a
key in stream order runs. During a log outage, a claim runs once every member
has recorded it and none knew the key. The two cannot both admit a request for
one key, because a member answers from its own table, which contains its own
claims from their submission on.
"""

import collections
import dataclasses
import enum
import hashlib
from collections.abc import Iterable, Mapping

from clementinewood import identifiers, verdict

Incarnation = identifiers.Incarnation
RequestId = identifiers.RequestId


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimKey:
    """A team's idempotency key."""

    team: identifiers.TeamId
    digest: bytes

    @classmethod
    def create(cls, team: identifiers.TeamId, key: str) -> "ClaimKey":
        """Returns the claim key of an `Idempotency-Key` header."""
        return cls(team, hashlib.sha256(key.encode()).digest())


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """One request's claim of a key.

    Attributes:
        key: The claimed key.
        request_id: The request.
        claimant: The entry that would run it.
        request: Digest of the request, to detect reuse of the key for another.
        outage: Whether all members recorded it during a log outage; it may
            have run whatever its position in the stream.
    """

    key: ClaimKey
    request_id: RequestId
    claimant: Incarnation
    request: bytes
    outage: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """States whether a claimed request ran; NOT_RUN frees the key."""

    key: ClaimKey
    request_id: RequestId
    execution: verdict.Execution


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """One record of the claims stream."""

    claims: tuple[Claim, ...] = ()
    outcomes: tuple[Outcome, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimAsk:
    """Asks a member to record a claim during a log outage.

    Attributes:
        claim: The claim.
        changed: Control offset of the last membership change that the claimant
            has folded.
    """

    claim: Claim
    changed: int


class RecordResult(enum.Enum):
    """Result of asking a member to record a claim."""

    RECORDED = "recorded"
    KNOWN = "known"
    REFUSED = "refused"


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimAnswer:
    """Answers a `ClaimAsk`.

    Attributes:
        key: The claimed key.
        request_id: The request that claims it.
        record: Whether the member recorded the claim.
        covered: Control offset; the member has read all logged claims of
            members that departed up to it.
    """

    key: ClaimKey
    request_id: RequestId
    record: RecordResult
    covered: int


class DecisionKind(enum.Enum):
    """How the claimant must handle a request."""

    WAIT = "wait"
    RUN = "run"
    ANSWER = "answer"
    RUNNING = "running"
    RAN = "ran"
    REUSED = "reused"
    UNAVAILABLE = "unavailable"


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """The decision on one request, with the first answer if it is stored.

    After RUN, the request must reach a minion within the start window. ANSWER
    and REUSED are final. RUNNING means that the first request with this key may
    have run, RAN that it did. UNAVAILABLE means that this request has not run
    and will not run.
    """

    request_id: RequestId
    kind: DecisionKind
    answer: object | None = None


class _ClaimState(enum.Enum):
    """State of a claim that was not yet read from the log.

    WAITING, RUNNING and ABANDONED claims are this entry's own; RUNNING ones
    were admitted without the log. RECORDED ones belong to a peer.
    """

    WAITING = 1
    RUNNING = 2
    ABANDONED = 3
    RECORDED = 4


@dataclasses.dataclass(slots=True)
class _UnconfirmedClaim:
    """A claim that this entry knows, but has not read from the log.

    Attributes:
        claim: The claim.
        at: Monotonic time at which it was submitted or received.
        state: Its state.
        appended: Whether it was passed to the log, which may still store it.
        asked: Whether members were asked to record it.
        answers: Members that recorded it.
        covered: Highest `covered` among the answers.
    """

    claim: Claim
    at: float
    state: _ClaimState
    appended: bool = False
    asked: bool = False
    answers: set[Incarnation] = dataclasses.field(default_factory=set)
    covered: int = -1


@dataclasses.dataclass(slots=True)
class _Logged:
    """The claims of a key that may have run according to the stream.

    Attributes:
        holders: The first claim in the stream, and all outage claims.
        time: Log time of the last one.
        at: Monotonic time at which it was read.
        ran: Whether one of them is known to have run.
    """

    holders: list[Claim]
    time: float
    at: float
    ran: bool = False


class ClaimTable:
    """Claims known to one entry.

    Claims read from the stream are stored apart from all others, so that all
    entries that have read the same records agree on which claim holds a key,
    independently of the messages they received.

    Args:
        me: Incarnation of this entry.
        window: Seconds for which a claim is kept.
        drift: Maximum difference in rate between two clocks, as a fraction.
        capacity: Number of claims above which new ones are rejected. Logged
            claims are kept even above it, since forgetting one could run a
            request twice.
        answer_bytes: Limit on the total size of the stored first answers.
        append_period: Seconds between two records of this entry.
        outage_after_seconds: Seconds after which an undecided claim is sent to
            the members if the log cannot be reached.
        claim_timeout: Seconds after which an undecided claim is abandoned; its
            request does not run.
    """

    def __init__(
        self,
        me: Incarnation,
        *,
        window: float = 3600.0,
        drift: float = 0.001,
        capacity: int = 100_000,
        answer_bytes: int = 8_000_000,
        append_period: float = 0.05,
        outage_after_seconds: float = 0.5,
        claim_timeout: float = 5.0,
    ) -> None:
        self.me = me
        self.window = window
        self.lapse = window * (1 + 2 * drift)
        self.capacity = capacity
        self.answer_bytes = answer_bytes
        self.append_period = append_period
        self.outage_after_seconds = outage_after_seconds
        self.claim_timeout = claim_timeout
        self.changed = -1
        self.departed = -1
        self.covered = -1
        self._barriers: list[tuple[int, float]] = []
        self._logged: collections.OrderedDict[ClaimKey, _Logged] = (
            collections.OrderedDict()
        )
        self._unconfirmed: collections.OrderedDict[
            ClaimKey, _UnconfirmedClaim
        ] = collections.OrderedDict()
        self._not_run: collections.OrderedDict[RequestId, float] = (
            collections.OrderedDict()
        )
        self._released: collections.OrderedDict[RequestId, float] = (
            collections.OrderedDict()
        )
        self._answers: collections.OrderedDict[ClaimKey, tuple[object, int]] = (
            collections.OrderedDict()
        )
        self._answers_size = 0
        self._claims: dict[RequestId, Claim] = {}
        self._outcomes: list[Outcome] = []
        self._releases: list[Outcome] = []
        self._appended_at = float("-inf")
        self._log_time = float("-inf")

    def __len__(self) -> int:
        return len(self._logged) + len(self._unconfirmed)

    def submit(self, claim: Claim, now: float, *, complete: bool) -> Decision:
        """Starts the claim of a keyed request.

        Args:
            claim: The claim, with this entry as claimant.
            now: Monotonic time.
            complete: Whether this entry knows every claim that may have run
                (`Membership.is_complete`).

        Returns:
            WAIT if the claim was queued, or the decision on a request whose key
            is known or that cannot be claimed now.
        """
        self._expire(now)
        if claim.key in self._unconfirmed or claim.key in self._logged:
            return self._decide_duplicate(claim)
        if not complete or len(self) >= self.capacity:
            return Decision(claim.request_id, DecisionKind.UNAVAILABLE)
        self._unconfirmed[claim.key] = _UnconfirmedClaim(
            claim, now, _ClaimState.WAITING
        )
        self._claims[claim.request_id] = claim
        return Decision(claim.request_id, DecisionKind.WAIT)

    def take_batch(self, now: float) -> Batch | None:
        """Returns the record to append now, if any, at a bounded rate.

        Call it only while the log can be reached, and retry the append until
        the log has stored the record.
        """
        if now - self._appended_at < self.append_period:
            return None
        self._flush_recorded(now)
        if not self._claims and not self._outcomes:
            return None
        self._appended_at = now
        batch = Batch(tuple(self._claims.values()), tuple(self._outcomes))
        for claim in batch.claims:
            unconfirmed = self._unconfirmed.get(claim.key)
            if unconfirmed is not None and _is_same(unconfirmed.claim, claim):
                unconfirmed.appended = True
        self._claims.clear()
        self._outcomes.clear()
        return batch

    def on_batch(self, batch: Batch, time: float, now: float) -> list[Decision]:
        """Applies a record of the stream; call it in stream order.

        Args:
            batch: The record.
            time: Time at which the log stored it.
            now: Monotonic time.

        Returns:
            Decisions on requests of this entry.
        """
        self._log_time = max(self._log_time, time)
        self._expire(now)
        decisions = []
        for claim in batch.claims:
            if claim.request_id not in self._not_run:
                self._apply_claim(claim, now)
                decisions.extend(self._decide(claim, now))
        for outcome in batch.outcomes:
            self._apply_outcome(outcome, now)
        return decisions

    def on_head_read(self, sent: float) -> None:
        """Updates `covered` after a read to the head, sent at `sent`."""
        while self._barriers and sent >= self._barriers[0][1]:
            self.covered = self._barriers.pop(0)[0]

    def on_roster(self, changed: int, departed: int, quiet_at: float) -> None:
        """Applies a membership change that was folded.

        Args:
            changed: Control offset of the last change.
            departed: Control offset of the last departure.
            quiet_at: Monotonic time after which a departed member can no longer
                append a claim that it runs.
        """
        self.changed = changed
        if departed > self.departed:
            self.departed = departed
            self._barriers.append((departed, quiet_at))

    def advance(
        self,
        now: float,
        *,
        outage: bool,
        complete: bool,
        members: Iterable[Incarnation],
    ) -> tuple[list[tuple[Incarnation, ClaimAsk]], list[Decision]]:
        """Advances undecided claims; call it a few times a second.

        Args:
            now: Monotonic time.
            outage: Whether this entry cannot reach the log.
            complete: Whether this entry knows every claim that may have run.
            members: All members as last folded.

        Returns:
            Requests to record claims, with their addressees, and decisions.
        """
        peers = set(members) - {self.me}
        asks: list[tuple[Incarnation, ClaimAsk]] = []
        decisions: list[Decision] = []
        for unconfirmed in list(self._unconfirmed.values()):
            if unconfirmed.state is not _ClaimState.WAITING:
                continue
            request_id = unconfirmed.claim.request_id
            if now - unconfirmed.at > self.claim_timeout:
                self._abandon(unconfirmed)
                decisions.append(Decision(request_id, DecisionKind.UNAVAILABLE))
            elif outage and now - unconfirmed.at >= self.outage_after_seconds:
                if complete and self._is_recorded(unconfirmed, peers):
                    self._run_in_outage(unconfirmed)
                    decisions.append(Decision(request_id, DecisionKind.RUN))
                    continue
                unconfirmed.asked = True
                ask = ClaimAsk(unconfirmed.claim, self.changed)
                asks.extend(
                    (p, ask) for p in sorted(peers - unconfirmed.answers)
                )
        return asks, decisions

    def on_ask(
        self, ask: ClaimAsk, now: float, members: Iterable[Incarnation]
    ) -> ClaimAnswer:
        """Records a claim of a peer during an outage.

        Refuses a claimant that has not folded the latest membership change: it
        would not ask a member that joined, or may itself be removed.
        """
        self._expire(now)
        claim = ask.claim
        record = RecordResult.RECORDED
        known = [
            held for held in self._known(claim.key) if not _is_same(held, claim)
        ]
        if (
            ask.changed < self.changed
            or claim.claimant not in members
            or claim.request_id in self._not_run
            or claim.request_id in self._released
        ):
            record = RecordResult.REFUSED
        elif known:
            record = RecordResult.KNOWN
        elif claim.key not in self._unconfirmed:
            if len(self) >= self.capacity:
                record = RecordResult.REFUSED
            else:
                self._unconfirmed[claim.key] = _UnconfirmedClaim(
                    claim, now, _ClaimState.RECORDED
                )
        return ClaimAnswer(claim.key, claim.request_id, record, self.covered)

    def on_answer(
        self, member: Incarnation, answer: ClaimAnswer
    ) -> list[Decision]:
        """Applies a peer's answer; `advance` decides once all recorded."""
        unconfirmed = self._unconfirmed.get(answer.key)
        if (
            unconfirmed is None
            or unconfirmed.state is not _ClaimState.WAITING
            or unconfirmed.claim.request_id != answer.request_id
            or answer.record is RecordResult.REFUSED
        ):
            return []
        if answer.record is RecordResult.RECORDED:
            unconfirmed.answers.add(member)
            unconfirmed.covered = max(unconfirmed.covered, answer.covered)
            return []
        self._abandon(unconfirmed)
        return [Decision(answer.request_id, DecisionKind.RUNNING)]

    def take_releases(self) -> list[Outcome]:
        """Returns outcomes to send to all members, which free keys early."""
        releases, self._releases = self._releases, []
        return releases

    def on_releases(self, outcomes: Iterable[Outcome], now: float) -> None:
        """Deletes recorded claims that their claimant has abandoned.

        Claims read from the stream stay, since their state must not depend on
        which messages arrived.
        """
        for outcome in outcomes:
            self._released[outcome.request_id] = now
            unconfirmed = self._unconfirmed.get(outcome.key)
            if unconfirmed is not None and (
                unconfirmed.state is _ClaimState.RECORDED
                and unconfirmed.claim.request_id == outcome.request_id
            ):
                del self._unconfirmed[outcome.key]

    def list_unlogged(self) -> list[Claim]:
        """Returns the outage claims not yet read from the log."""
        return [
            unconfirmed.claim
            for unconfirmed in self._unconfirmed.values()
            if unconfirmed.state is _ClaimState.RECORDED
            or (
                unconfirmed.asked
                and unconfirmed.state is not _ClaimState.ABANDONED
            )
        ]

    def record_unlogged(self, claims: Iterable[Claim], now: float) -> None:
        """Records the outage claims of an older member."""
        for claim in claims:
            given_up = claim.request_id in self._not_run or (
                claim.request_id in self._released
            )
            if not given_up and not self._known(claim.key):
                self._unconfirmed[claim.key] = _UnconfirmedClaim(
                    claim, now, _ClaimState.RECORDED
                )

    def finish(
        self,
        key: ClaimKey,
        request_id: RequestId,
        execution: verdict.Execution,
        now: float,
        *,
        answer: object | None = None,
        size: int = 0,
    ) -> None:
        """Stores the outcome of a request for which the decision was RUN.

        Args:
            key: The claimed key.
            request_id: The request.
            execution: Whether it ran; NOT_RUN frees the key.
            now: Monotonic time.
            answer: The answer to return to duplicates.
            size: Size of the answer in bytes.
        """
        mine = [c for c in self._known(key) if c.request_id == request_id]
        if not mine:
            return
        if execution is verdict.Execution.NOT_RUN:
            unconfirmed = self._unconfirmed.get(key)
            if unconfirmed is None or not _is_same(unconfirmed.claim, mine[0]):
                unconfirmed = _UnconfirmedClaim(
                    mine[0], now, _ClaimState.RUNNING, appended=True
                )
                self._unconfirmed[key] = unconfirmed
            self._abandon(unconfirmed)
            return
        if execution is verdict.Execution.RAN:
            self._outcomes.append(Outcome(key, request_id, execution))
        if answer is not None:
            self._cache_answer(key, answer, size)

    def _known(self, key: ClaimKey) -> list[Claim]:
        """Returns all claims of a key that may run or may have run."""
        logged, unconfirmed = self._logged.get(key), self._unconfirmed.get(key)
        known = list(logged.holders) if logged is not None else []
        return known if unconfirmed is None else [*known, unconfirmed.claim]

    def _is_recorded(
        self, unconfirmed: _UnconfirmedClaim, peers: set[Incarnation]
    ) -> bool:
        """Returns whether the answers cover all claims of the key.

        Logged claims of departed members are covered only if some member has
        read the stream after the departure.
        """
        covered = max(unconfirmed.covered, self.covered)
        return peers <= unconfirmed.answers and covered >= self.departed

    def _run_in_outage(self, unconfirmed: _UnconfirmedClaim) -> None:
        unconfirmed.state = _ClaimState.RUNNING
        unconfirmed.claim = dataclasses.replace(unconfirmed.claim, outage=True)
        self._claims[unconfirmed.claim.request_id] = unconfirmed.claim

    def _flush_recorded(self, now: float) -> None:
        """Queues recorded claims that their claimant did not append.

        The claimant appends its outage claim first. The others append it after
        twice `claim_timeout`, since the claimant may have crashed.
        """
        for unconfirmed in self._unconfirmed.values():
            late = now - unconfirmed.at > 2 * self.claim_timeout
            if (
                unconfirmed.state is _ClaimState.RECORDED
                and late
                and not unconfirmed.appended
            ):
                unconfirmed.appended = True
                claim = dataclasses.replace(unconfirmed.claim, outage=True)
                self._claims[claim.request_id] = claim

    def _apply_claim(self, claim: Claim, now: float) -> None:
        """Applies a claim of the stream, ignoring unconfirmed claims."""
        logged = self._logged.get(claim.key)
        if logged is None:
            self._logged[claim.key] = _Logged([claim], self._log_time, now)
        elif claim.outage and not any(
            _is_same(held, claim) for held in logged.holders
        ):
            logged.holders.append(claim)
            logged.time, logged.at = self._log_time, now
            self._logged.move_to_end(claim.key)

    def _decide(self, claim: Claim, now: float) -> list[Decision]:
        """Compares a claim that was just read with the unconfirmed one."""
        unconfirmed = self._unconfirmed.get(claim.key)
        if unconfirmed is None:
            return []
        holders = self._logged[claim.key].holders
        request_id = unconfirmed.claim.request_id
        holds = any(_is_same(held, unconfirmed.claim) for held in holders)
        match unconfirmed.state:
            case _ClaimState.WAITING if not _is_same(
                holders[0], unconfirmed.claim
            ):
                lost = unconfirmed.claim
                self._abandon(unconfirmed)
                self._unconfirmed.pop(claim.key, None)
                return [self._decide_duplicate(lost)]
            case _ClaimState.WAITING if (
                now - unconfirmed.at > self.claim_timeout
            ):
                self._abandon(unconfirmed)
                return [Decision(request_id, DecisionKind.UNAVAILABLE)]
            case _ClaimState.WAITING:
                del self._unconfirmed[claim.key]
                return [Decision(request_id, DecisionKind.RUN)]
            case _ClaimState.RUNNING | _ClaimState.RECORDED if holds:
                del self._unconfirmed[claim.key]
        return []

    def _apply_outcome(self, outcome: Outcome, now: float) -> None:
        """Applies an outcome of the stream."""
        key, request_id = outcome.key, outcome.request_id
        logged = self._logged.get(key)
        holds = logged is not None and any(
            held.request_id == request_id for held in logged.holders
        )
        if outcome.execution is verdict.Execution.RAN:
            if holds and logged is not None:
                logged.ran = True
            return
        self._not_run[request_id] = now
        unconfirmed = self._unconfirmed.get(key)
        if (
            unconfirmed is not None
            and unconfirmed.claim.request_id == request_id
        ):
            del self._unconfirmed[key]
        if holds and logged is not None:
            logged.holders = [
                held for held in logged.holders if held.request_id != request_id
            ]
            if not logged.holders:
                self._forget(key)

    def _abandon(self, unconfirmed: _UnconfirmedClaim) -> None:
        """Abandons a claim of this entry permanently.

        Its key stays claimed while the log may still store the claim, since
        readers would see it before a later claim of the same key. Reading the
        outcome from the stream frees the key.
        """
        claim = unconfirmed.claim
        self._claims.pop(claim.request_id, None)
        outcome = Outcome(
            claim.key, claim.request_id, verdict.Execution.NOT_RUN
        )
        if unconfirmed.asked:
            self._releases.append(outcome)
        if unconfirmed.asked or unconfirmed.appended:
            self._outcomes.append(outcome)
        if unconfirmed.appended:
            unconfirmed.state = _ClaimState.ABANDONED
        else:
            self._unconfirmed.pop(claim.key, None)

    def _decide_duplicate(self, claim: Claim) -> Decision:
        unconfirmed, logged = (
            self._unconfirmed.get(claim.key),
            self._logged.get(claim.key),
        )
        first = self._known(claim.key)[0]
        kind = DecisionKind.RUNNING
        if first.request != claim.request:
            kind = DecisionKind.REUSED
        elif claim.key in self._answers:
            self._answers.move_to_end(claim.key)
            answer = self._answers[claim.key][0]
            return Decision(claim.request_id, DecisionKind.ANSWER, answer)
        elif logged is not None and logged.ran:
            kind = DecisionKind.RAN
        elif (
            unconfirmed is not None
            and unconfirmed.state is _ClaimState.ABANDONED
        ):
            kind = DecisionKind.UNAVAILABLE
        return Decision(claim.request_id, kind)

    def _cache_answer(self, key: ClaimKey, answer: object, size: int) -> None:
        if size > self.answer_bytes or key in self._answers:
            return
        self._answers[key] = (answer, size)
        self._answers_size += size
        while self._answers_size > self.answer_bytes:
            self._answers_size -= self._answers.popitem(last=False)[1][1]

    def _forget(self, key: ClaimKey) -> None:
        self._logged.pop(key, None)
        if key in self._answers:
            self._answers_size -= self._answers.pop(key)[1]

    def _expire(self, now: float) -> None:
        """Expires claims older than the window.

        Log time decides, so that all entries that read the stream agree; local
        time decides only if the stream has no new records.
        """
        while self._logged:
            key, logged = next(iter(self._logged.items()))
            if (
                self._log_time - logged.time <= self.window
                and now - logged.at <= self.lapse
            ):
                break
            self._forget(key)
        while self._unconfirmed:
            key, unconfirmed = next(iter(self._unconfirmed.items()))
            if now - unconfirmed.at <= self.lapse:
                break
            del self._unconfirmed[key]
        for table in (self._not_run, self._released):
            while table:
                request_id, at = next(iter(table.items()))
                if now - at <= 2 * self.lapse:
                    break
                del table[request_id]


def _is_same(one: Claim, other: Claim) -> bool:
    return one.request_id == other.request_id


def create_claims(
    claimant: Incarnation, keys: Mapping[RequestId, ClaimKey]
) -> list[Claim]:
    """Returns one claim per request, for examples and measurements."""
    return [
        Claim(key, request_id, claimant, b"")
        for request_id, key in keys.items()
    ]


if __name__ == "__main__":
    table = ClaimTable(Incarnation("one/1"))
    (mine,) = create_claims(
        Incarnation("one/1"),
        {
            RequestId("r1"): ClaimKey.create(
                identifiers.TeamId("stores"), "order-1"
            )
        },
    )
    print(table.submit(mine, 0.0, complete=True).kind)
    batch = table.take_batch(0.1)
    assert batch is not None
    print(table.on_batch(batch, 0.1, 0.1)[0].kind)
