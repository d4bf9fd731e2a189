"""Forwards requests that this entry can't serve to other entries."""

import dataclasses
import enum
import random
from collections.abc import Callable

from clementinewood import (
    edge,
    entrydirectory,
    event,
    forwarding,
    httpclient,
    identifiers,
    metric,
    ports,
    retry,
    timer,
    verdict,
)

MAX_PEERS = 1024
"""Entries whose recent failures are remembered."""

REPORT_INTERVAL_SECONDS = 10.0
"""Least time between two reports that the same entry does not respond."""

_SYSTEM_RANDOM = random.SystemRandom()


class Outcome(enum.Enum):
    """How a forwarded request ended; attribute of its counter."""

    ANSWERED = "answered"
    REFUSED = "refused"
    LOST = "lost"
    NONE_AVAILABLE = "none"


@dataclasses.dataclass(frozen=True, slots=True)
class Forwarded:
    """Another entry has answered.

    Attributes:
        response: Its complete answer.
        tried: Attempts, for the log.
    """

    response: httpclient.Response
    tried: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotForwarded:
    """No other entry has answered.

    Attributes:
        refusal: Refusal for the caller.
        tried: Attempts, for the log.
    """

    refusal: verdict.Refusal
    tried: str


OnDone = Callable[[Forwarded | NotForwarded], None]


@dataclasses.dataclass(slots=True)
class _PeerState:
    """Recent results of one entry.

    Attributes:
        in_flight: Attempts without a result.
        failures: Failures and refusals since the last answer.
        avoided_until: Monotonic time in seconds until which it is asked last.
        silent_until: Monotonic time in seconds until which it is not asked for
            states, since it did not respond.
        unresponsive: Whether it was reported as not responding.
        reported_at: Monotonic time in seconds of the last such report.
    """

    in_flight: int = 0
    failures: int = 0
    avoided_until: float = float("-inf")
    silent_until: float = float("-inf")
    unresponsive: bool = False
    reported_at: float = float("-inf")


