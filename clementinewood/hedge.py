"""When a call without an answer is made again.

Load pattern: a store that answers in milliseconds loses one answer in three
for some seconds, or becomes fifty times slower. A second try after a few times
the usual delay costs little in the first case, and is not made in the second
once the delay has been learned.
"""

FIRST_SECONDS = 0.3
"""Wait while nothing is known of the usual delay."""

MIN_SECONDS = 0.1
"""Least wait: the store answers in 4 ms, and stalls of a few tens of
milliseconds need no second try."""

MAX_SECONDS = 0.8
"""Longest wait, below the time limit of one call."""

FACTOR = 5.0
"""The wait as a multiple of the usual delay."""

SMOOTHING = 0.2
"""Weight of the newest delay in the usual one."""


class Hedge:
    """Learns the usual delay of one kind of call."""

    def __init__(self) -> None:
        self._delay: float | None = None

    @property
    def seconds(self) -> float:
        """How long to wait for an answer before another try."""
        if self._delay is None:
            return FIRST_SECONDS
        return min(max(FACTOR * self._delay, MIN_SECONDS), MAX_SECONDS)

    def observe(self, delay: float) -> None:
        """Learns from a call that was answered after `delay` seconds."""
        known = delay if self._delay is None else self._delay
        self._delay = known + SMOOTHING * (delay - known)


if __name__ == "__main__":
    example = Hedge()
    example.observe(0.05)
    print(example.seconds)
