"""`clementinewood load`: sends requests at a fixed rate and reports.

The report is one JSON object. Latency runs from the time at which a request
was due, so a slow site does not hide its own delays; it covers all whole
answers, refusals too, while `throughput` counts answers by minions only.

Exit codes:

  0  done; the report says what came back
  2  wrong usage of the command
  6  no request got an answer
  7  a file can't be read
"""

import argparse
import collections
import dataclasses
import enum
import json
import random
import sys
from collections.abc import Sequence
from typing import Any

from hdrh import histogram

from clementinewood import (
    command_bundle,
    event,
    httpclient,
    priority,
    settings,
    timer,
    transport,
)

SEND_SECONDS = 0.005
"""Period in seconds at which due requests are sent."""

MAX_LATENCY_MICROSECONDS = 3600 * 1000 * 1000
LATENCY_DIGITS = 3

Exit = command_bundle.Exit


class Idempotency(enum.Enum):
    """Which idempotency keys requests carry."""

    NONE = "none"
    UNIQUE = "unique"
    REPEATED = "repeated"


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Parameters of a load run.

    Attributes:
        entries: Entries, used in turn.
        queues: Queues, one chosen at random for each request.
        keys: Callers' keys, one chosen at random for each request; requests
            carry none if empty.
        rate: Requests per second over all entries.
        seconds: Seconds during which requests are sent.
        method: HTTP method.
        body: Body of every request.
        priorities: Priority classes, one chosen at random for each request;
            requests carry none if empty.
        idempotency: Which idempotency keys requests carry.
        deadline_ms: Deadline of each request in milliseconds; None for the
            entry's default.
        timeout: Seconds to wait for a response.
        connections: Most connections to each entry.
        seed: Seed of all random choices.
    """

    entries: Sequence[settings.Address]
    queues: Sequence[str]
    keys: Sequence[str] = dataclasses.field(default=(), repr=False)
    rate: float = 50.0
    seconds: float = 10.0
    method: str = "POST"
    body: bytes = b""
    priorities: Sequence[str] = ()
    idempotency: Idempotency = Idempotency.NONE
    deadline_ms: int | None = None
    timeout: float = 30.0
    connections: int = 64
    seed: int = 1


class Load:
    """Sends a plan's requests and counts their outcomes.

    Args:
        plan: Parameters of the run.
        sockets: Opens connections.
        timers: Timer service.

    Attributes:
        sent: Requests sent so far.
        finished: Requests with an outcome so far.
    """

    def __init__(
        self,
        plan: Plan,
        sockets: transport.Transport,
        timers: timer.TimerService,
    ) -> None:
        self.sent = 0
        self.finished = 0
        self._plan = plan
        self._timers = timers
        self._random = random.Random(plan.seed)
        # A run with the same seed must not reuse the idempotency keys of an
        # earlier one.
        self._run_id = f"{random.SystemRandom().getrandbits(64):016x}"
        self._total = max(1, round(plan.rate * plan.seconds))
        self._started = 0.0
        self._ended = 0.0
        self._chosen: tuple[str, list[tuple[bytes, bytes]]] = ("", [])
        self._latency = histogram.HdrHistogram(
            1, MAX_LATENCY_MICROSECONDS, LATENCY_DIGITS
        )
        self._outcomes: collections.Counter[str] = collections.Counter()
        self._statuses: collections.Counter[str] = collections.Counter()
        self._verdicts: collections.Counter[str] = collections.Counter()
        self._reasons: collections.Counter[str] = collections.Counter()
        self._replayed = 0
        self._clients = [
            httpclient.HttpClient(
                sockets,
                timers,
                address,
                max_connections=plan.connections,
                max_waiting=self._total,
            )
            for address in plan.entries
        ]

    @property
    def done(self) -> bool:
        """Whether every request has an outcome."""
        return self.finished >= self._total

    def start(self) -> None:
        """Starts sending; stops the event loop after the last outcome."""
        self._started = self._ended = self._timers.clock()
        self._timers.subscribe_every(SEND_SECONDS, self._send_due)

    def _send_due(self) -> None:
        passed = self._timers.clock() - self._started
        due = min(self._total, int(passed * self._plan.rate) + 1)
        while self.sent < due:
            self._send_one(self._started + self.sent / self._plan.rate)

    def _send_one(self, due: float) -> None:
        index = self.sent
        self.sent += 1
        repeated = self._plan.idempotency is Idempotency.REPEATED
        if index % 2 == 0 or not repeated:
            # The second request with an idempotency key is identical to the
            # first.
            self._choose_request(index)
        path, headers = self._chosen
        client = self._clients[index % len(self._clients)]
        client.send(
            self._plan.method,
            path,
            headers,
            self._plan.body,
            timeout=self._plan.timeout,
            on_result=lambda outcome: self._receive(outcome, due),
        )

    def _choose_request(self, index: int) -> None:
        plan = self._plan
        fields = {}
        if plan.keys:
            fields["authorization"] = f"Bearer {self._random.choice(plan.keys)}"
        if plan.priorities:
            fields["x-priority"] = self._random.choice(plan.priorities)
        if plan.deadline_ms is not None:
            fields["x-deadline-ms"] = str(plan.deadline_ms)
        if plan.idempotency is not Idempotency.NONE:
            fields["idempotency-key"] = f"load-{self._run_id}-{index}"
        self._chosen = (
            f"/q/{self._random.choice(plan.queues)}/",
            [(name.encode(), text.encode()) for name, text in fields.items()],
        )

    def _receive(self, outcome: httpclient.Result, due: float) -> None:
        now = self._timers.clock()
        self.finished += 1
        self._ended = now
        match outcome:
            case httpclient.Response():
                self._outcomes["answer"] += 1
                self._count_response(outcome)
                self._latency.record_value(max(1, round((now - due) * 1e6)))
            case httpclient.NotSent():
                self._outcomes["not-sent"] += 1
            case httpclient.Lost(timed_out=True):
                self._outcomes["timed-out"] += 1
            case httpclient.Lost():
                self._outcomes["lost"] += 1
        if self.done:
            self._timers.stop()

    def _count_response(self, response: httpclient.Response) -> None:
        self._statuses[str(response.status)] += 1
        execution = response.find_header(b"x-execution")
        self._verdicts[execution.decode() if execution else "none"] += 1
        if response.find_header(b"x-replayed"):
            self._replayed += 1
        kind = response.find_header(b"content-type") or b""
        if kind.startswith(b"application/problem+json"):
            try:
                problem = json.loads(response.body)
            except ValueError:
                problem = None
            known = isinstance(problem, dict) and "reason" in problem
            self._reasons[str(problem["reason"]) if known else "none"] += 1

    def report(self) -> dict[str, Any]:
        """Returns the counts and the latencies in milliseconds so far."""
        seconds = max(self._ended - self._started, 1e-9)
        successes = sum(
            count
            for status, count in self._statuses.items()
            if status.startswith("2")
        )
        return {
            "sent": self.sent,
            "finished": self.finished,
            "seconds": round(seconds, 3),
            "throughput": round(successes / seconds, 2),
            "p50_ms": self._read_percentile(50.0),
            "p99_ms": self._read_percentile(99.0),
            "max_ms": round(self._latency.get_max_value() / 1000, 3),
            "outcomes": dict(sorted(self._outcomes.items())),
            "statuses": dict(sorted(self._statuses.items())),
            "verdicts": dict(sorted(self._verdicts.items())),
            "reasons": dict(sorted(self._reasons.items())),
            "replayed": self._replayed,
        }

    def _read_percentile(self, percentile: float) -> float:
        return round(
            self._latency.get_value_at_percentile(percentile) / 1000, 3
        )


def add_commands(subparsers: Any) -> None:
    """Adds the command to the command line."""
    parser = subparsers.add_parser(
        "load",
        help="send requests at a fixed rate and report",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    add = parser.add_argument
    positive = command_bundle.parse_positive
    command_bundle.add_entries(parser, token=False)
    add("--queue", action="append", required=True, help="may be given often")
    add("--key", action="append", default=[], help="may be given often")
    add(
        "--key-file",
        metavar="FILE",
        help="one key a line; unlike --key not shown in process lists",
    )
    add("--rate", type=positive, default=50.0, help="requests a second")
    add("--seconds", type=positive, default=10.0, help="time of sending")
    add("--method", default="POST")
    add("--body-bytes", type=int, default=64, metavar="N")
    add(
        "--priority",
        action="append",
        default=[],
        choices=[item.name.lower() for item in priority.Priority],
        help="may be given often",
    )
    add(
        "--idempotency",
        type=Idempotency,
        default=Idempotency.NONE,
        metavar="none|unique|repeated",
        help="idempotency keys; repeated sends each key twice",
    )
    add("--deadline-ms", type=int, default=None, metavar="MS")
    add("--timeout", type=positive, default=30.0, help="seconds")
    add("--connections", type=int, default=64, help="to each entry")
    add("--seed", type=int, default=1)
    parser.set_defaults(
        run=lambda options: command_bundle.run_command(run_load, options)
    )


def create_plan(options: argparse.Namespace) -> Plan:
    """Returns the plan for the options.

    Raises:
        CommandError: The key file can't be read.
    """
    keys = list(options.key)
    if options.key_file:
        text = command_bundle.read_file(options.key_file)
        keys += [line.strip() for line in text.splitlines() if line.strip()]
    return Plan(
        entries=command_bundle.list_entries(options),
        queues=options.queue,
        keys=keys,
        rate=options.rate,
        seconds=options.seconds,
        method=options.method,
        body=b"x" * max(0, options.body_bytes),
        priorities=options.priority,
        idempotency=options.idempotency,
        deadline_ms=options.deadline_ms,
        timeout=options.timeout,
        connections=max(1, options.connections),
        seed=options.seed,
    )


def run_load(options: argparse.Namespace) -> int:
    """Sends the requests and prints the report, even after Ctrl-C.

    Returns:
        The exit code.
    """
    event.configure_log(level="ERROR")
    timers = timer.TimerService()
    sockets = transport.Transport(timers).register(timers)
    load = Load(create_plan(options), sockets, timers)
    load.start()
    timers.run()
    report = load.report()
    print(json.dumps(report))
    if report["outcomes"].get("answer"):
        return Exit.DONE
    print("no request got a response", file=sys.stderr)
    return Exit.UNREACHABLE


if __name__ == "__main__":
    print(
        Plan([("127.0.0.1", 8081)], ["quotes"]),
    )
