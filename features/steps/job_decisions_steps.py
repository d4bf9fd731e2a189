"""Steps for the decision functions of the job service."""

import dataclasses
import heapq
import json
import random
from typing import NamedTuple
from unittest import mock

import behave

from clementinewood import (
    activejob,
    catalog,
    dispatcher,
    election,
    identifiers,
    job,
    joborder,
    jobtable,
    leaderelector,
    pacing,
    responsetime,
    run,
    teamrate,
)

QUEUE = catalog.Queue(
    name=identifiers.QueueId("quotes"),
    host="guild",
    prefix="/",
    pool=identifiers.PoolId("quotes"),
    stretch=1.6,
    slack=0.6,
)
SLOTS = 20
TEAMS = ("canvas", "shade", "tarp", "tent")
HOT_TEAM = "tarp"
CORES = 32
JOB_ID = identifiers.JobId("00000000000000aa")


@behave.given(
    "arrivals at five times what a pool serves for {seconds:g} seconds, seed"
    " {seed:d}"
)
def draw_arrivals(context, seconds, seed):
    rng = random.Random(seed)
    context.arrivals = []
    now = 0.0
    while now < seconds:
        now += rng.expovariate(5 * SLOTS)
        real = rng.lognormvariate(0.0, 0.3)
        declared = real * rng.lognormvariate(0, 0.4)
        context.arrivals.append(Arrival(now, real, declared, "canvas", False))
    context.outcomes = {}


class Arrival(NamedTuple):
    """A job of one task.

    Attributes:
        at: When it arrives.
        real: Its real run time.
        declared: Its declared run time.
        team: Its team.
        over_rate: Whether its team has sent more than it may count on.
    """

    at: float
    real: float
    declared: float
    team: str
    over_rate: bool


@behave.given(
    "a pool that serves all teams, of which one now sends ten times its weight"
)
def draw_hot_team(context):
    rng = random.Random(11)
    usual = 0.8 * SLOTS / len(TEAMS)
    buckets = teamrate.TeamTokenBuckets()
    found = []
    for team in TEAMS:
        rate = 10 * usual if team == HOT_TEAM else usual
        now = 0.0
        while now < 6.0:
            now += rng.expovariate(rate)
            real = rng.lognormvariate(0.0, 0.2)
            found.append((now, real, team))
    context.arrivals = [
        Arrival(at, real, real, team, not buckets.take(team, 1.2 * usual, at))
        for at, real, team in sorted(found)
    ]
    context.outcomes = {}


def serve(arrivals, rank):
    """Serves one-task jobs on SLOTS servers; returns those in time and all."""
    waiting = []
    free = [0.0] * SLOTS
    heapq.heapify(free)
    coming = list(arrivals)
    in_time = []
    ended = 0
    while coming or waiting:
        now = heapq.heappop(free)
        if not waiting and coming:
            now = max(now, coming[0][0])
        while coming and coming[0].at <= now:
            waiting.append(coming.pop(0))
        waiting.sort(key=lambda item: rank(item, now), reverse=True)
        item = waiting.pop()
        end = now + item.real
        heapq.heappush(free, end)
        ended += 1
        if end - item.at <= QUEUE.stretch * item.real + QUEUE.slack:
            in_time.append(item)
    return in_time, ended


@behave.when("they are served in the order of the dispatcher")
def serve_ranked(context):
    def rank(item, now):
        return joborder.rank(
            joborder.WaitingJob(
                queue=QUEUE,
                arrived=item.at,
                chain=item.declared,
                chain_left=item.declared,
                begun=False,
                long_running=False,
                team_load=0.0,
                over_rate=item.over_rate,
            ),
            now,
        )

    context.outcomes["ranked"] = serve(context.arrivals, rank)


@behave.when("they are served in order of arrival")
def serve_fifo(context):
    context.outcomes["fifo"] = serve(
        context.arrivals, lambda item, now: item.at
    )


@behave.then("the dispatcher's order has at least twice as many in time")
def check_in_time(context):
    ranked = len(context.outcomes["ranked"][0])
    fifo = len(context.outcomes["fifo"][0])
    assert ranked >= 2 * fifo > 0, (ranked, fifo)


def share_of_others(context, name):
    """Returns the part of the other teams' jobs that ended in time."""
    others = [item for item in context.arrivals if item.team != HOT_TEAM]
    in_time = [
        item for item in context.outcomes[name][0] if item.team != HOT_TEAM
    ]
    return len(in_time) / len(others)


@behave.then("the other teams have at least {share:g} of their jobs in time")
def check_others(context, share):
    found = share_of_others(context, "ranked")
    assert found >= share, found


@behave.then("in order of arrival they have less than half of them in time")
def check_others_baseline(context):
    found = share_of_others(context, "fifo")
    assert found < 0.5, found


@behave.given(
    "a team with a weight of {weight:d} jobs a second that was silent for"
    " {seconds:d} seconds"
)
def create_silent_team(context, weight, seconds):
    context.buckets = teamrate.TeamTokenBuckets()
    context.weight = weight
    context.now = 10.0
    assert context.buckets.take(HOT_TEAM, weight, context.now)
    context.now += seconds


