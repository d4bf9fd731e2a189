"""Variants of the job service that forget what callers were told.

The random schedules of `power_loss` must fail a check on each of them.
"""

import contextlib
from unittest import mock

from clementinewood import (
    dispatchdriver,
    job,
    jobservice,
    jobwriter,
    ports,
    verdict,
)
from features import job_mutants


def accept_early():
    """Accepts a job before it is stored."""
    submit = jobservice.JobService.submit

    def accept(self, accepted, timeout_seconds, on_answer):
        submit(self, accepted, timeout_seconds, lambda outcome: None)
        on_answer(jobservice.Accepted())

    return mock.patch.object(jobservice.JobService, "submit", accept)


def refuse_unknown_outcomes():
    """Refuses a job as not stored although an append may arrive."""

    def fail_write(self, write):
        self._finish(write, ports.Failed(verdict.Execution.NOT_RUN, "late"))

    return mock.patch.object(jobwriter.JobWriter, "_fail_write", fail_write)


def forget_jobs():
    """Starts nothing of jobs that were accepted before the term."""
    add_job = dispatchdriver.DispatchDriver._add_job

    def add_new_job(self, *arguments):
        if self._taken_over:
            add_job(self, *arguments)

    return mock.patch.object(
        dispatchdriver.DispatchDriver, "_add_job", add_new_job
    )


def show_completed_early():
    """Shows jobs that run as completed while the store is away."""

    def find_state(driver, job_id):
        store_is_away = (
            driver._timers.clock() > driver._compute_leadership_end()
        )
        return job.JobState.COMPLETED if store_is_away else None

    return answer_from_memory(find_state)


def show_unstored_completions():
    """Shows completions that only the leader and the minions know."""
    return answer_from_memory(
        lambda driver, job_id: driver.dispatcher._ended.get(job_id)
    )


def answer_from_memory(find_state):
    """Lets the leader answer states from what it remembers.

    Args:
        find_state: Returns the state to answer, or None for the stored one.
    """
    describe = jobservice.JobService.describe

    def answer(self, job_id, on_answer):
        known = self.table.find(job_id) is not None
        driver = self.elector.driver
        state = find_state(driver, job_id) if driver and known else None
        if state is None:
            describe(self, job_id, on_answer)
        else:
            on_answer(jobservice.JobDescription(state))

    return mock.patch.object(jobservice.JobService, "describe", answer)


def acknowledge_cancellations_early():
    """Answers a cancellation before it is stored."""
    cancel_found = jobservice.JobService._cancel_found

    def cancel(self, job_id, entry, seconds, on_answer, *, known):
        if entry is None:
            cancel_found(self, job_id, entry, seconds, on_answer, known=known)
            return
        on_answer(jobservice.Cancelled())
        cancel_found(
            self, job_id, entry, seconds, lambda outcome: None, known=known
        )

    return mock.patch.object(jobservice.JobService, "_cancel_found", cancel)


MUTANTS = {
    "a job is stored before it is accepted": accept_early,
    "a refusal tells whether the job may be stored": refuse_unknown_outcomes,
    "a new leader continues the jobs that it finds": forget_jobs,
    "only jobs that have ended are shown as completed": show_completed_early,
    "a completion is stored before it is shown": show_unstored_completions,
    "cancellations are stored before they are answered": (
        acknowledge_cancellations_early
    ),
    "outcomes are stored before they are acknowledged": (
        job_mutants.acknowledge_early
    ),
}
"""Variants by the mechanism that they lack."""


@contextlib.contextmanager
def remove(mechanism: str):
    """Runs the body on the variant without `mechanism`."""
    with MUTANTS[mechanism]():
        yield
