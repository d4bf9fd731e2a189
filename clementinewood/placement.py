"""Chooses the minions that tasks start on.

Load pattern: a queue's demand rises to several times its mean for some seconds
and fills its pool, in which long-running tasks share the minions. Long-running
tasks are packed onto few minions, which keeps the others free for bursts of
short tasks, maintenance and moves. Short tasks go beside long-running ones and
where the fewest cores are free, which leaves room for larger tasks elsewhere.
"""

import collections
import dataclasses
import heapq
import math
from collections.abc import Iterable, Mapping, Sequence

from clementinewood import catalog, identifiers, job, run, suspicion

BASE_EJECTION_SECONDS = 2.0
"""Ejection time at the first ejection; it grows with the failure score."""

EJECTION_FAILURE_SCORE = 3.0
"""Failure score, in failed starts and runs, at which a minion is ejected."""

MAX_STARTS_IN_FLIGHT = 32
"""Most starts of one minion that are not confirmed. Orders share few
connections to a minion: thousands of them would time out and be repeated."""

REMOTE_PENALTY = 1.5
"""Factor on the run time on a rack without the data, if none is declared."""


@dataclasses.dataclass(slots=True)
class Candidate:
    """A minion that may get tasks in one round of planning.

    Attributes:
        view: The minion.
        free: Room left after the tasks that this round has placed.
        has_long_running: Whether it runs long-running tasks.
        set_aside: Whether it only takes a task suspected of crashing minions.
        starts_left: Starts that may be ordered before others are confirmed.
        held_from: Monotonic time in seconds from which some of the room is held
            for a job of higher rank; infinity if none is.
        spare: Room that is left beside the hold from then on.
        backfilled: Tasks placed here beside or before the hold.
    """

    view: run.MinionView
    free: job.Resources
    has_long_running: bool
    set_aside: bool = False
    starts_left: int = MAX_STARTS_IN_FLIGHT
    held_from: float = math.inf
    spare: job.Resources = job.Resources()
    backfilled: int = 0

    @property
    def rack(self) -> str:
        """Rack of the machine, which is its last label."""
        labels = self.view.minion.labels
        return labels[-1] if labels else ""


def accepts_work(
    view: run.MinionView,
    now: float,
    evacuated: frozenset[identifiers.ZoneId],
) -> bool:
    """Whether `view` may get new work."""
    return (
        view.token_accepted
        and view.listed
        and not view.ended
        and not view.draining
        and not view.cordoned
        and view.failed_polls == 0
        and not view.refuses_orders
        and view.ejected_until <= now
        and view.clock_offset is not None
        and view.minion.zone not in evacuated
    )


def is_set_aside(view: run.MinionView, now: float) -> bool:
    """Whether only a task suspected of crashing minions may start on `view`."""
    return view.held_until > now or is_on_probation(view, now)


def is_on_probation(view: run.MinionView, now: float) -> bool:
    """Whether suspected tasks have just started, or are about to."""
    return any(_has_just_started(item, now) for item in view.isolated)


def is_quiet(view: run.MinionView, now: float) -> bool:
    """Whether nothing has just started on `view`, or is about to."""
    return not any(_has_just_started(item, now) for item in view.runs.values())


def may_join_group(view: run.MinionView) -> bool:
    """Whether one more suspect may start with a group planned on `view`."""
    return 0 < len(view.isolated) < suspicion.GROUP_SIZE and all(
        item.state is run.RunState.PLANNED and not item.alone
        for item in view.isolated
    )


def _has_just_started(item: run.Run, now: float) -> bool:
    return item.state is run.RunState.PLANNED or (
        now - item.last_ordered_at < suspicion.PROBATION_SECONDS
    )


def list_candidates(
    views: Iterable[run.MinionView],
    now: float,
    evacuated: frozenset[identifiers.ZoneId],
) -> dict[identifiers.PoolId, list[Candidate]]:
    """Returns the minions that may get new work, by pool."""
    found: dict[identifiers.PoolId, list[Candidate]] = {}
    for view in views:
        if not accepts_work(view, now, evacuated):
            continue
        found.setdefault(view.minion.pool, []).append(
            Candidate(
                view,
                view.free(),
                has_long_running=view.long_running_count > 0,
                set_aside=is_set_aside(view, now),
                starts_left=MAX_STARTS_IN_FLIGHT - len(view.starting),
            )
        )
    return found


