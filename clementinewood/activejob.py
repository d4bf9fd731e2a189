"""Tracks which tasks of one job may start."""

import dataclasses
from collections.abc import Callable

from clementinewood import catalog, identifiers, job, run


@dataclasses.dataclass(slots=True)
class OpenStep:
    """An unfinished step of one occurrence whose tasks may start.

    Attributes:
        occurrence: Number of the occurrence.
        number: Number of the step.
        step: The step.
        pending: Indices of tasks that neither run nor are done, in the order
            in which they start; a dictionary without values, so that removing
            one costs the same in a step of any size.
        runs_by_minion: Number of its runs on each minion.
    """

    occurrence: int
    number: int
    step: job.Step
    pending: dict[int, None]
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
    """

    __slots__ = (
        "_opened",
        "_no_steps_due",
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
        self.live: dict[job.TaskId, run.Run] = {}
        self.work: dict[tuple[int, int], OpenStep] = {}
        self.checkpoints: dict[job.TaskId, str] = {}
        self.last_numbers: dict[job.TaskId, int] = {}
        self._opened: set[tuple[int, int]] = set()
        self._no_steps_due = False

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
        if self._no_steps_due:
            return
        # Without further due times, no step opens until another one is done.
        self._no_steps_due = not self.job.start and self.job.occurrences == 1
        for occurrence in range(self.job.occurrences):
            due = self.job.due(occurrence)
            if due > wall + early:
                break
            for number, step in enumerate(self.job.steps):
                key = (occurrence, number)
                if key not in self._opened and self._is_ready(occurrence, step):
                    self._open(occurrence, number, step)

    def has_opened(self, occurrence: int, number: int) -> bool:
        """Whether the tasks of a step may start, or could before."""
        return (occurrence, number) in self._opened

    def next_due(self, wall: float) -> float | None:
        """Returns the Unix time of the first occurrence due after `wall`."""
        for occurrence in range(self.job.occurrences):
            due = self.job.due(occurrence)
            if due > wall:
                return due
        return None

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

    def add_run(self, item: run.Run) -> None:
        """Adds a run that may exist; its task is no longer pending."""
        self.live[item.task] = item
        self.last_numbers[item.task] = max(
            item.number, self.last_numbers.get(item.task, 0)
        )
        work = self._find_work(item.task)
        if work is None:
            return
        work.pending.pop(item.task.position, None)
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
            work.pending[item.task.position] = None

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
                work.pending.pop(task.position, None)
        if work is not None and not work.pending and self._is_step_done(task):
            del self.work[task.occurrence, task.step]
        if self._is_step_done(task):
            self._no_steps_due = False

    def complete_gangs(self) -> None:
        """Marks gangs as done of which some members are.

        The members may be in several blocks of stored progress, of which only
        some were stored.
        """
        for number, step in enumerate(self.job.steps):
            if not step.gang:
                continue
            for occurrence in range(self.job.occurrences):
                key = (occurrence, number)
                whole = self.progress.is_step_done(*key, step.count)
                if self.progress.done.get(key) and not whole:
                    self.progress.set_step_done(*key, step.count)

    def is_complete(self) -> bool:
        """Whether every task of every occurrence is done."""
        return all(
            self.progress.is_step_done(occurrence, number, step.count)
            for occurrence in range(self.job.occurrences)
            for number, step in enumerate(self.job.steps)
        )

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

    def _open(self, occurrence: int, number: int, step: job.Step) -> None:
        self._opened.add((occurrence, number))
        pending = dict.fromkeys(range(step.count))
        runs_by_minion: dict[identifiers.MinionId, int] = {}
        begun = bool(self.live) or (occurrence, number) in self.progress.done
        for index in range(step.count) if begun else ():
            task = job.TaskId(self.job.job_id, occurrence, number, index)
            if self.progress.is_done(task):
                del pending[index]
                continue
            item = self.live.get(task)
            if item is not None:
                del pending[index]
                runs_by_minion[item.minion_id] = (
                    runs_by_minion.get(item.minion_id, 0) + 1
                )
        if pending or runs_by_minion:
            self.work[occurrence, number] = OpenStep(
                occurrence, number, step, pending, runs_by_minion
            )
