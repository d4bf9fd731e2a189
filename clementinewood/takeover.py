"""Collects completions that other entries have reported, at a term's start.

Load pattern: the store turns the leader and some other entries away and serves
the rest. The leader knows from the minions' reports which jobs are completed,
and the other entries tell their callers; none of them can store it. Another
entry becomes the leader meanwhile. If a minion with the only outcomes crashes,
the new leader would run such a job again, so it first asks every entry which
completions were reported. An entry that has been asked accepts no more of them
from former leaders.
"""

from collections.abc import Callable

from clementinewood import entrydirectory, event, identifiers, ports, timer

ATTEMPTS = 2
"""Requests to an entry that does not answer."""

ATTEMPT_TIMEOUT_SECONDS = 0.5
"""Longest wait for one answer. All attempts end within the second in which a
new leader takes no minion of its predecessor for lost."""


MAX_SECONDS = ATTEMPTS * ATTEMPT_TIMEOUT_SECONDS
"""Longest wait for all answers, whatever becomes of the requests."""


class CompletionCollector:
    """Asks the other entries of the site.

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

    def collect(
        self,
        takeover: ports.Takeover,
        on_completion: Callable[[identifiers.JobId], None],
        on_done: Callable[[], None],
    ) -> None:
        """Asks every other entry for the completions that it has reported.

        Args:
            takeover: The new leadership.
            on_completion: Called with each job that was reported as completed.
            on_done: Called once, perhaps at once, when all have answered or
                all attempts have ended, within `MAX_SECONDS`.
        """
        collection = _Collection(
            takeover,
            list(self._directory.peers.values()),
            self._peers,
            on_completion,
            on_done,
        )
        self._timers.subscribe_once(MAX_SECONDS, collection.finish)
        collection.start()


class _Collection:
    """One round of questions."""

    def __init__(
        self,
        takeover: ports.Takeover,
        entries: list[entrydirectory.EntryAddress],
        peers: ports.Peers,
        on_completion: Callable[[identifiers.JobId], None],
        on_done: Callable[[], None],
    ) -> None:
        self._takeover = takeover
        self._entries = entries
        self._peers = peers
        self._on_completion = on_completion
        self._on_done = on_done
        self._waiting = {entry.entry_id for entry in entries}
        self._done = False
        self._silent: list[identifiers.EntryId] = []
        self._completions: set[identifiers.JobId] = set()

    def start(self) -> None:
        for entry in self._entries:
            self._ask(entry, ATTEMPTS)
        if not self._entries:
            self.finish()

    def _ask(self, entry: entrydirectory.EntryAddress, attempts: int) -> None:
        self._peers.collect(
            entry.address,
            self._takeover,
            ATTEMPT_TIMEOUT_SECONDS,
            lambda outcome: self._handle(entry, attempts - 1, outcome),
        )

    def _handle(
        self,
        entry: entrydirectory.EntryAddress,
        attempts_left: int,
        outcome: ports.CollectResult,
    ) -> None:
        match outcome:
            case ports.Completions(job_ids):
                for job_id in job_ids:
                    self._completions.add(job_id)
                    self._on_completion(job_id)
            case ports.Failed() if attempts_left:
                self._ask(entry, attempts_left)
                return
            case ports.Failed():
                self._silent.append(entry.entry_id)
        self._waiting.discard(entry.entry_id)
        if not self._waiting:
            self.finish()

    def finish(self) -> None:
        """Ends the wait; answers that arrive later are still passed on."""
        if self._done:
            return
        self._done = True
        silent = {*self._silent, *self._waiting}
        if self._completions or silent:
            event.emit(
                event.Event.COMPLETIONS_COLLECTED,
                term=self._takeover.term,
                completions=len(self._completions),
                entries=len(self._entries),
                silent=",".join(sorted(silent)),
            )
        self._on_done()
