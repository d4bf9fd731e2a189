"""Provides the timer service of the event loop."""

import contextlib
import heapq
import itertools
import math
import time
from collections.abc import Callable, Iterator

import circuits

from clementinewood import event as log_event

Callback = Callable[[], None]

MIN_CANCELLED_TO_COMPACT = 1024
"""Least number of cancelled subscriptions for which the heap is compacted."""

FAILURE_LINE_SECONDS = 1.0
"""Least time between two lines about failures of one part of the process."""

SLOW_TURN_SECONDS = 0.25
"""Time for which one part may hold the event loop before that is logged, a
quarter of the shortest timeout between entries."""


class Subscription:
    """Scheduled callback of the timer service; `cancel` is amortized O(1).

    Args:
        service: The service that calls it.
        due: Monotonic time of the next call, in seconds.
        period: Seconds between calls, or None for a single call.
        callback: Called without arguments on the event loop.
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
        """Prevents all further calls."""
        if self.callback is not None:
            self.callback = None
            self._service.handle_cancellation()


class TimerService(circuits.BaseComponent):
    """Calls subscribers when they are due, on the circuits event loop.

    One component serves all timers, since every registration of a circuits
    component clears the event handler cache.

    Args:
        clock: Source of monotonic time in seconds.

    Attributes:
        clock: As in `Args`.
        failures: Exceptions of callbacks so far.
        slow_turns: How often a part has held the event loop for
            `SLOW_TURN_SECONDS` or longer.
    """

    def __init__(self, *, clock: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        self.clock = clock
        self.failures = 0
        self.slow_turns = 0
        self._attributed_seconds = 0.0
        self._logged_failures: dict[str, tuple[float, int]] = {}
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
            Seconds until the next callback, or None without subscribers.
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

    def record_failure(self, error: Exception, where: str) -> None:
        """Counts an exception of a callback and logs it.

        A callback that fails again and again is logged once in
        `FAILURE_LINE_SECONDS`, with the number of lines left out.

        Args:
            error: The exception.
            where: Part of the process that it came from.
        """
        self.failures += 1
        now = self.clock()
        logged_at, unlogged = self._logged_failures.get(where, (-math.inf, 0))
        if now - logged_at < FAILURE_LINE_SECONDS:
            self._logged_failures[where] = (logged_at, unlogged + 1)
            return
        self._logged_failures[where] = (now, 0)
        log_event.emit(
            log_event.Event.HANDLER_FAILED,
            exception=error,
            where=where,
            unlogged=unlogged,
        )

    @contextlib.contextmanager
    def measure_turn(self, part: str) -> Iterator[None]:
        """Logs that a part of the process has held the event loop for long.

        The time of a part measured within another one counts for the inner one
        only, if that is logged.

        Args:
            part: Name of the part.
        """
        started_at, attributed = self.clock(), self._attributed_seconds
        try:
            yield
        finally:
            within = self._attributed_seconds - attributed
            seconds = self.clock() - started_at - within
            if seconds >= SLOW_TURN_SECONDS:
                self._attributed_seconds += seconds
                self.slow_turns += 1
                log_event.emit(
                    log_event.Event.EVENT_LOOP_HELD,
                    part=part,
                    seconds=round(seconds, 3),
                )

    def handle_cancellation(self) -> None:
        """Drops cancelled subscriptions once they are most of the heap.

        Nearly every timeout is cancelled long before it is due. At a few
        thousand requests per second, cancelled items would exhaust memory.
        """
        self._cancelled += 1
        if self._cancelled < MIN_CANCELLED_TO_COMPACT:
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
            # Missed periods are skipped: a burst of calls after a pause of the
            # loop would repeat the same work.
            subscription.due += subscription.period
            if subscription.due <= now:
                subscription.due = now + subscription.period
            self._push(subscription)
        try:
            with self.measure_turn("timer"):
                callback()
        except Exception as error:
            self.record_failure(error, "timer")

    @circuits.handler("generate_events")
    def _on_generate_events(self, event: circuits.Event) -> None:
        left = self.run_due()
        if not self.root.running or len(self.root):
            # A callback has stopped the loop or fired events. The poller, which
            # handles this event next, must not delay them.
            left = 0.0
        if left is not None:
            event.reduce_time_left(left)


class GracefulTimers(TimerService):
    """Timer service and event loop with graceful shutdown on signals.

    circuits installs its own signal handlers when the loop starts. They end
    the loop at once, which would abort requests in flight.

    Args:
        clock: Source of monotonic time in seconds.

    Attributes:
        on_signal: Called on the event loop after SIGINT or SIGTERM.
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
