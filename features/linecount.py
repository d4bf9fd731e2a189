"""Counts the lines of the package that a call executes.

Unlike a time, the count of a call is the same on every machine and beside any
load, so a test can compare the costs of two inputs.
"""

import pathlib
import sys

import clementinewood

PACKAGE = str(pathlib.Path(clementinewood.__file__).parent)


def count_lines(call):
    """Returns how many lines of the package `call` executes."""
    lines = 0

    def trace(frame, kind, _):
        nonlocal lines
        if not frame.f_code.co_filename.startswith(PACKAGE):
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
