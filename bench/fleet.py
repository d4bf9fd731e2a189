"""Measures fleet planning against lower bounds and baseline planners.

Reports idle hosts, moves, seconds of simulated time and seconds of planning.
Run with `python -m bench.fleet [NAME...]`; prints one JSON object per line.
"""

import dataclasses
import json
import math
import statistics
import sys
import time
import tracemalloc

from bench import fleet_bound, fleet_site
from clementinewood import (
    capacity,
    fleet,
    maintenance,
    move,
    planner,
    sparecapacity,
)

WAVES = ("maintenance", "maintenance, pools apart", "roll")
WARM = 3600.0
# Factor on the estimated needs that covers most of the estimate's noise;
# buffer_short_fraction reports how often it does not.
BUFFER_HEADROOM = 1.02
SITES = (fleet_site.GUILD, fleet_site.SANCTUM, fleet_site.DESIGN)


def emit(name, **values):
    rounded = {
        key: round(value, 4) if isinstance(value, float) else value
        for key, value in values.items()
    }
    print(json.dumps({"bench": f"fleet.{name}", **rounded}), flush=True)


def measure_buffer(shape):
    """Measures idle hosts kept for losses of hosts, over a demand cycle."""
    site = fleet_site.Site(shape)
    workers = [machine.worker for machine in site.machines.values()]
    settings = sparecapacity.BufferSettings()
    spare = sparecapacity.SpareCapacityPlanner(settings)
    ours = bound = summed = separate = whole = unmet = 0
    zones = len(shape.zones)
    planned = min(shape.budget * shape.pools, shape.hosts // 10)
    for hour in range(24):
        now = hour * shape.cycle / 24
        needs = {q: math.ceil(site.offered(q, now) - 1e-9) for q in site.queues}
        need = sum(needs.values())
        plan = spare.plan(capacity.DEFAULT.scale(need), workers, planned)
        unmet += not plan.satisfied
        ours += len(plan.workers) - need
        bound += fleet_bound.count_least_idle(need, zones, planned)
        summed += plan.random + plan.rack + plan.zone + planned
        whole += shape.hosts - need
        separate += sum(
            fleet_bound.count_least_idle(count, zones, 0)
            for count in needs.values()
        )
    emit(
        "buffer",
        site=shape.name,
        ratio=ours / bound,
        target=1.15,
        idle_host_hours=ours,
        bound=bound,
        unmet_hours=unmet,
        baseline_sum_of_losses=summed / bound,
        baseline_buffer_per_pool=separate / bound,
        baseline_all_hosts=whole / bound,
    )


def measure_wave(shape, kind, *, limit, tick=1.0, seeds=(1,)):
    """Measures seconds until all hosts, due at once, are done, without faults.

    The bound is the work of one pool, divided by its budget.
    """
    runs = [run_wave(shape, kind, tick, limit, seed) for seed in seeds]
    allowed = min(shape.budget, shape.zone_budget)
    bounds = [
        shape.hosts_per_pool
        / allowed
        * (statistics.mean(site.work_seconds) + fleet_site.TASK_SECONDS)
        for site, _ in runs
    ]
    seconds = [site.now for site, _ in runs]
    ratios = [s / b for s, b in zip(seconds, bounds, strict=True)]
    emit(
        "wave",
        kind=kind,
        site=shape.name,
        ratio=statistics.mean(ratios),
        worst=max(ratios),
        ratio_to_bound_with_one_zone_at_a_time=statistics.mean(
            site.now / bound_zones(site, allowed) for site, _ in runs
        ),
        target=1.2,
        seconds=statistics.mean(seconds),
        bound=statistics.mean(bounds),
        runs=len(runs),
        baseline_host_by_host=shape.pools * allowed,
        appends=runs[0][0].appends,
        appends_per_second=runs[0][0].appends / seconds[0],
        planner_seconds_per_round=runs[0][1],
    )


def bound_zones(site, allowed):
    """Returns the least seconds if only one zone is worked on at a time.

    Uses the reboot times drawn in the run: in each zone, the pool with the most
    work takes at least the sum of its times, divided by its budget.
    """
    work = {}
    for machine in site.machines.values():
        seconds = site.reboot_seconds[machine.worker.id]
        key = (machine.worker.zone, machine.worker.id.split("-")[0])
        work.setdefault(key, []).append(seconds + fleet_site.TASK_SECONDS)
    zones = {}
    for (zone, _), times in work.items():
        least = max(sum(times) / allowed, max(times))
        zones[zone] = max(zones.get(zone, 0.0), least)
    return sum(zones.values())


def run_wave(shape, kind, tick, limit, seed):
    settings = planner.PlannerSettings(
        limit=limit,
        waves=maintenance.MaintenanceSettings(
            lead=1.0 if kind == "roll" else 0.0,
            pools_apart=kind == "maintenance, pools apart",
        ),
    )
    site = fleet_site.Site(shape, settings=settings, seed=seed)
    rounds, busy = 0, 0.0
    idle = dict.fromkeys(site.queues, capacity.NONE)
    if kind == "roll":
        pools = {
            pool: dataclasses.replace(spec, revision=2)
            for pool, spec in site.declaration.pools.items()
        }
        site.publish(dataclasses.replace(site.declaration, pools=pools))

    def is_done():
        if kind == "roll":
            return len(site.state.roll.done) == len(shape.zones)
        return all(h.maintained > 0 for h in site.state.hosts.values())

    for machine in site.machines.values():
        machine.running = 1
    while not is_done():
        site.now += tick
        site.advance_machines()
        site.fleet.evidence_time = site.now
        start = time.perf_counter()
        records = site.planner.plan(idle, site.now)
        busy += time.perf_counter() - start
        for record in records:
            worker = getattr(record, "worker", "")
            # Finished hosts are due again at once; only the first wave counts.
            if (
                kind == "roll"
                or not worker
                or site.state.hosts[worker].maintained <= 0
            ):
                site.append(record)
        rounds += 1
    return site, busy / rounds


POLICIES = {
    "planner": (planner.PlannerSettings(), None),
    "static": (planner.PlannerSettings(), fleet_bound.plan_nothing),
    "proportional": (
        planner.PlannerSettings(),
        fleet_bound.plan_proportional,
    ),
    "greedy": (
        planner.PlannerSettings(
            moves=move.MoveSettings(
                margin=0.0, grace=0.0, return_after=0.0, returns=50
            )
        ),
        None,
    ),
}


def compare_buffer(site, need):
    """Returns the idle hosts kept for estimated needs, and the lower bound."""
    estimated = site.estimator.estimate_needs(
        site.queues,
        fleet_site.SLOTS,
        capacity.DEFAULT,
        site.now,
        headroom=BUFFER_HEADROOM,
    )
    plan = site.planner.plan_spare_capacity(estimated)
    total = sum(need.values())
    planned = site.shape.budget * site.shape.pools
    least = fleet_bound.count_least_idle(total, len(site.shape.zones), planned)
    return len(plan.workers) - total, least


def measure_peaks(shape, *, cycles, tick, policies):
    """Measures moves and demand served while the queues peak in turn."""
    for name in policies:
        settings, plan = POLICIES[name]
        settings = dataclasses.replace(settings, limit=200)
        site = fleet_site.Site(shape, settings=settings)
        done = offered = 0.0
        idle = least_idle_sum = samples = short = 0
        needs, window = [], []
        # All pools start with one size; the first hour adapts them to demand.
        while site.now < WARM:
            site.step(tick, plan)
        before = site.moves
        start = {pool: len(c.members) for pool, c in site.fleet.pools.items()}
        while site.now < WARM + cycles * shape.cycle:
            work, wanted = site.step(tick, plan)
            window.append(wanted)
            if len(window) * tick >= 300:
                needs.append(
                    {
                        queue: math.ceil(
                            sum(w[queue] for w in window) / tick / len(window)
                        )
                        for queue in site.queues
                    }
                )
                window = []
                if name == "planner" and len(needs) % 4 == 0:
                    kept, least_idle = compare_buffer(site, needs[-1])
                    idle += kept
                    samples += 1
                    short += kept < least_idle
                    least_idle_sum += least_idle
            for queue in site.queues:
                if site.offered(queue, site.now) > shape.hosts_per_pool:
                    done += work[queue]
                    offered += wanted[queue]
        least = fleet_bound.count_least_moves(needs, start, shape.hosts)
        emit(
            "peaks",
            site=shape.name,
            policy=name,
            moves=site.moves - before,
            least_moves=least,
            ratio=(site.moves - before) / least,
            target=1.5,
            buffer_ratio_on_estimates=(
                idle / least_idle_sum if least_idle_sum else None
            ),
            buffer_short_fraction=short / samples if samples else None,
            served_in_peaks=min(1.0, done / offered),
            appends_per_second=site.appends / site.now,
        )


def measure_zone(shape, *, tick, policies=("planner", "static")):
    """Measures work done while a zone leaves during a peak and returns."""
    for name in policies:
        settings, plan = POLICIES[name]
        settings = dataclasses.replace(settings, limit=200)
        site = fleet_site.Site(shape, settings=settings)
        while site.now < WARM:
            site.step(tick, plan)
        before = site.moves
        out = dataclasses.replace(
            site.declaration, zones_out=frozenset({shape.zones[0]})
        )
        home = site.declaration
        done = possible = 0.0
        backlog = sum(site.backlog.values())
        end = site.now + 2 * 3600
        site.publish(out)
        moves_at_return = None
        while site.now < end:
            if moves_at_return is None and site.now >= end - 3600:
                site.publish(home)
                moves_at_return = site.moves
            work, wanted = site.step(tick, plan)
            zones = site.state.declaration.zones_out
            hosts = sum(
                machine.worker.zone not in zones
                for machine in site.machines.values()
            )
            allowed = min(hosts * tick, sum(wanted.values()) + backlog)
            backlog += sum(wanted.values()) - allowed
            possible += allowed
            done += sum(work.values())
        emit(
            "zone",
            site=shape.name,
            policy=name,
            ratio=done / possible,
            target=0.95,
            moves_while_out=moves_at_return - before,
            moves_after_return=site.moves - moves_at_return,
        )


def measure_round(hosts):
    """Measures full and incremental planning rounds with 168 pools.

    Returns hosts, seconds of the fastest full round, mean seconds of an
    incremental round and bytes of memory of the site.
    """
    shape = dataclasses.replace(
        fleet_site.DESIGN,
        hosts_per_pool=math.ceil(hosts / 168),
        pools=168 if hosts >= 168 else hosts,
    )
    tracemalloc.start()
    site = fleet_site.Site(shape)
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    needs = {
        q: capacity.DEFAULT.scale(shape.hosts_per_pool / 3) for q in site.queues
    }
    full = []
    for _ in range(3):
        start = time.perf_counter()
        view = fleet.Fleet(site.state)
        for machine in site.machines.values():
            view.observe(site.fleet.reports[machine.worker.id])
        planner.Planner("full/1", view).plan(needs, site.now)
        full.append(time.perf_counter() - start)
        site.state._listeners = site.state._listeners[:2]
    site.planner.plan(needs, site.now)
    rounds, spent = 200, 0.0
    reports = list(site.fleet.reports.values())
    for number in range(rounds):
        site.now += 5.0
        fresh = [
            dataclasses.replace(report, time=site.now) for report in reports
        ]
        start = time.perf_counter()
        for report in fresh:
            site.fleet.observe(report)
        records = site.planner.plan(needs, site.now)
        spent += time.perf_counter() - start
        for record in records:
            site.append(record)
        if number == rounds // 2:
            site.publish(site.declaration)
    emit(
        "round",
        workers=shape.hosts,
        pools=shape.pools,
        full_seconds=min(full),
        target=1.0,
        incremental_seconds=spent / rounds,
        incremental_core_percent=100 * spent / rounds / 5.0,
        target_percent=1.8,
        memory_mb=memory / 1e6,
    )
    return shape.hosts, min(full), spent / rounds, memory


def measure_waves():
    for shape in SITES:
        large = shape is fleet_site.DESIGN
        seeds = (1,) if large else tuple(range(1, 11))
        for kind in WAVES:
            measure_wave(
                shape,
                kind,
                limit=200 if large else 50,
                tick=2.0 if large else 1.0,
                seeds=seeds,
            )


def measure_all_peaks():
    for shape in SITES[:2]:
        measure_peaks(shape, cycles=1, tick=15.0, policies=POLICIES)
    measure_peaks(SITES[2], cycles=1, tick=20.0, policies=("planner",))


def measure_zones():
    for shape in SITES[:2]:
        measure_zone(shape, tick=10.0)
    measure_zone(SITES[2], tick=20.0, policies=("planner",))


def measure_rounds():
    sizes = [measure_round(hosts) for hosts in (120, 1200, 12000)]
    (n0, f0, i0, m0), (n1, f1, i1, m1) = sizes[0], sizes[-1]
    emit(
        "slope",
        full_microseconds_per_worker=1e6 * (f1 - f0) / (n1 - n0),
        incremental_microseconds_per_worker=1e6 * (i1 - i0) / (n1 - n0),
        bytes_per_worker=(m1 - m0) / (n1 - n0),
    )


def measure_buffers():
    for shape in SITES:
        measure_buffer(shape)


PARTS = {
    "buffer": measure_buffers,
    "peaks": measure_all_peaks,
    "zone": measure_zones,
    "round": measure_rounds,
    "wave": measure_waves,
}


def main(names):
    for name in names or PARTS:
        PARTS[name]()


if __name__ == "__main__":
    main(sys.argv[1:])