@behave.then("{count:d} jobs that it sends at once are within its share")
def check_within(context, count):
    for _ in range(count):
        assert context.buckets.take(HOT_TEAM, context.weight, context.now)


@behave.then("the next one is not")
def check_beyond(context):
    assert not context.buckets.take(HOT_TEAM, context.weight, context.now)


@behave.then("as many jobs have ended")
def check_ended(context):
    assert context.outcomes["ranked"][1] == context.outcomes["fifo"][1]


@behave.given(
    "{count:d} runs whose declared times are off by half, seed {seed:d}"
)
def draw_runs(context, count, seed):
    rng = random.Random(seed)
    times = joborder.RunTimes()
    context.errors = [0.0, 0.0]
    for number in range(count):
        real = rng.lognormvariate(0.5, 0.3)
        declared = real * rng.lognormvariate(-0.3, 0.5)
        if number > count // 3:
            expected = times.expect(QUEUE.name, declared)
            context.errors[0] += abs(expected - real)
            context.errors[1] += abs(declared - real)
        times.observe(QUEUE.name, declared, real)


@behave.then("expected times are closer to the real ones than declared ones")
def check_expected(context):
    assert context.errors[0] < 0.8 * context.errors[1], context.errors


def create_minion():
    return run.MinionView(
        catalog.Minion(
            minion_id=identifiers.MinionId("m1"),
            incarnation=1,
            pool=QUEUE.pool,
            address=("127.0.0.1", 1),
            zone=identifiers.ZoneId("hobart"),
            state=catalog.MinionState.READY,
            capacity=job.Resources(CORES * 1000, 65536),
        )
    )


def create_run(position, **fields):
    return run.Run(
        task=job.TaskId(identifiers.JobId("a"), 0, 0, position),
        number=1,
        minion_id=identifiers.MinionId("m1"),
        team=identifiers.TeamId("canvas"),
        queue=QUEUE.name,
        room=job.Resources(),
        need=job.Resources(),
        state=run.RunState.RUNNING,
        **fields,
    )


@behave.given(
    "a minion that serves with a tail of {tail:d} of {target:d} ms beside"
    " filling work"
)
def create_serving(context, tail, target):
    context.view = create_minion()
    serving = create_run(0, tail_target=target / 1000.0, usage=tail)
    context.view.add_run(serving)
    context.view.add_run(create_run(1, fills=True))
    context.serving = serving
    context.pacer = pacing.Pacer()
    context.now = 10.0


def pace(context):
    context.pacer.observe(context.view, context.now)
    return [
        item.percent for item in context.pacer.plan([context.view], context.now)
    ]


@behave.then("the filling work is slowed to {percent:d} percent")
def check_slowed(context, percent):
    assert pace(context) == [percent]


@behave.when("the tail falls to {tail:d} ms")
def lower_tail(context, tail):
    context.serving.usage = tail
    context.now += 1.0


@behave.then("the filling work is sped up to {percent:d} percent")
def check_sped(context, percent):
    assert pace(context) == [percent]


@behave.given(
    "a long-running step of {count:d} tasks of which {budget:d} may be away"
)
def create_step(context, count, budget):
    context.runs = [
        create_run(
            number, long_running=True, max_unavailable=budget, percent=100
        )
        for number in range(count)
    ]


def count_away(context):
    away = sum(1 for item in context.runs if not item.at_work)
    return {(identifiers.JobId("a"), 0): away}


@behave.when("all are at work")
def check_all_work(context):
    assert all(item.at_work for item in context.runs)


@behave.then("a task of it may be stopped")
def check_may_stop(context):
    assert dispatcher.may_stop(context.runs[1], count_away(context))


@behave.when("one is not at work")
def lose_one(context):
    context.runs[0].percent = 40


@behave.then("no task at work may be stopped")
def check_may_not_stop(context):
    assert not dispatcher.may_stop(context.runs[1], count_away(context))


@behave.given("an entry that hears a dispatcher renew")
def hear_renewal(context):
    context.election = election.ElectionState(
        identifiers.Incarnation("entry-2/0000000000002-b"), 0.5
    )
    context.now = 5.0
    context.election.mark_log_current(context.now)
    context.election.observe_leadership(
        jobtable.LeaderRecord(
            identifiers.Term(1),
            identifiers.Incarnation("entry-1/0000000000001-a"),
        ),
        context.now,
    )


def create_leader_record(*, released=False):
    return jobtable.LeaderRecord(
        identifiers.Term(1),
        identifiers.Incarnation("entry-1/0000000000001-a"),
        released,
    )


@behave.given("an entry that hears a dispatcher give up the office")
def hear_release(context):
    hear_renewal(context)
    context.election.observe_leadership(
        create_leader_record(released=True), context.now
    )
    context.now += 0.1
    assert context.election.should_become_candidate(context.now, context.now)


