"""Steps for the demand of pools and for machines that take no work."""

import math
import random

import behave

from clementinewood import (
    activejob,
    autoscaler,
    catalog,
    identifiers,
    job,
    joborder,
    pooldemand,
    run,
    servingmachines,
)

STEP_SECONDS = 0.1
PEAK_SECONDS = 6.0
MOVE_SECONDS = 2.0
JOB_PATIENCE = 1.2
RUN_SECONDS = 1.0
JOBS_PER_SECOND = 6.0
MEAN_CORES = 60.0
SIZE_SPREAD = 1.0
"""Spread of the logarithm of job sizes: they vary by 1.3 times their mean."""

CORES = 16
MACHINES = 120
FIRST_MACHINES = 16
MOST_MOVES = 8
SPARE = identifiers.PoolId("spare")
POOLS = tuple(identifiers.PoolId(name) for name in ("a", "b", "c", "d"))
CONFIG = catalog.Configuration(
    version=1,
    queues={
        identifiers.QueueId(pool): catalog.Queue(
            name=identifiers.QueueId(pool), host="", prefix="", pool=pool
        )
        for pool in POOLS
    },
    pools={pool: catalog.Pool(name=pool) for pool in POOLS},
    teams={},
    keys={},
)


def create_job(number, pool, cores, arrived=0.0):
    accepted = job.Job(
        job_id=identifiers.JobId(f"{number:016x}"),
        queue=identifiers.QueueId(pool),
        team=identifiers.TeamId(""),
        spec="",
        steps=(
            job.Step(
                count=max(1, round(cores)),
                need=job.Resources(1000),
                estimate=RUN_SECONDS,
            ),
        ),
        accepted=arrived,
    )
    active = activejob.ActiveJob(accepted, job.Progress(), 0, arrived)
    active.open_steps(0.0)
    return active


@behave.given(
    "four queues whose jobs vary in size by more than their mean, seed {seed:d}"
)
def draw_uneven_arrivals(context, seed):
    rng = random.Random(seed)
    location = math.log(MEAN_CORES) - SIZE_SPREAD**2 / 2
    context.arrivals = []
    for number, pool in enumerate(POOLS):
        start = number * PEAK_SECONDS
        now = start
        while now < start + PEAK_SECONDS:
            now += rng.expovariate(JOBS_PER_SECOND)
            cores = rng.lognormvariate(location, SIZE_SPREAD)
            context.arrivals.append((now, pool, cores))
    context.arrivals.sort()


@behave.given("a third of the machines of each pool is drained while it peaks")
def plan_drains(context):
    context.drained_share = 1 / 3


class Replay:
    """Serves the arrivals of all pools with one way to follow demand."""

    def __init__(self, context, *, sizes=None, serving=False, bound=False):
        self.arrivals = context.arrivals
        self.drained_share = context.drained_share
        self.sizes = sizes
        self.serving = serving
        self.bound = bound
        self.autoscaler = autoscaler.Autoscaler()
        self.machines = dict.fromkeys(POOLS, FIRST_MACHINES)
        self.spare = MACHINES - FIRST_MACHINES * len(POOLS)
        self.moving = []
        self.jobs = []
        self.runs = []
        self.moves = 0
        self.work_in_time = 0

    def play(self):
        end = PEAK_SECONDS * (len(POOLS) + 1)
        arrivals = list(enumerate(self.arrivals))
        for step in range(int(end / STEP_SECONDS)):
            now = step * STEP_SECONDS
            while arrivals and arrivals[0][1][0] <= now:
                number, (at, pool, cores) = arrivals.pop(0)
                self.jobs.append(create_job(number, pool, cores, at))
            self._end_runs(now)
            for pool in POOLS:
                self._start(pool, now)
            self.jobs = [active for active in self.jobs if active.work]
            if not self.bound:
                self._move(now)
        return self

    def _end_runs(self, now):
        for at, active in [item for item in self.runs if item[0] <= now]:
            self.runs.remove((at, active))
            part = active.work[0, 0]
            part.runs_by_minion.clear()
            del active.work[0, 0]

    def _count_drained(self, pool, now):
        peak = POOLS.index(pool) * PEAK_SECONDS
        drained = peak <= now < peak + PEAK_SECONDS
        return round(FIRST_MACHINES * self.drained_share) if drained else 0

    def _start(self, pool, now):
        machines = self.machines[pool] - self._count_drained(pool, now)
        if self.bound:
            machines = MACHINES
        used = sum(
            active.job.steps[0].count
            for _, active in self.runs
            if active.job.queue == pool
        )
        room = machines * CORES - used
        for active in self.jobs:
            part = active.work.get((0, 0))
            if active.job.queue != pool or part is None or not part.pending:
                continue
            if now - active.arrived > JOB_PATIENCE:
                active.work.clear()
                continue
            count = len(part.pending)
            if count <= room:
                room -= count
                part.pending.clear()
                part.change_run_count(identifiers.MinionId("m"), count)
                self.runs.append((now + RUN_SECONDS, active))
                self.work_in_time += count

    def _move(self, now):
        for item in [item for item in self.moving if item[0] <= now]:
            self.moving.remove(item)
            if item[1] == SPARE:
                self.spare += 1
            else:
                self.machines[item[1]] += 1
        times = joborder.RunTimes()
        if self.sizes is not None:
            self.sizes.observe(self.jobs, times)
        demands = pooldemand.measure_demand(
            self.jobs, CONFIG, times, now, self.sizes
        )
        loads = [self._read_load(pool, demands[pool], now) for pool in POOLS]
        spare = [f"spare-{number}" for number in range(self.spare)]
        plan = self.autoscaler.plan(
            loads, spare, SPARE, now, most_moves=MOST_MOVES
        )
        for move in plan.moves:
            self.moves += 1
            source = move.machine_id.partition("-")[0]
            if source == "spare":
                self.spare -= 1
            else:
                self.machines[source] -= 1
            self.moving.append((now + MOVE_SECONDS, move.pool))

    def _read_load(self, pool, demand, now):
        coming = sum(1 for _, target in self.moving if target == pool)
        drained = self._count_drained(pool, now)
        serving = self.machines[pool] - drained
        used = sum(
            active.job.steps[0].count
            for _, active in self.runs
            if active.job.queue == pool
        )
        idle = max(0, serving - math.ceil(used / CORES))
        counted = serving if self.serving else self.machines[pool]
        follows = demand.arriving
        if not self.serving:
            follows = max(demand.open, demand.arriving)
        return autoscaler.PoolLoad(
            pool=pool,
            demand=follows,
            backlog=demand.open,
            arrivals=demand.arrivals,
            cores=CORES,
            machines=counted + coming,
            idle=tuple(f"{pool}-{number}" for number in range(idle)),
        )


