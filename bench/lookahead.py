"""Replays a full pool of small and large tasks, and times planning passes.

Run with `python -m bench.lookahead`; prints one JSON object per line. Each
policy gets the same jobs, from fixed seeds. Waiting times are in simulated
seconds, the times of passes in milliseconds of CPU.
"""

import contextlib
import dataclasses
import heapq
import json
import random
import time
from unittest import mock

from clementinewood import (
    catalog,
    dispatcher,
    identifiers,
    job,
    placement,
    run,
    schedulingsettings,
)

CAPACITY = job.Resources(64000, 262144)
QUEUE = catalog.Queue(
    name=identifiers.QueueId("quotes"),
    host="guild",
    prefix="/",
    pool=identifiers.PoolId("quotes"),
    stretch=1.6,
    slack=0.6,
)
SIZES = ("small", "large")
SEEDS = (1, 2, 3)
LOAD = {"minions": 16, "seconds": 20.0, "load": 0.92}
"""A pool that is full, but not so far beyond its capacity that all of its large
jobs become late, which get no holds."""


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A job of equal tasks.

    Attributes:
        at: When it arrives.
        size: Size of its tasks.
        step: Its step, with the declared run time.
        real: Real run time of each task in seconds.
    """

    at: float
    size: str
    step: job.Step
    real: tuple[float, ...]


def draw_arrivals(*, seed, minions, seconds, load, large=0.1, spread=0.3):
    """Draws small and large jobs.

    Args:
        seed: Seed of every choice.
        minions: Number of minions.
        seconds: How long jobs arrive.
        load: Offered work as a share of what the minions can run.
        large: Share of this work that large tasks have.
        spread: Spread of the logarithm of the run times of a step.
    """
    rng = random.Random(seed)
    cores = minions * CAPACITY.cpu / 1000
    found = []
    for size, share in zip(SIZES, (1 - large, large), strict=True):
        now = 0.0
        while True:
            if size == "small":
                count, cpu = rng.randint(1, 8), rng.randint(1, 4)
            else:
                count, cpu = rng.randint(6, 10), rng.randint(13, 20)
            base = rng.lognormvariate(-0.3, 0.4)
            work = count * cpu * base
            now += work / (cores * share * load) * rng.expovariate(1.0)
            if now > seconds:
                break
            memory = int(cpu * rng.uniform(512, 4096))
            step = job.Step(
                count=count,
                need=job.Resources(cpu * 1000, memory),
                estimate=base * rng.lognormvariate(0.0, 0.4),
            )
            real = tuple(
                base * rng.lognormvariate(0.0, spread) for _ in range(count)
            )
            found.append(Arrival(now, size, step, real))
    return sorted(found, key=lambda arrival: arrival.at)


def create_dispatcher(minions, now=0.0, *, term=1, lookahead=True):
    """Creates a dispatcher whose minions have answered a poll."""
    dispatch = dispatcher.Dispatcher(identifiers.Term(term), now)
    dispatch.scheduling = schedulingsettings.SchedulingSettings(
        lookahead=lookahead
    )
    dispatch.config = catalog.Configuration(
        version=1,
        queues={QUEUE.name: QUEUE},
        pools={QUEUE.pool: catalog.Pool(name=QUEUE.pool)},
        teams={},
        keys={},
    )
    dispatch.update_minions(
        [
            catalog.Minion(
                minion_id=identifiers.MinionId(f"m{number}"),
                incarnation=1,
                pool=QUEUE.pool,
                address=("127.0.0.1", 1),
                zone=identifiers.ZoneId("hobart"),
                state=catalog.MinionState.READY,
                capacity=CAPACITY,
            )
            for number in range(minions)
        ],
        now,
    )
    for minion_id in dispatch.views:
        report(dispatch, minion_id, now)
    return dispatch


def report(dispatch, minion_id, now, ended=(), running=()):
    """Applies a report that leaves out nothing that is known."""
    dispatch.handle_report(
        minion_id,
        run.MinionReport(
            incarnation=1,
            clock=now,
            running=tuple(running),
            ended=tuple(ended),
            truncated=True,
        ),
        sent=now,
        now=now,
    )


def add_job(dispatch, name, step, now):
    """Adds a job of one step."""
    accepted = job.Job(
        job_id=identifiers.JobId(name),
        queue=QUEUE.name,
        team=identifiers.TeamId("canvas"),
        spec="",
        steps=(step,),
        accepted=now,
    )
    dispatch.add_job(accepted, job.Progress(), now)
    return accepted.job_id


def plan(dispatch, now):
    """Runs a planning pass; returns the starts, which have succeeded."""
    dispatch.plan(now, now)
    orders = dispatch.handle_batch_stored(dispatch.take_batch(), now)
    for order in orders:
        dispatch.handle_start_outcome(
            order, dispatcher.StartOutcome.STARTED, now
        )
    return orders


def end_run(dispatch, order, now):
    """Reports the end of a run."""
    view = dispatch.views[order.minion_id]
    row = run.EndedRun(
        sequence=view.applied_sequence + 1,
        task=order.task,
        number=order.number,
        outcome=run.RunOutcome.DONE,
        checkpoint="",
    )
    report(dispatch, order.minion_id, now, [row])


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Result of a replay.

    Attributes:
        waits: Waiting seconds and work of each task, by size.
        late: Share of the jobs that missed their objective, by size.
        changes: Number of changes of holds, by kind.
        backfilled: Number of tasks that used held room.
        order: Start of each task.
    """

    waits: dict
    late: dict
    changes: dict
    backfilled: int
    order: list


