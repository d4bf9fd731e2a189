"""Steps for states of jobs while the store can't be read."""

import json
from unittest import mock

import behave

from clementinewood import completions, identifiers, job, ports
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


@behave.when("every entry is asked for the job's state")
def ask_all(context):
    context.completed_at = None
    for entry in context.site.entries:
        if read_state(context, entry) == "completed":
            context.completed_at = context.site.loop.clock.now


@behave.when("every entry is asked to cancel the job")
def cancel_everywhere(context):
    context.cancelled_at = None
    for entry in context.site.entries:
        status, _, _, _ = context.site.call(entry, "DELETE", NAME)
        if status in (200, 410):
            context.cancelled_at = context.site.loop.clock.now


@behave.when("all hosts and minions lose power for {seconds:g} seconds")
def lose_power(context, seconds):
    context.site.lose_power(seconds)


@behave.then("no task has started after its job was shown as completed")
def check_completion_holds(context):
    check_no_start_after(context, context.completed_at)


@behave.then(
    "no task has started after its job's cancellation was acknowledged"
)
def check_cancellation_holds(context):
    check_no_start_after(context, context.cancelled_at)


def check_no_start_after(context, shown_at):
    late = [
        entry
        for entry in context.site.harness.history
        if entry[0] == "begin" and shown_at is not None and entry[1] > shown_at
    ]
    assert not late, late


@behave.given("entries that ask no others for completions")
def drop_collectors(context):
    for entry in context.site.entries:
        entry.service.collector = None


@behave.when("the leader and a follower are {fault} by the store")
def refuse_some(context, fault):
    context.former = find_leader(context.site)
    context.cut = find_followers(context.site)[0]
    for entry in (context.former, context.cut):
        entry.link.refuses = fault == "refused"
        entry.link.down = fault == "not answered"


@behave.when("all tasks have ended and their minions crash")
def crash_after_ends(context):
    decisions = context.former.service.elector.driver.dispatcher
    name = identifiers.JobId(NAME)
    context.site.loop.run_until(lambda: decisions.find_final_state(name))
    for minion in context.site.harness.minions.values():
        minion.crash()


@behave.when(
    'that follower comes to report the job as "{state}" within {seconds:g}'
    " seconds"
)
def await_state(context, state, seconds):
    loop = context.site.loop
    end = loop.clock.now + seconds
    while read_state(context, context.cut) != state:
        assert loop.clock.now < end, "the state was not reported"
        loop.run_for(0.02)


def read_state(context, entry, name=NAME):
    status, _, body, _ = context.site.call(entry, "GET", name)
    assert status == 200, (entry.name, status, body)
    return json.loads(body)["state"]


@behave.when("nothing else fails")
def lose_nothing(context):
    pass


def kill_entry(site, entry):
    entry.fall_silent()
    site.harness.kill(entry.service)
    site.entries.remove(entry)


@behave.when("the former leader is killed")
def kill_former(context):
    kill_entry(context.site, context.former)


def await_successor(context):
    def find():
        return [
            entry
            for entry in context.site.entries
            if entry.service.dispatching and entry is not context.former
        ]

    context.site.loop.run_until(find)
    return find()[0]


@behave.when("its successor is killed as soon as it dispatches")
def kill_successor(context):
    kill_entry(context.site, await_successor(context))


@behave.when("the successor can't ask the former leader")
def cut_successors(context):
    for entry in find_followers(context.site):
        if entry is not context.cut:
            entry.peers.cut.add(context.former.address)


@behave.when("another entry dispatches")
def run_until_taken_over(context):
    context.successor = await_successor(context)
    context.taken_over_at = context.site.harness.clock()


@behave.then("that follower does not pass on a completion of the former leader")
def check_not_passed_on(context):
    context.site.loop.run_for(0.1)
    name = identifiers.JobId(NAME)
    former = context.former.service.elector.driver
    assert former.find_unstored_state(name) is job.JobState.COMPLETED
    assert not context.cut.service.keep_completion(name, former.term)
    assert read_state(context, context.cut) == "running"


@behave.when(
    "the leader reports a job as completed that a follower has not read"
)
def keep_unread(context):
    context.cut = find_followers(context.site)[0]
    term = find_leader(context.site).service.elector.driver.term
    context.term = identifiers.Term(term + 1)
    name = identifiers.JobId(OTHER_NAME)
    assert context.cut.service.keep_completion(name, term)


@behave.then("that follower tells a new leader of the completion")
def check_told(context):
    announced = ports.Takeover(context.term, identifiers.Incarnation("e/1"))
    told = context.cut.service.handle_takeover(announced)
    assert told == (identifiers.JobId(OTHER_NAME),), told


@behave.when("that follower reads the job")
def read_job(context):
    step = job.Step(count=1, need=job.Resources(1000, 100), estimate=20.0)
    harness = context.site.harness
    harness.submit(context.cut.service, OTHER_NAME, [step])
    context.site.loop.run_for(0.3)


@behave.then('it reports that job as "{state}"')
def check_other_state(context, state):
    assert read_state(context, context.cut, OTHER_NAME) == state


@behave.when("a follower does not respond to other entries")
def silence_follower(context):
    context.former = find_leader(context.site)
    find_followers(context.site)[0].fall_silent()


@behave.when("questions to a follower have no outcome")
def drop_questions(context):
    context.former = find_leader(context.site)
    lost = find_followers(context.site)[0].address
    for entry in context.site.entries:
        collect = entry.peers.collect

        def ask(address, *arguments, collect=collect):
            if address != lost:
                collect(address, *arguments)

        entry.peers.collect = ask


@behave.when("the leader is killed and {count:d} of the minions crash")
def kill_with_minions(context, count):
    minions = list(context.site.harness.minions.values())[:count]
    context.lost = {task for minion in minions for task in minion.running}
    assert len(context.lost) == count
    for minion in minions:
        minion.crash()
    kill_entry(context.site, context.former)


@behave.then(
    "{count:d} lost tasks have started again within {seconds:g} seconds of the"
    " takeover"
)
def check_restarted(context, count, seconds):
    again = {
        entry[3]: entry[1] - context.taken_over_at
        for entry in context.site.harness.history
        if entry[0] == "begin" and entry[1] > context.taken_over_at
    }
    assert len(context.lost) == count and set(again) == context.lost, again
    assert max(again.values()) <= seconds, again


@behave.then("no other task has started again")
def check_others(context):
    starts = count_starts(context)
    again = {task for task, count in starts.items() if count > 1}
    assert again == context.lost, again


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
