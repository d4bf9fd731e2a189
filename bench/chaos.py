"""Kills and pauses real entry processes under load and checks the history.

The simulated services, the load and the checks run in this process; each entry
is a process of its own. At the end, the starts and ends of runs at the minions
are checked against the responses to the callers. Not part of CI: timing decides
which faults coincide, so that no two runs are the same.

    python -m bench.chaos --seconds 60 --entries 7 --seed 1
"""

import argparse
import dataclasses
import json
import pathlib
import random
import re
import signal
import subprocess
import sys
import tempfile
import time

from clementinewood import (
    dev,
    httpclient,
    logservice,
    minion,
    signature,
    timer,
    transport,
)

HOST = "127.0.0.1"
SETTLE_SECONDS = 8.0


@dataclasses.dataclass
class Submission:
    """Holds one request of a caller and the response to it."""

    number: int
    team: str
    key: str | None
    idempotent: bool
    body: bytes
    sent: float
    request_id: str = ""
    status: int = 0
    execution: str = ""
    answered: float = 0.0
    lost: str = ""


class Child:
    """Runs one entry process.

    Args:
        path: Settings file.
        output: File to which its log is written.
    """

    def __init__(self, path: pathlib.Path, output) -> None:
        self.path = path
        self.output = output
        self.paused = False
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        self.process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "clementinewood",
                "entry",
                "--settings",
                str(self.path),
            ],
            stdout=self.output,
            stderr=subprocess.STDOUT,
        )

    def send(self, number: int) -> None:
        assert self.process is not None
        if self.process.poll() is None:
            self.process.send_signal(number)


