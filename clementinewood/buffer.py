"""Spare capacity shared over random failures, a rack and a zone."""

import dataclasses
import heapq
import math
from collections.abc import Iterable, Mapping

from clementinewood import fleet, identifiers


@dataclasses.dataclass(frozen=True, slots=True)
class BufferSettings:
    """What the spare capacity must cover.

    Attributes:
        failure_probability: Probability that a host is down at random.
        confidence: Probability with which random failures are covered.
        rack: Whether the loss of one rack is covered.
        zone: Whether the loss of one zone is covered.
    """

    failure_probability: float = 0.005
    confidence: float = 0.999
    rack: bool = True
    zone: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class BufferPlan:
    """Hosts to keep in service and what they cover.

    Attributes:
        workers: Hosts that serve or stand ready.
        idle: Hosts beyond the need.
        random: Hosts that random failures may take.
        rack: Hosts in the largest rack.
        zone: Hosts in the largest zone.
        satisfied: Whether the losses are covered.
    """

    workers: frozenset[identifiers.WorkerId]
    idle: int
    random: int
    rack: int
    zone: int
    satisfied: bool


def count_random_failures(
    hosts: int, probability: float, confidence: float
) -> int:
    """Returns the failures that are not exceeded with `confidence`."""
    if hosts <= 0 or probability <= 0:
        return 0
    term = (1 - probability) ** hosts
    if term == 0.0:
        mean = hosts * probability
        return math.ceil(mean + 3.1 * math.sqrt(mean))
    total = term
    count = 0
    while total < confidence and count < hosts:
        term *= (hosts - count) / (count + 1)
        term *= probability / (1 - probability)
        count += 1
        total += term
    return count


class Buffer:
    """Chooses the fewest hosts that survive each loss alone.

    The losses share the spare hosts: after any one of them the rest still
    covers the need, so the spare is the largest loss and not their sum. A
    loss is smallest when hosts are spread, so hosts are taken from the zone
    and rack with the fewest chosen ones.

    Args:
        settings: Losses to cover.
    """

    def __init__(self, settings: BufferSettings | None = None) -> None:
        self.settings = settings or BufferSettings()

    def plan(self, need: int, workers: Iterable[fleet.Worker]) -> BufferPlan:
        """Returns the hosts to keep in service for `need` hosts of work."""
        queue = _SpreadQueue(workers)
        settings = self.settings
        random = 0
        while True:
            count = len(queue.chosen)
            random = count_random_failures(
                count, settings.failure_probability, settings.confidence
            )
            rack = queue.largest_rack if settings.rack else 0
            zone = queue.largest_zone if settings.zone else 0
            satisfied = count - max(random, rack, zone) >= need
            if satisfied or not queue.take():
                return BufferPlan(
                    frozenset(queue.chosen),
                    max(0, count - need),
                    random,
                    rack,
                    zone,
                    satisfied,
                )

    def require_spare(
        self,
        needs: Mapping[identifiers.PoolId, int],
        workers: Iterable[fleet.Worker],
    ) -> BufferPlan:
        """Returns the plan for all pools together, which may borrow."""
        return self.plan(sum(needs.values()), workers)


class _SpreadQueue:
    """Takes hosts one by one from the least used zone, then rack."""

    def __init__(self, workers: Iterable[fleet.Worker]) -> None:
        racks: dict[
            tuple[identifiers.ZoneId, identifiers.RackId],
            list[identifiers.WorkerId],
        ] = {}
        for worker in sorted(workers, key=lambda w: w.id, reverse=True):
            place = (worker.zone, worker.rack)
            racks.setdefault(place, []).append(worker.id)
        self._racks = racks
        by_zone: dict[
            identifiers.ZoneId, list[tuple[int, identifiers.RackId]]
        ] = {}
        for zone, rack in racks:
            by_zone.setdefault(zone, []).append((0, rack))
        for queue in by_zone.values():
            heapq.heapify(queue)
        self._by_zone = by_zone
        self._zones = [(0, zone) for zone in by_zone]
        heapq.heapify(self._zones)
        self.chosen: list[identifiers.WorkerId] = []
        self.largest_rack = 0
        self.largest_zone = 0

    def take(self) -> bool:
        """Chooses one more host; returns False when none is left."""
        while self._zones:
            used, zone = heapq.heappop(self._zones)
            queue = self._by_zone[zone]
            if not queue:
                continue
            rack_used, rack = heapq.heappop(queue)
            hosts = self._racks[zone, rack]
            self.chosen.append(hosts.pop())
            self.largest_rack = max(self.largest_rack, rack_used + 1)
            self.largest_zone = max(self.largest_zone, used + 1)
            if hosts:
                heapq.heappush(queue, (rack_used + 1, rack))
            heapq.heappush(self._zones, (used + 1, zone))
            return True
        return False


if __name__ == "__main__":
    SAMPLE = [
        fleet.Worker(
            identifiers.WorkerId(f"w{i}"),
            identifiers.ZoneId(f"z{i % 3}"),
            identifiers.RackId(f"r{i // 4}"),
        )
        for i in range(30)
    ]
    print(Buffer().plan(12, SAMPLE))
