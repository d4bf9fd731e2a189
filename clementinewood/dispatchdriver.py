"""Carries out a dispatcher's decisions while it is in office."""

import json
from collections.abc import Callable, Mapping, Sequence

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
    machinecontrol,
    policycache,
    ports,
    run,
    timer,
)

PLAN_DEBOUNCE_SECONDS = 0.004
"""Events within this time are planned for together."""

PLAN_INTERVAL_SECONDS = 0.1
"""Period of planning without events: leases, paces and repeated stops."""

BUSY_MINION_LONG_POLL_SECONDS = 1.0
"""How long a poll at a working minion waits for an end; four polls fit into a
lease."""

IDLE_MINION_LONG_POLL_SECONDS = 2.0
"""The same for a minion without runs; the longest wait that minions allow."""

POLL_RETRY_DELAY_SECONDS = 0.15
"""Pause after a poll without an answer."""

UNRESPONSIVE_POLL_RETRY_DELAY_SECONDS = 0.6
"""Pause between polls at a minion that stays silent."""

UNSTORED_OUTCOMES_POLL_DELAY_SECONDS = 0.5
"""Pause between polls while ends wait to be stored: such polls return at once
and only extend the lease."""

MINIONS_READ_INTERVAL_SECONDS = 0.1
"""Least time between two reads of what minions report; each writes every
second and a half, and machines take as long to move."""

LEADERSHIP_VALID_SECONDS = 0.8
"""Age of the last stored append from which no machine is ordered: another
entry may claim the office a second after the last renewal it has read."""

MINION_EVICTION_INTERVAL_SECONDS = 1.0
"""Period of dropping minions that are gone."""


