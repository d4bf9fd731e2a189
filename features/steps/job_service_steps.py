"""Steps for whole sites on simulated services of the platform."""

import dataclasses
from unittest import mock

import behave

from clementinewood import (
    election,
    feed,
    identifiers,
    job,
    jobservice,
    ports,
    run,
    verdict,
)
from features import job_faults, job_harness, job_mutants

NAME = "00000000000000aa"
OTHER_NAME = "00000000000000ab"


@behave.given("a site with {entries:d} entries and {minions:d} minions")
def create_site(context, entries, minions):
    context.harness = job_harness.JobHarness(entries=entries, minions=minions)
    context.harness.run_for(2.0)
    assert context.harness.dispatcher() is not None


@behave.given(
    "a site with {entries:d} entries, {minions:d} minions and an upper limit"
    " of {cap:d}"
)
def create_limited_site(context, entries, minions, cap):
    context.harness = job_harness.JobHarness(
        entries=entries, minions=minions, cap=cap
    )
    context.harness.run_for(2.0)


@behave.given(
    "a site with {entries:d} entries, {minions:d} minions and {spare:d} spare"
    " machines"
)
def create_elastic_site(context, entries, minions, spare):
    context.harness = job_harness.JobHarness(
        entries=entries, minions=minions, spare=spare
    )
    context.harness.run_for(2.0)


def find_follower(harness):
    return next(item for item in harness.entries if not item.dispatching)


@behave.when("a job of {steps:d} steps with {count:d} tasks is submitted")
def submit_job(context, steps, count):
    harness = context.harness
    context.asked = harness.clock()
    context.answers = harness.submit(
        find_follower(harness), NAME, job_faults.create_steps(steps, count)
    )


@behave.when(
    "a job of {steps:d} steps with {count:d} tasks of {seconds:g} seconds is"
    " submitted"
)
def submit_slow_job(context, steps, count, seconds):
    harness = context.harness
    context.answers = harness.submit(
        find_follower(harness),
        NAME,
        job_faults.create_steps(steps, count, seconds),
    )


@behave.when("a job whose second step needs every machine is submitted")
def submit_growing(context):
    harness = context.harness
    first, second = job_faults.create_steps(2, 4, 2.0)
    second = dataclasses.replace(second, count=200)
    harness.submit(harness.entries[0], NAME, [first, second])


@behave.when("{count:d} spare machines are added")
def add_spare(context, count):
    context.harness.add_spare(count)
    context.ordered = len(context.harness.machine_service.orders)


@behave.when("the dispatcher reaches the store again")
def reconnect_dispatcher(context):
    context.before._store.link.down = False


@behave.when("a long-running job of {count:d} tasks is submitted")
def submit_lasting(context, count):
    harness = context.harness
    step = job.Step(
        count=count,
        need=job.Resources(1000, 100),
        long_running=True,
        max_per_minion=1,
    )
    context.answers = harness.submit(find_follower(harness), NAME, [step])


@behave.given("minions take {seconds:g} seconds to stop a run")
def delay_stops(context, seconds):
    for minion in context.harness.minions.values():
        minion.stop_seconds = seconds


@behave.when("another job of {count:d} tasks is submitted")
def submit_other(context, count):
    harness = context.harness
    harness.submit(
        find_follower(harness), OTHER_NAME, job_faults.create_steps(1, count)
    )


@behave.then(
    'every entry says that the other job is "{state}" within {seconds:g}'
    " seconds"
)
def check_other_state(context, state, seconds):
    harness = context.harness
    harness.run_until(
        lambda: all(
            harness.state_of(entry, OTHER_NAME) is job.JobState(state)
            for entry in harness.entries
        ),
        seconds,
    )


@behave.when(
    "a machine joins, gets tasks of {seconds:g} seconds and crashes between two"
    " lists"
)
def crash_unlisted(context, seconds):
    harness = context.harness
    control = harness.dispatcher().elector.driver.machine_control
    listed_at = control._listed_at
    harness.run_until(lambda: control._listed_at > listed_at)
    listed_at = control._listed_at
    minion = harness.add_minion("m8", "zone-0", cpu=64000)
    steps = job_faults.create_steps(1, 40, seconds)
    context.answers = harness.submit(find_follower(harness), NAME, steps)
    harness.run_until(lambda: minion.running)
    assert control._listed_at == listed_at
    harness.machine_service.crash(minion)


