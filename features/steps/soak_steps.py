"""Steps that run the fault soak in a process of its own."""

import json
import subprocess
import sys

import behave

from features import runner

LIMIT_SECONDS = 120


@behave.when(
    "the soak runs seed {seed:d} with {entries:d} entries and {seconds:g}"
    " seconds of faults"
)
def run_soak(context, seed, entries, seconds):
    run_mix(context, "all", seed, entries, seconds)


@behave.when(
    "the soak runs seed {seed:d} of the mix {mix:w} with {entries:d} entries"
    " and {seconds:g} seconds of faults"
)
def run_mix(context, mix, seed, entries, seconds):
    done = subprocess.run(
        [
            sys.executable,
            "-m",
            "features.soak",
            f"--seed={seed}",
            f"--mix={mix}",
            f"--entries={entries}",
            f"--seconds={seconds}",
        ],
        cwd=runner.ROOT,
        capture_output=True,
        text=True,
        timeout=LIMIT_SECONDS,
    )
    lines = done.stdout.splitlines()
    assert lines, done.stderr[-2000:]
    context.report = json.loads(lines[-1])


@behave.then("no promise was broken")
def check_promises(context):
    assert not context.report["broken"], context.report


@behave.then("every accepted job was completed or cancelled")
def check_jobs(context):
    report = context.report
    assert report["accepted"] and not report["unfinished"], report