def create_entries(fast, slow, draw):
    """Creates the elections of a site's entries and when each checks them."""
    speeds = [(100, fast), (5, slow)]
    return [
        (
            megabits,
            draw.random() * leaderelector.CANDIDACY_CHECK_INTERVAL_SECONDS,
            election.ElectionState(
                identifiers.Incarnation(f"entry-{megabits}-{number}/1-a"),
                draw.random(),
                election.compute_link_delay(megabits * 1e6 / 8),
            ),
        )
        for megabits, count in speeds
        for number in range(count)
    ]


def find_first_candidate(entries):
    """Returns the delay and the link of the first candidate of a site."""
    found = []
    for megabits, offset, state in entries:
        now = offset
        while not state.should_become_candidate(now, now):
            now += leaderelector.CANDIDACY_CHECK_INTERVAL_SECONDS
        found.append((now, megabits))
    return min(found)


@behave.given(
    "{fast:d} entries with 100 Mbit/s and {slow:d} entries with 5 Mbit/s follow"
    " a dispatcher"
)
def create_linked_entries(context, fast, slow):
    draw = random.Random(7)
    context.draws = [create_entries(fast, slow, draw) for _ in range(200)]
    for entries in context.draws:
        for _, _, state in entries:
            state.mark_log_current(0.0)


@behave.when("the dispatcher is silent")
def silence_dispatcher(context):
    for entries in context.draws:
        for _, _, state in entries:
            state.observe_leadership(create_leader_record(), 0.0)


@behave.when("the dispatcher has resigned")
def resign_dispatcher(context):
    for entries in context.draws:
        for _, _, state in entries:
            state.observe_leadership(create_leader_record(released=True), 0.0)


@behave.when("the dispatcher has never been there")
def hear_no_dispatcher(context):
    del context


@behave.then(
    "an entry with a fast link is the first candidate in each of 200 draws"
)
def check_fast_first(context):
    links = [find_first_candidate(entries)[1] for entries in context.draws]
    assert links.count(100) == len(links) == 200, links.count(100)


@behave.then(
    "the first candidate comes within {seconds:g} seconds in each of 200 draws"
)
def check_soon(context, seconds):
    delays = [find_first_candidate(entries)[0] for entries in context.draws]
    assert len(delays) == 200 and max(delays) <= seconds, max(delays)


@behave.when("its claim fails")
def fail_claim(context):
    context.election.become_candidate()
    context.election.handle_candidacy_failure(context.now)


@behave.when("the dispatcher renews for {seconds:g} seconds")
def renew(context, seconds):
    end = context.now + seconds
    while context.now < end:
        context.now += 0.5
        context.election.observe_leadership(create_leader_record(), context.now)


@behave.when("another entry wins the claim")
def lose_claim(context):
    context.election.become_candidate()
    context.now += 0.01
    context.election.step_down(context.now)
    context.now += 0.5


@behave.when("its claim is stored")
def win_claim(context):
    context.election.become_candidate()
    context.election.become_leader()


@behave.then("a renewal of the holder before changes nothing")
def check_still_in_office(context):
    change = context.election.observe_leadership(
        create_leader_record(), context.now
    )
    assert change is election.LeadershipChange.NONE
    assert context.election.role is election.ElectionRole.LEADER


@behave.given("an entry whose earlier process held the office")
def hear_own(context):
    hear_renewal(context)
    context.election.observe_leadership(
        jobtable.LeaderRecord(
            identifiers.Term(2),
            identifiers.Incarnation("entry-2/0000000000001-a"),
        ),
        context.now,
    )
    context.now += 0.1


@behave.when("nothing is heard for {seconds:g} seconds")
def hear_nothing(context, seconds):
    context.now += seconds


@behave.when(
    "the log was unreadable for {seconds:g} seconds and is readable again"
)
def lose_log(context, seconds):
    context.election.mark_log_unreadable()
    context.now += seconds
    context.election.mark_log_current(context.now)


@behave.when("its reading is stuck for {seconds:g} seconds")
def stick_reading(context, seconds):
    context.read_until = context.now
    context.now += seconds


@behave.then("the office is vacant")
def check_vacant(context):
    assert context.election.should_become_candidate(context.now, context.now)


@behave.then("the office is not vacant")
def check_held(context):
    read_until = getattr(context, "read_until", context.now)
    assert not context.election.should_become_candidate(context.now, read_until)


def create_job(count):
    return job.Job(
        job_id=JOB_ID,
        queue=QUEUE.name,
        team=identifiers.TeamId("canvas"),
        spec="",
        steps=(job.Step(count=count, need=job.Resources(1000, 10)),),
        accepted=0.0,
    )


def create_dispatcher(term):
    dispatch = dispatcher.Dispatcher(identifiers.Term(term), 0.0)
    dispatch.config = catalog.Configuration(
        version=1,
        queues={QUEUE.name: QUEUE},
        pools={QUEUE.pool: catalog.Pool(name=QUEUE.pool)},
        teams={},
        keys={},
    )
    dispatch.update_minions([create_minion().minion], 0.0)
    return dispatch


