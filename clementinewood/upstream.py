"""Sends HTTP/1.1 requests to one minion and classifies the results."""

import dataclasses
import math
from collections.abc import Callable, Sequence

from clementinewood import (
    framing,
    httpclient,
    identifiers,
    timer,
    transport,
    verdict,
)

Header = framing.Header

CONTROL_HEADERS = frozenset(
    (
        b"x-customer",
        b"x-deadline-ms",
        b"x-execution",
        b"x-idempotent",
        b"x-priority",
        b"x-request-id",
        b"x-run-limit-ms",
        b"x-start-before",
    )
)
"""Fields between two of caller, entry and minion; never forwarded."""

_FORWARDED = framing.NameFilter(
    framing.HOP_BY_HOP
    | CONTROL_HEADERS
    | {b"authorization", b"content-length", b"expect", b"host"}
)
"""`Authorization` holds the caller's key for the entry; not forwarded."""

_RETURNED = framing.NameFilter(framing.HOP_BY_HOP | CONTROL_HEADERS)


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseReceived:
    """The minion returned a complete response to the request.

    Attributes:
        response: The response, without hop-by-hop and control headers.
        execution: RAN, or MAY_HAVE_RUN if the minion's `X-Execution` is not
            exactly one `ran`.
    """

    response: httpclient.Response
    execution: verdict.Execution = verdict.Execution.RAN


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the request was sent; it did not run."""

    detail: str
    execution: verdict.Execution = verdict.Execution.NOT_RUN


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The minion responded that it did not run the request."""

    detail: str
    execution: verdict.Execution = verdict.Execution.NOT_RUN


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """The connection ended without a response; the request may have run."""

    detail: str
    execution: verdict.Execution = verdict.Execution.MAY_HAVE_RUN


@dataclasses.dataclass(frozen=True, slots=True)
class TimedOut:
    """No complete response arrived in time; the request may have run."""

    detail: str
    execution: verdict.Execution = verdict.Execution.MAY_HAVE_RUN


@dataclasses.dataclass(frozen=True, slots=True)
class Invalid:
    """The response was truncated, malformed or for another request.

    The request may have run.
    """

    detail: str
    execution: verdict.Execution = verdict.Execution.MAY_HAVE_RUN


AttemptResult = ResponseReceived | NotSent | Refused | Lost | TimedOut | Invalid
OnAttemptResult = Callable[[AttemptResult], None]


def select_headers(
    headers: Sequence[Header], names: framing.NameFilter
) -> list[Header]:
    """Returns headers that `names` selects and no Connection header lists."""
    selected = names.select(headers)
    for name, value in headers:
        if name == b"connection":
            named = framing.list_tokens(value)
            selected = [field for field in selected if field[0] not in named]
    return selected


class Upstream:
    """Sends requests to one minion.

    Args:
        minion: The minion's id.
        client: Connections to the minion.
    """

    def __init__(
        self, minion: identifiers.MinionId, client: httpclient.HttpClient
    ) -> None:
        self.minion = minion
        self.client = client

    @property
    def connections(self) -> int:
        """Connections open or being opened."""
        return self.client.connections

    def send(
        self,
        request_id: identifiers.RequestId,
        method: str,
        target: str,
        headers: Sequence[Header],
        body: bytes,
        *,
        timeout: float,
        on_result: OnAttemptResult,
        idempotent: bool = False,
        run_limit: float | None = None,
        start_before: float | None = None,
    ) -> httpclient.Call:
        """Sends one attempt of a request.

        Args:
            request_id: Sent with the request; the response must echo it. A
                response to an earlier attempt with the same id would be
                accepted for this one.
            method: HTTP method.
            target: Origin-form request target.
            headers: The caller's headers; hop-by-hop and control headers
                among them are not forwarded.
            body: Complete body.
            timeout: Seconds until the attempt times out.
            on_result: Called once with the result, after `send` returned.
            idempotent: Whether the request may be sent on a connection that
                the minion may be closing.
            run_limit: Seconds after which the minion stops the work.
            start_before: Wall-clock time in seconds after which the minion
                must not start it.

        Returns:
            The call; `cancel` closes its connection and reports no result.
        """
        fields = select_headers(headers, _FORWARDED)
        expected = request_id.encode("ascii")
        fields.append((b"x-request-id", expected))
        if run_limit is not None:
            fields.append((b"x-run-limit-ms", b"%d" % (run_limit * 1000)))
        if start_before is not None:
            # Rounded down, since a later start is not allowed.
            floor = math.floor(start_before * 1000) / 1000
            fields.append((b"x-start-before", b"%.3f" % floor))
        return self.client.send(
            method,
            target,
            fields,
            body,
            timeout=timeout,
            on_result=lambda result: on_result(
                classify_result(result, expected)
            ),
            reuse_careful=not idempotent,
        )

    def close(self) -> None:
        """Closes every connection; calls in progress end as Lost or NotSent."""
        self.client.close()

    def close_idle(self) -> None:
        """Closes connections that carry no request."""
        self.client.close_idle()


def classify_result(
    result: httpclient.Result, request_id: bytes
) -> AttemptResult:
    """Returns the attempt result for a client result of `request_id`."""
    match result:
        case httpclient.Response():
            return _classify_response(result, request_id)
        case httpclient.NotSent(detail=detail):
            return NotSent(detail)
        case httpclient.Lost(detail=detail, timed_out=True):
            return TimedOut(detail)
        case httpclient.Lost(detail=detail, invalid=True):
            return Invalid(detail)
        case httpclient.Lost(detail=detail):
            return Lost(detail)


def _classify_response(
    response: httpclient.Response, request_id: bytes
) -> AttemptResult:
    echoed = []
    executions = []
    for name, value in response.headers:
        if name == b"x-request-id":
            echoed.append(value)
        elif name == b"x-execution":
            executions.append(value)
    if echoed != [request_id]:
        return Invalid("response with another request id or none")
    execution = verdict.Execution.RAN
    if executions:
        # Repeated headers may contradict each other, so none is used.
        stated = executions[0] if len(executions) == 1 else b""
        if response.status == 503 and stated == b"not-run":
            return Refused("minion refused to start the request")
        if stated != b"ran":
            execution = verdict.Execution.MAY_HAVE_RUN
    headers = tuple(select_headers(response.headers, _RETURNED))
    return ResponseReceived(
        httpclient.Response(response.status, headers, response.body), execution
    )


if __name__ == "__main__":
    timers = timer.TimerService()
    sockets = transport.Transport(timers).register(timers)
    upstream = Upstream(
        identifiers.MinionId("example"),
        httpclient.HttpClient(sockets, timers, ("127.0.0.1", 9)),
    )

    def show(outcome: AttemptResult) -> None:
        """Prints the outcome and ends the loop."""
        print(outcome)
        timers.stop()

    upstream.send(
        identifiers.create_request_id(),
        "GET",
        "/",
        [],
        b"",
        timeout=2.0,
        on_result=show,
    )
    timers.run()
