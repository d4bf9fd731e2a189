"""`clementinewood dev`: a whole site in one process on loopback."""

import argparse
import sys
from typing import Any

from clementinewood import dev, event


def add_commands(subparsers: Any) -> None:
    """Adds the command to the command line."""
    parser = subparsers.add_parser(
        "dev",
        help="run a whole site with stand-ins on loopback",
        description="Runs three entries, the platform's stand-ins and minions"
        " in one process until Ctrl-C, and prints every address and key.",
    )
    parser.add_argument("--base-port", type=int, default=0, metavar="P")
    parser.add_argument("--site", choices=("guild", "sanctum"), default="guild")
    parser.add_argument(
        "--seconds", type=float, default=None, help="stop after this time"
    )
    parser.set_defaults(run=run_dev)


def run_dev(options: argparse.Namespace) -> int:
    """Runs the site.

    Returns:
        The process exit status.
    """
    event.configure_log(level="WARNING")
    site = dev.DevSite(
        dev.read_example(options.site), base_port=options.base_port
    )
    site.start()
    site.timers.subscribe_once(1.0, lambda: _announce(site, options.site))
    if options.seconds is not None:
        site.timers.subscribe_once(options.seconds, lambda: site.timers.stop())
    site.timers.run()
    return 0


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
