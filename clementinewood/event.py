"""Numbered log events and the set-up of the logger."""

import enum
import sys
from typing import TextIO

from loguru import logger


class Event(enum.Enum):
    """Every log event: number, level and message.

    docs/events.md says for each what it means and what to do. Numbers are
    never used again for another meaning.
    """

    ENTRY_STARTED = (1001, "INFO", "entry started")
    ENTRY_READY = (1002, "INFO", "entry is ready for callers")
    ENTRY_UNREADY = (1003, "WARNING", "entry is not ready for callers")
    DRAIN_STARTED = (1004, "INFO", "graceful shutdown started")
    DRAIN_FINISHED = (1005, "INFO", "graceful shutdown finished")
    HANDLER_FAILED = (1006, "ERROR", "a handler raised an exception")
    BUNDLE_IN_FORCE = (1101, "INFO", "bundle is in force at this entry")
    BUNDLE_REFUSED = (1102, "WARNING", "bundle was refused")
    BUNDLE_APPENDED = (1103, "INFO", "bundle was appended to the log")
    CONFIGURATION_STALE = (1104, "WARNING", "configuration may be stale")
    CONFIGURATION_FRESH = (1105, "INFO", "configuration is fresh again")
    LOG_UNREACHABLE = (1201, "WARNING", "log service does not answer")
    LOG_REACHABLE = (1202, "INFO", "log service answers again")
    RECORD_REFUSED = (1203, "WARNING", "log record was dropped")
    LOG_GAP = (1204, "WARNING", "records expired before they were read")
    SNAPSHOT_APPENDED = (1205, "INFO", "snapshot was appended to the log")
    SNAPSHOT_FAILED = (1206, "WARNING", "appending a snapshot failed")
    PEER_UP = (1301, "INFO", "link to another entry is up")
    PEER_DOWN = (1302, "WARNING", "link to another entry is down")
    PEER_REFUSED = (1303, "WARNING", "peer failed authentication")
    MEMBER_JOINED = (1304, "INFO", "entry joined")
    MEMBER_SUSPECTED = (1305, "WARNING", "entry is suspected to be dead")
    MEMBER_REMOVED = (1306, "WARNING", "entry was removed")
    MEMBER_CLOSED = (1307, "INFO", "rights of a removed entry reclaimed")
    REMOVED_SELF = (1308, "ERROR", "this entry was removed by the others")
    REQUEST_DONE = (1401, "DEBUG", "request answered")
    REQUEST_REFUSED = (1402, "DEBUG", "request refused")
    MINION_EJECTED = (1403, "WARNING", "minion ejected")
    MINION_RESTORED = (1404, "INFO", "minion restored")
    PLANNER_ACTIVE = (1501, "INFO", "planner lease acquired")
    PLANNER_PASSIVE = (1502, "INFO", "planner lease lost")
    WORKER_ASSIGNED = (1503, "INFO", "worker assigned to a pool")
    MAINTENANCE_STEP = (1504, "INFO", "maintenance step of a worker")

    @property
    def number(self) -> int:
        """Catalogue number, shown as CW and four digits."""
        return self.value[0]

    @property
    def level(self) -> str:
        """Level name of loguru."""
        return self.value[1]

    @property
    def text(self) -> str:
        """Message."""
        return self.value[2]


def emit(event: Event, **fields: object) -> None:
    """Logs `event`; `fields` must hold no secrets."""
    parts = "".join(f" {name}={value}" for name, value in fields.items())
    logger.bind(event=f"CW{event.number}", **fields).log(
        event.level, "{}", f"CW{event.number} {event.text}{parts}"
    )


def configure_log(
    *, level: str = "INFO", json: bool = False, stream: TextIO = sys.stderr
) -> None:
    """Sends log records to `stream`.

    Args:
        level: Lowest level logged.
        json: One JSON object a line instead of text.
        stream: Where records go.
    """
    logger.remove()
    # `enqueue` would start a thread.
    logger.add(
        stream,
        level=level,
        serialize=json,
        format="{time:YYYY-MM-DDTHH:mm:ss.SSSZZ} {level} {message}",
        backtrace=False,
        diagnose=False,
        enqueue=False,
    )


if __name__ == "__main__":
    configure_log()
    emit(Event.ENTRY_STARTED, entry="entry-1")
