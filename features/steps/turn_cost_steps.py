"""Steps for the cost of one turn of the event loop."""

import collections
import dataclasses
import json
import random
from unittest import mock

import behave
from returns import result

from clementinewood import (
    activejob,
    catalog,
    dispatcher,
    identifiers,
    job,
    jobtable,
    machinecontrol,
    policycache,
    pooldemand,
    ports,
    run,
)
from clementinewood_platform import wire
from features import job_harness, linecount

QUEUE = catalog.Queue(
    name=identifiers.QueueId("quotes"),
    host="guild",
    prefix="/",
    pool=identifiers.PoolId("quotes"),
)
ROOMY = job.Resources(10_000_000, 10_000_000)


def create_job(steps, number=1, **fields):
    return job.Job(
        job_id=identifiers.JobId(f"{number:016x}"),
        queue=QUEUE.name,
        team=identifiers.TeamId(""),
        spec="",
        steps=tuple(steps),
        accepted=0.0,
        **fields,
    )


def create_chain(steps, need):
    """Returns steps of one task each, one after the other."""
    return [
        job.Step(count=1, need=need, after=(number - 1,) if number else ())
        for number in range(steps)
    ]


def create_minion(number, capacity):
    return catalog.Minion(
        minion_id=identifiers.MinionId(f"m{number}"),
        incarnation=1,
        pool=QUEUE.pool,
        address=("127.0.0.1", 1),
        zone=identifiers.ZoneId("hobart"),
        state=catalog.MinionState.READY,
        capacity=capacity,
        labels=(f"rack-{number % 4}",),
    )


def create_dispatcher(minions, capacity=ROOMY):
    """Returns a dispatcher whose minions have all answered a poll."""
    dispatch = dispatcher.Dispatcher(identifiers.Term(1), 0.0)
    dispatch.config = catalog.Configuration(
        version=1,
        queues={QUEUE.name: QUEUE},
        pools={QUEUE.pool: catalog.Pool(name=QUEUE.pool)},
        teams={},
        keys={},
    )
    dispatch.update_minions(
        [create_minion(number, capacity) for number in range(minions)], 0.0
    )
    empty = run.MinionReport(incarnation=1, clock=0.0, running=(), ended=())
    for minion_id in dispatch.views:
        dispatch.handle_report(minion_id, empty, sent=0.0, now=0.0)
    return dispatch


def create_site(jobs, *, spare=None, delay=0.0, **fields):
    """Returns the harness of a site whose store has jobs before it starts.

    Args:
        jobs: Steps of each job.
        spare: Number of spare machines; None for a site without machines.
        delay: Seconds until the jobs are due.
        fields: Further fields of the jobs.
    """
    harness = job_harness.JobHarness(entries=0, minions=3, spare=spare)
    for number, steps in enumerate(jobs):
        accepted = job.Job(
            job_id=identifiers.JobId(f"{number:016x}"),
            queue=QUEUE.name,
            team=identifiers.TeamId("canvas"),
            spec="",
            steps=tuple(steps),
            accepted=harness.wall(),
            start=harness.wall() + delay,
            **fields,
        )
        harness.accepted[accepted.job_id] = accepted
        key = jobtable.render_key(jobtable.RecordKind.JOB, accepted.job_id)
        harness.store.put(ports.Stream.JOBS, key, job.encode_job(accepted))
    for number in range(2):
        harness.add_entry(f"entry-{number}")
    harness.run_until(lambda: harness.dispatcher() is not None)
    return harness


def plan_and_store(dispatch, now=0.0, wall=0.0):
    """Plans and starts all that fits; returns the orders to start runs."""
    dispatch.plan(now, wall)
    orders = dispatch.handle_batch_stored(dispatch.take_batch(), now)
    following = orders
    while following:
        for order in following:
            started = dispatcher.StartOutcome.STARTED
            dispatch.handle_start_outcome(order, started, now)
        planned = dispatch.plan(now, wall)
        following = [
            order for order in planned if isinstance(order, dispatcher.StartRun)
        ]
        orders += following
    return orders


@behave.given("a pool of {minions:d} minions with room for everything")
def set_pool(context, minions):
    context.minions = minions


