"""Timer service that parts of a process subscribe to."""

import heapq
import itertools
import time
from collections.abc import Callable

import circuits

from clementinewood import event as log_event

Callback = Callable[[], None]

MIN_COMPACTION = 1024
"""Cancelled subscriptions below which the heap is left as it is."""


class Subscription:
    """One callback on the timer service; `cancel` is O(1) amortized.

    Args:
        service: The service that calls it.
        due: Monotonic time of the next call, in seconds.
        period: Seconds between calls, or None for a single call.
        callback: Called without arguments on the loop.
    """

    __slots__ = ("_service", "callback", "due", "period")

    def __init__(
        self,
        service: "TimerService",
        due: float,
        period: float | None,
        callback: Callback,
    ) -> None:
        self._service = service
        self.due = due
        self.period = period
        self.callback: Callback | None = callback

    def cancel(self) -> None:
        """Prevents every later call."""
        if self.callback is not None:
            self.callback = None
            self._service.record_cancelled()


class TimerService(circuits.BaseComponent):
    """Calls subscribers at their times on the circuits loop.

    One component serves all timers, since registering a circuits component
    per timer clears the event handler cache each time.

    Args:
        clock: Source of monotonic time in seconds.
    """

    def __init__(self, *, clock: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        self.clock = clock
        self.failures = 0
        self._order = itertools.count()
        self._heap: list[tuple[float, int, Subscription]] = []
        self._cancelled = 0

    def subscribe_once(self, delay: float, callback: Callback) -> Subscription:
        """Calls `callback` once, `delay` seconds from now."""
        return self._push(
            Subscription(self, self.clock() + delay, None, callback)
        )

    def subscribe_every(
        self, period: float, callback: Callback
    ) -> Subscription:
        """Calls `callback` every `period` seconds, first after one period."""
        return self._push(
            Subscription(self, self.clock() + period, period, callback)
        )

    def run_due(self) -> float | None:
        """Runs callbacks that are due.

        Returns:
            Seconds until the next one, or None without subscribers.
        """
        now = self.clock()
        while self._heap:
            due, _, subscription = self._heap[0]
            if subscription.callback is not None and due > now:
                return due - now
            heapq.heappop(self._heap)
            if subscription.callback is not None:
                self._run_callback(subscription, now)
            elif self._cancelled:
                self._cancelled -= 1
        return None

    def record_cancelled(self) -> None:
        """Drops cancelled subscriptions once they are most of the heap.

        Nearly every timeout is cancelled long before it is due; at a few
        thousand requests a second, dead entries would fill the memory.
        """
        self._cancelled += 1
        if self._cancelled < MIN_COMPACTION:
            return
        if self._cancelled * 2 > len(self._heap):
            # In place, since `run_due` may be looping over the heap.
            self._heap[:] = [
                item for item in self._heap if item[2].callback is not None
            ]
            heapq.heapify(self._heap)
            self._cancelled = 0

    def _push(self, subscription: Subscription) -> Subscription:
        item = (subscription.due, next(self._order), subscription)
        heapq.heappush(self._heap, item)
        return subscription

    def _run_callback(self, subscription: Subscription, now: float) -> None:
        callback = subscription.callback
        assert callback is not None
        if subscription.period is None:
            subscription.callback = None
        else:
            # A late loop skips missed periods: a burst of calls after a pause
            # would repeat the same work.
            subscription.due += subscription.period
            if subscription.due <= now:
                subscription.due = now + subscription.period
            self._push(subscription)
        try:
            callback()
        except Exception as error:
            self.failures += 1
            log_event.emit(
                log_event.Event.HANDLER_FAILED, exception=error, where="timer"
            )

    @circuits.handler("generate_events")
    def _on_generate_events(self, event: circuits.Event) -> None:
        left = self.run_due()
        if not self.root.running or len(self.root):
            # A callback stopped the loop or fired events; the poller, which
            # handles this event next, must not wait before they are seen.
            left = 0.0
        if left is not None:
            event.reduce_time_left(left)


class GracefulTimers(TimerService):
    """A loop whose termination signals start a graceful stop.

    circuits installs its own signal handlers when the loop starts; they end
    the loop at once, which would cut requests.

    Args:
        clock: Source of monotonic time in seconds.

    Attributes:
        on_signal: Called on SIGINT and SIGTERM.
    """

    def __init__(self, *, clock: Callable[[], float] = time.monotonic) -> None:
        super().__init__(clock=clock)
        self.on_signal: Callable[[], None] = lambda: None

    def _signal_handler(self, number: int, frame: object) -> None:
        self.subscribe_once(0.0, lambda: self.on_signal())


if __name__ == "__main__":
    service = TimerService()
    service.subscribe_every(0.2, lambda: print("period"))
    service.subscribe_once(0.7, lambda: service.stop())
    service.run()
