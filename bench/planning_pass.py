"""Measures the processor time of one planning pass of the dispatcher.

Run with `python -m bench.planning_pass`; prints one JSON object per line. A
full pool of 200 minions has 2,000 runs of 8 teams, and 300 jobs of 2 steps
wait, none of which can start. A pass includes the loads of teams, the ranks
of all waiting jobs, and the search for minions. Times are in microseconds.
"""

import json
import random
import statistics
import time

from loguru import logger

from clementinewood import (
    catalog,
    dispatcher,
    fairshare,
    identifiers,
    job,
    joborder,
    placement,
    run,
    schedulingsettings,
)

MINIONS = 200
RUNS_PER_MINION = 10
WAITING = 300
TEAMS = 8
ROUNDS = 7
CALLS = 20
NOW = 0.2
QUEUE = catalog.Queue(
    name=identifiers.QueueId("quotes"),
    host="guild",
    prefix="/",
    pool=identifiers.PoolId("quotes"),
    stretch=1.6,
    slack=0.6,
)


class MeanTimes(joborder.RunTimes):
    """Run times without the spread."""

    def expect_longest(self, queue, declared, count):
        return self.expect(queue, declared)


def create_job(number, count, team):
    step = job.Step(count=count, need=job.Resources(1600, 6400))
    later = job.Step(count=4, need=job.Resources(1600, 6400), after=(0,))
    return job.Job(
        job_id=identifiers.JobId(f"{number:016x}"),
        queue=QUEUE.name,
        team=identifiers.TeamId(f"team-{team}"),
        spec="",
        steps=(step, later),
        accepted=0.0,
    )


def create_dispatcher(times, *, fair_order):
    dispatch = dispatcher.Dispatcher(identifiers.Term(1), 0.0)
    dispatch.scheduling = schedulingsettings.SchedulingSettings(
        fair_order=fair_order
    )
    dispatch.times = times
    teams = [identifiers.TeamId(f"team-{team}") for team in range(TEAMS)]
    dispatch.config = catalog.Configuration(
        version=1,
        queues={QUEUE.name: QUEUE},
        pools={QUEUE.pool: catalog.Pool(name=QUEUE.pool)},
        teams={
            team: catalog.Team(name=team, weight=1000.0 + number)
            for number, team in enumerate(teams)
        },
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
                capacity=job.Resources(16_000, 64_000),
            )
            for number in range(MINIONS)
        ],
        0.0,
    )
    report = run.MinionReport(incarnation=1, clock=0.0, running=(), ended=())
    for minion_id in dispatch.views:
        dispatch.handle_report(minion_id, report, sent=0.0, now=0.0)
    return dispatch


def fill_pool(times, *, fair_order):
    """Returns a dispatcher with a full pool and waiting jobs."""
    rng = random.Random(1)
    for _ in range(400):
        times.observe(QUEUE.name, 1.0, rng.lognormvariate(0.0, 0.5))
    dispatch = create_dispatcher(times, fair_order=fair_order)
    for number in range(MINIONS * RUNS_PER_MINION // 20):
        accepted = create_job(number, 20, number % TEAMS)
        dispatch.add_job(accepted, job.Progress(), 0.0)
    dispatch.plan(0.0, 0.0)
    orders = dispatch.handle_batch_stored(dispatch.take_batch(), 0.0)
    for order in orders:
        started = dispatcher.StartOutcome.STARTED
        dispatch.handle_start_outcome(order, started, 0.0)
    assert len(orders) == MINIONS * RUNS_PER_MINION
    for number in range(WAITING):
        accepted = create_job(1000 + number, 1 + number % 32, number % TEAMS)
        dispatch.add_job(accepted, job.Progress(), 0.1)
    dispatch.plan(NOW, NOW)
    return dispatch


def time_calls(call):
    """Returns the least and the median microseconds of a call."""
    found = []
    for _ in range(ROUNDS):
        started_at = time.process_time()
        for _ in range(CALLS):
            call()
        found.append((time.process_time() - started_at) / CALLS * 1e6)
    return round(min(found)), round(statistics.median(found))


def measure(dispatch):
    """Returns the costs of a pass, of the loads of teams and of all ranks."""
    waiting = [active for active in dispatch.jobs.values() if not active.live]
    candidates = placement.list_candidates(
        dispatch.views.values(), NOW, dispatch.evacuated
    )

    def order():
        if not dispatch.scheduling.fair_order:
            return None
        return fairshare.measure_order(
            waiting,
            candidates,
            dispatch.views.values(),
            dispatch.config.teams,
            dispatch._usage,
        )

    def measure_paths():
        for active in waiting:
            active.measure_critical_path(
                lambda step, count: dispatch.times.expect_longest(
                    QUEUE.name, step.estimate, count
                )
            )

    loads = order()
    assert loads is None or len(loads.loads) == TEAMS, loads
    return {
        "pass": time_calls(lambda: dispatch.plan(NOW, NOW)),
        "loads": time_calls(order),
        "paths": time_calls(measure_paths),
        "ranks": time_calls(
            lambda: sorted(
                waiting, key=lambda active: dispatch._rank(active, loads, NOW)
            )
        ),
    }


def main():
    logger.disable("clementinewood")
    variants = {
        "mean run, cores per weight": (MeanTimes, False),
        "longest run, cores per weight": (joborder.RunTimes, False),
        "longest run, fair order": (joborder.RunTimes, True),
    }
    for policy, (times, fair_order) in variants.items():
        found = measure(fill_pool(times(), fair_order=fair_order))
        for part, (least, median) in found.items():
            figures = {"policy": policy, "least_us": least, "median_us": median}
            print(json.dumps({"bench": part, **figures}), flush=True)


if __name__ == "__main__":
    main()
