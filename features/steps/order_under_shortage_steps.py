"""Steps for the order of jobs while a pool is short of room."""

import dataclasses
import random
import statistics
from unittest import mock

import behave

from clementinewood import (
    activejob,
    catalog,
    fairshare,
    identifiers,
    job,
    joborder,
    run,
)
from features import shortage_replay as replay

LONG_SECONDS = 100.0
NOW = 20.0


@behave.given(
    "a pool at twice what it can run, with weights that add up to {rate:g} jobs"
    " a second, seeds {first:d} to {last:d}"
)
def set_load(context, rate, first, last):
    scale = rate / sum(replay.WEIGHTS.values())
    context.replay_config = replay.create_config(scale)
    context.seeds = range(first, last + 1)


def serve(context, *, fair):
    """Returns the figures of each seed and their bounds."""
    found = []
    for seed in context.seeds:
        loads = replay.draw_load(seed)
        dispatch = replay.create_dispatcher(
            context.replay_config, fair_order=fair
        )
        if not fair:
            dispatch.times = replay.MeanTimes()
        replay.replay(loads, dispatch)
        found.append(replay.measure(loads))
    return found


@behave.when("it is replayed in the fair order and in the previous one")
def serve_both(context):
    fair, previous = serve(context, fair=True), serve(context, fair=False)
    context.shares = {
        "fair order": [figures for figures, _ in fair],
        "previous order": [figures for figures, _ in previous],
        "bound": [bound for _, bound in fair],
    }


def find_mean(context, name):
    columns = zip(*context.shares[name], strict=True)
    return replay.Figures(*map(statistics.mean, columns))


@behave.then("the shares of work in time are printed")
def print_shares(context):
    for name in context.shares:
        figures = find_mean(context, name)
        print(
            f"{name}: overall {figures.overall:.3f}, worst team"
            f" {figures.worst_team:.3f}, largest tenth {figures.largest:.3f}"
        )


@behave.then(
    "overall and for the worst team the fair order has more work in time than"
    " the previous one"
)
def check_fair_order(context):
    fair, previous = (
        find_mean(context, "fair order"),
        find_mean(context, "previous order"),
    )
    assert fair.overall > previous.overall, (fair, previous)
    assert fair.worst_team > previous.worst_team, (fair, previous)


@behave.then("no share exceeds its bound")
def check_bound(context):
    for name in ("fair order", "previous order"):
        for figures, bound in zip(
            context.shares[name], context.shares["bound"], strict=True
        ):
            for value, most in zip(figures, bound, strict=True):
                assert value <= most + 1e-9, (name, figures, bound)


def create_job(number, team, cores, accepted, estimate=1.0):
    return job.Job(
        job_id=identifiers.JobId(f"{number:016x}"),
        queue=replay.QUEUE.name,
        team=identifiers.TeamId(team),
        spec="",
        steps=(
            job.Step(
                count=cores, need=job.Resources(1000, 10), estimate=estimate
            ),
        ),
        accepted=accepted,
    )


@behave.given(
    "a pool of {cores:d} cores with fair order {switch}, of which team canvas"
    " uses {used:d}"
)
def create_pool(context, cores, switch, used):
    assert cores == replay.CORES
    config = replay.create_config(teams={"canvas": 1.0, "shade": 1.0})
    context.dispatch = replay.create_dispatcher(
        config, fair_order=switch == "on"
    )
    context.running = []
    start_long(context, 0, "canvas", used)


def start_long(context, number, team, used):
    """Starts runs that don't end in the scenario."""
    accepted = create_job(number, team, used, 0.0, LONG_SECONDS)
    context.dispatch.add_job(accepted, job.Progress(), 0.0)
    orders = replay.start_planned(context.dispatch, 0.1)
    assert len(orders) == used
    context.running += orders


@behave.given("of which team shade uses {used:d}")
def start_runs_of_shade(context, used):
    if used:
        start_long(context, 4, "shade", used)


@behave.given(
    "jobs of canvas and, a little later, of shade that are {age} and need"
    " {cores:d} cores each"
)
def add_waiting(context, age, cores):
    arrived = NOW - (0.3 if age == "timely" else 2.0)
    context.waiting = [
        create_job(1, "canvas", cores, arrived),
        create_job(2, "shade", cores, arrived + 0.1),
    ]
    for accepted in context.waiting:
        context.dispatch.add_job(accepted, job.Progress(), accepted.accepted)


