"""Accepts signed bundles from operators and appends them to the log."""

import json
from collections.abc import Callable, Mapping

from returns import result

from clementinewood import (
    bundle,
    coordination,
    edge,
    event,
    identifiers,
    logclient,
    record,
    signature,
    state,
    timer,
)

FOLD_TIMEOUT_SECONDS = 10.0
"""Seconds to wait until the record of an appended bundle is folded."""

FOLD_POLL_SECONDS = 0.02
"""Period of checks whether an appended bundle is folded."""


def respond_json(exchange: edge.Exchange, status: int, content: object) -> None:
    """Responds to `exchange` with JSON."""
    exchange.respond(
        status,
        [(b"content-type", b"application/json")],
        json.dumps(content).encode() + b"\n",
    )


class Publication:
    """Appends bundles that operators post to this entry.

    Args:
        me: Incarnation of this entry.
        operators: Keys that may sign bundles, by operator.
        control: The control stream.
        folded: State folded from it.
        membership: Decides whether this entry may publish.
        timers: Timer service.
        wall_clock: Returns Unix time in seconds.
    """

    def __init__(
        self,
        me: identifiers.Incarnation,
        operators: Mapping[str, signature.OperatorKey],
        control: logclient.LogClient,
        folded: state.ControlState,
        membership: coordination.Coordination,
        timers: timer.TimerService,
        *,
        wall_clock: Callable[[], float],
    ) -> None:
        self._me = me
        self._operators = operators
        self._control = control
        self._state = folded
        self._coordination = membership
        self._timers = timers
        self._clock = timers.clock
        self._wall_clock = wall_clock

    def post(self, exchange: edge.Exchange) -> None:
        """Appends a signed bundle and responds once its record is folded."""
        text = exchange.request.body.decode("utf-8", "replace")
        checked = signature.verify_bundle(
            text, self._operators, now=self._wall_clock()
        )
        if not isinstance(checked, result.Success):
            fault = checked.failure()
            event.emit(event.Event.BUNDLE_REFUSED, detail=fault.detail)
            respond_json(exchange, 403, {"error": fault.detail, "faults": []})
            return
        digest = checked.unwrap().digest
        for accepted in self._state.history:
            if accepted.digest == digest:
                respond_json(exchange, 200, {"version": accepted.version})
                return
        if not (
            self._control.reachable
            and self._state.has_base
            and self._coordination.may_publish(self._clock())
        ):
            respond_json(
                exchange, 503, {"error": "this entry can't publish now"}
            )
            return
        parsed = bundle.parse_bundle(checked.unwrap().text)
        if isinstance(parsed, result.Failure):
            faults = [item.render() for item in parsed.failure()]
            respond_json(
                exchange, 400, {"error": "invalid bundle", "faults": faults}
            )
            return
        if parsed.unwrap().version <= self._state.version:
            respond_json(
                exchange,
                409,
                {"error": f"version {self._state.version} is in force"},
            )
            return
        self._append(exchange, text, digest)

    def _append(self, exchange: edge.Exchange, text: str, digest: str) -> None:
        try:
            payload = self._state.create_bundle_payload(text)
        except ValueError as error:
            respond_json(
                exchange, 400, {"error": str(error), "faults": [str(error)]}
            )
            return

        def report(outcome: logclient.AppendResult) -> None:
            event.emit(
                event.Event.BUNDLE_APPENDED,
                version=payload.version,
                outcome=type(outcome).__name__,
            )
            if not isinstance(outcome, logclient.Appended):
                respond_json(exchange, 503, {"error": "outcome unknown"})
            else:
                self._timers.subscribe_once(
                    0.0,
                    lambda: self._respond_when_folded(
                        exchange, digest, outcome.offset, FOLD_TIMEOUT_SECONDS
                    ),
                )

        entry = record.create_record(self._me, payload)
        self._control.append(entry, report)

    def _respond_when_folded(
        self,
        exchange: edge.Exchange,
        digest: str,
        offset: int,
        remaining: float,
    ) -> None:
        """Responds once the bundle's record is folded, or on time-out."""
        if self._state.next_offset <= offset and remaining > 0:
            self._timers.subscribe_once(
                FOLD_POLL_SECONDS,
                lambda: self._respond_when_folded(
                    exchange, digest, offset, remaining - FOLD_POLL_SECONDS
                ),
            )
            return
        if any(item.digest == digest for item in self._state.history):
            respond_json(exchange, 200, {"version": self._state.version})
        else:
            respond_json(exchange, 409, {"error": "another bundle came first"})
