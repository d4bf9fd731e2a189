"""Steps for the cost of one turn of the event loop."""

import behave

from clementinewood import (
    activejob,
    catalog,
    dispatcher,
    identifiers,
    job,
    run,
)
from features import linecount

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


def plan_and_store(dispatch, now=0.0):
    """Plans once and stores it; returns the orders to start runs."""
    dispatch.plan(now, now)
    return dispatch.handle_batch_stored(dispatch.take_batch(), now)


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
