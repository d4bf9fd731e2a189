"""Replays a pool at about twice what it can run against the dispatcher.

Minions, store and clock are simulated without a network; the decisions are
those of `dispatcher.Dispatcher`.
"""

import collections
import dataclasses
import heapq
import random
from typing import NamedTuple

from clementinewood import (
    catalog,
    dispatcher,
    identifiers,
    job,
    joborder,
    run,
    schedulingsettings,
)

TICK_SECONDS = 0.02
QUIET_SECONDS = 3.0
"""Time at less than half load, in which run times are learned."""
PEAK_SECONDS = 8.0
MINIONS = 12
MINION_ROOM = job.Resources(16_000, 64_000)
CORES = MINIONS * MINION_ROOM.cpu / 1000
TASK_COUNTS = (1, 1, 2, 2, 4, 4, 8, 8, 16, 32)
MEAN_WORK = 2 * 7.8 * 1.5 * 0.25 * 1.18 * 1.13
"""Mean core-seconds of a job: steps, tasks, cores, seconds, tail, spread."""
WEIGHTS = {"canvas": 1.0, "shade": 2.0, "tarp": 4.0, "tent": 8.0}
DEMANDS = {"canvas": 0.4, "shade": 0.25, "tarp": 0.25, "tent": 0.1}
QUEUE = catalog.Queue(
    name=identifiers.QueueId("quotes"),
    host="guild",
    prefix="/",
    pool=identifiers.PoolId("quotes"),
    stretch=1.6,
    slack=0.6,
    max_attempts=9,
)


@dataclasses.dataclass(slots=True, eq=False)
class Load:
    """A job of the replay with the seconds of each run."""

    accepted: job.Job
    seconds: list[list[float]]
    end: float = float("inf")

    @property
    def work(self):
        return sum(
            step.need.cpu / 1000 * sum(runs)
            for step, runs in zip(
                self.accepted.steps, self.seconds, strict=True
            )
        )

    @property
    def deadline(self):
        chain = sum(max(runs) for runs in self.seconds)
        return self.accepted.accepted + QUEUE.stretch * chain + QUEUE.slack


def create_config(scale=1.0, teams=WEIGHTS):
    """Returns a configuration in which each weight is multiplied by `scale`."""
    return catalog.Configuration(
        version=1,
        queues={QUEUE.name: QUEUE},
        pools={QUEUE.pool: catalog.Pool(name=QUEUE.pool)},
        teams={
            identifiers.TeamId(team): catalog.Team(
                name=identifiers.TeamId(team), weight=scale * weight
            )
            for team, weight in teams.items()
        },
        keys={},
    )


def create_minion(number):
    return catalog.Minion(
        minion_id=identifiers.MinionId(f"m{number}"),
        incarnation=1,
        pool=QUEUE.pool,
        address=("127.0.0.1", 1),
        zone=identifiers.ZoneId("hobart"),
        state=catalog.MinionState.READY,
        capacity=MINION_ROOM,
    )


def create_dispatcher(config, term=1, *, fair_order=True):
    """Returns a dispatcher that has polled its minions once."""
    dispatch = dispatcher.Dispatcher(identifiers.Term(term), 0.0)
    dispatch.config = config
    dispatch.scheduling = schedulingsettings.SchedulingSettings(
        fair_order=fair_order
    )
    minions = [create_minion(number) for number in range(MINIONS)]
    dispatch.update_minions(minions, 0.0)
    for minion in minions:
        report(dispatch, minion.minion_id, 0.0)
    return dispatch


def report(dispatch, minion_id, now, ended=(), running=()):
    answer = run.MinionReport(
        incarnation=1,
        clock=now,
        running=tuple(running),
        ended=tuple(ended),
        truncated=not running,
    )
    dispatch.handle_report(minion_id, answer, sent=now, now=now)


def draw_load(seed, factor=2.0):
    """Returns jobs at 0.4 times and then `factor` times what the pool runs."""
    rng = random.Random(seed)
    found = []
    now = 0.0
    while now < QUIET_SECONDS + PEAK_SECONDS:
        load = 0.4 if now < QUIET_SECONDS else factor
        now += rng.expovariate(load * CORES / MEAN_WORK)
        team = rng.choices(list(DEMANDS), list(DEMANDS.values()))[0]
        found.append(draw_job(rng, len(found), team, now))
    return found


def draw_job(rng, number, team, now):
    steps, seconds = [], []
    for index in range(rng.randint(1, 3)):
        base = 0.25 * rng.lognormvariate(-0.08, 0.4)
        count = rng.choice(TASK_COUNTS)
        need = job.Resources(rng.choice((1000, 2000)), rng.choice((500, 8000)))
        after = (index - 1,) if index else ()
        declared = round(base * rng.lognormvariate(0.0, 0.3), 3)
        steps.append(
            job.Step(count=count, need=need, estimate=declared, after=after)
        )
        seconds.append(
            [
                base
                * rng.lognormvariate(0.0, 0.5)
                * (7.0 if rng.random() < 0.03 else 1.0)
                for _ in range(count)
            ]
        )
    accepted = job.Job(
        job_id=identifiers.JobId(f"{number:016x}"),
        queue=QUEUE.name,
        team=identifiers.TeamId(team),
        spec="",
        steps=tuple(steps),
        accepted=now,
    )
    return Load(accepted, seconds)


