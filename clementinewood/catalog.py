"""Declared queues, pools and teams, and the listed minions and machines."""

import dataclasses
import enum
from collections.abc import Mapping

from clementinewood import identifiers, job


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PolicySettings:
    """Timing of a queue's policy service.

    Attributes:
        decide: Base duration of one call in seconds.
        per_minion: Additional seconds for each minion named.
        valid: Seconds for which a ticket is valid.
    """

    decide: float
    per_minion: float
    valid: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Queue:
    """Declaration of one queue.

    Attributes:
        name: Its name.
        host: Host header of its callers.
        prefix: Path prefix of its jobs.
        pool: Pool whose minions run its tasks.
        priority: Urgency; 0 comes first.
        max_attempts: Failed runs of one task after which its job fails.
        stretch: Objective as a multiple of the job's critical path.
        slack: Seconds added to the objective.
        open_to_all: Whether callers need no key.
        advice: Timing of its policy service; None if it has none.
    """

    name: identifiers.QueueId
    host: str
    prefix: str
    pool: identifiers.PoolId
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    slack: float = 0.0
    open_to_all: bool = False
    advice: PolicySettings | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Pool:
    """Declaration of one pool of machines.

    Attributes:
        name: Its name.
        enforces_capacity: Whether its minions reject runs that do not fit.
        spare: Whether its machines are off and cost nothing.
    """

    name: identifiers.PoolId
    enforces_capacity: bool = True
    spare: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Team:
    """Declaration of one team.

    Attributes:
        name: Its name.
        weight: Weight of its share, and its guaranteed rate in jobs per second.
        cap: Upper limit of its running tasks' needs; 0 means no limit.
    """

    name: identifiers.TeamId
    weight: float = 1.0
    cap: job.Resources = job.Resources()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """Limits on callers' requests; 0 means that none is declared.

    Attributes:
        header_bytes: Size of the request line and headers.
        body_bytes: Size of the request body.
        header_seconds: Time in which the whole head must arrive.
        idle_seconds: Time for which a connection may stay open unused.
    """

    header_bytes: int = 0
    body_bytes: int = 0
    header_seconds: float = 0.0
    idle_seconds: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """One version of the configuration that operators declare.

    Attributes:
        version: Version number; increases with every change.
        queues: Queues, by name.
        pools: Pools, by name.
        teams: Teams, by name.
        keys: Team of every valid key.
        limits: Limits on callers' requests.
    """

    version: int
    queues: Mapping[identifiers.QueueId, Queue]
    pools: Mapping[identifiers.PoolId, Pool]
    teams: Mapping[identifiers.TeamId, Team]
    keys: Mapping[str, identifiers.TeamId]
    limits: Limits = Limits()

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Returns the queue of `host` with the longest prefix of `path`."""
        best: Queue | None = None
        for queue in self.queues.values():
            if queue.host != host or not path.startswith(queue.prefix):
                continue
            if best is None or len(queue.prefix) > len(best.prefix):
                best = queue
        return best


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Wave:
    """A maintenance wave: machines due for maintenance.

    Attributes:
        number: Its number.
        machines: The machines.
        seconds: Time in which maintenance of all should be done.
        cap: Machines that may be down at once.
    """

    number: int
    machines: tuple[identifiers.MachineId, ...]
    seconds: float
    cap: int


class MinionState(enum.Enum):
    """State that a minion reports."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Minion:
    """One minion as it describes itself.

    Attributes:
        minion_id: Its id.
        incarnation: Start of its incarnation in Unix milliseconds; 0 if
            unknown.
        pool: Pool that it serves.
        address: IP address and port.
        zone: Its availability zone.
        state: Whether it takes new work.
        capacity: Total room, used or free.
        labels: Kind of the machine and, last, its rack.
    """

    minion_id: identifiers.MinionId
    incarnation: int
    pool: identifiers.PoolId
    address: tuple[str, int]
    zone: identifiers.ZoneId
    state: MinionState
    capacity: job.Resources
    labels: tuple[str, ...] = ()


class MachineState(enum.Enum):
    """State of a machine as the platform lists it."""

    UP = "up"
    MOVING = "moving"
    UPKEEP = "upkeep"
    DOWN = "down"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Machine:
    """One machine as the platform lists it.

    Attributes:
        machine_id: Its id, kept over all incarnations.
        pool: Pool that it belongs to.
        state: Its state.
        zone: Its availability zone.
        minion_id: Id of its minion; empty if it has none.
        capacity: Total room, used or free.
        labels: Kind of the machine and, last, its rack.
    """

    machine_id: identifiers.MachineId
    pool: identifiers.PoolId
    state: MachineState
    zone: identifiers.ZoneId
    minion_id: identifiers.MinionId
    capacity: job.Resources = job.Resources()
    labels: tuple[str, ...] = ()


if __name__ == "__main__":
    quotes = Queue(
        name=identifiers.QueueId("quotes"),
        host="guild.example",
        prefix="/quotes/",
        pool=identifiers.PoolId("quotes"),
    )
    print(
        Configuration(
            version=1,
            queues={quotes.name: quotes},
            pools={},
            teams={},
            keys={},
        ).find_queue("guild.example", "/quotes/1")
    )
