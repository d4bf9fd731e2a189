"""`clementinewood entry`: runs one entry process."""

import argparse
import sys
from typing import Any

from returns import result

from clementinewood import (
    entry,
    event,
    logreport,
    page,
    settings,
    timer,
    transport,
    web,
)

EXIT_SETTINGS = 2
EXIT_REMOVED = 75
"""Exit status after the other entries removed this one (EX_TEMPFAIL): the
supervisor should start it again."""


def add_commands(subparsers: Any) -> None:
    """Adds the command to the command line."""
    parser = subparsers.add_parser(
        "entry",
        help="run one entry",
        description="Runs one entry until SIGTERM or SIGINT, which start a"
        " graceful stop. Exit codes: 0 stopped; 2 invalid settings; 75 the"
        " other entries removed this one, start it again.",
    )
    parser.add_argument(
        "--settings", required=True, metavar="FILE", help="INI settings"
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    parser.add_argument(
        "--seconds", type=float, default=None, help="stop after this time"
    )
    parser.set_defaults(run=run_entry)


def run_entry(options: argparse.Namespace) -> int:
    """Runs the entry, or only checks its settings with `--check`.

    Returns:
        The process exit status.
    """
    match settings.read_settings(options.settings):
        case result.Success(config):
            if options.check:
                print(f"{options.settings}: settings are valid")
                return 0
            return serve(config, seconds=options.seconds)
        case result.Failure(faults):
            for item in faults:
                print(item.render(), file=sys.stderr)
    return EXIT_SETTINGS


def serve(config: settings.Settings, *, seconds: float | None = None) -> int:
    """Runs an entry until it is stopped or removed.

    Args:
        config: Settings of the entry.
        seconds: Seconds after which it stops; None to run until a signal.

    Returns:
        The process exit status.
    """
    log = event.configure_log(
        level=config.log_level.name,
        json=config.log_format is settings.LogFormat.JSON,
    )
    timers = timer.GracefulTimers()
    sockets = transport.Transport(timers).register(timers)
    if log is not None:
        logreport.attach(log, sockets, timers)
    site = web.Web(timers).register(timers)
    page.register_pages(site)
    daemon = entry.Entry(
        config, sockets, timers, site, on_stopped=lambda: timers.stop()
    )
    timers.on_signal = daemon.stop
    daemon.start()
    if seconds is not None:
        timers.subscribe_once(seconds, daemon.stop)
    timers.run()
    return EXIT_REMOVED if daemon.was_removed else 0