@behave.when("the same job is submitted at every entry")
def submit_everywhere(context):
    harness = context.harness
    for entry in list(harness.entries):
        context.answers = harness.submit(
            entry, NAME, job_faults.create_steps(1, 6)
        )


@behave.when("the dispatcher is killed after {seconds:g} seconds")
def kill_dispatcher(context, seconds):
    context.harness.run_for(seconds)
    context.before = context.harness.dispatcher()
    context.harness.kill(context.before)


@behave.when(
    "the dispatcher is killed and the entry that claims its office stops"
)
def stop_claimant(context):
    harness = context.harness
    harness.kill(harness.dispatcher())

    def find_claimants():
        return [
            item
            for item in harness.entries
            if item.elector.role is election.ElectionRole.CANDIDATE
        ]

    for _ in range(100000):
        if find_claimants():
            break
        harness.run_for(0.0002)
    context.before = find_claimants()[0]
    context.before.stop()


@behave.when("no append is answered")
def lose_appends(context):
    for entry in context.harness.entries:
        entry._store.link.lost_answer_ratio = 1.0


@behave.when("no append is carried out after {seconds:g} seconds")
def drop_appends(context, seconds):
    context.harness.run_for(seconds)
    lose_appends(context)
    for entry in context.harness.entries:
        entry._store.link.carried_out = 0.0


@behave.when("the dispatcher is killed and appends are answered again")
def kill_and_answer(context):
    harness = context.harness
    harness.kill(harness.dispatcher())
    for entry in harness.entries:
        entry._store.link.lost_answer_ratio = 0.0


@behave.when("the dispatcher stops")
def stop_dispatcher(context):
    context.before = context.harness.dispatcher()
    context.before.stop()


@behave.when("the dispatcher is cut from the store after {seconds:g} seconds")
def cut_dispatcher(context, seconds):
    context.harness.run_for(seconds)
    context.before = context.harness.dispatcher()
    context.before._store.link.down = True


@behave.when(
    "another entry of {sites:d} sites is cut from the store for {seconds:g}"
    " seconds"
)
def cut_followers(context, sites, seconds):
    context.standings = set()
    for number in range(sites):
        harness = job_harness.JobHarness(number)
        # Cuts occur at different points of a read and of a renewal.
        harness.run_for(2.0 + 0.05 * number)
        entry = find_follower(harness)
        for job_number in range(10):
            # A busy log answers reads at once, so that reads are recent.
            harness.submit(
                entry, f"{job_number:016x}", job_faults.create_steps(1, 1)
            )
            harness.run_for(0.1)
        # Without a random delay it would be the first candidate.
        entry.elector._election.jitter = 0.0
        entry._store.link.down = True
        for _ in range(int(seconds / 0.05)):
            harness.run_for(0.05)
            context.standings.add(entry.elector._election.role)


@behave.then("it has never claimed the office")
def check_never_claimed(context):
    assert context.standings == {election.ElectionRole.FOLLOWER}


@behave.when("a minion without work falls silent")
def silence_idle(context):
    next(iter(context.harness.minions.values())).unreachable = True


@behave.when("a working minion falls silent after {seconds:g} seconds")
def silence_working(context, seconds):
    context.harness.run_for(seconds)
    for minion in context.harness.minions.values():
        if minion.running:
            minion.unreachable = True
            return
    raise AssertionError("no minion works")


@behave.when("a working machine crashes after {seconds:g} seconds")
def crash_machine(context, seconds):
    harness = context.harness
    harness.run_for(seconds)
    minion = next(item for item in harness.minions.values() if item.running)
    harness.machine_service.crash(minion)


@behave.when("the store refuses every entry")
def refuse_store(context):
    for entry in context.harness.entries:
        entry._store.link.refuses = True


@behave.when("the store is silent for every entry for {seconds:g} seconds")
def silence_store(context, seconds):
    for entry in context.harness.entries:
        entry._store.link.down = True
    context.harness.run_for(seconds)