def replay(loads, dispatch):
    """Lets `dispatch` run the jobs and notes when each of them ends."""
    coming = collections.deque(loads)
    known = {load.accepted.job_id: load for load in loads}
    ends, sequences = [], collections.Counter()
    last = max(load.deadline for load in loads)
    now = 0.0
    while now <= last:
        now += TICK_SECONDS
        while coming and coming[0].accepted.accepted <= now:
            accepted = coming.popleft().accepted
            dispatch.add_job(accepted, job.Progress(), accepted.accepted)
        ended = collections.defaultdict(list)
        while ends and ends[0][0] <= now:
            order = heapq.heappop(ends)[-1]
            sequences[order.minion_id] += 1
            ended[order.minion_id].append(
                create_end(order, sequences[order.minion_id])
            )
        for minion_id, rows in ended.items():
            report(dispatch, minion_id, now, rows)
            for row in rows:
                progress = dispatch.jobs[row.task.job].progress
                if progress.state is job.JobState.COMPLETED:
                    known[row.task.job].end = now
        for order in start_planned(dispatch, now):
            runs = known[order.task.job].seconds[order.task.step]
            end = now + runs[order.task.position]
            heapq.heappush(ends, (end, order.task, order))


def start_planned(dispatch, now):
    """Plans once; returns the start orders, all of which are confirmed."""
    orders = dispatch.plan(now, now)
    orders += dispatch.handle_batch_stored(dispatch.take_batch(), now)
    for order in orders:
        started = dispatcher.StartOutcome.STARTED
        dispatch.handle_start_outcome(order, started, now)
    return orders


def create_end(order, sequence):
    return run.EndedRun(
        sequence=sequence,
        task=order.task,
        number=order.number,
        outcome=run.RunOutcome.DONE,
        checkpoint="",
    )


def list_windows(load):
    """Returns release, due time and work of each step of a job in time."""
    longest = [max(runs) for runs in load.seconds]
    for number, runs in enumerate(load.seconds):
        yield (
            load.accepted.accepted + sum(longest[:number]),
            load.deadline - sum(longest[number + 1 :]),
            load.accepted.steps[number].need.cpu / 1000 * sum(runs),
        )


def bound_work(loads):
    """Returns the most work that any policy can do before its deadlines.

    Runs are taken as divisible, and their times as known. Then the pool does
    the most work in time if it always works at what is due first and drops
    what is past due.
    """
    coming = collections.deque(
        sorted(window for load in loads for window in list_windows(load))
    )
    queue, done, now = [], 0.0, 0.0
    while coming or queue:
        if not queue:
            now = max(now, coming[0][0])
        while coming and coming[0][0] <= now:
            heapq.heappush(queue, coming.popleft()[1:])
        due, left = heapq.heappop(queue)
        arrival = coming[0][0] if coming else float("inf")
        until = min(due, now + left / CORES, arrival)
        if until <= now:
            # Past due, or finished up to rounding.
            continue
        part = (until - now) * CORES
        done += part
        now = until
        heapq.heappush(queue, (due, left - part))
    return done


def list_largest(loads):
    """Returns the tenth of the jobs with the most work."""
    ordered = sorted(loads, key=lambda load: load.work)
    return ordered[-len(loads) // 10 :]


def share_fairly(loads, weights, total):
    """Returns each team's fair share of `total` work, at most its demand."""
    wanted = collections.Counter()
    for load in loads:
        wanted[load.accepted.team] += load.work
    shares, open_teams = {}, dict(weights)
    while open_teams:
        part = total / sum(open_teams.values())
        filled = {
            team: wanted[team]
            for team, weight in open_teams.items()
            if wanted[team] <= part * weight
        }
        for team in filled or dict(open_teams):
            shares[team] = filled.get(team, part * open_teams[team])
            total -= shares[team]
            del open_teams[team]
    return shares


def measure(loads):
    """Returns the figures of a replay and the bound of each.

    The worst team is the one with the least work in time for its fair share of
    what the pool can run from the first arrival to the last.
    """
    timely = [load for load in loads if load.end <= load.deadline]
    largest = list_largest(loads)
    teams = {
        team: [load for load in loads if load.accepted.team == team]
        for team in WEIGHTS
    }
    shares = share_fairly(loads, WEIGHTS, CORES * loads[-1].accepted.accepted)
    return Figures(
        overall=add_work(timely) / add_work(loads),
        worst_team=min(
            add_work(set(timely) & set(teams[team])) / shares[team]
            for team in teams
        ),
        largest=add_work(set(timely) & set(largest)) / add_work(largest),
    ), Figures(
        overall=bound_work(loads) / add_work(loads),
        worst_team=min(
            bound_work(loads) / sum(shares.values()),
            *(bound_work(teams[team]) / shares[team] for team in teams),
        ),
        largest=bound_work(largest) / add_work(largest),
    )


def add_work(loads):
    return sum(load.work for load in loads)


class Figures(NamedTuple):
    """Shares of work in time."""

    overall: float
    worst_team: float
    largest: float


class MeanTimes(joborder.RunTimes):
    """Run times without the spread, as in the policy that is compared."""

    def expect_longest(self, queue, declared, count):
        return self.expect(queue, declared)
