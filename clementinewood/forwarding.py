"""Decides which entry a request is forwarded to that this one can't serve.

Load pattern: some entries can't read the store, for seconds after a cut or for
the minute in which they load the job log, and their callers keep their
connections. Other entries answer in milliseconds, but most of those asked
first may be unable to serve as well.
"""

import dataclasses
from collections.abc import Callable, Sequence

from clementinewood import identifiers, verdict

MAX_ATTEMPTS = 3
"""Most entries that one request is sent to."""

MAX_REQUESTS_IN_FLIGHT = 64
"""Most forwarded requests of one entry at a time, so that entries that can't
serve don't overload those that can."""

RETRY_RATIO = 0.5
"""Attempts beyond the first that each forwarded request adds to the budget."""

RETRY_BURST = 30.0
"""Attempts beyond the first that may follow a quiet time: about one for each
entry of a site, while it is not known which of them can serve."""

HEDGE_DELAY_RATIO = 0.25
"""Part of the time left after which the next entry is asked as well, so that
the last attempt still has a quarter of the time."""

MAX_HEDGE_DELAY_SECONDS = 0.5
"""Longest wait for one entry alone: it answers in milliseconds, or in half a
second where the store is slow."""

DEADLINE_MARGIN_SECONDS = 0.15
"""Time before a caller's deadline by which the final response is sent."""

MAX_SECONDS = 10.0
"""Longest time for all attempts: callers may state any deadline, and silent
entries would hold the requests in flight until then."""

MAX_STATE_SECONDS = 0.4
"""Longest wait for the leader's answer about a job; this entry then reports the
state that it knows."""

MIN_SECONDS_LEFT = 0.1
"""Least time left for an attempt: one round trip and a read of the log."""

AVOID_SECONDS = 1.0
"""How long a peer is asked last after its first failure or refusal."""

MAX_AVOID_SECONDS = 16.0
"""The same after repeated ones: a restarted entry may load for a minute."""

_FORWARDED_REASONS = frozenset(
    (verdict.Reason.STORE_UNAVAILABLE, verdict.Reason.STALE_CONFIGURATION)
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Peer:
    """Another entry, as seen from this one.

    Attributes:
        entry_id: Its name.
        zone: Its availability zone.
        in_flight: Attempts of this entry that it has not answered.
        avoided: Whether it has failed or refused recently.
    """

    entry_id: identifiers.EntryId
    zone: identifiers.ZoneId
    in_flight: int = 0
    avoided: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Situation:
    """What is known when an attempt may be made.

    Attributes:
        refusal: Answer of this entry if no other one has a better.
        seconds_left: Seconds until the final response must be sent.
        attempts: Attempts of this request so far.
        requests_in_flight: Other requests that this entry has forwarded.
        has_retry_token: Whether the budget allows an attempt after the first.
        zone: Availability zone of this entry.
        peers: Entries that have not been asked about this request.
    """

    refusal: verdict.Refusal
    seconds_left: float
    attempts: int
    requests_in_flight: int
    has_retry_token: bool
    zone: identifiers.ZoneId
    peers: Sequence[Peer]


def may_forward(refusal: verdict.Refusal) -> bool:
    """Whether another entry may serve what this one refuses."""
    return (
        refusal.reason in _FORWARDED_REASONS
        and refusal.execution is verdict.Execution.NOT_RUN
    )


def choose_peer(
    situation: Situation, random_fraction: Callable[[], float]
) -> Peer | None:
    """Returns the entry to ask next, or None.

    Args:
        situation: What is known.
        random_fraction: Source of random numbers from 0 to 1.
    """
    if (
        not may_forward(situation.refusal)
        or situation.attempts >= MAX_ATTEMPTS
        or situation.seconds_left < MIN_SECONDS_LEFT
        or situation.requests_in_flight >= MAX_REQUESTS_IN_FLIGHT
        or (situation.attempts > 0 and not situation.has_retry_token)
        or not situation.peers
    ):
        return None

    def rank(peer: Peer) -> tuple[bool, bool]:
        return peer.avoided, peer.zone != situation.zone

    best = min(map(rank, situation.peers))
    group = [peer for peer in situation.peers if rank(peer) == best]
    # The less loaded of two random choices: entries that choose at the same
    # time would all send to the one that seems idle.
    first = group[int(random_fraction() * len(group)) % len(group)]
    second = group[int(random_fraction() * len(group)) % len(group)]
    return min(first, second, key=lambda peer: peer.in_flight)


def compute_hedge_delay(seconds_left: float) -> float:
    """Returns seconds to wait for one entry before the next is asked."""
    return min(MAX_HEDGE_DELAY_SECONDS, HEDGE_DELAY_RATIO * seconds_left)


def compute_avoid_seconds(failures: int) -> float:
    """Returns how long a peer is asked last after failures in a row."""
    return min(MAX_AVOID_SECONDS, AVOID_SECONDS * 2.0 ** min(failures - 1, 8))


def conclude(
    refusal: verdict.Refusal, *, may_have_run: bool
) -> verdict.Refusal:
    """Returns the final refusal after attempts without an answer.

    Args:
        refusal: Refusal by this entry.
        may_have_run: Whether an attempt may have stored the request.
    """
    if not may_have_run:
        return refusal
    return verdict.Refusal(
        verdict.Reason.ACCEPTANCE_UNKNOWN,
        verdict.Execution.MAY_HAVE_RUN,
        "Another entry took the request and its answer was lost.",
    )


if __name__ == "__main__":
    print(
        choose_peer(
            Situation(
                refusal=verdict.Refusal(verdict.Reason.STORE_UNAVAILABLE),
                seconds_left=3.0,
                attempts=0,
                requests_in_flight=0,
                has_retry_token=True,
                zone=identifiers.ZoneId("hobart"),
                peers=[
                    Peer(
                        entry_id=identifiers.EntryId("entry-2"),
                        zone=identifiers.ZoneId("hobart"),
                    )
                ],
            ),
            lambda: 0.0,
        )
    )
