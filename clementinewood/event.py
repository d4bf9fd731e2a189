"""Numbered log events and the set-up of the logger."""

import enum
import io
import sys
from typing import Any, TextIO

from loguru import logger

from clementinewood import logbuffer

_min_severity = 0
"""loguru severity number below which events are not rendered: requests emit
DEBUG events, and rendering those that are dropped would cost time."""

_output: logbuffer.LogOutput | None = None
"""Where log lines go, if they go to a descriptor."""


class Event(enum.Enum):
    """Every log event: number, level and message.

    docs/events.md explains each event and what to do about it. Numbers are
    never reused for another event.
    """

    ENTRY_STARTED = (1001, "INFO", "entry started")
    ENTRY_READY = (1002, "INFO", "entry is ready for callers")
    ENTRY_UNREADY = (1003, "WARNING", "entry is not ready for callers")
    DRAIN_STARTED = (1004, "INFO", "graceful shutdown started")
    DRAIN_FINISHED = (1005, "INFO", "graceful shutdown finished")
    HANDLER_FAILED = (1006, "ERROR", "a handler raised an exception")
    LOG_LINES_DROPPED = (1007, "WARNING", "log lines were dropped")
    EVENT_LOOP_HELD = (1008, "WARNING", "a part held the event loop for long")
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
    HOSTS_MALFORMED = (1206, "WARNING", "host list is malformed")
    HOSTS_UNREACHABLE = (1207, "WARNING", "host list can't be read")
    HOSTS_REACHABLE = (1208, "INFO", "host list can be read again")
    SNAPSHOT_FAILED = (1209, "WARNING", "appending a snapshot failed")
    LOG_LOADED = (1210, "INFO", "newest records of a stream were read")
    PEER_UP = (1301, "INFO", "link to another entry is up")
    PEER_DOWN = (1302, "WARNING", "link to another entry is down")
    PEER_REFUSED = (1303, "WARNING", "peer failed authentication")
    MEMBER_JOINED = (1304, "INFO", "entry joined")
    MEMBER_SUSPECTED = (1305, "WARNING", "entry is suspected to be dead")
    MEMBER_REMOVED = (1306, "WARNING", "entry was removed")
    MEMBER_TOKENS_RECLAIMED = (
        1307,
        "INFO",
        "escrow tokens of a removed entry reclaimed",
    )
    REMOVED_SELF = (1308, "ERROR", "this entry was removed by the others")
    REQUEST_DONE = (1401, "DEBUG", "request answered")
    REQUEST_REFUSED = (1402, "DEBUG", "request refused")
    MINION_EJECTED = (1403, "WARNING", "minion ejected")
    MINION_RESTORED = (1404, "INFO", "minion restored")
    PLANNER_LEASE_ACQUIRED = (1501, "INFO", "planner lease acquired")
    PLANNER_LEASE_LOST = (1502, "INFO", "planner lease lost")
    WORKER_ASSIGNED = (1503, "INFO", "worker assigned to a pool")
    MAINTENANCE_STEP = (1504, "INFO", "maintenance step of a worker")

    JOB_ACCEPTED = (1601, "INFO", "job accepted")
    JOB_REFUSED = (1602, "INFO", "request about a job refused")
    JOB_CANCELLED = (1603, "INFO", "job cancelled")
    JOB_ENDED = (1604, "INFO", "job ended")
    JOB_STARTED = (1605, "INFO", "first task of a job started")
    RUN_STOPPED = (1606, "INFO", "run ordered to stop")
    RUNS_LOST = (1607, "WARNING", "runs of an unresponsive minion lost")
    RUN_FAILED = (1608, "INFO", "run ended without success")
    START_REFUSED = (1609, "INFO", "minion did not start a run")
    TASK_GIVEN_UP = (1611, "WARNING", "task given up: it crashes minions")
    MINION_CRASHED = (1612, "WARNING", "minion crashed with runs")
    CANCEL_OF_ENDED_JOB = (
        1614,
        "INFO",
        "cancellation of an ended job answered",
    )
    JOB_REFUSED_FOR_LOAD = (1617, "INFO", "job refused for load")
    ROOM_HELD = (1621, "INFO", "room held for a step that waits")
    HELD_STEP_STARTED = (1622, "INFO", "step for which room was held started")
    HOLD_LAPSED = (1623, "INFO", "room held for a step is free for others")
    CANDIDACY_STARTED = (1701, "INFO", "dispatcher candidacy started")
    LEADERSHIP_ACQUIRED = (1702, "INFO", "elected dispatcher")
    LEADERSHIP_ENDED = (1703, "WARNING", "stepped down as dispatcher")
    MINION_EJECTED_FROM_PLACEMENT = (
        1704,
        "WARNING",
        "minion ejected from placement",
    )
    MINION_UNRESPONSIVE = (1705, "WARNING", "minion does not answer")
    MINION_RESPONSIVE = (1706, "INFO", "minion answers again")
    STORE_APPEND_FAILED = (1707, "WARNING", "append to the store failed")
    DECLARATION_REFUSED = (1708, "WARNING", "platform record is malformed")
    CONFIGURATION_IN_FORCE = (1709, "INFO", "configuration is in force")
    POLICY_UNANSWERED = (1710, "WARNING", "policy service returned no tickets")
    ENTRY_UNRESPONSIVE = (1711, "WARNING", "entry does not answer another")
    ENTRY_RESPONSIVE = (1712, "INFO", "entry answers another again")
    JOBS_TAKEN_OVER = (1714, "INFO", "jobs taken over by a new leader")
    MINION_REFUSES_ORDERS = (
        1715,
        "WARNING",
        "minion answers polls but takes no orders",
    )
    MACHINE_ORDERED = (1801, "INFO", "machine move or maintenance ordered")
    MACHINE_REFUSED = (1802, "WARNING", "order about a machine refused")
    MACHINES_UNREACHABLE = (1803, "WARNING", "machines can't be listed")
    WAVE_COMPLETED = (1804, "INFO", "maintenance wave completed")
    MACHINE_ANSWERED = (1805, "INFO", "order about a machine answered")
    MACHINES_TAKEN_OVER = (1806, "INFO", "machines taken over")
    SETTINGS_REFUSED = (1901, "ERROR", "settings are malformed")
    SETTINGS_READ = (1902, "INFO", "settings read")

    @property
    def number(self) -> int:
        """Event number, logged as CW and four digits."""
        return self.value[0]

    @property
    def level(self) -> str:
        """Name of the loguru level."""
        return self.value[1]

    @property
    def text(self) -> str:
        """Message, without fields."""
        return self.value[2]


