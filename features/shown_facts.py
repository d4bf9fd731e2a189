"""Answers that callers got, and what must hold of a site after each of them."""

import dataclasses
import enum
import itertools

from clementinewood import job, run

COMPLETED_SECONDS = 1.0
"""Time after which nothing of a job shown as completed starts."""

CANCEL_SECONDS = 3.0
"""Time after which nothing of a cancelled job starts."""

VISIBLE_SECONDS = 3.0
"""Time after which every entry knows an accepted job."""

CONTACT_SECONDS = 3.0
"""Time without faults after which bounds of time hold for an entry."""

LATE_SECONDS = 0.1
"""Orders older than this were carried out late."""


class Method(enum.Enum):
    """Kind of a request."""

    SUBMIT = "POST"
    DESCRIBE = "GET"
    CANCEL = "DELETE"


class Check(enum.Enum):
    """Property of a history."""

    COMPLETED_STARTS = "a job shown as completed starts no task"
    CANCELLED_STARTS = "a job whose cancellation was acknowledged starts none"
    REFUSED_STARTS = "a job that was only refused starts no task"
    KNOWN = "an accepted job is known"
    ENDED = "an accepted job ends"
    STAYS_COMPLETED = "a job shown as completed stays completed"
    TASKS_ENDED = "a job is shown as completed after its tasks have ended"
    RUNS = "a task runs once at a time, after earlier steps, until it is done"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """Outcome of one request; the status is None if there was no answer."""

    method: Method
    name: str
    entry: str
    sent: float
    at: float
    status: int | None = None
    state: job.JobState | None = None

    @property
    def accepts(self):
        return self.method is Method.SUBMIT and self.status == 200

    @property
    def refuses(self):
        """Whether it says that the job is not handed in by this request."""
        return self.method is Method.SUBMIT and self.status in (404, 429, 503)

    @property
    def cancels(self):
        return self.method is Method.CANCEL and self.status in (200, 410)

    @property
    def completes(self):
        return self.state is job.JobState.COMPLETED


@dataclasses.dataclass(frozen=True, kw_only=True)
class Start:
    """Start of a task by a minion.

    Attributes:
        task: The task.
        at: When it started.
        ordered: When the order was sent.
        entry: Entry that sent the order.
        in_touch: Whether the entry had been without faults for long.
    """

    task: job.TaskId
    at: float
    ordered: float
    entry: str
    in_touch: bool

    @property
    def late(self):
        return self.at - self.ordered > LATE_SECONDS


@dataclasses.dataclass(frozen=True)
class Violation:
    """Property that does not hold."""

    check: Check
    name: str
    detail: str
    in_touch: bool = True

    def __str__(self):
        kind = (
            self.check.name
            if self.in_touch
            else f"{self.check.name} (not in touch)"
        )
        return f"{kind} {self.name} {self.detail}"


@dataclasses.dataclass
class History:
    """What callers and minions have seen of one site."""

    jobs: dict = dataclasses.field(default_factory=dict)
    answers: list = dataclasses.field(default_factory=list)
    starts: list = dataclasses.field(default_factory=list)
    ends: dict = dataclasses.field(default_factory=dict)
    """Time of each task's first end `done`."""

    broken: list = dataclasses.field(default_factory=list)
    """Rules on single runs that were broken."""

    def record_end(self, task, outcome, now):
        if outcome is run.RunOutcome.DONE:
            self.ends.setdefault(task, now)

    def find_first(self, name, condition):
        """Returns the first answer about a job that fulfils `condition`."""
        found = [item for item in self.list_answers(name) if condition(item)]
        return min(found, key=lambda item: item.at, default=None)

    def list_answers(self, name):
        return [item for item in self.answers if item.name == name]

    def list_starts(self, name):
        return [item for item in self.starts if item.task.job == name]


def find_violations(history):
    """Returns all violations of a whole history."""
    checks = (
        _check_completed,
        _check_cancelled,
        _check_refused,
        _check_known,
        _check_state,
        _check_tasks_ended,
    )
    found = [
        violation
        for name in history.jobs
        for check in checks
        for violation in check(history, name)
    ]
    found += [Violation(Check.RUNS, "", detail) for detail in history.broken]
    return found


