"""Encodes the progress of jobs as records that the store takes.

Load pattern: one job has thousands of tasks, of which each that has started or
failed is a row of its progress. The store refuses a record above its limit,
and with it everything that shares the append: the leader's renewal and the
progress of all other jobs. Progress that does not fit into one record is
therefore divided into blocks of a fixed number of tasks, and only the blocks
that have changed are stored again.
"""

import dataclasses
import itertools
from collections.abc import (
    Collection,
    Iterable,
    Iterator,
    Mapping,
    Sequence,
)
from typing import TypeVar

from clementinewood import identifiers, job, jobtable, ports

_Row = TypeVar("_Row")

MAX_TASK_BYTES = 1024
"""Bytes that a task takes in a block at most, without the names of minions that
have crashed under it: its assignment, its failed runs and its crashes."""


RENEWAL_BYTES = 1024
"""Bytes of each append left for the leader's renewal."""


@dataclasses.dataclass(frozen=True, slots=True)
class Segment:
    """Adjacent tasks of one step in a block."""

    occurrence: int
    step: int
    first: int
    count: int


class BlockLayout:
    """Numbers the tasks of all occurrences and divides them into blocks.

    Args:
        accepted: The job.
        block_tasks: Tasks in a block.
    """

    def __init__(self, accepted: job.Job, block_tasks: int) -> None:
        self._block_tasks = block_tasks
        self._firsts = list(
            itertools.accumulate(
                (step.count for step in accepted.steps), initial=0
            )
        )
        self._occurrence_tasks = self._firsts[-1]
        self._tasks = accepted.occurrences * self._occurrence_tasks

    def find_block(self, place: job.Place) -> int:
        """Returns the number of the block of a task."""
        occurrence, step, position = place
        number = occurrence * self._occurrence_tasks + self._firsts[step]
        return (number + position) // self._block_tasks

    def find_first_block(self, finished: int) -> int:
        """Returns the first block with tasks of unfinished occurrences.

        Args:
            finished: Number of occurrences from the first on that are finished.
        """
        return finished * self._occurrence_tasks // self._block_tasks

    def list_segments(self, block: int) -> Iterator[Segment]:
        """Returns the tasks of a block, by step."""
        number = block * self._block_tasks
        end = min(number + self._block_tasks, self._tasks)
        while number < end:
            occurrence, task = divmod(number, self._occurrence_tasks)
            step = _find_last(self._firsts, task)
            first = task - self._firsts[step]
            count = min(end - number, self._firsts[step + 1] - task)
            yield Segment(occurrence, step, first, count)
            number += count


def _find_last(firsts: Sequence[int], task: int) -> int:
    """Returns the step whose tasks include the one numbered `task`."""
    return next(
        step
        for step in range(len(firsts) - 1)
        if firsts[step] <= task < firsts[step + 1]
    )


def extract_block(
    progress: job.Progress, segments: Iterable[Segment]
) -> job.Progress:
    """Returns the part of `progress` that is about the tasks of a block."""
    part = job.Progress()
    places: list[job.Place] = []
    for segment in segments:
        key = (segment.occurrence, segment.step)
        mask = (1 << segment.count) - 1 << segment.first
        done = progress.done.get(key, 0) & mask
        if done:
            part.done[key] = done
        places += (
            (*key, segment.first + index) for index in range(segment.count)
        )
    part.failed = _select(progress.failed, places)
    part.failed_runs = _select(progress.failed_runs, places)
    part.assignments = _select(progress.assignments, places)
    part.crashed = _select(progress.crashed, places)
    return part


def _select(
    rows: Mapping[job.Place, _Row], places: Iterable[job.Place]
) -> dict[job.Place, _Row]:
    return {place: rows[place] for place in places if place in rows}


