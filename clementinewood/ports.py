"""Defines the interfaces through which the job service uses its platform.

An adapter implements them. Every call returns at once; its callback is called
later, on the event loop and exactly once.
"""

import dataclasses
import enum
from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

from clementinewood import (
    catalog,
    dispatcher,
    edge,
    httpclient,
    identifiers,
    jobtable,
    policycache,
    run,
    verdict,
)


class Stream(enum.Enum):
    """Log of keyed records in the platform's store."""

    JOBS = "jobs"
    """Jobs and cancellations that callers submitted."""

    DISPATCH = "dispatch"
    """Progress of jobs, and the LeaderRecord. The store serializes the appends
    of a log, so a separate one keeps the dispatcher from waiting for callers'
    records."""

    DECLARATIONS = "declarations"
    """Declarations of the operators."""

    MINIONS = "minions"
    """Reports of the minions."""

    STATUS = "status"
    """Status that the system reports to operators."""

    ENTRIES = "entries"
    """Addresses at which entries take each other's requests."""


@dataclasses.dataclass(frozen=True, slots=True)
class Fence:
    """Fencing token of an append to the dispatch log.

    Attributes:
        term: From this append on, the store rejects lower terms.
        sequence: Sequence number of the append in its term.
    """

    term: identifiers.Term
    sequence: int


RECORD_HEAD_BYTES = 5
"""Bytes of the lengths of a record and of its key."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoreLimits:
    """Largest appends that the store takes.

    Attributes:
        record_bytes: Bytes of one record.
        call_bytes: Bytes of all records of one append.
    """

    record_bytes: int = 262_144
    call_bytes: int = 2_097_152


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedRecord:
    """Record to append; without a value, it deletes its key."""

    key: str
    value: bytes

    @property
    def size(self) -> int:
        """Bytes that it counts for in the limits of the store."""
        return len(self.key.encode()) + len(self.value) + RECORD_HEAD_BYTES


@dataclasses.dataclass(frozen=True, slots=True)
class Appended:
    """The records are stored.

    Attributes:
        offset: Position of the first one.
    """

    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class Fenced:
    """Another dispatcher has appended under a higher term."""


@dataclasses.dataclass(frozen=True, slots=True)
class OutOfOrder:
    """The sequence number is not the one after the last.

    Attributes:
        expected: The sequence number that would be accepted.
    """

    expected: int


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The call failed.

    Attributes:
        execution: Whether it may have taken effect.
        detail: Cause of the failure, for logs and refusals.
        received_bytes: Bytes of an incomplete response that were received.
    """

    execution: verdict.Execution
    detail: str
    received_bytes: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Records:
    """Records read from a stream.

    Attributes:
        records: In order of their offsets.
        next_offset: Offset of the next read.
        end: Offset after the last record of the stream.
        received_bytes: Size of the response.
    """

    records: tuple[jobtable.StoredRecord, ...]
    next_offset: int
    end: int
    received_bytes: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Expired:
    """The requested records have been deleted."""


AppendResult = Appended | Fenced | OutOfOrder | Failed
ReadResult = Records | Expired | Failed
NewestResult = Records | Failed
OnAppend = Callable[[AppendResult], None]
OnRead = Callable[[ReadResult], None]


class Store(Protocol):
    """The platform's log of keyed records.

    Attributes:
        limits: Limits of its appends.
    """

    limits: StoreLimits

    def append(
        self,
        stream: Stream,
        items: Sequence[KeyedRecord],
        on_result: OnAppend,
        *,
        fence: Fence | None = None,
    ) -> None:
        """Appends `items` atomically."""

    def read(
        self, stream: Stream, offset: int, wait: float, on_result: OnRead
    ) -> None:
        """Reads from `offset`, waiting up to `wait` seconds for a record."""

    def read_newest(
        self, stream: Stream, after: str, on_result: OnRead
    ) -> None:
        """Reads one page of the newest record of each key.

        `Records.next_offset` is -1 on the last page; otherwise the next page
        starts after the key of the last record.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class PeerAnswered:
    """Another entry has answered a forwarded request.

    Attributes:
        response: Its complete answer.
        served: Whether the request was carried out; otherwise it was rejected
            for a fault of the request.
    """

    response: httpclient.Response
    served: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PeerRefused:
    """Another entry could not serve a forwarded request.

    Attributes:
        execution: Whether it may have taken effect.
        detail: Cause, for logs.
    """

    execution: verdict.Execution
    detail: str


PeerResult = PeerAnswered | PeerRefused | Failed


@dataclasses.dataclass(frozen=True, slots=True)
class Takeover:
    """A leadership that has just begun.

    Attributes:
        term: Its term.
        leader: Incarnation of the leader's process.
    """

    term: identifiers.Term
    leader: identifiers.Incarnation


class Peers(Protocol):
    """Sends requests to other entries."""

    def announce(
        self,
        address: tuple[str, int],
        takeover: Takeover,
        timeout: float,
        on_result: Callable[[PeerResult], None],
    ) -> None:
        """Announces a leadership.

        Args:
            address: Address of the other entry's listener.
            takeover: The leadership.
            timeout: Seconds until it times out.
            on_result: Called once with the result, after `announce` has
                returned.
        """

    def send(
        self,
        address: tuple[str, int],
        request: edge.HttpRequest,
        timeout: float,
        on_result: Callable[[PeerResult], None],
    ) -> Callable[[], None]:
        """Sends a request and returns what cancels it without a result.

        Args:
            address: Address of the other entry's listener.
            request: The request as the caller sent it.
            timeout: Seconds until it times out.
            on_result: Called once with the result, after `send` has returned.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class PollFenced:
    """The minion has seen a higher token of another dispatcher."""


