"""Bounded fair queues: which request starts next.

A team's usage is the slot-seconds charged to it over the whole fleet, weighed
with an exponential decay, divided by its share. The next start in a pool goes
to the waiting team with the lowest usage. Decay lets entries that see
different histories agree again without any agreement protocol, and a team
that comes back from idleness is raised to the level of the others, so that it
is neither owed for the past nor punished for using idle capacity.
"""

import collections
import dataclasses
import heapq
import itertools
import math
from collections.abc import Callable, Iterator, Mapping
from typing import Protocol

from clementinewood import identifiers, verdict
from clementinewood.priority import Priority

DECAY = 10.0
"""Time constant of usage in seconds.

A shorter one favours teams with long runs, whose usage fades while they run;
a longer one keeps disagreement between entries alive.
"""

URGENT_EXCESS = 1.5
"""Usage up to which urgent work goes first, relative to the neediest team.

Without a limit, a team that marks everything urgent takes the whole pool.
"""

MIN_ESTIMATE = 0.001
"""Smallest run time charged, in seconds; a free run would never lose turns."""


class TeamSpec(Protocol):
    """What the scheduler reads of a declared team."""

    @property
    def share(self) -> float: ...  # noqa: D102


class QueueSpec(Protocol):
    """What the scheduler reads of a declared queue."""

    @property
    def pool(self) -> identifiers.PoolId: ...  # noqa: D102
    @property
    def capacity(self) -> int: ...  # noqa: D102


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """A request that waits for a start.

    Attributes:
        request_id: Unique over the fleet.
        queue: Queue that holds it.
        team: Team charged for it.
        customer: Customer inside the team.
        priority: Class.
        deadline: Monotonic time by which its run should have ended.
        estimate: Declared run time in seconds; often far off.
    """

    request_id: identifiers.RequestId
    queue: identifiers.QueueId
    team: identifiers.TeamId
    customer: identifiers.CustomerId
    priority: Priority
    deadline: float
    estimate: float


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """What one entry tells its peers about a team.

    Attributes:
        queued: Requests waiting.
        running: Requests running.
        slot_seconds: Slot-seconds charged since the entry started: finished
            runs as measured, present runs as estimated.
    """

    queued: int = 0
    running: int = 0
    slot_seconds: float = 0.0


class RunEstimate:
    """Run time of one kind of request, learned from observed runs."""

    __slots__ = ("count", "deviation", "mean")

    PRIOR_RUNS = 2.0
    MAX_RUNS = 64

    def __init__(self) -> None:
        self.count = 0
        self.mean = 0.0
        self.deviation = 0.0

    def observe(self, seconds: float) -> None:
        """Adds one measured run."""
        self.count = min(self.count + 1, self.MAX_RUNS)
        error = seconds - self.mean
        self.mean += error / self.count
        self.deviation += (abs(error) - self.deviation) / self.count

    def expect(self, declared: float) -> float:
        """Returns the expected run time, given the declared one."""
        runs = self.count
        weight = runs + self.PRIOR_RUNS
        expected = (self.mean * runs + declared * self.PRIOR_RUNS) / weight
        return max(MIN_ESTIMATE, expected)


class _Item:
    """One job from submission to finish."""

    __slots__ = (
        "charged",
        "estimator",
        "job",
        "lane",
        "live",
        "pool",
        "started",
        "team",
    )

    def __init__(
        self,
        job: Job,
        team: "_Team",
        pool: "_Pool",
        lane: "_Lane",
        estimator: RunEstimate,
    ) -> None:
        self.job = job
        self.team = team
        self.pool = pool
        self.lane = lane
        self.estimator = estimator
        self.live = True
        self.started = 0.0
        self.charged = 0.0


class _DeadlineHeap:
    """Items of one customer by deadline; dead ones are dropped lazily."""

    __slots__ = ("_heap", "live")

    SLACK = 16

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, _Item]] = []
        self.live = 0

    def push(self, due: float, order: int, item: _Item) -> None:
        heapq.heappush(self._heap, (due, order, item))
        self.live += 1

    def head(self) -> _Item:
        while not self._heap[0][2].live:
            heapq.heappop(self._heap)
        return self._heap[0][2]

    def drop(self) -> None:
        """Counts one item as dead and compacts when most are."""
        self.live -= 1
        if len(self._heap) > 2 * self.live + self.SLACK:
            self._heap = [entry for entry in self._heap if entry[2].live]
            heapq.heapify(self._heap)


