"""Steps for the jobs that are shown as begun."""

import json

import behave

from clementinewood import dispatcher, identifiers, job, jobtable, ports
from features.steps import job_service_steps, job_states_steps

NAME = identifiers.JobId(job_service_steps.NAME)
WATCH_SECONDS = 0.02


@behave.given("every entry's states are compared with what has started")
def watch_states(context):
    """Fails a scenario in which a job is shown as begun before it has."""
    harness = context.site.harness
    context.too_early = []

    def compare():
        begun = {item[3].job for item in harness.history if item[0] == "begin"}
        for entry in context.site.entries:
            context.too_early += [
                (entry.name, known.accepted.job_id, harness.clock())
                for known in entry.service.table
                if known.accepted is not None
                and known.accepted.job_id not in begun
                and known.state is not job.JobState.QUEUED
            ]

    harness.timers.subscribe_every(WATCH_SECONDS, compare)


def replace_starts(context, start):
    for minion in context.site.harness.minions.values():
        minion.start = start


@behave.when("every minion is cut off")
def cut_off(context):
    for minion in context.site.harness.minions.values():
        minion.unreachable = True


@behave.when("every minion rejects its starts")
def reject_starts(context):
    replace_starts(
        context, lambda term, order, entry: dispatcher.StartOutcome.NO_ROOM
    )


@behave.when("every minion starts tasks again")
def accept_starts(context):
    for minion in context.site.harness.minions.values():
        minion.unreachable = False
        vars(minion).pop("start", None)


@behave.when("every minion crashes and is cut off")
def crash_all(context):
    for minion in context.site.harness.minions.values():
        minion.unreachable = True
        minion.crash()


@behave.when("nothing fails")
def fail_nothing(context):
    pass


@behave.when("no response to a start arrives")
def lose_responses(context):
    for entry in context.site.entries:
        access = entry.service._minions
        access.start = drop_response(access, access.start)


def drop_response(access, start):
    def start_unheard(minion, term, order, on_result):
        start(minion, term, order, lambda outcome: None)
        access.harness.timers.subscribe_once(
            0.5, lambda: on_result(dispatcher.StartOutcome.UNKNOWN)
        )

    return start_unheard


@behave.when("a job of {count:d} tasks is submitted to a follower")
def submit_short(context, count):
    submit(context, count, 1.0)


@behave.when(
    "a job of {count:d} tasks of {seconds:g} seconds is submitted to a follower"
)
def submit(context, count, seconds):
    site = context.site
    step = job.Step(
        count=count, need=job.Resources(1000, 100), estimate=seconds
    )
    follower = job_states_steps.find_followers(site)[0]
    answers = site.harness.submit(follower.service, NAME, [step])
    site.loop.run_until(lambda: answers)
    context.tasks = count


@behave.when("the newest leader is killed")
def kill_leader(context):
    site = context.site
    job_states_steps.kill_entry(site, job_states_steps.find_leader(site))


@behave.when(
    "the leader is killed once its tasks have started and before that is stored"
)
def kill_before_stored(context):
    site = context.site
    site.loop.run_until(lambda: site.harness.count("begin") == context.tasks)
    kill_leader(context)
    assert read_stored(context).state is job.JobState.QUEUED


def read_stored(context):
    key = jobtable.render_key(jobtable.RecordKind.PROGRESS, NAME)
    newest = context.site.harness.store.newest[ports.Stream.DISPATCH]
    return job.decode_progress(newest[key].value).unwrap()


@behave.then("some start was planned")
def check_planned(context):
    assert any(
        record.key == jobtable.render_key(jobtable.RecordKind.PROGRESS, NAME)
        for record in context.site.harness.store.records[ports.Stream.DISPATCH]
    )


@behave.then("no task has started")
def check_not_started(context):
    assert context.site.harness.count("begin") == 0


@behave.then("every task has started once")
def check_started(context):
    assert context.site.harness.count("begin") == context.tasks


@behave.then('every entry shows {count:d} pending job and the job as "{state}"')
@behave.then(
    'every entry shows {count:d} pending jobs and the job as "{state}"'
)
def check_shown(context, count, state):
    site = context.site
    for entry in site.entries:
        status, _, body, _ = site.call(entry, "GET", "")
        assert status == 200, (entry.name, status, body)
        pending = json.loads(body)["pending"]
        shown = job_states_steps.read_state(context, entry, NAME)
        assert (pending, shown) == (count, state), (entry.name, pending, shown)
    assert not context.too_early, context.too_early[:3]
