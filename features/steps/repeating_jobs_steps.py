"""Steps for jobs that repeat, and for the take-over of many jobs."""

import random
from unittest import mock

import behave

from clementinewood import (
    activejob,
    dispatchdriver,
    identifiers,
    job,
    jobtable,
    ports,
    progressrecord,
    run,
)
from features import linecount
from features.steps import large_jobs_steps, turn_cost_steps

NOW = 2_000_000_000.0
SMALL = job.Resources(1, 1)
DUE = {
    "one of them due": (NOW, 60.0),
    "all of them due": (NOW - 1.0, 0.0),
    "all due, gangs": (NOW - 1.0, 0.0),
    "none of them due": (NOW + 3600.0, 60.0),
    "none due, gangs": (NOW + 3600.0, 60.0),
}


def end_runs(dispatch, orders, sequences):
    """Reports the ends of runs as done."""
    for order in orders:
        name = order.minion_id
        sequences[name] = sequences.get(name, 0) + 1
        row = run.EndedRun(
            sequence=sequences[name],
            task=order.task,
            number=order.number,
            outcome=run.RunOutcome.DONE,
            checkpoint="",
        )
        report = run.MinionReport(
            incarnation=1, clock=1.0, running=(), ended=(row,)
        )
        dispatch.handle_report(name, report, sent=0.0, now=0.0)


def run_passes(dispatch, accepted, passes):
    dispatch.add_job(accepted, job.Progress(), 0.0)
    sequences = {}
    for _ in range(passes):
        orders = turn_cost_steps.plan_and_store(dispatch, wall=NOW)
        dispatch.next_wake(NOW)
        end_runs(dispatch, orders, sequences)


@behave.when(
    "jobs that repeat {few:d} and {many:d} times, {due}, are taken over and"
    " planned {passes:d} times"
)
def plan_repeating(context, few, many, due, passes):
    start, interval = DUE[due]
    step = job.Step(count=2, need=SMALL, gang="gangs" in due)
    context.lines = []
    for occurrences in (few, many):
        dispatch = turn_cost_steps.create_dispatcher(4, job.Resources(16, 16))
        accepted = turn_cost_steps.create_job(
            [step], start=start, interval=interval, occurrences=occurrences
        )
        context.lines.append(
            linecount.count_lines(
                lambda dispatch=dispatch, accepted=accepted: run_passes(
                    dispatch, accepted, passes
                )
            )
        )


@behave.when("one more occurrence ends after {few:d} and after {many:d} others")
def end_one_more(context, few, many):
    context.lines = []
    context.sizes = []
    for others in (few, many):
        dispatch = turn_cost_steps.create_dispatcher(1)
        accepted = turn_cost_steps.create_job(
            [job.Step(count=2, need=SMALL)],
            start=NOW,
            interval=60.0,
            occurrences=2 * many,
        )
        progress = job.Progress()
        dispatch.add_job(accepted, progress, 0.0)
        sequences = {}
        for number in range(others):
            wall = NOW + 60.0 * number
            orders = turn_cost_steps.plan_and_store(dispatch, wall=wall)
            assert len(orders) == 2, len(orders)
            end_runs(dispatch, orders, sequences)
        wall = NOW + 60.0 * others
        orders = turn_cost_steps.plan_and_store(dispatch, wall=wall)
        context.lines.append(
            linecount.count_lines(
                lambda dispatch=dispatch, orders=orders, ends=sequences: (
                    end_runs(dispatch, orders, ends)
                )
            )
        )
        context.sizes.append(len(job.encode_progress(progress)))


@behave.then(
    "the stored progress of the larger one is at most {ratio:g} times as long"
)
def check_sizes(context, ratio):
    few, many = context.sizes
    assert many <= ratio * few, context.sizes


