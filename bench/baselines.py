"""Provides simple policies as baselines for the scheduler, router and retries.

Each has the interface of the policy that it is compared with.
"""

import collections
import random

from clementinewood import retry, router, scheduler, verdict

_FULL = verdict.Refusal(verdict.Reason.QUEUE_FULL)


class _Baseline:
    """Queues jobs at one entry, without usage reports of other entries."""

    def __init__(self, teams, queues, *, entries=1):
        self.requests = {}
        self.teams = teams
        self.capacity = {
            name: max(1, spec.capacity // entries)
            for name, spec in queues.items()
        }
        self.pool = {name: spec.pool for name, spec in queues.items()}
        self.size = collections.Counter()
        self.running = {}
        self.slots = {}

    def set_slots(self, pool, *, own, fleet):
        self.slots[pool] = own

    def submit(self, job, now):
        if self.size[job.queue] >= self.capacity[job.queue]:
            return _FULL
        self.size[job.queue] += 1
        self.push(job)
        return None

    def started(self, job):
        self.size[job.queue] -= 1
        self.running[job.request_id] = job
        return job

    def finish(self, request_id, now):
        del self.running[request_id]

    def collect_refused(self, now):
        return []

    def apply_peer_usage(self, member, usage, now):
        pass

    def usage(self):
        return {}

    def has_waiting(self, pool):
        return any(
            self.size[name] for name, its in self.pool.items() if its == pool
        )


class Fifo(_Baseline):
    """Starts jobs in the order of arrival."""

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.waiting = collections.defaultdict(collections.deque)

    def push(self, job):
        self.waiting[self.pool[job.queue]].append(job)

    def start_next(self, now, can_start, *, pool):
        waiting = self.waiting[pool]
        if waiting and can_start(waiting[0]):
            return self.started(waiting.popleft())
        return None


class RoundRobin(_Baseline):
    """Starts one job per team in turn, regardless of shares and run times."""

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.waiting = collections.defaultdict(collections.OrderedDict)

    def push(self, job):
        pool = self.waiting[self.pool[job.queue]]
        pool.setdefault(job.team, collections.deque()).append(job)

    def start_next(self, now, can_start, *, pool):
        waiting = self.waiting[pool]
        for team in list(waiting):
            jobs = waiting[team]
            if self.may_start(jobs[0], pool) and can_start(jobs[0]):
                job = jobs.popleft()
                waiting.move_to_end(team)
                if not jobs:
                    del waiting[team]
                return self.started(job)
        return None

    def may_start(self, job, pool):
        return True


class StaticPartition(RoundRobin):
    """Limits each team to its share of the slots of each entry."""

    def may_start(self, job, pool):
        total = sum(team.share for team in self.teams.values())
        part = self.slots[pool] * self.teams[job.team].share / total
        running = sum(
            other.team == job.team and self.pool[other.queue] == pool
            for other in self.running.values()
        )
        return running < max(1, round(part))


class Tracked(scheduler.Scheduler):
    """Runs the real scheduler and stores the requests of the simulation."""

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.requests = {}


class EagerRetry(retry.RetryPolicy):
    """Retries without delay and without a retry budget."""

    def decide(self, attempt, now):
        allowed = retry.RetryPolicy(random.Random(0)).decide(attempt, now)
        if isinstance(allowed, retry.Retry):
            return retry.Retry(0.0, allowed.exclude)
        return allowed


class NoRetry(retry.RetryPolicy):
    """Never retries."""

    def decide(self, attempt, now):
        return retry.GiveUp(
            verdict.Refusal(verdict.Reason.RETRIES_EXHAUSTED, attempt.execution)
        )


class LeastLoaded(router.Router):
    """Selects the minion with the fewest in-flight requests; ejects none."""

    def choose(self, pool, now, exclude=frozenset(), *, probe=True):
        known = self._pools.get(pool)
        roomy = [
            minion
            for minion in (known.open if known else [])
            if minion.in_flight < minion.target.slots
            and minion.target.minion not in exclude
        ]
        if not roomy:
            return None
        return min(roomy, key=lambda minion: minion.in_flight).target

    def _eject_if_unhealthy(self, minion, now):
        pass


class RoundRobinRouter(LeastLoaded):
    """Selects minions in turn (round robin); ejects none."""

    turn = 0

    def choose(self, pool, now, exclude=frozenset(), *, probe=True):
        known = self._pools.get(pool)
        minions = known.open if known else []
        for step in range(len(minions)):
            minion = minions[(self.turn + step) % len(minions)]
            if (
                minion.in_flight < minion.target.slots
                and minion.target.minion not in exclude
            ):
                self.turn += step + 1
                return minion.target
        return None
