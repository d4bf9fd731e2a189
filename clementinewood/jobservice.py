"""Accepts, describes and cancels jobs at one entry of the job service.

Every entry folds the same log and can serve any caller; one entry at a time
is the dispatcher.
"""

import dataclasses
import enum
import functools
import random
import time
from collections.abc import Callable, Sequence

from clementinewood import (
    catalog,
    dispatchdriver,
    event,
    feed,
    fencedlog,
    holdreport,
    identifiers,
    job,
    jobadmission,
    jobtable,
    jobwriter,
    leaderelector,
    loadreport,
    metric,
    ports,
    schedulingsettings,
    takeover,
    timer,
    verdict,
)

CONFIGURATION_STALE_SECONDS = 3.0
"""Age of the configuration from which no key is accepted any more: a key must
stop working within five seconds of its revocation."""

TABLE_STALE_SECONDS = 2.6
"""Age of the job table from which the entry is not ready for callers. An idle
feed gets as old as two long polls and one read interval, and every entry must
know a job three seconds after it was accepted."""

FOLLOWER_JOBS_READ_INTERVAL_SECONDS = 0.5
"""Least time between two reads of new jobs by a follower. Each read is paid
for, and a request about an unknown job triggers a read at once."""

FOLLOWER_DISPATCH_READ_INTERVAL_SECONDS = 0.25
"""Least time between two reads of the dispatcher's records by a follower; they
also show that the dispatcher has resigned."""

DISPATCH_LONG_POLL_SECONDS = 0.4
"""How long a read of the dispatcher's records waits for one: only a completed
read shows that there was no renewal."""

DISPATCHER_JOBS_READ_INTERVAL_SECONDS = 0.015
"""Least time between two reads of new jobs by the dispatcher; they wait for it
to start them."""

DISPATCHER_DISPATCH_READ_INTERVAL_SECONDS = 1.0
"""Least time between two reads of the dispatcher's records by itself: the store
fences it before it could read that another entry has begun a term."""

STATE_STALE_SECONDS = 0.8
"""Age of the dispatch log from which the leader is asked for a job's state. An
idle feed gets as old as one long poll and one read interval."""

CANCELLATIONS_STALE_SECONDS = 2.0
"""Age of the log of jobs from which the leader starts nothing. Nothing of a job
may start three seconds after its cancellation was acknowledged."""

DEADLINE_MARGIN_SECONDS = 0.15
"""Time before a caller's deadline by which the response is sent."""

STATE_REFRESH_TIMEOUT_SECONDS = 0.02
"""How long a request about a known job waits for a newer read of the log."""

UNKNOWN_JOB_TIMEOUT_SECONDS = 1.0
"""How long a request about an unknown job waits for a read that began after it;
without one, the entry can't say that there is no such job."""

STORE_RETRY_AFTER_SECONDS = 1.0
"""Retry-After value while the store does not accept jobs: outages last seconds,
and another entry may reach the store."""


_SYSTEM_RANDOM = random.SystemRandom()


