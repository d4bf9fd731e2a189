"""Timer service of one simulated entry, which can be paused like its process.

A paused process receives nothing and runs no timers. On resuming it finds
responses that have arrived and timers that are overdue, in either order.
"""

from clementinewood import timer


class EntrySubscription:
    """Subscription whose callback waits while its entry is paused."""

    def __init__(self, callback):
        self.callback = callback
        self.inner = None

    def cancel(self):
        self.callback = None
        self.inner.cancel()


class EntryTimers:
    """Timers and incoming responses of one entry.

    Args:
        timers: Timer service of the whole site.
    """

    def __init__(self, timers: timer.TimerService):
        self._timers = timers
        self.clock = timers.clock
        self.paused = False
        self._responses = []
        self._overdue = {}

    def subscribe_once(self, delay, callback):
        subscription = EntrySubscription(callback)
        subscription.inner = self._timers.subscribe_once(
            delay, lambda: self._run_timer(subscription)
        )
        return subscription

    def subscribe_every(self, period, callback):
        subscription = EntrySubscription(callback)
        subscription.inner = self._timers.subscribe_every(
            period, lambda: self._run_timer(subscription)
        )
        return subscription

    def record_failure(self, error, where):
        self._timers.record_failure(error, where)

    def measure_turn(self, part):
        return self._timers.measure_turn(part)

    def receive(self, on_result):
        """Returns `on_result` for responses, which wait during a pause."""

        def deliver(outcome):
            if self.paused:
                self._responses.append(lambda: on_result(outcome))
            else:
                on_result(outcome)

        return deliver

    def pause(self):
        self.paused = True

    def resume(self, *, responses_first):
        """Runs what has waited; periodic timers run once."""
        self.paused = False
        responses, self._responses = self._responses, []
        overdue, self._overdue = self._overdue, {}
        timers = [
            lambda item=item: item.callback and item.callback()
            for item in overdue
        ]
        waiting = responses + timers if responses_first else timers + responses
        for callback in waiting:
            callback()

    def discard(self):
        """Drops what waits, since the process was killed."""
        self.paused = True
        self._responses.clear()
        self._overdue.clear()

    def _run_timer(self, subscription):
        if self.paused:
            self._overdue[subscription] = None
        elif subscription.callback is not None:
            subscription.callback()
