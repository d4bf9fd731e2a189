"""Steps for the timer service."""

import behave

from clementinewood import timer
from features import clock


@behave.given("a timer service at time {now:g}")
def create_service(context, now):
    context.clock = clock.ManualClock(now)
    context.timers = timer.TimerService(clock=context.clock)
    context.calls = 0


def count_call(context):
    context.calls += 1


@behave.given("a single call after {delay:g} seconds")
def subscribe_once(context, delay):
    context.subscription = context.timers.subscribe_once(
        delay, lambda: count_call(context)
    )


@behave.given("a call every {period:g} seconds")
def subscribe_every(context, period):
    context.timers.subscribe_every(period, lambda: count_call(context))


@behave.given("a callback that fails after {delay:g} seconds")
def subscribe_failing(context, delay):
    context.timers.subscribe_once(delay, lambda: 1 / 0)


@behave.when("time moves to {now:g}")
def move_time(context, now):
    context.clock.now = now
    context.timers.run_due()


@behave.when("the call is cancelled")
def cancel_call(context):
    context.subscription.cancel()


@behave.then("the call happened {count:d} times")
def check_calls(context, count):
    assert context.calls == count, context.calls


@behave.then("the timer service counts {count:d} failures")
def check_failures(context, count):
    assert context.timers.failures == count
