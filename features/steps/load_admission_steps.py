"""Steps for admission by predicted completion."""

import dataclasses

import behave

from clementinewood import (
    completionforecast,
    identifiers,
    job,
    jobservice,
    jobtable,
    loadreport,
    ports,
    schedulingsettings,
    verdict,
)
from features import job_harness, load_peak

LONG = job.Step(count=1, need=job.Resources(8000, 256), estimate=10.0)
SHORT = job.Step(count=1, need=job.Resources(1000, 256), estimate=1.0)


def create_site(context, weight, *, admission=True):
    context.harness = job_harness.JobHarness(
        minions=2,
        scheduling=schedulingsettings.SchedulingSettings(admission=admission),
    )
    load_peak.declare(context.harness, {"canvas": weight})
    context.harness.run_for(5.0)
    context.numbers = iter(range(1, 10_000))


def submit(context, entry, **changes):
    """Submits a job that differs from a short one by `changes`."""
    harness = context.harness
    fields = {
        "job_id": identifiers.JobId(f"{next(context.numbers):016x}"),
        "queue": identifiers.QueueId("quotes"),
        "team": identifiers.TeamId("canvas"),
        "spec": "",
        "steps": (SHORT,),
        "accepted": harness.wall(),
    }
    accepted = job.Job(**{**fields, **changes})
    harness.accepted[accepted.job_id] = accepted
    answers = []
    entry.submit(accepted, 3.0, answers.append)
    harness.run_until(lambda: answers, 5.0)
    return answers[0]


def is_refused_for_load(answer):
    match answer:
        case verdict.Refusal(verdict.Reason.OVERLOADED):
            return True
    return False


@behave.given("a site with admission whose one team is within its rate")
def create_quiet(context):
    create_site(context, 1000.0)


@behave.given("an overloaded site with admission")
@behave.given("an overloaded site without admission")
def overload(context):
    admission = " with " in f" {context.scenario.steps[0].name} "
    create_site(context, 0.001, admission=admission)
    for _ in range(14):
        submit(context, context.harness.entries[0], steps=(LONG,))
    context.harness.run_for(1.5)


@behave.when("one job is submitted at each entry")
def submit_everywhere(context):
    context.answers = [
        submit(context, entry) for entry in context.harness.entries
    ]


@behave.then("the log has no load report and none is refused for load")
def check_quiet(context):
    records = context.harness.store.records[ports.Stream.DISPATCH]
    assert not any(record.key == jobtable.LOAD_KEY for record in records)
    check_none(context)


@behave.then("none is refused for load")
def check_none(context):
    refused = [item for item in context.answers if is_refused_for_load(item)]
    assert not refused, context.answers


@behave.then("each is refused for load with at least 1 whole second to wait")
def check_all(context):
    for answer in context.answers:
        assert is_refused_for_load(answer), answer
        assert answer.status == 429, answer
        assert answer.execution is verdict.Execution.NOT_RUN, answer
        assert answer.retry_after >= 1.0, answer
        assert answer.retry_after == int(answer.retry_after), answer


@behave.then("a long-running job, a timed job and a stored job are not refused")
def check_exempt(context):
    entry = context.harness.entries[1]
    endless = dataclasses.replace(SHORT, long_running=True)
    start = context.harness.wall() + 60.0
    known = identifiers.JobId(f"{1:016x}")
    for changes in (
        {"steps": (endless,)},
        {"start": start},
        {"job_id": known},
    ):
        answer = submit(context, entry, **changes)
        assert isinstance(answer, jobservice.Accepted), (changes, answer)


@behave.when("the leader is lost for {seconds:g} s")
def lose_leader(context, seconds):
    context.harness.kill(context.harness.dispatcher())
    context.harness.run_for(seconds)


@behave.when("the store is unresponsive")
def stop_store(context):
    for entry in context.harness.entries:
        entry._store.link.down = True
    context.harness.run_for(1.6)


def store_report(context, value):
    """Stores a report as each entry folds it, in place of the leader's."""
    for entry in context.harness.entries:
        entry._admission.stop_reporting()
    offset = context.harness.store.put(
        ports.Stream.DISPATCH, jobtable.LOAD_KEY, value
    )
    context.harness.run_until(
        lambda: all(
            entry.table._offsets.get(jobtable.LOAD_KEY, -1) >= offset
            for entry in context.harness.entries
        ),
        5.0,
    )


@behave.when("a report of an older term is read")
def read_old_report(context):
    table = context.harness.entries[0].table
    old = dataclasses.replace(table.load, term=table.leader.term - 1)
    store_report(context, loadreport.encode(old))


@behave.when("a malformed report is read")
def read_malformed_report(context):
    store_report(context, b'{"term": 1, "pools": 7, "over_rate": []}')


@behave.when("a follower is cut off for {seconds:g} s")
def cut_follower(context, seconds):
    context.entry = next(
        item for item in context.harness.entries if not item.dispatching
    )
    context.entry._store.link.down = True
    context.harness.run_for(seconds)


@behave.then("it does not refuse for load")
def check_follower(context):
    answer = submit(context, context.entry)
    assert not is_refused_for_load(answer), answer


@behave.then(
    "8 refusals at once get rising times to wait, also of another team"
)
def check_retries(context):
    load = loadreport.PoolLoad(
        pool=identifiers.PoolId("quotes"),
        cores=16.0,
        feasible_wait=0.0,
        wait=0.0,
        over_rate_wait=30.0,
        ratios={},
    )
    found = completionforecast.Prediction(wait=30.0, excess=4.2, work=16.0)
    retries = completionforecast.RetryPlanner()
    first, second = identifiers.TeamId("canvas"), identifiers.TeamId("quills")
    waits = [retries.plan(first, load, found, 100.0) for _ in range(8)]
    assert waits == [5, 6, 7, 8, 9, 10, 11, 12], waits
    # A team waits for its own excess only.
    assert retries.plan(second, load, found, 100.0) == 5


# Replay.


@behave.when("a peak is replayed with and without admission")
def replay(context):
    context.callers = {}
    for name, admission in (("present", False), ("admission", True)):
        callers = load_peak.Peak(admission=admission).run()
        context.callers[name] = callers
        print("\n".join(load_peak.render(name, callers)))
    context.bound = load_peak.compute_bound(context.callers["admission"])
    print(f"bound: {context.bound} callers in time")


def count(context, name, kind):
    return sum(item.classify() == kind for item in context.callers[name])


@behave.then(
    "no fewer callers are served in time, and no more than the bound allows"
)
def check_in_time(context):
    served = count(context, "admission", "in time")
    assert count(context, "present", "in time") <= served <= context.bound


@behave.then("fewer jobs are accepted in vain")
def check_vain(context):
    vain = count(context, "admission", "useless")
    assert vain < count(context, "present", "useless"), vain


@behave.then("refused callers learn it within {seconds:g} seconds")
def check_learnt(context, seconds):
    first = [
        item.refusals[0][0] - item.first
        for item in context.callers["admission"]
        if item.refusals
    ]
    assert first and max(first) <= seconds, max(first, default=None)