class Site:
    """Runs the simulated services, the entry processes and the load.

    Args:
        options: Parsed command line.
    """

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.random = random.Random(options.seed)
        self.timers = timer.TimerService()
        self.sockets = transport.Transport(self.timers).register(self.timers)
        self.log = logservice.LogService(self.sockets, self.timers)
        self.log_address = self.log.listen((HOST, 0))
        self.text = self._read_text()
        self.declared = dev.parse_text(self.text)
        self.minions: dict[str, minion.Minion] = {}
        self.submissions: list[Submission] = []
        self.faults: dict[str, int] = {}
        self.folder = pathlib.Path(tempfile.mkdtemp())
        self.keys = {}
        for secret in dev.find_secrets(self.text):
            key_id = secret.partition(".")[0]
            self.keys[self.declared.keys[key_id].team] = secret
        self.private_key, public = signature.generate_key()
        self.public = signature.OperatorKey(
            "chaos", public, time.time() + 86400
        )
        self._start_minions()
        self._write_settings()
        self.clients = [
            httpclient.HttpClient(self.sockets, self.timers, address)
            for address in self.addresses
        ]
        self.ready = [False] * len(self.addresses)
        self.disturbed: set[int] = set()
        self.open = 0

    def _read_text(self) -> str:
        return scale_limits(
            dev.read_example(self.options.site), self.options.limits
        )

    def _find_log(self, index: int) -> tuple[str, int]:
        """Returns the address under which an entry connects to the log."""
        return self.log_address

    def _start_minions(self) -> None:
        zones = list(self.declared.zones)
        hosts = []
        for name, pool in self.declared.pools.items():
            for index, worker in enumerate(pool.workers):
                server = minion.Minion(
                    self.sockets,
                    self.timers,
                    name=worker,
                    run_seconds=0.05,
                    cancel_on_disconnect=False,
                )
                host, port = server.listen((HOST, 0))
                self.minions[worker] = server
                hosts.append(
                    {
                        "id": worker,
                        "zone": zones[index % len(zones)],
                        "rack": f"{name}-{index // 4}",
                        "address": f"{host}:{port}",
                        "state": "live",
                    }
                )
        self.log.hosts = hosts

    def _write_settings(self) -> None:
        count = self.options.entries
        ports = dev.find_ports(2 * count)
        self.addresses = [(HOST, port) for port in ports[:count]]
        zones = list(self.declared.zones)
        cluster_key = "5a" * 32
        peers = "\n".join(
            f"entry-{i} = {HOST}:{ports[count + i]}" for i in range(count)
        )
        self.children = []
        for index in range(count):
            path = self.folder / f"entry-{index}.ini"
            log = self._find_log(index)
            path.write_text(
                f"""[entry]
id = entry-{index}
zone = {zones[index % len(zones)]}
callers = {HOST}:{ports[index]}
peers = {HOST}:{ports[count + index]}
log = {log[0]}:{log[1]}
hosts = {log[0]}:{log[1]}
cluster_key = {cluster_key}

[peers]
{peers}

[operators]
chaos = {self.public.render().split(" ", 1)[1]}

[logging]
level = info
"""
            )
            output = (self.folder / f"entry-{index}.log").open("ab")
            self.children.append(Child(path, output))

    def run(self) -> int:
        for child in self.children:
            child.start()
        self.timers.subscribe_every(0.25, self._check_ready)
        self.timers.subscribe_every(0.5, self._restart_removed)
        self.timers.subscribe_once(3.0, self._roll)
        self.timers.subscribe_once(6.0, self._start_load)
        self.timers.subscribe_once(
            6.0 + self.options.seconds + SETTLE_SECONDS + 12.0, self._end
        )
        try:
            self.timers.run()
        finally:
            for child in self.children:
                child.send(signal.SIGCONT)
                child.send(signal.SIGKILL)
        return self.check()

    def _roll(self) -> None:
        now = time.time()
        signed = signature.sign_bundle(
            self.text,
            "chaos",
            self.private_key,
            signed=now,
            expires=now + 3600,
        )

        def receive(outcome: httpclient.Result) -> None:
            if (
                not isinstance(outcome, httpclient.Response)
                or outcome.status != 200
            ):
                print("roll:", str(outcome)[:300])
                self.timers.subscribe_once(1.0, self._roll)

        self.clients[0].send(
            "POST",
            "/v1/bundles",
            [],
            signed.encode(),
            timeout=5.0,
            on_result=receive,
        )

    def _start_load(self) -> None:
        self.stop_at = self.timers.clock() + self.options.seconds
        self.timers.subscribe_every(0.01, self._load)
        if self.options.faults:
            self.timers.subscribe_once(1.0, self._inject)

    def _check_ready(self) -> None:
        """Polls readiness of the entries, as the platform's balancer does."""
        for index, client in enumerate(self.clients):
            client.send(
                "GET",
                "/ready",
                [],
                b"",
                timeout=1.0,
                on_result=lambda outcome, index=index: self._record_ready(
                    index, outcome
                ),
            )

    def _record_ready(self, index: int, outcome: httpclient.Result) -> None:
        self.ready[index] = (
            isinstance(outcome, httpclient.Response) and outcome.status == 200
        )

    def _choose_client(self) -> httpclient.HttpClient:
        ready = [
            c for c, ok in zip(self.clients, self.ready, strict=True) if ok
        ]
        return self.random.choice(ready or self.clients)

    def _load(self) -> None:
        if self.timers.clock() >= self.stop_at:
            return
        for _ in range(self.options.rate // 100):
            if self.open < self.options.open:
                self._submit()

    def _submit(self, again: Submission | None = None) -> None:
        number = len(self.submissions)
        team = self.random.choice(list(self.keys))
        keyed = self.random.random() < 0.1
        item = Submission(
            number,
            team,
            f"key-{number}" if keyed else None,
            not keyed and self.random.random() < 0.5,
            b"%d" % number,
            time.time(),
        )
        if again is not None:
            item.team, item.key = again.team, again.key
            item.idempotent, item.body = again.idempotent, again.body
        self.submissions.append(item)
        queues = [
            name
            for name, spec in self.declared.queues.items()
            if item.team in spec.teams
        ]
        queue = queues[0] if item.key else self.random.choice(queues)
        headers = [
            (b"authorization", f"Bearer {self.keys[item.team]}".encode()),
            (b"x-idempotent", b"true" if item.idempotent else b"false"),
            (b"x-deadline-ms", b"8000"),
            (b"run-ms", b"%d" % self.random.choice(self.options.run_ms)),
        ]
        if item.key:
            headers.append((b"idempotency-key", item.key.encode()))
        self.open += 1

        tries = [3]

        def receive(outcome: httpclient.Result) -> None:
            tries[0] -= 1
            if isinstance(outcome, httpclient.NotSent) and tries[0]:
                send()
                return
            self.open -= 1
            self._receive(item, outcome)

        def send() -> None:
            self._choose_client().send(
                "POST",
                f"/q/{queue}/{item.body.decode()}",
                headers,
                item.body,
                timeout=12.0,
                on_result=receive,
            )

        send()
        if item.key and again is None and self.random.random() < 0.5:
            delay = self.random.choice((0.0, 0.05, 1.0, 5.0))
            self.timers.subscribe_once(delay, lambda: self._submit(again=item))

    def _receive(self, item: Submission, outcome: httpclient.Result) -> None:
        item.answered = time.time()
        match outcome:
            case httpclient.Response():
                item.status = outcome.status
                item.execution = (
                    outcome.find_header(b"x-execution") or b""
                ).decode()
                kind = outcome.find_header(b"content-type") or b""
                if kind == b"application/problem+json":
                    reason = json.loads(outcome.body).get("reason", "")
                    item.execution += f" {reason}"
                item.request_id = (
                    outcome.find_header(b"x-request-id") or b""
                ).decode()
                if outcome.status == 200 and outcome.body != item.body:
                    item.execution = "wrong body"
            case other:
                item.lost = type(other).__name__

    # Faults.

    def _inject(self) -> None:
        if self.timers.clock() >= self.stop_at:
            return
        name = self.random.choice(self.options.faults)
        self.faults[name] = self.faults.get(name, 0) + 1
        getattr(self, f"_inject_{name}")()
        self.timers.subscribe_once(self.random.uniform(0.5, 3.0), self._inject)

    def _take_child(self, seconds: float) -> Child | None:
        """Returns an entry for a fault, or None if too many have one."""
        if len(self.disturbed) >= max(1, (len(self.children) - 1) // 2):
            return None
        undisturbed = [
            index
            for index in range(len(self.children))
            if index not in self.disturbed
        ]
        index = self.random.choice(undisturbed)
        self.disturbed.add(index)
        self.timers.subscribe_once(
            seconds + 2.0, lambda: self.disturbed.discard(index)
        )
        return self.children[index]

    def _inject_kill(self) -> None:
        pause = self.random.uniform(0.2, 3.0)
        child = self._take_child(pause)
        if child is None:
            return
        child.send(signal.SIGKILL)
        self.timers.subscribe_once(pause, lambda: restart(child))

    def _inject_pause(self) -> None:
        pause = self.random.choice((0.5, 2.5, 8.0))
        child = self._take_child(pause)
        if child is None:
            return
        child.send(signal.SIGSTOP)
        self.timers.subscribe_once(pause, lambda: child.send(signal.SIGCONT))

    def _inject_stop(self) -> None:
        child = self._take_child(15.0)
        if child is None:
            return
        child.send(signal.SIGTERM)
        self.timers.subscribe_once(15.0, lambda: restart(child))

    def _inject_log_outage(self) -> None:
        self.log.faults = dataclasses.replace(
            self.log.faults,
            outage=self.random.choice(
                (logservice.Outage.REFUSE, logservice.Outage.SILENT)
            ),
        )
        self.timers.subscribe_once(
            self.random.choice((1.0, 4.0, 8.0)), self._restore_log
        )

    def _restore_log(self) -> None:
        self.log.faults = logservice.InjectedFaults()

    def _inject_log_lost(self) -> None:
        self.log.faults.lose_answers += 3

    def _inject_minion_fail(self) -> None:
        server = self.random.choice(list(self.minions.values()))
        fault = self.random.choice(
            ("fail", "short", "wrong_id", "garbage", "close_after_start")
        )
        server.faults = minion.Faults(**{fault: True})
        self.timers.subscribe_once(
            2.0, lambda: setattr(server, "faults", minion.Faults())
        )

    def _inject_minion_silent(self) -> None:
        server = self.random.choice(list(self.minions.values()))
        server.silence_open_connections()

    def _restart_removed(self) -> None:
        """Restarts entries that other entries removed, as the platform does."""
        for index, child in enumerate(self.children):
            assert child.process is not None
            if index not in self.disturbed and child.process.poll() == 75:
                child.start()

    def _end(self) -> None:
        self.timers.stop()

    # Checks.

    def check(self) -> int:
        runs = [
            (name, run)
            for name, server in self.minions.items()
            for run in server.history
        ]
        by_id = {}
        for _, run in runs:
            by_id.setdefault(run.request_id, []).append(run)
        problems = []
        self._check_limits(runs, problems)
        self._check_once(runs, problems)
        counts: dict[str, int] = {}
        for item in self.submissions:
            outcome = item.lost or f"{item.status} {item.execution}"
            counts[outcome] = counts.get(outcome, 0) + 1
            if (
                item.execution.startswith("not-run")
                and item.request_id in by_id
            ):
                problems.append(f"not-run but ran: {item}")
            if item.execution == "wrong body":
                problems.append(f"another request's answer: {item}")
            if not item.answered:
                problems.append(f"no answer: {item}")
        print(
            json.dumps(
                {
                    "bench": "chaos",
                    "seed": self.options.seed,
                    "entries": self.options.entries,
                    "seconds": self.options.seconds,
                    "submissions": len(self.submissions),
                    "runs": len(runs),
                    "faults": self.faults,
                    "outcomes": counts,
                    "peaks": self.peaks,
                    "problems": len(problems),
                }
            )
        )
        for problem in problems[:20]:
            print(problem)
        print("logs:", self.folder)
        return 1 if problems else 0

    def _check_limits(self, runs, problems) -> None:
        teams = {item.body: item.team for item in self.submissions}
        edges = []
        for _, run in runs:
            body = run.target.rpartition("/")[2].encode()
            team = teams.get(body)
            end = run.ended if run.ended is not None else float("inf")
            edges += [(run.started, 1, team), (end, -1, team)]
        running: dict[str, int] = {}
        self.peaks: dict[str, int] = {}
        for at, change, team in sorted(edges, key=lambda e: (e[0], e[1])):
            running[team] = running.get(team, 0) + change
            if running[team] > self.peaks.get(team, 0):
                self.peaks[team] = running[team]
                if running[team] > self.declared.teams[team].limit:
                    problems.append(f"{team} over its limit at {at}")

    def _check_once(self, runs, problems) -> None:
        starts: dict[str, int] = {}
        for _, run in runs:
            body = run.target.rpartition("/")[2]
            starts[body] = starts.get(body, 0) + 1
        for item in self.submissions:
            count = starts.get(item.body.decode(), 0)
            if not item.idempotent and count > 1:
                problems.append(f"ran {count} times: {item}")


def scale_limits(text: str, factor: float) -> str:
    """Returns a bundle with its upper limits and shares times `factor`."""
    text = re.sub(
        r"^limit = (\d+)$",
        lambda found: f"limit = {max(1, int(int(found[1]) * factor))}",
        text,
        flags=re.M,
    )
    return re.sub(
        r"^share = ([0-9.]+)$",
        lambda found: f"share = {float(found[1]) * min(1.0, factor) * 0.9:.3f}",
        text,
        flags=re.M,
    )


def restart(child: Child) -> None:
    assert child.process is not None
    if child.process.poll() is not None:
        child.start()


FAULTS = (
    "kill",
    "pause",
    "stop",
    "log_outage",
    "log_lost",
    "minion_fail",
    "minion_silent",
)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--rate", type=int, default=300)
    parser.add_argument("--open", type=int, default=400)
    parser.add_argument(
        "--run-ms", type=int, nargs="+", default=(5, 20, 50, 400)
    )
    parser.add_argument(
        "--limits",
        type=float,
        default=1.0,
        help="factor on the upper limits, to make teams reach them",
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--site", default="guild")
    parser.add_argument("--faults", nargs="*", default=FAULTS, choices=FAULTS)
    return Site(parser.parse_args()).run()


if __name__ == "__main__":
    sys.exit(main())
