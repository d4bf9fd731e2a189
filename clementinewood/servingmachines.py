"""Tells which machines of a pool take no work for a while.

Load pattern: a peak meets a maintenance wave, crashes of a rack or minions that
answer nothing. Machines that are drained or unresponsive belong to their pool
and run nothing new; counted as its capacity, they hide that it is short, while
spare machines stand idle.
"""

from collections.abc import Callable, Collection, Iterable

from clementinewood import catalog, identifiers, run

UNRESPONSIVE_POLLS = 2
"""Polls in a row without a response from which a machine takes no work for a
while; single responses get lost."""

EJECTION_IGNORED_SECONDS = 1.0
"""Ejections that end within this time do not make a machine count as missing: a
machine that moves in instead takes longer."""


def list_out_of_service(
    machines: Iterable[catalog.Machine],
    find_view: Callable[[catalog.Machine], run.MinionView | None],
    draining: Collection[identifiers.MachineId],
    now: float,
) -> set[identifiers.MachineId]:
    """Returns the machines that are up and take no work for a while.

    If most minions seem unresponsive, the fault is on this entry's side, and
    other machines would be no better.

    Args:
        machines: All machines.
        find_view: Returns the view of a machine's minion; None if it has none
            yet, as after a move.
        draining: Machines that are drained for maintenance.
        now: Monotonic time in seconds.
    """
    found = set()
    unresponsive = set()
    responsive = 0
    for machine in machines:
        if machine.state is not catalog.MachineState.UP:
            continue
        view = find_view(machine)
        if machine.machine_id in draining:
            found.add(machine.machine_id)
        elif view is None:
            continue
        elif view.draining:
            found.add(machine.machine_id)
        elif (
            view.failed_polls >= UNRESPONSIVE_POLLS
            or view.ejected_until > now + EJECTION_IGNORED_SECONDS
        ):
            unresponsive.add(machine.machine_id)
        else:
            responsive += 1
    if len(unresponsive) < responsive:
        found |= unresponsive
    return found


if __name__ == "__main__":
    print(list_out_of_service([], lambda machine: None, (), 0.0))
