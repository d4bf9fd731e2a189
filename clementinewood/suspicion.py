"""Decides which tasks are to blame for the crash of a minion.

Load pattern: a task crashes each minion that starts it, beside many tasks that
are not to blame, while minions also crash by themselves, with their zone or in
a power loss. A crash makes suspects of the tasks that had just started on the
minion. Suspects start apart from other starts, first in small groups, then
alone; if the minion crashes right after one has started alone, it is to blame.
"""

import collections
import dataclasses
import enum
import math
from collections.abc import Iterable, Mapping

from clementinewood import catalog, identifiers, job, run

PROBATION_SECONDS = 0.3
"""Time after a start in which a crash is put down to it. While suspects are on
probation, nothing else starts on their minion."""

GROUP_SIZE = 4
"""Tasks suspected of one crash that start together, so that most of many
suspects are cleared soon. Those suspected twice start alone."""

CRASHES_TO_BLAME = 3
"""Crashes right after a start, the last one alone, after which a task is given
up."""

SURVIVAL_SECONDS = 10.0
"""Age from which a run is not to blame for a crash; its task is cleared."""

MAX_CRASHES = 5
"""Crashes after which the task that was in most of them is given up, although
none of them came right after a start."""

COMPANY_SECONDS = 0.3
"""Time within which crashes of the minions of a zone or rack are put down to
it, if most of them crash."""

DOMAIN_SHARE = 0.5
"""Share of the minions of a zone or rack that counts as most of them."""

MAX_GANG_CRASHES = 3
"""Crashes right after a start after which a gang is given up. Its members start
together, so none of them starts apart."""


_Records = list[tuple[run.Run, job.CrashRecord]]


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """What one crash says about one run.

    Attributes:
        item: The run.
        record: Crashes of its task, this one included.
        to_blame: Whether its task is given up.
    """

    item: run.Run
    record: job.CrashRecord
    to_blame: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Domain:
    """Zone or rack, whose minions can crash together."""

    kind: str
    name: str


class CrashHistory:
    """Holds the last crashes, to tell those of a whole zone from single ones.

    One suspected task at a time starts alone in each zone, and groups of them
    on fewer minions than are most of a zone or rack, so crashes under them are
    shared by most of a zone or rack only if these are the cause.
    """

    def __init__(self) -> None:
        self._noticed: dict[identifiers.MinionId, float] = {}
        self._crashes: dict[Domain, list[float]] = {}
        self._sizes: collections.Counter[Domain] = collections.Counter()

    def set_domains(self, minions: Iterable[Iterable[Domain]]) -> None:
        """Replaces the domains that the minions belong to."""
        self._sizes = collections.Counter(
            domain for domains in minions for domain in domains
        )

    def add(
        self,
        now: float,
        minion_id: identifiers.MinionId,
        domains: Iterable[Domain],
    ) -> None:
        """Adds a crash that was noticed at `now`, in monotonic seconds."""
        oldest = now - 3.0 * COMPANY_SECONDS
        if self._noticed.get(minion_id, -math.inf) >= oldest:
            return
        self._noticed[minion_id] = now
        for domain in domains:
            crashes = self._crashes.setdefault(domain, [])
            if crashes and crashes[0] < oldest:
                crashes[:] = [at for at in crashes if at >= oldest]
            crashes.append(now)

    def is_shared(self, at: float, domains: Iterable[Domain]) -> bool:
        """Whether most minions of a failure domain crashed around `at`."""
        return any(self._is_domain_lost(at, domain) for domain in domains)

    def allows_group(
        self, domains: Iterable[Domain], started: Mapping[Domain, int]
    ) -> bool:
        """Whether a group of suspects may start on one more minion.

        Args:
            domains: Failure domains of the minion.
            started: Number of minions on which suspects have just started, by
                failure domain.
        """
        return all(
            started.get(domain, 0) + 1 < self._compute_least(domain)
            for domain in domains
        )

    def _compute_least(self, domain: Domain) -> int:
        """Returns the number of crashes from which a domain counts as lost."""
        return max(2, math.ceil(DOMAIN_SHARE * self._sizes[domain]))

    def _is_domain_lost(self, at: float, domain: Domain) -> bool:
        known = self._crashes.get(domain, ())
        least = self._compute_least(domain)
        if len(known) < least:
            return False
        return (
            sum(abs(noticed - at) <= COMPANY_SECONDS for noticed in known)
            >= least
        )


