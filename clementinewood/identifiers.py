"""Identifier types used across the package."""

import secrets
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
"""One run of an entry process: entry id, a slash, and a random part."""

ResourceId = NewType("ResourceId", str)
"""A limited resource: `team:T` or `slot:M`."""

RequestId = NewType("RequestId", str)
RecordId = NewType("RecordId", bytes)

RECORD_ID_BYTES = 16


def create_incarnation(entry: EntryId) -> Incarnation:
    """Returns an incarnation that no earlier run of `entry` has used."""
    return Incarnation(f"{entry}/{secrets.token_hex(6)}")


def create_request_id() -> RequestId:
    """Returns a random 128-bit request id in hexadecimal."""
    return RequestId(secrets.token_hex(16))


def create_record_id() -> RecordId:
    """Returns a random id that identifies one log record over retries."""
    return RecordId(secrets.token_bytes(RECORD_ID_BYTES))


if __name__ == "__main__":
    print(create_incarnation(EntryId("entry-1")), create_request_id())
