"""Steps for look-ahead placement."""

import behave

from bench import lookahead
from clementinewood import dispatcher, job, placement

CORES = lookahead.CAPACITY.cpu // 64
SMALL = job.Step(count=1, need=job.Resources(8 * CORES, 64), estimate=3.0)
LARGE = job.Step(count=1, need=job.Resources(32 * CORES, 64), estimate=3.0)


@behave.given("small tasks beside a few large ones on a full pool")
def draw_full(context):
    context.load = lookahead.LOAD


@behave.given("small and large tasks on a pool with ample room")
def draw_ample(context):
    context.load = {**lookahead.LOAD, "seconds": 5.0, "load": 0.3}


@behave.when("they are placed with and without look-ahead")
def replay(context):
    context.arrivals = lookahead.draw_arrivals(seed=1, **context.load)
    minions = context.load["minions"]
    context.outcomes = {
        active: lookahead.replay(context.arrivals, minions, lookahead=active)
        for active in (False, True)
    }
    context.rows = {
        active: lookahead.summarize([outcome])
        for active, outcome in context.outcomes.items()
    }
    for active, rows in context.rows.items():
        print("look-ahead" if active else "present", rows)


@behave.then("the large tasks wait at least a fifth less")
def check_large(context):
    before, after = (context.rows[active]["large"] for active in (False, True))
    assert after["mean"] <= 0.8 * before["mean"], (before, after)


@behave.then("the small tasks wait at most {seconds:g} seconds longer")
def check_small(context, seconds):
    # A tenth of the 0.6 seconds that each objective leaves.
    before, after = (context.rows[active]["small"] for active in (False, True))
    assert after["mean"] <= before["mean"] + seconds, (before, after)


@behave.then("no policy beats the bound")
def check_bound(context):
    for size in lookahead.SIZES:
        bound = lookahead.compute_bound(
            context.arrivals, context.load["minions"], (size,)
        )
        print("bound", size, round(bound, 3))
        for rows in context.rows.values():
            assert bound <= rows[size]["by_work"] + 0.005, (size, bound)
    bound = lookahead.compute_bound(context.arrivals, context.load["minions"])
    for outcome in context.outcomes.values():
        waits = [row for rows in outcome.waits.values() for row in rows]
        found = sum(a * b for a, b in waits) / sum(b for _, b in waits)
        print("bound", round(bound, 3), "by work", round(found, 3))
        assert bound <= found + 0.005, (bound, found)


@behave.then("each task starts at the same time on the same minion")
def check_same(context):
    assert context.outcomes[False].order == context.outcomes[True].order


@behave.given(
    "{minions:d} minions full of runs of 1 and 8 seconds, and a large task that"
    " waits"
)
def fill(context, minions):
    context.minions = minions
    context.dispatch = prepare(minions, active=True)


def prepare(minions, *, active):
    """Fills minions, half with runs that are to end, and ends some of them."""
    dispatch = lookahead.create_dispatcher(minions, lookahead=active)
    for number, seconds in enumerate((1.0, 8.0)):
        step = job.Step(
            count=4 * minions,
            need=job.Resources(8 * CORES, 64),
            estimate=seconds,
        )
        lookahead.add_job(dispatch, f"{number:016x}", step, 0.0)
    orders = lookahead.plan(dispatch, 0.0)
    lookahead.add_job(dispatch, f"{2:016x}", LARGE, 0.5)
    lookahead.plan(dispatch, 0.5)
    short = [order for order in orders if order.task.job == f"{0:016x}"]
    for order in short[:2]:
        lookahead.end_run(dispatch, order, 0.6)
    lookahead.add_job(dispatch, f"{3:016x}", SMALL, 0.6)
    dispatch.planned = lookahead.plan(dispatch, 0.6)
    return dispatch


@behave.when("half of the short runs have ended and a small job arrives")
def check_held(context):
    assert list_held(context.dispatch), "no room is held"


def list_held(dispatch):
    return [
        candidate
        for found in dispatch.lookahead._held.values()
        for candidate in found
    ]


@behave.then("the small job waits")
def check_waits(context):
    assert not context.dispatch.planned, context.dispatch.planned


@behave.then("it starts at once without look-ahead")
def check_present(context):
    assert prepare(context.minions, active=False).planned


@behave.then("the hold begins later after the expected end of the others")
def check_moved(context):
    (before,) = list_held(context.dispatch)
    context.orders = context.dispatch.plan(1.2, 1.2)
    (after,) = list_held(context.dispatch)
    assert after.held_from > 1.2 > before.held_from, (before, after)


@behave.then("no run has been ordered to stop")
def check_no_stop(context):
    assert not any(
        isinstance(order, dispatcher.StopRun) for order in context.orders
    )


@behave.when("the minion of the hold is lost")
def lose_minion(context):
    (context.lost,) = list_held(context.dispatch)
    context.dispatch.handle_poll_failure(context.lost.view.minion_id, 0.7)
    lookahead.plan(context.dispatch, 0.7)


@behave.then("no room of it is held")
def check_removed(context):
    held = [item.view.minion_id for item in list_held(context.dispatch)]
    assert context.lost.view.minion_id not in held, held
    assert not placement.accepts_work(context.lost.view, 0.7, frozenset())


@behave.when("nothing ends for {seconds:g} seconds")
def wait(context, seconds):
    now = 0.6
    context.planned = []
    while now < 0.6 + seconds:
        now += 0.1
        context.planned += lookahead.plan(context.dispatch, now)


@behave.then("the hold has lapsed and the small job starts")
def check_lapsed(context):
    changes, _ = context.dispatch.lookahead.take_changes()
    assert "lapsed" in [item.kind.value for item in changes], changes
    assert [order.task.job for order in context.planned] == [f"{3:016x}"]


@behave.when("another leader takes over")
def take_over(context):
    former = context.dispatch
    context.former = list_held(former)
    context.dispatch = lookahead.create_dispatcher(context.minions, 0.7, term=2)
    for active in former.jobs.values():
        context.dispatch.add_job(
            active.job, active.progress.copy(), active.arrived
        )
    context.dispatch.planned = lookahead.plan(context.dispatch, 0.7)


@behave.then("it holds room of the same minion and the small job waits")
def check_successor(context):
    (former,), (held,) = context.former, list_held(context.dispatch)
    assert held.view.minion_id == former.view.minion_id
    assert held.spare == former.spare, (held.spare, former.spare)
    assert not context.dispatch.planned, context.dispatch.planned
