"""Predicts when jobs complete, and which are of no use if accepted.

Load pattern: a queue's demand rises to about five times its mean for some
seconds, which is more than its pool and all machines that can move in run, or
one team sends many times its rate. Jobs that come after their callers have lost
interest keep machines from others, and their callers learn it last.

Every estimate here errs towards a shorter wait and a longer job, since a job
that can be served must not be refused.
"""

import dataclasses
import math
from collections.abc import Iterable, Mapping, Sequence, Set

from clementinewood import (
    activejob,
    catalog,
    identifiers,
    job,
    joborder,
    loadreport,
    placement,
    policycache,
    run,
)

ARRIVAL_SECONDS = 2.5
"""Time within which a machine that does not accept work counts as arriving; a
move takes up to 2.2 s."""

FREE_RATIO = 0.2
"""Part of a pool's cores above which it is not short of them: what waits there
waits for something else, such as memory, a label or its team's upper limit."""

REPORT_WAIT_SECONDS = 1.0
"""Predicted wait from which a pool is reported. A shorter one makes no job
useless: the smallest limit is three times the slack of an objective."""

RUN_TIME_FACTOR = 1.0 + joborder.SLACK_MARGIN_RATIO
"""Factor on a job's expected chain, since expected run times are uncertain."""


@dataclasses.dataclass(frozen=True, slots=True)
class Supply:
    """Cores that can run the waiting jobs of one pool.

    Attributes:
        at_work: Cores of machines that accept work, without those that
            long-running tasks take.
        free: Those among them that are free.
        arriving: Cores of machines that accept work soon.
        movable: Cores of spare or idle machines of other pools.
    """

    at_work: float = 0.0
    free: float = 0.0
    arriving: float = 0.0
    movable: float = 0.0

    @property
    def cores(self) -> float:
        """All cores that may serve a job."""
        return self.at_work + self.arriving + self.movable

    @property
    def is_short(self) -> bool:
        """Whether waiting jobs wait for cores."""
        return self.free <= FREE_RATIO * self.at_work


def measure_supply(
    views: Mapping[identifiers.MinionId, run.MinionView],
    machines: Iterable[tuple[catalog.Machine, identifiers.PoolId]],
    config: catalog.Configuration,
    evacuated: frozenset[identifiers.ZoneId],
    now: float,
) -> dict[identifiers.PoolId, Supply]:
    """Returns the supply of each pool that is not spare.

    Args:
        views: Minions, by id.
        machines: Machines with the pool that each belongs or moves to; empty
            if there is no machine service.
        config: Configuration in force.
        evacuated: Zones that get no new work.
        now: Monotonic time in seconds.
    """
    pools = {name for name, pool in config.pools.items() if not pool.spare}
    at_work = dict.fromkeys(pools, 0.0)
    free = dict.fromkeys(pools, 0.0)
    arriving = dict.fromkeys(pools, 0.0)
    movable = dict.fromkeys(pools, 0.0)
    serving: set[identifiers.MinionId] = set()
    for view in views.values():
        pool = view.minion.pool
        # One that is ejected for a moment counts as arriving.
        later = now + ARRIVAL_SECONDS
        if pool in pools and placement.accepts_work(view, later, evacuated):
            serving.add(view.minion_id)
            at_work[pool] += _count_short_cores(view)
            if placement.accepts_work(view, now, evacuated):
                free[pool] += max(0, view.free().cpu) / 1000.0
    can_move = len(pools) < len(config.pools)
    for machine, target in machines:
        cores = machine.capacity.cpu / 1000.0
        if machine.zone in evacuated or (
            machine.state is catalog.MachineState.DOWN
        ):
            continue
        known = views.get(machine.minion_id)
        if machine.minion_id in serving:
            if can_move and known is not None and not known.runs:
                for pool in pools - {target}:
                    movable[pool] += cores
        elif target not in pools:
            for pool in pools:
                movable[pool] += cores
        elif _is_arriving(machine, target, known):
            arriving[target] += cores
    return {
        pool: Supply(at_work[pool], free[pool], arriving[pool], movable[pool])
        for pool in pools
    }


def _count_short_cores(view: run.MinionView) -> float:
    """Returns the cores of a minion that long-running tasks don't take."""
    taken = 0
    if view.long_running_count:
        taken = sum(
            item.room.cpu for item in view.runs.values() if item.long_running
        )
    return max(0, view.minion.capacity.cpu - taken) / 1000.0


def _is_arriving(
    machine: catalog.Machine,
    target: identifiers.PoolId,
    view: run.MinionView | None,
) -> bool:
    if machine.state is not catalog.MachineState.UP or machine.pool != target:
        return True
    # A minion that has just started has not answered its first poll.
    return view is None or (
        view.token_confirmed_at == -math.inf and not view.failed_polls
    )


