"""Updates the router's targets from assignments, hosts and tokens."""

from collections.abc import Mapping

from clementinewood import (
    fleet_control,
    gateway,
    hostlist,
    identifiers,
    ledger,
    router,
    state,
)


class TargetTable:
    """Updates the minions and slots of each pool in router and scheduler.

    Args:
        folded: Folded state that holds the assignments.
        tokens: Ledger with this entry's slot tokens.
        fleet: Tells which hosts are in service.
        requests: Gateway whose scheduler gets the slots of each pool.
        routes: The router to update.
    """

    def __init__(
        self,
        folded: state.ControlState,
        tokens: ledger.Ledger,
        fleet: fleet_control.FleetControl,
        requests: gateway.Gateway,
        routes: router.Router,
    ) -> None:
        self._state = folded
        self._tokens = tokens
        self._fleet = fleet
        self._gateway = requests
        self._router = routes
        self._hosts: Mapping[identifiers.WorkerId, hostlist.Host] = {}
        self._built: tuple[int, int] | None = None
        self._waiting: set[identifiers.PoolId] = set()

    def set_hosts(
        self, hosts: Mapping[identifiers.WorkerId, hostlist.Host], now: float
    ) -> None:
        """Replaces the host list and updates the targets."""
        self._hosts = hosts
        self._built = None
        self.update(now)

    def update(self, now: float) -> None:
        """Updates the targets if the state or the held tokens have changed.

        Rebuilding them for 12,000 workers four times a second without a change
        took most of an idle entry's CPU time.
        """
        built = (self._state.next_offset, self._tokens.holdings_revision)
        if built == self._built:
            return
        self._built = built
        targets = []
        own: dict[identifiers.PoolId, int] = {}
        fleet: dict[identifiers.PoolId, int] = {}
        limits = self._tokens.escrow.limits
        for worker, assignment in self._state.assignments.items():
            host = self._hosts.get(worker)
            if host is None:
                continue
            minion = identifiers.MinionId(worker)
            slot = ledger.slot_resource(minion)
            held = max(0, self._tokens.held(slot))
            pool = assignment.pool
            leaving = host.leaving or not self._fleet.is_in_service(worker)
            if not leaving:
                own[pool] = own.get(pool, 0) + held
                fleet[pool] = fleet.get(pool, 0) + limits.get(slot, 0)
            targets.append(
                router.Target(
                    minion,
                    pool,
                    host.zone,
                    host.address,
                    slots=held,
                    leaving=leaving,
                )
            )
        self._router.update(targets, now)
        for pool, slots in fleet.items():
            self._gateway.scheduler.set_slots(pool, own=own[pool], fleet=slots)

    def count_waiting(self) -> dict[identifiers.PoolId, int]:
        """Returns the number of queued requests of each pool."""
        pools: dict[identifiers.PoolId, int] = {}
        for item in self._gateway.in_flight_requests.values():
            if item.phase is gateway.Phase.QUEUED:
                pools[item.pool] = pools.get(item.pool, 0) + 1
        return pools

    def set_demand(
        self,
        balancer: ledger.TokenBalancer,
        waiting: Mapping[identifiers.PoolId, int],
    ) -> None:
        """Sets how many requests wait for each slot in the balancer."""
        concerned = self._waiting | waiting.keys()
        self._waiting = set(waiting)
        if not concerned:
            return
        for worker, assignment in self._state.assignments.items():
            if assignment.pool in concerned:
                slot = ledger.slot_resource(identifiers.MinionId(worker))
                balancer.set_waiting(slot, waiting.get(assignment.pool, 0))
