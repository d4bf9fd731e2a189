"""Orders maintenance and moves of machines while this entry leads."""

import collections
import itertools
import math
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Protocol

from clementinewood import (
    autoscaler,
    catalog,
    dispatcher,
    event,
    fencedlog,
    identifiers,
    jobtable,
    machineorders,
    orderhandover,
    pooldemand,
    ports,
    run,
    servingmachines,
    timer,
    waveplanner,
)

LIST_SECONDS = 0.25
"""Period of reading the list of machines. The list shows a crashed machine
before its minion's leases expire, so that its tasks restart earlier."""

ENDED_MINION_SECONDS = 1.0
"""Time since the start of the term after which a minion that no machine lists,
but that has stored assignments, is known to have ended."""

PLAN_SECONDS = 0.1
"""Period of planning; a queue's peak lasts only some seconds."""

LIST_STALE_SECONDS = 3.0
"""Age of the list of machines beyond which no orders are based on it."""

SPARE_RESERVE = 5
"""Spare machines that a wave does not take unless forced: a peak needs about as
many before the machines under maintenance return."""

MAX_MOVES_PER_ROUND = 8
"""Upper limit of the moves ordered in one round of planning. It bounds the cost
of one wrong measurement of demand."""

MAX_MEASURED_STEPS = 16_384
"""Steps whose demand is measured in one turn of the event loop."""


class QueueRecord(Protocol):
    """Queues a record to be appended to the dispatcher's log."""

    def __call__(
        self,
        key: str,
        value: bytes,
        on_stored: Callable[[], None] | None = None,
    ) -> None:
        """Queues `value` under `key` and reports when it is stored."""


