"""Claims of idempotency keys: a keyed request runs at most once."""

import collections
import dataclasses
import enum
import hashlib
from collections.abc import Iterable

from clementinewood import identifiers

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
        request: Digest of the request, to detect reuse of the key.
    """

    key: ClaimKey
    request_id: RequestId
    claimant: Incarnation
    request: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What became of a claim; `not_run` frees the key."""

    key: ClaimKey
    request_id: RequestId
    not_run: bool


class Verdict(enum.Enum):
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
    """The verdict on one request, with the first answer if it is known."""

    request_id: RequestId
    verdict: Verdict
    answer: object | None = None


class _State(enum.Enum):
    WAITING = 1
    RUNNING = 2
    DONE = 3


@dataclasses.dataclass(slots=True)
class _Held:
    claim: Claim
    at: float
    state: _State
    flushed: bool
    answers: set[Incarnation] | None = None


class ClaimTable:
    """Claims known to one entry.

    Args:
        me: Incarnation of this entry.
        window: Seconds for which a claim is kept.
        capacity: Number of claims above which new ones are refused.
        answer_bytes: Bound on the size of first answers kept.
    """

    def __init__(
        self,
        me: Incarnation,
        *,
        window: float = 3600.0,
        capacity: int = 200_000,
        answer_bytes: int = 8_000_000,
        append_period: float = 0.05,
    ) -> None:
        self.me = me
        self.window = window
        self.capacity = capacity
        self.answer_bytes = answer_bytes
        self.append_period = append_period
        self._held: collections.OrderedDict[ClaimKey, _Held] = (
            collections.OrderedDict()
        )
        self._answers: collections.OrderedDict[ClaimKey, tuple[object, int]] = (
            collections.OrderedDict()
        )
        self._answers_size = 0
        self._batch: list[Claim] = []
        self._appended = float("-inf")

    def submit(self, claim: Claim, now: float) -> Decision:
        """Starts the claim of a keyed request.

        Returns:
            WAIT if the claim was queued for the log, or the verdict on a
            request whose key is known already.
        """
        self._expire(now)
        held = self._held.get(claim.key)
        if held is not None:
            return self._refuse(claim, held)
        if len(self._held) >= self.capacity:
            return Decision(claim.request_id, Verdict.UNAVAILABLE)
        self._held[claim.key] = _Held(claim, now, _State.WAITING, False)
        self._batch.append(claim)
        return Decision(claim.request_id, Verdict.WAIT)

    def take_batch(self, now: float) -> list[Claim]:
        """Returns the claims to append in one record, at a bounded rate."""
        if not self._batch or now - self._appended < self.append_period:
            return []
        self._appended = now
        batch, self._batch = self._batch, []
        return batch

    def on_claims(
        self, claims: Iterable[Claim], time: float, now: float
    ) -> list[Decision]:
        """Applies claims read from the stream, in its order.

        Args:
            claims: The claims of one record.
            time: Time that the log gave the record.
            now: Monotonic time.

        Returns:
            Verdicts on requests of this entry.
        """
        decisions = []
        for claim in claims:
            held = self._held.get(claim.key)
            mine = claim.claimant == self.me
            if held is None:
                self._held[claim.key] = _Held(claim, now, _State.DONE, True)
            elif held.claim.request_id == claim.request_id:
                held.flushed = True
                if mine and held.state is _State.WAITING:
                    held.state = _State.RUNNING
                    decisions.append(Decision(claim.request_id, Verdict.RUN))
            elif held.state is _State.WAITING:
                # Another claim came first in the stream.
                lost = held.claim
                self._held[claim.key] = _Held(claim, now, _State.DONE, True)
                decisions.append(self._refuse(lost, self._held[claim.key]))
        return decisions

    def finish(
        self,
        claim: Claim,
        answer: object | None,
        size: int,
        now: float,
        *,
        not_run: bool = False,
    ) -> Outcome:
        """Notes the end of a request that this entry ran or gave up.

        Returns:
            The outcome to append to the stream.
        """
        held = self._held.get(claim.key)
        if held is not None and held.claim.request_id == claim.request_id:
            held.state = _State.DONE
            if answer is not None:
                self._keep(claim.key, answer, size)
        return Outcome(claim.key, claim.request_id, not_run)

    def on_outcomes(self, outcomes: Iterable[Outcome]) -> None:
        """Applies outcomes read from the stream."""
        for outcome in outcomes:
            held = self._held.get(outcome.key)
            if (
                outcome.not_run
                and held is not None
                and held.claim.request_id == outcome.request_id
            ):
                del self._held[outcome.key]

    def _refuse(self, claim: Claim, held: _Held) -> Decision:
        if held.claim.request != claim.request:
            return Decision(claim.request_id, Verdict.REUSED)
        if claim.key in self._answers:
            answer = self._answers[claim.key][0]
            return Decision(claim.request_id, Verdict.ANSWER, answer)
        if held.claim.claimant == self.me and held.state is _State.DONE:
            return Decision(claim.request_id, Verdict.RAN)
        return Decision(claim.request_id, Verdict.RUNNING)

    def _keep(self, key: ClaimKey, answer: object, size: int) -> None:
        if size > self.answer_bytes:
            return
        self._answers[key] = (answer, size)
        self._answers_size += size
        while self._answers_size > self.answer_bytes:
            self._answers_size -= self._answers.popitem(last=False)[1][1]

    def _expire(self, now: float) -> None:
        while self._held:
            key, held = next(iter(self._held.items()))
            if now - held.at <= self.window or held.state is not _State.DONE:
                return
            del self._held[key]
            if key in self._answers:
                self._answers_size -= self._answers.pop(key)[1]


if __name__ == "__main__":
    table = ClaimTable(Incarnation("one/1"))
    mine = Claim(
        ClaimKey.create(identifiers.TeamId("stores"), "order-1"),
        RequestId("r1"),
        Incarnation("one/1"),
        b"",
    )
    print(table.submit(mine, 0.0).verdict)
    print(table.on_claims(table.take_batch(0.1), 0.1, 0.1)[0].verdict)
