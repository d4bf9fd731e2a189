"""Steps over queues whose policy service decides where steps may run."""

import behave

from clementinewood import advice, catalog, identifiers, job, placement, run
from features import job_policy, job_world
from features.steps import job_service_steps

QUEUE = catalog.Queue(
    name=identifiers.QueueId("quotes"),
    host="guild",
    prefix="/quotes/",
    pool=identifiers.PoolId("quotes"),
    advice=job_policy.ADVICE,
)
STEP = job.Step(count=16, need=job.Resources(1000, 100))
FIRST = advice.StepKey(identifiers.JobId("a"), 0, 0)
SECOND = advice.StepKey(identifiers.JobId("b"), 0, 0)


@behave.given(
    "a site with {entries:d} entries, {minions:d} minions and a policy that"
    " allows {share:g} of them"
)
def create_advised_site(context, entries, minions, share):
    context.world = job_world.World(
        entries=entries, minions=minions, policy_share=share
    )
    context.world.run_for(2.0)


@behave.then("no start was refused for its ticket")
def check_tickets(context):
    policy = context.world.policy
    assert policy.named and not policy.refused, policy.refused
    for entry in context.world.history:
        if entry[0] == "begin":
            task = entry[3]
            step = f"{task.job}.{task.occurrence}.{task.step}"
            assert policy.allows(step, entry[2]), entry


@behave.then("{count:d} tasks run on minions that answer")
def check_running(context, count):
    running = sum(
        len(item.running)
        for item in context.world.minions.values()
        if not item.dark
    )
    assert running == count, running


@behave.when(
    "the policy service is silent for {seconds:g} seconds and a job is"
    " submitted"
)
def silence_policy(context, seconds):
    context.world.policy.silent = True
    job_service_steps.submit_job(context, 1, 4)
    context.world.run_for(seconds)
    assert context.world.count("begin") == 0
    context.world.policy.silent = False


@behave.given(
    "an advisor and {count:d} minions with room for {fits:d} tasks each"
)
def create_advisor(context, count, fits):
    context.advisor = advice.Advisor()
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
    context.advisor.note_wanted(
        key, QUEUE, STEP, STEP.count, context.candidates, context.now
    )


@behave.when("a step of 16 tasks wants advice before another one")
def want_two(context):
    want(context, FIRST)
    want(context, SECOND)
    context.question = context.advisor.take_question()


@behave.then("{count:d} minions are named for the first step")
def check_named(context, count):
    assert context.question.key == FIRST
    assert len(context.question.minions) == count, context.question


@behave.then("nothing else is asked until the answer is there")
def check_one_question(context):
    want(context, SECOND)
    assert context.advisor.take_question() is None
    context.advisor.note_answer(context.question, {}, context.now)
    want(context, SECOND)
    assert context.advisor.take_question().key == SECOND


@behave.when("a step is told that 1 of its minions may run it")
def answer_one(context):
    want(context, FIRST)
    context.first = context.advisor.take_question()
    context.good = next(iter(context.first.minions))
    context.advisor.note_answer(
        context.first, {context.good: "leave"}, context.now
    )
    allowed = context.advisor.list_allowed(
        FIRST, context.candidates, context.now
    )
    assert [item.view.minion_id for item in allowed] == [context.good]


@behave.then("only minions of which nothing is known are named next")
def check_unknown(context):
    want(context, FIRST)
    context.second = context.advisor.take_question()
    assert context.second.minions
    assert not set(context.second.minions) & set(context.first.minions)
    context.advisor.note_answer(context.second, {}, context.now)


@behave.when("its ticket has lapsed")
def lapse(context):
    context.now += job_policy.ADVICE.valid


@behave.then("the minion with the lapsed ticket is named as well")
def check_lapsed(context):
    allowed = context.advisor.list_allowed(
        FIRST, context.candidates, context.now
    )
    assert not allowed
    want(context, FIRST)
    assert list(context.advisor.take_question().minions) == [context.good]
