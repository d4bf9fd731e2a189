"""Pages of an entry: health, metrics, status, bundles, explanations."""

import json
from typing import Any, Protocol

from circuits.web import controllers, wrappers

from clementinewood import web

TOKEN_NEEDED = "operator token needed"


class PageSource(Protocol):
    """What the pages show; an entry."""

    def read_readiness(self) -> tuple[bool, str]:
        """Returns whether callers may be sent here, and why not."""

    def render_metrics(self) -> bytes:
        """Returns the metrics as Prometheus text."""

    def describe_status(self) -> dict[str, Any]:
        """Returns the state of the site as this entry sees it."""

    def list_bundles(self) -> list[dict[str, Any]]:
        """Returns the accepted bundles, oldest first."""

    def read_bundle_text(self) -> str:
        """Returns the signed text of the bundle in force, or nothing."""

    def explain(self, subject: str) -> dict[str, Any] | None:
        """Returns why a request, team or worker is in its state."""

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
    """Liveness: the loop runs."""

    channel = "/health"

    def GET(self) -> str:  # noqa: N802
        """Answers 200 while the loop runs."""
        self.response.headers["Content-Type"] = "text/plain"
        return "ok\n"


class Ready(controllers.Controller):
    """Readiness, for the balancer."""

    channel = "/ready"

    def GET(self) -> str:  # noqa: N802
        """Answers 200 while callers may be sent here, else 503."""
        ready, detail = _find_source(self.request).read_readiness()
        self.response.status = 200 if ready else 503
        self.response.headers["Content-Type"] = "text/plain"
        return f"{detail}\n"


class MetricsPage(controllers.Controller):
    """Metrics as Prometheus text."""

    channel = "/metrics"

    def GET(self) -> bytes:  # noqa: N802
        """Answers with all metrics."""
        self.response.headers["Content-Type"] = "text/plain; version=0.0.4"
        return _find_source(self.request).render_metrics()


class StatusPage(_Page):
    """State of the site."""

    channel = "/v1/status"

    def GET(self) -> str:  # noqa: N802
        """Answers with the state as JSON."""
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
        """Answers with the history of bundles as JSON."""
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
        """Answers with an explanation as JSON, or 404."""
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
