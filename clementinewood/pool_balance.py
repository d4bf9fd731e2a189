"""Supply and need of a pool while a round of moves is planned."""

import dataclasses

from clementinewood import capacity


@dataclasses.dataclass(slots=True)
class PoolBalance:
    """Resources of one pool while a round is being planned.

    Attributes:
        need: Resources that its work needs.
        supply: Resources of hosts that serve, arrive or return soon.
        serving: Resources of the serving hosts.
        hosts: Number of serving hosts.
        spare: Whether it is the pool that lends first.
        known: Whether the need is known; if not, the pool gets and lends no
            hosts.
    """

    need: capacity.Resources
    supply: capacity.Resources
    serving: capacity.Resources
    hosts: int
    spare: bool
    known: bool

    def is_short(self) -> bool:
        """Returns whether the pool's need exceeds its supply."""
        return self.known and not self.supply.covers(self.need)

    def subtract_host(self, host: capacity.Resources) -> None:
        """Subtracts one host of that size."""
        self.supply -= host
        self.serving -= host
        self.hosts -= 1
