"""Claims of idempotency keys: a keyed request runs at most once.

A claim is decided in one of two ways. Through the log, the first claim of a
key in the order of the stream runs. While the log is out, a claim runs once
every member has recorded it and none knew the key. Both ways exclude each
other because a member answers from its own table, which holds its own claims
from the moment they are submitted.
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
        request: Digest of the request, to detect reuse of the key.
        outage: All members recorded it; it may have run wherever it is in the
            stream.
    """

    key: ClaimKey
    request_id: RequestId
    claimant: Incarnation
    request: bytes
    outage: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What became of a claim; NOT_RUN frees the key."""

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
    """Asks a member to record a claim while the log is out.

    Attributes:
        claim: The claim.
        changed: Offset of the last change of members that the claimant has
            folded.
    """

    claim: Claim
    changed: int


class Record(enum.Enum):
    """What a member did with a claim it was asked to record."""

    RECORDED = "recorded"
    KNOWN = "known"
    REFUSED = "refused"


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimAnswer:
    """Answers a `ClaimAsk`.

    Attributes:
        key: The claimed key.
        request_id: The request that claims it.
        record: What the member did.
        covered: All claims in the log of members that departed up to this
            control offset are in the member's table.
    """

    key: ClaimKey
    request_id: RequestId
    record: Record
    covered: int


class Ruling(enum.Enum):
    """What a claimant does with a request."""

    WAIT = "wait"
    RUN = "run"
    ANSWER = "answer"
    RUNNING = "running"
    RAN = "ran"
    REUSED = "reused"
    UNAVAILABLE = "unavailable"


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """The ruling on one request, with the first answer if it is known.

    RUN must reach a minion within the start window. ANSWER and REUSED are
    final. RUNNING means that the first request with this key may have run, RAN
    that it did. UNAVAILABLE means that this request has not run and never will.
    """

    request_id: RequestId
    ruling: Ruling
    answer: object | None = None


class _State(enum.Enum):
    WAITING = 1
    RUNNING = 2
    DONE = 3
    ABANDONED = 4


@dataclasses.dataclass(slots=True)
class _Entry:
    """A claim in the table.

    Attributes:
        claim: The claim.
        at: When it got here.
        state: Its state as known here.
        time: Time of its record in the log, once read.
        appended: It was handed to the log, which may still take it.
        asked: Members were asked to record it, or it was recorded when asked.
        answers: Members that recorded it.
        covered: Highest `covered` among the answers.
    """

    claim: Claim
    at: float
    state: _State
    time: float | None = None
    appended: bool = False
    asked: bool = False
    answers: set[Incarnation] = dataclasses.field(default_factory=set)
    covered: int = -1


class ClaimTable:
    """Claims known to one entry.

    Args:
        me: Incarnation of this entry.
        window: Seconds for which a claim is kept.
        drift: Highest difference in rate between two clocks, as a fraction.
        capacity: Number of claims above which new ones are refused. Claims of
            others are kept even above it, since forgetting one could run a
            request twice.
        answer_bytes: Bound on the size of the first answers kept.
        append_period: Seconds between two records of this entry.
        log_patience: Seconds after which a claim takes the way for outages.
        claim_timeout: Seconds after which a claim that is not decided is given
            up, and never runs.
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
        log_patience: float = 0.5,
        claim_timeout: float = 5.0,
    ) -> None:
        self.me = me
        self.window = window
        self.lapse = window * (1 + 2 * drift)
        self.capacity = capacity
        self.answer_bytes = answer_bytes
        self.append_period = append_period
        self.log_patience = log_patience
        self.claim_timeout = claim_timeout
        self.changed = -1
        self.departed = -1
        self.covered = -1
        self._barriers: list[tuple[int, float]] = []
        self._entries: collections.OrderedDict[ClaimKey, _Entry] = (
            collections.OrderedDict()
        )
        self._open: dict[ClaimKey, _Entry] = {}
        self._unflushed: dict[ClaimKey, _Entry] = {}
        self._void: collections.OrderedDict[RequestId, float] = (
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
        return len(self._entries)

    def submit(self, claim: Claim, now: float, *, complete: bool) -> Decision:
        """Starts the claim of a keyed request.

        Args:
            claim: The claim, with this entry as claimant.
            now: Monotonic time.
            complete: Whether this entry knows every claim that may have run
                (`Membership.is_complete`).

        Returns:
            WAIT if the claim was queued, or the ruling on a request whose key
            is known or that cannot be claimed now.
        """
        self._expire(now)
        entry = self._entries.get(claim.key)
        if entry is not None:
            return self._refuse(claim, entry)
        if not complete or len(self._entries) >= self.capacity:
            return Decision(claim.request_id, Ruling.UNAVAILABLE)
        entry = _Entry(claim, now, _State.WAITING)
        self._entries[claim.key] = entry
        self._open[claim.key] = entry
        self._claims[claim.request_id] = claim
        return Decision(claim.request_id, Ruling.WAIT)

    def take_batch(self, now: float) -> Batch | None:
        """Returns the record to append now, if any, at a bounded rate.

        Call it only while the log can be reached, and append what it returns
        until the log has it.
        """
        if now - self._appended_at < self.append_period:
            return None
        for entry in self._unflushed.values():
            # The claimant appends an outage claim first; the others do when
            # it has had the time to decide and is perhaps gone.
            late = now - entry.at > 2 * self.claim_timeout
            if late and not entry.appended:
                entry.appended = True
                claim = dataclasses.replace(entry.claim, outage=True)
                self._claims[claim.request_id] = claim
        if not self._claims and not self._outcomes:
            return None
        self._appended_at = now
        batch = Batch(tuple(self._claims.values()), tuple(self._outcomes))
        for claim in batch.claims:
            held = self._entries.get(claim.key)
            if held is not None and held.claim.request_id == claim.request_id:
                held.appended = True
        self._claims.clear()
        self._outcomes.clear()
        return batch

    def on_batch(self, batch: Batch, time: float, now: float) -> list[Decision]:
        """Applies a record of the stream; call it in stream order.

        Args:
            batch: The record.
            time: Time that the log gave it.
            now: Monotonic time.

        Returns:
            Rulings on requests of this entry.
        """
        self._log_time = max(self._log_time, time)
        self._expire(now)
        decisions = []
        for claim in batch.claims:
            decision = self._on_claim(claim, now)
            if decision is not None:
                decisions.append(decision)
        self._apply_outcomes(batch.outcomes, now)
        return decisions

    def on_head_read(self, sent: float) -> None:
        """Notes that a read sent at `sent` reached the head of the stream."""
        while self._barriers and sent >= self._barriers[0][1]:
            self.covered = self._barriers.pop(0)[0]

    def on_roster(self, changed: int, departed: int, quiet_at: float) -> None:
        """Notes a change of members that was folded.

        Args:
            changed: Offset of the last change.
            departed: Offset of the last departure.
            quiet_at: Monotonic time from which on the departed member, if it
                was one, appends no claim that it runs.
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
        """Moves undecided claims on; call it a few times a second.

        Args:
            now: Monotonic time.
            outage: Whether this entry cannot reach the log.
            complete: Whether this entry knows every claim that may have run.
            members: All members as last folded.

        Returns:
            Questions to send, and rulings.
        """
        peers = set(members) - {self.me}
        asks: list[tuple[Incarnation, ClaimAsk]] = []
        decisions: list[Decision] = []
        for entry in list(self._open.values()):
            if entry.state is not _State.WAITING:
                continue
            request_id = entry.claim.request_id
            if now - entry.at > self.claim_timeout:
                self._abandon(entry, now)
                decisions.append(Decision(request_id, Ruling.UNAVAILABLE))
            elif outage and now - entry.at >= self.log_patience:
                covered = max(entry.covered, self.covered)
                if (
                    complete
                    and peers <= entry.answers
                    and covered >= self.departed
                ):
                    self._run_in_outage(entry)
                    decisions.append(Decision(request_id, Ruling.RUN))
                    continue
                entry.asked = True
                self._unflushed[entry.claim.key] = entry
                ask = ClaimAsk(entry.claim, self.changed)
                asks.extend((p, ask) for p in sorted(peers - entry.answers))
        return asks, decisions

    def on_ask(
        self, ask: ClaimAsk, now: float, members: Iterable[Incarnation]
    ) -> ClaimAnswer:
        """Records a claim of a peer during an outage.

        A claimant that has not folded the latest change of members is refused:
        it would leave out a member that joined, or be removed itself.
        """
        self._expire(now)
        claim = ask.claim
        entry = self._entries.get(claim.key)
        record = Record.RECORDED
        if (
            ask.changed < self.changed
            or claim.claimant not in members
            or claim.request_id in self._void
        ):
            record = Record.REFUSED
        elif entry is not None:
            if entry.claim.request_id != claim.request_id:
                record = Record.KNOWN
        elif len(self._entries) >= self.capacity:
            record = Record.REFUSED
        else:
            self._record(claim, now)
        return ClaimAnswer(claim.key, claim.request_id, record, self.covered)

    def on_answer(
        self, member: Incarnation, answer: ClaimAnswer, now: float
    ) -> list[Decision]:
        """Notes a peer's answer; `advance` rules once all have recorded."""
        entry = self._open.get(answer.key)
        if (
            entry is None
            or entry.state is not _State.WAITING
            or entry.claim.request_id != answer.request_id
        ):
            return []
        if answer.record is Record.RECORDED:
            entry.answers.add(member)
            entry.covered = max(entry.covered, answer.covered)
            return []
        if answer.record is Record.REFUSED:
            return []
        self._abandon(entry, now)
        return [Decision(answer.request_id, Ruling.RUNNING)]

    def take_releases(self) -> list[Outcome]:
        """Returns outcomes to send to all members, which free keys early."""
        releases, self._releases = self._releases, []
        return releases

    def on_releases(self, outcomes: Iterable[Outcome], now: float) -> None:
        """Applies a peer's outcomes that may not be in the log yet."""
        self._apply_outcomes(outcomes, now, released=True)

    def unflushed(self) -> list[Claim]:
        """Returns the outage claims that were not read from the log yet."""
        return [entry.claim for entry in self._unflushed.values()]

    def on_unflushed(self, claims: Iterable[Claim], now: float) -> None:
        """Records the outage claims of an older member."""
        for claim in claims:
            if claim.key not in self._entries:
                self._record(claim, now)

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
        """Notes the end of a request for which the ruling was RUN.

        Args:
            key: The claimed key.
            request_id: The request.
            execution: Whether it ran; NOT_RUN frees the key.
            now: Monotonic time.
            answer: The answer for duplicates.
            size: Size of the answer in bytes.
        """
        entry = self._entries.get(key)
        if entry is None or entry.claim.request_id != request_id:
            return
        if execution is verdict.Execution.NOT_RUN:
            self._abandon(entry, now)
            return
        if execution is verdict.Execution.RAN:
            entry.state = _State.DONE
            self._outcomes.append(Outcome(key, request_id, execution))
        if answer is not None:
            self._keep(key, answer, size)

    def _record(self, claim: Claim, now: float) -> None:
        entry = _Entry(claim, now, _State.RUNNING, asked=True)
        self._entries[claim.key] = entry
        self._unflushed[claim.key] = entry

    def _run_in_outage(self, entry: _Entry) -> None:
        entry.state = _State.RUNNING
        self._open.pop(entry.claim.key)
        claim = dataclasses.replace(entry.claim, outage=True)
        entry.claim = claim
        self._claims[claim.request_id] = claim

    def _on_claim(self, claim: Claim, now: float) -> Decision | None:
        """Applies one claim of the stream."""
        if claim.request_id in self._void:
            return None
        entry = self._entries.get(claim.key)
        if entry is None:
            self._entries[claim.key] = _Entry(
                claim, now, _State.RUNNING, self._log_time
            )
            return None
        if entry.claim.request_id == claim.request_id:
            entry.time = self._log_time
            self._unflushed.pop(claim.key, None)
            if entry.state is not _State.WAITING:
                return None
            if now - entry.at > self.claim_timeout:
                self._abandon(entry, now)
                return Decision(claim.request_id, Ruling.UNAVAILABLE)
            entry.state = _State.RUNNING
            self._open.pop(claim.key)
            return Decision(claim.request_id, Ruling.RUN)
        if entry.state is _State.WAITING and entry.claim.claimant == self.me:
            # Another claim of the key came first.
            lost = entry.claim
            self._abandon(entry, now)
            self._replace(claim, now)
            return self._refuse(lost, self._entries[claim.key])
        given_up = entry.state is _State.ABANDONED and entry.time is None
        if given_up or claim.outage:
            self._replace(claim, now)
        return None

    def _replace(self, claim: Claim, now: float) -> None:
        self._drop(claim.key)
        self._entries[claim.key] = _Entry(
            claim, now, _State.RUNNING, self._log_time
        )

    def _apply_outcomes(
        self,
        outcomes: Iterable[Outcome],
        now: float,
        *,
        released: bool = False,
    ) -> None:
        for outcome in outcomes:
            entry = self._entries.get(outcome.key)
            same = (
                entry is not None
                and entry.claim.request_id == outcome.request_id
            )
            if outcome.execution is verdict.Execution.NOT_RUN:
                self._void[outcome.request_id] = now
                if same:
                    self._drop(outcome.key)
            elif same and entry is not None and not released:
                entry.state = _State.DONE

    def _abandon(self, entry: _Entry, now: float) -> None:
        """Gives up a claim of this entry for good.

        Its key stays taken while the log may still take the claim: a reader
        would see it before a later claim of the same key. Reading the outcome
        from the stream frees the key.
        """
        claim = entry.claim
        self._open.pop(claim.key, None)
        self._claims.pop(claim.request_id, None)
        entry.state = _State.ABANDONED
        outcome = Outcome(
            claim.key, claim.request_id, verdict.Execution.NOT_RUN
        )
        if entry.asked:
            self._releases.append(outcome)
        if entry.asked or entry.appended:
            self._outcomes.append(outcome)
        if not entry.appended:
            self._void[claim.request_id] = now
            self._drop(claim.key)

    def _drop(self, key: ClaimKey) -> None:
        self._entries.pop(key, None)
        self._open.pop(key, None)
        self._unflushed.pop(key, None)
        if key in self._answers:
            self._answers_size -= self._answers.pop(key)[1]

    def _refuse(self, claim: Claim, entry: _Entry) -> Decision:
        if entry.claim.request != claim.request:
            return Decision(claim.request_id, Ruling.REUSED)
        if claim.key in self._answers:
            self._answers.move_to_end(claim.key)
            answer = self._answers[claim.key][0]
            return Decision(claim.request_id, Ruling.ANSWER, answer)
        ruling = {
            _State.DONE: Ruling.RAN,
            _State.ABANDONED: Ruling.UNAVAILABLE,
        }.get(entry.state, Ruling.RUNNING)
        return Decision(claim.request_id, ruling)

    def _keep(self, key: ClaimKey, answer: object, size: int) -> None:
        if size > self.answer_bytes or key in self._answers:
            return
        self._answers[key] = (answer, size)
        self._answers_size += size
        while self._answers_size > self.answer_bytes:
            self._answers_size -= self._answers.popitem(last=False)[1][1]

    def _expire(self, now: float) -> None:
        """Forgets claims older than the window.

        The times of the log decide where they are known, so that all entries
        that read the stream agree.
        """
        while self._entries:
            key, entry = next(iter(self._entries.items()))
            logged = entry.time is not None and (
                self._log_time - entry.time > self.window
            )
            if not logged and now - entry.at <= self.lapse:
                break
            self._drop(key)
        while self._void:
            request_id, at = next(iter(self._void.items()))
            if now - at <= self.lapse:
                break
            del self._void[request_id]


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
    print(table.submit(mine, 0.0, complete=True).ruling)
    batch = table.take_batch(0.1)
    assert batch is not None
    print(table.on_batch(batch, 0.1, 0.1)[0].ruling)