@behave.when("the job is cancelled after {seconds:g} seconds")
def cancel_job(context, seconds):
    harness = context.harness
    harness.run_for(seconds)
    assert harness.count("begin") > 0
    harness.cancelled_at[identifiers.JobId(NAME)] = harness.clock()
    find_follower(harness).cancel(
        identifiers.JobId(NAME), 3.0, context.answers.append
    )


@behave.when(
    "a job is taken by one entry and cancelled at another whose reading is slow"
)
def cancel_elsewhere(context):
    harness = context.harness
    first, second = [item for item in harness.entries if not item.dispatching]
    # The other entry's read of new jobs takes longer than a query may wait
    # for newer states.
    second._store.slow_reads = 0.2
    harness.run_for(2.0)
    context.answers = harness.submit(first, NAME, job_faults.create_steps(2, 6))
    harness.run_until(lambda: context.answers, 3.0)
    assert second.table.find(identifiers.JobId(NAME)) is None
    context.cancels = []
    second.cancel(identifiers.JobId(NAME), 3.0, context.cancels.append)


@behave.then("the cancelling is confirmed")
def check_cancelled(context):
    context.harness.run_until(lambda: context.cancels, 3.0)
    assert isinstance(context.cancels[0], jobservice.Cancelled), context.cancels
    context.begun = context.harness.count("begin")


@behave.then("nothing of the job starts afterwards")
def check_no_start(context):
    context.harness.run_for(0.1)
    begun = context.harness.count("begin")
    context.harness.run_for(4.0)
    assert context.harness.count("begin") == begun


@behave.when("an unknown job is asked for")
def ask_unknown(context):
    context.answers = []
    context.harness.entries[0].describe(
        identifiers.JobId(NAME), context.answers.append
    )
    context.harness.run_until(lambda: context.answers, 3.0)


@behave.then("the answer is that the log can't be read")
def check_unreadable(context):
    answer = context.answers[0]
    assert answer.reason is verdict.Reason.STORE_UNAVAILABLE, answer
    assert answer.retry_after


@behave.when("{count:d} unknown jobs are asked for within {seconds:g} seconds")
def ask_many(context, count, seconds):
    harness = context.harness
    context.waits = []
    for number in range(count):
        asked = harness.clock()

        def record_wait(answer, asked=asked):
            assert answer.reason is verdict.Reason.JOB_UNKNOWN, answer
            context.waits.append(harness.clock() - asked)

        name = identifiers.JobId(f"{number:016x}")
        find_follower(harness).describe(name, record_wait)
        harness.run_for(seconds / count)
    context.count = count
    harness.run_for(2.0)


@behave.then("each is answered as unknown within {seconds:g} seconds")
def check_waits(context, seconds):
    assert len(context.waits) == context.count
    assert max(context.waits) <= seconds, max(context.waits)


@behave.when("{seconds:g} seconds pass")
def pass_time(context, seconds):
    context.harness.run_for(seconds)


@behave.when(
    "the history of the job log is dropped for an entry that was cut off"
)
def drop_history(context):
    harness = context.harness
    entry = find_follower(harness)
    entry._store.link.refuses = True
    harness.run_for(2.0)
    harness.store.drop_history(ports.Stream.JOBS)
    harness.store.drop_history(ports.Stream.DISPATCH)
    entry._store.link.refuses = False


@behave.given(
    "a site with {entries:d} entries and {minions:d} minions, seed {seed:d}"
)
def create_seeded_site(context, entries, minions, seed):
    context.harness = job_harness.JobHarness(
        seed, entries=entries, minions=minions
    )
    context.harness.run_for(2.0)


@behave.when(
    "{share:d} of 100 orders get no answer and are carried out {least:g} to"
    " {most:g} seconds later"
)
def delay_orders(context, share, least, most):
    harness = context.harness
    for entry in harness.entries:
        for minion_id in harness.minions:
            link = entry._minions.link(minion_id)
            link.lost_answer_ratio = share / 100
            link.carried_out = 1.0
            link.earliest = least
            link.late = most


