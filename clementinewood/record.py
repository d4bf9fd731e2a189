"""Encodes and decodes log records: envelope and payload of each kind."""

import dataclasses
import enum
import pathlib
import zlib
from collections.abc import Mapping
from typing import Any

import thriftpy2
from returns import result
from thriftpy2 import protocol, utils

from clementinewood import (
    fault,
    fleet_record,
    identifiers,
    signature,
    structmap,
    verdict,
)
from clementinewood.identifiers import (
    EntryId,
    Incarnation,
    RecordId,
    RequestId,
    TeamId,
    ZoneId,
)

wire = thriftpy2.load(
    str(pathlib.Path(__file__).with_name("wire.thrift")),
    module_name="clementinewood_wire_thrift",
)
MAP = structmap.StructMap(wire)
CODEC = protocol.TCyBinaryProtocolFactory()

MAX_PAYLOAD_BYTES = 16 << 20
"""Maximum size of a payload after decompression."""

MIN_DEFLATE_BYTES = 512
"""Payloads below this size gain less than their compression costs."""

_MAC_HEADER = b"\x0b\x00\x20\x00\x00\x00\x20"
"""Thrift binary header of field 32, a string of 32 bytes."""
_MAC_TRAILER_BYTES = len(_MAC_HEADER) + signature.MAC_BYTES + 1


class Format(enum.IntEnum):
    """Encoding of the payload.

    Readers accept every format listed. Writers use a newer one only once
    every member can read it, since readers skip records they cannot decode.
    """

    PLAIN = 1
    DEFLATED = 2


NEWEST_FORMAT = max(Format)


@dataclasses.dataclass(frozen=True, slots=True)
class BundleAccepted:
    """Puts a bundle into force that the author verified.

    Attributes:
        expected: Version in force that it replaces; 0 for the first bundle.
        version: Version of the bundle.
        delta: Whether `content` is a delta against the expected version.
        content: The signed text, compressed, or a delta.
        digest: SHA-256 of the signed text.
    """

    expected: int
    version: int
    delta: bool
    content: bytes
    digest: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Joined:
    """Adds a started entry process to the members.

    Attributes:
        incarnation: Incarnation of the entry.
        entry: Configured name.
        host: IP address of the peer listener.
        port: Port of the peer listener.
        zone: Availability zone.
        newest_format: Newest record format that it can read.
    """

    incarnation: Incarnation
    entry: EntryId
    host: str
    port: int
    zone: ZoneId
    newest_format: int = NEWEST_FORMAT


@dataclasses.dataclass(frozen=True, slots=True)
class Removed:
    """Removes a member that is gone, whose later records are ignored.

    Attributes:
        incarnation: The member.
        expected: Offset of the suspicion that was not refuted.
    """

    incarnation: Incarnation
    expected: int = -1


@dataclasses.dataclass(frozen=True, slots=True)
class Suspected:
    """Suspects an unresponsive member, which refutes it if it is alive."""

    incarnation: Incarnation


@dataclasses.dataclass(frozen=True, slots=True)
class Refuted:
    """Refutes a suspicion of the author.

    Attributes:
        offset: Control offset that the author has folded.
        flushed: Whether all claims it recorded in an outage are in the log.
        complete: Whether it knows every claim that may have run.
        debts: Resources in deficit: it uses more tokens than it holds.
        opened: Limit reductions up to this offset are settled at all members.
    """

    offset: int
    flushed: bool
    complete: bool
    debts: tuple[str, ...] = ()
    opened: int = -1


@dataclasses.dataclass(frozen=True, slots=True)
class Closed:
    """Fencing record of the author for a removed member.

    Attributes:
        incarnation: The removed member.
        given: Cumulative tokens that the author gave to it, per resource.
        received: Cumulative tokens that the author received from it, per
            resource.
    """

    incarnation: Incarnation
    given: Mapping[str, int]
    received: Mapping[str, int]

    def __post_init__(self) -> None:
        """Raises ValueError for a negative amount."""
        for amounts in (self.given, self.received):
            for name, amount in amounts.items():
                if amount < 0:
                    raise ValueError(
                        f"amount of {name!r} is negative: {amount}"
                    )


@dataclasses.dataclass(frozen=True, slots=True)
class Left:
    """Removes a member that stopped gracefully, without running work.

    Attributes:
        incarnation: The member.
        complete: Whether it knew every claim that may have run.
    """

    incarnation: Incarnation
    complete: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """Stores the state folded from all records before `next_offset`."""

    next_offset: int
    content: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """A claim of an idempotency key.

    Attributes:
        team: Team of the key.
        key_digest: SHA-256 of the idempotency key.
        request_digest: SHA-256 of the request, to detect reuse of the key for
            another.
        request: The request that claims the key.
        claimant: The entry that would run the request.
        outage: Whether all members recorded it during a log outage.
    """

    team: TeamId
    key_digest: bytes
    request_digest: bytes
    request: RequestId
    claimant: Incarnation
    outage: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimOutcome:
    """States whether the request of a claim ran."""

    team: TeamId
    key_digest: bytes
    request: RequestId
    execution: verdict.Execution


@dataclasses.dataclass(frozen=True, slots=True)
class Claims:
    """A batch of claims, and outcomes of earlier ones."""

    claims: tuple[Claim, ...]
    outcomes: tuple[ClaimOutcome, ...]


