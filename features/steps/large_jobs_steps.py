"""Steps for jobs whose records come near the limits of the store."""

import dataclasses
import re
from unittest import mock

import behave

from clementinewood import (
    identifiers,
    job,
    jobtable,
    ports,
    progressrecord,
    run,
    verdict,
)
from features import job_faults, job_harness

ORDINARY = job_faults.create_steps(2, 4)
LONG_NAME = "i-" + "0123456789" * 20


def create_harness(context, limits):
    context.harness = job_harness.JobHarness(
        entries=3, minions=6, limits=limits
    )
    context.harness.run_for(2.0)
    context.ordinary = []
    context.large = []
    context.appends = []
    store = context.harness.store
    append = store.append

    def record(stream, items, fence):
        outcome = append(stream, items, fence)
        context.appends.append((stream, items, outcome))
        return outcome

    store.append = record


@behave.given(
    "a site with 3 entries and 6 minions whose store takes records of"
    " {size:d} bytes"
)
def create_site(context, size):
    create_harness(context, ports.StoreLimits(size, 8 * size))


@behave.given(
    "a site with 3 entries and 6 minions whose store takes calls of {size:d}"
    " bytes"
)
def create_site_with_calls(context, size):
    create_harness(context, ports.StoreLimits(size // 4, size))


@behave.given("dispatchers that do not divide progress")
def drop_blocks(context):
    def encode(self, accepted, progress):
        key = jobtable.render_key(jobtable.RecordKind.PROGRESS, accepted.job_id)
        return [ports.KeyedRecord(key, job.encode_progress(progress))]

    patch = mock.patch.object(progressrecord.ProgressEncoder, "encode", encode)
    patch.start()
    context.add_cleanup(patch.stop)


def submit(context, steps, group):
    harness = context.harness
    name = f"{len(context.ordinary) + len(context.large):016x}"
    entry = harness.entries[len(name) % len(harness.entries)]
    answers = harness.submit(entry, name, steps)
    group.append(name)
    return answers


@behave.when("{count:d} ordinary jobs are submitted")
def submit_ordinary(context, count):
    for _ in range(count):
        submit(context, ORDINARY, context.ordinary)
        context.harness.run_for(0.3)


@behave.when(
    "a job of {steps:d} steps{order} with {tasks:d} small tasks each is"
    " submitted"
)
def submit_large(context, steps, order, tasks):
    submit_steps(context, steps, tasks, in_turn=order == " in turn")


@behave.when(
    "a job of {steps:d} steps with {tasks:d} small tasks each is submitted"
)
def submit_plain(context, steps, tasks):
    submit_steps(context, steps, tasks, in_turn=False)


def submit_steps(context, steps, tasks, *, in_turn):
    answers = submit(
        context,
        [
            job.Step(
                count=tasks,
                need=job.Resources(4, 8),
                estimate=1.5,
                after=(number - 1,) if in_turn and number else (),
            )
            for number in range(steps)
        ],
        context.large,
    )
    context.harness.run_until(lambda: answers, 3.0)


@behave.when(
    "{count:d} jobs of {tasks:d} small tasks each are submitted at once"
)
def submit_many(context, count, tasks):
    step = job.Step(count=tasks, need=job.Resources(4, 8), estimate=1.5)
    for _ in range(count):
        submit(context, [step], context.large)


@behave.when("the dispatcher is killed after 1 second")
def kill_after_second(context):
    context.harness.run_for(1.0)
    context.harness.kill(context.harness.dispatcher())


def change_dispatcher(context, change):
    harness = context.harness
    harness.run_for(0.7)
    change(harness.dispatcher())
    harness.run_for(0.1)
    harness.run_until(lambda: harness.dispatcher() is not None)


@behave.when("the dispatcher is killed 3 times while its tasks run")
def kill_often(context):
    harness = context.harness
    for number in range(3):
        change_dispatcher(context, harness.kill)
        harness.add_entry(f"entry-{number + 3}")


@behave.when("the dispatcher is killed with 2 minions while its tasks run")
def kill_with_minions(context):
    harness = context.harness
    harness.run_for(0.7)
    for minion in list(harness.minions.values())[:2]:
        minion.crash()
    change_dispatcher(context, harness.kill)


@behave.when("the dispatcher stops 3 times while its tasks run")
def stop_often(context):
    for number in range(3):
        change_dispatcher(context, lambda entry: entry.stop())
        context.harness.add_entry(f"entry-{number + 3}")


@behave.when("the store is away for 3 seconds while its tasks run")
def lose_store(context):
    harness = context.harness
    harness.run_for(0.7)
    for entry in harness.entries:
        entry._store.link.refuses = True
    harness.run_for(3.0)
    for entry in harness.entries:
        entry._store.link.refuses = False
    harness.run_for(2.0)


@behave.when("the history of the dispatch log is dropped while its tasks run")
def drop_history(context):
    harness = context.harness
    harness.run_for(0.7)
    followers = [item for item in harness.entries if not item.dispatching]
    for entry in followers:
        entry._store.link.refuses = True
    harness.run_for(2.0)
    harness.store.drop_history(ports.Stream.DISPATCH)
    for entry in followers:
        entry._store.link.refuses = False
    harness.run_for(0.5)
    harness.kill(harness.dispatcher())


@behave.when(
    "the dispatcher is killed as soon as the end of the job is stored without"
    " the deletion"
)
def lose_deletion(context):
    harness = context.harness
    name = context.large[0]

    def keep_blocks(self, job_id):
        return []

    with mock.patch.object(
        progressrecord.ProgressEncoder, "_delete_blocks", keep_blocks
    ):
        await_completed(context, [name], 60.0)
        harness.kill(harness.dispatcher())
    assert list_blocks(context)
    harness.run_for(4.0)


def await_completed(context, names, seconds):
    harness = context.harness
    completed = job.JobState.COMPLETED

    def are_completed():
        return all(
            harness.state_of(harness.entries[0], name) is completed
            for name in names
        )

    harness.run_until(are_completed, seconds)


@behave.then("each ordinary job is completed within {seconds:g} seconds")
def check_ordinary(context, seconds):
    assert context.ordinary
    await_completed(context, context.ordinary, seconds)


@behave.then("the large job is completed within {seconds:g} seconds")
@behave.then("the large jobs are completed within {seconds:g} seconds")
@behave.then("all these jobs are completed within {seconds:g} seconds")
def check_large(context, seconds):
    assert context.large
    await_completed(context, context.large, seconds)


def list_blocks(context):
    newest = context.harness.store.newest[ports.Stream.DISPATCH]
    return [key for key in newest if re.fullmatch(r"p/[0-9a-f]+/\d+", key)]


@behave.then("its progress was stored in blocks, which are deleted")
def check_blocks(context):
    context.harness.run_for(1.0)
    records = context.harness.store.records[ports.Stream.DISPATCH]
    keys = {record.key for record in records}
    assert any(re.fullmatch(r"p/[0-9a-f]+/\d+", key) for key in keys)
    assert not list_blocks(context), list_blocks(context)[:5]


@behave.then("the store has refused no append")
def check_not_refused(context):
    assert not context.harness.store.refused


@behave.then("each task of the large jobs was done once")
def check_done_once(context):
    harness = context.harness
    done = {}
    for kind, _, _, task, how in harness.history:
        if kind == "end" and how is run.RunOutcome.DONE:
            done[task] = done.get(task, 0) + 1
    tasks = sum(
        step.count
        for name in context.large
        for step in harness.accepted[identifiers.JobId(name)].steps
    )
    large = {
        task: count for task, count in done.items() if task.job in context.large
    }
    assert len(large) == tasks and set(large.values()) == {1}


def list_divided(context):
    """Returns each call that continues an append of the dispatcher."""
    found = []
    for (_, before, _), (_, items, _) in zip(
        fenced := list_fenced(context), fenced[1:], strict=False
    ):
        size = sum(item.size for item in (*before, items[-1]))
        if size > context.harness.store.limits.call_bytes - 2048:
            found.append(items)
    return found


def list_fenced(context):
    return [
        entry for entry in context.appends if entry[0] is ports.Stream.DISPATCH
    ]


@behave.then("some append was divided")
def check_divided(context):
    assert list_divided(context)


@behave.then("each call after the first one renewed the leadership")
def check_renewals(context):
    for items in list_divided(context):
        keys = [item.key for item in items]
        assert jobtable.LEADER_KEY in keys, keys[:5]


@behave.when(
    "a job with a long list of labels is submitted beside ordinary ones"
)
def submit_labels(context):
    step = dataclasses.replace(ORDINARY[0], label="x" * 400)
    context.answers = submit(context, [step] * 60, context.large)
    context.others = [
        submit(context, ORDINARY, context.ordinary) for _ in range(3)
    ]
    context.harness.run_for(0.5)


@behave.then("it is refused as malformed, and the detail names {size:d} bytes")
def check_refused(context, size):
    (refusal,) = context.answers
    assert refusal.reason is verdict.Reason.MALFORMED, refusal
    assert refusal.execution is verdict.Execution.NOT_RUN, refusal
    assert str(size) in refusal.detail, refusal


@behave.then("the ordinary ones are accepted")
def check_others(context):
    await_completed(context, context.ordinary, 10.0)


@behave.then("no ordinary job has started")
def check_none_started(context):
    started = {
        entry[3].job for entry in context.harness.history if entry[0] == "begin"
    }
    assert not started.intersection(context.ordinary)
    assert context.harness.store.refused


# Records alone.


def create_large(steps, tasks, times):
    step = job.Step(count=tasks, need=job.Resources(1, 1))
    return job.Job(
        job_id=identifiers.JobId("00000000000000aa"),
        queue=identifiers.QueueId("quotes"),
        team=identifiers.TeamId("canvas"),
        spec="",
        steps=(step,) * steps,
        accepted=0.0,
        occurrences=times,
    )


def fill(accepted, crash, every=1):
    progress = job.Progress(job.JobState.RUNNING)
    places = [
        (occurrence, number, position)
        for occurrence in range(accepted.occurrences)
        for number, step in enumerate(accepted.steps)
        for position in range(step.count)
    ]
    minion_id = identifiers.MinionId("i-7f3a91c2d0")
    for place in places[::every]:
        task = job.TaskId(accepted.job_id, *place)
        progress.assign(place, 2001, minion_id)
        progress.add_failure(task, 1001)
        if crash is not None:
            progress.set_crashes(place, crash)
    for place in places[:: 3 * every]:
        progress.set_done(job.TaskId(accepted.job_id, *place))
    return progress


@behave.given(
    "a job of {steps:d} steps of {tasks:d} tasks whose progress is stored in"
    " one record"
)
def create_whole(context, steps, tasks):
    context.accepted = create_large(steps, tasks, 1)
    progress = fill(context.accepted, None)
    key = jobtable.render_key(
        jobtable.RecordKind.PROGRESS, context.accepted.job_id
    )
    table = jobtable.JobTable()
    job_key = jobtable.render_key(
        jobtable.RecordKind.JOB, context.accepted.job_id
    )
    whole = [
        (job_key, job.encode_job(context.accepted)),
        (key, job.encode_progress(progress)),
    ]
    for offset, (record_key, value) in enumerate(whole):
        table.apply(jobtable.StoredRecord(record_key, value, offset))
    entry = table.find(context.accepted.job_id)
    context.progress = entry.read_progress()
    assert context.progress == progress
    # A task that goes on must not be the only one that is stored again.
    context.progress.assign((0, 1, 699), 3001, identifiers.MinionId("m1"))


@behave.given(
    "a job of {steps:d} steps of {tasks:d} tasks, {times:d} times, of which"
    " each has failed and crashed"
)
def create_failed(context, steps, tasks, times):
    context.accepted = create_large(steps, tasks, times)
    crash = job.CrashRecord(1, 1, 1001, (identifiers.MinionId("i-7f3a91c2"),))
    context.progress = fill(context.accepted, crash)


@behave.given(
    "a job of {steps:d} steps of {tasks:d} tasks, {times:d} times, of which"
    " each has crashed 5 minions with long names"
)
def create_crashed(context, steps, tasks, times):
    context.accepted = create_large(steps, tasks, times)
    names = (identifiers.MinionId(LONG_NAME),) * 5
    context.progress = fill(
        context.accepted, job.CrashRecord(5, 2, 1001, names)
    )


@behave.when("a leader whose store takes records of {size:d} bytes stores it")
def store_progress(context, size):
    context.size = size
    limits = ports.StoreLimits(size, 8 * size)
    context.encoder = progressrecord.ProgressEncoder(limits)
    context.items = context.encoder.encode(context.accepted, context.progress)
    assert len(context.items) > 2


@behave.when("another leader reads it")
def read_progress(context):
    table = jobtable.JobTable()
    key = jobtable.render_key(jobtable.RecordKind.JOB, context.accepted.job_id)
    records = [
        (key, job.encode_job(context.accepted)),
        *((item.key, item.value) for item in context.items),
    ]
    for offset, (record_key, value) in enumerate(records):
        table.apply(jobtable.StoredRecord(record_key, value, offset))
    entry = table.find(context.accepted.job_id)
    context.read = entry.read_progress()
    assert context.read.block_tasks
    context.read.block_tasks = context.progress.block_tasks


@behave.then("both know the same progress")
def check_same(context):
    assert context.read == context.progress


@behave.then("both know the same counts of crashes")
def check_same_counts(context):
    def strip(crashed):
        return {
            place: dataclasses.replace(record, minions=())
            for place, record in crashed.items()
        }

    assert strip(context.read.crashed) == strip(context.progress.crashed)
    assert context.read.assignments == context.progress.assignments


@behave.then("no record is larger than that")
def check_sizes(context):
    assert max(item.size for item in context.items) <= context.size


@behave.when("one more task fails")
def fail_one(context):
    places = sorted(context.progress.assignments)
    task = job.TaskId(context.accepted.job_id, *places[len(places) // 2])
    context.progress.add_failure(task, 2001)
    context.items = context.encoder.encode(context.accepted, context.progress)


@behave.then("only its block and the state are stored again")
def check_one_block(context):
    assert len(context.items) == 2, [item.key for item in context.items]
