"""Decides which task runs on which minion, from reports and stored records.

Only the leader dispatches. Everything here is a function of its state and the
times passed in, without I/O; `dispatchdriver` carries out the orders.
"""

import collections
import dataclasses
import enum
import heapq
import math
from collections.abc import Callable, Iterable, Mapping, Sequence, Set

from clementinewood import (
    activejob,
    catalog,
    election,
    event,
    fairshare,
    hedge,
    identifiers,
    job,
    joborder,
    jobtable,
    lookahead,
    pacing,
    placement,
    planqueue,
    policycache,
    quorum,
    reservation,
    run,
    schedulingsettings,
    suspicion,
    teamrate,
)

NUMBERS_PER_TERM = 1000
"""Start numbers of one task reserved for each term. The next leader numbers
above them, so that no two starts of a task share a number."""

MAX_START_ATTEMPTS = 3
"""Start orders sent without a response before the run is stopped, unless the
next report shows it. A minion carries out one of them, since they share a
number."""

STOP_RETRY_SECONDS = 0.5
"""Delay before a stop order without a response is sent again."""

STOP_CONFIRMED_SECONDS = 2.0
"""Delay before a stop order is sent again if the minion has acknowledged it but
still reports the run."""

HOLD_SECONDS = suspicion.PROBATION_SECONDS + 0.2
"""Time for which a minion is held for a suspected task: until nothing has just
started there, and two rounds of planning."""

MAX_HELD_RATIO = 3
"""At most one of this many minions of a pool is held for suspected tasks."""

MAX_GANG_STARTS_IN_FLIGHT = 48
"""Start orders of gangs to one minion that are in flight at a time. Orders that
wait for a connection expire after 0.6 s, and on slow links each takes 11 ms."""

MAX_RANKED_JOBS = 1024
"""Waiting jobs ranked in one planning pass. If more wait, those ranked longest
ago come first, and the others keep their ranks."""

MAX_RANKED_STEPS = 16_384
"""Steps of these jobs, whose critical paths their ranks are computed from."""

MAX_PLANNED_RUNS = 4096
"""Runs planned in one pass after which no further job is placed; the next pass
follows at once. A gang is always placed whole."""

START_PERMISSION_SECONDS = 2.8
"""Age of the last stored append from which starts and leases need a majority of
the minions."""

MAX_FENCING_DELAY_SECONDS = max(
    election.compute_last_action(0.0, START_PERMISSION_SECONDS),
    quorum.CONFIRMATION_WINDOW_SECONDS,
)
"""Time after which an earlier leader extends no more leases, once the new
leader's candidacy is stored and half of the minions have accepted its token."""

MAX_ORDER_SILENCE_SECONDS = 2.0
"""Time without an order taken, while orders wait, after which a minion's leases
are no longer extended: three attempts of a start at their timeout."""

MAX_PRIOR_LEASE_SECONDS = run.MAX_LEASE_SECONDS + MAX_FENCING_DELAY_SECONDS
"""Longest time for which a lease of an earlier leader can be valid."""


class StartOutcome(enum.Enum):
    """Outcome of an order to start a run."""

    STARTED = "started"
    NO_ROOM = "no-room"
    SUPERSEDED = "superseded"
    """The minion has a run with this or a higher number already."""

    TOO_LATE = "too-late"
    TICKET = "ticket"
    INVALID = "invalid"
    BUSY = "busy"
    """Rejected by an unhealthy minion without effect."""

    FENCED = "fenced"
    """The minion has seen a higher fencing token."""

    INCARNATION_MISMATCH = "other-life"
    """Another incarnation of the minion responded."""

    UNKNOWN = "unknown"
    """No response; the run may start, even later."""

    NOT_SENT = "not-sent"


_ORDER_NOT_TAKEN = frozenset(
    (StartOutcome.UNKNOWN, StartOutcome.NOT_SENT, StartOutcome.BUSY)
)


@dataclasses.dataclass(frozen=True, slots=True)
class StartRun:
    """Order to start a run.

    Attributes:
        minion_id: Minion to run it.
        task: The task.
        number: Number of the start.
        spec: What it runs.
        checkpoint: Saved progress to resume from; empty for none.
        deadline: End of the lease on the minion's clock, in seconds.
        ticket: Ticket of the policy service; empty if none is needed.
        gang: Whether the task is a member of a gang.
    """

    minion_id: identifiers.MinionId
    task: job.TaskId
    number: int
    spec: str
    checkpoint: str
    deadline: float
    ticket: str = ""
    gang: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class StopRun:
    """Order to stop a run."""

    minion_id: identifiers.MinionId
    task: job.TaskId
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class PaceRun:
    """Order to run a task at `percent` of its full pace."""

    minion_id: identifiers.MinionId
    task: job.TaskId
    number: int
    percent: int


Order = StartRun | StopRun | PaceRun


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Changes to be stored together.

    Attributes:
        progress: Progress of each job that changed.
        cursors: Last outcomes that these changes include, by minion.
        planned: Runs whose assignments are among these changes.
        reserved: Assignments of tasks of later steps among these changes.
    """

    progress: Mapping[identifiers.JobId, job.Progress]
    cursors: Mapping[identifiers.MinionId, jobtable.Cursor]
    planned: tuple[run.Run, ...] = ()
    reserved: tuple[reservation.Reservation, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class _Verdict:
    """A task to blame for a crash, unless the crash proves to be its zone's."""

    finding: suspicion.Finding
    noticed: float
    domains: tuple[suspicion.Domain, ...]


