"""Defines runs of tasks and the dispatcher's view of minions."""

import collections
import dataclasses
import enum
import math

from clementinewood import catalog, identifiers, job

LEASE_SECONDS = 4.0
"""Duration of a lease, within which a minion works without contact to the
leader. It spans three polls, so that one lost response ends no run."""

CLOCK_DRIFT = 0.02
"""Largest relative error of the rate of a minion's clock."""

LEASE_MARGIN = 0.3
"""Seconds added to a lease for rounding and the age of the clock reading."""

_NO_ROOM = job.Resources()

MAX_LEASE_SECONDS = LEASE_SECONDS * (1 + CLOCK_DRIFT) + LEASE_MARGIN
"""Longest time on the dispatcher's clock for which a lease granted now, or a
start order sent now, can be valid at its minion."""


class RunState(enum.Enum):
    """State of a run as the dispatcher knows it."""

    PLANNED = "planned"
    """Its assignment is being stored; no order has been sent."""

    STARTING = "starting"
    """Ordered; it may or may not have started."""

    RUNNING = "running"
    STOPPING = "stopping"


class RunOutcome(enum.Enum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    """Its lease ran out."""

    GANG_MEMBER_ENDED = "broken"
    """Another member of its gang ended."""

    ALONE = "alone"
    """The other members of its gang did not start in time."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Run:
    """One start of one task on one minion.

    Attributes:
        task: The task.
        number: Number of the start; increases with each start of the task.
        minion_id: Minion that runs it.
        team: Team whose usage it counts for.
        queue: Queue of its job.
        room: Room counted against the minion.
        need: Room counted against the team's cap.
        state: State as the dispatcher knows it.
        state_changed_at: Monotonic time in seconds of the last change of state
            or repeated stop order.
        tries: Orders sent in this state.
        attempts_in_flight: Start orders whose outcome is not known.
        last_ordered_at: Monotonic time in seconds of the last start order.
        stop_confirmed: Whether the minion has acknowledged the stop order.
        unconfirmed: Whether it is known from the store only, until the next
            report of its minion.
        awaits_report: Whether it is not known if a start order was carried out,
            and the next report decides whether the run is stopped.
        start_rejected: Whether a repeated start order was rejected or not sent.
        seen_in_report: Whether a report of the minion's current incarnation
            has listed it.
        long_running: Whether it never ends by itself.
        unneeded: Whether no task needs it; it is being stopped.
        fills: Whether it uses capacity that others leave unused.
        gang: Whether it is a member of a gang.
        isolated: Whether it started apart from other starts, since its task is
            suspected of crashing minions.
        alone: Whether nothing else may start beside it until it has survived.
        lost_at: Monotonic time in seconds of the last sign of life before its
            minion restarted, if no report has shown the run since; else 0.
        tail_target: Target of its tail latency in seconds; 0 if it has none.
        max_unavailable: Budget of its step, or None.
        image: What it runs.
        percent: Progress in percent; a long-running task is available at 100.
        usage: Tail latency in milliseconds if it serves users, else
            thousandths of a core.
        pace: Pace at which it may work, in percent of full pace.
        expected_seconds: Expected run time in seconds.
    """

    task: job.TaskId
    number: int
    minion_id: identifiers.MinionId
    team: identifiers.TeamId
    queue: identifiers.QueueId
    room: job.Resources
    need: job.Resources
    state: RunState = RunState.PLANNED
    state_changed_at: float = 0.0
    tries: int = 0
    attempts_in_flight: int = 0
    last_ordered_at: float = 0.0
    stop_confirmed: bool = False
    unconfirmed: bool = False
    awaits_report: bool = False
    start_rejected: bool = False
    seen_in_report: bool = False
    long_running: bool = False
    unneeded: bool = False
    fills: bool = False
    gang: bool = False
    isolated: bool = False
    alone: bool = False
    lost_at: float = 0.0
    tail_target: float = 0.0
    max_unavailable: int | None = None
    image: str = ""
    percent: int = 0
    usage: int = 0
    pace: int = 100
    expected_seconds: float = 0.0

    @property
    def key(self) -> "RunKey":
        """Task and number, which identify the run."""
        return (self.task, self.number)

    @property
    def awaits_order(self) -> bool:
        """Whether no answer or report shows that its last order was taken."""
        match self.state:
            case RunState.STARTING:
                return self.tries > 0 and not self.unconfirmed
            case RunState.STOPPING:
                return self.tries > 0 and not self.stop_confirmed
            case _:
                return False

    @property
    def at_work(self) -> bool:
        """Whether a long-running task is available."""
        return self.state is RunState.RUNNING and self.percent >= 100


RunKey = tuple[job.TaskId, int]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReportedRun:
    """One run in a minion's report.

    Attributes:
        task: The task.
        number: Number of the start.
        checkpoint: Newest saved progress; empty if there is none.
        percent: Progress in percent.
        usage: Tail latency in milliseconds if it serves users, else
            thousandths of a core.
    """

    task: job.TaskId
    number: int
    checkpoint: str
    percent: int
    usage: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EndedRun:
    """Outcome of one run in a minion's report.

    Attributes:
        sequence: Number of the outcome within the minion's incarnation.
        task: The task.
        number: Number of the start.
        outcome: How it ended.
        checkpoint: Saved progress; empty if there is none.
    """

    sequence: int
    task: job.TaskId
    number: int
    outcome: RunOutcome
    checkpoint: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MinionReport:
    """Response of a minion to a poll.

    Attributes:
        incarnation: Start of its incarnation in Unix milliseconds; 0 if it was
            not reported.
        clock: Reading of its own clock in seconds.
        running: Runs on the minion.
        ended: Outcomes not acknowledged yet, oldest first.
        truncated: Whether further outcomes may follow, also of runs missing
            from this report.
    """

    incarnation: int
    clock: float
    running: tuple[ReportedRun, ...]
    ended: tuple[EndedRun, ...]
    truncated: bool = False


@dataclasses.dataclass(slots=True)
class MinionView:
    """State of one minion as the dispatcher knows it.

    Attributes:
        minion: What it reports of itself.
        listed: Whether it is in the platform's list now.
        ended: Whether the platform reports that it has ended.
        token_accepted: Whether it has accepted this dispatcher's token.
        token_confirmed_at: Monotonic time in seconds at which the newest poll
            was sent in response to which it accepted this dispatcher's token;
            minus infinity if there was none.
        leases_expire_at: Monotonic time in seconds by which all its leases have
            expired.
        clock_offset: Its clock minus the local monotonic clock in seconds; None
            while unknown.
        last_answer: Monotonic time in seconds of its last response to a poll.
        last_contact: Monotonic time in seconds of its last response to a poll
            or a start order.
        failed_polls: Consecutive polls without a response since then.
        applied_sequence: Number of the last outcome applied here.
        stored_sequence: Number of the last outcome that is stored and may be
            acknowledged.
        runs: Runs that may exist on it, by task and number.
        used: Room that these runs may take.
        used_by_team: Part of it that each team's runs may take.
        long_running_count: Number of long-running tasks among them.
        cordoned: Whether it gets no new work, so that its machine can move or
            have maintenance.
        maintenance_pending: Whether a wave will drain it later.
        ejected_until: Monotonic time in seconds until which it gets no new work
            after failures.
        failure_score: Failed starts and runs; halved by each successful run.
        held_until: Monotonic time in seconds until which only a suspected task
            may start on it.
        isolated: The suspected runs on probation here.
        starting: Runs of this leader whose start is planned or not confirmed.
        gang_orders_in_flight: Start orders of members of gangs whose outcome
            is not known.
        unordered: Members of gangs whose starts are stored, but not ordered
            yet, since enough other orders are in flight.
        orders_unanswered_since: Monotonic time in seconds since which it has
            taken no order although some were sent; infinity if none waits.
        refuses_orders: Whether that has lasted for so long that its leases are
            not extended and it gets no new work.
    """

    minion: catalog.Minion
    listed: bool = True
    ended: bool = False
    token_accepted: bool = False
    token_confirmed_at: float = -math.inf
    leases_expire_at: float = 0.0
    clock_offset: float | None = None
    last_answer: float = 0.0
    last_contact: float = 0.0
    failed_polls: int = 0
    applied_sequence: int = 0
    stored_sequence: int = 0
    runs: dict[RunKey, Run] = dataclasses.field(default_factory=dict)
    used: job.Resources = job.Resources()
    used_by_team: dict[identifiers.TeamId, job.Resources] = dataclasses.field(
        default_factory=dict
    )
    long_running_count: int = 0
    cordoned: bool = False
    maintenance_pending: bool = False
    ejected_until: float = 0.0
    failure_score: float = 0.0
    held_until: float = 0.0
    isolated: list[Run] = dataclasses.field(default_factory=list)
    starting: set[RunKey] = dataclasses.field(default_factory=set)
    gang_orders_in_flight: int = 0
    unordered: collections.deque[Run] = dataclasses.field(
        default_factory=collections.deque
    )
    orders_unanswered_since: float = math.inf
    refuses_orders: bool = False
    _ordered: dict[RunKey, None] = dataclasses.field(default_factory=dict)

    @property
    def minion_id(self) -> identifiers.MinionId:
        """Id of the minion."""
        return self.minion.minion_id

    @property
    def draining(self) -> bool:
        """Whether the minion reports that it takes no new work."""
        return self.minion.state is catalog.MinionState.DRAINING

    @property
    def has_unstored_outcomes(self) -> bool:
        """Whether outcomes applied here would be lost if it ended now."""
        return self.applied_sequence > self.stored_sequence

    def add_run(self, item: Run) -> None:
        """Adds a run that may exist on the minion and counts its room."""
        self.runs[item.key] = item
        self.used = self.used.plus(item.room)
        used = self.used_by_team.get(item.team, _NO_ROOM)
        self.used_by_team[item.team] = used.plus(item.room)
        self.long_running_count += item.long_running
        if item.isolated:
            self.isolated.append(item)

    def remove_run(self, item: Run) -> None:
        """Removes a run, if present, and frees its room."""
        if self.runs.get(item.key) is item:
            del self.runs[item.key]
            self.starting.discard(item.key)
            self.used = self.used.minus(item.room)
            used = self.used_by_team[item.team].minus(item.room)
            if used == _NO_ROOM:
                del self.used_by_team[item.team]
            else:
                self.used_by_team[item.team] = used
            self.long_running_count -= item.long_running
            if item in self.isolated:
                self.isolated.remove(item)

    def free(self) -> job.Resources:
        """Returns the room that is left."""
        return self.minion.capacity.minus(self.used)

    def has_room_for(self, item: Run) -> bool:
        """Whether a run that is counted already fits.

        The capacity may have shrunk since its minion was chosen.
        """
        return item.room.fits(self.free().plus(item.room))

    def lease_deadline(self, now: float) -> float | None:
        """Returns the end of a lease granted now, on the minion's clock.

        Returns None while the clock offset is unknown.
        """
        if self.clock_offset is None:
            return None
        return now + self.clock_offset + LEASE_SECONDS

    def record_lease(self, now: float) -> None:
        """Extends `leases_expire_at` for a lease granted now."""
        self.leases_expire_at = max(
            self.leases_expire_at, now + MAX_LEASE_SECONDS
        )

    def note_order_sent(self, key: RunKey, now: float) -> None:
        """Records that an order about a run was sent."""
        self._ordered[key] = None
        self.orders_unanswered_since = min(self.orders_unanswered_since, now)

    def note_order_taken(self, now: float) -> None:
        """Records that an answer or report shows that an order was taken."""
        waits = self._awaits_order()
        self.orders_unanswered_since = now if waits else math.inf
        self.refuses_orders = False

    def _awaits_order(self) -> bool:
        """Whether an order waits to be taken.

        A run whose last order was taken is not looked at again until the next
        one is sent.
        """
        while self._ordered:
            key = next(iter(self._ordered))
            item = self.runs.get(key)
            if item is not None and item.awaits_order:
                return True
            del self._ordered[key]
        return False

    def update_order_refusal(
        self, now: float, longest: float, *, late: bool
    ) -> None:
        """Decides whether it counts as refusing orders.

        Args:
            now: Monotonic time in seconds.
            longest: Seconds without an order taken while orders wait.
            late: Whether the responses of all minions are late, so that
                missing ones say nothing about this minion.
        """
        if now - self.orders_unanswered_since < longest:
            return
        waits = self._awaits_order()
        if late or not waits:
            self.orders_unanswered_since = now if waits else math.inf
        self.refuses_orders = waits and not late


if __name__ == "__main__":
    print(RunOutcome("done"), RunState.STARTING)
