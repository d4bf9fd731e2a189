"""Builds the job table of each entry by replaying the job log."""

import collections
import dataclasses
import enum
import json
import math
from collections.abc import Callable, Iterator
from typing import Any

from returns import result

from clementinewood import decoding, event, identifiers, job, loadreport


class RecordKind(enum.Enum):
    """Kind of a record in the job log; the value is the prefix of its key."""

    JOB = "j"
    CANCEL = "c"
    PROGRESS = "p"
    COMPLETION = "e"
    """Completion that an entry of an earlier version has stored."""

    CURSOR = "m"
    WAVE = "w"
    MOVE = "v"
    LEADER = "office"
    LOAD = "load"


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRecord:
    """One keyed record as the log returns it.

    Attributes:
        key: Key; the log keeps the newest record of each key.
        value: Value; empty if the key was deleted.
        offset: Position in the log.
    """

    key: str
    value: bytes
    offset: int


def render_key(kind: RecordKind, job_id: identifiers.JobId) -> str:
    """Returns the key of a record about `job_id`."""
    return f"{kind.value}/{job_id}"


def is_job_key(key: str) -> bool:
    """Whether `key` is that of an accepted job."""
    return key.startswith(f"{RecordKind.JOB.value}/")


def render_block_key(job_id: identifiers.JobId, block: int) -> str:
    """Returns the key of a block of a job's progress."""
    return f"{render_key(RecordKind.PROGRESS, job_id)}/{block}"


def render_cursor_key(minion_id: identifiers.MinionId) -> str:
    """Returns the key of a minion's cursor."""
    return f"{RecordKind.CURSOR.value}/{minion_id}"


def render_wave_key(number: int) -> str:
    """Returns the key of the start of a wave."""
    return f"{RecordKind.WAVE.value}/{number}"


def render_wave_machine_key(
    number: int, machine_id: identifiers.MachineId
) -> str:
    """Returns the key of one machine's progress in a wave."""
    return f"{RecordKind.WAVE.value}/{number}/{machine_id}"


def render_move_key(machine_id: identifiers.MachineId) -> str:
    """Returns the key of the last move ordered for a machine."""
    return f"{RecordKind.MOVE.value}/{machine_id}"


class MaintenanceStage(enum.Enum):
    """How far a machine of a wave has come."""

    DRAINING = "draining"
    ORDERED = "ordered"
    """Its maintenance may begin at any time, also late."""

    BEGUN = "begun"


@dataclasses.dataclass(frozen=True, slots=True)
class MachineProgress:
    """Stored progress of one machine in a wave.

    Attributes:
        stage: How far it has come.
        minion_id: The minion that it ran then.
    """

    stage: MaintenanceStage
    minion_id: identifiers.MinionId


@dataclasses.dataclass(slots=True)
class WaveProgress:
    """Stored progress of a wave.

    Attributes:
        began: Unix time in seconds at which a leader first knew it; None if
            that is not stored.
        machines: Progress of its machines.
    """

    began: float | None = None
    machines: dict[identifiers.MachineId, MachineProgress] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True, slots=True)
class StoredMove:
    """Stored order to move a machine.

    Attributes:
        pool: Pool that it moves to.
        minion_id: The minion that it ran when the order was given.
        settled: Whether the effect of the order is known.
    """

    pool: identifiers.PoolId
    minion_id: identifiers.MinionId
    settled: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoredOrder:
    """The newest stored order about a machine, as this entry has read it.

    Attributes:
        settled: Whether its effect is known, so that it is not sent again.
        read_at: Monotonic time in seconds at which the record was read.
    """

    settled: bool
    read_at: float


def encode_wave_start(began: float) -> bytes:
    """Returns the stored form of the Unix time at which a wave began."""
    return json.dumps({"began": round(began, 3)}).encode()


def encode_machine_progress(progress: MachineProgress) -> bytes:
    """Returns the stored form of a machine's progress in a wave."""
    return json.dumps([progress.stage.value, progress.minion_id]).encode()


