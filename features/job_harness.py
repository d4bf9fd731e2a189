"""Simulated services of the platform for the job service, on one clock.

Store, minions and the machine service follow the rules of the platform: fenced
appends, expiring history, leases, fencing tokens and numbered outcomes. Every
call can be delayed, refused, or lost before or after it took effect.
"""

import dataclasses
import itertools
import json
import random

from loguru import logger

from clementinewood import (
    catalog,
    dispatcher,
    identifiers,
    job,
    jobservice,
    jobtable,
    metric,
    ports,
    run,
    schedulingsettings,
    timer,
    verdict,
)
from clementinewood_platform import minionclient
from features import clock, entry_timers, job_machines, job_policy

MUTED_LOGGERS = (
    "activejob",
    "dispatcher",
    "dispatchdriver",
    "entrydirectory",
    "feed",
    "fencedlog",
    "forwarder",
    "jobservice",
    "jobwriter",
    "machinecontrol",
    "leaderelector",
)
"""Modules whose lines are of no use in tests that do not look at them."""

for _part in MUTED_LOGGERS:
    logger.disable(f"clementinewood.{_part}")

STORE_SECONDS = 0.004
MINION_SECONDS = 0.002
SILENCE_SECONDS = 1.0
STORE_LIMITS = ports.StoreLimits()
MAX_APPEND_QUEUE_SECONDS = 2.0
ORDER_SECONDS = minionclient.ORDER_TIMEOUT_SECONDS
MAX_LEASE_SECONDS = 6.0
CRASH_SECONDS = 1.2
DEADLY_SECONDS = 0.01
WALL_OFFSET = 1_000_000.0
QUOTES_POOL = identifiers.PoolId("quotes")
SPARE_POOL = identifiers.PoolId("noticeboard")
CAPACITY = job.Resources(8000, 65536)

METRICS = metric.Metrics()


class CallFaults:
    """What happens to the calls of one caller to one service."""

    def __init__(self):
        self.down = False
        self.refuses = False
        self.lost_answer_ratio = 0.0
        self.carried_out = 0.7
        self.earliest = 0.0
        self.late = 0.0
        self.fastest_response = 0.0
        self.slowest_response = 0.0


@dataclasses.dataclass
class Fenced:
    """The newest fenced append of a stream."""

    term: int = 0
    sequence: int | None = None
    offset: int = 0


class Store:
    """The log of keyed records."""

    def __init__(self, harness, limits=STORE_LIMITS):
        self.harness = harness
        self.records = {stream: [] for stream in ports.Stream}
        self.newest = {stream: {} for stream in ports.Stream}
        self.first = dict.fromkeys(ports.Stream, 0)
        self.fenced = {stream: Fenced() for stream in ports.Stream}
        self.limits = limits
        self.refused = 0
        self.waiting = []
        self.append_seconds = dict.fromkeys(ports.Stream, 0.0)
        self.busy_until = dict.fromkeys(ports.Stream, 0.0)

    def put(self, stream, key, value):
        offset = len(self.records[stream])
        record = jobtable.StoredRecord(key, value, offset)
        self.records[stream].append(record)
        if value:
            self.newest[stream][key] = record
        else:
            self.newest[stream].pop(key, None)
        waiting, self.waiting = self.waiting, []
        for check in waiting:
            check()
        return offset

    def append(self, stream, items, fence):
        if not self.takes(items):
            self.refused += 1
            return ports.Failed(verdict.Execution.NOT_RUN, "status 400")
        if fence is not None:
            fenced = self.fenced[stream]
            if fence.term < fenced.term:
                return ports.Fenced()
            if fence.term == fenced.term:
                if fence.sequence == fenced.sequence:
                    return ports.Appended(fenced.offset)
                if fence.sequence != fenced.sequence + 1:
                    return ports.OutOfOrder(fenced.sequence + 1)
            fenced.term, fenced.sequence = fence.term, fence.sequence
        offsets = [self.put(stream, item.key, item.value) for item in items]
        if fence is not None:
            self.fenced[stream].offset = offsets[0]
        return ports.Appended(offsets[0])

    def takes(self, items):
        """Whether the records are within the limits of the store."""
        sizes = [
            4 + 1 + len(item.key.encode()) + len(item.value) for item in items
        ]
        return (
            max(sizes) <= self.limits.record_bytes
            and sum(sizes) <= self.limits.call_bytes
        )

    def queue_append(self, stream):
        """Returns seconds until an append is done, one after the other.

        Returns None if more than two seconds are waiting already.
        """
        now = self.harness.clock()
        start = max(now, self.busy_until[stream])
        if start - now > MAX_APPEND_QUEUE_SECONDS:
            return None
        self.busy_until[stream] = start + self.append_seconds[stream]
        return self.busy_until[stream] - now

    def drop_history(self, stream):
        self.first[stream] = len(self.records[stream])


