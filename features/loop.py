"""A circuits loop on a manual clock, with real loopback sockets."""

import threading

from circuits.core import events
from loguru import logger

from clementinewood import timer, transport
from features import clock

logger.disable("clementinewood.logclient")

QUIET_ROUNDS = 3
"""Rounds without input before time moves on: loopback data is readable as
soon as it is sent, so nothing is on its way then."""

MAX_ROUNDS = 60000


class Loop:
    """Runs timers and sockets without waiting for real time."""

    def __init__(self):
        self.clock = clock.ManualClock(1000.0)
        self.timers = timer.TimerService(clock=self.clock)
        self.sockets = transport.Transport(self.timers).register(self.timers)
        self._lock = threading.RLock()
        self._flush()

    def _flush(self):
        while len(self.timers):
            self.timers.flush()

    def run_until(self, is_done):
        """Runs until `is_done()` holds; fails when it never does."""
        quiet = 0
        for _ in range(MAX_ROUNDS):
            if is_done():
                return
            self.timers.fire(events.generate_events(self._lock, 0), "*")
            self.timers.flush()
            if len(self.timers):
                quiet = 0
                self._flush()
                continue
            quiet += 1
            if quiet >= QUIET_ROUNDS:
                left = self.timers.run_due()
                self.clock.now += min(0.5, 0.01 if left is None else left)
                quiet = 0
        raise AssertionError("the condition never came to hold")

    def run_for(self, seconds):
        """Runs until `seconds` of the manual clock have passed."""
        ended = []
        self.timers.subscribe_once(seconds, lambda: ended.append(True))
        self.run_until(lambda: ended)

    def close(self):
        self.sockets.close_listeners()
        for connection in list(self.sockets._connections):
            connection.abort("test ended")
