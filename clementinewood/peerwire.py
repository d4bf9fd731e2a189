"""Defines and encodes the messages on links between entries."""

import dataclasses
import pathlib
import struct
from typing import Any

import thriftpy2
from thriftpy2 import utils
from thriftpy2.protocol import TCyBinaryProtocolFactory

from clementinewood import claim, coordination, identifiers, ledger, structmap

wire: Any = thriftpy2.load(
    str(pathlib.Path(__file__).with_name("peer.thrift")),
    module_name="clementinewood_peer_thrift",
)

PROTOCOL_VERSION = 1
MAC_BYTES = 16
NONCE_BYTES = 32
MAX_FRAME_BYTES = 8 << 20
MAX_HANDSHAKE_BYTES = 1024
_LENGTH = struct.Struct(">I")
_FACTORY = TCyBinaryProtocolFactory()


@dataclasses.dataclass(frozen=True, slots=True)
class Challenge:
    """First message of both sides of a link.

    Attributes:
        version: Protocol version of the sender.
        entry: Configured name of the sender.
        incarnation: Incarnation of the sender.
        zone: Its availability zone.
        nonce: Random bytes that the other side's proof must cover.
    """

    version: int
    entry: identifiers.EntryId
    incarnation: identifiers.Incarnation
    zone: identifiers.ZoneId
    nonce: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Proof:
    """Proves knowledge of the cluster key."""

    mac: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """Requests an acknowledgement on the same link."""

    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeAck:
    """Acknowledges a probe."""

    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedRecord:
    """An encoded log record with its offset and log time."""

    offset: int
    time: float
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class RelayRecords:
    """Records of a stream, without a gap before `next_offset`.

    Attributes:
        stream: The stream.
        next_offset: Offset after the last one covered. Records missing before
            it could not be decoded by the sender.
        records: In the order of their offsets.
    """

    stream: str
    next_offset: int
    records: tuple[RelayedRecord, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RelayRequest:
    """Requests the records of a stream from an offset on."""

    stream: str
    next_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class TeamUsage:
    """Usage of one team at the sender, as in `scheduler.Usage`."""

    team: identifiers.TeamId
    queued: int
    running: int
    slot_seconds: float
    urgent_seconds: float
    raised: float


@dataclasses.dataclass(frozen=True, slots=True)
class PoolUsage:
    """Usage of one pool at the sender.

    Attributes:
        pool: The pool.
        running: Number of running requests.
        queued: Number of queued requests.
        completed: Number of requests that ended since the sender started.
        busy: Total slot-seconds used by the completed requests.
    """

    pool: identifiers.PoolId
    running: int
    queued: int
    completed: int
    busy: float


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerUsage:
    """Number of the sender's requests that run on a host."""

    worker: identifiers.WorkerId
    running: int


@dataclasses.dataclass(frozen=True, slots=True)
class FleetUsage:
    """Usage of pools and hosts, reported by an entry to the planner.

    Attributes:
        next_offset: Offset after the last control record that the sender has
            folded. It shows the planner whether the sender knows of a cordon.
        pools: Pools with any work so far.
        workers: Hosts with running requests.
    """

    next_offset: int
    pools: tuple[PoolUsage, ...]
    workers: tuple[WorkerUsage, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class UsageReport:
    """Usage of the teams for which it changed.

    Attributes:
        teams: Usage of these teams.
        version: Bundle version in force at the sender.
        fresh: Whether the sender may act on its configuration.
        fleet: Usage by pool and host; sent to the planner only, since a
            broadcast would exceed the limit on a node's control traffic.
    """

    teams: tuple[TeamUsage, ...]
    version: int
    fresh: bool
    fleet: FleetUsage | None = None


_KINDS: dict[str, type] = {
    "challenge": Challenge,
    "proof": Proof,
    "probe": Probe,
    "probe_ack": ProbeAck,
    "status": coordination.Status,
    "transfer": ledger.Transfer,
    "transfer_ack": coordination.TransferAck,
    "rights_request": ledger.RightsRequest,
    "claim_ask": claim.ClaimAsk,
    "claim_answer": claim.ClaimAnswer,
    "releases": coordination.Releases,
    "relay_records": RelayRecords,
    "relay_request": RelayRequest,
    "usage_report": UsageReport,
}
_FIELDS = {kind: name for name, kind in _KINDS.items()}
_MAP = structmap.StructMap(wire)


class FrameError(ValueError):
    """Reports bytes that are not a valid frame of this protocol."""


def name_message(message: object) -> str:
    """Returns the field name of `message` in a frame, for metrics."""
    return _FIELDS[type(message)]


def encode_frame(sequence: int, message: object) -> bytes:
    """Returns one frame without length and MAC."""
    frame = wire.Frame(sequence=sequence)
    setattr(frame, _FIELDS[type(message)], _MAP.encode(message))
    return utils.serialize(frame, proto_factory=_FACTORY)


def decode_frame(data: bytes) -> tuple[int, Any]:
    """Returns sequence number and message of a frame.

    Raises:
        FrameError: The bytes are not a frame with exactly one known message.
    """
    try:
        frame = utils.deserialize(wire.Frame(), data, proto_factory=_FACTORY)
        found = [
            (kind, part)
            for name, kind in _KINDS.items()
            if (part := getattr(frame, name)) is not None
        ]
        if len(found) != 1 or type(frame.sequence) is not int:
            raise ValueError(f"frame holds {len(found)} messages")
        return frame.sequence, _MAP.decode(*found[0])
    except Exception as error:  # The codec documents no set of exceptions.
        raise FrameError(f"undecodable frame: {error}") from error


def pack_frame(body: bytes, mac: bytes = b"") -> bytes:
    """Returns `body` with its MAC and length in front."""
    return _LENGTH.pack(len(mac) + len(body)) + mac + body


class FrameReader:
    """Splits a byte stream into frames.

    Attributes:
        limit: Maximum frame size in bytes; raised after the handshake.
    """

    __slots__ = ("_buffer", "limit")

    def __init__(self) -> None:
        self._buffer = bytearray()
        self.limit = MAX_HANDSHAKE_BYTES

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the frames completed by `data`, MAC included.

        Raises:
            FrameError: A frame exceeds `limit`.
        """
        self._buffer += data
        frames = []
        while len(self._buffer) >= _LENGTH.size:
            (size,) = _LENGTH.unpack_from(self._buffer)
            if size > self.limit:
                raise FrameError(f"frame of {size} bytes exceeds {self.limit}")
            end = _LENGTH.size + size
            if len(self._buffer) < end:
                break
            frames.append(bytes(self._buffer[_LENGTH.size : end]))
            del self._buffer[:end]
        return frames


if __name__ == "__main__":
    example = encode_frame(1, ProbeAck(7))
    print(len(example), decode_frame(example))
