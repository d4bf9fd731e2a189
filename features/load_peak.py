"""Replays a peak of one queue's demand with callers that return."""

import collections
import dataclasses
import random

from clementinewood import (
    catalog,
    identifiers,
    job,
    jobservice,
    ports,
    run,
    schedulingsettings,
    verdict,
)
from features import job_harness

CORES = 48
SPARE_CORES = 16
QUIET_SECONDS = 5.0
PEAK_SECONDS = 6.0
OVERLOAD = 5.0
MAX_RETURNS = 4
STRETCH, SLACK = 1.6, 0.6
FLOOD = "canvas"
RATES = {FLOOD: 2.0, "quills": 12.0, "ropes": 12.0, "sails": 12.0}
"""Guaranteed jobs per second of each team; all but one keep to it."""

TASKS, TASK_CORES, MEAN_SECONDS = 2, 2, 1.0
JOB_WORK = TASKS * TASK_CORES * MEAN_SECONDS


@dataclasses.dataclass
class Caller:
    """One caller and what became of its job."""

    number: int
    team: str
    seconds: float
    declared: float
    first: float
    submitted: float = 0.0
    done: float = 0.0
    refusals: list = dataclasses.field(default_factory=list)
    tasks_left: int = TASKS

    @property
    def objective(self):
        return STRETCH * self.seconds + SLACK

    def classify(self):
        if not self.submitted:
            return "refused"
        late = self.done - self.submitted - self.objective
        if self.done and late <= 0:
            return "in time"
        if self.done and late <= 2 * self.objective:
            return "late"
        return "useless"


class Peak:
    """One replay.

    Args:
        admission: Whether jobs may be refused for load.
        overload: Demand in the peak as a multiple of all cores.
        shadow_ratio: Part of the refused jobs that are stored nevertheless
            under another id, to see whether their refusal was true.
    """

    def __init__(self, *, admission, overload=OVERLOAD, shadow_ratio=0.0):
        self.harness = job_harness.JobHarness(
            7,
            minions=CORES // 8,
            spare=SPARE_CORES // 8,
            scheduling=schedulingsettings.SchedulingSettings(
                admission=admission
            ),
        )
        declare(self.harness, RATES)
        self.random = random.Random(11)
        self.overload = overload
        self.shadow_ratio = shadow_ratio
        self.callers = {}
        self.shadows = {}
        self.harness.on_run_end = self._handle_end
        self.harness.run_for(QUIET_SECONDS)
        self.began = self.harness.clock()

    def run(self):
        """Returns the callers after the peak and all returns."""
        total = self.overload * (CORES + SPARE_CORES) / JOB_WORK
        others = {team: rate for team, rate in RATES.items() if team != FLOOD}
        rates = {FLOOD: total - sum(others.values()), **others}
        for team, rate in rates.items():
            at = self.random.expovariate(rate)
            while at < PEAK_SECONDS:
                self._add_caller(team, at)
                at += self.random.expovariate(rate)
        self.harness.run_for(PEAK_SECONDS)
        self.harness.run_until(self._is_settled, 150.0)
        assert not self.harness.violations, self.harness.violations
        return list(self.callers.values())

    def _add_caller(self, team, at):
        number = len(self.callers) + 1
        seconds = MEAN_SECONDS * self.random.lognormvariate(-0.08, 0.4)
        declared = seconds * self.random.lognormvariate(0.0, 0.4)
        caller = Caller(number, team, seconds, declared, self.began + at)
        self.callers[number] = caller
        self.harness.timers.subscribe_once(at, lambda: self._submit(caller))

    def _submit(self, caller):
        accepted = create_job(caller, caller.declared, self.harness.wall())
        # What minions run.
        self.harness.accepted[accepted.job_id] = create_job(
            caller, caller.seconds, accepted.accepted
        )
        began = self.harness.clock()

        def answer(outcome):
            now = self.harness.clock()
            match outcome:
                case jobservice.Accepted():
                    caller.submitted = began
                case verdict.Refusal(verdict.Reason.OVERLOADED) as refusal:
                    assert refusal.execution is verdict.Execution.NOT_RUN
                    caller.refusals.append((now, refusal.retry_after))
                    if self.random.random() < self.shadow_ratio:
                        self._store_shadow(entry, caller)
                    if len(caller.refusals) <= MAX_RETURNS:
                        self.harness.timers.subscribe_once(
                            refusal.retry_after, lambda: self._submit(caller)
                        )
                case _:
                    raise AssertionError(outcome)

        entry = self.random.choice(self.harness.entries)
        entry.submit(accepted, 3.0, answer)

    def _store_shadow(self, entry, caller):
        now = self.harness.clock()
        shadow = dataclasses.replace(
            caller,
            number=1_000_000 + len(self.shadows),
            submitted=now,
            tasks_left=TASKS,
        )
        self.shadows[shadow.number] = shadow
        wall = self.harness.wall()
        accepted = create_job(shadow, shadow.declared, wall)
        self.harness.accepted[accepted.job_id] = create_job(
            shadow, shadow.seconds, wall
        )
        entry._store_job(accepted, 3.0, lambda outcome: None)

    def _handle_end(self, task, how):
        number = int(task.job, 16)
        caller = self.callers.get(number) or self.shadows.get(number)
        if how is run.RunOutcome.DONE and caller is not None:
            caller.tasks_left -= 1
            if not caller.tasks_left:
                caller.done = self.harness.clock()

    def _is_settled(self):
        return all(
            caller.done or len(caller.refusals) > MAX_RETURNS
            for caller in self.callers.values()
        ) and all(shadow.done for shadow in self.shadows.values())

    def count_reports(self):
        """Returns the number of load reports in the log."""
        records = self.harness.store.records[ports.Stream.DISPATCH]
        return sum(record.key == "load" for record in records)


