"""Runs entry processes under random faults and checks their guarantees.

    python -m features.soak --seed 1 --seeds 50 --seconds 25

A seed fixes the faults, but not how they coincide, which depends on real time.
Prints one JSON object per seed; `lag` is the longest delay of this process's
event loop in seconds. The exit status is 1 if any guarantee was violated. Logs
and the list of faults of such a seed are kept in `--out`.
"""

import argparse
import json
import pathlib
import random
import shutil
import sys
import tempfile
import time

from clementinewood import job, timer, transport
from features.soak import callers, faults
from features.soak import site as site_module

CALLERS = 6
READY_SECONDS = 4.0
SETTLE_SECONDS = 30.0
IDLE_SECONDS = 4.0
CHECK_SECONDS = 0.1


class Soak:
    """Runs one seed.

    Args:
        seed: Seed of every random choice.
        seconds: How long faults are injected.
        folder: Folder for settings and logs.
        entries: Number of entry processes.
        mix: Which faults and cancellations are frequent.
    """

    def __init__(self, seed, seconds, folder, *, entries=4, mix=faults.Mix.ALL):
        self.seed = seed
        self.folder = pathlib.Path(folder)
        self.timers = timer.GracefulTimers()
        self.sockets = transport.Transport(self.timers).register(self.timers)
        self.site = site_module.Site(
            self.sockets, self.timers, seed, folder, entries=entries
        )
        self.began = time.monotonic()
        self.lines = []
        rng = random.Random(seed)
        self.faults = faults.FaultInjector(
            self.site, rng, self._record_line, mix
        )
        self.callers = [
            callers.Caller(
                self.site, random.Random(seed * 1000 + number), number, mix
            )
            for number in range(CALLERS)
        ]
        self.seconds = seconds
        self.done = False
        self.lag = 0.0
        self.checked_at = self.busy_at = self.timers.clock()
        self.settled_at = float("inf")

    def _record_line(self, line):
        self.lines.append(f"{time.monotonic() - self.began:8.3f} {line}")

    def run(self):
        """Runs the seed and returns its report."""
        later = self.timers.subscribe_once
        self.site.start()
        for caller in self.callers:
            later(READY_SECONDS, caller.start)
        later(READY_SECONDS + 1.0, self.faults.start)
        later(READY_SECONDS + 1.0 + self.seconds, self._settle)
        self.timers.subscribe_every(CHECK_SECONDS, self._check_settled)
        self.timers.on_signal = self.timers.stop
        try:
            self.timers.run()
        finally:
            self.site.close()
            self.sockets.close_all()
        return self._report()

    def _settle(self):
        self._record_line("calm")
        self.faults.end_faults()
        for caller in self.callers:
            caller.stop()
        self.settled_at = self.timers.clock() + SETTLE_SECONDS
        self.busy_at = self.timers.clock()

    def _unfinished(self):
        return [
            item
            for caller in self.callers
            for item in caller.jobs
            if item.accepted_at is not None
            and not item.completed
            and item.cancelled_at is None
        ]

    def _check_settled(self):
        now = self.timers.clock()
        self.lag = max(self.lag, now - self.checked_at - CHECK_SECONDS)
        self.checked_at = now
        if self._unfinished() or self.site.open_requests:
            self.busy_at = now
        # Idle long enough that the jobs cancelled last must have stopped too.
        idle = now - self.busy_at > IDLE_SECONDS
        if self.settled_at == float("inf"):
            return
        if not self.done and (idle or now >= self.settled_at):
            self.done = True
            self._record_line("settled" if idle else "not settled in time")
            self._finish()

    def _finish(self):
        broken = self.site.violations
        for item in self._unfinished():
            broken.append(f"{item.job_id} was accepted but not completed")
        harness = self.site.harness
        broken += harness.find_cancelled_starts()
        begun = {
            entry[3].job for entry in harness.history if entry[0] == "begin"
        }
        for caller in self.callers:
            for item in caller.jobs:
                rejected = item.accepted_at is None and not item.maybe_accepted
                if rejected and item.job_id in begun:
                    broken.append(f"{item.job_id} ran although it was refused")
        for minion in harness.minions.values():
            for task in minion.running:
                if task.job in harness.cancelled_at and not minion.unreachable:
                    broken.append(
                        f"{task.render()} runs after its cancellation"
                    )
        if self.timers.failures:
            broken.append("a callback of the simulated services failed")
        self.timers.stop()

    def _report(self):
        works = [item for caller in self.callers for item in caller.jobs]
        harness = self.site.harness
        return {
            "seed": self.seed,
            "entries": len(self.site.entries),
            "faults": len(self.lines) - 1,
            "jobs": len(works),
            "accepted": sum(item.accepted_at is not None for item in works),
            "completed": sum(item.completed for item in works),
            "cancelled": sum(item.cancelled_at is not None for item in works),
            "unfinished": len(self._unfinished()),
            "runs": harness.count("begin"),
            "moves": len(harness.machine_service.orders),
            "lag": round(self.lag, 3),
            "broken": sorted(set(self.site.violations)),
        }

    def keep(self, target):
        """Copies logs, faults and run history of this seed to `target`."""
        (self.folder / "faults.txt").write_text("\n".join(self.lines) + "\n")
        history = [
            [entry[0], round(entry[1] - self.began, 3), entry[2]]
            + [entry[3].render(), str(entry[4])]
            for entry in self.site.harness.history
            if isinstance(entry[3], job.TaskId)
        ]
        answers = [
            [round(time - self.began, 3) for time in row[:2]] + list(row[2:])
            for row in self.site.answers
        ]
        terms = [
            [term, round(item.began - self.began, 3), item.entry.name]
            for term, item in self.site.harness.leaderships.items()
        ]
        appends = [
            [round(time - self.began, 3), stream.value, offset, item.key]
            + [item.value[:100].decode(errors="replace")]
            for time, stream, offset, item in self.site.harness.appends
        ]
        for name, rows in (
            ("appends", appends),
            ("history", history),
            ("answers", answers),
            ("terms", terms),
        ):
            (self.folder / f"{name}.json").write_text(
                "\n".join(json.dumps(row) for row in rows) + "\n"
            )
        shutil.copytree(self.folder, target, dirs_exist_ok=True)


