"""Commands of operators: check, compare, sign and roll out bundles.

Exit codes of every command:

  0  done
  1  the bundle has errors
  2  wrong usage of the command
  3  the signature, the key or the operators' token was refused
  4  another bundle came first; it stays in force
  5  accepted, but not yet in force at every entry
  6  no entry could be reached or could accept it now
  7  a file can't be read or written

Commands that show a site use two more:

  8  no entry knows the request, team or worker
  9  an entry is not ready, can't be reached or has an older bundle
"""

import argparse
import base64
import dataclasses
import enum
import http.client
import json
import os
import sys
import time
from collections.abc import Callable, Sequence
from typing import Any

from returns import result

from clementinewood import bundle, fault, settings, signature

POLL_SECONDS = 0.25
REQUEST_TIMEOUT_SECONDS = 5.0
DEFAULT_ENTRY = "127.0.0.1:8080"


class Exit(enum.IntEnum):
    """Exit codes, as described in the module docstring."""

    DONE = 0
    INVALID = 1
    USAGE = 2
    SIGNATURE = 3
    LOST = 4
    PENDING = 5
    UNREACHABLE = 6
    FILE = 7
    UNKNOWN = 8
    DEGRADED = 9


class CommandError(Exception):
    """Ends a command with an exit code.

    Args:
        code: Exit code.
        message: Text printed to the operator.
    """

    def __init__(self, code: Exit, message: str) -> None:
        super().__init__(message)
        self.code = code


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Response of an entry: HTTP status and JSON object."""

    status: int
    content: dict[str, Any]


class Site:
    """Sends an operator's requests to the entries of a site.

    Args:
        addresses: Entries, tried in turn.
        token: Operators' token, when the entries require one.
        sleep: Waits for a number of seconds.
        clock: Monotonic time in seconds.
    """

    def __init__(
        self,
        addresses: Sequence[settings.Address],
        *,
        token: str = "",
        sleep: Callable[[float], None] = time.sleep,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.addresses = list(addresses)
        self.token = token
        self.sleep = sleep
        self.clock = clock

    def request(self, method: str, path: str, body: bytes = b"") -> Reply:
        """Sends a request to the entries in turn until one answers.

        After a lost response the same request goes to the next entry, so only
        requests that are safe to repeat may be sent.

        Raises:
            CommandError: No entry answered with a status below 500, or the
                token was rejected.
        """
        problems = []
        for address in self.addresses:
            try:
                reply = _exchange(address, method, path, body, self.token)
            except (OSError, http.client.HTTPException, ValueError) as error:
                detail = str(error) or type(error).__name__
            else:
                if reply.status == 401:
                    raise CommandError(Exit.SIGNATURE, _describe(reply))
                if reply.status < 500:
                    return reply
                detail = _describe(reply)
            problems.append(f"{address[0]}:{address[1]}: {detail}")
        raise CommandError(Exit.UNREACHABLE, "\n".join(problems))


def _exchange(
    address: settings.Address, method: str, path: str, body: bytes, token: str
) -> Reply:
    connection = http.client.HTTPConnection(
        *address, timeout=REQUEST_TIMEOUT_SECONDS
    )
    headers = {"Content-Type": "text/plain"}
    if token:
        headers["Authorization"] = f"Bearer {token}"
    try:
        connection.request(method, path, body or None, headers)
        response = connection.getresponse()
        content = json.loads(response.read())
    finally:
        connection.close()
    if not isinstance(content, dict):
        raise ValueError("the response is not a JSON object")
    return Reply(response.status, content)


def _describe(reply: Reply) -> str:
    for name in ("error", "detail", "reason", "title"):
        if reply.content.get(name):
            return f"{reply.status} {reply.content[name]}"
    return f"status {reply.status}"


def add_commands(subparsers: Any) -> None:
    """Adds `bundle` and its sub-commands.

    Each sets `run`, a function that takes the parsed arguments and returns
    the exit code.

    Args:
        subparsers: Result of `ArgumentParser.add_subparsers`.
    """
    parser = subparsers.add_parser(
        "bundle",
        help="check, compare, sign and roll out bundles",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    commands = parser.add_subparsers(metavar="COMMAND", required=True)
    _add_local_commands(commands)
    _add_site_commands(commands)


def _add_parser(
    commands: Any,
    name: str,
    function: Callable[[argparse.Namespace], None],
    text: str,
) -> argparse.ArgumentParser:
    parser = commands.add_parser(name, help=text, description=text)
    parser.set_defaults(run=lambda arguments: run_command(function, arguments))
    return parser


def _add_local_commands(commands: Any) -> None:
    parser = _add_parser(
        commands, "check", run_check, "report every error at once"
    )
    parser.add_argument("files", nargs="+", metavar="FILE")
    parser = _add_parser(commands, "diff", run_diff, "say what differs")
    parser.add_argument("old", metavar="OLD")
    parser.add_argument("new", metavar="NEW")
    parser.add_argument("--json", action="store_true", help="typed changes")
    parser = _add_parser(
        commands, "keygen", run_keygen, "create an operator's key"
    )
    parser.add_argument("operator")
    parser.add_argument("--out", required=True, help="file of the private key")
    parser.add_argument(
        "--days", type=parse_positive, default=365.0, help="until it expires"
    )
    parser = _add_parser(commands, "sign", run_sign, "sign a checked bundle")
    parser.add_argument("file", metavar="FILE")
    parser.add_argument("--operator", required=True)
    parser.add_argument("--key", required=True, help="file of the private key")
    parser.add_argument(
        "--hours", type=parse_positive, default=24.0, help="until it expires"
    )
    parser.add_argument("--out", help="signed file; FILE itself by default")


def _add_site_commands(commands: Any) -> None:
    parser = _add_parser(
        commands, "plan", run_plan, "say what a bundle would do"
    )
    parser.add_argument("file", metavar="FILE")
    parser.add_argument("--against", help="a file instead of the one in force")
    add_entries(parser)
    parser = _add_parser(
        commands, "roll", run_roll, "put a signed bundle in force everywhere"
    )
    parser.add_argument("file", metavar="FILE")
    parser.add_argument(
        "--timeout", type=parse_positive, default=30.0, help="seconds to wait"
    )
    add_entries(parser)
    parser = _add_parser(
        commands, "status", run_status, "show versions by entry"
    )
    add_entries(parser)
    parser = _add_parser(
        commands, "history", run_history, "list accepted bundles"
    )
    add_entries(parser)


def add_entries(parser: argparse.ArgumentParser, *, token: bool = True) -> None:
    """Adds the options that select the entries, and the token unless off."""
    parser.add_argument(
        "--entry",
        action="append",
        type=_address,
        metavar="IP:PORT",
        help=f"may be given often (default: {DEFAULT_ENTRY})",
    )
    if not token:
        return
    parser.add_argument(
        "--token-file",
        metavar="FILE",
        help="file with the operators' token, when entries ask for one",
    )


def _address(text: str) -> settings.Address:
    try:
        return settings.parse_address(text)
    except ValueError as error:
        raise argparse.ArgumentTypeError(str(error)) from None


def parse_positive(text: str) -> float:
    """Returns the number in a command-line argument.

    Raises:
        ArgumentTypeError: The number is not above 0 and below 1e9.
        ValueError: The text is not a number.
    """
    value = float(text)
    if not 0 < value < 1e9:
        raise argparse.ArgumentTypeError("must be above 0")
    return value


def run_command(
    function: Callable[[argparse.Namespace], int | None],
    arguments: argparse.Namespace,
) -> int:
    """Runs a command and prints the error if it fails.

    Returns:
        The exit code.
    """
    try:
        return function(arguments) or Exit.DONE
    except CommandError as error:
        print(error, file=sys.stderr)
        return error.code


def open_site(arguments: argparse.Namespace) -> Site:
    """Returns the site whose entries the options name.

    Raises:
        CommandError: The token file can't be read.
    """
    token = ""
    if arguments.token_file:
        token = read_file(arguments.token_file).strip()
    return Site(list_entries(arguments), token=token)


def list_entries(arguments: argparse.Namespace) -> list[settings.Address]:
    """Returns the entry addresses in the options, or the default one."""
    return arguments.entry or [settings.parse_address(DEFAULT_ENTRY)]


def read_file(path: str) -> str:
    """Returns the text of a file.

    Raises:
        CommandError: The file can't be read or is not UTF-8.
    """
    try:
        with open(path, encoding="utf-8", newline="") as file:
            return file.read()
    except (OSError, UnicodeDecodeError) as error:
        raise CommandError(Exit.FILE, f"{path}: {error}") from None


def _write_file(path: str, text: str, *, mode: int, replace: bool) -> None:
    flags = os.O_WRONLY | os.O_CREAT | (os.O_TRUNC if replace else os.O_EXCL)
    try:
        with open(os.open(path, flags, mode), "w", encoding="utf-8") as file:
            file.write(text)
    except OSError as error:
        raise CommandError(Exit.FILE, f"{path}: {error}") from None


def _render(faults: Sequence[fault.Fault]) -> str:
    return "\n".join(item.render() for item in faults)


def _parse(text: str, source: str) -> bundle.Bundle:
    parsed = bundle.parse_bundle(text, source)
    if not isinstance(parsed, result.Success):
        raise CommandError(Exit.INVALID, _render(parsed.failure()))
    return parsed.unwrap()


def run_check(arguments: argparse.Namespace) -> None:
    """Prints a summary of each valid file.

    Raises:
        CommandError: Some file has errors; holds the errors of all files.
    """
    problems = []
    for path in arguments.files:
        try:
            declared = _parse(read_file(path), path)
        except CommandError as error:
            if error.code is not Exit.INVALID:
                raise
            problems.append(str(error))
            continue
        print(
            f"{path}: version {declared.version} of {declared.site},"
            f" {len(declared.pools)} pools, {len(declared.queues)} queues,"
            f" {len(declared.teams)} teams, {declared.total_slots} slots"
        )
    if problems:
        raise CommandError(Exit.INVALID, "\n".join(problems))


def run_diff(arguments: argparse.Namespace) -> None:
    """Prints the changes from one bundle file to another."""
    old, new = (
        _parse(read_file(path), path) for path in (arguments.old, arguments.new)
    )
    changes = bundle.diff_bundles(old, new)
    if arguments.json:
        for change in changes:
            print(json.dumps(_to_json(change), sort_keys=True))
        return
    print("\n".join(change.describe() for change in changes) or "no change")


def _to_json(value: Any) -> Any:
    match value:
        case enum.Enum():
            return value.value
        case bytes():
            return value.hex()
        case frozenset():
            return sorted(value)
        case tuple():
            return [_to_json(item) for item in value]
        case _ if dataclasses.is_dataclass(value):
            return {
                field.name: _to_json(getattr(value, field.name))
                for field in dataclasses.fields(value)
            }
    return value


def run_plan(arguments: argparse.Namespace) -> None:
    """Prints the changes that a bundle makes and their effects."""
    new = _parse(read_file(arguments.file), arguments.file)
    if arguments.against:
        old = _parse(read_file(arguments.against), arguments.against)
    else:
        reply = open_site(arguments).request("GET", "/v1/bundles")
        text = reply.content.get("text")
        if not reply.content.get("bundles"):
            print("no bundle is in force; this would be the first")
            return
        if not text:
            raise CommandError(
                Exit.UNREACHABLE,
                "the entry did not return the text of the bundle in force;"
                " compare with a file (--against)",
            )
        old = _parse(str(text), "in force")
    print(f"version {old.version} to {new.version}")
    for change in bundle.diff_bundles(old, new):
        print(f"- {change.describe()}")
    for line in bundle.plan_change(old, new):
        print(f"> {line}")
    conflicts = bundle.check_change(old, new)
    if conflicts:
        raise CommandError(Exit.INVALID, _render(conflicts))


def run_keygen(arguments: argparse.Namespace) -> None:
    """Writes a private key and prints the settings line of its public key."""
    private, public = signature.generate_key()
    expires = time.time() + arguments.days * 86400
    line = f"{arguments.operator} {base64.b64encode(public).decode()}"
    try:
        key = signature.parse_operator_key(f"{line} {expires:.0f}")
    except ValueError as error:
        raise CommandError(Exit.USAGE, str(error)) from None
    _write_file(arguments.out, private, mode=0o600, replace=False)
    name, rest = key.render().split(" ", 1)
    print(f"{name} = {rest}")


def run_sign(arguments: argparse.Namespace) -> None:
    """Signs a bundle after checking that it has no errors."""
    text = read_file(arguments.file)
    _parse(text, arguments.file)
    private = read_file(arguments.key)
    now = round(time.time(), 3)
    try:
        signed = signature.sign_bundle(
            text,
            arguments.operator,
            private,
            signed=now,
            expires=now + arguments.hours * 3600,
        )
    except ValueError as error:
        raise CommandError(
            Exit.SIGNATURE, f"{arguments.key}: {error}"
        ) from None
    _write_file(
        arguments.out or arguments.file, signed, mode=0o644, replace=True
    )


def run_roll(arguments: argparse.Namespace) -> None:
    """Posts a signed bundle and waits until it is in force at every entry."""
    text = read_file(arguments.file)
    split = signature.split_signed(text)
    if not isinstance(split, result.Success):
        raise CommandError(
            Exit.SIGNATURE, f"{arguments.file}: {split.failure().render()}"
        )
    declared = _parse(text, arguments.file)
    roll_bundle(
        open_site(arguments),
        text,
        declared.version,
        split.unwrap().digest,
        timeout=arguments.timeout,
    )


def roll_bundle(
    site: Site, text: str, version: int, digest: str, *, timeout: float
) -> None:
    """Posts a signed bundle and waits for every entry; safe to repeat.

    Args:
        site: The entries.
        text: Signed bundle.
        version: Its version.
        digest: SHA-256 of the signed text.
        timeout: Seconds to wait until it is in force at all entries.

    Raises:
        CommandError: The bundle was rejected, another bundle was accepted
            first, or it is not in force at every entry within the timeout.
    """
    deadline = site.clock() + timeout
    _post_bundle(site, text, version, digest, deadline)
    waiting = ["every entry"]
    while True:
        try:
            entries = _read_entries(site)
        except CommandError as error:
            waiting = [str(error)]
        else:
            waiting = _list_waiting(entries, version)
            if not waiting:
                print(f"version {version} is in force at all entries")
                return
        if site.clock() >= deadline:
            raise CommandError(
                Exit.PENDING,
                f"version {version} is accepted but not yet in force at:\n"
                + "\n".join(waiting),
            )
        site.sleep(POLL_SECONDS)


def _post_bundle(
    site: Site, text: str, version: int, digest: str, deadline: float
) -> None:
    """Posts the bundle until an entry accepts or rejects it.

    A lost response may have been an acceptance, so the same bundle is posted
    again: it is identified by its digest and accepted only once.
    """
    while True:
        try:
            reply = site.request("POST", "/v1/bundles", text.encode())
        except CommandError as error:
            if site.clock() >= deadline:
                raise CommandError(
                    error.code,
                    f"{error}\nit is not known whether version {version} was"
                    " accepted; rolling it again is safe",
                ) from None
            site.sleep(POLL_SECONDS)
            continue
        if reply.status in (200, 202):
            return
        if reply.status == 409:
            _check_accepted(site, reply, version, digest)
            return
        detail = "\n".join(
            [_describe(reply), *map(str, reply.content.get("faults", []))]
        )
        code = Exit.SIGNATURE if reply.status in (401, 403) else Exit.INVALID
        raise CommandError(code, detail)


def _check_accepted(
    site: Site, reply: Reply, version: int, digest: str
) -> None:
    """Raises CommandError unless the bundle with `digest` was accepted."""
    accepted = site.request("GET", "/v1/bundles").content.get("bundles", [])
    for item in accepted:
        if item.get("digest") == digest:
            return
    same = [item for item in accepted if item.get("version") == version]
    winner = same[-1] if same else (accepted[-1] if accepted else {})
    if not winner:
        raise CommandError(Exit.LOST, _describe(reply))
    raise CommandError(
        Exit.LOST,
        f"version {version} was not accepted: operator"
        f" {winner.get('operator')!r} put version {winner.get('version')} in"
        f" force at {_format_time(winner.get('time', 0))}; compare with it,"
        " raise the version and sign again",
    )


def _read_entries(site: Site) -> list[dict[str, Any]]:
    content = site.request("GET", "/v1/status").content
    entries = content.get("entries")
    if not isinstance(entries, list) or not all(
        isinstance(item, dict) for item in entries
    ):
        raise CommandError(Exit.UNREACHABLE, "the status lists no entries")
    return entries


def _list_waiting(entries: list[dict[str, Any]], version: int) -> list[str]:
    """Returns a line for each entry without a fresh `version` or later."""
    waiting = []
    for item in entries:
        if int(item.get("version") or 0) < version:
            state = f"has version {item.get('version') or 'none'}"
        elif not item.get("fresh"):
            state = "is not fresh and refuses work"
        else:
            continue
        waiting.append(f"  {item.get('entry', '?')} {state}")
    return waiting or ([] if entries else ["  no entry is known"])


def run_status(arguments: argparse.Namespace) -> None:
    """Prints the version at each entry."""
    for item in _read_entries(open_site(arguments)):
        fresh = "fresh" if item.get("fresh") else "not fresh"
        print(f"{item.get('entry', '?')} version {item.get('version')} {fresh}")


def run_history(arguments: argparse.Namespace) -> None:
    """Prints the accepted bundles, oldest first."""
    reply = open_site(arguments).request("GET", "/v1/bundles")
    for item in reply.content.get("bundles", []):
        print(
            f"{_format_time(item.get('time', 0))} version"
            f" {item.get('version')} by {item.get('operator')}"
            f" {str(item.get('digest'))[:12]}"
        )


def _format_time(seconds: float) -> str:
    return time.strftime("%Y-%m-%d %H:%M:%SZ", time.gmtime(seconds))


if __name__ == "__main__":
    main = argparse.ArgumentParser()
    add_commands(main.add_subparsers(required=True))
    parsed_arguments = main.parse_args()
    sys.exit(parsed_arguments.run(parsed_arguments))
