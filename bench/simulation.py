"""Drives the scheduler, router and retry policy in a discrete-event simulation.

Several entries, each with its own scheduler, router and retry policy, start
runs on shared minions. The slots of each minion are split evenly between the
entries, as the ledger does. Entries exchange usage reports with a lag.
"""

import collections
import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from clementinewood import retry, router, scheduler, verdict
from clementinewood.priority import Priority

REPORT_PERIOD = 0.25
TRANSIT = 0.005
CONNECT_FAILURE = 0.001
QUICK_FAILURE = 0.005


@dataclasses.dataclass(frozen=True, slots=True)
class Team:
    share: float


@dataclasses.dataclass(frozen=True, slots=True)
class Queue:
    pool: str
    capacity: int
    priority: Priority = Priority.INTERACTIVE


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """Holds one arrival; `run` is the actual run time in seconds."""

    time: float
    name: str
    queue: str
    team: str
    customer: str
    priority: Priority
    timeout: float
    run: float
    declared: float
    idempotent: bool = True


@dataclasses.dataclass(slots=True)
class Minion:
    name: str
    pool: str
    zone: str
    slots: int = 8
    dead: bool = False
    failing: bool = False
    running: dict[str, Any] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Span:
    """Holds one attempt that occupied a slot, with times in seconds."""

    request: Request
    minion: str
    start: float
    end: float
    outcome: retry.Outcome


class Entry:
    """Holds the scheduler, router and retry policy of one entry."""

    def __init__(self, index: int, parts: Any) -> None:
        self.index = index
        self.scheduler = parts.scheduler
        self.router = parts.router
        self.retry = parts.retry
        self.attempts: dict[str, retry.Attempt] = {}


@dataclasses.dataclass(frozen=True, slots=True)
class Parts:
    scheduler: Any
    router: Any
    retry: Any


