"""Steps for documents that others send malformed."""

import copy
import dataclasses
import json
import os
import random
import tempfile
from unittest import mock

import behave
from returns import result

from clementinewood import (
    entrydirectory,
    event,
    httpclient,
    identifiers,
    job,
    jobtable,
    ports,
)
from clementinewood_platform import (
    machineclient,
    minionclient,
    peerclient,
    platformsettings,
    policyclient,
    storeclient,
    wire,
)

JOB_ID = identifiers.JobId("5c0e7a21d94b36f8")
TASK = f"{JOB_ID}.0.0.3"
LONG_TEXT = "x" * 70_000
DEEP = 3000

MALFORMED = [
    None,
    True,
    -1,
    0,
    1.5,
    float("inf"),
    float("-inf"),
    float("nan"),
    10**30,
    "",
    "0",
    "\ud800",
    LONG_TEXT,
    [],
    [[]],
    [None],
    {},
    {"": None},
]
"""Values of a wrong type or size. JSON as Python reads it has infinities, also
for numbers such as 1e999."""

STEP = {
    "count": 4,
    "cpu": 500,
    "mem_mb": 256,
    "gpu": 1,
    "estimate_ms": 900,
    "after": [],
    "affinity": "r1-3",
    "requires": "a",
    "max_per_server": 2,
    "max_unavailable": 1,
    "target_ms": 200,
    "image": "sails",
    "long_running": False,
}
MINION = {
    "service": "quotes",
    "address": "10.1.0.9:8000",
    "zone": "hobart",
    "version": "1",
    "slots": 8,
    "state": "ready",
    "seq": 7,
    "born": 1772330000000,
    "capacity": {"cpu": 32000, "mem_mb": 65536, "gpu": 0},
    "labels": ["a", "r1-3"],
}
CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "quote-draft",
            "host": "pule25.example",
            "path_prefix": "/puxa400/",
            "service": "quotes",
            "priority": 1,
            "max_attempts": 3,
            "stretch": 1.6,
            "target_duration_ms": 600,
            "advice": {"decide_ms": 5, "per_item_ms": 1, "valid_ms": 4000},
        }
    ],
    "services": [{"name": "quotes", "enforces_capacity": True}],
    "tenants": [
        {
            "name": "canvas",
            "api_keys": ["key"],
            "weight": 2,
            "cap": {"cpu": 64000},
        }
    ],
    "limits": {"max_header_bytes": 8192},
}
SETTINGS = {
    "node": "edge-hobart-1",
    "ip": "10.1.0.23",
    "zone": "hobart",
    "internal_ports": [7000, 7015],
    "advice": "10.200.1.9:8344",
    "listen": {"front": "10.1.0.23:8340", "ready": "10.1.0.23:8343"},
    "limits": {"memory_mb": 300, "link_mbps": 100.0},
    "bounds": {"grace_s": 6, "lease_ms": 3000, "early_ms": 250},
    "platform": {"address": "10.200.1.7:8344"},
    "cloud": {"address": "10.200.0.82:8344"},
}


def respond(status, body):
    return httpclient.Response(status, (), body)


def apply_record(key, stream_value):
    table = jobtable.JobTable()
    table.apply(jobtable.StoredRecord(key, stream_value, 0))
    for entry in table:
        assert entry.state in job.JobState
        entry.progress.copy()


def decode_declaration(key, value):
    decoder = wire.Decoder()
    decoder.apply_declaration(jobtable.StoredRecord(key, value, 0))
    return decoder.read_declarations()


def read_list(body):
    """Lists machines through a client whose call gets `body`."""
    found = []

    class Http:
        def send(self, *args, on_result, **options):
            on_result(respond(200, body))

    client = machineclient.MachineClient.__new__(machineclient.MachineClient)
    client._http = Http()
    client.list_machines(found.append)
    # Only the first page is answered with it once the token is followed.
    assert len(found) == 1, found
    return found[0]


def read_settings(data):
    with tempfile.TemporaryDirectory() as folder:
        path = os.path.join(folder, "settings.toml")
        with open(path, "wb") as file:
            file.write(data)
        found = platformsettings.read_settings(path)
    assert isinstance(found, (result.Success, result.Failure))


def encode_toml(fields):
    """Renders fields as TOML; other values than TOML has are left out."""
    lines, tables = [], []
    for name, value in fields.items():
        if isinstance(value, dict):
            tables.append(f"[{json.dumps(name)}]\n{encode_toml(value)}")
        elif value is not None:
            lines.append(f"{json.dumps(name)} = {json.dumps(value)}")
    return "\n".join([*lines, *tables])


RECORDS = wire.encode_items(
    [ports.KeyedRecord("j/1", b"abc"), ports.KeyedRecord("p/1", b"")]
)

