"""Steps for the commands that show, explain and load a site."""

import json
import pathlib
import shlex
import tempfile

import behave

from clementinewood import command_status, requestlog, verdict
from features import dev_process


def start(context, *arguments, token=False):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = pathlib.Path(folder.name)
    if token:
        (context.folder / "token").write_text("moth-light-91\n")
        (context.folder / "wrong").write_text("moth-light-92\n")
        arguments = [*arguments, "--token-file=token"]
    context.dev = dev_process.DevProcess(
        context.folder, "--files=site", *arguments
    )
    context.add_cleanup(context.dev.stop)
    context.key = (context.folder / "site" / "keys").read_text().split()[0]


def run(context, command):
    names = {
        "ALL": " ".join(f"--entry {item}" for item in context.dev.entries),
        "FIRST": f"--entry {context.dev.entries[0]}",
        "LOG": f"127.0.0.1:{context.dev.base}",
        "KEY": context.key,
    }
    words = [
        names.get(word, shlex.quote(word)) for word in shlex.split(command)
    ]
    return dev_process.run_shell(
        f"clementinewood {' '.join(words)}", context.folder
    )


@behave.given("a dev site in a process of its own")
def start_site(context):
    start(context)


@behave.given("a dev site in a process of its own that asks for a token")
def start_guarded_site(context):
    start(context, token=True)
    text = (context.folder / "site" / "bundle.ini").read_text()
    (context.folder / "site" / "signed.ini").write_text(
        text.replace("version = 1", "version = 2")
    )
    code, output = run(
        context,
        "bundle sign site/signed.ini --operator dev --hours 0.5"
        " --key site/operator.pem",
    )
    assert code == 0, output


@behave.then("these operators' commands end so")
def check_commands(context):
    for row in context.table:
        code, output = run(context, row["command"])
        assert code == int(row["code"]), (row["command"], code, output)
        assert row["output"] in output, (row["command"], output)


@behave.then(
    "of a load with each idempotency key sent twice half never run again"
)
def check_repeated(context):
    code, output = run(
        context,
        "load ALL --queue stores --key KEY --rate 50 --seconds 0.8"
        " --idempotency repeated --priority interactive",
    )
    assert code == 0, output
    report = json.loads(output)
    assert report["finished"] == report["sent"] == 40, report
    ran = report["verdicts"].get("ran", 0) - report["replayed"]
    ran -= report["reasons"].get("duplicate-ran", 0)
    assert ran == 20, report


@behave.then("explain tells why a request was answered and why one was refused")
def check_explained(context):
    entry = context.dev.entries[1]
    for header, expected in (
        (f"Authorization: Bearer {context.key}", "answered with 200 by quotes"),
        ("X-Priority: urgent", "refused, key-missing"),
    ):
        code, output = dev_process.run_shell(
            f"curl -si -H '{header}' -d x http://{entry}/q/quotes/",
            context.folder,
        )
        assert code == 0, output
        request = dev_process.find_request_id(output)
        code, output = run(context, f"explain ALL {request}")
        assert code == 0 and f"{entry}: {expected}" in output, output
        assert context.key.partition(".")[2] not in output


def create_view(name, version, detail=""):
    return command_status.View(
        "127.0.0.1:1",
        {
            "entry": name,
            "zone": "hobart",
            "version": version,
            "ready": not detail,
            "detail": detail or "ready",
            "teams": {"canvas": {"running": 2, "queued": 1, "held": 50}},
            "pools": {},
        },
    )


@behave.given(
    "status pages of an entry that is not ready, an older one and a whole one"
)
def create_views(context):
    context.views = [
        create_view("entry-1", 4, "stopping"),
        create_view("entry-2", 3),
        create_view("entry-3", 4),
    ]


@behave.then(
    "the status view names the first as not ready and the second as older"
)
def check_views(context):
    trouble = command_status.find_trouble(context.views)
    assert trouble == [
        "entry-1 is not ready: stopping",
        "entry-2 has version 3, not 4",
    ], trouble
    lines = command_status.render_views(context.views)
    assert any(line.split() == ["canvas", "6", "3", "150"] for line in lines)


def add_endings(context, prefix, count, reason=None, team="canvas", queue="q"):
    for number in range(count):
        context.log.add(
            requestlog.CompletedRequest(
                f"{prefix}-{number}",
                0.0,
                200,
                verdict.Execution.NOT_RUN,
                reason,
                queue=queue,
                team=team,
            )
        )


@behave.given("a request log that keeps {count:d} requests of each kind")
def create_log(context, count):
    context.log = requestlog.RequestLog(count)


@behave.when(
    "{answers:d} answers, {refused:d} refusals of a team and {others:d}"
    " refusals of strangers end"
)
def end_requests(context, answers, refused, others):
    add_endings(context, "answer", answers)
    add_endings(context, "refusal", refused, verdict.Reason.QUEUE_FULL)
    add_endings(
        context,
        "stranger",
        others,
        verdict.Reason.KEY_MISSING,
        team="",
        queue="q" * 9000,
    )


@behave.then(
    "the request log knows the last 3 answers, both refusals and 3 strangers"
)
def check_log(context):
    expected = ["answer-2", "answer-3", "answer-4", "refusal-0", "refusal-1"]
    expected += ["stranger-47", "stranger-48", "stranger-49"]
    assert all(context.log.find(name) for name in expected)
    assert len(context.log) == len(expected), len(context.log)
    assert context.log.find("answer-1") is None


@behave.then("it keeps at most {size:d} characters of a queue name")
def check_queue_name(context, size):
    assert len(context.log.find("stranger-49").queue) == size