@behave.given(
    "a job of shade that needs {cores:d} cores, of which its upper limit allows"
    " {cap:d}"
)
def add_capped(context, cores, cap):
    dispatch = context.dispatch
    accepted = create_job(3, "shade", cores, NOW, LONG_SECONDS)
    dispatch.add_job(accepted, job.Progress(), NOW)
    shade = identifiers.TeamId("shade")
    teams = dict(dispatch.config.teams)
    teams[shade] = dataclasses.replace(
        teams[shade], cap=job.Resources(cap * 1000)
    )
    dispatch.config = dataclasses.replace(dispatch.config, teams=teams)


@behave.when("a successor takes over and has polled the minions")
def change_leader(context):
    old = context.dispatch
    context.dispatch = replay.create_dispatcher(old.config, term=2)
    for active in old.jobs.values():
        context.dispatch.add_job(active.job, job.Progress(), active.arrived)
    for minion_id in old.views:
        rows = [
            run.ReportedRun(
                task=order.task, number=order.number, checkpoint="", percent=0
            )
            for order in context.running
            if order.minion_id == minion_id
        ]
        replay.report(context.dispatch, minion_id, NOW - 0.1, running=rows)


@behave.when("a configuration comes into force in which {team} {lacks}")
def change_teams(context, team, lacks):
    dispatch = context.dispatch
    teams = dict(dispatch.config.teams)
    names = list(teams) if team == "nobody" else [identifiers.TeamId(team)]
    for name in names:
        if lacks == "is missing":
            del teams[name]
        else:
            teams[name] = catalog.Team(name=name, weight=0.0)
    dispatch.config = dataclasses.replace(dispatch.config, teams=teams)


@behave.when("the dispatcher plans")
def plan_pass(context):
    context.dispatch.plan(NOW, NOW)
    context.planned = context.dispatch.take_batch().planned


MUTANTS = {
    "loads count in full pools only": ("is_short", lambda *_: True),
    "loads count in full pools": ("is_short", lambda *_: False),
    "missing weights are not taken as large": (
        "find_weight",
        lambda team, teams: teams[team].weight if team in teams else 1e9,
    ),
    "missing weights are not taken as small": (
        "find_weight",
        lambda team, teams: teams[team].weight if team in teams else 1e-9,
    ),
}


@behave.when('the dispatcher plans without the mechanism "{mechanism}"')
def plan_mutant(context, mechanism):
    name, variant = MUTANTS[mechanism]
    with mock.patch.object(fairshare, name, variant):
        plan_pass(context)


@behave.then("the job of {team} goes first")
def check_first(context, team):
    assert context.planned[0].team == team, context.planned[0]


@behave.given("run times with a logarithmic spread of {spread:g}")
def create_run_times(context, spread):
    context.rng, context.spread = random.Random(5), spread
    context.times, context.seconds = joborder.RunTimes(), []


@behave.when("{count:d} runs are known")
def observe_runs(context, count):
    while len(context.seconds) < count:
        seconds = context.rng.lognormvariate(0.0, context.spread)
        context.seconds.append(seconds)
        context.times.observe(replay.QUEUE.name, 1.0, seconds)


@behave.then("the longest of {count:d} runs is expected to take as long as one")
def check_no_spread(context, count):
    expected = context.times.expect_longest(replay.QUEUE.name, 1.0, count)
    assert expected == context.times.expect(replay.QUEUE.name, 1.0)


@behave.then(
    "the longest of {count:d} runs is expected to take {least:g} to {most:g}"
    " times the mean"
)
def check_longest(context, count, least, most):
    expected = context.times.expect_longest(replay.QUEUE.name, 1.0, count)
    mean = statistics.mean(context.seconds)
    assert least * mean <= expected <= most * mean, expected / mean


@behave.then(
    "what is left of a job whose step has {done:d} of {count:d} tasks done is"
    " expected from {left:d} runs"
)
def check_left(context, done, count, left):
    accepted = create_job(1, "canvas", count, 0.0)
    progress = job.Progress()
    for position in range(done):
        progress.set_done(job.TaskId(accepted.job_id, 0, 0, position))

    def expect(step, tasks):
        return context.times.expect_longest(
            replay.QUEUE.name, step.estimate, tasks
        )

    active = activejob.ActiveJob(accepted, progress, 0, 0.0)
    step = accepted.steps[0]
    assert active.measure_critical_path(expect) == (
        expect(step, count),
        expect(step, left),
    )