def check_final_states(history, states):
    """Returns accepted jobs that have not ended as they should.

    Args:
        history: What was seen.
        states: State of each job as each entry shows it after all faults; None
            where the entry does not know the job.
    """
    for name in history.jobs:
        if history.find_first(name, lambda item: item.accepts) is None:
            continue
        allowed = {job.JobState.COMPLETED}
        if history.find_first(name, _is_cancel) is not None:
            allowed |= {job.JobState.CANCELLED}
        for entry, state in states[name].items():
            if state is None:
                yield Violation(Check.KNOWN, name, f"not known at {entry}")
            elif state not in allowed:
                yield Violation(Check.ENDED, name, f"{state.value} at {entry}")


def _is_cancel(answer):
    return answer.method is Method.CANCEL


def _list_later(history, name, fact, seconds):
    """Returns starts later than a fact by more than `seconds`."""
    return [
        item
        for item in history.list_starts(name)
        if item.at > fact.at + seconds and not item.late
    ]


def _render_start(start, fact):
    return (
        f"{start.task.render()} started by {start.entry} at {start.at:.2f},"
        f" {start.at - fact.at:.2f} s after the answer of {fact.entry}"
    )


def _check_completed(history, name):
    shown = history.find_first(name, lambda item: item.completes)
    if shown is None:
        return
    for start in _list_later(history, name, shown, COMPLETED_SECONDS):
        yield Violation(
            Check.COMPLETED_STARTS,
            name,
            _render_start(start, shown),
            start.in_touch,
        )


def _check_cancelled(history, name):
    answer = history.find_first(name, lambda item: item.cancels)
    if answer is None:
        return
    for start in _list_later(history, name, answer, CANCEL_SECONDS):
        yield Violation(
            Check.CANCELLED_STARTS,
            name,
            f"{_render_start(start, answer)} with {answer.status}",
            start.in_touch,
        )


def _check_refused(history, name):
    submissions = [
        item
        for item in history.list_answers(name)
        if item.method is Method.SUBMIT
    ]
    starts = history.list_starts(name)
    if starts and all(item.refuses for item in submissions):
        yield Violation(
            Check.REFUSED_STARTS, name, f"started at {starts[0].at:.2f}"
        )


def _check_known(history, name):
    accepted = history.find_first(name, lambda item: item.accepts)
    if accepted is None:
        return
    cancelled_from = min(
        (item.sent for item in history.list_answers(name) if _is_cancel(item)),
        default=float("inf"),
    )
    for item in history.list_answers(name):
        if (
            item.status == 410
            and item.sent > accepted.at + VISIBLE_SECONDS
            and item.sent <= cancelled_from
        ):
            yield Violation(
                Check.KNOWN, name, f"410 at {item.entry} at {item.at:.2f}"
            )


def _check_state(history, name):
    """A state that is not final may be old; one entry doesn't go back."""
    shown = sorted(
        (item for item in history.list_answers(name) if item.state),
        key=lambda item: item.at,
    )
    for before, after in itertools.combinations(shown, 2):
        if (
            before.completes
            and not after.completes
            and after.sent > before.at
            and (after.state in job.TERMINAL or after.entry == before.entry)
        ):
            yield Violation(
                Check.STAYS_COMPLETED,
                name,
                f"{after.state.value} at {after.entry} at {after.at:.2f},"
                f" completed at {before.entry} at {before.at:.2f}",
            )
            return


def _check_tasks_ended(history, name):
    shown = history.find_first(name, lambda item: item.completes)
    if shown is None:
        return
    for number, step in enumerate(history.jobs[name]):
        for position in range(step.count):
            task = job.TaskId(name, 0, number, position)
            if history.ends.get(task, float("inf")) > shown.at:
                yield Violation(
                    Check.TASKS_ENDED,
                    name,
                    f"{task.render()} had not ended at {shown.at:.2f}",
                )
