"""Runs the command line."""

import sys

from clementinewood import cli

sys.exit(cli.main())
