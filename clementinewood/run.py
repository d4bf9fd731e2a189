"""Runs of tasks, and a dispatcher's view of the minions that hold them."""

import dataclasses
import enum

from clementinewood import catalog, identifiers, job

LEASE_SECONDS = 4.0
"""How far ahead a minion may go on without hearing from its dispatcher; three
polls fit into it, so that one lost answer ends nothing."""

CLOCK_DRIFT = 0.02
"""A minion's clock may be this much slow or fast."""

LEASE_MARGIN = 0.3
"""Seconds added for rounding and for the age of the clock reading."""


class RunState(enum.Enum):
    """What is known of a run."""

    PLANNED = "planned"
    """Its place is being stored; it is not ordered yet."""

    STARTING = "starting"
    """Ordered; it may or may not be there."""

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
    """The other members of its gang did not come."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Run:
    """One start of one task at one minion.

    Attributes:
        task: The task.
        number: Number of the start; rises for each task.
        minion_id: Where it runs.
        team: Team that it counts for.
        queue: Queue of its job.
        room: Room counted against the minion.
        need: Room counted against the team's cap.
        state: What is known of it.
        state_changed_at: Time of the last change of state.
        tries: Orders sent in this state.
        stop_confirmed: Whether the minion has answered the order to stop.
        unconfirmed: Whether it is known from the store only: the next report
            of the minion tells whether it is there.
        seen_in_report: Whether a report of the minion's current incarnation
            has shown it.
        long_running: Whether it never ends by itself.
        fills: Whether it uses what others leave.
        tail_target: Seconds below which its tail must stay; 0 if it has none.
        max_unavailable: Budget of its step, or None.
        image: What it runs.
        percent: How much of its work is done; 100 is at work if long-running.
        usage: Tail in milliseconds if it serves, else thousandths of a core.
        pace: Share at which it may work, in percent.
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
    stop_confirmed: bool = False
    unconfirmed: bool = False
    seen_in_report: bool = False
    long_running: bool = False
    fills: bool = False
    tail_target: float = 0.0
    max_unavailable: int | None = None
    image: str = ""
    percent: int = 0
    usage: int = 0
    pace: int = 100

    @property
    def key(self) -> "RunKey":
        """What tells it apart from every other run."""
        return (self.task, self.number)

    @property
    def at_work(self) -> bool:
        """Whether a long-running task does its work now."""
        return self.state is RunState.RUNNING and self.percent >= 100


RunKey = tuple[job.TaskId, int]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReportedRun:
    """One run that a minion lists.

    Attributes:
        task: The task.
        number: Number of the start.
        checkpoint: Newest saved progress; empty if there is none.
        percent: How much of its work is done.
        usage: Tail in milliseconds if it serves, else thousandths of a core.
    """

    task: job.TaskId
    number: int
    checkpoint: str
    percent: int
    usage: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EndedRun:
    """One end that a minion lists.

    Attributes:
        sequence: Number of the end in this life of the minion.
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
    """What a minion answers to a poll.

    Attributes:
        incarnation: Start of this life; 0 if it was not said.
        clock: Its own clock in seconds.
        running: Everything that runs there.
        ended: Ends not acknowledged yet, oldest first.
        truncated: Whether further ends may follow.
    """

    incarnation: int
    clock: float
    running: tuple[ReportedRun, ...]
    ended: tuple[EndedRun, ...]
    truncated: bool = False


@dataclasses.dataclass(slots=True)
class MinionView:
    """A dispatcher's view of one minion.

    Attributes:
        minion: What it reports of itself.
        listed: Whether it is in the platform's list now.
        ended: Whether its machine is known to run it no longer.
        token_accepted: Whether it has accepted this dispatcher's token.
        leases_expire_at: Time after which nothing of an earlier lease can run.
        clock_offset: Its clock less ours in seconds; None while unknown.
        last_answer: Time of its last answer to a poll.
        failed_polls: Polls without an answer since.
        applied_sequence: Number of the last outcome applied here.
        stored_sequence: Number of the last outcome that is stored and may be
            acknowledged.
        runs: Everything that may run there.
        used: Room that these runs may take.
        long_running_count: Number of long-running tasks among them.
        cordoned: Whether it gets no new work, since an order will empty it.
        maintenance_pending: Whether an order will empty it later.
        ejected_until: Time until which it gets no new work after bad starts.
        failure_score: Starts and runs that went wrong lately; halves with
            time.
    """

    minion: catalog.Minion
    listed: bool = True
    ended: bool = False
    token_accepted: bool = False
    leases_expire_at: float = 0.0
    clock_offset: float | None = None
    last_answer: float = 0.0
    failed_polls: int = 0
    applied_sequence: int = 0
    stored_sequence: int = 0
    runs: dict[RunKey, Run] = dataclasses.field(default_factory=dict)
    used: job.Resources = job.Resources()
    long_running_count: int = 0
    cordoned: bool = False
    maintenance_pending: bool = False
    ejected_until: float = 0.0
    failure_score: float = 0.0

    @property
    def minion_id(self) -> identifiers.MinionId:
        """Id of the minion."""
        return self.minion.minion_id

    @property
    def draining(self) -> bool:
        """Whether it is leaving."""
        return self.minion.state is catalog.MinionState.DRAINING

    @property
    def has_unstored_outcomes(self) -> bool:
        """Whether ends were seen that would be lost with the minion."""
        return self.applied_sequence > self.stored_sequence

    def add_run(self, item: Run) -> None:
        """Notes that `item` may run there."""
        self.runs[item.key] = item
        self.used = self.used.plus(item.room)
        self.long_running_count += item.long_running

    def remove_run(self, item: Run) -> None:
        """Notes that `item` does not run there; it may be gone already."""
        if self.runs.get(item.key) is item:
            del self.runs[item.key]
            self.used = self.used.minus(item.room)
            self.long_running_count -= item.long_running

    def free(self) -> job.Resources:
        """Returns the room that is left."""
        return self.minion.capacity.minus(self.used)

    def lease_deadline(self, now: float) -> float | None:
        """Returns the end of a lease granted now, on the minion's clock."""
        if self.clock_offset is None:
            return None
        return now + self.clock_offset + LEASE_SECONDS

    def record_lease(self, now: float) -> None:
        """Notes that a lease was granted now and may have been received."""
        end = now + LEASE_SECONDS * (1 + CLOCK_DRIFT) + LEASE_MARGIN
        self.leases_expire_at = max(self.leases_expire_at, end)


if __name__ == "__main__":
    print(RunOutcome("done"), RunState.STARTING)