@behave.when("gangs of {few:d} and of {many:d} tasks {case} are planned")
def plan_gangs(context, few, many, case):
    context.lines = []
    need = {
        "that fit": job.Resources(1, 1),
        "that fit in a rack": job.Resources(1, 1),
        "that fit no rack": job.Resources(2 * ROOMY.cpu // many, 1),
    }[case]
    for count in (few, many):
        dispatch = create_dispatcher(context.minions)
        if case == "that fit no rack":
            need = job.Resources(3 * ROOMY.cpu // count, 1)
        step = job.Step(
            count=count, need=need, gang=True, same_rack="rack" in case
        )
        dispatch.add_job(create_job([step]), job.Progress(), 0.0)
        orders = []
        context.lines.append(
            linecount.count_lines(
                lambda dispatch=dispatch, orders=orders: orders.extend(
                    plan_and_store(dispatch)
                )
            )
        )
        assert len(orders) == count, len(orders)
        racks = {
            dispatch.views[order.minion_id].minion.labels[-1]
            for order in orders
        }
        if case == "that fit in a rack":
            assert len(racks) == 1, racks
        if case == "that fit no rack":
            assert len(racks) > 1, racks


@behave.when(
    "gangs of {few:d} and of {many:d} tasks that do not fit are planned again"
)
def plan_large_gangs(context, few, many):
    context.lines = []
    for count in (few, many):
        dispatch = create_dispatcher(context.minions)
        step = job.Step(
            count=count, need=job.Resources(1, ROOMY.memory), gang=True
        )
        dispatch.add_job(create_job([step]), job.Progress(), 0.0)
        assert plan_and_store(dispatch) == []
        context.lines.append(
            linecount.count_lines(lambda dispatch=dispatch: dispatch.plan(1, 1))
        )


@behave.when("steps of {few:d} and of {many:d} {kind} tasks are planned")
def plan_steps(context, few, many, kind):
    context.lines = []
    for count in (few, many):
        dispatch = create_dispatcher(context.minions)
        step = job.Step(
            count=count,
            need=job.Resources(1, 1),
            long_running=kind == "long-running",
        )
        dispatch.add_job(create_job([step]), job.Progress(), 0.0)
        orders = []
        context.lines.append(
            linecount.count_lines(
                lambda dispatch=dispatch, orders=orders: orders.extend(
                    plan_and_store(dispatch)
                )
            )
        )
        assert len(orders) == count, len(orders)


@behave.when("it reports the start of {few:d} and of {many:d} tasks")
def report_starts(context, few, many):
    context.lines = []
    for count in (few, many):
        dispatch = create_dispatcher(context.minions)
        step = job.Step(count=count, need=job.Resources(1, 1), gang=True)
        dispatch.add_job(create_job([step]), job.Progress(), 0.0)
        orders = plan_and_store(dispatch)
        report = run.MinionReport(
            incarnation=1,
            clock=1.0,
            running=tuple(
                run.ReportedRun(
                    task=order.task,
                    number=order.number,
                    checkpoint="",
                    percent=0,
                )
                for order in orders
            ),
            ended=(),
        )
        (minion_id,) = dispatch.views
        context.lines.append(
            linecount.count_lines(
                lambda dispatch=dispatch, report=report, name=minion_id: (
                    dispatch.handle_report(name, report, sent=0.5, now=1.0)
                )
            )
        )
        states = {
            item.state for item in dispatch.views[minion_id].runs.values()
        }
        assert states == {run.RunState.RUNNING}, states


@behave.then("the larger one took at most {ratio:g} times as many lines")
def check_ratio(context, ratio):
    few, many = context.lines
    assert many <= ratio * few, (few, many)


@behave.when("a gang of which one member had start {number:d} is planned")
def plan_gang_again(context, number):
    dispatch = create_dispatcher(context.minions)
    step = job.Step(count=4, need=job.Resources(1, 1), gang=True)
    accepted = create_job([step])
    dispatch.add_job(accepted, job.Progress(), 0.0)
    active = dispatch.jobs[accepted.job_id]
    assert isinstance(active, activejob.ActiveJob)
    active.last_numbers[job.TaskId(accepted.job_id, 0, 0, 2)] = number
    context.orders = plan_and_store(dispatch)


@behave.then("all its members have start {number:d}")
def check_numbers(context, number):
    numbers = [order.number for order in context.orders]
    assert numbers == [number] * 4, numbers


@behave.when("a gang of {count:d} tasks is planned, and each order is answered")
def answer_gang(context, count):
    dispatch = create_dispatcher(context.minions)
    step = job.Step(count=count, need=job.Resources(1, 1), gang=True)
    dispatch.add_job(create_job([step]), job.Progress(), 0.0)
    dispatch.plan(0.0, 0.0)
    in_flight = dispatch.handle_batch_stored(dispatch.take_batch(), 0.0)
    context.orders = list(in_flight)
    context.most = len(in_flight)
    while in_flight:
        started = dispatcher.StartOutcome.STARTED
        dispatch.handle_start_outcome(in_flight.pop(0), started, 0.0)
        following = dispatch.plan(0.0, 0.0)
        in_flight += following
        context.orders += following
        context.most = max(context.most, len(in_flight))


@behave.then("at most {most:d} of its start orders were in flight")
def check_in_flight(context, most):
    assert context.most == most, context.most


@behave.then("each of its tasks was ordered once, with the same number")
def check_gang_orders(context):
    positions = [order.task.position for order in context.orders]
    assert sorted(positions) == list(range(200)), len(positions)
    assert {order.number for order in context.orders} == {1}


@behave.when("{count:d} gangs of {tasks:d} tasks wait")
def add_gangs(context, count, tasks):
    context.dispatch = create_dispatcher(context.minions)
    step = job.Step(count=tasks, need=job.Resources(1, 1), gang=True)
    for number in range(count):
        accepted = create_job([step], number)
        context.dispatch.add_job(accepted, job.Progress(), 0.0)


@behave.then(
    "each pass plans at most {most:d} runs, and the next one follows at once"
)
def check_planned(context, most):
    dispatch = context.dispatch
    context.passes = 0
    while dispatch.next_wake(0.0) == 0.0 or not context.passes:
        dispatch.plan(0.0, 0.0)
        planned = dispatch.take_batch().planned
        assert 0 < len(planned) <= most, len(planned)
        context.passes += 1


@behave.then("all of them are planned after {passes:d} passes")
def check_passes(context, passes):
    assert context.passes == passes, context.passes
    pending = [
        work.pending
        for active in context.dispatch.jobs.values()
        for work in active.work.values()
    ]
    assert len(pending) == 5 and not any(pending), pending


@behave.when(
    "a pass is planned beside {few:d} and beside {many:d} jobs that are due"
    " later"
)
def plan_beside_timed(context, few, many):
    context.lines = []
    for count in (few, many):
        dispatch = create_dispatcher(context.minions)
        for number in range(count):
            accepted = create_job(
                [job.Step(count=1)], number, start=1e6 + number
            )
            dispatch.add_job(accepted, job.Progress(), 0.0)
        plan_and_store(dispatch)
        assert dispatch.next_wake(0.0) == 1e6, dispatch.next_wake(0.0)

        def plan(dispatch=dispatch):
            plan_and_store(dispatch)
            dispatch.next_wake(0.0)

        context.lines.append(linecount.count_lines(plan))


@behave.when("{count:d} jobs wait for a full pool")
def fill_pool(context, count):
    fill_pool_with_steps(context, count, 1)


@behave.when("{count:d} jobs of {steps:d} steps wait for a full pool")
def fill_pool_with_steps(context, count, steps):
    context.dispatch = create_dispatcher(context.minions)
    chain = create_chain(steps, ROOMY)
    for number in range(count + 1):
        accepted = create_job(chain, number)
        context.dispatch.add_job(accepted, job.Progress(), 0.0)
    assert len(plan_and_store(context.dispatch)) == 1
    for active in context.dispatch.jobs.values():
        active.rank, active.ranked_at = (), float("-inf")


@behave.then("each of {passes:d} passes ranks {count:d} jobs")
def check_ranked(context, passes, count):
    rank = dispatcher.Dispatcher._rank
    context.ranked = collections.Counter()

    def count_rank(self, active, order, now):
        context.ranked[active.job.job_id] += 1
        return rank(self, active, order, now)

    with mock.patch.object(dispatcher.Dispatcher, "_rank", count_rank):
        for number in range(1, passes + 1):
            context.dispatch.plan(0.1 * number, 0.1 * number)
            assert context.ranked.total() == number * count, context.ranked


@behave.then("each of the jobs was ranked twice")
def check_ranked_twice(context):
    waiting = [
        active.job.job_id
        for active in context.dispatch.jobs.values()
        if not active.live
    ]
    counts = {context.ranked[job_id] for job_id in waiting}
    assert len(waiting) == 3000 and counts <= {2, 3}, counts


@behave.when("the first of two jobs that are due later is cancelled")
def cancel_timed(context):
    context.dispatch = create_dispatcher(context.minions)
    for number in (1, 2):
        accepted = create_job([job.Step(count=1)], number, start=100.0 * number)
        context.dispatch.add_job(accepted, job.Progress(), 0.0)
    plan_and_store(context.dispatch)
    assert context.dispatch.next_wake(0.0) == 100.0
    context.dispatch.cancel_job(identifiers.JobId(f"{1:016x}"))


@behave.then("the next wake-up is that of the second one")
def check_wake(context):
    assert context.dispatch.next_wake(0.0) == 200.0
    assert plan_and_store(context.dispatch, wall=150.0) == []
    (order,) = plan_and_store(context.dispatch, wall=200.0)
    assert order.task.job == f"{2:016x}"


@behave.when(
    "the pending jobs are counted beside {few:d} and {many:d} that have ended"
)
def count_pending(context, few, many):
    context.lines = []
    for count in (few, many):
        table = jobtable.JobTable()
        ended = job.encode_progress(job.Progress(job.JobState.COMPLETED))
        for number in range(count):
            accepted = create_job([job.Step(count=1)], number)
            records = [("j", job.encode_job(accepted))]
            if number >= 3:
                records.append(("p", ended))
            for prefix, value in records:
                key = f"{prefix}/{accepted.job_id}"
                table.apply(jobtable.StoredRecord(key, value, number))
        assert table.count_pending(QUEUE.name) == 3
        context.lines.append(
            linecount.count_lines(
                lambda table=table: table.count_pending(QUEUE.name)
            )
        )


@behave.given("{count:d} random records of {jobs:d} jobs in 2 queues")
def draw_records(context, count, jobs):
    rng = random.Random(3)
    states = list(job.JobState)
    context.records = []
    for offset in range(count):
        number = rng.randrange(jobs)
        accepted = dataclasses.replace(
            create_job([job.Step(count=1)], number),
            queue=identifiers.QueueId(f"queue-{number % 2}"),
        )
        progress = job.Progress(rng.choice(states))
        prefix, value = rng.choice(
            (
                ("j", job.encode_job(accepted)),
                ("p", job.encode_progress(progress)),
                ("c", b"1"),
                ("e", b"1"),
            )
        )
        # Some records are read again.
        at = rng.choice((offset, offset, rng.randrange(offset + 1)))
        key = f"{prefix}/{accepted.job_id}"
        context.records.append(jobtable.StoredRecord(key, value, at))


@behave.then("after each record the counts are those of the states of all jobs")
def check_counts(context):
    table = jobtable.JobTable()
    for record in context.records:
        table.apply(record)
        accepted = [entry for entry in table if entry.accepted is not None]
        states = collections.Counter(entry.state for entry in accepted)
        assert +table.count_states() == states, (table.count_states(), states)
        for name in ("queue-0", "queue-1"):
            pending = sum(
                entry.accepted.queue == name
                and entry.state is job.JobState.QUEUED
                for entry in accepted
            )
            found = table.count_pending(identifiers.QueueId(name))
            assert found == pending, (found, pending)
    assert len(table.count_states()) > 2


def decode_steps(steps):
    """Decodes a submitted job with `steps`."""
    return wire.decode_job(
        identifiers.JobId("a" * 16),
        QUEUE.name,
        identifiers.TeamId(""),
        json.dumps({"spec": "", "steps": steps}).encode(),
        0.0,
    )


@behave.when(
    "a job is submitted whose second step names the first one {count:d} times"
)
def submit_repeated_names(context, count):
    steps = [{"count": 1}, {"count": 1, "after": [0] * count}]
    context.accepted = decode_steps(steps).unwrap()


@behave.then(
    "its second step comes after the first one only, also once it is stored"
)
def check_names(context):
    accepted = context.accepted
    assert accepted.steps[1].after == (0,), accepted.steps[1].after
    stored = json.loads(job.encode_job(accepted))
    stored["steps"][1]["after"] = [0] * 100
    read = job.decode_job(accepted.job_id, json.dumps(stored).encode())
    assert read.unwrap() == accepted, read


@behave.when("jobs of {few:d} and of {many:d} steps are submitted")
def submit_many_steps(context, few, many):
    context.lines = []
    context.outcomes = []
    for count in (few, many):
        steps = [{"count": 1}] * count
        context.lines.append(
            linecount.count_lines(
                lambda steps=steps: context.outcomes.append(decode_steps(steps))
            )
        )


@behave.then("both are refused, and the detail names {limit:d} steps")
def check_refused_steps(context, limit):
    for outcome in context.outcomes:
        assert isinstance(outcome, result.Failure), outcome
        assert f"{limit} steps" in outcome.failure(), outcome


@behave.given("tickets for steps of {few:d} and of {many:d} other jobs")
def create_tickets(context, few, many):
    policy = catalog.PolicySettings(decide=0.05, per_minion=0.002, valid=60.0)
    minion_id = identifiers.MinionId("m0")
    context.caches = []
    for others in (few, many):
        cache = policycache.PolicyCache()
        keys = [
            policycache.StepKey(identifiers.JobId("a" * 16), 0, 0),
            policycache.StepKey(identifiers.JobId("a" * 16), 1, 0),
            policycache.StepKey(identifiers.JobId("b" * 16), 0, 0),
        ]
        for number in range(others):
            job_id = identifiers.JobId(f"{number:016x}")
            keys.append(policycache.StepKey(job_id, 0, 0))
        for key in keys:
            query = policycache.PolicyQuery(
                key, QUEUE.name, {minion_id: 1}, 0.0, policy
            )
            cache.handle_response(query, {minion_id: "ticket"}, 0.0)
        context.caches.append((cache, keys))


@behave.when("a step and a job are forgotten")
def forget_tickets(context):
    context.lines = []
    for cache, keys in context.caches:

        def forget(cache=cache, keys=keys):
            cache.forget_step(keys[2])
            cache.forget_step(keys[2])
            cache.forget_step(keys[0])
            cache.forget_job(keys[0].job)
            cache.forget_job(keys[2].job)

        context.lines.append(linecount.count_lines(forget))


@behave.then("only the tickets of the other jobs are left")
def check_tickets_left(context):
    for cache, keys in context.caches:
        left = [
            cache.find_ticket(key, identifiers.MinionId("m0"), 1)
            for key in keys
        ]
        assert left == [""] * 3 + ["ticket"] * (len(keys) - 3), left


@behave.given(
    "a site with spare machines whose store has {count:d} jobs of {steps:d}"
    " steps"
)
def create_spare_site(context, count, steps):
    chain = create_chain(steps, ROOMY)
    context.harness = create_site([chain] * count, spare=2)


@behave.when("its demand is measured")
def measure_site(context):
    context.turns = turns = []
    context.measured = []
    context.stops = False
    control_class = machinecontrol.MachineControl
    measure_some, order_moves = (
        control_class._measure_some,
        control_class._order_moves,
    )

    counted = []

    def count(pieces):
        for steps in pieces:
            turns[-1] += steps
            yield steps

    def count_steps(self, pieces, on_measured):
        turns.append(0)
        # A later turn continues with the same pieces.
        if pieces not in counted:
            pieces = count(pieces)
            counted.append(pieces)
        measure_some(self, pieces, on_measured)
        if context.stops:
            self.stop()

    def check_demands(self, config, demands, now):
        decisions = self._decisions
        context.measured.append(
            (
                demands,
                pooldemand.measure_demand(
                    decisions.jobs.values(),
                    config,
                    decisions.times,
                    now,
                    self._job_sizes,
                ),
            )
        )
        order_moves(self, config, demands, now)

    for name, replacement in (
        ("_measure_some", count_steps),
        ("_order_moves", check_demands),
    ):
        patch = mock.patch.object(control_class, name, replacement)
        patch.start()
        context.add_cleanup(patch.stop)
    context.harness.run_until(lambda: context.measured, 5.0)


@behave.then("each of {count:d} or more turns measures at most {steps:d} steps")
def check_measured_steps(context, count, steps):
    assert len(context.turns) >= count, context.turns
    assert max(context.turns) <= steps, context.turns


@behave.then("the demand is the one that is measured at once")
def check_demand(context):
    demands, expected = context.measured[0]
    assert demands == expected, (demands, expected)
    assert any(demand.open for demand in demands.values()), demands


@behave.then("no turn follows after the dispatcher has stopped")
def check_no_turn(context):
    before = len(context.turns)
    context.stops = True
    context.harness.run_for(1.0)
    # Without the stop there would be three.
    assert len(context.turns) == before + 1, (before, context.turns)


@behave.when("an error ends a measurement of its demand in its second turn")
def fail_measurement(context):
    measure_pieces = pooldemand.measure_pieces
    context.errors = []

    def fail_once(*args):
        if not context.errors:
            yield machinecontrol.MAX_MEASURED_STEPS
            context.errors.append(True)
            raise ZeroDivisionError
        yield from measure_pieces(*args)

    patch = mock.patch.object(pooldemand, "measure_pieces", fail_once)
    patch.start()
    context.add_cleanup(patch.stop)
    context.harness.most_failures = 1
    context.harness.run_for(1.0)
    assert context.errors


@behave.then("a later measurement is complete")
def check_later_measurement(context):
    order_moves = machinecontrol.MachineControl._order_moves
    with mock.patch.object(
        machinecontrol.MachineControl,
        "_order_moves",
        autospec=True,
        side_effect=order_moves,
    ) as ordered:
        context.harness.run_for(1.0)
    assert ordered.call_count > 1, ordered.call_count