@behave.given("a dispatcher whose job has ended and was dropped")
def create_ended(context):
    context.accepted = create_job(1)
    dispatch = create_dispatcher(1)
    dispatch.add_job(context.accepted, job.Progress(), 0.0)
    poll(dispatch, 0.0)
    dispatch.plan(0.1, 0.1)
    batch = dispatch.take_batch()
    context.older = next(iter(batch.progress.values())).copy()
    (order,) = dispatch.handle_batch_stored(batch, 0.2)
    started = dispatcher.StartOutcome.STARTED
    dispatch.handle_start_outcome(order, started, 0.3)
    done = run.EndedRun(
        sequence=1,
        task=order.task,
        number=order.number,
        outcome=run.RunOutcome.DONE,
        checkpoint="",
    )
    poll(dispatch, 1.0, done)
    dispatch.handle_batch_stored(dispatch.take_batch(), 1.1)
    assert not dispatch.jobs
    context.dispatch = dispatch


def poll(dispatch, now, *ended, running=()):
    report = run.MinionReport(
        incarnation=1, clock=now, running=tuple(running), ended=tuple(ended)
    )
    dispatch.handle_report(
        identifiers.MinionId("m1"), report, sent=now, now=now + 0.01
    )


def allow_attempts(dispatch):
    """Lets runs fail a few times before their job does."""
    queue = dataclasses.replace(QUEUE, max_attempts=9)
    dispatch.config = dataclasses.replace(
        dispatch.config, queues={queue.name: queue}
    )


def start_job(dispatch, accepted, progress=None, now=0.0):
    """Starts the tasks of a job and returns the orders."""
    allow_attempts(dispatch)
    dispatch.add_job(accepted, progress or job.Progress(), now)
    poll(dispatch, now)
    dispatch.plan(now + 0.1, now + 0.1)
    orders = dispatch.handle_batch_stored(dispatch.take_batch(), now + 0.2)
    for order in orders:
        started = dispatcher.StartOutcome.STARTED
        dispatch.handle_start_outcome(order, started, now + 0.3)
    return orders


def create_failure(order, sequence):
    return run.EndedRun(
        sequence=sequence,
        task=order.task,
        number=order.number,
        outcome=run.RunOutcome.FAILED,
        checkpoint="",
    )


@behave.given("a dispatcher whose run has failed")
def create_failed(context):
    context.dispatch = create_dispatcher(1)
    (context.order,) = start_job(context.dispatch, create_job(1))
    context.listed = create_failure(context.order, 1)
    poll(context.dispatch, 1.0, context.listed)
    context.now = 1.1


@behave.when("its minion is forgotten {when} that is stored")
def forget_minion(context, when):
    dispatch = context.dispatch
    batch = dispatch.take_batch()
    if when == "after":
        dispatch.handle_batch_stored(batch, 1.2, may_start=False)
    dispatch.update_minions([], 1.3)
    dispatch.forget_minions(20.0)
    dispatch.update_minions([create_minion().minion], 20.1)
    context.now = 20.2


@behave.when("another minion answers at its address for a while")
def mismatch_incarnation(context):
    dispatch = context.dispatch
    dispatch.handle_incarnation_mismatch(identifiers.MinionId("m1"), 1.3)
    dispatch.update_minions([create_minion().minion], 1.4)
    context.now = 1.5


@behave.when("a successor reads the progress without the cursor")
def take_over_without_cursor(context):
    batch = context.dispatch.take_batch()
    (progress,) = batch.progress.values()
    stored = job.decode_progress(job.encode_progress(progress)).unwrap()
    context.dispatch = create_dispatcher(2)
    allow_attempts(context.dispatch)
    context.dispatch.add_job(create_job(1), stored, 1.3)
    context.now = 1.5


@behave.when("the minion lists the same end again")
def repeat_end(context):
    poll(context.dispatch, context.now, context.listed)


@behave.when("its next run fails")
def fail_again(context):
    dispatch, now = context.dispatch, context.now
    dispatch.plan(now + 0.1, now + 0.1)
    batch = dispatch.take_batch()
    (order,) = dispatch.handle_batch_stored(batch, now + 0.2)
    assert order.number > context.order.number
    started = dispatcher.StartOutcome.STARTED
    dispatch.handle_start_outcome(order, started, now + 0.3)
    poll(dispatch, now + 1.0, create_failure(order, 2))


@behave.given("a dispatcher whose gang of {count:d} tasks runs")
def create_gang(context, count):
    accepted = create_job(count)
    step = dataclasses.replace(accepted.steps[0], gang=True)
    accepted = dataclasses.replace(accepted, steps=(step,))
    context.dispatch = create_dispatcher(1)
    context.orders = start_job(context.dispatch, accepted)
    assert len({order.number for order in context.orders}) == 1


@behave.when("{count:d} members of the gang fail in that run")
def fail_members(context, count):
    assert len(context.orders) == count
    ends = [
        create_failure(order, number)
        for number, order in enumerate(context.orders, start=1)
    ]
    poll(context.dispatch, 1.0, *ends)


