"""Polls the platform's list of live and leaving hosts, which lags."""

import dataclasses
import json
import math
from collections.abc import Callable, Mapping
from typing import Any

from clementinewood import capacity, event, httpclient, identifiers, timer

POLL_SECONDS = 1.0
TIMEOUT_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Host:
    """One host of the list.

    Attributes:
        worker: Id of the host.
        zone: Availability zone.
        rack: Rack.
        address: Address of its minion.
        leaving: Whether it gets no new work.
        running: Number of running tasks as counted by the platform.
        boot: Id that changes with every boot; empty if not reported.
        healthy: Result of the platform's health checks.
        processors: Number of processors.
        memory_gb: Memory in GB.
        accelerators: Number of accelerators.
        pool: Pool whose service it runs; None if not reported.
    """

    worker: identifiers.WorkerId
    zone: identifiers.ZoneId
    rack: identifiers.RackId
    address: tuple[str, int]
    leaving: bool
    running: int = 0
    boot: str = ""
    healthy: bool = True
    processors: float = capacity.DEFAULT.processors
    memory_gb: float = capacity.DEFAULT.memory
    accelerators: float = capacity.DEFAULT.accelerators
    pool: identifiers.PoolId | None = None


def parse_hosts(body: bytes) -> dict[identifiers.WorkerId, Host]:
    """Parses the host list, by id of the host.

    Raises:
        ValueError: The body is not a list of hosts.
    """
    content = json.loads(body)
    if not isinstance(content, dict):
        raise ValueError("host list is not a JSON object")
    hosts = [_parse_host(item) for item in content.get("hosts", [])]
    return {host.worker: host for host in hosts}


def _parse_host(item: Any) -> Host:
    try:
        address, _, port = item["address"].rpartition(":")
        return Host(
            identifiers.WorkerId(item["id"]),
            identifiers.ZoneId(item["zone"]),
            identifiers.RackId(item.get("rack", "")),
            (address, int(port)),
            item.get("state", "live") != "live",
            int(item.get("running", 0)),
            str(item.get("boot", "")),
            item.get("healthy", True) is True,
            _parse_amount(item, "processors", capacity.DEFAULT.processors),
            _parse_amount(item, "memory_gb", capacity.DEFAULT.memory),
            _parse_amount(item, "accelerators", capacity.DEFAULT.accelerators),
            identifiers.PoolId(item["pool"]) if item.get("pool") else None,
        )
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"host {item!r} is malformed: {error!r}") from error


def _parse_amount(item: Any, name: str, default: float) -> float:
    """Returns the finite amount of zero or more in a field.

    Raises:
        ValueError: The amount is negative, infinite or no number.
    """
    amount = float(item.get(name, default))
    if not 0 <= amount < math.inf:
        raise ValueError(
            f"{name} of host {item!r} is {amount}, not a finite amount of 0 or"
            " more"
        )
    return amount


class HostList:
    """Polls the host list; keeps the last one while it can't be read.

    A read sends the entity tag of the last list (RFC 9110, `If-None-Match`),
    so that an unchanged list of 12,000 hosts is not sent and parsed once a
    second. A server without entity tags sends the whole list, which is parsed
    only if its bytes differ.

    Args:
        http: Connections to the list's server.
        timers: Timer service.
        on_hosts: Called with each list that differs from the last one.
        on_unchanged: Called with the monotonic time in seconds at which a read
            was sent that found no change.

    Attributes:
        read_at: Monotonic time in seconds at which the last successful read
            was sent; None before the first.
        failures: Number of failed reads.
    """

    def __init__(
        self,
        http: httpclient.HttpClient,
        timers: timer.TimerService,
        on_hosts: Callable[[Mapping[identifiers.WorkerId, Host]], None],
        *,
        on_unchanged: Callable[[float], None] = lambda sent: None,
    ) -> None:
        self.read_at: float | None = None
        self.failures = 0
        self._http = http
        self._timers = timers
        self._on_hosts = on_hosts
        self._on_unchanged = on_unchanged
        self._is_polling = False
        self._body: bytes | None = None
        self._tag: bytes | None = None
        self._reachable = True

    def start(self) -> None:
        """Reads the list now and then once a second."""
        self._poll()
        self._timers.subscribe_every(POLL_SECONDS, self._poll)

    def _poll(self) -> None:
        if self._is_polling:
            return
        self._is_polling = True
        sent = self._timers.clock()
        self._http.send(
            "GET",
            "/hosts",
            [] if self._tag is None else [(b"if-none-match", self._tag)],
            b"",
            timeout=TIMEOUT_SECONDS,
            on_result=lambda outcome: self._receive(outcome, sent),
        )

    def _update_reachable(self, reachable: bool) -> None:
        if reachable == self._reachable:
            return
        self._reachable = reachable
        event.emit(
            event.Event.HOSTS_REACHABLE
            if reachable
            else event.Event.HOSTS_UNREACHABLE
        )

    def _receive(self, outcome: httpclient.Result, sent: float) -> None:
        self._is_polling = False
        if not isinstance(outcome, httpclient.Response):
            self.failures += 1
            self._update_reachable(False)
            return
        if outcome.status == 304 and self._tag is not None:
            self.read_at = sent
            self._on_unchanged(sent)
            self._update_reachable(True)
            return
        if outcome.status != 200:
            self.failures += 1
            self._update_reachable(False)
            return
        self._update_reachable(True)
        if outcome.body == self._body:
            self._tag = outcome.find_header(b"etag")
            self.read_at = sent
            self._on_unchanged(sent)
            return
        try:
            hosts = parse_hosts(outcome.body)
        except ValueError as error:
            self.failures += 1
            event.emit(event.Event.HOSTS_MALFORMED, detail=error)
            return
        self._body, self._tag = outcome.body, outcome.find_header(b"etag")
        self.read_at = sent
        self._on_hosts(hosts)


if __name__ == "__main__":
    print(
        parse_hosts(
            b'{"hosts": [{"id": "quotes-1", "zone": "hobart", "rack": "r1",'
            b' "address": "127.0.0.1:9001", "state": "live"}]}'
        )
    )
