"""Steps for states of jobs while the store can't be read."""

import json
from unittest import mock

import behave

from clementinewood import completions, job
from features import forwarding_harness
from features.steps import job_service_steps

NAME = job_service_steps.NAME
OTHER_NAME = "00000000000000bb"


@behave.given('a site of entries in zones "{zones}" with {count:d} minions')
def create_site(context, zones, count):
    context.site = forwarding_harness.ForwardingSite(
        zones.split(), minions=count
    )
    context.add_cleanup(context.site.close)


@behave.given("entries that do not record completions")
def drop_completions(context):
    patch = mock.patch.object(
        completions.CompletionRecorder, "add", lambda self, job_id: None
    )
    patch.start()
    context.add_cleanup(patch.stop)


@behave.given("a job of {count:d} tasks of {seconds:g} seconds that runs")
def run_job(context, count, seconds):
    site = context.site
    step = job.Step(
        count=count,
        need=job.Resources(1000, 100),
        estimate=seconds,
        max_per_minion=1,
    )
    site.harness.submit(find_followers(site)[0].service, NAME, [step])
    site.loop.run_until(lambda: site.harness.count("begin") == count)
    site.loop.run_for(0.3)
    context.tasks = count


def find_leader(site):
    (leader,) = (item for item in site.entries if item.service.dispatching)
    return leader


def find_followers(site):
    return [item for item in site.entries if not item.service.dispatching]


@behave.when("every entry is refused by the store")
def refuse_all(context):
    for entry in context.site.entries:
        entry.link.refuses = True


@behave.when("every entry is not answered by the store")
def silence_all(context):
    for entry in context.site.entries:
        entry.link.down = True


@behave.when("a follower is refused by the store")
def refuse_one(context):
    context.cut = find_followers(context.site)[0]
    context.cut.link.refuses = True


@behave.when("the store serves every entry again after {seconds:g} seconds")
def serve_again(context, seconds):
    context.site.loop.run_for(seconds)
    restore_store(context)


@behave.when("{seconds:g} seconds pass on that site")
def pass_time(context, seconds):
    context.site.loop.run_for(seconds)


@behave.when("the store serves every entry again")
def restore_store(context):
    for entry in context.site.entries:
        entry.link.refuses = entry.link.down = False


@behave.when("the leader is killed and the minions crash")
def lose_leader(context):
    site = context.site
    leader = find_leader(site)
    leader.fall_silent()
    site.harness.kill(leader.service)
    site.entries.remove(leader)
    for minion in site.harness.minions.values():
        minion.crash()


@behave.when("another job is refused at every entry")
def refuse_job(context):
    for entry in context.site.entries:
        status, _, _, _ = context.site.call(
            entry, "POST", OTHER_NAME, body=forwarding_harness.render_job()
        )
        assert status == 503, status


@behave.when("the leader can't reach {count:d} of the minions")
def cut_minions(context, count):
    access = find_leader(context.site).service._minions
    for minion_id in list(context.site.harness.minions)[:count]:
        access.link(minion_id).down = True


@behave.when("the leader does not respond to other entries")
def silence_leader(context):
    find_leader(context.site).fall_silent()


def check_state(context, entries, state, seconds):
    for entry in entries:
        status, _, body, took = context.site.call(entry, "GET", NAME)
        assert status == 200, (entry.name, status, body)
        assert json.loads(body)["state"] == state, (entry.name, body)
        assert took <= seconds, (entry.name, took)


@behave.when('one entry reports the job as "{state}"')
def check_one(context, state):
    check_state(context, find_followers(context.site)[:1], state, 0.5)


@behave.then(
    'every entry but the leader reports the job as "{state}" within {seconds:g}'
    " seconds"
)
def check_followers(context, state, seconds):
    check_state(context, find_followers(context.site), state, seconds)


@behave.then(
    'every entry reports the job as "{state}" within {seconds:g} seconds'
)
@behave.then(
    'the other entries report the job as "{state}" within {seconds:g} seconds'
)
def check_all(context, state, seconds):
    check_state(context, context.site.entries, state, seconds)


@behave.then(
    'that entry reports the job as "{state}" within {seconds:g} seconds'
)
def check_cut(context, state, seconds):
    check_state(context, [context.cut], state, seconds)


def count_starts(context):
    starts = {}
    for entry in context.site.harness.history:
        if entry[0] == "begin":
            starts[entry[3]] = starts.get(entry[3], 0) + 1
    assert len(starts) == context.tasks, starts
    return starts


@behave.then("each task has started once")
def check_once(context):
    starts = count_starts(context)
    assert set(starts.values()) == {1}, starts
    assert not context.site.harness.violations


@behave.then("some task has started again")
def check_again(context):
    assert max(count_starts(context).values()) > 1