def receive_at_once(on_result):
    """Delivers responses of an entry that is never paused."""
    return on_result


class StoreAccess:
    """One entry's view of the store."""

    def __init__(self, harness, store, receive=receive_at_once):
        self.harness = harness
        self.receive = receive
        self.store = store
        self.link = CallFaults()
        self.slow_reads = 0.0
        self.page_records = None
        self.page_seconds = STORE_SECONDS

    @property
    def limits(self):
        return self.store.limits

    def append(self, stream, items, on_result, *, fence=None):
        seconds = STORE_SECONDS
        if self.store.append_seconds[stream]:
            seconds = self.store.queue_append(stream)
        if seconds is None:
            refused = ports.Failed(verdict.Execution.NOT_RUN, "status 503")
            self.harness.timers.subscribe_once(
                STORE_SECONDS, lambda: self.receive(on_result)(refused)
            )
            return
        self.harness.call(
            self.link,
            seconds,
            lambda: self.store.append(stream, items, fence),
            self.receive(on_result),
            lambda execution: ports.Failed(execution, "lost"),
        )

    def read(self, stream, offset, wait, on_result):
        on_result = self.receive(on_result)
        state = {"done": False, "link": self.link}
        pause = STORE_SECONDS + self.slow_reads

        def fetch():
            if offset < self.store.first[stream]:
                return ports.Expired()
            records = tuple(self.store.records[stream][offset:])
            end = len(self.store.records[stream])
            return ports.Records(records, end, end)

        def finish():
            if state["done"]:
                return
            state["done"] = True
            if self.link.down or self.link.refuses:
                on_result(ports.Failed(verdict.Execution.NOT_RUN, "cut"))
            else:
                on_result(fetch())

        def check():
            if state["done"]:
                return
            ready = len(self.store.records[stream]) > offset
            if ready or offset < self.store.first[stream]:
                self.harness.timers.subscribe_once(pause, finish)
            else:
                self.store.waiting.append(check)

        if self.link.refuses:
            self.harness.timers.subscribe_once(
                STORE_SECONDS,
                lambda: on_result(
                    ports.Failed(verdict.Execution.NOT_RUN, "refused")
                ),
            )
            return
        check()
        self.harness.timers.subscribe_once(wait + pause, finish)

    def read_newest(self, stream, after, on_result):
        def fetch():
            newest = self.store.newest[stream]
            keys = sorted(key for key in newest if key > after)
            page = (
                keys if self.page_records is None else keys[: self.page_records]
            )
            return ports.Records(
                tuple(newest[key] for key in page),
                0 if len(page) < len(keys) else -1,
                len(self.store.records[stream]),
            )

        self.harness.call(
            self.link,
            self.page_seconds,
            fetch,
            self.receive(on_result),
            lambda execution: ports.Failed(execution, "lost"),
        )


@dataclasses.dataclass
class Running:
    number: int
    begun: float
    seconds: float
    entry: str


