"""Steps for the writer of submitted jobs over a store of one partition."""

import behave

from clementinewood import jobwriter, ports, timer, verdict
from features import clock

PATIENCE = 2.85
LOST_SECONDS = 1.0


class SerialStore:
    """Takes appends one after the other; some answers are lost or refusals."""

    limits = ports.StoreLimits()

    def __init__(self, timers, seconds):
        self.timers = timers
        self.seconds = seconds
        self.free_at = 0.0
        self.appends = 0
        self.stored = {}
        self.is_lost = lambda number: False
        self.is_refused = lambda number: False

    def append(self, stream, items, on_result, *, fence=None):
        self.appends += 1
        number = self.appends
        now = self.timers.clock()
        if self.is_refused(number):
            failed = ports.Failed(verdict.Execution.NOT_RUN, "refused")
            self.timers.subscribe_once(0.002, lambda: on_result(failed))
            return
        self.free_at = max(self.free_at, now) + self.seconds
        if self.is_lost(number):
            failed = ports.Failed(verdict.Execution.MAY_HAVE_RUN, "lost")
            self.timers.subscribe_once(LOST_SECONDS, lambda: on_result(failed))
            return

        def finish():
            for item in items:
                self.stored[item.key] = self.timers.clock()
            on_result(ports.Appended(len(self.stored)))

        self.timers.subscribe_once(self.free_at - now, finish)


@behave.given(
    "a store that takes {seconds:g} seconds for each append, one after the"
    " other"
)
def create_store(context, seconds):
    context.clock = clock.ManualClock(50.0)
    context.timers = timer.TimerService(clock=context.clock)
    context.store = SerialStore(context.timers, seconds)
    context.writers = [create_writer(context)]
    context.outcomes = {}


def create_writer(context):
    return jobwriter.JobWriter(
        context.store,
        context.timers,
        on_stored=lambda items, offset: None,
        is_store_unresponsive=lambda: False,
    )


@behave.given("{count:d} entries that share it")
def share_store(context, count):
    context.writers = [create_writer(context) for _ in range(count)]


def run_for(context, seconds):
    end = context.clock.now + seconds
    while context.clock.now < end:
        context.timers.run_due()
        context.clock.now += 0.001
    context.timers.run_due()
    assert not context.timers.failures


def write(context, name):
    asked = context.clock.now

    def record_outcome(outcome):
        assert name not in context.outcomes
        context.outcomes[name] = (outcome, context.clock.now - asked)

    number = int(name.partition("/")[2])
    writer = context.writers[number % len(context.writers)]
    writer.write(
        ports.KeyedRecord(name, b"{}"), asked + PATIENCE, record_outcome
    )


@behave.when("{count:d} jobs arrive within {seconds:g} seconds")
def arrive(context, count, seconds):
    context.count = count
    for number in range(count):
        write(context, f"j/{number}")
        run_for(context, seconds / count)
    run_for(context, 3.0)


@behave.when(
    "{count:d} jobs arrive within {seconds:g} seconds and each third append is"
    " not answered"
)
def arrive_lossy(context, count, seconds):
    context.store.is_lost = lambda number: number % 3 == 0
    arrive(context, count, seconds)


@behave.when(
    "a job's first append is not answered and every later one is refused"
)
def lose_then_refuse(context):
    context.store.is_lost = lambda number: number == 1
    context.store.is_refused = lambda number: number > 1
    write(context, "j/0")
    run_for(context, 3.0)


@behave.when("every append of a job is refused")
def refuse(context):
    context.store.is_refused = lambda number: True
    write(context, "j/0")
    run_for(context, 3.0)


@behave.then("every job is stored within {seconds:g} seconds")
def check_stored(context, seconds):
    assert len(context.outcomes) == context.count
    for name, (outcome, waited) in context.outcomes.items():
        assert isinstance(outcome, ports.Appended), (name, outcome)
        assert waited <= seconds, (name, waited)


@behave.then(
    "one append for each job would have taken more than {seconds:g} seconds"
)
def check_baseline(context, seconds):
    assert context.count * context.store.seconds > seconds
    assert context.store.appends < context.count / 2


@behave.then("its caller is told at its deadline that it may have been stored")
def check_unknown(context):
    outcome, waited = context.outcomes["j/0"]
    assert outcome.execution is verdict.Execution.MAY_HAVE_RUN, outcome
    assert PATIENCE <= waited <= PATIENCE + 0.01, waited


@behave.then("its caller is told at once that it has not been stored")
def check_not_run(context):
    outcome, waited = context.outcomes["j/0"]
    assert outcome.execution is verdict.Execution.NOT_RUN, outcome
    assert waited < 0.01, waited
