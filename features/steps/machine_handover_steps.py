"""Steps for maintenance waves while the dispatcher changes."""

import json

import behave

from clementinewood import catalog, identifiers, job, ports, run
from features import job_harness

WAVE = 1
LASTING = identifiers.JobId("00000000000000bb")
LASTING_TASKS = 4
WAVE_SECONDS = 30.0
RESTART_SECONDS = 0.1


@behave.given(
    "a site whose wave takes {count:d} machines down, {cap:d} at once"
)
def create_wave_site(context, count, cap):
    harness = job_harness.JobHarness(minions=count, spare=4)
    context.harness = harness
    machines = list(harness.machine_service.machines)[:count]
    harness.run_for(1.5)
    wave = catalog.Wave(
        number=WAVE, machines=tuple(machines), seconds=WAVE_SECONDS, cap=cap
    )
    context.declare = lambda: harness.declare(
        waves=(wave,), configuration=harness.declared.configuration
    )


def begin_wave(context):
    if not context.harness.declared.waves:
        context.declare()


@behave.given("maintenance takes {seconds:g} seconds")
def set_maintenance_seconds(context, seconds):
    context.harness.machine_service.upkeep_seconds = seconds


@behave.given("a long-running job whose tasks may be away one at a time")
def submit_lasting(context):
    harness = context.harness
    step = job.Step(
        count=LASTING_TASKS,
        need=job.Resources(1000, 100),
        long_running=True,
        max_per_minion=1,
        max_unavailable=1,
    )
    harness.submit(harness.entries[0], LASTING, [step])
    harness.run_until(lambda: count_working(harness) == LASTING_TASKS)


def count_working(harness):
    return sum(
        task.job == LASTING
        for minion in harness.minions.values()
        for task in minion.running
    )


@behave.when("the maintenance of {count:d} machines has begun")
def await_maintenance(context, count):
    begin_wave(context)
    harness = context.harness
    harness.run_until(
        lambda: len(harness.machine_service.list_down(WAVE)) == count
    )


@behave.when("the dispatcher is killed and starts again on the same host")
def restart_dispatcher(context):
    harness = context.harness
    before = harness.dispatcher()
    harness.kill(before)
    harness.run_for(RESTART_SECONDS)
    again = harness.add_entry(before._minions.name)
    harness.run_until(lambda: again.dispatching, 5.0)


@behave.when(
    "the machine service carries out orders {earliest:g} to {latest:g} seconds"
    " late for {seconds:g} seconds"
)
def delay_machine_orders(context, earliest, latest, seconds):
    harness = context.harness
    links = list(harness.machine_order_links.values())
    for link in links:
        link.lost_answer_ratio, link.carried_out = 1.0, 1.0
        link.earliest, link.late = earliest, latest
    begin_wave(context)
    harness.run_for(seconds)
    for link in links:
        link.lost_answer_ratio = 0.0


@behave.when("the dispatcher is killed while its tasks are moved")
def kill_while_moving_tasks(context):
    begin_wave(context)
    harness = context.harness
    harness.run_until(lambda: list_stops(harness))
    harness.kill(harness.dispatcher())


def list_stops(harness):
    """Returns minion and task of each stop of a long-running task."""
    return [
        (entry[2], entry[3])
        for entry in harness.history
        if entry[0] == "end"
        and entry[3].job == LASTING
        and entry[4] is run.RunOutcome.STOPPED
    ]


@behave.then("the wave is completed within {seconds:g} seconds")
def await_wave(context, seconds):
    harness = context.harness
    wave = harness.declared.waves[0]

    def is_completed():
        record = harness.store.newest[ports.Stream.STATUS].get(f"wave/{WAVE}")
        return record is not None and json.loads(record.value) == "completed"

    harness.run_until(is_completed, seconds)
    serviced = {name for number, name in harness.machine_service.serviced}
    assert serviced == set(wave.machines), serviced
    harness.run_for(harness.machine_service.upkeep_seconds + 3.0)


@behave.then("no task of the job was stopped twice for one machine")
def check_stops(context):
    stops = list_stops(context.harness)
    assert stops and len(stops) == len(set(stops)), stops


@behave.then("all tasks of the job are at work")
def check_all_working(context):
    assert count_working(context.harness) == LASTING_TASKS
