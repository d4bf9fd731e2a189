"""Derives the resources and their limits from a bundle."""

import itertools
from collections.abc import Mapping

from clementinewood import bundle, fleet_fold, identifiers, ledger
from clementinewood.identifiers import ResourceId, WorkerId


def list_workers(declared: bundle.Bundle | None) -> list[WorkerId]:
    """Returns all workers in the order in which the bundle declares them."""
    if declared is None:
        return []
    return list(
        itertools.chain.from_iterable(
            spec.workers for spec in declared.pools.values()
        )
    )


def list_resources(declared: bundle.Bundle | None) -> list[ResourceId]:
    """Returns the resources of all teams and minions, in declared order."""
    if declared is None:
        return []
    return [
        *(ledger.team_resource(team) for team in declared.teams),
        *(slot_resource(worker) for worker in list_workers(declared)),
    ]


def slot_resource(worker: WorkerId) -> ResourceId:
    """Returns the slot resource of a worker's minion of the same name."""
    return ledger.slot_resource(identifiers.MinionId(worker))


def list_team_limits(declared: bundle.Bundle) -> dict[ResourceId, int]:
    """Returns the limit of each team's resource."""
    return {
        ledger.team_resource(team): spec.limit
        for team, spec in declared.teams.items()
    }


def list_minion_limits(
    declared: bundle.Bundle,
    assignments: Mapping[WorkerId, fleet_fold.HostState],
) -> dict[ResourceId, int]:
    """Returns the slot limit of every minion.

    Each worker runs one minion of its pool's service. Connections need no limit
    of their own: each carries one request at a time, so slots limit them.
    """
    slots = {
        pool: declared.services[spec.service].slots
        for pool, spec in declared.pools.items()
    }
    return {
        slot_resource(worker): slots[assignment.pool]
        for worker, assignment in assignments.items()
    }
