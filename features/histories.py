"""Recorded histories of the decision modules and the checks on them."""

import collections
import dataclasses
import functools
import os

import hypothesis
from hypothesis import strategies

from clementinewood import retry, router, scheduler, verdict
from clementinewood.priority import Priority

EXAMPLES = int(os.environ.get("CLEMENTINEWOOD_EXAMPLES", "1"))
"""Factor on the number of examples of each property."""


@dataclasses.dataclass(frozen=True)
class Team:
    share: float = 1.0


@dataclasses.dataclass(frozen=True)
class Queue:
    pool: str = "p"
    capacity: int = 5
    priority: Priority = Priority.INTERACTIVE


# Fixed, so that rewording the test does not change its examples.
SEARCH_SEED = int(
    "346f6288374d6e1137b3323d3ad82b1c7f95553ec7d137ca"
    "a055aed9e58a4950e18243a3b5815d0f65fccd3b95359e83",
    16,
)


def search(check, *inputs, examples):
    """Runs `check` on generated inputs; raises what the first failure says."""
    settings = hypothesis.settings(
        max_examples=examples * EXAMPLES,
        derandomize=True,
        deadline=None,
        database=None,
        report_multiple_bugs=False,
        phases=[hypothesis.Phase.generate],
        suppress_health_check=list(hypothesis.HealthCheck),
    )

    def check_one(values):
        check(*values)

    test = settings(hypothesis.given(strategies.tuples(*inputs))(check_one))
    hypothesis.seed(SEARCH_SEED)(test)()


def fails(check, *inputs, examples):
    """Whether `check` finds a violation."""
    try:
        search(check, *inputs, examples=examples)
    except AssertionError:
        return True
    return False


TEAMS = {"a": Team(1.0), "b": Team(2.0), "c": Team(4.0)}
QUEUES = {"q": Queue(), "r": Queue("p", 3), "s": Queue("o", 4)}

_few = functools.partial(strategies.integers, 0)

scheduler_operations = strategies.lists(
    strategies.one_of(
        strategies.tuples(
            strategies.just("submit"),
            strategies.sampled_from(sorted(QUEUES)),
            strategies.sampled_from(sorted(TEAMS)),
            strategies.sampled_from("xyz"),
            strategies.sampled_from(list(Priority)),
            strategies.sampled_from([0.5, 2.0, 100.0]),
            strategies.sampled_from([0.01, 1.0, 50.0]),
        ),
        strategies.tuples(strategies.just("pick"), strategies.booleans()),
        strategies.tuples(strategies.just("finish"), _few(9)),
        strategies.tuples(strategies.just("cancel"), _few(30)),
        strategies.tuples(
            strategies.just("wait"),
            strategies.sampled_from([0.01, 0.3, 1.0, 9000.0]),
        ),
        strategies.tuples(
            strategies.just("report"),
            strategies.sampled_from(["peer/1", "peer/2"]),
            strategies.sampled_from(sorted(TEAMS)),
            _few(3),
        ),
        strategies.tuples(
            strategies.just("forget"),
            strategies.sampled_from(["peer/1", "peer/2"]),
        ),
        strategies.tuples(
            strategies.just("configure"),
            strategies.sampled_from(sorted(TEAMS)),
            strategies.sets(strategies.sampled_from("rs"), max_size=1),
            strategies.sampled_from([0.5, 1.0, 8.0]),
            strategies.integers(1, 2),
        ),
    ),
    min_size=20,
    max_size=60,
)


