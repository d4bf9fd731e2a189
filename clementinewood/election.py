"""Decides when an entry claims, keeps and leaves the dispatcher's office.

The store orders the claims: each carries a term, appends under a lower term
are refused, and minions do nothing for a lower token. So two dispatchers can
overlap for a moment without either doubling work.
"""

import dataclasses
import enum

from clementinewood import identifiers, jobtable

LEADER_RENEWAL_INTERVAL_SECONDS = 0.25
"""Period of the records by which a dispatcher shows that it lives."""

LEADER_TIMEOUT_SECONDS = 1.0
"""Silence after which the office counts as vacant: two renewals may be lost or
take a slow store's 0.24 s, and the loss of a dispatcher should cost less than
a job's slack."""

ELECTION_JITTER_SECONDS = 0.3
"""Spread of the claims of several entries, so that mostly one claims."""

RESIGNATION_JITTER_SECONDS = 0.06
"""The same for an office that was given up: nothing is done until it is
claimed, and the store settles claims that collide."""

CANDIDACY_RETRY_DELAY_SECONDS = 0.3
"""Pause after a claim that the store did not take; a host that the store turns
away would otherwise claim in every check."""


class ElectionRole(enum.Enum):
    """What an entry is to the office."""

    FOLLOWER = "follower"
    CANDIDATE = "claiming"
    LEADER = "in-office"


_CANDIDATE_OR_LEADER = frozenset((ElectionRole.CANDIDATE, ElectionRole.LEADER))


class LeadershipChange(enum.Enum):
    """What a record of the office means for this entry."""

    NONE = "none"
    CONFIRMED = "confirmed"
    """Its own claim is stored, even if the answer to it was lost."""

    LOST = "lost"
    """Another entry has the office that it held."""


@dataclasses.dataclass(slots=True)
class ElectionState:
    """One entry's part in the election.

    Attributes:
        own_incarnation: This process.
        jitter: Its own share of the spread, from 0 to 1.
        role: What it is now.
        term: Term claimed or held.
        highest_term: Highest term seen in a record of the office.
    """

    own_incarnation: identifiers.Incarnation
    jitter: float
    role: ElectionRole = ElectionRole.FOLLOWER
    term: identifiers.Term = identifiers.Term(0)
    highest_term: int = 0
    _leader_seen_at: float = float("inf")
    _not_before: float = float("-inf")
    _no_leader: bool = False
    _log_current: bool = False

    def mark_log_current(self, now: float) -> None:
        """Notes that the log could be read up to its end.

        Args:
            now: Monotonic time in seconds.
        """
        if not self._log_current:
            # The holder may have renewed in records that were unreadable.
            self._leader_seen_at = now
            self._log_current = True

    def mark_log_unreadable(self) -> None:
        """Notes that the log can't be read: nothing is known of the office."""
        self._log_current = False

    def observe_leadership(
        self, record: jobtable.LeaderRecord, now: float
    ) -> LeadershipChange:
        """Takes a record of the office."""
        if record.term < self.highest_term:
            return LeadershipChange.NONE
        self.highest_term = record.term
        mine = record.leader == self.own_incarnation
        if (
            not mine
            and record.term < self.term
            and self.role in _CANDIDATE_OR_LEADER
        ):
            # The holder before was still renewing when it was superseded.
            return LeadershipChange.NONE
        self._leader_seen_at = now
        if mine:
            # A claim that was given up and stored all the same is nobody's.
            self._no_leader = (
                record.released or self.role is ElectionRole.FOLLOWER
            )
            candidate = self.role is ElectionRole.CANDIDATE
            if candidate and record.term == self.term:
                return LeadershipChange.CONFIRMED
            return LeadershipChange.NONE
        # This host's own earlier process has surely ended.
        self._no_leader = record.released or identifiers.is_successor(
            self.own_incarnation, record.leader
        )
        led = self.role is ElectionRole.LEADER
        self.role = ElectionRole.FOLLOWER
        return LeadershipChange.LOST if led else LeadershipChange.NONE

    def should_become_candidate(self, now: float, read_until: float) -> bool:
        """Whether this entry should claim the office now.

        Args:
            now: Monotonic time in seconds.
            read_until: Time up to which the log's records are known. An entry
                whose reading is stuck must not take that for silence.
        """
        if self.role is not ElectionRole.FOLLOWER or not self._log_current:
            return False
        if now < self._not_before:
            return False
        if self._no_leader or not self.highest_term:
            return (
                now
                >= self._leader_seen_at
                + self.jitter * RESIGNATION_JITTER_SECONDS
            )
        wait = LEADER_TIMEOUT_SECONDS + self.jitter * ELECTION_JITTER_SECONDS
        return read_until >= self._leader_seen_at + wait

    def become_candidate(self) -> identifiers.Term:
        """Returns the term to claim.

        It is above every term that this entry has claimed: an earlier claim
        without an answer may still be stored, and must not be taken for this
        one.
        """
        self.role = ElectionRole.CANDIDATE
        self.term = identifiers.Term(max(self.highest_term, self.term) + 1)
        return self.term

    def become_leader(self) -> None:
        """Notes that the claim is stored."""
        if self.role is ElectionRole.CANDIDATE:
            self.role = ElectionRole.LEADER

    def handle_candidacy_failure(self, now: float) -> None:
        """Notes that the store did not take the claim."""
        self.role = ElectionRole.FOLLOWER
        self._not_before = now + CANDIDACY_RETRY_DELAY_SECONDS

    def step_down(self, now: float) -> None:
        """Becomes a follower, since another entry has claimed a later term."""
        self.role = ElectionRole.FOLLOWER
        self._no_leader = False
        self._leader_seen_at = now


if __name__ == "__main__":
    example = ElectionState(identifiers.Incarnation("e/1"), 0.0)
    example.mark_log_current(0.0)
    print(example.should_become_candidate(3.0, 3.0))
