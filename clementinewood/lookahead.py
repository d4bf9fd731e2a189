"""Holds room of a full pool for the first job that waits for it.

Load pattern: a full pool runs many small tasks beside a few large ones. Each
end of a small run leaves a gap that only another small task can use, so that
large tasks wait while smaller ones of later jobs start. The first waiting job
of a pool therefore gets a hold: the minions on which its tasks will fit first,
by the expected ends of the runs there. Jobs of lower rank use held room only
for runs that end before the hold begins, or where enough is left beside it.
"""

import dataclasses
import enum
import heapq
import math
from collections.abc import Callable, Iterable, Mapping, Sequence

from clementinewood import activejob, identifiers, job, joborder, placement, run

MAX_HOLD_SECONDS = 1.5
"""Longest time ahead for which room is held, and longest time for which it is
held without a start. It is about one run; expected ends further ahead are too
uncertain to leave room idle for them."""

RENEWAL_DELAY_SECONDS = MAX_HOLD_SECONDS
"""Time for which a step whose hold has lapsed gets no other one, so that no
room is idle for more than half of the time for runs that do not end."""

MIN_REMAINING_SECONDS = 0.1
"""Shortest expected rest of a run that is stopping or has outlived its expected
end: the end becomes known with the next report, and the start is then stored
first."""

MAX_HELD_TASKS = 64
"""Most tasks of a step for which room is held, which bounds the cost of a
planning pass. The largest steps that were observed to wait have about 40."""

StepKey = tuple[identifiers.JobId, int, int]
"""Job, occurrence and number of a step."""


class ChangeKind(enum.Enum):
    """What has become of a hold."""

    HELD = "held"
    STARTED = "started"
    """A task of the step has started."""

    LAPSED = "lapsed"
    """No task could start within `MAX_HOLD_SECONDS`."""


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """Change of a hold that operators see.

    Attributes:
        kind: What has changed.
        pool: The pool.
        step: The step for which room is or was held.
        tasks: Tasks of the step that wait.
        minions: Minions whose room is or was held.
        seconds: Until the hold begins, at `HELD`; else since it was made.
    """

    kind: ChangeKind
    pool: identifiers.PoolId
    step: StepKey
    tasks: int
    minions: tuple[identifiers.MinionId, ...]
    seconds: float


@dataclasses.dataclass(slots=True)
class _HeldStep:
    """A step for which room was held.

    Attributes:
        pool: Its pool.
        made: Monotonic time in seconds at which room was first held.
        since: The same, after the last start or renewal.
        waiting: Its tasks that waited at `since`.
        minions: Minions of the newest hold.
        lapsed: Monotonic time in seconds at which its hold lapsed, if it has
            not been renewed since.
        started: Whether a task has started since room was first held.
    """

    pool: identifiers.PoolId
    made: float
    since: float
    waiting: int
    minions: tuple[identifiers.MinionId, ...] = ()
    lapsed: float = -math.inf
    started: bool = False


class _Projection:
    """Room of one minion as its runs are expected to end.

    Attributes:
        candidate: The minion.
        begin: When the first task for which room is held here fits.
        spare: Room that is left beside these tasks from then on.
        tasks: Number of these tasks.
    """

    __slots__ = ("_ends", "_free", "begin", "candidate", "spare", "tasks")

    def __init__(
        self,
        candidate: placement.Candidate,
        ends: list[tuple[float, job.Resources]],
    ) -> None:
        self.candidate = candidate
        self.begin = math.inf
        self.spare = candidate.free
        self.tasks = 0
        self._free = candidate.free
        self._ends = ends

    def find_fit(self, room: job.Resources, since: float) -> float:
        """Returns when `room` fits, not before `since`, or infinity."""
        time = since
        while not room.fits(self._free):
            if not self._ends:
                return math.inf
            time, freed = self._ends.pop()
            self._free = self._free.plus(freed)
        return time

    def take(self, room: job.Resources, time: float) -> None:
        """Holds `room`, which fits at `time`."""
        self._free = self._free.minus(room)
        if self.tasks == 0:
            self.begin, self.spare = time, self._free
        else:
            self.spare = job.Resources(
                min(self.spare.cpu, self._free.cpu),
                min(self.spare.memory, self._free.memory),
                min(self.spare.gpu, self._free.gpu),
            )
        self.tasks += 1


