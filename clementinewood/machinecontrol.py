"""Orders maintenance and moves of machines while this entry leads."""

import collections
import json
from collections.abc import Callable, Sequence

from clementinewood import (
    autoscaler,
    catalog,
    dispatcher,
    event,
    identifiers,
    jobtable,
    pooldemand,
    ports,
    run,
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

LIST_LAG_SECONDS = 0.4
"""Delay after which the list of machines shows the effect of an order."""


class MachineControl:
    """Orders maintenance and moves of machines during one term.

    Args:
        decisions: The dispatcher whose runs the machines hold.
        table: Job table, with the machines serviced by each wave.
        machines: The platform's machine service; None if there is none.
        decoder: Encodes the wave status shown to operators.
        store: The platform's store.
        timers: Timer service.
        wall: Source of Unix time.
        queue_record: Queues a record, by key and value, to be appended.
        compute_leadership_end: Returns the monotonic time in seconds until
            which no other entry can have become leader.
        on_fenced: Called when a newer leader has used a higher token.
        machine_order_delay_seconds: Seconds before the first order, so that
            orders of two leaders do not overlap.
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
        queue_record: Callable[[str, bytes], None],
        compute_leadership_end: Callable[[], float],
        on_fenced: Callable[[], None],
        machine_order_delay_seconds: float,
    ) -> None:
        self._decisions = decisions
        self._table = table
        self._service = machines
        self._decoder = decoder
        self._store = store
        self._timers = timers
        self._wall = wall
        self._queue_record = queue_record
        self._compute_leadership_end = compute_leadership_end
        self._on_fenced = on_fenced
        self._started_at = timers.clock()
        self._first_order_at = self._started_at + machine_order_delay_seconds
        self._active = False
        self._list_in_flight = False
        self._read_failures = 0
        self._waves: dict[int, waveplanner.WaveState] = {}
        self._machines: dict[identifiers.MachineId, catalog.Machine] = {}
        self._ended_minions: set[identifiers.MinionId] = set()
        self._ordered: dict[identifiers.MachineId, float] = {}
        self._moving_to: dict[identifiers.MachineId, identifiers.PoolId] = {}
        self._invalid_moves: set[tuple[str, str]] = set()
        self._autoscaler = autoscaler.Autoscaler()
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
        every = self._timers.subscribe_every
        self._subscriptions = [
            every(LIST_SECONDS, self._read),
            every(PLAN_SECONDS, self._plan),
        ]
        self._read()

    def stop(self) -> None:
        """Cancels the timers; sends no more orders."""
        self._active = False
        for subscription in self._subscriptions:
            subscription.cancel()

    def set_waves(self, waves: Sequence[catalog.Wave]) -> None:
        """Replaces the waves declared by operators."""
        known = {wave.number for wave in waves}
        for number in list(self._waves):
            if number not in known:
                self._end_wave(self._waves.pop(number))
        for wave in waves:
            state = self._waves.get(wave.number)
            if state is None:
                state = waveplanner.WaveState(wave, self._timers.clock())
                state.done |= self._table.waves.get(wave.number, frozenset())
                self._waves[wave.number] = state
            state.wave = wave

    def _end_wave(self, state: waveplanner.WaveState) -> None:
        for machine_id in state.draining_machines:
            self._set_cordoned(machine_id, cordoned=False)

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
        for machine_id, ordered in list(self._ordered.items()):
            machine = self._machines.get(machine_id)
            if ordered + LIST_LAG_SECONDS > sent:
                continue
            if machine is None or machine.state is catalog.MachineState.UP:
                del self._ordered[machine_id]
                self._moving_to.pop(machine_id, None)
                for state in self._waves.values():
                    state.down.pop(machine_id, None)
                kept = machine_id in self._cordoned_for_moves
                if not kept and not self._is_draining(machine_id):
                    self._set_cordoned(machine_id, cordoned=False)
        self._plan()

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
        for minion_id in self._ended_minions & live:
            self._decisions.handle_minion_alive(minion_id)
        self._ended_minions -= live
        for minion_id in list(self._ended_minions):
            if minion_id in self._decisions.views:
                self._decisions.handle_minion_ended(minion_id, sent)
            else:
                self._ended_minions.discard(minion_id)

    def _is_draining(self, machine_id: identifiers.MachineId) -> bool:
        return any(
            machine_id in state.draining_machines
            for state in self._waves.values()
        )

    # Planning.

    def _plan(self) -> None:
        now = self._timers.clock()
        if now < self._first_order_at or now >= self._compute_leadership_end():
            return
        if now - self._listed_at > LIST_STALE_SECONDS:
            return
        loads = self._read_loads()
        self._mark_maintenance_pending()
        for state in self._waves.values():
            actions = waveplanner.plan_wave(
                state, self._machines, loads, now, self._surplus
            )
            for action in actions:
                self._carry_out(state, action)
            self._continue_draining(state)
            self._report_wave(state)
        self._plan_moves(now)

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

    def _read_loads(self) -> dict[identifiers.MachineId, waveplanner.Load]:
        loads = {}
        for machine in self._machines.values():
            view = self._find_view(machine)
            if view is None:
                continue
            cpu = view.minion.capacity.cpu
            loads[machine.machine_id] = waveplanner.Load(
                runs=len(view.runs) - view.long_running_count,
                long_running_count=view.long_running_count,
                used=view.used.cpu / cpu if cpu else 0.0,
                has_unstored_outcomes=view.has_unstored_outcomes,
            )
        return loads

    def _find_view(self, machine: catalog.Machine) -> run.MinionView | None:
        view = self._decisions.views.get(machine.minion_id)
        if view is None or view.minion.pool != machine.pool:
            return None
        return view

    def _carry_out(
        self, state: waveplanner.WaveState, action: waveplanner.Action
    ) -> None:
        machine = self._machines[action.machine_id]
        if action.machine_id in self._ordered:
            return
        match action.step:
            case waveplanner.WaveAction.DRAIN:
                state.draining_machines.add(action.machine_id)
            case waveplanner.WaveAction.START_MAINTENANCE:
                self._order_maintenance(state, machine)

    def _continue_draining(self, state: waveplanner.WaveState) -> None:
        """Drains machines further as availability budgets permit."""
        for machine_id in state.draining_machines:
            machine = self._machines.get(machine_id)
            if machine is not None and machine_id not in self._ordered:
                self._drain(machine)

    def _drain(self, machine: catalog.Machine) -> None:
        """Cordons a machine and stops its long-running tasks within budgets."""
        view = self._find_view(machine)
        if view is None:
            return
        view.cordoned = True
        for item in list(view.runs.values()):
            if not item.long_running:
                continue
            away = self._decisions.count_unavailable()
            if dispatcher.may_stop(item, away):
                self._decisions.stop_task(item.task)

    def _set_cordoned(
        self, machine_id: identifiers.MachineId, *, cordoned: bool
    ) -> None:
        machine = self._machines.get(machine_id)
        view = self._find_view(machine) if machine is not None else None
        if view is not None:
            view.cordoned = cordoned

    def _order_maintenance(
        self, state: waveplanner.WaveState, machine: catalog.Machine
    ) -> None:
        assert self._service is not None
        now = self._timers.clock()
        machine_id = machine.machine_id
        self._ordered[machine_id] = now
        state.down[machine_id] = now
        event.emit(
            event.Event.MACHINE_ORDERED,
            machine=machine_id,
            wave=state.wave.number,
            pool=machine.pool,
            term=self._decisions.term,
        )
        self._service.start_maintenance(
            machine_id,
            state.wave.number,
            self._decisions.term,
            lambda outcome: self._on_maintenance_outcome(
                state, machine, outcome, now
            ),
            send_before=self._compute_leadership_end(),
        )

    def _on_maintenance_outcome(
        self,
        state: waveplanner.WaveState,
        machine: catalog.Machine,
        outcome: ports.MachineOutcome,
        ordered_at: float,
    ) -> None:
        if not self._active:
            return
        machine_id = machine.machine_id
        self._log_answer(machine_id, outcome, ordered_at)
        match outcome:
            case ports.MachineOutcome.ACCEPTED:
                state.done.add(machine_id)
                state.draining_machines.discard(machine_id)
                self._ordered[machine_id] = self._timers.clock()
                self._queue_record(
                    jobtable.render_wave_key(state.wave.number),
                    json.dumps(sorted(state.done)).encode(),
                )
                self._handle_minion_ended(machine)
                self._report_wave(state)
                return
            case ports.MachineOutcome.NOT_IN_WAVE:
                state.done.add(machine_id)
                state.draining_machines.discard(machine_id)
                self._set_cordoned(machine_id, cordoned=False)
            case ports.MachineOutcome.UNKNOWN:
                # Maintenance may still begin: the machine keeps counting
                # against the cap, and the order is repeated once the list
                # shows the machine up.
                return
            case ports.MachineOutcome.FENCED:
                self._on_fenced()
            case _:
                pass
        self._log_rejection(machine_id, outcome)
        self._ordered.pop(machine_id, None)
        state.down.pop(machine_id, None)

    def _log_answer(
        self,
        machine_id: identifiers.MachineId,
        outcome: ports.MachineOutcome,
        ordered_at: float,
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
                seconds=round(self._timers.clock() - ordered_at, 3),
                term=self._decisions.term,
            )

    def _log_rejection(
        self, machine_id: identifiers.MachineId, outcome: ports.MachineOutcome
    ) -> None:
        event.emit(
            event.Event.MACHINE_REFUSED,
            machine=machine_id,
            outcome=outcome.value,
            term=self._decisions.term,
        )

    def _handle_minion_ended(self, machine: catalog.Machine) -> None:
        """Drops the runs of a machine whose minion has ended."""
        view = self._find_view(machine)
        if view is not None:
            self._decisions.handle_minion_ended(
                view.minion_id, self._timers.clock()
            )

    def _report_wave(self, state: waveplanner.WaveState) -> None:
        completed = waveplanner.is_completed(state, self._machines)
        stage = "completed" if completed else "running"
        if state.reported == stage or not self._machines:
            return
        state.reported = stage
        if completed:
            event.emit(
                event.Event.WAVE_COMPLETED,
                wave=state.wave.number,
                machines=len(state.done),
            )
        self._write_status(state, completed=completed)

    def _write_status(
        self, state: waveplanner.WaveState, *, completed: bool
    ) -> None:
        number = state.wave.number

        def check(outcome: ports.AppendResult) -> None:
            if not isinstance(outcome, ports.Appended) and self._active:
                state.reported = ""

        self._store.append(
            ports.Stream.STATUS,
            [self._decoder.encode_wave_status(number, completed=completed)],
            check,
        )

    # Moves.

    def _plan_moves(self, now: float) -> None:
        config = self._decisions.config
        if config is None:
            return
        spare_pools = [
            pool.name for pool in config.pools.values() if pool.spare
        ]
        if not spare_pools:
            return
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
            and machine.machine_id not in self._ordered
            and machine.machine_id not in due
            and machine.zone not in self._decisions.evacuated
        ]
        demands = pooldemand.measure_demand(
            self._decisions.jobs.values(), config, self._decisions.times, now
        )
        loads = [
            self._read_pool(pool.name, demands[pool.name], due)
            for pool in config.pools.values()
            if not pool.spare
        ]
        plan = self._autoscaler.plan(
            loads, spare, spare_pools[0], now, most_moves=self._max_moves
        )
        self._surplus = {
            load.pool: load.machines
            - plan.wanted[load.pool]
            - self._count_wave_machines(load.pool)
            for load in loads
        }
        missing = sum(
            max(0, plan.wanted[load.pool] - load.machines) for load in loads
        )
        self._surplus[spare_pools[0]] = len(spare) - missing - SPARE_RESERVE
        for move in plan.moves:
            self._order_move(move)
        self._cordon_for_moves(plan.cordoned)

    def _cordon_for_moves(
        self, cordoned: frozenset[identifiers.MachineId]
    ) -> None:
        """Cordons the machines that are to move soon; uncordons the others."""
        for machine_id in self._cordoned_for_moves - cordoned:
            if not self._is_draining(machine_id):
                self._set_cordoned(machine_id, cordoned=False)
        for machine_id in cordoned:
            self._set_cordoned(machine_id, cordoned=True)
        self._cordoned_for_moves = cordoned

    def _count_wave_machines(self, pool: identifiers.PoolId) -> int:
        """Returns the number of a pool's machines drained or down for waves."""
        return sum(
            1
            for state in self._waves.values()
            for machine_id in state.draining_machines | state.down.keys()
            if machine_id in self._machines
            and self._machines[machine_id].pool == pool
        )

    def _read_pool(
        self,
        pool: identifiers.PoolId,
        demand: pooldemand.Demand,
        due: set[identifiers.MachineId],
    ) -> autoscaler.PoolLoad:
        machines = 0
        down = 0
        idle = []
        busy: list[tuple[int, identifiers.MachineId]] = []
        cores = 0.0
        for machine in self._machines.values():
            target = self._moving_to.get(machine.machine_id, machine.pool)
            if target != pool:
                continue
            if machine.state is catalog.MachineState.DOWN:
                down += 1
                continue
            if machine.zone in self._decisions.evacuated:
                continue
            machines += 1
            cores = max(cores, machine.capacity.cpu / 1000.0)
            view = self._find_view(machine)
            if (
                view is None
                or not view.token_accepted
                or view.has_unstored_outcomes
                or machine.machine_id in due
                or machine.machine_id in self._ordered
                or machine.state is not catalog.MachineState.UP
            ):
                continue
            if not view.runs:
                idle.append(machine.machine_id)
            elif not view.long_running_count:
                busy.append((view.used.cpu, machine.machine_id))
        return autoscaler.PoolLoad(
            pool=pool,
            long_running_cores=demand.long_running_cores,
            demand=max(demand.open, demand.arriving),
            arrivals=demand.arrivals,
            cores=cores,
            machines=machines,
            down=down,
            idle=tuple(idle),
            busy=tuple(machine_id for _, machine_id in sorted(busy)),
            least=max(autoscaler.MIN_MACHINES, demand.least),
        )

    def _order_move(self, move: autoscaler.Move) -> None:
        assert self._service is not None
        machine = self._machines[move.machine_id]
        if (move.machine_id, move.pool) in self._invalid_moves:
            return
        view = self._find_view(machine)
        if view is not None:
            view.cordoned = True
        now = self._timers.clock()
        self._ordered[move.machine_id] = now
        self._moving_to[move.machine_id] = move.pool
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
        self._service.move(
            move.machine_id,
            move.pool,
            self._decisions.term,
            lambda outcome: self._on_move(move, machine, outcome, now),
            send_before=self._compute_leadership_end(),
        )

    def _on_move(
        self,
        move: autoscaler.Move,
        machine: catalog.Machine,
        outcome: ports.MachineOutcome,
        ordered_at: float,
    ) -> None:
        if not self._active:
            return
        self._log_answer(move.machine_id, outcome, ordered_at)
        match outcome:
            case ports.MachineOutcome.ACCEPTED:
                self._ordered[move.machine_id] = self._timers.clock()
                self._handle_minion_ended(machine)
                return
            case ports.MachineOutcome.UNKNOWN:
                return
            case ports.MachineOutcome.FENCED:
                self._on_fenced()
            case ports.MachineOutcome.INVALID:
                self._invalid_moves.add((move.machine_id, move.pool))
            case _:
                pass
        self._log_rejection(move.machine_id, outcome)
        self._ordered.pop(move.machine_id, None)
        self._moving_to.pop(move.machine_id, None)
        self._set_cordoned(move.machine_id, cordoned=False)
