"""Asks the policy service which minions may run a step.

Load pattern: the service serves one call of a host at a time and takes longer
the more minions are named, while a peak brings many steps at once. The most
urgent step is asked for first, with about as many minions as it needs, and
what the service has said of a minion is kept: it does not change.
"""

import dataclasses
import math
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from clementinewood import catalog, identifiers, job, placement

MOST_MINIONS = 30
"""Minions named in one call; the objective of a job allows for this many."""

LEAST_MINIONS = 4
"""Least minions named in one call, so that a few refusals do not cost another
one."""

FIRST_SHARE = 0.5
"""Share of minions taken to be allowed before the service has answered."""

SMOOTHING = 0.3
"""Weight of the newest answer in that share."""

MARGIN_SECONDS = 0.3
"""Time before its expiry at which a ticket is not used any more: the order
must reach the minion first."""

RETRY_SECONDS = 0.2
"""Pause after a call that failed."""


class StepKey(NamedTuple):
    """One step of one occurrence of a job."""

    job: identifiers.JobId
    occurrence: int
    step: int

    def render(self) -> str:
        """Returns the name that the policy service knows the step by."""
        return f"{self.job}.{self.occurrence}.{self.step}"


@dataclasses.dataclass(frozen=True, slots=True)
class PolicyQuery:
    """Which of some minions may run a step?

    Attributes:
        key: The step.
        queue: Its queue.
        minions: The minions, with the start of their present life.
        sent: Monotonic time at which it is asked.
        policy: How the service answers.
    """

    key: StepKey
    queue: identifiers.QueueId
    minions: Mapping[identifiers.MinionId, int]
    sent: float
    policy: catalog.PolicySettings


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """Leave to run a step at a minion.

    Attributes:
        text: What the minion checks.
        expires: Monotonic time at which it lapses.
    """

    text: str
    expires: float


_Place = tuple[identifiers.MinionId, int]


class PolicyCache:
    """Knows which minions may run which step, and what to ask next."""

    def __init__(self) -> None:
        self._tickets: dict[StepKey, dict[_Place, Ticket | None]] = {}
        self._shares: dict[identifiers.QueueId, float] = {}
        self._query_in_flight: PolicyQuery | None = None
        self._next_query: PolicyQuery | None = None
        self._not_before = float("-inf")

    def list_allowed(
        self,
        key: StepKey,
        candidates: Sequence[placement.Candidate],
        now: float,
    ) -> list[placement.Candidate]:
        """Returns the candidates that have a ticket for a step."""
        return [
            candidate
            for candidate in candidates
            if self._find_ticket(key, candidate, now) is not None
        ]

    def find_ticket(
        self, key: StepKey, minion_id: identifiers.MinionId, incarnation: int
    ) -> str:
        """Returns the text of a minion's ticket, or an empty string."""
        known = self._tickets.get(key, {}).get((minion_id, incarnation))
        return known.text if known is not None else ""

    def drop_ticket(
        self, key: StepKey, minion_id: identifiers.MinionId, incarnation: int
    ) -> None:
        """Forgets a ticket that a minion did not take."""
        self._tickets.get(key, {}).pop((minion_id, incarnation), None)

    def forget_job(self, job_id: identifiers.JobId) -> None:
        """Forgets what was said about a job that is gone."""
        for key in [key for key in self._tickets if key.job == job_id]:
            del self._tickets[key]

    def prepare_query(
        self,
        key: StepKey,
        queue: catalog.Queue,
        step: job.Step,
        pending: int,
        candidates: Sequence[placement.Candidate],
        now: float,
    ) -> None:
        """Notes that a step has tasks left; the first to call is asked for.

        Args:
            key: The step.
            queue: Its queue, which has a policy service.
            step: What its tasks need.
            pending: Tasks that no allowed minion has room for.
            candidates: Minions that may get work.
            now: Monotonic time in seconds.
        """
        if self._query_in_flight or self._next_query or now < self._not_before:
            return
        assert queue.advice is not None
        unknown = [
            candidate
            for candidate in candidates
            if self._is_unknown(key, candidate, now)
        ]
        unknown.sort(key=lambda item: _count_fits(step, item), reverse=True)
        needed = 0
        for candidate in unknown:
            fits = _count_fits(step, candidate)
            if not fits or pending <= 0:
                break
            pending -= fits
            needed += 1
        if not needed:
            return
        share = self._shares.get(queue.name, FIRST_SHARE)
        count = max(LEAST_MINIONS, math.ceil(needed / max(share, 0.05)))
        named = [item for item in unknown if _count_fits(step, item)]
        self._next_query = PolicyQuery(
            key,
            queue.name,
            {
                item.view.minion_id: item.view.minion.incarnation
                for item in named[: min(count, MOST_MINIONS)]
            },
            now,
            queue.advice,
        )

    def take_query(self) -> PolicyQuery | None:
        """Returns the question to be asked now, if there is one."""
        query, self._next_query = self._next_query, None
        self._query_in_flight = query or self._query_in_flight
        return query

    def handle_response(
        self,
        query: PolicyQuery,
        tickets: Mapping[identifiers.MinionId, str] | None,
        now: float,
    ) -> None:
        """Takes the service's answer.

        Args:
            query: What was asked.
            tickets: A ticket for each minion that may run the step; None if
                there was no answer.
            now: Monotonic time in seconds.
        """
        self._query_in_flight = None
        if tickets is None:
            self._not_before = now + RETRY_SECONDS
            return
        known = self._tickets.setdefault(query.key, {})
        # The service counts from its answer; the question came before.
        expires = query.sent + query.policy.valid - MARGIN_SECONDS
        allowed = 0
        for place in query.minions.items():
            text = tickets.get(place[0])
            known[place] = None if text is None else Ticket(text, expires)
            allowed += text is not None
        share = self._shares.get(query.queue, FIRST_SHARE)
        seen = allowed / len(query.minions)
        self._shares[query.queue] = share + SMOOTHING * (seen - share)

    def _find_ticket(
        self, key: StepKey, candidate: placement.Candidate, now: float
    ) -> Ticket | None:
        known = self._tickets.get(key, {}).get(_get_place(candidate))
        return known if known is not None and known.expires > now else None

    def _is_unknown(
        self, key: StepKey, candidate: placement.Candidate, now: float
    ) -> bool:
        tickets = self._tickets.get(key, {})
        place = _get_place(candidate)
        if place not in tickets:
            return True
        known = tickets[place]
        return known is not None and known.expires <= now


def expect_seconds(policy: catalog.PolicySettings) -> float:
    """Returns how long the service takes for one call about a step."""
    return policy.decide + MOST_MINIONS * policy.per_minion


def _get_place(candidate: placement.Candidate) -> _Place:
    minion = candidate.view.minion
    return minion.minion_id, minion.incarnation


def _count_fits(step: job.Step, candidate: placement.Candidate) -> int:
    """Returns how many tasks of `step` fit at a minion."""
    labels = candidate.view.minion.labels
    if step.label and step.label not in labels:
        return 0
    counts = [
        free // need
        for need, free in (
            (step.room.cpu, candidate.free.cpu),
            (step.room.memory, candidate.free.memory),
            (step.room.gpu, candidate.free.gpu),
        )
        if need > 0
    ]
    if step.max_per_minion:
        counts.append(step.max_per_minion)
    return max(0, min(counts, default=step.count))


if __name__ == "__main__":
    print(StepKey(identifiers.JobId("5c0e7a21d94b36f8"), 0, 1).render())
