"""Keeps the jobs that the next planning pass looks at.

Load pattern: a pass is made for each event, while thousands of jobs wait for
their time, or only for their runs to end. A job that has nothing to place
sleeps until one of its runs ends, one of its occurrences is due, or the
configuration changes.
"""

import heapq
import math

from clementinewood import identifiers


class PlanQueue:
    """Jobs that are awake, and times at which the others are due."""

    def __init__(self) -> None:
        self._added = 0
        self._positions: dict[identifiers.JobId, int] = {}
        self._awake: set[identifiers.JobId] = set()
        self._times: list[tuple[float, identifiers.JobId]] = []
        self._scheduled: set[identifiers.JobId] = set()

    def add(self, job_id: identifiers.JobId) -> None:
        """Adds a job, awake."""
        self._added += 1
        self._positions[job_id] = self._added
        self._awake.add(job_id)

    def remove(self, job_id: identifiers.JobId) -> None:
        """Removes a job for good, if it is present."""
        self._positions.pop(job_id, None)
        self._awake.discard(job_id)

    def wake(self, job_id: identifiers.JobId) -> None:
        """Wakes up a job, if it is present."""
        if job_id in self._positions:
            self._awake.add(job_id)

    def wake_all(self) -> None:
        """Wakes up every job."""
        self._awake.update(self._positions)

    def sleep(self, job_id: identifiers.JobId) -> None:
        """Leaves a job out of the next passes until it is woken up."""
        self._awake.discard(job_id)

    def schedule(self, job_id: identifiers.JobId, time: float) -> None:
        """Wakes up a job at a Unix time in seconds, unless one is set."""
        if job_id not in self._scheduled:
            self._scheduled.add(job_id)
            heapq.heappush(self._times, (time, job_id))

    def take_awake(self, time: float) -> list[identifiers.JobId]:
        """Returns the jobs awake at a Unix time, in the order of addition."""
        while self._times and self._times[0][0] <= time:
            self.wake(self._pop_scheduled())
        return sorted(self._awake, key=self._positions.__getitem__)

    def find_next_time(self) -> float:
        """Returns the Unix time of the next scheduled wake-up, or infinity."""
        while self._times and self._times[0][1] not in self._positions:
            self._pop_scheduled()
        return self._times[0][0] if self._times else math.inf

    def _pop_scheduled(self) -> identifiers.JobId:
        _, job_id = heapq.heappop(self._times)
        self._scheduled.discard(job_id)
        return job_id


if __name__ == "__main__":
    queue = PlanQueue()
    queue.add(identifiers.JobId("5c0e7a21d94b36f8"))
    print(queue.take_awake(0.0), queue.find_next_time())