def expect_end(item: run.Run, now: float) -> float:
    """Returns when a run is expected to end; infinity if it never does.

    The longer a run has outlived its expected end, the later the new one.
    """
    if item.state is run.RunState.STOPPING:
        return now + MIN_REMAINING_SECONDS
    if item.long_running:
        return math.inf
    if item.state is run.RunState.PLANNED:
        return now + item.expected_seconds
    left = item.state_changed_at + item.expected_seconds - now
    return now + (left if left > 0 else MIN_REMAINING_SECONDS - left)


def plan_hold(
    step: job.Step,
    waiting: int,
    candidates: Iterable[placement.Candidate],
    runs_by_minion: Mapping[identifiers.MinionId, int],
    *,
    now: float,
    limit: float,
) -> list[placement.Candidate]:
    """Holds the room in which tasks of `step` will fit first.

    Args:
        step: The step.
        waiting: Number of its waiting tasks.
        candidates: Minions of the pool that may get new work; `held_from` and
            `spare` of those whose room is held are set.
        runs_by_minion: Runs of the step on each minion.
        now: Monotonic time in seconds.
        limit: Latest begin of the hold, in monotonic seconds.

    Returns:
        The minions that keep some of their free room.
    """
    room, most = step.room, step.max_per_minion
    queue: list[tuple[float, int, _Projection]] = []
    for number, candidate in enumerate(candidates):
        view = candidate.view
        here = runs_by_minion.get(view.minion_id, 0)
        if (
            candidate.set_aside
            or candidate.starts_left <= 0
            or (most and here >= most)
            or (step.label and step.label not in view.minion.labels)
            or not room.fits(view.minion.capacity)
        ):
            continue
        ends = [
            (end, item.room)
            for item in view.runs.values()
            if (end := expect_end(item, now)) <= limit
        ]
        ends.sort(key=_get_end, reverse=True)
        projection = _Projection(candidate, ends)
        time = projection.find_fit(room, now)
        if time <= limit:
            queue.append((time, number, projection))
    heapq.heapify(queue)
    held: dict[int, _Projection] = {}
    for _ in range(min(waiting, MAX_HELD_TASKS)):
        if not queue:
            break
        time, number, projection = queue[0]
        projection.take(room, time)
        held[number] = projection
        here = runs_by_minion.get(projection.candidate.view.minion_id, 0)
        following = math.inf
        if not most or here + projection.tasks < most:
            following = projection.find_fit(room, time)
        if following <= limit:
            heapq.heapreplace(queue, (following, number, projection))
        else:
            heapq.heappop(queue)
    found = []
    for projection in held.values():
        candidate = projection.candidate
        if candidate.free.fits(projection.spare):
            # One run leaves as much as the task needs.
            continue
        candidate.held_from = projection.begin
        candidate.spare = projection.spare
        found.append(candidate)
    return found


def _get_end(item: tuple[float, job.Resources]) -> float:
    return item[0]