class Forwarder:
    """Forwards requests within limits and remembers which entries failed.

    Args:
        directory: The entries of the site.
        peers: Sends requests to them.
        timers: Timer service.
        metrics: Instruments.
        random_fraction: Source of random numbers from 0 to 1.

    Attributes:
        directory: As in `Args`.
        peers: As in `Args`.
        timers: As in `Args`.
        budget: Limits attempts beyond the first of each request.
        requests_in_flight: Forwarded requests without a result.
    """

    def __init__(
        self,
        directory: entrydirectory.EntryDirectory,
        peers: ports.Peers,
        timers: timer.TimerService,
        metrics: metric.Metrics,
        *,
        random_fraction: Callable[[], float] = _SYSTEM_RANDOM.random,
    ) -> None:
        self.directory = directory
        self.peers = peers
        self.timers = timers
        self.budget = retry.RetryBudget(
            ratio=forwarding.RETRY_RATIO, capacity=forwarding.RETRY_BURST
        )
        self.requests_in_flight = 0
        self._metrics = metrics
        self._random_fraction = random_fraction
        self._states: dict[identifiers.EntryId, _PeerState] = {}

    def forward(
        self,
        request: edge.HttpRequest,
        refusal: verdict.Refusal,
        seconds_left: float,
        on_done: OnDone,
        *,
        has_effect: bool,
    ) -> Callable[[], None]:
        """Forwards a request.

        Args:
            request: The request as the caller sent it.
            refusal: Refusal by this entry, for which it is forwarded.
            seconds_left: Seconds until the caller's deadline.
            on_done: Called once with the result, perhaps at once.
            has_effect: Whether serving it stores a record.

        Returns:
            Cancels the request without a result.
        """
        forwarded = _ForwardedRequest(
            self, request, refusal, seconds_left, on_done, has_effect=has_effect
        )
        forwarded.start()
        return forwarded.cancel

    def ask(
        self,
        entry_id: identifiers.EntryId,
        request: edge.HttpRequest,
        seconds: float,
        on_done: Callable[[httpclient.Response | None], None],
    ) -> Callable[[], None]:
        """Sends a request without effect to one entry.

        Args:
            entry_id: The entry.
            request: The request as the caller sent it.
            seconds: Longest wait for the answer.
            on_done: Called once with the answer, perhaps at once; with None if
                the entry can't serve the request or does not answer.

        Returns:
            Cancels the request without a result.
        """
        entry = self.directory.peers.get(entry_id)
        state = self._states.get(entry_id) or _PeerState()
        if (
            entry is None
            or self.timers.clock() < state.silent_until
            or self.requests_in_flight >= forwarding.MAX_REQUESTS_IN_FLIGHT
        ):
            on_done(None)
            return lambda: None
        self.requests_in_flight += 1
        self.record_start(entry_id)
        ended = False

        def end() -> bool:
            nonlocal ended
            first, ended = not ended, True
            if first:
                self.requests_in_flight -= 1
                self.record_end(entry_id)
            return first

        def count(outcome: Outcome) -> None:
            self._metrics.count(metric.STATES_ASKED, outcome=outcome.value)

        def handle(outcome: ports.PeerResult) -> None:
            if not end():
                return
            match outcome:
                case ports.PeerAnswered(response):
                    count(Outcome.ANSWERED)
                    self.record_answer(entry_id)
                    on_done(response)
                case ports.PeerRefused():
                    count(Outcome.REFUSED)
                    self.record_refusal(entry_id)
                    on_done(None)
                case ports.Failed(detail=detail):
                    count(Outcome.LOST)
                    self.record_failure(entry_id, detail)
                    self._read_state(entry_id).silent_until = (
                        self.timers.clock() + forwarding.AVOID_SECONDS
                    )
                    on_done(None)

        cancel = self.peers.send(entry.address, request, seconds, handle)

        def stop() -> None:
            if end():
                cancel()

        return stop

    def choose(
        self,
        refusal: verdict.Refusal,
        seconds_left: float,
        tried: set[identifiers.EntryId],
    ) -> entrydirectory.EntryAddress | None:
        """Returns the entry to ask next, or None."""
        now = self.timers.clock()
        known = self.directory.peers
        peers = []
        for entry in known.values():
            if entry.entry_id in tried:
                continue
            state = self._states.get(entry.entry_id) or _PeerState()
            peers.append(
                forwarding.Peer(
                    entry_id=entry.entry_id,
                    zone=entry.zone,
                    in_flight=state.in_flight,
                    avoided=now < state.avoided_until,
                )
            )
        chosen = forwarding.choose_peer(
            forwarding.Situation(
                refusal=refusal,
                seconds_left=seconds_left,
                attempts=len(tried),
                requests_in_flight=self.requests_in_flight - bool(tried),
                has_retry_token=self.budget.has_token,
                zone=self.directory.own.zone,
                peers=peers,
            ),
            self._random_fraction,
        )
        return None if chosen is None else known[chosen.entry_id]

    def count(self, outcome: Outcome) -> None:
        """Counts the outcome of a forwarded request."""
        self._metrics.count(metric.FORWARDED, outcome=outcome.value)

    def record_start(self, entry_id: identifiers.EntryId) -> None:
        """Counts an attempt in flight."""
        self._read_state(entry_id).in_flight += 1

    def record_end(self, entry_id: identifiers.EntryId) -> None:
        """Counts the end of an attempt."""
        self._read_state(entry_id).in_flight -= 1

    def record_answer(self, entry_id: identifiers.EntryId) -> None:
        """Remembers that an entry can serve."""
        state = self._read_state(entry_id)
        state.failures = 0
        state.avoided_until = float("-inf")
        self._record_response(entry_id, state)

    def record_refusal(self, entry_id: identifiers.EntryId) -> None:
        """Remembers that an entry responds but can't serve."""
        state = self._read_state(entry_id)
        self._avoid(state)
        self._record_response(entry_id, state)

    def record_delay(self, entry_id: identifiers.EntryId) -> None:
        """Remembers that an entry has not responded yet."""
        self._avoid(self._read_state(entry_id))

    def record_failure(
        self, entry_id: identifiers.EntryId, detail: str
    ) -> None:
        """Remembers that an entry did not respond."""
        state = self._read_state(entry_id)
        self._avoid(state)
        now = self.timers.clock()
        if (
            not state.unresponsive
            and now - state.reported_at >= REPORT_INTERVAL_SECONDS
        ):
            state.unresponsive = True
            state.reported_at = now
            event.emit(
                event.Event.ENTRY_UNRESPONSIVE, entry=entry_id, detail=detail
            )

    def _avoid(self, state: _PeerState) -> None:
        state.failures += 1
        state.avoided_until = (
            self.timers.clock()
            + forwarding.compute_avoid_seconds(state.failures)
        )

    def _record_response(
        self, entry_id: identifiers.EntryId, state: _PeerState
    ) -> None:
        if state.unresponsive:
            state.unresponsive = False
            event.emit(event.Event.ENTRY_RESPONSIVE, entry=entry_id)

    def _read_state(self, entry_id: identifiers.EntryId) -> _PeerState:
        if len(self._states) >= MAX_PEERS and entry_id not in self._states:
            self._states = {
                known: state
                for known, state in self._states.items()
                if state.in_flight or known in self.directory.peers
            }
        return self._states.setdefault(entry_id, _PeerState())


@dataclasses.dataclass(slots=True, eq=False)
class _Attempt:
    """One attempt; `cancel` has no effect until it is sent."""

    entry_id: identifiers.EntryId
    cancel: Callable[[], None] = lambda: None


