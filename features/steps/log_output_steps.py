"""Steps for log output that nobody reads."""

import contextlib
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest.mock
import urllib.request

import behave

from clementinewood import event, logbuffer, logreport
from features import dev_process, network, runner
from features.soak import site

PORTS = 6
READY_TRIES = 40
READY_TIMEOUT_SECONDS = 0.5
STOP_LIMIT_SECONDS = 30.0
LIMIT_BYTES = 1 << 20


def fill(fd):
    """Writes to a pipe until it is full."""
    os.set_blocking(fd, False)
    with contextlib.suppress(BlockingIOError):
        while True:
            os.write(fd, b"x" * 4096)
    os.set_blocking(fd, True)


@behave.when(
    "an entry process starts with standard output and error on a full pipe"
)
def start_entry(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    read_end, write_end = os.pipe()
    context.add_cleanup(os.close, read_end)
    fill(write_end)
    context.port = dev_process.find_base_port()
    path = pathlib.Path(folder.name) / "entry.toml"
    # Nothing listens at the addresses of the store and of the machines.
    path.write_text(
        site.SETTINGS.format(
            name="e1",
            zone="zone-0",
            grace=site.GRACE_SECONDS,
            front=context.port + 1,
            ready=context.port,
            metrics=context.port + 2,
            forwarding=context.port + 3,
            store=f"127.0.0.1:{context.port + 4}",
            machines=f"127.0.0.1:{context.port + 5}",
        )
    )
    context.child = subprocess.Popen(
        [sys.executable, "-m", "clementinewood_platform.main"],
        cwd=runner.ROOT,
        env=dev_process.create_environment()
        | {"CLEMENTINEWOOD_CONFIG": str(path)},
        stdout=write_end,
        stderr=write_end,
    )
    os.close(write_end)
    context.add_cleanup(context.child.wait)
    context.add_cleanup(context.child.kill)


@behave.then("its readiness check answers")
def check_ready(context):
    for _ in range(READY_TRIES):
        try:
            urllib.request.urlopen(
                f"http://127.0.0.1:{context.port}/ready",
                timeout=READY_TIMEOUT_SECONDS,
            )
        except urllib.error.HTTPError as error:
            assert error.code == 503, error
            return
        except OSError:
            time.sleep(0.2)
    raise AssertionError("the entry never answered")


@behave.then("it ends by itself after SIGTERM")
def check_stop(context):
    context.child.send_signal(signal.SIGTERM)
    assert context.child.wait(STOP_LIMIT_SECONDS) == 0


@behave.given("a queue with room for {count:d} lines")
def create_queue(context, count):
    context.queue = logbuffer.LineQueue(
        count * (logbuffer.LINE_OVERHEAD_BYTES + 1)
    )


@behave.when("lines of the ranks {ranks} are added")
def add_lines(context, ranks):
    for number, name in enumerate(ranks.split(), start=1):
        context.queue.put(logbuffer.Rank[name], str(number).encode())


@behave.when("{count:d} empty lines are added")
def add_empty_lines(context, count):
    for _ in range(count):
        context.queue.put(logbuffer.Rank.INFO, b"\n")


def take_lines(queue):
    lines = []
    while queue:
        lines.append(queue.peek().decode())
        queue.advance(len(lines[-1]))
    assert queue.size == 0, queue.size
    return lines


@behave.then("the lines {kept} are left and {dropped} are counted as dropped")
def check_lines(context, kept, dropped):
    assert take_lines(context.queue) == kept.split()
    counted = {rank.name: n for rank, n in context.queue.dropped.items()}
    names = [] if dropped == "nothing" else dropped.split()
    assert counted == {name: names.count(name) for name in names}, counted


@behave.then("{count:d} lines are left")
def check_count(context, count):
    assert len(take_lines(context.queue)) == count


@behave.then("the events have the ranks")
def check_ranks(context):
    severities = {"DEBUG": 10, "INFO": 20, "WARNING": 30, "ERROR": 40}
    for row in context.table:
        item = event.Event[row["event"]]
        rank = event.rank_line(severities[item.level], f"CW{item.number}")
        assert rank.name == row["rank"], (item, rank)


def open_log(context, read_end, write_end):
    context.read_end, context.write_end = read_end, write_end
    context.add_cleanup(os.close, write_end)
    context.read = bytearray()
    context.count = 0
    with open(write_end, "w", closefd=False) as stream:
        context.log = event.configure_log(stream=stream)
    context.add_cleanup(event.configure_log)
    context.network = network.Network()
    logreport.attach(
        context.log, context.network.sockets, context.network.timers
    )


@behave.given("a log on a pipe that nobody reads")
def create_pipe_log(context):
    open_log(context, *os.pipe())
    context.add_cleanup(close_quietly, context.read_end)


def close_quietly(fd):
    with contextlib.suppress(OSError):
        os.close(fd)


@behave.given("a log on a {kind} whose reopening is {reopening}")
def create_shared_log(context, kind, reopening):
    if kind == "socket":
        ends = [item.detach() for item in socket.socketpair()]
    else:
        ends = os.pipe()
    refused = OSError if reopening == "denied" else None
    with unittest.mock.patch.object(
        logbuffer.os, "open", side_effect=refused, wraps=os.open
    ):
        open_log(context, *ends)
    context.add_cleanup(os.close, context.read_end)


@behave.when("{count:d} lines of {size:d} bytes are logged")
def log_lines(context, count, size):
    for _ in range(count):
        event.emit(
            event.Event.MINION_RESPONSIVE,
            line=context.count,
            fill="x" * size,
        )
        context.count += 1
    context.network.settle()


@behave.then("at most 1 MiB waits")
def check_waiting(context):
    assert 0 < context.log.buffered_bytes <= LIMIT_BYTES
    assert sum(context.log.dropped.values()) > 0


@behave.when("the pipe is read until no line waits")
def read_pipe(context):
    os.set_blocking(context.read_end, False)

    def step():
        with contextlib.suppress(BlockingIOError):
            context.read += os.read(context.read_end, 1 << 16)
            return False
        return not context.log.buffered_bytes

    context.network.turn_until(step, "no line waits")


@behave.then("every line that was not dropped was read whole and in order")
def check_read(context):
    text = context.read.decode()
    assert text.endswith("\n")
    lines = [line for line in text.splitlines() if "CW1007" not in line]
    found = [re.search(r" line=(\d+) fill=x{1000}$", line) for line in lines]
    assert all(found)
    numbers = [int(match[1]) for match in found]
    assert numbers == sorted(set(numbers))
    dropped = sum(context.log.dropped.values())
    assert len(numbers) + dropped == context.count, (len(numbers), dropped)


@behave.then('one line "CW1007" counts the dropped lines')
def check_report(context):
    reports = re.findall(r"CW1007 .* info=(\d+)", context.read.decode())
    dropped = context.log.dropped[logbuffer.Rank.INFO]
    assert reports == [str(dropped)], (reports, dropped)


@behave.when("the reader ends and {count:d} lines of {size:d} bytes are logged")
def end_reader(context, count, size):
    os.close(context.read_end)
    context.network.settle()
    log_lines(context, count, size)


@behave.then("the loop does not call the log more than once a second")
def check_calls(context):
    with unittest.mock.patch.object(
        logbuffer.os, "write", side_effect=BrokenPipeError
    ) as write:
        for _ in range(100):
            context.network.advance(0.1)
    assert 9 <= write.call_count <= 11, write.call_count
    assert context.log.buffered_bytes > 0


@behave.then("the shared descriptor is in {mode} mode")
def check_mode(context, mode):
    assert os.get_blocking(context.write_end) == (mode == "blocking")


@behave.when("the log is closed")
def close_log(context):
    context.log.close()


@behave.when("the log is closed while a thread reads the pipe")
def close_read_log(context):
    def read():
        # The closing byte comes after all lines, which hold none.
        while not context.read.endswith(b"\0"):
            context.read += os.read(context.read_end, 1 << 16)

    reader = threading.Thread(target=read)
    reader.start()
    context.log.close()
    os.write(context.write_end, b"\0")
    reader.join()
    context.read = context.read.removesuffix(b"\0")
