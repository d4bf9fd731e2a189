"""Serves operator pages with circuits.web controllers."""

import io
import json
import urllib.parse
from collections.abc import Sequence
from http import HTTPStatus
from typing import Any

import circuits
from circuits.web import (
    controllers,
    events,
    exceptions,
    headers,
    http,
    wrappers,
)
from circuits.web import errors as web_errors
from circuits.web.dispatchers import dispatcher

from clementinewood import edge, timer, transport, verdict
from clementinewood import event as log_event

PAGE_TIMEOUT_SECONDS = 10.0
"""Time after which a page without a response is answered with 503."""

_FRAMING = frozenset(
    ("connection", "content-length", "transfer-encoding", "keep-alive")
)


class _Server:
    """Attributes of a server that circuits.web's wrappers read."""

    display_banner = False
    secure = False
    host = "127.0.0.1"
    port = 80


class Request(wrappers.Request):
    """A circuits.web request received by the edge.

    Attributes:
        exchange: The exchange that takes the response.
        query: Query parameters with all values of each name.
    """

    def __init__(self, exchange: edge.Exchange, server: _Server) -> None:
        request = exchange.request
        path, _, query = request.target.partition("?")
        fields = headers.Headers(
            [
                (name.decode("ascii").title(), value.decode("latin-1"))
                for name, value in request.headers
                # The wrapper raises on a port that is not a number and on a
                # malformed cookie; no page depends on either.
                if name not in (b"host", b"cookie")
            ]
        )
        fields["Host"] = server.host
        super().__init__(
            None,
            request.method,
            "http",
            urllib.parse.unquote(path),
            (1, 1),
            query,
            fields,
            server,
        )
        self.exchange = exchange
        self.remote = wrappers.Host(*request.peer)
        self.body = io.BytesIO(request.body)
        self.query = urllib.parse.parse_qs(query, keep_blank_values=True)


def _accepts(method: Any, count: int) -> bool:
    """Whether `method` is exposed and takes `count` path segments."""
    if not hasattr(method, "args"):
        return False
    required = len(method.args) - len(method.defaults or ())
    return required <= count and (method.varargs or count <= len(method.args))


def _list_candidates(
    method: str, parts: list[str]
) -> list[tuple[str, list[str]]]:
    """Returns method names to try, each with its remaining segments."""
    found = [(method, parts)]
    if method == "HEAD":
        found.append(("GET", parts))
    # An upper-case segment would select the method of another HTTP verb.
    if parts and not parts[0].isupper():
        found.append((parts[0], parts[1:]))
    found.append(("index", parts))
    return found


class Dispatcher(dispatcher.Dispatcher):
    """Finds the controller method for a path.

    It replaces the base class, which passes query and form fields as keyword
    arguments (an unknown field makes a page raise TypeError), finds handlers
    that were never exposed and prefers `GET` over named pages.
    """

    @circuits.handler("request", priority=0.1, override=True)
    def _on_request(
        self, event: circuits.Event, req: Request, res: wrappers.Response
    ) -> circuits.core.Value | None:
        segments = [part for part in req.path.strip("/").split("/") if part]
        for channel, parts in dispatcher.resolve_path(self.paths, segments):
            handlers = self.paths[channel]._handlers
            for name, rest in _list_candidates(req.method, parts):
                methods = handlers.get(name)
                if methods and all(_accepts(m, len(rest)) for m in methods):
                    page = circuits.Event.create(name, req, res, *rest)
                    return self.fire(page, channel)
        return None


