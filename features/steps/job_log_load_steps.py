"""Steps for loading the job log over a thin link."""

import types

import behave

from clementinewood import (
    catalog,
    identifiers,
    job,
    jobservice,
    jobtable,
    metric,
    ports,
)
from clementinewood_platform import storeclient
from features import job_harness, loop, thin_store

LOADED_STREAMS = (
    ports.Stream.JOBS,
    ports.Stream.DISPATCH,
    ports.Stream.DECLARATIONS,
)

MINION = identifiers.MinionId("minion-of-a-thin-site")

TIMEOUT_SECONDS = 3.0
"""How long a caller waits for an answer."""

DECLARED = ports.Declarations(
    catalog.Configuration(version=1, queues={}, pools={}, teams={}, keys={}),
    frozenset(),
    (),
)


def create_job(job_id, spec=""):
    return job.Job(
        job_id=identifiers.JobId(job_id),
        queue=identifiers.QueueId("quotes"),
        team=identifiers.TeamId("canvas"),
        spec=spec,
        steps=(job.Step(count=1),),
        accepted=1e9,
    )


def render_job(size):
    def render(spec):
        return job.encode_job(create_job("", spec))

    return render("x" * (size - len(render(""))))


def render_progress(size):
    progress = job.Progress(job.JobState.RUNNING)
    while True:
        place = (0, 0, len(progress.assignments))
        progress.assignments[place] = (1, MINION)
        value = job.encode_progress(progress)
        if len(value) >= size:
            return value


@behave.given("a link of {rate:d} bytes/s to a store")
def create_store(context, rate):
    context.loop = loop.Loop()
    context.add_cleanup(context.loop.close)
    context.store = thin_store.ThinStore(
        context.loop.sockets, context.loop.timers, rate=rate
    )
    context.store.log.put(ports.Stream.DECLARATIONS, "config", b"1")


@behave.given(
    "{count:d} jobs of {size:d} bytes with {progress:d} bytes of progress in"
    " the store"
)
@behave.when(
    "{count:d} jobs of {size:d} bytes with {progress:d} bytes of progress are"
    " stored"
)
def put_jobs(context, count, size, progress):
    """Stores jobs of this size, and progress of at least this size."""
    put = context.store.log.put
    job_value, progress_value = render_job(size), render_progress(progress)
    first = len(context.store.log.newest[ports.Stream.JOBS])
    context.sent_before = context.store.sent_bytes
    context.stored_bytes = count * (len(job_value) + len(progress_value))
    for number in range(first, first + count):
        job_id = identifiers.JobId(f"{number:016x}")
        put(
            ports.Stream.JOBS,
            jobtable.render_key(jobtable.RecordKind.JOB, job_id),
            job_value,
        )
        put(
            ports.Stream.DISPATCH,
            jobtable.render_key(jobtable.RecordKind.PROGRESS, job_id),
            progress_value,
        )


@behave.when(
    "after {seconds:d} s, {count:d} jobs of {size:d} bytes with {progress:d}"
    " bytes of progress are stored"
)
def put_later_jobs(context, seconds, count, size, progress):
    context.loop.run_for(seconds)
    put_jobs(context, count, size, progress)


@behave.when("after {seconds:d} s, a caller submits a job")
def submit_job(context, seconds):
    context.loop.run_for(seconds)
    assert not context.service.read_readiness()[0], "the load has ended"
    context.answers = []
    context.service.submit(
        create_job("a" * 16), TIMEOUT_SECONDS, context.answers.append
    )


@behave.then("the entry has sent the job to the store")
def expect_append(context):
    context.loop.run_until(lambda: context.answers)
    assert context.store.appends, context.answers


@behave.when("after {seconds:d} s, the store's history expires")
def drop_history(context, seconds):
    context.loop.run_for(seconds)
    for stream in LOADED_STREAMS:
        context.store.log.drop_history(stream)


@behave.given("the store {fault} in the middle of page {number:d} of the jobs")
def fail_page(context, fault, number):
    context.store.fail_page(ports.Stream.JOBS, number, thin_store.Fault(fault))


@behave.when("an entry starts")
def start_entry(context):
    platform = types.SimpleNamespace(declared=DECLARED, minions={})
    context.service = jobservice.JobService(
        identifiers.EntryId("edge-burnie-2"),
        store=storeclient.StoreClient(
            context.loop.sockets, context.loop.timers, context.store.address
        ),
        minions=None,
        machines=None,
        policy=None,
        decoder=job_harness.Decoder(platform),
        timers=context.loop.timers,
        metrics=metric.Metrics(),
        wall=context.loop.clock,
        random_fraction=lambda: 0.5,
    )
    context.service.start()


@behave.given("an entry that is ready")
def start_ready_entry(context):
    start_entry(context)
    expect_ready(context, 15)


@behave.given("a caller that asks it about an unknown job every {seconds:g} s")
def ask_about_unknown_job(context, seconds):
    unknown = identifiers.JobId("f" * 16)
    context.loop.timers.subscribe_every(
        seconds,
        lambda: context.service.describe(unknown, lambda answer: None),
    )


def wait_until(context, is_done, seconds, describe):
    """Runs until `is_done()`; fails after `seconds` of the manual clock."""
    clock = context.loop.clock
    end = clock() + seconds
    context.loop.run_until(lambda: is_done() or clock() > end)
    assert context.loop.timers.failures == 0, "a callback failed"
    assert context.loop.sockets.failures == 0, "a receiver failed"
    assert is_done(), (
        f"not within {seconds} s: {describe()}; the store had:"
        f" {context.store.describe_work()}"
    )


@behave.then("it is ready within {seconds:d} s")
def expect_ready(context, seconds):
    service = context.service
    wait_until(
        context,
        lambda: service.read_readiness()[0],
        seconds,
        lambda: service.read_readiness()[1],
    )


@behave.then("the store has sent less than {factor:d} times the log")
def expect_little_sent(context, factor):
    size = context.store.measure_load(LOADED_STREAMS)
    sent = context.store.sent_bytes
    assert sent < factor * size, f"sent {sent} bytes for {size}"


@behave.then("the store has sent less than {factor:g} times the new records")
def expect_new_records_once(context, factor):
    sent = context.store.sent_bytes - context.sent_before
    assert sent < factor * context.stored_bytes, (
        f"sent {sent} bytes for {context.stored_bytes}"
    )


@behave.then("only page {number:d} of the jobs was requested twice")
def expect_one_repeat(context, number):
    requests = context.store.count_requests(ports.Stream.JOBS)
    expected = [1] * len(requests)
    expected[number - 1] = 2
    assert requests == expected, f"requests for each page: {requests}"


@behave.then("after {seconds:d} s, every page was requested once")
def expect_no_repeat(context, seconds):
    context.loop.run_for(seconds)
    for stream in LOADED_STREAMS:
        requests = context.store.count_requests(stream)
        assert set(requests) == {1}, f"{stream.value}: {requests}"


@behave.then("the entry knows all {count:d} jobs within {seconds:d} s")
def expect_known(context, count, seconds):
    def count_known():
        return sum(
            entry.accepted is not None and entry.state is job.JobState.RUNNING
            for entry in context.service.table
        )

    wait_until(
        context,
        lambda: count_known() == count,
        seconds,
        lambda: f"knows {count_known()}",
    )
