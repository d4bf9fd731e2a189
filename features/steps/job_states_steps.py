"""Steps for states of jobs while the store can't be read."""

import dataclasses
import json
from unittest import mock

import behave

from clementinewood import identifiers, job, jobservice, ports, verdict
from features import forwarding_harness, job_harness
from features.steps import job_service_steps

NAME = job_service_steps.NAME
OTHER_NAME = "00000000000000bb"
THIRD_NAME = "00000000000000cc"


@behave.given('a site of entries in zones "{zones}" with {count:d} minions')
def create_site(context, zones, count):
    context.site = forwarding_harness.ForwardingSite(
        zones.split(), minions=count
    )
    context.add_cleanup(context.site.close)


@behave.given("entries that report outcomes that are not stored")
def report_unstored(context):
    """Lets the leader answer from memory, and others pass that on."""
    describe = jobservice.JobService.describe

    def answer(service, job_id, on_answer):
        driver = service.elector.driver
        state = driver and driver.dispatcher._ended.get(job_id)
        if state:
            on_answer(jobservice.JobDescription(state))
        else:
            describe(service, job_id, on_answer)

    patch = mock.patch.object(jobservice.JobService, "describe", answer)
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


@behave.when(
    "the store refuses every entry once it has an end that a follower has not"
    " read"
)
def refuse_after_end(context):
    site = context.site

    def has_unread_end():
        ended = [
            entry.service.table.find(identifiers.JobId(NAME)).state
            is job.JobState.COMPLETED
            for entry in site.entries
        ]
        return any(ended) and not all(ended)

    site.loop.run_until(has_unread_end)
    refuse_all(context)


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


@behave.when("the store serves the leader again")
def restore_leader(context):
    link = find_leader(context.site).link
    link.refuses = link.down = False


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
    "every entry has read that the job is completed within {seconds:g} seconds"
)
def check_read(context, seconds):
    context.site.loop.run_for(seconds)
    for entry in context.site.entries:
        known = entry.service.table.find(identifiers.JobId(NAME))
        assert known.state is job.JobState.COMPLETED, (entry.name, known.state)


@behave.then(
    'that entry reports the job as "{state}" within {seconds:g} seconds'
)
def check_cut(context, state, seconds):
    check_state(context, [context.cut], state, seconds)


@behave.when("every entry is asked for the job's state")
def ask_all(context):
    context.completed_at = None
    context.states = set()
    for entry in context.site.entries:
        state = read_state(context, entry)
        context.states.add(state)
        if state == "completed" and context.completed_at is None:
            context.completed_at = context.site.loop.clock.now


@behave.then('each has said "{state}"')
def check_said(context, state):
    assert context.states == {state}, context.states


@behave.when("every entry is asked to cancel the job")
def cancel_everywhere(context):
    cancel_at(context, context.site.entries, NAME)


@behave.then("its cancellation was not acknowledged")
def check_not_acknowledged(context):
    assert context.cancelled_at is None, context.cancelled_at


@behave.when("all hosts and minions lose power for {seconds:g} seconds")
def lose_power(context, seconds):
    context.site.restart_all(seconds)


@behave.then("no task has started after its job was shown as completed")
def check_completion_holds(context):
    check_no_start_after(context, context.completed_at)


@behave.then("its cancellation was acknowledged")
def check_acknowledged(context):
    assert context.cancelled_at is not None


@behave.then(
    "no task has started after its job's cancellation was acknowledged"
)
def check_cancellation_holds(context):
    check_no_start_after(context, context.cancelled_at)


@behave.then("some task has started after its job was shown as completed")
def check_completion_broken(context):
    assert list_starts_after(context, context.completed_at)


def check_no_start_after(context, shown_at):
    late = list_starts_after(context, shown_at)
    assert not late, late


def list_starts_after(context, shown_at):
    return [
        entry
        for entry in context.site.harness.history
        if entry[0] == "begin" and shown_at is not None and entry[1] > shown_at
    ]


@behave.then("that follower asks the successor for the job's state")
def check_source(context):
    read_state(context, context.cut)
    assert context.cut.peers.sent[-1] == context.successor.address


@behave.when('the leader answers "{state}" as an earlier version does')
def answer_unstored(context, state):
    find_leader(context.site).inner._handler = EarlierVersion(state)


class EarlierVersion:
    """Answers states as an entry does that reports unstored ones."""

    def __init__(self, state):
        self.body = json.dumps({"state": state}).encode()

    def handle_exchange(self, exchange):
        exchange.respond(200, [], self.body)


