"""Refuses jobs at an entry that the leader's load report predicts as useless.

Load pattern: see `completionforecast`.
"""

import dataclasses
from collections.abc import Callable, Iterable

from clementinewood import (
    catalog,
    completionforecast,
    dispatchdriver,
    event,
    feed,
    identifiers,
    job,
    jobtable,
    loadreport,
    loadreporter,
    metric,
    teamrate,
    timer,
    verdict,
)

READ_DELAY_SECONDS = 0.05
"""Time for which refusals wait for a common read of the log of jobs. Each read
is paid for, and callers refused now return after a second at the earliest."""

READ_TIMEOUT_SECONDS = 0.3
"""How long a refusal waits for that read. Without it, the job is passed on to
the store, which may be the one that does not answer."""

LINE_INTERVAL_SECONDS = 1.0
"""Least time between two lines about refusals of one team on one queue."""


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingRefusal:
    """A job that is refused unless the log has it.

    Attributes:
        accepted: The job.
        on_admitted: Called if it is not refused.
        on_refused: Called with the refusal.
    """

    accepted: job.Job
    on_admitted: Callable[[], None]
    on_refused: Callable[[verdict.Refusal], None]


class JobAdmission:
    """Decides at one entry whether a new job is refused for load.

    Args:
        enabled: Whether jobs may be refused.
        jobs_feed: Feed of the log of jobs.
        timers: Timer service.
        metrics: Instruments.
        wall: Source of Unix time in seconds.
        read_table: Returns the job table.
        find_config: Returns the configuration in force, or None.
        find_term: Returns the newest term that the entry knows, or None.
        is_pending: Returns whether the append of a key is not decided.
    """

    def __init__(
        self,
        *,
        enabled: bool,
        jobs_feed: feed.Feed,
        timers: timer.TimerService,
        metrics: metric.Metrics,
        wall: Callable[[], float],
        read_table: Callable[[], jobtable.JobTable],
        find_config: Callable[[], catalog.Configuration | None],
        find_term: Callable[[], identifiers.Term | None],
        is_pending: Callable[[str], bool],
    ) -> None:
        self._enabled = enabled
        self._jobs_feed = jobs_feed
        self._timers = timers
        self._metrics = metrics
        self._wall = wall
        self._read_table = read_table
        self._find_config = find_config
        self._find_term = find_term
        self._is_pending = is_pending
        self._report_stored_after = float("-inf")
        self._reporter: loadreporter.LoadReporter | None = None
        self._team_buckets = teamrate.TeamTokenBuckets()
        self._retries = completionforecast.RetryPlanner()
        self._pending: list[_PendingRefusal] = []
        self._logged_at: dict[
            tuple[identifiers.QueueId, identifiers.TeamId], float
        ] = {}
        self._unlogged = 0
        metrics.observe(metric.PREDICTED_WAIT, self._read_waits)
        metrics.observe(metric.WAITING_JOBS, self._read_waiting_jobs)

    # Leader.

    def start_reporting(self, driver: dispatchdriver.DispatchDriver) -> None:
        """Stores load reports while this entry leads."""
        if self._enabled:
            self._reporter = loadreporter.LoadReporter(
                driver, self._timers, self.observe_report
            )

    def stop_reporting(self) -> None:
        """Stores no more load reports."""
        if self._reporter is not None:
            self._reporter.stop()
            self._reporter = None

    def _read_waits(self) -> Iterable[metric.Reading]:
        return self._reporter.read_waits() if self._reporter else ()

    def _read_waiting_jobs(self) -> Iterable[metric.Reading]:
        return self._reporter.read_waiting_jobs() if self._reporter else ()

    # Entry.

    def observe_report(self, stored_after: float) -> None:
        """Notes the age of the report that the job table has.

        Args:
            stored_after: Monotonic time in seconds after which it was stored.
        """
        self._report_stored_after = stored_after

    def observe_job(self, accepted: job.Job) -> None:
        """Counts a stored job for its team's rate, unless it is an old one."""
        config = self._find_config()
        team = config.teams.get(accepted.team) if config is not None else None
        age = self._wall() - accepted.accepted
        if (
            self._enabled
            and team is not None
            and not accepted.long_running
            and age <= teamrate.BURST_SECONDS
        ):
            now = self._timers.clock()
            self._team_buckets.take(team.name, team.weight, now)

    def admit(
        self,
        accepted: job.Job,
        on_admitted: Callable[[], None],
        on_refused: Callable[[verdict.Refusal], None],
    ) -> None:
        """Decides about a new job that this entry does not know.

        Args:
            accepted: The job.
            on_admitted: Called if it is not refused.
            on_refused: Called with the refusal.
        """
        if self._predict(accepted) is None:
            on_admitted()
            return
        self._pending.append(_PendingRefusal(accepted, on_admitted, on_refused))
        if len(self._pending) == 1:
            self._timers.subscribe_once(READ_DELAY_SECONDS, self._read_log)

    def _read_log(self) -> None:
        """Reads whether the log has the jobs that are to be refused."""
        pending, self._pending = self._pending, []

        def finish(known: bool) -> None:
            for item in pending:
                self._decide(item, known=known)

        self._jobs_feed.call_when_caught_up(finish, READ_TIMEOUT_SECONDS)

    def _decide(self, pending: _PendingRefusal, *, known: bool) -> None:
        accepted = pending.accepted
        found = self._predict(accepted)
        if found is None or not known:
            pending.on_admitted()
            return
        load, prediction = found
        seconds = self._retries.plan(
            accepted.team, load, prediction, self._timers.clock()
        )
        self._metrics.count(metric.LOAD_REFUSALS, pool=load.pool)
        self._log_refusal(accepted, prediction, seconds)
        pending.on_refused(
            verdict.Refusal(
                verdict.Reason.OVERLOADED,
                detail="The job would complete too late to be of use.",
                retry_after=float(seconds),
            )
        )

    def _predict(
        self, accepted: job.Job
    ) -> tuple[loadreport.PoolLoad, completionforecast.Prediction] | None:
        """Returns why a job is to be refused, or None if it is not."""
        table = self._read_table()
        report, term = table.load, self._find_term()
        config = self._find_config()
        now = self._timers.clock()
        if (
            not self._enabled
            or report is None
            or term is None
            or config is None
            or not loadreport.is_usable(
                report,
                term=term,
                stored_after=self._report_stored_after,
                now=now,
            )
        ):
            return None
        queue = config.queues.get(accepted.queue)
        load = report.pools.get(queue.pool) if queue is not None else None
        if queue is None or load is None or self._is_exempt(accepted, table):
            return None
        prediction = completionforecast.predict(
            accepted,
            queue,
            load,
            over_rate=accepted.team in report.over_rate
            and not self._has_token(accepted.team, config, now),
        )
        return (load, prediction) if prediction.excess > 0.0 else None

    def _is_exempt(self, accepted: job.Job, table: jobtable.JobTable) -> bool:
        """Whether a job is never refused: it is not short, or is known."""
        job_id = accepted.job_id
        key = jobtable.render_key(jobtable.RecordKind.JOB, job_id)
        return (
            accepted.long_running
            or accepted.start > 0.0
            or accepted.occurrences > 1
            or table.find(job_id) is not None
            or table.is_cancelled(job_id)
            or self._is_pending(key)
        )

    def _has_token(
        self,
        team_id: identifiers.TeamId,
        config: catalog.Configuration,
        now: float,
    ) -> bool:
        """Whether a job of a team may be within the team's rate.

        Like the leader, every entry counts the accepted jobs, but it reads
        those of other entries later. So together they may accept more than the
        rate, and none refuses a job within it.
        """
        team = config.teams.get(team_id)
        return team is None or self._team_buckets.has_token(
            team_id, team.weight, now
        )

    def _log_refusal(
        self,
        accepted: job.Job,
        prediction: completionforecast.Prediction,
        seconds: int,
    ) -> None:
        key = (accepted.queue, accepted.team)
        now = self._timers.clock()
        logged_at = self._logged_at.get(key, float("-inf"))
        if now - logged_at < LINE_INTERVAL_SECONDS:
            self._unlogged += 1
            return
        self._logged_at[key] = now
        event.emit(
            event.Event.JOB_REFUSED_FOR_LOAD,
            job=accepted.job_id,
            queue=accepted.queue,
            team=accepted.team,
            wait=round(prediction.wait, 1),
            retry_after=seconds,
            unlogged=self._unlogged,
        )
        self._unlogged = 0
