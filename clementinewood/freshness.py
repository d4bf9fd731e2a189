"""Whether an entry may act on the configuration it has folded."""

import dataclasses
from collections.abc import Iterable

from clementinewood import identifiers

Incarnation = identifiers.Incarnation

MAX_RELAYS = 8
"""Relayed heads kept until the records up to them are folded."""


@dataclasses.dataclass(frozen=True, slots=True)
class _PeerReport:
    """The last word of a peer about its access to the log."""

    asked: float
    reachable: bool
    offset: int


class Freshness:
    """Decides from log reads and peers' statements whether to act.

    A message does not tell how long it was under way. Whatever a peer says
    therefore counts from the time at which this entry sent the question that
    the peer answers, never from the time of arrival.

    By stating that it cannot reach the log, an entry also promises to append
    nothing to the control stream for `append_pause` seconds (see `may_append`).
    Others rely on this when the entry is gone soon after.

    Args:
        me: Incarnation of this entry.
        fresh: Seconds for which evidence counts.
        append_pause: Seconds without appends after stating that the log cannot
            be reached; must exceed `fresh` by the difference in clock rates.
    """

    def __init__(
        self, me: Incarnation, *, fresh: float = 2.0, append_pause: float = 3.0
    ) -> None:
        if append_pause <= fresh:
            raise ValueError("hold must be longer than fresh")
        self.me = me
        self.fresh = fresh
        self.append_pause = append_pause
        self.offset = -1
        self.known_offset = -1
        self.read_at = float("-inf")
        self.own_read_at = float("-inf")
        self._reported_unreachable_at = float("-inf")
        self._relays: list[tuple[int, float]] = []
        self._members: frozenset[Incarnation] = frozenset()
        self._peer_reports: dict[Incarnation, _PeerReport] = {}
        self._absent: dict[Incarnation, float] = {}

    def set_members(self, members: Iterable[Incarnation]) -> None:
        """Takes over the membership as last folded from the log.

        Args:
            members: All members; without this entry among them it is not
                fresh.
        """
        self._members = frozenset(members)
        for table in (self._peer_reports, self._absent):
            for member in table.keys() - self._members:
                del table[member]

    def on_offset(self, offset: int) -> None:
        """Notes that records up to `offset` are folded."""
        self.offset = max(self.offset, offset)
        self.on_known_offset(offset)
        for head, at in self._relays:
            if head <= self.offset:
                self.read_at = max(self.read_at, at)
        self._relays = [r for r in self._relays if r[0] > self.offset]

    def on_known_offset(self, offset: int) -> None:
        """Notes that a record at `offset` exists, such as an own append."""
        self.known_offset = max(self.known_offset, offset)

    def on_head_read(self, now: float) -> None:
        """Notes that a read sent at `now` reached the head and is folded."""
        self.own_read_at = max(self.own_read_at, now)
        self.read_at = max(self.read_at, now)

    def on_relay(self, age: float, now: float, *, head: int) -> None:
        """Notes that a peer has read the log to its head.

        Args:
            age: Seconds since the peer sent that read, by the peer's clock.
            now: When this entry sent the question that the peer answers.
            head: Offset of the last record of that read; the evidence counts
                once this entry has folded the records up to it.
        """
        if head <= self.offset:
            self.read_at = max(self.read_at, now - age)
        else:
            self._relays = [*self._relays[1 - MAX_RELAYS :], (head, now - age)]

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
        last = self._peer_reports.get(member)
        if member in self._members and (last is None or now >= last.asked):
            self._peer_reports[member] = _PeerReport(now, reachable, offset)

    def on_peer_absent(self, member: Incarnation, now: float) -> None:
        """Notes that the process of a member does not exist any more.

        Its host refused a connection, or a new incarnation spoke from its
        address.
        """
        if member in self._members:
            self._absent.setdefault(member, now)

    def report_reachability(self, now: float) -> bool:
        """Returns what to tell the peers about access to the log.

        It is false from half of `fresh` after the last head read on, so that
        in an outage the statements of all peers arrive before the read is too
        old, and nobody stops in between. A log that answers more slowly than
        that counts as unreachable.
        """
        reachable = now - max(self.own_read_at, self.read_at) <= self.fresh / 2
        if not reachable:
            self._reported_unreachable_at = now
        return reachable

    def may_append(self, now: float) -> bool:
        """Returns whether control records may be appended.

        Telling an operator that a record was accepted waits for this too.
        """
        return now - self._reported_unreachable_at > self.append_pause

    def is_fresh(self, now: float) -> bool:
        """Returns whether this entry may act at `now`."""
        if self.me not in self._members:
            return False
        if now - self.read_at <= self.fresh:
            return True
        return next(iter(self._list_stale_reasons(now)), None) is None

    def explain(self, now: float) -> str:
        """Returns one sentence that says why `is_fresh` is as it is."""
        if self.me not in self._members:
            return "stale: this incarnation is not a member"
        age = now - self.read_at
        if age <= self.fresh:
            return f"fresh: log read to its head {age:.2f} s ago"
        reasons = list(self._list_stale_reasons(now))
        if not reasons:
            return "fresh: no member can reach the log or holds a newer offset"
        return f"stale: log read {age:.1f} s ago; " + "; ".join(reasons)

    def _list_stale_reasons(self, now: float) -> Iterable[str]:
        """Yields what keeps the rule for a log outage from holding."""
        if self.known_offset > self.offset:
            yield "a newer record is known but not folded"
        for peer in sorted(self._members - {self.me}):
            last = self._peer_reports.get(peer)
            if peer in self._absent:
                if not self._appended_nothing(peer, last):
                    yield f"{peer} is gone and may have appended before"
            elif last is None or now - last.asked > self.fresh:
                yield f"{peer} is silent"
            elif last.reachable:
                yield f"{peer} can reach the log"
            elif last.offset > self.offset:
                yield f"{peer} holds a newer offset"

    def _appended_nothing(
        self, peer: Incarnation, last: _PeerReport | None
    ) -> bool:
        """Returns whether a gone member left nothing that is not folded.

        Either the log was read to its head after the member was gone, or the
        member was gone while its promise to append nothing was in force.
        """
        gone = self._absent[peer]
        if self.read_at >= gone:
            return True
        return (
            last is not None
            and not last.reachable
            and last.offset <= self.offset
            and gone - last.asked <= self.fresh
        )


if __name__ == "__main__":
    one, two = Incarnation("one/1"), Incarnation("two/1")
    freshness = Freshness(one)
    freshness.set_members([one, two])
    freshness.on_head_read(10.0)
    print(freshness.explain(11.0))
    print(freshness.explain(20.0))
