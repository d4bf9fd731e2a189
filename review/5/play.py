"""A worker fails all that it starts; a gang runs there once."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
from standins import site as stand_ins

WORKERS = 10
GREY_S = 6.5
"""`srv_grey` (errors): a share of 0.1 for 6.5 s; here one worker of ten."""

GANG = [{"count": 3, "cpu": 4000, "mem_mb": 2000, "ms": 1500, "gang": True}]


class Site(stand_ins.Site):
    """The worker that gets the first member fails all that it starts."""

    armed = False

    def on_start(self, minion, name, run):
        """Records a start."""
        super().on_start(minion, name, run)
        if self.armed:
            self.armed = False
            minion.bad = True
            self.log("grey", f"{minion.id} fails all that it starts")

            def heal():
                minion.bad = False
                self.log("grey", f"{minion.id} is sound again")

            asyncio.get_running_loop().call_later(GREY_S, heal)


def create(case):
    """Returns the site of this case."""
    return Site(case, minions=WORKERS, max_attempts=2)


async def play(site):
    """Plays the case and returns the exit status."""
    site.configure(["quotes"])
    await site.start_entries()
    if not await site.wait_ready():
        return 2
    await asyncio.sleep(4.0)
    site.armed = site.trouble
    job, status = await site.submit(site.entries[0], "quotes", GANG)
    if status != 200:
        return 2
    state = None
    end = time.monotonic() + 20.0
    while time.monotonic() < end:
        state = await site.state(job, quiet=True)
        if state in ("completed", "failed", "cancelled"):
            break
        await asyncio.sleep(0.2)
    failed = {}
    for _, _, row in site.ends:
        if row[3] == "failed":
            failed.setdefault(row[1], set()).add(row[2])
    runs = {run for numbers in failed.values() for run in numbers}
    site.log(
        "judge",
        f"the job is shown as {state}; runs of the gang with an"
        f" end `failed`: {sorted(runs)}; most such runs of one task:"
        f" {max(map(len, failed.values()), default=0)};"
        f" max_attempts is {site.max_attempts}",
    )
    if state == "completed":
        return 0
    return 1 if state == "failed" and len(runs) < site.max_attempts else 2


stand_ins.run(pathlib.Path(__file__).parent, sys.modules[__name__])
