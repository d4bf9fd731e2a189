"""Steps for the operator commands."""

import argparse
import contextlib
import http.server
import io
import json
import os
import pathlib
import shlex
import stat
import tempfile
import threading

import behave

from clementinewood import command_bundle, signature, state
from features import control_harness, runner

Exit = command_bundle.Exit


@behave.given("operator files for the guild")
def create_files(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = pathlib.Path(folder.name)
    text = (
        runner.ROOT / "clementinewood" / "examples" / "guild.ini"
    ).read_text()
    changed = text.replace("limit = 160", "limit = 150")
    files = {
        "guild.ini": text,
        "broken.ini": text.replace("limit = 160", "limt = 160"),
        "next.ini": changed.replace("version = 1", "version = 2"),
    }
    for name, content in files.items():
        (context.folder / name).write_text(content)


def run_command(folder, command):
    parser = argparse.ArgumentParser()
    command_bundle.add_commands(parser.add_subparsers(required=True))
    arguments = parser.parse_args(["bundle", *shlex.split(command)])
    output = io.StringIO()
    with (
        contextlib.chdir(folder),
        contextlib.redirect_stdout(output),
        contextlib.redirect_stderr(output),
    ):
        code = arguments.run(arguments)
    return code, output.getvalue()


@behave.then("these bundle commands end so")
def check_commands(context):
    for row in context.table:
        code, output = run_command(context.folder, row["command"])
        assert code == int(row["code"]), (row["command"], code, output)
        assert row["output"] in output, (row["command"], output)


@behave.then("the private key file is readable by its owner only")
def check_key_file(context):
    mode = os.stat(context.folder / "night.pem").st_mode
    assert stat.S_IMODE(mode) == 0o600, oct(mode)


class StandInSite(command_bundle.Site):
    """Entries that answer as the daemon does, on a clock of its own."""

    def __init__(self, polls):
        super().__init__([])
        self.state = state.ControlState()
        joined = state.record.Joined("e1", "e1", "::", 1, "z1")
        self.state.apply(state.record.create_record("e1", joined), 0, 5.0)
        self.offset = 1
        self.polls = 0
        self.needed = polls
        self.lose = 0
        self.now = 0.0
        self.sleep = self._advance
        self.clock = lambda: self.now

    def _advance(self, seconds):
        self.now += seconds

    def request(self, method, path, body=b""):
        reply = self._serve(method, path, body)
        if self.lose:
            self.lose -= 1
            raise command_bundle.CommandError(Exit.UNREACHABLE, "lost")
        return reply

    def _serve(self, method, path, body):
        match method, path:
            case "GET", "/v1/bundles":
                bundles = [
                    {
                        "version": item.version,
                        "operator": item.operator,
                        "digest": item.digest,
                        "time": item.time,
                    }
                    for item in self.state.history
                ]
                return command_bundle.Reply(200, {"bundles": bundles})
            case "GET", "/v1/status":
                self.polls += 1
                entries = []
                for number, needed in enumerate((0, self.needed), start=1):
                    version = self.state.version
                    if self.polls < needed:
                        version -= 1
                    entries.append(
                        {
                            "entry": f"entry-{number}",
                            "version": version,
                            "fresh": True,
                        }
                    )
                return command_bundle.Reply(200, {"entries": entries})
        digest = signature.split_signed(body.decode()).unwrap().digest
        if self.state.history and self.state.history[-1].digest == digest:
            return command_bundle.Reply(200, {})
        try:
            payload = self.state.create_bundle_payload(body.decode())
        except ValueError as error:
            return command_bundle.Reply(409, {"detail": str(error)})
        entry = state.record.create_record("e1", payload)
        self.state.apply(entry, self.offset, 5.0)
        self.offset += 1
        return command_bundle.Reply(200, {})


@behave.given("an operator site whose entries follow after {polls:d} polls")
def create_site(context, polls):
    context.site = StandInSite(polls)
    entry = state.record.create_record(
        "e1",
        context.site.state.create_bundle_payload(
            control_harness.make_text(1, 0)
        ),
    )
    context.site.state.apply(entry, 1, 5.0)
    context.site.offset = 2


@behave.given("the operator site loses the next {n:d} answers")
def lose_answers(context, n):
    context.site.lose = n


def roll(site, text):
    digest = signature.split_signed(text).unwrap().digest
    output = io.StringIO()
    try:
        with contextlib.redirect_stdout(output):
            command_bundle.roll_bundle(site, text, 2, digest, timeout=20.0)
    except command_bundle.CommandError as error:
        return error.code, str(error)
    return Exit.DONE, output.getvalue()


@behave.when("a bundle of version 2 is rolled, and rolled again")
def roll_twice(context):
    text = control_harness.make_text(2, 1)
    context.first = roll(context.site, text)
    context.polls = context.site.polls
    context.second = roll(context.site, text)


@behave.then("both rolls succeed and the site accepted it once")
def check_rolls(context):
    for code, output in (context.first, context.second):
        assert code is Exit.DONE, output
        assert "in force at all entries" in output
    assert [item.version for item in context.site.state.history] == [1, 2]


@behave.then("the first roll waited until the last entry followed")
def check_waited(context):
    assert context.polls == context.site.needed, context.polls


@behave.then("both rolls end as pending and name entry-2")
def check_pending(context):
    for code, output in (context.first, context.second):
        assert code is Exit.PENDING, output
        assert "entry-2" in output and "entry-1" not in output, output


@behave.when("operators night and day roll different bundles of version 2")
def roll_race(context):
    texts = [control_harness.make_text(2, seed) for seed in range(8)]
    for operator in ("night", "day"):
        text = next(item for item in texts if f'"{operator}"' in item)
        context.last = roll(context.site, text)


@behave.then("the roll of day ends as lost and names operator night")
def check_lost(context):
    code, output = context.last
    assert code is Exit.LOST, output
    assert "operator 'night'" in output, output


ANSWERS = {
    "/v1/status": {
        "entries": [{"entry": "entry-1", "version": 4, "fresh": True}]
    },
    "/v1/bundles": {
        "bundles": [
            {"version": 4, "operator": "night", "digest": "d", "time": 5.0}
        ]
    },
}


def serve(context, status, render, token=None):
    """Serves on a thread, since the command under test blocks."""

    class Handler(http.server.BaseHTTPRequestHandler):
        def do_GET(self):  # noqa: N802
            given = self.headers["Authorization"]
            denied = token is not None and given != f"Bearer {token}"
            body = render(self.path)
            if denied:
                body = b'{"error": "operator token needed"}'
            self.send_response(401 if denied else status)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        def log_message(self, *arguments):
            pass

    server = http.server.HTTPServer(("127.0.0.1", 0), Handler)
    threading.Thread(target=server.serve_forever, args=(0.01,)).start()
    context.add_cleanup(server.server_close)
    context.add_cleanup(server.shutdown)
    return f"--entry 127.0.0.1:{server.server_port}"


@behave.given(
    "three operator entries: one refuses with 503, one sends no JSON, one"
    " serves"
)
def create_entries(context):
    context.entries = [
        serve(context, 503, lambda path: b'{"detail": "not fresh"}'),
        serve(context, 200, lambda path: b"hello"),
        serve(context, 200, lambda path: json.dumps(ANSWERS[path]).encode()),
    ]


@behave.then('bundle {command} prints "{text}" and ends with code {code:d}')
def check_printed(context, command, text, code):
    found = run_command(".", " ".join([command, *context.entries]))
    assert found[0] == code and text in found[1], found


@behave.then(
    "without the serving entry bundle status ends with code {code:d} and names"
    " both"
)
def check_refusals(context, code):
    found = run_command(".", " ".join(["status", *context.entries[:2]]))
    assert found[0] == code, found
    assert "503 not fresh" in found[1] and len(found[1].split("\n")) == 3, found


@behave.given(
    'an operator entry that asks for token "{token}" and tells no bundle text'
)
def create_guarded(context, token):
    create_files(context)
    (context.folder / "token").write_text(f"{token}\n")
    context.entries = [
        serve(
            context,
            200,
            lambda path: json.dumps(ANSWERS[path]).encode(),
            token=token,
        )
    ]


@behave.then('bundle status ends with code {code:d} and prints "{text}"')
def check_denied(context, code, text):
    found = run_command(context.folder, f"status {context.entries[0]}")
    assert found[0] == code and text in found[1], found


@behave.then("with the token in a file bundle status ends with code {code:d}")
def check_token(context, code):
    found = run_command(
        context.folder, f"status {context.entries[0]} --token-file token"
    )
    assert found[0] == code, found


@behave.then(
    "with the token in a file bundle plan ends with code {code:d} and names"
    " --against"
)
def check_plan(context, code):
    found = run_command(
        context.folder,
        f"plan guild.ini {context.entries[0]} --token-file token",
    )
    assert found[0] == code and "--against" in found[1], found