class Minion:
    """One machine's minion, which runs tasks under leases."""

    def __init__(self, harness, minion_id, pool, zone, capacity, labels):
        self.harness = harness
        self.minion_id = identifiers.MinionId(minion_id)
        self.pool = identifiers.PoolId(pool)
        self.zone = identifiers.ZoneId(zone)
        self.capacity = capacity
        self.labels = labels
        self.state = catalog.MinionState.READY
        self.incarnation = 1
        self.rate = harness.random.uniform(0.98, 1.0)
        self.unreachable = False
        self.failing = False
        self.stop_seconds = 0.0
        self.reset()

    def reset(self):
        self.token = 0
        self.running = {}
        self.ended = []
        self.sequence = itertools.count(1)
        self.closed = {}
        self.deadline = 0.0
        self.lapsed_at = 0.0
        self.born = self.harness.clock()
        self.waiting = []
        self.read_by = 0

    @property
    def now(self):
        return (self.harness.clock() - self.born) * self.rate + 5.0

    def crash(self):
        """Ends this incarnation; the next one begins after a while."""
        self.harness.record_crash(self)
        self.incarnation += 1
        closed = self.waiting
        self.reset()
        for finish in closed:
            finish()
        if not self.unreachable:
            self.unreachable = True
            self.harness.timers.subscribe_once(CRASH_SECONDS, self._come_back)

    def _come_back(self):
        self.unreachable = False
        self.born = self.harness.clock()

    def describe(self):
        return catalog.Minion(
            minion_id=self.minion_id,
            incarnation=self.incarnation,
            pool=self.pool,
            address=("127.0.0.1", 1),
            zone=self.zone,
            state=self.state,
            capacity=self.capacity,
            labels=self.labels,
        )

    def end(self, task, how):
        running = self.running.pop(task)
        sequence = next(self.sequence)
        self.closed[task] = max(running.number, self.closed.get(task, 0))
        self.ended.append(
            run.EndedRun(
                sequence=sequence,
                task=task,
                number=running.number,
                outcome=how,
                checkpoint="",
            )
        )
        self.harness.record_run_end(self, task, running, how)
        waiting, self.waiting = self.waiting, []
        for finish in waiting:
            finish()

    def tick(self):
        if self.now > self.deadline:
            self.lapsed_at = self.harness.clock()
        if self.running and self.now > self.deadline:
            for task in list(self.running):
                self.end(task, run.RunOutcome.LEASE_EXPIRED)
        for task, running in list(self.running.items()):
            if self.now - running.begun >= running.seconds:
                how = (
                    run.RunOutcome.FAILED
                    if self.failing
                    else run.RunOutcome.DONE
                )
                self.end(task, how)

    def start(self, term, order, entry):
        if term < self.token:
            return dispatcher.StartOutcome.FENCED
        self.token = term
        if self.now > order.deadline:
            return dispatcher.StartOutcome.TOO_LATE
        known = self.running.get(order.task)
        if known is not None and known.number == order.number:
            return dispatcher.StartOutcome.STARTED
        if known is not None or order.number <= self.closed.get(order.task, 0):
            return dispatcher.StartOutcome.SUPERSEDED
        accepted = self.harness.accepted[order.task.job]
        step = accepted.steps[order.task.step]
        if self.harness.policy is not None:
            valid = self.harness.policy.is_valid(order.task, self, order.ticket)
            if not valid:
                return dispatcher.StartOutcome.TICKET
        used = job.Resources()
        for task in self.running:
            other = self.harness.accepted[task.job].steps[task.step]
            used = used.plus(other.room)
        if not step.room.fits(self.capacity.minus(used)):
            return dispatcher.StartOutcome.NO_ROOM
        self.deadline = max(
            self.deadline, min(order.deadline, self.now + MAX_LEASE_SECONDS)
        )
        seconds = float("inf") if step.long_running else step.estimate
        self.running[order.task] = Running(
            order.number, self.now, seconds, entry
        )
        self.harness.record_run_start(self, order.task, order.number, entry)
        if order.task in self.harness.deadly:
            self.harness.timers.subscribe_once(
                DEADLY_SECONDS, lambda: self._crash_under(order)
            )
        return dispatcher.StartOutcome.STARTED

    def _crash_under(self, order):
        """Crashes because of a task that it has just started."""
        running = self.running.get(order.task)
        if running is not None and running.number == order.number:
            self.harness.crashes.append(order.task)
            self.crash()

    def stop(self, term, order):
        if term < self.token:
            return False
        self.token = term
        known = self.running.get(order.task)
        self.closed[order.task] = max(
            order.number, self.closed.get(order.task, 0)
        )
        if known is not None and known.number == order.number:
            self._stop(order.task, known)
        return True

    def _stop(self, task, running):
        def finish():
            if self.running.get(task) is running:
                self.end(task, run.RunOutcome.STOPPED)

        if self.stop_seconds:
            self.harness.timers.subscribe_once(self.stop_seconds, finish)
        else:
            finish()

    def poll(self, term, acked_sequence, deadline):
        if term < self.token:
            return ports.PollFenced()
        self.token = term
        if acked_sequence and self.read_by != term:
            self.harness.violations.append(
                f"{self.minion_id} forgets ends that term {term} has not read"
            )
        self.read_by = term
        for row in self.ended:
            if row.sequence <= acked_sequence:
                self.harness.record_acknowledgement(self, row)
        self.ended = [
            row for row in self.ended if row.sequence > acked_sequence
        ]
        if deadline is not None:
            self.deadline = max(
                self.deadline, min(deadline, self.now + MAX_LEASE_SECONDS)
            )
        return run.MinionReport(
            incarnation=self.incarnation,
            clock=self.now,
            running=tuple(
                run.ReportedRun(
                    task=task,
                    number=running.number,
                    checkpoint="",
                    percent=100,
                )
                for task, running in self.running.items()
            ),
            ended=tuple(self.ended),
        )


