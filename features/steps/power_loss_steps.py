"""Steps for what callers were told before and after losses of power."""

from unittest import mock

import behave

from clementinewood import job
from features import job_faults, power_loss, power_loss_mutants, shown_facts
from features.steps import job_states_steps

NAME = job_states_steps.NAME
BACK_SECONDS = 1.0
MINIONS_BACK_SECONDS = 5.0


@behave.given('a site with callers in zones "{zones}"')
def create_site(context, zones):
    context.site = power_loss.Site(1, zones.split(), minions=3)
    context.add_cleanup(context.site.close)


@behave.given(
    "a job of {count:d} tasks of {seconds:g} seconds that callers know"
)
def run_job(context, count, seconds):
    site = context.site
    context.leader = job_states_steps.find_leader(site)
    context.told = job_states_steps.find_followers(site)[0]
    # Too large for two on one minion, so that the leader gets reports of all.
    need = job.Resources(5000, 100)
    step = job.Step(count=count, need=need, estimate=seconds)
    site.submit(context.told, NAME, [step])
    site.run_for(0.5)
    assert len(site.history.starts) == count, site.history.starts


def select(context, which):
    """Returns all entries, or the leader and the entry that callers ask."""
    if which == "all":
        return list(context.site.entries)
    return [context.leader, context.told]


@behave.when("{which} entries are {fault} by the store for {seconds:g} seconds")
def fail_store(context, which, fault, seconds):
    site = context.site
    site.fail_store(power_loss.Outage(fault), select(context, which))
    site.call_later(seconds, site.restore_store)


@behave.when('a caller is told that the job is "{state}"')
def await_state(context, state):
    site = context.site
    for _ in range(100):
        site.describe(context.told, NAME)
        site.run_for(0.05)
        if any(item.state is job.JobState(state) for item in find_shown(site)):
            return
    raise AssertionError(f"the job was not shown as {state}")


def find_shown(site):
    return [item for item in site.history.answers if item.state is not None]


@behave.when("{which} entries and all minions lose power")
def lose_power(context, which):
    site = context.site
    site.lose_power(
        select(context, which),
        list(site.harness.minions.values()),
        BACK_SECONDS,
        MINIONS_BACK_SECONDS,
    )


@behave.when("the caller cancels the job there")
def cancel_there(context):
    cancel_at(context, context.told)


def cancel_at(context, entry):
    site = context.site
    site.cancel(entry, NAME)
    site.run_for(0.3)
    assert site.history.find_first(NAME, lambda item: item.cancels)


@behave.when("another entry is asked to cancel the job")
@behave.when("another entry is asked to cancel it meanwhile")
def cancel_elsewhere(context):
    followers = job_states_steps.find_followers(context.site)
    cancel_at(context, followers[1])


@behave.when(
    "a job is submitted and its append arrives after {seconds:g} seconds"
)
def submit_late(context, seconds):
    site = context.site
    context.told = job_states_steps.find_followers(site)[0]
    link = context.told.link
    link.lost_answer_ratio = link.carried_out = 1.0
    link.earliest = link.late = seconds
    site.submit(context.told, NAME, job_faults.create_steps(2, 2, 3.0))
    site.call_later(seconds, lambda: setattr(link, "lost_answer_ratio", 0.0))
    site.run_for(0.2)


@behave.when("the configuration of that entry is out of date")
def age_configuration(context):
    patch = mock.patch.object(
        context.told.service._declarations_feed,
        "seconds_since_current",
        lambda: 60.0,
    )
    patch.start()
    context.add_cleanup(patch.stop)


@behave.when("the leader answers no other entry")
def silence_leader(context):
    context.leader.fall_silent()


@behave.when("that entry is asked for the job")
def ask_told(context):
    context.site.describe(context.told, NAME)
    context.site.run_for(1.0)


@behave.when("all entries are asked for the job")
def ask_all(context):
    for entry in context.site.entries:
        context.site.describe(entry, NAME)
    context.site.run_for(0.5)


@behave.when("{seconds:g} seconds pass beside the callers")
def pass_time(context, seconds):
    context.site.run_for(seconds)


def render(violations):
    """Returns the first violation of each property."""
    first = {}
    for violation in violations:
        first.setdefault(violation.check, str(violation))
    return list(first.values())


@behave.then("what callers were told holds")
def check_site(context):
    violations = context.site.find_violations()
    assert not violations, render(violations)


@behave.given(
    "{count:d} sites with callers and faults drawn from seed {seed:d}"
)
def run_sites(context, count, seed):
    context.violations = {}
    for number in range(seed, seed + count):
        site = power_loss.run_site(number, power_loss.SEARCH_SECONDS)
        context.violations[number] = site.find_violations()
        site.close()


@behave.then("what callers of each site were told holds")
def check_sites(context):
    broken = {
        seed: found for seed, found in context.violations.items() if found
    }
    assert not broken, {seed: render(found) for seed, found in broken.items()}


@behave.given('entries without the mechanism "{mechanism}"')
def remove_mechanism(context, mechanism):
    mutant = power_loss_mutants.remove(mechanism)
    mutant.__enter__()
    context.add_cleanup(mutant.__exit__, None, None, None)


@behave.then('some site fails the check "{check}"')
def check_detected(context, check):
    found = {
        violation.check
        for violations in context.violations.values()
        for violation in violations
    }
    assert shown_facts.Check[check] in found, found


@behave.then('the check "{check}" fails')
def check_site_detected(context, check):
    found = {item.check for item in context.site.find_violations()}
    assert found == {shown_facts.Check[check]}, found