@behave.when("the leader and a follower are {fault} by the store")
def refuse_some(context, fault):
    context.former = find_leader(context.site)
    context.cut = find_followers(context.site)[0]
    for entry in (context.former, context.cut):
        entry.link.refuses = fault == "refused"
        entry.link.down = fault == "not answered"


@behave.when("all tasks have ended and their minions crash")
def crash_after_ends(context):
    context.former = find_leader(context.site)
    decisions = context.former.service.elector.driver.dispatcher
    name = identifiers.JobId(NAME)
    context.site.loop.run_until(lambda: decisions._ended.get(name))
    for minion in context.site.harness.minions.values():
        minion.crash()


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


@behave.when("the leader is killed")
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


@behave.when("a follower does not respond to other entries")
def silence_follower(context):
    context.former = find_leader(context.site)
    find_followers(context.site)[0].fall_silent()


@behave.when("announcements to a follower have no outcome")
def drop_announcements(context):
    context.former = find_leader(context.site)
    lost = find_followers(context.site)[0].address
    for entry in context.site.entries:
        announce = entry.peers.announce

        def send(address, *arguments, announce=announce):
            if address != lost:
                announce(address, *arguments)

        entry.peers.announce = send


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


@behave.when(
    "a job is submitted at an entry whose append is stored late without an"
    " answer"
)
def submit_late(context):
    site = context.site
    entry = find_followers(site)[0]
    link = entry.link
    link.lost_answer_ratio, link.carried_out = 1.0, 1.0
    link.earliest, link.late = 2.0, 2.5
    step = job.Step(count=1, need=job.Resources(1000, 100), estimate=1.0)
    site.harness.submit(entry.service, OTHER_NAME, [step], patience=1.0)
    site.loop.run_for(0.1)
    link.lost_answer_ratio = 0.0
    context.others = [item for item in site.entries if item is not entry]


@behave.when("another entry is asked to cancel it")
def cancel_at_other(context):
    cancel_at(context, context.others[:1])


@behave.when("every entry is asked to cancel it")
def cancel_at_all(context):
    cancel_at(context, context.site.entries)


def cancel_at(context, entries, name=OTHER_NAME):
    context.cancelled_at = None
    for entry in entries:
        status, _, _, _ = context.site.call(entry, "DELETE", name)
        if status in (200, 410) and context.cancelled_at is None:
            context.cancelled_at = context.site.loop.clock.now


@behave.then("the job is stored and no task of it has started")
def check_cancelled_early(context):
    assert context.site.count_stored(OTHER_NAME)
    assert not context.site.harness.count("begin")


@behave.then('every entry reports it as "{state}"')
def check_other_states(context, state):
    for entry in context.site.entries:
        assert read_state(context, entry, OTHER_NAME) == state, entry.name


@behave.when(
    "the store refuses every entry and a follower is asked to cancel an"
    " unknown job"
)
def cancel_without_store(context):
    refuse_all(context)
    cancel_unknown(context)


@behave.when(
    "the store answers no append and a follower is asked to cancel an unknown"
    " job"
)
def cancel_without_answer(context):
    for entry in context.site.entries:
        entry.link.lost_answer_ratio, entry.link.carried_out = 1.0, 0.0
    cancel_unknown(context)


def cancel_unknown(context):
    entry = find_followers(context.site)[0]
    context.status, _, _, _ = context.site.call(
        entry, "DELETE", OTHER_NAME, patience=1.0
    )


@behave.then("it answers {status:d}")
def check_status(context, status):
    assert context.status == status, context.status


@behave.given(
    "a job of {count:d} tasks of {seconds:g} seconds of which {most:d} run at a"
    " time"
)
def run_wide_job(context, count, seconds, most):
    site = context.site
    step = job.Step(
        count=count, need=job.Resources(1000, 100), estimate=seconds
    )
    site.harness.submit(find_followers(site)[0].service, NAME, [step])
    site.loop.run_until(lambda: site.harness.count("begin") == most)


@behave.when("the leader can't read the log of jobs")
def refuse_jobs(context):
    context.access = find_leader(context.site).service._store
    context.read = context.access.read

    def read(stream, offset, wait, on_result):
        if stream is not ports.Stream.JOBS:
            context.read(stream, offset, wait, on_result)
            return
        refused = ports.Failed(verdict.Execution.NOT_RUN, "status 503")
        context.site.loop.timers.subscribe_once(
            job_harness.STORE_SECONDS, lambda: on_result(refused)
        )

    context.access.read = read
    # Outlasts the read that is waiting for a record.
    context.site.loop.run_for(1.3)


