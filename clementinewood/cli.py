"""Defines the command line and runs its commands."""

import argparse
import sys
from collections.abc import Sequence

import clementinewood
from clementinewood import (
    command_bundle,
    command_demo,
    command_dev,
    command_entry,
    command_load,
    command_queues,
    command_status,
)


def create_parser() -> argparse.ArgumentParser:
    """Returns the parser of all commands."""
    parser = argparse.ArgumentParser(
        prog="clementinewood",
        description="Fleet capacity and maintenance by signed bundles.",
        epilog="Exit codes: 0 success; 1 the command failed; 2 wrong usage"
        " or invalid settings. Commands document further ones.",
    )
    parser.add_argument(
        "--version",
        action="version",
        version=f"clementinewood {clementinewood.__version__}",
    )
    subparsers = parser.add_subparsers(
        dest="command", required=True, metavar="COMMAND"
    )
    command_entry.add_commands(subparsers)
    command_bundle.add_commands(subparsers)
    command_status.add_commands(subparsers)
    command_queues.add_commands(subparsers)
    command_load.add_commands(subparsers)
    command_dev.add_commands(subparsers)
    command_demo.add_commands(subparsers)
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs one command.

    Returns:
        The process exit status.
    """
    options = create_parser().parse_args(arguments)
    status = options.run(options)
    return 0 if status is None else int(status)


if __name__ == "__main__":
    sys.exit(main())
