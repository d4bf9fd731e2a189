"""Counts the lines of the program that a call executes.

Unlike a time, the count of a call is the same on every machine and beside any
load, so a test can compare the costs of two inputs.
"""

import pathlib
import sys

from clementinewood import job
from clementinewood_platform import wire

PACKAGES = tuple(
    str(pathlib.Path(module.__file__).parent) for module in (job, wire)
)


def count_lines(call):
    """Returns how many lines of the program `call` executes."""
    lines = 0

    def trace(frame, kind, _):
        nonlocal lines
        if not frame.f_code.co_filename.startswith(PACKAGES):
            return None
        if kind == "line":
            lines += 1
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        call()
    finally:
        sys.settrace(before)
    return lines
