"""Steps for claims of idempotency keys."""

import behave

from clementinewood import claim, verdict

TEAM = "stores"


@behave.given("claim tables of entries {names} with a shared stream")
def create_tables(context, names):
    context.members = names.split(", ")
    context.tables = {
        name: claim.ClaimTable(name, capacity=100, answer_bytes=100)
        for name in context.members
    }
    context.stream = []
    context.read = dict.fromkeys(context.members, 0)
    context.decision_kinds = {}
    context.ran = []


def record_decisions(context, decisions):
    for decision in decisions:
        context.decision_kinds[decision.request_id] = decision.kind
        if decision.kind is claim.DecisionKind.RUN:
            context.ran.append(decision.request_id)


def submit(context, name, key, request, now, body=b"", complete=True):
    claimed = claim.Claim(claim.ClaimKey.create(TEAM, key), request, name, body)
    table = context.tables[name]
    record_decisions(context, [table.submit(claimed, now, complete=complete)])


@behave.when("{name:w} submits key {key:w} as {request:w} at time {now:g}")
def submit_key(context, name, key, request, now):
    submit(context, name, key, request, now)


@behave.when(
    "{name:w} submits key {key:w} as {request:w} with another body at time"
    " {now:g}"
)
def submit_other(context, name, key, request, now):
    submit(context, name, key, request, now, body=b"other")


@behave.when(
    "{name:w}, which is not complete, submits key {key:w} as {request:w} at"
    " time {now:g}"
)
def submit_incomplete(context, name, key, request, now):
    submit(context, name, key, request, now, complete=False)


@behave.when("{name:w} submits {count:d} different keys at time {now:g}")
def submit_many(context, name, count, now):
    for index in range(count):
        submit(context, name, f"k{index}", f"r{index}", now)


@behave.when("{name:w} appends at time {now:g}")
def append(context, name, now):
    batch = context.tables[name].take_batch(now)
    assert batch is not None
    context.stream.append((now, batch))


@behave.then("{name:w} has nothing to append at time {now:g}")
def check_no_batch(context, name, now):
    assert context.tables[name].take_batch(now) is None


@behave.when("all tables read the stream at time {now:g}")
def read_stream(context, now):
    for name, table in context.tables.items():
        for time, batch in context.stream[context.read[name] :]:
            record_decisions(context, table.on_batch(batch, time, now))
        context.read[name] = len(context.stream)


@behave.then(
    "the stream has {records:d} records and {name:w} was told to run"
    " {count:d} requests"
)
def check_stream(context, records, name, count):
    assert len(context.stream) == records
    assert len(context.ran) == count, context.ran


@behave.then("{request:w} is ruled {ruling:w}")
def check_ruling(context, request, ruling):
    assert context.decision_kinds[request].name == ruling, (
        context.decision_kinds
    )


@behave.then("{request:w} was never told to run")
def check_not_run(context, request):
    assert request not in context.ran


@behave.when(
    "{name:w} finishes key {key:w} of {request:w} as {execution:w} with an"
    " answer of {size:d} bytes"
)
def finish(context, name, key, request, execution, size):
    context.tables[name].finish(
        claim.ClaimKey.create(TEAM, key),
        request,
        verdict.Execution[execution],
        0.1,
        answer="answer" if size else None,
        size=size,
    )


@behave.when("{name:w} runs keys {keys} with answers of {size:d} bytes each")
def run_keys(context, name, keys, size):
    for index, key in enumerate(keys.split(", ")):
        submit(context, name, key, key, index)
        append(context, name, index)
        read_stream(context, index)
        finish(context, name, key, key, "RAN", size)


@behave.then("{name:w} keeps the answers of {keys} only")
def check_answers(context, name, keys):
    answered = []
    for key in ("k1", "k2", "k3"):
        submit(context, name, key, "again", 5)
        if context.decision_kinds["again"] is claim.DecisionKind.ANSWER:
            answered.append(key)
    assert ", ".join(answered) == keys, answered


def advance(context, name, now):
    asks, decisions = context.tables[name].advance(
        now, outage=True, complete=True, members=context.members
    )
    record_decisions(context, decisions)
    return asks


@behave.when("{name:w} moves its claims on at time {now:g} without the log")
def advance_without_log(context, name, now):
    advance(context, name, now)


@behave.when("{name:w} asks {peers} at time {now:g} and all answer")
def ask(context, name, peers, now):
    for peer, question in advance(context, name, now):
        if peer in peers.split(", "):
            table = context.tables[peer]
            answer = table.on_ask(question, now, context.members)
            record_decisions(
                context, context.tables[name].on_answer(peer, answer)
            )
    advance(context, name, now)


@behave.given("{name:w} has folded a join that {other:w} has not")
def fold_join(context, name, other):
    context.tables[name].on_roster(9, -1, 0.0)


@behave.then("{name:w} has no claim left to flush")
def check_flushed(context, name):
    assert not context.tables[name].list_unlogged()
