"""Steps for the assignment of machines to pools."""

import math
import random

import behave

from clementinewood import (
    activejob,
    autoscaler,
    catalog,
    dispatcher,
    identifiers,
    job,
    joborder,
    pooldemand,
    teamrate,
    waveplanner,
)

CORES = 32
MOST_MOVES = 8
SPARE = identifiers.PoolId("spare")
QUOTES = identifiers.PoolId("quotes")


def create_load(name, demand, machines, idle, busy=0, arrivals=0, down=0):
    names = [f"{name}-{number}" for number in range(idle + busy)]
    return autoscaler.PoolLoad(
        pool=identifiers.PoolId(name),
        demand=demand,
        arrivals=arrivals,
        down=down,
        cores=CORES,
        machines=machines,
        idle=tuple(names[:idle]),
        busy=tuple(names[idle:]),
        least=1,
    )


@behave.given("pools of {machines:d} machines and {spare:d} spare ones")
def create_pools(context, machines, spare):
    context.machines = machines
    context.spare = [f"spare-{number}" for number in range(spare)]
    context.autoscaler = autoscaler.Autoscaler()
    context.now = 0.0


def plan(context, loads):
    context.plan = context.autoscaler.plan(
        loads,
        context.spare,
        SPARE,
        context.now,
        most_moves=MOST_MOVES,
    )


@behave.when("one pool needs {cores:g} cores")
def need_cores(context, cores):
    count = context.machines
    plan(
        context,
        [
            create_load("hot", cores, count, 0, count),
            create_load("cold", 0.0, count, count),
        ],
    )


def count_moves(context):
    return sum(1 for move in context.plan.moves if move.pool == "hot")


@behave.then("it has machines for {cores:g} cores after the first round")
def check_machines(context, cores):
    machines = context.machines + count_moves(context)
    assert machines * CORES >= cores, context.plan


@behave.then("it gets no more than {count:d} machines in the round")
def check_few_moves(context, count):
    assert count_moves(context) <= count, context.plan


@behave.when(
    "two pools need {cores:g} cores and one of them has taken {count:d}"
    " machines"
)
def need_both(context, cores, count):
    plan(
        context,
        [
            create_load("large", cores, count, 0, count),
            create_load("small", cores, context.machines, 0, 8),
        ],
    )


@behave.then("machines of the larger pool are emptied for the smaller one")
def check_emptied(context):
    assert context.plan.cordoned
    assert all(name.startswith("large") for name in context.plan.cordoned)
    assert len(context.plan.cordoned) == 4, context.plan


@behave.when("nothing is needed for {seconds:g} seconds")
def need_nothing(context, seconds):
    end = context.now + seconds
    while context.now < end:
        context.now += 0.1
        load = create_load("cold", 0.0, context.machines, context.machines)
        plan(context, [load])


@behave.then("no machine is given back")
def check_none_back(context):
    assert not context.plan.moves


@behave.then("{count:d} machines are given back")
def check_back(context, count):
    back = [move for move in context.plan.moves if move.pool == "spare"]
    assert len(back) == count, context.plan


@behave.given(
    "a wave over {count:d} machines with at most {cap:d} at once and"
    " {seconds:g} seconds"
)
def create_wave(context, count, cap, seconds):
    names = tuple(f"m{number}" for number in range(count))
    context.wave = waveplanner.WaveState(
        catalog.Wave(number=1, machines=names, seconds=seconds, cap=cap), 0.0
    )
    context.listed = {
        name: catalog.Machine(
            machine_id=name,
            pool=QUOTES,
            state=catalog.MachineState.UP,
            zone=identifiers.ZoneId("hobart"),
            minion_id=identifiers.MinionId(name),
        )
        for name in names
    }
    context.loads = {
        name: waveplanner.Load(
            runs=number > 1, long_running_count=int(number > 1), used=0.2
        )
        for number, name in enumerate(names)
    }


def plan_wave(context, surplus):
    context.actions = waveplanner.plan_wave(
        context.wave, context.listed, context.loads, 1.0, {QUOTES: surplus}
    )


@behave.when("a pool is short")
def plan_short(context):
    plan_wave(context, -2)


@behave.when("a pool has just what it needs")
def plan_even(context):
    plan_wave(context, 0)


@behave.when(
    "a pool has just what it needs and a machine of it is being emptied"
)
def plan_occupied(context):
    context.wave.draining_machines["m5"] = "m5"
    plan_wave(context, 0)
    context.wave.draining_machines.clear()


@behave.when("a pool has machines to spare")
def plan_calm(context):
    plan_wave(context, 2)


@behave.then("no machine of the wave is chosen")
def check_no_action(context):
    assert not context.actions


@behave.then("{count:d} machines of the wave are chosen")
def check_forced(context, count):
    assert len(context.actions) == count, context.actions


@behave.then("the {count:d} idle machines of the wave are chosen first")
def check_chosen(context, count):
    chosen = {action.machine_id for action in context.actions}
    assert chosen == {f"m{number}" for number in range(count)}, chosen


