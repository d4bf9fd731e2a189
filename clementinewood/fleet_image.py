"""Derives fleet declarations and encodes the fleet part of snapshots."""

import dataclasses
import itertools
from collections.abc import Iterable, Iterator, Mapping
from typing import Any

from clementinewood import (
    bundle,
    fleet_fold,
    fleet_record,
    identifiers,
    record,
    roll_state,
)

_SAME = -1.0
"""Encodes a time that equals that of the last maintenance."""


def derive_declaration(
    declared: bundle.Bundle,
    before: bundle.Bundle | None,
    old: fleet_record.FleetDeclaration,
) -> fleet_record.FleetDeclaration:
    """Returns what planning needs from a bundle.

    Args:
        declared: The bundle.
        before: The bundle that it replaces.
        old: Declaration derived from that one.
    """
    revisions = {}
    for pool, spec in declared.pools.items():
        past = old.pools.get(pool)
        revisions[pool] = 0 if past is None else past.revision
        # Sizes of a service only change limits of the entries; only another
        # service changes the software on a host.
        if (
            before is not None
            and pool in before.pools
            and before.pools[pool].service != spec.service
        ):
            revisions[pool] = declared.version
    return declare_fleet(declared, revisions)


def declare_fleet(
    declared: bundle.Bundle, revisions: Mapping[identifiers.PoolId, int]
) -> fleet_record.FleetDeclaration:
    """Returns what planning needs from a bundle with known revisions."""
    ordered = [
        zone for zone in declared.rollout.zones if zone in declared.zones
    ]
    ordered += sorted(declared.zones.keys() - set(ordered))
    return fleet_record.FleetDeclaration(
        {
            pool: fleet_record.PoolDeclaration(
                spec.workers,
                spec.spare,
                spec.max_unavailable,
                spec.max_unavailable_zone,
                revisions[pool],
            )
            for pool, spec in declared.pools.items()
        },
        tuple(ordered),
        frozenset(
            zone
            for zone, spec in declared.zones.items()
            if spec.state is bundle.ZoneState.OUT
        ),
    )


def encode_fleet(state: fleet_fold.FleetState) -> Any:
    """Returns the thrift struct; equal states give equal structs."""
    lease, pause, roll = state.lease, state.pause, state.roll
    return record.wire.FleetImage(
        hosts=_encode_hosts(state),
        bundle_version=state.bundle_version,
        revisions={
            pool: spec.revision
            for pool, spec in state.declaration.pools.items()
        },
        pool_versions=dict(sorted(state.pool_versions.items())),
        lease_holder=lease.holder or "",
        lease_until=lease.until,
        lease_version=lease.version,
        paused=pause.paused,
        pause_since=pause.since,
        pause_version=pause.version,
        roll_zones=list(roll.zones),
        zone_versions=dict(sorted(roll.zone_versions.items())),
        roll_zone=roll.zone or "",
        roll_since=roll.since,
        roll_halted=roll.halted,
        roll_version=roll.version,
        roll_done=sorted(roll.done),
        offset=state.offset,
        time=state.time,
    )


def decode_fleet(
    image: Any, declared: bundle.Bundle | None
) -> fleet_fold.FleetState:
    """Returns the state in a thrift struct; raises if it is malformed.

    Args:
        image: The thrift struct.
        declared: Bundle in force.
    """
    state = fleet_fold.FleetState()
    if declared is not None:
        state.declaration = declare_fleet(declared, image.revisions)
    state.bundle_version = image.bundle_version
    state.pool_versions = dict(image.pool_versions)
    state.lease = fleet_fold.LeaseState(
        image.lease_holder or None, image.lease_until, image.lease_version
    )
    state.pause = fleet_fold.PauseState(
        image.paused, image.pause_since, image.pause_version
    )
    state.roll = roll_state.RollState(
        tuple(image.roll_zones),
        dict(image.zone_versions),
        image.roll_zone or None,
        image.roll_since,
        image.roll_halted,
        image.roll_version,
        frozenset(image.roll_done),
    )
    state.offset, state.time = image.offset, image.time
    for worker, host in _decode_hosts(image.hosts, state):
        if host.pool not in state.declaration.pools:
            raise ValueError(f"{worker} does not belong to a declared pool")
        state.hosts[worker] = host
    state.index_hosts()
    return state