def bound_free_room(candidates: Iterable[Candidate]) -> job.Resources:
    """Returns the most of each resource that is free on any minion.

    No task that needs more fits before something ends.
    """
    cpu = memory = gpu = 0
    for candidate in candidates:
        cpu = max(cpu, candidate.free.cpu)
        memory = max(memory, candidate.free.memory)
        gpu = max(gpu, candidate.free.gpu)
    return job.Resources(cpu, memory, gpu)


def choose_minion(
    step: job.Step,
    candidates: Sequence[Candidate],
    runs_by_minion: Mapping[identifiers.MinionId, int],
) -> Candidate | None:
    """Returns the best minion for one task of `step`, or None.

    Holds do not limit it. To place several tasks, use `MinionChooser`.

    Args:
        step: The step.
        candidates: Minions of the queue's pool that may get new work.
        runs_by_minion: Runs of the step on each minion, compared with
            `step.max_per_minion`.
    """
    return MinionChooser(step, candidates, runs_by_minion).find_best()


def rank_minion(
    step: job.Step, candidate: Candidate, here: int
) -> tuple[float, ...]:
    """Returns the sort key of a minion with room; the smallest goes first.

    Consecutive short tasks of a step go to one minion until it is full.
    Long-running tasks spread over the minions that have some already.

    Args:
        step: The step.
        candidate: The minion.
        here: Runs of the step on it.
    """
    view = candidate.view
    far = bool(step.rack) and step.rack not in view.minion.labels
    if step.long_running:
        return (
            far,
            view.maintenance_pending,
            not candidate.has_long_running or step.fills,
            here,
            -candidate.free.cpu if step.fills else candidate.free.cpu,
        )
    return (
        far,
        round(view.failure_score),
        not candidate.has_long_running,
        candidate.free.cpu,
    )


class MinionChooser:
    """Chooses minions for the tasks of one step, one task after the other.

    A task changes the rank of its own minion only, so that a choice costs the
    logarithm of the number of minions.

    Args:
        step: The step.
        candidates: Minions of the queue's pool that may get new work; they must
            not change otherwise while tasks are placed.
        runs_by_minion: Runs of the step on each minion, compared with
            `step.max_per_minion`.
        ends: Expected end of the runs in monotonic seconds; by default, holds
            do not limit them.
    """

    def __init__(
        self,
        step: job.Step,
        candidates: Iterable[Candidate],
        runs_by_minion: Mapping[identifiers.MinionId, int],
        *,
        ends: float = -math.inf,
    ) -> None:
        self._step = step
        self._ends = ends
        self._counts = dict(runs_by_minion)
        self._ranked: list[tuple[tuple[float, ...], int, Candidate]] = []
        for order, candidate in enumerate(candidates):
            minion = candidate.view.minion
            if step.label and step.label not in minion.labels:
                continue
            rank = self._rank(candidate)
            if rank is not None:
                self._ranked.append((rank, order, candidate))
        heapq.heapify(self._ranked)

    def find_best(self) -> Candidate | None:
        """Returns the best minion for the next task, or None."""
        return self._ranked[0][2] if self._ranked else None

    def take_best(self) -> Candidate | None:
        """Takes the room of one task on the best minion and returns it."""
        if not self._ranked:
            return None
        _, order, candidate = self._ranked[0]
        take_room(candidate, self._step, self._ends)
        minion_id = candidate.view.minion_id
        self._counts[minion_id] = self._counts.get(minion_id, 0) + 1
        rank = self._rank(candidate)
        if rank is None:
            heapq.heappop(self._ranked)
        else:
            heapq.heapreplace(self._ranked, (rank, order, candidate))
        return candidate

    def _rank(self, candidate: Candidate) -> tuple[float, ...] | None:
        """Returns the rank of a minion, or None if no task fits there."""
        if not _has_room(self._step, candidate, self._ends):
            return None
        here = self._counts.get(candidate.view.minion_id, 0)
        limit = self._step.max_per_minion
        if limit and here >= limit:
            return None
        return rank_minion(self._step, candidate, here)