@behave.when("the leader loads the log of jobs again, page by page")
def load_slowly(context):
    harness = context.site.harness
    service = find_leader(context.site).service
    context.access, context.read = service._store, service._store.read
    for number in range(30):
        harness.store.put(ports.Stream.JOBS, f"c/{number:016x}", b"1")
    context.access.page_records, context.access.page_seconds = 1, 1.0
    service._jobs_feed._generation += 1
    service._jobs_feed._load()


@behave.when("the leader reads the log of jobs again")
def restore_jobs(context):
    context.access.read = context.read
    context.access.page_records = None
    context.site.loop.run_for(2.0)


@behave.when("a follower is asked to cancel the job")
def cancel_job(context):
    context.cancelled_at = None
    entry = find_followers(context.site)[0]
    status, _, _, _ = context.site.call(entry, "DELETE", NAME)
    if status == 200:
        context.cancelled_at = context.site.loop.clock.now


@behave.then("no task has started later than {seconds:g} seconds after that")
def check_cancel_bound(context, seconds):
    late = list_starts_after(context, context.cancelled_at + seconds)
    assert not late, late


@behave.then("no task of the job runs")
def check_stopped(context):
    for minion in context.site.harness.minions.values():
        assert not minion.running, minion.running


@behave.when("a key is added to the configuration")
def add_key(context):
    harness = context.site.harness
    known = harness.declared.configuration
    harness.declare(
        configuration=dataclasses.replace(
            known,
            version=known.version + 1,
            keys={**known.keys, "new-key": identifiers.TeamId("canvas")},
        )
    )


def find_third(context):
    """Returns the entry that neither leads nor was cut off first."""
    (third,) = (
        entry
        for entry in find_followers(context.site)
        if entry is not context.cut
    )
    return third


def submit_with_key(context, name):
    status, _, _, _ = context.site.call(
        context.third,
        "POST",
        name,
        body=forwarding_harness.render_job(),
        key="new-key",
    )
    return status


@behave.when("the third entry accepts a job with that key")
def accept_with_key(context):
    context.third = find_third(context)
    harness = context.site.harness
    step = job.Step(count=1, need=job.Resources(1000, 0), estimate=1.0)
    harness.accepted[identifiers.JobId(OTHER_NAME)] = job.Job(
        job_id=identifiers.JobId(OTHER_NAME),
        queue=identifiers.QueueId("quotes"),
        team=identifiers.TeamId("canvas"),
        spec="",
        steps=(step,),
        accepted=harness.wall(),
    )
    assert submit_with_key(context, OTHER_NAME) == 200


@behave.then("the third entry does not reject a submission with that key")
def check_not_rejected(context):
    status = submit_with_key(context, THIRD_NAME)
    assert context.cut.address in context.third.peers.sent
    assert status in (503, 504), status


@behave.when("the configuration of the third entry is out of date")
def outdate_configuration(context):
    context.third = find_third(context)
    declarations = context.third.service._declarations_feed
    declarations.seconds_since_current = lambda: 10.0


@behave.then('the third entry reports the job as "{state}"')
def check_third(context, state):
    assert read_state(context, context.third) == state
    assert context.third.peers.sent[-1] == context.cut.address


@behave.when("the queue of that site is open to all")
def open_queue(context):
    known = context.site.harness.declared.configuration
    context.site.harness.declare(
        configuration=dataclasses.replace(
            known,
            version=known.version + 1,
            queues={
                name: dataclasses.replace(queue, open_to_all=True)
                for name, queue in known.queues.items()
            },
        )
    )


def admit_count(entry, min_version):
    (queue,) = entry.service.declared.configuration.queues.values()
    return entry.service.admit(
        jobservice.CallerRequest(
            kind=jobservice.RequestKind.DESCRIBE,
            host=queue.host,
            path=queue.prefix,
            credentials=None,
            timeout_seconds=3.0,
        ),
        min_version,
    )


@behave.then("every entry serves a request that names its own configuration")
def check_own_version(context):
    for entry in context.site.entries:
        version, _ = entry.service.read_configuration_age()
        admitted = admit_count(entry, version)
        assert isinstance(admitted, jobservice.AdmittedRequest), admitted


@behave.then(
    "every entry refuses one that names a newer configuration as stale"
)
def check_newer_version(context):
    for entry in context.site.entries:
        version, _ = entry.service.read_configuration_age()
        refused = admit_count(entry, version + 1)
        assert refused.reason is verdict.Reason.STALE_CONFIGURATION, refused