@behave.when(
    "{count:d} jobs of {steps:d} steps with {tasks:d} tasks of {task_seconds:g}"
    " seconds are submitted within {seconds:g} seconds"
)
def submit_jobs(context, count, steps, tasks, task_seconds, seconds):
    harness = context.harness
    context.submitted = {}
    for number in range(count):
        name = f"{number:016x}"
        context.submitted[name] = harness.clock()
        harness.submit(
            harness.entries[number % len(harness.entries)],
            name,
            job_faults.create_steps(steps, tasks, task_seconds),
        )
        harness.run_for(seconds / count)
    harness.run_for(15.0)


@behave.then("at least {share:g} of the jobs end within {seconds:g} seconds")
def check_durations(context, share, seconds):
    harness = context.harness
    last_ends = {}
    for kind, at, _, task, _ in harness.history:
        if kind == "end":
            last_ends[task.job] = at
    times = sorted(
        last_ends[name] - asked for name, asked in context.submitted.items()
    )
    within = sum(1 for time in times if time <= seconds) / len(times)
    assert within >= share, (within, times)


@behave.then("every job is completed")
def check_all_completed(context):
    harness = context.harness
    for name in context.submitted:
        for entry in harness.entries:
            state = harness.state_of(entry, name)
            assert state is job.JobState.COMPLETED, (name, state)


@behave.then("no minion was ejected")
def check_not_ejected(context):
    views = context.harness.dispatcher().elector.driver.dispatcher.views
    ejected = [view.minion_id for view in views.values() if view.ejected_until]
    assert not ejected, ejected


@behave.given("{count:d} jobs that have ended")
def run_jobs(context, count):
    harness = context.harness
    for number in range(count):
        harness.submit(
            harness.entries[0],
            f"{number:016x}",
            job_faults.create_steps(1, 1, 0.1),
        )
    harness.run_for(2.0)
    assert harness.count("end") == count


def expire_dispatch_log(harness, entry, seconds):
    """Expires records that `entry` has not read; a load takes `seconds`."""
    store = harness.store
    records = store.records[ports.Stream.DISPATCH]
    pages = len(store.newest[ports.Stream.DISPATCH])
    entry._store.page_records = 1
    entry._store.page_seconds = seconds / pages
    harness.run_until(lambda: entry._dispatch_feed.next_offset < len(records))
    store.drop_history(ports.Stream.DISPATCH)
    harness.run_until(lambda: entry._dispatch_feed.state is feed.State.LOADING)


@behave.when(
    "the history of the dispatch log expires for a follower that loads it in"
    " {seconds:g} seconds"
)
def expire_for_follower(context, seconds):
    harness = context.harness
    context.term = harness.dispatcher().elector.driver.term
    expire_dispatch_log(harness, find_follower(harness), seconds)


@behave.then("no other leader is elected within {seconds:g} seconds")
def check_leader_stays(context, seconds):
    context.harness.run_for(seconds)
    driver = context.harness.dispatcher().elector.driver
    assert driver.term == context.term, (driver.term, context.term)


@behave.when(
    "the history of the dispatch log expires for a candidate that loads it in"
    " {seconds:g} seconds"
)
def expire_for_candidate(context, seconds):
    harness = context.harness
    context.entry = find_follower(harness)
    harness.kill(harness.dispatcher())
    # Its candidacy is stored before its next read gets a response.
    context.entry._store.slow_reads = 0.3
    harness.run_until(
        lambda: context.entry.elector.role is election.ElectionRole.CANDIDATE
    )
    expire_dispatch_log(harness, context.entry, seconds)


@behave.then("it dispatches only once it has loaded the log")
def check_loaded(context):
    entry = context.entry
    context.harness.run_until(lambda: entry.dispatching)
    assert entry._dispatch_feed.state is feed.State.FOLLOWING


@behave.when(
    "all minions restart and the platform still lists the earlier ones"
)
def restart_unlisted(context):
    harness = context.harness
    for minion in harness.minions.values():
        listed = minion.describe()
        minion.describe = lambda listed=listed: listed
        minion.crash()
    harness.run_for(3.0)


@behave.when(
    "all entries are killed once its tasks have ended unread, and start again"
)
def kill_all_unread(context):
    harness = context.harness
    minions = harness.minions.values()
    harness.run_until(lambda: any(minion.running for minion in minions))
    harness.run_for(0.1)
    names = [entry._minions.name for entry in harness.entries]
    for entry in list(harness.entries):
        harness.kill(entry)
    harness.run_until(lambda: not any(minion.running for minion in minions))
    assert any(minion.ended for minion in minions)
    for name in names:
        harness.add_entry(name)