class _Lane:
    """Waiting jobs of one team in one pool and class."""

    __slots__ = ("customers", "live", "rotation", "team")

    def __init__(self, team: "_Team") -> None:
        self.team = team
        self.live = 0
        self.customers: dict[identifiers.CustomerId, _DeadlineHeap] = {}
        self.rotation: collections.deque[identifiers.CustomerId] = (
            collections.deque()
        )

    def push(self, order: int, item: _Item) -> None:
        customer = item.job.customer
        heap = self.customers.get(customer)
        if heap is None:
            heap = self.customers[customer] = _DeadlineHeap()
            self.rotation.append(customer)
        heap.push(item.job.deadline, order, item)
        self.live += 1

    def head(self) -> _Item:
        """Returns the next job; the lane must have one."""
        while True:
            customer = self.rotation[0]
            heap = self.customers[customer]
            if heap.live:
                return heap.head()
            self.rotation.popleft()
            del self.customers[customer]

    def advance(self) -> None:
        """Gives the turn to the next customer."""
        self.rotation.rotate(-1)

    def drop(self, item: _Item) -> None:
        self.live -= 1
        self.customers[item.job.customer].drop()


class _Pool:
    """Lanes with waiting jobs, by class and team."""

    __slots__ = ("level", "name", "promoted", "ready")

    def __init__(self, name: identifiers.PoolId) -> None:
        self.name = name
        self.ready: tuple[dict[identifiers.TeamId, _Lane], ...] = ({}, {}, {})
        self.promoted: set[identifiers.TeamId] = set()
        self.level = 0.0


class _Queue:
    """Occupancy of one bounded queue."""

    __slots__ = ("capacity", "counts", "items", "pool", "size")

    def __init__(self, pool: _Pool, capacity: int) -> None:
        self.pool = pool
        self.capacity = capacity
        self.size = 0
        self.counts: dict[identifiers.TeamId, int] = {}
        self.items: dict[
            identifiers.TeamId,
            dict[identifiers.CustomerId, dict[identifiers.RequestId, _Item]],
        ] = {}


class _Team:
    """Usage of one team; the decayed sums are scaled, see `_scale`."""

    __slots__ = (
        "lanes",
        "name",
        "own",
        "peers_waiting",
        "queued",
        "remote",
        "remote_active",
        "running",
        "slot_seconds",
        "weight",
    )

    def __init__(self, name: identifiers.TeamId, weight: float) -> None:
        self.name = name
        self.weight = weight
        self.queued = 0
        self.running = 0
        self.slot_seconds = 0.0
        self.own = 0.0
        self.remote = 0.0
        self.peers_waiting = 0
        self.remote_active = 0
        self.lanes: dict[tuple[identifiers.PoolId, int], _Lane] = {}


class _Peer:
    """Last report of one other entry."""

    __slots__ = ("own_then", "usage")

    def __init__(self) -> None:
        self.usage: dict[identifiers.TeamId, Usage] = {}
        self.own_then: dict[identifiers.TeamId, float] = {}


_NO_USAGE = Usage()
_MAX_EXPONENT = 200.0


