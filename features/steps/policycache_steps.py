"""Steps for queues whose policy service decides where steps may run."""

import behave

from clementinewood import (
    catalog,
    identifiers,
    job,
    placement,
    policycache,
    run,
)
from features import job_harness, job_policy
from features.steps import job_service_steps

QUEUE = catalog.Queue(
    name=identifiers.QueueId("quotes"),
    host="guild",
    prefix="/quotes/",
    pool=identifiers.PoolId("quotes"),
    advice=job_policy.POLICY_SETTINGS,
)
STEP = job.Step(count=16, need=job.Resources(1000, 100))
FIRST = policycache.StepKey(identifiers.JobId("a"), 0, 0)
SECOND = policycache.StepKey(identifiers.JobId("b"), 0, 0)


@behave.given(
    "a site with {entries:d} entries, {minions:d} minions and a policy that"
    " allows {share:g} of them"
)
def create_advised_site(context, entries, minions, share):
    context.harness = job_harness.JobHarness(
        entries=entries, minions=minions, policy_share=share
    )
    context.harness.run_for(2.0)


@behave.then("no start was refused for its ticket")
def check_tickets(context):
    policy = context.harness.policy
    assert policy.named and not policy.refused, policy.refused
    for entry in context.harness.history:
        if entry[0] == "begin":
            task = entry[3]
            step = f"{task.job}.{task.occurrence}.{task.step}"
            assert policy.allows(step, entry[2]), entry


@behave.then("{count:d} tasks run on minions that answer")
def check_running(context, count):
    running = sum(
        len(item.running)
        for item in context.harness.minions.values()
        if not item.unreachable
    )
    assert running == count, running


@behave.when(
    "the policy service is silent for {seconds:g} seconds and a job is"
    " submitted"
)
def silence_policy(context, seconds):
    context.harness.policy.silent = True
    job_service_steps.submit_job(context, 1, 4)
    context.harness.run_for(seconds)
    assert context.harness.count("begin") == 0
    context.harness.policy.silent = False


@behave.given(
    "a policy cache and {count:d} minions with room for {fits:d} tasks each"
)
def create_policy_cache(context, count, fits):
    context.policy_cache = policycache.PolicyCache()
    context.now = 10.0
    context.candidates = []
    for number in range(count):
        minion = catalog.Minion(
            minion_id=identifiers.MinionId(f"m{number}"),
            incarnation=1,
            pool=QUEUE.pool,
            address=("127.0.0.1", 1),
            zone=identifiers.ZoneId("hobart"),
            state=catalog.MinionState.READY,
            capacity=job.Resources(1000 * fits, 65536),
        )
        context.candidates.append(
            placement.Candidate(run.MinionView(minion), minion.capacity, False)
        )


def want(context, key):
    context.policy_cache.prepare_query(
        key, QUEUE, STEP, STEP.count, context.candidates, context.now
    )


@behave.when("a step of 16 tasks wants advice before another one")
def want_two(context):
    want(context, FIRST)
    want(context, SECOND)
    context.query = context.policy_cache.take_query()


@behave.then("{count:d} minions are named for the first step")
def check_named(context, count):
    assert context.query.key == FIRST
    assert len(context.query.minions) == count, context.query


@behave.then("nothing else is asked until the answer is there")
def check_one_question(context):
    want(context, SECOND)
    assert context.policy_cache.take_query() is None
    context.policy_cache.handle_response(context.query, {}, context.now)
    want(context, SECOND)
    assert context.policy_cache.take_query().key == SECOND


@behave.when("a step is told that 1 of its minions may run it")
def answer_one(context):
    want(context, FIRST)
    context.first = context.policy_cache.take_query()
    context.good = next(iter(context.first.minions))
    context.policy_cache.handle_response(
        context.first, {context.good: "leave"}, context.now
    )
    allowed = context.policy_cache.list_allowed(
        FIRST, context.candidates, context.now
    )
    assert [item.view.minion_id for item in allowed] == [context.good]


@behave.then("only minions of which nothing is known are named next")
def check_unknown(context):
    want(context, FIRST)
    context.second = context.policy_cache.take_query()
    assert context.second.minions
    assert not set(context.second.minions) & set(context.first.minions)
    context.policy_cache.handle_response(context.second, {}, context.now)


@behave.when("its ticket has lapsed")
def lapse(context):
    context.now += job_policy.POLICY_SETTINGS.valid


@behave.then("the minion with the lapsed ticket is named as well")
def check_lapsed(context):
    allowed = context.policy_cache.list_allowed(
        FIRST, context.candidates, context.now
    )
    assert not allowed
    want(context, FIRST)
    assert list(context.policy_cache.take_query().minions) == [context.good]