_DECISIONS = frozenset(
    {
        Event.BUNDLE_IN_FORCE,
        Event.CONFIGURATION_IN_FORCE,
        Event.LEADERSHIP_ACQUIRED,
        Event.LEADERSHIP_ENDED,
        Event.MACHINE_ORDERED,
        Event.JOB_ACCEPTED,
        Event.JOB_REFUSED,
        Event.JOB_CANCELLED,
        Event.CANCEL_OF_ENDED_JOB,
        Event.JOB_STARTED,
        Event.JOB_ENDED,
        Event.RUN_STOPPED,
        Event.RUNS_LOST,
        Event.RUN_FAILED,
        Event.TASK_GIVEN_UP,
    }
)
"""Events that tell what was decided about a job, a machine, the leadership or
the configuration; they are kept longer than warnings."""

_DECISION_NUMBERS = frozenset(f"CW{item.number}" for item in _DECISIONS)


def emit(
    event: Event, *, exception: BaseException | None = None, **fields: object
) -> None:
    """Logs `event` with the calling module as its source.

    Args:
        event: The event.
        exception: Logged with its traceback, without variable values.
        **fields: Appended to the message as name=value; must hold no
            secrets.
    """
    if logger.level(event.level).no < _min_severity:
        return
    parts = "".join(
        f" {name}={_render_value(value)}" for name, value in fields.items()
    )
    logger.opt(depth=1, exception=exception).bind(
        event=f"CW{event.number}", **fields
    ).log(event.level, "{}", f"CW{event.number} {event.text}{parts}")


def _render_value(value: object) -> str:
    """Returns `value` as one printable line, so that it can't forge a line."""
    text = str(value)
    return text if text.isprintable() else repr(text)


def configure_log(
    *, level: str = "INFO", json: bool = False, stream: TextIO = sys.stderr
) -> logbuffer.LogOutput | None:
    """Configures loguru to write log records to `stream`.

    Args:
        level: Lowest level logged.
        json: Whether to write one JSON object per line instead of text.
        stream: Stream to write to.

    Returns:
        The output that queues lines while the descriptor of `stream` accepts
        none, to be attached to the event loop; None if `stream` has no
        descriptor.
    """
    global _min_severity, _output
    _min_severity = logger.level(level).no
    logger.remove()
    if _output is not None:
        _output.close()
    _output = _open_output(stream)
    # `enqueue=True` would start a thread.
    logger.add(
        stream if _output is None else _write_message,
        level=level,
        serialize=json,
        format="{time:YYYY-MM-DDTHH:mm:ss.SSSZZ} {level} {message}",
        backtrace=False,
        diagnose=False,
        enqueue=False,
    )
    return _output


def _open_output(stream: TextIO) -> logbuffer.LogOutput | None:
    try:
        stream.flush()
        return logbuffer.LogOutput(stream.fileno())
    except (io.UnsupportedOperation, OSError):
        return None


def _write_message(message: Any) -> None:
    assert _output is not None
    record = message.record
    rank = rank_line(record["level"].no, record["extra"].get("event", ""))
    _output.write(rank, str(message).encode(errors="backslashreplace"))


def rank_line(severity: int, number: str) -> logbuffer.Rank:
    """Returns the importance of a line.

    Args:
        severity: Number of its loguru level.
        number: Number of its event, such as CW1601.
    """
    if severity >= logger.level("ERROR").no:
        return logbuffer.Rank.ERROR
    if number in _DECISION_NUMBERS:
        return logbuffer.Rank.DECISION
    if severity >= logger.level("WARNING").no:
        return logbuffer.Rank.WARNING
    if severity >= logger.level("INFO").no:
        return logbuffer.Rank.INFO
    return logbuffer.Rank.DEBUG


if __name__ == "__main__":
    configure_log()
    emit(Event.ENTRY_STARTED, entry="entry-1")
    emit(Event.HOSTS_MALFORMED, detail="not JSON\nsecond line")
