"""Runs sites under losses of power and outages of the store, beside callers.

Every answer that a caller gets is kept in a history, which `shown_facts`
checks. A process that is killed returns under its name and addresses and knows
only what the store holds.
"""

import dataclasses
import enum
import heapq
import itertools
import json
import random

from loguru import logger

from clementinewood import identifiers, job
from features import (
    forwarding_harness,
    job_faults,
    job_harness,
    network,
    shown_facts,
)

MUTED_LOGGERS = (
    "clementinewood.completions",
    "clementinewood.takeover",
    "clementinewood_platform.ingress",
)

ZONES = ("a", "b", "c", "a", "b")
MINIONS = 5
POLL_SECONDS = 0.02
PATIENCE_SECONDS = 3.0
SEARCH_SECONDS = 15.0
"""Time in which faults are injected."""

SETTLE_SECONDS = 25.0
"""Time without faults after which every accepted job has ended."""


class Outage(enum.Enum):
    """How the store fails."""

    REFUSED = "refused"
    SILENT = "not answered"


class Extent(enum.Enum):
    """How many of the minions lose power with the entries."""

    NONE = "no"
    SOME = "some"
    ALL = "all"


OTHER_FAULTS = (
    job_faults.FaultKind.STORE_CUT,
    job_faults.FaultKind.LOSSY_STORE,
    job_faults.FaultKind.LOSSY_STORE,
    job_faults.FaultKind.LOSSY_MINION,
    job_faults.FaultKind.UNREACHABLE_MINION,
    job_faults.FaultKind.CRASHED_MINION,
    job_faults.FaultKind.SLOW_LINK,
    job_faults.FaultKind.EXPIRED_HISTORY,
    job_faults.FaultKind.LATE_ORDERS,
    job_faults.FaultKind.PAUSE,
)
"""Faults of `job_faults` that need no other process."""


class Harness(job_harness.JobHarness):
    """Store and minions that record starts for a history."""

    def __init__(self, seed, **arguments):
        self.shown = shown_facts.History()
        self._ordered = 0.0
        self._disturbed = {}
        self._store_disturbed = float("-inf")
        super().__init__(seed, **arguments)
        self.on_run_end = lambda task, how: self.shown.record_end(
            task, how, self.clock()
        )
        self.timers.subscribe_every(POLL_SECONDS, self._observe_faults)

    def add_entry(self, name):
        self._disturbed[name] = self.clock()
        return super().add_entry(name)

    def call(self, link, seconds, apply, on_result, lost, *rest, **options):
        ordered = self.clock()

        def carry_out():
            self._ordered = ordered
            return apply()

        super().call(
            link, seconds, carry_out, on_result, lost, *rest, **options
        )

    def record_run_start(self, minion, task, number, entry):
        super().record_run_start(minion, task, number, entry)
        disturbed = max(
            self._store_disturbed, self._disturbed.get(entry, self.clock())
        )
        self.shown.starts.append(
            shown_facts.Start(
                task=task,
                at=self.clock(),
                ordered=self._ordered,
                entry=entry,
                in_touch=self.clock() - disturbed
                >= shown_facts.CONTACT_SECONDS,
            )
        )

    def _observe_faults(self):
        for entry in self.entries:
            store = entry._store
            links = entry._minions.links.values()
            if has_fault(store.link) or store.slow_reads:
                self._store_disturbed = self.clock()
            if entry._timers.paused or any(map(has_fault, links)):
                self._disturbed[entry._minions.name] = self.clock()


def has_fault(link):
    """Whether calls on a link fail or are delayed."""
    return bool(
        link.down
        or link.refuses
        or link.lost_answer_ratio
        or link.slowest_response
    )


@dataclasses.dataclass
class Request:
    """Request of a caller without an answer."""

    method: shown_facts.Method
    name: str
    entry: str
    sent: float
    caller: network.Caller
    on_answer: object


