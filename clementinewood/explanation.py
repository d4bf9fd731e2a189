"""Explains the state of teams and workers to operators."""

from typing import Any

from clementinewood import (
    bundle,
    hostlist,
    identifiers,
    scheduler,
)


def explain_team(
    team: identifiers.TeamId,
    usage: scheduler.Usage,
    spec: bundle.TeamSpec | None,
    *,
    held: int,
) -> dict[str, Any]:
    """Returns a team's usage at one entry, and what its requests wait for.

    Args:
        team: The team.
        usage: The team's usage at this entry.
        spec: The team's declaration; None if the bundle no longer has it.
        held: Escrow tokens of the team's upper limit that this entry holds.
    """
    if spec is None:
        why = "the bundle in force does not declare it; its work runs out"
    elif not usage.queued:
        why = "nothing waits here"
    elif usage.running >= held:
        why = "waits: this entry's part of its upper limit is in use"
    else:
        why = "waits for slots in the pools of its queues, by share"
    return {
        "team": team,
        "why": why,
        "queued": usage.queued,
        "running": usage.running,
        "held": held,
        "limit": None if spec is None else spec.limit,
        "share": None if spec is None else spec.share,
        "slot_seconds": round(usage.slot_seconds, 3),
    }


def explain_worker(
    worker: identifiers.WorkerId,
    pool: identifiers.PoolId,
    host: hostlist.Host | None,
    declared: bundle.Bundle,
    *,
    ejected: bool,
) -> dict[str, Any]:
    """Returns whether a worker gets new work from one entry, and why.

    Args:
        worker: The worker.
        pool: Pool that the worker belongs to.
        host: The worker in the host list; None if it is not listed.
        declared: The bundle in force.
        ejected: Whether this entry has ejected the worker after failures.
    """
    zone = None if host is None else declared.zones.get(host.zone)
    out = zone is not None and zone.state is bundle.ZoneState.OUT
    if host is None:
        why = "gets no work: the host list does not show it"
    elif host.leaving:
        why = "gets no new work: the host list shows it as leaving"
    elif out:
        why = f"gets no new work: zone {host.zone} is out"
    elif ejected:
        why = "gets no new work: ejected by this entry after failures"
    else:
        why = f"serves pool {pool}"
    return {
        "worker": worker,
        "why": why,
        "pool": pool,
        "zone": None if host is None else host.zone,
        "rack": None if host is None else host.rack,
        "listed": host is not None,
        "leaving": host is not None and host.leaving,
        "zone_out": out,
        "ejected": ejected,
    }