@behave.given("{count:d} random starts and intervals, also fractions and none")
def draw_times(context, count):
    rng = random.Random(5)
    context.timed = [
        turn_cost_steps.create_job(
            [job.Step(count=1)],
            start=rng.choice((0.0, rng.randint(1, 10**12) / 1000.0)),
            interval=rng.choice(
                (0.0, 0.001, 0.1, rng.random(), rng.randint(1, 10**6) / 1000.0)
            ),
            occurrences=rng.choice((1, 2, 7, 50)),
        )
        for _ in range(count)
    ]
    context.random = rng


@behave.then("each count of due occurrences agrees with their times")
def check_due(context):
    for accepted in context.timed:
        times = [accepted.due(each) for each in range(accepted.occurrences)]
        looks = [
            accepted.start - 1.0,
            *times,
            *(time - 1e-7 for time in times),
            context.random.uniform(times[0], times[-1] + 1.0),
            times[-1] + 1e9,
        ]
        for look in looks:
            expected = sum(time <= look for time in times)
            assert accepted.count_due(look) == expected, (accepted, look)


@behave.given("a pool of 1 minions with room for {tasks:d} tasks")
def create_small_pool(context, tasks):
    context.dispatch = turn_cost_steps.create_dispatcher(
        1, job.Resources(tasks, tasks)
    )


@behave.when("a job repeats {count:d} times with 1 task, all at once")
def repeat_at_once(context, count):
    accepted = turn_cost_steps.create_job(
        [job.Step(count=1, need=SMALL)], start=1.0, occurrences=count
    )
    dispatch = context.dispatch
    dispatch.add_job(accepted, job.Progress(), 0.0)
    active = dispatch.jobs[accepted.job_id]
    context.waiting = []
    context.started = []
    sequences = {}
    for _ in range(count):
        orders = turn_cost_steps.plan_and_store(dispatch, wall=NOW)
        context.waiting.append(
            sum(bool(work.pending) for work in active.work.values())
        )
        context.started += [order.task.occurrence for order in orders]
        end_runs(dispatch, orders, sequences)
        if active.is_complete():
            break


@behave.then("at most {count:d} of its occurrences wait at a time")
def check_waiting(context, count):
    assert max(context.waiting) <= count, max(context.waiting)


@behave.then("all {count:d} occurrences run, the earliest first")
def check_order(context, count):
    assert context.started == list(range(count)), context.started[:20]


@behave.when(
    "a job of {steps:d} step of {tasks:d} tasks that repeats {count:d} times"
    " every {interval:g} seconds is submitted"
)
@behave.when(
    "a job of {steps:d} steps of {tasks:d} tasks that repeats {count:d} times"
    " every {interval:g} seconds is submitted"
)
def submit_repeating(context, steps, tasks, count, interval):
    harness = context.harness
    accepted = job.Job(
        job_id=identifiers.JobId("e" * 16),
        queue=identifiers.QueueId("quotes"),
        team=identifiers.TeamId("canvas"),
        spec="",
        steps=tuple(
            job.Step(
                count=tasks,
                need=job.Resources(4, 8),
                estimate=0.4,
                after=(number - 1,) if number else (),
            )
            for number in range(steps)
        ),
        accepted=harness.wall(),
        start=harness.wall() + 0.1,
        interval=interval,
        occurrences=count,
    )
    harness.accepted[accepted.job_id] = accepted
    context.large.append(accepted.job_id)
    answers = []
    harness.entries[0].submit(accepted, 3.0, answers.append)
    harness.run_until(lambda: answers, 3.0)


@behave.then("each occurrence of each task was done once")
def check_each_done_once(context):
    harness = context.harness
    (accepted,) = harness.accepted.values()
    done = [
        entry[3]
        for entry in harness.history
        if entry[0] == "end" and entry[4] is run.RunOutcome.DONE
    ]
    tasks = sum(step.count for step in accepted.steps)
    assert len(done) == len(set(done)) == tasks * accepted.occurrences


@behave.then("no block is left in the store")
def check_no_blocks(context):
    context.harness.run_for(1.0)
    assert not large_jobs_steps.list_blocks(context)


