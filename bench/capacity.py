"""Fits cost over size and extrapolates to the design size.

Runs parts of the other benchmarks in this process at several sizes, fits a
line by least squares, and prints one JSON object per line. The error of the
extrapolated value is half of its 95% prediction interval.

    python -m bench.capacity [CASE...]
    python -m bench.capacity fit --over workers --phase idle FILE

`fit` reads files with the output of `bench.nodes`.
"""

import argparse
import contextlib
import dataclasses
import gc
import io
import json
import math
import os
import pathlib
import platform
import random
import re
import statistics
import subprocess
import sys
import time
from collections.abc import Callable, Iterable, Mapping, Sequence

from bench import declarations, fleet, limits, scheduling, sites
from clementinewood import (
    __version__,
    hostlist,
    record,
    state,
    timer,
    transport,
)

DESIGN = {
    "entries": 7,
    "teams": 170,
    "pools": 168,
    "queues": 168,
    "workers": 12000,
    "minions": 72,
}
ENTRIES = (3, 7, 15, 30)
TEAMS = (6, 40, 170)
POOLS = (5, 40, 168)
WORKERS = (30, 300, 1200, 3000, 12000)
SEED = 1


@dataclasses.dataclass(frozen=True)
class Line:
    """Holds a line fitted by least squares.

    Attributes:
        intercept: Value at size zero.
        slope: Change of the value per unit of size.
        slope_error: Standard error of the slope.
        residual: Root mean square of the residuals.
        points: Number of points fitted.
        value: Value at the design size.
        error: Half of the 95% prediction interval at the design size; None
            with too few points.
    """

    intercept: float
    slope: float
    slope_error: float | None
    residual: float
    points: int
    value: float
    error: float | None


# 0.975 quantiles of Student's t distribution, by degrees of freedom.
STUDENT = {1: 12.71, 2: 4.30, 3: 3.18, 4: 2.78, 5: 2.57, 6: 2.45, 7: 2.36}


def fit_line(xs: Sequence[float], ys: Sequence[float], at: float) -> Line:
    """Fits a line by least squares and evaluates it at size `at`."""
    slope, intercept = statistics.linear_regression(xs, ys)
    rest = [y - intercept - slope * x for x, y in zip(xs, ys, strict=True)]
    count = len(xs)
    squares = sum(value * value for value in rest)
    slope_error = error = None
    if count > 2:
        mean = statistics.fmean(xs)
        spread = sum((x - mean) ** 2 for x in xs)
        deviation = math.sqrt(squares / (count - 2))
        slope_error = deviation / math.sqrt(spread)
        student = STUDENT.get(count - 2, 2.0)
        error = (
            student
            * deviation
            * math.sqrt(1 + 1 / count + (at - mean) ** 2 / spread)
        )
    return Line(
        intercept,
        slope,
        slope_error,
        math.sqrt(squares / count),
        count,
        intercept + slope * at,
        error,
    )


def shorten(value: object) -> object:
    return float(f"{value:.4g}") if isinstance(value, float) else value


def report(case: str, **figures: object) -> None:
    line = {
        "bench": f"capacity-{case}",
        "seed": SEED,
        "version": __version__,
        "python": platform.python_version(),
        "load_average": round(os.getloadavg()[0], 2),
        **{key: shorten(value) for key, value in figures.items()},
    }
    print(json.dumps(line), flush=True)


def report_fit(
    case: str, over: str, values: Mapping[float, float], what: str
) -> None:
    """Fits and prints a line through `values`, which map size to result."""
    line = fit_line(list(values), list(values.values()), DESIGN[over])
    figures = {k: shorten(v) for k, v in dataclasses.asdict(line).items()}
    report(
        case,
        figure=what,
        over=over,
        measured={str(k): shorten(v) for k, v in values.items()},
        at=DESIGN[over],
        **figures,
    )


def collect(function: Callable[..., object], *arguments: object) -> list[dict]:
    """Runs a bench function and returns the JSON lines that it prints."""
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        function(*arguments)
    return [json.loads(text) for text in output.getvalue().splitlines()]


