"""Serves an entry's health, metrics, status, bundle and explain pages."""

import json
from typing import Any, Protocol

from circuits.web import controllers, wrappers

from clementinewood import web

TOKEN_NEEDED = "operator token needed"


class PageSource(Protocol):
    """Source of the data on the pages, implemented by an entry."""

    def read_readiness(self) -> tuple[bool, str]:
        """Returns whether the entry may receive requests, and why not."""

    def render_metrics(self) -> bytes:
        """Returns the metrics as Prometheus text."""

    def describe_status(self) -> dict[str, Any]:
        """Returns the state of the site as this entry sees it."""

    def list_bundles(self) -> list[dict[str, Any]]:
        """Returns the accepted bundles, oldest first."""

    def read_bundle_text(self) -> str:
        """Returns the signed text of the active bundle, or an empty string."""

    def explain(self, subject: str) -> dict[str, Any] | None:
        """Returns why `subject` is in its state, or None if it is unknown.

        Args:
            subject: Id of a request, team or worker.
        """

    def is_operator(self, request: web.Request) -> bool:
        """Returns whether a request carries the operators' token."""


def _find_source(req: web.Request) -> PageSource:
    source: Any = req.exchange.context
    return source


def _send_json(res: wrappers.Response, content: object, status: int) -> str:
    res.status = status
    res.headers["Content-Type"] = "application/json"
    return json.dumps(content, indent=1) + "\n"


class _Page(controllers.Controller):
    """Base of pages that only operators may see."""

    def _deny(self) -> str | None:
        if _find_source(self.request).is_operator(self.request):
            return None
        self.response.headers["WWW-Authenticate"] = 'Bearer realm="operators"'
        return _send_json(self.response, {"error": TOKEN_NEEDED}, 401)


class Health(controllers.Controller):
    """Liveness check."""

    channel = "/health"

    def GET(self) -> str:  # noqa: N802
        """Responds 200 while the event loop runs."""
        self.response.headers["Content-Type"] = "text/plain"
        return "ok\n"


class Ready(controllers.Controller):
    """Readiness check for load balancers."""

    channel = "/ready"

    def GET(self) -> str:  # noqa: N802
        """Responds 200 if the entry may receive requests, else 503."""
        ready, detail = _find_source(self.request).read_readiness()
        self.response.status = 200 if ready else 503
        self.response.headers["Content-Type"] = "text/plain"
        return f"{detail}\n"


class MetricsPage(controllers.Controller):
    """Metrics as Prometheus text."""

    channel = "/metrics"

    def GET(self) -> bytes:  # noqa: N802
        """Returns all metrics."""
        self.response.headers["Content-Type"] = "text/plain; version=0.0.4"
        return _find_source(self.request).render_metrics()


class StatusPage(_Page):
    """State of the site."""

    channel = "/v1/status"

    def GET(self) -> str:  # noqa: N802
        """Returns the state as JSON."""
        denied = self._deny()
        if denied is not None:
            return denied
        return _send_json(
            self.response, _find_source(self.request).describe_status(), 200
        )


class BundlesPage(_Page):
    """Accepted bundles."""

    channel = "/v1/bundles"

    def GET(self) -> str:  # noqa: N802
        """Returns the accepted bundles and the active text as JSON."""
        denied = self._deny()
        if denied is not None:
            return denied
        source = _find_source(self.request)
        content = {
            "bundles": source.list_bundles(),
            "text": source.read_bundle_text(),
        }
        return _send_json(self.response, content, 200)


class ExplainPage(_Page):
    """Why a request, team or worker is in its state."""

    channel = "/v1/explain"

    def GET(self, subject: str) -> str:  # noqa: N802
        """Returns the explanation as JSON; responds 404 without one."""
        denied = self._deny()
        if denied is not None:
            return denied
        found = _find_source(self.request).explain(subject)
        if found is None:
            return _send_json(
                self.response, {"error": f"nothing about {subject}"}, 404
            )
        return _send_json(self.response, found, 200)


def register_pages(site: web.Web) -> None:
    """Adds every page to `site`."""
    for page in (
        Health,
        Ready,
        MetricsPage,
        StatusPage,
        BundlesPage,
        ExplainPage,
    ):
        page().register(site)
