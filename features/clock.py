"""A manual clock for tests."""


class ManualClock:
    """Returns the time last set on it, in seconds."""

    def __init__(self, now: float = 0.0) -> None:
        self.now = now

    def __call__(self) -> float:
        return self.now