def run_libraries() -> None:
    """Measures resident memory of an interpreter before and after imports."""
    program = (
        "import re\n"
        "def rss():\n"
        "    text = open('/proc/self/status').read()\n"
        "    return int(re.search(r'VmRSS:\\s+(\\d+)', text)[1]) / 1024\n"
        "print(rss())\n"
        "{}\n"
        "print(rss())\n"
    )
    modules = (
        "circuits, circuits.web, thriftpy2, h11, opentelemetry.sdk.metrics,"
        " opentelemetry.exporter.prometheus, loguru, returns.result, pydantic,"
        " cryptography.hazmat.primitives.asymmetric.ed25519"
    )
    for name, text in (
        ("libraries", f"import {modules}"),
        ("entry", "import clementinewood.command_entry"),
    ):
        done = subprocess.run(
            [sys.executable, "-c", program.format(text)],
            capture_output=True,
            text=True,
            check=True,
        )
        bare, loaded = map(float, done.stdout.split())
        report("libraries", imports=name, bare_mb=bare, loaded_mb=loaded)


def run_links() -> None:
    """Measures limits, freshness and membership of entries without sockets."""
    for teams in TEAMS:
        for load in ("idle", "full"):
            lines = [
                limits.measure_links(count, teams, load, 4.0)
                for count in ENTRIES
            ]
            for what in (
                "messages_per_entry_s",
                "bytes_per_entry_s",
                "core_percent",
            ):
                values = {line["entries"]: line[what] for line in lines}
                report_fit(
                    f"links-{load}-{teams}-teams", "entries", values, what
                )


def run_log() -> None:
    """Measures parsing, replay, snapshots and changes over worker count."""
    for name, case in (
        ("parse", declarations.run_parse),
        ("fold", declarations.run_fold),
        ("snapshot", declarations.run_snapshot),
        ("change", declarations.run_change),
    ):
        groups: dict[tuple[str, int], dict[float, float]] = {}
        for line in collect(case):
            events = line.get("planner_records", 0)
            for what, value in line.items():
                if isinstance(value, int | float) and what not in (
                    "workers",
                    "planner_records",
                    "records",
                    "changes",
                ):
                    group = groups.setdefault((what, events), {})
                    group[line["workers"]] = value
        for (what, events), values in groups.items():
            suffix = f"-{events}-planner-records" if events else ""
            report_fit(f"{name}{suffix}", "workers", values, what)


def run_hosts() -> None:
    """Measures size and read time of the host list, read once per second."""
    sizes, times = {}, {}
    for count in WORKERS:
        hosts = [
            {
                "id": f"p{i % 168:03}-{i:05}",
                "zone": f"z{i % 5}",
                "rack": f"p{i % 168:03}-{i // 4}",
                "address": f"10.{i >> 16}.{i >> 8 & 255}.{i & 255}:9000",
                "state": "live",
            }
            for i in range(count)
        ]
        body = json.dumps({"hosts": hosts}, separators=(",", ":")).encode()
        spent = []
        for _ in range(7):
            begin = time.perf_counter()
            hostlist.parse_hosts(body)
            spent.append(time.perf_counter() - begin)
        sizes[count] = float(len(body))
        times[count] = statistics.median(spent) * 1e3
    report_fit("hosts", "workers", sizes, "bytes_per_second")
    report_fit("hosts", "workers", times, "parse_ms_per_second")


def run_memory() -> None:
    """Measures resident memory of the control state over worker count."""
    values = {}
    for count in WORKERS:
        pools, teams = min(168, count), 170
        text = sites.create_text(workers=count, pools=pools, teams=teams)
        gc.collect()
        before = read_resident()
        kept = [fold_state(text) for _ in range(3)]
        gc.collect()
        values[count] = (read_resident() - before) / len(kept)
        del kept
    report_fit("state-memory", "workers", values, "mb")


def fold_state(text: str) -> state.ControlState:
    builder = sites.LogBuilder()
    builder.accept(text)
    return builder.state


def read_resident() -> float:
    text = pathlib.Path("/proc/self/status").read_text()
    found = re.search(r"VmRSS:\s+(\d+)", text)
    assert found is not None
    return int(found[1]) / 1024


def run_requests() -> None:
    """Measures the time per request in the scheduler and the router."""

    def measure(teams: int, queues: int) -> float:
        lines = collect(
            scheduling.measure_cpu,
            "clementinewood",
            {
                f"team-{i}": scheduling.simulation.Team(1.0 + i % 5)
                for i in range(teams)
            },
            {
                f"queue-{i}": scheduling.simulation.Queue(f"pool-{i}", 4000)
                for i in range(queues)
            },
        )
        return lines[0]["microseconds"]

    report_fit(
        "scheduler-168-queues",
        "teams",
        {teams: measure(teams, 168) for teams in TEAMS},
        "us_per_request",
    )
    report_fit(
        "scheduler-170-teams",
        "queues",
        {queues: measure(170, queues) for queues in POOLS},
        "us_per_request",
    )
    values = {
        line["minions"]: line["microseconds"]
        for line in collect(scheduling.bench_routing_cpu)
        if line["policy"] == "clementinewood" and "minions" in line
    }
    report_fit("router", "minions", values, "us_per_request")