def replay(arrivals, minions, *, lookahead):
    """Runs jobs on a dispatcher with simulated minions."""
    dispatch = create_dispatcher(minions, lookahead=lookahead)
    coming = [
        (arrival.at, number, None) for number, arrival in enumerate(arrivals)
    ]
    heapq.heapify(coming)
    jobs, ended, left = {}, {}, {}
    waits = {size: [] for size in SIZES}
    changes, backfilled, order = {}, 0, []
    serial = len(arrivals)
    while coming:
        now = coming[0][0]
        # Events within the debounce time share a planning pass.
        while coming and coming[0][0] <= now + 0.004:
            _, number, started = heapq.heappop(coming)
            if started is None:
                arrival = arrivals[number]
                name = add_job(
                    dispatch, f"{number:016x}", arrival.step, arrival.at
                )
                jobs[name], left[name] = arrival, arrival.step.count
            else:
                end_run(dispatch, started, now)
                left[started.task.job] -= 1
                ended[started.task.job] = now
        for started in plan(dispatch, now):
            arrival = jobs[started.task.job]
            real = arrival.real[started.task.position]
            work = arrival.step.need.cpu / 1000 * real
            waits[arrival.size].append((now - arrival.at, work))
            order.append((now, started.task, started.minion_id))
            serial += 1
            heapq.heappush(coming, (now + real, serial, started))
        seen, filled = dispatch.lookahead.take_changes()
        backfilled += filled
        for change in seen:
            changes[change.kind.value] = changes.get(change.kind.value, 0) + 1
    assert not any(left.values()), "a task has not run"
    late = {size: [] for size in SIZES}
    for name, arrival in jobs.items():
        # The objective is declared in terms of the real run times.
        objective = QUEUE.stretch * max(arrival.real) + QUEUE.slack
        late[arrival.size].append(ended[name] - arrival.at > objective)
    return Outcome(
        waits,
        {size: sum(rows) / len(rows) for size, rows in late.items()},
        changes,
        backfilled,
        order,
    )


def compute_bound(arrivals, minions, sizes=SIZES):
    """Returns a mean wait, weighted by work, that no policy can beat.

    By a time t, a policy has done at most the work that would be done if each
    task started on arrival, and between two times at most what all cores can
    do. The least delay of the work by these two limits is that of a queue
    with the demand of immediate starts. A run is not interrupted, so that the
    work of a task is delayed by as much as its start.

    Args:
        arrivals: The jobs.
        minions: Number of minions.
        sizes: Sizes of the tasks; the others are left out.
    """
    events = []
    work = 0.0
    for arrival in arrivals:
        for real in arrival.real if arrival.size in sizes else ():
            cores = arrival.step.need.cpu / 1000
            work += cores * real
            events += [(arrival.at, cores), (arrival.at + real, -cores)]
    excess = -minions * CAPACITY.cpu / 1000
    delayed = area = last = 0.0
    for now, change in sorted(events):
        span = now - last
        if delayed + excess * span < 0:
            area += delayed * delayed / (-2 * excess)
            delayed = 0.0
        else:
            area += (delayed + excess * span / 2) * span
            delayed += excess * span
        excess, last = excess + change, now
    return (area + (delayed * delayed / (-2 * excess))) / work


