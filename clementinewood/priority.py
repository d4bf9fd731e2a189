"""Priority classes of queued requests."""

import enum


class Priority(enum.Enum):
    """Priority class of a request; the value is sent in `X-Priority`."""

    URGENT = "urgent"
    INTERACTIVE = "interactive"
    OVERNIGHT = "overnight"

    def __init__(self, value: str) -> None:
        self.rank: int = len(type(self).__members__)
        """Position in the order of starts; the lowest starts first."""


def limit_priority(requested: Priority | None, ceiling: Priority) -> Priority:
    """Returns the requested class, limited to `ceiling` at most.

    Returns `ceiling` if no class is requested.
    """
    if requested is None or requested.rank < ceiling.rank:
        return ceiling
    return requested


if __name__ == "__main__":
    print(limit_priority(Priority.URGENT, Priority.OVERNIGHT).value)
