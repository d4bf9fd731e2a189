"""Provides the operators' pages with the state of one entry."""

import hmac
from collections.abc import Mapping
from typing import Any, Protocol

from clementinewood import (
    coordination,
    edge,
    explanation,
    fleet_control,
    fleet_record,
    gateway,
    hostlist,
    identifiers,
    metric,
    router,
    settings,
    signature,
    state,
    web,
)


class ViewedEntry(Protocol):
    """Part of an entry that the view reads."""

    config: settings.Settings
    me: identifiers.Incarnation
    state: state.ControlState
    coordination: coordination.Coordination
    fleet: fleet_control.FleetControl
    gateway: gateway.Gateway
    metrics: metric.Metrics
    router: router.Router
    hosts: Mapping[identifiers.WorkerId, hostlist.Host]

    @property
    def is_fresh(self) -> bool: ...  # noqa: D102

    def count_held(self, team: identifiers.TeamId) -> int: ...  # noqa: D102

    def read_readiness(self) -> tuple[bool, str]: ...  # noqa: D102

    def describe_peer(  # noqa: D102
        self, name: identifiers.EntryId
    ) -> tuple[int, bool]: ...


class SiteView:
    """Describes the state of one entry for the operators' pages.

    Args:
        entry: The entry.
    """

    def __init__(self, entry: ViewedEntry) -> None:
        self._entry = entry

    def is_operator(self, request: web.Request) -> bool:
        """Returns whether a request carries the operators' token."""
        return self.has_token(request.exchange.request)

    def has_token(self, request: edge.HttpRequest) -> bool:
        """Returns whether a request carries the operators' token."""
        digest = self._entry.config.operator_token
        if digest is None:
            return True
        given = request.find_header(b"authorization") or ""
        token = given.removeprefix("Bearer ")
        return hmac.compare_digest(signature.hash_secret(token), digest)

    def read_readiness(self) -> tuple[bool, str]:
        """Returns whether callers may be sent here, and the reason."""
        return self._entry.read_readiness()

    def render_metrics(self) -> bytes:
        """Returns the metrics as Prometheus text."""
        return self._entry.metrics.render()

    def list_bundles(self) -> list[dict[str, Any]]:
        """Returns the accepted bundles, oldest first."""
        return [
            {
                "version": item.version,
                "operator": item.operator,
                "digest": item.digest,
                "time": item.time,
                "entry": item.author,
            }
            for item in self._entry.state.history
        ]

    def read_bundle_text(self) -> str:
        """Returns the signed text of the bundle in force, or ""."""
        return self._entry.state.bundle_text

    def describe_status(self) -> dict[str, Any]:
        """Returns the state of the site as known to this entry."""
        ready, detail = self.read_readiness()
        usage = self._entry.gateway.scheduler.usage()
        return {
            "entry": self._entry.config.entry,
            "incarnation": self._entry.me,
            "zone": self._entry.config.zone,
            "version": self._entry.state.version,
            "ready": ready,
            "detail": detail,
            "entries": self._describe_entries(),
            "teams": {
                team: {
                    "queued": item.queued,
                    "running": item.running,
                    "held": self._entry.count_held(team),
                    "slot_seconds": round(item.slot_seconds, 3),
                }
                for team, item in usage.items()
            },
            "pools": self._describe_pools(),
            "fleet": self._entry.fleet.describe(),
        }

    def _describe_entries(self) -> list[dict[str, Any]]:
        entries: list[dict[str, Any]] = [
            {
                "entry": self._entry.config.entry,
                "version": self._entry.state.version,
                "fresh": self._entry.is_fresh,
            }
        ]
        for name in self._entry.config.others:
            version, fresh = self._entry.describe_peer(name)
            entries.append({"entry": name, "version": version, "fresh": fresh})
        return entries

    def _describe_pools(self) -> dict[str, dict[str, Any]]:
        pools: dict[str, dict[str, Any]] = {}
        steps = self._entry.fleet.describe_pools()
        for worker, assignment in self._entry.state.assignments.items():
            found = pools.setdefault(
                assignment.pool,
                {
                    "workers": 0,
                    "listed": 0,
                    "leaving": 0,
                    "steps": steps[assignment.pool],
                },
            )
            host = self._entry.hosts.get(worker)
            found["workers"] += 1
            found["listed"] += host is not None
            found["leaving"] += host is not None and host.leaving
        return pools

    def explain(self, subject: str) -> dict[str, Any] | None:
        """Explains the state of a request, team or worker.

        Returns:
            None if `subject` is none of these.
        """
        found = self._entry.gateway.explain_request(
            identifiers.RequestId(subject)
        )
        if found is not None:
            return found
        declared = self._entry.state.bundle
        team = identifiers.TeamId(subject)
        usage = self._entry.gateway.scheduler.usage().get(team)
        if usage is not None and declared is not None:
            return explanation.explain_team(
                team,
                usage,
                declared.teams.get(team),
                held=self._entry.count_held(team),
            )
        return self._explain_worker(identifiers.WorkerId(subject))

    def _explain_worker(
        self, worker: identifiers.WorkerId
    ) -> dict[str, Any] | None:
        details = self._entry.fleet.explain(worker)
        declared = self._entry.state.bundle
        if details is None or declared is None:
            return None
        pool = identifiers.PoolId(details["pool"])
        found = explanation.explain_worker(
            worker,
            pool,
            self._entry.hosts.get(worker),
            declared,
            ejected=identifiers.MinionId(worker)
            in self._entry.router.ejected(pool),
        )
        if details["step"] != fleet_record.Step.IN_SERVICE.value:
            found["why"] = f"gets no new work: {details['reason']}"
        return details | found
