"""Demand of pools, estimated from lagging usage and queue lengths.

Declared sizes and run times are far off, so none is read here: only what ran,
what waits and what completed.
"""

import collections
import dataclasses
import itertools
import math
import statistics
from collections.abc import Iterable

from clementinewood import capacity, identifiers


@dataclasses.dataclass(frozen=True, slots=True)
class UsageSample:
    """Usage of one pool over the time since the sample before.

    Attributes:
        time: Log time at which it was measured, which is before it arrives.
        running: Tasks running.
        queued: Tasks waiting.
        completed: Tasks that completed in the interval.
        busy: Slot-seconds that ran in the interval.
        used: Resources that the running tasks used.
    """

    time: float
    running: float
    queued: float = 0.0
    completed: float = 0.0
    busy: float = 0.0
    used: capacity.Resources = dataclasses.field(
        default_factory=capacity.Resources
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Estimate:
    """Demand of one pool.

    Attributes:
        slots: Slots that serve the work at the queue's target wait, without
            headroom.
        resources: What that work uses.
        trusted: Whether enough recent samples stand behind it.
    """

    slots: float
    resources: capacity.Resources
    trusted: bool


@dataclasses.dataclass(frozen=True, slots=True)
class DemandSettings:
    """Shape of the estimate.

    Attributes:
        window: Seconds of samples that count.
        minimum: Samples needed for a trusted estimate, and in the median.
            With 1 report in 100 wrong, a median of 3 was wrong several times
            a day at 4 queues, and each time moved hosts.
        target_wait: Seconds within which waiting work should start.
        headroom: Slots wanted per slot of demand, so that work that arrives
            at random finds a free one.
        run_time: Assumed run time in seconds until tasks have completed.
    """

    window: float = 120.0
    minimum: int = 5
    target_wait: float = 120.0
    headroom: float = 1.05
    run_time: float = 10.0


class DemandEstimator:
    """Estimates the demand of every pool.

    The estimate is a median of recent samples, so that a single wrong report
    does not move hosts, plus the slots that work off the queue.

    Args:
        settings: Shape of the estimate.
    """

    def __init__(self, settings: DemandSettings | None = None) -> None:
        self.settings = settings or DemandSettings()
        self._samples: dict[
            identifiers.PoolId, collections.deque[UsageSample]
        ] = {}

    def report(self, pool: identifiers.PoolId, sample: UsageSample) -> None:
        """Takes a sample; late, repeated and impossible ones are dropped."""
        values = (
            sample.time,
            sample.running,
            sample.queued,
            sample.completed,
            sample.busy,
        )
        if not all(math.isfinite(v) and v >= 0 for v in values):
            return
        samples = self._samples.setdefault(pool, collections.deque())
        if samples and sample.time <= samples[-1].time:
            return
        samples.append(sample)
        while samples[0].time < sample.time - self.settings.window:
            samples.popleft()

    def estimate(self, pool: identifiers.PoolId, now: float) -> Estimate:
        """Returns the demand of `pool` at `now`."""
        settings = self.settings
        samples = [
            sample
            for sample in self._samples.get(pool, ())
            if sample.time >= now - settings.window
        ]
        if not samples:
            return Estimate(0.0, capacity.Resources(), False)
        recent = samples[-settings.minimum - 1 :]
        run_time = self._measure_run_time(samples)
        running = self._measure_offered(recent, run_time)
        queued = statistics.median(sample.queued for sample in recent)
        # The queue needs enough slots to start its last task in target_wait.
        waiting = min(queued, queued * run_time / settings.target_wait)
        slots = running + waiting
        return Estimate(
            slots,
            self._scale_usage(recent, slots),
            len(samples) > settings.minimum,
        )

    def estimate_needs(
        self,
        pools: Iterable[identifiers.PoolId],
        slots_per_host: float,
        host: capacity.Resources,
        now: float,
        *,
        headroom: float | None = None,
    ) -> dict[identifiers.PoolId, capacity.Resources]:
        """Returns the needs of the pools whose estimate is trusted.

        A pool without one is left out, so that a planner that has just taken
        over neither takes its hosts nor moves hosts to it on a single report.

        Args:
            pools: Pools to estimate.
            slots_per_host: Slots of a host.
            host: Size of a host.
            now: Log time.
            headroom: Need per demand, if not that of the settings. Spare
                capacity is planned with less: until a loss its idle hosts
                are headroom too.
        """
        if headroom is None:
            headroom = self.settings.headroom
        estimates = {pool: self.estimate(pool, now) for pool in pools}
        return {
            pool: size_need(estimate, slots_per_host, host).scale(headroom)
            for pool, estimate in estimates.items()
            if estimate.trusted
        }

    def _measure_offered(
        self, recent: list[UsageSample], run_time: float
    ) -> float:
        """Returns the slots that the arriving work needs.

        A pool that is full runs what it can; what arrives beyond that shows
        as growth of its queue. Counting both finds the demand at once, while
        a queue alone shows it only after work has waited.
        """
        offered = [
            max(
                0.0,
                sample.running
                + (sample.queued - before.queued)
                * run_time
                / (sample.time - before.time),
            )
            for before, sample in itertools.pairwise(recent)
        ]
        return statistics.median(offered or [recent[-1].running])

    def _measure_run_time(self, samples: list[UsageSample]) -> float:
        completed = sum(sample.completed for sample in samples)
        busy = sum(sample.busy for sample in samples)
        if completed <= 0 or busy <= 0:
            return self.settings.run_time
        return busy / completed

    def _scale_usage(
        self, recent: list[UsageSample], slots: float
    ) -> capacity.Resources:
        per_slot = [
            sample.used.scale(1 / sample.running)
            for sample in recent
            if sample.running > 0
        ]
        if not per_slot:
            return capacity.Resources()
        return capacity.Resources(
            statistics.median(use.processors for use in per_slot),
            statistics.median(use.memory for use in per_slot),
            statistics.median(use.accelerators for use in per_slot),
        ).scale(slots)


def size_need(
    estimate: Estimate, slots_per_host: float, host: capacity.Resources
) -> capacity.Resources:
    """Returns the resources that a pool needs for an estimate.

    Slots bound the tasks of a host even when they use little of it, so the
    need is the larger of measured usage and the slots' part of a host.
    """
    slots = host.scale(estimate.slots / slots_per_host)
    used = estimate.resources
    return capacity.Resources(
        max(slots.processors, used.processors),
        max(slots.memory, used.memory),
        max(slots.accelerators, used.accelerators),
    )


if __name__ == "__main__":
    ESTIMATOR = DemandEstimator()
    POOL = identifiers.PoolId("quotes")
    for second in range(5):
        ESTIMATOR.report(POOL, UsageSample(second, 8.0, queued=30.0))
    print(ESTIMATOR.estimate(POOL, 6.0))
