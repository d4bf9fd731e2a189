"""Pools of workers and the limits that follow from them."""

import itertools
from collections.abc import Mapping

from clementinewood import bundle, control_data, identifiers, ledger
from clementinewood.identifiers import PoolId, ResourceId, WorkerId

Assignment = control_data.Assignment


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
    """Returns the slots of a worker's minion, which is named as the worker."""
    return ledger.slot_resource(identifiers.MinionId(worker))


def list_team_limits(declared: bundle.Bundle) -> dict[ResourceId, int]:
    """Returns the limit of each team's resource."""
    return {
        ledger.team_resource(team): spec.limit
        for team, spec in declared.teams.items()
    }


def list_minion_limits(
    declared: bundle.Bundle, assignments: Mapping[WorkerId, Assignment]
) -> dict[ResourceId, int]:
    """Returns the limit of the slots of every minion.

    Each worker runs one minion of its pool's service. Connections are not
    kept exactly: each carries one request at a time, so the slots bound them.
    """
    slots = {
        pool: declared.services[spec.service].slots
        for pool, spec in declared.pools.items()
    }
    return {
        slot_resource(worker): slots[assignment.pool]
        for worker, assignment in assignments.items()
    }


def assign_all(
    before: bundle.Bundle | None,
    declared: bundle.Bundle,
    assignments: Mapping[WorkerId, Assignment],
    offset: int,
) -> dict[WorkerId, Assignment]:
    """Returns the assignments under a new bundle.

    A pool that operators change for a worker overrides the planner; one
    that they leave alone does not.

    Args:
        before: Bundle in force so far.
        declared: The new bundle.
        assignments: Assignments so far.
        offset: Offset of the record of the new bundle.
    """
    homes: dict[WorkerId, PoolId] = {}
    if before is not None:
        homes = {
            worker: pool
            for pool, spec in before.pools.items()
            for worker in spec.workers
        }
    assigned: dict[WorkerId, Assignment] = {}
    for pool, spec in declared.pools.items():
        new = Assignment(pool, offset + 1)
        for worker in spec.workers:
            present = assignments.get(worker)
            if (
                present is None
                or homes.get(worker) != pool
                or present.pool not in declared.pools
            ):
                present = new
            assigned[worker] = present
    return assigned
