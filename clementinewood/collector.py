"""Chooses the entries that store the submissions of all entries.

Load pattern: the store serializes the appends of a partition, and on a site of
many entries nearly every submission would be an append of its own. When the
store becomes fifty times slower, a hundred entries queue more appends than it
takes while callers wait; it refuses some, and the others are answered too late.
A few collectors batch the same submissions into few appends.
"""

import zlib
from collections.abc import Iterable

from clementinewood import identifiers

MIN_ENTRIES = 12
"""Entries from which submissions are collected. Fewer entries keep few enough
appends in flight by themselves."""

COLLECTORS = 4
"""Collectors of a site. Each has one append in flight at a slow store, where an
append takes a quarter of a second, and callers wait for about three."""


def choose_collectors(
    entries: Iterable[identifiers.EntryId],
) -> frozenset[identifiers.EntryId]:
    """Returns the entries that store submissions; empty for a small site.

    All entries choose the same ones as far as they know the same entries.

    Args:
        entries: All entries of the site.
    """
    known = set(entries)
    if len(known) < MIN_ENTRIES:
        return frozenset()
    ranked = sorted(
        known, key=lambda entry_id: (zlib.crc32(entry_id.encode()), entry_id)
    )
    return frozenset(ranked[:COLLECTORS])


if __name__ == "__main__":
    names = [identifiers.EntryId(f"entry-{number}") for number in range(30)]
    print(sorted(choose_collectors(names)))
