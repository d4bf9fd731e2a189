"""When a call without an answer is made again.

Load pattern: a store that answers in milliseconds loses one answer in three
for some seconds, or becomes fifty times slower. A second try after a few times
the usual delay costs little in the first case, and is not made in the second
once the delay has been learned.
"""

FIRST_SECONDS = 0.6
"""Wait while nothing is known of the usual delay: a slow store answers within
it, unless several appends wait for their turn."""

MIN_SECONDS = 0.1
"""Least wait: the store answers in 4 ms, and stalls of a few tens of
milliseconds need no second try."""

MAX_SECONDS = 1.2
"""Longest wait: five times the delay of a slow store."""

FACTOR = 5.0
"""The wait as a multiple of the usual delay."""

SLOW_SECONDS = 0.05
"""Usual delay from which a store counts as slow; it answers in 4 ms."""

MAX_TRIES = 4
"""Tries of one call on their way at a time: of answers of which two in five are
lost, four are lost together once in forty times."""

SLOW_TRIES = 2
"""The same at a slow store, which each try makes slower."""

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

    @property
    def is_slow(self) -> bool:
        """Whether calls take long, or nothing is known of that yet."""
        return self._delay is None or self._delay > SLOW_SECONDS

    @property
    def most_tries(self) -> int:
        """Tries of one call that may be on their way at a time."""
        return SLOW_TRIES if self.is_slow else MAX_TRIES

    def observe(self, delay: float) -> None:
        """Learns from a call that was answered after `delay` seconds."""
        known = delay if self._delay is None else self._delay
        self._delay = known + SMOOTHING * (delay - known)


if __name__ == "__main__":
    example = Hedge()
    example.observe(0.05)
    print(example.seconds)
