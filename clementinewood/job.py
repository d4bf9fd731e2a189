"""Defines jobs, steps and tasks, and their stored form."""

import dataclasses
import enum
import json
import math
import re
from typing import Any, NamedTuple

from returns import result

from clementinewood import decoding, identifiers

MAX_SPEC_BYTES = 4000
MAX_STEPS = 64
"""Upper limit of steps in one job, since each takes memory at every entry."""

MAX_TASKS = 4096
"""Upper limit of tasks in one step, so that one job can't exhaust memory."""

_JOB_ID = re.compile(r"[0-9a-f]{16}")


class JobState(enum.Enum):
    """State of a job as reported to callers."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


TERMINAL = frozenset((JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED))
"""Final states of a job."""


class TaskId(NamedTuple):
    """One task of one occurrence of a job.

    Attributes:
        job: The job.
        occurrence: Number of the repetition, from 0.
        step: Number of the step, from 0.
        position: Number of the task in its step, from 0.
    """

    job: identifiers.JobId
    occurrence: int
    step: int
    position: int

    def render(self) -> str:
        """Returns the name of the task towards minions."""
        return f"{self.job}.{self.occurrence}.{self.step}.{self.position}"


def parse_task_id(name: str) -> TaskId | None:
    """Returns the task named `name`, or None if it is malformed."""
    parts = name.split(".")
    if len(parts) != 4 or not all(part.isdecimal() for part in parts[1:]):
        return None
    return TaskId(
        identifiers.JobId(parts[0]), int(parts[1]), int(parts[2]), int(parts[3])
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Resources:
    """Resources that a task needs or a minion has.

    Attributes:
        cpu: Thousandths of a core.
        memory: Megabytes.
        gpu: Accelerators.
    """

    cpu: int = 0
    memory: int = 0
    gpu: int = 0

    def fits(self, room: "Resources") -> bool:
        """Whether no component exceeds that of `room`."""
        return (
            self.cpu <= room.cpu
            and self.memory <= room.memory
            and self.gpu <= room.gpu
        )

    def plus(self, other: "Resources") -> "Resources":
        """Returns the sum."""
        return Resources(
            self.cpu + other.cpu,
            self.memory + other.memory,
            self.gpu + other.gpu,
        )

    def minus(self, other: "Resources") -> "Resources":
        """Returns the difference, which may be negative."""
        return Resources(
            self.cpu - other.cpu,
            self.memory - other.memory,
            self.gpu - other.gpu,
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Step:
    """A group of equal tasks of one job.

    Attributes:
        count: Number of tasks.
        need: Resources of one task.
        estimate: Declared run time in seconds; often inaccurate.
        after: Earlier steps whose tasks must all be done first, once each.
        checkpoints: Whether runs save their progress.
        gang: Whether the tasks can only run all at the same time.
        same_rack: Whether the tasks are slower on more than one rack.
        label: Label that the minion must have; empty for any.
        rack: Rack of the data; empty for any.
        max_per_minion: Tasks of the step on one minion; 0 for no limit.
        duplicates: Whether copies of a task may run at the same time.
        long_running: Whether the tasks run until the job is cancelled.
        image: What the tasks run; tasks of one image behave alike.
        tail_target: Target of a serving task's tail latency in seconds; 0 if it
            serves no users.
        fills: Whether the tasks use capacity that others leave unused.
        max_unavailable: Availability budget: tasks of the step that orders may
            make unavailable at the same time; None for no limit.
    """

    count: int
    need: Resources = Resources()
    estimate: float = 1.0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    rack: str = ""
    max_per_minion: int = 0
    duplicates: bool = False
    long_running: bool = False
    image: str = ""
    tail_target: float = 0.0
    fills: bool = False
    max_unavailable: int | None = None

    @property
    def room(self) -> Resources:
        """Resources of one task counted against its minion.

        Filling tasks count without processors, since they use spare ones.
        """
        if self.fills:
            return Resources(0, self.need.memory, self.need.gpu)
        return self.need


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Job:
    """An accepted job.

    Attributes:
        job_id: Id chosen by the submitter.
        queue: Queue that it was submitted to.
        team: Team of the submitter's key; empty on queues open to all.
        spec: What the tasks run; passed to minions uninterpreted.
        steps: Its steps, in order.
        accepted: Unix time of acceptance in seconds.
        start: Unix time in seconds at which the first occurrence is due; 0 for
            at once.
        interval: Seconds between occurrences.
        occurrences: Number of times that the steps run.
    """

    job_id: identifiers.JobId
    queue: identifiers.QueueId
    team: identifiers.TeamId
    spec: str
    steps: tuple[Step, ...]
    accepted: float
    start: float = 0.0
    interval: float = 0.0
    occurrences: int = 1

    @property
    def long_running(self) -> bool:
        """Whether it runs until it is cancelled."""
        return any(step.long_running for step in self.steps)

    def due(self, occurrence: int) -> float:
        """Returns the Unix time in seconds at which `occurrence` is due."""
        return self.start + occurrence * self.interval

    def count_due(self, time: float) -> int:
        """Returns the number of occurrences due at a Unix time in seconds."""
        if time < self.start:
            return 0
        if self.interval <= 0.0:
            return self.occurrences
        passed = min((time - self.start) / self.interval, self.occurrences)
        count = min(int(passed) + 1, self.occurrences)
        # The quotient and the product of `due` may be rounded differently.
        while count < self.occurrences and self.due(count) <= time:
            count += 1
        while count and self.due(count - 1) > time:
            count -= 1
        return count


def is_job_id(text: str) -> bool:
    """Whether `text` is a well-formed job id."""
    return _JOB_ID.fullmatch(text) is not None


def describe_step_limit() -> str:
    """Returns the error for a job with too few or too many steps."""
    return f"a job has 1 to {MAX_STEPS} steps"


def check_steps(steps: tuple[Step, ...]) -> str:
    """Returns why `steps` are invalid, or an empty string."""
    if not 1 <= len(steps) <= MAX_STEPS:
        return describe_step_limit()
    for number, step in enumerate(steps):
        if not 1 <= step.count <= MAX_TASKS:
            return f"step {number} must have 1 to {MAX_TASKS} tasks"
        if min(_list_amounts(step)) < 0:
            return f"step {number} has a negative amount"
        if any(not 0 <= earlier < number for earlier in step.after):
            return f"step {number} may only come after earlier steps"
    return ""


def _list_amounts(step: Step) -> tuple[float, ...]:
    need = step.need
    return (
        need.cpu,
        need.memory,
        need.gpu,
        step.estimate,
        step.max_per_minion,
        step.tail_target,
        step.max_unavailable or 0,
    )


_STEP_FIELDS = {
    field.name: field.default
    for field in dataclasses.fields(Step)
    if field.name not in ("count", "need")
}


def encode_job(job: Job) -> bytes:
    """Returns the stored form of `job`."""
    steps = []
    for step in job.steps:
        fields: dict[str, Any] = {
            name: getattr(step, name)
            for name, default in _STEP_FIELDS.items()
            if getattr(step, name) != default
        }
        fields["count"] = step.count
        fields["need"] = [step.need.cpu, step.need.memory, step.need.gpu]
        steps.append(fields)
    document: dict[str, Any] = {
        "queue": job.queue,
        "team": job.team,
        "spec": job.spec,
        "accepted": round(job.accepted, 3),
        "steps": steps,
    }
    if job.start or job.occurrences != 1:
        document["times"] = [job.start, job.interval, job.occurrences]
    return json.dumps(document, separators=(",", ":")).encode()


def decode_job(
    job_id: identifiers.JobId, data: bytes
) -> result.Result[Job, str]:
    """Decodes the stored form of a job, or returns why it is malformed."""
    try:
        document = json.loads(data)
        steps = tuple(
            Step(
                **{
                    **fields,
                    "need": Resources(*fields["need"]),
                    "after": tuple(dict.fromkeys(fields.get("after", ()))),
                }
            )
            for fields in document["steps"]
        )
        queue = document["queue"]
        if not isinstance(queue, str):
            raise TypeError("the queue is not a string")
        start, interval, occurrences = document.get("times", (0.0, 0.0, 1))
        if not math.isfinite(start) or not math.isfinite(interval):
            raise ValueError("a time is not finite")
        job = Job(
            job_id=job_id,
            queue=identifiers.QueueId(queue),
            team=identifiers.TeamId(document["team"]),
            spec=document["spec"],
            steps=steps,
            accepted=float(document["accepted"]),
            start=float(start),
            interval=float(interval),
            occurrences=max(1, int(occurrences)),
        )
    except decoding.ERRORS as error:
        return result.Failure(f"stored job {job_id} is malformed: {error!r}")
    return result.Success(job)


Place = tuple[int, int, int]
"""Occurrence, step and position of a task in its job."""

MAX_FAILED_RUNS = 16
"""Most numbers of failed runs kept of one task: ends of earlier ones have been
acknowledged by then, and are not listed again."""


@dataclasses.dataclass(frozen=True, slots=True)
class CrashRecord:
    """Crashes of minions on which a task ran.

    Attributes:
        crashes: Number of crashes.
        suspected: Number of these that the task may have caused.
        number: Number of the last run that is included.
        minions: The minions of the last crashes.
    """

    crashes: int = 0
    suspected: int = 0
    number: int = 0
    minions: tuple[identifiers.MinionId, ...] = ()


@dataclasses.dataclass(slots=True)
class Progress:
    """Stored progress of a job.

    Attributes:
        state: State reported to callers.
        done: Bit set of the tasks that are done, by occurrence and step;
            without the occurrences counted in `finished`.
        failed: Number of failed runs of each task that is not done.
        failed_runs: Start numbers of these runs, so that one whose end is
            listed again is not counted twice; without those that an entry of
            an earlier version has counted.
        assignments: Number and minion of the newest start of each task that is
            not done. Stored before the start is ordered, so that the next
            leader knows where a task may run.
        crashed: Crashes under each task that is not done.
        block_tasks: Tasks in each block that holds these rows in their place;
            0 if they are stored whole.
        finished: Number of occurrences from the first on of which all tasks
            are done. They have no rows, so that a job that has run for long
            has no more of them than one that has just begun.
        changed: Tasks whose rows have changed since they were last stored.
    """

    state: JobState = JobState.QUEUED
    done: dict[tuple[int, int], int] = dataclasses.field(default_factory=dict)
    failed: dict[Place, int] = dataclasses.field(default_factory=dict)
    failed_runs: dict[Place, tuple[int, ...]] = dataclasses.field(
        default_factory=dict
    )
    assignments: dict[Place, tuple[int, identifiers.MinionId]] = (
        dataclasses.field(default_factory=dict)
    )
    crashed: dict[Place, CrashRecord] = dataclasses.field(default_factory=dict)
    block_tasks: int = 0
    finished: int = 0
    changed: set[Place] = dataclasses.field(default_factory=set, compare=False)

    def copy(self) -> "Progress":
        """Returns an independent copy."""
        return Progress(
            self.state,
            dict(self.done),
            dict(self.failed),
            dict(self.failed_runs),
            dict(self.assignments),
            dict(self.crashed),
            self.block_tasks,
            self.finished,
            set(self.changed),
        )

    def add(self, part: "Progress") -> None:
        """Adds the rows of a part of the same job's progress."""
        for key, bits in part.done.items():
            self.done[key] = self.done.get(key, 0) | bits
        self.failed.update(part.failed)
        self.failed_runs.update(part.failed_runs)
        self.assignments.update(part.assignments)
        self.crashed.update(part.crashed)

    def drop_finished(self, count: int) -> None:
        """Drops the rows of the first `count` occurrences, which are done."""
        self.finished = count
        for rows in (
            self.failed,
            self.failed_runs,
            self.assignments,
            self.crashed,
        ):
            for place in [place for place in rows if place[0] < count]:
                del rows[place]
        for key in [key for key in self.done if key[0] < count]:
            del self.done[key]

    def list_places(self) -> set[Place]:
        """Returns the tasks that have a row or are done."""
        places = {
            (*key, position)
            for key, bits in self.done.items()
            for position in range(bits.bit_length())
            if bits >> position & 1
        }
        return places.union(self.failed, self.assignments, self.crashed)

    def take_changed(self) -> set[Place]:
        """Returns the tasks that have changed since the last call."""
        changed, self.changed = self.changed, set()
        return changed

    def assign(
        self, place: Place, number: int, minion_id: identifiers.MinionId
    ) -> None:
        """Sets the number and minion of a task's newest start."""
        self.assignments[place] = (number, minion_id)
        self.changed.add(place)

    def set_crashes(self, place: Place, record: CrashRecord) -> None:
        """Sets the crashes under a task."""
        self.crashed[place] = record
        self.changed.add(place)

    def is_done(self, task: TaskId) -> bool:
        """Whether `task` is done."""
        if task.occurrence < self.finished:
            return True
        bits = self.done.get((task.occurrence, task.step), 0)
        return bool(bits >> task.position & 1)

    def set_done(self, task: TaskId) -> None:
        """Marks `task` as done; clears its failures and its assignment."""
        key = (task.occurrence, task.step)
        self.done[key] = self.done.get(key, 0) | 1 << task.position
        self._forget_runs((task.occurrence, task.step, task.position))

    def set_step_done(self, occurrence: int, step: int, count: int) -> None:
        """Marks all `count` tasks of a step as done."""
        self.done[occurrence, step] = (1 << count) - 1
        for position in range(count):
            self._forget_runs((occurrence, step, position))

    def _forget_runs(self, place: tuple[int, int, int]) -> None:
        self.failed.pop(place, None)
        self.failed_runs.pop(place, None)
        self.assignments.pop(place, None)
        self.crashed.pop(place, None)
        self.changed.add(place)

    def count_done(self, occurrence: int, step: int) -> int:
        """Returns the number of tasks of a step that are done."""
        return self.done.get((occurrence, step), 0).bit_count()

    def is_step_done(self, occurrence: int, step: int, count: int) -> bool:
        """Whether all `count` tasks of a step are done."""
        return (
            occurrence < self.finished
            or self.done.get((occurrence, step), 0) == (1 << count) - 1
        )

    def add_failure(self, task: TaskId, number: int) -> int:
        """Counts a failed run of `task` once.

        Args:
            task: The task.
            number: Number of the run's start.

        Returns:
            The number of its failed runs.
        """
        place = (task.occurrence, task.step, task.position)
        numbers = self.failed_runs.get(place, ())
        if number not in numbers:
            self.failed_runs[place] = (*numbers, number)[-MAX_FAILED_RUNS:]
            self.changed.add(place)
            self.failed[place] = self.failed.get(place, 0) + 1
        return self.failed[place]

    def has_failed(self, max_attempts: int) -> bool:
        """Whether a task, or a gang, has failed `max_attempts` times."""
        return any(count >= max_attempts for count in self.failed.values())