def create_job(caller, seconds, accepted):
    return job.Job(
        job_id=identifiers.JobId(f"{caller.number:016x}"),
        queue=identifiers.QueueId("quotes"),
        team=identifiers.TeamId(caller.team),
        spec="",
        steps=(
            job.Step(
                count=TASKS,
                need=job.Resources(1000 * TASK_CORES, 256),
                estimate=seconds,
            ),
        ),
        accepted=accepted,
    )


def declare(harness, rates):
    """Declares teams with their rates, and the objective of the queue."""
    config = harness.declared.configuration
    queues = {
        name: dataclasses.replace(queue, stretch=STRETCH, slack=SLACK)
        for name, queue in config.queues.items()
    }
    teams = [
        catalog.Team(name=identifiers.TeamId(name), weight=weight)
        for name, weight in rates.items()
    ]
    harness.declare(
        configuration=dataclasses.replace(
            config, queues=queues, teams={team.name: team for team in teams}
        )
    )


def compute_bound(callers):
    """Returns how many callers any policy can serve in time at most.

    All cores work from the first submission to the last possible end in time.
    The smallest jobs are served.
    """
    last = max(caller.submitted or caller.first for caller in callers)
    longest = max(caller.objective for caller in callers)
    began = min(caller.first for caller in callers)
    room = (CORES + SPARE_CORES) * (last + longest - began)
    served = 0
    for seconds in sorted(caller.seconds for caller in callers):
        room -= TASKS * TASK_CORES * seconds
        served += room >= 0.0
    return served


def render(name, callers):
    """Returns a line for each team on what its callers got."""
    lines = []
    for team in RATES:
        own = [item for item in callers if item.team == team]
        kinds = collections.Counter(item.classify() for item in own)
        learnt = sorted(
            item.refusals[-1][0] - item.first
            for item in own
            if item.classify() == "refused"
        )
        first = sorted(
            item.refusals[0][0] - item.first for item in own if item.refusals
        )
        lines.append(
            f"{name:9} {team:7} callers {len(own):4}"
            f" in time {kinds['in time']:4} late {kinds['late']:4}"
            f" useless {kinds['useless']:4} refused {kinds['refused']:4}"
            f" refused at least once {len(first):4},"
            f" learnt after {first[len(first) // 2] if first else 0:.2f} s"
            f" (median; finally {learnt[len(learnt) // 2] if learnt else 0:.1f}"
            " s)"
        )
    return lines
