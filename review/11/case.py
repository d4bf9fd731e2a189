"""One large gang is handed in beside small jobs of another queue."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import standins_3 as s  # noqa: E402

GANG_TASKS = 3000
# The widest step of the site's classes; TROUBLE=0 sends a gang of this size.
USUAL_TASKS = 32
SMALL = {
    "spec": "a claim",
    "steps": [
        {"count": 8, "cpu": 3500, "mem_mb": 3500, "estimate_ms": 1000},
    ],
}
SMALL_JOBS = 12
TRAFFIC_S = 24.0
ASKED = 4
FINISH_S = 14.0
IDLE_S = 3.0


def create_gang(count):
    """Returns the body of a job that is one gang of `count` tasks."""
    step = {
        "count": count,
        "cpu": 50,
        "mem_mb": 20,
        "estimate_ms": 1000,
        "gang": True,
    }
    return {"spec": "one render", "steps": [step]}


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
    for pool, rack in (("stores", 0), ("claims", 4)):
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
    large = s.queue("stock-order", "stores", priority=1)
    small = s.queue("claim-lodge", "claims", priority=1)
    world.declare([large, small], ["stores", "claims"], [])
    await world.start(3)
    if not await world.wait_ready():
        return None
    world.quiet = True
    gang = create_gang(GANG_TASKS if trouble else USUAL_TASKS)
    accepted = []
    traffic_ends = time.monotonic() + TRAFFIC_S
    for number in range(SMALL_JOBS):
        if time.monotonic() > traffic_ends:
            break
        if number == 3:
            status, fields = await world.ask("POST", large, "f" * 16, gang)
            world.log("caller", f"POST of the gang: {status} {fields}")
            if status != 200:
                return None
        name = f"{number:016x}"
        status, fields = await world.ask("POST", small, name, SMALL, tries=3)
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
    used = sum(m.used()[0] for m in world.minions if m.pool == "claims")
    world.log(
        "case",
        f"{used} of {6 * 32000} thousandths of a core of claims are in use",
    )
    for job in accepted[:ASKED]:
        status, fields = await world.ask("GET", small, job, tries=2)
        world.log(
            "caller",
            f"GET {job}: {status} {fields}; it has"
            f" {'' if has_run(world, job) else 'not '}run",
        )
    status, fields = await world.ask("GET", large, "f" * 16, tries=2)
    world.log("caller", f"GET of the gang: {status} {fields}")
    world.log(
        "case",
        f"{len(idle)} of {len(accepted)} accepted small jobs have"
        " never started",
    )
    return not idle


s.run_case(FOLDER, scenario)
