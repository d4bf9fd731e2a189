"""Reserves minions for the next steps of a job that runs.

Load pattern: the store becomes slow or takes nothing for seconds while jobs of
several steps run. The assignment of a task is stored before its start is
ordered, so that a new leader knows where the task may run; each step would wait
for the store again. The tasks of the next steps are therefore assigned together
with those of the first one, to the same minions, which have room when it ends.
A task whose minion is full by then is assigned anew.
"""

import dataclasses
from collections.abc import Sequence

from clementinewood import activejob, identifiers, job

MAX_RESERVED_TASKS = 1024
"""Tasks of later steps after which no further step is assigned in advance: each
takes memory at the leader and a row of the job's stored progress."""


@dataclasses.dataclass(eq=False, slots=True)
class Reservation:
    """Assignment of a task whose step is not open yet.

    Attributes:
        task: The task.
        number: Number that its start will have.
        minion_id: Minion that it is assigned to.
        stored: Whether the assignment is stored, so that it may start.
    """

    task: job.TaskId
    number: int
    minion_id: identifiers.MinionId
    stored: bool = False


def reserve_next_steps(
    active: activejob.ActiveJob, work: activejob.OpenStep
) -> list[Reservation]:
    """Assigns the tasks of all steps to come to the minions of `work`.

    Members of a gang share a number, and long-running tasks are packed; they
    are assigned when they may start.

    Args:
        active: The job; the assignments are added to its progress.
        work: A step whose tasks have all been assigned.
    """
    minions = [
        item.minion_id
        for position in range(work.step.count)
        if (item := active.find_live(work, position)) is not None
    ]
    if not minions:
        return []
    made: list[Reservation] = []
    for number, step in enumerate(active.job.steps):
        opened = active.has_opened(work.occurrence, number)
        if opened or step.gang or step.long_running:
            continue
        if len(made) + step.count > MAX_RESERVED_TASKS:
            break
        made += _reserve_step(active, work.occurrence, number, minions)
    return made


def _reserve_step(
    active: activejob.ActiveJob,
    occurrence: int,
    number: int,
    minions: Sequence[identifiers.MinionId],
) -> list[Reservation]:
    step = active.job.steps[number]
    assignments = active.progress.assignments
    counts: dict[identifiers.MinionId, int] = {}
    made: list[Reservation] = []
    for index in range(step.count):
        place = (occurrence, number, index)
        task = job.TaskId(active.job.job_id, *place)
        minion_id = minions[index % len(minions)]
        count = counts.get(minion_id, 0)
        full = step.max_per_minion and count >= step.max_per_minion
        if full or place in assignments or active.progress.is_done(task):
            continue
        counts[minion_id] = count + 1
        reserved = Reservation(task, active.next_number(task), minion_id)
        active.progress.assign(place, reserved.number, minion_id)
        made.append(reserved)
    return made