@behave.when("minions restart within {seconds:g} seconds")
def restart_soon(context, seconds):
    patch = mock.patch.object(job_harness, "CRASH_SECONDS", seconds)
    patch.start()
    context.add_cleanup(patch.stop)


@behave.when(
    "its minions restart once they have reported ends that the store takes"
    " slowly"
)
def restart_between_polls(context):
    harness = context.harness
    harness.run_until(lambda: harness.count("begin") == 64)
    harness.store.append_seconds[ports.Stream.DISPATCH] = 1.5
    driver = harness.dispatcher().elector.driver
    harness.run_until(lambda: driver._paused_polls)
    for minion_id in driver._paused_polls:
        view = driver.dispatcher.views[minion_id]
        assert view.stored_sequence and view.has_unstored_outcomes
        harness.minions[minion_id].crash()
    harness.run_for(2.0)
    harness.store.append_seconds[ports.Stream.DISPATCH] = 0.0


@behave.when("every minion fails what it runs once")
def fail_once(context):
    for minion in context.harness.minions.values():
        minion.failing = True


def await_stored_failure(harness):
    key = f"p/{NAME}"
    newest = harness.store.newest[ports.Stream.DISPATCH]

    def is_stored():
        record = newest.get(key)
        return record is not None and b'"failed":[[' in record.value

    for _ in range(20000):
        if is_stored():
            break
        harness.run_for(0.0005)
    assert is_stored()


@behave.when("the dispatcher is killed as soon as a failure is stored")
def kill_after_failure(context):
    harness = context.harness
    await_stored_failure(harness)
    assert any(minion.ended for minion in harness.minions.values())
    harness.kill(harness.dispatcher())
    for minion in harness.minions.values():
        minion.failing = False


@behave.when(
    "its run fails and the minion is cut off before the failure is acknowledged"
)
def cut_off_after_failure(context):
    harness = context.harness
    minions = harness.minions.values()
    harness.run_until(lambda: any(minion.running for minion in minions))
    harness.run_for(0.3)
    context.cut = next(minion for minion in minions if minion.running)
    context.cut.end(next(iter(context.cut.running)), run.RunOutcome.FAILED)
    await_stored_failure(harness)
    assert context.cut.ended
    context.cut.unreachable = True
    harness.store.put(ports.Stream.MINIONS, context.cut.minion_id, b"")


@behave.when(
    "the minion is not listed for {seconds:g} seconds and the dispatcher"
    " {event}"
)
def list_again(context, seconds, event):
    harness = context.harness
    harness.run_for(seconds)
    if event == "changes":
        harness.kill(harness.dispatcher())
    context.cut.unreachable = False
    harness.publish(context.cut)


@behave.then("the job is accepted")
def check_accepted(context):
    context.harness.run_until(lambda: context.answers, 3.0)
    assert isinstance(context.answers[0], jobservice.Accepted), context.answers


@behave.then("the job is refused as not run within {seconds:g} seconds")
def check_refused(context, seconds):
    context.harness.run_until(lambda: context.answers, seconds)
    answer = context.answers[0]
    assert isinstance(answer, verdict.Refusal), answer
    assert answer.execution is verdict.Execution.NOT_RUN
    assert answer.status == 503 and answer.retry_after
    context.harness.run_for(3.0)
    assert context.harness.count("begin") == 0


def wait_for_state(harness, entries, state, seconds):
    wanted = job.JobState(state)
    harness.run_until(
        lambda: all(harness.state_of(item, NAME) is wanted for item in entries),
        seconds,
    )


@behave.then(
    'every entry says that the job is "{state}" within {seconds:g} seconds'
)
def check_state(context, state, seconds):
    wait_for_state(context.harness, context.harness.entries, state, seconds)


@behave.then(
    'every other entry says that the job is "{state}" within {seconds:g}'
    " seconds"
)
def check_other_state(context, state, seconds):
    others = [
        item for item in context.harness.entries if item != context.before
    ]
    wait_for_state(context.harness, others, state, seconds)


