"""Runs a site in one process: entries, simulated platform and minions."""

import pathlib
import random
import re
import secrets
import socket
import time
from collections.abc import Callable, Sequence
from typing import Any

from returns import result

from clementinewood import (
    bundle,
    dev_platform,
    edge,
    entry,
    fleet_fold,
    identifiers,
    logservice,
    minion,
    page,
    settings,
    signature,
    timer,
    transport,
    web,
)

HOST = "127.0.0.1"
SIGNATURE_SECONDS = 3600.0
RACK_WORKERS = 4
PORTS = range(15000, 30000)


class DevSite:
    """Entries, minions, the log and the host list on loopback.

    Args:
        text: Bundle text, unsigned.
        base_port: First port used; 0 picks free ports.
        entries: Number of entries.
        run_seconds: Run time in seconds of requests without a `Run-Ms`
            header.
        timers: Timer service to run on.
        sockets: Transport of that timer service.
        operator_token: Token that the operators' pages require, if any.
        wall_clock: Wall-clock time in seconds, also for the log.

    Attributes:
        private_key: Private key in PEM that signs bundles as operator `dev`.
    """

    def __init__(
        self,
        text: str,
        *,
        base_port: int = 0,
        entries: int = 3,
        run_seconds: float = 0.02,
        timers: timer.TimerService | None = None,
        sockets: transport.Transport | None = None,
        operator_token: str | None = None,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self.text = text
        self._operator_token = operator_token
        self.timers = timers or timer.TimerService()
        self.sockets = sockets or transport.Transport(self.timers).register(
            self.timers
        )
        self.pages = web.Web(self.timers).register(self.timers)
        page.register_pages(self.pages)
        self._wall_clock = wall_clock
        self.log = logservice.LogService(
            self.sockets, self.timers, wall_clock=wall_clock
        )
        self.log_address = self.log.listen((HOST, _next_port(base_port, 0)))
        self.declared = parse_text(text)
        self.minions: dict[identifiers.WorkerId, minion.Minion] = {}
        self.private_key, public = signature.generate_key()
        self.operator = signature.OperatorKey(
            "dev", public, wall_clock() + SIGNATURE_SECONDS
        )
        self.cluster_key = secrets.token_bytes(32)
        self._start_minions(base_port, run_seconds)
        self.settings = self._create_settings(base_port, entries)
        self.entries = [
            entry.Entry(
                item,
                self.sockets,
                self.timers,
                self.pages,
                wall_clock=wall_clock,
            )
            for item in self.settings
        ]
        self.platform = dev_platform.HostPlatform(
            self.log, self.minions, self.timers, self._find_fleet
        )
        self.platform.start()

    def start(self) -> None:
        """Starts the entries; `post_bundle` puts the bundle into force."""
        for item in self.entries:
            item.start()

    def _find_fleet(self) -> fleet_fold.FleetState:
        """Returns the fleet state of the entry furthest ahead in the log."""
        newest = max(self.entries, key=lambda item: item.state.next_offset)
        return newest.state.fleet

    def sign(self, text: str) -> str:
        """Returns `text` signed by the site's operator."""
        now = self._wall_clock()
        return signature.sign_bundle(
            text,
            "dev",
            self.private_key,
            signed=now,
            expires=now + SIGNATURE_SECONDS,
        )

    def post_bundle(self, text: str) -> edge.Exchange:
        """Signs a bundle and passes it to the first entry as a request."""
        headers: tuple[edge.Header, ...] = ()
        if self._operator_token is not None:
            value = f"Bearer {self._operator_token}".encode()
            headers = ((b"authorization", value),)
        request = edge.HttpRequest(
            "POST", "/v1/bundles", headers, self.sign(text).encode(), (HOST, 0)
        )
        exchange = edge.Exchange(request, lambda status, headers, body: None)
        self.entries[0].handle_exchange(exchange)
        return exchange

    def _start_minions(self, base_port: int, run_seconds: float) -> None:
        zones = list(self.declared.zones)
        hosts: list[dict[str, Any]] = []
        port = 100
        for name, pool in self.declared.pools.items():
            service = self.declared.services[pool.service]
            for index, worker in enumerate(pool.workers):
                server = minion.Minion(
                    self.sockets,
                    self.timers,
                    name=worker,
                    slots=service.slots,
                    connections=service.connections,
                    run_seconds=run_seconds,
                    wall_clock=self._wall_clock,
                )
                address = server.listen((HOST, _next_port(base_port, port)))
                port += 1
                self.minions[worker] = server
                hosts.append(
                    {
                        "id": worker,
                        "zone": zones[index % len(zones)],
                        "rack": f"{name}-rack-{index // RACK_WORKERS}",
                        "address": f"{address[0]}:{address[1]}",
                        "state": "live",
                        "running": 0,
                        "boot": "boot-1",
                        "pool": name,
                    }
                )
        self.log.hosts = hosts

    def _create_settings(
        self, base_port: int, entries: int
    ) -> list[settings.Settings]:
        zones = list(self.declared.zones)
        names = [
            identifiers.EntryId(f"entry-{index + 1}")
            for index in range(entries)
        ]
        callers, peers = [], []
        for index in range(entries):
            callers.append((HOST, _next_port(base_port, 1 + index)))
            peers.append((HOST, _next_port(base_port, 51 + index)))
        if not base_port:
            callers = [(HOST, port) for port in find_ports(entries)]
            peers = [(HOST, port) for port in find_ports(entries)]
        return [
            settings.Settings(
                entry=name,
                zone=zones[index % len(zones)],
                callers=callers[index],
                peers=peers[index],
                log=self.log_address,
                hosts=self.log_address,
                cluster_key=self.cluster_key,
                others={
                    other: peers[peer_index]
                    for peer_index, other in enumerate(names)
                    if other != name
                },
                operators={"dev": self.operator},
                operator_token=None
                if self._operator_token is None
                else signature.hash_secret(self._operator_token),
                edge_limits=edge.EdgeLimits(),
                log_level=settings.LogLevel.INFO,
                log_format=settings.LogFormat.TEXT,
            )
            for index, name in enumerate(names)
        ]


def _next_port(base: int, index: int) -> int:
    return base + index if base else 0


def find_ports(count: int) -> Sequence[int]:
    """Returns ports that are free now.

    `PORTS` lies below the system's range of ephemeral ports. Otherwise an
    entry that connects to a peer that does not listen yet could be connected
    to itself and occupy the peer's port.
    """
    sockets: list[socket.socket] = []
    try:
        for port in random.sample(PORTS, len(PORTS)):
            if len(sockets) == count:
                break
            item = socket.socket()
            try:
                item.bind((HOST, port))
            except OSError:
                item.close()
                continue
            sockets.append(item)
        return [item.getsockname()[1] for item in sockets]
    finally:
        for item in sockets:
            item.close()


def parse_text(text: str) -> bundle.Bundle:
    """Returns the bundle in `text`.

    Raises:
        ValueError: The text has errors; the message lists them.
    """
    parsed = bundle.parse_bundle(text, "bundle")
    match parsed:
        case result.Success(value):
            return value
        case _:
            faults = "\n".join(item.render() for item in parsed.failure())
            raise ValueError(faults)


def find_secrets(text: str) -> list[str]:
    """Returns the example keys in the comments of a bundle."""
    return re.findall(r"^# +([a-z0-9-]+\.[0-9a-f]{16,})$", text, re.M)


def read_example(site: str) -> str:
    """Returns the text of an example bundle, `guild` or `sanctum`."""
    path = pathlib.Path(__file__).parent / "examples" / f"{site}.ini"
    return path.read_text(encoding="utf-8")


if __name__ == "__main__":
    example = DevSite(read_example("guild"))
    example.start()
    example.timers.subscribe_once(
        1.0, lambda: print(example.post_bundle(example.text).answered)
    )
    example.timers.subscribe_once(2.0, lambda: example.timers.stop())
    example.timers.run()
    for item in example.entries:
        print(item.view.describe_status())
