"""Builds the job table of each entry by replaying the job log."""

import dataclasses
import enum
import json
from collections.abc import Iterator

from returns import result

from clementinewood import decoding, event, identifiers, job


class RecordKind(enum.Enum):
    """Kind of a record in the job log; the value is the prefix of its key."""

    JOB = "j"
    CANCEL = "c"
    PROGRESS = "p"
    COMPLETION = "e"
    """Completion that an entry has reported before the leader stored it."""

    CURSOR = "m"
    WAVE = "w"
    LEADER = "office"


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


def render_cursor_key(minion_id: identifiers.MinionId) -> str:
    """Returns the key of a minion's cursor."""
    return f"{RecordKind.CURSOR.value}/{minion_id}"


def render_wave_key(number: int) -> str:
    """Returns the key of the machines serviced by a wave."""
    return f"{RecordKind.WAVE.value}/{number}"


LEADER_KEY = RecordKind.LEADER.value


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
        completion_reported: Whether a caller knows that it is completed,
            although its stored progress does not say so yet.
    """

    accepted: job.Job | None = None
    progress: job.Progress = dataclasses.field(default_factory=job.Progress)
    cancelled: bool = False
    completion_reported: bool = False

    @property
    def state(self) -> job.JobState:
        """State as reported to callers."""
        if self.progress.state in job.TERMINAL:
            return self.progress.state
        if self.completion_reported:
            return job.JobState.COMPLETED
        if self.cancelled:
            return job.JobState.CANCELLED
        return self.progress.state


class JobTable:
    """Holds every job of the site, replayed from the job log.

    Records may be applied twice and, after a snapshot, out of order; of each
    key, the record with the highest offset applies.

    Attributes:
        leader: Newest leader record.
        cursors: Outcomes that stored progress includes, by minion.
        waves: Machines whose maintenance has begun, by wave.
    """

    def __init__(self) -> None:
        self.leader: LeaderRecord | None = None
        self.cursors: dict[identifiers.MinionId, Cursor] = {}
        self.waves: dict[int, frozenset[identifiers.MachineId]] = {}
        self._entries: dict[identifiers.JobId, JobEntry] = {}
        self._offsets: dict[str, int] = {}

    def __iter__(self) -> Iterator[JobEntry]:
        return iter(self._entries.values())

    def find(self, job_id: identifiers.JobId) -> JobEntry | None:
        """Returns the entry of an accepted job, or None."""
        entry = self._entries.get(job_id)
        return (
            entry if entry is not None and entry.accepted is not None else None
        )

    def apply(self, record: StoredRecord) -> JobEntry | LeaderRecord | None:
        """Applies one record.

        Returns:
            The job entry or leader record that it changed, or None.
        """
        if self._offsets.get(record.key, -1) >= record.offset:
            return None
        self._offsets[record.key] = record.offset
        if record.key == LEADER_KEY:
            return self._apply_leader(record)
        prefix, _, name = record.key.partition("/")
        try:
            kind = RecordKind(prefix)
        except ValueError:
            _drop(record, f"unknown record kind {prefix!r}")
            return None
        if kind is RecordKind.CURSOR or kind is RecordKind.WAVE:
            self._apply_cursor_or_wave(kind, name, record)
            return None
        job_id = identifiers.JobId(name)
        entry = self._entries.setdefault(job_id, JobEntry())
        match kind:
            case RecordKind.JOB:
                if entry.accepted is None:
                    self._apply_job(entry, job_id, record)
            case RecordKind.CANCEL:
                entry.cancelled = True
            case RecordKind.COMPLETION:
                entry.completion_reported = True
            case RecordKind.PROGRESS:
                self._apply_progress(entry, record)
        return entry if entry.accepted is not None else None

    def count_pending(self, queue: identifiers.QueueId) -> int:
        """Returns the number of queued jobs of `queue`."""
        return sum(
            1
            for entry in self._entries.values()
            if entry.accepted is not None
            and entry.accepted.queue == queue
            and entry.state is job.JobState.QUEUED
        )

    def _apply_leader(self, record: StoredRecord) -> LeaderRecord | None:
        match decode_leader_record(record.value):
            case result.Success(leader):
                if self.leader is None or leader.term >= self.leader.term:
                    self.leader = leader
                    return leader
            case result.Failure(reason):
                _drop(record, reason)
        return None

    def _apply_cursor_or_wave(
        self, kind: RecordKind, name: str, record: StoredRecord
    ) -> None:
        try:
            values = json.loads(record.value)
            if kind is RecordKind.CURSOR:
                incarnation, sequence = values
                self.cursors[identifiers.MinionId(name)] = Cursor(
                    int(incarnation), int(sequence)
                )
            else:
                self.waves[int(name)] = frozenset(
                    identifiers.MachineId(str(value)) for value in values
                )
        except decoding.ERRORS as error:
            _drop(record, repr(error))

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