class Scheduler:
    """Queues jobs and chooses the next to start.

    Args:
        teams: Declared teams.
        queues: Declared queues.
        entries: Number of entries that share each queue's capacity.
        decay: Time constant of usage in seconds.
    """

    def __init__(
        self,
        teams: Mapping[identifiers.TeamId, TeamSpec],
        queues: Mapping[identifiers.QueueId, QueueSpec],
        *,
        entries: int = 1,
        decay: float = DECAY,
    ) -> None:
        self._decay = decay
        self._epoch = 0.0
        self._order = itertools.count()
        self._teams: dict[identifiers.TeamId, _Team] = {}
        self._pools: dict[identifiers.PoolId, _Pool] = {}
        self._queues: dict[identifiers.QueueId, _Queue] = {}
        self._items: dict[identifiers.RequestId, _Item] = {}
        self._estimates: dict[
            tuple[identifiers.QueueId, identifiers.TeamId], RunEstimate
        ] = {}
        self._peers: dict[identifiers.Incarnation, _Peer] = {}
        self._scores: dict[identifiers.TeamId, float] = {}
        self._refused: list[tuple[Job, verdict.Refusal]] = []
        self._expiry: list[tuple[float, int, _Item]] = []
        self.configure(teams, queues, entries=entries)

    def configure(
        self,
        teams: Mapping[identifiers.TeamId, TeamSpec],
        queues: Mapping[identifiers.QueueId, QueueSpec],
        *,
        entries: int = 1,
    ) -> None:
        """Takes over a new bundle; waiting and running jobs stay."""
        for name, team in teams.items():
            known = self._teams.get(name)
            if known is None:
                self._teams[name] = _Team(name, team.share)
            else:
                known.weight = team.share
            self._update_score(self._teams[name], 1.0)
        for queue_name, spec in queues.items():
            pool = self._pools.setdefault(spec.pool, _Pool(spec.pool))
            capacity = max(1, -(-spec.capacity // entries))
            queue = self._queues.get(queue_name)
            if queue is None:
                self._queues[queue_name] = _Queue(pool, capacity)
            else:
                queue.pool = pool
                queue.capacity = capacity

    def submit(self, job: Job, now: float) -> verdict.Refusal | None:
        """Queues `job`, or refuses it at once.

        A full queue may take the job and evict one of a team that fills more
        than its part; `expire` returns evicted jobs.
        """
        queue = self._queues[job.queue]
        team = self._teams[job.team]
        estimator = self._estimator(job)
        if now + estimator.expect(job.estimate) > job.deadline:
            return verdict.Refusal(
                verdict.Reason.DEADLINE, detail="The deadline is too near."
            )
        if queue.size >= queue.capacity and not self._make_room(queue, job):
            return verdict.Refusal(
                verdict.Reason.QUEUE_FULL,
                detail="The queue is full.",
                retry_after=1.0,
            )
        if not team.queued and not team.running and not team.remote_active:
            self._raise(team, queue.pool.level)
        rank = job.priority.rank
        lane = team.lanes.get((queue.pool.name, rank))
        if lane is None:
            lane = team.lanes[queue.pool.name, rank] = _Lane(team)
        item = _Item(job, team, queue.pool, lane, estimator)
        order = next(self._order)
        lane.push(order, item)
        queue.pool.ready[rank][job.team] = lane
        heapq.heappush(self._expiry, (job.deadline, order, item))
        customers = queue.items.setdefault(job.team, {})
        customers.setdefault(job.customer, {})[job.request_id] = item
        queue.counts[job.team] = queue.counts.get(job.team, 0) + 1
        queue.size += 1
        team.queued += 1
        self._items[job.request_id] = item
        return None

    def pick(
        self,
        now: float,
        can_start: Callable[[Job], bool],
        *,
        pool: identifiers.PoolId | None = None,
    ) -> Job | None:
        """Returns the next job and marks it running.

        Args:
            now: Monotonic time.
            can_start: Whether there is capacity for a job. The answer may
                depend on its queue, pool and team, not on the job itself.
            pool: Only pool to look at; all when absent.
        """
        pools = self._pools.values() if pool is None else [self._pools[pool]]
        for candidate in pools:
            for lane in self._order_lanes(candidate):
                item = self._find_startable(lane, now)
                if item is not None and can_start(item.job):
                    self._start(item, now)
                    return item.job
        return None

    def finish(self, request_id: identifiers.RequestId, now: float) -> None:
        """Ends the run of a job and charges what it really took."""
        item = self._items.pop(request_id)
        seconds = max(0.0, now - item.started)
        item.estimator.observe(seconds)
        item.team.running -= 1
        self._charge(item.team, seconds - item.charged, now)

    def cancel(self, request_id: identifiers.RequestId) -> bool:
        """Removes a waiting job in constant time.

        Returns:
            False when it is not waiting: unknown, running or refused.
        """
        item = self._items.get(request_id)
        if item is None or not item.live:
            return False
        self._remove(item)
        del self._items[request_id]
        return True

    def expire(self, now: float) -> list[tuple[Job, verdict.Refusal]]:
        """Returns jobs that were refused after they had been queued."""
        while self._expiry and (
            not self._expiry[0][2].live or self._expiry[0][0] <= now
        ):
            item = heapq.heappop(self._expiry)[2]
            if item.live:
                self._shed(item)
        refused, self._refused = self._refused, []
        return refused

    def report_usage(
        self,
        member: identifiers.Incarnation,
        usage: Mapping[identifiers.TeamId, Usage],
        now: float,
    ) -> None:
        """Takes in another entry's usage of the teams that changed."""
        peer = self._peers.setdefault(member, _Peer())
        scale = self._scale(now)
        for name, report in usage.items():
            team = self._teams.get(name)
            if team is None:
                continue
            before = peer.usage.get(name, _NO_USAGE)
            team.remote += (report.slot_seconds - before.slot_seconds) * scale
            team.remote_active += bool(report.queued or report.running)
            team.remote_active -= bool(before.queued or before.running)
            peer.usage[name] = report
            self._update_score(team, scale)

    def usage(self) -> Mapping[identifiers.TeamId, Usage]:
        """Returns this entry's usage of every team."""
        return {
            name: Usage(team.queued, team.running, team.slot_seconds)
            for name, team in self._teams.items()
        }

    def _estimator(self, job: Job) -> RunEstimate:
        key = (job.queue, job.team)
        estimator = self._estimates.get(key)
        if estimator is None:
            estimator = self._estimates[key] = RunEstimate()
        return estimator

    def _order_lanes(self, pool: _Pool) -> Iterator[_Lane]:
        for ready in pool.ready:
            for name in sorted(ready, key=self._scores.__getitem__):
                yield ready[name]

    def _find_startable(self, lane: _Lane, now: float) -> _Item | None:
        while lane.live:
            item = lane.head()
            expected = item.estimator.expect(item.job.estimate)
            if now + expected <= item.job.deadline:
                return item
            self._shed(item)
        return None

    def _start(self, item: _Item, now: float) -> None:
        item.lane.advance()
        self._remove(item)
        team = item.team
        item.pool.level = self._scores[team.name]
        team.running += 1
        item.started = now
        item.charged = item.estimator.expect(item.job.estimate)
        self._charge(team, item.charged, now)

    def _shed(self, item: _Item) -> None:
        self._remove(item)
        del self._items[item.job.request_id]
        refusal = verdict.Refusal(
            verdict.Reason.DEADLINE,
            detail="No capacity came free before the deadline.",
        )
        self._refused.append((item.job, refusal))

    def _remove(self, item: _Item) -> None:
        """Takes a waiting item out of its lane and queue."""
        item.live = False
        job = item.job
        lane = item.lane
        lane.drop(item)
        if not lane.live:
            del item.pool.ready[job.priority.rank][job.team]
        queue = self._queues[job.queue]
        queue.size -= 1
        queue.counts[job.team] -= 1
        customers = queue.items[job.team]
        customers[job.customer].pop(job.request_id, None)
        if not customers[job.customer]:
            del customers[job.customer]
        if not queue.counts[job.team]:
            del queue.counts[job.team]
            del queue.items[job.team]
        item.team.queued -= 1

    def _make_room(self, queue: _Queue, job: Job) -> bool:
        """Evicts a job of the team that fills most of `queue` for its share.

        Returns:
            False when that is the submitter itself.
        """
        teams = self._teams
        mine = (queue.counts.get(job.team, 0) + 1) / teams[job.team].weight
        worst = max(
            queue.counts,
            key=lambda name: queue.counts[name] / teams[name].weight,
        )
        if queue.counts[worst] / teams[worst].weight < mine:
            return False
        customers = queue.items[worst]
        largest = max(customers, key=lambda name: len(customers[name]))
        _, item = customers[largest].popitem()
        self._remove(item)
        del self._items[item.job.request_id]
        refusal = verdict.Refusal(
            verdict.Reason.QUEUE_FULL,
            detail="The queue filled up with other teams' requests.",
            retry_after=1.0,
        )
        self._refused.append((item.job, refusal))
        return True

    def _scale(self, now: float) -> float:
        """Returns the weight of usage that accrues at `now`.

        Instead of fading all sums, later usage counts for more; the order of
        teams is the same and no sum has to be touched as time passes.
        """
        exponent = (now - self._epoch) / self._decay
        if exponent > _MAX_EXPONENT:
            factor = math.exp(-exponent)
            for team in self._teams.values():
                team.own *= factor
                team.remote *= factor
                self._scores[team.name] *= factor
            for pool in self._pools.values():
                pool.level *= factor
            self._epoch = now
            return 1.0
        return math.exp(exponent)

    def _charge(self, team: _Team, seconds: float, now: float) -> None:
        scale = self._scale(now)
        team.slot_seconds += seconds
        team.own += seconds * scale
        self._update_score(team, scale)

    def _raise(self, team: _Team, level: float) -> None:
        missing = level - self._scores[team.name]
        if missing > 0.0:
            team.remote += missing * team.weight
            self._scores[team.name] = level

    def _update_score(self, team: _Team, scale: float) -> None:
        self._scores[team.name] = (team.own + team.remote) / team.weight
