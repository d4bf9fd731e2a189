"""Bounded fair queues that choose which request starts next.

A team's usage is the slot-seconds charged to it over the whole fleet, with
exponential decay, divided by its share. The next start in a pool goes to the
waiting team with the lowest usage. Because of the decay, entries that saw
different histories converge without an agreement protocol. A team that
returns from idleness is raised to the usage of the others: it gets no credit
for the idle time and no penalty for having used idle capacity.
"""

import collections
import dataclasses
import heapq
import itertools
import math
from collections.abc import Callable, Iterator, Mapping
from typing import Any, Protocol

from clementinewood import identifiers, verdict
from clementinewood.priority import Priority

USAGE_DECAY_SECONDS = 20.0
"""Time constant of the usage decay, in seconds.

A shorter one follows the noise of single runs: with 10 s, the worst team of a
10 s window is 1.5% off its share on average, with 20 s 1.1%. A longer one
delays the convergence of entries.
"""

URGENT_START_SECONDS = 2.9
"""Seconds within which urgent work should start."""

URGENT_RELEASES = 3.0
"""Expected slot releases that make a reserved urgent slot unnecessary.

They are counted over `URGENT_START_SECONDS`. With three expected releases,
none happens in 5% of the cases.
"""

PROMOTED_SHARE_RATIO = 0.4
"""Fraction of a team's share at which its overnight work is promoted.

Promoted work alternates with the team's interactive work and so gets half of
the share; the difference allows for run times that vary.
"""

CRITICAL_SHARE_RATIO = 0.9
"""Fraction of a team's share at which its overnight work goes first."""

PROMOTION_PERIOD_SECONDS = 0.25
"""Seconds between checks of overnight deadlines."""

DEADLINE_BUCKET_SECONDS = 10.0
"""Width of the buckets that group overnight deadlines, in seconds."""

RUN_TIME_MARGIN_DEVIATIONS = 3.0
"""Mean deviations added to a run time when other jobs wait for the slot.

At 5x overload and a request timeout of 1 s, 11% of the work finishes too late
with one deviation, 4% with three.
"""

PREDICTED_WAIT_FACTOR = 1.2
"""Factor on the predicted wait of a new job.

Without it, jobs reach the head of a full queue just before their latest start
and half of them miss their deadline.
"""

PEER_MIDPOINT_RATIO = 0.5
"""Fraction of the assumed starts of peers that counts in midpoints.

With 0, teams with long runs relative to their share gain 1% over time; with
1, they lose 0.7%.
"""

MIN_SHARE = 1e-6
"""Smallest share; a team with less gets only what others leave unused."""

MIN_RUN_SECONDS = 0.001
"""Smallest expected run time in seconds; at zero, a run would add no usage."""


class TeamSpec(Protocol):
    """Fields of a declared team that the scheduler reads."""

    @property
    def share(self) -> float: ...  # noqa: D102


