"""Arithmetic on amounts of processors, memory and accelerators."""

import dataclasses
import math


@dataclasses.dataclass(frozen=True, slots=True)
class Resources:
    """An amount of processors, memory and accelerators."""

    processors: float = 0.0
    memory: float = 0.0
    accelerators: float = 0.0

    def __add__(self, other: "Resources") -> "Resources":
        return Resources(
            self.processors + other.processors,
            self.memory + other.memory,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        return Resources(
            self.processors - other.processors,
            self.memory - other.memory,
            self.accelerators - other.accelerators,
        )

    def scale(self, factor: float) -> "Resources":
        """Returns the amount times `factor`."""
        return Resources(
            self.processors * factor,
            self.memory * factor,
            self.accelerators * factor,
        )

    def covers(self, other: "Resources") -> bool:
        """Whether every component is at least that of `other`."""
        return (
            self.processors >= other.processors
            and self.memory >= other.memory
            and self.accelerators >= other.accelerators
        )

    def share_of(self, whole: "Resources") -> float:
        """Returns the largest share that a component takes of `whole`.

        Returns infinity if this amount needs a component that `whole` lacks.
        """
        largest = 0.0
        for part, total in (
            (self.processors, whole.processors),
            (self.memory, whole.memory),
            (self.accelerators, whole.accelerators),
        ):
            if part > 0:
                largest = max(largest, part / total if total else float("inf"))
        return largest


DEFAULT = Resources(32, 64, 0)
"""Size of a worker at the present sites."""

NONE = Resources()


def count_hosts(need: Resources, host: Resources) -> int:
    """Returns how many hosts of size `host` cover `need`.

    Raises:
        ValueError: The host lacks a resource that is needed.
    """
    share = need.share_of(host)
    if math.isinf(share):
        raise ValueError(f"hosts of {host} lack a resource needed for {need}")
    # Sums of shares exceed whole numbers by rounding errors.
    return math.ceil(share - 1e-9)


if __name__ == "__main__":
    print(Resources(8, 16).share_of(DEFAULT))
