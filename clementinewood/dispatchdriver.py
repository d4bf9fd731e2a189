"""Carries out a dispatcher's decisions while its entry is the leader."""

import json
import math
from collections.abc import Callable, Iterator, Mapping, Sequence

from clementinewood import (
    catalog,
    dispatcher,
    election,
    event,
    feed,
    fencedlog,
    identifiers,
    job,
    jobtable,
    lookahead,
    machinecontrol,
    policycache,
    ports,
    progressrecord,
    responsetime,
    run,
    timer,
    verdict,
)

PLAN_DEBOUNCE_SECONDS = 0.004
"""Events within this time are handled by one planning pass."""

PLAN_INTERVAL_SECONDS = 0.1
"""Period of planning without events, for expired leases, changed paces and
stops that are due again."""

BUSY_MINION_LONG_POLL_SECONDS = 1.0
"""How long a poll of a minion with runs waits for an outcome; four polls fit
into a lease."""

IDLE_MINION_LONG_POLL_SECONDS = 2.0
"""How long a poll of a minion without runs waits; minions allow no more."""

LOSSY_LONG_POLL_SECONDS = 0.25
"""How long a poll of a minion with runs waits while responses get lost: a lost
one hides the outcomes of its minion until the poll times out."""

UNCONFIRMED_LONG_POLL_SECONDS = 0.5
"""How long a poll waits while the leadership is not confirmed by the store: the
leases then depend on what minions have confirmed recently."""

POLL_RETRY_DELAY_SECONDS = 0.15
"""Pause after the second poll in a row without a response; the first one is
repeated at once."""

UNRESPONSIVE_POLL_RETRY_DELAY_SECONDS = 0.6
"""Pause between polls of a minion that stays unresponsive."""

UNSTORED_OUTCOMES_POLL_DELAY_SECONDS = 0.5
"""Pause between polls while outcomes wait to be stored: such polls return at
once and only renew the lease."""

ACKNOWLEDGEMENT_VALID_SECONDS = 0.1
"""Age of a minion's last response to a poll from which its outcomes are not
acknowledged before it has responded again: it may have restarted meanwhile."""

MINIONS_READ_INTERVAL_SECONDS = 0.1
"""Least time between two reads of minions' reports; each minion reports every
1.5 s, and machines take as long to move."""

LEADERSHIP_VALID_SECONDS = 0.8
"""Age of the last stored append from which no machine order is sent: another
entry may become a candidate one second after the last renewal it has read."""

TAKE_OVER_TASKS = 4096
"""Tasks whose progress is taken over in one turn of the event loop, so that
the leadership is renewed in between; a job or a block counts as one or more."""

MINION_EVICTION_INTERVAL_SECONDS = 1.0
"""Period of evicting minions that no longer exist."""


