"""Claims, holds and gives up the dispatcher's office for one entry."""

from collections.abc import Callable

from clementinewood import (
    dispatchdriver,
    event,
    feed,
    fencedlog,
    identifiers,
    jobtable,
    ports,
    succession,
    timer,
)

CHECK_SECONDS = 0.1
"""Period of checking whether the office is vacant."""

CLAIM_SECONDS = 3.0
"""Time after which a claim without a certain outcome is given up; the longest
delay of a store that is merely slow is well below it."""

STORE_SILENT_SECONDS = 1.5
"""Time without an answer from which the store counts as silent: an idle read of
jobs is answered after one second and a gap."""

SEQUENCE_RANGE = 1 << 30
"""Claims start at a random number below this. Two claims of one term differ in
it, so that the store refuses the later one."""

CreateDriver = Callable[
    [identifiers.Term, fencedlog.FencedLog, float],
    dispatchdriver.DispatchDriver,
]


class OfficeKeeper:
    """One entry's claims to the office, and its driver while it holds it.

    Args:
        holder: This process.
        store: The platform's store.
        dispatch_feed: Feed of the log that the office is recorded in.
        jobs_feed: Feed of the log of jobs.
        timers: Timer service.
        chance: Source of random numbers from 0 to 1.
        lease_seconds: Least time between machine orders of two dispatchers.
        create_driver: Creates a driver from its term, its log and the seconds
            before its first order about a machine.
        on_begun: Called with a driver that is to start.
        on_left: Called after the office was left.

    Attributes:
        driver: The driver while this entry dispatches, or None.
    """

    def __init__(
        self,
        holder: identifiers.Incarnation,
        *,
        store: ports.Store,
        dispatch_feed: feed.Feed,
        jobs_feed: feed.Feed,
        timers: timer.TimerService,
        chance: Callable[[], float],
        lease_seconds: float,
        create_driver: CreateDriver,
        on_begun: Callable[[dispatchdriver.DispatchDriver], None],
        on_left: Callable[[], None],
    ) -> None:
        self.driver: dispatchdriver.DispatchDriver | None = None
        self._holder = holder
        self._store = store
        self._feed = dispatch_feed
        self._jobs_feed = jobs_feed
        self._timers = timers
        self._chance = chance
        self._lease_seconds = lease_seconds
        self._create_driver = create_driver
        self._on_begun = on_begun
        self._on_left = on_left
        self._succession = succession.Succession(holder, chance())
        self._log: fencedlog.FencedLog | None = None
        self._claim_limit: timer.Subscription | None = None
        self._claim_head: int | None = None
        self._claimed_at = 0.0
        self._releasing = False
        self._before: jobtable.LeaderRecord | None = None
        self._heard_before = 0.0

    @property
    def standing(self) -> succession.Standing:
        """What this entry is to the office."""
        return self._succession.standing

    def start(self) -> None:
        """Starts to watch the office."""
        self._timers.subscribe_every(CHECK_SECONDS, self._check_vacant)

    def release(self) -> None:
        """Gives the office up, also one that is still being claimed."""
        self._releasing = True
        if self.driver is not None:
            self.driver.release()

    def leave(self, reason: str) -> None:
        """Stops to dispatch, since another entry holds the office."""
        driver, self.driver = self.driver, None
        if driver is None:
            return
        driver.stop()
        self._succession.leave(self._timers.clock())
        event.emit(event.Event.OFFICE_LEFT, term=driver.term, reason=reason)
        self._on_left()

    # What the log says.

    def note_fresh(self) -> None:
        """Notes that the log could be read up to its end."""
        self._succession.note_fresh(self._timers.clock())
        self._check_claim()

    def note_jobs_read(self) -> None:
        """Notes that the log of jobs could be read up to its end."""
        self._check_claim()

    def note_office(self, record: jobtable.LeaderRecord, offset: int) -> None:
        """Takes a record of the office and its position in the log."""
        now = self._timers.clock()
        if record.leader != self._holder:
            self._before = record
            self._heard_before = now
        match self._succession.note_office(record, now):
            case succession.Change.CONFIRMED:
                if self._log is not None and self._log.busy:
                    self._log.confirm()
                self._note_claim_stored(offset)
            case succession.Change.LOST:
                self.leave(f"term {record.term} has begun")
            case succession.Change.NONE:
                pass

    # Claims.

    def _check_vacant(self) -> None:
        if self._feed.silence() > STORE_SILENT_SECONDS:
            # This entry's own silence must not pass for the dispatcher's.
            self._succession.note_unreadable()
        now = self._timers.clock()
        read_until = self._feed.heard_at
        if self._releasing or not self._succession.is_vacant(now, read_until):
            return
        self._drop_claim()
        term = self._succession.begin_claim()
        event.emit(event.Event.OFFICE_CLAIMED, term=term)
        self._log = fencedlog.FencedLog(
            self._store,
            self._timers,
            term,
            int(self._chance() * SEQUENCE_RANGE) + 1,
        )
        record = jobtable.LeaderRecord(term, self._holder)
        self._claim_limit = self._timers.subscribe_once(
            CLAIM_SECONDS, self._give_up_claim
        )
        self._log.append(
            [
                ports.Item(
                    jobtable.LEADER_KEY, jobtable.encode_leader_record(record)
                )
            ],
            lambda outcome: self._on_claim(term, outcome),
        )

    def _on_claim(
        self, term: identifiers.Term, outcome: fencedlog.Outcome
    ) -> None:
        if term != self._succession.term:
            return
        match outcome:
            case fencedlog.Stored(offset) if offset is not None:
                self._note_claim_stored(offset)
            case fencedlog.Stored():
                # Its record in the log will tell where it stands.
                self._feed.hasten()
            case fencedlog.Superseded():
                self._drop_claim()
                self._succession.leave(self._timers.clock())

    def _note_claim_stored(self, offset: int) -> None:
        if self._claim_head is None:
            self._claim_head = offset + 1
            self._claimed_at = self._timers.clock()
            # The dispatcher before may have placed tasks of jobs that this
            # entry has not read yet.
            self._jobs_feed.refresh()
            self._check_claim()

    def _give_up_claim(self) -> None:
        if self._succession.standing is succession.Standing.CLAIMING:
            self._drop_claim()
            self._succession.note_claim_failed(self._timers.clock())

    def _drop_claim(self) -> None:
        if self._claim_limit is not None:
            self._claim_limit.cancel()
            self._claim_limit = None
        if self._log is not None:
            self._log.stop()
            self._log = None
        self._claim_head = None

    def _check_claim(self) -> None:
        """Starts to dispatch once every record before the claim is read."""
        log = self._log
        if (
            self._succession.standing is not succession.Standing.CLAIMING
            or self._claim_head is None
            or self._feed.next < self._claim_head
            or self._jobs_feed.fresh_at < self._claimed_at
            or log is None
            or log.busy
        ):
            return
        term = self._succession.term
        self._log = None
        self._drop_claim()
        self._succession.note_claimed()
        self.driver = self._create_driver(term, log, self._settle_seconds())
        if self._releasing:
            self.driver.release()
        else:
            self._on_begun(self.driver)

    def _settle_seconds(self) -> float:
        """Returns how long orders about machines must wait.

        Orders of two holders about one machine must be apart; the last one
        of the holder before came no later than it was heard of.
        """
        before = self._before
        if before is None or _is_same_entry(before.leader, self._holder):
            return 0.0
        age = self._timers.clock() - self._heard_before
        return max(0.0, self._lease_seconds - age)


def _is_same_entry(
    one: identifiers.Incarnation, other: identifiers.Incarnation
) -> bool:
    return one.rpartition("/")[0] == other.rpartition("/")[0]
