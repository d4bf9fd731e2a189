"""Decides when to send a second attempt of a call without a response.

Load pattern: a store that responds in milliseconds loses one response in three
for some seconds, or becomes fifty times slower. A second attempt after a few
times the mean latency costs little in the first case, and is no longer sent in
the second once the mean has risen.
"""

INITIAL_HEDGE_DELAY_SECONDS = 0.6
"""Delay while no latency has been measured: a slow store responds within it,
unless several appends are queued."""

MIN_HEDGE_DELAY_SECONDS = 0.1
"""Shortest delay: the store responds in 4 ms, and stalls of a few tens of
milliseconds need no second attempt."""

MAX_HEDGE_DELAY_SECONDS = 1.2
"""Longest delay: five times the latency of a slow store."""

HEDGE_DELAY_LATENCY_RATIO = 5.0
"""Delay as a multiple of the mean latency."""

SLOW_LATENCY_SECONDS = 0.05
"""Mean latency above which a store counts as slow; normally it is 4 ms."""

MAX_CONCURRENT_ATTEMPTS = 4
"""Most concurrent attempts of one call: where two responses in five are lost,
all four are lost about once in forty calls."""

SLOW_STORE_MAX_CONCURRENT_ATTEMPTS = 2
"""Most concurrent attempts at a slow store, which every attempt slows down."""

LATENCY_EWMA_WEIGHT_RATIO = 0.2
"""Weight of the newest latency in the moving average."""


class HedgingPolicy:
    """Derives hedging delay and attempt limit from measured latency."""

    def __init__(self) -> None:
        self._mean_latency: float | None = None

    @property
    def delay_seconds(self) -> float:
        """Seconds to wait for a response before the next attempt."""
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
        """Whether the mean latency is high or not yet known."""
        return (
            self._mean_latency is None
            or self._mean_latency > SLOW_LATENCY_SECONDS
        )

    @property
    def max_concurrent_attempts(self) -> int:
        """Most attempts of one call that may be in flight at a time."""
        return (
            SLOW_STORE_MAX_CONCURRENT_ATTEMPTS
            if self.is_slow
            else MAX_CONCURRENT_ATTEMPTS
        )

    def observe(self, latency: float) -> None:
        """Adds the latency, in seconds, of a call that got a response."""
        mean = latency if self._mean_latency is None else self._mean_latency
        self._mean_latency = mean + LATENCY_EWMA_WEIGHT_RATIO * (latency - mean)


if __name__ == "__main__":
    example = HedgingPolicy()
    example.observe(0.05)
    print(example.delay_seconds)
