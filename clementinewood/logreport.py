"""Connects the log output of a process to its event loop."""

from collections.abc import Mapping
from typing import Any

from clementinewood import event, logbuffer


def attach(
    log: logbuffer.LogOutput,
    poller: logbuffer.Poller,
    timers: logbuffer.Timers,
) -> None:
    """Lets the loop write the lines that wait, and logs how many are lost."""
    log.on_dropped = report_dropped
    log.attach(poller, timers)


def report_dropped(dropped: Mapping[logbuffer.Rank, int]) -> None:
    """Logs the number of dropped lines of each rank."""
    fields: dict[str, Any] = {
        rank.name.lower(): count for rank, count in sorted(dropped.items())
    }
    event.emit(event.Event.LOG_LINES_DROPPED, **fields)


if __name__ == "__main__":
    event.configure_log()
    report_dropped({logbuffer.Rank.INFO: 12})
