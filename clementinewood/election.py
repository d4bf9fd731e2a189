"""Decides when an entry becomes candidate, leader or follower.

The leader is the entry that dispatches. Each candidacy carries a term, which
is also the fencing token: the store rejects appends of a lower term, and
minions reject orders with a lower token. Two leaders can therefore overlap
briefly without any work being done twice.
"""

import dataclasses
import enum

from clementinewood import identifiers, jobtable, run

LEADER_RENEWAL_INTERVAL_SECONDS = 0.25
"""Period at which the leader appends a LeaderRecord to renew its leadership."""

LEADER_TIMEOUT_SECONDS = 1.0
"""Time without a renewal after which followers may become candidates. Two
renewals may be lost or take the 0.24 s of a slow store; the loss of a leader
must delay jobs by less than their slack."""

ELECTION_JITTER_SECONDS = 0.3
"""Largest random delay added to the leader timeout, so that usually only one
entry becomes a candidate."""

RESIGNATION_JITTER_SECONDS = 0.06
"""Largest random delay after the leader has resigned. It is short, since
nothing is dispatched until the next election; the store rejects all but one of
the candidacies that collide."""

TAKEOVER_BYTES = 500_000
"""Bytes that a new leader exchanges with the minions of a large site at once.
An entry waits for as long as its link takes for them, so that one with a faster
link becomes the leader if there is one."""

MAX_LINK_DELAY_SECONDS = 0.5
"""Longest delay of a slow link. It exceeds ELECTION_JITTER_SECONDS and one
check, so that an entry with a fast link comes first whatever its jitter; a site
that has only slow links loses no more than this."""

RESIGNATION_LINK_DELAY_RATIO = 0.4
"""Share of the delay of a slow link after the leader has resigned, whose jitter
is short as well."""

CANDIDACY_RETRY_DELAY_SECONDS = 0.3
"""Pause after a candidacy that the store did not accept; a host that the store
rejects would otherwise become a candidate in every check."""


class ElectionRole(enum.Enum):
    """Role of an entry in the leader election."""

    FOLLOWER = "follower"
    CANDIDATE = "claiming"
    LEADER = "in-office"


_CANDIDATE_OR_LEADER = frozenset((ElectionRole.CANDIDATE, ElectionRole.LEADER))


class LeadershipChange(enum.Enum):
    """How a LeaderRecord changes the leadership of this entry."""

    NONE = "none"
    CONFIRMED = "confirmed"
    """This entry's candidacy is stored, even if the response was lost."""

    LOST = "lost"
    """Another entry has become leader in place of this one."""


def compute_link_delay(bytes_per_second: float) -> float:
    """Returns the seconds that an entry leaves to those with faster links.

    Args:
        bytes_per_second: Capacity of its link; 0 if unknown.
    """
    if bytes_per_second <= 0:
        return 0.0
    return min(MAX_LINK_DELAY_SECONDS, TAKEOVER_BYTES / bytes_per_second)


def compute_last_action(fenced_at: float, permitted_seconds: float) -> float:
    """Returns until when a former leader may have given an order or a lease.

    It acts for some time from when it sent its last stored append. Since the
    store rejects its appends once a later candidacy is stored, that one was
    sent before; when its records are read, or which they are, says nothing.

    Args:
        fenced_at: Monotonic time in seconds by which the successor's candidacy
            was stored.
        permitted_seconds: Age of its last stored append, on its own clock, up
            to which it acts.
    """
    return fenced_at + permitted_seconds * (1 + run.CLOCK_DRIFT)


