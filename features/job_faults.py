"""Runs sites of `job_harness` under faults drawn from a seed."""

import enum
import random

from clementinewood import job, jobservice, ports
from features import job_harness

SETTLE_SECONDS = 25.0
"""Time without faults after which every accepted job is completed."""

LONG_JOB_RATIO = 0.15
LONG_TASK_SECONDS = 10.0
"""Under partitions, some tasks outlast the leases of a former leader."""


class FaultKind(enum.Enum):
    """Fault of one entry, one minion or the store."""

    KILL = "kill"
    STOP = "stop"
    STORE_CUT = "cut"
    LOSSY_STORE = "lossy-store"
    LOSSY_MINION = "lossy-minion"
    UNREACHABLE_MINION = "dark"
    CRASHED_MINION = "crash"
    SILENT_STORE = "silent-store"
    PAUSE = "pause"
    SLOW_LINK = "slow-link"
    EXPIRED_HISTORY = "expired-history"
    LATE_ORDERS = "late-orders"
    PARTIAL_CUT = "partial-cut"
    """One entry can't reach a minion; the others can."""

    PARTITION = "partition"
    """An entry and some minions reach only each other."""


LOSSES = (
    FaultKind.KILL,
    FaultKind.STOP,
    FaultKind.STORE_CUT,
    FaultKind.LOSSY_STORE,
    FaultKind.LOSSY_MINION,
    FaultKind.UNREACHABLE_MINION,
    FaultKind.CRASHED_MINION,
    FaultKind.SILENT_STORE,
)
"""Kinds that lose processes, connections and responses."""

STALE_LEADERS = (
    FaultKind.PAUSE,
    FaultKind.PAUSE,
    FaultKind.STORE_CUT,
    FaultKind.PARTIAL_CUT,
    FaultKind.PARTIAL_CUT,
    FaultKind.SLOW_LINK,
)
"""Kinds under which a former leader goes on while its successor acts."""

DELAYS = (
    FaultKind.KILL,
    FaultKind.STOP,
    FaultKind.UNREACHABLE_MINION,
    FaultKind.LOSSY_STORE,
    FaultKind.PAUSE,
    FaultKind.PAUSE,
    FaultKind.SLOW_LINK,
    FaultKind.EXPIRED_HISTORY,
    FaultKind.LATE_ORDERS,
)
"""Kinds that delay processes, responses and orders, among changes of the
leader."""

PARTITIONS = (
    FaultKind.PARTITION,
    FaultKind.PARTITION,
    FaultKind.PARTITION,
    FaultKind.KILL,
    FaultKind.UNREACHABLE_MINION,
    FaultKind.PAUSE,
    FaultKind.SLOW_LINK,
)
"""Kinds that divide entries and minions, among changes of the leader."""


def create_steps(steps, count, seconds=0.5):
    """Returns steps that run one after the other."""
    return [
        job.Step(
            count=count,
            need=job.Resources(1000, 100),
            estimate=seconds,
            after=(number - 1,) if number else (),
        )
        for number in range(steps)
    ]


def run_site(seed, seconds, *, kinds=LOSSES, spare=None, most_failures=0):
    """Runs one site under overlapping faults, then long enough to settle.

    More than `most_failures` callbacks that raise an exception end the run.
    """
    rng = random.Random(seed)
    harness = job_harness.JobHarness(seed, entries=4, minions=5, spare=spare)
    harness.most_failures = most_failures
    harness.run_for(2.0)
    answers = {}
    end = harness.clock() + seconds
    number = 0
    while harness.clock() < end:
        harness.run_for(rng.uniform(0.2, 0.6))
        if rng.random() < 0.3:
            inject_fault(harness, rng, rng.choice(kinds))
        name = f"{seed:08x}{number:08x}"
        number += 1
        entry = rng.choice(harness.entries)
        steps = create_steps(rng.randint(1, 3), rng.randint(1, 5), 0.4)
        if FaultKind.PARTITION in kinds and rng.random() < LONG_JOB_RATIO:
            steps = create_steps(1, 2, LONG_TASK_SECONDS)
        if not entry._timers.paused:
            answers[name] = harness.submit(entry, name, steps)
    clear_faults(harness)
    harness.run_for(SETTLE_SECONDS)
    harness.taken = [
        name
        for name, answer in answers.items()
        if answer and isinstance(answer[0], jobservice.Accepted)
    ]
    assert len(harness.taken) > 10, (seed, len(harness.taken))
    return harness


