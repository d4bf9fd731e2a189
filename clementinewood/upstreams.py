"""Sends attempts to minions over one `Upstream` per minion and address."""

from collections.abc import Callable, Sequence

from clementinewood import (
    edge,
    fleet_control,
    httpclient,
    identifiers,
    retry,
    router,
    timer,
    transport,
    upstream,
)

_OUTCOMES: dict[type, retry.Outcome] = {
    upstream.ResponseReceived: retry.Outcome.SUCCEEDED,
    upstream.NotSent: retry.Outcome.NOT_SENT,
    upstream.Refused: retry.Outcome.REFUSED,
    upstream.Lost: retry.Outcome.LOST,
    upstream.TimedOut: retry.Outcome.TIMED_OUT,
    upstream.Invalid: retry.Outcome.INVALID,
}


class Upstreams:
    """Holds the connections to every minion in use.

    Args:
        sockets: Opens connections.
        timers: Timer service.
        meter: Measures requests by pool and host.
    """

    def __init__(
        self,
        sockets: transport.Transport,
        timers: timer.TimerService,
        meter: fleet_control.WorkMeter,
    ) -> None:
        self._sockets = sockets
        self._meter = meter
        self._timers = timers
        self._upstreams: dict[
            tuple[identifiers.MinionId, tuple[str, int]], upstream.Upstream
        ] = {}

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
        worker = identifiers.WorkerId(target.minion)
        started = self._timers.clock()
        self._meter.start(worker, target.pool)

        def report(outcome: upstream.AttemptResult) -> None:
            self._meter.finish(
                worker, target.pool, self._timers.clock() - started
            )
            if not isinstance(outcome, upstream.ResponseReceived):
                on_result(_OUTCOMES[type(outcome)], None)
                return
            failed = outcome.response.status >= 500
            on_result(
                retry.Outcome.FAILED if failed else retry.Outcome.SUCCEEDED,
                outcome.response,
            )

        self._find(target).send(
            request_id,
            method,
            path,
            headers,
            body,
            timeout=timeout,
            on_result=report,
            idempotent=idempotent,
            run_limit=run_limit,
            start_before=start_before,
        )

    def close_all(self) -> None:
        """Closes every connection."""
        for item in self._upstreams.values():
            item.close()

    def _find(self, target: router.Target) -> upstream.Upstream:
        key = (target.minion, target.address)
        found = self._upstreams.get(key)
        if found is None:
            client = httpclient.HttpClient(
                self._sockets, self._timers, target.address
            )
            found = upstream.Upstream(target.minion, client)
            self._upstreams[key] = found
        return found
