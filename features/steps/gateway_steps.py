"""Steps for the gateway with scripted minions, claims and time."""

import os

import behave
import hypothesis
from hypothesis import strategies

from clementinewood import claim, gateway, retry, verdict
from features import gateway_harness

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


# Fixed, so that rewording the test does not change its examples.
COURSES_SEED = int(
    "24945071da1fcab0209a1922037f6b4f63235b018b941380"
    "6ea768d8e6fb053935bf05ce53dbdba4f611d852b97ce1d8",
    16,
)


def play(kind, examples):
    @hypothesis.seed(COURSES_SEED)
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
        gateway_harness.run_schedule(steps, kind)

    run()


@behave.then("{n:d} random courses of requests keep what the gateway promises")
def check_courses(context, n):
    play(gateway.Gateway, n)


@behave.then("the gateway check fails for one that {broken}")
def check_broken_gateway(context, broken):
    kind, name = gateway_harness.BROKEN[broken]
    try:
        play(kind, 60)
    except AssertionError as error:
        assert str(error).startswith(name), error
    else:
        raise AssertionError("the broken gateway passed")


@behave.given("a gateway with a limit of {limit:d}")
def create_gateway(context, limit):
    context.harness = gateway_harness.GatewayHarness(limit=limit)


OUTCOMES = {"lost": retry.Outcome.LOST, "refused": retry.Outcome.REFUSED}


@behave.when("a request is submitted and its attempt is {outcome:w}")
def submit_and_end(context, outcome):
    context.number = context.harness.submit()
    context.harness.end(context.harness.sent[-1], OUTCOMES[outcome])


@behave.when("an idempotent request is submitted and its attempt is lost")
def submit_idempotent(context):
    context.number = context.harness.submit(idempotent=True)
    context.harness.end(context.harness.sent[-1], retry.Outcome.LOST)


@behave.when("the gateway's next attempt is answered")
def answer_next(context):
    context.harness.move(3.0)
    context.harness.end(context.harness.sent[-1], retry.Outcome.SUCCEEDED)


@behave.then(
    "the gateway answers {status:d} with verdict {execution} after {n:d}"
    " attempts"
)
def check_answer(context, status, execution, n):
    assert context.harness.answers[context.number][0] == status, (
        context.harness.answers[context.number]
    )
    assert context.harness.read_verdict(context.number) == execution
    assert len(context.harness.sent) == n
    context.harness.check()


@behave.then(
    "the gateway answers {status:d} with verdict {execution} after 1 attempt"
)
def check_answer_once(context, status, execution):
    check_answer(context, status, execution, 1)


@behave.then("the attempts went to different minions")
def check_minions(context):
    assert len({item.minion for item in context.harness.sent}) == 2


@behave.when("another request is submitted")
def submit_another(context):
    context.harness.submit(deadline=20000)


@behave.then("no attempt of it starts until the lease has ended")
def check_lease(context):
    lost = context.harness.sent[0]
    while len(context.harness.sent) == 1:
        context.harness.move(0.1)
        assert context.harness.clock.now < lost.at + 60
    second = context.harness.sent[1]
    assert second.at >= lost.at + lost.run_limit
    context.harness.check()


@behave.when("3 requests are submitted and the callers of 2 waiting ones leave")
def submit_and_leave(context):
    for _ in range(3):
        context.harness.submit()
    for exchange in context.harness.exchanges[1:]:
        exchange.cancel()


@behave.then("one request runs and none waits")
def check_running(context):
    usage = context.harness.gateway.scheduler.usage()[context.harness.team]
    assert (usage.running, usage.queued) == (1, 0)
    assert len(context.harness.gateway.in_flight_requests) == 1


@behave.when("2 requests are submitted and the configuration becomes stale")
def submit_stale(context):
    context.harness.submit()
    context.harness.submit()
    context.harness.fresh = False


@behave.when("the running one is answered")
def answer_running(context):
    context.harness.end(context.harness.sent[0], retry.Outcome.SUCCEEDED)


@behave.then("no further attempt starts until the configuration is fresh")
def check_stale(context):
    context.harness.move(2.0)
    assert len(context.harness.sent) == 1
    context.harness.fresh = True
    context.harness.move(0.2)
    assert len(context.harness.sent) == 2


def submit_keyed(context, **options):
    context.number = context.harness.submit(key="order-1", **options)


@behave.when("a keyed request is submitted and ruled {ruling:w}")
def rule_keyed(context, ruling):
    submit_keyed(context)
    assert not context.harness.sent
    context.harness.claim(claim.DecisionKind(ruling))


@behave.when(
    "a keyed request is submitted, its caller leaves and it is ruled run"
)
def leave_before_ruling(context):
    submit_keyed(context)
    context.harness.exchanges[-1].cancel()
    context.harness.claim(claim.DecisionKind.RUN)


@behave.then("no attempt was made and the claim is freed as not-run")
def check_freed(context):
    context.harness.move(5.0)
    assert not context.harness.sent
    ((_, execution),) = context.harness.finished
    assert execution is verdict.Execution.NOT_RUN
    assert not context.harness.gateway.in_flight_requests


@behave.when("a keyed request with a deadline of 2 hours is submitted")
def submit_long(context):
    submit_keyed(context, deadline=7_200_000)
