"""Caches the policy service's tickets for steps on minions and plans queries.

Load pattern: the service handles one call per host at a time, and a call takes
longer the more minions it names, while a peak opens many steps at once. The
most urgent step is queried first, for about as many minions as it needs, and
responses are cached, since the decision about a minion does not change.
"""

import dataclasses
import math
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from clementinewood import catalog, identifiers, job, placement

MAX_QUERY_MINIONS = 30
"""Upper limit of minions per query; job objectives allow for this many."""

MIN_QUERY_MINIONS = 4
"""Least minions per query, so that a few rejections cost no second query."""

INITIAL_ALLOWED_SHARE = 0.5
"""Assumed share of allowed minions before the first response."""

ALLOWED_SHARE_SMOOTHING = 0.3
"""Weight of the newest response in the share of allowed minions."""

EXPIRY_MARGIN_SECONDS = 0.3
"""Time before a ticket's expiry from which it is not used, since the start
order must still reach the minion."""

RETRY_SECONDS = 0.2
"""Delay before the next query after one without a response."""


class StepKey(NamedTuple):
    """One step of one occurrence of a job."""

    job: identifiers.JobId
    occurrence: int
    step: int

    def render(self) -> str:
        """Returns the name of the step towards the policy service."""
        return f"{self.job}.{self.occurrence}.{self.step}"


@dataclasses.dataclass(frozen=True, slots=True)
class PolicyQuery:
    """Query to the policy service: which of these minions may run a step.

    Attributes:
        key: The step.
        queue: Its queue.
        minions: Incarnation of each minion, in Unix milliseconds.
        sent: Monotonic time in seconds at which it is sent.
        policy: Timing of the service.
    """

    key: StepKey
    queue: identifiers.QueueId
    minions: Mapping[identifiers.MinionId, int]
    sent: float
    policy: catalog.PolicySettings


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """Permission to run a step on a minion.

    Attributes:
        text: Text that the minion verifies.
        expires: Monotonic time in seconds from which it is not used.
    """

    text: str
    expires: float


_MinionStart = tuple[identifiers.MinionId, int]


class PolicyCache:
    """Caches tickets by step and minion, and prepares the next query."""

    def __init__(self) -> None:
        self._tickets: dict[StepKey, dict[_MinionStart, Ticket | None]] = {}
        self._steps: dict[identifiers.JobId, set[StepKey]] = {}
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
        """Returns the candidates with an unexpired ticket for a step."""
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
        """Removes a ticket that a minion has rejected."""
        self._tickets.get(key, {}).pop((minion_id, incarnation), None)

    def forget_job(self, job_id: identifiers.JobId) -> None:
        """Removes all tickets of a job."""
        for key in self._steps.pop(job_id, ()):
            del self._tickets[key]

    def forget_step(self, key: StepKey) -> None:
        """Removes all tickets of a step."""
        if self._tickets.pop(key, None) is None:
            return
        steps = self._steps[key.job]
        steps.remove(key)
        if not steps:
            del self._steps[key.job]

    def prepare_query(
        self,
        key: StepKey,
        queue: catalog.Queue,
        step: job.Step,
        pending: int,
        candidates: Sequence[placement.Candidate],
        now: float,
    ) -> None:
        """Prepares a query for a step with tasks that found no minion.

        Only the first call has an effect until that query has a response, so
        the most urgent step must come first.

        Args:
            key: The step.
            queue: Its queue, which has a policy service.
            step: Requirements of its tasks.
            pending: Number of tasks that no allowed minion has room for.
            candidates: Minions that may get new work.
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
        unknown.sort(
            key=lambda item: placement.count_fits(step, item), reverse=True
        )
        needed = 0
        for candidate in unknown:
            fits = placement.count_fits(step, candidate)
            if not fits or pending <= 0:
                break
            pending -= fits
            needed += 1
        if not needed:
            return
        share = self._shares.get(queue.name, INITIAL_ALLOWED_SHARE)
        count = max(MIN_QUERY_MINIONS, math.ceil(needed / max(share, 0.05)))
        named = [item for item in unknown if placement.count_fits(step, item)]
        self._next_query = PolicyQuery(
            key,
            queue.name,
            {
                item.view.minion_id: item.view.minion.incarnation
                for item in named[: min(count, MAX_QUERY_MINIONS)]
            },
            now,
            queue.advice,
        )

    def take_query(self) -> PolicyQuery | None:
        """Returns the query to send now, or None."""
        query, self._next_query = self._next_query, None
        self._query_in_flight = query or self._query_in_flight
        return query

    def handle_response(
        self,
        query: PolicyQuery,
        tickets: Mapping[identifiers.MinionId, str] | None,
        now: float,
    ) -> None:
        """Caches the tickets of the service's response.

        Args:
            query: The query.
            tickets: A ticket for each minion that may run the step; None if
                there was no response.
            now: Monotonic time in seconds.
        """
        self._query_in_flight = None
        if tickets is None:
            self._not_before = now + RETRY_SECONDS
            return
        known = self._tickets.setdefault(query.key, {})
        self._steps.setdefault(query.key.job, set()).add(query.key)
        # The service counts validity from its response. Counting from the
        # earlier query never uses a ticket too long.
        expires = query.sent + query.policy.valid - EXPIRY_MARGIN_SECONDS
        allowed = 0
        for place in query.minions.items():
            text = tickets.get(place[0])
            known[place] = None if text is None else Ticket(text, expires)
            allowed += text is not None
        share = self._shares.get(query.queue, INITIAL_ALLOWED_SHARE)
        seen = allowed / len(query.minions)
        self._shares[query.queue] = share + ALLOWED_SHARE_SMOOTHING * (
            seen - share
        )

    def _find_ticket(
        self, key: StepKey, candidate: placement.Candidate, now: float
    ) -> Ticket | None:
        known = self._tickets.get(key, {}).get(_get_minion_start(candidate))
        return known if known is not None and known.expires > now else None

    def _is_unknown(
        self, key: StepKey, candidate: placement.Candidate, now: float
    ) -> bool:
        tickets = self._tickets.get(key, {})
        place = _get_minion_start(candidate)
        if place not in tickets:
            return True
        known = tickets[place]
        return known is not None and known.expires <= now


def expect_seconds(policy: catalog.PolicySettings) -> float:
    """Returns the longest expected seconds of one query."""
    return policy.decide + MAX_QUERY_MINIONS * policy.per_minion


def _get_minion_start(candidate: placement.Candidate) -> _MinionStart:
    minion = candidate.view.minion
    return minion.minion_id, minion.incarnation


if __name__ == "__main__":
    print(StepKey(identifiers.JobId("5c0e7a21d94b36f8"), 0, 1).render())
