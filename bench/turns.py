"""Measures the longest turn of the event loop for inputs of callers.

Run with `python -m bench.turns [NAME...]`; prints one JSON object per line. The
entry accepts steps of 4,096 tasks, 64 steps, and any number of occurrences and
jobs. Each input is measured at its largest size, or at one that is far above
what sites have, and at a tenth of it. Times are processor time in
milliseconds, of the longest turn and of all turns together. A turn that takes
longer than `--limit` seconds is given up: its time is null.
"""

import argparse
import json
import signal
import time

from loguru import logger

from clementinewood import (
    activejob,
    catalog,
    dispatcher,
    identifiers,
    job,
    jobtable,
    machinecontrol,
    pooldemand,
    run,
)

QUEUE = catalog.Queue(
    name=identifiers.QueueId("quotes"),
    host="guild",
    prefix="/",
    pool=identifiers.PoolId("quotes"),
)
ROOMY = job.Resources(100_000_000, 100_000_000)
SMALL = job.Resources(1, 1)
NOW = 2_000_000_000.0


class GivenUpError(Exception):
    """A turn takes longer than the limit."""


class Turns:
    """Times calls that each run in one turn of the event loop."""

    def __init__(self, limit):
        self.longest = 0.0
        self.total = 0.0
        self._limit = limit

    def run(self, call):
        signal.setitimer(signal.ITIMER_VIRTUAL, self._limit)
        started_at = time.process_time()
        try:
            return call()
        finally:
            signal.setitimer(signal.ITIMER_VIRTUAL, 0.0)
            seconds = time.process_time() - started_at
            self.longest = max(self.longest, seconds)
            self.total += seconds


def create_job(steps, number=1, **fields):
    return job.Job(
        job_id=identifiers.JobId(f"{number:016x}"),
        queue=QUEUE.name,
        team=identifiers.TeamId(""),
        spec="",
        steps=tuple(steps),
        accepted=0.0,
        **fields,
    )


def create_dispatcher(minions, capacity=ROOMY):
    dispatch = dispatcher.Dispatcher(identifiers.Term(1), 0.0)
    dispatch.config = catalog.Configuration(
        version=1,
        queues={QUEUE.name: QUEUE},
        pools={QUEUE.pool: catalog.Pool(name=QUEUE.pool)},
        teams={},
        keys={},
    )
    dispatch.update_minions(
        [
            catalog.Minion(
                minion_id=identifiers.MinionId(f"m{number}"),
                incarnation=1,
                pool=QUEUE.pool,
                address=("127.0.0.1", 1),
                zone=identifiers.ZoneId("hobart"),
                state=catalog.MinionState.READY,
                capacity=capacity,
                labels=(f"rack-{number % 25}",),
            )
            for number in range(minions)
        ],
        0.0,
    )
    report = run.MinionReport(incarnation=1, clock=0.0, running=(), ended=())
    for minion_id in dispatch.views:
        dispatch.handle_report(minion_id, report, sent=0.0, now=0.0)
    return dispatch


def plan(turns, dispatch, now=0.0, wall=NOW):
    turns.run(lambda: dispatch.plan(now, wall))
    turns.run(lambda: dispatch.next_wake(wall))


def store(turns, dispatch, now=0.0):
    batch = turns.run(dispatch.take_batch)
    return turns.run(lambda: dispatch.handle_batch_stored(batch, now))


def report_ends(turns, dispatch, orders, first=1):
    """Reports the end of each run as done, 500 in one report."""
    by_minion = {}
    for order in orders:
        by_minion.setdefault(order.minion_id, []).append(order)
    for minion_id, started in by_minion.items():
        for begin in range(0, len(started), 500):
            part = started[begin : begin + 500]
            rows = tuple(
                run.EndedRun(
                    sequence=first + begin + index,
                    task=order.task,
                    number=order.number,
                    outcome=run.RunOutcome.DONE,
                    checkpoint="",
                )
                for index, order in enumerate(part)
            )
            report = run.MinionReport(
                incarnation=1, clock=1.0, running=(), ended=rows
            )
            turns.run(
                lambda name=minion_id, report=report: dispatch.handle_report(
                    name, report, sent=0.0, now=1.0
                )
            )


def measure_gang(turns, tasks, *, capacity=ROOMY, same_rack=False):
    """Plans a gang, stores it and reports its ends."""
    dispatch = create_dispatcher(100, capacity)
    step = job.Step(count=tasks, need=SMALL, gang=True, same_rack=same_rack)
    accepted = create_job([step])
    turns.run(lambda: dispatch.add_job(accepted, job.Progress(), 0.0))
    plan(turns, dispatch)
    report_ends(turns, dispatch, store(turns, dispatch))