class Dispatcher:
    """Holds the leader's state and decides its orders.

    Args:
        term: Term of the leadership; also its fencing token.
        now: Monotonic time in seconds.
        find_job: Returns an accepted job, also one that has ended, or None.

    Attributes:
        jobs: Unfinished jobs, and finished ones with runs left to stop.
        views: Minions, by id.
        evacuated: Zones that get no new work.
        config: Configuration in force, once known.
        early: Seconds before its due time at which a job may start.
        scheduling: Scheduling features in use.
        times: Run times estimated from past runs.
        lookahead: Holds room for jobs that wait for it.
        policy_cache: Which minions may run which step, on queues with a policy.
        live_minions: Minions that machines run, as the machine service says;
            None if that is not known.
    """

    def __init__(
        self,
        term: identifiers.Term,
        now: float,
        find_job: Callable[
            [identifiers.JobId], job.Job | None
        ] = lambda job_id: None,
    ) -> None:
        self.term = term
        self._find_job = find_job
        self.jobs: dict[identifiers.JobId, activejob.ActiveJob] = {}
        self.views: dict[identifiers.MinionId, run.MinionView] = {}
        self.evacuated: frozenset[identifiers.ZoneId] = frozenset()
        self.config: catalog.Configuration | None = None
        self.early = 0.0
        self.scheduling = schedulingsettings.DEFAULTS
        self.times = joborder.RunTimes()
        self.lookahead = lookahead.LookAhead(self.times)
        self.policy_cache = policycache.PolicyCache()
        self.live_minions: Set[identifiers.MinionId] | None = None
        self.cursors: dict[identifiers.MinionId, jobtable.Cursor] = {}
        self._given_up_tasks = 0
        self._crash_history = suspicion.CrashHistory()
        self._domains_known = False
        self._verdicts: dict[job.TaskId, _Verdict] = {}
        self._cordoned: frozenset[identifiers.MinionId] = frozenset()
        self._departing: frozenset[identifiers.MinionId] = frozenset()
        self._started_at = now
        self._former_leaders_excluded_at = math.inf
        self._plan_queue = planqueue.PlanQueue()
        self._planned_config: catalog.Configuration | None = None
        self._plans_more = False
        self._free_room: dict[identifiers.PoolId, job.Resources] = {}
        self._dirty: set[identifiers.JobId] = set()
        self._newly_begun: set[identifiers.JobId] = set()
        self._ended: dict[identifiers.JobId, job.JobState] = {}
        self._usage: dict[identifiers.TeamId, job.Resources] = {}
        self._stops: dict[run.RunKey, run.Run] = {}
        self._starts: list[StartRun] = []
        self._unanswered_starts: dict[run.RunKey, run.Run] = {}
        self._start_hedge = hedge.HedgingPolicy()
        self._planned: list[run.Run] = []
        self._reserved: list[reservation.Reservation] = []
        self._reservations: dict[
            identifiers.JobId, dict[job.TaskId, reservation.Reservation]
        ] = {}
        self._pacer = pacing.Pacer()
        self._team_buckets = teamrate.TeamTokenBuckets()

    # Jobs.

    def add_job(
        self, accepted: job.Job, progress: job.Progress, arrived: float
    ) -> None:
        """Adds an accepted, unfinished job and recovers its assignments.

        Args:
            accepted: The job.
            progress: Its stored progress.
            arrived: When it was accepted or is due, in monotonic seconds.
        """
        if self.knows_job(accepted.job_id):
            # A record read late must not restore a job that has ended.
            return
        numbers_from = (self.term - 1) * NUMBERS_PER_TERM
        active = activejob.ActiveJob(
            accepted,
            progress,
            numbers_from,
            arrived,
            over_rate=self._is_over_rate(accepted, arrived),
        )
        self.jobs[accepted.job_id] = active
        self._plan_queue.add(accepted.job_id)
        active.complete_gangs()
        if active.is_complete():
            self._finish(active, job.JobState.COMPLETED)
        for place, (number, minion_id) in progress.assignments.items():
            task = job.TaskId(accepted.job_id, *place)
            if active.has_task(task) and not progress.is_done(task):
                self._recover(active, progress, task, number, minion_id)

    def knows_job(self, job_id: identifiers.JobId) -> bool:
        """Whether a job is unfinished here, or has ended in this term."""
        return job_id in self.jobs or job_id in self._ended

    def _recover(
        self,
        active: activejob.ActiveJob,
        progress: job.Progress,
        task: job.TaskId,
        number: int,
        minion_id: identifiers.MinionId,
    ) -> None:
        """Restores an assignment stored by an earlier leader."""
        view = self.views.get(minion_id)
        if view is None:
            view = self._create_view(_create_unlisted(minion_id))
            view.listed = False
            self.views[minion_id] = view
        item = self._create_run(active, task, number, minion_id)
        item.state = run.RunState.STARTING
        item.state_changed_at = self._started_at
        item.tries = MAX_START_ATTEMPTS
        item.unconfirmed = True
        item.isolated = (
            suspicion.find_isolation(
                progress.crashed.get(_find_crash_place(item))
            )
            is not suspicion.Isolation.NONE
        )
        view.add_run(item)
        active.add_run(item)
        self._count_usage(item.team, item.need, 1)

    def cancel_job(self, job_id: identifiers.JobId) -> None:
        """Stops all runs of a job and starts no more."""
        active = self.jobs.get(job_id)
        if active is None or active.cancelled:
            return
        active.cancelled = True
        active.work.clear()
        self._plan_queue.remove(job_id)
        for item in list(active.live.values()):
            self._stop(item)
        self._drop_if_idle(active)

    def complete_job(self, job_id: identifiers.JobId) -> None:
        """Ends a job whose completion is stored beside its progress."""
        active = self.jobs.get(job_id)
        if active is not None:
            self._finish(active, job.JobState.COMPLETED)

    # Minions.

    def update_minions(
        self, minions: Iterable[catalog.Minion], now: float
    ) -> None:
        """Applies the platform's list of minions."""
        listed = {minion.minion_id: minion for minion in minions}
        for minion_id, view in self.views.items():
            view.listed = minion_id in listed
        for minion_id, minion in listed.items():
            known = self.views.get(minion_id)
            if known is None:
                self.views[minion_id] = self._create_view(minion)
                continue
            restarted = (
                minion.incarnation > known.minion.incarnation
                and known.minion.incarnation > 0
            )
            if minion.incarnation < known.minion.incarnation:
                continue
            if restarted:
                self._handle_restart(known, now)
            unlisted = known.minion.incarnation == 0
            known.minion = minion
            if unlisted:
                self._apply_cursor(known)
        self._domains_known = False

    def _create_view(self, minion: catalog.Minion) -> run.MinionView:
        view = run.MinionView(minion)
        view.leases_expire_at = self._started_at + MAX_PRIOR_LEASE_SECONDS
        view.cordoned = minion.minion_id in self._cordoned
        self._apply_cursor(view)
        return view

    def _apply_cursor(self, view: run.MinionView) -> None:
        """Skips the outcomes that stored progress already includes."""
        cursor = self.cursors.get(view.minion_id)
        incarnation = view.minion.incarnation
        if (
            cursor is not None
            and incarnation
            and cursor.incarnation == incarnation
        ):
            view.applied_sequence = view.stored_sequence = cursor.sequence

    def _handle_restart(self, view: run.MinionView, now: float) -> None:
        """Drops the runs of a minion's previous incarnation.

        A run that no report has listed may belong to the new incarnation; it
        stays until the next report.
        """
        listed = [item for item in view.runs.values() if item.seen_in_report]
        self._assess_crash(view, listed, now)
        self._lose_runs(view, now, listed)
        for item in view.runs.values():
            if item.state is not run.RunState.PLANNED:
                item.lost_at = view.last_contact
        self._reset_view(view)

    def _reset_view(self, view: run.MinionView) -> None:
        view.ended = False
        view.token_accepted = False
        view.token_confirmed_at = -math.inf
        view.gang_orders_in_flight = 0
        view.clock_offset = None
        view.applied_sequence = view.stored_sequence = 0
        view.failed_polls = 0
        view.failure_score = 0.0
        view.ejected_until = -math.inf

    def handle_report(
        self,
        minion_id: identifiers.MinionId,
        report: run.MinionReport,
        *,
        sent: float,
        now: float,
    ) -> None:
        """Applies a minion's response to a poll.

        Args:
            minion_id: The minion.
            report: Its response.
            sent: Monotonic time in seconds at which the poll was sent.
            now: Monotonic time in seconds.
        """
        view = self.views[minion_id]
        incarnation = view.minion.incarnation
        if report.incarnation and report.incarnation != incarnation:
            if report.incarnation < incarnation:
                return
            self._handle_restart(view, now)
            view.minion = dataclasses.replace(
                view.minion, incarnation=report.incarnation
            )
        view.token_accepted = True
        view.token_confirmed_at = max(view.token_confirmed_at, sent)
        if self._former_leaders_excluded_at == math.inf:
            confirmed = self._count_confirmations(self._started_at)
            if confirmed.exclude_former_leader():
                self._former_leaders_excluded_at = now
        view.failed_polls = 0
        view.last_answer = view.last_contact = now
        view.clock_offset = report.clock - now
        for row in report.ended:
            if row.sequence > view.applied_sequence:
                self._apply_outcome(view, row, now)
                view.applied_sequence = row.sequence
        self._apply_running(view, report, sent, now)
        self._pacer.observe(view, now)

    def handle_poll_failure(
        self, minion_id: identifiers.MinionId, now: float
    ) -> None:
        """Counts a poll without a response and expires overdue leases."""
        view = self.views[minion_id]
        view.failed_polls += 1
        self.expire_unresponsive(view, now)

    def handle_incarnation_mismatch(
        self, minion_id: identifiers.MinionId, now: float
    ) -> None:
        """Drops all runs of a minion whose address has a new incarnation."""
        view = self.views[minion_id]
        self._assess_crash(view, view.runs.values(), now)
        self._lose_runs(view, now)
        self._reset_view(view)
        # The address may be another minion's by now, and this one may be back.
        self._apply_cursor(view)
        view.listed = False

    def expire_unresponsive(self, view: run.MinionView, now: float) -> None:
        """Drops runs of an unresponsive minion whose leases have expired.

        A minion that answers polls but takes no orders counts as well; it has
        not crashed.
        """
        if not view.failed_polls and not view.refuses_orders:
            return
        if not self._have_leases_expired(view, now):
            return
        if view.runs:
            if view.failed_polls:
                self._assess_crash(
                    view, view.runs.values(), now, confirmed=False
                )
            self._lose_runs(view, now)
        if view.failed_polls:
            view.token_accepted = False

    def forget_minions(self, now: float) -> None:
        """Drops unlisted minions whose leases have all expired.

        One with outcomes that are not stored yet stays until they are.
        """
        for minion_id, view in list(self.views.items()):
            if view.listed or view.has_unstored_outcomes:
                continue
            if self._have_leases_expired(view, now):
                self._lose_runs(view, now)
                del self.views[minion_id]

    def _have_leases_expired(self, view: run.MinionView, now: float) -> bool:
        """Whether no lease of this or an earlier leader can be valid."""
        if now < view.leases_expire_at:
            return False
        if view.ended or view.token_confirmed_at > -math.inf:
            return True
        excluded_at = self._former_leaders_excluded_at
        return now >= excluded_at + MAX_PRIOR_LEASE_SECONDS

    def may_have_unread_runs(
        self, minion_id: identifiers.MinionId, now: float
    ) -> bool:
        """Whether a minion may have runs that no report here has shown.

        Those of earlier leaders end with their leases at the latest.
        """
        view = self.views.get(minion_id)
        if view is None:
            excluded_at = self._former_leaders_excluded_at
            return now < excluded_at + MAX_PRIOR_LEASE_SECONDS
        return (
            view.token_confirmed_at == -math.inf
            and not self._have_leases_expired(view, now)
        )

    def may_extend_leases(self, now: float) -> bool:
        """Whether no successor treats the leases as expired meanwhile.

        For a leader whose last stored append is too old to exclude one.
        """
        since = now - quorum.CONFIRMATION_WINDOW_SECONDS
        return self._count_confirmations(since).exclude_successor()

    def _count_confirmations(self, since: float) -> quorum.Minions:
        return quorum.Minions(
            self.views.values(),
            confirmed_since=since,
            live=self.live_minions,
        )

    # Outcomes of orders.

    def handle_start_outcome(
        self,
        order: StartRun,
        outcome: StartOutcome,
        now: float,
    ) -> None:
        """Applies the outcome of a start order; retries or drops the run."""
        if outcome is StartOutcome.STARTED:
            self._mark_begun(order.task, order.minion_id, now)
        item = self._find_run(order.minion_id, order.task, order.number)
        view = self.views.get(order.minion_id)
        if view is None:
            return
        if order.gang:
            in_flight = view.gang_orders_in_flight - 1
            view.gang_orders_in_flight = max(0, in_flight)
        if item is not None:
            item.attempts_in_flight -= 1
            self._apply_start_outcome(view, item, outcome, now)
        if outcome not in _ORDER_NOT_TAKEN:
            view.note_order_taken(now)
        self._order_next_members(view, now)

    def _apply_start_outcome(
        self,
        view: run.MinionView,
        item: run.Run,
        outcome: StartOutcome,
        now: float,
    ) -> None:
        match outcome:
            case StartOutcome.STARTED:
                view.last_contact = now
                if item.tries == 1:
                    self._start_hedge.observe(now - item.last_ordered_at)
                if item.state is run.RunState.STARTING:
                    item.state = run.RunState.RUNNING
                view.starting.discard(item.key)
                item.state_changed_at = now
            case StartOutcome.UNKNOWN:
                unanswered = item.state is run.RunState.STARTING
                if not unanswered or item.attempts_in_flight > 0:
                    return
                if item.tries < MAX_START_ATTEMPTS:
                    self._starts.append(self._repeat_start(view, item, now))
                    return
                # The responses may only be late: the next report decides.
                item.awaits_report = True
            case StartOutcome.FENCED:
                pass
            case _:
                if outcome is StartOutcome.TICKET:
                    self.policy_cache.drop_ticket(
                        policycache.StepKey(
                            item.task.job, item.task.occurrence, item.task.step
                        ),
                        view.minion_id,
                        view.minion.incarnation,
                    )
                elif outcome is StartOutcome.SUPERSEDED and item.tries > 1:
                    # An earlier attempt was carried out, and its run has ended.
                    pass
                elif outcome is not StartOutcome.NO_ROOM:
                    self._record_failure(view, now, outcome.value)
                elif item.state is run.RunState.STARTING:
                    # The minion's own count of free room is more accurate than
                    # this one.
                    view.ejected_until = max(view.ejected_until, now + 0.1)
                if item.state is not run.RunState.STARTING:
                    return
                if item.tries <= 1:
                    self._remove_run(view, item)
                elif item.attempts_in_flight <= 0:
                    # An earlier attempt may have been carried out, so that the
                    # run is at work: the next report decides.
                    item.start_rejected = True
                    item.awaits_report = True

    def _mark_begun(
        self, task: job.TaskId, minion_id: identifiers.MinionId, now: float
    ) -> None:
        """Sets the state of a job once a minion has confirmed a start.

        A run that is only planned or ordered may never start, so it leaves the
        job pending. The state is stored with the next append, at the latest
        with the next renewal; an append of its own would delay starts.
        """
        active = self.jobs.get(task.job)
        if (
            active is None
            or active.progress.state is not job.JobState.QUEUED
            or active.cancelled
            or not active.has_task(task)
        ):
            return
        active.progress.state = job.JobState.RUNNING
        self._newly_begun.add(task.job)
        event.emit(
            event.Event.JOB_STARTED,
            job=task.job,
            queue=active.job.queue,
            team=active.job.team,
            task=task.render(),
            minion=minion_id,
            waited=round(now - active.arrived, 3),
            term=self.term,
        )

    def handle_stop_outcome(
        self, order: StopRun, answered: bool, now: float
    ) -> None:
        """Records whether the minion has acknowledged a stop order."""
        item = self._find_run(order.minion_id, order.task, order.number)
        if item is None or item.state is not run.RunState.STOPPING:
            return
        if answered:
            item.stop_confirmed = True
            item.state_changed_at = now
            self.views[order.minion_id].note_order_taken(now)

    # Planning.

    def plan(
        self,
        now: float,
        wall: float,
        *,
        may_start: bool = True,
        responses_late: bool = False,
    ) -> list[Order]:
        """Returns the orders to be sent now.

        Args:
            now: Monotonic time in seconds.
            wall: Unix time in seconds.
            may_start: Whether starts may be ordered; otherwise repeated start
                orders wait.
            responses_late: Whether the responses of all minions are late.
        """
        orders: list[Order] = []
        for view in self.views.values():
            self._update_order_refusal(view, now, responses_late=responses_late)
            self.expire_unresponsive(view, now)
        self._end_probations(now)
        self._decide_verdicts(now)
        if may_start:
            self._hedge_starts(now)
            orders.extend(
                order for order in self._starts if self._is_starting(order)
            )
            self._starts = []
        orders.extend(self._plan_stops(now))
        self.lookahead.begin_pass(now, active=self.scheduling.lookahead)
        orders.extend(self._plan_starts(now, wall, may_start=may_start))
        self.lookahead.end_pass(self.jobs)
        for paced in self._pacer.plan(self.views.values(), now):
            orders.append(
                PaceRun(
                    paced.run.minion_id,
                    paced.run.task,
                    paced.run.number,
                    paced.percent,
                )
            )
        return orders

    def _update_order_refusal(
        self, view: run.MinionView, now: float, *, responses_late: bool
    ) -> None:
        refused = view.refuses_orders
        view.update_order_refusal(
            now, MAX_ORDER_SILENCE_SECONDS, late=responses_late
        )
        if view.refuses_orders:
            # Once nothing waits there, its next order would most likely be
            # lost as well.
            view.ejected_until = now + placement.BASE_EJECTION_SECONDS
        if view.refuses_orders and not refused:
            event.emit(
                event.Event.MINION_REFUSES_ORDERS,
                minion=view.minion_id,
                runs=len(view.runs),
                leases=round(view.leases_expire_at - now, 3),
            )

    def _hedge_starts(self, now: float) -> None:
        """Repeats start orders whose response is later than usual.

        The response may be lost, or the order be carried out late.
        """
        for item in list(self._unanswered_starts.values()):
            view = self.views.get(item.minion_id)
            if (
                view is None
                or item.state is not run.RunState.STARTING
                or not item.attempts_in_flight
                or item.tries >= MAX_START_ATTEMPTS
            ):
                del self._unanswered_starts[item.key]
                continue
            if now - item.last_ordered_at >= self._start_hedge.delay_seconds:
                self._starts.append(self._repeat_start(view, item, now))

    def _is_starting(self, order: StartRun) -> bool:
        item = self._find_run(order.minion_id, order.task, order.number)
        return item is not None and item.state is run.RunState.STARTING

    def _repeat_start(
        self, view: run.MinionView, item: run.Run, now: float
    ) -> StartRun:
        item.tries += 1
        item.attempts_in_flight += 1
        item.last_ordered_at = now
        view.gang_orders_in_flight += item.gang
        view.note_order_sent(item.key, now)
        return self._create_start(view, item, now)

    def _plan_stops(self, now: float) -> list[Order]:
        orders: list[Order] = []
        for item in list(self._stops.values()):
            if item.state is not run.RunState.STOPPING:
                continue
            pause = STOP_RETRY_SECONDS
            if item.stop_confirmed:
                pause = STOP_CONFIRMED_SECONDS
            if item.tries and now - item.state_changed_at < pause:
                continue
            item.tries += 1
            item.state_changed_at = now
            self.views[item.minion_id].note_order_sent(item.key, now)
            orders.append(StopRun(item.minion_id, item.task, item.number))
        return orders

    def _plan_starts(
        self, now: float, wall: float, *, may_start: bool
    ) -> list[StartRun]:
        """Plans runs; returns the orders of those that are stored already."""
        config = self.config
        if config is None:
            return []
        if config is not self._planned_config:
            # Queues may have come, gone or changed.
            self._planned_config = config
            self._plan_queue.wake_all()
        waiting = [
            active
            for job_id in self._plan_queue.take_awake(wall + self.early)
            if self._open_steps(active := self.jobs[job_id], config, wall)
        ]
        self._plans_more = False
        orders: list[StartRun] = []
        if not waiting:
            return orders
        candidates = placement.list_candidates(
            self.views.values(), now, self.evacuated
        )
        order = None
        if self.scheduling.fair_order:
            order = fairshare.measure_order(
                waiting,
                candidates,
                self.views.values(),
                config.teams,
                self._usage,
            )
        self._rank_jobs(waiting, order, now)
        ranked = [
            (self._create_sort_key(active, order), active)
            for active in waiting
            if active.rank
        ]
        self._plans_more = len(ranked) < len(waiting)
        self._free_room.clear()
        most = len(self._planned) + MAX_PLANNED_RUNS
        for rank, active in sorted(ranked, key=lambda pair: pair[0]):
            if len(self._planned) >= most:
                self._plans_more = True
                break
            assert active.queue is not None
            options = candidates.get(active.queue.pool)
            if not options:
                continue
            if may_start:
                unreserved = [
                    option for option in options if not option.set_aside
                ]
                orders += self._use_reservations(active, unreserved, now)
            self._place_job(active, options, now)
            self.lookahead.hold_room(active, rank, options, self._fits_team_cap)
        self._plans_more = self._plans_more or any(
            active.may_open_steps(wall, self.early) for active in waiting
        )
        return orders

    def _open_steps(
        self,
        active: activejob.ActiveJob,
        config: catalog.Configuration,
        wall: float,
    ) -> bool:
        """Opens the steps of a job that is awake.

        Returns:
            Whether it has pending tasks that may be placed.
        """
        job_id = active.job.job_id
        queue = config.queues.get(active.job.queue)
        changed = queue is not active.queue
        active.queue = queue
        active.open_steps(wall, self.early)
        due = active.next_due(wall + self.early)
        if due is not None:
            self._plan_queue.schedule(job_id, due)
        if queue is None:
            self._plan_queue.sleep(job_id)
            return False
        if changed and active.progress.has_failed(queue.max_attempts):
            # Counted while no configuration had this queue.
            self._finish(active, job.JobState.FAILED)
            return False
        if any(work.pending for work in active.work.values()):
            return True
        self._plan_queue.sleep(job_id)
        return False

    def _rank_jobs(
        self,
        waiting: Sequence[activejob.ActiveJob],
        order: fairshare.Order | None,
        now: float,
    ) -> None:
        """Ranks waiting jobs anew, or a bounded number of them."""
        oldest = heapq.nsmallest(
            MAX_RANKED_JOBS, waiting, key=lambda active: active.ranked_at
        )
        steps = 0
        for active in oldest:
            if steps >= MAX_RANKED_STEPS:
                break
            steps += len(active.job.steps)
            active.rank = self._rank(active, order, now)
            active.ranked_at = now

    def _create_sort_key(
        self, active: activejob.ActiveJob, order: fairshare.Order | None
    ) -> tuple[float, ...]:
        """Returns the sort key of a ranked job; the smallest goes first."""
        if order is None or active.job.long_running:
            return active.rank
        assert active.queue is not None
        return order.create_key(active.queue.pool, active.job.team, active.rank)

    def _rank(
        self,
        active: activejob.ActiveJob,
        order: fairshare.Order | None,
        now: float,
    ) -> tuple[float, ...]:
        accepted, queue = active.job, active.queue
        assert queue is not None
        query_seconds = 0.0
        if queue.advice is not None:
            query_seconds = policycache.expect_seconds(queue.advice)
        whole, left = active.measure_critical_path(
            lambda step, count: (
                query_seconds
                + self.times.expect_longest(queue.name, step.estimate, count)
            )
        )
        load = self._team_load(accepted.team) if order is None else 0.0
        return joborder.rank(
            joborder.WaitingJob(
                queue=queue,
                arrived=active.arrived,
                chain=whole,
                chain_left=left,
                begun=active.begun,
                long_running=accepted.long_running,
                team_load=load,
                over_rate=active.over_rate,
            ),
            now,
        )

    def _is_over_rate(self, accepted: job.Job, arrived: float) -> bool:
        if self.config is None or accepted.long_running:
            return False
        team = self.config.teams.get(accepted.team)
        return team is not None and not self._team_buckets.take(
            team.name, team.weight, arrived
        )

    def _team_load(self, team_id: identifiers.TeamId) -> float:
        """Returns the cores that a team uses per unit of its weight."""
        assert self.config is not None
        team = self.config.teams.get(team_id)
        if team is None or team.weight <= 0:
            return 0.0
        used = self._usage.get(team_id, job.Resources())
        return used.cpu / 1000.0 / team.weight

    def _place_job(
        self,
        active: activejob.ActiveJob,
        options: list[placement.Candidate],
        now: float,
    ) -> None:
        queue = active.queue
        assert queue is not None
        for work in list(active.work.values()):
            if not work.pending:
                continue
            free = self._free_room.get(queue.pool)
            if free is not None and not work.step.room.fits(free):
                continue
            allowed = options
            key = _get_step_key(active, work)
            if queue.advice is not None:
                allowed = self.policy_cache.list_allowed(key, options, now)
            if active.progress.crashed:
                self._place_suspects(active, work, allowed, now)
            allowed = [option for option in allowed if not option.set_aside]
            if work.step.gang:
                chosen = self._place_gang(active, work, allowed)
            else:
                chosen = self._place_tasks(active, work, allowed)
            number = None
            if chosen and work.step.gang:
                number = active.next_gang_number(work)
            for index, candidate in chosen:
                self._plan_run(active, work, index, candidate, number=number)
            if chosen:
                self._free_room.pop(queue.pool, None)
            if work.pending and queue.pool not in self._free_room:
                # Later jobs that need more are not compared with each minion.
                self._free_room[queue.pool] = placement.bound_free_room(options)
            if chosen and not work.pending and queue.advice is None:
                self._reserve_next_steps(active, work)
            if queue.advice is not None and work.pending:
                # A gang needs minions for all of its tasks at once.
                count = work.step.count if work.step.gang else len(work.pending)
                self.policy_cache.prepare_query(
                    key, queue, work.step, count, options, now
                )

    def _reserve_next_steps(
        self, active: activejob.ActiveJob, work: activejob.OpenStep
    ) -> None:
        made = reservation.reserve_next_steps(active, work)
        self._reserved += made
        if made:
            reserved = self._reservations.setdefault(active.job.job_id, {})
            reserved.update((item.task, item) for item in made)

    def _use_reservations(
        self,
        active: activejob.ActiveJob,
        options: list[placement.Candidate],
        now: float,
    ) -> list[StartRun]:
        """Starts pending tasks on the minions reserved for them.

        A reservation whose minion has no room is dropped.
        """
        orders: list[StartRun] = []
        reservations = self._reservations.get(active.job.job_id)
        if not reservations:
            return orders
        for work in list(active.work.values()):
            for index in list(work.pending):
                task = job.TaskId(
                    active.job.job_id, work.occurrence, work.number, index
                )
                reserved = reservations.pop(task, None)
                if reserved is None or not reserved.stored:
                    continue
                order = self._start_reserved(
                    active, work, reserved, options, now
                )
                if order is not None:
                    orders.append(order)
        return orders

    def _start_reserved(
        self,
        active: activejob.ActiveJob,
        work: activejob.OpenStep,
        reserved: reservation.Reservation,
        options: list[placement.Candidate],
        now: float,
    ) -> StartRun | None:
        step = work.step
        reserved_on = [
            candidate
            for candidate in options
            if candidate.view.minion_id == reserved.minion_id
        ]
        for candidate in reserved_on:
            # `reservation` bounds these starts; one that waits would be lost.
            candidate.starts_left = max(1, candidate.starts_left)
        ends = self.lookahead.expect_end(active, step)
        chooser = placement.MinionChooser(
            step, reserved_on, work.runs_by_minion, ends=ends
        )
        found = chooser.find_best()
        if found is None or not self._fits_team_cap(active.job.team, step.need):
            return None
        if step.rack and step.rack not in found.view.minion.labels:
            return None
        chooser.take_best()
        self._count_usage(active.job.team, step.need, 1)
        item = self._create_run(
            active, reserved.task, reserved.number, reserved.minion_id
        )
        active.add_run(item)
        found.view.add_run(item)
        found.view.starting.add(item.key)
        return self._order_planned(item, now)

    def _place_tasks(
        self,
        active: activejob.ActiveJob,
        work: activejob.OpenStep,
        options: list[placement.Candidate],
    ) -> list[tuple[int, placement.Candidate]]:
        chosen = []
        chooser = placement.MinionChooser(
            work.step,
            options,
            work.runs_by_minion,
            ends=self.lookahead.expect_end(active, work.step),
        )
        for index in work.pending:
            isolation = self._find_isolation(active, work, index)
            if isolation is not suspicion.Isolation.NONE:
                continue
            if not self._fits_team_cap(active.job.team, work.step.need):
                break
            found = chooser.take_best()
            if found is None:
                break
            self._count_usage(active.job.team, work.step.need, 1)
            chosen.append((index, found))
        return chosen

    def _place_gang(
        self,
        active: activejob.ActiveJob,
        work: activejob.OpenStep,
        options: list[placement.Candidate],
    ) -> list[tuple[int, placement.Candidate]]:
        step = work.step
        if len(work.pending) != step.count:
            # Some members of the gang's previous run have not ended yet.
            return []
        need = step.need
        total = job.Resources(
            need.cpu * step.count,
            need.memory * step.count,
            need.gpu * step.count,
        )
        if not self._fits_team_cap(active.job.team, total):
            return []
        found = placement.choose_gang(step, options, work.runs_by_minion)
        if not found:
            return []
        for candidate in found:
            placement.take_room(candidate, step)
            self._count_usage(active.job.team, need, 1)
        return list(zip(sorted(work.pending), found, strict=False))

    def _plan_run(
        self,
        active: activejob.ActiveJob,
        work: activejob.OpenStep,
        index: int,
        candidate: placement.Candidate,
        *,
        number: int | None = None,
        isolation: suspicion.Isolation = suspicion.Isolation.NONE,
    ) -> None:
        """Plans a run; it is ordered once its assignment is stored.

        Args:
            active: The job.
            work: The step.
            index: Index of the task.
            candidate: Minion to run it.
            number: Number of the start that members of a gang share; None for
                the next one of the task.
            isolation: How a suspected task starts.
        """
        task = job.TaskId(
            active.job.job_id, work.occurrence, work.number, index
        )
        if number is None:
            number = active.next_number(task)
        item = self._create_run(active, task, number, candidate.view.minion_id)
        item.isolated = isolation is not suspicion.Isolation.NONE
        item.alone = isolation is suspicion.Isolation.ALONE
        active.add_run(item)
        candidate.view.add_run(item)
        candidate.view.starting.add(item.key)
        self._reservations.get(active.job.job_id, {}).pop(task, None)
        place = (task.occurrence, task.step, task.position)
        active.progress.assign(place, number, item.minion_id)
        self._dirty.add(active.job.job_id)
        self._planned.append(item)

    def _order_planned(self, item: run.Run, now: float) -> StartRun | None:
        """Returns the start order for a run whose assignment is stored.

        Returns None if the run is obsolete or its minion gets no new work.
        """
        view = self.views.get(item.minion_id)
        if view is None or view.runs.get(item.key) is not item:
            return None
        if item.state is not run.RunState.PLANNED:
            return None
        if not placement.accepts_work(
            view, now, self.evacuated
        ) or not view.has_room_for(item):
            self._remove_run(view, item)
            return None
        item.state = run.RunState.STARTING
        item.state_changed_at = now
        item.tries = 0
        self._unanswered_starts[item.key] = item
        return self._repeat_start(view, item, now)

    def _create_start(
        self, view: run.MinionView, item: run.Run, now: float
    ) -> StartRun:
        active = self.jobs[item.task.job]
        checkpoint = active.checkpoints.get(item.task, "")
        step = active.job.steps[item.task.step]
        if step.gang:
            first = item.task._replace(position=0)
            checkpoint = active.checkpoints.get(first, "")
        deadline = view.lease_deadline(now)
        view.record_lease(now)
        key = policycache.StepKey(
            item.task.job, item.task.occurrence, item.task.step
        )
        return StartRun(
            view.minion_id,
            item.task,
            item.number,
            active.job.spec,
            checkpoint,
            deadline or 0.0,
            self.policy_cache.find_ticket(
                key, view.minion_id, view.minion.incarnation
            ),
            gang=step.gang,
        )

    def _create_run(
        self,
        active: activejob.ActiveJob,
        task: job.TaskId,
        number: int,
        minion_id: identifiers.MinionId,
    ) -> run.Run:
        step = active.job.steps[task.step]
        return run.Run(
            task=task,
            number=number,
            minion_id=minion_id,
            team=active.job.team,
            queue=active.job.queue,
            room=step.room,
            need=step.need,
            long_running=step.long_running,
            fills=step.fills,
            gang=step.gang,
            tail_target=step.tail_target,
            max_unavailable=step.max_unavailable,
            image=step.image,
            expected_seconds=self.times.expect(active.job.queue, step.estimate),
        )

    # Stored progress.

    def take_batch(self) -> Batch:
        """Returns what has changed since the last batch."""
        progress = {
            job_id: self.jobs[job_id].progress
            for job_id in self._dirty | self._newly_begun
            if job_id in self.jobs
        }
        self._dirty.clear()
        self._newly_begun.clear()
        cursors = {
            view.minion_id: jobtable.Cursor(
                view.minion.incarnation, view.applied_sequence
            )
            for view in self.views.values()
            if view.applied_sequence > view.stored_sequence
        }
        planned, self._planned = tuple(self._planned), []
        reserved, self._reserved = tuple(self._reserved), []
        return Batch(progress, cursors, planned, reserved)

    def handle_batch_stored(
        self, batch: Batch, now: float, *, may_start: bool = True
    ) -> list[StartRun]:
        """Marks the outcomes in a stored batch as ready to be acknowledged.

        Args:
            batch: The stored batch.
            now: Monotonic time in seconds.
            may_start: Whether starts may be ordered; otherwise planned runs
                wait for the next batch.

        Returns:
            Orders for the runs whose assignments are now stored.
        """
        self.cursors.update(batch.cursors)
        for minion_id, cursor in batch.cursors.items():
            view = self.views.get(minion_id)
            if (
                view is not None
                and view.minion.incarnation == cursor.incarnation
            ):
                view.stored_sequence = max(
                    view.stored_sequence, cursor.sequence
                )
        for item in batch.reserved:
            item.stored = True
        for job_id, progress in batch.progress.items():
            active = self.jobs.get(job_id)
            if active is not None and progress.state in job.TERMINAL:
                self._drop_if_idle(active)
        if not may_start:
            self._planned.extend(batch.planned)
            return []
        orders: list[StartRun] = []
        for planned in batch.planned:
            view = self.views.get(planned.minion_id)
            if view is not None and planned.gang and _is_busy(view):
                view.unordered.append(planned)
                continue
            order = self._order_planned(planned, now)
            if order is not None:
                orders.append(order)
        return orders

    def has_starts(self) -> bool:
        """Whether start orders wait for the next planning pass."""
        return bool(self._starts)

    def _order_next_members(self, view: run.MinionView, now: float) -> None:
        """Orders members of gangs that have waited for other orders."""
        while view.unordered and not _is_busy(view):
            order = self._order_planned(view.unordered.popleft(), now)
            if order is not None:
                self._starts.append(order)

    def has_changes(self) -> bool:
        """Whether anything has to be stored or acknowledged at once."""
        return bool(self._dirty) or any(
            view.applied_sequence > view.stored_sequence
            for view in self.views.values()
        )

    # Stops ordered by other parts.

    def set_cordoned(
        self,
        minion_ids: frozenset[identifiers.MinionId],
        departing: frozenset[identifiers.MinionId] = frozenset(),
    ) -> None:
        """Replaces the minions that get no new work, known already or not.

        Args:
            minion_ids: These minions.
            departing: Minions whose machines have an order that ends them.
        """
        self._departing = departing
        for minion_id in minion_ids ^ self._cordoned:
            view = self.views.get(minion_id)
            if view is not None:
                view.cordoned = minion_id in minion_ids
        self._cordoned = minion_ids

    def stop_task(self, task: job.TaskId) -> None:
        """Stops the run of `task`, so that it starts again elsewhere."""
        active = self.jobs.get(task.job)
        if active is not None and task in active.live:
            self._stop(active.live[task])

    def handle_minion_ended(
        self, minion_id: identifiers.MinionId, asked: float
    ) -> None:
        """Drops the runs of a minion that the platform reports as ended.

        Its tasks can start again at once, without waiting for their leases to
        expire.

        Args:
            minion_id: The minion.
            asked: Monotonic time in seconds of the platform's information;
                runs ordered since then may belong to a later incarnation.
        """
        view = self.views.get(minion_id)
        if view is None:
            return
        known = view.ended
        view.ended = True
        view.token_accepted = False
        lost = [
            item for item in view.runs.values() if item.state_changed_at < asked
        ]
        if lost or not known:
            self._assess_crash(view, lost, asked)
        self._lose_runs(view, asked, lost)
        if not view.runs:
            view.leases_expire_at = 0.0

    def handle_minion_alive(self, minion_id: identifiers.MinionId) -> None:
        """Clears the mark that a minion has ended."""
        view = self.views.get(minion_id)
        if view is not None:
            view.ended = False

    def count_unavailable(self) -> dict[tuple[identifiers.JobId, int], int]:
        """Returns the unavailable tasks of each step that has a budget.

        Tasks on an unresponsive minion count as unavailable.
        """
        unresponsive = {
            view.minion_id
            for view in self.views.values()
            if view.failed_polls or not view.token_accepted
        }
        counts: dict[tuple[identifiers.JobId, int], int] = {}
        for active in self.jobs.values():
            if active.cancelled or not active.job.long_running:
                continue
            working = collections.Counter(
                item.task.step
                for item in active.live.values()
                if item.at_work and item.minion_id not in unresponsive
            )
            for number, step in enumerate(active.job.steps):
                if step.max_unavailable is not None:
                    key = (active.job.job_id, number)
                    counts[key] = step.count - working[number]
        return counts

    def next_wake(self, wall: float) -> float:
        """Returns the seconds until the next occurrence may start.

        Returns infinity if there is none.
        """
        if self.config is None:
            return math.inf
        if self._plans_more:
            return 0.0
        return self._plan_queue.find_next_time() - self.early - wall

    # Helpers.

    def _apply_outcome(
        self, view: run.MinionView, row: run.EndedRun, now: float
    ) -> None:
        active = self.jobs.get(row.task.job)
        if active is None or not active.has_task(row.task):
            return
        task = row.task
        self._mark_begun(task, view.minion_id, now)
        item = active.live.get(task)
        known = (
            item is not None
            and item.minion_id == view.minion_id
            and item.number == row.number
        )
        if row.checkpoint:
            active.checkpoints[task] = row.checkpoint
        step = active.job.steps[task.step]
        if row.outcome is run.RunOutcome.DONE and not step.long_running:
            if not active.progress.is_done(task):
                active.mark_done(task)
                if active.progress.is_step_done(
                    task.occurrence, task.step, step.count
                ):
                    self.policy_cache.forget_step(
                        policycache.StepKey(
                            task.job, task.occurrence, task.step
                        )
                    )
                self._plan_queue.wake(task.job)
                self._dirty.add(task.job)
            placement.record_success(view)
            if item is not None and known and item.state_changed_at:
                self.times.observe(
                    active.job.queue, step.estimate, now - item.state_changed_at
                )
            if not known and item is not None:
                # Another run of this task is no longer needed.
                self._stop(item)
        if row.outcome is not run.RunOutcome.DONE:
            event.emit(
                event.Event.RUN_FAILED,
                task=task.render(),
                run=row.number,
                minion=view.minion_id,
                end=row.outcome.value,
            )
        if row.outcome is run.RunOutcome.FAILED:
            self._record_failure(view, now, "a run failed")
            self._apply_failure(active, row, step)
        if known:
            assert item is not None
            self._remove_run(view, item)
        if active.is_complete():
            self._finish(active, job.JobState.COMPLETED)

    def _apply_failure(
        self, active: activejob.ActiveJob, row: run.EndedRun, step: job.Step
    ) -> None:
        task = row.task
        if step.long_running or active.progress.is_done(task):
            return
        if step.gang:
            # All members of one run share its number and count as one.
            task = task._replace(position=0)
        count = active.progress.add_failure(task, row.number)
        self._dirty.add(task.job)
        if active.queue is not None and count >= active.queue.max_attempts:
            self._finish(active, job.JobState.FAILED)

    def _finish(self, active: activejob.ActiveJob, state: job.JobState) -> None:
        if active.progress.state in job.TERMINAL or active.cancelled:
            return
        active.progress.state = state
        self._ended[active.job.job_id] = state
        self._dirty.add(active.job.job_id)
        active.work.clear()
        self._plan_queue.remove(active.job.job_id)
        for item in list(active.live.values()):
            self._stop(item)
        event.emit(
            event.Event.JOB_ENDED,
            job=active.job.job_id,
            queue=active.job.queue,
            state=state.value,
            term=self.term,
        )

    def _drop_if_idle(self, active: activejob.ActiveJob) -> None:
        stored = active.job.job_id not in self._dirty
        if not active.live and (stored or active.cancelled):
            self.jobs.pop(active.job.job_id, None)
            self._plan_queue.remove(active.job.job_id)
            self.policy_cache.forget_job(active.job.job_id)
            self._reservations.pop(active.job.job_id, None)

    def _apply_running(
        self,
        view: run.MinionView,
        report: run.MinionReport,
        sent: float,
        now: float,
    ) -> None:
        listed: set[tuple[job.TaskId, int]] = set()
        order_taken = False
        for row in report.running:
            listed.add((row.task, row.number))
            self._mark_begun(row.task, view.minion_id, now)
            item = self._find_run(view.minion_id, row.task, row.number)
            if item is None:
                item = self._adopt(view, row, now)
                if item is None:
                    continue
            if item.state is run.RunState.STARTING:
                item.state = run.RunState.RUNNING
                item.state_changed_at = now
                order_taken = True
            view.starting.discard(item.key)
            item.unconfirmed = False
            item.awaits_report = False
            item.seen_in_report = True
            item.lost_at = 0.0
            item.percent = row.percent
            item.usage = row.usage
            if row.checkpoint:
                self.jobs[row.task.job].checkpoints[row.task] = row.checkpoint
        if order_taken:
            # Once, since it looks at the runs of the minion.
            view.note_order_taken(now)
        if report.truncated:
            return
        self._assess_unseen_runs(view, listed, sent)
        stop_taken = False
        for item in list(view.runs.values()):
            if (item.task, item.number) in listed:
                continue
            settled = (
                item.unconfirmed
                or item.state is run.RunState.RUNNING
                or (item.state is run.RunState.STOPPING and item.stop_confirmed)
            )
            gone = settled and item.state_changed_at < sent
            if gone:
                self._remove_run(view, item)
            elif item.state is run.RunState.STOPPING and _has_ended_unstopped(
                item, sent
            ):
                self._remove_run(view, item)
                stop_taken = stop_taken or not view.refuses_orders
            elif item.awaits_report and item.last_ordered_at < sent:
                item.awaits_report = False
                if not item.start_rejected:
                    self._record_failure(
                        view, now, "no response to start orders"
                    )
                self._stop(item)
        if stop_taken:
            view.note_order_taken(now)

    def _adopt(
        self, view: run.MinionView, row: run.ReportedRun, now: float
    ) -> run.Run | None:
        """Adds a reported run that an earlier leader has started.

        Stops it and returns None if its task needs no such run.
        """
        active = self.jobs.get(row.task.job)
        unwanted = (
            active is None
            or not active.has_task(row.task)
            or active.cancelled
            or active.progress.state in job.TERMINAL
            or active.progress.is_done(row.task)
        )
        if unwanted or active is None:
            self._add_unneeded(view, self._create_unwanted(view, row))
            return None
        item = self._create_run(active, row.task, row.number, view.minion_id)
        item.state = run.RunState.RUNNING
        item.state_changed_at = now
        other = active.live.get(row.task)
        if other is not None:
            # Keep the run that this leader knows already.
            self._add_unneeded(view, item)
            return None
        view.add_run(item)
        active.add_run(item)
        self._count_usage(item.team, item.need, 1)
        return item

    def _create_unwanted(
        self, view: run.MinionView, row: run.ReportedRun
    ) -> run.Run:
        team, queue = identifiers.TeamId(""), identifiers.QueueId("")
        room = need = job.Resources()
        accepted = self._find_job(row.task.job)
        if accepted is not None and 0 <= row.task.step < len(accepted.steps):
            team, queue = accepted.team, accepted.queue
            step = accepted.steps[row.task.step]
            room, need = step.room, step.need
        return run.Run(
            task=row.task,
            number=row.number,
            minion_id=view.minion_id,
            team=team,
            queue=queue,
            room=room,
            need=need,
            state=run.RunState.RUNNING,
        )

    def _add_unneeded(self, view: run.MinionView, item: run.Run) -> None:
        """Stops a run that no task needs; it counts until it has ended."""
        item.unneeded = True
        item.seen_in_report = True
        view.add_run(item)
        self._count_usage(item.team, item.need, 1)
        self._stop(item)

    def _find_run(
        self,
        minion_id: identifiers.MinionId,
        task: job.TaskId,
        number: int,
    ) -> run.Run | None:
        view = self.views.get(minion_id)
        return view.runs.get((task, number)) if view is not None else None

    def _stop(self, item: run.Run) -> None:
        if item.state is run.RunState.STOPPING:
            return
        if item.state is run.RunState.PLANNED:
            self._remove_run(self.views[item.minion_id], item)
            return
        item.state = run.RunState.STOPPING
        self.views[item.minion_id].starting.discard(item.key)
        item.tries = 0
        item.state_changed_at = 0.0
        self._stops[item.key] = item

    def _remove_run(self, view: run.MinionView, item: run.Run) -> None:
        view.remove_run(item)
        if self._unanswered_starts.get(item.key) is item:
            del self._unanswered_starts[item.key]
        if self._stops.get(item.key) is item:
            del self._stops[item.key]
        if item.unneeded:
            self._count_usage(item.team, item.need, -1)
            return
        active = self.jobs.get(item.task.job)
        if active is None or active.live.get(item.task) is not item:
            return
        self._count_usage(item.team, item.need, -1)
        active.remove_run(item)
        self._plan_queue.wake(item.task.job)
        if active.cancelled or active.progress.state in job.TERMINAL:
            self._drop_if_idle(active)

    def _lose_runs(
        self,
        view: run.MinionView,
        now: float,
        lost: Iterable[run.Run] | None = None,
    ) -> None:
        """Drops runs known to have ended, by default all of a minion."""
        items = list(view.runs.values() if lost is None else lost)
        if items:
            event.emit(
                event.Event.RUNS_LOST,
                minion=view.minion_id,
                runs=len(items),
                silent=round(now - view.last_answer, 3),
            )
        for item in items:
            self._remove_run(view, item)

    # Crashes of minions.

    def _assess_unseen_runs(
        self,
        view: run.MinionView,
        listed: Set[run.RunKey],
        sent: float,
    ) -> None:
        """Assesses runs that a restarted minion does not have.

        No report had shown them before the restart, so they were on it or not
        yet ordered there.
        """
        unseen = [
            item
            for item in view.runs.values()
            if item.lost_at
            and item.key not in listed
            and item.state_changed_at < sent
        ]
        if unseen:
            self._assess_crash(view, unseen, sent, crashed_at=unseen[0].lost_at)
            self._lose_runs(view, sent, unseen)

    def _assess_crash(
        self,
        view: run.MinionView,
        lost: Iterable[run.Run],
        noticed: float,
        *,
        crashed_at: float | None = None,
        confirmed: bool = True,
    ) -> None:
        """Counts a minion's crash for the tasks that may have caused it.

        Args:
            view: The minion.
            lost: Runs that have ended with it.
            noticed: Monotonic time in seconds of the information.
            crashed_at: Monotonic time in seconds of its last sign of life; by
                default, that of the last response.
            confirmed: Whether it has crashed; otherwise it may be cut off, and
                nothing is given up unless that recurs.
        """
        if view.draining or view.minion_id in self._departing:
            # It ended as planned.
            return
        if not self._domains_known:
            self._domains_known = True
            self._crash_history.set_domains(
                suspicion.list_domains(other.minion)
                for other in self.views.values()
            )
        domains = suspicion.list_domains(view.minion)
        self._crash_history.add(noticed, view.minion_id, domains)
        if self._crash_history.is_shared(noticed, domains):
            return
        runs = [
            (item, self._find_crash_record(item))
            for item in lost
            if item.state is not run.RunState.PLANNED
            and item.task.job in self.jobs
        ]
        findings = suspicion.assess_crash(
            view.minion_id,
            runs,
            view.last_contact if crashed_at is None else crashed_at,
        )
        for finding in findings:
            active = self.jobs[finding.item.task.job]
            place = _find_crash_place(finding.item)
            active.progress.set_crashes(place, finding.record)
            self._dirty.add(active.job.job_id)
        if findings:
            event.emit(
                event.Event.MINION_CRASHED,
                minion=view.minion_id,
                runs=len(findings),
                suspects=sum(
                    suspicion.find_isolation(finding.record)
                    is not suspicion.Isolation.NONE
                    for finding in findings
                ),
                term=self.term,
            )
        for finding in findings:
            proven = confirmed or (
                finding.record.suspected >= suspicion.MAX_CRASHES
            )
            if finding.to_blame and proven:
                verdict = _Verdict(finding, noticed, domains)
                self._verdicts[finding.item.task] = verdict

    def _find_crash_record(self, item: run.Run) -> job.CrashRecord | None:
        crashed = self.jobs[item.task.job].progress.crashed
        return crashed.get(_find_crash_place(item))

    def _decide_verdicts(self, now: float) -> None:
        """Gives up the tasks to blame, unless their zone was.

        The other crashes of a zone become known a little later.
        """
        for task, verdict in list(self._verdicts.items()):
            if now < verdict.noticed + suspicion.COMPANY_SECONDS:
                continue
            del self._verdicts[task]
            shared = self._crash_history.is_shared(
                verdict.noticed, verdict.domains
            )
            if task.job in self.jobs and not shared:
                self._give_up(verdict.finding)

    def take_given_up(self) -> int:
        """Returns the number of tasks given up since the last call."""
        count, self._given_up_tasks = self._given_up_tasks, 0
        return count

    def _give_up(self, finding: suspicion.Finding) -> None:
        """Ends the job of a task that crashes the minions that start it."""
        task = finding.item.task
        self._given_up_tasks += 1
        event.emit(
            event.Event.TASK_GIVEN_UP,
            task=task.render(),
            minions=",".join(finding.record.minions),
            term=self.term,
        )
        self._finish(self.jobs[task.job], job.JobState.FAILED)

    def _end_probations(self, now: float) -> None:
        """Clears the suspected tasks whose minions have survived their start.

        A successor would start them apart again otherwise.
        """
        for view in self.views.values():
            if view.failed_polls or placement.is_on_probation(view, now):
                continue
            for item in list(view.isolated):
                survived = (
                    view.last_contact
                    >= item.last_ordered_at + suspicion.PROBATION_SECONDS
                )
                if survived and item.state is run.RunState.RUNNING:
                    view.isolated.remove(item)
                    self._clear_suspicion(item)

    def _clear_suspicion(self, item: run.Run) -> None:
        active = self.jobs.get(item.task.job)
        place = _find_crash_place(item)
        if active is not None and place in active.progress.crashed:
            record = active.progress.crashed[place]
            active.progress.set_crashes(
                place, dataclasses.replace(record, suspected=0)
            )
            self._dirty.add(active.job.job_id)

    def _find_isolation(
        self, active: activejob.ActiveJob, work: activejob.OpenStep, index: int
    ) -> suspicion.Isolation:
        if not active.progress.crashed or work.step.gang:
            return suspicion.Isolation.NONE
        place = (work.occurrence, work.number, index)
        return suspicion.find_isolation(active.progress.crashed.get(place))

    def _place_suspects(
        self,
        active: activejob.ActiveJob,
        work: activejob.OpenStep,
        options: list[placement.Candidate],
        now: float,
    ) -> None:
        """Plans suspected tasks where nothing else has just started.

        Where no minion is quiet, one is held for them until it is.
        """
        without_minion: set[suspicion.Isolation] = set()
        for index in list(work.pending):
            isolation = self._find_isolation(active, work, index)
            task = job.TaskId(
                active.job.job_id, work.occurrence, work.number, index
            )
            if isolation is suspicion.Isolation.NONE or task in self._verdicts:
                continue
            if not self._fits_team_cap(active.job.team, work.step.need):
                return
            found = None
            if isolation not in without_minion:
                found = placement.choose_minion(
                    work.step,
                    self._list_quiet(options, isolation, now),
                    work.runs_by_minion,
                )
            if found is None:
                # Nothing becomes quiet within a pass.
                without_minion.add(isolation)
                self._hold_minion(work, options, now)
                continue
            found.set_aside = True
            found.view.held_until = 0.0
            placement.take_room(found, work.step)
            self._count_usage(active.job.team, work.step.need, 1)
            self._plan_run(active, work, index, found, isolation=isolation)

    def _list_quiet(
        self,
        options: Iterable[placement.Candidate],
        isolation: suspicion.Isolation,
        now: float,
    ) -> list[placement.Candidate]:
        """Returns the minions on which a suspected task may start."""
        if isolation is suspicion.Isolation.GROUP:
            started = collections.Counter(
                domain
                for view in self.views.values()
                if placement.is_on_probation(view, now)
                for domain in suspicion.list_domains(view.minion)
            )
            return [
                option
                for option in options
                if placement.may_join_group(option.view)
                or placement.is_quiet(option.view, now)
                and self._crash_history.allows_group(
                    suspicion.list_domains(option.view.minion), started
                )
            ]
        # One at a time in each zone: see `suspicion.CrashHistory`.
        busy_zones = {
            view.minion.zone
            for view in self.views.values()
            if placement.is_on_probation(view, now)
        }
        return [
            option
            for option in options
            if option.view.minion.zone not in busy_zones
            and placement.is_quiet(option.view, now)
        ]

    def _hold_minion(
        self,
        work: activejob.OpenStep,
        options: Sequence[placement.Candidate],
        now: float,
    ) -> None:
        """Keeps other starts off a minion, so that a suspect may start soon."""
        held = sum(option.view.held_until > now for option in options)
        if held >= max(1, len(options) // MAX_HELD_RATIO):
            return
        found = placement.choose_minion(
            work.step,
            [option for option in options if not option.set_aside],
            work.runs_by_minion,
        )
        if found is not None:
            found.set_aside = True
            found.view.held_until = now + HOLD_SECONDS

    def _record_failure(
        self, view: run.MinionView, now: float, why: str
    ) -> None:
        if placement.record_failure(view, now):
            event.emit(
                event.Event.MINION_EJECTED_FROM_PLACEMENT,
                minion=view.minion_id,
                reason=why,
                seconds=round(view.ejected_until - now, 1),
            )

    def _fits_team_cap(
        self, team_id: identifiers.TeamId, need: job.Resources
    ) -> bool:
        team = self.config.teams.get(team_id) if self.config else None
        if team is None:
            return True
        after = self._usage.get(team_id, job.Resources()).plus(need)
        cap = team.cap
        return (
            (not cap.cpu or after.cpu <= cap.cpu)
            and (not cap.memory or after.memory <= cap.memory)
            and (not cap.gpu or after.gpu <= cap.gpu)
        )

    def _count_usage(
        self, team: identifiers.TeamId, need: job.Resources, sign: int
    ) -> None:
        used = self._usage.get(team, job.Resources())
        self._usage[team] = used.plus(need) if sign > 0 else used.minus(need)


def may_stop(
    item: run.Run, away: Mapping[tuple[identifiers.JobId, int], int]
) -> bool:
    """Whether a run may be stopped within its step's availability budget.

    Args:
        item: The run of a long-running task.
        away: Unavailable tasks of each step that has a budget.
    """
    if item.state is run.RunState.STOPPING or item.max_unavailable is None:
        return True
    count = away.get((item.task.job, item.task.step), 0)
    return count + int(item.at_work) <= item.max_unavailable


def _has_ended_unstopped(item: run.Run, sent: float) -> bool:
    """Whether a run is over although no stop order was confirmed.

    Args:
        item: A run that the minion's newest report does not list.
        sent: Monotonic time in seconds at which that report was requested.
    """
    if item.seen_in_report:
        return True
    # Minions reject start orders whose lease has ended.
    ordered = item.last_ordered_at
    return ordered > 0.0 and ordered + run.MAX_LEASE_SECONDS < sent


def _is_busy(view: run.MinionView) -> bool:
    """Whether a minion takes no further order of a gang for the moment."""
    return view.gang_orders_in_flight >= MAX_GANG_STARTS_IN_FLIGHT


def _find_crash_place(item: run.Run) -> tuple[int, int, int]:
    """Returns the key of a task's crashes; members of a gang share one."""
    task = item.task
    position = 0 if item.gang else task.position
    return (task.occurrence, task.step, position)


def _get_step_key(
    active: activejob.ActiveJob, work: activejob.OpenStep
) -> policycache.StepKey:
    return policycache.StepKey(active.job.job_id, work.occurrence, work.number)


def _create_unlisted(minion_id: identifiers.MinionId) -> catalog.Minion:
    """Returns a stand-in for a minion that the platform does not list."""
    return catalog.Minion(
        minion_id=minion_id,
        incarnation=0,
        pool=identifiers.PoolId(""),
        address=("", 0),
        zone=identifiers.ZoneId(""),
        state=catalog.MinionState.DRAINING,
        capacity=job.Resources(),
    )