@behave.then("the task has {count:d} failed attempt")
@behave.then("the task has {count:d} failed attempts")
def check_failed(context, count):
    progress = context.dispatch.jobs[JOB_ID].progress
    assert progress.failed == {(0, 0, 0): count}, progress.failed


@behave.given(
    "a job of a gang of {count:d} tasks and {later:d} later steps, of which"
    " members {first:d} and {last:d} are stored as done"
)
def create_partly_done_gang(context, count, later, first, last):
    small = create_job(1).steps[0]
    gang = dataclasses.replace(small, count=count, gang=True)
    after = dataclasses.replace(small, after=(0,))
    context.accepted = dataclasses.replace(
        create_job(count), steps=(gang, *[after] * later)
    )
    context.progress = job.Progress(job.JobState.RUNNING)
    for position in (first, last):
        context.progress.set_done(job.TaskId(JOB_ID, 0, 0, position))


@behave.when("a dispatcher takes the job over and plans")
def take_over_gang(context):
    dispatch = create_dispatcher(4)
    dispatch.add_job(context.accepted, context.progress, 0.0)
    poll(dispatch, 0.0)
    dispatch.plan(0.1, 0.1)
    context.batch = dispatch.take_batch()


@behave.then("it starts {count:d} tasks, none of them of the gang")
def check_no_gang(context, count):
    steps = [item.task.step for item in context.batch.planned]
    assert len(steps) == count and 0 not in steps, steps


@behave.then('it stores the job as "{state}"')
def check_stored_state(context, state):
    (progress,) = context.batch.progress.values()
    assert progress.state is job.JobState(state), progress


@behave.given("a dispatcher with one minion that confirms no start yet")
def create_unconfirmed(context):
    context.dispatch = create_dispatcher(1)
    allow_attempts(context.dispatch)
    poll(context.dispatch, 0.0)
    context.orders = []
    context.now = 0.0


@behave.given("a job of {count:d} small tasks and a gang of {members:d}")
def add_wide_jobs(context, count, members):
    wide = create_job(count)
    small = dataclasses.replace(wide.steps[0], need=job.Resources(10, 10))
    gang = dataclasses.replace(small, count=members, gang=True)
    other = dataclasses.replace(
        wide, job_id=identifiers.JobId("00000000000000bb"), steps=(gang,)
    )
    wide = dataclasses.replace(wide, steps=(small,))
    for accepted in (wide, other):
        context.dispatch.add_job(accepted, job.Progress(), 0.0)


def plan_once(context):
    """Plans once and returns the new start orders."""
    dispatch = context.dispatch
    context.now += 0.05
    orders = dispatch.plan(context.now, context.now)
    orders += dispatch.handle_batch_stored(dispatch.take_batch(), context.now)
    known = {(order.task, order.number) for order in context.orders}
    new = [
        order
        for order in orders
        if isinstance(order, dispatcher.StartRun)
        and (order.task, order.number) not in known
    ]
    context.orders += new
    return new


@behave.when("it plans for {seconds:g} seconds")
def plan_for(context, seconds):
    while context.now < seconds:
        plan_once(context)


@behave.then(
    "it has ordered {count:d} starts of the job and {members:d} of the gang"
)
def check_ordered(context, count, members):
    ordered = [order.task.job for order in context.orders]
    assert ordered.count(JOB_ID) == count, len(ordered)
    assert len(ordered) == count + members, len(ordered)


@behave.when("the minion confirms what was ordered, round by round")
def confirm_rounds(context):
    new = list(context.orders)
    while new:
        for order in new:
            context.dispatch.handle_start_outcome(
                order,
                dispatcher.StartOutcome.STARTED,
                context.now,
            )
        new = plan_once(context)


@behave.then("all {count:d} tasks have started once")
def check_started_once(context, count):
    tasks = [order.task for order in context.orders if order.task.job == JOB_ID]
    assert len(tasks) == len(set(tasks)) == count, len(tasks)


@behave.given("jobs of {few:d} and of {many:d} tasks of which none has started")
def create_waiting(context, few, many):
    context.active = []
    for count in (few, many):
        active = activejob.ActiveJob(create_job(count), job.Progress(), 0, 0.0)
        active.open_steps(0.0)
        context.active.append(active)


@behave.when("one task of each ends")
def end_one(context):
    context.looks = []
    is_done = job.Progress.is_done
    for active in context.active:
        with mock.patch.object(
            job.Progress, "is_done", autospec=True, side_effect=is_done
        ) as looked:
            active.mark_done(job.TaskId(JOB_ID, 0, 0, 50))
        context.looks.append(looked.call_count)
        assert active.progress.is_done(job.TaskId(JOB_ID, 0, 0, 50))
        assert 50 not in active.work[0, 0].pending


@behave.then("both ends looked at the same number of tasks")
def check_same_cost(context):
    assert context.looks[0] == context.looks[1], context.looks


