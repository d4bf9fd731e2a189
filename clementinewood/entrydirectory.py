"""Lists the entries of the site and the addresses of their listeners.

Each entry publishes one record and follows those of the others. What is known
stays known while the store can't be read: it is needed then.
"""

import dataclasses
import json
import random
from collections.abc import Callable, Mapping, Sequence

from returns import result

from clementinewood import (
    decoding,
    event,
    feed,
    identifiers,
    jobtable,
    ports,
    timer,
)

LONG_POLL_SECONDS = 25.0
"""How long a read waits for a record; the platform allows 30 s, and each call
is paid for."""

MIN_READ_INTERVAL_SECONDS = 5.0
"""Least time between two reads, so that entries that start together are read
in few calls."""

MAX_READ_RETRY_SECONDS = 5.0
"""Longest pause after a failed read: what is known stays valid, and a store
that refuses calls should not get more of them."""

PUBLISH_JITTER_SECONDS = 2.0
"""Longest delay of a record, so that entries that start together don't exceed
the store's call limits."""

PUBLISH_RETRY_SECONDS = 1.0
"""Longest delay after the first append that failed; doubles up to
`MAX_PUBLISH_RETRY_SECONDS`."""

MAX_PUBLISH_RETRY_SECONDS = 16.0
"""Longest delay after repeated failures."""

MAX_PUBLISH_DOUBLINGS = 4
"""Doublings of the delay after which it has reached its longest."""

_SYSTEM_RANDOM = random.SystemRandom()


@dataclasses.dataclass(frozen=True, slots=True)
class EntryAddress:
    """Where an entry takes forwarded requests.

    Attributes:
        entry_id: Its name.
        zone: Its availability zone.
        address: IP address and port.
    """

    entry_id: identifiers.EntryId
    zone: identifiers.ZoneId
    address: tuple[str, int]


def encode_address(entry: EntryAddress) -> bytes:
    """Returns the stored form of `entry`, whose name is the record's key."""
    host, port = entry.address
    return json.dumps(
        {"address": f"{host}:{port}", "zone": entry.zone}
    ).encode()


def decode_address(name: str, value: bytes) -> result.Result[EntryAddress, str]:
    """Decodes a record, or returns why it is malformed."""
    try:
        fields = json.loads(value)
        host, _, port = str(fields["address"]).rpartition(":")
        if not host or not 0 < int(port) < 65536:
            return result.Failure("entry record has no address")
        return result.Success(
            EntryAddress(
                identifiers.EntryId(name),
                identifiers.ZoneId(str(fields["zone"])),
                (host, int(port)),
            )
        )
    except decoding.ERRORS as error:
        return result.Failure(f"entry record is malformed: {error!r}")


class EntryDirectory:
    """Follows the entries of the site and publishes this one.

    Args:
        own: Record of this entry.
        store: The platform's store.
        timers: Timer service.
        random_fraction: Source of random numbers from 0 to 1.

    Attributes:
        own: As in `Args`.
    """

    def __init__(
        self,
        own: EntryAddress,
        *,
        store: ports.Store,
        timers: timer.TimerService,
        random_fraction: Callable[[], float] = _SYSTEM_RANDOM.random,
    ) -> None:
        self.own = own
        self._store = store
        self._timers = timers
        self._random_fraction = random_fraction
        self._entries: dict[identifiers.EntryId, EntryAddress] = {}
        self._own_stored: EntryAddress | None = None
        self._withdrawn = False
        self._append_pending = False
        self._failures = 0
        self._feed = feed.Feed(
            store,
            ports.Stream.ENTRIES,
            timers,
            on_snapshot=self._replace,
            on_records=self._fold,
            min_read_interval=MIN_READ_INTERVAL_SECONDS,
            long_poll_seconds=LONG_POLL_SECONDS,
            max_retry_seconds=MAX_READ_RETRY_SECONDS,
        )

    @property
    def peers(self) -> Mapping[identifiers.EntryId, EntryAddress]:
        """The other entries, by name."""
        return self._entries

    def start(self) -> None:
        """Starts following the entries and publishes this one."""
        self._feed.start()

    def withdraw(self) -> None:
        """Removes this entry's record, since it stops."""
        self._withdrawn = True
        self._failures = 0
        self._append_pending = True
        self._append()

    def _replace(self, records: Sequence[jobtable.StoredRecord]) -> None:
        self._entries = {}
        self._own_stored = None
        self._fold(records)

    def _fold(self, records: Sequence[jobtable.StoredRecord]) -> None:
        for record in records:
            entry_id = identifiers.EntryId(record.key)
            entry = self._decode(record)
            if entry_id == self.own.entry_id:
                self._own_stored = entry
            elif entry is not None:
                self._entries[entry_id] = entry
            elif not record.value:
                self._entries.pop(entry_id, None)
        # The record may lack because it was never stored, or because the
        # removal by an earlier process of this host was carried out late.
        if self._own_stored != self.own and not self._withdrawn:
            self._schedule(PUBLISH_JITTER_SECONDS)

    def _decode(self, record: jobtable.StoredRecord) -> EntryAddress | None:
        if not record.value:
            return None
        match decode_address(record.key, record.value):
            case result.Success(entry):
                return entry
            case result.Failure(reason):
                event.emit(
                    event.Event.RECORD_REFUSED,
                    key=record.key,
                    offset=record.offset,
                    reason=reason,
                )
        return None

    def _schedule(self, max_delay: float) -> None:
        if self._append_pending:
            return
        self._append_pending = True
        self._timers.subscribe_once(
            self._random_fraction() * max_delay, self._append
        )

    def _append(self) -> None:
        withdrawn = self._withdrawn
        if not withdrawn and self._own_stored == self.own:
            # An append without a response was carried out.
            self._append_pending = False
            return
        value = b"" if withdrawn else encode_address(self.own)
        self._store.append(
            ports.Stream.ENTRIES,
            [ports.KeyedRecord(self.own.entry_id, value)],
            lambda outcome: self._on_append(outcome, withdrawn=withdrawn),
        )

    def _on_append(
        self, outcome: ports.AppendResult, *, withdrawn: bool
    ) -> None:
        if withdrawn is not self._withdrawn:
            return
        self._append_pending = False
        match outcome:
            case ports.Appended():
                self._failures = 0
                self._own_stored = None if withdrawn else self.own
            case _:
                self._failures += 1
                self._schedule(
                    min(
                        PUBLISH_RETRY_SECONDS
                        * 2.0 ** min(self._failures - 1, MAX_PUBLISH_DOUBLINGS),
                        MAX_PUBLISH_RETRY_SECONDS,
                    )
                )


if __name__ == "__main__":
    print(
        encode_address(
            EntryAddress(
                identifiers.EntryId("entry-1"),
                identifiers.ZoneId("hobart"),
                ("10.1.0.23", 7001),
            )
        )
    )
