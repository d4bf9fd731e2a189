"""Folds the fleet records into the state on which planning is based."""

import dataclasses
import enum
from collections.abc import Callable

from clementinewood import fleet_record, identifiers, roll_state

Step = fleet_record.Step
Purpose = fleet_record.Purpose

TRANSITIONS: dict[Step, frozenset[Step]] = {
    Step.IN_SERVICE: frozenset({Step.CORDONED, Step.LOST, Step.BROKEN}),
    Step.CORDONED: frozenset(
        {Step.IN_SERVICE, Step.CHECKPOINTING, Step.REBOOTING, Step.LOST}
    ),
    Step.CHECKPOINTING: frozenset({Step.IN_SERVICE, Step.REBOOTING, Step.LOST}),
    Step.REBOOTING: frozenset({Step.CHECKING, Step.LOST}),
    Step.CHECKING: frozenset({Step.IN_SERVICE, Step.BROKEN, Step.LOST}),
    Step.ARRIVING: frozenset({Step.IN_SERVICE, Step.LOST}),
    Step.BROKEN: frozenset({Step.CHECKING, Step.LOST}),
    Step.LOST: frozenset({Step.CHECKING}),
}
"""Steps that may follow each step."""

PLANNED = frozenset(
    {Step.CORDONED, Step.CHECKPOINTING, Step.REBOOTING, Step.CHECKING}
)
"""Steps of planned work on a host.

A host that is checked after an unplanned loss has purpose NONE and counts as
unplanned.
"""

DRAINING = frozenset({Step.CORDONED, Step.CHECKPOINTING})
"""Steps from which a host can return to service without a loss of work."""


class Outcome(enum.Enum):
    """Result of folding a record."""

    APPLIED = "applied"
    STALE = "stale"
    EXPIRED = "expired"
    REFUSED = "refused"


@dataclasses.dataclass(frozen=True, slots=True)
class HostState:
    """Folded state of one host.

    Attributes:
        pool: The only pool it belongs to.
        version: Incremented with every accepted assignment or step.
        step: Its current step.
        purpose: Why it is out of service.
        target: Pool that its move goes to.
        since: Log time of the last accepted record, in seconds.
        boot: Boot id before the reboot in progress.
        maintained: Log time at which its last reboot and check completed.
        revision: Bundle version whose content the host was rolled to.
        assigned: Log time of its last assignment.
    """

    pool: identifiers.PoolId
    version: int
    step: Step = Step.IN_SERVICE
    purpose: Purpose = Purpose.NONE
    target: identifiers.PoolId | None = None
    since: float = 0.0
    boot: str = ""
    maintained: float = 0.0
    revision: int = 0
    assigned: float = 0.0

    @property
    def is_planned(self) -> bool:
        """Whether the host is out of service for planned work."""
        return self.step in PLANNED and self.purpose is not Purpose.NONE


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseState:
    """Folded planner lease."""

    holder: identifiers.Incarnation | None = None
    until: float = 0.0
    version: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PauseState:
    """Folded pause of maintenance and rolls."""

    paused: bool = False
    since: float = 0.0
    version: int = 0