@behave.when("an older record of the job's progress arrives")
def take_older(context):
    context.dispatch.add_job(context.accepted, context.older, 0.0)


@behave.then("the dispatcher does not take the job again")
def check_not_taken(context):
    assert not context.dispatch.jobs


@behave.given("a dispatcher whose start order has no response yet")
def create_unanswered(context):
    dispatch = create_dispatcher(1)
    dispatch.add_job(create_job(1), job.Progress(), 0.0)
    poll(dispatch, 0.0)
    dispatch.plan(0.1, 0.1)
    (context.order,) = dispatch.handle_batch_stored(dispatch.take_batch(), 0.2)
    context.dispatch = dispatch


@behave.when("the run ends and its job is dropped")
def end_unanswered(context):
    dispatch = context.dispatch
    done = run.EndedRun(
        sequence=1,
        task=context.order.task,
        number=context.order.number,
        outcome=run.RunOutcome.DONE,
        checkpoint="",
    )
    poll(dispatch, 0.22, done)
    dispatch.handle_batch_stored(dispatch.take_batch(), 0.23)
    assert not dispatch.jobs


@behave.when("the run is lost with its minion")
def lose_unanswered(context):
    context.dispatch.handle_incarnation_mismatch(
        identifiers.MinionId("m1"), 0.22
    )


@behave.when("planning goes on for {seconds:d} seconds")
def go_on_planning(context, seconds):
    context.orders = [
        order
        for step in range(seconds * 10)
        for order in context.dispatch.plan(0.3 + step / 10, 0.3 + step / 10)
    ]


@behave.then("that start order is not sent again")
def check_not_repeated(context):
    assert not [
        order
        for order in context.orders
        if isinstance(order, dispatcher.StartRun)
        and order.number == context.order.number
    ], context.orders


@behave.when("the order is repeated and the minion has already ended that run")
def supersede_repeated(context):
    (repeated,) = context.dispatch.plan(2.0, 2.0)
    assert repeated.number == context.order.number
    context.dispatch.handle_start_outcome(
        repeated, dispatcher.StartOutcome.SUPERSEDED, 2.1
    )


@behave.when('the order is repeated with the outcome "{outcome}"')
def repeat_in_vain(context, outcome):
    dispatch = context.dispatch
    (repeated,) = dispatch.plan(2.0, 2.0)
    first = dispatcher.StartOutcome.UNKNOWN
    dispatch.handle_start_outcome(context.order, first, 2.05)
    dispatch.handle_start_outcome(
        repeated, dispatcher.StartOutcome(outcome), 2.1
    )


def list_stops(dispatch, now):
    return [
        order
        for order in dispatch.plan(now, now)
        if isinstance(order, dispatcher.StopRun)
    ]


def report_running(dispatch, now, order):
    shown = run.ReportedRun(
        task=order.task, number=order.number, checkpoint="", percent=50
    )
    poll(dispatch, now, running=[shown])


@behave.then("no stop is ordered before the next report")
def check_no_stop(context):
    assert not list_stops(context.dispatch, 2.2)


@behave.then("the run goes on if the next report shows it")
def check_goes_on(context):
    report_running(context.dispatch, 2.3, context.order)
    assert not list_stops(context.dispatch, 2.4)


@behave.then("no stop is ordered if the report after that shows it too")
def check_still_goes_on(context):
    report_running(context.dispatch, 2.5, context.order)
    assert not list_stops(context.dispatch, 2.6)


@behave.then("the run is stopped if the next report does not show it")
def check_stopped(context):
    poll(context.dispatch, 2.3)
    assert len(list_stops(context.dispatch, 2.4)) == 1


@behave.then("no failure of the minion is counted")
def check_no_failure(context):
    (view,) = context.dispatch.views.values()
    assert view.failure_score == 0.0, view.failure_score


@behave.then("the run is not started again before its outcome is known")
def check_waits_for_outcome(context):
    orders = context.dispatch.plan(2.2, 2.2)
    starts = context.dispatch.handle_batch_stored(
        context.dispatch.take_batch(), 2.3
    )
    assert not starts
    assert not [
        order for order in orders if isinstance(order, dispatcher.StartRun)
    ], orders


@behave.given(
    "a leader that knows {count:d} minions, of which {confirmed:d} confirm its"
    " token"
)
def create_confirmed(context, count, confirmed):
    context.dispatch = create_dispatcher(1)
    context.dispatch.update_minions(
        [
            dataclasses.replace(
                create_minion().minion,
                minion_id=identifiers.MinionId(f"m{number}"),
            )
            for number in range(1, count + 1)
        ],
        0.0,
    )
    for number in range(1, confirmed + 1):
        context.dispatch.handle_report(
            identifiers.MinionId(f"m{number}"),
            run.MinionReport(incarnation=1, clock=0.0, running=(), ended=()),
            sent=0.0,
            now=0.01,
        )


@behave.given("a machine service that has not been read")
def leave_unread(context):
    assert context.dispatch.live_minions is None


