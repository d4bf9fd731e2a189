"""When a call without an answer is made again.

Load pattern: a store that answers in milliseconds loses one answer in three
for some seconds, or becomes fifty times slower. A second try after a few times
the usual delay costs little in the first case, and is not made in the second
once the delay has been learned.
"""

INITIAL_HEDGE_DELAY_SECONDS = 0.6
"""Wait while nothing is known of the usual delay: a slow store answers within
it, unless several appends wait for their turn."""

MIN_HEDGE_DELAY_SECONDS = 0.1
"""Least wait: the store answers in 4 ms, and stalls of a few tens of
milliseconds need no second try."""

MAX_HEDGE_DELAY_SECONDS = 1.2
"""Longest wait: five times the delay of a slow store."""

HEDGE_DELAY_LATENCY_RATIO = 5.0
"""The wait as a multiple of the usual delay."""

SLOW_LATENCY_SECONDS = 0.05
"""Usual delay from which a store counts as slow; it answers in 4 ms."""

MAX_CONCURRENT_ATTEMPTS = 4
"""Tries of one call on their way at a time: of answers of which two in five are
lost, four are lost together once in forty times."""

SLOW_STORE_MAX_CONCURRENT_ATTEMPTS = 2
"""The same at a slow store, which each try makes slower."""

LATENCY_EWMA_WEIGHT_RATIO = 0.2
"""Weight of the newest delay in the usual one."""


class HedgingPolicy:
    """Learns the usual delay of one kind of call."""

    def __init__(self) -> None:
        self._mean_latency: float | None = None

    @property
    def delay_seconds(self) -> float:
        """How long to wait for an answer before another try."""
        if self._mean_latency is None:
            return INITIAL_HEDGE_DELAY_SECONDS
        return min(
            max(
                HEDGE_DELAY_LATENCY_RATIO * self._mean_latency,
                MIN_HEDGE_DELAY_SECONDS,
            ),
            MAX_HEDGE_DELAY_SECONDS,
        )

    @property
    def is_slow(self) -> bool:
        """Whether calls take long, or nothing is known of that yet."""
        return (
            self._mean_latency is None
            or self._mean_latency > SLOW_LATENCY_SECONDS
        )

    @property
    def max_concurrent_attempts(self) -> int:
        """Tries of one call that may be on their way at a time."""
        return (
            SLOW_STORE_MAX_CONCURRENT_ATTEMPTS
            if self.is_slow
            else MAX_CONCURRENT_ATTEMPTS
        )

    def observe(self, latency: float) -> None:
        """Learns from a call that was answered after `latency` seconds."""
        known = latency if self._mean_latency is None else self._mean_latency
        self._mean_latency = known + LATENCY_EWMA_WEIGHT_RATIO * (
            latency - known
        )


if __name__ == "__main__":
    example = HedgingPolicy()
    example.observe(0.05)
    print(example.delay_seconds)