class Site(forwarding_harness.ForwardingSite):
    """Entries, minions and callers whose answers are kept."""

    def __init__(self, seed, zones=ZONES, minions=MINIONS):
        for name in MUTED_LOGGERS:
            logger.disable(name)
        super().__init__(zones, seed, minions, create_harness=Harness)
        self.zones = dict(
            zip([entry.name for entry in self.entries], zones, strict=True)
        )
        self.history = self.harness.shown
        self._outage = None
        self._unserved = frozenset()
        self._requests = []
        self._agenda = []
        self._order = itertools.count()

    def close(self):
        for name in MUTED_LOGGERS:
            logger.enable(name)
        super().close()

    # Time.

    def call_later(self, seconds, callback):
        due = self.loop.clock.now + seconds
        heapq.heappush(self._agenda, (due, next(self._order), callback))

    def run_for(self, seconds):
        """Runs the site and its callers."""
        clock = self.loop.clock
        end = clock.now + seconds
        while clock.now < end:
            due = self._agenda[0][0] if self._agenda else end
            pause = min(due - clock.now, end - clock.now, POLL_SECONDS)
            if pause > 0:
                self.loop.run_for(pause)
            self._read_answers()
            while self._agenda and self._agenda[0][0] <= clock.now:
                heapq.heappop(self._agenda)[2]()
        assert not self.harness.timers.failures, "a callback failed"

    # Callers.

    def request(self, entry, method, name, body=b"", on_answer=None):
        """Sends a request; `on_answer` is called with its outcome."""
        caller = super().send(
            entry, method.value, name, body, patience=PATIENCE_SECONDS
        )
        self._requests.append(
            Request(
                method,
                name,
                entry.name,
                self.loop.clock.now,
                caller,
                on_answer or (lambda answer: None),
            )
        )

    def submit(self, entry, name, steps, on_answer=None):
        """Submits a job."""
        self.history.jobs[name] = steps
        rows = [
            {
                "count": step.count,
                "cpu": step.need.cpu,
                "mem_mb": step.need.memory,
                "estimate_ms": step.estimate * 1000,
                "after": list(step.after),
            }
            for step in steps
        ]
        accepted = job.Job(
            job_id=identifiers.JobId(name),
            queue=identifiers.QueueId("quotes"),
            team=identifiers.TeamId("canvas"),
            spec="",
            steps=tuple(steps),
            accepted=self.harness.wall(),
        )
        self.harness.accepted[accepted.job_id] = accepted
        body = json.dumps({"spec": "", "steps": rows}).encode()
        self.request(entry, shown_facts.Method.SUBMIT, name, body, on_answer)

    def describe(self, entry, name, on_answer=None):
        self.request(
            entry, shown_facts.Method.DESCRIBE, name, on_answer=on_answer
        )

    def cancel(self, entry, name, on_answer=None):
        self.request(
            entry, shown_facts.Method.CANCEL, name, on_answer=on_answer
        )

    def _read_answers(self):
        waiting, self._requests = self._requests, []
        for request in waiting:
            caller = request.caller
            caller.receive()
            late = self.loop.clock.now - request.sent > PATIENCE_SECONDS
            try:
                answers = caller.parse((request.method.value,))
            except AssertionError:
                answers = []
            if not answers and not caller.ended and not late:
                self._requests.append(request)
                continue
            caller.socket.close()
            self._record(request, answers)

    def _record(self, request, answers):
        status = state = None
        if answers:
            status, _, body = answers[0]
            if status == 200:
                fields = json.loads(body)
                if "state" in fields:
                    state = job.JobState(fields["state"])
        answer = shown_facts.Answer(
            method=request.method,
            name=request.name,
            entry=request.entry,
            sent=request.sent,
            at=self.loop.clock.now,
            status=status,
            state=state,
        )
        self.history.answers.append(answer)
        request.on_answer(answer)

    # Faults.

    def fail_store(self, outage, entries):
        """Lets the store fail for some entries, also after a restart."""
        self._outage = outage
        self._unserved = frozenset(entry.name for entry in entries)
        for entry in self.entries:
            self._apply_outage(entry)

    def restore_store(self):
        self._outage, self._unserved = None, frozenset()
        for entry in self.entries:
            self._apply_outage(entry)

    def _apply_outage(self, entry):
        unserved = entry.name in self._unserved
        entry.link.refuses = unserved and self._outage is Outage.REFUSED
        entry.link.down = unserved and self._outage is Outage.SILENT

    def lose_power(self, entries, minions=(), seconds=1.0, minion_seconds=1.2):
        """Ends processes without notice; they come back."""
        self._read_answers()
        for minion in minions:
            if not minion.unreachable:
                minion.unreachable = True
                self.call_later(minion_seconds, minion._come_back)
            minion.crash()
        for entry in entries:
            self.entries.remove(entry)
            self.harness.kill(entry.service)
            entry.cut_connections()
            self.call_later(seconds, lambda entry=entry: self._return(entry))

    def _return(self, former):
        service = self.harness.add_entry(former.name)
        entry = forwarding_harness.Entry(self, service, former.zone, former)
        self.entries.append(entry)
        self._apply_outage(entry)

    def list_states(self):
        """Returns the state of each job as each entry shows it now."""
        states = {name: {} for name in self.history.jobs}
        for name, shown in states.items():
            for entry in self.entries:
                self.describe(
                    entry,
                    name,
                    lambda answer, shown=shown: shown.update(
                        {answer.entry: answer.state}
                    ),
                )
        self.run_for(PATIENCE_SECONDS + 2 * POLL_SECONDS)
        return states

    def find_violations(self):
        """Returns what does not hold, after the last fault has ended."""
        self.history.broken = list(self.harness.violations)
        states = self.list_states()
        found = shown_facts.find_violations(self.history)
        found += shown_facts.check_final_states(self.history, states)
        return found