def list_domains(minion: catalog.Minion) -> tuple[Domain, ...]:
    """Returns the zone and, if it is known, the rack of a minion."""
    zone = Domain("zone", minion.zone)
    rack = tuple(Domain("rack", name) for name in minion.labels[-1:])
    return (zone, *rack)


class Isolation(enum.Enum):
    """How a task must start, given the crashes under it."""

    NONE = "none"
    GROUP = "group"
    """Apart from other starts, with a few suspects like it."""

    ALONE = "alone"


def find_isolation(record: job.CrashRecord | None) -> Isolation:
    """Returns how a task with these crashes must start."""
    match record.suspected if record is not None else 0:
        case 0:
            return Isolation.NONE
        case 1:
            return Isolation.GROUP
        case _:
            return Isolation.ALONE


def assess_crash(
    minion_id: identifiers.MinionId,
    runs: Iterable[tuple[run.Run, job.CrashRecord | None]],
    crashed_at: float,
) -> list[Finding]:
    """Returns what the crash of a minion says about its runs.

    Args:
        minion_id: The minion.
        runs: Runs that may have been on it, with the earlier crashes of their
            tasks.
        crashed_at: Monotonic time in seconds of the last sign of life.
    """
    records: _Records = []
    for item, known in runs:
        record = known or job.CrashRecord()
        if item.number <= record.number:
            # An earlier leader has counted it.
            continue
        age = crashed_at - item.last_ordered_at
        if item.last_ordered_at and age >= SURVIVAL_SECONDS:
            record = job.CrashRecord()
            records.append(
                (item, dataclasses.replace(record, number=item.number))
            )
            continue
        recent = item.last_ordered_at > 0 and age <= PROBATION_SECONDS
        unknown = item.unconfirmed and record.crashes > 0
        records.append(
            (
                item,
                job.CrashRecord(
                    crashes=record.crashes + 1,
                    suspected=record.suspected + int(recent or unknown),
                    number=item.number,
                    minions=(*record.minions, minion_id)[-MAX_CRASHES:],
                ),
            )
        )
    proven = [
        Finding(item, record, to_blame=True)
        for item, record in records
        if item.isolated
        and record.suspected >= CRASHES_TO_BLAME
        and _started_apart(item, _list_others(item, records), crashed_at)
    ]
    if proven:
        # The crash says nothing about the other runs.
        return proven
    return [
        Finding(item, record, _is_worst(item, record, records, crashed_at))
        for item, record in records
    ]


def _list_others(item: run.Run, records: _Records) -> _Records:
    """Returns the records of runs that belong to other steps."""
    return [
        (other, found)
        for other, found in records
        if other.task.job != item.task.job or other.task.step != item.task.step
    ]


def _is_worst(
    item: run.Run,
    record: job.CrashRecord,
    records: _Records,
    crashed_at: float,
) -> bool:
    """Whether a run that did not start alone is to blame all the same."""
    others = _list_others(item, records)
    if item.gang:
        return record.suspected >= MAX_GANG_CRASHES and record.suspected > max(
            (found.suspected for _, found in others), default=0
        )
    return (
        record.crashes >= MAX_CRASHES
        and record.crashes
        > max((found.crashes for _, found in others), default=0)
        and not any(
            _is_recent(other, crashed_at)
            for other, _ in records
            if other is not item
        )
    )


def _is_recent(item: run.Run, crashed_at: float) -> bool:
    return crashed_at - item.last_ordered_at <= PROBATION_SECONDS


def _started_apart(
    item: run.Run,
    others: _Records,
    crashed_at: float,
) -> bool:
    """Whether the crash came right after the start of this run alone."""
    if item.unconfirmed:
        # An earlier leader started it, apart from all others.
        return not any(other.isolated for other, _ in others)
    return _is_recent(item, crashed_at) and not any(
        _is_recent(other, crashed_at) for other, _ in others
    )


if __name__ == "__main__":
    print(find_isolation(job.CrashRecord(crashes=1, suspected=1, number=1)))
