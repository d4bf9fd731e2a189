"""Steps for the gateway with scripted surroundings."""

import os

import behave
import hypothesis
from hypothesis import strategies

from clementinewood import claim, gateway, retry, verdict
from features import gateway_world

EXAMPLES = int(os.environ.get("CLEMENTINEWOOD_EXAMPLES", "1"))
STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ["submit", "submit", "end", "end", "cancel", "move", "stale"]
        ),
        strategies.integers(0, 41),
    ),
    min_size=30,
    max_size=60,
)


def play(kind, examples):
    @hypothesis.settings(
        max_examples=examples * EXAMPLES,
        derandomize=True,
        deadline=None,
        database=None,
        phases=[hypothesis.Phase.generate],
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(STEPS)
    def run(steps):
        gateway_world.run_schedule(steps, kind)

    run()


@behave.then("{n:d} random courses of requests keep what the gateway promises")
def check_courses(context, n):
    play(gateway.Gateway, n)


@behave.then("the gateway check fails for one that {broken}")
def check_broken_gateway(context, broken):
    kind, name = gateway_world.BROKEN[broken]
    try:
        play(kind, 60)
    except AssertionError as error:
        assert str(error).startswith(name), error
    else:
        raise AssertionError("the broken gateway passed")


@behave.given("a gateway with a limit of {limit:d}")
def create_gateway(context, limit):
    context.world = gateway_world.World(limit=limit)


OUTCOMES = {"lost": retry.Outcome.LOST, "refused": retry.Outcome.REFUSED}


@behave.when("a request is submitted and its attempt is {outcome:w}")
def submit_and_end(context, outcome):
    context.number = context.world.submit()
    context.world.end(context.world.sent[-1], OUTCOMES[outcome])


@behave.when("an idempotent request is submitted and its attempt is lost")
def submit_idempotent(context):
    context.number = context.world.submit(idempotent=True)
    context.world.end(context.world.sent[-1], retry.Outcome.LOST)


@behave.when("the gateway's next attempt is answered")
def answer_next(context):
    context.world.move(3.0)
    context.world.end(context.world.sent[-1], retry.Outcome.SUCCEEDED)


@behave.then(
    "the gateway answers {status:d} with verdict {execution} after {n:d}"
    " attempts"
)
def check_answer(context, status, execution, n):
    assert context.world.answers[context.number][0] == status, (
        context.world.answers[context.number]
    )
    assert context.world.read_verdict(context.number) == execution
    assert len(context.world.sent) == n
    context.world.check()


@behave.then(
    "the gateway answers {status:d} with verdict {execution} after 1 attempt"
)
def check_answer_once(context, status, execution):
    check_answer(context, status, execution, 1)


@behave.then("the attempts went to different minions")
def check_minions(context):
    assert len({item.minion for item in context.world.sent}) == 2


@behave.when("another request is submitted")
def submit_another(context):
    context.world.submit(deadline=20000)


@behave.then("no attempt of it starts until the lease has ended")
def check_lease(context):
    lost = context.world.sent[0]
    while len(context.world.sent) == 1:
        context.world.move(0.1)
        assert context.world.clock.now < lost.at + 60
    second = context.world.sent[1]
    assert second.at >= lost.at + lost.run_limit
    context.world.check()


@behave.when("3 requests are submitted and the callers of 2 waiting ones leave")
def submit_and_leave(context):
    for _ in range(3):
        context.world.submit()
    for exchange in context.world.exchanges[1:]:
        exchange.cancel()


@behave.then("one request runs and none waits")
def check_running(context):
    usage = context.world.gateway.scheduler.usage()[context.world.team]
    assert (usage.running, usage.queued) == (1, 0)
    assert len(context.world.gateway.in_flight_requests) == 1


@behave.when("2 requests are submitted and the configuration becomes stale")
def submit_stale(context):
    context.world.submit()
    context.world.submit()
    context.world.fresh = False


@behave.when("the running one is answered")
def answer_running(context):
    context.world.end(context.world.sent[0], retry.Outcome.SUCCEEDED)


@behave.then("no further attempt starts until the configuration is fresh")
def check_stale(context):
    context.world.move(2.0)
    assert len(context.world.sent) == 1
    context.world.fresh = True
    context.world.move(0.2)
    assert len(context.world.sent) == 2


def submit_keyed(context, **options):
    context.number = context.world.submit(key="order-1", **options)


@behave.when("a keyed request is submitted and ruled {ruling:w}")
def rule_keyed(context, ruling):
    submit_keyed(context)
    assert not context.world.sent
    context.world.claim(claim.DecisionKind(ruling))


@behave.when(
    "a keyed request is submitted, its caller leaves and it is ruled run"
)
def leave_before_ruling(context):
    submit_keyed(context)
    context.world.exchanges[-1].cancel()
    context.world.claim(claim.DecisionKind.RUN)


@behave.then("no attempt was made and the claim is freed as not-run")
def check_freed(context):
    context.world.move(5.0)
    assert not context.world.sent
    ((_, execution),) = context.world.finished
    assert execution is verdict.Execution.NOT_RUN
    assert not context.world.gateway.in_flight_requests


@behave.when("a keyed request with a deadline of 2 hours is submitted")
def submit_long(context):
    submit_keyed(context, deadline=7_200_000)