@dataclasses.dataclass(slots=True)
class _Waiting:
    """Core-seconds of waiting tasks of one pool, by team, and its jobs."""

    feasible: dict[identifiers.TeamId, float] = dataclasses.field(
        default_factory=dict
    )
    late: dict[identifiers.TeamId, float] = dataclasses.field(
        default_factory=dict
    )
    over_rate: dict[identifiers.TeamId, float] = dataclasses.field(
        default_factory=dict
    )
    jobs: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Forecast:
    """Forecast of one pool.

    Attributes:
        load: Its load, with predicted waits.
        waiting: Number of its jobs with tasks that wait.
        over_rate: Teams whose waiting jobs are beyond their rate.
    """

    load: loadreport.PoolLoad
    waiting: int
    over_rate: Set[identifiers.TeamId]

    @property
    def overloaded(self) -> bool:
        """Whether the pool is to be reported."""
        return self.load.over_rate_wait > REPORT_WAIT_SECONDS


def forecast_pools(
    jobs: Iterable[activejob.ActiveJob],
    supplies: Mapping[identifiers.PoolId, Supply],
    config: catalog.Configuration,
    times: joborder.RunTimes,
    now: float,
) -> dict[identifiers.PoolId, Forecast]:
    """Returns the forecast of each pool that has any cores.

    Args:
        jobs: Unfinished jobs.
        supplies: Supply of each pool.
        config: Configuration in force.
        times: Expected run times.
        now: Monotonic time in seconds.
    """
    waiting = {pool: _Waiting() for pool in supplies}
    ratios: dict[identifiers.PoolId, dict[identifiers.QueueId, float]] = {}
    priorities: dict[identifiers.PoolId, int] = {}
    for queue in config.queues.values():
        ratio = times.expect(queue.name, 1.0)
        ratios.setdefault(queue.pool, {})[queue.name] = ratio
        most_urgent = priorities.get(queue.pool, queue.priority)
        priorities[queue.pool] = min(most_urgent, queue.priority)
    for active in jobs:
        found = config.queues.get(active.job.queue)
        if found is None or found.pool not in waiting:
            continue
        # Jobs of less urgent queues of the pool go after the others.
        first = found.priority == priorities[found.pool]
        _add_job(waiting[found.pool], active, found, first, times, now)
    caps = {team.name: team.cap.cpu / 1000.0 for team in config.teams.values()}
    forecasts = {}
    for pool, supply in supplies.items():
        if supply.cores <= 0.0:
            continue
        amounts = waiting[pool]
        wait = over_rate_wait = 0.0
        if supply.is_short:
            # A new job goes before late ones until it is late itself. Later,
            # it is uncertain which jobs go first.
            wait = compute_wait(amounts.feasible, caps, supply.cores)
            within = _add_amounts(amounts.feasible, amounts.late)
            whole = _add_amounts(within, amounts.over_rate)
            over_rate_wait = max(wait, compute_wait(whole, caps, supply.cores))
        forecasts[pool] = Forecast(
            loadreport.PoolLoad(
                pool=pool,
                cores=supply.cores,
                wait=wait,
                over_rate_wait=over_rate_wait,
                ratios=ratios.get(pool, {}),
            ),
            amounts.jobs,
            amounts.over_rate.keys(),
        )
    return forecasts


def _add_job(
    waiting: _Waiting,
    active: activejob.ActiveJob,
    queue: catalog.Queue,
    first: bool,
    times: joborder.RunTimes,
    now: float,
) -> None:
    """Adds the waiting tasks of a job to those of its class."""
    ended = active.cancelled or active.progress.state in job.TERMINAL
    if ended or active.job.long_running or active.arrived > now:
        return
    expected = [
        times.expect(queue.name, step.estimate) for step in active.job.steps
    ]
    work = _measure_waiting(active, expected)
    if any(part.pending for part in active.work.values()) or not active.begun:
        waiting.jobs += 1
    if not first or work <= 0.0:
        return
    team = active.job.team
    if active.over_rate:
        amounts = waiting.over_rate
    else:
        whole, left = active.measure_critical_path(
            lambda step, count: times.expect_longest(
                queue.name, step.estimate, count
            )
        )
        objective = queue.stretch * whole + queue.slack
        last = active.arrived + joborder.LATE_FACTOR * objective - left
        if last < now:
            # It goes after new jobs.
            return
        slack = active.arrived + objective - left - now
        if slack < joborder.SLACK_MARGIN_RATIO * left:
            amounts = waiting.late
        else:
            amounts = waiting.feasible
    amounts[team] = amounts.get(team, 0.0) + work


