"""One accepted job with many small tasks; ordinary jobs before and after."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import standins as stand_ins

TASKS = 4000
STEPS = 3
FINISH_S = 14.0
SMALL = [
    {"count": 4, "cpu": 1000, "mem_mb": 500, "ms": 400},
    {"count": 2, "cpu": 1000, "mem_mb": 500, "ms": 400, "after": [0]},
]


def create(case):
    """Returns the site of this case."""
    return stand_ins.Site(case)


async def play(site):
    """Plays the case and returns the exit status."""
    site.configure(["quotes"])
    await site.start_entries()
    if not await site.wait_ready():
        return 2
    ordinary = []

    async def one(number):
        entry = site.entries[number % len(site.entries)]
        job, status = await site.submit(entry, "quotes", SMALL)
        if status == 200:
            ordinary.append(job)

    for number in range(5):
        await one(number)
        await asyncio.sleep(0.5)
    await asyncio.sleep(3.0)
    early = [await site.state(job) for job in ordinary]
    if early != ["completed"] * 5:
        site.log("judge", f"the site does not work before: {early}")
        return 2
    if site.trouble:
        big = [
            {"count": TASKS, "cpu": 10, "mem_mb": 8, "ms": 500}
            | ({"after": [number - 1]} if number else {})
            for number in range(STEPS)
        ]
        _, status = await site.submit(site.entries[0], "quotes", big)
        site.log("client", f"the job of {STEPS} x {TASKS} tasks: {status}")
        if status != 200:
            return 0
    for number in range(10):
        await one(number)
        await asyncio.sleep(0.5)
    site.log("client", "end of the traffic")
    await asyncio.sleep(FINISH_S)
    started = {row[2].split(".")[0] for row in site.starts}
    lost = [job for job in ordinary if job not in started]
    # LOST asks for 3 s in which a job has nothing running.
    await asyncio.sleep(3.0)
    started = {row[2].split(".")[0] for row in site.starts}
    lost = [job for job in lost if job not in started]
    states = [await site.state(job) for job in ordinary]
    used = max(minion.used()["cpu"] for minion in site.minions)
    site.log(
        "judge",
        f"{len(ordinary)} ordinary jobs accepted;"
        f" {finish_text(states)}; {len(lost)} have not begun 17 s after"
        f" the end of the traffic; busiest worker uses {used} of 32000;"
        f" appends refused: {site.refused_appends}",
    )
    return 1 if lost else 0


def finish_text(states):
    """Returns the states with their counts."""
    return ", ".join(
        f"{states.count(s)} {s}" for s in sorted(set(states), key=str)
    )


stand_ins.run(pathlib.Path(__file__).parent, sys.modules[__name__])
