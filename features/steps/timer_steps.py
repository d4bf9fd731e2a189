"""Steps for the timer service."""

from unittest import mock

import behave

from clementinewood import event, timer
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


@behave.when('the part "{inner}" runs for {seconds:g} seconds within "{outer}"')
def run_parts(context, inner, seconds, outer):
    with (
        mock.patch.object(event, "emit") as emit,
        context.timers.measure_turn(outer),
        context.timers.measure_turn(inner),
    ):
        context.clock.now += seconds
    context.emitted = emit.call_args_list


@behave.then("no part is logged")
def check_not_logged(context):
    assert context.emitted == [], context.emitted


@behave.then('"{part}" is logged with {seconds:g} seconds, and nothing else')
def check_logged(context, part, seconds):
    held = event.Event.EVENT_LOOP_HELD
    assert context.emitted == [mock.call(held, part=part, seconds=seconds)]


@behave.then("the timer service counts {count:d} slow turns")
def check_slow_turns(context, count):
    assert context.timers.slow_turns == count