@behave.when(
    "machines follow the work of the last arrivals and all machines count"
)
def replay_present(context):
    context.present = Replay(context).play()


@behave.when(
    "machines follow the mean work of a queue's jobs and serving ones count"
)
def replay_serving(context):
    context.changed = Replay(
        context, sizes=pooldemand.JobSizes(), serving=True
    ).play()


@behave.when("every pool of uneven demand has every machine")
def replay_all_machines(context):
    context.best = Replay(context, bound=True).play()


@behave.then("the second serves more work in time than the first")
def check_more(context):
    offered = sum(max(1, round(cores)) for _, _, cores in context.arrivals)
    for name in ("present", "changed", "best"):
        replay = getattr(context, name)
        share = replay.work_in_time / offered
        print(f"{name}: {share:.3f} of the work in time, {replay.moves} moves")
    assert context.changed.work_in_time > context.present.work_in_time


@behave.then("with fewer moves")
def check_fewer_moves(context):
    assert context.changed.moves < context.present.moves


@behave.then("neither serves more than the third")
def check_bound(context):
    for replay in (context.present, context.changed):
        assert replay.work_in_time <= context.best.work_in_time


@behave.given(
    "a queue with {few:d} jobs of 10 core-seconds and {many:d} of 100"
)
def create_sized_jobs(context, few, many):
    context.jobs = [create_job(number, "a", 10) for number in range(few)]
    context.jobs += [
        create_job(number, "a", 100) for number in range(few, few + many)
    ]
    context.sizes = pooldemand.JobSizes()
    context.sizes.observe(context.jobs, joborder.RunTimes())


@behave.when("another job of 10 core-seconds arrives")
def add_sized_job(context):
    context.jobs.append(create_job(len(context.jobs), "a", 10))
    context.sizes.observe(context.jobs, joborder.RunTimes())


@behave.when("the leader changes")
def change_leader_of_sizes(context):
    context.sizes = pooldemand.JobSizes()
    context.sizes.observe(context.jobs, joborder.RunTimes())


@behave.then(
    "a new job of 100 core-seconds is expected to be {work:g} core-seconds"
)
def check_expected_work(context, work):
    new = create_job(10_000, "a", 100)
    assert math.isclose(context.sizes.expect(new, 100.0), work)


@behave.given(
    "a pool whose jobs have {cores:g} cores of open work and none has just"
    " arrived"
)
def create_backlog(context, cores):
    context.load = autoscaler.PoolLoad(
        pool=POOLS[0], demand=0.0, backlog=cores, cores=1.0, machines=1
    )