@behave.step("another entry dispatches within {seconds:g} seconds")
def check_successor(context, seconds):
    harness = context.harness
    harness.run_until(
        lambda: any(
            item.dispatching
            for item in harness.entries
            if item is not context.before
        ),
        seconds,
    )


@behave.then("no machine has been ordered since")
def check_no_orders(context):
    orders = context.harness.machine_service.orders
    assert len(orders) == context.ordered, orders


@behave.then("machines have been ordered since")
def check_orders(context):
    orders = context.harness.machine_service.orders
    assert len(orders) > context.ordered, orders


@behave.then("{count:d} runs began")
def check_begun(context, count):
    assert context.harness.count("begin") == count, context.harness.history


@behave.then("{count:d} tasks run")
def check_running(context, count):
    running = sum(
        len(item.running) for item in context.harness.minions.values()
    )
    assert running == count, running


@behave.then("nothing runs within {seconds:g} seconds")
def check_idle(context, seconds):
    context.harness.run_until(
        lambda: (
            not any(item.running for item in context.harness.minions.values())
        ),
        seconds,
    )


@behave.then("never more than {count:d} tasks run at a time")
def check_limit(context, count):
    most = 0
    for _ in range(200):
        context.harness.run_for(0.02)
        running = sum(
            len(item.running) for item in context.harness.minions.values()
        )
        most = max(most, running)
    assert most == count, most


@behave.then("no rule was broken")
def check_rules(context):
    assert not context.harness.violations, context.harness.violations


@behave.when("a job with one task of {seconds:g} seconds is submitted")
def submit_one_task(context, seconds):
    harness = context.harness
    context.paused = harness.dispatcher()
    harness.submit(
        find_follower(harness), NAME, job_faults.create_steps(1, 1, seconds)
    )


def find_assignment(harness):
    """Returns the stored assignment of the job's task, if there is one."""
    newest = harness.store.newest[ports.Stream.DISPATCH]
    record = newest.get(f"p/{NAME}")
    if record is None:
        return None
    assignments = job.decode_progress(record.value).unwrap().assignments
    return assignments.get((0, 0, 0))


@behave.when(
    "the dispatcher is paused for {seconds:g} seconds while the assignment is"
    " being stored"
)
def pause_while_storing(context, seconds):
    harness = context.harness
    end = harness.clock() + 5.0
    while find_assignment(harness) is None:
        assert harness.clock() < end
        harness.run_for(0.0002)
    context.paused._timers.pause()
    context.minion_id = find_assignment(harness)[1]
    context.pause_seconds = seconds


@behave.when("its successor can't reach the assigned minion")
def cut_successor(context):
    harness = context.harness
    (successor,) = (
        entry for entry in harness.entries if entry is not context.paused
    )
    successor._minions.link(context.minion_id).down = True
    harness.run_for(context.pause_seconds)
    assert successor.dispatching


@behave.when("the dispatcher resumes with {first} first")
def resume_dispatcher(context, first):
    context.paused._timers.resume(responses_first=first == "responses")


@behave.then(
    "the task has started once and no rule is broken after {seconds:g} seconds"
)
def check_one_start(context, seconds):
    harness = context.harness
    harness.run_for(seconds)
    assert not harness.violations, harness.violations
    assert harness.count("begin") == 1, harness.history


@behave.given("a job of {count:d} long-running tasks is at work")
def run_long_job(context, count):
    harness = context.harness
    step = job.Step(
        count=count,
        need=job.Resources(1000, 100),
        long_running=True,
        max_per_minion=1,
        max_unavailable=1,
    )
    harness.submit(find_follower(harness), NAME, [step])
    harness.run_until(lambda: harness.count("begin") == count)


@behave.when(
    "the responses of all minions take {least:g} to {most:g} seconds for"
    " {seconds:g} seconds"
)
def slow_responses(context, least, most, seconds):
    harness = context.harness
    links = [
        entry._minions.link(minion_id)
        for entry in harness.entries
        for minion_id in harness.minions
    ]
    for link in links:
        link.fastest_response, link.slowest_response = least, most

    def end():
        for link in links:
            link.slowest_response = 0.0

    harness.timers.subscribe_once(seconds, end)