@dataclasses.dataclass(frozen=True, slots=True)
class IncarnationMismatch:
    """Another incarnation responds at the address."""


PollResult = run.MinionReport | PollFenced | IncarnationMismatch | Failed


class Minions(Protocol):
    """Sends orders to minions."""

    def poll(
        self,
        minion: catalog.Minion,
        term: identifiers.Term,
        *,
        acked_sequence: int,
        deadline: float | None,
        wait: float,
        patience: float,
        on_result: Callable[[PollResult], None],
    ) -> None:
        """Renews the lease, acknowledges outcomes and reads what runs.

        Args:
            minion: The minion.
            term: Fencing token.
            acked_sequence: Sequence number of the last stored outcome.
            deadline: End of the lease on the minion's clock, in seconds; None
                leaves the lease unchanged.
            wait: Longest wait in seconds for a new outcome.
            patience: Seconds after that within which the response must arrive.
            on_result: Called once with the result.
        """

    def start(
        self,
        minion: catalog.Minion,
        term: identifiers.Term,
        order: dispatcher.StartRun,
        on_result: Callable[[dispatcher.StartOutcome], None],
    ) -> None:
        """Starts a run."""

    def stop(
        self,
        minion: catalog.Minion,
        term: identifiers.Term,
        order: dispatcher.StopRun,
        on_result: Callable[[bool], None],
    ) -> None:
        """Stops a run; the result is whether the minion confirmed it."""

    def pace(
        self,
        minion: catalog.Minion,
        term: identifiers.Term,
        order: dispatcher.PaceRun,
    ) -> None:
        """Sets the pace of a run."""

    def forget(self, minion_id: identifiers.MinionId) -> None:
        """Closes the connections to a minion that no longer exists."""

    def disconnect(self) -> None:
        """Closes all connections, so that minions can accept a successor's."""


class MachineOutcome(enum.Enum):
    """Outcome of a machine order."""

    ACCEPTED = "accepted"
    FENCED = "fenced"
    BUSY = "busy"
    NOT_IN_WAVE = "not-in-wave"
    INVALID = "invalid"
    REFUSED = "refused"
    """Not carried out; a retry may succeed."""

    UNKNOWN = "unknown"
    """No response; the order may be carried out, even later."""


class Policy(Protocol):
    """Policy service, which decides which minions may run a step."""

    def ask(
        self,
        query: policycache.PolicyQuery,
        on_answer: Callable[[Mapping[identifiers.MinionId, str] | None], None],
    ) -> None:
        """Requests policy tickets; the result is None without a response."""


class Machines(Protocol):
    """The platform's machine service."""

    def list_machines(
        self,
        on_result: Callable[[tuple[catalog.Machine, ...] | Failed], None],
    ) -> None:
        """Lists every machine."""

    def move(
        self,
        machine_id: identifiers.MachineId,
        pool: identifiers.PoolId,
        term: identifiers.Term,
        on_result: Callable[[MachineOutcome], None],
        *,
        send_before: float,
    ) -> None:
        """Moves a machine to another pool, which ends everything on it.

        Args:
            machine_id: The machine.
            pool: Pool that it moves to.
            term: Fencing token.
            on_result: Called once with the outcome.
            send_before: Monotonic time in seconds at which the leadership may
                end; the order must not be sent from then on.
        """

    def start_maintenance(
        self,
        machine_id: identifiers.MachineId,
        wave: int,
        term: identifiers.Term,
        on_result: Callable[[MachineOutcome], None],
        *,
        send_before: float,
    ) -> None:
        """Starts maintenance of a machine, which ends everything on it.

        Args:
            machine_id: The machine.
            wave: Number of the maintenance wave.
            term: Fencing token.
            on_result: Called once with the outcome.
            send_before: As for `move`.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class Declarations:
    """Current declarations of the operators.

    Attributes:
        configuration: The newest version; None if there is none.
        evacuated: Zones that get no new work.
        waves: Maintenance waves.
    """

    configuration: catalog.Configuration | None
    evacuated: frozenset[identifiers.ZoneId]
    waves: tuple[catalog.Wave, ...]


class Decoder(Protocol):
    """Decodes the platform's records into the types of the job service."""

    def apply_declaration(self, record: jobtable.StoredRecord) -> None:
        """Folds one record of the DECLARATIONS stream."""

    def replace_declarations(
        self, records: Sequence[jobtable.StoredRecord]
    ) -> None:
        """Replaces all declarations by the newest record of each key."""

    def read_declarations(self) -> Declarations:
        """Returns the current declarations."""

    def decode_minion(
        self, record: jobtable.StoredRecord
    ) -> catalog.Minion | None:
        """Decodes a minion's report; None if it names no usable minion."""

    def encode_wave_status(
        self, number: int, *, completed: bool
    ) -> KeyedRecord:
        """Returns the record that reports a maintenance wave's status."""