@behave.when(
    "one pool needs {cores:g} cores for jobs that have just begun to arrive"
)
def begin_peak(context, cores):
    count = context.machines
    plan(context, [create_load("hot", cores, count, 0, count, arrivals=3)])


@behave.when("one pool still needs {cores:g} cores {seconds:g} seconds later")
def go_on_peak(context, cores, seconds):
    context.now += seconds
    begin_peak(context, cores)


@behave.given(
    "pools of {machines:d} machines of which all are down, and {spare:d} spare"
    " ones"
)
def create_down(context, machines, spare):
    create_pools(context, machines, spare)


@behave.when("nothing is needed")
def plan_down(context):
    names = ("one", "two")
    plan(
        context,
        [create_load(name, 0.0, 0, 0, down=context.machines) for name in names],
    )


@behave.then("no machine is moved")
def check_no_move(context):
    assert not context.plan.moves, context.plan


@behave.when("the pool of its idle machines is short and another is not")
def plan_two_pools(context):
    other = identifiers.PoolId("stores")
    for name in ("m2", "m3", "m4", "m5"):
        machine = context.listed[name]
        context.listed[name] = catalog.Machine(
            machine_id=name,
            pool=other,
            state=machine.state,
            zone=machine.zone,
            minion_id=machine.minion_id,
        )
    context.actions = waveplanner.plan_wave(
        context.wave,
        context.listed,
        context.loads,
        1.0,
        {QUOTES: -2, other: 0},
    )


@behave.then("no idle machine of the wave is chosen")
def check_no_idle(context):
    chosen = {action.machine_id for action in context.actions}
    assert len(chosen) == 2 and not chosen & {"m0", "m1"}, chosen


@behave.given(
    "a team with an upper limit of {cap:d} cores whose jobs need {need:d} cores"
)
def create_capped(context, cap, need):
    team = catalog.Team(
        name=identifiers.TeamId("canvas"), cap=job.Resources(cap * 1000)
    )
    queue = catalog.Queue(
        name=identifiers.QueueId("quotes"), host="", prefix="", pool=QUOTES
    )
    config = catalog.Configuration(
        version=1,
        queues={queue.name: queue},
        pools={QUOTES: catalog.Pool(name=QUOTES)},
        teams={team.name: team},
        keys={},
    )
    accepted = job.Job(
        job_id=identifiers.JobId("a"),
        queue=queue.name,
        team=team.name,
        spec="",
        steps=(job.Step(count=need, need=job.Resources(1000)),),
        accepted=0.0,
    )
    active = activejob.ActiveJob(accepted, job.Progress(), 0, 0.0)
    active.open_steps(0.0)
    context.demand = pooldemand.measure_demand(
        [active], config, joborder.RunTimes(), 10.0
    )


@behave.given(
    "a team that sends {count:d} jobs at once with a weight of {weight:d}"
)
def send_excess(context, count, weight):
    team = catalog.Team(name=identifiers.TeamId("canvas"), weight=weight)
    queue = catalog.Queue(
        name=identifiers.QueueId("quotes"), host="", prefix="", pool=QUOTES
    )
    decisions = dispatcher.Dispatcher(identifiers.Term(1), 0.0)
    decisions.config = catalog.Configuration(
        version=1,
        queues={queue.name: queue},
        pools={QUOTES: catalog.Pool(name=QUOTES)},
        teams={team.name: team},
        keys={},
    )
    for number in range(count):
        accepted = job.Job(
            job_id=identifiers.JobId(f"{number:016x}"),
            queue=queue.name,
            team=team.name,
            spec="",
            steps=(job.Step(count=1, need=job.Resources(1000)),),
            accepted=0.0,
        )
        decisions.add_job(accepted, job.Progress(), 9.9)
    for active in decisions.jobs.values():
        active.open_steps(0.0)
    context.within = int(weight * teamrate.BURST_SECONDS)
    context.demand = pooldemand.measure_demand(
        decisions.jobs.values(), decisions.config, joborder.RunTimes(), 10.0
    )


@behave.then("its pool's demand is that of the jobs within its share")
def check_within_share(context):
    found = context.demand[QUOTES]
    assert found.open == found.arrivals == context.within, found


@behave.then("its pool's demand is {cores:d} cores")
def check_demand(context, cores):
    assert context.demand[QUOTES].open == cores, context.demand


# Replay of queues that peak in turn. A job takes ten cores for 1.5 s and counts
# as served if it starts within 1.2 s. A move takes 1.8 s, including the time
# until the machine accepts work.

STEP_SECONDS = 0.1
PEAK_SECONDS = 9.0
MOVE_SECONDS = 1.8
JOB_CORES = 10.0
JOB_SECONDS = 1.5
JOB_PATIENCE = 1.2
MEAN_JOBS_PER_SECOND = 5.0
MACHINES = 30
POOLS = tuple(identifiers.PoolId(name) for name in ("a", "b", "c", "d"))


