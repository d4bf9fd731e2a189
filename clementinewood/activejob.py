"""Tracks which tasks of one job may start."""

import dataclasses
import math
from collections.abc import Callable

from clementinewood import catalog, identifiers, job, pendingtasks, run

MAX_WAITING_STEPS = job.MAX_STEPS
"""Open steps with pending tasks from which no further occurrence is opened, as
many as one occurrence may have. Those that are due later run after them, so
that a pass looks at no more of a job that repeats than of any other one."""

MIN_DROPPED_OCCURRENCES = 64
"""Finished occurrences whose rows are dropped from the progress at a time."""


@dataclasses.dataclass(slots=True)
class OpenStep:
    """An unfinished step of one occurrence whose tasks may start.

    Attributes:
        occurrence: Number of the occurrence.
        number: Number of the step.
        step: The step.
        pending: Tasks that neither run nor are done.
        runs_by_minion: Number of its runs on each minion.
    """

    occurrence: int
    number: int
    step: job.Step
    pending: pendingtasks.PendingTasks
    runs_by_minion: dict[identifiers.MinionId, int] = dataclasses.field(
        default_factory=dict
    )

    def change_run_count(
        self, minion_id: identifiers.MinionId, by: int
    ) -> None:
        """Changes the number of runs of the step on a minion by `by`."""
        count = self.runs_by_minion.get(minion_id, 0) + by
        if count > 0:
            self.runs_by_minion[minion_id] = count
        else:
            self.runs_by_minion.pop(minion_id, None)