def _list_declared(
    state: fleet_fold.FleetState,
) -> list[identifiers.WorkerId]:
    return list(
        itertools.chain.from_iterable(
            spec.workers for spec in state.declaration.pools.values()
        )
    )


def _encode_hosts(state: fleet_fold.FleetState) -> Any:
    wire = record.wire
    declared = _list_declared(state)
    others = sorted(state.hosts.keys() - set(declared))
    workers = [item for item in declared if item in state.hosts] + others
    hosts = [state.hosts[worker] for worker in workers]
    return wire.HostsImage(
        others=others,
        missing=[
            place
            for place, worker in enumerate(declared)
            if worker not in state.hosts
        ],
        pool=_encode_column(wire.TextColumn, (h.pool for h in hosts)),
        version=_encode_column(wire.IntColumn, (h.version for h in hosts)),
        step=_encode_column(wire.TextColumn, (h.step.value for h in hosts)),
        purpose=_encode_column(
            wire.TextColumn, (h.purpose.value for h in hosts)
        ),
        target=_encode_column(wire.TextColumn, (h.target or "" for h in hosts)),
        boot=_encode_column(wire.TextColumn, (h.boot for h in hosts)),
        revision=_encode_column(wire.IntColumn, (h.revision for h in hosts)),
        maintained=_encode_column(
            wire.TimeColumn, (h.maintained for h in hosts)
        ),
        since=_encode_column(
            wire.TimeColumn,
            (_SAME if h.since == h.maintained else h.since for h in hosts),
        ),
        assigned=_encode_column(
            wire.TimeColumn,
            (
                _SAME if h.assigned == h.maintained else h.assigned
                for h in hosts
            ),
        ),
    )


def _encode_column(kind: Any, values: Iterable[Any]) -> Any:
    runs = [
        (value, len(list(same))) for value, same in itertools.groupby(values)
    ]
    return kind(
        values=[value for value, _ in runs], counts=[count for _, count in runs]
    )


def _decode_hosts(
    image: Any, state: fleet_fold.FleetState
) -> Iterator[tuple[identifiers.WorkerId, fleet_fold.HostState]]:
    missing = set(image.missing)
    workers = [
        worker
        for place, worker in enumerate(_list_declared(state))
        if place not in missing
    ] + list(image.others)
    columns = [
        _decode_column(column, len(workers))
        for column in (
            image.pool,
            image.version,
            image.step,
            image.purpose,
            image.target,
            image.boot,
            image.revision,
            image.maintained,
            image.since,
            image.assigned,
        )
    ]
    for worker, row in zip(workers, zip(*columns, strict=True), strict=True):
        pool, version, step, purpose, target, boot, revision, *times = row
        maintained, since, assigned = times
        yield (
            worker,
            fleet_fold.HostState(
                pool,
                version,
                fleet_record.Step(step),
                fleet_record.Purpose(purpose),
                target or None,
                maintained if since == _SAME else since,
                boot,
                maintained,
                revision,
                maintained if assigned == _SAME else assigned,
            ),
        )


def _decode_column(column: Any, count: int) -> list[Any]:
    if sum(column.counts) != count or min(column.counts, default=1) < 1:
        raise ValueError(
            f"column does not have one value for each of {count} hosts"
        )
    return [
        value
        for value, times in zip(column.values, column.counts, strict=True)
        for _ in range(times)
    ]


if __name__ == "__main__":
    EMPTY = fleet_fold.FleetState()
    print(dataclasses.asdict(EMPTY.lease), encode_fleet(EMPTY).offset)
