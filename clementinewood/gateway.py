"""Admits and queues requests, sends them to minions and returns responses."""

import hashlib
import json
import time
from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

from returns import result

from clementinewood import (
    admission,
    claim,
    edge,
    event,
    httpclient,
    identifiers,
    inflight,
    ledger,
    metric,
    priority,
    requesthead,
    requestlog,
    retry,
    router,
    scheduler,
    timer,
    verdict,
)

Phase = inflight.Phase
Reason = verdict.Reason

TICK_SECONDS = 0.05
"""Period of expiring queued requests and retrying those that lack tokens."""

START_WINDOW_SECONDS = 0.5
"""Seconds after the decision within which a minion may start the work."""

LEASE_MARGIN_SECONDS = 1.0
"""Allowance for clock differences when a token is released by time alone."""

RESPONSE_MARGIN_SECONDS = 0.5
"""Time for a response to arrive after the run limit, in seconds."""

MIN_RUN_LIMIT_SECONDS = 0.1
"""Smallest run limit sent to a minion, in seconds."""

MAX_MINION_CANDIDATES = 6
"""Minions tried to find one with a free slot; a pool has 6 today."""


class LimitTokens(Protocol):
    """Exact limits, as implemented by `ledger.Ledger`."""

    def available(self, resource: ledger.ResourceId) -> int:
        """Returns how many more acquisitions would succeed now."""

    def acquire(self, resource: ledger.ResourceId) -> bool:
        """Takes one token and returns True, or False if none is free here."""

    def release(self, resource: ledger.ResourceId) -> None:
        """Releases one token."""


class Claims(Protocol):
    """Starts claims; `Gateway.on_decision` is called with later decisions."""

    def submit(self, item: claim.Claim) -> claim.Decision:
        """Starts the claim and returns its decision, or WAIT until decided."""

    def finish(
        self,
        item: claim.Claim,
        answer: object | None,
        size: int,
        *,
        execution: verdict.Execution,
    ) -> None:
        """Records how the request of a claim ended."""


class Sender(Protocol):
    """Sends attempts to minions."""

    def send(
        self,
        target: router.Target,
        request_id: identifiers.RequestId,
        method: str,
        path: str,
        headers: Sequence[edge.Header],
        body: bytes,
        *,
        idempotent: bool,
        timeout: float,
        run_limit: float,
        start_before: float,
        on_result: Callable[[retry.Outcome, httpclient.Response | None], None],
    ) -> None:
        """Sends one attempt and reports its outcome once."""