def _has_room(step: job.Step, candidate: Candidate, ends: float) -> bool:
    """Whether a run of `step` that ends at `ends` may start now."""
    return (
        candidate.starts_left > 0
        and step.room.fits(candidate.free)
        and (ends <= candidate.held_from or step.room.fits(candidate.spare))
    )


def take_room(
    candidate: Candidate, step: job.Step, ends: float = -math.inf
) -> None:
    """Subtracts the room of one task of `step` from `candidate`."""
    candidate.free = candidate.free.minus(step.room)
    if candidate.held_from < math.inf and ends > -math.inf:
        candidate.backfilled += 1
        if ends > candidate.held_from:
            candidate.spare = candidate.spare.minus(step.room)
    candidate.starts_left -= 1
    if step.long_running:
        candidate.has_long_running = True


def count_fits(step: job.Step, candidate: Candidate, *, here: int = 0) -> int:
    """Returns how many tasks of `step` fit on a minion.

    Args:
        step: The step.
        candidate: The minion.
        here: Runs of the step on it.
    """
    if step.label and step.label not in candidate.view.minion.labels:
        return 0
    counts = [
        free // need
        for need, free in (
            (step.room.cpu, candidate.free.cpu),
            (step.room.memory, candidate.free.memory),
            (step.room.gpu, candidate.free.gpu),
        )
        if need > 0
    ]
    if step.max_per_minion:
        counts.append(step.max_per_minion - here)
    return max(0, min(counts, default=step.count))


def choose_gang(
    step: job.Step,
    candidates: Sequence[Candidate],
    runs_by_minion: Mapping[identifiers.MinionId, int],
) -> list[Candidate]:
    """Returns minions for all tasks of a gang.

    Prefers a single rack if the step asks for it. Returns an empty list if the
    gang does not fit.
    """
    groups: dict[str, list[Candidate]] = {}
    fits: collections.Counter[str] = collections.Counter()
    for candidate in candidates:
        here = runs_by_minion.get(candidate.view.minion_id, 0)
        count = count_fits(step, candidate, here=here)
        if count:
            groups.setdefault(candidate.rack, []).append(candidate)
            fits[candidate.rack] += count
    if step.same_rack:
        for rack in sorted(groups):
            if fits[rack] >= step.count:
                return _place_gang(step, groups[rack], runs_by_minion)
    if fits.total() >= step.count:
        return _place_gang(step, candidates, runs_by_minion)
    return []


def _place_gang(
    step: job.Step,
    candidates: Sequence[Candidate],
    runs_by_minion: Mapping[identifiers.MinionId, int],
) -> list[Candidate]:
    """Returns the minions of each task of a gang that is known to fit."""
    originals = {item.view.minion_id: item for item in candidates}
    chooser = MinionChooser(
        step,
        [
            # Its members can't wait for each other's starts.
            dataclasses.replace(candidate, starts_left=step.count)
            for candidate in candidates
        ],
        runs_by_minion,
    )
    chosen = []
    for _ in range(step.count):
        found = chooser.take_best()
        if found is None:
            return []
        chosen.append(originals[found.view.minion_id])
    return chosen


def record_failure(view: run.MinionView, now: float) -> bool:
    """Counts a failed start or run on a minion.

    Returns:
        Whether this failure has ejected the minion.
    """
    view.failure_score += 1.0
    if view.failure_score < EJECTION_FAILURE_SCORE or view.ejected_until > now:
        return False
    # A minion that keeps failing is ejected for longer each time.
    view.ejected_until = (
        now + BASE_EJECTION_SECONDS * min(view.failure_score, 8.0) / 3.0
    )
    return True


def record_success(view: run.MinionView) -> None:
    """Halves the failure score of a minion after a successful run."""
    view.failure_score *= 0.5


if __name__ == "__main__":
    minion = catalog.Minion(
        minion_id=identifiers.MinionId("m1"),
        incarnation=1,
        pool=identifiers.PoolId("quotes"),
        address=("127.0.0.1", 1),
        zone=identifiers.ZoneId("hobart"),
        state=catalog.MinionState.READY,
        capacity=job.Resources(32000, 65536),
    )
    example = Candidate(
        run.MinionView(minion), minion.capacity, has_long_running=False
    )
    print(choose_minion(job.Step(count=1), [example], {}))
