"""Commands that show a site: status, a live view and explanations.

Exit codes:

  0  done; for `status`, every entry asked is ready with the same version
  2  wrong usage of the command
  3  the operators' token was refused
  6  no entry could be reached
  7  a file can't be read
  8  no entry knows the request, team or worker
  9  an entry is not ready, can't be reached or has an older bundle
"""

import argparse
import dataclasses
import json
import sys
import time
import urllib.parse
from collections.abc import Callable, Iterable, Sequence
from typing import Any, TextIO

from clementinewood import command_bundle

CLEAR = "\x1b[H\x1b[2J"
"""ANSI sequence that moves the cursor to the top left and clears the screen."""

HIGHLIGHT, RESET = "\x1b[7m", "\x1b[0m"

CommandError = command_bundle.CommandError
Exit = command_bundle.Exit


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """Status of one entry.

    Attributes:
        address: Address that was queried, as `IP:PORT`.
        status: Content of `/v1/status`; None when it could not be read.
        problem: Why it could not be read.
    """

    address: str
    status: dict[str, Any] | None
    problem: str = ""


def read_views(sites: Sequence[command_bundle.Site]) -> list[View]:
    """Returns the status of each entry.

    Raises:
        CommandError: The token was rejected, or no entry returned its status.
    """
    views = []
    for site in sites:
        host, port = site.addresses[0]
        address = f"{host}:{port}"
        try:
            reply = site.request("GET", "/v1/status")
        except CommandError as error:
            if error.code is not Exit.UNREACHABLE:
                raise
            problem = str(error).removeprefix(f"{address}: ")
            views.append(View(address, None, problem))
        else:
            if reply.status == 200 and "entry" in reply.content:
                views.append(View(address, reply.content))
            else:
                problem = f"status {reply.status}, not an entry's page"
                views.append(View(address, None, problem))
    if all(view.status is None for view in views):
        raise CommandError(
            Exit.UNREACHABLE,
            "no entry answered:\n"
            + "\n".join(f"  {item.address}: {item.problem}" for item in views)
            + "\ncheck the addresses (--entry) and that the entries run",
        )
    return views


def find_trouble(views: Sequence[View]) -> list[str]:
    """Returns a line for each unreachable, unready or outdated entry."""
    newest = max(
        int(view.status["version"]) for view in views if view.status is not None
    )
    trouble = []
    for view in views:
        if view.status is None:
            trouble.append(f"{view.address}: {view.problem}")
        elif not view.status["ready"]:
            name = view.status["entry"]
            trouble.append(f"{name} is not ready: {view.status['detail']}")
        elif int(view.status["version"]) < newest:
            trouble.append(
                f"{view.status['entry']} has version {view.status['version']},"
                f" not {newest}"
            )
    return trouble


def render_table(rows: Sequence[Sequence[object]]) -> list[str]:
    """Returns the lines of a table with aligned columns."""
    texts = [[str(cell) for cell in row] for row in rows]
    widths = [max(map(len, column)) for column in zip(*texts, strict=True)]
    return [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in texts
    ]


def render_views(views: Sequence[View]) -> list[str]:
    """Returns the lines of the tables of entries, teams and pools."""
    known = [view.status for view in views if view.status is not None]
    rows: list[list[object]] = [["ENTRY", "ZONE", "VERSION", "STATE"]]
    for view in views:
        if view.status is None:
            rows.append([view.address, "-", "-", f"no answer: {view.problem}"])
        else:
            state = "ready" if view.status["ready"] else view.status["detail"]
            rows.append(
                [
                    view.status["entry"],
                    view.status["zone"],
                    view.status["version"],
                    state,
                ]
            )
    lines = render_table(rows)
    teams: dict[str, list[int]] = {}
    for status in known:
        for team, usage in status["teams"].items():
            sums = teams.setdefault(team, [0, 0, 0])
            for column, name in enumerate(("running", "queued", "held")):
                sums[column] += usage[name]
    rows = [["TEAM", "RUNNING", "QUEUED", "RIGHTS"]]
    rows += [[team, *teams[team]] for team in sorted(teams)]
    lines += ["", *render_table(rows)]
    rows = [["POOL", "WORKERS", "LISTED", "LEAVING"]]
    pools = max((status["pools"] for status in known), key=len)
    for name in sorted(pools):
        pool = pools[name]
        rows.append([name, pool["workers"], pool["listed"], pool["leaving"]])
    return [*lines, "", *render_table(rows)]


def add_commands(subparsers: Any) -> None:
    """Adds `status`, `top` and `explain`.

    Args:
        subparsers: Result of `ArgumentParser.add_subparsers`.
    """
    parser = _add_parser(
        subparsers, "status", run_status, "show entries and teams"
    )
    parser.add_argument("--json", action="store_true", help="entries' answers")
    parser = _add_parser(
        subparsers, "top", run_top, "show the status as it changes"
    )
    parser.add_argument("--once", action="store_true", help="show it once")
    parser.add_argument(
        "--interval",
        type=command_bundle.parse_positive,
        default=2.0,
        metavar="S",
        help="seconds between views (default: 2)",
    )
    parser.add_argument(
        "--seconds",
        type=command_bundle.parse_positive,
        default=None,
        metavar="S",
        help="stop after this time instead of at Ctrl-C",
    )
    parser = _add_parser(
        subparsers,
        "explain",
        run_explain,
        "say why a request, team or worker is in its state",
    )
    parser.add_argument("subject", metavar="REQUEST-ID|TEAM|WORKER")
    parser.add_argument("--json", action="store_true", help="whole answer")


