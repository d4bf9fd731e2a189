"""What the site declares: queues, pools, teams, minions and machines."""

import dataclasses
import enum
from collections.abc import Mapping

from clementinewood import identifiers, job


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PolicySettings:
    """How a queue's policy service answers.

    Attributes:
        decide: Seconds of one call.
        per_minion: Seconds more for each minion named.
        valid: Seconds that a ticket is good for.
    """

    decide: float
    per_minion: float
    valid: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Queue:
    """One queue of a configuration.

    Attributes:
        name: Its name.
        host: Host header of its callers.
        prefix: Path under which its jobs are.
        pool: Pool whose minions run its tasks.
        priority: Urgency; 0 comes first.
        max_attempts: Failed runs of one task after which its job has failed.
        stretch: Objective as a multiple of the longest chain of work.
        slack: Seconds added to the objective.
        open_to_all: Whether callers need no key.
        advice: Its policy service, if it has one.
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
    """One pool of machines.

    Attributes:
        name: Its name.
        enforces_capacity: Whether its minions reject what does not fit.
        spare: Whether its machines are off and cost nothing.
    """

    name: identifiers.PoolId
    enforces_capacity: bool = True
    spare: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Team:
    """One team.

    Attributes:
        name: Its name.
        weight: Its share when all is full.
        cap: What it may have running; 0 means no limit.
    """

    name: identifiers.TeamId
    weight: float = 1.0
    cap: job.Resources = job.Resources()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """Bounds on callers' requests; 0 means that none is declared.

    Attributes:
        header_bytes: Request line and headers.
        body_bytes: Request body.
        header_seconds: Time for a whole head.
        idle_seconds: Time that a connection may stay open unused.
    """

    header_bytes: int = 0
    body_bytes: int = 0
    header_seconds: float = 0.0
    idle_seconds: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """One version of what operators declare.

    Attributes:
        version: Rises with every change.
        queues: By name.
        pools: By name.
        teams: By name.
        keys: Team of every key in force.
        limits: Bounds on callers' requests.
    """

    version: int
    queues: Mapping[identifiers.QueueId, Queue]
    pools: Mapping[identifiers.PoolId, Pool]
    teams: Mapping[identifiers.TeamId, Team]
    keys: Mapping[str, identifiers.TeamId]
    limits: Limits = Limits()

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Returns the queue with the longest prefix of `path`."""
        best: Queue | None = None
        for queue in self.queues.values():
            if queue.host != host or not path.startswith(queue.prefix):
                continue
            if best is None or len(queue.prefix) > len(best.prefix):
                best = queue
        return best


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Wave:
    """Machines that are due for upkeep.

    Attributes:
        number: Its number.
        machines: The machines.
        seconds: Time in which all should have had their upkeep.
        cap: Machines that may be down at once.
    """

    number: int
    machines: tuple[identifiers.MachineId, ...]
    seconds: float
    cap: int


class MinionState(enum.Enum):
    """What a minion says of itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Minion:
    """What a minion reports of itself.

    Attributes:
        minion_id: Its id.
        incarnation: Start of this life in Unix milliseconds; 0 if unknown.
        pool: Pool that it serves.
        address: IP address and port.
        zone: Its availability zone.
        state: Whether it takes new work.
        capacity: All the room that it has.
        labels: Kind of the machine and its rack.
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
    """Where a machine is in its life."""

    UP = "up"
    MOVING = "moving"
    UPKEEP = "upkeep"
    DOWN = "down"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Machine:
    """One machine as the platform lists it.

    Attributes:
        machine_id: Its id, kept over all lives.
        pool: Pool that it belongs to.
        state: Where it is in its life.
        zone: Its availability zone.
        minion_id: Id of its minion; empty if it has none.
        capacity: All the room that it has.
        labels: Kind and rack.
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