class Web(http.HTTP):
    """Serves pages; the edge replaces circuits' request parser.

    Args:
        timers: Times out pages without a response.

    Attributes:
        failures: Handler errors so far; the process is not healthy after one.
    """

    def __init__(self, timers: timer.TimerService) -> None:
        super().__init__(_Server())
        self.failures = 0
        self._timers = timers
        Dispatcher().register(self)

    def handle_exchange(self, exchange: edge.Exchange) -> None:
        """Starts the page for `exchange`, or responds 400 to a bad path."""
        try:
            req = Request(exchange, self._server)
            res = wrappers.Response(req)
        except ValueError:
            # circuits.web's URL parser raises on non-ASCII paths.
            self._respond_error(exchange, 400, "path or query is malformed")
            return
        deadline = self._timers.subscribe_once(
            PAGE_TIMEOUT_SECONDS, lambda: self._give_up(exchange)
        )
        exchange.on_cancel = deadline.cancel
        req.deadline = deadline
        self.fire(events.request(req, res))

    def render_refusal(
        self, refusal: verdict.Refusal
    ) -> tuple[int, Sequence[edge.Header], bytes]:
        """Renders `refusal` as problem+json (RFC 9457)."""
        problem: dict[str, object] = {
            "title": HTTPStatus(refusal.status).phrase
            if refusal.status in HTTPStatus._value2member_map_
            else refusal.reason.value,
            "status": refusal.status,
            "reason": refusal.reason.value,
            "execution": refusal.execution.value,
        }
        if refusal.detail:
            problem["detail"] = refusal.detail
        fields = [
            (b"content-type", b"application/problem+json"),
            (b"x-execution", refusal.execution.value.encode()),
        ]
        if refusal.retry_after is not None:
            seconds = max(1, round(refusal.retry_after))
            fields.append((b"retry-after", b"%d" % seconds))
        return refusal.status, fields, json.dumps(problem).encode()

    def _give_up(self, exchange: edge.Exchange) -> None:
        if not exchange.answered:
            self.failures += 1
            log_event.emit(
                log_event.Event.HANDLER_FAILED,
                where="page",
                detail=f"no response within {PAGE_TIMEOUT_SECONDS} s",
                path=exchange.request.target.partition("?")[0],
            )
            self._respond_error(exchange, 503, "")

    def _respond_error(
        self, exchange: edge.Exchange, code: int, detail: str
    ) -> None:
        problem: dict[str, object] = {"status": code}
        if code in HTTPStatus._value2member_map_:
            problem["title"] = HTTPStatus(code).phrase
        if detail:
            problem["detail"] = detail
        exchange.respond(
            code,
            [(b"content-type", b"application/problem+json")],
            json.dumps(problem).encode(),
        )

    @circuits.handler("read", override=True)
    def _on_read(self, sock: object, data: bytes) -> None:
        """Disables the parser; no socket is attached to this component."""

    @circuits.handler("response", override=True)
    def _on_response(self, res: wrappers.Response) -> None:
        request = res.request
        request.deadline.cancel()
        parts = [
            part if isinstance(part, bytes) else part.encode(self._encoding)
            for part in (res.body or ())
            if part is not None
        ]
        res.stream = False
        res.prepare()
        fields = [
            (name.encode("ascii"), value.encode("latin-1"))
            for name, value in res.headers.items()
            if name.lower() not in _FRAMING
        ]
        res.done = True
        request.exchange.respond(int(res.status), fields, b"".join(parts))

    @circuits.handler("stream", override=True)
    def _on_stream(self, res: wrappers.Response, data: bytes | None) -> None:
        """Does nothing: `_on_response` sends the whole body."""

    @circuits.handler("httperror", override=True)
    def _on_httperror(
        self,
        event: web_errors.httperror,
        req: Request,
        res: wrappers.Response,
        code: int | None = None,
        **kwargs: object,
    ) -> None:
        """Responds with code and description; tracebacks are only logged."""
        req.deadline.cancel()
        location = res.headers.get("Location")
        if 300 <= event.code < 400 and location:
            req.exchange.respond(
                event.code, [(b"location", location.encode("latin-1"))], b""
            )
            return
        self._respond_error(req.exchange, event.code, event.description or "")

    @circuits.handler("exception", channel="*", override=True)
    def _on_exception(
        self,
        error_type: type,
        error: BaseException,
        traceback: list[str],
        handler: object = None,
        fevent: circuits.Event | None = None,
    ) -> None:
        """Counts and logs an error; responds if it belongs to a request."""
        code, detail = 500, ""
        if isinstance(error, exceptions.HTTPException):
            code, detail = error.code, error.description or ""
        else:
            self.failures += 1
            log_event.emit(
                log_event.Event.HANDLER_FAILED, exception=error, where="page"
            )
        event = fevent
        while event is not None:
            request = self._find_request(event)
            if request is not None:
                request.deadline.cancel()
                self._respond_error(request.exchange, code, detail)
                return
            event = event.parent

    @staticmethod
    def _find_request(event: circuits.Event) -> Request | None:
        for value in event.args:
            if isinstance(value, wrappers.Response):
                value = value.request
            if isinstance(value, Request):
                return value
        return None

    @circuits.handler("request_failure", override=True)
    def _on_request_failure(self, erequest: object, error: object) -> None:
        """Answered by `_on_exception`."""

    @circuits.handler("response_failure", override=True)
    def _on_response_failure(self, eresponse: object, error: object) -> None:
        """Answered by `_on_exception`."""


class _Health(controllers.Controller):
    channel = "/health"

    def GET(self) -> str:  # noqa: N802
        return "ok\n"

    def crash(self) -> None:
        raise RuntimeError("example")


if __name__ == "__main__":
    service = timer.TimerService()
    network = transport.Transport(service).register(service)
    web = Web(service).register(service)
    _Health().register(web)
    print(edge.Edge(network, service, web).listen(("127.0.0.1", 8081)))
    service.subscribe_once(30.0, lambda: service.stop())
    service.run()
