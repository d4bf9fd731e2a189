"""Decides when an entry claims, keeps and leaves the dispatcher's office.

The store orders the claims: each carries a term, appends under a lower term
are refused, and minions do nothing for a lower token. So two dispatchers can
overlap for a moment without either doubling work.
"""

import dataclasses
import enum

from clementinewood import identifiers, jobtable

RENEW_SECONDS = 0.25
"""Period of the records by which a dispatcher shows that it lives."""

VACANT_SECONDS = 1.0
"""Silence after which the office counts as vacant: two renewals may be lost or
take a slow store's 0.24 s, and the loss of a dispatcher should cost less than
a job's slack."""

JITTER_SECONDS = 0.3
"""Spread of the claims of several entries, so that mostly one claims."""

RELEASED_JITTER_SECONDS = 0.06
"""The same for an office that was given up: nothing is done until it is
claimed, and the store settles claims that collide."""

CLAIM_RETRY_SECONDS = 0.3
"""Pause after a claim that the store did not take; a host that the store turns
away would otherwise claim in every check."""


class Standing(enum.Enum):
    """What an entry is to the office."""

    FOLLOWER = "follower"
    CLAIMING = "claiming"
    IN_OFFICE = "in-office"


_ENGAGED = frozenset((Standing.CLAIMING, Standing.IN_OFFICE))


class Change(enum.Enum):
    """What a record of the office means for this entry."""

    NONE = "none"
    CONFIRMED = "confirmed"
    """Its own claim is stored, even if the answer to it was lost."""

    LOST = "lost"
    """Another entry has the office that it held."""


@dataclasses.dataclass(slots=True)
class Succession:
    """One entry's part in the succession.

    Attributes:
        holder: This process.
        jitter: Its own share of the spread, from 0 to 1.
        standing: What it is now.
        term: Term claimed or held.
        highest: Highest term seen in a record of the office.
    """

    holder: identifiers.Incarnation
    jitter: float
    standing: Standing = Standing.FOLLOWER
    term: identifiers.Term = identifiers.Term(0)
    highest: int = 0
    _evidence: float = float("inf")
    _not_before: float = float("-inf")
    _vacant: bool = False
    _fresh: bool = False

    def note_fresh(self, now: float) -> None:
        """Notes that the log could be read up to its end.

        Args:
            now: Monotonic time in seconds.
        """
        if not self._fresh:
            # The holder may have renewed in records that were unreadable.
            self._evidence = now
            self._fresh = True

    def note_unreadable(self) -> None:
        """Notes that the log can't be read: nothing is known of the office."""
        self._fresh = False

    def note_office(self, record: jobtable.LeaderRecord, now: float) -> Change:
        """Takes a record of the office."""
        if record.term < self.highest:
            return Change.NONE
        self.highest = record.term
        mine = record.leader == self.holder
        if not mine and record.term < self.term and self.standing in _ENGAGED:
            # The holder before was still renewing when it was superseded.
            return Change.NONE
        self._evidence = now
        if mine:
            # A claim that was given up and stored all the same is nobody's.
            self._vacant = record.released or self.standing is Standing.FOLLOWER
            claimed = self.standing is Standing.CLAIMING
            if claimed and record.term == self.term:
                return Change.CONFIRMED
            return Change.NONE
        # This host's own earlier process has surely ended.
        self._vacant = record.released or identifiers.is_successor(
            self.holder, record.leader
        )
        held = self.standing is Standing.IN_OFFICE
        self.standing = Standing.FOLLOWER
        return Change.LOST if held else Change.NONE

    def is_vacant(self, now: float, read_until: float) -> bool:
        """Whether this entry should claim the office now.

        Args:
            now: Monotonic time in seconds.
            read_until: Time up to which the log's records are known. An entry
                whose reading is stuck must not take that for silence.
        """
        if self.standing is not Standing.FOLLOWER or not self._fresh:
            return False
        if now < self._not_before:
            return False
        if self._vacant or not self.highest:
            return now >= self._evidence + self.jitter * RELEASED_JITTER_SECONDS
        wait = VACANT_SECONDS + self.jitter * JITTER_SECONDS
        return read_until >= self._evidence + wait

    def begin_claim(self) -> identifiers.Term:
        """Returns the term to claim.

        It is above every term that this entry has claimed: an earlier claim
        without an answer may still be stored, and must not be taken for this
        one.
        """
        self.standing = Standing.CLAIMING
        self.term = identifiers.Term(max(self.highest, self.term) + 1)
        return self.term

    def note_claimed(self) -> None:
        """Notes that the claim is stored."""
        if self.standing is Standing.CLAIMING:
            self.standing = Standing.IN_OFFICE

    def note_claim_failed(self, now: float) -> None:
        """Notes that the store did not take the claim."""
        self.standing = Standing.FOLLOWER
        self._not_before = now + CLAIM_RETRY_SECONDS

    def leave(self, now: float) -> None:
        """Becomes a follower, since another entry has claimed a later term."""
        self.standing = Standing.FOLLOWER
        self._vacant = False
        self._evidence = now


if __name__ == "__main__":
    example = Succession(identifiers.Incarnation("e/1"), 0.0)
    example.note_fresh(0.0)
    print(example.is_vacant(3.0, 3.0))