DOCUMENTS = {
    "submitted job": (
        {"spec": "text", "steps": [STEP, {**STEP, "after": [0]}]},
        lambda body: wire.decode_job(
            JOB_ID, identifiers.QueueId("q"), identifiers.TeamId("t"), body, 0.0
        ),
    ),
    "minion report": (
        {
            "clock_ms": 482113,
            "born": 1772330000000,
            "running": [[TASK, 2, "00ab", 41, 120]],
            "ended": [[58, TASK, 1, "done", ""]],
        },
        lambda body: minionclient._read_poll(respond(200, body)),
    ),
    "start rejection": (
        {"clock_ms": 1, "reason": "fence"},
        lambda body: minionclient._read_start(respond(409, body)),
    ),
    "list of machines": (
        {
            "machines": [
                {
                    "machine": "m1",
                    "pool": "quotes",
                    "state": "up",
                    "zone": "hobart",
                    "labels": ["a"],
                    "capacity": {"cpu": 1},
                    "id": "i1",
                }
            ],
            "next_page_token": "",
        },
        read_list,
    ),
    "policy answer": (
        {"good": [["i1", "ticket"]]},
        lambda body: policyclient._read_answer(respond(200, body)),
    ),
    "read of the log": (
        (2).to_bytes(8, "big") + bytes(8) + RECORDS,
        lambda body: storeclient._read_records(
            respond(200, body), lambda data: wire.decode_records(data, 0)
        ),
    ),
    "page of records": (
        {
            "items": [{"key": "j/1", "value": "YWJj", "offset": 3}],
            "more": False,
            "end": 4,
        },
        lambda body: storeclient._read_records(
            respond(200, body), wire.decode_newest
        ),
    ),
    "append response": (
        {"offset": 3, "end": 4},
        lambda body: storeclient._read_append(respond(200, body)),
    ),
    "append conflict": (
        {"reason": "seq", "seq": 5},
        lambda body: storeclient._read_append(respond(409, body)),
    ),
    "minion record": (
        MINION,
        lambda body: wire.Decoder().decode_minion(
            jobtable.StoredRecord("i1", body, 0)
        ),
    ),
    "configuration": (
        CONFIGURATION,
        lambda body: decode_declaration("config", body),
    ),
    "wave": (
        {"wave": 3, "machines": ["m1"], "duration_s": 20, "cap": 2},
        lambda body: decode_declaration("wave/3", body),
    ),
    "stored job": (
        json.loads(
            job.encode_job(
                wire.decode_job(
                    JOB_ID,
                    identifiers.QueueId("q"),
                    identifiers.TeamId("t"),
                    json.dumps({"spec": "s", "steps": [STEP]}).encode(),
                    0.0,
                ).unwrap()
            )
        ),
        lambda body: apply_record(f"j/{JOB_ID}", body),
    ),
    "stored progress": (
        {
            "state": "running",
            "done": [[0, 0, "3"]],
            "failed": [[0, 0, 2, 1]],
            "failed_runs": [[0, 0, 2, 1]],
            "placed": [[0, 0, 3, 1001, "i1"]],
            "crashed": [[0, 0, 3, 1, 1, 1, "i1"]],
            "block_tasks": 256,
        },
        lambda body: apply_record(f"p/{JOB_ID}", body),
    ),
    "block of progress": (
        {
            "state": "queued",
            "done": [[0, 0, "3"]],
            "failed": [[0, 0, 2, 1]],
            "failed_runs": [[0, 0, 2, 1]],
            "placed": [[0, 0, 3, 1001, "i1"]],
        },
        lambda body: read_block(body),
    ),
    "takeover": (
        {"term": 3, "leader": "edge-1/5"},
        peerclient.decode_takeover,
    ),
    "state of a job": ({"state": "running"}, wire.decode_state),
    "stored cursor": ([5, 6], lambda body: apply_record("m/i1", body)),
    "stored wave": (
        {"began": 1.0},
        lambda body: apply_record("w/3", body),
    ),
    "stored wave machine": (
        ["draining", "i1"],
        lambda body: apply_record("w/3/m1", body),
    ),
    "stored move": (
        ["quotes", "i1", False],
        lambda body: apply_record("v/m1", body),
    ),
    "leader record": (
        [3, "edge-1/5", False],
        lambda body: apply_record(jobtable.LEADER_KEY, body),
    ),
    "load report": (
        {
            "term": 3,
            "pools": [
                {
                    "pool": "quotes",
                    "cores": 64.0,
                    "wait": 4.0,
                    "over_rate_wait": 12.0,
                    "ratios": {"quote-draft": 0.9},
                }
            ],
            "over_rate": ["canvas"],
        },
        lambda body: apply_record(jobtable.LOAD_KEY, body),
    ),
    "entry record": (
        {"address": "10.1.0.9:7001", "zone": "hobart"},
        lambda body: entrydirectory.decode_address("edge-1", body),
    ),
    "settings": (SETTINGS, read_settings),
}


def read_block(body):
    table = jobtable.JobTable()
    key = jobtable.render_block_key(identifiers.JobId(JOB_ID), 0)
    table.apply(jobtable.StoredRecord(key, body, 0))
    # Blocks are read only beside a record that refers to them.
    head = job.encode_progress(job.Progress(block_tasks=256))
    table.apply(jobtable.StoredRecord(f"p/{JOB_ID}", head, 1))
    for entry in table:
        assert entry.progress.block_tasks == 256
        entry.read_progress()