class QueueSpec(Protocol):
    """Fields of a declared queue that the scheduler reads."""

    @property
    def pool(self) -> identifiers.PoolId: ...  # noqa: D102
    @property
    def capacity(self) -> int: ...  # noqa: D102
    @property
    def priority(self) -> Any: ...  # noqa: D102


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """A request that waits for a start.

    Attributes:
        request_id: Unique over the fleet.
        queue: Queue that holds it.
        team: Team charged for it.
        customer: Customer of the team.
        priority: Priority class.
        deadline: Monotonic time in seconds by which its run should end.
        estimate: Declared run time in seconds; often inaccurate.
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
    """Usage of a team that one entry reports to its peers.

    Attributes:
        queued: Requests waiting.
        running: Requests running.
        slot_seconds: Slot-seconds charged since the entry started: finished
            runs as measured, current runs as estimated.
        urgent_seconds: Slot-seconds of these that urgent work took.
        raised: Slot-seconds by which the entry has raised the team after
            idleness, decayed to the time of the report. Without it, entries
            that raise a team separately would order it differently for tens
            of seconds.
    """

    queued: int = 0
    running: int = 0
    slot_seconds: float = 0.0
    urgent_seconds: float = 0.0
    raised: float = 0.0


class RunEstimate:
    """Estimates the run time of one kind of request from observed runs."""

    __slots__ = ("count", "deviation", "mean", "next_probe_at")

    PRIOR_RUNS = 2.0
    MAX_RUNS = 64
    TRUSTED_RUNS = 3
    PROBE_PERIOD_SECONDS = 10.0

    def __init__(self) -> None:
        self.count = 0
        self.mean = 0.0
        self.deviation = 0.0
        self.next_probe_at = 0.0

    def observe(self, seconds: float) -> None:
        """Adds one measured run time in seconds."""
        self.count = min(self.count + 1, self.MAX_RUNS)
        error = seconds - self.mean
        self.mean += error / self.count
        self.deviation += (abs(error) - self.deviation) / self.count

    def expect(self, declared: float) -> float:
        """Returns the expected run time for a declared one, both in seconds."""
        runs = self.count
        weight = runs + self.PRIOR_RUNS
        expected = (self.mean * runs + declared * self.PRIOR_RUNS) / weight
        return max(MIN_RUN_SECONDS, expected)

    def required_seconds(self, deviations: float = 0.0) -> float:
        """Returns the seconds a start must precede its deadline.

        Declared run times are not used: a request refused because of one
        would never run and so never correct the estimate.
        """
        if self.count < self.TRUSTED_RUNS:
            return 0.0
        return self.mean + deviations * self.deviation

    def try_start_probe(self, now: float) -> bool:
        """Whether one request may run despite the estimate, to check it.

        Without probes, an estimate that is too long would refuse every
        request and never be corrected.
        """
        if now < self.next_probe_at:
            return False
        self.next_probe_at = now + self.PROBE_PERIOD_SECONDS
        return True


class _Item:
    """State of one job from submission to the end of its run."""

    __slots__ = (
        "charged",
        "estimator",
        "expected",
        "job",
        "team_queue",
        "live",
        "pool",
        "started",
        "team",
        "probe",
    )

    def __init__(
        self,
        job: Job,
        team: "_Team",
        pool: "_Pool",
        team_queue: "_TeamQueue",
        estimator: RunEstimate,
    ) -> None:
        self.job = job
        self.team = team
        self.pool = pool
        self.team_queue = team_queue
        self.estimator = estimator
        self.live = True
        self.probe = False
        self.started = 0.0
        self.expected = 0.0
        self.charged = 0.0


class _DeadlineHeap:
    """Items of one customer by deadline; removed ones are dropped lazily."""

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
        """Counts one item as removed and compacts when most are."""
        self.live -= 1
        if len(self._heap) > 2 * self.live + self.SLACK:
            self._heap = [entry for entry in self._heap if entry[2].live]
            heapq.heapify(self._heap)


class _TeamQueue:
    """Waiting jobs of one team in one pool and priority class."""

    __slots__ = (
        "buckets",
        "customers",
        "interval",
        "last_start",
        "live",
        "running",
        "team",
    )

    SMOOTHING = 1.0 / 16.0

    def __init__(self, team: "_Team") -> None:
        self.team = team
        self.live = 0
        self.running = 0
        # The first customer starts next.
        self.customers: collections.OrderedDict[
            identifiers.CustomerId, _DeadlineHeap
        ] = collections.OrderedDict()
        self.buckets: dict[int, int] | None = None
        self.interval = 0.0
        self.last_start: float | None = None

    def push(self, order: int, item: _Item) -> None:
        customer = item.job.customer
        heap = self.customers.get(customer)
        if heap is None:
            heap = self.customers[customer] = _DeadlineHeap()
        heap.push(item.job.deadline, order, item)
        self.live += 1
        if self.buckets is not None:
            bucket = _bucket(item)
            self.buckets[bucket] = self.buckets.get(bucket, 0) + 1

    def head(self) -> _Item:
        """Returns the next job; the queue must not be empty."""
        return next(iter(self.customers.values())).head()

    def advance(self) -> None:
        """Moves the first customer to the end."""
        self.customers.move_to_end(next(iter(self.customers)))

    def drop(self, item: _Item) -> None:
        self.live -= 1
        heap = self.customers[item.job.customer]
        heap.drop()
        if not heap.live:
            del self.customers[item.job.customer]
        if self.buckets is not None:
            bucket = _bucket(item)
            self.buckets[bucket] -= 1
            if not self.buckets[bucket]:
                del self.buckets[bucket]

    def record_start(self, now: float) -> None:
        """Updates the mean time between starts while jobs keep waiting."""
        if self.last_start is not None:
            step = now - self.last_start
            if self.interval:
                step = self.interval + (step - self.interval) * self.SMOOTHING
            self.interval = step
        self.last_start = now if self.live else None

    def predict_wait(self, job: Job, now: float) -> float:
        """Returns the seconds a new job is likely to wait behind others."""
        if self.last_start is None:
            return 0.0
        heap = self.customers.get(job.customer)
        if heap is None:
            return 0.0
        if heap.head().job.deadline > job.deadline:
            return 0.0
        ahead = min(self.live, heap.live * len(self.customers))
        return ahead * max(self.interval, now - self.last_start)


def _drop_small(usage_offset: float) -> float:
    """Returns 0 for a negligible offset, so that it is no longer reported."""
    return usage_offset if usage_offset > 0.001 else 0.0


def _bucket(item: _Item) -> int:
    return int(min(item.job.deadline, 1e15) // DEADLINE_BUCKET_SECONDS)


class _Pool:
    """Slots of a pool and its non-empty team queues by class and team."""

    __slots__ = (
        "balance",
        "fleet_slots",
        "reserves_urgent_slot",
        "virtual_times",
        "name",
        "own_slots",
        "promoted",
        "ready",
        "release_rate",
        "running",
    )

    def __init__(self, name: identifiers.PoolId) -> None:
        self.name = name
        self.ready: tuple[dict[identifiers.TeamId, _TeamQueue], ...] = (
            {},
            {},
            {},
        )
        # Teams whose overnight work is promoted, and whether it goes first.
        self.promoted: dict[identifiers.TeamId, bool] = {}
        self.balance: dict[identifiers.TeamId, float] = {}
        self.virtual_times = [0.0, 0.0, 0.0]
        self.own_slots: int | None = None
        self.fleet_slots = 0
        self.reserves_urgent_slot = False
        self.running = 0
        self.release_rate = 0.0


_Customers = dict[identifiers.CustomerId, dict[identifiers.RequestId, _Item]]


class _Queue:
    """Waiting jobs of one bounded queue."""

    __slots__ = ("capacity", "counts", "items", "pool", "size")

    def __init__(self, pool: _Pool, capacity: int) -> None:
        self.pool = pool
        self.capacity = capacity
        self.size = 0
        self.counts: dict[identifiers.TeamId, int] = {}
        self.items: dict[identifiers.TeamId, tuple[_Customers, ...]] = {}

    def add(self, item: _Item) -> None:
        job = item.job
        self.size += 1
        count = self.counts.get(job.team, 0)
        self.counts[job.team] = count + 1
        if not count:
            self.items[job.team] = ({}, {}, {})
        customers = self.items[job.team][job.priority.rank]
        waiting = customers.get(job.customer)
        if waiting is None:
            waiting = customers[job.customer] = {}
        waiting[job.request_id] = item

    def remove(self, item: _Item) -> None:
        job = item.job
        self.size -= 1
        customers = self.items[job.team][job.priority.rank]
        customers[job.customer].pop(job.request_id, None)
        if not customers[job.customer]:
            del customers[job.customer]
        self.counts[job.team] -= 1
        if not self.counts[job.team]:
            del self.counts[job.team]
            del self.items[job.team]

    def pop_newest(self, team: identifiers.TeamId, rank: int) -> _Item:
        """Returns the newest job of the customer with the most in a class.

        The caller removes it. `popitem` stays cheap after deletions from the
        dictionary; iterating to its last item does not.
        """
        customers = self.items[team][rank]
        largest = max(customers, key=lambda name: len(customers[name]))
        return customers[largest].popitem()[1]


class _Team:
    """Usage of one team, in slot-seconds scaled by `Scheduler._scale`.

    The estimate of the fleet's usage is
    `local_usage * (1 + peers_waiting) + remote_usage + usage_offset`: a peer on
    which the team waits too is assumed to start as much of its work as this
    entry does until the peer's next report. Otherwise all entries would
    compensate for the same deficit at once.
    """

    __slots__ = (
        "cost",
        "team_queues",
        "name",
        "local_usage",
        "peers_waiting",
        "queued",
        "usage_offset",
        "local_usage_offset",
        "remote_usage",
        "running",
        "slot_seconds",
        "urgent_usage",
        "urgent_seconds",
        "weight",
    )

    def __init__(self, name: identifiers.TeamId, weight: float) -> None:
        self.name = name
        self.weight = weight
        self.queued = 0
        self.running = 0
        self.slot_seconds = 0.0
        self.urgent_seconds = 0.0
        self.local_usage = 0.0
        self.remote_usage = 0.0
        self.urgent_usage = 0.0
        self.usage_offset = 0.0
        self.local_usage_offset = 0.0
        self.cost = 0.0
        self.peers_waiting = 0
        self.team_queues: dict[tuple[identifiers.PoolId, int], _TeamQueue] = {}

    def rescale(self, factor: float) -> None:
        self.local_usage *= factor
        self.remote_usage *= factor
        self.urgent_usage *= factor
        self.usage_offset *= factor
        self.local_usage_offset *= factor


class _Peer:
    """Last report of one other entry."""

    __slots__ = ("local_usage_at_report", "usage_offset", "usage", "waiting")

    def __init__(self) -> None:
        self.usage: dict[identifiers.TeamId, Usage] = {}
        self.local_usage_at_report: dict[identifiers.TeamId, float] = {}
        self.usage_offset: dict[identifiers.TeamId, float] = {}
        self.waiting: set[identifiers.TeamId] = set()


_NO_USAGE = Usage()
_MAX_EXPONENT = 200.0
_URGENT = Priority.URGENT.rank
_INTERACTIVE = Priority.INTERACTIVE.rank
_OVERNIGHT = Priority.OVERNIGHT.rank


class Scheduler:
    """Queues jobs and chooses the next one to start.

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
        decay: float = USAGE_DECAY_SECONDS,
    ) -> None:
        self._decay = decay
        self._epoch = 0.0
        self._latest = 0.0
        self._entries = entries
        self._order = itertools.count()
        self._teams: dict[identifiers.TeamId, _Team] = {}
        self._pools: dict[identifiers.PoolId, _Pool] = {}
        self._queues: dict[identifiers.QueueId, _Queue] = {}
        self._items: dict[identifiers.RequestId, _Item] = {}
        self._estimates: dict[
            tuple[identifiers.QueueId, identifiers.TeamId, int], RunEstimate
        ] = {}
        self._peers: dict[identifiers.Incarnation, _Peer] = {}
        self._scores: dict[identifiers.TeamId, float] = {}
        self._refused: list[tuple[Job, verdict.Refusal]] = []
        self._expiry: list[tuple[float, int, _Item]] = []
        self._overruns: list[tuple[float, int, _Item]] = []
        self._waiting = 0
        self._next_promotion = -math.inf
        self.configure(teams, queues, entries=entries)

    def configure(
        self,
        teams: Mapping[identifiers.TeamId, TeamSpec],
        queues: Mapping[identifiers.QueueId, QueueSpec],
        *,
        entries: int = 1,
    ) -> None:
        """Applies the teams and queues of a new bundle.

        Running jobs stay. Waiting jobs whose queue or team no longer exists
        are refused; `collect_refused` returns them.
        """
        self._entries = entries
        self._refuse_removed(teams, queues)
        for queue_name in self._queues.keys() - queues.keys():
            del self._queues[queue_name]
        for team_name in self._teams.keys() - teams.keys():
            del self._teams[team_name]
            del self._scores[team_name]
            for peer in self._peers.values():
                peer.usage.pop(team_name, None)
                peer.waiting.discard(team_name)
        for name, team in teams.items():
            known = self._teams.get(name)
            share = max(MIN_SHARE, team.share)
            if known is None:
                known = self._teams[name] = _Team(name, share)
                self._scores[name] = 0.0
            elif known.weight != share:
                # Usage is scaled with the share, so that a raised share gives
                # no credit for the time before.
                factor = share / known.weight
                used = known.local_usage * (1 + known.peers_waiting)
                known.remote_usage = (used + known.remote_usage) * factor - used
                known.usage_offset *= factor
                known.local_usage_offset *= factor
                known.weight = share
                self._scores[name] = self._score(known, 0.0)
        for pool in self._pools.values():
            pool.reserves_urgent_slot = False
        for queue_name, spec in queues.items():
            pool = self._pools.setdefault(spec.pool, _Pool(spec.pool))
            capacity = max(1, -(-spec.capacity // entries))
            queue = self._queues.get(queue_name)
            if queue is None:
                queue = self._queues[queue_name] = _Queue(pool, capacity)
            queue.capacity = capacity
            if queue.pool is not pool:
                self._move(queue, pool)
            if spec.priority.name == "URGENT":
                pool.reserves_urgent_slot = True

    def set_slots(
        self, pool: identifiers.PoolId, *, own: int, fleet: int
    ) -> None:
        """Sets how many slots of `pool` this entry and the fleet have.

        They are needed to promote overnight work before its deadline and to
        reserve a slot for urgent work; without them neither is done.
        """
        known = self._pools.setdefault(pool, _Pool(pool))
        known.own_slots = own
        known.fleet_slots = fleet

    def submit(self, job: Job, now: float) -> verdict.Refusal | None:
        """Queues `job` and returns None, or returns why it is refused.

        A full queue may accept the job and evict one of a team that uses more
        of the queue for its share; `collect_refused` returns evicted jobs.

        Raises:
            ValueError: A job with this request id is queued or running.
        """
        queue = self._queues.get(job.queue)
        team = self._teams.get(job.team)
        if queue is None or team is None:
            return verdict.Refusal(
                verdict.Reason.QUEUE_UNKNOWN,
                detail="The configuration has no such queue or team.",
            )
        if job.request_id in self._items:
            raise ValueError(
                f"request {job.request_id} is already queued or running"
            )
        estimator = self._estimator(job)
        rank = job.priority.rank
        pool = queue.pool
        team_queue = self._find_team_queue(job, pool)
        wait = 0.0
        if team_queue.live and rank != _OVERNIGHT:
            wait = team_queue.predict_wait(job, now) * PREDICTED_WAIT_FACTOR
        needed = estimator.required_seconds(
            RUN_TIME_MARGIN_DEVIATIONS if wait else 0.0
        )
        probe = False
        if now + wait + needed > job.deadline:
            probe = now + wait <= job.deadline and estimator.try_start_probe(
                now
            )
            if not probe:
                return verdict.Refusal(
                    verdict.Reason.DEADLINE,
                    detail="It would start too late for its deadline.",
                    retry_after=wait or None,
                )
        if queue.size >= queue.capacity and not self._make_room(queue, job):
            return verdict.Refusal(
                verdict.Reason.QUEUE_FULL,
                detail="The queue is full.",
                retry_after=max(1.0, wait),
            )
        if not team.queued and not team.peers_waiting:
            self._advance_to_virtual_time(team, pool.virtual_times[rank])
        self._enqueue(job, queue, team_queue, estimator, probe=probe)
        return None

    def expect_run(self, job: Job) -> float:
        """Returns the expected run time of `job` in seconds."""
        return self._estimator(job).expect(job.estimate)

    def start_next(
        self,
        now: float,
        can_start: Callable[[Job], bool],
        *,
        pool: identifiers.PoolId | None = None,
    ) -> Job | None:
        """Returns the next job and marks it running.

        Args:
            now: Monotonic time.
            can_start: Returns whether there is capacity for a job. The result
                may depend on its queue, pool and team, not on the job itself.
                It is called for each waiting team until one may start, so
                callers should first check that the pool has a free slot.
            pool: Pool to start from; any if None.
        """
        pools = self._pools.values() if pool is None else [self._pools[pool]]
        for candidate in pools:
            blocked: set[identifiers.TeamId] = set()
            for team_queue in self._order_team_queues(candidate):
                if team_queue.team.name in blocked:
                    continue
                item = self._find_startable(team_queue, now)
                if item is None or self._must_reserve_urgent_slot(item):
                    continue
                if can_start(item.job):
                    self._start(item, now)
                    return item.job
                blocked.add(team_queue.team.name)
        return None

    def has_waiting(self, pool: identifiers.PoolId) -> bool:
        """Whether any job waits for `pool`."""
        return any(self._pools[pool].ready)

    def finish(self, request_id: identifiers.RequestId, now: float) -> None:
        """Ends the run of a job and charges its measured run time.

        Raises:
            ValueError: The job is still waiting.
            KeyError: There is no such job.
        """
        item = self._items[request_id]
        if item.live:
            raise ValueError(f"request {request_id} is waiting, not running")
        del self._items[request_id]
        seconds = max(0.0, now - item.started)
        item.estimator.observe(seconds)
        item.team.running -= 1
        item.team_queue.running -= 1
        pool = item.pool
        pool.running -= 1
        # Reset when idle: rounding errors would add up over millions of runs.
        pool.release_rate = (
            pool.release_rate - 1.0 / item.expected if pool.running else 0.0
        )
        self._charge(item, seconds - item.charged, now)

    def cancel(self, request_id: identifiers.RequestId) -> bool:
        """Removes a waiting job, in amortised constant time.

        Returns:
            False if it is not waiting: unknown, running or refused.
        """
        item = self._items.get(request_id)
        if item is None or not item.live:
            return False
        self._remove(item)
        del self._items[request_id]
        return True

    def collect_refused(self, now: float) -> list[tuple[Job, verdict.Refusal]]:
        """Returns jobs that were refused after they had been queued.

        Must be called after each `submit` and at least every 250 ms, since it
        also charges runs that exceed their estimate and promotes overnight
        work.
        """
        self._latest = now
        expiry = self._expiry
        while expiry and (not expiry[0][2].live or expiry[0][0] <= now):
            item = heapq.heappop(expiry)[2]
            if item.live:
                self._refuse_late(item)
        if now >= self._next_promotion:
            self._next_promotion = now + PROMOTION_PERIOD_SECONDS
            self._charge_overruns(now)
            self._promote(now)
        refused, self._refused = self._refused, []
        return refused

    def apply_peer_usage(
        self,
        member: identifiers.Incarnation,
        usage: Mapping[identifiers.TeamId, Usage],
        now: float,
    ) -> None:
        """Applies another entry's usage report.

        Args:
            member: Reporting entry.
            usage: Teams whose usage changed since its last report.
            now: Monotonic time.
        """
        peer = self._peers.setdefault(member, _Peer())
        scale = self._scale(now)
        for name in peer.waiting | usage.keys():
            team = self._teams.get(name)
            if team is None:
                continue
            before = peer.usage.get(name, _NO_USAGE)
            report = usage.get(name, before)
            if name in peer.waiting:
                team.peers_waiting -= 1
                team.remote_usage += peer.local_usage_at_report[name]
                peer.waiting.discard(name)
            charged = report.slot_seconds - before.slot_seconds
            team.remote_usage += charged * scale
            team.urgent_usage += (
                report.urgent_seconds - before.urgent_seconds
            ) * scale
            if report.queued:
                team.peers_waiting += 1
                team.remote_usage -= team.local_usage
                peer.local_usage_at_report[name] = team.local_usage
                peer.waiting.add(name)
            peer.usage[name] = report
            if report.raised or before.raised:
                peer.usage_offset[name] = report.raised * scale
                self._merge_usage_offsets(team)
            self._scores[name] = self._score(team, scale)

    def forget_member(self, member: identifiers.Incarnation) -> None:
        """Removes an entry that left; its past usage decays with time."""
        peer = self._peers.pop(member, _Peer())
        for name in peer.waiting:
            team = self._teams[name]
            team.peers_waiting -= 1
            team.remote_usage += peer.local_usage_at_report[name]
            self._scores[name] = self._score(team, 0.0)
        for name, offset in peer.usage_offset.items():
            if name in self._teams:
                team = self._teams[name]
                team.local_usage_offset = max(team.local_usage_offset, offset)

    def usage(self) -> Mapping[identifiers.TeamId, Usage]:
        """Returns this entry's usage of every team, as of the last call."""
        scale = self._scale(self._latest)
        return {
            name: Usage(
                team.queued,
                team.running,
                team.slot_seconds,
                team.urgent_seconds,
                _drop_small(team.local_usage_offset / scale),
            )
            for name, team in self._teams.items()
        }

    def _find_team_queue(self, job: Job, pool: _Pool) -> _TeamQueue:
        rank = job.priority.rank
        team = self._teams[job.team]
        team_queue = team.team_queues.get((pool.name, rank))
        if team_queue is None:
            team_queue = team.team_queues[pool.name, rank] = _TeamQueue(team)
            if rank == _OVERNIGHT:
                team_queue.buckets = {}
        return team_queue

    def _enqueue(
        self,
        job: Job,
        queue: _Queue,
        team_queue: _TeamQueue,
        estimator: RunEstimate,
        *,
        probe: bool = False,
    ) -> None:
        pool = queue.pool
        item = _Item(job, team_queue.team, pool, team_queue, estimator)
        item.probe = probe
        order = next(self._order)
        team_queue.push(order, item)
        pool.ready[job.priority.rank][job.team] = team_queue
        heapq.heappush(self._expiry, (job.deadline, order, item))
        queue.add(item)
        team_queue.team.queued += 1
        self._waiting += 1
        self._items[job.request_id] = item

    def _estimator(self, job: Job) -> RunEstimate:
        key = (job.queue, job.team, job.priority.rank)
        estimator = self._estimates.get(key)
        if estimator is None:
            estimator = self._estimates[key] = RunEstimate()
        return estimator

    def _order_team_queues(self, pool: _Pool) -> Iterator[_TeamQueue]:
        """Yields team queues in the order in which they may start.

        Urgent queues go first while the urgent usage of their team is within
        its fair share; beyond that they compete with interactive ones.
        """
        urgent, interactive, overnight = pool.ready
        contenders: Mapping[identifiers.TeamId, object] = interactive
        if urgent or pool.promoted:
            contenders = {
                **interactive,
                **urgent,
                **{name: None for name in pool.promoted if name in overnight},
            }
        if urgent:
            floor = min(
                (
                    self._scores[name]
                    for name in contenders
                    if name in interactive or name in pool.promoted
                ),
                default=math.inf,
            )
            for name in self._by_score(urgent):
                team = self._teams[name]
                team_queue = urgent.get(name)
                if (
                    team_queue is not None
                    and team.urgent_usage <= floor * team.weight
                ):
                    yield team_queue
        for name in self._by_score(contenders):
            yield from self._order_classes(pool, name)
        for name in self._by_score(overnight):
            team_queue = overnight.get(name)
            if team_queue is not None:
                yield team_queue

    def _order_classes(
        self, pool: _Pool, name: identifiers.TeamId
    ) -> Iterator[_TeamQueue]:
        """Yields the queues of one team; promoted overnight work alternates."""
        ranks = [_URGENT, _INTERACTIVE]
        if name in pool.promoted:
            first = pool.promoted[name]
            before = first or pool.balance.get(name, 0.0) <= 0.0
            ranks.insert(1 if before else 2, _OVERNIGHT)
        for rank in ranks:
            team_queue = pool.ready[rank].get(name)
            if team_queue is not None:
                yield team_queue

    def _by_score(
        self, names: Mapping[identifiers.TeamId, object]
    ) -> Iterator[identifiers.TeamId]:
        """Yields teams by usage; sorts only if the first can't start."""
        if not names:
            return
        score = self._scores.__getitem__
        first = min(names, key=score)
        yield first
        rest = [name for name in names if name != first]
        rest.sort(key=score)
        yield from rest

    def _find_startable(
        self, team_queue: _TeamQueue, now: float
    ) -> _Item | None:
        while team_queue.live:
            item = team_queue.head()
            needed = 0.0
            if not item.probe:
                needed = item.estimator.required_seconds(
                    RUN_TIME_MARGIN_DEVIATIONS if team_queue.live > 1 else 0.0
                )
            if now + needed <= item.job.deadline:
                return item
            self._refuse_late(item)
        return None

    def _must_reserve_urgent_slot(self, item: _Item) -> bool:
        """Whether a start would take the slot reserved for urgent work."""
        pool = item.pool
        if (
            not pool.reserves_urgent_slot
            or pool.own_slots is None
            or pool.own_slots < 2
            or pool.running < pool.own_slots - 1
            or item.job.priority is Priority.URGENT
        ):
            return False
        expected = item.estimator.expect(item.job.estimate)
        if expected <= URGENT_START_SECONDS / URGENT_RELEASES:
            return False
        releases = (pool.release_rate + 1.0 / expected) * URGENT_START_SECONDS
        return releases < URGENT_RELEASES

    def _start(self, item: _Item, now: float) -> None:
        team_queue = item.team_queue
        team = item.team
        pool = item.pool
        rank = item.job.priority.rank
        team_queue.advance()
        self._remove(item)
        team_queue.record_start(now)
        pool.virtual_times[rank] = max(
            pool.virtual_times[rank], self._scores[team.name]
        )
        expected = item.estimator.expect(item.job.estimate)
        if team.name in pool.promoted and rank != _URGENT:
            self._balance(pool, team, rank, expected)
        team.running += 1
        team_queue.running += 1
        pool.running += 1
        pool.release_rate += 1.0 / expected
        item.started = now
        item.expected = expected
        heapq.heappush(
            self._overruns, (now + expected, next(self._order), item)
        )
        self._charge(item, expected, now)

    def _balance(
        self, pool: _Pool, team: _Team, rank: int, expected: float
    ) -> None:
        other = _INTERACTIVE if rank == _OVERNIGHT else _OVERNIGHT
        if team.name not in pool.ready[other]:
            pool.balance[team.name] = 0.0
            return
        step = expected if rank == _OVERNIGHT else -expected
        pool.balance[team.name] = pool.balance.get(team.name, 0.0) + step

    def _refuse_late(self, item: _Item) -> None:
        self._refuse(
            item,
            verdict.Refusal(
                verdict.Reason.DEADLINE,
                detail="No capacity came free before the deadline.",
            ),
        )

    def _refuse(self, item: _Item, refusal: verdict.Refusal) -> None:
        self._remove(item)
        del self._items[item.job.request_id]
        self._refused.append((item.job, refusal))

    def _refuse_removed(
        self,
        teams: Mapping[identifiers.TeamId, TeamSpec],
        queues: Mapping[identifiers.QueueId, QueueSpec],
    ) -> None:
        refusal = verdict.Refusal(
            verdict.Reason.QUEUE_UNKNOWN,
            detail="The configuration no longer has this queue or team.",
        )
        for item in list(self._items.values()):
            job = item.job
            if item.live and not (job.queue in queues and job.team in teams):
                self._refuse(item, refusal)

    def _move(self, queue: _Queue, pool: _Pool) -> None:
        """Moves the waiting jobs of a queue to another pool."""
        jobs = [
            item.job
            for classes in queue.items.values()
            for customers in classes
            for items in customers.values()
            for item in items.values()
        ]
        for job in jobs:
            self._remove(self._items[job.request_id])
        queue.pool = pool
        for job in jobs:
            self._enqueue(
                job,
                queue,
                self._find_team_queue(job, pool),
                self._estimator(job),
            )

    def _remove(self, item: _Item) -> None:
        """Takes a waiting item out of its queue and its team's queue."""
        item.live = False
        job = item.job
        team_queue = item.team_queue
        team_queue.drop(item)
        if not team_queue.live:
            del item.pool.ready[job.priority.rank][job.team]
            team_queue.last_start = None
        self._queues[job.queue].remove(item)
        item.team.queued -= 1
        self._waiting -= 1
        if len(self._expiry) > 2 * self._waiting + 256:
            self._expiry = [entry for entry in self._expiry if entry[2].live]
            heapq.heapify(self._expiry)

    def _make_room(self, queue: _Queue, job: Job) -> bool:
        """Evicts a job of the team that uses most of `queue` for its share.

        If that is the submitting team, evicts one of its own jobs of a lower
        class, or one of a customer that has more jobs.

        Returns:
            False if no job may be evicted for `job`.
        """
        teams = self._teams
        counts = queue.counts
        worst = max(counts, key=lambda name: counts[name] / teams[name].weight)
        mine = (counts.get(job.team, 0) + 1) / teams[job.team].weight
        if counts[worst] / teams[worst].weight > mine and worst != job.team:
            classes = queue.items[worst]
            rank = max(rank for rank in range(3) if classes[rank])
        elif job.team in counts:
            classes = queue.items[job.team]
            rank = max(rank for rank in range(3) if classes[rank])
            if rank < job.priority.rank:
                return False
            if rank == job.priority.rank:
                customers = classes[rank]
                most = max(map(len, customers.values()))
                if most <= len(customers.get(job.customer, ())) + 1:
                    return False
            worst = job.team
        else:
            return False
        self._refuse(
            queue.pop_newest(worst, rank),
            verdict.Refusal(
                verdict.Reason.QUEUE_FULL,
                detail="The queue is full and others go first.",
                retry_after=1.0,
            ),
        )
        return True

    def _promote(self, now: float) -> None:
        """Promotes overnight work that would otherwise miss its deadline."""
        active = sum(
            team.weight
            for team in self._teams.values()
            if team.queued or team.running or team.peers_waiting
        )
        for pool in self._pools.values():
            if pool.ready[_OVERNIGHT] or pool.promoted:
                slots = pool.fleet_slots / self._entries
                pool.promoted = {}
                for name, team_queue in pool.ready[_OVERNIGHT].items():
                    part = slots * team_queue.team.weight / active
                    if self._would_miss_deadline(
                        team_queue, part * PROMOTED_SHARE_RATIO, now
                    ):
                        pool.promoted[name] = self._would_miss_deadline(
                            team_queue, part * CRITICAL_SHARE_RATIO, now
                        )

    def _would_miss_deadline(
        self, team_queue: _TeamQueue, slots: float, now: float
    ) -> bool:
        """Whether overnight work misses a deadline unless it gets `slots` now.

        While its run time is unknown, one run at a time is promoted to
        measure it, since declared run times may be much too short.
        """
        assert team_queue.buckets is not None
        head = team_queue.head()
        if head.estimator.count < RunEstimate.TRUSTED_RUNS:
            if not team_queue.running:
                return True
            run = head.estimator.expect(head.job.estimate)
        else:
            run = head.estimator.mean
        # A run with less time than this before its deadline is refused.
        last = max(
            run, head.estimator.required_seconds(RUN_TIME_MARGIN_DEVIATIONS)
        )
        work = 0.0
        for bucket in sorted(team_queue.buckets):
            work += team_queue.buckets[bucket] * run
            latest = bucket * DEADLINE_BUCKET_SECONDS - work / max(slots, 1e-3)
            if now + PROMOTION_PERIOD_SECONDS >= latest - last:
                return True
        return False

    def _charge_overruns(self, now: float) -> None:
        """Charges runs that exceed the run time charged so far.

        Each time, half of the elapsed time is added, so that the number of
        charges per run is logarithmic in its run time.
        """
        overruns = self._overruns
        while overruns and overruns[0][0] <= now:
            _, order, item = heapq.heappop(overruns)
            if self._items.get(item.job.request_id) is item:
                elapsed = now - item.started
                self._charge(item, elapsed * 1.5 - item.charged, now)
                due = item.started + item.charged
                heapq.heappush(overruns, (due, order, item))

    def _scale(self, now: float) -> float:
        """Returns the weight of usage that accrues at `now`.

        Later usage gets a larger weight instead of decaying all sums; the
        order of teams is the same and no sum changes as time passes.
        """
        self._latest = now
        exponent = (now - self._epoch) / self._decay
        if exponent > _MAX_EXPONENT:
            factor = math.exp(-exponent)
            for team in self._teams.values():
                team.rescale(factor)
                self._scores[team.name] *= factor
            for pool in self._pools.values():
                pool.virtual_times = [
                    time * factor for time in pool.virtual_times
                ]
            for peer in self._peers.values():
                for name in peer.local_usage_at_report:
                    peer.local_usage_at_report[name] *= factor
                for name in peer.usage_offset:
                    peer.usage_offset[name] *= factor
            self._epoch = now
            return 1.0
        return math.exp(exponent)

    def _charge(self, item: _Item, seconds: float, now: float) -> None:
        item.charged += seconds
        team = item.team
        scale = self._scale(now)
        team.slot_seconds += seconds
        team.local_usage += seconds * scale
        team.cost += (item.charged - team.cost) * _TeamQueue.SMOOTHING
        if item.job.priority is Priority.URGENT:
            team.urgent_seconds += seconds
            team.urgent_usage += seconds * scale
        if team.name in self._scores:
            self._scores[team.name] = self._score(team, scale)

    def _advance_to_virtual_time(
        self, team: _Team, virtual_time: float
    ) -> None:
        missing = virtual_time - self._scores[team.name]
        if missing > 0.0:
            team.usage_offset += missing * team.weight
            team.local_usage_offset = team.usage_offset
            self._scores[team.name] = virtual_time

    def _merge_usage_offsets(self, team: _Team) -> None:
        """Sets the team's usage offset to the largest of all entries.

        Each entry reports only its own: an offset repeated by other entries
        would never decay.
        """
        team.usage_offset = max(
            team.local_usage_offset,
            *(
                peer.usage_offset.get(team.name, 0.0)
                for peer in self._peers.values()
            ),
        )

    def _score(self, team: _Team, scale: float) -> float:
        """Returns the usage per share at the midpoint of the next run.

        Midpoints are unbiased between teams with long and short runs; usage
        before the run would favour teams with long runs.
        """
        usage = (
            team.local_usage * (1 + team.peers_waiting)
            + team.remote_usage
            + team.usage_offset
        )
        runs = 1.0 + PEER_MIDPOINT_RATIO * team.peers_waiting
        return (usage + 0.5 * team.cost * scale * runs) / team.weight


if __name__ == "__main__":
    import types

    quotes = identifiers.QueueId("quotes")
    scheduler = Scheduler(
        {
            identifiers.TeamId(name): types.SimpleNamespace(share=share)
            for name, share in (("large", 3.0), ("small", 1.0))
        },
        {
            quotes: types.SimpleNamespace(
                pool="quotes", capacity=100, priority=Priority.INTERACTIVE
            )
        },
    )
    for number in range(40):
        scheduler.submit(
            Job(
                identifiers.RequestId(f"r{number}"),
                quotes,
                identifiers.TeamId("small" if number % 2 else "large"),
                identifiers.CustomerId("one"),
                Priority.INTERACTIVE,
                deadline=100.0,
                estimate=1.0,
            ),
            0.0,
        )
    for second in range(8):
        job = scheduler.start_next(float(second), lambda job: True)
        assert job is not None
        scheduler.finish(job.request_id, second + 1.0)
        print(job.request_id, job.team)