def run_seed(
    seed, seconds, entries, out=None, *, keep=False, mix=faults.Mix.ALL
):
    """Runs one seed; keeps its logs in `out` if a guarantee was violated."""
    with tempfile.TemporaryDirectory() as folder:
        soak = Soak(seed, seconds, folder, entries=entries, mix=mix)
        report = soak.run()
        if out is not None and (keep or report["broken"]):
            soak.keep(pathlib.Path(out) / f"seed-{seed}")
        return report


def main(arguments):
    """Runs the seeds of the command line.

    Returns:
        The process exit status.
    """
    parser = argparse.ArgumentParser(
        prog="features.soak", description=__doc__.splitlines()[0]
    )
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument(
        "--seconds", type=float, default=25.0, help="time of faults, each seed"
    )
    parser.add_argument("--entries", type=int, default=4)
    parser.add_argument(
        "--mix",
        choices=[mix.value for mix in faults.Mix],
        default=faults.Mix.ALL.value,
        help="which faults and cancellations are frequent",
    )
    parser.add_argument("--out", default=None, help="folder for broken seeds")
    parser.add_argument(
        "--keep", action="store_true", help="keep the logs of sound seeds too"
    )
    options = parser.parse_args(arguments)
    broken = False
    for seed in range(options.seed, options.seed + options.seeds):
        report = run_seed(
            seed,
            options.seconds,
            options.entries,
            options.out,
            keep=options.keep,
            mix=faults.Mix(options.mix),
        )
        print(json.dumps(report), flush=True)
        broken = broken or bool(report["broken"])
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
