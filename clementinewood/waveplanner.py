"""Plans when each machine of a maintenance wave is drained and serviced.

Load pattern: a wave names up to half of all machines while queues peak in
turn. Machines are drained before maintenance, so that few runs are interrupted,
and idle machines go first. Each pool gives one machine at a time, more if it
has a surplus and none while it is short, unless the time left would otherwise
not suffice.
"""

import dataclasses
import enum
from collections.abc import Mapping, Sequence

from clementinewood import catalog, identifiers

TURN_SECONDS = 4.0
"""Time to drain one machine, service it and return it to its pool."""

FORCE_FACTOR = 1.25
"""Runs are interrupted once the time left falls below this multiple of the time
that the remaining turns take."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Load:
    """Work on one machine.

    Attributes:
        runs: Number of runs that end by themselves.
        long_running_count: Number of long-running tasks.
        used: Share of its processors in use.
        has_unstored_outcomes: Whether it has reported outcomes that are not
            stored yet; they would be lost with the minion, and the tasks would
            run again.
        unread: Whether it may hold work that this leader has not read.
    """

    runs: int = 0
    long_running_count: int = 0
    used: float = 0.0
    has_unstored_outcomes: bool = False
    unread: bool = False


@dataclasses.dataclass(slots=True)
class WaveState:
    """Progress of one wave.

    Attributes:
        wave: The wave.
        began: Monotonic time in seconds at which it became known.
        done: Machines whose maintenance has begun.
        draining_machines: Machines that are being drained, with the minion of
            each when that began.
        down: Machines that are down for the wave or have been ordered down,
            also by earlier leaders.
        reported: Status last written for operators.
        unstored: Machines whose end of maintenance is not stored yet.
    """

    wave: catalog.Wave
    began: float
    done: set[identifiers.MachineId] = dataclasses.field(default_factory=set)
    draining_machines: dict[identifiers.MachineId, identifiers.MinionId] = (
        dataclasses.field(default_factory=dict)
    )
    down: set[identifiers.MachineId] = dataclasses.field(default_factory=set)
    reported: str = ""
    unstored: set[identifiers.MachineId] = dataclasses.field(
        default_factory=set
    )


class WaveAction(enum.Enum):
    """Next action for a machine of a wave."""

    DRAIN = "empty"
    """Gives it no new work and moves its long-running tasks away."""

    START_MAINTENANCE = "begin"
    """Begins its maintenance."""


@dataclasses.dataclass(frozen=True, slots=True)
class Action:
    """Action for one machine."""

    machine_id: identifiers.MachineId
    step: WaveAction


def plan_wave(
    state: WaveState,
    machines: Mapping[identifiers.MachineId, catalog.Machine],
    loads: Mapping[identifiers.MachineId, Load],
    now: float,
    surplus: Mapping[identifiers.PoolId, int],
) -> list[Action]:
    """Returns the actions of a wave to take now.

    Args:
        state: Progress of the wave.
        machines: All machines.
        loads: Work on each machine.
        now: Monotonic time in seconds.
        surplus: Machines that each pool has above its need; negative if it is
            short.
    """
    wave = state.wave
    left = [
        machine_id
        for machine_id in wave.machines
        if machine_id not in state.done
        and machine_id not in state.down
        and machine_id in machines
        and machines[machine_id].state is catalog.MachineState.UP
    ]
    slots = max(1, wave.cap)
    turns = -(-len(left) // slots)
    time_left = state.began + wave.seconds - now
    forced = time_left < turns * TURN_SECONDS * FORCE_FACTOR
    actions = []
    free = slots - len(state.down)
    for machine_id in sorted(state.draining_machines):
        load = loads.get(machine_id, Load())
        ready = not load.long_running_count and (not load.runs or forced)
        if load.has_unstored_outcomes or load.unread:
            continue
        if machine_id in left and ready and free > 0:
            free -= 1
            actions.append(Action(machine_id, WaveAction.START_MAINTENANCE))
    room = slots - len(state.down | state.draining_machines.keys())
    waiting = [item for item in left if item not in state.draining_machines]
    taken: dict[identifiers.PoolId, int] = {}
    occupied = {
        machines[machine_id].pool
        for machine_id in state.draining_machines.keys() | state.down
        if machine_id in machines
    }
    shortage = {
        machine_id: max(0, -surplus.get(machines[machine_id].pool, 0))
        for machine_id in waiting
    }
    for machine_id in _order_machines(waiting, loads, shortage):
        if room <= 0:
            break
        pool = machines[machine_id].pool
        allowed = surplus.get(pool, 0)
        if not allowed and pool not in occupied:
            allowed = 1
        if not forced and taken.get(pool, 0) >= allowed:
            continue
        taken[pool] = taken.get(pool, 0) + 1
        room -= 1
        actions.append(Action(machine_id, WaveAction.DRAIN))
    return actions


def is_completed(
    state: WaveState,
    machines: Mapping[identifiers.MachineId, catalog.Machine],
) -> bool:
    """Whether maintenance has begun on all of the wave's listed machines."""
    return all(
        machine_id in state.done or machine_id not in machines
        for machine_id in state.wave.machines
    )


def _order_machines(
    machine_ids: Sequence[identifiers.MachineId],
    loads: Mapping[identifiers.MachineId, Load],
    shortage: Mapping[identifiers.MachineId, int],
) -> list[identifiers.MachineId]:
    """Returns the machines in the order in which they should be drained.

    Idle machines come first, then those with the fewest long-running tasks;
    machines of pools that are short come last.
    """

    def rank(machine_id: identifiers.MachineId) -> tuple[float, ...]:
        load = loads.get(machine_id, Load())
        return (shortage[machine_id], load.long_running_count, load.used)

    return sorted(machine_ids, key=rank)
