"""Defines the identifier types used across the package."""

import secrets
import time
from typing import NewType

TeamId = NewType("TeamId", str)
CustomerId = NewType("CustomerId", str)
PoolId = NewType("PoolId", str)
ServiceId = NewType("ServiceId", str)
QueueId = NewType("QueueId", str)
WorkerId = NewType("WorkerId", str)
MinionId = NewType("MinionId", str)
ZoneId = NewType("ZoneId", str)
RackId = NewType("RackId", str)
KeyId = NewType("KeyId", str)
EntryId = NewType("EntryId", str)
"""Configured name of an entry host; survives a restart."""

Incarnation = NewType("Incarnation", str)
"""One run of an entry process: entry id, slash, start time in milliseconds,
hyphen, random part."""

ResourceId = NewType("ResourceId", str)
"""A limited resource: `team:T` or `slot:M`."""

JobId = NewType("JobId", str)
"""Job id chosen by the submitter: 16 hexadecimal digits."""

MachineId = NewType("MachineId", str)
"""Id of a machine; each of its incarnations has its own minion."""

Term = NewType("Term", int)
"""Number of a leader's term; also its fencing token."""

RequestId = NewType("RequestId", str)
RecordId = NewType("RecordId", bytes)

RECORD_ID_BYTES = 16


def create_incarnation(entry: EntryId) -> Incarnation:
    """Returns an incarnation that no earlier run of `entry` has used."""
    started = time.time_ns() // 1_000_000
    return Incarnation(f"{entry}/{started:013d}-{secrets.token_hex(4)}")


def get_entry(incarnation: Incarnation) -> EntryId:
    """Returns the entry that an incarnation is a run of."""
    return EntryId(incarnation.rpartition("/")[0])


def is_successor(later: Incarnation, earlier: Incarnation) -> bool:
    """Returns whether `later` is a later run of the same entry.

    Compares the start times in the names. A replacement host starts well after
    the host that it replaces, so clock differences do not matter.
    """
    entry, _, run = later.rpartition("/")
    same, _, other = earlier.rpartition("/")
    return entry == same and run[:13] > other[:13]


def create_request_id() -> RequestId:
    """Returns a random 128-bit request id in hexadecimal."""
    return RequestId(secrets.token_hex(16))


def create_record_id() -> RecordId:
    """Returns a random id that identifies one log record across retries."""
    return RecordId(secrets.token_bytes(RECORD_ID_BYTES))


if __name__ == "__main__":
    print(create_incarnation(EntryId("entry-1")), create_request_id())