class Simulation:
    """Runs requests through entries until none is left or the time is over.

    Args:
        make_parts: Builds scheduler, router and retry policy of the entry with
            this index.
        minions: All minions.
        entries: Number of entries.
        seed: Seed of the simulated load balancer.
        queues: Pool of each queue.
        narrow: Teams whose requests the balancer sends to the first half of
            the entries only.
    """

    def __init__(
        self,
        make_parts: Callable[[int], Parts],
        minions: Iterable[Minion],
        queues: Mapping[str, Queue],
        *,
        entries: int = 6,
        seed: int = 1,
        period: float = REPORT_PERIOD,
        transit: float = TRANSIT,
        narrow: Iterable[str] = (),
    ) -> None:
        self.now = 0.0
        self.minions = {minion.name: minion for minion in minions}
        self.queues = queues
        self.entries = [Entry(i, make_parts(i)) for i in range(entries)]
        self.rng = random.Random(seed)
        self._narrow = frozenset(narrow)
        self.spans: list[Span] = []
        self.delays: dict[str, float] = {}
        self.first_attempts = 0
        self.attempts = 0
        self.answered = 0
        self.in_time = 0
        self.refusals: collections.Counter[Any] = collections.Counter()
        self.ejections: dict[tuple[int, str], float] = {}
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._usage: dict[int, Mapping[Any, Any]] = {}
        self._period = period
        self._transit = transit
        self.update_targets()
        for entry in self.entries:
            self.at(period * (entry.index + 1) / entries, self._tick(entry))

    def at(self, time: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (time, next(self._order), action))

    def run(self, requests: Iterable[Request], until: float) -> None:
        arrivals = iter(requests)
        upcoming = next(arrivals, None)
        while True:
            due = self._events[0][0]
            if upcoming is not None and upcoming.time <= due:
                if upcoming.time > until:
                    break
                self.now = upcoming.time
                self._arrive(upcoming)
                upcoming = next(arrivals, None)
                continue
            if due > until:
                break
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = until

    def update_targets(self, leaving: Iterable[str] = ()) -> None:
        """Gives every entry the host list with its fraction of the slots."""
        leaving = set(leaving)
        count = len(self.entries)
        for entry in self.entries:
            targets = []
            for number, minion in enumerate(self.minions.values()):
                base, extra = divmod(minion.slots, count)
                first = number * extra
                mine = (entry.index - first) % count < extra
                targets.append(
                    router.Target(
                        minion.name,
                        minion.pool,
                        minion.zone,
                        ("127.0.0.1", 0),
                        base + mine,
                        minion.name in leaving,
                    )
                )
            entry.router.update(targets, self.now)

    def set_zones_out(self, zones: Iterable[str]) -> None:
        for entry in self.entries:
            entry.router.set_zones_out(zones)
        self.dispatch_all()

    def kill(self, names: Iterable[str]) -> None:
        """Cuts the runs of minions, which refuse connections from now on."""
        for name in names:
            minion = self.minions[name]
            minion.dead = True
            for end in list(minion.running.values()):
                end(retry.Outcome.LOST)

    def revive(self, names: Iterable[str]) -> None:
        for name in names:
            self.minions[name].dead = False

    def dispatch_all(self) -> None:
        for entry in self.entries:
            for pool in {queue.pool for queue in self.queues.values()}:
                self._dispatch(entry, pool)

    def busy(self, begin: float, end: float) -> dict[str, float]:
        """Returns the busy slot-seconds per team between two times."""
        used: dict[str, float] = collections.defaultdict(float)
        for span in self.spans:
            overlap = min(span.end, end) - max(span.start, begin)
            if overlap > 0.0:
                used[span.request.team] += overlap
        for minion in self.minions.values():
            for action in minion.running.values():
                overlap = end - max(action.start, begin)
                if overlap > 0.0:
                    used[action.request.team] += overlap
        return used

    def useful(
        self, begin: float, end: float, *, besides: Iterable[str] = ()
    ) -> float:
        """Returns slot-seconds of runs that ended before the request's timeout.

        Only the part of a run that lies in the window counts. Runs at the
        minions in `besides` do not count.
        """
        besides = frozenset(besides)
        return sum(
            max(0.0, min(span.end, end) - max(span.start, begin))
            for span in self.spans
            if span.outcome is retry.Outcome.SUCCEEDED
            and span.minion not in besides
            and span.end <= span.request.time + span.request.timeout
        )

    def count_present(self) -> int:
        """Returns how many requests wait, run or will be retried."""
        return len(
            {
                name
                for entry in self.entries
                for name in (*entry.scheduler.requests, *entry.attempts)
            }.union(
                action.request.name
                for minion in self.minions.values()
                for action in minion.running.values()
            )
        )

    def _tick(self, entry: Entry) -> Callable[[], None]:
        def tick() -> None:
            usage = entry.scheduler.usage()
            last = self._usage.get(entry.index, {})
            changed = {
                team: use
                for team, use in usage.items()
                if last.get(team) != use
            }
            self._usage[entry.index] = usage
            self.at(self.now + self._transit, self._deliver(entry, changed))
            self._drain(entry)
            for pool in {queue.pool for queue in self.queues.values()}:
                self._dispatch(entry, pool)
            self.at(self.now + self._period, tick)

        return tick

    def _deliver(self, entry: Entry, changed: Any) -> Callable[[], None]:
        def deliver() -> None:
            for other in self.entries:
                if other is not entry:
                    other.scheduler.apply_peer_usage(
                        str(entry.index), changed, self.now
                    )

        return deliver

    def _arrive(self, request: Request) -> None:
        entries = self.entries
        if request.team in self._narrow:
            entries = entries[: (len(entries) + 1) // 2]
        entry = self.rng.choice(entries)
        self.first_attempts += 1
        entry.retry.record_request(request.team)
        self._submit(entry, request)

    def _submit(self, entry: Entry, request: Request) -> None:
        job = scheduler.Job(
            request.name,
            request.queue,
            request.team,
            request.customer,
            request.priority,
            request.time + request.timeout,
            request.declared,
        )
        entry.scheduler.requests[request.name] = request
        refusal = entry.scheduler.submit(job, self.now)
        if refusal is not None:
            del entry.scheduler.requests[request.name]
            self._refuse(entry, request, refusal)
        self._drain(entry)
        self._dispatch(entry, self.queues[request.queue].pool)

    def _drain(self, entry: Entry) -> None:
        for job, refusal in entry.scheduler.collect_refused(self.now):
            request = entry.scheduler.requests.pop(job.request_id)
            self._refuse(entry, request, refusal)

    def _refuse(
        self, entry: Entry, request: Request, refusal: verdict.Refusal
    ) -> None:
        entry.attempts.pop(request.name, None)
        self.refusals[refusal.reason.value] += 1

    def _dispatch(self, entry: Entry, pool: str) -> None:
        if not entry.scheduler.has_waiting(pool):
            return
        chosen: list[router.Target] = []

        def can_start(job: scheduler.Job) -> bool:
            before = entry.attempts.get(job.request_id)
            exclude = before.failures if before else frozenset()
            request = entry.scheduler.requests[job.request_id]
            target = entry.router.choose(
                pool, self.now, exclude, probe=request.idempotent
            ) or entry.router.choose(pool, self.now, probe=False)
            chosen[:] = [target] if target else []
            return target is not None

        while entry.router.choose(pool, self.now, probe=False) is not None:
            job = entry.scheduler.start_next(self.now, can_start, pool=pool)
            if job is None:
                break
            request = entry.scheduler.requests.pop(job.request_id)
            self._start(entry, request, chosen[0])
        self._drain(entry)

    def _start(
        self, entry: Entry, request: Request, target: router.Target
    ) -> None:
        minion = self.minions[target.minion]
        self.delays.setdefault(request.name, self.now - request.time)
        self.attempts += 1
        entry.router.start(target.minion, self.now)
        key = f"{request.name}@{self.attempts}"
        begin = self.now

        def end(outcome: retry.Outcome) -> None:
            if minion.running.pop(key, None) is None:
                return
            self.spans.append(
                Span(request, minion.name, begin, self.now, outcome)
            )
            self._finish(entry, request, minion, outcome, begin)

        if minion.dead:
            outcome, seconds = retry.Outcome.NOT_SENT, CONNECT_FAILURE
        elif minion.failing:
            outcome, seconds = retry.Outcome.FAILED, QUICK_FAILURE
        else:
            outcome, seconds = retry.Outcome.SUCCEEDED, request.run
        end.start, end.request = begin, request  # type: ignore[attr-defined]
        minion.running[key] = end
        self.at(self.now + seconds, lambda: end(outcome))

    def _finish(
        self,
        entry: Entry,
        request: Request,
        minion: Minion,
        outcome: retry.Outcome,
        begin: float,
    ) -> None:
        before = entry.attempts.get(request.name)
        entry.scheduler.finish(request.name, self.now)
        entry.router.finish(
            minion.name,
            outcome,
            self.now - begin,
            self.now,
            blame=before is None or not before.failed_on,
        )
        if minion.name in entry.router.ejected(minion.pool):
            self.ejections.setdefault((entry.index, minion.name), self.now)
        if outcome is retry.Outcome.SUCCEEDED:
            entry.attempts.pop(request.name, None)
            self.answered += 1
            self.in_time += self.now <= request.time + request.timeout
        else:
            self._decide(entry, request, minion, outcome, before)
        self._dispatch(entry, minion.pool)

    def _decide(
        self,
        entry: Entry,
        request: Request,
        minion: Minion,
        outcome: retry.Outcome,
        before: retry.Attempt | None,
    ) -> None:
        if before is not None:
            attempt = before.follow(outcome, minion.name)
        else:
            attempt = retry.Attempt(
                request.name,
                request.team,
                1,
                outcome,
                request.idempotent,
                request.time + request.timeout,
                request.declared,
                minion.name,
            )
        match entry.retry.decide(attempt, self.now):
            case retry.Retry(delay=delay):
                entry.attempts[request.name] = attempt
                self.at(self.now + delay, lambda: self._submit(entry, request))
            case retry.GiveUp(refusal=refusal):
                self._refuse(entry, request, refusal)
