"""Payloads of the fleet records on the control stream.

Every payload states the version it replaces, so a repeated append and the
record of a planner that lost a race have no effect.
"""

import dataclasses
import enum
from collections.abc import Mapping

from clementinewood import identifiers


class Step(enum.Enum):
    """Step of a host between service, maintenance and return."""

    IN_SERVICE = "in-service"
    CORDONED = "cordoned"
    CHECKPOINTING = "checkpointing"
    REBOOTING = "rebooting"
    CHECKING = "checking"
    ARRIVING = "arriving"
    BROKEN = "broken"
    LOST = "lost"


class Purpose(enum.Enum):
    """Why a host was taken out of service."""

    NONE = "none"
    MAINTENANCE = "maintenance"
    ROLL = "roll"
    MOVE = "move"


class RollAction(enum.Enum):
    """Change of a bundle's state in a zone by a `RollStep`."""

    START = "start"
    DONE = "done"
    HALT = "halt"


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerAssigned:
    """Assigns a host to a pool.

    Attributes:
        worker: The host.
        pool: The pool it belongs to from this record on.
        expected: Host version that the record replaces.
        pool_version: Version of the pool that the host leaves. If two planners
            take different hosts from one pool, only the first record applies.
        valid_until: Log time after which the record is ignored, which limits
            the age of the host list on which the decision is based.
    """

    worker: identifiers.WorkerId
    pool: identifiers.PoolId
    expected: int
    pool_version: int
    valid_until: float


@dataclasses.dataclass(frozen=True, slots=True)
class MaintenanceStep:
    """Moves a host to its next step.

    Attributes:
        worker: The host.
        step: The step that starts with this record.
        expected: Host version that the record replaces.
        valid_until: Log time after which the record is ignored.
        purpose: Why the host leaves service; read when it is cordoned.
        target: Pool that a move goes to.
        boot: Boot id that the host reported before its reboot.
        pool_version: Version of the host's pool; read when it is cordoned.
    """

    worker: identifiers.WorkerId
    step: Step
    expected: int
    valid_until: float
    purpose: Purpose = Purpose.NONE
    target: identifiers.PoolId | None = None
    boot: str = ""
    pool_version: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RollStep:
    """Starts, completes or halts the newest bundle in a zone."""

    bundle: int
    zone: identifiers.ZoneId
    action: RollAction
    expected: int
    valid_until: float
    reason: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class PlannerLease:
    """Makes an entry the planner for `seconds` of log time."""

    holder: identifiers.Incarnation
    expected: int
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class MaintenancePause:
    """Pauses or resumes the start of maintenance and roll work."""

    paused: bool
    expected: int
    valid_until: float


@dataclasses.dataclass(frozen=True, slots=True)
class PoolDeclaration:
    """The part of a bundle's `PoolSpec` that planning needs.

    Attributes:
        workers: Hosts as first assigned; these are the guarded ones.
        spare: Whether the pool serves no queue and lends first.
        max_unavailable: Availability budget of the pool, in hosts.
        max_unavailable_zone: Availability budget within one zone, in hosts.
        revision: Version of the newest bundle that changed what runs on the
            pool's hosts; hosts with an older one are rolled.
    """

    workers: tuple[identifiers.WorkerId, ...]
    spare: bool = False
    max_unavailable: int = 1
    max_unavailable_zone: int = 1
    revision: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class FleetDeclaration:
    """The part of a bundle that planning needs.

    Attributes:
        pools: Every pool.
        zones: Zones in the order in which a bundle goes into force.
        zones_out: Zones that operators took out of service.
    """

    pools: Mapping[identifiers.PoolId, PoolDeclaration]
    zones: tuple[identifiers.ZoneId, ...]
    zones_out: frozenset[identifiers.ZoneId] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class BundleAccepted:
    """A bundle that operators published; its version is `expected` + 1."""

    declaration: FleetDeclaration
    expected: int
    operator: str
    record: identifiers.RecordId


PlanPayload = (
    WorkerAssigned
    | MaintenanceStep
    | RollStep
    | PlannerLease
    | MaintenancePause
)
Payload = PlanPayload | BundleAccepted
