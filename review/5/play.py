"""A worker whose runs fail one after the other is cut off, and comes back."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import standins as stand_ins

CUT_S = 5.5
"""`node_cut` of workers: 5.5 s in the site file, one worker of six (0.17)."""

CUT_AFTER_S = 1.0
"""From the first start to the cut, whatever has been reported by then."""

JOBS = 40
TASKS = 8


def create_steps(number):
    """Returns the steps of a job whose tasks fail once and are sound then.

    The first runs of all jobs end 4 ms apart, from 0.4 s after their start.
    """
    return [
        {
            "count": TASKS,
            "cpu": 100,
            "mem_mb": 100,
            "ms": 6000,
            "fail_first": 1,
            "fail_ms": 400 + 4 * number,
            "stagger_ms": 4 * JOBS,
        }
    ]


def create(case):
    """Returns the site of this case."""
    return stand_ins.Site(case, max_attempts=2)


async def cut_off(site, minion):
    """Cuts a worker off from the store and from all entries, then heals it."""
    minion.cut = True
    site.log("cut", f"{minion.id} is cut off from all")
    await asyncio.sleep(CUT_S)
    minion.cut = False
    minion.heard = time.monotonic()
    minion.server.reset_all()
    site.log("cut", f"{minion.id} is back")


async def play(site):
    """Plays the case and returns the exit status."""
    site.configure(["quotes"])
    await site.start_entries()
    if not await site.wait_ready():
        return 2
    await asyncio.sleep(4.0)
    answers = await asyncio.gather(
        *(
            site.submit(
                site.entries[number % 3], "quotes", create_steps(number)
            )
            for number in range(JOBS)
        )
    )
    jobs = [job for job, status in answers if status == 200]
    if len(jobs) < JOBS or not site.starts:
        return 2
    first_at, worker_id, _, _ = site.starts[0]
    await asyncio.sleep(max(0.0, first_at + CUT_AFTER_S - time.monotonic()))
    if site.trouble:
        worker = next(m for m in site.minions if m.id == worker_id)
        await cut_off(site, worker)
    states = {}
    end = time.monotonic() + 30.0
    while time.monotonic() < end and len(states) < len(jobs):
        for job in jobs:
            if job not in states:
                state = await site.state(job, quiet=True)
                if state in ("completed", "failed", "cancelled"):
                    states[job] = state
        await asyncio.sleep(0.5)
    most = {job: 0 for job in jobs}
    counts = {}
    for _, _, (_, name, _, how, _) in site.ends:
        if how == "failed":
            counts[name] = counts.get(name, 0) + 1
            job = name.split(".")[0]
            most[job] = max(most[job], counts[name])
    wrong = [
        job
        for job in jobs
        if states.get(job) == "failed" and most[job] < site.max_attempts
    ]
    for job in wrong:
        site.log(
            "judge",
            f"{job} is shown as failed; none of its tasks has more than"
            f" {most[job]} end(s) `failed` of the {site.max_attempts} that"
            " max_attempts allows",
        )
    completed = list(states.values()).count("completed")
    site.log("judge", f"{completed} of {len(jobs)} jobs are completed")
    return 1 if wrong else 0


stand_ins.run(pathlib.Path(__file__).parent, sys.modules[__name__])
