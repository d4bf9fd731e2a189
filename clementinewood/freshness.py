"""Whether an entry may act on the configuration it has folded."""

import dataclasses
from collections.abc import Iterable

from clementinewood import identifiers

Incarnation = identifiers.Incarnation


@dataclasses.dataclass(slots=True)
class _Statement:
    """The last word of a peer about its access to the log."""

    asked: float
    reachable: bool
    offset: int


class Freshness:
    """Decides from log reads and peers' statements whether to act.

    A peer's message says nothing about how long it was under way, so what it
    says counts from the time at which this entry sent the question that the
    message answers.

    Args:
        me: Incarnation of this entry.
        fresh: Seconds for which evidence counts.
    """

    def __init__(self, me: Incarnation, *, fresh: float = 2.0) -> None:
        self.me = me
        self.fresh = fresh
        self.offset = -1
        self.reachable = True
        self._read = float("-inf")
        self._relays: list[tuple[int, float]] = []
        self._peers: frozenset[Incarnation] = frozenset()
        self._statements: dict[Incarnation, _Statement] = {}
        self._absent: dict[Incarnation, float] = {}

    def set_members(self, members: Iterable[Incarnation]) -> None:
        """Takes over the membership as last folded from the log."""
        self._peers = frozenset(members) - {self.me}

    def on_offset(self, offset: int) -> None:
        """Notes that records up to `offset` are folded."""
        self.offset = max(self.offset, offset)
        for head, asked in self._relays:
            if head <= self.offset:
                self._read = max(self._read, asked)
        self._relays = [r for r in self._relays if r[0] > self.offset]

    def on_log_reachable(self, reachable: bool) -> None:
        """Notes whether this entry can reach the log."""
        self.reachable = reachable

    def on_head_read(self, now: float) -> None:
        """Notes that a read which was sent at `now` reached the head."""
        self._read = max(self._read, now)

    def on_relay(self, age: float, now: float, *, head: int) -> None:
        """Notes that a peer has read the log to its head.

        Args:
            age: Seconds since the peer sent that read, by the peer's clock.
            now: When this entry sent the question that the peer answers.
            head: Offset of the last record of that read.
        """
        self._relays = [*self._relays[-7:], (head, now - age)]
        self.on_offset(self.offset)

    def on_peer_status(
        self, member: Incarnation, reachable: bool, offset: int, now: float
    ) -> None:
        """Notes what a peer says about its access to the log.

        Args:
            member: The peer.
            reachable: Whether it can reach the log.
            offset: Highest offset it knows of.
            now: When this entry sent the question that the peer answers.
        """
        last = self._statements.get(member)
        if last is None or now >= last.asked:
            self._statements[member] = _Statement(now, reachable, offset)

    def on_peer_absent(self, member: Incarnation, now: float) -> None:
        """Notes that the process of a member does not exist any more."""
        self._absent.setdefault(member, now)

    def is_fresh(self, now: float) -> bool:
        """Returns whether this entry may act at `now`."""
        return now - self._read <= self.fresh or not self._blockers(now)

    def explain(self, now: float) -> str:
        """Returns one sentence that says why `is_fresh` is as it is."""
        age = now - self._read
        if age <= self.fresh:
            return f"log read to its head {age:.2f} s ago"
        blockers = self._blockers(now)
        if not blockers:
            return "log outage for every member"
        return "stale: " + "; ".join(blockers)

    def _blockers(self, now: float) -> list[str]:
        if self.reachable:
            return ["log reachable but not read to its head"]
        blockers = []
        for peer in sorted(self._peers):
            last = self._statements.get(peer)
            if peer in self._absent:
                continue
            if last is None or now - last.asked > self.fresh:
                blockers.append(f"{peer} is silent")
            elif last.reachable:
                blockers.append(f"{peer} can reach the log")
            elif last.offset > self.offset:
                blockers.append(f"{peer} holds a newer offset")
        return blockers


if __name__ == "__main__":
    freshness = Freshness(Incarnation("one/1"))
    freshness.on_head_read(10.0)
    print(freshness.explain(11.0))
