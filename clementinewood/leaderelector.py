"""Runs the leader election for one entry and holds its dispatch driver."""

from collections.abc import Callable

from clementinewood import (
    dispatchdriver,
    election,
    event,
    feed,
    fencedlog,
    identifiers,
    jobtable,
    ports,
    timer,
)

CANDIDACY_CHECK_INTERVAL_SECONDS = 0.1
"""Period of checking whether to become a candidate."""

CANDIDACY_TIMEOUT_SECONDS = 3.0
"""Time after which a candidacy without a certain outcome is abandoned; the
longest delay of a store that is only slow is well below it."""

STORE_UNRESPONSIVE_SECONDS = 1.5
"""Time without a response after which the store counts as unresponsive. An idle
read of jobs gets its response after one second plus the read interval."""

SEQUENCE_RANGE = 1 << 30
"""Upper limit of the random first sequence number of a term. Two candidacies of
one term differ in it, so that the store rejects the later one."""

CreateDriver = Callable[
    [identifiers.Term, fencedlog.FencedLog, float],
    dispatchdriver.DispatchDriver,
]


class LeaderElector:
    """Runs for leader on behalf of one entry and holds its dispatch driver.

    Args:
        own_incarnation: Incarnation of this process.
        store: The platform's store.
        dispatch_feed: Feed of the log that holds the LeaderRecord.
        jobs_feed: Feed of the log of jobs.
        timers: Timer service.
        random_fraction: Source of random numbers from 0 to 1.
        lease_seconds: Least time in seconds between machine orders of two
            dispatchers.
        link_bytes_per_second: Capacity of this entry's link; 0 if unknown.
        create_driver: Creates a driver from its term, its log and the delay in
            seconds before its first machine order.
        on_elected: Called with the driver to start.
        on_stepped_down: Called after this entry has stepped down.

    Attributes:
        driver: The driver while this entry dispatches, or None.
    """

    def __init__(
        self,
        own_incarnation: identifiers.Incarnation,
        *,
        store: ports.Store,
        dispatch_feed: feed.Feed,
        jobs_feed: feed.Feed,
        timers: timer.TimerService,
        random_fraction: Callable[[], float],
        lease_seconds: float,
        link_bytes_per_second: float = 0.0,
        create_driver: CreateDriver,
        on_elected: Callable[[dispatchdriver.DispatchDriver], None],
        on_stepped_down: Callable[[], None],
    ) -> None:
        self.driver: dispatchdriver.DispatchDriver | None = None
        self._own_incarnation = own_incarnation
        self._store = store
        self._feed = dispatch_feed
        self._jobs_feed = jobs_feed
        self._timers = timers
        self._random_fraction = random_fraction
        self._lease_seconds = lease_seconds
        self._create_driver = create_driver
        self._on_elected = on_elected
        self._on_stepped_down = on_stepped_down
        self._election = election.ElectionState(
            own_incarnation,
            random_fraction(),
            election.compute_link_delay(link_bytes_per_second),
        )
        self._log: fencedlog.FencedLog | None = None
        self._candidacy_timeout: timer.Subscription | None = None
        self._required_offset: int | None = None
        self._candidacy_stored_at = 0.0
        self._resigning = False
        self._previous_leader: jobtable.LeaderRecord | None = None

    @property
    def role(self) -> election.ElectionRole:
        """Role of this entry in the leader election."""
        return self._election.role

    def start(self) -> None:
        """Starts checking whether to become a candidate."""
        self._timers.subscribe_every(
            CANDIDACY_CHECK_INTERVAL_SECONDS, self._check_candidacy
        )

    def resign(self) -> None:
        """Resigns, also from a candidacy that has not been decided yet."""
        self._resigning = True
        if self.driver is not None:
            self.driver.resign()

    def step_down(self, reason: str) -> None:
        """Stops dispatching, since this entry is no longer the leader.

        Args:
            reason: Logged with the event.
        """
        driver, self.driver = self.driver, None
        if driver is None:
            return
        driver.stop()
        self._election.step_down(self._timers.clock())
        event.emit(
            event.Event.LEADERSHIP_ENDED, term=driver.term, reason=reason
        )
        self._on_stepped_down()

    # Input from the log.

    def handle_log_caught_up(self) -> None:
        """Handles that the dispatch log has been read to its end."""
        self._election.mark_log_current(self._timers.clock())
        self._try_become_leader()

    def handle_jobs_caught_up(self) -> None:
        """Handles that the log of jobs has been read to its end."""
        self._try_become_leader()

    def observe_leadership(
        self, record: jobtable.LeaderRecord, offset: int
    ) -> None:
        """Applies a LeaderRecord read from the log at `offset`."""
        now = self._timers.clock()
        if record.leader != self._own_incarnation:
            self._previous_leader = record
        match self._election.observe_leadership(record, now):
            case election.LeadershipChange.CONFIRMED:
                if self._log is not None and self._log.busy:
                    self._log.mark_stored()
                self._handle_candidacy_stored(offset)
            case election.LeadershipChange.LOST:
                self.step_down(f"term {record.term} has begun")
            case election.LeadershipChange.NONE:
                pass

    # Candidacies.

    def _check_candidacy(self) -> None:
        unresponsive = (
            self._feed.seconds_since_response() > STORE_UNRESPONSIVE_SECONDS
        )
        if unresponsive or self._feed.state is not feed.State.FOLLOWING:
            # Renewals that this entry can't read, or reads only at the end of
            # a load, must not count as missing.
            self._election.mark_log_unreadable()
        now = self._timers.clock()
        read_until = self._feed.last_response_at
        if self._resigning or not self._election.should_become_candidate(
            now, read_until
        ):
            return
        self._abandon_candidacy()
        term = self._election.become_candidate()
        event.emit(event.Event.CANDIDACY_STARTED, term=term)
        self._log = fencedlog.FencedLog(
            self._store,
            self._timers,
            term,
            int(self._random_fraction() * SEQUENCE_RANGE) + 1,
        )
        record = jobtable.LeaderRecord(term, self._own_incarnation)
        self._candidacy_timeout = self._timers.subscribe_once(
            CANDIDACY_TIMEOUT_SECONDS, self._on_candidacy_timeout
        )
        self._log.append(
            [
                ports.KeyedRecord(
                    jobtable.LEADER_KEY, jobtable.encode_leader_record(record)
                )
            ],
            lambda outcome: self._on_candidacy_append(term, outcome),
        )

    def _on_candidacy_append(
        self, term: identifiers.Term, outcome: fencedlog.Outcome
    ) -> None:
        if term != self._election.term:
            return
        match outcome:
            case fencedlog.Stored(offset) if offset is not None:
                self._handle_candidacy_stored(offset)
            case fencedlog.Stored():
                # The offset is learned when the record is read from the log.
                self._feed.read_now()
            case fencedlog.Superseded():
                self._abandon_candidacy()
                self._election.step_down(self._timers.clock())

    def _handle_candidacy_stored(self, offset: int) -> None:
        if self._required_offset is None:
            self._required_offset = offset + 1
            self._candidacy_stored_at = self._timers.clock()
            # The previous dispatcher may have stored assignments for jobs
            # that this entry has not read yet.
            self._jobs_feed.refresh()
            self._try_become_leader()

    def _on_candidacy_timeout(self) -> None:
        if self._election.role is election.ElectionRole.CANDIDATE:
            self._abandon_candidacy()
            self._election.handle_candidacy_failure(self._timers.clock())

    def _abandon_candidacy(self) -> None:
        if self._candidacy_timeout is not None:
            self._candidacy_timeout.cancel()
            self._candidacy_timeout = None
        if self._log is not None:
            self._log.stop()
            self._log = None
        self._required_offset = None

    def _try_become_leader(self) -> None:
        """Starts dispatching once every record before the candidacy is read."""
        log = self._log
        if (
            self._election.role is not election.ElectionRole.CANDIDATE
            or self._required_offset is None
            # During a load, records before the next offset are yet to come.
            or self._feed.state is not feed.State.FOLLOWING
            or self._feed.next_offset < self._required_offset
            or self._jobs_feed.caught_up_at < self._candidacy_stored_at
            or log is None
            or log.busy
        ):
            return
        term = self._election.term
        self._log = None
        self._abandon_candidacy()
        self._election.become_leader()
        self.driver = self._create_driver(
            term, log, self._compute_machine_order_delay()
        )
        if self._resigning:
            self.driver.resign()
        else:
            self._on_elected(self.driver)

    def _compute_machine_order_delay(self) -> float:
        """Returns the seconds before the first order about a machine.

        Orders of two leaders about one machine must be a lease apart.
        """
        previous = self._previous_leader
        if previous is None or _is_same_entry(
            previous.leader, self._own_incarnation
        ):
            return 0.0
        last_order = election.compute_last_action(
            self._candidacy_stored_at, dispatchdriver.LEADERSHIP_VALID_SECONDS
        )
        return last_order + self._lease_seconds - self._timers.clock()


def _is_same_entry(
    one: identifiers.Incarnation, other: identifiers.Incarnation
) -> bool:
    return one.rpartition("/")[0] == other.rpartition("/")[0]