@dataclasses.dataclass(slots=True)
class ElectionState:
    """State of the leader election as seen by one entry.

    Attributes:
        own_incarnation: Incarnation of this process.
        jitter: This entry's fraction of the largest random delays, 0 to 1.
        link_delay: Seconds that this entry leaves to those with faster links.
        role: Current role of this entry.
        term: Term of this entry's last candidacy or leadership.
        highest_term: Highest term seen in a LeaderRecord.
    """

    own_incarnation: identifiers.Incarnation
    jitter: float
    link_delay: float = 0.0
    role: ElectionRole = ElectionRole.FOLLOWER
    term: identifiers.Term = identifiers.Term(0)
    highest_term: int = 0
    _leader_seen_at: float = float("inf")
    _not_before: float = float("-inf")
    _no_leader: bool = False
    _log_current: bool = False

    def mark_log_current(self, now: float) -> None:
        """Records that the log has been read to its end.

        Args:
            now: Monotonic time in seconds.
        """
        if not self._log_current:
            # The leader may have renewed while the log was unreadable.
            self._leader_seen_at = now
            self._log_current = True

    def mark_log_unreadable(self) -> None:
        """Records that the log can't be read, so the leader is unknown."""
        self._log_current = False

    def observe_leadership(
        self, record: jobtable.LeaderRecord, now: float
    ) -> LeadershipChange:
        """Applies a LeaderRecord read from the log.

        Args:
            record: The record; ignored if a higher term was seen before.
            now: Monotonic time in seconds.
        """
        if record.term < self.highest_term:
            return LeadershipChange.NONE
        self.highest_term = record.term
        is_own = record.leader == self.own_incarnation
        if (
            not is_own
            and record.term < self.term
            and self.role in _CANDIDATE_OR_LEADER
        ):
            # A renewal that the previous leader appended before it was fenced.
            return LeadershipChange.NONE
        self._leader_seen_at = now
        if is_own:
            # An abandoned candidacy may be stored later; nobody leads then.
            self._no_leader = (
                record.released or self.role is ElectionRole.FOLLOWER
            )
            candidate = self.role is ElectionRole.CANDIDATE
            if candidate and record.term == self.term:
                return LeadershipChange.CONFIRMED
            return LeadershipChange.NONE
        # An earlier process of this host has ended for certain.
        self._no_leader = record.released or identifiers.is_successor(
            self.own_incarnation, record.leader
        )
        was_leader = self.role is ElectionRole.LEADER
        self.role = ElectionRole.FOLLOWER
        return LeadershipChange.LOST if was_leader else LeadershipChange.NONE

    def should_become_candidate(self, now: float, read_until: float) -> bool:
        """Returns whether this entry should become a candidate now.

        Args:
            now: Monotonic time in seconds.
            read_until: Monotonic time in seconds up to which the log's records
                are known. A stuck read must not count as a leader timeout.
        """
        if self.role is not ElectionRole.FOLLOWER or not self._log_current:
            return False
        if now < self._not_before:
            return False
        if not self.highest_term:
            # Entries of a new site start up to 0.3 s apart.
            wait = self.jitter * RESIGNATION_JITTER_SECONDS + self.link_delay
            return now >= self._leader_seen_at + wait
        if self._no_leader:
            wait = (
                self.jitter * RESIGNATION_JITTER_SECONDS
                + self.link_delay * RESIGNATION_LINK_DELAY_RATIO
            )
            return now >= self._leader_seen_at + wait
        wait = (
            LEADER_TIMEOUT_SECONDS
            + self.jitter * ELECTION_JITTER_SECONDS
            + self.link_delay
        )
        return read_until >= self._leader_seen_at + wait

    def become_candidate(self) -> identifiers.Term:
        """Becomes a candidate and returns the term of the candidacy.

        The term is above that of every earlier candidacy of this entry: one
        whose append got no response may still be stored, and must not be
        mistaken for this one.
        """
        self.role = ElectionRole.CANDIDATE
        self.term = identifiers.Term(max(self.highest_term, self.term) + 1)
        return self.term

    def become_leader(self) -> None:
        """Becomes the leader, once the candidacy is stored."""
        if self.role is ElectionRole.CANDIDATE:
            self.role = ElectionRole.LEADER

    def handle_candidacy_failure(self, now: float) -> None:
        """Becomes a follower, since the candidacy was not stored in time."""
        self.role = ElectionRole.FOLLOWER
        self._not_before = now + CANDIDACY_RETRY_DELAY_SECONDS

    def step_down(self, now: float) -> None:
        """Becomes a follower, since another entry has begun a later term."""
        self.role = ElectionRole.FOLLOWER
        self._no_leader = False
        self._leader_seen_at = now


if __name__ == "__main__":
    example = ElectionState(identifiers.Incarnation("e/1"), 0.0)
    example.mark_log_current(0.0)
    print(example.should_become_candidate(3.0, 3.0))
