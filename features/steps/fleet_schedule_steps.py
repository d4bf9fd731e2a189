"""Steps for fleet planning under faults."""

import behave

from features import fleet_check, fleet_harness, fleet_mutants, fleet_schedule


@behave.when("random fleet schedules run")
def run_random(context):
    context.steps = fleet_schedule.explore(fleet_harness.Parts())


@behave.then("at least {count:d} fleet schedule steps kept every property")
def check_steps(context, count):
    assert context.steps >= count, context.steps


def run_directed(context, parts, mechanism):
    context.violation = None
    try:
        fleet_schedule.execute(parts, fleet_mutants.SCHEDULES[mechanism])
    except fleet_check.ViolationError as violation:
        context.violation = violation.args[0]


@behave.when('the fleet schedule for "{mechanism}" runs on the whole mechanism')
def run_whole(context, mechanism):
    run_directed(context, fleet_harness.Parts(), mechanism)


@behave.when('the fleet schedule for "{mechanism}" runs without it')
def run_broken(context, mechanism):
    run_directed(context, fleet_mutants.PARTS[mechanism], mechanism)


@behave.then("that fleet schedule keeps every property")
def check_kept(context):
    assert context.violation is None, context.violation


@behave.then('the fleet check reports "{violation}"')
def check_violation(context, violation):
    assert context.violation == violation, context.violation