class LookAhead:
    """Decides the holds of each planning pass.

    Holds are derived anew in each pass; only how long a step has held room
    without a start is kept between passes, and begins anew with a new leader.

    Args:
        times: Run times of each queue.
    """

    def __init__(self, times: joborder.RunTimes) -> None:
        self._times = times
        self._active = False
        self._now = 0.0
        self._held: dict[identifiers.PoolId, list[placement.Candidate]] = {}
        self._steps: dict[StepKey, _HeldStep] = {}
        self._changes: list[Change] = []
        self._backfilled = 0

    def begin_pass(self, now: float, *, active: bool) -> None:
        """Begins a planning pass.

        Args:
            now: Monotonic time in seconds.
            active: Whether room may be held.
        """
        self._now = now
        self._active = active
        self._held.clear()

    def expect_end(self, active: activejob.ActiveJob, step: job.Step) -> float:
        """Returns the expected end of a run that starts now.

        Returns minus infinity where no hold limits it.
        """
        queue = active.queue
        if (
            queue is None
            or not self._held.get(queue.pool)
            or step.long_running
            or queue.advice is not None
        ):
            return -math.inf
        return self._now + self._times.expect(queue.name, step.estimate)

    def hold_room(
        self,
        active: activejob.ActiveJob,
        rank: tuple[float, ...],
        options: Sequence[placement.Candidate],
        fits_cap: Callable[[identifiers.TeamId, job.Resources], bool],
    ) -> None:
        """Holds room for a job whose tasks have just been placed.

        Args:
            active: The job; does nothing if none of its tasks waits for room,
                or an earlier job of its pool does.
            rank: Its rank.
            options: Minions of its pool that may get new work.
            fits_cap: Whether a team may use some more room.
        """
        queue = active.queue
        if (
            not self._active
            or queue is None
            or queue.pool in self._held
            or queue.advice is not None
        ):
            return
        slack = joborder.find_slack(rank)
        if slack is None:
            return
        for work in active.work.values():
            step = work.step
            waiting = _count_waiting(active, work)
            if not waiting or step.gang or step.long_running:
                continue
            if not fits_cap(active.job.team, step.need):
                continue
            key = (active.job.job_id, work.occurrence, work.number)
            if not self._may_hold(key, waiting):
                continue
            found = plan_hold(
                step,
                waiting,
                options,
                work.runs_by_minion,
                now=self._now,
                limit=self._now + min(slack, MAX_HOLD_SECONDS),
            )
            # At most one hold is computed for a pool, to keep the pass cheap.
            self._held[queue.pool] = found
            if found:
                self._record_hold(key, queue.pool, waiting, found)
            return

    def _may_hold(self, key: StepKey, waiting: int) -> bool:
        held = self._steps.get(key)
        if held is None:
            return True
        if waiting < held.waiting:
            held.since, held.waiting = self._now, waiting
            held.lapsed = -math.inf
        elif held.lapsed > -math.inf:
            if self._now < held.lapsed + RENEWAL_DELAY_SECONDS:
                return False
            held.since, held.lapsed = self._now, -math.inf
        elif self._now >= held.since + MAX_HOLD_SECONDS:
            held.lapsed = self._now
            self._record(ChangeKind.LAPSED, key, held, self._now - held.since)
            return False
        return True

    def _record_hold(
        self,
        key: StepKey,
        pool: identifiers.PoolId,
        waiting: int,
        found: Sequence[placement.Candidate],
    ) -> None:
        held = self._steps.get(key)
        minions = tuple(candidate.view.minion_id for candidate in found)
        if held is not None:
            held.minions = minions
            return
        held = _HeldStep(pool, self._now, self._now, waiting, minions)
        self._steps[key] = held
        begin = min(candidate.held_from for candidate in found)
        self._record(ChangeKind.HELD, key, held, begin - self._now)

    def end_pass(
        self, jobs: Mapping[identifiers.JobId, activejob.ActiveJob]
    ) -> None:
        """Counts the backfilled tasks and the held steps that have started."""
        for candidates in self._held.values():
            self._backfilled += sum(item.backfilled for item in candidates)
        for key, held in list(self._steps.items()):
            active = jobs.get(key[0])
            if active is None or active.cancelled:
                del self._steps[key]
                continue
            if not held.started and _has_started(active, key, held.made):
                held.started = True
                self._record(
                    ChangeKind.STARTED, key, held, self._now - held.made
                )
            work = active.work.get(key[1:])
            if work is None or (held.started and not work.pending):
                del self._steps[key]

    def _record(
        self, kind: ChangeKind, key: StepKey, held: _HeldStep, seconds: float
    ) -> None:
        self._changes.append(
            Change(kind, held.pool, key, held.waiting, held.minions, seconds)
        )

    def take_changes(self) -> tuple[list[Change], int]:
        """Returns the changes and the backfilled tasks since the last call."""
        changes, self._changes = self._changes, []
        backfilled, self._backfilled = self._backfilled, 0
        return changes, backfilled


def _count_waiting(
    active: activejob.ActiveJob, work: activejob.OpenStep
) -> int:
    """Returns the waiting tasks of a step that are not suspected."""
    crashed = active.progress.crashed
    if not crashed:
        return len(work.pending)
    return sum(
        (work.occurrence, work.number, index) not in crashed
        for index in work.pending
    )


def _has_started(
    active: activejob.ActiveJob, key: StepKey, since: float
) -> bool:
    count = active.job.steps[key[2]].count
    return active.progress.is_step_done(key[1], key[2], count) or any(
        item.state is run.RunState.RUNNING
        and item.state_changed_at >= since
        and (item.task.occurrence, item.task.step) == key[1:]
        for item in active.live.values()
    )


if __name__ == "__main__":
    example = run.Run(
        task=job.TaskId(identifiers.JobId("5c0e7a21d94b36f8"), 0, 0, 0),
        number=1,
        minion_id=identifiers.MinionId("m1"),
        team=identifiers.TeamId("canvas"),
        queue=identifiers.QueueId("quotes"),
        room=job.Resources(1000, 256),
        need=job.Resources(1000, 256),
        state=run.RunState.RUNNING,
        state_changed_at=10.0,
        expected_seconds=0.8,
    )
    print(expect_end(example, 10.5), expect_end(example, 11.2))
