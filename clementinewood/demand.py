"""Estimates the demand of pools from delayed usage and queue lengths.

Declared sizes and run times are inaccurate, so only measured running, queued
and completed tasks are used.
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
    """Usage of one pool since the previous sample.

    Attributes:
        time: Log time in seconds of the measurement, before the arrival.
        running: Number of running tasks.
        queued: Number of waiting tasks.
        completed: Number of tasks completed in the interval.
        busy: Slot-seconds used in the interval.
        used: Resources used by the running tasks.
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
    """Estimated demand of one pool.

    Attributes:
        slots: Slots needed to start queued tasks within the target wait,
            without headroom.
        resources: Resources used by tasks on these slots.
        trusted: Whether there are enough recent samples.
    """

    slots: float
    resources: capacity.Resources
    trusted: bool


@dataclasses.dataclass(frozen=True, slots=True)
class DemandSettings:
    """Parameters of the estimate.

    Attributes:
        window: Age in seconds up to which samples count.
        minimum: Number of samples that a trusted estimate must exceed, and of
            intervals in the median. With 1 report in 100 wrong, a median of 3
            was wrong several times a day at 4 queues and moved hosts.
        target_wait: Seconds within which waiting work should start.
        headroom: Slots provided per slot of demand, so that tasks arriving at
            random find a free one.
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
    does not move hosts, plus the slots needed to drain the queue.

    Args:
        settings: Parameters of the estimate; None for the defaults.
    """

    def __init__(self, settings: DemandSettings | None = None) -> None:
        self.settings = settings or DemandSettings()
        self._samples: dict[
            identifiers.PoolId, collections.deque[UsageSample]
        ] = {}

    def report(self, pool: identifiers.PoolId, sample: UsageSample) -> None:
        """Adds a sample; late, duplicate and invalid ones are dropped."""
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
        """Returns the estimated demand of `pool` at log time `now`."""
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
        # Enough slots to start the last queued task within `target_wait`.
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
        """Returns the resources needed by pools whose estimate is trusted.

        Other pools are left out, so that a planner that has just taken over
        neither removes their hosts nor adds hosts because of one report.

        Args:
            pools: Pools to estimate.
            slots_per_host: Number of slots of a host.
            host: Resources of a host.
            now: Log time in seconds.
            headroom: Need per demand; None for that of the settings. Spare
                capacity is planned with less, since its idle hosts serve as
                headroom until a host is lost.
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
        """Returns the slots needed by the arriving tasks.

        In a full pool, arrivals beyond its capacity show up as queue growth.
        Counting running tasks and queue growth detects the demand at once;
        the queue length shows it only after tasks have waited.
        """
        offered = [
            max(
                0.0,
                sample.running
                + (sample.queued - previous.queued)
                * run_time
                / (sample.time - previous.time),
            )
            for previous, sample in itertools.pairwise(recent)
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

    Slots limit the tasks of a host even if these use few resources, so the
    need is the larger of measured usage and the slots' share of a host.
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
