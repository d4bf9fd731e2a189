"""Command that shows what waits in each pool, from an entry's metrics.

Exit codes:

  0  done
  2  wrong usage of the command
  6  the entry can't be reached
"""

import argparse
import dataclasses
import http.client
import json
import math
from collections.abc import Iterable
from typing import Any

import prometheus_client.parser

from clementinewood import command_bundle, command_status, settings

HEADINGS = ("POOL", "WAITING", "WAIT", "BEYOND RATE", "HOLDS", "REFUSALS")

_COLUMNS: dict[tuple[str, str], str] = {
    ("clementinewood_admission_waiting_jobs", ""): "waiting_jobs",
    ("clementinewood_admission_predicted_wait_seconds", "within"): (
        "predicted_wait"
    ),
    ("clementinewood_admission_predicted_wait_seconds", "beyond"): (
        "predicted_wait_beyond_rate"
    ),
    ("clementinewood_lookahead_holds_total", ""): "holds",
    ("clementinewood_admission_refusals_total", ""): "refusals",
}
"""Field of each sample, by its name and its attribute `rate`."""


@dataclasses.dataclass(slots=True)
class PoolRow:
    """What an entry's metrics tell about one pool; None where they don't.

    Attributes:
        pool: The pool.
        waiting_jobs: Jobs with waiting tasks; known at the leader only.
        predicted_wait: Predicted seconds that a new job within its team's rate
            waits; known at the leader only.
        predicted_wait_beyond_rate: The same beyond the rate.
        holds: Holds for large tasks.
        refusals: Jobs that the entry has refused for load.
    """

    pool: str
    waiting_jobs: float | None = None
    predicted_wait: float | None = None
    predicted_wait_beyond_rate: float | None = None
    holds: float | None = None
    refusals: float | None = None


def parse_metrics(text: str) -> list[PoolRow]:
    """Returns the rows in Prometheus text, by pool.

    Raises:
        ValueError: The text is malformed.
    """
    rows: dict[str, PoolRow] = {}
    for family in prometheus_client.parser.text_string_to_metric_families(text):
        for sample in family.samples:
            pool = sample.labels.get("pool", "")
            column = _COLUMNS.get((sample.name, sample.labels.get("rate", "")))
            if column is None or not pool or not math.isfinite(sample.value):
                continue
            row = rows.setdefault(pool, PoolRow(pool))
            setattr(row, column, sample.value)
    return [rows[pool] for pool in sorted(rows)]


def render_rows(rows: Iterable[PoolRow]) -> list[str]:
    """Returns the lines of the table of pools."""
    return command_status.render_table(
        [
            HEADINGS,
            *(
                (
                    row.pool,
                    _render(row.waiting_jobs),
                    _render(row.predicted_wait, "{:.1f} s"),
                    _render(row.predicted_wait_beyond_rate, "{:.1f} s"),
                    _render(row.holds),
                    _render(row.refusals),
                )
                for row in rows
            ),
        ]
    )


def _render(value: float | None, form: str = "{:.0f}") -> str:
    return "-" if value is None else form.format(value)


def add_commands(subparsers: Any) -> None:
    """Adds `queues`.

    Args:
        subparsers: Result of `ArgumentParser.add_subparsers`.
    """
    parser = subparsers.add_parser(
        "queues",
        help="show waiting jobs, predicted waits and refusals by pool",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--metrics",
        required=True,
        type=_parse_address,
        metavar="HOST:PORT",
        help="where the entry serves its metrics; the leader knows the waits",
    )
    parser.add_argument("--json", action="store_true", help="JSON rows")
    parser.set_defaults(
        run=lambda arguments: command_bundle.run_command(run_queues, arguments)
    )


def _parse_address(text: str) -> settings.Address:
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdecimal() or int(port) > 65535:
        raise argparse.ArgumentTypeError("not a host and a port")
    return host, int(port)


def run_queues(arguments: argparse.Namespace) -> int:
    """Prints what waits in each pool.

    Returns:
        The exit code.

    Raises:
        CommandError: The entry's metrics can't be read.
    """
    host, port = arguments.metrics
    try:
        rows = parse_metrics(_read_metrics(host, port))
    except (OSError, http.client.HTTPException, ValueError) as error:
        detail = str(error) or type(error).__name__
        raise command_bundle.CommandError(
            command_bundle.Exit.UNREACHABLE, f"{host}:{port}: {detail}"
        ) from None
    if arguments.json:
        for row in rows:
            print(json.dumps(dataclasses.asdict(row)))
    else:
        print("\n".join(render_rows(rows)))
    return command_bundle.Exit.DONE


def _read_metrics(host: str, port: int) -> str:
    connection = http.client.HTTPConnection(
        host, port, timeout=command_bundle.REQUEST_TIMEOUT_SECONDS
    )
    try:
        connection.request("GET", "/metrics")
        response = connection.getresponse()
        body = response.read()
    finally:
        connection.close()
    if response.status != 200:
        raise ValueError(f"status {response.status}")
    return body.decode()


if __name__ == "__main__":
    print("\n".join(render_rows([PoolRow("quotes", 12, 2.5, 9.0, 0, 3)])))