class ProgressEncoder:
    """Encodes progress whole, or in blocks once it does not fit any more.

    A job whose progress is stored in blocks stays so until it ends: then its
    blocks are deleted. The record that refers to the blocks comes after them
    when progress is divided, so that they count only once the division is
    stored as a whole. Afterwards it comes first: it counts the occurrences that
    are finished, whose rows are missing in the blocks stored from then on.

    Args:
        limits: Limits of the store.
    """

    def __init__(self, limits: ports.StoreLimits) -> None:
        self._limits = limits
        self._layouts: dict[identifiers.JobId, BlockLayout] = {}
        self._block_tasks: dict[identifiers.JobId, int] = {}
        self._blocks: dict[identifiers.JobId, set[int]] = {}
        self._first_blocks: dict[identifiers.JobId, int] = {}

    def restore(
        self, accepted: job.Job, block_tasks: int, blocks: Collection[int]
    ) -> None:
        """Continues with the blocks that an earlier leader has stored.

        Args:
            accepted: The job.
            block_tasks: Tasks in a block; 0 if it is stored whole.
            blocks: Numbers of its blocks, or of those that are left over from
                a division that was cut off.
        """
        if blocks:
            self._blocks[accepted.job_id] = set(blocks)
        if block_tasks:
            self._divide(accepted, block_tasks)

    def encode(
        self, accepted: job.Job, progress: job.Progress
    ) -> list[ports.KeyedRecord]:
        """Returns the records of progress that has changed."""
        changed = progress.take_changed()
        job_id = accepted.job_id
        if progress.state in job.TERMINAL:
            return [
                _create_record(job_id, job.encode_progress(progress)),
                *self._delete_blocks(job_id),
            ]
        leftover: set[int] = set()
        divided = job_id in self._layouts
        if not divided:
            whole = _create_record(job_id, job.encode_progress(progress))
            if whole.size <= self._limits.record_bytes:
                return [whole]
            self._divide(
                accepted,
                max(1, self._limits.record_bytes // MAX_TASK_BYTES),
            )
            leftover = self._blocks.pop(job_id, leftover)
            changed = progress.list_places()
        head = job.Progress(
            progress.state,
            block_tasks=self._block_tasks[job_id],
            finished=progress.finished,
        )
        record = _create_record(job_id, job.encode_progress(head))
        layout = self._layouts[job_id]
        first = layout.find_first_block(progress.finished)
        blocks = {
            block for block in map(layout.find_block, changed) if block >= first
        }
        stored = self._blocks.setdefault(job_id, set())
        stored.update(blocks)
        items = [
            *self.delete_blocks(job_id, leftover - blocks),
            *(
                self._encode_block(job_id, progress, block)
                for block in sorted(blocks)
            ),
        ]
        items.insert(0 if divided else len(items), record)
        if self._first_blocks.get(job_id, 0) < first:
            self._first_blocks[job_id] = first
            ended = {block for block in stored if block < first}
            stored -= ended
            items += self.delete_blocks(job_id, ended)
        return items

    def delete_blocks(
        self, job_id: identifiers.JobId, blocks: Iterable[int]
    ) -> list[ports.KeyedRecord]:
        """Returns the records that delete blocks of a job that has ended."""
        return [
            ports.KeyedRecord(jobtable.render_block_key(job_id, block), b"")
            for block in sorted(blocks)
        ]

    def _divide(self, accepted: job.Job, block_tasks: int) -> None:
        self._block_tasks[accepted.job_id] = block_tasks
        self._layouts[accepted.job_id] = BlockLayout(accepted, block_tasks)

    def _delete_blocks(
        self, job_id: identifiers.JobId
    ) -> list[ports.KeyedRecord]:
        self._layouts.pop(job_id, None)
        self._block_tasks.pop(job_id, None)
        self._first_blocks.pop(job_id, None)
        return self.delete_blocks(job_id, self._blocks.pop(job_id, ()))

    def _encode_block(
        self, job_id: identifiers.JobId, progress: job.Progress, block: int
    ) -> ports.KeyedRecord:
        segments = self._layouts[job_id].list_segments(block)
        part = extract_block(progress, segments)
        key = jobtable.render_block_key(job_id, block)
        record = ports.KeyedRecord(key, job.encode_progress(part))
        if record.size > self._limits.record_bytes:
            # Names of crashed minions serve explanations only.
            part.crashed = {
                place: dataclasses.replace(crashes, minions=())
                for place, crashes in part.crashed.items()
            }
            record = ports.KeyedRecord(key, job.encode_progress(part))
        return record


def split_calls(
    items: Iterable[ports.KeyedRecord], limits: ports.StoreLimits
) -> list[list[ports.KeyedRecord]]:
    """Divides records, in order, into appends that the store takes."""
    calls: list[list[ports.KeyedRecord]] = [[]]
    size = 0
    most = limits.call_bytes - RENEWAL_BYTES
    for item in items:
        if calls[-1] and size + item.size > most:
            calls.append([])
            size = 0
        calls[-1].append(item)
        size += item.size
    return calls


def _create_record(
    job_id: identifiers.JobId, value: bytes
) -> ports.KeyedRecord:
    key = jobtable.render_key(jobtable.RecordKind.PROGRESS, job_id)
    return ports.KeyedRecord(key, value)


if __name__ == "__main__":
    example = job.Job(
        job_id=identifiers.JobId("5c0e7a21d94b36f8"),
        queue=identifiers.QueueId("quotes"),
        team=identifiers.TeamId("canvas"),
        spec="",
        steps=(job.Step(count=700), job.Step(count=700, after=(0,))),
        accepted=0.0,
    )
    for number in range(3):
        print(list(BlockLayout(example, 512).list_segments(number)))