@behave.given("a machine service that lists only {count:d} of them")
def list_some(context, count):
    context.dispatch.live_minions = {
        identifiers.MinionId(f"m{number}") for number in range(1, count + 1)
    }


@behave.then("the leader may extend leases without the store")
def check_may_extend(context):
    assert context.dispatch.may_extend_leases(1.0)
    assert not context.dispatch.may_extend_leases(2.5)


@behave.then("the leader may not extend leases without the store")
def check_may_not_extend(context):
    assert not context.dispatch.may_extend_leases(1.0)


@behave.given(
    "{count:d} minions whose responses take {seconds:g} seconds and {lost:d} of"
    " 10 get lost"
)
def create_response_times(context, count, seconds, lost):
    context.response_times = responsetime.ResponseTimes()
    for number in range(10 * count):
        context.now = number / 100.0
        minion_id = identifiers.MinionId(
            f"m{(number + number // count * 3) % count}"
        )
        if number // 2 % 10 < lost:
            context.response_times.observe_timeout(minion_id, context.now)
        else:
            context.response_times.observe_response(context.now, seconds)


@behave.when("one minion does not respond {count:d} times")
def miss_responses(context, count):
    for _ in range(count):
        context.response_times.observe_timeout(
            identifiers.MinionId("m0"), context.now
        )


@behave.then('responses are judged "{condition}"')
def check_condition(context, condition):
    judged = context.response_times.judge(context.now)
    assert judged is responsetime.Condition(condition), judged


@behave.then("a poll waits from {least:g} to {most:g} seconds for its response")
def check_patience(context, least, most):
    patience = context.response_times.compute_patience(context.now)
    assert least <= patience <= most, patience


def create_placed(count):
    progress = job.Progress(job.JobState.RUNNING)
    for position in range(count):
        place = (0, 0, position)
        progress.assignments[place] = (2001, identifiers.MinionId("m1"))
    return progress


@behave.given("stored progress of {count:d} placed tasks")
def create_stored_progress(context, count):
    context.progress = create_placed(count)


@behave.when("{count:d} of them are done")
def end_tasks(context, count):
    for position in range(count):
        context.progress.set_done(job.TaskId(JOB_ID, 0, 0, position))


@behave.when("the whole step is done")
def end_step(context):
    context.progress.set_step_done(0, 0, 4)


@behave.then("its record names {count:d} minion")
@behave.then("its record names {count:d} minions")
def check_minions_named(context, count):
    record = job.encode_progress(context.progress)
    assert record.count(b'"m1"') == count, record
    assert job.decode_progress(record).unwrap() == context.progress


@behave.then("its record has no empty fields")
def check_no_empty_fields(context):
    document = json.loads(job.encode_progress(context.progress))
    assert document == {"state": "running", "done": [[0, 0, "f"]]}, document


@behave.given(
    "a record of the previous build with 4 placed tasks of which 3 are done"
)
def create_previous_record(context):
    context.record = json.dumps(
        {
            "state": "running",
            "done": [[0, 0, "7"]],
            "failed": [],
            "placed": [[0, 0, position, 2001, "m1"] for position in range(4)],
        }
    ).encode()


@behave.then("it is read with 3 tasks done and 4 tasks placed")
def check_previous_record(context):
    progress = job.decode_progress(context.record).unwrap()
    done = [
        progress.is_done(job.TaskId(JOB_ID, 0, 0, index)) for index in range(4)
    ]
    assert done == [True, True, True, False], done
    assert len(progress.assignments) == 4, progress


@behave.then("a record with empty fields and one without them mean the same")
def check_empty_fields(context):
    # The previous build writes empty fields and reads missing ones as empty.
    empty = b'{"state":"running","done":[],"failed":[],"placed":[]}'
    progress = job.decode_progress(empty).unwrap()
    record = job.encode_progress(progress)
    assert json.loads(record) == {"state": "running"}, record
    assert job.decode_progress(record).unwrap() == progress


@behave.given("a job of 4 tasks of which 3 are done in term 3")
def create_partly_done(context):
    context.progress = create_placed(4)
    end_tasks(context, 3)


def take_over(context):
    stored = job.encode_progress(context.progress)
    context.dispatch = create_dispatcher(4)
    context.dispatch.add_job(
        create_job(4), job.decode_progress(stored).unwrap(), 0.0
    )


@behave.when(
    "the dispatcher of term 4 takes the job over while its last minion is"
    " silent"
)
def take_over_from_silent(context):
    take_over(context)
    context.dispatch.handle_poll_failure(identifiers.MinionId("m1"), 1.0)


@behave.then("only the task that is not done may still run")
def check_recovered(context):
    context.dispatch.plan(1.0, 1.0)
    assert not context.dispatch.take_batch().planned
    live = context.dispatch.jobs[JOB_ID].live
    assert {task.position for task in live} == {3}, live


@behave.when("the lease of that run has expired")
def expire_lease(context):
    context.now = dispatcher.MAX_PRIOR_LEASE_SECONDS + 0.1
    minion_id = identifiers.MinionId("m1")
    context.dispatch.handle_poll_failure(minion_id, context.now)
    poll(context.dispatch, context.now)


