"""Decides whether an entry may act on the configuration it has folded."""

import dataclasses
from collections.abc import Iterable

from clementinewood import identifiers

Incarnation = identifiers.Incarnation

MAX_RELAYS = 8
"""Most relayed log heads kept until the records up to them are folded."""


@dataclasses.dataclass(frozen=True, slots=True)
class _PeerReport:
    """Last report of a peer about its access to the log.

    Attributes:
        asked: Monotonic time in seconds at which the peer was asked.
        reachable: Whether the peer could reach the log.
        offset: Highest offset known to the peer.
    """

    asked: float
    reachable: bool
    offset: int


class Freshness:
    """Decides from log reads and peers' reports whether the entry may act.

    The transit time of a message is unknown. A peer's report therefore dates
    from the time at which this entry sent the request, never from its arrival.

    By reporting that it can't reach the log, an entry also promises to append
    nothing to the control stream for `append_pause` seconds (see `may_append`).
    Others rely on this if the entry ends soon after.

    Args:
        me: Incarnation of this entry.
        fresh: Seconds for which reads and reports are valid.
        append_pause: Seconds without appends after reporting that the log can't
            be reached; must exceed `fresh` by the difference in clock rates.
    """

    def __init__(
        self, me: Incarnation, *, fresh: float = 2.0, append_pause: float = 3.0
    ) -> None:
        if append_pause <= fresh:
            raise ValueError(
                f"append_pause of {append_pause} s must exceed fresh of"
                f" {fresh} s"
            )
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
        """Sets the membership as last folded from the log.

        Args:
            members: All members. An entry that is not a member is stale.
        """
        self._members = frozenset(members)
        for table in (self._peer_reports, self._absent):
            for member in table.keys() - self._members:
                del table[member]

    def on_offset(self, offset: int) -> None:
        """Records that all records up to `offset` are folded."""
        self.offset = max(self.offset, offset)
        self.on_known_offset(offset)
        for head, at in self._relays:
            if head <= self.offset:
                self.read_at = max(self.read_at, at)
        self._relays = [r for r in self._relays if r[0] > self.offset]

    def on_known_offset(self, offset: int) -> None:
        """Records that a record at `offset` exists, such as an own append."""
        self.known_offset = max(self.known_offset, offset)

    def on_head_read(self, now: float) -> None:
        """Records that a read sent at `now` reached the head and is folded."""
        self.own_read_at = max(self.own_read_at, now)
        self.read_at = max(self.read_at, now)

    def on_relay(self, age: float, now: float, *, head: int) -> None:
        """Records that a peer has read the log to its head.

        Args:
            age: Seconds since the peer sent that read, by the peer's clock.
            now: Monotonic time in seconds at which this entry sent the
                request to which the peer responds.
            head: Offset of the last record of that read; the read counts
                once this entry has folded the records up to it.
        """
        if head <= self.offset:
            self.read_at = max(self.read_at, now - age)
        else:
            self._relays = [*self._relays[1 - MAX_RELAYS :], (head, now - age)]

    def on_peer_status(
        self, member: Incarnation, reachable: bool, offset: int, now: float
    ) -> None:
        """Records a peer's report about its access to the log.

        Args:
            member: The peer.
            reachable: Whether it can reach the log.
            offset: Highest offset known to the peer.
            now: Monotonic time in seconds at which this entry sent the
                request to which the peer responds.
        """
        last = self._peer_reports.get(member)
        if member in self._members and (last is None or now >= last.asked):
            self._peer_reports[member] = _PeerReport(now, reachable, offset)

    def on_peer_absent(self, member: Incarnation, now: float) -> None:
        """Records that a member's process has ended.

        Its host refused a connection, or a new incarnation responded at its
        address.
        """
        if member in self._members:
            self._absent.setdefault(member, now)

    def report_reachability(self, now: float) -> bool:
        """Returns whether to report the log as reachable to the peers.

        It is false from half of `fresh` after the last read to the head, so
        that in an outage the reports of all peers arrive before that read
        expires, and no entry becomes stale in between. A log that responds
        more slowly than that counts as unreachable.
        """
        reachable = now - max(self.own_read_at, self.read_at) <= self.fresh / 2
        if not reachable:
            self._reported_unreachable_at = now
        return reachable

    def may_append(self, now: float) -> bool:
        """Returns whether control records may be appended.

        A record is confirmed to an operator only while this holds.
        """
        return now - self._reported_unreachable_at > self.append_pause

    def is_fresh(self, now: float) -> bool:
        """Returns whether this entry may act at monotonic time `now`."""
        if self.me not in self._members:
            return False
        if now - self.read_at <= self.fresh:
            return True
        return next(iter(self._list_stale_reasons(now)), None) is None

    def explain(self, now: float) -> str:
        """Returns one sentence with the reason for the result of `is_fresh`."""
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
        """Yields the reasons why the rule for a log outage does not apply."""
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
        """Returns whether all appends of an absent member are folded.

        Either the log was read to its head after the member was found absent,
        or that happened while its promise to append nothing was in force.
        """
        absent_since = self._absent[peer]
        if self.read_at >= absent_since:
            return True
        return (
            last is not None
            and not last.reachable
            and last.offset <= self.offset
            and absent_since - last.asked <= self.fresh
        )


if __name__ == "__main__":
    one, two = Incarnation("one/1"), Incarnation("two/1")
    freshness = Freshness(one)
    freshness.set_members([one, two])
    freshness.on_head_read(10.0)
    print(freshness.explain(11.0))
    print(freshness.explain(20.0))
