"""Encodes and decodes snapshots of the folded control state."""

import dataclasses
import hashlib
import itertools
import zlib
from collections.abc import Iterator, Mapping
from typing import Any

from thriftpy2 import utils

from clementinewood import (
    assignment,
    bundle,
    control_data,
    fleet_image,
    membership,
    record,
    signature,
)
from clementinewood.identifiers import Incarnation, ResourceId


def encode(content: control_data.Content) -> bytes:
    """Returns the bytes of a snapshot; equal contents give equal bytes."""
    raw = utils.serialize(_create_image(content), record.CODEC)
    packed = zlib.compress(raw)
    return hashlib.sha256(packed).digest() + packed


def decode(data: bytes, parser: bundle.BundleParser) -> control_data.Content:
    """Returns the content of a snapshot.

    Raises:
        Exception: The data is truncated or malformed. The codec does not
            document which exceptions it raises.
    """
    raw = _check_snapshot(data)
    image = utils.deserialize(record.wire.StateImage(), raw, record.CODEC)
    return _read_image(image, parser)


def _create_image(content: control_data.Content) -> Any:
    wire = record.wire
    roster = content.roster.dump()
    mints = roster["mints"]
    return wire.StateImage(
        next_offset=content.next_offset,
        bundle_offset=content.bundle_offset,
        bundle_text=content.bundle_text,
        history=[
            wire.AcceptedImage(**dataclasses.asdict(item))
            for item in content.history
        ],
        members=[
            wire.MemberImage(
                incarnation=incarnation,
                entry=member.entry,
                host=member.address[0],
                port=member.address[1],
                zone=member.zone,
                joined_offset=member.joined_offset,
                newest_format=member.newest_format,
            )
            for incarnation, member in content.members.items()
        ],
        fleet=fleet_image.encode_fleet(content.fleet),
        mints=_group_mints(content.bundle, mints),
        closings=[
            wire.ClosingImage(
                incarnation=incarnation,
                joined_offset=joined,
                waiting=closers,
                wait=wait,
            )
            for incarnation, joined, closers, wait in mints["removals"]
        ],
        ended=list(content.ended),
        suspicions=dict(sorted(roster["suspicions"].items())),
        lowered=_group_lowered(content.bundle, mints["lowered"]),
        changed=roster["changed"],
        departed=roster["departed"],
        crashed=roster["crashed"],
        seen=list(content.seen),
        snapshot_offset=content.snapshot_offset,
        snapshot_time=content.snapshot_time,
        time=content.time,
    )


def _group_mints(
    declared: bundle.Bundle | None, mints: Mapping[str, Any]
) -> list[Any]:
    """Returns limits and accounts, grouping resources with equal ones.

    Resources whose limit and tokens are all 0 are omitted, since the fold
    treats unknown resources the same.
    """
    limits, unowned = mints["limits"], mints["unowned"]
    accounts: list[tuple[Incarnation, dict[ResourceId, int]]] = sorted(
        mints["accounts"].items()
    )
    names = list(
        dict.fromkeys(
            itertools.chain(limits, unowned, *(item[1] for item in accounts))
        )
    )
    columns = [
        [amounts.get(name, 0) for name in names]
        for amounts in (limits, unowned, *(item[1] for item in accounts))
    ]
    groups: dict[tuple[int, ...], list[ResourceId]] = {}
    for name, row in zip(names, zip(*columns, strict=True), strict=True):
        groups.setdefault(row, []).append(name)
    indexes = _index_resources(declared)
    return [
        record.wire.MintGroup(
            **_encode_resources(resources, indexes),
            limit=limit,
            unminted=unminted,
            minted={
                holder: amount
                for (holder, _), amount in zip(accounts, amounts, strict=True)
                if amount
            },
        )
        for (limit, unminted, *amounts), resources in sorted(groups.items())
        if limit or unminted or any(amounts)
    ]


def _group_lowered(
    declared: bundle.Bundle | None, lowered: Mapping[ResourceId, int]
) -> list[Any]:
    groups: dict[int, list[ResourceId]] = {}
    for resource, offset in lowered.items():
        groups.setdefault(offset, []).append(resource)
    indexes = _index_resources(declared) if groups else {}
    return [
        record.wire.LoweredGroup(
            **_encode_resources(resources, indexes), offset=offset
        )
        for offset, resources in sorted(groups.items())
    ]


def _encode_resources(
    resources: list[ResourceId], indexes: Mapping[ResourceId, int]
) -> dict[str, Any]:
    """Returns declared resources as index runs, and others by name."""
    numbers = [indexes[item] for item in resources if item in indexes]
    others = [item for item in resources if item not in indexes]
    return {"runs": _join_runs(sorted(numbers)), "others": sorted(others)}


