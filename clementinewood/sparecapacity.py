"""Plans spare capacity for random failures and the loss of a rack or zone."""

import collections
import dataclasses
import heapq
import math
from collections.abc import Iterable, Mapping

from clementinewood import capacity, fleet, identifiers


@dataclasses.dataclass(frozen=True, slots=True)
class BufferSettings:
    """Losses that the spare capacity must cover.

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
class SpareCapacityPlan:
    """Hosts to keep in service and the losses they cover.

    Attributes:
        workers: Hosts to keep in service, busy or spare.
        idle: Resources beyond the need.
        random: Hosts that may be lost to random failures.
        rack: Hosts in the largest rack.
        zone: Hosts in the largest zone.
        satisfied: Whether the losses are covered.
    """

    workers: frozenset[identifiers.WorkerId]
    idle: capacity.Resources
    random: int
    rack: int
    zone: int
    satisfied: bool


def count_random_failures(
    hosts: int, probability: float, confidence: float
) -> int:
    """Returns the number of failures not exceeded with `confidence`."""
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


class SpareCapacityPlanner:
    """Chooses hosts that cover the need after any one of the losses.

    Since only one loss is assumed at a time, the spare capacity is the largest
    loss and not their sum. A loss is smallest if hosts are spread, so hosts
    are taken from the zone and rack with the fewest chosen ones.

    Args:
        settings: Losses to cover.
    """

    def __init__(self, settings: BufferSettings | None = None) -> None:
        self.settings = settings or BufferSettings()

    def plan(
        self,
        need: capacity.Resources,
        workers: Iterable[fleet.Worker],
        planned: int = 0,
    ) -> SpareCapacityPlan:
        """Returns the hosts to keep in service.

        Args:
            need: Resources that the work needs.
            workers: Hosts that can serve.
            planned: Hosts that the availability budgets allow to be out of
                service at once. Planned work stops during failures, so this
                is a separate loss and not added to the others.
        """
        accelerated: list[fleet.Worker] = []
        plain: list[fleet.Worker] = []
        for worker in workers:
            special = worker.resources.accelerators > 0
            (accelerated if special else plain).append(worker)
        chosen = _Choice(self.settings, planned)
        if need.accelerators > 0:
            part = capacity.Resources(accelerators=need.accelerators)
            chosen.extend(part, accelerated)
        # Hosts with accelerators serve other work only if no others are left.
        chosen.extend(need, plain)
        chosen.extend(need, accelerated)
        return chosen.result(need)

    def require_spare(
        self,
        needs: Mapping[identifiers.PoolId, capacity.Resources],
        workers: Iterable[fleet.Worker],
        planned: int = 0,
    ) -> SpareCapacityPlan:
        """Returns the plan for all pools together, which share spare hosts.

        A host belongs to one pool, so each pool's need is rounded up to whole
        hosts of the most common size that has the resources it needs.
        """
        hosts = list(workers)
        sizes = [
            size
            for size, _ in collections.Counter(
                worker.resources for worker in hosts
            ).most_common()
        ]
        total = capacity.NONE
        for need in needs.values():
            total += _round_up(need, sizes)
        return self.plan(total, hosts, planned)


def _round_up(
    need: capacity.Resources, sizes: list[capacity.Resources]
) -> capacity.Resources:
    for size in sizes:
        if not math.isinf(need.share_of(size)):
            whole = size.scale(capacity.count_hosts(need, size))
            return _maximum(need, whole)
    return need


class _Choice:
    """Hosts chosen so far and the largest losses among them."""

    def __init__(self, settings: BufferSettings, planned: int) -> None:
        self._settings = settings
        self._planned = planned
        self.chosen: set[identifiers.WorkerId] = set()
        self.total = capacity.NONE
        self.largest_host = capacity.NONE
        self.racks: dict[
            tuple[identifiers.ZoneId, identifiers.RackId], capacity.Resources
        ] = {}
        self.rack_hosts: collections.Counter[
            tuple[identifiers.ZoneId, identifiers.RackId]
        ] = collections.Counter()
        self.zones: dict[identifiers.ZoneId, capacity.Resources] = {}
        self.zone_hosts: collections.Counter[identifiers.ZoneId] = (
            collections.Counter()
        )
        self.largest_rack = capacity.NONE

    def extend(
        self, need: capacity.Resources, workers: list[fleet.Worker]
    ) -> None:
        """Adds hosts until `need` survives each loss, or none is left."""
        places: dict[
            identifiers.ZoneId, dict[identifiers.RackId, list[fleet.Worker]]
        ] = {}
        for worker in sorted(workers, key=lambda w: w.id, reverse=True):
            if worker.id not in self.chosen:
                racks = places.setdefault(worker.zone, {})
                racks.setdefault(worker.rack, []).append(worker)
        queues = {
            zone: [(self.rack_hosts[zone, rack], rack) for rack in racks]
            for zone, racks in places.items()
        }
        for queue in queues.values():
            heapq.heapify(queue)
        order = [(self.zone_hosts[zone], zone) for zone in queues]
        heapq.heapify(order)
        while order and not self.survives(need):
            used, zone = heapq.heappop(order)
            rack_used, rack = heapq.heappop(queues[zone])
            hosts = places[zone][rack]
            self._add(hosts.pop())
            if hosts:
                heapq.heappush(queues[zone], (rack_used + 1, rack))
            if queues[zone]:
                heapq.heappush(order, (used + 1, zone))

    def _add(self, worker: fleet.Worker) -> None:
        size = worker.resources
        place = (worker.zone, worker.rack)
        self.chosen.add(worker.id)
        self.total += size
        self.largest_host = _maximum(self.largest_host, size)
        self.racks[place] = self.racks.get(place, capacity.NONE) + size
        self.rack_hosts[place] += 1
        self.largest_rack = _maximum(self.largest_rack, self.racks[place])
        zone = worker.zone
        self.zones[zone] = self.zones.get(zone, capacity.NONE) + size
        self.zone_hosts[zone] += 1

    @property
    def random(self) -> int:
        """Number of hosts that may be lost to random failures."""
        return count_random_failures(
            len(self.chosen),
            self._settings.failure_probability,
            self._settings.confidence,
        )

    def survives(self, need: capacity.Resources) -> bool:
        """Whether the chosen hosts cover `need` after each loss alone."""
        if not self.total.covers(need):
            return False
        if self._settings.zone and not all(
            (self.total - zone).covers(need) for zone in self.zones.values()
        ):
            return False
        rack = self.largest_rack if self._settings.rack else capacity.NONE
        if not (self.total - rack).covers(need):
            return False
        hosts = max(self.random, min(self._planned, len(self.chosen)))
        return (self.total - self.largest_host.scale(hosts)).covers(need)

    def result(self, need: capacity.Resources) -> SpareCapacityPlan:
        """Returns the plan."""
        return SpareCapacityPlan(
            frozenset(self.chosen),
            self.total - need,
            self.random,
            max(self.rack_hosts.values(), default=0),
            max(self.zone_hosts.values(), default=0),
            self.survives(need),
        )


def _maximum(
    left: capacity.Resources, right: capacity.Resources
) -> capacity.Resources:
    return capacity.Resources(
        max(left.processors, right.processors),
        max(left.memory, right.memory),
        max(left.accelerators, right.accelerators),
    )


if __name__ == "__main__":
    SAMPLE = [
        fleet.Worker(
            identifiers.WorkerId(f"w{i}"),
            identifiers.ZoneId(f"z{i % 3}"),
            identifiers.RackId(f"r{i // 4}"),
        )
        for i in range(30)
    ]
    print(SpareCapacityPlanner().plan(capacity.DEFAULT.scale(12), SAMPLE))