class _ForwardedRequest:
    """One request until its final result; see `Forwarder.forward`."""

    def __init__(
        self,
        forwarder: Forwarder,
        request: edge.HttpRequest,
        refusal: verdict.Refusal,
        seconds_left: float,
        on_done: OnDone,
        *,
        has_effect: bool,
    ) -> None:
        self._forwarder = forwarder
        self._request = request
        self._refusal = refusal
        self._has_effect = has_effect
        self._on_done = on_done
        self._deadline = forwarder.timers.clock() + min(
            seconds_left - forwarding.DEADLINE_MARGIN_SECONDS,
            forwarding.MAX_SECONDS,
        )
        self._tried: dict[identifiers.EntryId, str] = {}
        self._in_flight: list[_Attempt] = []
        self._may_have_run = False
        self._lost = False
        self._rejection: httpclient.Response | None = None
        self._hedge: timer.Subscription | None = None
        self._deadline_timer: timer.Subscription | None = None
        self._done = False

    def start(self) -> None:
        """Makes the first attempt, or ends without one."""
        if not self._try_next():
            self._finish()
            return
        self._forwarder.budget.earn()
        self._forwarder.requests_in_flight += 1
        self._deadline_timer = self._forwarder.timers.subscribe_once(
            self._seconds_left, self._handle_deadline
        )

    def cancel(self) -> None:
        """Ends all attempts without a result."""
        self._end()

    @property
    def _seconds_left(self) -> float:
        return self._deadline - self._forwarder.timers.clock()

    def _try_next(self) -> bool:
        """Asks another entry; returns whether there was one to ask."""
        forwarder, seconds = self._forwarder, self._seconds_left
        entry = forwarder.choose(self._refusal, seconds, set(self._tried))
        if entry is None:
            return False
        if self._tried:
            forwarder.budget.spend()
        attempt = _Attempt(entry.entry_id)
        self._tried[entry.entry_id] = "no answer"
        self._in_flight.append(attempt)
        forwarder.record_start(entry.entry_id)
        attempt.cancel = forwarder.peers.send(
            entry.address,
            self._request,
            seconds,
            lambda outcome: self._on_result(attempt, outcome),
        )
        if self._hedge is not None:
            self._hedge.cancel()
        self._hedge = forwarder.timers.subscribe_once(
            forwarding.compute_hedge_delay(seconds), self._hedge_attempt
        )
        return True

    def _hedge_attempt(self) -> None:
        if self._done or self._rejection is not None:
            return
        # The entry keeps its chance to answer this request.
        self._forwarder.record_delay(self._in_flight[-1].entry_id)
        self._try_next()

    def _on_result(self, attempt: _Attempt, outcome: ports.PeerResult) -> None:
        if self._done:
            return
        forwarder, entry_id = self._forwarder, attempt.entry_id
        self._in_flight.remove(attempt)
        forwarder.record_end(entry_id)
        match outcome:
            case ports.PeerAnswered(response, served):
                self._tried[entry_id] = str(response.status)
                forwarder.record_answer(entry_id)
                if served or not self._has_effect:
                    self._respond(response)
                    return
                # That nothing was done holds only for the entry that says so:
                # another attempt may have stored the request.
                self._rejection = response
            case ports.PeerRefused(execution, detail):
                self._tried[entry_id] = detail
                self._record_execution(execution)
                forwarder.record_refusal(entry_id)
            case ports.Failed(execution, detail):
                self._tried[entry_id] = "lost"
                self._lost = True
                self._record_execution(execution)
                forwarder.record_failure(entry_id, detail)
        if self._rejection is None and self._try_next():
            return
        if not self._in_flight:
            self._finish()

    def _record_execution(self, execution: verdict.Execution) -> None:
        if execution is not verdict.Execution.NOT_RUN:
            self._may_have_run = True

    def _handle_deadline(self) -> None:
        if self._done:
            return
        for attempt in self._in_flight:
            self._lost = self._may_have_run = True
            self._forwarder.record_failure(
                attempt.entry_id, "no answer before the caller's deadline"
            )
        self._finish()

    def _finish(self) -> None:
        """Reports the result of attempts none of which has succeeded."""
        unknown = self._may_have_run and self._has_effect
        if self._rejection is not None and not unknown:
            self._respond(self._rejection)
            return
        if not self._tried:
            outcome = Outcome.NONE_AVAILABLE
        elif self._lost:
            outcome = Outcome.LOST
        else:
            outcome = Outcome.REFUSED
        self._forwarder.count(outcome)
        self._end()
        self._on_done(
            NotForwarded(
                forwarding.conclude(self._refusal, may_have_run=unknown),
                self._render_tried(),
            )
        )

    def _respond(self, response: httpclient.Response) -> None:
        self._forwarder.count(Outcome.ANSWERED)
        self._end()
        self._on_done(Forwarded(response, self._render_tried()))

    def _end(self) -> None:
        if self._done:
            return
        self._done = True
        for subscription in (self._hedge, self._deadline_timer):
            if subscription is not None:
                subscription.cancel()
        if self._tried:
            self._forwarder.requests_in_flight -= 1
        for attempt in self._in_flight:
            self._forwarder.record_end(attempt.entry_id)
            attempt.cancel()

    def _render_tried(self) -> str:
        return ",".join(f"{name}:{end}" for name, end in self._tried.items())