class MinionAccess:
    """One entry's orders to minions."""

    def __init__(self, harness, name, receive):
        self.harness = harness
        self.name = name
        self.receive = receive
        self.links = {}

    def link(self, minion_id):
        return self.links.setdefault(minion_id, CallFaults())

    def _call(
        self,
        minion,
        apply,
        on_result,
        lost,
        silence=ORDER_SECONDS,
        *,
        respond_at_once=False,
    ):
        target = self.harness.minions.get(minion.minion_id)
        link = self.link(minion.minion_id)
        divided = self.harness.divides(self.name, minion.minion_id)
        if target is None or target.unreachable or divided:
            unreachable = CallFaults()
            unreachable.down = True
            link = unreachable
        incarnation = target.incarnation if target is not None else 0

        def carry_out():
            # An order to an incarnation that has ended is not delivered.
            if target.incarnation != incarnation:
                return lost(verdict.Execution.MAY_HAVE_RUN)
            return apply(target)

        self.harness.call(
            link,
            MINION_SECONDS,
            carry_out,
            on_result,
            lost,
            silence,
            respond_at_once=respond_at_once,
        )

    def poll(
        self,
        minion,
        term,
        *,
        acked_sequence,
        deadline,
        wait,
        patience,
        on_result,
    ):
        on_result = self.receive(on_result)
        timeout_at = self.harness.clock() + wait + patience

        def lost(execution):
            return ports.Failed(execution, "lost")

        def respond(outcome):
            self.harness.respond(
                self.link(minion.minion_id),
                timeout_at,
                outcome,
                on_result,
                lost,
            )

        def answer(outcome):
            target = self.harness.minions.get(minion.minion_id)
            idle = isinstance(outcome, run.MinionReport) and not outcome.ended
            if not idle or wait <= 0 or target is None or target.unreachable:
                respond(outcome)
                return
            state = {"done": False}
            incarnation = target.incarnation

            def finish():
                if not state["done"]:
                    state["done"] = True
                    if target.incarnation != incarnation:
                        on_result(
                            ports.Failed(
                                verdict.Execution.MAY_HAVE_RUN, "reset"
                            )
                        )
                        return
                    self._call(
                        minion,
                        lambda found: found.poll(term, acked_sequence, None),
                        respond,
                        lost,
                        respond_at_once=True,
                    )

            target.waiting.append(finish)
            self.harness.timers.subscribe_once(wait, finish)

        self._call(
            minion,
            lambda found: found.poll(term, acked_sequence, deadline),
            answer,
            lost,
            wait + patience,
            respond_at_once=True,
        )

    def start(self, minion, term, order, on_result):
        self._call(
            minion,
            lambda found: found.start(term, order, self.name),
            self.receive(on_result),
            lambda execution: (
                dispatcher.StartOutcome.NOT_SENT
                if execution is verdict.Execution.NOT_RUN
                else dispatcher.StartOutcome.UNKNOWN
            ),
        )

    def stop(self, minion, term, order, on_result):
        self._call(
            minion,
            lambda found: found.stop(term, order),
            self.receive(on_result),
            lambda execution: False,
        )

    def pace(self, minion, term, order):
        pass

    def forget(self, minion_id):
        pass

    def disconnect(self):
        pass


