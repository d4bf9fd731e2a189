"""The store turns the leader and another entry away; a worker crashes."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import standins as stand_ins

ENTRIES = ("hobart", "hobart", "hobart", "launceston", "burnie", "burnie")
AWAY_S = 7.0
"""`platform_down` (nodes leader silent): 7 s in the site file; two of six
entries are within its largest share, 0.35."""

DOWN_S = 4.5
"""`srv_crash`: 4.5 s in the site file, one worker of six."""

BUSY = [{"count": 6, "cpu": 20000, "mem_mb": 9000, "ms": 25000}]
"""One task on each worker, so that none is idle."""

JOB = [{"count": 1, "cpu": 4000, "mem_mb": 1000, "ms": 1500}]


def create(case):
    """Returns the site of this case."""
    return stand_ins.Site(case, entry_zones=ENTRIES)


async def play(site):
    """Plays the case and returns the exit status."""
    site.configure(["quotes"])
    await site.start_entries()
    if not await site.wait_ready():
        return 2
    await asyncio.sleep(4.0)
    await site.submit(site.entries[0], "quotes", BUSY)
    await asyncio.sleep(3.0)
    leader = site.last_writer
    other = next(entry for entry in site.entries if entry is not leader)
    site.log("leader", f"{leader.name} has last written under a condition")
    job, status = await site.submit(other, "quotes", JOB)
    if status != 200:
        return 2
    name = f"{job}.0.0.0"
    place = None
    while place is None:
        await asyncio.sleep(0.01)
        place = next((m for m in site.minions if name in m.running), None)
    ends_at = time.monotonic() + 1.5
    await asyncio.sleep(1.2)
    crash = None
    if site.trouble:
        for entry in (leader, other):
            entry.gate.mode = "silent"
            site.log("store", f"answers {entry.name} no more")

        def heal():
            for entry in (leader, other):
                entry.gate.mode = "pass"
            site.log("store", "serves both again")

        asyncio.get_running_loop().call_later(AWAY_S, heal)
    await asyncio.sleep(max(0.0, ends_at - time.monotonic()) + 0.25)
    if site.trouble:
        crash = asyncio.create_task(site.crash(place, DOWN_S))
    shown = None
    end = time.monotonic() + 10.0
    while time.monotonic() < end:
        status, text = await site.call(
            other, "GET", f"/quotes/{job}", deadline=1.0, quiet=True
        )
        if status == 200 and '"completed"' in text and shown is None:
            shown = time.monotonic()
            site.log("client", f"{other.name} shows {job} as completed")
        await asyncio.sleep(0.1)
    if crash is not None:
        await crash
    again = [
        row
        for row in site.starts
        if shown is not None and row[2] == name and row[0] > shown + 1.0
    ]
    site.log(
        "judge",
        f"shown as completed: {shown is not None}; starts of its only task"
        f" over a second after that: {len(again)}",
    )
    if shown is None:
        return 2
    return 1 if again else 0


stand_ins.run(pathlib.Path(__file__).parent, sys.modules[__name__])