class SchedulerHistory:
    """Drives a scheduler and checks each step against plain bookkeeping."""

    def __init__(self, subject):
        self.subject = subject
        self.now = 0.0
        self.jobs = []
        self.waiting = {}
        self.running = {}
        self.ended = set()
        self.charged = collections.Counter()
        self.queues = QUEUES

    def play(self, operations):
        for name, *arguments in operations:
            getattr(self, name)(*arguments)
            self.collect()
            self.check_bounds()
        self.drain()

    def submit(self, queue, team, customer, priority, patience, estimate):
        name = f"r{len(self.jobs)}"
        job = scheduler.Job(
            name, queue, team, customer, priority, self.now + patience, estimate
        )
        self.jobs.append(job)
        refusal = self.subject.submit(job, self.now)
        assert refusal is not None or queue in self.queues, "no such queue"
        if refusal is None:
            self.waiting[name] = job
        else:
            assert refusal.execution is verdict.Execution.NOT_RUN
            self.ended.add(name)

    def pick(self, team_limited):
        def can_start(job):
            return not (team_limited and job.team == "b")

        job = self.subject.start_next(self.now, can_start)
        self.collect()
        if job is None:
            left = [job for job in self.waiting.values() if can_start(job)]
            assert not left, f"capacity left idle while {left[0]} waits"
            return
        assert job.request_id in self.waiting, "started without waiting"
        assert can_start(job), "started a job that may not start"
        assert self.now <= job.deadline, "started after its deadline"
        self.running[job.request_id] = self.waiting.pop(job.request_id)

    def finish(self, index):
        if self.running:
            name = sorted(self.running)[index % len(self.running)]
            del self.running[name]
            self.ended.add(name)
            self.subject.finish(name, self.now)

    def cancel(self, index):
        if self.jobs:
            name = self.jobs[index % len(self.jobs)].request_id
            cancelled = self.subject.cancel(name)
            assert cancelled == (name in self.waiting), "cancel lied"
            if cancelled:
                del self.waiting[name]
                self.ended.add(name)

    def wait(self, seconds):
        self.now += seconds

    def report(self, member, team, amount):
        self.charged[member, team] += amount
        usage = scheduler.Usage(
            amount, amount, float(self.charged[member, team]), 0.0, amount / 2
        )
        self.subject.apply_peer_usage(member, {team: usage}, self.now)

    def forget(self, member):
        self.subject.forget_member(member)
        for key in [key for key in self.charged if key[0] == member]:
            del self.charged[key]

    def configure(self, team, gone, share, entries):
        """Changes a share, removes or restores a queue, splits capacity."""
        self.queues = {
            name: spec for name, spec in QUEUES.items() if name not in gone
        }
        self.subject.configure(
            {**TEAMS, team: Team(share)}, self.queues, entries=entries
        )

    def collect(self):
        for job, refusal in self.subject.collect_refused(self.now):
            assert refusal.execution is verdict.Execution.NOT_RUN
            name = job.request_id
            assert name in self.waiting, "refused a job that was not waiting"
            del self.waiting[name]
            self.ended.add(name)

    def check_bounds(self):
        queued = collections.Counter(job.queue for job in self.waiting.values())
        for name, spec in QUEUES.items():
            assert queued[name] <= spec.capacity, f"{name} exceeds its bound"
            if name not in self.queues:
                assert not queued[name], f"jobs wait in {name}, which is gone"
        usage = self.subject.usage()
        for team in TEAMS:
            for count, jobs in (
                (usage[team].queued, self.waiting),
                (usage[team].running, self.running),
            ):
                mine = sum(job.team == team for job in jobs.values())
                assert count == mine, "usage does not match the history"

    def drain(self):
        while self.waiting:
            self.pick(False)
        while self.running:
            self.finish(0)
        lost = {job.request_id for job in self.jobs} - self.ended
        assert not lost, f"lost {lost}"


@dataclasses.dataclass(frozen=True)
class Call:
    """What one scripted request meets at each attempt."""

    team: str
    idempotent: bool
    outcomes: list
    truly_ran: list
    patience: float


calls = strategies.lists(
    strategies.builds(
        Call,
        strategies.sampled_from("ab"),
        strategies.booleans(),
        strategies.lists(
            strategies.sampled_from(list(retry.Outcome)),
            min_size=4,
            max_size=4,
        ),
        strategies.lists(strategies.booleans(), min_size=4, max_size=4),
        strategies.sampled_from([0.0, 0.2, 10.0]),
    ),
    min_size=10,
    max_size=60,
)


class RetryHistory:
    """Plays scripted requests through a retry policy."""

    RATIO = 0.1
    TEAM_BURST = 3.0
    BURST = 4.0

    def __init__(self, policy):
        self.policy = policy
        self.requests = collections.Counter()
        self.retries = collections.Counter()

    def play(self, script):
        for number, call in enumerate(script):
            self.requests[call.team] += 1
            self.policy.record_request(call.team)
            self.play_request(f"r{number}", call)
            for team in self.requests:
                allowed = self.RATIO * self.requests[team] + self.TEAM_BURST
                assert self.retries[team] <= allowed, "team budget exceeded"
            allowed = self.RATIO * self.requests.total() + self.BURST
            assert self.retries.total() <= allowed, "fleet budget exceeded"

    def play_request(self, name, call):
        now = 100.0
        runs = 0
        attempt = None
        excluded = frozenset()
        for index, outcome in enumerate(call.outcomes):
            if outcome is retry.Outcome.SUCCEEDED:
                return
            match retry.EXECUTIONS[outcome]:
                case verdict.Execution.RAN:
                    runs += 1
                case verdict.Execution.MAY_HAVE_RUN:
                    runs += call.truly_ran[index]
            assert call.idempotent or runs <= 1, "ran more than once"
            minion = f"m{index}"
            assert minion not in excluded
            if attempt is None:
                attempt = retry.Attempt(
                    name,
                    call.team,
                    1,
                    outcome,
                    call.idempotent,
                    now + call.patience,
                    0.1,
                    minion,
                )
            else:
                attempt = attempt.follow(outcome, minion)
            decision = self.policy.decide(attempt, now)
            if isinstance(decision, retry.GiveUp):
                self.check_verdict(decision.refusal.execution, runs)
                return
            assert attempt.number < attempt.max_attempts, "too many attempts"
            assert minion in decision.exclude
            excluded = decision.exclude
            now += decision.delay
            assert now + 0.1 <= attempt.deadline + 1e-9, "retried too late"
            self.retries[call.team] += 1

    def check_verdict(self, execution, runs):
        if execution is verdict.Execution.NOT_RUN:
            assert runs == 0, "said not-run of a request that ran"
        if execution is verdict.Execution.RAN:
            assert runs > 0, "said ran of a request that did not run"


