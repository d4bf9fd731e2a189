"""Relays log records to entries that cannot reach the log."""

import collections
from collections.abc import Iterable

from clementinewood import logclient, peerwire, record

MAX_RECORDS = 4096
"""Number of records kept for peers that can't reach the log."""

MAX_RELAYED_BYTES = 1 << 20


class RelayBuffer:
    """Keeps the newest records of one stream.

    Args:
        stream: Name of the stream.
        key: Cluster key, which authenticates relayed records as in the log.
    """

    def __init__(self, stream: str, key: bytes) -> None:
        self.stream = stream
        self.next_offset = 0
        self._key = key
        self._records: collections.deque[logclient.LoggedRecord] = (
            collections.deque(maxlen=MAX_RECORDS)
        )

    def add(self, entry: logclient.LoggedRecord) -> None:
        """Adds the next record of the stream."""
        self._records.append(entry)
        self.next_offset = entry.offset + 1

    def select(self, next_offset: int) -> peerwire.RelayRecords | None:
        """Returns the records from `next_offset` on, for a peer.

        Returns:
            None if there are no later records, or if the first of them is no
            longer kept.
        """
        if next_offset >= self.next_offset or not self._records:
            return None
        if self._records[0].offset > next_offset:
            return None
        records: list[peerwire.RelayedRecord] = []
        size = 0
        end = self.next_offset
        for entry in self._records:
            if entry.offset < next_offset:
                continue
            data = record.encode_record(entry.record, self._key)
            size += len(data)
            if records and size > MAX_RELAYED_BYTES:
                end = entry.offset
                break
            records.append(
                peerwire.RelayedRecord(entry.offset, entry.time, data)
            )
        return peerwire.RelayRecords(self.stream, end, tuple(records))


def decode_relayed(
    message: peerwire.RelayRecords, next_offset: int, key: bytes
) -> Iterable[logclient.LoggedRecord]:
    """Yields the relayed records from `next_offset` on.

    Stops at a record that can't be decoded: the entry then waits for the log,
    since skipping it could make its state differ from that of the others.
    """
    for item in message.records:
        if item.offset < next_offset:
            continue
        decoded = record.decode_record(item.data, key).value_or(None)
        if decoded is None:
            return
        yield logclient.LoggedRecord(item.offset, item.time, decoded)