class DispatchDriver:
    """Drives the dispatcher for one term of leadership.

    Args:
        term: The term, used as the fencing token.
        log: Appends records under this term; the candidacy is stored.
        own_incarnation: Incarnation of this process.
        table: Job table, folded at least up to the candidacy.
        store: The platform's store.
        minions: Sends orders to minions.
        machines: Sends machine orders; None if there is no machine service.
        policy: The policy service; None if there is none.
        decoder: Decodes the platform's records.
        timers: Timer service.
        wall: Source of Unix time in seconds.
        on_stored: Called with records that were stored and their offset.
        on_leadership_lost: Called once, with the reason, when the leadership
            is lost.
        machine_order_delay_seconds: Seconds before the first order about a
            machine that an earlier leader may just have ordered.
        lease_seconds: Least time in seconds between machine orders of two
            leaders.
        count_start: Counts orders to start a run, by outcome.
        count_given_up: Counts a task that is given up.
        report_holds: Reports changes of holds and the number of tasks that were
            backfilled.
        on_store_recovered: Called when a read succeeds after others have
            failed.
        knows_cancellations: Returns whether the log of jobs was read recently.
    """

    def __init__(
        self,
        term: identifiers.Term,
        log: fencedlog.FencedLog,
        own_incarnation: identifiers.Incarnation,
        *,
        table: jobtable.JobTable,
        store: ports.Store,
        minions: ports.Minions,
        machines: ports.Machines | None,
        policy: ports.Policy | None,
        decoder: ports.Decoder,
        timers: timer.TimerService,
        wall: Callable[[], float],
        on_stored: Callable[[Sequence[ports.KeyedRecord], int], None],
        on_leadership_lost: Callable[[str], None],
        machine_order_delay_seconds: float,
        lease_seconds: float,
        count_start: Callable[[str], None],
        count_given_up: Callable[[], None],
        report_holds: Callable[
            [Sequence[lookahead.Change], int], None
        ] = lambda changes, backfilled: None,
        on_store_recovered: Callable[[], None] = lambda: None,
        knows_cancellations: Callable[[], bool] = lambda: True,
    ) -> None:
        self.term = term
        self.dispatcher = dispatcher.Dispatcher(
            term, timers.clock(), self._find_job
        )
        self._log = log
        self._own_incarnation = own_incarnation
        self._table = table
        self._store = store
        self._minions = minions
        self._policy = policy
        self._decoder = decoder
        self._timers = timers
        self._wall = wall
        self._on_stored = on_stored
        self._count_start = count_start
        self._count_given_up = count_given_up
        self._report_holds = report_holds
        self._on_leadership_lost = on_leadership_lost
        self._knows_cancellations = knows_cancellations
        self._active = True
        self._plan_pending = False
        self._taken_over = False
        self._declared: ports.Declarations | None = None
        self._leadership_confirmed_at = log.first_sent
        self._queued_records: dict[str, bytes] = {}
        self._on_records_stored: list[Callable[[], None]] = []
        self._resigning = False
        self._encoder = progressrecord.ProgressEncoder(store.limits)
        self._response_times = responsetime.ResponseTimes()
        self._polling: set[identifiers.MinionId] = set()
        self._paused_polls: set[identifiers.MinionId] = set()
        self._reported_minions: dict[identifiers.MinionId, catalog.Minion] = {}
        self._subscriptions: list[timer.Subscription] = []
        self._wake: timer.Subscription | None = None
        self.machine_control = machinecontrol.MachineControl(
            self.dispatcher,
            table,
            machines,
            decoder,
            store,
            timers,
            wall,
            queue_record=self.queue_record,
            compute_leadership_end=self._compute_leadership_end,
            on_fenced=lambda: self.step_down(
                f"the machine service fenced an order of term {term}"
            ),
            machine_order_delay_seconds=machine_order_delay_seconds,
            lease_seconds=lease_seconds,
        )
        self._feed = feed.Feed(
            store,
            ports.Stream.MINIONS,
            timers,
            on_snapshot=self._load_minions,
            on_records=self._fold_minions,
            min_read_interval=MINIONS_READ_INTERVAL_SECONDS,
            on_recovered=on_store_recovered,
        )

    def start(self, declared: ports.Declarations) -> None:
        """Takes over all unfinished jobs and starts polling every minion."""
        self.dispatcher.cursors.update(self._table.cursors)
        self._declared = declared
        left = self._take_over_jobs(list(self._table))
        if self._take_over_some(left):
            self._finish_take_over()
        else:
            self._continue_take_over(left)
        self._subscriptions.append(
            self._timers.subscribe_every(
                election.LEADER_RENEWAL_INTERVAL_SECONDS, self._renew
            )
        )

    def _take_over_some(self, left: Iterator[int]) -> bool:
        """Takes over jobs up to `TAKE_OVER_TASKS`; returns whether it is all.

        Args:
            left: Takes over a piece and yields its tasks, piece by piece.
        """
        tasks = 0
        with self._timers.measure_turn("take-over"):
            for count in left:
                tasks += count
                if tasks >= TAKE_OVER_TASKS:
                    return False
        return True

    def _continue_take_over(self, left: Iterator[int]) -> None:
        """Takes over the other jobs in later turns of the event loop."""

        def take_over() -> None:
            if not self._active:
                return
            if self._take_over_some(left):
                self._finish_take_over()
            else:
                self._continue_take_over(left)

        self._timers.subscribe_once(0.0, take_over)

    def _take_over_jobs(
        self, entries: Sequence[jobtable.JobEntry]
    ) -> Iterator[int]:
        """Takes over unfinished jobs; yields the tasks of each piece."""
        for entry in entries:
            yield 1
            accepted = entry.accepted
            if accepted is None:
                continue
            if entry.progress.state in job.TERMINAL:
                self._delete_blocks(entry)
                continue
            progress = entry.progress.copy()
            yield from entry.read_blocks(progress)
            # It may have been cancelled between two pieces.
            if not entry.cancelled:
                self._add_job(accepted, entry, progress)
                yield len(progress.assignments)

    def _finish_take_over(self) -> None:
        """Starts to plan and to poll minions; their reports need all jobs."""
        self._taken_over = True
        if self._declared is not None:
            self.apply_declarations(self._declared)
        self._feed.start()
        self.machine_control.start()
        every = self._timers.subscribe_every
        self._subscriptions += [
            every(PLAN_INTERVAL_SECONDS, self._plan),
            every(MINION_EVICTION_INTERVAL_SECONDS, self._evict_gone_minions),
        ]
        event.emit(event.Event.LEADERSHIP_ACQUIRED, term=self.term)

    def step_down(self, reason: str) -> None:
        """Stops sending orders and notifies the entry of the `reason`."""
        if self._active:
            self.stop()
            self._on_leadership_lost(reason)

    def stop(self) -> None:
        """Stops sending orders."""
        self._active = False
        self._log.stop()
        self._feed.stop()
        self.machine_control.stop()
        for subscription in self._subscriptions:
            subscription.cancel()
        self._minions.disconnect()

    def handle_store_recovered(self) -> None:
        """Repeats what the store has not answered."""
        self._log.retry_now()
        self._feed.retry_now()

    def resign(self) -> None:
        """Resigns, so that another entry becomes leader without a timeout."""
        self._resigning = True
        self._renew()

    # Input from the entry.

    def apply_job_entry(self, entry: jobtable.JobEntry) -> None:
        """Adds an accepted job to the dispatcher, or cancels one there."""
        accepted = entry.accepted
        if accepted is None:
            return
        if entry.cancelled:
            self.dispatcher.cancel_job(accepted.job_id)
        elif entry.progress.state not in job.TERMINAL:
            self._add_job(accepted, entry)
        else:
            return
        self._schedule_plan()

    def _add_job(
        self,
        accepted: job.Job,
        entry: jobtable.JobEntry,
        progress: job.Progress | None = None,
    ) -> None:
        """Adds an unfinished job to the dispatcher, if it is new there.

        Args:
            accepted: The job.
            entry: Its entry in the job table.
            progress: Its stored progress; None to read it.
        """
        if not self.dispatcher.knows_job(accepted.job_id):
            if progress is None:
                progress = entry.read_progress()
            self._encoder.restore(accepted, progress.block_tasks, entry.blocks)
            self.dispatcher.add_job(
                accepted, progress, self._compute_arrival_time(accepted)
            )
        if entry.completion_stored:
            self.dispatcher.complete_job(accepted.job_id)

    def _find_job(self, job_id: identifiers.JobId) -> job.Job | None:
        entry = self._table.find(job_id)
        return entry.accepted if entry is not None else None

    def _compute_arrival_time(self, accepted: job.Job) -> float:
        """Returns when a job was accepted or is due, in monotonic seconds.

        A job that arrives while this entry dispatches has just been accepted;
        the clock of the entry that accepted it may be off by seconds.
        """
        now = self._timers.clock()
        if self._taken_over and not accepted.start:
            return now
        return now - self._wall() + max(accepted.accepted, accepted.start)

    def apply_declarations(self, declared: ports.Declarations) -> None:
        """Applies the operators' current declarations, after the take-over."""
        self._declared = declared
        if not self._taken_over:
            return
        self.dispatcher.config = declared.configuration
        self.dispatcher.evacuated = declared.evacuated
        self.machine_control.set_waves(declared.waves)
        self._schedule_plan()

    def queue_record(
        self,
        key: str,
        value: bytes,
        on_stored: Callable[[], None] | None = None,
    ) -> None:
        """Queues a record of the dispatcher for the next append.

        Args:
            key: Its key; only the last value queued under it is appended.
            value: Its value.
            on_stored: Called once it is stored.
        """
        self._queued_records[key] = value
        if on_stored is not None:
            self._on_records_stored.append(on_stored)
        self._flush()

    def _delete_blocks(self, entry: jobtable.JobEntry) -> None:
        """Deletes what an earlier leader has left of a job that has ended."""
        accepted = entry.accepted
        if accepted is not None and entry.progress.state in job.TERMINAL:
            for item in self._encoder.delete_blocks(
                accepted.job_id, entry.blocks
            ):
                self._queued_records[item.key] = item.value

    # Minions.

    def _load_minions(self, records: Sequence[jobtable.StoredRecord]) -> None:
        self._reported_minions.clear()
        self._fold_minions(records)

    def _fold_minions(self, records: Sequence[jobtable.StoredRecord]) -> None:
        for record in records:
            minion_id = identifiers.MinionId(record.key)
            minion = self._decoder.decode_minion(record)
            if minion is not None:
                self._reported_minions[minion_id] = minion
            elif not record.value:
                self._reported_minions.pop(minion_id, None)
        self.dispatcher.update_minions(
            self._reported_minions.values(), self._timers.clock()
        )
        for minion_id in self.dispatcher.views:
            if minion_id not in self._polling:
                self._poll_minion(minion_id)
        self._schedule_plan()

    def _evict_gone_minions(self) -> None:
        before = set(self.dispatcher.views)
        self.dispatcher.forget_minions(self._timers.clock())
        for minion_id in before - set(self.dispatcher.views):
            self._minions.forget(minion_id)

    def _poll_minion(self, minion_id: identifiers.MinionId) -> None:
        view = self.dispatcher.views.get(minion_id)
        unreachable = view is None or not view.minion.address[1]
        if not self._active or view is None or unreachable or view.ended:
            self._polling.discard(minion_id)
            return
        self._polling.add(minion_id)
        now = self._timers.clock()
        deadline = None
        wait = 0.0
        if view.token_accepted:
            wait = IDLE_MINION_LONG_POLL_SECONDS
            if view.runs:
                wait = self._compute_long_poll(now)
            if now >= self._compute_leadership_end():
                wait = min(wait, UNCONFIRMED_LONG_POLL_SECONDS)
            reachable = not view.failed_polls and not view.refuses_orders
            if view.runs and reachable and self._may_grant_leases():
                # Renewing the lease of a minion that can't be reached, or only
                # by polls, would delay the time from which its tasks can start
                # elsewhere.
                deadline = view.lease_deadline(now)
        if view.applied_sequence > view.stored_sequence or view.failed_polls:
            wait = 0.0
        if deadline is not None:
            view.record_lease(now)
        self._minions.poll(
            view.minion,
            self.term,
            acked_sequence=self._find_acknowledged(view, now),
            deadline=deadline,
            wait=wait,
            patience=self._response_times.compute_patience(now),
            on_result=lambda outcome: self._on_poll_result(
                minion_id, outcome, now, wait
            ),
        )

    def _find_acknowledged(self, view: run.MinionView, now: float) -> int:
        """Returns the number of the last outcome to acknowledge to a minion.

        One that has not just reported its incarnation to this leader may have
        restarted and number its outcomes from one again.
        """
        age = now - view.last_answer
        if (
            not view.token_accepted
            or view.failed_polls
            or age > ACKNOWLEDGEMENT_VALID_SECONDS
        ):
            return 0
        return view.stored_sequence

    def _compute_long_poll(self, now: float) -> float:
        """Returns how long a poll of a minion with runs waits."""
        match self._response_times.judge(now):
            case responsetime.Condition.LOSSY:
                return LOSSY_LONG_POLL_SECONDS
            case _:
                return BUSY_MINION_LONG_POLL_SECONDS

    def _on_poll_result(
        self,
        minion_id: identifiers.MinionId,
        outcome: ports.PollResult,
        sent: float,
        wait: float,
    ) -> None:
        view = self.dispatcher.views.get(minion_id)
        if not self._active or view is None:
            self._polling.discard(minion_id)
            return
        self._observe_poll(view, outcome, sent, wait)
        pause = 0.0
        try:
            with self._timers.measure_turn("report of a minion"):
                pause = self._apply_poll_result(view, outcome, sent)
        except Exception as error:
            # As without a response: the minion is polled again, and its leases
            # end if none of its reports can be applied.
            self._timers.record_failure(error, "report of a minion")
            self.dispatcher.handle_poll_failure(minion_id, self._timers.clock())
            pause = UNRESPONSIVE_POLL_RETRY_DELAY_SECONDS
        if not self._active:
            return
        if pause:
            self._paused_polls.add(minion_id)
            self._timers.subscribe_once(
                pause, lambda: self._resume_polling(minion_id)
            )
        else:
            self._poll_minion(minion_id)
        self._schedule_plan()

    def _apply_poll_result(
        self, view: run.MinionView, outcome: ports.PollResult, sent: float
    ) -> float:
        """Applies the result of a poll; returns the pause before the next."""
        now = self._timers.clock()
        minion_id = view.minion_id
        pause = 0.0
        match outcome:
            case run.MinionReport():
                if view.failed_polls > 1:
                    event.emit(
                        event.Event.MINION_RESPONSIVE,
                        minion=minion_id,
                        looks=view.failed_polls,
                    )
                self.dispatcher.handle_report(
                    minion_id, outcome, sent=sent, now=now
                )
                if view.applied_sequence > view.stored_sequence:
                    self._flush()
                    # The next poll acknowledges these outcomes; it is sent
                    # once they are stored.
                    if not any(
                        row.sequence <= view.stored_sequence
                        for row in outcome.ended
                    ):
                        pause = UNSTORED_OUTCOMES_POLL_DELAY_SECONDS
            case ports.PollFenced():
                self.step_down(
                    f"minion {minion_id} rejected token {self.term}: it has a"
                    " higher one"
                )
            case ports.IncarnationMismatch():
                self.dispatcher.handle_incarnation_mismatch(minion_id, now)
                pause = UNRESPONSIVE_POLL_RETRY_DELAY_SECONDS
            case ports.Failed():
                self.dispatcher.handle_poll_failure(minion_id, now)
                if view.failed_polls > 1:
                    pause = POLL_RETRY_DELAY_SECONDS
                if view.failed_polls > 3:
                    pause = UNRESPONSIVE_POLL_RETRY_DELAY_SECONDS
                if view.failed_polls == 2:
                    event.emit(
                        event.Event.MINION_UNRESPONSIVE,
                        minion=minion_id,
                        detail=outcome.detail,
                        runs=len(view.runs),
                    )
        return pause

    def _observe_poll(
        self,
        view: run.MinionView,
        outcome: ports.PollResult,
        sent: float,
        wait: float,
    ) -> None:
        now = self._timers.clock()
        match outcome:
            case ports.Failed(verdict.Execution.MAY_HAVE_RUN):
                if not view.failed_polls:
                    self._response_times.observe_timeout(view.minion_id, now)
            case ports.Failed():
                pass
            case _:
                late = now - sent - wait
                # A response that comes before the end of the wait does not
                # tell how long it was on its way.
                self._response_times.observe_response(
                    now, late if late >= 0.0 else None
                )

    def _resume_polling(self, minion_id: identifiers.MinionId) -> None:
        if minion_id in self._paused_polls:
            self._paused_polls.discard(minion_id)
            self._poll_minion(minion_id)

    # Planning.

    def _schedule_plan(self) -> None:
        if self._plan_pending or not self._active or not self._taken_over:
            return
        self._plan_pending = True
        self._timers.subscribe_once(PLAN_DEBOUNCE_SECONDS, self._plan_scheduled)

    def _plan_scheduled(self) -> None:
        self._plan_pending = False
        self._plan()

    def _plan(self) -> None:
        if self._active and self._taken_over:
            with self._timers.measure_turn("planning"):
                self._plan_now()

    def _plan_now(self) -> None:
        now = self._timers.clock()
        condition = self._response_times.judge(now)
        orders = self.dispatcher.plan(
            now,
            self._wall(),
            may_start=self._may_start(),
            responses_late=condition is responsetime.Condition.SLOW,
        )
        for order in orders:
            self._send(order)
        for _ in range(self.dispatcher.take_given_up()):
            self._count_given_up()
        self._report_holds(*self.dispatcher.lookahead.take_changes())
        query = self.dispatcher.policy_cache.take_query()
        if query is not None:
            self._send_query(query)
        self._flush()
        self._schedule_wake()

    def _send_query(self, query: policycache.PolicyQuery) -> None:
        def handle(tickets: Mapping[identifiers.MinionId, str] | None) -> None:
            if self._active:
                self.dispatcher.policy_cache.handle_response(
                    query, tickets, self._timers.clock()
                )
                self._schedule_plan()

        if self._policy is None:
            handle(None)
        else:
            self._policy.ask(query, handle)

    def _schedule_wake(self) -> None:
        """Schedules a planning pass for when the next timed job is due."""
        if self._wake is not None:
            self._wake.cancel()
            self._wake = None
        seconds = self.dispatcher.next_wake(self._wall())
        if seconds < PLAN_INTERVAL_SECONDS:
            self._wake = self._timers.subscribe_once(
                max(0.0, seconds), self._plan
            )

    def _send(self, order: dispatcher.Order) -> None:
        view = self.dispatcher.views.get(order.minion_id)
        if view is None:
            return
        match order:
            case dispatcher.StartRun():
                self._minions.start(
                    view.minion,
                    self.term,
                    order,
                    lambda outcome: self._on_start(order, outcome),
                )
            case dispatcher.StopRun():
                event.emit(
                    event.Event.RUN_STOPPED,
                    task=order.task.render(),
                    run=order.number,
                    minion=order.minion_id,
                )
                self._minions.stop(
                    view.minion,
                    self.term,
                    order,
                    lambda confirmed: self._on_stop(order, confirmed),
                )
            case dispatcher.PaceRun():
                self._minions.pace(view.minion, self.term, order)

    def _on_start(
        self,
        order: dispatcher.StartRun,
        outcome: dispatcher.StartOutcome,
    ) -> None:
        if not self._active:
            return
        self._count_start(outcome.value)
        if outcome is dispatcher.StartOutcome.UNKNOWN:
            self._response_times.observe_timeout(
                order.minion_id, self._timers.clock()
            )
        if outcome is dispatcher.StartOutcome.FENCED:
            self.step_down(
                f"minion {order.minion_id} rejected token {self.term}: it has a"
                " higher one"
            )
            return
        if outcome is not dispatcher.StartOutcome.STARTED:
            event.emit(
                event.Event.START_REFUSED,
                task=order.task.render(),
                run=order.number,
                minion=order.minion_id,
                outcome=outcome.value,
            )
        self.dispatcher.handle_start_outcome(
            order, outcome, self._timers.clock()
        )
        failed = outcome is not dispatcher.StartOutcome.STARTED
        if failed or self.dispatcher.has_starts():
            self._schedule_plan()

    def _on_stop(self, order: dispatcher.StopRun, confirmed: bool) -> None:
        if self._active:
            self.dispatcher.handle_stop_outcome(
                order, confirmed, self._timers.clock()
            )

    # Stored progress.

    def _renew(self) -> None:
        self.queue_record(jobtable.LEADER_KEY, self._render_leader_record())

    def _render_leader_record(self) -> bytes:
        return jobtable.encode_leader_record(
            jobtable.LeaderRecord(
                self.term, self._own_incarnation, self._resigning
            )
        )

    def _compute_leadership_end(self) -> float:
        """Returns until when no other entry can have become leader."""
        if not self._active:
            return -math.inf
        return self._leadership_confirmed_at + LEADERSHIP_VALID_SECONDS

    def _may_grant_leases(self) -> bool:
        """Whether a successor allows for leases that begin now."""
        now = self._timers.clock()
        age = now - self._leadership_confirmed_at
        return (
            age < dispatcher.START_PERMISSION_SECONDS
            or self.dispatcher.may_extend_leases(now)
        )

    def _may_start(self) -> bool:
        """Whether starts may be ordered now.

        While the store takes appends, others may store cancellations that this
        leader does not read.
        """
        takes_appends = self._timers.clock() < self._compute_leadership_end()
        if takes_appends and not self._knows_cancellations():
            return False
        return self._may_grant_leases()

    def _flush(self) -> None:
        """Appends what has changed; at most one append is in flight."""
        if self._log.busy or not self._active:
            return
        if not self._queued_records and not self.dispatcher.has_changes():
            return
        batch = self.dispatcher.take_batch()
        items = self._encode_batch(batch)
        callbacks, self._on_records_stored = self._on_records_stored, []
        if not items:
            self._handle_stored(batch)
            return
        # Outcomes are acknowledged only once all of them are stored; the
        # cursors come last.
        calls = progressrecord.split_calls(items, self._store.limits)
        self._append_calls(
            calls, lambda: self._finish_append(items, batch, callbacks)
        )

    def _encode_batch(self, batch: dispatcher.Batch) -> list[ports.KeyedRecord]:
        """Returns the queued records and those of a batch."""
        queued = self._queued_records
        items = [ports.KeyedRecord(key, value) for key, value in queued.items()]
        self._queued_records = {}
        for job_id, progress in batch.progress.items():
            entry = self._table.find(job_id)
            if entry is not None and entry.accepted is not None:
                items += self._encoder.encode(entry.accepted, progress)
        if batch.progress:
            items += [
                ports.KeyedRecord(
                    jobtable.render_cursor_key(minion_id),
                    json.dumps([cursor.incarnation, cursor.sequence]).encode(),
                )
                for minion_id, cursor in batch.cursors.items()
            ]
        if self._resigning:
            # Nothing is stored after the leadership is released.
            items.sort(key=lambda item: item.key == jobtable.LEADER_KEY)
        return items

    def _append_calls(
        self,
        calls: Sequence[Sequence[ports.KeyedRecord]],
        on_stored: Callable[[], None],
    ) -> None:
        """Appends one call after the other; each renews the leadership."""
        items, *rest = calls

        def handle(outcome: fencedlog.Outcome) -> None:
            match outcome:
                case fencedlog.Superseded():
                    self.step_down(
                        f"the store rejected term {self.term}: it has a later"
                        " one"
                    )
                case fencedlog.Stored(offset, sent):
                    self._leadership_confirmed_at = sent
                    if offset is not None:
                        self._on_stored(items, offset)
                    if not self._active:
                        return
                    if not rest:
                        on_stored()
                        return
                    self._append_calls(
                        [self._add_renewal(rest[0]), *rest[1:]], on_stored
                    )

        self._log.append(items, handle)

    def _add_renewal(
        self, items: Sequence[ports.KeyedRecord]
    ) -> Sequence[ports.KeyedRecord]:
        """Returns `items` with a renewal, so that many calls lose no lead."""
        if any(item.key == jobtable.LEADER_KEY for item in items):
            return items
        record = jobtable.LeaderRecord(self.term, self._own_incarnation)
        value = jobtable.encode_leader_record(record)
        return [ports.KeyedRecord(jobtable.LEADER_KEY, value), *items]

    def _finish_append(
        self,
        items: Sequence[ports.KeyedRecord],
        batch: dispatcher.Batch,
        callbacks: Sequence[Callable[[], None]],
    ) -> None:
        released = self._resigning and any(
            item.value == self._render_leader_record() for item in items
        )
        if released:
            self.step_down("it resigned")
            return
        self._handle_stored(batch)
        for callback in callbacks:
            callback()
        self._flush()

    def _handle_stored(self, batch: dispatcher.Batch) -> None:
        now = self._timers.clock()
        with self._timers.measure_turn("stored progress"):
            orders = self.dispatcher.handle_batch_stored(
                batch, now, may_start=self._may_start()
            )
            for order in orders:
                self._send(order)
        for minion_id in batch.cursors:
            self._resume_polling(minion_id)