ZONES = ("z1", "z2", "z3")

router_operations = strategies.lists(
    strategies.one_of(
        strategies.tuples(strategies.just("start"), _few(2)),
        strategies.tuples(strategies.just("start"), _few(2)),
        strategies.tuples(
            strategies.just("finish"),
            _few(9),
            strategies.sampled_from(list(retry.Outcome)),
        ),
        strategies.tuples(strategies.just("finish_bad"), _few(9)),
        strategies.tuples(
            strategies.just("zones"),
            strategies.sets(strategies.sampled_from(ZONES), max_size=2),
        ),
        strategies.tuples(strategies.just("leave"), _few(5)),
        strategies.tuples(
            strategies.just("list"),
            strategies.sets(_few(8), max_size=9),
            strategies.sets(_few(8), max_size=2),
        ),
        strategies.tuples(
            strategies.just("wait"), strategies.sampled_from([0.1, 1.0, 9.0])
        ),
    ),
    min_size=30,
    max_size=100,
)


class RouterHistory:
    """Drives a router and checks every choice against plain bookkeeping."""

    def __init__(self, subject):
        self.subject = subject
        self.now = 0.0
        self.out = set()
        self.listed = {}
        self.seen_leaving = {}
        self.in_flight = []
        self.list(set(range(6)), set())

    def play(self, operations):
        for name, *arguments in operations:
            getattr(self, name)(*arguments)
            self.check_ejections()

    def list(self, present, leaving):
        previous = self.listed
        self.listed = {
            f"m{index}": router.Target(
                f"m{index}",
                "p",
                ZONES[index % 3],
                ("127.0.0.1", 1),
                2,
                index in leaving,
            )
            for index in sorted(present)
        }
        for name in list(self.seen_leaving):
            before, after = previous.get(name), self.listed.get(name)
            gone = after is None
            returned = before and before.leaving and after and not after.leaving
            expired = (
                self.now - self.seen_leaving[name] > router.LEAVING_MARK_SECONDS
            )
            if gone or returned or (expired and not after.leaving):
                del self.seen_leaving[name]
        self.subject.update(self.listed.values(), self.now)

    def zones(self, zones):
        self.out = zones
        self.subject.set_zones_out(zones)

    def leave(self, index):
        name = f"m{index}"
        if name in self.listed:
            self.seen_leaving[name] = self.now
            self.subject.mark_leaving(name, self.now)

    def usable(self):
        return {
            name
            for name, target in self.listed.items()
            if target.zone not in self.out
            and not target.leaving
            and name not in self.seen_leaving
        }

    def start(self, excluded):
        exclude = frozenset(f"m{index}" for index in range(excluded))
        target = self.subject.choose("p", self.now, exclude)
        if target is None:
            return
        name = target.minion
        assert target.zone not in self.out, "started in a zone that is out"
        assert name in self.usable(), "started at a minion that leaves"
        assert name not in exclude, "chose an excluded minion"
        assert self.in_flight.count(name) < target.slots, "no slot was free"
        self.subject.start(name, self.now)
        self.in_flight.append(name)

    def finish(self, index, outcome):
        if self.in_flight:
            name = self.in_flight.pop(index % len(self.in_flight))
            self.subject.finish(name, outcome, 0.1, self.now)

    def finish_bad(self, index):
        """Ends an attempt; two minions of three fail whatever they start."""
        if self.in_flight:
            name = self.in_flight.pop(index % len(self.in_flight))
            good = int(name[1:]) % 3 == 0
            outcome = retry.Outcome.SUCCEEDED if good else retry.Outcome.FAILED
            self.subject.finish(name, outcome, 0.1, self.now)

    def wait(self, seconds):
        self.now += seconds

    def check_ejections(self):
        ejected = self.subject.ejected("p") & self.usable()
        bound = len(self.usable()) // router.EJECT_POOL_DIVISOR
        assert len(ejected) <= bound, f"{len(ejected)} ejected, bound {bound}"