def list_places(value, path=()):
    """Yields the path of every part of a document."""
    yield path
    if isinstance(value, dict):
        children = value.items()
    elif isinstance(value, list):
        children = enumerate(value)
    else:
        return
    for key, child in children:
        yield from list_places(child, (*path, key))


def change(document, path, apply):
    """Returns a copy in which `apply` has changed the part at `path`."""
    root = [copy.deepcopy(document)]
    *parents, last = (0, *path)
    part = root
    for key in parents:
        part = part[key]
    apply(part, last)
    return root[0] if root else None


def replace(value):
    def apply(part, key):
        part[key] = value

    return apply


def remove(part, key):
    del part[key]


def repeat(part, key):
    if isinstance(part, list):
        part.extend([part[key]] * 3)


def list_variants(document):
    for path in list_places(document):
        for value in MALFORMED:
            yield change(document, path, replace(value))
        if path:
            yield change(document, path, remove)
            yield change(document, path, repeat)


@behave.given("a valid {document}")
def choose_document(context, document):
    context.document, context.decode = DOCUMENTS[document]
    context.encode = lambda value: json.dumps(value).encode()
    if document == "settings":
        context.encode = lambda value: encode_toml(value).encode(
            "utf-8", "replace"
        )
    context.variants = []


@behave.when(
    "each part of it is replaced by each malformed value, removed or repeated"
)
def vary_parts(context):
    if isinstance(context.document, bytes):
        context.valid = context.document
        return
    context.valid = context.encode(context.document)
    for variant in list_variants(context.document):
        if isinstance(variant, dict) or context.decode is not read_settings:
            context.variants.append(context.encode(variant))
    nested = "[" * DEEP + "]" * DEEP
    context.variants.append(nested.encode())
    context.variants.append(f'{{"a": {nested}}}'.encode())


@behave.when(
    "its bytes are cut off or changed at {count:d} places, seed {seed:d}"
)
def vary_bytes(context, count, seed):
    rng = random.Random(seed)
    for _ in range(count):
        place = rng.randrange(len(context.valid))
        context.variants.append(context.valid[:place])
        changed = bytearray(context.valid)
        changed[place] = rng.randrange(256)
        context.variants.append(bytes(changed))


@behave.then("every variant is rejected or read")
def check_variants(context):
    context.decode(context.valid)
    assert len(context.variants) >= 400
    with mock.patch.object(event, "emit"):
        for variant in context.variants:
            try:
                context.decode(variant)
            except Exception as error:
                raise AssertionError(
                    f"{variant[:300]!r} raised {error!r}"
                ) from error


@behave.when("its first step has {value:d} for {field}")
def change_step(context, value, field):
    path = ("steps", 0, field)
    context.variant = change(context.document, path, replace(value))


@behave.then("it is refused as having a negative amount")
def check_negative(context):
    decoded = context.decode(context.encode(context.variant))
    assert "negative" in decoded.failure(), decoded


def record_errors(context, expected):
    """Keeps the numbered lines about errors, of which some are expected."""
    context.lines = []
    context.harness.most_failures = expected
    emit = event.emit

    def record(number, **fields):
        if number is event.Event.HANDLER_FAILED:
            context.lines.append(fields)
        else:
            emit(number, **fields)

    patch = mock.patch.object(event, "emit", record)
    patch.start()
    context.add_cleanup(patch.stop)


@behave.when("a minion sends a report that can't be applied")
def send_bad_report(context):
    record_errors(context, 1)
    minion = next(iter(context.harness.minions.values()))
    poll = minion.poll
    sent = []

    def answer(*arguments):
        report = poll(*arguments)
        if sent or isinstance(report, ports.PollFenced):
            return report
        sent.append(report)
        return dataclasses.replace(report, running=(None,))

    minion.poll = answer
    context.harness.run_until(lambda: sent, 5.0)


@behave.when("a record of the job log can't be applied")
def store_bad_record(context):
    # Each entry folds it, also one that starts later.
    record_errors(context, len(context.harness.entries) + 1)
    apply = jobtable.JobTable.apply

    def fail(table, record):
        if record.key == "j/bad":
            raise RuntimeError("fault set by the test")
        return apply(table, record)

    patch = mock.patch.object(jobtable.JobTable, "apply", fail)
    patch.start()
    context.add_cleanup(patch.stop)
    context.harness.store.put(ports.Stream.JOBS, "j/bad", b"{}")


@behave.when("another entry starts")
def start_entry(context):
    context.harness.add_entry("entry-late")
    context.harness.run_for(1.0)


@behave.then("{count:d} error is counted and logged")
@behave.then("{count:d} errors are counted, of which the first is logged")
def check_errors(context, count):
    assert context.harness.timers.failures == count
    assert len(context.lines) == 1, context.lines
