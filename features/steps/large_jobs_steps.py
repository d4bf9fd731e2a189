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


@behave.given(
    "a site with 3 entries and 6 minions whose store takes records of"
    " {size:d} bytes and calls of {call:d}"
)
def create_site_with_both(context, size, call):
    create_harness(context, ports.StoreLimits(size, call))


@behave.when(
    "a job of {tasks:d} tasks, {count:d} at a time, and then a gang of"
    " {members:d} is submitted"
)
def submit_gang(context, tasks, count, members):
    cpu = len(context.harness.minions) * job_harness.CAPACITY.cpu // count
    first = job.Step(count=tasks, need=job.Resources(cpu, 8), estimate=0.8)
    gang = job.Step(
        count=members,
        need=job.Resources(4, 8),
        estimate=0.8,
        gang=True,
        after=(0,),
    )
    submit(context, [first, gang], context.large)


@behave.when(
    "all entries are killed after {count:d} of the calls that divide its"
    " progress, and start again"
)
def kill_while_dividing(context, count):
    harness = context.harness
    store = harness.store
    names = [entry._minions.name for entry in harness.entries]
    append = store.append
    calls = []

    def kill_all():
        for entry in list(harness.entries):
            harness.kill(entry)

    def cut(stream, items, fence):
        outcome = append(stream, items, fence)
        if any(has_block(item.key) for item in items):
            calls.append(items)
            if len(calls) == count:
                kill_all()
        return outcome

    with mock.patch.object(store, "append", cut):
        harness.run_until(lambda: not harness.entries)
    (accepted,) = harness.accepted.values()
    assert len(harness.done) > accepted.steps[0].count / 2, len(harness.done)
    for name in names:
        harness.add_entry(name)


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
    return [key for key in newest if has_block(key)]


def has_block(key):
    return re.fullmatch(r"p/[0-9a-f]+/\d+", key) is not None


@behave.then("its progress was stored in blocks, which are deleted")
def check_blocks(context):
    context.harness.run_for(1.0)
    records = context.harness.store.records[ports.Stream.DISPATCH]
    keys = {record.key for record in records}
    assert any(has_block(key) for key in keys)
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


# Appends that are cut off.


def get_rows(progress, place):
    return (
        progress.is_done(job.TaskId(identifiers.JobId("a"), *place)),
        progress.failed.get(place),
        progress.failed_runs.get(place),
        progress.assignments.get(place),
        progress.crashed.get(place),
    )


def list_rows(accepted, progress):
    return [
        get_rows(progress, (0, 0, position))
        for position in range(accepted.steps[0].count)
    ]


def change_tasks(accepted, progress, number, positions):
    """Lets tasks go on: some are done, others have failed and run again."""
    progress.state = job.JobState.RUNNING
    for position in positions:
        task = job.TaskId(accepted.job_id, 0, 0, position)
        if progress.is_done(task):
            continue
        progress.assign((0, 0, position), number, LONG_NAME)
        if position % 3 == 0:
            progress.set_done(task)
        else:
            progress.add_failure(task, number)


class Log:
    """Records of one job, and the table of an entry that has read them."""

    def __init__(self, accepted, records=()):
        self.accepted = accepted
        self.records = list(records)

    def read(self):
        """Returns the job's entry in the table."""
        key = jobtable.render_key(jobtable.RecordKind.JOB, self.accepted.job_id)
        table = jobtable.JobTable()
        first = jobtable.StoredRecord(key, job.encode_job(self.accepted), 0)
        table.apply(first)
        for offset, item in enumerate(self.records, 1):
            table.apply(jobtable.StoredRecord(item.key, item.value, offset))
        return table.find(self.accepted.job_id)


class Successor:
    """A leader that has taken the job over from a log."""

    def __init__(self, log, block_tasks):
        limits = ports.StoreLimits(
            block_tasks * progressrecord.MAX_TASK_BYTES, 131072
        )
        self.log = log
        entry = log.read()
        self.progress = entry.read_progress()
        self.encoder = progressrecord.ProgressEncoder(limits)
        self.encoder.restore(
            log.accepted, self.progress.block_tasks, entry.blocks
        )

    def store(self):
        self.log.records += self.encoder.encode(
            self.log.accepted, self.progress
        )


@behave.given(
    "a job of {tasks:d} tasks whose progress is stored {how} with records of"
    " {size:d} bytes"
)
def store_before(context, tasks, how, size):
    accepted = create_large(1, tasks, 1)
    context.log = Log(accepted)
    context.leader = Successor(
        context.log, size // progressrecord.MAX_TASK_BYTES
    )
    counts = {"not at all": 0, "whole": 40, "in blocks": 150}
    if counts[how]:
        change_tasks(
            accepted, context.leader.progress, 1001, range(counts[how])
        )
        context.leader.store()
    assert (len(context.log.records) > 1) == (how == "in blocks")
    context.before = context.leader.progress.copy()


@behave.when(
    "the end of an append that {change} is not stored, from any record on"
)
def cut_append(context, change):
    accepted = context.log.accepted
    stored = list(context.log.records)
    positions = range(20, 300) if change == "divides it" else range(100, 200)
    change_tasks(accepted, context.leader.progress, 1002, positions)
    context.leader.store()
    items = context.log.records[len(stored) :]
    assert len(items) > 5
    context.logs = [
        Log(accepted, stored + items[:count]) for count in range(len(items))
    ]


@behave.then(
    "a leader that takes the job over reads each task as it was before or after"
)
def check_before_or_after(context):
    accepted = context.log.accepted
    before = list_rows(accepted, context.before)
    after = list_rows(accepted, context.leader.progress)
    for log in context.logs:
        read = list_rows(accepted, log.read().read_progress())
        for rows in zip(read, before, after, strict=True):
            assert rows[0] in rows[1:], rows


@behave.then("it reads none of its blocks")
def check_reads_whole(context):
    before = list_rows(context.log.accepted, context.before)
    for log in context.logs:
        read = list_rows(context.log.accepted, log.read().read_progress())
        assert read == before


@behave.then("it reads each block that was stored")
def check_reads_blocks(context):
    for log in context.logs:
        entry = log.read()
        assert entry.progress.block_tasks == 16
        read = entry.read_progress()
        for record in entry.blocks.values():
            part = job.decode_progress(record.value).unwrap()
            for place in part.list_places():
                assert get_rows(read, place) == get_rows(part, place)


@behave.when("it stores some progress whole or in blocks of {size:d} tasks")
def store_some(context, size):
    context.successors = [Successor(log, size) for log in context.logs]
    for successor in context.successors:
        change_tasks(
            context.log.accepted, successor.progress, 2001, range(0, 300, 29)
        )
        successor.store()


@behave.when("it stores much progress")
def store_much(context):
    for successor in context.successors:
        change_tasks(
            context.log.accepted, successor.progress, 2002, range(0, 300, 2)
        )
        successor.store()
        assert successor.log.read().progress.block_tasks


@behave.then("another leader reads the same")
def check_reads_same(context):
    accepted = context.log.accepted
    for successor in context.successors:
        read = successor.log.read().read_progress()
        assert list_rows(accepted, read) == list_rows(
            accepted, successor.progress
        )


@behave.when("it stores the end of the job")
def store_end(context):
    for successor in context.successors:
        successor.progress.state = job.JobState.COMPLETED
        successor.store()


@behave.then("no block is left")
def check_no_block(context):
    for successor in context.successors:
        entry = successor.log.read()
        assert entry.progress.state is job.JobState.COMPLETED
        assert not entry.blocks
