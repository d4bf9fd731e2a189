"""Variants of the job service that lack one mechanism.

The random schedules of `job_faults` must break a rule on each of them.
"""

import contextlib
import dataclasses
from unittest import mock

from clementinewood import dispatcher, job
from features import job_harness


def lose_runs_at_once(self, view, now):
    if view.failed_polls:
        self._lose_runs(view, now)
        view.token_accepted = False


def skip_leases():
    """Restarts tasks of a minion that misses one poll, without waiting."""
    return mock.patch.object(
        dispatcher.Dispatcher, "expire_unresponsive", lose_runs_at_once
    )


def acknowledge_early():
    """Acknowledges outcomes before they are stored."""
    apply_report = dispatcher.Dispatcher.handle_report

    def handle_report(self, minion_id, report, **times):
        apply_report(self, minion_id, report, **times)
        view = self.views[minion_id]
        view.stored_sequence = view.applied_sequence

    return mock.patch.object(
        dispatcher.Dispatcher, "handle_report", handle_report
    )


def forget_assignments():
    """Stores progress without the assignments of tasks that run."""
    encode = job.encode_progress

    def encode_progress(progress):
        return encode(dataclasses.replace(progress, assignments={}))

    return mock.patch.object(job, "encode_progress", encode_progress)


def forget_reservations():
    """Stores only the assignments of first steps."""
    encode = job.encode_progress

    def encode_progress(progress):
        first = {
            place: assigned
            for place, assigned in progress.assignments.items()
            if not place[1]
        }
        return encode(dataclasses.replace(progress, assignments=first))

    return mock.patch.object(job, "encode_progress", encode_progress)


def drop_fencing():
    """Lets minions carry out orders of former leaders."""
    apply_start = job_harness.Minion.start

    def start(self, term, order, entry):
        self.token = min(self.token, term)
        return apply_start(self, term, order, entry)

    return mock.patch.object(job_harness.Minion, "start", start)


def repeat_ended_starts():
    """Keeps repeating start orders of runs that have been removed."""
    remove = dispatcher.Dispatcher._remove_run

    def remove_run(self, view, item):
        unanswered = dict(self._unanswered_starts)
        remove(self, view, item)
        self._unanswered_starts.update(unanswered)

    return mock.patch.object(dispatcher.Dispatcher, "_remove_run", remove_run)


def extend_always():
    """Extends leases however long the store has not taken an append."""
    return mock.patch.object(
        dispatcher.Dispatcher, "may_extend_leases", lambda self, now: True
    )


def ignore_majority():
    """Counts an earlier leader's leases from the start of the leadership."""
    return mock.patch.object(
        dispatcher.Dispatcher,
        "_have_leases_expired",
        lambda self, view, now: now >= view.leases_expire_at,
    )


MUTANTS = {
    "leases are waited for": skip_leases,
    "outcomes are stored before they are acknowledged": acknowledge_early,
    "assignments are stored before starts": forget_assignments,
    "reserved assignments are stored before starts": forget_reservations,
    "minions check fencing tokens": drop_fencing,
    "start orders of removed runs are dropped": repeat_ended_starts,
    "a leader without the store needs most minions": extend_always,
    "a successor waits for half of the minions": ignore_majority,
}
"""Variants by the mechanism that they lack."""


@contextlib.contextmanager
def remove(mechanism: str):
    """Runs the body on the variant without `mechanism`."""
    with MUTANTS[mechanism]():
        yield