class StoredProgress:
    """The newest records of one job's progress, as the store has them."""

    def __init__(self, accepted):
        self.accepted = accepted
        self.records = {}

    def read(self, extra=()):
        """Returns the progress with further records of a cut append."""
        records = dict(self.records)
        for item in extra:
            records[item.key] = item.value
        table = jobtable.JobTable()
        key = jobtable.render_key(jobtable.RecordKind.JOB, self.accepted.job_id)
        table.apply(
            jobtable.StoredRecord(key, job.encode_job(self.accepted), 0)
        )
        for offset, (key, value) in enumerate(records.items(), 1):
            if value:
                table.apply(jobtable.StoredRecord(key, value, offset))
        return table.find(self.accepted.job_id).read_progress()

    def store(self, items):
        for item in items:
            self.records[item.key] = item.value


@behave.given(
    "a job of {tasks:d} tasks that repeats {count:d} times, stored in one"
    " record"
)
def create_stored_whole(context, tasks, count):
    create_stored(context, tasks, count, 1 << 18)


@behave.given(
    "a job of {tasks:d} tasks that repeats {count:d} times, stored in blocks"
    " of {block:d} tasks"
)
def create_stored_in_blocks(context, tasks, count, block):
    create_stored(context, tasks, count, 1 << 18)
    context.encoder.restore(context.accepted, block, ())


def create_stored(context, tasks, count, size):
    context.accepted = turn_cost_steps.create_job(
        [job.Step(count=tasks)], start=1.0, occurrences=count
    )
    context.encoder = progressrecord.ProgressEncoder(
        ports.StoreLimits(size, 8 * size)
    )
    context.stored = StoredProgress(context.accepted)


@behave.when(
    "its tasks end in random order, seed {seed:d}, and each append is cut off"
    " after each of its records"
)
def end_in_random_order(context, seed):
    rng = random.Random(seed)
    accepted = context.accepted
    progress = job.Progress(job.JobState.RUNNING)
    active = activejob.ActiveJob(accepted, progress, 0, 0.0)
    active.open_steps(NOW)
    left = [
        job.TaskId(accepted.job_id, occurrence, 0, position)
        for occurrence in range(accepted.occurrences)
        for position in range(accepted.steps[0].count)
    ]
    context.lost = []
    context.cuts = 0
    known = []
    while left:
        # Ends come roughly in the order of the occurrences.
        ended = [
            left.pop(rng.randrange(min(len(left), 40)))
            for _ in range(min(len(left), rng.randint(1, 25)))
        ]
        for task in ended:
            active.mark_done(task)
        items = context.encoder.encode(accepted, progress)
        for cut in range(len(items) + 1):
            read = context.stored.read(items[:cut])
            context.cuts += 1
            context.lost += [task for task in known if not read.is_done(task)]
        context.stored.store(items)
        known += ended
    assert active.is_complete()


@behave.then(
    "a leader that takes it over finds each end that was stored before"
)
def check_none_lost(context):
    assert context.cuts > 100, context.cuts
    assert not context.lost, (len(context.lost), context.lost[:5])
    read = context.stored.read()
    assert read.finished >= context.accepted.occurrences - 64, read.finished
    kept = [value for value in context.stored.records.values() if value]
    assert len(kept) < 120, len(kept)


@behave.given(
    "stored progress with a row for each of {count:d} finished occurrences"
)
def create_rows(context, count):
    create_stored(context, 3, 2 * count, 1 << 18)
    progress = job.Progress(job.JobState.RUNNING)
    for occurrence in range(count):
        progress.done[occurrence, 0] = 0b111
    key = jobtable.render_key(
        jobtable.RecordKind.PROGRESS, context.accepted.job_id
    )
    item = ports.KeyedRecord(key, job.encode_progress(progress))
    assert b"finished" not in item.value
    context.stored.store([item])


@behave.when("a leader takes it over and stores it")
def take_over_rows(context):
    progress = context.stored.read()
    activejob.ActiveJob(context.accepted, progress, 0, 0.0)
    context.stored.store(context.encoder.encode(context.accepted, progress))