def _measure_waiting(
    active: activejob.ActiveJob, expected: Sequence[float]
) -> float:
    """Returns the expected core-seconds of tasks that have not started.

    Tasks that need a label or an accelerator are left out: they may wait while
    others start.
    """
    total = 0.0
    for number, step in enumerate(active.job.steps):
        if step.label or step.need.gpu:
            continue
        part = active.work.get((0, number))
        if part is not None:
            count = len(part.pending)
        elif active.has_opened(0, number) or active.progress.is_step_done(
            0, number, step.count
        ):
            count = 0
        else:
            count = step.count
        total += count * step.room.cpu / 1000.0 * expected[number]
    return total


def _add_amounts(
    first: Mapping[identifiers.TeamId, float],
    second: Mapping[identifiers.TeamId, float],
) -> dict[identifiers.TeamId, float]:
    return {
        team: first.get(team, 0.0) + second.get(team, 0.0)
        for team in first.keys() | second.keys()
    }


def compute_wait(
    amounts: Mapping[identifiers.TeamId, float],
    caps: Mapping[identifiers.TeamId, float],
    cores: float,
) -> float:
    """Returns the seconds until `cores` have worked off `amounts`.

    A team with an upper limit leaves the cores beyond it to others, so the wait
    is that after which the others and its limit need all cores no more.

    Args:
        amounts: Waiting core-seconds, by team.
        caps: Upper limit of each team in cores; 0 or none if it has none.
        cores: Cores that work them off.
    """
    # The seconds that each team needs by itself at its upper limit.
    least = {
        team: amount / caps[team] if caps.get(team) else 0.0
        for team, amount in amounts.items()
    }
    left, rest = sum(amounts.values()), cores
    for team in sorted(least, key=lambda team: least[team], reverse=True):
        if rest > 0.0 and left / rest >= least[team]:
            return left / rest
        # This team is still at work at its limit when the others are done.
        left -= amounts[team]
        rest -= caps[team]
    return 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Prediction:
    """Predicted completion of a new job.

    Attributes:
        wait: Seconds that it waits.
        excess: Seconds by which it would complete too late to be of use;
            0 or less if it can be served.
        work: Its expected core-seconds.
    """

    wait: float
    excess: float
    work: float


def predict(
    accepted: job.Job,
    queue: catalog.Queue,
    load: loadreport.PoolLoad,
    *,
    over_rate: bool,
) -> Prediction:
    """Predicts the completion of a new job.

    Args:
        accepted: The job.
        queue: Its queue.
        load: Load of the queue's pool.
        over_rate: Whether it is beyond its team's rate.
    """
    ratio = load.ratios.get(queue.name, 1.0)
    query_seconds = 0.0
    if queue.advice is not None:
        query_seconds = policycache.expect_seconds(queue.advice)
    chain = RUN_TIME_FACTOR * measure_chain(
        accepted.steps, ratio=ratio, query_seconds=query_seconds
    )
    objective = queue.stretch * chain + queue.slack
    wait = load.over_rate_wait if over_rate else load.wait
    work = sum(
        step.count * step.room.cpu / 1000.0 * step.estimate * ratio
        for step in accepted.steps
    )
    last = joborder.LATE_FACTOR * objective
    return Prediction(wait, wait + chain - last, work)


def measure_chain(
    steps: Sequence[job.Step], *, ratio: float, query_seconds: float
) -> float:
    """Returns the expected seconds of the longest chain of steps.

    Args:
        steps: The steps.
        ratio: Ratio of actual to declared run time.
        query_seconds: Seconds that the policy service takes before each step.
    """
    ends: list[float] = []
    for step in steps:
        begins = max((ends[earlier] for earlier in step.after), default=0.0)
        ends.append(begins + query_seconds + step.estimate * ratio)
    return max(ends, default=0.0)


class RetryPlanner:
    """Spreads the retries of refused callers over time.

    Callers that are refused at the same moment must not return together: the
    pool works off its excess at the rate of its cores. Retries of each team are
    placed one after the other, so that a team waits for its own excess only.
    """

    def __init__(self) -> None:
        self._last: dict[
            tuple[identifiers.PoolId, identifiers.TeamId], float
        ] = {}

    def plan(
        self,
        team: identifiers.TeamId,
        load: loadreport.PoolLoad,
        prediction: Prediction,
        now: float,
    ) -> int:
        """Returns the whole seconds after which a refused job may return.

        Args:
            team: Team of the job.
            load: Load of its pool.
            prediction: The prediction for which it is refused.
            now: Monotonic time in seconds.
        """
        key = (load.pool, team)
        soonest = now + prediction.excess
        following = self._last.get(key, -math.inf) + (
            prediction.work / load.cores
        )
        # By then the pool has worked off all that waits now.
        latest = soonest + prediction.wait
        self._last[key] = min(max(soonest, following), latest)
        return max(1, math.ceil(self._last[key] - now))


if __name__ == "__main__":
    team_amounts = {identifiers.TeamId("a"): 40.0, identifiers.TeamId("b"): 8.0}
    print(compute_wait(team_amounts, {identifiers.TeamId("a"): 4.0}, 8.0))
