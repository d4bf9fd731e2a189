"""Measures the cost of control per node with real entry processes.

The simulated services and the callers run in this process; each entry is a
process of its own. CPU time and resident memory in MB are read from /proc,
bytes between entries from their `/metrics`, and bytes of the log and of the
host list from the simulated services. Prints one JSON object per line.

    python -m bench.nodes load --entries 3 --workers 300
    python -m bench.nodes changes --entries 7 --workers 300
    python -m bench.nodes restart --entries 3 --history 400
    python -m bench.nodes outage --entries 7 --outage 20
"""

import argparse
import collections
import datetime
import json
import os
import pathlib
import platform
import random
import re
import signal
import statistics
import sys
import time
from collections.abc import Iterator

from bench import chaos, sites
from clementinewood import (
    __version__,
    edge,
    httpclient,
    logservice,
    minion,
    signature,
)

TICKS = os.sysconf("SC_CLK_TCK")
READY_SECONDS = 60.0
HEADER_BYTES = 150
"""Estimated bytes of the request and response heads of one log call."""

IN_FORCE = re.compile(r"^(\S+) INFO CW\d+ .* version=(\d+) entry=\S+$")


class LogProxy:
    """Counts one entry's calls to the log and can cut it off from the log.

    Args:
        site: Site that owns the simulated log.
    """

    def __init__(self, site: "Nodes") -> None:
        self.is_cut = False
        self.bytes: collections.Counter[str] = collections.Counter()
        self.calls: collections.Counter[str] = collections.Counter()
        self._site = site
        self._edge = edge.Edge(
            site.sockets,
            site.timers,
            self,
            limits=edge.EdgeLimits(
                body_bytes=logservice.MAX_RECORD_BYTES, idle_seconds=300.0
            ),
        )
        self.address = self._edge.listen((chaos.HOST, 0))

    def handle_exchange(self, exchange: edge.Exchange) -> None:
        if self.is_cut:
            return
        request = exchange.request
        name = request.target.partition("?")[0].strip("/").split("/")
        kind = name[1] if name[0] == "streams" else name[0]
        if request.method == "POST":
            kind = f"append {kind}"
        self.calls[kind] += 1
        self.bytes[kind] += HEADER_BYTES + len(request.body)

        def answer(status, headers, body):
            self.bytes[kind] += len(body)
            if not self.is_cut:
                exchange.respond(status, headers, body)

        inner = edge.Exchange(request, answer)
        self._site.log.handle_exchange(inner)
        exchange.on_cancel = inner.on_cancel

    def render_refusal(self, refusal):
        return self._site.log.render_refusal(refusal)


class Reading:
    """Holds the counters of all entries at one moment."""

    def __init__(self, site: "Nodes") -> None:
        self.time = time.monotonic()
        self.processor = [read_processor(c) for c in site.children]
        self.bytes = [collections.Counter(f.bytes) for f in site.log_proxies]
        self.calls = [collections.Counter(f.calls) for f in site.log_proxies]
        self.metrics = list(site.metrics)
        self.answered = sum(bool(s.answered) for s in site.submissions)