class Gateway:
    """Serves the requests that callers submit to queues.

    Args:
        timers: Timer service.
        pages: Serves all other paths.
        sender: Sends attempts to minions.
        tokens: Tokens of exact limits.
        claims: Claims of idempotency keys.
        router_: Chooses minions.
        retries: Decides on retries.
        is_fresh: Returns whether this entry's configuration is current.
        explain_stale: Returns why it is not.
        me: Incarnation of this entry.
        metrics: Metrics of requests, attempts and refusals.
        context: Set on the exchanges passed to `pages`.
        wall_clock: Returns wall-clock time in seconds, for minions.
    """

    def __init__(
        self,
        timers: timer.TimerService,
        *,
        pages: edge.Handler,
        sender: Sender,
        tokens: LimitTokens,
        claims: Claims,
        router_: router.Router,
        retries: retry.RetryPolicy,
        is_fresh: Callable[[], bool],
        explain_stale: Callable[[], str],
        me: identifiers.Incarnation,
        metrics: metric.Metrics,
        context: object = None,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._context = context
        self.admission: admission.Admission | None = None
        self.scheduler = scheduler.Scheduler({}, {})
        self.in_flight_requests: dict[
            identifiers.RequestId, inflight.InFlightRequest
        ] = {}
        self.request_log = requestlog.RequestLog()
        self._clock = timers.clock
        self._timers = timers
        self._pages = pages
        self._sender = sender
        self._tokens = tokens
        self._claims = claims
        self._router = router_
        self._retries = retries
        self._is_fresh = is_fresh
        self._explain_stale = explain_stale
        self._me = me
        self._metrics = metrics
        self._wall_clock = wall_clock
        self._pools: list[identifiers.PoolId] = []
        self._chosen: router.Target | None = None
        self._is_starting = False
        self._ticking = False

    @property
    def unfinished(self) -> int:
        """Number of requests that have no response yet."""
        return len(self.in_flight_requests)

    def configure(self, bundle: admission.Bundle, *, entries: int) -> None:
        """Applies a bundle to queued requests and those that arrive later."""
        self.admission = admission.Admission(bundle)
        self.scheduler.configure(bundle.teams, bundle.queues, entries=entries)
        self._pools = sorted({spec.pool for spec in bundle.queues.values()})
        self.start_ready_requests()

    def handle_exchange(self, exchange: edge.Exchange) -> None:
        """Admits or refuses a queue request; passes other paths to `pages`."""
        if not exchange.request.target.startswith(requesthead.QUEUE_PREFIX):
            exchange.context = self._context
            self._pages.handle_exchange(exchange)
            return
        match requesthead.parse_queue_request(exchange.request):
            case result.Failure(refusal):
                self._refuse_exchange(exchange, refusal)
            case result.Success(head):
                self._admit(exchange, head)

    def render_refusal(
        self, refusal: verdict.Refusal
    ) -> tuple[int, Sequence[edge.Header], bytes]:
        """Renders, counts and logs a refusal of a request not admitted."""
        return self._render_early_refusal(refusal, "")

    def _render_early_refusal(
        self, refusal: verdict.Refusal, queue: str
    ) -> tuple[int, Sequence[edge.Header], bytes]:
        request_id = identifiers.create_request_id()
        self._count_refusal(refusal, request_id)
        self.request_log.add(
            requestlog.CompletedRequest(
                request_id,
                self._wall_clock(),
                refusal.status,
                refusal.execution,
                refusal.reason,
                refusal.detail,
                queue,
            )
        )
        return render_refusal(refusal, request_id)

    def explain_request(
        self, request_id: identifiers.RequestId
    ) -> dict[str, object] | None:
        """Returns why a request waits or how it ended; None if unknown."""
        item = self.in_flight_requests.get(request_id)
        if item is None:
            completed = self.request_log.find(request_id)
            return None if completed is None else completed.describe()
        return {
            "request": request_id,
            "phase": item.phase.value,
            "why": self._explain_phase(item),
            "queue": item.grant.queue,
            "team": item.grant.team,
            "attempts": [
                {"minion": attempt.minion, "outcome": attempt.outcome.value}
                for attempt in item.attempts
            ],
            "seconds": round(self._clock() - item.received, 4),
        }

    def _explain_phase(self, item: inflight.InFlightRequest) -> str:
        now = self._clock()
        match item.phase:
            case Phase.CLAIMING:
                return "waits until its idempotency key is claimed"
            case Phase.WAITING_RETRY:
                return "waits before its next attempt"
            case Phase.RUNNING if item.target is not None:
                return f"runs at {item.target.minion}"
        if not self._is_fresh():
            return f"waits for configuration: {self._explain_stale()}"
        team = item.grant.team
        if self._tokens.available(ledger.team_resource(team)) <= 0:
            return f"waits: this entry's part of the limit of {team} is in use"
        if self._router.free_slots(item.pool, now) <= 0:
            return f"waits: no minion of pool {item.pool} has a free slot"
        return "waits for its turn"

    def on_decision(self, decision: claim.Decision) -> None:
        """Continues a request whose claim has been decided."""
        item = self.in_flight_requests.get(decision.request_id)
        if item is None or item.phase is not Phase.CLAIMING:
            return
        self._apply_decision(item, decision)
        self.start_ready_requests()

    def start_ready_requests(self) -> None:
        """Starts every request that may start now."""
        if self._is_starting:
            return
        self._is_starting = True
        try:
            for pool in self._pools:
                self._start_ready_in_pool(pool)
        finally:
            self._is_starting = False

    def _start_ready_in_pool(self, pool: identifiers.PoolId) -> None:
        while (
            self.scheduler.has_waiting(pool)
            and self._is_fresh()
            and self._router.free_slots(pool, self._clock()) > 0
        ):
            now = self._clock()
            job = self.scheduler.start_next(now, self._can_start, pool=pool)
            if job is None:
                return
            self._start(self.in_flight_requests[job.request_id], now)

    def _admit(
        self, exchange: edge.Exchange, head: requesthead.QueueRequest
    ) -> None:
        if self.admission is None or not self._is_fresh():
            self._refuse_exchange(
                exchange,
                verdict.Refusal(
                    Reason.STALE_CONFIGURATION,
                    detail="This entry can't tell whether its configuration "
                    f"is current ({self._explain_stale()}).",
                    retry_after=1.0,
                ),
            )
            return
        match self.admission.admit(head.queue, head.credentials, head.customer):
            case verdict.Refusal() as refusal:
                self._refuse_exchange(exchange, refusal)
            case grant:
                self._accept(exchange, head, grant)

    def _accept(
        self,
        exchange: edge.Exchange,
        head: requesthead.QueueRequest,
        grant: admission.Grant,
    ) -> None:
        assert self.admission is not None
        queue = self.admission.bundle.queues[grant.queue]
        now = self._clock()
        item = inflight.InFlightRequest(
            request_id=identifiers.create_request_id(),
            exchange=exchange,
            grant=grant,
            pool=queue.pool,
            priority=priority.limit_priority(head.priority, grant.priority),
            idempotent=head.idempotent,
            deadline=now + head.deadline,
            run_limit=queue.run_limit,
            estimate=min(head.estimate, queue.run_limit),
            max_attempts=queue.max_attempts,
            received=now,
        )
        self.in_flight_requests[item.request_id] = item
        if not self._ticking:
            self._ticking = True
            self._timers.subscribe_once(TICK_SECONDS, self._tick)
        exchange.on_cancel = lambda: self._cancel(item)
        self._retries.record_request(grant.team)
        if head.idempotency_key is not None and not head.idempotent:
            item.phase = Phase.CLAIMING
            item.key_claim = self._create_claim(item, head.idempotency_key)
            self._apply_decision(item, self._claims.submit(item.key_claim))
        else:
            self._enqueue(item)
        self.start_ready_requests()

    def _create_claim(
        self, item: inflight.InFlightRequest, key: str
    ) -> claim.Claim:
        request = item.exchange.request
        digest = hashlib.sha256()
        for part in (request.method, request.target):
            digest.update(part.encode())
            digest.update(b"\x00")
        digest.update(request.body)
        return claim.Claim(
            claim.ClaimKey.create(item.grant.team, key),
            item.request_id,
            self._me,
            digest.digest(),
        )

    def _apply_decision(
        self, item: inflight.InFlightRequest, decision: claim.Decision
    ) -> None:
        match decision.kind:
            case claim.DecisionKind.WAIT:
                return
            case claim.DecisionKind.RUN if item.cancelled:
                self._refuse(item, verdict.Refusal(Reason.CANCELLED))
            case claim.DecisionKind.RUN:
                self._enqueue(item)
            case claim.DecisionKind.ANSWER:
                assert isinstance(decision.answer, httpclient.Response)
                # Another request holds the claim.
                item.key_claim = None
                self._respond(item, decision.answer, replayed=True)
            case other:
                item.key_claim = None
                self._refuse(item, _CLAIM_REFUSALS[other])

    def _enqueue(self, item: inflight.InFlightRequest) -> None:
        item.phase = Phase.QUEUED
        refusal = self.scheduler.submit(item.create_job(), self._clock())
        if refusal is not None:
            self._refuse(item, refusal)
        self._refuse_expired()

    def _can_start(self, job: scheduler.Job) -> bool:
        item = self.in_flight_requests[job.request_id]
        if self._tokens.available(ledger.team_resource(job.team)) <= 0:
            return False
        self._chosen = self._choose(item, item.exclude)
        if self._chosen is None and item.exclude:
            self._chosen = self._choose(item, frozenset())
        return self._chosen is not None

    def _choose(
        self,
        item: inflight.InFlightRequest,
        exclude: frozenset[identifiers.MinionId],
    ) -> router.Target | None:
        """Returns a minion on which this entry holds a free slot token."""
        now = self._clock()
        for _ in range(MAX_MINION_CANDIDATES):
            target = self._router.choose(
                item.pool, now, exclude, probe=item.idempotent
            )
            if target is None:
                return None
            slot = ledger.slot_resource(target.minion)
            if self._tokens.available(slot) > 0:
                return target
            exclude |= {target.minion}
        return None

    def _start(self, item: inflight.InFlightRequest, now: float) -> None:
        target = self._chosen
        assert target is not None
        for resource in _list_resources(item, target):
            taken = self._tokens.acquire(resource)
            assert taken, f"no token of {resource} for a job that may start"
        item.phase = Phase.RUNNING
        item.target = target
        item.started = now
        # Work that ends after the deadline is useless, and a shorter limit
        # releases the tokens of a lost attempt sooner.
        item.attempt_limit = min(
            item.run_limit, max(MIN_RUN_LIMIT_SECONDS, item.deadline - now)
        )
        self._router.start(target.minion, now)
        request = item.exchange.request
        self._sender.send(
            target,
            item.request_id,
            request.method,
            request.target,
            request.headers,
            request.body,
            idempotent=item.idempotent,
            run_limit=item.attempt_limit,
            start_before=self._wall_clock() + START_WINDOW_SECONDS,
            timeout=START_WINDOW_SECONDS
            + item.attempt_limit
            + RESPONSE_MARGIN_SECONDS,
            on_result=lambda outcome, response: self._finish_attempt(
                item, target, outcome, response
            ),
        )

    def _finish_attempt(
        self,
        item: inflight.InFlightRequest,
        target: router.Target,
        outcome: retry.Outcome,
        response: httpclient.Response | None,
    ) -> None:
        now = self._clock()
        self._metrics.count(metric.ATTEMPTS, outcome=outcome.value)
        self._release_tokens(item, target, outcome, now)
        earlier = item.attempt
        attempt = item.end_attempt(outcome, target.minion)
        self._router.finish(
            target.minion,
            outcome,
            now - item.started,
            now,
            blame=earlier is None or not earlier.failures,
        )
        self.scheduler.finish(item.request_id, now)
        item.target = None
        if outcome is retry.Outcome.SUCCEEDED:
            assert response is not None
            self._retries.record_success(attempt.kind)
            self._respond(item, response)
        elif item.cancelled:
            self._refuse(item, verdict.Refusal(Reason.CANCELLED))
        else:
            self._retry(item, attempt, response, now)
        self.start_ready_requests()

    def _retry(
        self,
        item: inflight.InFlightRequest,
        attempt: retry.Attempt,
        response: httpclient.Response | None,
        now: float,
    ) -> None:
        match self._retries.decide(attempt, now):
            case retry.Retry(delay=delay, exclude=exclude):
                self._metrics.count(metric.RETRIES, cause=attempt.outcome.value)
                item.exclude = exclude
                item.phase = Phase.WAITING_RETRY
                self._timers.subscribe_once(delay, lambda: self._resume(item))
            case retry.GiveUp(refusal=refusal):
                if response is not None:
                    # The minion's error response has more detail than a
                    # refusal.
                    self._respond(item, response)
                else:
                    self._refuse(item, refusal)

    def _resume(self, item: inflight.InFlightRequest) -> None:
        if item.phase is Phase.WAITING_RETRY:
            self._enqueue(item)
            self.start_ready_requests()

    def _release_tokens(
        self,
        item: inflight.InFlightRequest,
        target: router.Target,
        outcome: retry.Outcome,
        now: float,
    ) -> None:
        """Releases the tokens once the work can no longer be running."""
        resources = _list_resources(item, target)

        def release() -> None:
            for resource in resources:
                self._tokens.release(resource)

        if retry.EXECUTIONS[outcome] is not verdict.Execution.MAY_HAVE_RUN:
            release()
            return
        over = (
            item.started
            + START_WINDOW_SECONDS
            + item.attempt_limit
            + LEASE_MARGIN_SECONDS
        )
        self._timers.subscribe_once(max(0.0, over - now), release)

    def _cancel(self, item: inflight.InFlightRequest) -> None:
        """Cancels a request whose caller has disconnected."""
        item.cancelled = True
        match item.phase:
            case Phase.QUEUED:
                self.scheduler.cancel(item.request_id)
            case Phase.RUNNING | Phase.CLAIMING:
                # The minion may still run the work, so the tokens are held
                # until the attempt ends. A pending claim is cancelled when it
                # is decided.
                return
        self._refuse(item, verdict.Refusal(Reason.CANCELLED))

    def _respond(
        self,
        item: inflight.InFlightRequest,
        response: httpclient.Response,
        *,
        replayed: bool = False,
    ) -> None:
        headers = [
            *response.headers,
            (b"x-request-id", item.request_id.encode()),
            (b"x-execution", verdict.Execution.RAN.value.encode()),
        ]
        if replayed:
            headers.append((b"x-replayed", b"true"))
        self._metrics.count(
            metric.REQUESTS, queue=item.grant.queue, team=item.grant.team
        )
        self._metrics.record(
            metric.REQUEST_SECONDS,
            self._clock() - item.received,
            queue=item.grant.queue,
        )
        self._finish(item, response, verdict.Execution.RAN)
        self._record_completion(item, response.status, replayed=replayed)
        event.emit(
            event.Event.REQUEST_DONE,
            request=item.request_id,
            status=response.status,
            queue=item.grant.queue,
            team=item.grant.team,
        )
        item.exchange.respond(response.status, headers, response.body)

    def _refuse(
        self, item: inflight.InFlightRequest, refusal: verdict.Refusal
    ) -> None:
        refusal = retry.combine_refusal(refusal, item.execution)
        self._count_refusal(refusal, item.request_id)
        self._finish(item, None, refusal.execution)
        self._record_completion(item, refusal.status, refusal)
        status, headers, body = render_refusal(refusal, item.request_id)
        item.exchange.respond(status, headers, body)

    def _record_completion(
        self,
        item: inflight.InFlightRequest,
        status: int,
        refusal: verdict.Refusal | None = None,
        *,
        replayed: bool = False,
    ) -> None:
        ran = verdict.Execution.RAN
        self.request_log.add(
            requestlog.CompletedRequest(
                item.request_id,
                self._wall_clock(),
                status,
                ran if refusal is None else refusal.execution,
                None if refusal is None else refusal.reason,
                "" if refusal is None else refusal.detail,
                item.grant.queue,
                item.grant.team,
                tuple(item.attempts),
                self._clock() - item.received,
                replayed,
            )
        )

    def _finish(
        self,
        item: inflight.InFlightRequest,
        response: httpclient.Response | None,
        execution: verdict.Execution,
    ) -> None:
        item.phase = Phase.DONE
        self.in_flight_requests.pop(item.request_id, None)
        if item.key_claim is not None:
            size = 0 if response is None else len(response.body)
            self._claims.finish(
                item.key_claim, response, size, execution=execution
            )

    def _refuse_exchange(
        self, exchange: edge.Exchange, refusal: verdict.Refusal
    ) -> None:
        path = exchange.request.target.removeprefix(requesthead.QUEUE_PREFIX)
        queue = path.partition("?")[0].partition("/")[0]
        exchange.respond(*self._render_early_refusal(refusal, queue))

    def _count_refusal(
        self, refusal: verdict.Refusal, request_id: identifiers.RequestId
    ) -> None:
        self._metrics.count(
            metric.REFUSALS,
            reason=refusal.reason.value,
            execution=refusal.execution.value,
        )
        event.emit(
            event.Event.REQUEST_REFUSED,
            request=request_id,
            reason=refusal.reason.value,
            execution=refusal.execution.value,
        )

    def _tick(self) -> None:
        """Expires and starts queued requests, while there are any.

        The timer stops when there are none: waking an idle entry every 20 ms
        cost 0.93% of a core.
        """
        self._ticking = bool(self.in_flight_requests)
        if self._ticking:
            self._timers.subscribe_once(TICK_SECONDS, self._tick)
            self._refuse_expired()
            self.start_ready_requests()

    def _refuse_expired(self) -> None:
        """Refuses queued requests that were evicted or have expired."""
        for job, refusal in self.scheduler.collect_refused(self._clock()):
            item = self.in_flight_requests.get(job.request_id)
            if item is not None:
                self._refuse(item, refusal)


_CLAIM_REFUSALS: Mapping[claim.DecisionKind, verdict.Refusal] = {
    claim.DecisionKind.RUNNING: verdict.Refusal(
        Reason.DUPLICATE_RUNNING,
        verdict.Execution.MAY_HAVE_RUN,
        "A request with this idempotency key was accepted and may be running.",
        1.0,
    ),
    claim.DecisionKind.RAN: verdict.Refusal(
        Reason.DUPLICATE_RAN,
        verdict.Execution.RAN,
        "A request with this idempotency key ran; its answer is not kept.",
    ),
    claim.DecisionKind.REUSED: verdict.Refusal(
        Reason.KEY_REUSED,
        detail="The idempotency key belongs to another request.",
    ),
    claim.DecisionKind.UNAVAILABLE: verdict.Refusal(
        Reason.CLAIM_UNAVAILABLE,
        detail="The idempotency key can't be checked now.",
        retry_after=1.0,
    ),
}


def _list_resources(
    item: inflight.InFlightRequest, target: router.Target
) -> tuple[ledger.ResourceId, ...]:
    """Returns the resources of which one attempt takes a token each."""
    return (
        ledger.team_resource(item.grant.team),
        ledger.slot_resource(target.minion),
    )


def render_refusal(
    refusal: verdict.Refusal, request_id: identifiers.RequestId
) -> tuple[int, Sequence[edge.Header], bytes]:
    """Returns status, headers and problem+json body (RFC 9457)."""
    problem = {
        "type": "about:blank",
        "title": refusal.reason.value,
        "status": refusal.status,
        "reason": refusal.reason.value,
        "execution": refusal.execution.value,
        "detail": refusal.detail,
        "request_id": request_id,
    }
    headers = [
        (b"content-type", b"application/problem+json"),
        (b"x-request-id", request_id.encode()),
        (b"x-execution", refusal.execution.value.encode()),
    ]
    if refusal.retry_after is not None:
        seconds = max(1, round(refusal.retry_after))
        headers.append((b"retry-after", b"%d" % seconds))
    if refusal.status == 401:
        headers.append((b"www-authenticate", b'Bearer realm="queues"'))
    return refusal.status, headers, json.dumps(problem).encode()


if __name__ == "__main__":
    print(
        render_refusal(
            verdict.Refusal(Reason.QUEUE_FULL, retry_after=1.0),
            identifiers.create_request_id(),
        )
    )