class MachineControl:
    """Orders maintenance and moves of machines during one term.

    Args:
        decisions: The dispatcher whose runs the machines hold.
        table: Job table, with the stored progress of waves and moves.
        machines: The platform's machine service; None if there is none.
        decoder: Encodes the wave status shown to operators.
        store: The platform's store.
        timers: Timer service.
        wall: Source of Unix time.
        queue_record: Queues a record to be appended.
        compute_leadership_end: Returns the monotonic time in seconds until
            which no other entry can have become leader.
        on_fenced: Called when a newer leader has used a higher token.
        machine_order_delay_seconds: Seconds before the first order about a
            machine that an earlier leader may just have ordered.
        lease_seconds: Least time in seconds between orders of two leaders
            about one machine.
    """

    def __init__(
        self,
        decisions: dispatcher.Dispatcher,
        table: jobtable.JobTable,
        machines: ports.Machines | None,
        decoder: ports.Decoder,
        store: ports.Store,
        timers: timer.TimerService,
        wall: Callable[[], float],
        *,
        queue_record: QueueRecord,
        compute_leadership_end: Callable[[], float],
        on_fenced: Callable[[], None],
        machine_order_delay_seconds: float,
        lease_seconds: float = math.inf,
    ) -> None:
        self._decisions = decisions
        self._table = table
        self._service = machines
        self._decoder = decoder
        # In order, so that a late append does not undo a later status.
        self._status_log = fencedlog.FencedLog(
            store,
            timers,
            decisions.term,
            sequence=0,
            stream=ports.Stream.STATUS,
        )
        self._timers = timers
        self._wall = wall
        self._queue_record = queue_record
        self._compute_leadership_end = compute_leadership_end
        self._on_fenced = on_fenced
        self._started_at = timers.clock()
        first_order_at = self._started_at + machine_order_delay_seconds
        self._orders_from: dict[identifiers.MachineId, float] = {}
        self._first_order_at = first_order_at
        if machine_order_delay_seconds > 0.0 and lease_seconds < math.inf:
            self._orders_from = orderhandover.compute_waits(
                table.list_machine_orders(),
                now=self._started_at,
                last_order_at=first_order_at - lease_seconds,
                lease_seconds=lease_seconds,
            )
            self._first_order_at = self._started_at
        self._active = False
        self._list_in_flight = False
        self._read_failures = 0
        self._waves: dict[int, waveplanner.WaveState] = {}
        self._machines: dict[identifiers.MachineId, catalog.Machine] = {}
        self._ended_minions: set[identifiers.MinionId] = set()
        self._orders = machineorders.MachineOrders()
        self._invalid_moves: set[tuple[str, str]] = set()
        self._autoscaler = autoscaler.Autoscaler()
        self._job_sizes = pooldemand.JobSizes()
        self._measuring = False
        self._listed_at = float("-inf")
        self._surplus: dict[identifiers.PoolId, int] = {}
        self._max_moves = MAX_MOVES_PER_ROUND
        self._cordoned_for_moves: frozenset[identifiers.MachineId] = frozenset()
        self._subscriptions: list[timer.Subscription] = []

    def start(self) -> None:
        """Starts to read the list of machines and to plan."""
        if self._service is None:
            return
        self._active = True
        for machine_id, move in self._table.moves.items():
            if not move.settled:
                self._orders.restore(
                    machine_id,
                    machineorders.Move(move.pool),
                    move.minion_id,
                    self._started_at,
                )
        self._update_cordons()
        every = self._timers.subscribe_every
        self._subscriptions = [
            every(LIST_SECONDS, self._read),
            every(PLAN_SECONDS, self._plan),
        ]
        self._read()

    def stop(self) -> None:
        """Cancels the timers; sends no more orders."""
        self._active = False
        self._status_log.stop()
        for subscription in self._subscriptions:
            subscription.cancel()

    def list_targets(
        self,
    ) -> list[tuple[catalog.Machine, identifiers.PoolId]] | None:
        """Returns each machine with the pool that it belongs or moves to.

        Returns None while the list of machines is not known, and an empty list
        if there is no machine service.
        """
        if self._service is None:
            return []
        age = self._timers.clock() - self._listed_at
        if not self._machines or age > LIST_STALE_SECONDS:
            return None
        return [
            (
                machine,
                self._orders.find_target(machine.machine_id) or machine.pool,
            )
            for machine in self._machines.values()
        ]

    def set_waves(self, waves: Sequence[catalog.Wave]) -> None:
        """Replaces the waves declared by operators."""
        if self._service is None:
            return
        known = {wave.number for wave in waves}
        for number in list(self._waves):
            if number not in known:
                del self._waves[number]
        for wave in waves:
            state = self._waves.get(wave.number)
            if state is None:
                state = self._waves[wave.number] = self._resume_wave(wave)
            state.wave = wave
        self._update_cordons()

    def _resume_wave(self, wave: catalog.Wave) -> waveplanner.WaveState:
        """Returns the state of a wave as earlier leaders have left it."""
        now = self._timers.clock()
        wall = self._wall()
        stored = self._table.waves.get(wave.number, jobtable.WaveProgress())
        if stored.began is None:
            self._queue_record(
                jobtable.render_wave_key(wave.number),
                jobtable.encode_wave_start(wall),
            )
            state = waveplanner.WaveState(wave, now)
        else:
            age = max(0.0, wall - stored.began)
            state = waveplanner.WaveState(wave, now - age)
        for machine_id, progress in stored.machines.items():
            match progress.stage:
                case jobtable.MaintenanceStage.DRAINING:
                    state.draining_machines[machine_id] = progress.minion_id
                case jobtable.MaintenanceStage.ORDERED:
                    state.draining_machines[machine_id] = progress.minion_id
                    self._orders.restore(
                        machine_id,
                        machineorders.Maintenance(wave.number),
                        progress.minion_id,
                        now,
                    )
                case jobtable.MaintenanceStage.BEGUN:
                    state.done.add(machine_id)
        return state

    # Reading.

    def _read(self) -> None:
        if self._list_in_flight or self._service is None:
            return
        self._list_in_flight = True
        sent = self._timers.clock()
        self._service.list_machines(
            lambda outcome: self._on_list(outcome, sent)
        )

    def _on_list(
        self, outcome: tuple[catalog.Machine, ...] | ports.Failed, sent: float
    ) -> None:
        self._list_in_flight = False
        if not self._active:
            return
        match outcome:
            case ports.Failed(detail=detail):
                self._read_failures += 1
                if self._read_failures == 1:
                    event.emit(event.Event.MACHINES_UNREACHABLE, detail=detail)
                return
            case _:
                self._read_failures = 0
                if not self._machines:
                    self._log_takeover(outcome)
                self._listed_at = sent
                self._detect_ended_minions(outcome, sent)
                self._machines = {item.machine_id: item for item in outcome}
        for order in self._orders.settle(self._machines, sent):
            self._record_settled(order)
        for state in self._waves.values():
            state.down = self._list_down(state.wave)
        self._plan()

    def _list_down(self, wave: catalog.Wave) -> set[identifiers.MachineId]:
        """Returns the machines that are, or may be, down for a wave.

        Those that an earlier leader has taken down are listed as such.
        """
        down = self._orders.list_maintained(wave.number)
        down.update(
            machine_id
            for machine_id in wave.machines
            if machine_id in self._machines
            and self._machines[machine_id].state is catalog.MachineState.UPKEEP
        )
        return down

    def _log_takeover(self, machines: Sequence[catalog.Machine]) -> None:
        states = collections.Counter(item.state for item in machines)
        event.emit(
            event.Event.MACHINES_TAKEN_OVER,
            term=self._decisions.term,
            up=states[catalog.MachineState.UP],
            moving=states[catalog.MachineState.MOVING],
            maintenance=states[catalog.MachineState.UPKEEP],
            down=states[catalog.MachineState.DOWN],
        )

    def _detect_ended_minions(
        self, machines: Sequence[catalog.Machine], sent: float
    ) -> None:
        """Drops runs of minions that no machine lists any more.

        Each incarnation of a machine has its own minion, so the list shows
        every crash, move and maintenance, also those ordered by an earlier
        leader.
        """
        live = {item.minion_id for item in machines}
        if machines:
            self._decisions.live_minions = live
        for item in machines:
            known = self._machines.get(item.machine_id)
            if known is not None and known.minion_id not in live:
                self._ended_minions.add(known.minion_id)
        if machines and sent - self._started_at > ENDED_MINION_SECONDS:
            self._ended_minions.update(
                minion_id
                for minion_id, view in self._decisions.views.items()
                if minion_id not in live
                and any(item.unconfirmed for item in view.runs.values())
            )
        self._ended_minions.update(
            minion_id
            for minion_id, view in self._decisions.views.items()
            if minion_id not in live
            and view.failed_polls
            and view.last_contact > 0.0
            and view.last_contact + machineorders.LIST_LAG_SECONDS <= sent
            and machines
        )
        for minion_id in self._ended_minions & live:
            self._decisions.handle_minion_alive(minion_id)
        self._ended_minions -= live
        for minion_id in list(self._ended_minions):
            if minion_id in self._decisions.views:
                self._decisions.handle_minion_ended(minion_id, sent)
            else:
                self._ended_minions.discard(minion_id)

    # Planning.

    def _plan(self) -> None:
        now = self._timers.clock()
        if now - self._listed_at > LIST_STALE_SECONDS:
            return
        self._mark_maintenance_pending()
        self._update_cordons()
        for state in self._waves.values():
            self._continue_draining(state)
        listed_again = self._started_at + machineorders.LIST_LAG_SECONDS
        if now < self._first_order_at or self._listed_at < listed_again:
            # What the former leader has ordered may not show yet.
            return
        if now >= self._compute_leadership_end():
            return
        for machine_id, start in list(self._orders_from.items()):
            if start <= now:
                del self._orders_from[machine_id]
        loads = self._read_loads(now)
        for state in self._waves.values():
            actions = waveplanner.plan_wave(
                state, self._machines, loads, now, self._surplus
            )
            for action in actions:
                self._carry_out(state, action)
            self._report_wave(state)
        self._plan_moves(now)
        self._send_orders()
        self._update_cordons()

    def _update_cordons(self) -> None:
        """Keeps new work off the machines that are drained or ordered away."""
        cordoned = {
            machine_id: identifiers.MinionId("")
            for machine_id in self._cordoned_for_moves
        }
        for state in self._waves.values():
            cordoned.update(state.draining_machines)
        for order in self._orders:
            cordoned[order.machine_id] = order.minion_id
        for machine_id in cordoned:
            machine = self._machines.get(machine_id)
            if machine is not None:
                cordoned[machine_id] = machine.minion_id
        self._decisions.set_cordoned(
            frozenset(cordoned.values()),
            frozenset(order.minion_id for order in self._orders),
        )

    def _mark_maintenance_pending(self) -> None:
        due = {
            machine_id
            for state in self._waves.values()
            for machine_id in state.wave.machines
            if machine_id not in state.done
        }
        for machine in self._machines.values():
            view = self._find_view(machine)
            if view is not None:
                view.maintenance_pending = machine.machine_id in due

    def _read_loads(
        self, now: float
    ) -> dict[identifiers.MachineId, waveplanner.Load]:
        loads = {}
        for machine in self._machines.values():
            view = self._find_view(machine)
            unread = self._is_unread(machine, now)
            if view is None:
                loads[machine.machine_id] = waveplanner.Load(unread=unread)
                continue
            cpu = view.minion.capacity.cpu
            loads[machine.machine_id] = waveplanner.Load(
                runs=len(view.runs) - view.long_running_count,
                long_running_count=view.long_running_count,
                used=view.used.cpu / cpu if cpu else 0.0,
                has_unstored_outcomes=view.has_unstored_outcomes,
                unread=unread,
            )
        return loads

    def _is_unread(self, machine: catalog.Machine, now: float) -> bool:
        """Whether a machine may hold work that this leader has not read."""
        config = self._decisions.config
        pool = config.pools.get(machine.pool) if config is not None else None
        is_off = pool is not None and pool.spare
        if machine.machine_id in self._orders_from:
            return True
        return (
            not is_off
            and bool(machine.minion_id)
            and self._decisions.may_have_unread_runs(machine.minion_id, now)
        )

    def _find_view(self, machine: catalog.Machine) -> run.MinionView | None:
        view = self._decisions.views.get(machine.minion_id)
        if view is None or view.minion.pool != machine.pool:
            return None
        return view

    def _carry_out(
        self, state: waveplanner.WaveState, action: waveplanner.Action
    ) -> None:
        machine = self._machines[action.machine_id]
        if action.machine_id in self._orders:
            return
        match action.step:
            case waveplanner.WaveAction.DRAIN:
                state.draining_machines[action.machine_id] = machine.minion_id
                self._record_stage(
                    state, machine, jobtable.MaintenanceStage.DRAINING
                )
            case waveplanner.WaveAction.START_MAINTENANCE:
                self._order_maintenance(state, machine)

    def _record_stage(
        self,
        state: waveplanner.WaveState,
        machine: catalog.Machine,
        stage: jobtable.MaintenanceStage,
        on_stored: Callable[[], None] | None = None,
    ) -> None:
        self._queue_record(
            jobtable.render_wave_machine_key(
                state.wave.number, machine.machine_id
            ),
            jobtable.encode_machine_progress(
                jobtable.MachineProgress(stage, machine.minion_id)
            ),
            on_stored,
        )

    def _continue_draining(self, state: waveplanner.WaveState) -> None:
        """Drains machines further as availability budgets permit."""
        for machine_id in state.draining_machines:
            machine = self._machines.get(machine_id)
            if machine is not None and machine_id not in self._orders:
                self._drain(machine)

    def _drain(self, machine: catalog.Machine) -> None:
        """Stops a machine's long-running tasks within budgets."""
        view = self._find_view(machine)
        if view is None:
            return
        for item in list(view.runs.values()):
            if not item.long_running:
                continue
            away = self._decisions.count_unavailable()
            if dispatcher.may_stop(item, away):
                self._decisions.stop_task(item.task)

    # Orders.

    def _order_maintenance(
        self, state: waveplanner.WaveState, machine: catalog.Machine
    ) -> None:
        order = self._orders.add(
            machine.machine_id,
            machineorders.Maintenance(state.wave.number),
            machine.minion_id,
            self._timers.clock(),
        )
        state.down.add(machine.machine_id)
        self._record_stage(
            state,
            machine,
            jobtable.MaintenanceStage.ORDERED,
            lambda: self._on_order_stored(order),
        )

    def _on_order_stored(self, order: machineorders.MachineOrder) -> None:
        if order.state is machineorders.OrderState.STORING:
            order.state = machineorders.OrderState.READY
        self._send_orders()

    def _send_orders(self) -> None:
        """Sends the orders that are due while this entry is the leader."""
        now = self._timers.clock()
        if (
            not self._active
            or now < self._first_order_at
            or now >= self._compute_leadership_end()
        ):
            return
        for order in self._orders:
            machine = self._machines.get(order.machine_id)
            if machine is None or not order.is_due(machine, now):
                continue
            if self._is_unread(machine, now):
                continue
            view = self._find_view(machine)
            if view is None or not view.has_unstored_outcomes:
                self._send(order, now)

    def _send(self, order: machineorders.MachineOrder, now: float) -> None:
        assert self._service is not None
        order.state = machineorders.OrderState.IN_FLIGHT
        order.changed_at = now

        def handle(outcome: ports.MachineOutcome) -> None:
            self._on_order_outcome(order, outcome, now)

        match order.operation:
            case machineorders.Maintenance(wave):
                event.emit(
                    event.Event.MACHINE_ORDERED,
                    machine=order.machine_id,
                    wave=wave,
                    pool=self._machines[order.machine_id].pool,
                    term=self._decisions.term,
                )
                self._service.start_maintenance(
                    order.machine_id,
                    wave,
                    self._decisions.term,
                    handle,
                    send_before=self._compute_leadership_end(),
                )
            case machineorders.Move(pool):
                self._service.move(
                    order.machine_id,
                    pool,
                    self._decisions.term,
                    handle,
                    send_before=self._compute_leadership_end(),
                )

    def _on_order_outcome(
        self,
        order: machineorders.MachineOrder,
        outcome: ports.MachineOutcome,
        sent: float,
    ) -> None:
        if not self._active or not self._orders.is_held(order):
            return
        self._log_answer(order.machine_id, outcome, sent)
        if outcome is ports.MachineOutcome.FENCED:
            self._on_fenced()
            return
        match self._orders.apply_outcome(order, outcome, self._timers.clock()):
            case machineorders.Effect.CARRIED_OUT:
                self._handle_carried_out(order)
            case machineorders.Effect.WITHDRAWN:
                self._handle_withdrawn(order, outcome)
            case machineorders.Effect.OPEN:
                pass

    def _handle_carried_out(self, order: machineorders.MachineOrder) -> None:
        match order.operation:
            case machineorders.Maintenance(wave) if wave in self._waves:
                self._finish_machine(self._waves[wave], order)
            case _:
                pass

    def _handle_withdrawn(
        self,
        order: machineorders.MachineOrder,
        outcome: ports.MachineOutcome,
    ) -> None:
        event.emit(
            event.Event.MACHINE_REFUSED,
            machine=order.machine_id,
            outcome=outcome.value,
            term=self._decisions.term,
        )
        match order.operation:
            case machineorders.Maintenance(wave) if wave in self._waves:
                state = self._waves[wave]
                state.down.discard(order.machine_id)
                if outcome is ports.MachineOutcome.NOT_IN_WAVE:
                    self._finish_machine(state, order)
            case machineorders.Move(pool):
                if outcome is ports.MachineOutcome.INVALID:
                    self._invalid_moves.add((order.machine_id, pool))
                self._record_settled(order)
            case _:
                pass

    def _finish_machine(
        self,
        state: waveplanner.WaveState,
        order: machineorders.MachineOrder,
    ) -> None:
        """Records that a wave has nothing left to do for a machine."""
        state.done.add(order.machine_id)
        state.draining_machines.pop(order.machine_id, None)
        state.unstored.add(order.machine_id)

        def handle_stored() -> None:
            state.unstored.discard(order.machine_id)
            self._report_wave(state)

        self._queue_record(
            jobtable.render_wave_machine_key(
                state.wave.number, order.machine_id
            ),
            jobtable.encode_machine_progress(
                jobtable.MachineProgress(
                    jobtable.MaintenanceStage.BEGUN, order.minion_id
                )
            ),
            handle_stored,
        )

    def _record_settled(self, order: machineorders.MachineOrder) -> None:
        """Records that no successor has to repeat a move."""
        match order.operation:
            case machineorders.Move(pool):
                self._queue_record(
                    jobtable.render_move_key(order.machine_id),
                    jobtable.encode_move(
                        jobtable.StoredMove(pool, order.minion_id, True)
                    ),
                )
            case _:
                pass

    def _log_answer(
        self,
        machine_id: identifiers.MachineId,
        outcome: ports.MachineOutcome,
        sent: float,
    ) -> None:
        """Logs an accepted order, or one that got no response."""
        if outcome in (
            ports.MachineOutcome.ACCEPTED,
            ports.MachineOutcome.UNKNOWN,
        ):
            event.emit(
                event.Event.MACHINE_ANSWERED,
                machine=machine_id,
                outcome=outcome.value,
                seconds=round(self._timers.clock() - sent, 3),
                term=self._decisions.term,
            )

    # Waves.

    def _report_wave(self, state: waveplanner.WaveState) -> None:
        completed = (
            waveplanner.is_completed(state, self._machines)
            and not state.unstored
        )
        stage = "completed" if completed else "running"
        withdrawn = self._waves.get(state.wave.number) is not state
        if withdrawn or not self._machines or not self._active:
            return
        if state.reported == stage:
            return
        if self._status_log.busy:
            # Written after it; the next round of planning comes here again.
            return
        state.reported = stage
        if completed:
            event.emit(
                event.Event.WAVE_COMPLETED,
                wave=state.wave.number,
                machines=len(state.done),
            )
        self._status_log.append(
            [
                self._decoder.encode_wave_status(
                    state.wave.number, completed=completed
                )
            ],
            # A later leader writes the status from then on.
            lambda outcome: None,
        )

    # Moves.

    def _plan_moves(self, now: float) -> None:
        """Measures the demand of all pools, and orders moves that it needs."""
        config = self._decisions.config
        if config is None or self._measuring:
            return
        if not any(pool.spare for pool in config.pools.values()):
            return
        jobs = list(self._decisions.jobs.values())
        demands: dict[identifiers.PoolId, pooldemand.Demand] = {}
        pieces = itertools.chain(
            self._job_sizes.observe_pieces(jobs, self._decisions.times),
            pooldemand.measure_pieces(
                jobs,
                config,
                self._decisions.times,
                now,
                self._job_sizes
                if self._decisions.scheduling.stable_demand
                else None,
                demands,
            ),
        )
        self._measure_some(
            pieces, lambda: self._order_moves(config, demands, now)
        )

    def _measure_some(
        self, pieces: Iterator[int], on_measured: Callable[[], None]
    ) -> None:
        """Measures up to `MAX_MEASURED_STEPS`, and the others in later turns.

        Args:
            pieces: Measures a piece and yields its steps, piece by piece.
            on_measured: Called once all is measured.
        """

        def measure_next() -> None:
            if self._active:
                with self._timers.measure_turn("demand"):
                    self._measure_some(pieces, on_measured)

        # Not while pieces are measured: an error ends this measurement only.
        self._measuring = False
        steps = 0
        for count in pieces:
            steps += count
            if steps >= MAX_MEASURED_STEPS:
                self._measuring = True
                self._timers.subscribe_once(0.0, measure_next)
                return
        on_measured()

    def _order_moves(
        self,
        config: catalog.Configuration,
        demands: Mapping[identifiers.PoolId, pooldemand.Demand],
        now: float,
    ) -> None:
        spare_pools = [
            pool.name for pool in config.pools.values() if pool.spare
        ]
        due = {
            machine_id
            for state in self._waves.values()
            for machine_id in state.draining_machines
        }
        spare = [
            machine.machine_id
            for machine in self._machines.values()
            if machine.pool == spare_pools[0]
            and machine.state is catalog.MachineState.UP
            and machine.machine_id not in self._orders
            and machine.machine_id not in due
            and machine.machine_id not in self._orders_from
            and machine.zone not in self._decisions.evacuated
        ]
        out_of_service = servingmachines.list_out_of_service(
            self._machines.values(), self._find_view, due, now
        )
        loads = [
            self._read_pool(pool.name, demands[pool.name], due, out_of_service)
            for pool in config.pools.values()
            if not pool.spare
        ]
        plan = self._autoscaler.plan(
            loads, spare, spare_pools[0], now, most_moves=self._max_moves
        )
        self._surplus = {
            load.pool: load.machines
            - plan.wanted[load.pool]
            - self._count_wave_machines(load.pool, out_of_service)
            for load in loads
        }
        missing = sum(
            max(0, plan.wanted[load.pool] - load.machines) for load in loads
        )
        self._surplus[spare_pools[0]] = len(spare) - missing - SPARE_RESERVE
        for move in plan.moves:
            self._order_move(move)
        self._cordoned_for_moves = plan.cordoned

    def _count_wave_machines(
        self,
        pool: identifiers.PoolId,
        out_of_service: set[identifiers.MachineId],
    ) -> int:
        """Returns how many of a pool's counted machines are down for waves."""
        return sum(
            1
            for state in self._waves.values()
            for machine_id in state.draining_machines.keys() | state.down
            if machine_id in self._machines
            and machine_id not in out_of_service
            and self._machines[machine_id].pool == pool
        )

    def _read_pool(
        self,
        pool: identifiers.PoolId,
        demand: pooldemand.Demand,
        due: set[identifiers.MachineId],
        out_of_service: set[identifiers.MachineId],
    ) -> autoscaler.PoolLoad:
        machines = 0
        down = 0
        idle = []
        busy: list[tuple[int, identifiers.MachineId]] = []
        cores = memory = 0.0
        for machine in self._machines.values():
            target = self._orders.find_target(machine.machine_id)
            if (target or machine.pool) != pool:
                continue
            if machine.state is catalog.MachineState.DOWN:
                down += 1
                continue
            if machine.zone in self._decisions.evacuated:
                continue
            if machine.machine_id not in out_of_service:
                machines += 1
            cores = max(cores, machine.capacity.cpu / 1000.0)
            memory = max(memory, machine.capacity.memory)
            view = self._find_view(machine)
            if (
                view is None
                or not view.token_accepted
                or view.has_unstored_outcomes
                or machine.machine_id in due
                or machine.machine_id in self._orders
                or machine.machine_id in self._orders_from
                or machine.state is not catalog.MachineState.UP
            ):
                continue
            if not view.runs:
                idle.append(machine.machine_id)
            elif not view.long_running_count:
                busy.append((view.used.cpu, machine.machine_id))
        factor = demand.compute_memory_factor(cores, memory)
        return autoscaler.PoolLoad(
            pool=pool,
            long_running_cores=demand.long_running_cores * factor,
            demand=demand.arriving * factor,
            backlog=demand.open * factor,
            late=demand.late * factor,
            arrivals=demand.arrivals,
            cores=cores,
            machines=machines,
            down=down,
            idle=tuple(idle),
            busy=tuple(machine_id for _, machine_id in sorted(busy)),
            least=max(autoscaler.MIN_MACHINES, demand.least),
        )

    def _order_move(self, move: autoscaler.Move) -> None:
        machine = self._machines[move.machine_id]
        if (move.machine_id, move.pool) in self._invalid_moves:
            return
        order = self._orders.add(
            move.machine_id,
            machineorders.Move(move.pool),
            machine.minion_id,
            self._timers.clock(),
        )
        event.emit(
            event.Event.MACHINE_ORDERED,
            machine=move.machine_id,
            pool=move.pool,
            was=machine.pool,
            lasting=round(move.cause.long_running_cores, 1),
            demand=round(move.cause.demand, 1),
            wanted=move.wanted,
            machines=move.cause.machines,
            term=self._decisions.term,
        )
        self._queue_record(
            jobtable.render_move_key(move.machine_id),
            jobtable.encode_move(
                jobtable.StoredMove(move.pool, machine.minion_id, False)
            ),
            lambda: self._on_order_stored(order),
        )
