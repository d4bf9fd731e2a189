"""Decides when an entry claims, keeps and leaves the dispatcher's office.

The store orders the claims: each carries a term, appends under a lower term
are refused, and minions do nothing for a lower token. So two dispatchers can
overlap for a moment without either doubling work.
"""

import dataclasses
import enum

from clementinewood import identifiers, jobtable

RENEW_SECONDS = 0.5
"""Period of the records by which a dispatcher shows that it lives."""

VACANT_SECONDS = 1.7
"""Silence after which the office counts as vacant: two renewals may be lost,
and the loss of a dispatcher should cost less than a job's slack."""

JITTER_SECONDS = 0.4
"""Spread of the claims of several entries, so that mostly one claims."""

RELEASED_JITTER_SECONDS = 0.06
"""The same for an office that was given up: nothing is done until it is
claimed, and the store settles claims that collide."""


class Standing(enum.Enum):
    """What an entry is to the office."""

    FOLLOWER = "follower"
    CLAIMING = "claiming"
    IN_OFFICE = "in-office"


@dataclasses.dataclass(slots=True)
class Succession:
    """One entry's part in the succession.

    Attributes:
        holder: This process.
        jitter: Its own share of the spread, from 0 to 1.
        standing: What it is now.
        term: Term claimed or held.
        highest: Highest term seen anywhere.
    """

    holder: identifiers.Incarnation
    jitter: float
    standing: Standing = Standing.FOLLOWER
    term: identifiers.Term = identifiers.Term(0)
    highest: int = 0
    _evidence: float = float("inf")
    _vacant: bool = False
    _fresh: bool = False

    def note_fresh(self, now: float, age: float) -> None:
        """Notes that the log could be read up to its end.

        Args:
            now: Monotonic time in seconds.
            age: Seconds since the reading before.
        """
        if not self._fresh or age > VACANT_SECONDS:
            # The holder may have renewed in records that were unreadable.
            self._evidence = now
            self._fresh = True

    def note_unreadable(self) -> None:
        """Notes that the log can't be read: nothing is known of the office."""
        self._fresh = False

    def note_office(self, office: jobtable.Office, now: float) -> bool:
        """Takes a record of the office.

        Returns:
            Whether this entry has lost the office by it.
        """
        self.highest = max(self.highest, office.term)
        if office.term < self.highest:
            return False
        self._evidence = now
        # This host's own earlier process has surely ended.
        self._vacant = office.released or identifiers.is_successor(
            self.holder, office.holder
        )
        if office.holder != self.holder:
            return self.leave(now)
        return False

    def is_vacant(self, now: float) -> bool:
        """Whether this entry should claim the office now."""
        if self.standing is not Standing.FOLLOWER or not self._fresh:
            return False
        if self._vacant or not self.highest:
            return now >= self._evidence + self.jitter * RELEASED_JITTER_SECONDS
        wait = VACANT_SECONDS + self.jitter * JITTER_SECONDS
        return now >= self._evidence + wait

    def begin_claim(self, now: float) -> identifiers.Term:
        """Returns the term to claim."""
        self.standing = Standing.CLAIMING
        self.highest += 1
        self.term = identifiers.Term(self.highest)
        self._evidence = now
        return self.term

    def note_claimed(self) -> None:
        """Notes that the claim is stored."""
        if self.standing is Standing.CLAIMING:
            self.standing = Standing.IN_OFFICE

    def leave(self, now: float) -> bool:
        """Becomes a follower; returns whether the office was held."""
        held = self.standing is Standing.IN_OFFICE
        self.standing = Standing.FOLLOWER
        self._evidence = now
        return held


if __name__ == "__main__":
    example = Succession(identifiers.Incarnation("e/1"), 0.0)
    example.note_fresh(0.0, 0.0)
    print(example.is_vacant(3.0))