@behave.then(
    "exactly that task starts again, under a number above those of term 3"
)
def check_restarted(context):
    context.dispatch.plan(context.now + 1.0, context.now + 1.0)
    (item,) = context.dispatch.take_batch().planned
    assert item.task.position == 3, item
    assert item.number > 3 * dispatcher.NUMBERS_PER_TERM, item


@behave.when("the dispatcher of term 4 takes the job over")
def take_over_plainly(context):
    take_over(context)


@behave.when("a minion reports a run of a task that is done")
def report_done_task(context):
    row = run.ReportedRun(
        task=job.TaskId(JOB_ID, 0, 0, 0),
        number=2000,
        checkpoint="",
        percent=100,
    )
    report = run.MinionReport(
        incarnation=1, clock=1.0, running=(row,), ended=()
    )
    context.dispatch.handle_report(
        identifiers.MinionId("m1"), report, sent=1.0, now=1.01
    )


@behave.then("that run is stopped and does not count as one of the job")
def check_stray_stopped(context):
    orders = context.dispatch.plan(1.1, 1.1)
    stops = [item for item in orders if isinstance(item, dispatcher.StopRun)]
    found = [(item.task.position, item.number) for item in stops]
    assert found == [(0, 2000)], found
    live = context.dispatch.jobs[JOB_ID].live
    assert all(task.position != 0 for task in live), live


@behave.given("a dispatcher that stores the assignments of {count:d} tasks")
def create_storing(context, count):
    context.dispatch = create_dispatcher(1)
    context.dispatch.add_job(create_job(count), job.Progress(), 0.0)
    poll(context.dispatch, 0.0)
    context.dispatch.plan(0.1, 0.1)
    context.batch = context.dispatch.take_batch()
    assert len(context.batch.planned) == count


def set_capacity(context, tasks):
    minion = dataclasses.replace(
        create_minion().minion, capacity=job.Resources(1000 * tasks, 65536)
    )
    context.dispatch.update_minions([minion], 0.15)


@behave.when(
    "the capacity shrinks to {tasks:d} tasks and the assignments are stored"
)
def shrink_capacity(context, tasks):
    set_capacity(context, tasks)
    context.orders = context.dispatch.handle_batch_stored(context.batch, 0.2)


@behave.then("{count:d} starts are ordered")
def check_starts(context, count):
    assert len(context.orders) == count, context.orders
    context.ordered = {order.task for order in context.orders}


@behave.then("after it has grown again, the other tasks are ordered")
def check_rest(context):
    set_capacity(context, 8)
    context.dispatch.plan(0.3, 0.3)
    orders = context.dispatch.handle_batch_stored(
        context.dispatch.take_batch(), 0.4
    )
    ordered = {order.task for order in orders}
    assert len(ordered) == 2 and not ordered & context.ordered, orders


def configure_attempts(dispatch, count):
    queue = dataclasses.replace(QUEUE, max_attempts=count)
    dispatch.config = dataclasses.replace(
        create_dispatcher(1).config, queues={queue.name: queue}
    )


@behave.given("a dispatcher with {count:d} attempts whose run has failed once")
def create_failed_once(context, count):
    create_failed(context)
    context.attempts = count
    dispatch, now = context.dispatch, context.now
    configure_attempts(dispatch, count)
    dispatch.plan(now + 0.1, now + 0.1)
    batch = dispatch.take_batch()
    (context.order,) = dispatch.handle_batch_stored(batch, now + 0.2)
    (context.stored,) = (item.copy() for item in batch.progress.values())


@behave.when("its queue is removed")
def remove_queue(context):
    config = context.dispatch.config
    context.dispatch.config = dataclasses.replace(config, queues={})
    context.dispatch.plan(1.5, 1.5)


@behave.when("a successor without configuration takes over")
def take_over_without_configuration(context):
    context.dispatch = create_dispatcher(2)
    context.dispatch.config = None
    context.dispatch.add_job(create_job(1), context.stored, 1.5)


@behave.when("its last allowed run fails and that is stored")
def fail_unknown(context):
    dispatch = context.dispatch
    poll(dispatch, 2.0, create_failure(context.order, 2))
    assert not dispatch.plan(2.1, 2.1)
    batch = dispatch.take_batch()
    (progress,) = batch.progress.values()
    assert progress.failed == {(0, 0, 0): context.attempts}, progress
    dispatch.handle_batch_stored(batch, 2.2)


@behave.when("its queue is known again")
def restore_queue(context):
    configure_attempts(context.dispatch, context.attempts)


@behave.then("the job has failed and no start is ordered")
def check_failed_unstarted(context):
    dispatch = context.dispatch
    orders = dispatch.plan(2.5, 2.5)
    batch = dispatch.take_batch()
    assert not orders and not batch.planned, (orders, batch)
    assert batch.progress[JOB_ID].state is job.JobState.FAILED, batch
    dispatch.handle_batch_stored(batch, 2.6)
    assert not dispatch.jobs
