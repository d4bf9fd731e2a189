"""Measures the demand of each pool's jobs.

Load pattern: a peak builds up within two to three seconds. The arrival rate of
work shows it before a backlog of tasks does. The sizes of jobs vary by more
than their mean, so that the work that arrives within a second says little of
the next second; the number of jobs times the mean work of a queue's jobs says
more. Work above a team's upper limit does not count as demand, nor do waiting
tasks of jobs over the team's rate, which run on unused capacity. Work that can
no longer meet its objective counts apart: while the pools need more machines
than exist, machines serve more callers elsewhere.
"""

import dataclasses
from collections.abc import Iterable, Iterator, Mapping, Sequence

from clementinewood import activejob, catalog, identifiers, joborder

ARRIVAL_WINDOW_SECONDS = 1.0
"""Window over which arriving work is measured; a peak lasts some seconds."""

BURST_WINDOW_SECONDS = 0.4
"""Shorter window, which detects the start of a peak earlier."""

MIN_BURST_JOBS = 4
"""Least arrivals in the shorter window for it to count; a single job is no sign
of a peak."""

MIN_OBSERVED_JOBS = 8
"""Jobs of a queue after which the mean of their work is used. The mean of fewer
is as uncertain as the work of the jobs themselves."""

HALF_LIFE_JOBS = 100.0
"""Weight in jobs above which the weight of past jobs is halved."""


@dataclasses.dataclass(slots=True)
class Demand:
    """Demand of the jobs of one pool.

    Attributes:
        long_running_cores: Cores of long-running tasks.
        long_running_memory: Memory of long-running tasks in MB.
        open: Cores that the other tasks of open steps take if all run at once.
        open_memory: Memory in MB that they take.
        late: Cores among `open` of waiting tasks whose jobs can't meet their
            objective any more.
        arriving: Cores that jobs arriving at the present rate keep busy.
        arrivals: Jobs that arrived within the last `ARRIVAL_WINDOW_SECONDS`.
        least: Minions needed by the step with the most tasks for its limit per
            minion.
    """

    long_running_cores: float = 0.0
    long_running_memory: float = 0.0
    open: float = 0.0
    open_memory: float = 0.0
    late: float = 0.0
    arriving: float = 0.0
    arrivals: int = 0
    least: int = 0

    def compute_memory_factor(self, cores: float, memory: float) -> float:
        """Returns by how much memory is scarcer than processors, at least 1.

        Args:
            cores: Cores of one machine.
            memory: Memory of one machine in MB.
        """
        used_cores = self.long_running_cores + self.open
        used_memory = self.long_running_memory + self.open_memory
        if min(cores, memory, used_cores) <= 0.0:
            return 1.0
        return max(1.0, used_memory / memory / (used_cores / cores))


class _MeanWork:
    """Mean work of a queue's jobs in core-seconds."""

    __slots__ = ("mean", "weight")

    def __init__(self) -> None:
        self.mean = 0.0
        self.weight = 0.0

    def observe(self, work: float) -> None:
        if self.weight > HALF_LIFE_JOBS:
            self.weight /= 2
        self.weight += 1
        self.mean += (work - self.mean) / self.weight


class JobSizes:
    """Learns the mean work of each queue's jobs."""

    def __init__(self) -> None:
        self._means: dict[identifiers.QueueId, _MeanWork] = {}
        self._observed: set[identifiers.JobId] = set()

    def observe(
        self,
        jobs: Iterable[activejob.ActiveJob],
        times: joborder.RunTimes,
    ) -> None:
        """Adds the jobs that were not in the last call, as `observe_pieces`."""
        for _ in self.observe_pieces(jobs, times):
            pass

    def observe_pieces(
        self,
        jobs: Iterable[activejob.ActiveJob],
        times: joborder.RunTimes,
    ) -> Iterator[int]:
        """Adds the jobs that were not in the last call.

        Args:
            jobs: All unfinished jobs.
            times: Expected run times.

        Yields:
            The number of steps of each piece.
        """
        present = set()
        for active in jobs:
            if active.job.long_running:
                continue
            present.add(active.job.job_id)
            if active.job.job_id not in self._observed:
                mean = self._means.setdefault(active.job.queue, _MeanWork())
                mean.observe(_measure_work(active, times))
                yield len(active.job.steps)
        self._observed = present

    def expect(self, active: activejob.ActiveJob, work: float) -> float:
        """Returns the mean work of the queue of a job, once it is known.

        Args:
            active: The job.
            work: Work of the job itself in core-seconds.
        """
        mean = self._means.get(active.job.queue)
        if mean is None or mean.weight < MIN_OBSERVED_JOBS:
            return work
        return mean.mean


def measure_demand(
    jobs: Iterable[activejob.ActiveJob],
    config: catalog.Configuration,
    times: joborder.RunTimes,
    now: float,
    sizes: JobSizes | None = None,
) -> dict[identifiers.PoolId, Demand]:
    """Returns the demand of each pool, as `measure_pieces`."""
    found: dict[identifiers.PoolId, Demand] = {}
    for _ in measure_pieces(list(jobs), config, times, now, sizes, found):
        pass
    return found


