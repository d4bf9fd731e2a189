"""The leader is killed while jobs are stored that repeat every minute."""

import asyncio
import json
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import standins_3 as s  # noqa: E402

REPEATED_JOBS = 24
MINUTES_OF_A_YEAR = 365 * 24 * 60
SMALL = {
    "spec": "a claim",
    "steps": [
        {"count": 8, "cpu": 3500, "mem_mb": 3500, "estimate_ms": 1000},
    ],
}
SMALL_JOBS = 8
FINISH_S = 14.0
IDLE_S = 3.0


def find_leader(world):
    """Returns the entry that the newest leader record names."""
    part = world.store.topics["keyed.clementinewood.dispatch"]
    if "office" not in part.newest:
        return None
    _, incarnation, _ = json.loads(part.newest["office"][0])
    name = incarnation.partition("/")[0]
    return next(item for item in world.entries if item.name == name)


def has_run(world, job):
    """Returns whether any task of a job has started."""
    return any(task.startswith(job) for task in world.starts)


def is_running(world, job):
    """Returns whether any task of a job runs now."""
    return any(
        task.startswith(job)
        for minion in world.minions
        if minion.up
        for task in minion.running
    )


async def scenario(world, trouble):
    """Plays the case; returns whether the rule held."""
    for pool, rack in (("quotes", 0), ("claims", 4)):
        for number in range(6):
            world.minions.append(
                s.Minion(
                    world,
                    f"{pool}-{number}",
                    pool,
                    s.ZONES[number % 3],
                    f"r-{rack + number // 4}",
                )
            )
    timed = s.queue("quote-archive", "quotes", attempts=3)
    small = s.queue("claim-lodge", "claims", priority=1)
    world.declare([timed, small], ["quotes", "claims"], [])
    await world.start(3)
    if not await world.wait_ready():
        return None
    world.quiet = True
    start = int(time.time() * 1000) + 20_000
    for number in range(REPEATED_JOBS):
        name = f"f{number:015x}"
        status, fields = await world.ask(
            "POST",
            timed,
            name,
            {
                "spec": "a sync of two tables",
                "steps": [
                    {
                        "count": 2,
                        "cpu": 1000,
                        "mem_mb": 500,
                        "estimate_ms": 500,
                        "gang": True,
                    },
                ],
                "start_at_ms": start + 1000 * number,
                "interval_ms": 60_000,
                "repeat_count": MINUTES_OF_A_YEAR,
            },
        )
        world.log("caller", f"POST {name}: {status} {fields}")
        if status != 200:
            return None
        await asyncio.sleep(1.0)
    accepted = []
    for number in range(SMALL_JOBS):
        if number == 2 and trouble:
            leader = find_leader(world)
            world.log(
                "case",
                f"{leader.name}, the leader, is killed; it starts"
                " again at once",
            )
            leader.send(signal.SIGKILL)
        name = f"{number:016x}"
        # Two tries, so that the case stays below 120 s.
        status, fields = await world.ask("POST", small, name, SMALL, tries=2)
        world.log("caller", f"POST {name}: {status} {fields}")
        if status == 200:
            accepted.append(name)
        await asyncio.sleep(1.5)
    world.log("case", "the traffic has ended")
    await asyncio.sleep(FINISH_S)
    # For 3 s, a job has nothing running while its pool is idle.
    idle = {job for job in accepted if not has_run(world, job)}
    until = time.monotonic() + IDLE_S
    while time.monotonic() < until:
        idle = {job for job in idle if not is_running(world, job)}
        await asyncio.sleep(0.05)
    answers = await asyncio.gather(
        *(world.ask("GET", small, job, tries=2) for job in accepted)
    )
    for job, (status, fields) in zip(accepted, answers, strict=True):
        world.log(
            "caller",
            f"GET {job}: {status} {fields}; it has"
            f" {'' if has_run(world, job) else 'not '}run",
        )
    repeated = sum(
        has_run(world, f"f{number:015x}.0.") for number in range(REPEATED_JOBS)
    )
    part = world.store.topics["keyed.clementinewood.dispatch"]
    term = json.loads(part.newest["office"][0])[0]
    world.log(
        "case",
        f"{len(idle)} of {len(accepted)} accepted small jobs have"
        f" never started; {repeated} of {REPEATED_JOBS} repeated jobs have"
        f" run; the newest term is {term}",
    )
    return not idle


s.run_case(FOLDER, scenario)
