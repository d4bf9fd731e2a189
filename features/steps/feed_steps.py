"""Steps for following a stream, with answers given by the test."""

import behave

from clementinewood import feed, jobtable, ports, timer, verdict
from features import clock

FAILED = ports.Failed(verdict.Execution.NOT_RUN, "set by the test")


class ScriptedStore:
    """Keeps each read until the test answers it."""

    def __init__(self):
        self.reads = []
        self.pages = []

    def read(self, stream, offset, wait, on_result):
        self.reads.append((offset, wait, on_result))

    def read_newest(self, stream, after, on_result):
        self.pages.append((after, on_result))

    def answer_read(self, outcome):
        self.reads.pop()[2](outcome)

    def answer_page(self, outcome):
        self.pages.pop()[1](outcome)


def create_record(key, offset):
    return jobtable.StoredRecord(key, b"1", offset)


def create_feed(context):
    context.clock = clock.ManualClock(100.0)
    context.timers = timer.TimerService(clock=context.clock)
    context.store = ScriptedStore()
    context.received = []
    context.on_records = context.received.extend
    context.feed = feed.Feed(
        context.store,
        ports.Stream.JOBS,
        context.timers,
        on_snapshot=context.received.extend,
        on_records=lambda records: context.on_records(records),
    )
    context.feed.start()


def run_until(context, end):
    while context.clock.now < end:
        context.clock.now = min(end, context.clock.now + 0.05)
        context.timers.run_due()


@behave.given("a feed that has been loaded")
def load_feed(context):
    create_feed(context)
    context.store.answer_page(ports.Records((), -1, 0))


@behave.given(
    "the feed's owner asks for everything stored, while it applies records"
)
def ask_while_applying(context):
    context.told = []
    asked = []

    def apply(records):
        if not asked:
            asked.append(True)
            context.feed.call_when_caught_up(context.told.append, 10.0)

    context.on_records = apply


@behave.when("a read brings 1 record, 0.5 s after it was sent")
def answer_late(context):
    context.clock.now += 0.5
    context.store.answer_read(ports.Records((create_record("a", 0),), 1, 1))


@behave.then("the owner has not been told that everything is read")
def expect_untold(context):
    assert context.told == [], context.told


@behave.when("the next read brings no record")
def answer_empty(context):
    context.store.answer_read(ports.Records((), 1, 1))


@behave.then("the owner has been told that everything is read")
def expect_told(context):
    assert context.told == [True], context.told


@behave.when("a read brings 1 of 3 records")
def answer_part(context):
    context.store.answer_read(ports.Records((create_record("a", 0),), 1, 3))


@behave.when("everything stored by now is asked for")
def refresh_feed(context):
    context.feed.refresh()


@behave.when("a read brings the other records")
def answer_rest(context):
    rest = (create_record("b", 1), create_record("c", 2))
    context.store.answer_read(ports.Records(rest, 3, 3))


@behave.then("the next read does not wait for a record")
def expect_no_wait(context):
    offset, wait, _ = context.store.reads[-1]
    assert (offset, wait) == (3, 0.0), (offset, wait)


@behave.given("a feed that loads, with a page that took 3 s")
def load_slowly(context):
    create_feed(context)
    context.clock.now += 3.0
    context.store.answer_page(ports.Records((create_record("a", 0),), 0, 5))


@behave.when('the records since then hold "{key}" at offset {offset:d}')
def answer_tail(context, key, offset):
    assert context.store.reads[-1][0] == offset
    context.store.answer_read(
        ports.Records((create_record(key, offset),), offset + 1, offset + 1)
    )


@behave.when('the last page holds "{key}" at offset {offset:d}')
def answer_last_page(context, key, offset):
    context.store.answer_page(
        ports.Records((create_record(key, offset),), -1, offset + 1)
    )


@behave.then('the feed has passed on "{key}" at offsets {offsets}')
def expect_offsets(context, key, offsets):
    found = [record.offset for record in context.received if record.key == key]
    assert found == [int(offset) for offset in offsets.split(",")], found


@behave.when("pages fail for {seconds:d} s")
def fail_pages(context, seconds):
    end = context.clock.now + seconds
    while context.clock.now < end:
        if context.store.pages:
            context.store.answer_page(FAILED)
        run_until(context, context.clock.now + 0.5)


@behave.then("the feed reads the records since then again")
def expect_tail_read(context):
    assert [read[0] for read in context.store.reads] == [6]


@behave.when(
    "a long poll of 1 second brings {count:d} records after {seconds:g} seconds"
)
def answer_long_poll(context, count, seconds):
    assert context.store.reads[-1][1] == 1.0
    context.clock.now += seconds
    records = tuple(create_record("a", number) for number in range(count))
    context.store.answer_read(ports.Records(records, count, count))


@behave.then("what is known of the stream is {age:g} seconds old")
def check_age(context, age):
    assert abs(context.feed.seconds_since_current() - age) < 1e-6, (
        context.feed.seconds_since_current()
    )