class Decoder:
    """Reads the records that `JobHarness` writes."""

    def __init__(self, harness):
        self.harness = harness

    def replace_declarations(self, records):
        pass

    def apply_declaration(self, record):
        pass

    def read_declarations(self):
        return self.harness.declared

    def decode_minion(self, record):
        if not record.value:
            return None
        minion = self.harness.minions.get(identifiers.MinionId(record.key))
        return minion.describe() if minion is not None else None

    def encode_wave_status(self, number, *, completed):
        state = "completed" if completed else "running"
        return ports.KeyedRecord(f"wave/{number}", json.dumps(state).encode())


class JobHarness:
    """A whole site in one process.

    Args:
        seed: Seed of every random choice.
        entries: Number of entries.
        minions: Number of minions, spread over three zones.
        cap: Upper limit of the one team, in thousandths of a core.
        spare: Number of machines in a spare pool; without it, machines do not
            move.
        policy_share: Share of minions that a policy allows for a step;
            without it, there is no policy.
        limits: Largest appends that the store takes.
        timers: Timer service; by default one on a manual clock.
        scheduling: Scheduling features in use.
    """

    def __init__(
        self,
        seed=1,
        *,
        entries=3,
        minions=4,
        cap=0,
        spare=None,
        policy_share=None,
        limits=STORE_LIMITS,
        timers=None,
        scheduling=schedulingsettings.DEFAULTS,
    ):
        self.random = random.Random(seed)
        self.scheduling = scheduling
        if timers is None:
            timers = timer.TimerService(clock=clock.ManualClock(100.0))
        self.clock = timers.clock
        self.timers = timers
        self.store = Store(self, limits)
        self.accepted = {}
        self.history = []
        self.violations = []
        self.live = {}
        self.done = {}
        self.started_at = {}
        self.ended_at = {}
        self.minions = {}
        self.entries = []
        self.deadly = set()
        self.crashes = []
        self.on_run_end = lambda task, how: None
        self.machine_links = {}
        self.machine_order_links = {}
        self.isolated_entries = frozenset()
        self.isolated_minions = frozenset()
        self.policy = None
        if policy_share is not None:
            self.policy = job_policy.PolicyService(self, policy_share)
        self.cancelled_at = {}
        queue = catalog.Queue(
            name=identifiers.QueueId("quotes"),
            host="guild",
            prefix="/quotes/",
            pool=QUOTES_POOL,
            max_attempts=2,
            stretch=2.0,
            slack=0.6,
            advice=job_policy.POLICY_SETTINGS if self.policy else None,
        )
        pools = {queue.pool: catalog.Pool(name=queue.pool)}
        self.machine_service = None
        if spare is not None:
            pool = catalog.Pool(name=SPARE_POOL, spare=True)
            pools[pool.name] = pool
            self.machine_service = job_machines.MachineService(self, SPARE_POOL)
        team = catalog.Team(
            name=identifiers.TeamId("canvas"), cap=job.Resources(cap)
        )
        self.declared = ports.Declarations(
            catalog.Configuration(
                version=1,
                queues={queue.name: queue},
                pools=pools,
                teams={team.name: team},
                keys={"key": team.name},
            ),
            frozenset(),
            (),
        )
        for number in range(minions):
            self.add_minion(f"m{number}", f"zone-{number % 3}")
        self.most_failures = 0
        self.add_spare(spare or 0)
        for number in range(entries):
            self.add_entry(f"entry-{number}")
        self.timers.subscribe_every(0.01, self._tick_minions)
        self.timers.subscribe_every(1.0, self._publish_minions)

    def add_spare(self, count):
        for number in range(count):
            minion = self.create_minion(
                f"s{number}", f"zone-{number % 3}", SPARE_POOL
            )
            self.machine_service.add(minion)

    def add_minion(self, name, zone, cpu=8000):
        minion = self.create_minion(
            name, zone, QUOTES_POOL, job.Resources(cpu, 65536)
        )
        self.join_minion(minion)
        if self.machine_service is not None:
            self.machine_service.add(minion)
        return minion

    def create_minion(self, name, zone, pool, capacity=CAPACITY):
        return Minion(self, name, pool, zone, capacity, ("a", zone))

    def join_minion(self, minion):
        """Lists a minion that has started."""
        self.minions[minion.minion_id] = minion
        self.publish(minion)

    def publish(self, minion):
        """Writes what a minion reports of itself."""
        self.store.put(
            ports.Stream.MINIONS, minion.minion_id, self.render_minion(minion)
        )

    def render_minion(self, minion):
        """Returns a record that `Decoder` finds the minion by."""
        return b"1"

    def remove_minion(self, minion):
        """Ends a minion for good; what runs there and its ends are gone."""
        minion.crash()
        self.minions.pop(minion.minion_id, None)
        self.store.put(ports.Stream.MINIONS, minion.minion_id, b"")

    def add_entry(self, name):
        timers = entry_timers.EntryTimers(self.timers)
        service = jobservice.JobService(
            identifiers.EntryId(name),
            store=StoreAccess(self, self.store, timers.receive),
            minions=MinionAccess(self, name, timers.receive),
            machines=self._create_machine_access(name, timers.receive),
            policy=self.policy,
            decoder=Decoder(self),
            timers=timers,
            metrics=METRICS,
            scheduling=self.scheduling,
            wall=self.wall,
            random_fraction=self.random.random,
        )
        service.start()
        self.entries.append(service)
        return service

    def _create_machine_access(self, name, receive):
        if self.machine_service is None:
            return None
        link = self.machine_links.setdefault(name, CallFaults())
        order_link = self.machine_order_links.setdefault(name, CallFaults())
        return job_machines.MachineAccess(
            self, self.machine_service, link, order_link, receive
        )

    def isolate(self, entries, minions):
        """Cuts entries and minions off from all others and from the store.

        They still reach each other, and all of them the machine service.
        """
        self.isolated_entries = frozenset(
            entry._minions.name for entry in entries
        )
        self.isolated_minions = frozenset(
            minion.minion_id for minion in minions
        )
        for entry in entries:
            entry._store.link.down = True

    def end_isolation(self):
        for entry in self.entries:
            if entry._minions.name in self.isolated_entries:
                entry._store.link.down = False
        self.isolated_entries = frozenset()
        self.isolated_minions = frozenset()

    def divides(self, entry_name, minion_id):
        """Whether a partition lies between an entry and a minion."""
        return (entry_name in self.isolated_entries) != (
            minion_id in self.isolated_minions
        )

    def wall(self):
        return self.clock() + WALL_OFFSET

    def kill(self, service):
        """Ends a process without notice."""
        if service.elector.driver is not None:
            service.elector.driver.stop()
        service.elector._resigning = True
        service.elector._abandon_candidacy()
        service._jobs_feed.stop()
        service._dispatch_feed.stop()
        service._declarations_feed.stop()
        service.draining = True
        service._timers.discard()
        self.entries.remove(service)
        link = service._store.link
        link.down = True

    def dispatcher(self):
        leaders = [item for item in self.entries if item.dispatching]
        return leaders[-1] if leaders else None

    def declare(self, **changes):
        """Changes what operators declare, in force at once."""
        self.declared = dataclasses.replace(self.declared, **changes)
        self.store.put(ports.Stream.DECLARATIONS, "config", b"1")

    def submit(self, entry, name, steps, team="canvas", patience=3.0):
        """Submits a job and returns the list that gets the answer."""
        accepted = job.Job(
            job_id=identifiers.JobId(name),
            queue=identifiers.QueueId("quotes"),
            team=identifiers.TeamId(team),
            spec="",
            steps=tuple(steps),
            accepted=self.wall(),
        )
        self.accepted[accepted.job_id] = accepted
        answers = []
        entry.submit(accepted, patience, answers.append)
        return answers

    def run_for(self, seconds):
        end = self.clock.now + seconds
        while True:
            left = self.timers.run_due()
            step = 0.01 if left is None else max(left, 1e-6)
            if self.clock.now + step > end:
                self.clock.now = end
                self.timers.run_due()
                break
            self.clock.now += step
        failures = self.timers.failures
        assert failures <= self.most_failures, "a callback failed"

    def run_until(self, is_done, seconds=30.0):
        end = self.clock.now + seconds
        while not is_done():
            assert self.clock.now < end, "the condition never came to hold"
            self.run_for(0.02)

    def state_of(self, entry, name):
        found = entry.table.find(identifiers.JobId(name))
        return None if found is None else found.state

    def call(
        self,
        link,
        seconds,
        apply,
        on_result,
        lost,
        silence=SILENCE_SECONDS,
        *,
        respond_at_once=False,
    ):
        """Carries out one call under the faults of its link."""
        if link.refuses:
            self.timers.subscribe_once(
                seconds, lambda: on_result(lost(verdict.Execution.NOT_RUN))
            )
            return
        if link.down:
            self.timers.subscribe_once(
                silence,
                lambda: on_result(lost(verdict.Execution.MAY_HAVE_RUN)),
            )
            return
        if (
            link.lost_answer_ratio
            and self.random.random() < link.lost_answer_ratio
        ):
            delay = 0.0
            if link.late:
                delay = self.random.uniform(link.earliest, link.late)
            if self.random.random() < link.carried_out:
                self.timers.subscribe_once(seconds + delay, lambda: apply())
            self.timers.subscribe_once(
                silence,
                lambda: on_result(lost(verdict.Execution.MAY_HAVE_RUN)),
            )
            return
        jitter = self.random.uniform(0.5, 1.5)
        timeout_at = self.clock() + silence

        def carry_out():
            outcome = apply()
            self.timers.subscribe_once(
                seconds * jitter / 2,
                lambda: (
                    on_result(outcome)
                    if respond_at_once
                    else self.respond(
                        link, timeout_at, outcome, on_result, lost
                    )
                ),
            )

        self.timers.subscribe_once(seconds * jitter / 2, carry_out)

    def respond(self, link, timeout_at, outcome, on_result, lost):
        """Delivers a response, which may wait behind others on the link."""
        delay = 0.0
        if link.slowest_response:
            delay = self.random.uniform(
                link.fastest_response, link.slowest_response
            )
        left = max(0.0, timeout_at - self.clock())
        if not delay:
            on_result(outcome)
        elif delay < left:
            self.timers.subscribe_once(delay, lambda: on_result(outcome))
        else:
            self.timers.subscribe_once(
                left,
                lambda: on_result(lost(verdict.Execution.MAY_HAVE_RUN)),
            )

    # History.

    def record_run_start(self, minion, task, number, entry):
        self.history.append(
            ("begin", self.clock(), minion.minion_id, task, number)
        )
        self.started_at[task] = self.clock()
        others = self.live.setdefault(task, set())
        if others:
            self.violations.append(f"{task.render()} runs twice")
        if task in self.done:
            self.violations.append(f"{task.render()} starts after its end")
        cancelled = self.cancelled_at.get(task.job)
        bound = self.find_cancel_bound()
        if cancelled is not None and self.clock() > cancelled + bound:
            self.violations.append(f"{task.render()} starts after its cancel")
        step = self.accepted[task.job].steps[task.step]
        for earlier in step.after:
            count = self.accepted[task.job].steps[earlier].count
            for position in range(count):
                before = job.TaskId(
                    task.job, task.occurrence, earlier, position
                )
                if before not in self.done and before not in self.ended_done():
                    self.violations.append(f"{task.render()} starts too early")
        others.add(minion.minion_id)

    def find_cancel_bound(self):
        """Returns seconds after which nothing of a cancelled job starts."""
        return 3.0

    def ended_done(self):
        return {
            entry[3]
            for entry in self.history
            if entry[0] == "end" and entry[4] is run.RunOutcome.DONE
        }

    def record_run_end(self, minion, task, running, how):
        self.history.append(("end", self.clock(), minion.minion_id, task, how))
        key = (minion.minion_id, task, running.number)
        self.ended_at[key] = self.clock()
        self.live.get(task, set()).discard(minion.minion_id)
        self.on_run_end(task, how)

    def record_acknowledgement(self, minion, row):
        if row.outcome is not run.RunOutcome.DONE:
            return
        self.done[row.task] = self.clock()
        ended_at = self.ended_at[minion.minion_id, row.task, row.number]
        if minion.lapsed_at < ended_at < self.started_at[row.task]:
            self.violations.append(
                f"{row.task.render()} started after an end acknowledged later"
            )

    def record_crash(self, minion):
        for task in minion.running:
            self.live.get(task, set()).discard(minion.minion_id)

    def count(self, kind):
        return sum(1 for entry in self.history if entry[0] == kind)

    def _tick_minions(self):
        for minion in self.minions.values():
            minion.tick()

    def _publish_minions(self):
        for minion in self.minions.values():
            isolated = minion.minion_id in self.isolated_minions
            if not minion.unreachable and not isolated:
                self.publish(minion)
