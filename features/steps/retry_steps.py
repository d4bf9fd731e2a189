"""Steps for retries."""

import dataclasses
import functools
import random

import behave

from clementinewood import retry, verdict
from features import histories


class Repeats(retry.RetryPolicy):
    def decide(self, attempt, now):
        return super().decide(
            dataclasses.replace(attempt, idempotent=True), now
        )


class NoTeamBudget(retry.RetryPolicy):
    def _budget(self, team):
        return retry.RetryBudget(ratio=1.0, capacity=100.0)


class NoFleetBudget(retry.RetryPolicy):
    def __init__(self, rng, **options):
        super().__init__(rng, **{**options, "burst": 100.0})


class LastAttemptOnly(retry.RetryPolicy):
    def _give_up(self, attempt, reason, detail, *, retry_after=None):
        return retry.GiveUp(
            verdict.Refusal(reason, retry.EXECUTIONS[attempt.outcome])
        )


class Unlimited(retry.RetryPolicy):
    def decide(self, attempt, now):
        return super().decide(dataclasses.replace(attempt, max_attempts=9), now)


class IgnoresDeadlines(retry.RetryPolicy):
    def decide(self, attempt, now):
        return super().decide(dataclasses.replace(attempt, deadline=1e9), now)


class BlamesNone(retry.RetryPolicy):
    def _record_failure(self, attempt, now):
        return False


FAULTS = {
    "repeats what may have run": Repeats,
    "has no team budgets": NoTeamBudget,
    "has no fleet budget": NoFleetBudget,
    "reports the last attempt only": LastAttemptOnly,
    "has no limit of attempts": Unlimited,
    "ignores deadlines": IgnoresDeadlines,
    "blames no request": BlamesNone,
}


@behave.given("the retry policy as it is")
def choose_real(context):
    context.retry_kind = retry.RetryPolicy


@behave.given("a retry policy that {fault}")
def choose_broken(context, fault):
    context.retry_kind = FAULTS[fault]


def check_script(kind, script):
    history = histories.RetryHistory
    policy = kind(
        random.Random(1),
        ratio=history.RATIO,
        team_burst=history.TEAM_BURST,
        burst=history.BURST,
    )
    history(policy).play(script)


@behave.then("{some} generated script violates the retry history")
def check_scripts(context, some):
    check = functools.partial(check_script, context.retry_kind)
    if some == "no":
        histories.search(check, histories.calls, examples=100)
    else:
        assert histories.fails(check, histories.calls, examples=100)


def create(kind):
    return kind(random.Random(1), team_burst=1000.0, burst=1000.0)


def describe(outcome, *, idempotent=True, **options):
    return retry.Attempt(
        "r1", "a", 1, outcome, idempotent, 1000.0, 0.1, "m1", **options
    )


@behave.then(
    "a first attempt of a {kind} request that ended {outcome} gives {result}"
)
def check_first(context, kind, outcome, result):
    attempt = describe(retry.Outcome(outcome), idempotent=kind == "idempotent")
    decision = create(context.retry_kind).decide(attempt, 0.0)
    if result == "a retry":
        assert isinstance(decision, retry.Retry)
        assert decision.exclude == {"m1"}
        return
    refusal = decision.refusal
    found = f"{refusal.reason.value}, {refusal.execution.value}"
    assert found == result, found


@behave.then(
    "a queue-full refusal after an attempt that ended {outcome} says {what}"
)
def check_combined(context, outcome, what):
    refusal = verdict.Refusal(verdict.Reason.QUEUE_FULL)
    attempt = describe(retry.Outcome(outcome))
    found = retry.combine_refusal(refusal, attempt.execution)
    assert found.reason is verdict.Reason.QUEUE_FULL
    assert found.execution.value == what


@behave.then("200 {which} delays spread from 0 to {limit:g} seconds")
def check_jitter(context, which, limit):
    policy = create(context.retry_kind)
    attempt = describe(retry.Outcome.LOST)
    if which == "second":
        attempt = attempt.follow(retry.Outcome.LOST, "m2")
    delays = [policy.decide(attempt, 0.0).delay for _ in range(200)]
    assert 0.0 <= min(delays) < 0.1 * limit, min(delays)
    assert 0.9 * limit < max(delays) <= limit, max(delays)


def fail_on_three(kind, now):
    """Lets one request of kind `k` fail on three minions."""
    policy = create(kind)
    attempt = describe(retry.Outcome.FAILED, kind="k", max_attempts=9)
    for minion in ("m2", "m3"):
        assert isinstance(policy.decide(attempt, now), retry.Retry)
        attempt = attempt.follow(retry.Outcome.LOST, minion)
    return policy, policy.decide(attempt, now)


@behave.then("a request that failed on 3 minions is refused as ran")
def check_blamed(context):
    context.policy, decision = fail_on_three(context.retry_kind, 0.0)
    assert decision.refusal.reason is verdict.Reason.RETRIES_EXHAUSTED
    assert decision.refusal.execution is verdict.Execution.RAN


@behave.then("another request of its kind is refused after one attempt")
def check_kind(context):
    attempt = describe(retry.Outcome.LOST, kind="k")
    decision = context.policy.decide(attempt, 1.0)
    assert decision.refusal.execution is verdict.Execution.MAY_HAVE_RUN


@behave.then("it is retried again once one of its kind has succeeded")
def check_cleared(context):
    context.policy.record_success("k")
    attempt = describe(retry.Outcome.LOST, kind="k")
    assert isinstance(context.policy.decide(attempt, 2.0), retry.Retry)


@behave.then("its failures are forgotten after {seconds:g} seconds")
def check_forgotten(context, seconds):
    policy, _ = fail_on_three(context.retry_kind, 0.0)
    attempt = describe(retry.Outcome.LOST, kind="k")
    early = policy.decide(attempt, seconds - 1.0)
    assert isinstance(early, retry.GiveUp)
    assert isinstance(policy.decide(attempt, seconds + 1.0), retry.Retry)


@behave.then("another request of a failed kind is retried")
def check_no_blame(context):
    policy = create(context.retry_kind)
    for minion in ("m1", "m2", "m3"):
        attempt = dataclasses.replace(
            describe(retry.Outcome.LOST, kind="k"), minion=minion
        )
        assert isinstance(policy.decide(attempt, 0.0), retry.Retry)
