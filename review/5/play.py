"""The store turns two entries of a zone away, one a second after the other."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
from standins import site as stand_ins

ENTRIES = ("hobart", "hobart", "launceston", "launceston", "burnie", "burnie")
BUSY_S = 7.0
"""`platform_down` (nodes busy): up to 9 s for a share of 0.35, two of six."""

ROLLBACK_SLACK_S = 0.25
JOB = [{"count": 2, "cpu": 1000, "mem_mb": 500, "ms": 300}]


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
    leader = site.last_writer
    site.log("leader", f"{leader.name} has last written under a condition")
    zone = next(zone for zone in ENTRIES if zone != leader.zone)
    behind, ahead = (e for e in site.entries if e.zone == zone)

    def refuse(entry):
        entry.gate.mode = "busy"
        site.log("store", f"turns {entry.name} away with 503")

        def serve():
            entry.gate.mode = "pass"
            site.log("store", f"serves {entry.name} again")

        asyncio.get_running_loop().call_later(BUSY_S, serve)

    if site.trouble:
        refuse(behind)
    await asyncio.sleep(0.3)
    site.configure(["quotes", "stores"])
    await asyncio.sleep(0.4)
    job, status = await site.submit(ahead, "stores", JOB)
    if status != 200:
        return 2
    while not any(row[2].startswith(job) for row in site.starts):
        await asyncio.sleep(0.01)
    seen_at = time.monotonic()
    site.log("config", "a worker has seen the effect of the new version")
    await asyncio.sleep(0.3)
    if site.trouble:
        refuse(ahead)
    regressed = 0
    for _ in range(6):
        await asyncio.sleep(0.2)
        sent_at = time.monotonic()
        _, status = await site.submit(ahead, "stores", JOB)
        if status in (401, 403, 404):
            regressed += sent_at > seen_at + ROLLBACK_SLACK_S
    site.log(
        "judge",
        f"{regressed} of 6 requests at {ahead.name} were refused as only the"
        " older version allows",
    )
    return 1 if regressed else 0


stand_ins.run(pathlib.Path(__file__).parent, sys.modules[__name__])
