"""Benchmarks of scheduling, routing and retries; one JSON object per line.

Run with `python -m bench.scheduling [NAME...]`. Each policy and its baselines
see the same arrivals; seeds are fixed.
"""

import json
import math
import random
import sys
import time

from bench import baselines, simulation
from clementinewood import retry, router
from clementinewood.priority import Priority

POOL = "quotes"
ZONES = ("hobart", "launceston", "burnie")
TEAMS = {
    "large": simulation.Team(5.0),
    "second": simulation.Team(4.0),
    "third": simulation.Team(3.0),
    "fourth": simulation.Team(2.0),
    "fifth": simulation.Team(1.0),
    "sixth": simulation.Team(1.0),
}
MEANS = (0.2, 0.4, 0.1, 0.3, 0.15, 0.25)
"""Mean run time of each team in seconds."""


def report(bench, policy, **figures):
    rounded = {
        name: round(value, 5) if isinstance(value, float) else value
        for name, value in figures.items()
    }
    print(json.dumps({"bench": bench, "policy": policy, **rounded}), flush=True)


def build_minions(pool=POOL, count=6):
    return [
        simulation.Minion(f"{pool}-{i}", pool, ZONES[i % 3])
        for i in range(count)
    ]


def draw_arrivals(
    teams,
    *,
    seed,
    load,
    slots,
    until,
    patience=5.0,
    mean_runs=MEANS,
    urgent=0.0,
    idempotent=0.5,
    queue=POOL,
    begin=0.0,
    first="r",
):
    """Draws Poisson arrivals; `load` is offered work over capacity.

    Every team offers the same part of the load over its share, customers are
    Zipf-like, runs are lognormal and declared run times are off by up to 5x.
    """
    rng = random.Random(seed)
    total = sum(team.share for team in teams.values())
    requests = []
    for index, (name, team) in enumerate(teams.items()):
        mean = mean_runs[index % len(mean_runs)]
        rate = load * slots * team.share / total / mean
        clock = begin
        count = 0
        while True:
            clock += rng.expovariate(rate)
            if clock >= until:
                break
            count += 1
            run = rng.lognormvariate(math.log(mean) - 0.125, 0.5)
            is_urgent = rng.random() < urgent
            requests.append(
                simulation.Request(
                    clock,
                    f"{first}-{name}-{count}",
                    queue,
                    name,
                    f"customer-{min(5, int(rng.paretovariate(1.0)) - 1)}",
                    Priority.URGENT if is_urgent else Priority.INTERACTIVE,
                    patience,
                    run,
                    mean * 5.0 ** rng.uniform(-1, 1),
                    rng.random() < idempotent,
                )
            )
    requests.sort(key=lambda request: request.time)
    return requests


def build_parts(
    queues,
    teams=TEAMS,
    *,
    entries=6,
    make_scheduler=baselines.Tracked,
    make_router=router.Router,
    make_retry=retry.RetryPolicy,
    slots=48,
):
    def make(index):
        parts = simulation.Parts(
            make_scheduler(teams, queues, entries=entries),
            make_router(ZONES[index % 3], random.Random(100 + index)),
            make_retry(random.Random(200 + index)),
        )
        for pool in {queue.pool for queue in queues.values()}:
            parts.scheduler.set_slots(pool, own=slots // entries, fleet=slots)
        return parts

    return make


SCHEDULERS = {
    "clementinewood": baselines.Tracked,
    "fifo": baselines.Fifo,
    "static-partition": baselines.StaticPartition,
    "round-robin": baselines.RoundRobin,
}


def find_distance(used, teams):
    """Returns the largest relative distance of a team from its share."""
    total = sum(used.values())
    shares = sum(team.share for team in teams.values())
    return max(
        abs(used.get(name, 0.0) / total * shares / team.share - 1.0)
        for name, team in teams.items()
    )


def bench_share(seeds=(1, 2, 3)):
    """Closeness to shares at full load; a fluid scheduler would reach 0."""
    queues = {POOL: simulation.Queue(POOL, 600)}
    for seed in seeds:
        arrivals = draw_arrivals(
            TEAMS, seed=seed, load=2.0, slots=48, until=15.0
        )
        for name, make_scheduler in SCHEDULERS.items():
            run = simulation.Simulation(
                build_parts(queues, make_scheduler=make_scheduler),
                build_minions(),
                queues,
                seed=seed,
            )
            run.run(arrivals, 15.0)
            report(
                "share",
                name,
                seed=seed,
                worst_0_5=find_distance(run.busy(0.0, 5.0), TEAMS),
                worst_5_15=find_distance(run.busy(5.0, 15.0), TEAMS),
                busy=sum(run.busy(5.0, 15.0).values()) / 480.0,
                bound=0.0,
            )


def bench_goodput(seeds=(1, 2)):
    """Useful work at 5x overload; the bound is all slots all the time."""
    queues = {POOL: simulation.Queue(POOL, 600)}
    for seed in seeds:
        for patience in (2.0, 5.0):
            arrivals = draw_arrivals(
                TEAMS,
                seed=seed,
                load=5.0,
                slots=48,
                until=20.0,
                patience=patience,
            )
            for name, make_scheduler in SCHEDULERS.items():
                run = simulation.Simulation(
                    build_parts(queues, make_scheduler=make_scheduler),
                    build_minions(),
                    queues,
                    seed=seed,
                )
                run.run(arrivals, 20.0)
                report(
                    "goodput-5x",
                    name,
                    seed=seed,
                    patience=patience,
                    goodput=run.useful(5.0, 18.0) / (48 * 13.0),
                    busy=sum(run.busy(5.0, 18.0).values()) / (48 * 13.0),
                    share_distance=find_distance(run.busy(5.0, 18.0), TEAMS),
                    refusals=dict(run.refusals),
                    bound=1.0,
                )


BENCHES = {
    "share": bench_share,
    "goodput": bench_goodput,
}


def main(names):
    for name in names or BENCHES:
        begin = time.process_time()
        BENCHES[name]()
        print(f"{name}: {time.process_time() - begin:.1f} s", file=sys.stderr)


if __name__ == "__main__":
    main(sys.argv[1:])
