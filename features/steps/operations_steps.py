"""Steps that check the log lines of a site."""

import json
import pathlib
import tempfile

import behave
from loguru import logger
from returns import result

from clementinewood import catalog, edge, event, jobtable
from clementinewood_platform import ingress, platformsettings, wire
from features import job_harness
from features.steps import job_service_steps

NAME = job_service_steps.NAME


def capture_lines(context):
    """Collects the records of every product module."""
    context.lines = []
    for part in job_harness.MUTED_LOGGERS:
        logger.enable(f"clementinewood.{part}")
    sink = logger.add(
        lambda message: context.lines.append(message.record), level="DEBUG"
    )

    def restore():
        logger.remove(sink)
        for part in job_harness.MUTED_LOGGERS:
            logger.disable(f"clementinewood.{part}")

    context.add_cleanup(restore)


@behave.given("a logged site with {entries:d} entries and {minions:d} minions")
def create_logged_site(context, entries, minions):
    capture_lines(context)
    job_service_steps.create_site(context, entries, minions)


@behave.when(
    "a job of {steps:d} steps with {count:d} tasks is submitted over HTTP"
)
def submit_over_http(context, steps, count):
    post_job(context, "key", steps, count)


def post_job(context, key, steps, count, times=1):
    service = job_service_steps.find_follower(context.harness)
    handler = ingress.Ingress(
        service, job_harness.METRICS, wall=context.harness.wall
    )
    context.http = []
    request = edge.HttpRequest(
        "POST",
        f"/quotes/{NAME}",
        ((b"host", b"guild"), (b"authorization", f"Bearer {key}".encode())),
        json.dumps(
            {"spec": "", "steps": [{"count": count, "cpu": 1000}] * steps}
        ).encode(),
        ("127.0.0.1", 1),
    )
    for _ in range(times):
        exchange = edge.Exchange(
            request, lambda *answer: context.http.append(answer)
        )
        handler.handle_exchange(exchange)
    context.harness.run_until(lambda: len(context.http) == times, 3.0)


@behave.when("a job is submitted over HTTP with an unknown key")
def submit_unknown_key(context):
    post_job(context, "moth", 1, 1)


@behave.when("{times:d} jobs are submitted over HTTP with an unknown key")
def submit_flood(context, times):
    context.times = times
    post_job(context, "moth", 1, 1, times)


@behave.then("the caller gets status {status:d}")
def check_status(context, status):
    assert context.http[0][0] == status, context.http


@behave.then("that line tells the version and the age of the configuration")
def check_version(context):
    line = find_lines(context, "CW1602", NAME)[0]["extra"]
    assert line["version"] == 1 and 0 <= line["age"] < 3, line


@behave.then(
    'at most {count:d} lines "{number}" were written and every caller was'
    " answered"
)
def check_bounded(context, count, number):
    # The handler's clock may reach a new second once while it answers.
    assert len(find_lines(context, number, "")) <= 2 * count
    assert [answer[0] for answer in context.http] == [401] * context.times


@behave.when("every minion fails what it runs")
def fail_everything(context):
    for minion in context.harness.minions.values():
        minion.failing = True


@behave.then("the caller gets status {status:d} with Retry-After")
def check_http(context, status):
    got, headers, _ = context.http[0]
    assert got == status, context.http
    assert any(name == b"retry-after" for name, _ in headers), headers


def find_lines(context, number, text):
    return [
        record
        for record in context.lines
        if record["extra"].get("event") == number and text in record["message"]
    ]


@behave.then('a line "{number}" names the job')
def check_named(context, number):
    assert find_lines(context, number, NAME), number


@behave.then('a line "{number}" was written')
@behave.then('a line "{number}" was written by the same entry')
def check_written(context, number):
    assert find_lines(context, number, ""), number


@behave.then(
    'a line "{number}" names the job with reason "{reason}" and execution'
    ' "{execution}"'
)
def check_reason(context, number, reason, execution):
    line = find_lines(context, number, NAME)[0]["extra"]
    assert (line["reason"], line["execution"]) == (reason, execution), line