def _add_parser(
    subparsers: Any,
    name: str,
    function: Callable[[argparse.Namespace], int],
    text: str,
) -> argparse.ArgumentParser:
    parser = subparsers.add_parser(
        name,
        help=text,
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.set_defaults(
        run=lambda arguments: command_bundle.run_command(function, arguments)
    )
    command_bundle.add_entries(parser)
    return parser


def open_sites(arguments: argparse.Namespace) -> list[command_bundle.Site]:
    """Returns one site for each entry, so that every entry is queried."""
    whole = command_bundle.open_site(arguments)
    return [
        command_bundle.Site([address], token=whole.token)
        for address in whole.addresses
    ]


def run_status(arguments: argparse.Namespace) -> int:
    """Prints the status of every entry that the options name.

    Returns:
        The exit code.
    """
    views = read_views(open_sites(arguments))
    if arguments.json:
        for view in views:
            print(json.dumps(dataclasses.asdict(view)))
    else:
        print("\n".join(render_views(views)))
    trouble = find_trouble(views)
    for line in trouble:
        print(line, file=sys.stderr)
    return Exit.DEGRADED if trouble else Exit.DONE


def run_top(arguments: argparse.Namespace) -> int:
    """Shows the status repeatedly until Ctrl-C or the end of `--seconds`.

    Returns:
        The exit code.
    """
    sites = open_sites(arguments)
    if arguments.once:
        _draw(read_views(sites), sys.stdout, clear=False)
        return Exit.DONE
    end = None
    if arguments.seconds is not None:
        end = time.monotonic() + arguments.seconds
    try:
        while end is None or time.monotonic() < end:
            try:
                _draw(read_views(sites), sys.stdout, clear=True)
            except CommandError as error:
                if error.code is not Exit.UNREACHABLE:
                    raise
                # Keep polling: entries may become reachable again.
                _write(sys.stdout, [f"{CLEAR}{error}"])
            pause = arguments.interval
            if end is not None:
                pause = min(pause, max(0.0, end - time.monotonic()))
            time.sleep(pause)
    except KeyboardInterrupt:
        print()
    return Exit.DONE


def _draw(views: Sequence[View], stream: TextIO, *, clear: bool) -> None:
    now = time.strftime("%Y-%m-%d %H:%M:%SZ", time.gmtime())
    trouble = find_trouble(views)
    mark = "whole" if not trouble else f"{len(trouble)} in trouble"
    header = f"clementinewood {now}  entries {len(views)}  {mark}"
    if clear:
        header = f"{CLEAR}{HIGHLIGHT}{header}{RESET}"
    lines = [f"! {line}" for line in trouble]
    _write(stream, [header, "", *render_views(views), *lines])


def _write(stream: TextIO, lines: Iterable[str]) -> None:
    stream.write("\n".join(lines) + "\n")
    stream.flush()


def run_explain(arguments: argparse.Namespace) -> int:
    """Prints why a request, team or worker is in its state.

    Only the entry that accepted a request can explain it, and each entry has
    its own state of teams and workers, so every entry is queried.

    Returns:
        The exit code.
    """
    subject = urllib.parse.quote(arguments.subject, safe="")
    found, problems = [], []
    for site in open_sites(arguments):
        host, port = site.addresses[0]
        try:
            reply = site.request("GET", f"/v1/explain/{subject}")
        except CommandError as error:
            if error.code is not Exit.UNREACHABLE:
                raise
            problems.append(str(error))
            continue
        if reply.status == 200:
            found.append((f"{host}:{port}", reply.content))
    if not found:
        asked = "\n".join(["", *problems])
        if len(problems) == len(command_bundle.list_entries(arguments)):
            raise CommandError(
                Exit.UNREACHABLE, f"no entry could be reached{asked}"
            )
        raise CommandError(
            Exit.UNKNOWN,
            f"no entry asked knows {arguments.subject!r}; only the entry that"
            " accepted a request can explain it, until it restarts or 2,000"
            f" others have ended: ask all entries (--entry){asked}",
        )
    for address, content in found:
        if arguments.json:
            print(json.dumps({"entry": address, **content}))
            continue
        print(f"{address}: {content.get('why', '')}")
        for name, value in content.items():
            if name != "why":
                print(f"  {name}: {_render_value(value)}")
    for line in problems:
        print(line, file=sys.stderr)
    return Exit.DONE


def _render_value(value: object) -> str:
    if isinstance(value, list):
        return ", ".join(
            " ".join(map(str, item.values()))
            if isinstance(item, dict)
            else str(item)
            for item in value
        )
    return "-" if value in (None, "") else str(value)


if __name__ == "__main__":
    example: dict[str, Any] = {
        "entry": "entry-1",
        "zone": "hobart",
        "version": 4,
        "ready": True,
        "teams": {"canvas": {"running": 2, "queued": 0, "held": 54}},
        "pools": {"quotes": {"workers": 6, "listed": 6, "leaving": 0}},
    }
    print("\n".join(render_views([View("127.0.0.1:8081", example)])))