@behave.given(
    "four queues that peak in turn at four times their mean, seed {seed:d}"
)
def draw_arrivals(context, seed):
    rng = random.Random(seed)
    steps = int(PEAK_SECONDS * len(POOLS) / STEP_SECONDS)
    context.arrivals = []
    for step in range(steps):
        now = step * STEP_SECONDS
        found = []
        for number, pool in enumerate(POOLS):
            phase = (now - number * PEAK_SECONDS) / PEAK_SECONDS
            height = 0.05
            if 0 <= phase < 1:
                # A peak rises and falls; its mean is four times the queue's.
                height = 4.0 * math.pi / 2 * math.sin(math.pi * phase)
            rate = MEAN_JOBS_PER_SECOND * height * STEP_SECONDS
            found.extend([pool] * draw_poisson(rng, rate))
        context.arrivals.append(found)


def draw_poisson(rng, mean):
    limit, count, product = math.exp(-mean), 0, rng.random()
    while product > limit:
        count += 1
        product *= rng.random()
    return count


class Fleet:
    """Pools that serve the arrivals in order, with or without moves."""

    def __init__(self, machines, decide=None):
        self.machines = {pool: machines for pool in POOLS}
        self.spare = MACHINES - machines * len(POOLS) if decide else 0
        self.decide = decide
        self.moving = []
        self.running = {pool: [] for pool in POOLS}
        self.waiting = {pool: [] for pool in POOLS}
        self.recent = {pool: [] for pool in POOLS}
        self.in_time = 0
        self.paid = 0.0

    def run(self, arrivals):
        for step, found in enumerate(arrivals):
            now = step * STEP_SECONDS
            for pool in found:
                self.waiting[pool].append(now)
                self.recent[pool].append(now)
            self._settle(now)
            for pool in POOLS:
                self._serve(pool, now)
            if self.decide is not None:
                self._move(now)
            paid = sum(self.machines.values()) + len(self.moving)
            self.paid += paid * STEP_SECONDS
        return self

    def _settle(self, now):
        for due, pool in [item for item in self.moving if item[0] <= now]:
            self.moving.remove((due, pool))
            if pool == SPARE:
                self.spare += 1
            else:
                self.machines[pool] += 1

    def _serve(self, pool, now):
        running = [end for end in self.running[pool] if end > now]
        room = self.machines[pool] * CORES - len(running) * JOB_CORES
        waiting = self.waiting[pool]
        # Drops jobs that can no longer start in time.
        while waiting and now - waiting[0] > JOB_PATIENCE:
            waiting.pop(0)
        while waiting and room >= JOB_CORES:
            waiting.pop(0)
            running.append(now + JOB_SECONDS)
            room -= JOB_CORES
            self.in_time += 1
        self.running[pool] = running

    def _move(self, now):
        loads = []
        for pool in POOLS:
            recent = [at for at in self.recent[pool] if now - at < 1.0]
            self.recent[pool] = recent
            jobs = len(self.running[pool]) + len(self.waiting[pool])
            arriving = len(recent) * JOB_SECONDS * JOB_CORES
            used = math.ceil(len(self.running[pool]) * JOB_CORES / CORES)
            idle = max(0, self.machines[pool] - used)
            coming = sum(1 for _, target in self.moving if target == pool)
            loads.append(
                autoscaler.PoolLoad(
                    pool=pool,
                    demand=max(jobs * JOB_CORES, arriving),
                    arrivals=len(recent),
                    cores=CORES,
                    machines=self.machines[pool] + coming,
                    idle=tuple(f"{pool}-{number}" for number in range(idle)),
                )
            )
        spare = [f"spare-{number}" for number in range(self.spare)]
        plan = self.decide.plan(loads, spare, SPARE, now, most_moves=MOST_MOVES)
        for move in plan.moves:
            source = move.machine_id.partition("-")[0]
            if source == "spare":
                self.spare -= 1
            else:
                self.machines[source] -= 1
            self.moving.append((now + MOVE_SECONDS, move.pool))


@behave.when("machines follow demand")
def serve_elastic(context):
    context.elastic = Fleet(5, autoscaler.Autoscaler()).run(context.arrivals)


@behave.when("every pool keeps an even share of the machines")
def serve_even(context):
    share = MACHINES // len(POOLS)
    context.even = Fleet(share).run(context.arrivals)


@behave.when("every pool has every machine")
def serve_bound(context):
    context.bound = Fleet(MACHINES).run(context.arrivals)


@behave.then(
    "at least {share:g} of what every machine would serve in time is served"
)
def check_elastic(context, share):
    served = context.elastic.in_time / context.bound.in_time
    assert served >= share, served


@behave.then("an even share serves less than {share:g} of it")
def check_even(context, share):
    served = context.even.in_time / context.bound.in_time
    assert served < share, served


@behave.then(
    "machines are paid for at most {share:g} of the time of an even share"
)
def check_paid(context, share):
    paid = context.elastic.paid / context.even.paid
    assert paid <= share, paid