def run_planner() -> None:
    """Measures full and incremental planning rounds over worker count."""
    lines = []
    for count in (336, 1200, 3000, 12000):
        lines += [
            line
            for line in collect(fleet.measure_round, count)
            if "full_seconds" in line
        ]
    for what in ("full_seconds", "incremental_seconds", "memory_mb"):
        values = {line["workers"]: line[what] for line in lines}
        report_fit("planner", "workers", values, what)


def run_catch_up() -> None:
    """Measures the time to replay the records that a reader missed."""
    builder = sites.LogBuilder()
    rng = random.Random(SEED)
    text = sites.create_text(workers=12000, pools=168, teams=170)
    builder.accept(text)
    first = len(builder.log)
    values = {}
    sizes = {}
    for version in range(2, 394):
        text = sites.change_text(text, version, rng)
        builder.accept(text)
    for count in (49, 98, 196, 392):
        target = fold_records(state.ControlState(), builder.log[:first], 0)
        begin = time.perf_counter()
        fold_records(target, builder.log[first : first + count], first)
        values[count] = time.perf_counter() - begin
        sizes[count] = sum(map(len, builder.log[first : first + count])) / 1e6
    line = fit_line(list(values), list(values.values()), 9400.0)
    report(
        "catch-up",
        figure="seconds",
        over="changes",
        measured={str(k): shorten(v) for k, v in values.items()},
        megabytes={str(k): shorten(v) for k, v in sizes.items()},
        changes_in_an_hour=392,
        slope=line.slope,
        slope_error=line.slope_error,
        residual=line.residual,
        whole_day=line.value,
        error=line.error,
    )


def fold_records(
    target: state.ControlState, log: Iterable[bytes], first: int
) -> state.ControlState:
    for offset, data in enumerate(log, start=first):
        entry = record.decode_record(data, sites.CLUSTER_KEY).unwrap()
        target.apply(entry, offset, 1.8e9 + offset)
    return target


def run_fit(over: str, phase: str, paths: Sequence[str]) -> None:
    """Fits results of `bench.nodes` over the field `over`."""
    lines = [
        json.loads(text)
        for path in paths
        for text in pathlib.Path(path).read_text().splitlines()
    ]
    groups: dict[str, dict[float, float]] = {}
    for line in lines:
        if line.get("phase") != phase:
            continue
        for what in (
            "core_percent",
            "memory_mb",
            "peer_bytes_per_second",
            "peer_messages_per_second",
        ):
            groups.setdefault(what, {})[line[over]] = line[what]
        for kind, value in line["log_bytes_per_second"].items():
            what = f"log_bytes_per_second {kind}"
            groups.setdefault(what, {})[line[over]] = value
    for what, values in groups.items():
        if len(values) > 1:
            report_fit(f"nodes-{phase}", over, values, what)


def run_timers() -> None:
    """Measures CPU time of the event loop over wake-ups of an idle timer."""
    values = {}
    for rate in (0, 4, 10, 50, 100):
        timers = timer.TimerService()
        transport.Transport(timers).register(timers)
        if rate:
            timers.subscribe_every(1 / rate, lambda: None)
        timers.subscribe_once(4.0, timers.stop)
        begin = time.process_time()
        timers.run()
        values[float(rate)] = 100 * (time.process_time() - begin) / 4.0
    line = fit_line(list(values), list(values.values()), 50.0)
    report(
        "timers",
        figure="core_percent",
        over="wake-ups per second",
        measured={str(k): shorten(v) for k, v in values.items()},
        at=50,
        slope=line.slope,
        slope_error=line.slope_error,
        residual=line.residual,
        value=line.value,
        error=line.error,
    )


CASES = {
    "timers": run_timers,
    "libraries": run_libraries,
    "links": run_links,
    "log": run_log,
    "hosts": run_hosts,
    "memory": run_memory,
    "requests": run_requests,
    "planner": run_planner,
    "catch-up": run_catch_up,
}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("cases", nargs="*", help=", ".join([*CASES, "fit"]))
    parser.add_argument("--over", default="workers", choices=DESIGN)
    parser.add_argument("--phase", default="idle")
    options = parser.parse_intermixed_args()
    if options.cases[:1] == ["fit"]:
        run_fit(options.over, options.phase, options.cases[1:])
        return
    for name in options.cases or CASES:
        CASES[name]()


if __name__ == "__main__":
    main()