def measure_pieces(
    jobs: Sequence[activejob.ActiveJob],
    config: catalog.Configuration,
    times: joborder.RunTimes,
    now: float,
    sizes: JobSizes | None,
    found: dict[identifiers.PoolId, Demand],
) -> Iterator[int]:
    """Measures the demand of each pool, job by job.

    Args:
        jobs: Unfinished jobs.
        config: Configuration in force.
        times: Expected run times.
        now: Monotonic time in seconds.
        sizes: Mean work of each queue's jobs; None to use the work of the jobs
            that have just arrived.
        found: Receives the demand of each pool.

    Yields:
        The number of steps of each piece.
    """
    found.update((pool, Demand()) for pool in config.pools)
    bursts: dict[identifiers.PoolId, tuple[int, float]] = {}
    wanted = [
        (active, config.queues[active.job.queue].pool)
        for active in jobs
        if active.job.queue in config.queues and not active.cancelled
    ]
    shares: dict[identifiers.TeamId, float] = {}
    yield from _share_caps(
        [active for active, _ in wanted], config.teams, shares
    )
    for active, pool in wanted:
        demand = found.get(pool)
        if demand is None:
            continue
        yield len(active.job.steps) + len(active.work)
        share = shares.get(active.job.team, 1.0)
        _add_open(demand, active, share, late=_is_late(active, times, now))
        age = now - active.arrived
        past = age >= ARRIVAL_WINDOW_SECONDS or active.job.long_running
        if past or active.over_rate:
            continue
        work = _measure_work(active, times)
        if sizes is not None:
            work = sizes.expect(active, work)
        work *= share
        demand.arrivals += 1
        demand.arriving += work / ARRIVAL_WINDOW_SECONDS
        if age < BURST_WINDOW_SECONDS:
            count, amount = bursts.get(pool, (0, 0.0))
            bursts[pool] = (count + 1, amount + work)
    for pool, (count, amount) in bursts.items():
        if count >= MIN_BURST_JOBS:
            burst = amount / BURST_WINDOW_SECONDS
            found[pool].arriving = max(found[pool].arriving, burst)


def _measure_path(
    active: activejob.ActiveJob, times: joborder.RunTimes
) -> tuple[float, float]:
    """Returns a job's critical path in seconds, in total and remaining."""
    return active.measure_critical_path(
        lambda step, count: times.expect_longest(
            active.job.queue, step.estimate, count
        )
    )


def _is_late(
    active: activejob.ActiveJob, times: joborder.RunTimes, now: float
) -> bool:
    """Whether a job can't meet its objective any more."""
    if active.queue is None or active.job.long_running:
        return False
    whole, left = _measure_path(active, times)
    objective = active.queue.stretch * whole + active.queue.slack
    return active.arrived + objective < now + left


def _add_open(
    demand: Demand, active: activejob.ActiveJob, share: float, *, late: bool
) -> None:
    for part in active.work.values():
        tasks = sum(part.runs_by_minion.values())
        if not active.over_rate:
            tasks += len(part.pending)
        cores = tasks * part.step.room.cpu / 1000.0
        memory = tasks * part.step.room.memory
        if part.step.long_running:
            demand.long_running_cores += cores
            demand.long_running_memory += memory
        else:
            demand.open += share * cores
            demand.open_memory += share * memory
            if late and not active.over_rate:
                waiting = len(part.pending) * part.step.room.cpu / 1000.0
                demand.late += share * waiting
        if part.step.max_per_minion:
            least = -(-tasks // part.step.max_per_minion)
            demand.least = max(demand.least, least)


def _share_caps(
    jobs: Iterable[activejob.ActiveJob],
    teams: Mapping[identifiers.TeamId, catalog.Team],
    shares: dict[identifiers.TeamId, float],
) -> Iterator[int]:
    """Measures the share of open work that each capped team may run.

    Args:
        jobs: Jobs whose work counts.
        teams: All teams.
        shares: Receives the shares, without teams within their cap.

    Yields:
        The number of steps of each piece.
    """
    open_cpu: dict[identifiers.TeamId, int] = {}
    for active in jobs:
        yield len(active.work)
        for part in active.work.values():
            tasks = len(part.pending) + sum(part.runs_by_minion.values())
            cpu = open_cpu.get(active.job.team, 0)
            open_cpu[active.job.team] = cpu + tasks * part.step.need.cpu
    shares.update(
        (team_id, teams[team_id].cap.cpu / cpu)
        for team_id, cpu in open_cpu.items()
        if team_id in teams and 0 < teams[team_id].cap.cpu < cpu
    )


def _measure_work(
    active: activejob.ActiveJob, times: joborder.RunTimes
) -> float:
    """Returns a job's expected work in core-seconds."""
    return (
        sum(
            step.count
            * step.room.cpu
            * times.expect(active.job.queue, step.estimate)
            for step in active.job.steps
        )
        / 1000.0
    )
