"""Steps for the log client against the simulated log."""

import base64

import behave
import hypothesis

from clementinewood import fault, logclient, logservice, record
from clementinewood.identifiers import Incarnation
from features import log_harness

# Fixed, so that rewording the test does not change its examples.
PROPERTY_SEED = int(
    "0afae4c4b7495dd27063c8a20ca23a61286977565be45693"
    "b4b077cb60b33e508770bec045e6b0438fcf1ba782e80fa7",
    16,
)


def check_property(kind, check, examples):
    @hypothesis.seed(PROPERTY_SEED)
    @hypothesis.settings(
        max_examples=examples,
        derandomize=True,
        deadline=None,
        database=None,
        phases=[hypothesis.Phase.generate],
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(log_harness.FAULTS)
    def run(actions):
        harness = log_harness.LogHarness(kind=kind)
        try:
            log_harness.play(harness, actions)
            check(harness)
        finally:
            harness.close()

    run()


@behave.then(
    "in {n:d} random runs the log clients deliver every record once, in order"
)
def check_delivery(context, n):
    context.check = log_harness.check_delivery
    check_property(logclient.LogClient, context.check, n)


@behave.then("in {n:d} random runs every append takes effect exactly once")
def check_appends(context, n):
    context.check = log_harness.check_appends
    check_property(logclient.LogClient, context.check, n)


BROKEN = {
    "passes over broken transfers": log_harness.TrustingClient,
    "retries under a new id": log_harness.NewIdClient,
}


@behave.then("that log check fails for a client that {broken}")
def check_broken(context, broken):
    try:
        check_property(BROKEN[broken], context.check, 60)
    except AssertionError:
        return
    raise AssertionError("the broken client passed")


def create_harness(context, kind=logclient.LogClient, **faults):
    context.harness = log_harness.LogHarness(clients=1, kind=kind)
    context.add_cleanup(context.harness.close)
    context.harness.service.faults = logservice.InjectedFaults(**faults)
    context.reader = context.harness.readers[0]


@behave.given("a log client of a log that loses the next {n:d} answers")
def create_losing(context, n):
    # Reads are slower than the lost answers, so a retry could overtake them.
    create_harness(context, lose_answers=n, read_delay=0.5)


@behave.given("a log client of a log that is out")
def create_out(context):
    create_harness(context, outage=logservice.Outage.SILENT)


@behave.given("a log client of a log that answers after {delay:g} seconds")
def create_slow(context, delay):
    create_harness(context, delay=delay)


@behave.when("it appends {n:d} records")
def append(context, n):
    context.began = context.harness.loop.clock.now
    for _ in range(n):
        context.reader.append()
    context.harness.read_all()


@behave.when("it appends {n:d} records and {seconds:g} seconds pass")
def append_and_wait(context, n, seconds):
    for _ in range(n):
        context.reader.append()
    context.harness.loop.run_for(seconds)


@behave.then("the log holds {n:d} records, each append has its offset")
def check_log(context, n):
    context.harness.read_all()
    ids = context.harness.log_ids()
    assert len(ids) == n, len(ids)
    for wanted, outcomes in context.reader.results.items():
        assert [item.offset for item in outcomes] == [ids.index(wanted)]


@behave.then(
    "a client that retries without looking leaves more than {n:d} records"
)
def check_hasty(context, n):
    create_harness(
        context, kind=log_harness.HastyClient, lose_answers=n, read_delay=0.5
    )
    append(context, n)
    found = len(context.harness.log_ids())
    assert found > n, found


@behave.then("the log client is not reachable and has sent no append")
def check_unreachable(context):
    assert not context.reader.client.reachable
    assert context.reader.client.last_head_read is None
    assert context.reader.client.append_attempts == 0


@behave.when("the log is back")
def end_outage(context):
    context.harness.service.faults = logservice.InjectedFaults()


@behave.when("it offers {n:d} items, one by one, for batches")
def offer_items(context, n):
    context.items = []
    context.batches = []
    name = Incarnation("e1")

    def collect():
        if not context.items:
            return None
        taken, context.items = context.items, []
        context.batches.append(taken)
        return record.create_record(name, record.Removed(name))

    for number in range(n):
        context.items.append(number)
        context.reader.client.append_batch(collect, lambda outcome: None)
        context.harness.loop.run_for(0.05)
    context.harness.loop.run_until(lambda: not context.reader.client.queued)


@behave.then("all {n:d} items are in the log in fewer than {limit:d} records")
def check_batches(context, n, limit):
    assert sum(context.batches, []) == list(range(n)), context.batches
    found = len(context.harness.log), len(context.batches)
    assert found[0] == found[1] < limit, found


@behave.when("it has read the head")
def read_head(context):
    client = context.reader.client
    context.harness.loop.run_until(lambda: client.last_head_read is not None)


@behave.then("the head read is at least {age:g} seconds old")
def check_age(context, age):
    found = (
        context.harness.loop.clock.now - context.reader.client.last_head_read
    )
    assert found >= age - 1e-9, found


@behave.when("{n:d} records are appended by others and {kept:d} are retained")
def append_beyond_retention(context, n, kept):
    context.harness.service.faults.retention = kept
    for _ in range(n):
        entry = record.create_record("e9", record.Left("e9"))
        context.harness.service.append(
            "control", record.encode_record(entry, log_harness.KEY)
        )
    context.harness.service.faults.outage = logservice.Outage.NONE
    context.harness.loop.run_until(
        lambda: len(context.reader.delivered) == kept
    )


@behave.then(
    "the log client reports a gap up to record {start:d} and delivers {n:d}"
    " records"
)
def check_gap(context, start, n):
    assert context.reader.gaps == [start], context.reader.gaps
    found = [item.offset for item in context.reader.delivered]
    assert found == list(range(start, start + n)), found


@behave.then("they took at least {seconds:g} seconds of its clock")
def check_rate(context, seconds):
    took = context.harness.loop.clock.now - context.began
    assert took >= seconds, took


@behave.when("a claims record lands in the control stream")
def land_claims(context):
    entry = record.create_record("e9", record.Claims((), ()))
    context.harness.service.append(
        "control", record.encode_record(entry, log_harness.KEY)
    )
    context.reader.append()
    context.harness.read_all()


@behave.then(
    "the log client counts {n:d} refused record and delivers the next one"
)
def check_refused(context, n):
    refused = context.reader.client.refused
    assert refused == {fault.Code.RECORD_KIND: n}, refused
    assert [item.offset for item in context.reader.delivered] == [1]


@behave.then("answers with records from another offset are refused")
def check_crossed(context):
    data = base64.b64encode(b"x").decode()
    item = {"offset": 7, "time": 1.0, "data": data}
    for offset, kept in ((7, 1), (6, None), (8, None)):
        found = logclient._parse_records({"records": [item]}, offset)
        assert (found and len(found)) == kept, (offset, found)


@behave.when("{seconds:g} seconds pass for the log client")
def pass_time(context, seconds):
    context.harness.loop.run_for(seconds)


@behave.when("the log is back and {seconds:g} seconds pass for the log client")
def return_log(context, seconds):
    context.harness.service.faults = logservice.InjectedFaults()
    context.harness.loop.run_for(seconds)


@behave.then("the log client has read the head")
def check_head_read(context):
    assert context.reader.client.last_head_read is not None
