"""Steps for admission by predicted completion."""

import contextlib
import dataclasses
import io
import json
from unittest import mock

import behave

from clementinewood import (
    catalog,
    cli,
    command_queues,
    completionforecast,
    identifiers,
    job,
    jobservice,
    jobtable,
    loadreport,
    metric,
    ports,
    run,
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


@behave.then("the newest load report is of the successor's term")
def check_term(context):
    for entry in context.harness.entries:
        assert entry.table.leader.term == entry.table.load.term == 2
        assert entry.table.load.pools


@behave.when("the team goes on beyond its rate")
def go_on(context):
    # A successor doesn't know which of the jobs found were beyond the rate.
    for _ in range(14):
        submit(context, context.harness.entries[0], steps=(LONG,))
    context.harness.run_for(1.5)


@behave.given("the other entries refuse jobs for load for {seconds:d} seconds")
def refuse_elsewhere(context, seconds):
    refusal = verdict.Refusal(
        verdict.Reason.OVERLOADED, retry_after=float(seconds)
    )
    for entry in context.site.entries[1:]:
        entry.service._admission.admit = (
            lambda accepted, on_admitted, on_refused: on_refused(refusal)
        )


@behave.then("the caller is to return after {seconds:d} seconds")
def check_retry_after(context, seconds):
    headers = dict(context.answer[1])
    assert headers[b"retry-after"] == b"%d" % seconds, headers


@behave.then("one other entry was asked")
def check_attempts(context):
    assert context.site.count_attempts() == 1, context.site.count_attempts()


@behave.when("an entry takes every report as usable")
def skip_checks(context):
    context.entry = getattr(context, "entry", context.harness.entries[1])
    # The store answers again, so that only the report may be too old.
    context.entry._store.link.down = False
    patch = mock.patch.object(loadreport, "is_usable", lambda *_, **__: True)
    patch.start()
    context.add_cleanup(patch.stop)


@behave.then("it refuses for load")
def check_mutant(context):
    assert is_refused_for_load(submit(context, context.entry))


@behave.then("the queues command shows {count:d} waiting jobs of pool {pool}")
def check_command(context, count, pool):
    leader = context.harness.dispatcher()
    metrics = metric.Metrics()
    for instrument, read in (
        (metric.PREDICTED_WAIT, leader._admission._read_waits),
        (metric.WAITING_JOBS, leader._admission._read_waiting_jobs),
    ):
        metrics.observe(instrument, read)
    metrics.count(metric.LOAD_REFUSALS, 3, pool="quotes")
    text = metrics.render().decode()
    with mock.patch.object(command_queues, "_read_metrics", lambda *_: text):
        plain = run_command("queues", "--metrics", "127.0.0.1:9")
        rows = run_command("queues", "--metrics", "127.0.0.1:9", "--json")
    row = json.loads(rows[1])
    assert row["pool"] == pool.strip('"') == "quotes", row
    assert (row["waiting_jobs"], row["refusals"]) == (count, 3), row
    assert row["predicted_wait"] <= row["predicted_wait_beyond_rate"], row
    assert plain[0] == rows[0] == 0
    assert plain[1].splitlines()[1].split()[:2] == ["quotes", str(count)], plain


def run_command(*arguments):
    """Returns the exit code and the output of a command."""
    output = io.StringIO()
    errors = io.StringIO()
    with (
        contextlib.redirect_stdout(output),
        contextlib.redirect_stderr(errors),
    ):
        try:
            code = cli.main(arguments)
        except SystemExit as ended:
            code = ended.code
    return code, output.getvalue()


@behave.then("it ends with 2 for a malformed address and 6 without an entry")
def check_exit_codes(context):
    assert run_command("queues", "--metrics", "here")[0] == 2
    assert run_command("queues", "--metrics", "127.0.0.1:1")[0] == 6


@behave.then("4 cores at work, 8 arriving and 16 able to move make 28")
def check_supply(context):
    def create(name, pool, cores, state=catalog.MachineState.UP):
        return catalog.Machine(
            machine_id=identifiers.MachineId(name),
            pool=pool,
            state=state,
            zone=identifiers.ZoneId("a"),
            minion_id=identifiers.MinionId(name),
            capacity=job.Resources(1000 * cores),
        )

    def serve(machine):
        minion = catalog.Minion(
            minion_id=machine.minion_id,
            incarnation=1,
            pool=machine.pool,
            address=("127.0.0.1", 1),
            zone=machine.zone,
            state=catalog.MinionState.READY,
            capacity=machine.capacity,
        )
        return run.MinionView(minion, token_accepted=True, clock_offset=0.0)

    names = ("quotes", "sails", "noticeboard")
    quotes, sails, spare = map(identifiers.PoolId, names)
    pools = {
        name: catalog.Pool(name=name, spare=name == spare)
        for name in (quotes, sails, spare)
    }
    config = catalog.Configuration(
        version=1, queues={}, pools=pools, teams={}, keys={}
    )
    machines = [
        create("m1", quotes, 4),
        create("m2", quotes, 8, catalog.MachineState.MOVING),
        create("m3", sails, 6),
        create("m4", spare, 10),
        create("m5", quotes, 32, catalog.MachineState.DOWN),
    ]
    views = {
        machine.minion_id: serve(machine)
        for machine in (machines[0], machines[2])
    }
    supply = completionforecast.measure_supply(
        views,
        [(item, item.pool) for item in machines],
        config,
        frozenset(),
        1.0,
    )[quotes]
    assert (supply.at_work, supply.arriving, supply.movable) == (4, 8, 16)
    assert supply.cores == 28


@behave.then("400 core-seconds of a team limited to 4 of 16 cores delay nobody")
def check_caps(context):
    canvas = identifiers.TeamId("canvas")
    quills = identifiers.TeamId("quills")
    compute = completionforecast.compute_wait
    assert compute({canvas: 400.0}, {canvas: 4.0}, 16.0) == 0.0
    assert compute({canvas: 400.0}, {}, 16.0) == 25.0
    # Others have 12 cores while the team is at its limit.
    amounts = {canvas: 400.0, quills: 120.0}
    assert compute(amounts, {canvas: 4.0}, 16.0) == 10.0


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