class Callers:
    """Callers who submit jobs, ask for their states and cancel some.

    Args:
        site: The site.
        rng: Source of random choices.
    """

    def __init__(self, site, rng):
        self._site = site
        self._rng = rng
        self._numbers = itertools.count()
        self._cancelling = set()
        self._ended = set()
        self._active = True

    def stop(self):
        """Sends no more new jobs; jobs being cancelled still are."""
        self._active = False

    def submit(self):
        """Submits a job from time to time."""
        if not self._active:
            return
        name = f"{next(self._numbers):016x}"
        rng = self._rng
        steps = job_faults.create_steps(
            rng.choice((1, 1, 2, 3)),
            rng.randint(1, 4),
            rng.choice((0.3, 0.6, 1.5)),
        )
        self._hand_in(name, steps)
        self._site.call_later(rng.uniform(0.05, 1.0), lambda: self._ask(name))
        if rng.random() < 0.4:
            delay = rng.choice((0.05, 0.5, 4.0)) * rng.random()
            self._site.call_later(delay, lambda: self._cancel(name))
        self._site.call_later(rng.uniform(0.1, 0.6), self.submit)

    def _choose(self):
        entries = self._site.entries
        return self._rng.choice(entries) if entries else None

    def _hand_in(self, name, steps):
        entry = self._choose()
        if entry is None or name in self._cancelling:
            return

        def repeat(answer):
            if answer.status != 200 and self._rng.random() < 0.7:
                self._site.call_later(
                    self._rng.uniform(0.1, 1.0),
                    lambda: self._hand_in(name, steps),
                )

        self._site.submit(entry, name, steps, repeat)

    def _ask(self, name):
        if not self._active or name in self._ended:
            return
        self._site.call_later(
            self._rng.uniform(0.1, 0.8), lambda: self._ask(name)
        )
        entry = self._choose()
        if entry is None:
            return

        def handle(answer):
            if answer.state in job.TERMINAL and self._rng.random() < 0.4:
                self._ended.add(name)
                if self._rng.random() < 0.3:
                    self._cancel(name)

        self._site.describe(entry, name, handle)

    def _cancel(self, name):
        """Cancels a job, until that is acknowledged."""
        self._cancelling.add(name)
        entry = self._choose()

        def repeat(answer=None):
            if answer is None or not answer.cancels:
                self._site.call_later(
                    self._rng.uniform(0.3, 1.0), lambda: self._cancel(name)
                )

        if entry is None:
            repeat()
        else:
            self._site.cancel(entry, name, repeat)


class Faults:
    """Outages of the store, losses of power and other faults.

    Args:
        site: The site.
        rng: Source of random choices.
    """

    def __init__(self, site, rng):
        self._site = site
        self._rng = rng
        self._active = True

    def stop(self):
        """Ends all faults."""
        self._active = False
        self._site.restore_store()
        job_faults.clear_faults(self._site.harness)

    def inject(self):
        """Injects a fault from time to time."""
        if not self._active:
            return
        rng, site = self._rng, self._site
        draw = rng.random()
        if draw < 0.3:
            self._fail_store()
        elif draw < 0.5:
            self._lose_power()
        elif draw < 0.6 and len(site.entries) == len(ZONES):
            site.lose_power([rng.choice(site.entries)], (), rng.uniform(0.5, 2))
        elif len(site.entries) == len(ZONES):
            job_faults.inject_fault(site.harness, rng, rng.choice(OTHER_FAULTS))
        site.call_later(rng.uniform(0.5, 3.0), self.inject)

    def _fail_store(self):
        rng, site = self._rng, self._site
        entries = list(site.entries)
        if rng.random() < 0.4:
            entries = rng.sample(entries, min(2, len(entries)))
        outage = rng.choice(list(Outage))
        site.fail_store(outage, entries)
        seconds = rng.uniform(0.5, 5.0)
        site.call_later(seconds, site.restore_store)
        if rng.random() < 0.6:
            site.call_later(
                max(0.0, seconds + rng.uniform(-4.0, 0.5)), self._lose_power
            )

    def _lose_power(self):
        rng, site = self._rng, self._site
        if not self._active or len(site.entries) < len(ZONES):
            return
        minions = list(site.harness.minions.values())
        match rng.choice(list(Extent)):
            case Extent.NONE:
                minions = []
            case Extent.SOME:
                minions = rng.sample(minions, rng.randint(1, len(minions) - 1))
        site.lose_power(
            list(site.entries),
            minions,
            rng.uniform(0.8, 1.6),
            rng.choice((1.2, 7.0)),
        )


def run_site(seed, seconds):
    """Runs one site and returns it after it has settled."""
    rng = random.Random(seed)
    site = Site(seed)
    callers, faults = Callers(site, rng), Faults(site, rng)
    callers.submit()
    site.call_later(rng.uniform(0.5, 2.0), faults.inject)
    site.run_for(seconds)
    callers.stop()
    site.run_for(2.0)
    faults.stop()
    site.run_for(SETTLE_SECONDS)
    return site
