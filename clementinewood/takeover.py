"""Announces a new leader to the other entries of the site.

Load pattern: the store turns some entries away and serves the rest. An entry
that it turns away can't read that the leader has changed and would go on asking
the former one for the states of jobs.
"""

from clementinewood import entrydirectory, ports, timer

ATTEMPTS = 2
"""Requests to an entry that does not answer."""

ATTEMPT_TIMEOUT_SECONDS = 0.5
"""Longest wait for one answer."""


class LeaderAnnouncer:
    """Tells every other entry who leads, without waiting for the answers.

    Args:
        directory: The entries of the site.
        peers: Sends requests to them.
        timers: Timer service.
    """

    def __init__(
        self,
        directory: entrydirectory.EntryDirectory,
        peers: ports.Peers,
        timers: timer.TimerService,
    ) -> None:
        self._directory = directory
        self._peers = peers
        self._timers = timers

    def announce(self, takeover: ports.Takeover) -> None:
        """Sends the announcement to the entries known now."""
        for entry in list(self._directory.peers.values()):
            self._send(entry, takeover, ATTEMPTS)

    def _send(
        self,
        entry: entrydirectory.EntryAddress,
        takeover: ports.Takeover,
        attempts: int,
    ) -> None:
        def handle(outcome: ports.PeerResult) -> None:
            if isinstance(outcome, ports.Failed) and attempts > 1:
                self._send(entry, takeover, attempts - 1)

        self._peers.announce(
            entry.address, takeover, ATTEMPT_TIMEOUT_SECONDS, handle
        )
