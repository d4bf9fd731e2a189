"""Stores completions that callers know of before the leader has stored them.

Load pattern: the store takes nothing for seconds, while jobs end and callers
ask for their states. The leader knows from the minions' reports which jobs are
completed, and other entries pass this on to callers. If the leader and a minion
with the outcomes are lost before the store is back, the next leader would run
such a job again; the entries that have reported it store it for that case. A
leader that is elected before that asks them (`takeover`).
"""

from collections.abc import Callable

from clementinewood import event, identifiers, jobtable, ports, timer

CHECK_INTERVAL_SECONDS = 0.1
"""Period of checking whether the store is back."""

LEADER_HEAD_START_SECONDS = 0.5
"""Time in which the leader stores its progress once the store is back, so that
nothing is left to do. It is shorter than the leader timeout: a successor reads
what is stored here before it dispatches."""

APPEND_TIMEOUT_SECONDS = 3.0
"""Time after which an append without an outcome is repeated."""

Append = Callable[
    [str, bytes, float, Callable[[ports.AppendResult], None]], None
]


class CompletionRecorder:
    """Stores reported completions unless the leader does so first.

    Args:
        table: All jobs of the site.
        append: Stores a record within a number of seconds.
        timers: Timer service.
        is_log_current: Returns whether the dispatch log was read recently.
    """

    def __init__(
        self,
        table: jobtable.JobTable,
        append: Append,
        timers: timer.TimerService,
        is_log_current: Callable[[], bool],
    ) -> None:
        self._table = table
        self._append = append
        self._timers = timers
        self._is_log_current = is_log_current
        self._pending: set[identifiers.JobId] = set()
        self._in_flight: set[identifiers.JobId] = set()
        self._current_since: float | None = None

    def add(self, job_id: identifiers.JobId) -> None:
        """Adds a job whose completion is reported to a caller."""
        if self._table.has_ended(job_id):
            return
        # This entry may not have read the job itself yet.
        self._table.report_completion(job_id)
        if not self._pending:
            self._schedule_check()
        self._pending.add(job_id)

    @property
    def pending(self) -> frozenset[identifiers.JobId]:
        """Jobs whose reported completion is not stored as far as is known."""
        return frozenset(self._pending)

    def _schedule_check(self) -> None:
        self._timers.subscribe_once(CHECK_INTERVAL_SECONDS, self._check)

    def _check(self) -> None:
        now = self._timers.clock()
        if not self._is_log_current():
            self._current_since = None
        elif self._current_since is None:
            self._current_since = now
        for job_id in list(self._pending):
            if self._table.has_ended(job_id):
                self._pending.discard(job_id)
        since = self._current_since
        if since is not None and now - since >= LEADER_HEAD_START_SECONDS:
            for job_id in sorted(self._pending - self._in_flight):
                self._store(job_id)
        if self._pending:
            self._schedule_check()

    def _store(self, job_id: identifiers.JobId) -> None:
        def handle(outcome: ports.AppendResult) -> None:
            self._in_flight.discard(job_id)
            if isinstance(outcome, ports.Appended):
                self._pending.discard(job_id)
                event.emit(event.Event.COMPLETION_STORED, job=job_id)

        self._in_flight.add(job_id)
        key = jobtable.render_key(jobtable.RecordKind.COMPLETION, job_id)
        self._append(key, b"1", APPEND_TIMEOUT_SECONDS, handle)
