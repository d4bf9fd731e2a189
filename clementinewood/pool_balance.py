"""What a pool has and needs while a round of moves is planned."""

import dataclasses

from clementinewood import capacity


@dataclasses.dataclass(slots=True)
class PoolBalance:
    """Resources of one pool while a round is being planned.

    Attributes:
        need: What its work needs.
        supply: What serves, arrives or comes back soon.
        serving: What serves.
        hosts: Number of serving hosts.
        spare: Whether it is the pool that lends first.
        known: Whether the need is known; if not, no host moves or waits.
    """

    need: capacity.Resources
    supply: capacity.Resources
    serving: capacity.Resources
    hosts: int
    spare: bool
    known: bool

    def is_short(self) -> bool:
        """Whether the pool needs more than it has or will have soon."""
        return self.known and not self.supply.covers(self.need)

    def give(self, host: capacity.Resources) -> None:
        """Takes one host of that size away."""
        self.supply -= host
        self.serving -= host
        self.hosts -= 1