class FleetState:
    """State of hosts, rolls, pause and lease at an offset of the log."""

    def __init__(self) -> None:
        self.declaration = fleet_record.FleetDeclaration({}, ())
        self.bundle_version = 0
        self.accepted_versions: dict[int, fleet_record.BundleAccepted] = {}
        self.hosts: dict[identifiers.WorkerId, HostState] = {}
        self.home: dict[identifiers.WorkerId, identifiers.PoolId] = {}
        self.pool_versions: dict[identifiers.PoolId, int] = {}
        self.planned: dict[identifiers.PoolId, int] = {}
        self.lease = LeaseState()
        self.pause = PauseState()
        self.roll = roll_state.RollState()
        self.offset = -1
        self.time = 0.0
        self._listeners: list[
            Callable[[identifiers.WorkerId | None], None]
        ] = []

    def subscribe(
        self, listener: Callable[[identifiers.WorkerId | None], None]
    ) -> None:
        """Calls `listener` with each changed host, or with None for all."""
        self._listeners.append(listener)

    def apply(
        self, payload: fleet_record.Payload, offset: int, time: float
    ) -> Outcome:
        """Folds one record.

        Args:
            payload: The record.
            offset: Its offset in the log.
            time: Its log time in seconds.

        Returns:
            Whether the record changed the state, and if not, why.
        """
        self.offset = offset
        self.time = max(self.time, time)
        match payload:
            case fleet_record.WorkerAssigned():
                return self._apply_assigned(payload, time)
            case fleet_record.MaintenanceStep():
                return self._apply_step(payload, time)
            case fleet_record.RollStep():
                return self._apply_roll(payload, time)
            case fleet_record.PlannerLease():
                return self._apply_lease(payload, time)
            case fleet_record.MaintenancePause():
                return self._apply_pause(payload, time)
            case fleet_record.BundleAccepted():
                return self._apply_bundle(payload, time)

    def is_guarded(self, worker: identifiers.WorkerId) -> bool:
        """Returns whether the host counts against its pool's budget."""
        return worker in self.home

    def _is_current(self, host: HostState, expected: int) -> bool:
        return host.version == expected

    def _is_current_pool(self, pool: identifiers.PoolId, expected: int) -> bool:
        return self.pool_versions.get(pool, 0) == expected

    def _is_expired(self, valid_until: float, time: float) -> bool:
        return time > valid_until

    def _is_next_bundle(self, payload: fleet_record.BundleAccepted) -> bool:
        return payload.expected == self.bundle_version

    def _may_assign(self, host: HostState, pool: identifiers.PoolId) -> bool:
        drained = (
            host.step in DRAINING
            and host.purpose is Purpose.MOVE
            and host.target == pool
        )
        return pool != host.pool and (drained or host.step is Step.IN_SERVICE)

    def _notify(self, worker: identifiers.WorkerId | None) -> None:
        for listener in self._listeners:
            listener(worker)

    def _store(self, worker: identifiers.WorkerId, host: HostState) -> None:
        old = self.hosts.get(worker)
        if worker in self.home:
            if old is not None and old.is_planned:
                self.planned[old.pool] -= 1
            if host.is_planned:
                self.planned[host.pool] = self.planned.get(host.pool, 0) + 1
        self.hosts[worker] = host
        self._notify(worker)

    def _apply_assigned(
        self, payload: fleet_record.WorkerAssigned, time: float
    ) -> Outcome:
        host = self.hosts.get(payload.worker)
        if payload.pool not in self.declaration.pools:
            return Outcome.REFUSED
        if host is None:
            if payload.expected != 0:
                return Outcome.STALE
            self._store(
                payload.worker,
                HostState(
                    payload.pool,
                    self._first_version(),
                    Step.ARRIVING,
                    since=time,
                    maintained=time,
                    assigned=time,
                ),
            )
            return Outcome.APPLIED
        if not self._is_current(host, payload.expected):
            return Outcome.STALE
        if not self._is_current_pool(host.pool, payload.pool_version):
            return Outcome.STALE
        if self._is_expired(payload.valid_until, time):
            return Outcome.EXPIRED
        if not self._may_assign(host, payload.pool):
            return Outcome.REFUSED
        self._raise_pool_version(host.pool)
        self._store(
            payload.worker,
            dataclasses.replace(
                host,
                pool=payload.pool,
                version=host.version + 1,
                step=Step.ARRIVING,
                purpose=Purpose.MOVE,
                target=None,
                since=time,
                assigned=time,
                revision=self.declaration.pools[payload.pool].revision,
            ),
        )
        return Outcome.APPLIED

    def _raise_pool_version(self, pool: identifiers.PoolId) -> None:
        self.pool_versions[pool] = self.pool_versions.get(pool, 0) + 1

    def _apply_step(
        self, payload: fleet_record.MaintenanceStep, time: float
    ) -> Outcome:
        host = self.hosts.get(payload.worker)
        if host is None or not self._is_current(host, payload.expected):
            return Outcome.STALE
        if self._is_expired(payload.valid_until, time):
            return Outcome.EXPIRED
        if payload.step not in TRANSITIONS[host.step]:
            return Outcome.REFUSED
        if payload.step is Step.REBOOTING and host.purpose is Purpose.MOVE:
            return Outcome.REFUSED
        change = dataclasses.replace(
            host, step=payload.step, version=host.version + 1, since=time
        )
        match payload.step:
            case Step.CORDONED:
                if not self._is_current_pool(host.pool, payload.pool_version):
                    return Outcome.STALE
                pool = self.declaration.pools.get(host.pool)
                limit = pool.max_unavailable if pool else 0
                if (
                    self.is_guarded(payload.worker)
                    and self.planned.get(host.pool, 0) >= limit
                ):
                    return Outcome.REFUSED
                self._raise_pool_version(host.pool)
                change = dataclasses.replace(
                    change, purpose=payload.purpose, target=payload.target
                )
            case Step.REBOOTING:
                change = dataclasses.replace(change, boot=payload.boot)
            case Step.IN_SERVICE:
                change = self._complete(host, change, time)
            case Step.LOST | Step.BROKEN:
                change = dataclasses.replace(
                    change, purpose=Purpose.NONE, target=None
                )
        self._store(payload.worker, change)
        return Outcome.APPLIED

    def _complete(
        self, host: HostState, change: HostState, time: float
    ) -> HostState:
        change = dataclasses.replace(
            change, purpose=Purpose.NONE, target=None, boot=""
        )
        if host.step is not Step.CHECKING or host.purpose is Purpose.NONE:
            return change
        pool = self.declaration.pools.get(host.pool)
        return dataclasses.replace(
            change,
            maintained=time,
            revision=pool.revision if pool else host.revision,
        )

    def _apply_roll(
        self, payload: fleet_record.RollStep, time: float
    ) -> Outcome:
        if (
            payload.expected != self.roll.version
            or payload.bundle != self.bundle_version
        ):
            return Outcome.STALE
        if self._is_expired(payload.valid_until, time):
            return Outcome.EXPIRED
        change = self.roll.follow(payload, time)
        if change is None:
            return Outcome.REFUSED
        self.roll = change
        return Outcome.APPLIED

    def _apply_lease(
        self, payload: fleet_record.PlannerLease, time: float
    ) -> Outcome:
        if payload.expected != self.lease.version:
            return Outcome.STALE
        self.lease = LeaseState(
            payload.holder, time + payload.seconds, self.lease.version + 1
        )
        return Outcome.APPLIED

    def _apply_pause(
        self, payload: fleet_record.MaintenancePause, time: float
    ) -> Outcome:
        if payload.expected != self.pause.version:
            return Outcome.STALE
        if self._is_expired(payload.valid_until, time):
            return Outcome.EXPIRED
        self.pause = PauseState(payload.paused, time, self.pause.version + 1)
        return Outcome.APPLIED

    def _apply_bundle(
        self, payload: fleet_record.BundleAccepted, time: float
    ) -> Outcome:
        if not self._is_next_bundle(payload):
            return Outcome.STALE
        self.bundle_version += 1
        self.accepted_versions[self.bundle_version] = payload
        old, self.declaration = self.declaration, payload.declaration
        self.roll = self.roll.supersede(payload.declaration.zones, time)
        if (old.pools, old.zones_out) == (
            payload.declaration.pools,
            payload.declaration.zones_out,
        ):
            return Outcome.APPLIED
        homes = self.home
        self._set_homes()
        for worker, pool in self.home.items():
            if worker not in self.hosts:
                self.hosts[worker] = HostState(
                    pool,
                    self._first_version(),
                    since=time,
                    maintained=time,
                    assigned=time,
                    revision=payload.declaration.pools[pool].revision,
                )
        for worker, host in list(self.hosts.items()):
            self._apply_declared_pool(worker, host, homes.get(worker), time)
        self._count_planned()
        self._notify(None)
        return Outcome.APPLIED

    def _first_version(self) -> int:
        """Returns the version of a new host.

        A host that left and comes back must not get a version that an old
        record may name; versions never grow faster than offsets.
        """
        return self.offset + 1

    def _set_homes(self) -> None:
        self.home = {
            worker: pool
            for pool, spec in self.declaration.pools.items()
            for worker in spec.workers
        }

    def _count_planned(self) -> None:
        self.planned = {}
        for worker, host in self.hosts.items():
            if worker in self.home and host.is_planned:
                self.planned[host.pool] = self.planned.get(host.pool, 0) + 1

    def _apply_declared_pool(
        self,
        worker: identifiers.WorkerId,
        host: HostState,
        old_home: identifiers.PoolId | None,
        time: float,
    ) -> None:
        """Applies a bundle's pool assignment to one host.

        A changed assignment overrides that of the planner, an unchanged one
        does not.
        """
        home = self.home.get(worker)
        if home is None and (old_home is not None or host.step is Step.LOST):
            del self.hosts[worker]
            return
        is_declared = host.pool in self.declaration.pools
        if home == old_home and is_declared:
            return
        if home is None:
            # The planner assigns it to a pool again.
            del self.hosts[worker]
        elif home != host.pool:
            self.hosts[worker] = dataclasses.replace(
                host,
                pool=home,
                version=self._first_version(),
                step=Step.ARRIVING,
                purpose=Purpose.MOVE,
                target=None,
                since=time,
                assigned=time,
                revision=self.declaration.pools[home].revision,
            )

    def index_hosts(self) -> None:
        """Recomputes the indexes over hosts and declaration."""
        self._set_homes()
        self._count_planned()

    def load(self, other: "FleetState") -> None:
        """Adopts the folded state of `other` and notifies all listeners."""
        listeners = self._listeners
        self.__dict__.update(other.__dict__)
        self._listeners = listeners
        self._notify(None)


if __name__ == "__main__":
    LEASE = fleet_record.PlannerLease(
        identifiers.Incarnation("entry-1/a"), 0, 10.0
    )
    STATE = FleetState()
    print(STATE.apply(LEASE, 0, 0.0), STATE.apply(LEASE, 1, 1.0), STATE.lease)