@behave.then(
    "another leader finds the same {count:d} occurrences finished, without rows"
)
def check_rows(context, count):
    read = context.stored.read()
    assert read.finished == count and not read.done, read
    active = activejob.ActiveJob(context.accepted, read, 0, 0.0)
    active.open_steps(NOW)
    assert min(active.work)[0] == count, min(active.work)


# Take-over.


@behave.given("a site whose store has {count:d} jobs that are not due")
def create_site(context, count):
    context.harness = turn_cost_steps.create_site(
        [[job.Step(count=2, need=SMALL)]] * count,
        delay=1e6,
        interval=60.0,
        occurrences=525_600,
    )
    context.due = []
    context.interrupt = lambda driver: None


@behave.given("{count:d} jobs that are due")
def submit_due(context, count):
    for number in range(count):
        submit_due_job(context, f"{number:016x}".replace("0", "d"))


def submit_due_job(context, name):
    step = job.Step(count=2, need=SMALL, estimate=2.0)
    harness = context.harness
    answers = harness.submit(harness.entries[-1], name, [step])
    harness.run_until(lambda: answers, 3.0)
    context.due.append(name)


@behave.when("its leader is killed")
def kill_leader(context):
    harness = context.harness
    context.turns = turns = []
    take_over_some = dispatchdriver.DispatchDriver._take_over_some
    plan = dispatchdriver.DispatchDriver._plan_now
    context.planned_early = []

    def count_tasks(self, left):
        tasks = []

        def count():
            for number in left:
                tasks.append(number)
                yield number

        complete = take_over_some(self, count())
        turns.append((self, sum(tasks)))
        if len(turns) == 1:
            context.interrupt(self)
        return complete

    def check_plan(self):
        if not self._taken_over:
            context.planned_early.append(self.term)
        plan(self)

    for name, replacement in (
        ("_take_over_some", count_tasks),
        ("_plan_now", check_plan),
    ):
        patch = mock.patch.object(
            dispatchdriver.DispatchDriver, name, replacement
        )
        patch.start()
        context.add_cleanup(patch.stop)
    harness.kill(harness.dispatcher())
    while not turns:
        harness.run_for(0.001)


@behave.then(
    "the successor takes over at most {tasks:d} tasks in each of {turns:d} or"
    " more turns"
)
def check_turns(context, tasks, turns):
    context.harness.run_for(0.5)
    sizes = [size for _, size in context.turns]
    assert len(sizes) >= turns, sizes
    assert max(sizes) <= tasks, sizes


@behave.then("it plans nothing before it has taken over all of them")
def check_planned(context):
    assert not context.planned_early
    driver, _ = context.turns[-1]
    assert driver._taken_over
    assert len(driver.dispatcher.jobs) > 9000, len(driver.dispatcher.jobs)


@behave.then("the jobs that are due are completed within {seconds:g} seconds")
def check_due_completed(context, seconds):
    assert context.due
    harness = context.harness
    harness.run_until(
        lambda: all(
            harness.state_of(harness.entries[0], name) is job.JobState.COMPLETED
            for name in context.due
        ),
        seconds,
    )
    assert not harness.violations, harness.violations[:3]


@behave.when(
    "its leader is killed, and during the take-over one job is cancelled and"
    " another submitted"
)
def interrupt_take_over(context):
    harness = context.harness
    context.cancelled = identifiers.JobId(f"{8999:016x}")

    def interrupt(driver):
        assert not driver._taken_over
        key = jobtable.render_key(jobtable.RecordKind.CANCEL, context.cancelled)
        harness.entries[0]._fold([jobtable.StoredRecord(key, b"1", 1_000_000)])
        step = job.Step(count=2, need=SMALL, estimate=0.5)
        harness.submit(harness.entries[0], "e" * 16, [step])
        context.due.append("e" * 16)

    context.interrupt = interrupt
    kill_leader(context)
    harness.run_for(0.5)


@behave.then("the cancelled job is unknown to the successor's dispatcher")
def check_cancelled(context):
    driver, _ = context.turns[-1]
    assert not driver.dispatcher.knows_job(context.cancelled)
    assert len(driver.dispatcher.jobs) >= 8999
