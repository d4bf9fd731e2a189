"""What the job service needs from the platform that it runs on.

An adapter provides these. Every call returns at once; the outcome comes later
on the loop, exactly once.
"""

import dataclasses
import enum
from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

from clementinewood import (
    catalog,
    dispatcher,
    identifiers,
    jobtable,
    policycache,
    run,
    verdict,
)


class Stream(enum.Enum):
    """Keyed logs of the platform's store."""

    JOBS = "jobs"
    """The system's own: jobs and cancellings that callers handed in."""

    DISPATCH = "dispatch"
    """The system's own: progress of jobs and who dispatches. Appends take
    their turn in each log, so that the dispatcher does not wait for callers'
    records."""

    DECLARATIONS = "declarations"
    """What operators declare."""

    MINIONS = "minions"
    """What minions report of themselves."""

    STATUS = "status"
    """What the system reports to operators."""


@dataclasses.dataclass(frozen=True, slots=True)
class Fence:
    """Orders the appends of successive dispatchers.

    Attributes:
        term: Appends of a lower term are refused from now on.
        sequence: Number of the append in this term.
    """

    term: identifiers.Term
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedRecord:
    """A record to be appended."""

    key: str
    value: bytes


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
    """The sequence number does not follow the last one.

    Attributes:
        expected: The number that would.
    """

    expected: int


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The call did not succeed.

    Attributes:
        execution: Whether it may have taken effect.
        detail: What happened.
    """

    execution: verdict.Execution
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Records:
    """Records read from a stream.

    Attributes:
        records: In order of their offsets.
        next_offset: Offset to go on from.
        end: Offset after the last record of the stream.
    """

    records: tuple[jobtable.StoredRecord, ...]
    next_offset: int
    end: int


@dataclasses.dataclass(frozen=True, slots=True)
class Expired:
    """The records asked for were deleted."""


AppendResult = Appended | Fenced | OutOfOrder | Failed
ReadResult = Records | Expired | Failed
NewestResult = Records | Failed
OnAppend = Callable[[AppendResult], None]
OnRead = Callable[[ReadResult], None]


class Store(Protocol):
    """The platform's log of keyed records."""

    def append(
        self,
        stream: Stream,
        items: Sequence[KeyedRecord],
        on_result: OnAppend,
        *,
        fence: Fence | None = None,
    ) -> None:
        """Appends `items`, all or nothing."""

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
class PollFenced:
    """Another dispatcher has used a higher token at the minion."""


@dataclasses.dataclass(frozen=True, slots=True)
class IncarnationMismatch:
    """Another incarnation answers at the address."""


PollResult = run.MinionReport | PollFenced | IncarnationMismatch | Failed


class Minions(Protocol):
    """Orders to minions."""

    def poll(
        self,
        minion: catalog.Minion,
        term: identifiers.Term,
        *,
        acked_sequence: int,
        deadline: float | None,
        wait: float,
        on_result: Callable[[PollResult], None],
    ) -> None:
        """Extends the lease, acknowledges ends and reads what runs."""

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
        """Stops a run; the outcome is whether the minion confirmed it."""

    def pace(
        self,
        minion: catalog.Minion,
        term: identifiers.Term,
        order: dispatcher.PaceRun,
    ) -> None:
        """Sets the pace of a run."""

    def forget(self, minion_id: identifiers.MinionId) -> None:
        """Closes the connections to a minion that is gone."""


class MachineOutcome(enum.Enum):
    """How the platform took an order about a machine."""

    ACCEPTED = "accepted"
    FENCED = "fenced"
    BUSY = "busy"
    NOT_IN_WAVE = "not-in-wave"
    INVALID = "invalid"
    REFUSED = "refused"
    """Nothing was done; another try may succeed."""

    UNKNOWN = "unknown"
    """No answer; it may be carried out, even later."""


class Policy(Protocol):
    """The service that knows which minions may run a step."""

    def ask(
        self,
        query: policycache.PolicyQuery,
        on_answer: Callable[[Mapping[identifiers.MinionId, str] | None], None],
    ) -> None:
        """Asks for tickets; None means that there was no answer."""


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
    ) -> None:
        """Moves a machine to another pool; everything on it ends."""

    def start_maintenance(
        self,
        machine_id: identifiers.MachineId,
        wave: int,
        term: identifiers.Term,
        on_result: Callable[[MachineOutcome], None],
    ) -> None:
        """Starts the upkeep of a machine; everything on it ends."""


@dataclasses.dataclass(frozen=True, slots=True)
class Declarations:
    """Everything that operators declare.

    Attributes:
        configuration: The newest version, if there is one.
        evacuated: Zones that get no new work.
        waves: Waves of upkeep, by number.
    """

    configuration: catalog.Configuration | None
    evacuated: frozenset[identifiers.ZoneId]
    waves: tuple[catalog.Wave, ...]


class Decoder(Protocol):
    """Reads the platform's records into the product's types."""

    def apply_declaration(self, record: jobtable.StoredRecord) -> None:
        """Folds one record of what operators declare."""

    def replace_declarations(
        self, records: Sequence[jobtable.StoredRecord]
    ) -> None:
        """Starts anew from the newest record of each key."""

    def read_declarations(self) -> Declarations:
        """Returns what is declared now."""

    def decode_minion(
        self, record: jobtable.StoredRecord
    ) -> catalog.Minion | None:
        """Reads a minion's report; None if it names no minion to use."""

    def encode_wave_status(
        self, number: int, *, completed: bool
    ) -> KeyedRecord:
        """Returns the record that tells operators how a wave stands."""
