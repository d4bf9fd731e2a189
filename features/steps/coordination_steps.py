"""Steps for schedules over simulated entries."""

import os

import behave
import hypothesis
from hypothesis import strategies

from features import mechanisms, schedules, scripts, simulation

EXAMPLES = int(os.environ.get("CLEMENTINEWOOD_EXAMPLES", "170"))
OPERATIONS = strategies.tuples(
    strategies.integers(0, len(schedules.OPERATIONS) - 1),
    strategies.integers(0, 255),
)


@behave.when("random schedules of faults and load run over the entries")
def run_random_schedules(context):
    context.steps = context.runs = 0

    @hypothesis.settings(
        max_examples=EXAMPLES,
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(
        strategies.integers(0, 1 << 32),
        strategies.lists(OPERATIONS, min_size=50, max_size=70),
    )
    def run_one(seed, operations):
        world = schedules.run_schedule(seed, operations)
        context.steps += world.steps
        context.runs += len(world.executions)

    run_one()
    print(
        f"{EXAMPLES} schedules, {context.steps} steps,"
        f" {context.runs} keyed requests run"
    )


@behave.then(
    "every schedule kept its history and at least {count:d} steps were run"
)
def check_steps(context, count):
    assert context.steps >= count, context.steps
    assert context.runs > EXAMPLES, context.runs


@behave.when('the scripted schedule "{name}" runs over the entries')
def run_script(context, name):
    context.script = scripts.SCRIPTS[name]
    context.violation = run_script_with(context.script, None)


@behave.then("its history holds")
def check_history(context):
    assert context.violation is None, context.violation


@behave.then('without the mechanism "{mechanism}" it fails the check "{check}"')
def check_violation(context, mechanism, check):
    create = mechanisms.create(mechanism)
    violation = run_script_with(context.script, create)
    assert violation is not None, "the history holds"
    assert violation.startswith(f"{check}:"), violation


def run_script_with(script, create):
    try:
        script(create)
    except simulation.HistoryError as error:
        return str(error)
    return None