class Nodes(chaos.Site):
    """Runs the entries of one site with a given number of hosts and teams."""

    def __init__(self, options: argparse.Namespace) -> None:
        self.log_proxies: list[LogProxy] = []
        super().__init__(options)
        self.version = 1
        self.rng = random.Random(options.seed)
        self.metrics = [{} for _ in self.children]
        self.ready_at = [0.0] * len(self.children)
        queued = {t for q in self.declared.queues.values() for t in q.teams}
        for team in sorted(queued):
            self.keys[team] = f"{team}-k0.{team}-k0"
        self.posted: dict[int, float] = {}
        self.refused = 0

    def _read_text(self) -> str:
        options = self.options
        return sites.create_text(
            workers=options.workers, pools=options.pools, teams=options.teams
        )

    def _find_log(self, index: int) -> tuple[str, int]:
        self.log_proxies.append(LogProxy(self))
        return self.log_proxies[-1].address

    def _start_minions(self) -> None:
        """Starts a few minions and maps every host to the address of one."""
        zones = list(self.declared.zones)
        addresses = []
        for index in range(8):
            server = minion.Minion(
                self.sockets,
                self.timers,
                name=f"minion-{index}",
                slots=1000,
                connections=1000,
                run_seconds=0.02,
                cancel_on_disconnect=False,
            )
            host, port = server.listen((chaos.HOST, 0))
            addresses.append(f"{host}:{port}")
            self.minions[f"minion-{index}"] = server
        for name, pool in self.declared.pools.items():
            for index, worker in enumerate(pool.workers):
                self.log.hosts.append(
                    {
                        "id": worker,
                        "zone": zones[index % len(zones)],
                        "rack": f"{name}-{index // 4}",
                        "address": addresses[index % len(addresses)],
                        "state": "live",
                    }
                )

    def run_script(self, script: Iterator[float]) -> None:
        """Runs a script that yields the seconds until its next step."""

        def step() -> None:
            try:
                delay = next(script)
            except StopIteration:
                self.timers.stop()
                return
            except BaseException:
                self.timers.stop()
                raise
            self.timers.subscribe_once(delay, step)

        for child in self.children:
            child.start()
        self.timers.subscribe_every(0.25, self._check_ready)
        self.timers.subscribe_once(0.0, step)
        try:
            self.timers.run()
        finally:
            for child in self.children:
                child.send(signal.SIGCONT)
                child.send(signal.SIGKILL)
                if child.process is not None:
                    child.process.wait()

    def _record_ready(self, index: int, outcome: httpclient.Result) -> None:
        was = self.ready[index]
        super()._record_ready(index, outcome)
        if self.ready[index] and not was:
            self.ready_at[index] = time.time()

    def wait_ready(self, seconds: float = READY_SECONDS) -> Iterator[float]:
        end = time.monotonic() + seconds
        while not all(self.ready):
            if time.monotonic() > end:
                raise RuntimeError(f"not ready: {self.ready} {self.folder}")
            yield 0.25

    def start(self) -> Iterator[float]:
        yield 3.0
        self._roll()
        yield from self.wait_ready()
        yield self.options.settle

    def read(self) -> Iterator[float]:
        """Requests the metrics of every entry."""
        for index, client in enumerate(self.clients):

            def receive(outcome, index=index):
                if isinstance(outcome, httpclient.Response):
                    self.metrics[index] = parse_metrics(outcome.body.decode())

            client.send(
                "GET", "/metrics", [], b"", timeout=2.0, on_result=receive
            )
        yield 1.0

    def measure(self, phase: str, **more: object) -> Iterator[float]:
        yield from self.read()
        first = Reading(self)
        yield self.options.seconds
        processor = [read_processor(c) for c in self.children]
        yield from self.read()
        last = Reading(self)
        last.processor = processor
        seconds = last.time - first.time
        measured = self.options.seconds
        count = len(self.children)
        core = [
            100 * (b - a) / measured
            for a, b in zip(first.processor, last.processor, strict=True)
        ]
        memory = [read_memory(c) for c in self.children]
        figures: dict[str, object] = {
            "core_percent": statistics.mean(core),
            "core_percent_max": max(core),
            "memory_mb": statistics.mean(memory),
            "memory_mb_max": max(memory),
        }
        for key in ("peer_bytes", "peer_messages"):
            figures[f"{key}_per_second"] = (
                sum(m.get(key, 0) for m in last.metrics)
                - sum(m.get(key, 0) for m in first.metrics)
            ) / (seconds * count)
        for name, old, new in (
            ("bytes", first.bytes, last.bytes),
            ("calls", first.calls, last.calls),
        ):
            change = sum(new, collections.Counter())
            change.subtract(sum(old, collections.Counter()))
            figures[f"log_{name}_per_second"] = {
                kind: round(value / seconds / count, 2)
                for kind, value in sorted(change.items())
            }
        figures["minion_connections"] = sum(
            len(server.open_connections) for server in self.minions.values()
        )
        figures["requests_per_second"] = (
            last.answered - first.answered
        ) / seconds
        self.report(phase, **figures, **more)

    def report(self, phase: str, **figures: object) -> None:
        options = self.options
        line = {
            "bench": f"nodes-{options.case}",
            "phase": phase,
            "seed": options.seed,
            "entries": options.entries,
            "workers": options.workers,
            "pools": options.pools,
            "teams": options.teams,
            "version": __version__,
            "python": platform.python_version(),
            "load_average": round(os.getloadavg()[0], 2),
        }
        for key, value in figures.items():
            line[key] = round(value, 3) if isinstance(value, float) else value
        print(json.dumps(line), flush=True)

    def start_load(self) -> None:
        self.stop_at = float("inf")
        self.timers.subscribe_every(0.02, self._load)

    def _load(self) -> None:
        if self.timers.clock() >= self.stop_at:
            return
        for _ in range(max(1, self.options.rate // 50)):
            if self.open < self.options.open:
                self._submit()

    def change(self, client: int, *, timeout: float = 15.0) -> Iterator[float]:
        """Posts a changed bundle to an entry and waits for the response."""
        self.version += 1
        self.text = sites.change_text(self.text, self.version, self.rng)
        now = time.time()
        signed = signature.sign_bundle(
            self.text, "chaos", self.private_key, signed=now, expires=now + 3600
        )
        done = []
        self.posted[self.version] = time.time()
        self.clients[client].send(
            "POST",
            "/v1/bundles",
            [],
            signed.encode(),
            timeout=timeout,
            on_result=done.append,
        )
        while not done:
            yield 0.01
        answer = done[0]
        if not isinstance(answer, httpclient.Response) or answer.status != 200:
            self.refused += 1
            print(f"change refused: {str(answer)[:300]}", file=sys.stderr)

    def find_delays(self, versions: list[int]) -> list[list[float]]:
        """Returns the seconds until each change was in force, per entry."""
        seen = [read_in_force(self.folder, i) for i in range(len(self.clients))]
        # An entry with a later version in force has this change as well.
        return [
            [
                min(
                    (at for v, at in times.items() if v >= version),
                    default=float("inf"),
                )
                - self.posted[version]
                for times in seen
            ]
            for version in versions
        ]

    def run_changes(self, phase: str, client: int) -> Iterator[float]:
        options = self.options
        first, refused = self.version + 1, self.refused
        begin = time.monotonic()
        for _ in range(options.changes):
            due = begin + (self.version + 1 - first) / options.change_rate
            yield from self.change(client)
            yield max(0.0, due + 1 / options.change_rate - time.monotonic())
        yield 4.0
        versions = list(range(first, self.version + 1))
        delays = self.find_delays(versions)
        worst = sorted(max(item) for item in delays)
        each = sorted(value for item in delays for value in item)
        self.report(
            phase,
            changes=len(versions),
            refused=self.refused - refused,
            change_rate=options.change_rate,
            p50_ms=pick(each, 0.5) * 1e3,
            p99_ms=pick(each, 0.99) * 1e3,
            worst_ms=each[-1] * 1e3,
            all_entries_p50_ms=pick(worst, 0.5) * 1e3,
            last_entry_p50_ms=statistics.median(i[-1] for i in delays) * 1e3,
            last_entry_worst_ms=max(i[-1] for i in delays) * 1e3,
        )


def pick(values: list[float], part: float) -> float:
    return values[min(len(values) - 1, int(part * len(values)))]


def read_processor(child: chaos.Child) -> float:
    """Returns the CPU time of a process in seconds."""
    assert child.process is not None
    text = pathlib.Path(f"/proc/{child.process.pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def read_memory(child: chaos.Child) -> float:
    """Returns the resident memory of a process in megabytes."""
    assert child.process is not None
    text = pathlib.Path(f"/proc/{child.process.pid}/status").read_text()
    found = re.search(r"^VmRSS:\s+(\d+) kB", text, re.M)
    assert found is not None
    return int(found[1]) / 1024


def parse_metrics(text: str) -> dict[str, float]:
    totals: collections.Counter[str] = collections.Counter()
    for line in text.splitlines():
        for name in ("peer_bytes", "peer_messages"):
            if line.startswith(f"clementinewood_{name}"):
                totals[name] += float(line.rpartition(" ")[2])
    return dict(totals)


def read_in_force(folder: pathlib.Path, index: int) -> dict[int, float]:
    """Returns when each version came into force, read from an entry's log."""
    times: dict[int, float] = {}
    path = folder / f"entry-{index}.log"
    for line in path.read_text(encoding="utf-8").splitlines():
        found = IN_FORCE.match(line)
        if found is not None:
            at = datetime.datetime.fromisoformat(found[1]).timestamp()
            times.setdefault(int(found[2]), at)
    return times


def run_load(site: Nodes) -> Iterator[float]:
    """Measures the entries while idle and then under load."""
    yield from site.start()
    yield from site.measure("idle")
    if site.options.rate:
        site.start_load()
        yield 3.0
        yield from site.measure("loaded", rate=site.options.rate)
        site.stop_at = 0.0
        outcomes = collections.Counter(
            s.lost or f"{s.status}" for s in site.submissions
        )
        site.report("answers", outcomes=dict(outcomes))


def run_changes(site: Nodes) -> Iterator[float]:
    """Measures the seconds until a change is in force at every entry."""
    yield from site.start()
    yield from site.change(0)
    yield from site.run_changes("log well", 0)
    site.log.faults.delay = site.options.log_delay
    yield 3.0
    yield from site.run_changes(
        f"log answers after {site.options.log_delay}", 0
    )
    site.log.faults.delay = 0.0
    yield 3.0
    site.log_proxies[-1].is_cut = True
    yield 3.0
    yield from site.run_changes("last entry cut from the log", 0)


def run_restart(site: Nodes) -> Iterator[float]:
    """Measures the seconds until a restarted entry is ready."""
    yield from site.start()
    for goal in (0, site.options.history // 4, site.options.history):
        begin, first = time.monotonic(), site.version
        while site.version - 1 < goal:
            yield from site.change(site.version % len(site.clients))
        rate = (site.version - first) / (time.monotonic() - begin)
        yield 2.0
        for number, name in (
            (signal.SIGTERM, "graceful stop"),
            (signal.SIGKILL, "killed"),
        ):
            child = site.children[-1]
            stopped = time.monotonic()
            child.send(number)
            while child.process.poll() is None:
                yield 0.02
            left = time.monotonic() - stopped
            yield 0.5
            site.ready[-1] = False
            begun, log = time.time(), read_log_bytes(site.log_proxies[-1])
            child.start()
            yield 0.3
            yield from site.wait_ready()
            site.report(
                name,
                changes=site.version - 1,
                changes_per_second=rate,
                refused=site.refused,
                stop_seconds=left,
                ready_seconds=site.ready_at[-1] - begun,
                log_bytes=read_log_bytes(site.log_proxies[-1]) - log,
            )
            yield 6.0


def read_log_bytes(log_proxy: LogProxy) -> int:
    return log_proxy.bytes["control"] + log_proxy.bytes["claims"]


def run_outage(site: Nodes) -> Iterator[float]:
    """Measures the entries during and after an outage of the log."""
    yield from site.start()
    site.log.faults.outage = logservice.Outage(site.options.kind)
    yield 4.0
    yield from site.measure("outage", ready=sum(site.ready))
    yield site.options.outage
    ready = sum(site.ready)
    site.log.faults.outage = logservice.Outage.NONE
    ended = time.time()
    site.version += 1
    site.text = sites.change_text(site.text, site.version, site.rng)
    site.version -= 1
    refused = -1
    while refused != site.refused:
        refused = site.refused
        yield from site.change(0)
        if site.refused > refused:
            yield 0.25
            refused = -1
    yield 3.0
    delays = site.find_delays([site.version])[0]
    last = max(delays) + site.posted[site.version] - ended
    site.report("after", ready_during=ready, change_in_force_seconds=last)


CASES = {
    "load": run_load,
    "changes": run_changes,
    "restart": run_restart,
    "outage": run_outage,
}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("case", choices=CASES)
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--workers", type=int, default=300)
    parser.add_argument("--pools", type=int, default=5)
    parser.add_argument("--teams", type=int, default=6)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--settle", type=float, default=4.0)
    parser.add_argument("--rate", type=int, default=0)
    parser.add_argument("--open", type=int, default=200)
    parser.add_argument(
        "--run-ms", type=int, nargs="+", default=(5, 20, 50, 400)
    )
    parser.add_argument("--changes", type=int, default=30)
    parser.add_argument("--change-rate", type=float, default=2.0)
    parser.add_argument("--log-delay", type=float, default=0.3)
    parser.add_argument("--history", type=int, default=400)
    parser.add_argument("--outage", type=float, default=10.0)
    parser.add_argument(
        "--kind", choices=("silent", "refuse"), default="silent"
    )
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    site = Nodes(options)
    site.run_script(CASES[options.case](site))


if __name__ == "__main__":
    main()