class DispatchDriver:
    """One time in office.

    Args:
        term: Its number.
        log: Appends of this term, after the claim.
        own_incarnation: This process.
        table: Jobs folded up to the claim at least.
        store: The platform's store.
        minions: Orders to minions.
        machines: Orders about machines; None where there are none.
        policy: The policy service; None where there is none.
        decoder: Reads the platform's records.
        timers: Timer service.
        wall: Source of Unix time.
        on_stored: Called with records that were stored and their offset.
        on_leadership_lost: Called once when the leadership is lost.
        machine_order_delay_seconds: Seconds before the first order about a
            machine.
        count_start: Counts an order to start a run by its outcome.
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
        count_start: Callable[[str], None],
    ) -> None:
        self.term = term
        self.dispatcher = dispatcher.Dispatcher(term, timers.clock())
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
        self._on_leadership_lost = on_leadership_lost
        self._active = True
        self._plan_pending = False
        self._taken_over = False
        self._leadership_confirmed_at = timers.clock()
        self._queued_records: dict[str, bytes] = {}
        self._resigning = False
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
            is_leadership_valid=self._is_leadership_valid,
            on_fenced=lambda: self.step_down("a machine order was fenced"),
            machine_order_delay_seconds=machine_order_delay_seconds,
        )
        self._feed = feed.Feed(
            store,
            ports.Stream.MINIONS,
            timers,
            on_snapshot=self._load_minions,
            on_records=self._fold_minions,
            min_read_interval=MINIONS_READ_INTERVAL_SECONDS,
        )

    def start(self, declared: ports.Declarations) -> None:
        """Takes over all unfinished jobs and claims every minion."""
        self.dispatcher.cursors.update(self._table.cursors)
        for entry in self._table:
            self.apply_job_entry(entry)
        self._taken_over = True
        self.apply_declarations(declared)
        self._feed.start()
        self.machine_control.start()
        every = self._timers.subscribe_every
        self._subscriptions += [
            every(PLAN_INTERVAL_SECONDS, self._plan),
            every(election.LEADER_RENEWAL_INTERVAL_SECONDS, self._renew),
            every(MINION_EVICTION_INTERVAL_SECONDS, self._evict_gone_minions),
        ]
        event.emit(event.Event.LEADERSHIP_ACQUIRED, term=self.term)

    def step_down(self, reason: str) -> None:
        """Stops giving orders and tells the entry."""
        if self._active:
            self.stop()
            self._on_leadership_lost(reason)

    def stop(self) -> None:
        """Stops giving orders."""
        self._active = False
        self._log.stop()
        self._feed.stop()
        self.machine_control.stop()
        for subscription in self._subscriptions:
            subscription.cancel()

    def resign(self) -> None:
        """Gives the office up, so that another entry claims it at once."""
        self._resigning = True
        self._renew()

    # Input from the entry.

    def apply_job_entry(self, entry: jobtable.JobEntry) -> None:
        """Takes a job that was accepted or cancelled."""
        accepted = entry.accepted
        if accepted is None:
            return
        if entry.cancelled:
            self.dispatcher.cancel_job(accepted.job_id)
        elif entry.progress.state not in job.TERMINAL:
            self.dispatcher.add_job(
                accepted,
                entry.progress.copy(),
                self._compute_arrival_time(accepted),
            )
        else:
            return
        self._schedule_plan()

    def _compute_arrival_time(self, accepted: job.Job) -> float:
        """Returns when a job was accepted or is due, in monotonic seconds.

        A job that comes in while this entry dispatches has just been
        accepted; the clock of the entry that took it may be off by seconds.
        """
        now = self._timers.clock()
        if self._taken_over and not accepted.start:
            return now
        return now - self._wall() + max(accepted.accepted, accepted.start)

    def apply_declarations(self, declared: ports.Declarations) -> None:
        """Takes what operators declare now."""
        self.dispatcher.config = declared.configuration
        self.dispatcher.evacuated = declared.evacuated
        self.machine_control.set_waves(declared.waves)
        self._schedule_plan()

    def queue_record(self, key: str, value: bytes) -> None:
        """Stores a record of the dispatcher's own with the next append."""
        self._queued_records[key] = value
        self._flush()

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
            wait = (
                BUSY_MINION_LONG_POLL_SECONDS
                if view.runs
                else IDLE_MINION_LONG_POLL_SECONDS
            )
            if view.runs and not view.failed_polls:
                # A silent minion may hear this: extending its lease would
                # put off the time from which its tasks can start elsewhere.
                deadline = view.lease_deadline(now)
        if view.applied_sequence > view.stored_sequence or view.failed_polls:
            wait = 0.0
        if deadline is not None:
            view.record_lease(now)
        self._minions.poll(
            view.minion,
            self.term,
            # A minion that was silent may have started anew and number its
            # ends from one again: nothing is acknowledged until it has said
            # which life it is in.
            acked_sequence=0 if view.failed_polls else view.stored_sequence,
            deadline=deadline,
            wait=wait,
            on_result=lambda outcome: self._on_poll_result(
                minion_id, outcome, now
            ),
        )

    def _on_poll_result(
        self,
        minion_id: identifiers.MinionId,
        outcome: ports.PollResult,
        sent: float,
    ) -> None:
        view = self.dispatcher.views.get(minion_id)
        if not self._active or view is None:
            self._polling.discard(minion_id)
            return
        now = self._timers.clock()
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
                    # The next poll acknowledges these ends; it is sent once
                    # they are stored.
                    pause = UNSTORED_OUTCOMES_POLL_DELAY_SECONDS
                    if view.applied_sequence <= view.stored_sequence:
                        pause = 0.0
            case ports.PollFenced():
                self.step_down(f"minion {minion_id} was given a higher token")
                return
            case ports.IncarnationMismatch():
                self.dispatcher.handle_incarnation_mismatch(minion_id, now)
                pause = UNRESPONSIVE_POLL_RETRY_DELAY_SECONDS
            case ports.Failed():
                self.dispatcher.handle_poll_failure(minion_id, now)
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
        if pause:
            self._paused_polls.add(minion_id)
            self._timers.subscribe_once(
                pause, lambda: self._resume_polling(minion_id)
            )
        else:
            self._poll_minion(minion_id)
        self._schedule_plan()

    def _resume_polling(self, minion_id: identifiers.MinionId) -> None:
        if minion_id in self._paused_polls:
            self._paused_polls.discard(minion_id)
            self._poll_minion(minion_id)

    # Planning.

    def _schedule_plan(self) -> None:
        if self._plan_pending or not self._active:
            return
        self._plan_pending = True
        self._timers.subscribe_once(PLAN_DEBOUNCE_SECONDS, self._plan_scheduled)

    def _plan_scheduled(self) -> None:
        self._plan_pending = False
        self._plan()

    def _plan(self) -> None:
        if not self._active:
            return
        for order in self.dispatcher.plan(self._timers.clock(), self._wall()):
            self._send(order)
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
        """Plans again when the next timed job is due."""
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
                    lambda answered: self._on_stop(order, answered),
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
        if outcome is dispatcher.StartOutcome.FENCED:
            self.step_down(f"minion {order.minion_id} was given a higher token")
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
            order, outcome, self._timers.clock(), self._wall()
        )
        if outcome is not dispatcher.StartOutcome.STARTED:
            self._schedule_plan()

    def _on_stop(self, order: dispatcher.StopRun, answered: bool) -> None:
        if self._active:
            self.dispatcher.handle_stop_outcome(
                order, answered, self._timers.clock()
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

    def _is_leadership_valid(self) -> bool:
        """Whether no other entry can have claimed the office by now."""
        age = self._timers.clock() - self._leadership_confirmed_at
        return self._active and age < LEADERSHIP_VALID_SECONDS

    def _flush(self) -> None:
        """Stores what has changed; one append is on its way at a time."""
        if self._log.busy or not self._active:
            return
        if not self._queued_records and not self.dispatcher.has_changes():
            return
        batch = self.dispatcher.take_batch()
        items = [
            ports.KeyedRecord(
                jobtable.render_key(jobtable.RecordKind.PROGRESS, job_id),
                job.encode_progress(progress),
            )
            for job_id, progress in batch.progress.items()
        ]
        if items:
            items += [
                ports.KeyedRecord(
                    jobtable.render_cursor_key(minion_id),
                    json.dumps([cursor.incarnation, cursor.sequence]).encode(),
                )
                for minion_id, cursor in batch.cursors.items()
            ]
        items += [
            ports.KeyedRecord(key, value)
            for key, value in self._queued_records.items()
        ]
        self._queued_records.clear()
        if not items:
            self._handle_stored(batch)
            return
        self._log.append(
            items, lambda outcome: self._on_append(items, batch, outcome)
        )

    def _on_append(
        self,
        items: Sequence[ports.KeyedRecord],
        batch: dispatcher.Batch,
        outcome: fencedlog.Outcome,
    ) -> None:
        match outcome:
            case fencedlog.Superseded():
                self.step_down("the store has seen a later term")
            case fencedlog.Stored(offset, sent):
                self._leadership_confirmed_at = sent
                if offset is not None:
                    self._on_stored(items, offset)
                self._finish_append(items, batch)

    def _finish_append(
        self, items: Sequence[ports.KeyedRecord], batch: dispatcher.Batch
    ) -> None:
        released = self._resigning and any(
            item.value == self._render_leader_record() for item in items
        )
        if released:
            self.step_down("it was given up")
            return
        self._handle_stored(batch)
        self._flush()

    def _handle_stored(self, batch: dispatcher.Batch) -> None:
        now = self._timers.clock()
        for order in self.dispatcher.handle_batch_stored(batch, now):
            self._send(order)
        for minion_id in batch.cursors:
            self._resume_polling(minion_id)