def measure_waiting_gang(turns, tasks):
    """Plans a gang that fits no rack and not the whole pool."""
    measure_gang(
        turns,
        tasks,
        capacity=job.Resources(tasks // 101, 100_000),
        same_rack=True,
    )


def measure_step(turns, tasks, **fields):
    """Plans a step, round by round, and reports its ends."""
    dispatch = create_dispatcher(300)
    accepted = create_job([job.Step(count=tasks, need=SMALL, **fields)])
    turns.run(lambda: dispatch.add_job(accepted, job.Progress(), 0.0))
    plan(turns, dispatch)
    report_ends(turns, dispatch, store(turns, dispatch))


def measure_reported_starts(turns, tasks):
    """Applies a report that shows all members of a gang on one minion."""
    dispatch = create_dispatcher(1)
    step = job.Step(count=tasks, need=SMALL, gang=True)
    accepted = create_job([step])
    dispatch.add_job(accepted, job.Progress(), 0.0)
    dispatch.plan(0.0, NOW)
    dispatch.handle_batch_stored(dispatch.take_batch(), 0.0)
    running = []
    for item in dispatch.jobs[accepted.job_id].live.values():
        item.state = run.RunState.STARTING
        item.tries = 1
        running.append(
            run.ReportedRun(
                task=item.task, number=item.number, checkpoint="", percent=0
            )
        )
    report = run.MinionReport(
        incarnation=1, clock=1.0, running=tuple(running), ended=()
    )
    (minion_id,) = dispatch.views
    turns.run(
        lambda: dispatch.handle_report(minion_id, report, sent=0.5, now=1.0)
    )


def measure_steps(turns, steps):
    """Plans a job of many large steps that may all start at once."""
    dispatch = create_dispatcher(100)
    accepted = create_job([job.Step(count=4096, need=SMALL)] * steps)
    turns.run(lambda: dispatch.add_job(accepted, job.Progress(), 0.0))
    plan(turns, dispatch)
    report_ends(turns, dispatch, store(turns, dispatch))


def measure_occurrences(turns, occurrences, *, due, gang):
    """Adds, plans and wakes a job that repeats."""
    dispatch = create_dispatcher(100)
    fields = {"start": NOW + 60.0, "interval": 60.0}
    if due:
        fields = {"start": NOW - 60.0, "interval": 0.0}
    step = job.Step(count=2, need=SMALL, gang=gang)
    accepted = create_job([step], occurrences=occurrences, **fields)
    turns.run(lambda: dispatch.add_job(accepted, job.Progress(), 0.0))
    for _ in range(3):
        plan(turns, dispatch)
        report_ends(turns, dispatch, store(turns, dispatch))


def measure_past(turns, occurrences):
    """Ends the next occurrence of a job of which most are done."""
    dispatch = create_dispatcher(100)
    progress = job.Progress(job.JobState.RUNNING)
    for occurrence in range(occurrences):
        progress.set_step_done(occurrence, 0, 2)
    progress.changed.clear()
    accepted = create_job(
        [job.Step(count=2, need=SMALL)],
        occurrences=2 * occurrences,
        start=NOW - 60.0 * occurrences,
        interval=60.0,
    )
    turns.run(lambda: dispatch.add_job(accepted, progress, 0.0))
    plan(turns, dispatch)
    report_ends(turns, dispatch, store(turns, dispatch))
    plan(turns, dispatch)
    batch = dispatch.take_batch()
    for stored in batch.progress.values():
        turns.run(lambda stored=stored: job.encode_progress(stored))


def measure_timed_jobs(turns, jobs):
    """Plans beside many jobs that are not due."""
    dispatch = create_dispatcher(100)
    for number in range(jobs):
        accepted = create_job(
            [job.Step(count=2, need=SMALL)],
            number,
            start=NOW + 60.0 + number,
            interval=3600.0,
            occurrences=24,
        )
        dispatch.add_job(accepted, job.Progress(), 0.0)
    dispatch.plan(0.0, NOW)
    plan(turns, dispatch)


def fill_pool(jobs, steps):
    """Returns a dispatcher of jobs that wait for a full pool."""
    dispatch = create_dispatcher(100, job.Resources(1000, 100_000))
    chain = [
        job.Step(
            count=1,
            need=job.Resources(1000, 1),
            after=(number - 1,) if number else (),
        )
        for number in range(steps)
    ]
    for number in range(jobs + 100):
        dispatch.add_job(create_job(chain, number), job.Progress(), 0.0)
    dispatch.plan(0.0, NOW)
    dispatch.handle_batch_stored(dispatch.take_batch(), 0.0)
    return dispatch


def measure_waiting_jobs(turns, jobs, *, steps):
    """Plans beside many jobs that wait for a full pool."""
    plan(turns, fill_pool(jobs, steps))


def measure_demand(turns, jobs, *, steps):
    """Measures the demand of many jobs, as before each move of machines."""
    dispatch = fill_pool(jobs, steps)
    demands = {}
    pieces = pooldemand.measure_pieces(
        list(dispatch.jobs.values()),
        dispatch.config,
        dispatch.times,
        0.0,
        None,
        demands,
    )

    def measure_some():
        measured = 0
        for count in pieces:
            measured += count
            if measured >= machinecontrol.MAX_MEASURED_STEPS:
                return False
        return True

    while not turns.run(measure_some):
        pass


def measure_pending_count(turns, jobs):
    """Counts the pending jobs of a queue beside many that have ended."""
    table = jobtable.JobTable()
    accepted = create_job([job.Step(count=1, need=SMALL)])
    body = job.encode_job(accepted)
    ended = job.encode_progress(job.Progress(job.JobState.COMPLETED))
    for number in range(jobs):
        for prefix, value in (("j", body), ("p", ended)):
            key = f"{prefix}/{number:016x}"
            table.apply(jobtable.StoredRecord(key, value, number))
    turns.run(lambda: table.count_pending(QUEUE.name))


def measure_opening(turns, tasks):
    """Opens a step of a job that an earlier leader has begun."""
    progress = job.Progress(job.JobState.RUNNING)
    progress.done[0, 0] = 1
    accepted = create_job([job.Step(count=tasks, need=SMALL)])
    active = activejob.ActiveJob(accepted, progress, 0, 0.0)
    turns.run(lambda: active.open_steps(NOW))


CASES = {
    "gang, tasks": (measure_gang, 4096, {}),
    "gang in a rack, tasks": (measure_gang, 4096, {"same_rack": True}),
    "gang without room, tasks": (measure_waiting_gang, 4096, {}),
    "step, tasks": (measure_step, 4096, {}),
    "long-running step, tasks": (measure_step, 4096, {"long_running": True}),
    "reported starts of a gang, tasks": (measure_reported_starts, 4096, {}),
    "opening of a begun step, tasks": (measure_opening, 4096, {}),
    "steps of 4096 tasks, steps": (measure_steps, 60, {}),
    "repeating gang, none due, occurrences": (
        measure_occurrences,
        1_000_000_000,
        {"due": False, "gang": True},
    ),
    "repeating gang, all due, occurrences": (
        measure_occurrences,
        1_000_000_000,
        {"due": True, "gang": True},
    ),
    "repeating step, all due, occurrences": (
        measure_occurrences,
        1_000_000_000,
        {"due": True, "gang": False},
    ),
    "one more end, past occurrences": (measure_past, 100_000, {}),
    "jobs not due, jobs": (measure_timed_jobs, 20_000, {}),
    "jobs waiting for a full pool, jobs": (
        measure_waiting_jobs,
        5_000,
        {"steps": 1},
    ),
    "waiting jobs of 64 steps, jobs": (
        measure_waiting_jobs,
        5_000,
        {"steps": 64},
    ),
    "demand of jobs of 64 steps, jobs": (
        measure_demand,
        5_000,
        {"steps": 64},
    ),
    "pending count, ended jobs": (measure_pending_count, 100_000, {}),
}


def main():
    logger.disable("clementinewood")
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("names", nargs="*", help="cases; all by default")
    parser.add_argument(
        "--limit", type=float, default=10.0, help="seconds of one turn"
    )
    options = parser.parse_args()

    def give_up(*_):
        raise GivenUpError

    signal.signal(signal.SIGVTALRM, give_up)
    for name, (measure, largest, fields) in CASES.items():
        if options.names and not any(part in name for part in options.names):
            continue
        for size in (largest // 10, largest):
            turns = Turns(options.limit)
            figures = {"bench": "turns", "input": name, "size": size}
            try:
                measure(turns, size, **fields)
                figures["longest_ms"] = round(1000.0 * turns.longest, 1)
                figures["total_ms"] = round(1000.0 * turns.total, 1)
            except (GivenUpError, MemoryError):
                figures["longest_ms"] = figures["total_ms"] = None
            print(json.dumps(figures), flush=True)


if __name__ == "__main__":
    main()