Payload = (
    BundleAccepted
    | Joined
    | Removed
    | Closed
    | Left
    | fleet_record.WorkerAssigned
    | fleet_record.MaintenanceStep
    | fleet_record.RollStep
    | fleet_record.PlannerLease
    | fleet_record.MaintenancePause
    | Snapshot
    | Suspected
    | Refuted
    | Claims
)

_KINDS: dict[int, type[Payload]] = {
    1: BundleAccepted,
    2: Joined,
    3: Removed,
    4: Closed,
    5: Left,
    10: Snapshot,
    11: Suspected,
    12: Refuted,
    13: fleet_record.WorkerAssigned,
    14: fleet_record.MaintenanceStep,
    15: fleet_record.RollStep,
    16: fleet_record.PlannerLease,
    17: fleet_record.MaintenancePause,
    20: Claims,
}
"""Kind numbers on the wire; a number must not be reused for another kind.

Numbers 6 to 9 were fleet records without pool versions and expiry.
"""
_NUMBERS = {kind: number for number, kind in _KINDS.items()}


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """One record of the log.

    Attributes:
        id: Random id, which all attempts to append the record share.
        author: Entry that wrote it.
        payload: Payload of one of the kinds.
        format: Encoding of the payload.
    """

    id: RecordId
    author: Incarnation
    payload: Payload
    format: Format = Format.PLAIN


def create_record(
    author: Incarnation, payload: Payload, *, format: Format = Format.PLAIN
) -> Record:
    """Returns a record with a new id."""
    return Record(identifiers.create_record_id(), author, payload, format)


def encode_record(record: Record, key: bytes) -> bytes:
    """Returns the bytes of `record`, authenticated with the cluster key."""
    payload = utils.serialize(MAP.encode(record.payload), CODEC)
    if record.format is Format.DEFLATED:
        payload = zlib.compress(payload)
    envelope = wire.Record(
        format=int(record.format),
        id=record.id,
        author=record.author,
        kind=_NUMBERS[type(record.payload)],
        payload=payload,
    )
    body = utils.serialize(envelope, CODEC)[:-1]
    mac = signature.compute_mac(key, body)
    return body + _MAC_HEADER + mac + b"\x00"


def decode_record(
    data: bytes, key: bytes
) -> result.Result[Record, fault.Fault]:
    """Decodes and authenticates a record; never raises.

    Args:
        data: Untrusted bytes from the log.
        key: Cluster key.

    Returns:
        The record, or the fault for which it is rejected.
    """
    trailer = data[-_MAC_TRAILER_BYTES:]
    if len(trailer) < _MAC_TRAILER_BYTES or not (
        trailer.startswith(_MAC_HEADER) and trailer.endswith(b"\x00")
    ):
        return _refuse(fault.Code.RECORD_FOREIGN, "record lacks a MAC field")
    # Data is authenticated before it is decoded, so that foreign bytes never
    # reach the codec.
    if not signature.check_mac(
        key, data[:-_MAC_TRAILER_BYTES], trailer[len(_MAC_HEADER) : -1]
    ):
        return _refuse(
            fault.Code.RECORD_MAC,
            "MAC does not match the cluster key",
        )
    try:
        envelope = utils.deserialize(wire.Record(), data, CODEC)
    except Exception as error:  # The codec documents no set of exceptions.
        return _refuse(fault.Code.RECORD_FOREIGN, f"undecodable: {error}")
    return _open_envelope(envelope)


def _open_envelope(envelope: Any) -> result.Result[Record, fault.Fault]:
    if not (
        isinstance(envelope.id, bytes)
        and len(envelope.id) == identifiers.RECORD_ID_BYTES
        and isinstance(envelope.author, str)
        and isinstance(envelope.payload, bytes)
    ):
        return _refuse(
            fault.Code.RECORD_FOREIGN,
            "envelope lacks a valid id, author or payload",
        )
    try:
        format_ = Format(envelope.format)
    except ValueError:
        return _refuse(
            fault.Code.RECORD_FORMAT, f"unknown format {envelope.format}"
        )
    kind = _KINDS.get(envelope.kind)
    if kind is None:
        return _refuse(fault.Code.RECORD_KIND, f"unknown kind {envelope.kind}")
    try:
        payload = envelope.payload
        if format_ is Format.DEFLATED:
            payload = _inflate(payload)
        struct = getattr(wire, kind.__name__)()
        value = MAP.decode(kind, utils.deserialize(struct, payload, CODEC))
    except Exception as error:  # The codec documents no set of exceptions.
        return _refuse(fault.Code.RECORD_PAYLOAD, f"undecodable: {error}")
    return result.Success(
        Record(
            RecordId(envelope.id), Incarnation(envelope.author), value, format_
        )
    )


def _inflate(data: bytes) -> bytes:
    inflater = zlib.decompressobj()
    raw = inflater.decompress(data, MAX_PAYLOAD_BYTES)
    if not inflater.eof:
        raise ValueError(
            "payload is truncated or decompresses to more than "
            f"{MAX_PAYLOAD_BYTES} bytes"
        )
    return raw


def _refuse(
    code: fault.Code, detail: str
) -> result.Result[Record, fault.Fault]:
    return result.Failure(fault.Fault(code=code, detail=detail))


if __name__ == "__main__":
    example = create_record(
        Incarnation("entry-1/0"), Removed(Incarnation("entry-2/0"))
    )
    raw = encode_record(example, b"k" * 32)
    print(len(raw), decode_record(raw, b"k" * 32))
    print(decode_record(raw[:-3], b"k" * 32))