@behave.then(
    "it gets machines for {cores:d} cores and no more, also as a peak begins"
)
def check_backlog(context, cores):
    scaler = autoscaler.Autoscaler()
    assert scaler.count_wanted(context.load, 0.0) == cores
    rising = autoscaler.PoolLoad(
        pool=POOLS[0],
        demand=10.0,
        backlog=context.load.backlog,
        arrivals=autoscaler.PEAK_JOBS,
        cores=1.0,
        machines=1,
    )
    assert scaler.count_wanted(rising, 0.1) == cores


@behave.given("{count:d} machines of a pool")
def create_serving_machines(context, count):
    context.machines = {}
    context.views = {}
    context.drained = set()
    for number in range(count):
        machine_id = identifiers.MachineId(f"machine-{number}")
        minion_id = identifiers.MinionId(f"minion-{number}")
        context.machines[machine_id] = catalog.Machine(
            machine_id=machine_id,
            pool=POOLS[0],
            state=catalog.MachineState.UP,
            zone=identifiers.ZoneId("a"),
            minion_id=minion_id,
        )
        context.views[minion_id] = run.MinionView(
            catalog.Minion(
                minion_id=minion_id,
                incarnation=1,
                pool=POOLS[0],
                address=("10.0.0.1", 80),
                zone=identifiers.ZoneId("a"),
                state=catalog.MinionState.READY,
                capacity=job.Resources(16000),
            )
        )


@behave.when("one of them is drained for maintenance")
def drain_machine(context):
    context.drained.add(identifiers.MachineId("machine-0"))


@behave.when("one of them reports that it drains")
def report_drain(context):
    view = context.views[identifiers.MinionId("minion-0")]
    view.minion = catalog.Minion(
        minion_id=view.minion_id,
        incarnation=1,
        pool=POOLS[0],
        address=("10.0.0.1", 80),
        zone=identifiers.ZoneId("a"),
        state=catalog.MinionState.DRAINING,
        capacity=job.Resources(16000),
    )


@behave.when("one of them has missed {count:d} poll")
@behave.when("one of them has missed {count:d} polls")
def miss_polls(context, count):
    context.views[identifiers.MinionId("minion-0")].failed_polls = count


@behave.when("{machines:d} of them miss {count:d} polls")
def miss_many_polls(context, machines, count):
    for number in range(machines):
        minion_id = identifiers.MinionId(f"minion-{number}")
        context.views[minion_id].failed_polls = count


@behave.when("one of them is ejected for {seconds:g} seconds")
def eject_minion(context, seconds):
    context.views[identifiers.MinionId("minion-0")].ejected_until = seconds


@behave.when("one of them is under maintenance and listed so")
def list_maintenance(context):
    machine_id = identifiers.MachineId("machine-0")
    context.machines[machine_id] = catalog.Machine(
        machine_id=machine_id,
        pool=POOLS[0],
        state=catalog.MachineState.UPKEEP,
        zone=identifiers.ZoneId("a"),
        minion_id=identifiers.MinionId(""),
    )


@behave.when("one of them has just moved in and has no minion")
def forget_view(context):
    del context.views[identifiers.MinionId("minion-0")]


@behave.then("{count:d} of them are out of service")
def check_out_of_service(context, count):
    found = servingmachines.list_out_of_service(
        context.machines.values(),
        lambda machine: context.views.get(machine.minion_id),
        context.drained,
        0.0,
    )
    assert len(found) == count, found


@behave.given(
    "{count:d} machines and two pools of which one wants {wanted:d} for work"
    " that is late"
)
def create_late_pool(context, count, wanted):
    context.spare, context.late_wanted = count, wanted


@behave.when("the other wants {count:d} machines for fresh work")
def share_between_pools(context, count):
    late, fresh = POOLS[:2]
    loads = [
        autoscaler.PoolLoad(pool=pool, demand=0.0, cores=CORES, machines=0)
        for pool in (late, fresh)
    ]
    context.targets = autoscaler.share_machines(
        loads,
        {late: context.late_wanted, fresh: count},
        context.spare,
        {late: 0, fresh: count},
    )


@behave.then("the other pool's target is {count:d} machines")
def check_fresh_target(context, count):
    assert context.targets[POOLS[1]] == count, context.targets
    assert sum(context.targets.values()) <= context.spare, context.targets


@behave.given(
    "tasks that take {cores:g} cores and {memory:g} MB of machines with"
    " {most:g} and {whole:g}"
)
def create_memory_demand(context, cores, memory, most, whole):
    demand = pooldemand.Demand(open=cores, open_memory=memory)
    context.factor = demand.compute_memory_factor(most, whole)


@behave.then("memory is scarcer by a factor of {factor:g}")
def check_memory_factor(context, factor):
    assert math.isclose(context.factor, factor), context.factor