@behave.when(
    "{count:d} jobs of 1 step of {tasks:d} tasks of {task_seconds:g} seconds"
    " arrive over {seconds:g} seconds"
)
def send_jobs(context, count, tasks, task_seconds, seconds):
    submit_jobs(context, count, 1, tasks, task_seconds, seconds)


@behave.then("no run was stopped or lost its lease")
def check_no_run_given_up(context):
    outcomes = [
        (at, task.render(), how)
        for kind, at, _, task, how in context.harness.history
        if kind == "end" and how is not run.RunOutcome.DONE
    ]
    assert not outcomes, outcomes


@behave.then("no task has started twice")
def check_started_once(context):
    started = [
        item[3] for item in context.harness.history if item[0] == "begin"
    ]
    twice = {task.render() for task in started if started.count(task) > 1}
    assert not twice, twice


@behave.given("{count:d} sites with troubles drawn from seed {seed:d}")
def draw_sites(context, count, seed):
    context.seeds = [seed + number for number in range(count)]
    context.spare = None
    context.kinds = job_faults.LOSSES
    context.harnesses = []


@behave.when("each site runs for {seconds:g} seconds and then in peace")
def run_sites(context, seconds):
    for seed in context.seeds:
        harness = job_faults.run_site(
            seed, seconds, kinds=context.kinds, spare=context.spare
        )
        context.harnesses.append((seed, harness))


@behave.then("every accepted job of every site is completed")
def check_all_completed(context):
    for seed, harness in context.harnesses:
        for name in harness.taken:
            state = harness.state_of(harness.entries[0], name)
            assert state is job.JobState.COMPLETED, (seed, name, state)


@behave.then("no site broke a rule")
def check_all_rules(context):
    for seed, harness in context.harnesses:
        assert not harness.violations, (seed, harness.violations)


@behave.when(
    "the dispatcher is killed and its minion is unreachable for {seconds:g}"
    " seconds"
)
def kill_with_minion(context, seconds):
    harness = context.harness
    harness.kill(harness.dispatcher())
    minion = next(item for item in harness.minions.values() if item.running)
    minion.unreachable = True
    for entry in harness.entries:
        entry._store.link.down = False
    harness.run_for(seconds)
    minion.unreachable = False


@behave.given('a site without the mechanism "{mechanism}"')
def remove_mechanism(context, mechanism):
    mutant = job_mutants.remove(mechanism)
    mutant.__enter__()
    context.add_cleanup(mutant.__exit__, None, None, None)


@behave.then("a rule was broken")
def check_violated(context):
    assert context.harness.violations


@behave.when("the minions of that job are full with other work from then on")
def fill_minions(context):
    harness = context.harness
    harness.run_until(lambda: harness.count("begin") == 4)
    used = {entry[2] for entry in harness.history if entry[0] == "begin"}
    assert len(used) < len(harness.minions)
    views = harness.dispatcher().elector.driver.dispatcher.views
    for minion_id in used:
        views[minion_id].cordoned = True


@behave.given("{count:d} sites with stale leaders drawn from seed {seed:d}")
def draw_stale_sites(context, count, seed):
    draw_sites(context, count, seed)
    context.kinds = job_faults.STALE_LEADERS


@behave.given("{count:d} sites with delays drawn from seed {seed:d}")
def draw_delayed_sites(context, count, seed):
    draw_sites(context, count, seed)
    context.kinds = job_faults.DELAYS


@behave.given(
    "{count:d} sites with spare machines and troubles drawn from seed {seed:d}"
)
def draw_elastic_sites(context, count, seed):
    draw_sites(context, count, seed)
    context.spare = 4


@behave.when(
    'each site runs for {seconds:g} seconds without the mechanism "{mechanism}"'
)
def run_mutants(context, seconds, mechanism):
    with job_mutants.remove(mechanism):
        for seed in context.seeds:
            harness = job_faults.run_site(
                seed, seconds, kinds=context.kinds, most_failures=10000
            )
            context.harnesses.append((seed, harness))


@behave.then("some site broke a rule")
def check_broken(context):
    assert any(
        harness.violations or harness.timers.failures
        for _, harness in context.harnesses
    )