def inject_fault(harness, rng, kind):
    """Injects one fault, which ends by itself."""
    entry = harness.dispatcher() or rng.choice(harness.entries)
    if rng.random() < 0.4:
        entry = rng.choice(harness.entries)
    minion = rng.choice(list(harness.minions.values()))
    span = rng.uniform(1.0, 6.0)
    later = harness.timers.subscribe_once
    match kind:
        case FaultKind.KILL | FaultKind.STOP:
            if len(harness.entries) > 1:
                _replace_entry(harness, rng, entry, kind)
        case FaultKind.STORE_CUT:
            link = entry._store.link
            link.down = True
            later(
                span,
                lambda: setattr(link, "down", entry not in harness.entries),
            )
        case FaultKind.LOSSY_STORE:
            link = entry._store.link
            link.lost_answer_ratio, link.late = 0.4, 3.0
            later(span, lambda: setattr(link, "lost_answer_ratio", 0.0))
        case FaultKind.LOSSY_MINION:
            link = entry._minions.link(minion.minion_id)
            link.lost_answer_ratio, link.late = 0.5, 6.0
            later(span, lambda: setattr(link, "lost_answer_ratio", 0.0))
        case FaultKind.UNREACHABLE_MINION:
            minion.unreachable = True
            later(span, lambda: setattr(minion, "unreachable", False))
        case FaultKind.CRASHED_MINION:
            minion.crash()
        case FaultKind.SILENT_STORE:
            for item in harness.entries:
                link = item._store.link
                link.down = True
                later(
                    span / 2,
                    lambda link=link, item=item: setattr(
                        link, "down", item not in harness.entries
                    ),
                )
        case FaultKind.PAUSE:
            _pause(harness, rng, entry, span * 2.0)
        case FaultKind.SLOW_LINK:
            _slow_link(harness, entry, span)
        case FaultKind.EXPIRED_HISTORY:
            _expire_history(harness, entry, span)
        case FaultKind.LATE_ORDERS:
            _delay_orders(harness, span)
        case FaultKind.PARTIAL_CUT:
            link = entry._minions.link(minion.minion_id)
            link.down = True
            later(2.0 * span, lambda: setattr(link, "down", False))
        case FaultKind.PARTITION:
            _divide(harness, rng, entry, 3.0 * span)


def _replace_entry(harness, rng, entry, kind):
    later = harness.timers.subscribe_once
    if kind is FaultKind.STOP:
        entry.stop()
        later(0.5, lambda: entry in harness.entries and harness.kill(entry))
    else:
        harness.kill(entry)
    later(
        rng.uniform(0.5, 2.0),
        lambda: harness.add_entry(f"entry-{rng.randrange(1 << 30)}"),
    )


def _pause(harness, rng, entry, seconds):
    responses_first = rng.random() < 0.5
    if entry._timers.paused:
        return
    entry._timers.pause()
    harness.timers.subscribe_once(
        seconds, lambda: _resume(harness, entry, responses_first)
    )


def _resume(harness, entry, responses_first):
    if entry in harness.entries and entry._timers.paused:
        entry._timers.resume(responses_first=responses_first)


def _divide(harness, rng, entry, seconds):
    if harness.isolated_entries:
        return
    minions = list(harness.minions.values())
    harness.isolate([entry], rng.sample(minions, rng.randint(1, len(minions))))
    harness.timers.subscribe_once(seconds, harness.end_isolation)


def _slow_link(harness, entry, seconds):
    """Lets the responses of all minions wait on the link of an entry."""
    links = [entry._minions.link(name) for name in harness.minions]
    for link in links:
        link.slowest_response = 1.5

    def end():
        for link in links:
            link.slowest_response = 0.0

    harness.timers.subscribe_once(seconds, end)


def _expire_history(harness, entry, seconds):
    """Drops the history while an entry reads slowly and loads in pages."""
    access = entry._store
    access.slow_reads = 0.3
    access.page_records, access.page_seconds = 4, 0.1

    def expire():
        for stream in (ports.Stream.JOBS, ports.Stream.DISPATCH):
            harness.store.drop_history(stream)

    def end():
        access.slow_reads = 0.0
        access.page_records = None
        access.page_seconds = job_harness.STORE_SECONDS

    harness.timers.subscribe_once(seconds / 2, expire)
    harness.timers.subscribe_once(seconds, end)


def _delay_orders(harness, seconds):
    """Leaves some orders of every entry unanswered and carries them out late.

    The responses of other calls to minions get lost as well.
    """
    links = [
        entry._minions.link(name)
        for entry in harness.entries
        for name in harness.minions
    ]
    for link in links:
        link.lost_answer_ratio, link.earliest, link.late = 0.1, 2.0, 12.0

    def end():
        for link in links:
            link.lost_answer_ratio = 0.0

    harness.timers.subscribe_once(seconds, end)


def clear_faults(harness):
    """Ends all faults that have not ended by themselves."""
    harness.end_isolation()
    for minion in harness.minions.values():
        minion.unreachable = False
    for entry in list(harness.entries):
        if entry._timers.paused:
            entry._timers.resume(responses_first=True)
        entry._store.link.down = False
        entry._store.link.lost_answer_ratio = 0.0
        for link in entry._minions.links.values():
            link.down = False
            link.lost_answer_ratio = 0.0
            link.slowest_response = 0.0