@behave.then('a line "{number}" names the job with state "{state}"')
def check_line_state(context, number, state):
    line = find_lines(context, number, NAME)[0]["extra"]
    assert line["state"] == state, line


@behave.then(
    '{count:d} lines "{number}" name a task of the job with end "{end}"'
)
def check_ends(context, count, number, end):
    ends = [line["extra"]["end"] for line in find_lines(context, number, NAME)]
    assert ends == [end] * count, ends


@behave.when("a settings file without addresses is read")
def read_bad_settings(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.path = pathlib.Path(folder.name) / "settings.toml"
    context.path.write_text('node = "edge-1"\nip = "10.0.0.1"\n')
    context.outcome = platformsettings.read_settings(str(context.path))


def read_section(context, section, line):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    path = pathlib.Path(folder.name) / "settings.toml"
    path.write_text(
        'node = "edge-1"\nip = "10.0.0.1"\n'
        '[listen]\nfront = "10.0.0.1:1"\nready = "10.0.0.1:2"\n'
        '[platform]\naddress = "10.0.0.2:1"\n'
        f"[{section}]\n{line}\n"
    )
    return platformsettings.read_settings(str(path))


@behave.when("a settings file with the limit {limits} is read")
def read_limits(context, limits):
    context.settings = read_section(context, "limits", limits).unwrap()


@behave.when("a settings file with the scheduling setting {line} is read")
def read_scheduling(context, line):
    context.outcome = read_section(context, "scheduling", line)


@behave.then("the settings error names {problem}")
def check_settings_error(context, problem):
    match context.outcome:
        case result.Failure(found):
            assert problem in found.render(), found.render()
        case other:
            raise AssertionError(other)


@behave.then("admission is off and the other scheduling features are on")
def check_scheduling(context):
    features = context.outcome.unwrap().scheduling
    assert not features.admission
    assert features.lookahead and features.fair_order
    assert features.stable_demand


@behave.then("the entry's link carries {amount:d} bytes a second")
def check_link(context, amount):
    assert context.settings.link_bytes_per_second == amount


@behave.then("the fault names the file and what is missing")
def check_fault(context):
    match context.outcome:
        case result.Failure(problem):
            text = problem.render()
            assert str(context.path) in text and "listen" in text, text
        case other:
            raise AssertionError(other)


@behave.when("records that name no minion and no configuration are decoded")
def decode_bad_records(context):
    capture_lines(context)
    context.decoder = wire.Decoder()
    good = {
        "service": "quotes",
        "address": "10.0.0.9:80",
        "zone": "hobart",
        "state": "ready",
        "capacity": {"cpu": 1000, "mem_mb": 10},
        "labels": ["a", "r1"],
        "later_field": [1],
    }
    context.bad = [
        b"\xff\xfe",
        b"[]",
        b"{}",
        json.dumps({**good, "state": "asleep"}).encode(),
        json.dumps({**good, "address": 7}).encode(),
        json.dumps({**good, "capacity": "much"}).encode(),
    ]
    context.minions = [
        context.decoder.decode_minion(jobtable.StoredRecord("m1", value, 0))
        for value in context.bad
    ]
    context.good = context.decoder.decode_minion(
        jobtable.StoredRecord("m2", json.dumps(good).encode(), 1)
    )
    config = {"version": 3, "routes": [], "services": [], "limits": {}}
    for value in (json.dumps(config).encode(), b'{"version":"x"}', b"nul"):
        context.decoder.apply_declaration(
            jobtable.StoredRecord("config", value, 2)
        )


@behave.then('each of them is logged as "{number}" and the sound ones hold')
def check_decoded(context, number):
    assert context.minions == [None] * len(context.bad)
    assert isinstance(context.good, catalog.Minion)
    declared = context.decoder.read_declarations()
    assert declared.configuration.version == 3
    lines = find_lines(context, number, "")
    assert len(lines) == len(context.bad) + 2, len(lines)
    assert all(line["extra"]["reason"] for line in lines)
    assert event.Event.DECLARATION_REFUSED.number == int(number[2:])
