"""`clementinewood dev`: runs a whole site in one process on loopback."""

import argparse
import os
import pathlib
import sys
from typing import Any

from clementinewood import command_bundle, dev, event


def add_commands(subparsers: Any) -> None:
    """Adds the command to the command line."""
    parser = subparsers.add_parser(
        "dev",
        help="run a whole site with stand-ins on loopback",
        description="Runs three entries, the platform's stand-ins and minions"
        " in one process until Ctrl-C, and prints every address and key."
        " Exit codes: 0 stopped; 7 a file can't be read or written.",
    )
    parser.add_argument("--base-port", type=int, default=0, metavar="P")
    parser.add_argument("--site", choices=("guild", "sanctum"), default="guild")
    parser.add_argument(
        "--seconds", type=float, default=None, help="stop after this time"
    )
    parser.add_argument(
        "--token-file",
        metavar="FILE",
        help="file with a token that the operators' pages then ask for",
    )
    parser.add_argument(
        "--files",
        metavar="DIR",
        help="write the bundle, the callers' keys and the operator's private"
        " key there, for the commands of operators",
    )
    parser.set_defaults(run=run_dev)


def run_dev(options: argparse.Namespace) -> int:
    """Runs the site.

    Returns:
        The process exit status.
    """
    event.configure_log(level="WARNING")
    token = None
    if options.token_file:
        try:
            token = command_bundle.read_file(options.token_file).strip()
        except command_bundle.CommandError as error:
            print(error, file=sys.stderr)
            return error.code
    site = dev.DevSite(
        dev.read_example(options.site),
        base_port=options.base_port,
        operator_token=token,
    )
    if options.files:
        try:
            write_files(site, pathlib.Path(options.files))
        except OSError as error:
            print(f"{options.files}: {error}", file=sys.stderr)
            return command_bundle.Exit.FILE
    site.start()
    site.timers.subscribe_once(1.0, lambda: _announce(site, options.site))
    if options.seconds is not None:
        site.timers.subscribe_once(options.seconds, lambda: site.timers.stop())
    site.timers.run()
    return 0


def write_files(site: dev.DevSite, folder: pathlib.Path) -> None:
    """Writes the bundle, callers' keys and private key, replacing old files.

    Raises:
        OSError: A file can't be written.
    """
    folder.mkdir(parents=True, exist_ok=True)
    contents = {
        "bundle.ini": site.text,
        "keys": "".join(f"{key}\n" for key in dev.find_secrets(site.text)),
        "operator.pem": site.private_key,
    }
    for name, text in contents.items():
        path = folder / name
        path.unlink(missing_ok=True)
        flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
        with open(os.open(path, flags, 0o600), "w", encoding="utf-8") as file:
            file.write(text)


def _announce(site: dev.DevSite, name: str) -> None:
    site.post_bundle(site.text)
    host, port = site.log_address
    print(f"site {name}: log and host list at http://{host}:{port}")
    for config in site.settings:
        host, port = config.callers
        print(f"{config.entry} in {config.zone}: http://{host}:{port}")
    for secret in dev.find_secrets(site.text):
        print(f"key {secret}")
    queue = next(iter(site.declared.queues))
    host, port = site.settings[0].callers
    secret = dev.find_secrets(site.text)[0]
    print(
        f"try: curl -i -H 'Authorization: Bearer {secret}' -d 'two sails'"
        f" http://{host}:{port}/q/{queue}/"
    )
    sys.stdout.flush()