def encode_move(move: StoredMove) -> bytes:
    """Returns the stored form of an order to move a machine."""
    return json.dumps([move.pool, move.minion_id, move.settled]).encode()


LEADER_KEY = RecordKind.LEADER.value
LOAD_KEY = RecordKind.LOAD.value

_RECORDS_WITHOUT_JOB = frozenset(
    (RecordKind.CURSOR, RecordKind.WAVE, RecordKind.MOVE)
)


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderRecord:
    """Stored result of a leader election.

    Attributes:
        term: Number of the term; also the fencing token.
        leader: Incarnation of the leader's process.
        released: Whether the leader has resigned.
    """

    term: identifiers.Term
    leader: identifiers.Incarnation
    released: bool = False


def encode_leader_record(record: LeaderRecord) -> bytes:
    """Returns the stored form of `record`."""
    return json.dumps([record.term, record.leader, record.released]).encode()


def decode_leader_record(data: bytes) -> result.Result[LeaderRecord, str]:
    """Decodes a leader record, or returns why it is malformed."""
    try:
        term, leader, released = json.loads(data)
        return result.Success(
            LeaderRecord(
                identifiers.Term(int(term)),
                identifiers.Incarnation(str(leader)),
                bool(released),
            )
        )
    except decoding.ERRORS as error:
        return result.Failure(f"leader record is malformed: {error!r}")


@dataclasses.dataclass(frozen=True, slots=True)
class Cursor:
    """Outcomes of a minion that stored progress includes.

    Attributes:
        incarnation: Start of the minion's incarnation in Unix milliseconds.
        sequence: Number of the last outcome included.
    """

    incarnation: int
    sequence: int


@dataclasses.dataclass(slots=True)
class JobEntry:
    """Entry of one job in the job table.

    Attributes:
        accepted: The job; None while only its later records were read.
        progress: Its stored progress.
        cancelled: Whether its cancellation is stored.
        completion_stored: Whether the store has its completion, although the
            progress that was read does not say so.
        blocks: Records of its progress besides the one in `progress`, by
            number; read only by a leader that takes the job over.
    """

    accepted: job.Job | None = None
    progress: job.Progress = dataclasses.field(default_factory=job.Progress)
    cancelled: bool = False
    completion_stored: bool = False
    blocks: dict[int, StoredRecord] = dataclasses.field(default_factory=dict)

    @property
    def state(self) -> job.JobState:
        """State as reported to callers."""
        if self.progress.state in job.TERMINAL:
            return self.progress.state
        if self.completion_stored:
            return job.JobState.COMPLETED
        if self.cancelled:
            return job.JobState.CANCELLED
        return self.progress.state

    def read_progress(self) -> job.Progress:
        """Returns a copy of the stored progress, with that in blocks."""
        whole = self.progress.copy()
        for _ in self.read_blocks(whole):
            pass
        return whole

    def read_blocks(self, whole: job.Progress) -> Iterator[int]:
        """Adds the progress in blocks to a copy of the other one.

        Args:
            whole: Copy of `progress`; changed in place.

        Yields:
            The number of tasks that each block is about.
        """
        if not whole.block_tasks:
            # Blocks beside it are left over from a division that was cut off.
            return
        # A leader of an earlier version stores all rows in one record.
        whole.changed = whole.list_places()
        for record in list(self.blocks.values()):
            match job.decode_progress(record.value):
                case result.Success(part):
                    whole.add(part)
                case result.Failure(reason):
                    _drop(record, reason)
            yield whole.block_tasks
        # Blocks keep rows of finished occurrences until they are deleted.
        whole.drop_finished(whole.finished)