def _index_resources(declared: bundle.Bundle | None) -> dict[ResourceId, int]:
    return {
        resource: index
        for index, resource in enumerate(assignment.list_resources(declared))
    }


def _join_runs(numbers: list[int]) -> list[int]:
    """Returns ascending numbers as alternating first numbers and counts."""
    runs: list[int] = []
    for number in numbers:
        if runs and number == runs[-2] + runs[-1]:
            runs[-1] += 1
        else:
            runs += [number, 1]
    return runs


def _expand_runs(runs: list[int], names: list[Any]) -> Iterator[Any]:
    """Yields the names at the indexes in `runs`.

    Raises:
        ValueError: A run is empty or exceeds `names`.
    """
    for first, count in zip(runs[::2], runs[1::2], strict=True):
        if not 0 <= first < first + count <= len(names):
            raise ValueError(
                f"run of {count} from index {first} exceeds declared resources"
            )
        yield from names[first : first + count]


def _check_snapshot(data: bytes) -> bytes:
    """Returns the decompressed content after checking its digest.

    thriftpy2 reads past the end of its input if a list is longer than that, so
    only verified content may reach it.

    Raises:
        ValueError: The data is truncated, malformed or too large.
    """
    size = hashlib.sha256().digest_size
    packed = data[size:]
    # The same content has several compressed forms, so the digest covers the
    # compressed form.
    if hashlib.sha256(packed).digest() != data[:size]:
        raise ValueError("snapshot does not match its SHA-256 digest")
    inflater = zlib.decompressobj()
    try:
        raw = inflater.decompress(packed, record.MAX_PAYLOAD_BYTES)
    except zlib.error as error:
        raise ValueError(str(error)) from None
    if not inflater.eof:
        raise ValueError(
            "snapshot is truncated or decompresses to more than "
            f"{record.MAX_PAYLOAD_BYTES} bytes"
        )
    return raw


def _read_image(
    image: Any, parser: bundle.BundleParser
) -> control_data.Content:
    """Returns the content of a snapshot; raises if it is malformed."""
    content = control_data.Content(
        next_offset=int(image.next_offset),
        time=float(image.time),
        bundle_text=image.bundle_text,
        bundle_offset=int(image.bundle_offset),
        ended=dict.fromkeys(image.ended),
        seen=dict.fromkeys(image.seen),
        snapshot_offset=int(image.snapshot_offset),
        snapshot_time=float(image.snapshot_time),
    )
    if image.bundle_text:
        signed = signature.split_signed(image.bundle_text).unwrap()
        content.bundle = parser.parse(signed.text).unwrap()
    content.history = [
        record.MAP.decode(control_data.Accepted, item) for item in image.history
    ]
    for item in image.members:
        content.members[item.incarnation] = control_data.Member(
            item.entry,
            (item.host, item.port),
            item.zone,
            item.joined_offset,
            item.newest_format,
        )
    content.fleet = fleet_image.decode_fleet(image.fleet, content.bundle)
    content.roster = _read_roster(image, content.bundle)
    return content


def _read_roster(
    image: Any, declared: bundle.Bundle | None
) -> membership.Roster:
    names = assignment.list_resources(declared)
    limits: dict[ResourceId, int] = {}
    unowned: dict[ResourceId, int] = {}
    accounts: dict[Incarnation, dict[ResourceId, int]] = {
        item.incarnation: {} for item in [*image.members, *image.closings]
    }
    for group in image.mints:
        resources = [*_expand_runs(group.runs, names), *group.others]
        limits.update(dict.fromkeys(resources, group.limit))
        if group.unminted:
            unowned.update(dict.fromkeys(resources, group.unminted))
        for holder, amount in group.minted.items():
            accounts[holder].update(dict.fromkeys(resources, amount))
    return membership.Roster.load(
        {
            "mints": {
                "limits": limits,
                "accounts": accounts,
                "unowned": unowned,
                "members": [
                    (item.incarnation, item.joined_offset)
                    for item in image.members
                ],
                "lowered": {
                    resource: group.offset
                    for group in image.lowered
                    for resource in [
                        *_expand_runs(group.runs, names),
                        *group.others,
                    ]
                },
                "removals": [
                    (
                        item.incarnation,
                        item.joined_offset,
                        item.waiting,
                        item.wait,
                    )
                    for item in image.closings
                ],
            },
            "suspicions": image.suspicions,
            "changed": int(image.changed),
            "departed": int(image.departed),
            "crashed": bool(image.crashed),
        }
    )
