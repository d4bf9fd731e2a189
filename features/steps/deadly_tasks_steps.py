"""Steps for tasks that crash the minions that start them."""

import collections
import dataclasses
from unittest import mock

import behave

from clementinewood import dispatcher, identifiers, job, run, suspicion
from features import job_faults, job_harness

OTHERS = 12
MINION = identifiers.MinionId("m0")


@behave.given("minions that are being emptied when they crash")
def empty_minions(context):
    assess = dispatcher.Dispatcher._assess_crash

    def assess_cordoned(self, view, *arguments, **options):
        view.cordoned = True
        assess(self, view, *arguments, **options)

    patch = mock.patch.object(
        dispatcher.Dispatcher, "_assess_crash", assess_cordoned
    )
    patch.start()
    context.add_cleanup(patch.stop)


def name_job(number):
    return identifiers.JobId(f"{number:016x}")


def submit_others(context, count=OTHERS):
    harness = context.harness
    context.others = [name_job(0x100 + number) for number in range(count)]
    for name in context.others:
        harness.submit(
            harness.entries[0], name, job_faults.create_steps(2, 4, 1.0)
        )


def submit_deadly(context, names, positions, step):
    harness = context.harness
    context.deadly = names
    for name in names:
        harness.deadly.update(
            job.TaskId(name, 0, 0, position) for position in positions
        )
        harness.submit(harness.entries[1], name, [step])


def create_step(**fields):
    return job.Step(
        count=6, need=job.Resources(1000, 100), estimate=0.5, **fields
    )


@behave.when("jobs run beside one with a deadly task")
def submit_beside(context):
    submit_others(context)
    submit_deadly(context, [name_job(1)], [0], create_step())
    context.harness.run_for(0.05)


@behave.when("the dispatcher is killed after each crash of a minion, twice")
def kill_after_crashes(context):
    harness = context.harness
    for count in (1, 2):
        harness.run_until(
            lambda count=count: (
                len(harness.crashes) >= count or is_failed(harness, name_job(1))
            )
        )
        harness.run_for(0.05)
        harness.run_until(lambda: harness.dispatcher() is not None)
        before = harness.dispatcher()
        harness.kill(before)
        harness.add_entry(f"next-{count}")


@behave.when("a job whose {count:d} tasks are all deadly is submitted")
def submit_all_deadly(context, count):
    submit_deadly(context, [name_job(1)], range(count), create_step())


@behave.when(
    "{count:d} jobs with a deadly task are submitted at once beside others"
)
def submit_several(context, count):
    submit_others(context)
    names = [name_job(number + 1) for number in range(count)]
    submit_deadly(context, names, [0], create_step())


@behave.when("a long-running job with a deadly task is submitted")
def submit_long_running(context):
    submit_deadly(context, [name_job(1)], [0], create_step(long_running=True))


@behave.when("all minions of a zone crash at once, four times")
def crash_zone(context):
    harness = context.harness
    for number in range(4):
        harness.run_for(0.4)
        for minion in harness.minions.values():
            if minion.zone == f"zone-{number % 3}" and not minion.unreachable:
                minion.crash()
        harness.run_for(job_harness.CRASH_SECONDS)


def is_failed(harness, name):
    return harness.state_of(harness.entries[0], name) is job.JobState.FAILED


@behave.then("the deadly job fails within {seconds:g} seconds")
@behave.then("the deadly jobs fail within {seconds:g} seconds")
def check_failed(context, seconds):
    harness = context.harness
    harness.run_until(
        lambda: all(is_failed(harness, name) for name in context.deadly),
        seconds,
    )
    harness.run_for(5.0)


@behave.then("at most {count:d} minions crashed under a deadly task")
def check_crashes(context, count):
    crashes = collections.Counter(context.harness.crashes)
    assert crashes and max(crashes.values()) <= count, crashes


@behave.then("at most {count:d} minions crashed under deadly tasks in total")
def check_total(context, count):
    assert 0 < len(context.harness.crashes) <= count, context.harness.crashes


@behave.then("all other jobs are completed")
def check_others(context):
    harness = context.harness

    def list_states():
        return {
            harness.state_of(harness.entries[0], name)
            for name in context.others
        }

    harness.run_until(lambda: list_states() <= set(job.TERMINAL), 30.0)
    assert list_states() == {job.JobState.COMPLETED}, list_states()


@behave.given(
    "a zone of {size:d} minions of which {crashed:d} crash within {seconds:g}"
    " seconds"
)
def create_zone(context, size, crashed, seconds):
    context.zone = [identifiers.MinionId(f"m{n}") for n in range(size)]
    context.history = suspicion.CrashHistory()
    context.domains = (suspicion.Domain("zone", "zone-0"),)
    context.history.set_domains(context.domains for _ in context.zone)
    for number in range(crashed):
        at = 100.0 + seconds * number / max(1, crashed - 1)
        context.history.add(at, context.zone[number], context.domains)


@behave.then("the crash of its first minion {does} shared")
def check_shared(context, does):
    shared = context.history.is_shared(100.0, context.domains)
    assert shared is (does == "is"), does


def create_run(name, ordered_at, number=2, **fields):
    return run.Run(
        task=job.TaskId(name_job(name), 0, 0, 0),
        number=number,
        minion_id=MINION,
        team=identifiers.TeamId("canvas"),
        queue=identifiers.QueueId("quotes"),
        room=job.Resources(),
        need=job.Resources(),
        last_ordered_at=ordered_at,
        **fields,
    )


@behave.given("a task that was suspected of {count:d} crashes")
def create_record(context, count):
    context.record = job.CrashRecord(crashes=count, suspected=count, number=1)


@behave.given("it started {how}")
def start_suspect(context, how):
    if how == "in a run that counted":
        context.record = dataclasses.replace(context.record, number=2)
    isolated = how in ("alone", "in a group", "in a run that counted")
    context.suspect = create_run(
        1, 100.0, isolated=isolated, alone=isolated and how != "in a group"
    )


@behave.given("another task started {seconds:g} seconds before the crash")
def start_other(context, seconds):
    context.other_age = seconds


@behave.when("its minion crashes {seconds:g} seconds after its start")
def crash_minion(context, seconds):
    at = 100.0 + seconds
    other = create_run(2, at - context.other_age)
    context.findings = suspicion.assess_crash(
        MINION, [(context.suspect, context.record), (other, None)], at
    )


@behave.then("the task {does} given up")
def check_given_up(context, does):
    given_up = any(
        finding.to_blame
        for finding in context.findings
        if finding.item is context.suspect
    )
    assert given_up is (does == "is"), context.findings
    assert not any(
        finding.to_blame
        for finding in context.findings
        if finding.item is not context.suspect
    )


@behave.given(
    "a zone of {size:d} minions, on {started:d} of which suspects have just"
    " started"
)
def create_suspect_zone(context, size, started):
    zone = suspicion.Domain("zone", "a")
    context.crash_history = suspicion.CrashHistory()
    context.crash_history.set_domains([(zone,)] * size)
    context.allowed = context.crash_history.allows_group(
        (zone,), {zone: started}
    )


@behave.then("a group of suspects may start on another one")
def check_group_allowed(context):
    assert context.allowed


@behave.then("a group of suspects may not start on another one")
def check_group_not_allowed(context):
    assert not context.allowed
