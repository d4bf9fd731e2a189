"""Steps for snapshots that entries write and start from."""

import behave

from clementinewood import bundle, fleet_record, record, snapshot
from features import entry_harness


@behave.given("a site of {n:d} entries whose log keeps {kept:d} records")
def create_site(context, n, kept):
    context.harness = entry_harness.EntryHarness(entries=n, retention=kept)
    context.add_cleanup(context.harness.close)


@behave.given("entries {first:d} to {last:d} run with a bundle in force")
def start_entries(context, first, last):
    for number in range(first, last + 1):
        context.harness.start(number - 1)
    context.harness.roll()


@behave.given("entry {number:d} writes no snapshots")
def stop_writing(context, number):
    context.harness.entries[number - 1]._snapshots.write = lambda now: None


@behave.given("{n:d} foreign control records of which all have expired")
def expire_all(context, n):
    append_foreign(context, n)
    stream = context.harness.site.log._open_stream("control")
    stream.start += len(stream.records)
    stream.records.clear()


@behave.given(
    "{n:d} foreign control records of which the last {kept:d} are kept"
)
def expire_some(context, n, kept):
    append_foreign(context, n)
    assert len(context.harness.site.log.read_stream("control")) == kept


def append_foreign(context, n):
    for number in range(n):
        lease = fleet_record.PlannerLease("old/1", number, 1.0)
        context.harness.append(record.create_record("old/1", lease))


@behave.when("{n:d} stale control records land")
def append_stale(context, n):
    for _ in range(n):
        context.harness.append_stale(1)


@behave.when("reads of the log take {seconds:g} second")
def delay_reads(context, seconds):
    context.harness.site.log.faults.read_delay = seconds


@behave.when("{n:d} foreign control records land")
def land_foreign(context, n):
    append_foreign(context, n)


@behave.when("entry {number:d} goes on alone for {seconds:g} seconds")
def go_on(context, number, seconds):
    context.harness.loop.run_for(seconds)


@behave.then("entry {number:d} waits for a snapshot")
def check_waiting(context, number):
    assert not context.harness.entries[number - 1].state.has_base


@behave.then("no snapshot in the log is without members")
def check_no_bootstrap(context):
    for entry in context.harness.list_records():
        if isinstance(entry.payload, record.Snapshot):
            content = snapshot.decode(
                entry.payload.content, bundle.BundleParser()
            )
            assert content.members, entry


@behave.when("{seconds:g} seconds pass at the entries")
def wait(context, seconds):
    context.harness.loop.run_for(seconds)
    context.harness.settle()


@behave.when("entry {number:d} starts")
def start_entry(context, number):
    context.harness.start(number - 1)
    context.harness.loop.run_for(1.0)


@behave.when("entry {number:d} runs alone for {seconds:g} seconds")
def run_alone(context, number, seconds):
    context.harness.entries[number - 1].start()
    context.harness.loop.run_for(seconds)


@behave.when("entry {number:d} finds that control records expired unread")
def begin_gap(context, number):
    entry = context.harness.entries[number - 1]
    context.before = entry.state.roster
    entry._on_control_gap(entry.state.next_offset + 1)
    context.offset = entry.coordination.offset
    context.harness.append_stale(3)
    context.harness.loop.run_for(2.5)


@behave.then(
    "entry {number:d} neither is fresh nor counts buffered records as folded"
)
def check_stale(context, number):
    entry = context.harness.entries[number - 1]
    assert not entry.state.has_base
    assert entry.coordination.offset == context.offset
    assert not entry.is_fresh


@behave.then("entry {number:d} has taken over a new roster")
def check_new_roster(context, number):
    entry = context.harness.entries[number - 1]
    assert entry.state.roster is not context.before
    assert entry.coordination.roster is entry.state.roster


@behave.then("the entries' snapshots were written by entry {number:d} alone")
def check_author(context, number):
    authors = set(context.harness.list_snapshots())
    assert authors == {context.harness.entries[number - 1].me}, authors


@behave.then("the log holds no snapshot of an entry")
def check_no_snapshot(context):
    assert context.harness.list_snapshots() == []


@behave.then("the running entries agree on one roster")
def check_agreement(context):
    context.harness.check_agreement()


@behave.then("held rights of the running entries add up to every limit")
def check_rights(context):
    context.harness.check_rights()
