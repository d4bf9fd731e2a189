"""Measures scheduling, routing and retries against baselines and bounds.

Run with `python -m bench.scheduling [NAME...]`; prints one JSON object per
line. Each policy and its baselines get the same arrivals, from fixed seeds.
Times are in simulated seconds, those of the CPU benchmarks in microseconds.
"""

import json
import math
import random
import sys
import time

from bench import baselines, simulation
from clementinewood import retry, router, scheduler
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
MEAN_RUN_SECONDS = (0.2, 0.4, 0.1, 0.3, 0.15, 0.25)
"""Mean run time of each team in seconds."""


def report(bench, policy, **figures):
    rounded = {}
    for name, value in figures.items():
        if isinstance(value, float):
            # JSON has no infinity; null means that the event did not occur.
            value = round(value, 5) if math.isfinite(value) else None
        rounded[name] = value
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
    timeout=5.0,
    mean_runs=MEAN_RUN_SECONDS,
    urgent=0.0,
    idempotent=0.5,
    queue=POOL,
    begin=0.0,
    first="r",
    priority=Priority.INTERACTIVE,
):
    """Draws Poisson arrivals; `load` is offered work over capacity.

    Each team offers load in proportion to its share. Customers follow a
    Zipf-like distribution, run times a lognormal one, and declared run times
    are wrong by up to 5x.
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
                    Priority.URGENT if is_urgent else priority,
                    timeout,
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
    """Returns the largest relative deviation of a team from its share."""
    total = sum(used.values())
    shares = sum(team.share for team in teams.values())
    return max(
        abs(used.get(name, 0.0) / total * shares / team.share - 1.0)
        for name, team in teams.items()
    )


def bench_share(seeds=(1, 2, 3, 4, 5, 6)):
    """Measures deviation from shares at 2x load; a fluid scheduler reaches 0.

    Narrow teams reach only half of the entries. `one-scheduler` is the same
    policy without lag between entries; its deviation comes from the length of
    runs. In the small pool, 2% of what the smallest team gets in 10 s are 0.6
    slot-seconds, or two to three runs.
    """
    for count, narrow, some in (
        (6, (), seeds),
        (6, ("third", "fifth"), seeds[:3]),
        (30, (), seeds[:2]),
    ):
        slots = 8 * count
        queues = {POOL: simulation.Queue(POOL, 12 * slots)}
        for seed in some:
            arrivals = draw_arrivals(
                TEAMS, seed=seed, load=2.0, slots=slots, until=35.0
            )
            for name, make_scheduler in {
                **SCHEDULERS,
                "one-scheduler": baselines.Tracked,
            }.items():
                entries = 1 if name == "one-scheduler" else 6
                run = simulation.Simulation(
                    build_parts(
                        queues,
                        make_scheduler=make_scheduler,
                        entries=entries,
                        slots=slots,
                    ),
                    build_minions(count=count),
                    queues,
                    seed=seed,
                    entries=entries,
                    narrow=narrow,
                )
                run.run(arrivals, 35.0)
                report(
                    "share",
                    name,
                    slots=slots,
                    narrow_teams=len(narrow),
                    seed=seed,
                    worst_0_5=find_distance(run.busy(0.0, 5.0), TEAMS),
                    worst_5_15=find_distance(run.busy(5.0, 15.0), TEAMS),
                    worst_5_35=find_distance(run.busy(5.0, 35.0), TEAMS),
                    busy=sum(run.busy(5.0, 35.0).values()) / (30.0 * slots),
                    bound=0.0,
                )


def bench_goodput(seeds=(1, 2)):
    """Measures useful work at 5x load; the bound is all slots, always busy."""
    queues = {POOL: simulation.Queue(POOL, 600)}
    for seed in seeds:
        for timeout in (2.0, 5.0):
            arrivals = draw_arrivals(
                TEAMS,
                seed=seed,
                load=5.0,
                slots=48,
                until=20.0,
                timeout=timeout,
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
                    patience=timeout,
                    goodput=run.useful(5.0, 18.0) / (48 * 13.0),
                    busy=sum(run.busy(5.0, 18.0).values()) / (48 * 13.0),
                    share_distance=find_distance(run.busy(5.0, 18.0), TEAMS),
                    refusals=dict(run.refusals),
                    bound=1.0,
                )


def count_window(run, begin, end):
    """Returns attempts per request and the fraction answered in a window."""
    started = [span for span in run.spans if begin <= span.start < end]
    names = {span.request.name for span in started}
    answered = {
        span.request.name
        for span in run.spans
        if span.outcome is retry.Outcome.SUCCEEDED
    }
    return {
        "requests": len(names),
        "amplification": len(started) / len(names),
        "answered": len(names & answered) / len(names),
    }


RETRIES = {
    "clementinewood": (retry.RetryPolicy, router.Router),
    "no-ejection": (retry.RetryPolicy, baselines.LeastLoaded),
    "no-budget": (baselines.EagerRetry, router.Router),
    "no-budget-no-ejection": (baselines.EagerRetry, baselines.LeastLoaded),
    "no-retry": (baselines.NoRetry, router.Router),
}


def bench_amplification(seeds=(1, 2)):
    """Measures attempts per request when one of three zones fails unannounced.

    The bound is 1, without retries.
    """
    queues = {POOL: simulation.Queue(POOL, 600)}
    for seed in seeds:
        for load in (0.6, 2.0):
            arrivals = draw_arrivals(
                TEAMS, seed=seed, load=load, slots=48, until=25.0
            )
            for name, (make_retry, make_router) in RETRIES.items():
                run = simulation.Simulation(
                    build_parts(
                        queues, make_retry=make_retry, make_router=make_router
                    ),
                    build_minions(),
                    queues,
                    seed=seed,
                )
                gone = [f"{POOL}-2", f"{POOL}-5"]
                run.at(10.0, lambda run=run, gone=gone: run.kill(gone))
                run.run(arrivals, 25.0)
                report(
                    "retry-amplification",
                    name,
                    seed=seed,
                    load=load,
                    **count_window(run, 9.5, 20.0),
                    first_second=count_window(run, 9.5, 11.0)["amplification"],
                    refusals=dict(run.refusals),
                    bound=1.0,
                )


def bench_ejection(seeds=(1, 2, 3)):
    """Measures ejection of a minion that fails every request after 5 ms.

    The bound is 3 failed attempts per entry.
    """
    queues = {POOL: simulation.Queue(POOL, 600)}
    routers = {
        "clementinewood": router.Router,
        "least-loaded": baselines.LeastLoaded,
        "round-robin": baselines.RoundRobinRouter,
    }
    for seed in seeds:
        for load in (0.3, 1.5):
            arrivals = draw_arrivals(
                TEAMS, seed=seed, load=load, slots=48, until=20.0
            )
            for name, make_router in routers.items():
                run = simulation.Simulation(
                    build_parts(queues, make_router=make_router),
                    build_minions(),
                    queues,
                    seed=seed,
                )
                bad = run.minions[f"{POOL}-1"]
                run.at(5.0, lambda bad=bad: setattr(bad, "failing", True))
                run.run(arrivals, 20.0)
                times = [
                    time - 5.0
                    for (_, minion), time in run.ejections.items()
                    if minion == bad.name
                ]
                failed = sum(
                    span.minion == bad.name and span.start >= 5.0
                    for span in run.spans
                )
                report(
                    "ejection",
                    name,
                    seed=seed,
                    load=load,
                    entries_that_ejected=len(times),
                    first_s=min(times, default=None),
                    last_s=max(times, default=None),
                    failed_attempts=failed,
                    wrongly_ejected=len(run.ejections) - len(times),
                    answered=count_window(run, 5.0, 18.0)["answered"],
                    bound_failed_attempts=3 * len(run.entries),
                )


def bench_zone(seeds=(1, 2)):
    """Measures useful work at 2x load while a zone leaves and returns.

    In the unplanned case the zone fails at 10 s and operators take it out of
    service at 13 s. The bound is all slots in service, always busy.
    """
    queues = {POOL: simulation.Queue(POOL, 600)}
    gone = [f"{POOL}-2", f"{POOL}-5"]
    for seed in seeds:
        for planned in (True, False):
            arrivals = draw_arrivals(
                TEAMS, seed=seed, load=2.0, slots=48, until=32.0
            )
            for name, (make_retry, make_router) in RETRIES.items():
                run = simulation.Simulation(
                    build_parts(
                        queues, make_retry=make_retry, make_router=make_router
                    ),
                    build_minions(),
                    queues,
                    seed=seed,
                )
                out = 10.0 if planned else 13.0
                if not planned:
                    run.at(10.0, lambda run=run: run.kill(gone))
                    run.at(20.0, lambda run=run: run.revive(gone))
                run.at(out, lambda run=run: run.set_zones_out(["burnie"]))
                run.at(20.0, lambda run=run: run.set_zones_out([]))
                run.run(arrivals, 32.0)
                late = sum(
                    span.minion in gone and out <= span.start < 20.0
                    for span in run.spans
                )
                away = run.useful(10.0, 20.0, besides=gone) / 320.0
                back = run.useful(20.0, 30.0) / 480.0
                report(
                    "zone",
                    name,
                    seed=seed,
                    planned=planned,
                    away=away,
                    back=back,
                    whole=(away * 320.0 + back * 480.0) / 800.0,
                    starts_in_zone_out=late,
                    bound=1.0,
                )


def pick_quantile(values, part):
    return sorted(values)[min(len(values) - 1, int(len(values) * part))]


def bench_urgent(seeds=(1, 2)):
    """Measures the start delay of urgent work at 2x load, in seconds.

    Measured with short and with long runs; in the long case, overnight runs of
    30 s fill the pool first. The bound is the time until the next slot at any
    minion is free.
    """
    for seed in seeds:
        for long in (False, True):
            queues = {
                POOL: simulation.Queue(POOL, 600),
                "urgent": simulation.Queue(POOL, 120, Priority.URGENT),
            }
            arrivals = draw_arrivals(
                TEAMS,
                seed=seed,
                load=0.02 if long else 2.0,
                slots=48,
                until=60.0 if long else 20.0,
                urgent=1.0 if long else 0.05,
                timeout=10.0,
            )
            if long:
                arrivals = (
                    draw_arrivals(
                        {"large": TEAMS["large"]},
                        seed=seed + 100,
                        load=2.0,
                        slots=48,
                        until=60.0,
                        timeout=3600.0,
                        mean_runs=(30.0,),
                        priority=Priority.OVERNIGHT,
                        first="night",
                    )
                    + arrivals
                )
                arrivals.sort(key=lambda request: request.time)
            for name, make_scheduler in SCHEDULERS.items():
                run = simulation.Simulation(
                    build_parts(queues, make_scheduler=make_scheduler),
                    build_minions(),
                    queues,
                    seed=seed,
                )
                end = arrivals[-1].time
                run.run(arrivals, end)
                urgent = [
                    request
                    for request in arrivals
                    if request.priority is Priority.URGENT
                    and 5.0 < request.time < end - 10.0
                ]
                delays = [
                    run.delays.get(request.name, math.inf) for request in urgent
                ]
                report(
                    "urgent",
                    name,
                    seed=seed,
                    long_runs=long,
                    count=len(urgent),
                    p50=pick_quantile(delays, 0.5),
                    p99=pick_quantile(delays, 0.99),
                    worst=max(delays),
                    never_started=sum(delay == math.inf for delay in delays),
                    within_2_9=sum(delay <= 2.9 for delay in delays)
                    / len(delays),
                    busy=sum(run.busy(5.0, end - 5.0).values())
                    / (48 * (end - 10.0)),
                )


def bench_light(seeds=(1, 2)):
    """Measures teams that use half of their shares beside a team that floods.

    Max-min fairness starts all requests of the former. The bound for the
    flooding team is the capacity that the others leave.
    """
    queues = {POOL: simulation.Queue(POOL, 600)}
    light = {name: team for name, team in TEAMS.items() if name != "large"}
    asked = (
        0.5
        * sum(team.share for team in light.values())
        / sum(team.share for team in TEAMS.values())
    )
    for seed in seeds:
        arrivals = [
            *draw_arrivals(light, seed=seed, load=asked, slots=48, until=30.0),
            *draw_arrivals(
                {"large": TEAMS["large"]},
                seed=seed + 50,
                load=3.0,
                slots=48,
                until=30.0,
                first="flood",
            ),
        ]
        arrivals.sort(key=lambda request: request.time)
        for name, make_scheduler in SCHEDULERS.items():
            run = simulation.Simulation(
                build_parts(queues, make_scheduler=make_scheduler),
                build_minions(),
                queues,
                seed=seed,
            )
            run.run(arrivals, 30.0)
            delays = [
                run.delays.get(request.name, math.inf)
                for request in arrivals
                if request.team != "large" and 5.0 < request.time < 25.0
            ]
            used = run.busy(5.0, 25.0)
            report(
                "light-teams",
                name,
                seed=seed,
                count=len(delays),
                started=sum(delay < math.inf for delay in delays) / len(delays),
                p50=pick_quantile(delays, 0.5),
                p99=pick_quantile(delays, 0.99),
                flooding_part=used["large"] / 960.0,
                bound_flooding_part=1.0 - asked,
                busy=sum(used.values()) / 960.0,
            )


def bench_overnight(seeds=(1, 2)):
    """Measures an overnight batch beside interactive work at 1.5x load.

    The batch arrives at 0.5 s and needs 40% of its team's share until its
    deadline. The bound is that all of it ends before the deadline.
    """
    queues = {POOL: simulation.Queue(POOL, 3000)}
    for seed in seeds:
        rng = random.Random(seed)
        arrivals = draw_arrivals(
            TEAMS, seed=seed, load=1.5, slots=48, until=75.0
        )
        night = [
            simulation.Request(
                0.5,
                f"night-{number}",
                POOL,
                "second",
                "nightly",
                Priority.OVERNIGHT,
                60.0,
                rng.lognormvariate(-0.125, 0.5),
                5.0 ** rng.uniform(-1, 1),
            )
            for number in range(int(0.4 * 60.0 * 48 * 4 / 16))
        ]
        for name, make_scheduler in SCHEDULERS.items():
            run = simulation.Simulation(
                build_parts(queues, make_scheduler=make_scheduler),
                build_minions(),
                queues,
                seed=seed,
            )
            requests = sorted(
                [*night, *arrivals], key=lambda request: request.time
            )
            run.run(requests, 75.0)
            ended = [
                span.end
                for span in run.spans
                if span.request.priority is Priority.OVERNIGHT
            ]
            interactive = [
                run.delays.get(request.name, math.inf)
                for request in arrivals
                if 5.0 < request.time < 65.0
            ]
            report(
                "overnight",
                name,
                seed=seed,
                batch=len(night),
                in_time=sum(end <= 60.5 for end in ended) / len(night),
                interactive_started=sum(
                    delay < math.inf for delay in interactive
                )
                / len(interactive),
                share_distance=find_distance(run.busy(5.0, 60.0), TEAMS),
                bound=1.0,
            )


def bench_cancel(count=100_000):
    """Measures CPU time of a submit and a cancel, with distinct customers."""
    teams = {"large": simulation.Team(1.0)}
    queues = {POOL: simulation.Queue(POOL, 10**6)}
    jobs = [
        scheduler.Job(
            f"r{number}",
            POOL,
            "large",
            f"c{number % 5000}",
            Priority.INTERACTIVE,
            1e6,
            0.2,
        )  # fmt: skip
        for number in range(count)
    ]
    for size in (count // 100, count // 10, count):
        names = [job.request_id for job in jobs[:size]]
        random.Random(1).shuffle(names)
        subject = baselines.Tracked(teams, queues)
        begin = time.process_time()
        for job in jobs[:size]:
            subject.submit(job, 0.0)
        middle = time.process_time()
        for name in names:
            subject.cancel(name)
        report(
            "cancel",
            "clementinewood",
            waiting=size,
            submit_microseconds=(middle - begin) / size * 1e6,
            cancel_microseconds=(time.process_time() - middle) / size * 1e6,
        )


def bench_cpu():
    """Measures CPU time of a submit, pick and finish with all teams waiting."""
    for team_count in (6, 170):
        for queue_count in (5, 168):
            teams = {
                f"team-{i}": simulation.Team(1.0 + i % 5)
                for i in range(team_count)
            }
            queues = {
                f"queue-{i}": simulation.Queue(f"pool-{i}", 4000)
                for i in range(queue_count)
            }
            for name in ("clementinewood", "fifo", "round-robin"):
                measure_cpu(name, teams, queues)


def measure_cpu(name, teams, queues, rounds=20_000):
    rng = random.Random(1)
    subject = SCHEDULERS[name](teams, queues)
    team_names = list(teams)
    queue_names = list(queues)
    jobs = [
        scheduler.Job(
            f"r{i}",
            queue_names[rng.randrange(len(queues))],
            team_names[rng.randrange(len(teams))],
            f"customer-{rng.randrange(3)}",
            Priority.INTERACTIVE,
            1e6,
            0.2,
        )
        for i in range(10_000 + rounds)
    ]
    now = 0.0
    for job in jobs[:10_000]:
        subject.submit(job, now)
    begin = time.process_time()
    for index, job in enumerate(jobs[10_000:]):
        now += 0.001
        subject.submit(job, now)
        subject.collect_refused(now)
        picked = subject.start_next(
            now, lambda job: True, pool=queues[job.queue].pool
        )
        if index % 250 == 0:
            subject.apply_peer_usage("peer", subject.usage(), now)
        subject.finish(picked.request_id, now + 0.2)
    spent = time.process_time() - begin
    report(
        "cpu",
        name,
        teams=len(teams),
        queues=len(queues),
        microseconds=spent / rounds * 1e6,
    )


def bench_routing_cpu(rounds=20_000):
    """Measures CPU time of routing one request and of one retry decision."""
    for count in (6, 72):
        for name, make_router in {
            "clementinewood": router.Router,
            "least-loaded": baselines.LeastLoaded,
            "round-robin": baselines.RoundRobinRouter,
        }.items():
            subject = make_router("hobart", random.Random(1))
            subject.update(
                [
                    router.Target(
                        minion.name, POOL, minion.zone, ("127.0.0.1", 1), 2
                    )
                    for minion in build_minions(count=count)
                ],
                0.0,
            )
            running = []
            while (target := subject.choose(POOL, 0.0)) is not None:
                subject.start(target.minion, 0.0)
                running.append(target.minion)
            begin = time.process_time()
            for index in range(rounds):
                now = 0.001 * index
                subject.finish(
                    running[index % len(running)],
                    retry.Outcome.SUCCEEDED,
                    0.1,
                    now,
                )
                target = subject.choose(POOL, now)
                subject.start(target.minion, now)
                running[index % len(running)] = target.minion
            report(
                "routing-cpu",
                name,
                minions=count,
                microseconds=(time.process_time() - begin) / rounds * 1e6,
            )
    policy = retry.RetryPolicy(random.Random(1))
    attempt = retry.Attempt(
        "r", "large", 1, retry.Outcome.LOST, True, 1e9, 0.1, "m", kind="k"
    )
    begin = time.process_time()
    for index in range(rounds):
        policy.record_request("large")
        policy.decide(attempt, 0.001 * index)
    report(
        "retry-cpu",
        "clementinewood",
        microseconds=(time.process_time() - begin) / rounds * 1e6,
    )


BENCHES = {
    "share": bench_share,
    "goodput": bench_goodput,
    "amplification": bench_amplification,
    "ejection": bench_ejection,
    "zone": bench_zone,
    "urgent": bench_urgent,
    "light": bench_light,
    "overnight": bench_overnight,
    "cancel": bench_cancel,
    "cpu": bench_cpu,
    "routing-cpu": bench_routing_cpu,
}


def main(names):
    for name in names or BENCHES:
        begin = time.process_time()
        BENCHES[name]()
        print(f"{name}: {time.process_time() - begin:.1f} s", file=sys.stderr)


if __name__ == "__main__":
    main(sys.argv[1:])