class JobTable:
    """Holds every job of the site, replayed from the job log.

    Records may be applied twice and, after a snapshot, out of order; of each
    key, the record with the highest offset applies.

    Attributes:
        leader: Newest leader record.
        cursors: Outcomes that stored progress includes, by minion.
        waves: Progress of waves, by number.
        moves: Last move ordered for each machine.
        load: Newest load report; None if it is malformed.

    Args:
        clock: Source of monotonic time in seconds; without one, every record
            counts as just read.
    """

    def __init__(self, clock: Callable[[], float] = lambda: math.inf) -> None:
        self._clock = clock
        self.leader: LeaderRecord | None = None
        self.load: loadreport.LoadReport | None = None
        self.cursors: dict[identifiers.MinionId, Cursor] = {}
        self.waves: dict[int, WaveProgress] = {}
        self.moves: dict[identifiers.MachineId, StoredMove] = {}
        self._orders: dict[
            tuple[RecordKind, identifiers.MachineId], StoredOrder
        ] = {}
        self._entries: dict[identifiers.JobId, JobEntry] = {}
        self._counts: collections.Counter[
            tuple[identifiers.QueueId, job.JobState]
        ] = collections.Counter()
        self._offsets: dict[str, int] = {}

    def __iter__(self) -> Iterator[JobEntry]:
        return iter(self._entries.values())

    def find(self, job_id: identifiers.JobId) -> JobEntry | None:
        """Returns the entry of an accepted job, or None."""
        entry = self._entries.get(job_id)
        return (
            entry if entry is not None and entry.accepted is not None else None
        )

    def is_cancelled(self, job_id: identifiers.JobId) -> bool:
        """Whether the cancellation of a job, known or not, is stored."""
        entry = self._entries.get(job_id)
        return entry is not None and entry.cancelled

    def list_machine_orders(
        self,
    ) -> dict[identifiers.MachineId, StoredOrder]:
        """Returns the newest order about each machine.

        Moves and maintenance have records of their own, which a snapshot
        returns in any order; one that is not settled counts.
        """
        found: dict[identifiers.MachineId, StoredOrder] = {}
        for (_, machine_id), order in self._orders.items():
            known = found.get(machine_id, order)
            found[machine_id] = StoredOrder(
                settled=known.settled and order.settled,
                read_at=max(known.read_at, order.read_at),
            )
        return found

    def apply(
        self, record: StoredRecord
    ) -> JobEntry | LeaderRecord | loadreport.LoadReport | None:
        """Applies one record.

        Returns:
            The job entry, leader record or load report that it changed, or
            None.
        """
        if self._offsets.get(record.key, -1) >= record.offset:
            return None
        self._offsets[record.key] = record.offset
        if record.key == LEADER_KEY:
            return self._apply_leader(record)
        if record.key == LOAD_KEY:
            return self._apply_load(record)
        prefix, _, name = record.key.partition("/")
        try:
            kind = RecordKind(prefix)
        except ValueError:
            _drop(record, f"unknown record kind {prefix!r}")
            return None
        if kind in _RECORDS_WITHOUT_JOB:
            self._apply_other(kind, name, record)
            return None
        name, _, block = name.partition("/")
        job_id = identifiers.JobId(name)
        entry = self._entries.setdefault(job_id, JobEntry())
        if block:
            _apply_block(entry, block, record)
            return None
        before = _classify(entry)
        match kind:
            case RecordKind.JOB:
                if entry.accepted is None:
                    self._apply_job(entry, job_id, record)
            case RecordKind.CANCEL:
                entry.cancelled = True
            case RecordKind.COMPLETION:
                entry.completion_stored = True
            case RecordKind.PROGRESS:
                self._apply_progress(entry, record)
        after = _classify(entry)
        if after != before:
            if before is not None:
                self._counts[before] -= 1
            if after is not None:
                self._counts[after] += 1
        return entry if entry.accepted is not None else None

    def count_pending(self, queue: identifiers.QueueId) -> int:
        """Returns the number of jobs of `queue` of which no task has started.

        These are the jobs whose state is shown as queued.
        """
        return self._counts[queue, job.JobState.QUEUED]

    def count_states(self) -> collections.Counter[job.JobState]:
        """Returns the number of accepted jobs in each state."""
        states: collections.Counter[job.JobState] = collections.Counter()
        for (_, state), count in self._counts.items():
            states[state] += count
        return states

    def _apply_leader(self, record: StoredRecord) -> LeaderRecord | None:
        match decode_leader_record(record.value):
            case result.Success(leader):
                if self.leader is None or leader.term >= self.leader.term:
                    self.leader = leader
                    return leader
            case result.Failure(reason):
                _drop(record, reason)
        return None

    def _apply_load(self, record: StoredRecord) -> loadreport.LoadReport | None:
        match loadreport.decode(record.value):
            case result.Success(report):
                self.load = report
            case result.Failure(reason):
                self.load = None
                _drop(record, reason)
        return self.load

    def _apply_other(
        self, kind: RecordKind, name: str, record: StoredRecord
    ) -> None:
        """Applies a record that is not about a job."""
        try:
            value = json.loads(record.value)
            match kind:
                case RecordKind.CURSOR:
                    incarnation, sequence = value
                    self.cursors[identifiers.MinionId(name)] = Cursor(
                        int(incarnation), int(sequence)
                    )
                case RecordKind.MOVE:
                    pool, minion_id, settled = value
                    self.moves[identifiers.MachineId(name)] = StoredMove(
                        identifiers.PoolId(str(pool)),
                        identifiers.MinionId(str(minion_id)),
                        bool(settled),
                    )
                    self._note_order(
                        kind,
                        identifiers.MachineId(name),
                        settled=bool(settled),
                    )
                case _:
                    self._apply_wave(name, value)
        except decoding.ERRORS as error:
            _drop(record, repr(error))

    def _apply_wave(self, name: str, value: Any) -> None:
        number, _, machine_id = name.partition("/")
        wave = WaveProgress()
        if not machine_id:
            wave.began = float(value["began"])
            if not math.isfinite(wave.began):
                raise ValueError("the start is not finite")
            machines = wave.machines
        else:
            stage, minion_id = value
            machines = {
                identifiers.MachineId(machine_id): MachineProgress(
                    MaintenanceStage(stage),
                    identifiers.MinionId(str(minion_id)),
                )
            }
            stored = MaintenanceStage(stage)
            if stored is not MaintenanceStage.DRAINING:
                self._note_order(
                    RecordKind.WAVE,
                    identifiers.MachineId(machine_id),
                    settled=stored is MaintenanceStage.BEGUN,
                )
        known = self.waves.setdefault(int(number), wave)
        known.machines.update(machines)
        if wave.began is not None:
            known.began = wave.began

    def _note_order(
        self,
        kind: RecordKind,
        machine_id: identifiers.MachineId,
        *,
        settled: bool,
    ) -> None:
        self._orders[kind, machine_id] = StoredOrder(
            settled=settled, read_at=self._clock()
        )

    def _apply_job(
        self,
        entry: JobEntry,
        job_id: identifiers.JobId,
        record: StoredRecord,
    ) -> None:
        match job.decode_job(job_id, record.value):
            case result.Success(accepted):
                entry.accepted = accepted
            case result.Failure(reason):
                _drop(record, reason)

    def _apply_progress(self, entry: JobEntry, record: StoredRecord) -> None:
        match job.decode_progress(record.value):
            case result.Success(progress):
                if entry.progress.state not in job.TERMINAL:
                    entry.progress = progress
            case result.Failure(reason):
                _drop(record, reason)


def _classify(
    entry: JobEntry,
) -> tuple[identifiers.QueueId, job.JobState] | None:
    """Returns the queue and state of an accepted job."""
    if entry.accepted is None:
        return None
    return entry.accepted.queue, entry.state


def _apply_block(entry: JobEntry, block: str, record: StoredRecord) -> None:
    if not block.isdecimal():
        _drop(record, f"unknown part {block!r} of a job")
    elif record.value:
        entry.blocks[int(block)] = record
    else:
        entry.blocks.pop(int(block), None)


def _drop(record: StoredRecord, reason: str) -> None:
    event.emit(
        event.Event.RECORD_REFUSED,
        key=record.key,
        offset=record.offset,
        reason=reason,
    )


if __name__ == "__main__":
    table = JobTable()
    leader = LeaderRecord(identifiers.Term(1), identifiers.Incarnation("e/1"))
    print(
        table.apply(StoredRecord(LEADER_KEY, encode_leader_record(leader), 0))
    )