class ActiveJob:
    """Progress and runs of one job that the dispatcher works on.

    Args:
        accepted: The job.
        progress: Stored progress; changed in place.
        numbers_from: Runs of this dispatcher are numbered above this.
        arrived: When it was accepted or is due, in monotonic seconds.
        over_rate: Whether it arrived beyond its team's token bucket.

    Attributes:
        rank: Its place among waiting jobs, as last computed by the dispatcher.
        ranked_at: Monotonic time in seconds at which that was.
    """

    __slots__ = (
        "_early_runs",
        "_finished",
        "_next_occurrence",
        "_ready",
        "_unopened",
        "arrived",
        "cancelled",
        "checkpoints",
        "over_rate",
        "job",
        "last_numbers",
        "live",
        "numbers_from",
        "progress",
        "queue",
        "rank",
        "ranked_at",
        "work",
    )

    def __init__(
        self,
        accepted: job.Job,
        progress: job.Progress,
        numbers_from: int,
        arrived: float,
        *,
        over_rate: bool = False,
    ) -> None:
        self.job = accepted
        self.arrived = arrived
        self.over_rate = over_rate
        self.progress = progress
        self.numbers_from = numbers_from
        self.cancelled = False
        self.queue: catalog.Queue | None = None
        self.rank: tuple[float, ...] = ()
        self.ranked_at = -math.inf
        self.live: dict[job.TaskId, run.Run] = {}
        self.work: dict[tuple[int, int], OpenStep] = {}
        self.checkpoints: dict[job.TaskId, str] = {}
        self.last_numbers: dict[job.TaskId, int] = {}
        self._finished = progress.finished
        # Runs of steps that are not open yet.
        self._early_runs: dict[tuple[int, int], list[run.Run]] = {}
        # Occurrences before this one are open or finished.
        self._next_occurrence = progress.finished
        # Steps that are not open yet, of each open occurrence.
        self._unopened: dict[int, set[int]] = {}
        # Open occurrences of which another step may be ready.
        self._ready: set[int] = set()
        self._count_finished()

    @property
    def begun(self) -> bool:
        """Whether a task has started, or is assigned to a minion."""
        return self.progress.state is not job.JobState.QUEUED or bool(self.live)

    def open_steps(self, wall: float, early: float = 0.0) -> None:
        """Opens the steps that are due and whose earlier steps are done.

        Args:
            wall: Unix time in seconds.
            early: Seconds before its due time at which a step may open.
        """
        ready, self._ready = self._ready, set()
        for occurrence in sorted(ready):
            self._open_ready(occurrence)
        due = self.job.count_due(wall + early)
        if self._next_occurrence >= due:
            return
        waiting = self._count_waiting_steps()
        while self._next_occurrence < due and waiting < MAX_WAITING_STEPS:
            occurrence = self._next_occurrence
            self._next_occurrence += 1
            if not self._is_finished(occurrence):
                self._unopened[occurrence] = set(range(len(self.job.steps)))
                waiting += self._open_ready(occurrence)

    def has_opened(self, occurrence: int, number: int) -> bool:
        """Whether the tasks of a step may start, or could before."""
        if occurrence >= self._next_occurrence:
            return False
        return number not in self._unopened.get(occurrence, ())

    def next_due(self, wall: float) -> float | None:
        """Returns the Unix time of the first occurrence due after `wall`."""
        number = self.job.count_due(wall)
        return self.job.due(number) if number < self.job.occurrences else None

    def may_open_steps(self, wall: float, early: float = 0.0) -> bool:
        """Whether `open_steps` would open a step now; arguments as there."""
        return bool(self._ready) or (
            self._next_occurrence < self.job.count_due(wall + early)
            and self._count_waiting_steps() < MAX_WAITING_STEPS
        )

    def _count_waiting_steps(self) -> int:
        return sum(bool(work.pending) for work in self.work.values())

    def next_number(self, task: job.TaskId) -> int:
        """Returns the number of the next start of `task`."""
        number = max(self.last_numbers.get(task, 0) + 1, self.numbers_from + 1)
        self.last_numbers[task] = number
        return number

    def next_gang_number(self, work: OpenStep) -> int:
        """Returns the number that the next starts of a gang's members share.

        It is above the numbers of all earlier starts of any member.
        """
        number = self.numbers_from
        for position in range(work.step.count):
            task = self._name_task(work, position)
            number = max(number, self.last_numbers.get(task, 0))
        return number + 1

    def find_live(self, work: OpenStep, position: int) -> run.Run | None:
        """Returns the run of one task of an open step, or None."""
        return self.live.get(self._name_task(work, position))

    def add_run(self, item: run.Run) -> None:
        """Adds a run that may exist; its task is no longer pending."""
        self.live[item.task] = item
        self.last_numbers[item.task] = max(
            item.number, self.last_numbers.get(item.task, 0)
        )
        work = self._find_work(item.task)
        if work is None:
            key = (item.task.occurrence, item.task.step)
            if not self.has_opened(*key):
                self._early_runs.setdefault(key, []).append(item)
            return
        work.pending.take(item.task.position)
        work.change_run_count(item.minion_id, 1)

    def remove_run(self, item: run.Run) -> None:
        """Removes a run known to have ended; its task may start again."""
        if self.live.get(item.task) is not item:
            return
        del self.live[item.task]
        work = self._find_work(item.task)
        if work is None:
            return
        work.change_run_count(item.minion_id, -1)
        if not self.progress.is_done(item.task):
            work.pending.put_back(item.task.position)

    def mark_done(self, task: job.TaskId) -> None:
        """Marks a task as done, or its whole step if it is a gang."""
        step = self.job.steps[task.step]
        work = self._find_work(task)
        if step.gang:
            self.progress.set_step_done(task.occurrence, task.step, step.count)
            if work is not None:
                work.pending.clear()
        else:
            self.progress.set_done(task)
            if work is not None:
                work.pending.take(task.position)
        if work is not None and not work.pending and self._is_step_done(task):
            del self.work[task.occurrence, task.step]
        if self._is_step_done(task):
            self._handle_step_done(task.occurrence, task.step)

    def complete_gangs(self) -> None:
        """Marks gangs as done of which some members are.

        The members may be in several blocks of stored progress, of which only
        some were stored.
        """
        for occurrence, number in list(self.progress.done):
            if number >= len(self.job.steps):
                continue
            step = self.job.steps[number]
            whole = self.progress.is_step_done(occurrence, number, step.count)
            if step.gang and not whole:
                self.progress.set_step_done(occurrence, number, step.count)
        self._count_finished()

    def is_complete(self) -> bool:
        """Whether every task of every occurrence is done."""
        return self._finished >= self.job.occurrences

    def has_task(self, task: job.TaskId) -> bool:
        """Whether `task` is one of the job's tasks."""
        return (
            0 <= task.occurrence < self.job.occurrences
            and 0 <= task.step < len(self.job.steps)
            and 0 <= task.position < self.job.steps[task.step].count
        )

    def measure_critical_path(
        self, expect: Callable[[job.Step, int], float]
    ) -> tuple[float, float]:
        """Returns the seconds of the critical path, in total and remaining.

        Args:
            expect: Returns the expected seconds until a number of tasks of a
                step that start together are done.
        """
        whole: list[float] = []
        left: list[float] = []
        for number, step in enumerate(self.job.steps):
            undone = 0
            if not self.progress.is_step_done(0, number, step.count):
                undone = step.count - self.progress.count_done(0, number)
            expected = expect(step, step.count)
            remaining = expected
            if undone < step.count:
                remaining = expect(step, undone) if undone > 0 else 0.0
            before = [whole[earlier] for earlier in step.after]
            before_left = [left[earlier] for earlier in step.after]
            whole.append(max(before, default=0.0) + expected)
            left.append(max(before_left, default=0.0) + remaining)
        return max(whole, default=0.0), max(left, default=0.0)

    def _name_task(self, work: OpenStep, position: int) -> job.TaskId:
        return job.TaskId(
            self.job.job_id, work.occurrence, work.number, position
        )

    def _find_work(self, task: job.TaskId) -> OpenStep | None:
        return self.work.get((task.occurrence, task.step))

    def _is_step_done(self, task: job.TaskId) -> bool:
        return self.progress.is_step_done(
            task.occurrence, task.step, self.job.steps[task.step].count
        )

    def _is_ready(self, occurrence: int, step: job.Step) -> bool:
        return all(
            self.progress.is_step_done(
                occurrence, earlier, self.job.steps[earlier].count
            )
            for earlier in step.after
        )

    def _is_finished(self, occurrence: int) -> bool:
        return all(
            self.progress.is_step_done(occurrence, number, step.count)
            for number, step in enumerate(self.job.steps)
        )

    def _count_finished(self) -> None:
        """Counts the occurrences from the first on that are finished."""
        while self._finished < self.job.occurrences and self._is_finished(
            self._finished
        ):
            self._finished += 1
        dropped = self._finished - self.progress.finished
        if dropped >= MIN_DROPPED_OCCURRENCES:
            self.progress.drop_finished(self._finished)

    def _handle_step_done(self, occurrence: int, number: int) -> None:
        if self.job.occurrences > 1:
            self._forget_starts(occurrence, number)
        if occurrence in self._unopened:
            self._ready.add(occurrence)
            if self._is_finished(occurrence):
                del self._unopened[occurrence]
                self._ready.remove(occurrence)
        self._count_finished()

    def _forget_starts(self, occurrence: int, number: int) -> None:
        """Forgets the starts of a step that never starts again."""
        for position in range(self.job.steps[number].count):
            task = job.TaskId(self.job.job_id, occurrence, number, position)
            self.last_numbers.pop(task, None)
            self.checkpoints.pop(task, None)

    def _open_ready(self, occurrence: int) -> int:
        """Opens the ready steps of an open occurrence.

        Returns:
            The number of these that have pending tasks.
        """
        unopened = self._unopened.get(occurrence, set())
        waiting = 0
        for number in sorted(unopened):
            step = self.job.steps[number]
            if self._is_ready(occurrence, step):
                unopened.remove(number)
                waiting += self._open(occurrence, number, step)
        return waiting

    def _open(self, occurrence: int, number: int, step: job.Step) -> bool:
        """Opens a step; returns whether it has pending tasks."""
        key = (occurrence, number)
        work = OpenStep(
            occurrence, number, step, pendingtasks.PendingTasks(step.count)
        )
        for item in self._early_runs.pop(key, ()):
            known = self.live.get(item.task) is item
            if known and not self.progress.is_done(item.task):
                work.pending.take(item.task.position)
                work.change_run_count(item.minion_id, 1)
        done = self.progress.done.get(key, 0)
        while done:
            position = done.bit_length() - 1
            work.pending.take(position)
            done ^= 1 << position
        if work.pending or work.runs_by_minion:
            self.work[key] = work
        return bool(work.pending)
