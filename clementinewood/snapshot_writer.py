"""Appends snapshots of the folded state before its records expire."""

from clementinewood import event, identifiers, logclient, record, state

WRITER_FAILOVER_SECONDS = 30.0
"""Seconds that each member has to write a due snapshot before the next member
does, and seconds until a member retries if no snapshot was stored."""


class SnapshotWriter:
    """Decides when this entry writes a snapshot, and appends it.

    Args:
        me: Incarnation of this entry.
        control: The control stream.
        folded: State folded from it.
    """

    def __init__(
        self,
        me: identifiers.Incarnation,
        control: logclient.LogClient,
        folded: state.ControlState,
    ) -> None:
        self.gap_at = float("-inf")
        self._me = me
        self._control = control
        self._state = folded
        self._due_since: float | None = None
        self._sent_at = float("-inf")

    def write(self, now: float) -> None:
        """Appends a snapshot if one is due and it is this entry's turn.

        The first member writes it, and each further member waits longer, so
        that a stopped writer is replaced without all members writing at once.
        """
        if not self._control.reachable:
            return
        retained = self._control.retained_from
        bootstrap = None
        if (self._control.last_head_read or 0.0) > self.gap_at:
            # Before that read the log may contain records not read here.
            bootstrap = self._state.create_bootstrap_payload(
                retained_from=retained, head=self._control.next_offset
            )
        members = list(self._state.members)
        rank = members.index(self._me) if self._me in members else None
        due = rank is not None and self._state.is_snapshot_due(
            retained_from=retained
        )
        if bootstrap is None and not due:
            self._due_since = None
            self._sent_at = float("-inf")
            return
        if self._due_since is None:
            self._due_since = now
        wait = WRITER_FAILOVER_SECONDS * (rank or 0)
        if (
            now - self._due_since < wait
            or now - self._sent_at < WRITER_FAILOVER_SECONDS
        ):
            return
        self._sent_at = now
        payload = bootstrap or self._state.create_snapshot_payload()

        def report(outcome: logclient.AppendResult) -> None:
            event.emit(
                event.Event.SNAPSHOT_APPENDED
                if isinstance(outcome, logclient.Appended)
                else event.Event.SNAPSHOT_FAILED,
                next_offset=payload.next_offset,
                bytes=len(payload.content),
                outcome=type(outcome).__name__,
            )

        self._control.append(record.create_record(self._me, payload), report)
