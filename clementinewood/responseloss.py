"""Detects that the responses of minions get lost.

Load pattern: for some seconds, one response in ten or so is lost on its way or
held back, from any minion, while the others arrive within milliseconds. A long
poll whose response is lost hides all outcomes of its minion until it times out,
so shorter polls pay off for as long as this lasts. A single minion without
responses, or one that has ended, is no sign of it.
"""

import collections

from clementinewood import identifiers

WINDOW_SECONDS = 4.0
"""Time for which a lost response counts."""

MIN_MINIONS = 3
"""Minions with a lost response within the window that make a pattern."""


class ResponseLoss:
    """Counts the minions whose responses were lost lately."""

    def __init__(self) -> None:
        self._losses: collections.deque[tuple[float, identifiers.MinionId]] = (
            collections.deque()
        )

    def observe_loss(self, minion_id: identifiers.MinionId, now: float) -> None:
        """Adds a response that is missing although its minion is in use."""
        self._losses.append((now, minion_id))

    def is_widespread(self, now: float) -> bool:
        """Whether responses of several minions were lost lately.

        Args:
            now: Monotonic time in seconds.
        """
        losses = self._losses
        while losses and losses[0][0] < now - WINDOW_SECONDS:
            losses.popleft()
        return len({minion_id for _, minion_id in losses}) >= MIN_MINIONS


if __name__ == "__main__":
    loss = ResponseLoss()
    for name in ("m1", "m2", "m3"):
        loss.observe_loss(identifiers.MinionId(name), 1.0)
    print(loss.is_widespread(2.0), loss.is_widespread(9.0))
