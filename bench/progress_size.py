"""Measures the bytes of all progress records written while one job runs.

Tasks end one by one, and each change is stored. Run with
`python -m bench.progress_size`; prints one JSON object.
"""

import json

from clementinewood import identifiers, job

STEPS = 2
TASKS = 8
JOB_ID = identifiers.JobId("00000000000000aa")


def list_records():
    """Returns the records of a job of `STEPS` steps of `TASKS` tasks."""
    progress = job.Progress()
    records = []
    for step in range(STEPS):
        progress.state = job.JobState.RUNNING
        for position in range(TASKS):
            minion = identifiers.MinionId(f"guild-yard-hobart-{position:03d}")
            progress.assignments[0, step, position] = (1, minion)
        records.append(job.encode_progress(progress))
        for position in range(TASKS):
            progress.set_done(job.TaskId(JOB_ID, 0, step, position))
            if (step, position) == (STEPS - 1, TASKS - 1):
                progress.state = job.JobState.COMPLETED
            records.append(job.encode_progress(progress))
    return records


if __name__ == "__main__":
    found = list_records()
    figures = {
        "bench": "progress_size",
        "records": len(found),
        "bytes": sum(map(len, found)),
    }
    print(json.dumps(figures))