def encode_progress(progress: Progress) -> bytes:
    """Returns the stored form of `progress`, without empty fields."""
    document: dict[str, Any] = {"state": progress.state.value}
    if progress.state not in TERMINAL:
        if progress.block_tasks:
            document["block_tasks"] = progress.block_tasks
        if progress.finished:
            document["finished"] = progress.finished
        fields = {
            "done": [
                [*key, f"{bits:x}"] for key, bits in progress.done.items()
            ],
            "failed": [[*key, count] for key, count in progress.failed.items()],
            "failed_runs": [
                [*key, *numbers]
                for key, numbers in progress.failed_runs.items()
            ],
            "placed": [
                [*key, *place] for key, place in progress.assignments.items()
            ],
            "crashed": [
                [
                    *key,
                    record.crashes,
                    record.suspected,
                    record.number,
                    *record.minions,
                ]
                for key, record in progress.crashed.items()
            ],
        }
        document.update((name, rows) for name, rows in fields.items() if rows)
    return json.dumps(document, separators=(",", ":")).encode()


def decode_progress(data: bytes) -> result.Result[Progress, str]:
    """Decodes a job's stored progress, or returns why it is malformed."""
    try:
        document = json.loads(data)
        progress = Progress(
            JobState(document["state"]),
            {
                (int(occurrence), int(step)): int(bits, 16)
                for occurrence, step, bits in document.get("done", ())
            },
            {
                (int(occurrence), int(step), int(index)): int(count)
                for occurrence, step, index, count in document.get("failed", ())
            },
            {
                (int(occurrence), int(step), int(index)): tuple(
                    map(int, numbers)
                )
                for occurrence, step, index, *numbers in document.get(
                    "failed_runs", ()
                )
            },
            {
                (int(occurrence), int(step), int(index)): (
                    int(number),
                    identifiers.MinionId(minion),
                )
                for occurrence, step, index, number, minion in document.get(
                    "placed", ()
                )
            },
            {
                (int(occurrence), int(step), int(index)): CrashRecord(
                    int(crashes), int(suspected), int(number), tuple(minions)
                )
                for (
                    occurrence,
                    step,
                    index,
                    crashes,
                    suspected,
                    number,
                    *minions,
                ) in document.get("crashed", ())
            },
            int(document.get("block_tasks", 0)),
            int(document.get("finished", 0)),
        )
    except decoding.ERRORS as error:
        return result.Failure(f"stored progress is malformed: {error!r}")
    return result.Success(progress)


if __name__ == "__main__":
    example = Job(
        job_id=identifiers.JobId("5c0e7a21d94b36f8"),
        queue=identifiers.QueueId("quotes"),
        team=identifiers.TeamId("canvas"),
        spec="",
        steps=(Step(count=4, need=Resources(500, 256)),),
        accepted=0.0,
    )
    print(decode_job(example.job_id, encode_job(example)))