def summarize(outcomes):
    """Returns figures of the waits in some replays of one policy, by size."""
    rows = {}
    for size in SIZES:
        waits = sorted(row for item in outcomes for row in item.waits[size])
        work = sum(row[1] for row in waits)
        rows[size] = {
            "tasks": len(waits),
            "mean": sum(row[0] for row in waits) / len(waits),
            "p90": waits[int(0.9 * len(waits))][0],
            "p99": waits[int(0.99 * len(waits))][0],
            "by_work": sum(row[0] * row[1] for row in waits) / work,
            "late": sum(item.late[size] for item in outcomes) / len(outcomes),
        }
        rows[size] = {key: round(row, 3) for key, row in rows[size].items()}
    return rows


def rank_by(key):
    """Replaces the rank of minions with room by `key`, the least first."""

    def rank(step, candidate, here):
        return (key(step, candidate),)

    return mock.patch.object(placement, "rank_minion", rank)


def measure_waste(step, candidate):
    """Returns how far the room left over is from the proportions of a minion.

    Of two equal rooms, the smaller one is better.
    """
    left = candidate.free.minus(step.room)
    cpu, memory = left.cpu / CAPACITY.cpu, left.memory / CAPACITY.memory
    return abs(cpu - memory) + min(cpu, memory)


CHOICES = {
    "least free processors (present)": contextlib.nullcontext,
    "most free processors": lambda: rank_by(lambda _, item: -item.free.cpu),
    "least room of the fuller resource": lambda: rank_by(
        lambda step, item: max(
            item.free.cpu / CAPACITY.cpu, item.free.memory / CAPACITY.memory
        )
    ),
    "least unusable room": lambda: rank_by(measure_waste),
    "first fit": lambda: rank_by(lambda _, item: 0),
}


def time_passes(*, lookahead, minions=200, tasks=10, jobs=300, passes=40):
    """Returns the CPU milliseconds of a pass on a full pool."""
    dispatch = create_dispatcher(minions, lookahead=lookahead)
    rng = random.Random(5)
    small = job.Resources(CAPACITY.cpu // tasks, 1024)
    for number in range(minions):
        step = job.Step(count=tasks, need=small, estimate=rng.uniform(0.5, 3))
        add_job(dispatch, f"{number:016x}", step, 0.0)
    plan(dispatch, 0.0)
    large = job.Resources(2 * small.cpu, 2048)
    for number in range(jobs):
        step = job.Step(count=40, need=large, estimate=rng.uniform(0.5, 3))
        add_job(dispatch, f"{minions + number:016x}", step, 0.1)
    times = []
    for number in range(passes):
        begin = time.process_time()
        dispatch.plan(0.2 + number * 0.004, 0.2 + number * 0.004)
        times.append(1000 * (time.process_time() - begin))
    return sorted(times)[passes // 2]


def main():
    """Prints the figures of each policy and the cost of a pass."""
    for seed in SEEDS:
        arrivals = draw_arrivals(seed=seed, **LOAD)
        bounds = {
            size: round(compute_bound(arrivals, LOAD["minions"], (size,)), 3)
            for size in SIZES
        }
        bounds["all"] = round(compute_bound(arrivals, LOAD["minions"]), 3)
        print(json.dumps({"seed": seed, "bounds": bounds}), flush=True)
    for name, patch in CHOICES.items():
        for lookahead in (False, True):
            with patch():
                outcomes = [
                    replay(
                        draw_arrivals(seed=seed, **LOAD),
                        LOAD["minions"],
                        lookahead=lookahead,
                    )
                    for seed in SEEDS
                ]
            row = {
                "choice": name,
                "lookahead": lookahead,
                "backfilled": sum(item.backfilled for item in outcomes),
                **summarize(outcomes),
            }
            print(json.dumps(row), flush=True)
    for lookahead in (False, True):
        row = {
            "lookahead": lookahead,
            "pass_ms": round(time_passes(lookahead=lookahead), 2),
        }
        print(json.dumps(row), flush=True)


if __name__ == "__main__":
    main()