class RequestKind(enum.Enum):
    """Operation that a caller requests."""

    SUBMIT = "submit"
    DESCRIBE = "describe"
    CANCEL = "cancel"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerRequest:
    """Request of a caller, before it is checked.

    Attributes:
        kind: Requested operation.
        host: Host that was addressed.
        path: Path that was addressed.
        credentials: Key sent with the request, if any.
        timeout_seconds: Seconds that the caller waits for a response.
    """

    kind: RequestKind
    host: str
    path: str
    credentials: str | None
    timeout_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The job is stored, by this request or an earlier one."""


@dataclasses.dataclass(frozen=True, slots=True)
class JobDescription:
    """Current state of a job.

    Attributes:
        state: The state.
    """

    state: job.JobState


@dataclasses.dataclass(frozen=True, slots=True)
class Cancelled:
    """The job is cancelled or has ended."""


@dataclasses.dataclass(frozen=True, slots=True)
class PendingCount:
    """Number of jobs of a queue that have not started."""

    pending: int


Answer = Accepted | JobDescription | Cancelled | PendingCount | verdict.Refusal
OnAnswer = Callable[[Answer], None]


@dataclasses.dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """Queue, team and subpath of an admitted request.

    Attributes:
        queue: The queue.
        team: Team of the key; empty on queues open to all.
        subpath: The path after the queue's prefix.
    """

    queue: catalog.Queue
    team: identifiers.TeamId
    subpath: str


class JobService:
    """Serves callers at one entry and dispatches while it is the leader.

    Args:
        entry_id: Name of this host.
        store: The platform's store.
        minions: Sends orders to minions.
        machines: Sends machine orders; None if there is no machine service.
        policy: The policy service; None if there is none.
        decoder: Decodes the platform's records.
        timers: Timer service.
        metrics: Instruments.
        lease_seconds: Least time in seconds between machine orders of two
            dispatchers.
        early_seconds: Seconds by which a timed job may start early.
        link_bytes_per_second: Capacity of this host's link; 0 if unknown.
        announcer: Tells other entries of a new term; None if they can't be
            told.
        scheduling: Scheduling features in use.
        wall: Source of Unix time in seconds.
        random_fraction: Source of random numbers from 0 to 1.

    Attributes:
        announcer: As in `Args`.
        declared: The operators' current declarations.
        draining: Whether the entry is stopping.
        table: All jobs of the site.
        elector: Takes part in the leader election for this entry.
    """

    def __init__(
        self,
        entry_id: identifiers.EntryId,
        *,
        store: ports.Store,
        minions: ports.Minions,
        machines: ports.Machines | None,
        policy: ports.Policy | None,
        decoder: ports.Decoder,
        timers: timer.TimerService,
        metrics: metric.Metrics,
        lease_seconds: float = 3.0,
        early_seconds: float = 0.0,
        link_bytes_per_second: float = 0.0,
        announcer: takeover.LeaderAnnouncer | None = None,
        scheduling: schedulingsettings.SchedulingSettings = (
            schedulingsettings.DEFAULTS
        ),
        wall: Callable[[], float] = time.time,
        random_fraction: Callable[[], float] = _SYSTEM_RANDOM.random,
    ) -> None:
        self.declared = ports.Declarations(None, frozenset(), ())
        self.draining = False
        self.table = jobtable.JobTable(timers.clock)
        self.incarnation = identifiers.create_incarnation(entry_id)
        self.announcer = announcer
        self._announced: ports.Takeover | None = None
        self._observed_version = -1
        self._observed_completions: set[identifiers.JobId] = set()
        self._recovered_at = float("-inf")
        self._store = store
        self._minions = minions
        self._machines = machines
        self._policy = policy
        self._decoder = decoder
        self._timers = timers
        self._metrics = metrics
        self._early_seconds = early_seconds
        self._lease_seconds = lease_seconds
        self._scheduling = scheduling
        self._wall = wall
        self._writer = jobwriter.JobWriter(
            store,
            timers,
            on_stored=self._apply_own,
            is_store_unresponsive=self._is_store_unresponsive,
        )
        metrics.observe(
            metric.DISPATCHING, lambda: [({}, float(self.dispatching))]
        )
        self._jobs_feed = feed.Feed(
            store,
            ports.Stream.JOBS,
            timers,
            on_snapshot=self._fold,
            on_records=self._fold,
            on_caught_up=lambda: self.elector.handle_jobs_caught_up(),
            min_read_interval=FOLLOWER_JOBS_READ_INTERVAL_SECONDS,
            record_load=lambda seconds: self._record_load(
                ports.Stream.JOBS, seconds
            ),
            on_recovered=self._handle_store_recovered,
        )
        self._dispatch_feed = feed.Feed(
            store,
            ports.Stream.DISPATCH,
            timers,
            on_snapshot=self._load_dispatch,
            on_records=self._fold,
            on_caught_up=lambda: self.elector.handle_log_caught_up(),
            min_read_interval=FOLLOWER_DISPATCH_READ_INTERVAL_SECONDS,
            long_poll_seconds=DISPATCH_LONG_POLL_SECONDS,
            record_load=lambda seconds: self._record_load(
                ports.Stream.DISPATCH, seconds
            ),
            on_recovered=self._handle_store_recovered,
        )
        self.elector = leaderelector.LeaderElector(
            self.incarnation,
            store=store,
            dispatch_feed=self._dispatch_feed,
            jobs_feed=self._jobs_feed,
            timers=timers,
            random_fraction=random_fraction,
            lease_seconds=lease_seconds,
            link_bytes_per_second=link_bytes_per_second,
            create_driver=self._create_driver,
            on_elected=self._on_elected,
            on_stepped_down=self._on_stepped_down,
        )
        self._admission = jobadmission.JobAdmission(
            enabled=scheduling.admission,
            jobs_feed=self._jobs_feed,
            timers=timers,
            metrics=metrics,
            wall=wall,
            read_table=lambda: self.table,
            find_config=lambda: self.declared.configuration,
            find_term=self._find_term,
            is_pending=lambda key: key in self._writer.pending(),
        )
        self._declarations_feed = feed.Feed(
            store,
            ports.Stream.DECLARATIONS,
            timers,
            on_snapshot=self._load_declarations,
            on_records=self._fold_declarations,
            record_load=lambda seconds: self._record_load(
                ports.Stream.DECLARATIONS, seconds
            ),
            on_recovered=self._handle_store_recovered,
        )

    def start(self) -> None:
        """Starts following the store and the leader election."""
        self._jobs_feed.start()
        self._dispatch_feed.start()
        self._declarations_feed.start()
        self.elector.start()

    def stop(self) -> None:
        """Resigns as dispatcher; callers are still served."""
        self.draining = True
        self.elector.resign()

    @property
    def dispatching(self) -> bool:
        """Whether this entry is the dispatcher."""
        return self._driver is not None

    def read_readiness(self) -> tuple[bool, str]:
        """Returns whether the entry is ready for callers, and the reason."""
        if self.draining:
            return False, "stopping"
        if self.declared.configuration is None:
            return False, "no configuration yet"
        if (
            self._declarations_feed.seconds_since_current()
            > CONFIGURATION_STALE_SECONDS
        ):
            return False, "configuration is stale"
        if self._table_age() > TABLE_STALE_SECONDS:
            return False, "job log is stale"
        return True, "ready"

    def read_configuration_age(self) -> tuple[int, float]:
        """Returns the version in force and its age in seconds."""
        return (
            self._version(),
            self._declarations_feed.seconds_since_current(),
        )

    # Callers.

    def observe_version(self, version: int) -> None:
        """Notes the configuration by which another entry has answered."""
        self._observed_version = max(self._observed_version, version)

    def read_newest_version(self) -> int:
        """Returns the newest version that this entry knows to be in force."""
        return max(self._version(), self._observed_version)

    def admit(
        self, request: CallerRequest, min_version: int = -1
    ) -> AdmittedRequest | verdict.Refusal:
        """Returns the queue and team of a request, or why it is refused.

        Args:
            request: The request.
            min_version: Version of the configuration that is known to be in
                force; one that is older is out of date.
        """
        config = self.declared.configuration
        if config is None:
            return _refuse(
                verdict.Reason.STALE_CONFIGURATION,
                "This entry has no configuration yet.",
            )
        age = self._declarations_feed.seconds_since_current()
        newest = max(min_version, self.read_newest_version())
        outdated = self._version() < newest
        stale = outdated or age > CONFIGURATION_STALE_SECONDS
        queue = config.find_queue(request.host, request.path)
        if queue is None:
            if stale:
                return _refuse(
                    verdict.Reason.STALE_CONFIGURATION,
                    "The configuration may be out of date.",
                )
            return verdict.Refusal(
                verdict.Reason.QUEUE_UNKNOWN, detail="No such queue."
            )
        team = identifiers.TeamId("")
        if request.credentials is not None:
            team = config.keys.get(request.credentials, team)
        if outdated:
            # A newer version may have dropped the queue, also an open one.
            return _refuse(
                verdict.Reason.STALE_CONFIGURATION,
                "A newer configuration is in force.",
            )
        if not queue.open_to_all:
            if stale:
                return _refuse(
                    verdict.Reason.STALE_CONFIGURATION,
                    "Keys can't be checked: the configuration may be out of"
                    " date.",
                )
            if request.credentials is None:
                return verdict.Refusal(
                    verdict.Reason.KEY_MISSING, detail="A key is required."
                )
            if not team:
                return verdict.Refusal(
                    verdict.Reason.KEY_UNKNOWN, detail="The key is not valid."
                )
        return AdmittedRequest(queue, team, request.path[len(queue.prefix) :])

    def submit(
        self, accepted: job.Job, timeout_seconds: float, on_answer: OnAnswer
    ) -> None:
        """Stores a job unless it is refused; it is accepted once stored.

        Args:
            accepted: The job.
            timeout_seconds: Seconds that the caller waits.
            on_answer: Called once with the outcome.
        """
        if self.table.find(accepted.job_id) is not None:
            on_answer(Accepted())
            return
        deadline = self._timers.clock() + timeout_seconds
        self._admission.admit(
            accepted,
            lambda: self._store_job(
                accepted, deadline - self._timers.clock(), on_answer
            ),
            on_answer,
        )

    def _store_job(
        self, accepted: job.Job, timeout_seconds: float, on_answer: OnAnswer
    ) -> None:
        if self.table.find(accepted.job_id) is not None:
            on_answer(Accepted())
            return
        key = jobtable.render_key(jobtable.RecordKind.JOB, accepted.job_id)
        record = ports.KeyedRecord(key, job.encode_job(accepted))
        limit = self._store.limits.record_bytes
        if record.size > limit:
            on_answer(
                verdict.Refusal(
                    verdict.Reason.MALFORMED,
                    detail=f"The job takes {record.size} bytes in the store,"
                    f" which allows {limit}.",
                )
            )
            return

        def answer(outcome: ports.AppendResult) -> None:
            match outcome:
                case ports.Appended():
                    event.emit(
                        event.Event.JOB_ACCEPTED,
                        job=accepted.job_id,
                        queue=accepted.queue,
                        team=accepted.team,
                        tasks=sum(step.count for step in accepted.steps),
                        version=self._version(),
                    )
                    on_answer(Accepted())
                case _:
                    on_answer(self._refuse_append(outcome))

        self._append(key, record.value, timeout_seconds, answer)

    def cancel(
        self,
        job_id: identifiers.JobId,
        timeout_seconds: float,
        on_answer: OnAnswer,
    ) -> None:
        """Cancels a job; the cancellation holds once it is stored."""
        self._find(
            job_id,
            lambda entry, known: self._cancel_found(
                job_id, entry, timeout_seconds, on_answer, known=known
            ),
            newest=False,
        )

    def _cancel_found(
        self,
        job_id: identifiers.JobId,
        entry: jobtable.JobEntry | None,
        timeout_seconds: float,
        on_answer: OnAnswer,
        *,
        known: bool,
    ) -> None:
        if entry is None and (not known or self.table.is_cancelled(job_id)):
            on_answer(_refuse_unknown(known=known))
            return
        if entry is not None and entry.state in job.TERMINAL:
            event.emit(
                event.Event.CANCEL_OF_ENDED_JOB,
                job=job_id,
                state=entry.state.value,
            )
            on_answer(Cancelled())
            return
        # Its submission may be on its way to the store, so the cancellation of
        # an unknown job is stored as well.
        key = jobtable.render_key(jobtable.RecordKind.CANCEL, job_id)

        def answer(outcome: ports.AppendResult) -> None:
            match outcome:
                case ports.Appended():
                    event.emit(event.Event.JOB_CANCELLED, job=job_id)
                    found = self.table.find(job_id) is not None
                    on_answer(
                        Cancelled() if found else _refuse_unknown(known=True)
                    )
                case _:
                    on_answer(self._refuse_append(outcome))

        self._append(key, b"1", timeout_seconds, answer)

    def describe(self, job_id: identifiers.JobId, on_answer: OnAnswer) -> None:
        """Reports the stored state of a job after the next read of the log.

        If that takes longer than `STATE_REFRESH_TIMEOUT_SECONDS`, the known
        state is reported.
        """

        def answer(entry: jobtable.JobEntry | None, known: bool) -> None:
            if entry is None:
                on_answer(_refuse_unknown(known=known))
            elif job_id in self._observed_completions:
                on_answer(JobDescription(job.JobState.COMPLETED))
            else:
                on_answer(JobDescription(entry.state))

        self._find(job_id, answer, newest=True)

    def find_state_source(
        self, job_id: identifiers.JobId
    ) -> identifiers.EntryId | None:
        """Returns the leader if it may know a newer state of a known job.

        Returns None if this entry's own state of the job is to be reported.
        """
        entry = self.table.find(job_id)
        leader = self._find_leader()
        if (
            entry is None
            or entry.state in job.TERMINAL
            or leader is None
            or self.dispatching
            or not self._is_state_stale()
        ):
            return None
        return identifiers.get_entry(leader.leader)

    def observe_completion(self, job_id: identifiers.JobId) -> None:
        """Remembers a stored completion that another entry has answered.

        Otherwise this entry would report an older state again while it can't
        read the log. Nothing else depends on it.
        """
        entry = self.table.find(job_id)
        if entry is None or entry.state not in job.TERMINAL:
            self._observed_completions.add(job_id)

    def find_known_end(self, job_id: identifiers.JobId) -> job.JobState | None:
        """Returns the final state of a job, as far as this entry knows it."""
        entry = self.table.find(job_id)
        if entry is not None and entry.state in job.TERMINAL:
            return entry.state
        if job_id in self._observed_completions:
            return job.JobState.COMPLETED
        return None

    def handle_takeover(self, announced: ports.Takeover) -> None:
        """Follows a new leader, which the store may not show to this entry."""
        leader = self._find_leader()
        if leader is None or announced.term > leader.term:
            self._announced = announced

    def _find_leader(self) -> ports.Takeover | None:
        """Returns the leader of the newest term that this entry knows."""
        announced, stored = self._announced, self.table.leader
        if stored is None or (
            announced is not None and announced.term > stored.term
        ):
            return announced
        return ports.Takeover(stored.term, stored.leader)

    def _find_term(self) -> identifiers.Term | None:
        leader = self._find_leader()
        return None if leader is None else leader.term

    def _is_state_stale(self) -> bool:
        age = self._dispatch_feed.seconds_since_caught_up()
        return self._dispatch_feed.failing or age > STATE_STALE_SECONDS

    def count_pending(self, queue: catalog.Queue, on_answer: OnAnswer) -> None:
        """Reports how many jobs of a queue have not started."""
        if self._table_age() > TABLE_STALE_SECONDS:
            on_answer(
                _refuse(
                    verdict.Reason.STORE_UNAVAILABLE,
                    "The job log can't be read.",
                )
            )
            return
        on_answer(PendingCount(self.table.count_pending(queue.name)))

    def _find(
        self,
        job_id: identifiers.JobId,
        on_found: Callable[[jobtable.JobEntry | None, bool], None],
        *,
        newest: bool,
    ) -> None:
        """Finds a job, after another read if it may be newer in the log.

        Args:
            job_id: The job.
            on_found: Called once with the job or None, and whether everything
                stored before the request has been read.
            newest: Whether to read the newest state of a known job.
        """
        entry = self.table.find(job_id)
        if entry is None and self._table_age() > TABLE_STALE_SECONDS:
            # Another entry may know the job, so the caller should not wait.
            on_found(None, False)
        elif entry is None:
            # Another entry may have stored it since the last read.
            self._jobs_feed.call_when_caught_up(
                lambda known: on_found(self.table.find(job_id), known),
                UNKNOWN_JOB_TIMEOUT_SECONDS,
            )
        elif (
            newest and entry.state not in job.TERMINAL and not self.dispatching
        ):
            # The dispatcher's own state is never behind the log.
            self._dispatch_feed.call_after_next_read(
                lambda: on_found(self.table.find(job_id), True),
                STATE_REFRESH_TIMEOUT_SECONDS,
            )
        else:
            on_found(entry, True)

    def _table_age(self) -> float:
        """Returns seconds since both logs of jobs were read to their end."""
        return max(
            self._jobs_feed.seconds_since_caught_up(),
            self._dispatch_feed.seconds_since_caught_up(),
        )

    # Appends of jobs and cancellations.

    def _append(
        self,
        key: str,
        value: bytes,
        timeout_seconds: float,
        on_result: Callable[[ports.AppendResult], None],
    ) -> None:
        """Stores a record, or fails before the caller's deadline."""
        seconds = max(0.0, timeout_seconds - DEADLINE_MARGIN_SECONDS)
        deadline = self._timers.clock() + seconds
        self._writer.write(ports.KeyedRecord(key, value), deadline, on_result)

    def _is_store_unresponsive(self) -> bool:
        response_age_seconds = min(
            self._jobs_feed.seconds_since_response(),
            self._dispatch_feed.seconds_since_response(),
            self._declarations_feed.seconds_since_response(),
        )
        return response_age_seconds > leaderelector.STORE_UNRESPONSIVE_SECONDS

    def _apply_own(
        self, items: Sequence[ports.KeyedRecord], offset: int
    ) -> None:
        records = [
            jobtable.StoredRecord(item.key, item.value, offset + index)
            for index, item in enumerate(items)
        ]
        self._fold(records)

    def _refuse_append(self, outcome: ports.AppendResult) -> verdict.Refusal:
        match outcome:
            case ports.Failed(verdict.Execution.NOT_RUN, detail):
                return _refuse(
                    verdict.Reason.STORE_UNAVAILABLE,
                    f"The store did not take it: {detail}.",
                )
            case _:
                return verdict.Refusal(
                    verdict.Reason.ACCEPTANCE_UNKNOWN,
                    verdict.Execution.MAY_HAVE_RUN,
                    "The store did not answer in time.",
                )

    # Records from the store.

    def _handle_store_recovered(self) -> None:
        """Repeats all that has failed after an outage, once it is over.

        Where the store answers some reads and refuses others, each feed
        retries by itself.
        """
        now = self._timers.clock()
        recently = now - self._recovered_at
        if (
            recently < leaderelector.STORE_UNRESPONSIVE_SECONDS
            or not self._is_store_unresponsive()
        ):
            return
        self._recovered_at = now
        for item in (
            self._dispatch_feed,
            self._jobs_feed,
            self._declarations_feed,
        ):
            item.retry_now()
        if self._driver is not None:
            self._driver.handle_store_recovered()

    def _record_load(self, stream: ports.Stream, seconds: float) -> None:
        self._metrics.record(
            metric.STORE_LOAD_SECONDS, seconds, stream=stream.value
        )

    def _load_dispatch(self, records: Sequence[jobtable.StoredRecord]) -> None:
        self._fold(records)
        # A report among the newest records may be of any age.
        self._admission.observe_report(float("-inf"))

    def _fold(self, records: Sequence[jobtable.StoredRecord]) -> None:
        for record in records:
            try:
                self._fold_record(record)
            except Exception as error:
                # The other records must not be lost with this one.
                self._timers.record_failure(error, "record of the job log")
        for key in self._writer.pending():
            if self._is_folded(key):
                # The response to the append was lost, but the record is stored.
                self._writer.mark_stored(key)

    def _fold_record(self, record: jobtable.StoredRecord) -> None:
        match self.table.apply(record):
            case jobtable.LeaderRecord() as leader:
                self.elector.observe_leadership(leader, record.offset)
            case jobtable.JobEntry() as entry:
                self._apply_job_entry(entry)
                if jobtable.is_job_key(record.key) and entry.accepted:
                    self._admission.observe_job(entry.accepted)
            case loadreport.LoadReport():
                # Earlier reads would have shown an older one.
                self._admission.observe_report(self._dispatch_feed.caught_up_at)

    def _is_folded(self, key: str) -> bool:
        prefix, _, name = key.partition("/")
        job_id = identifiers.JobId(name)
        match prefix:
            case jobtable.RecordKind.JOB.value:
                return self.table.find(job_id) is not None
            case _:
                return self.table.is_cancelled(job_id)

    def _apply_job_entry(self, entry: jobtable.JobEntry) -> None:
        if entry.accepted and entry.state in job.TERMINAL:
            self._observed_completions.discard(entry.accepted.job_id)
        if self._driver is not None:
            self._driver.apply_job_entry(entry)

    def _load_declarations(
        self, records: Sequence[jobtable.StoredRecord]
    ) -> None:
        self._decoder.replace_declarations(records)
        self._refresh_declarations()

    def _fold_declarations(
        self, records: Sequence[jobtable.StoredRecord]
    ) -> None:
        for record in records:
            self._decoder.apply_declaration(record)
        self._refresh_declarations()

    def _refresh_declarations(self) -> None:
        before = self._version()
        self.declared = self._decoder.read_declarations()
        if self._version() != before:
            event.emit(
                event.Event.CONFIGURATION_IN_FORCE,
                version=self._version(),
                was=before,
            )
        if self._driver is not None:
            self._driver.apply_declarations(self.declared)

    def _version(self) -> int:
        config = self.declared.configuration
        return -1 if config is None else config.version

    # Leadership.

    @property
    def _driver(self) -> dispatchdriver.DispatchDriver | None:
        return self.elector.driver

    def _create_driver(
        self,
        term: identifiers.Term,
        log: fencedlog.FencedLog,
        machine_order_delay_seconds: float,
    ) -> dispatchdriver.DispatchDriver:
        driver = dispatchdriver.DispatchDriver(
            term,
            log,
            self.incarnation,
            table=self.table,
            store=self._store,
            minions=self._minions,
            machines=self._machines,
            policy=self._policy,
            decoder=self._decoder,
            timers=self._timers,
            wall=self._wall,
            on_stored=self._apply_own,
            on_leadership_lost=self.elector.step_down,
            machine_order_delay_seconds=machine_order_delay_seconds,
            lease_seconds=self._lease_seconds,
            count_start=lambda outcome: self._metrics.count(
                metric.RUN_STARTS, outcome=outcome
            ),
            count_given_up=lambda: self._metrics.count(metric.TASKS_GIVEN_UP),
            report_holds=functools.partial(holdreport.report, self._metrics),
            on_store_recovered=self._handle_store_recovered,
            knows_cancellations=lambda: (
                self._jobs_feed.seconds_since_current()
                <= CANCELLATIONS_STALE_SECONDS
            ),
        )
        driver.dispatcher.early = self._early_seconds
        driver.dispatcher.scheduling = self._scheduling
        return driver

    def _on_elected(self, driver: dispatchdriver.DispatchDriver) -> None:
        self._jobs_feed.min_read_interval = (
            DISPATCHER_JOBS_READ_INTERVAL_SECONDS
        )
        self._dispatch_feed.min_read_interval = (
            DISPATCHER_DISPATCH_READ_INTERVAL_SECONDS
        )
        states = self.table.count_states()
        event.emit(
            event.Event.JOBS_TAKEN_OVER,
            term=driver.term,
            queued=states[job.JobState.QUEUED],
            running=states[job.JobState.RUNNING],
            completed=states[job.JobState.COMPLETED],
            failed=states[job.JobState.FAILED],
            cancelled=states[job.JobState.CANCELLED],
            jobs_offset=self._jobs_feed.next_offset,
            dispatch_offset=self._dispatch_feed.next_offset,
        )
        driver.start(self.declared)
        self._admission.start_reporting(driver)
        if self.announcer is not None:
            self.announcer.announce(
                ports.Takeover(driver.term, self.incarnation)
            )

    def _on_stepped_down(self) -> None:
        self._admission.stop_reporting()
        self._jobs_feed.min_read_interval = FOLLOWER_JOBS_READ_INTERVAL_SECONDS
        self._dispatch_feed.min_read_interval = (
            FOLLOWER_DISPATCH_READ_INTERVAL_SECONDS
        )


def _refuse_unknown(*, known: bool) -> verdict.Refusal:
    """Returns the refusal for a job that is not in the table.

    Args:
        known: Whether everything stored before the request has been read.
    """
    if known:
        return verdict.Refusal(
            verdict.Reason.JOB_UNKNOWN, detail="No such job."
        )
    return _refuse(
        verdict.Reason.STORE_UNAVAILABLE, "The job log can't be read."
    )


def _refuse(reason: verdict.Reason, detail: str) -> verdict.Refusal:
    """Returns a refusal with a retry-after time."""
    return verdict.Refusal(
        reason, detail=detail, retry_after=STORE_RETRY_AFTER_SECONDS
    )
