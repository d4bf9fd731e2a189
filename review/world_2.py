"""Stand-in platform, minions, operator and callers for review scripts.

Everything listens on loopback addresses and uses the real clock. The entries
are started with the command of the deploy file as separate processes.
"""

import asyncio
import base64
import dataclasses
import json
import os
import pathlib
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from typing import Any
from urllib import parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
COMMAND = ["python3", "-m", "clementinewood_platform.main"]
HEARTBEAT_SECONDS = 1.5
APPEND_SECONDS = 0.004
MAX_HOLD_MS = 6000
STOP_SECONDS = 0.05
MAINTENANCE_SECONDS = 2.0
KEY = "key-canvas"

SETTINGS = """node = "{name}"
role = "entry"
machine_class = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "{zone}"
region = "tas"
internal_ports = [{metrics},{forwarding}]
seeds = []
bootstrap = true
heartbeat_ms = 1500
control_mode = "invoke"
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
[bounds]
contact_ms = 3000
config_ms = 2000
grace_s = 6
max_hold_ms = 6000
lease_ms = 3000
early_ms = 250
visible_ms = 3000
cancel_ms = 3000
[platform]
address = "{store}"
form = "log"
writes_per_s = 600
reads_per_s = 2000
append_ms = 4.0
record_bytes = 262144
call_bytes = 2097152
[cloud]
address = "{cloud}"
rate_per_s = 64.0
duties = []
duty_per_s = 64.0
"""


_reserved: set[int] = set()


def reserve_ports(count: int) -> int:
    """Returns the first of `count` free adjacent ports, each time others."""
    for first in range(21000 + os.getpid() % 1000 * 32, 60000, count):
        if first in _reserved:
            continue
        sockets = []
        try:
            for port in range(first, first + count):
                item = socket.socket()
                sockets.append(item)
                item.bind(("127.0.0.1", port))
        except OSError:
            continue
        else:
            _reserved.add(first)
            return first
        finally:
            for item in sockets:
                item.close()
    raise RuntimeError("no free ports")


@dataclasses.dataclass
class Request:
    """One HTTP request."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def read_json(self) -> dict[str, Any]:
        """Returns the body's JSON object."""
        found: dict[str, Any] = json.loads(self.body)
        return found


Handler = Callable[[Request], Awaitable[tuple[int, bytes] | None]]


class HttpServer:
    """Serves HTTP/1.1 on a loopback port; None as an answer is silence."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self.port = 0

    async def start(self, port: int = 0) -> None:
        """Listens; port 0 picks a free one."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    @property
    def address(self) -> str:
        """Returns the address as `IP:PORT`."""
        return f"127.0.0.1:{self.port}"

    def close(self) -> None:
        """Closes the listener and resets every connection."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                answer = await self._handler(request)
                if answer is None:
                    await asyncio.sleep(3600)
                    break
                status, body = answer
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n%s" % (status, len(body), body)
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Reads one request; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    path, _, query = target.partition("?")
    return Request(method, path, dict(parse.parse_qsl(query)), headers, body)


def render(fields: dict[str, Any], status: int = 200) -> tuple[int, bytes]:
    """Returns an answer with a JSON body."""
    return status, json.dumps(fields).encode()


class Topic:
    """One keyed topic with a single partition."""

    def __init__(self) -> None:
        self.records: list[tuple[str, bytes]] = []
        self.newest: dict[str, int] = {}
        self.epoch = -1
        self.sequence = -1
        self.recent: dict[int, int] = {}
        self.lock = asyncio.Lock()
        self.changed = asyncio.Condition()

    async def append(self, items: list[tuple[str, bytes]]) -> int:
        """Appends records and returns the offset of the first."""
        offset = len(self.records)
        for key, value in items:
            self.newest[key] = len(self.records)
            if not value:
                del self.newest[key]
            self.records.append((key, value))
        async with self.changed:
            self.changed.notify_all()
        return offset


class Store:
    """The platform's store."""

    def __init__(self, world: "World") -> None:
        self.world = world
        self.topics: dict[str, Topic] = {}
        self.server = HttpServer(self.handle)

    def topic(self, name: str) -> Topic:
        """Returns a topic, which is created on first use."""
        return self.topics.setdefault(name, Topic())

    async def put(self, topic: str, key: str, value: dict[str, Any]) -> None:
        """Stores a record of the operator or of a minion."""
        data = json.dumps(value).encode()
        await self.topic(topic).append([(key, data)])

    async def delete(self, topic: str, key: str) -> None:
        """Removes a key."""
        await self.topic(topic).append([(key, b"")])

    async def handle(self, request: Request) -> tuple[int, bytes] | None:
        """Serves one call."""
        topic = self.topic(request.query.get("topic", ""))
        match request.path:
            case "/-/log-append":
                return await self._append(topic, request)
            case "/-/log-read":
                return await self._read(topic, request)
            case "/-/log-newest":
                return self._newest(topic, request)
        return render({}, 404)

    async def _append(self, topic: Topic, request: Request) -> Any:
        items = decode_items(request.body)
        async with topic.lock:
            if "epoch" in request.query:
                epoch = int(request.query["epoch"])
                sequence = int(request.query["seq"])
                if epoch < topic.epoch:
                    return render({"reason": "fenced"}, 409)
                if epoch == topic.epoch:
                    if sequence in topic.recent:
                        first = topic.recent[sequence]
                        return render({"offset": first, "end": first + 1})
                    if sequence != topic.sequence + 1:
                        return render(
                            {"reason": "seq", "seq": topic.sequence + 1}, 409
                        )
                else:
                    topic.recent = {}
                topic.epoch, topic.sequence = epoch, sequence
            await asyncio.sleep(APPEND_SECONDS)
            offset = await topic.append(items)
            if "epoch" in request.query:
                topic.recent[topic.sequence] = offset
                for old in sorted(topic.recent)[:-5]:
                    del topic.recent[old]
        return render({"offset": offset, "end": len(topic.records)})

    async def _read(self, topic: Topic, request: Request) -> Any:
        offset = int(request.query["from"])
        wait = int(request.query.get("wait_ms", "0")) / 1000.0
        if len(topic.records) <= offset and wait:
            try:
                async with asyncio.timeout(wait), topic.changed:
                    await topic.changed.wait_for(
                        lambda: len(topic.records) > offset
                    )
            except TimeoutError:
                pass
        limit = int(request.query.get("max_kb", "1024")) * 1024
        parts = [len(topic.records).to_bytes(8, "big"), (0).to_bytes(8, "big")]
        size = 0
        for key, value in topic.records[offset:]:
            name = key.encode()
            data = bytes((len(name),)) + name + value
            size += len(data) + 4
            if size > limit and len(parts) > 2:
                break
            parts.append(len(data).to_bytes(4, "big") + data)
        return 200, b"".join(parts)

    def _newest(self, topic: Topic, request: Request) -> Any:
        after = request.query.get("after", "")
        keys = sorted(key for key in topic.newest if key > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(
                    topic.records[topic.newest[key]][1]
                ).decode(),
                "offset": topic.newest[key],
            }
            for key in keys[:500]
        ]
        return render(
            {
                "items": items,
                "more": len(keys) > 500,
                "end": len(topic.records),
            }
        )


def decode_items(body: bytes) -> list[tuple[str, bytes]]:
    """Decodes the keyed records of an append."""
    items = []
    place = 0
    while place < len(body):
        size = int.from_bytes(body[place : place + 4], "big")
        record = body[place + 4 : place + 4 + size]
        place += 4 + size
        length = record[0]
        items.append((record[1 : 1 + length].decode(), record[1 + length :]))
    return items


@dataclasses.dataclass
class Run:
    """One run of a task on a minion."""

    task: str
    number: int
    started: float
    seconds: float | None
    room: tuple[int, int]
    lasting: bool


class Minion:
    """One life of a machine."""

    def __init__(self, machine: "Machine") -> None:
        self.machine = machine
        world = machine.world
        world.minions_made += 1
        self.minion_id = f"i-{world.minions_made:06x}"
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.fence = 0
        self.deadline = 0
        self.runs: dict[tuple[str, int], Run] = {}
        self.highest: dict[str, int] = {}
        self.ended: list[list[Any]] = []
        self.end_number = 0
        self.sequence = 0
        self.cut = False
        self.alive = True
        self.changed = asyncio.Event()
        self.server = HttpServer(self.handle)
        self.tasks: list[asyncio.Task[None]] = []

    def clock_ms(self) -> int:
        """Returns its steady clock in milliseconds."""
        return int((time.monotonic() - self.began) * 1000)

    async def start(self) -> None:
        """Listens and registers."""
        await self.server.start()
        self.tasks = [
            asyncio.create_task(self._register()),
            asyncio.create_task(self._tick()),
        ]

    def end_life(self) -> None:
        """Ends at once, as in a crash."""
        self.alive = False
        for item in self.tasks:
            item.cancel()
        self.server.close()
        for run in self.runs.values():
            self.machine.world.log(
                "run-gone", task=run.task, run=run.number, minion=self.minion_id
            )
        self.runs.clear()

    async def _register(self) -> None:
        store = self.machine.world.store
        while True:
            self.sequence += 1
            await store.put(
                "keyed.servers",
                self.minion_id,
                {
                    "service": self.machine.pool,
                    "address": self.server.address,
                    "zone": self.machine.zone,
                    "version": "v1",
                    "slots": 8,
                    "state": "ready",
                    "seq": self.sequence,
                    "born": self.born,
                    "capacity": self.machine.capacity,
                    "labels": self.machine.labels,
                },
            )
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _tick(self) -> None:
        while True:
            now = time.monotonic()
            for run in list(self.runs.values()):
                if run.seconds is not None and now >= run.started + run.seconds:
                    self.end_run(run, "done")
            if self.runs and self.clock_ms() >= self.deadline:
                for run in list(self.runs.values()):
                    self.end_run(run, "lapsed")
            await asyncio.sleep(0.01)

    def end_run(self, run: Run, how: str) -> None:
        """Ends a run and lists its end."""
        if self.runs.pop((run.task, run.number), None) is None:
            return
        self.end_number += 1
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        self.ended.append([self.end_number, run.task, run.number, how, ""])
        self.machine.world.log(
            "run-ended",
            task=run.task,
            run=run.number,
            minion=self.minion_id,
            how=how,
        )
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, request: Request) -> tuple[int, bytes] | None:
        """Serves one order."""
        if self.cut:
            return None
        wanted = request.headers.get("x-expect-instance")
        if wanted and wanted != self.minion_id:
            return self._answer(421)
        fields = request.read_json()
        fence = fields.get("fencing_token", 0)
        if fence < self.fence:
            return self._answer(409, reason="fence")
        self.fence = fence
        match request.path:
            case "/-/run-start":
                return self._start(fields)
            case "/-/run-stop":
                return self._stop(fields)
            case "/-/hold":
                return await self._hold(fields)
            case "/-/pace":
                return self._answer(200)
        return self._answer(404)

    def _answer(self, status: int, **fields: Any) -> tuple[int, bytes]:
        fields.update(clock_ms=self.clock_ms(), born=self.born)
        return render(fields, status)

    def _extend(self, deadline: int | None) -> None:
        if deadline is not None:
            most = self.clock_ms() + MAX_HOLD_MS
            self.deadline = max(self.deadline, min(deadline, most))

    def _start(self, fields: dict[str, Any]) -> tuple[int, bytes]:
        task, number = fields["task"], fields["run"]
        if (task, number) in self.runs:
            self._extend(fields["deadline_ms"])
            return self._answer(200)
        if number <= self.highest.get(task, 0):
            self._extend(fields["deadline_ms"])
            return self._answer(409, reason="old")
        if fields["deadline_ms"] <= self.clock_ms():
            return self._answer(409, reason="late")
        step = self.machine.world.find_step(task)
        need = (step.get("cpu", 0), step.get("mem_mb", 0))
        used = [sum(run.room[i] for run in self.runs.values()) for i in (0, 1)]
        self._extend(fields["deadline_ms"])
        if (
            used[0] + need[0] > self.machine.capacity["cpu"]
            or used[1] + need[1] > self.machine.capacity["mem_mb"]
        ):
            return self._answer(409, reason="room")
        lasting = bool(step.get("long_running"))
        seconds = None if lasting else self.machine.world.work_seconds(task)
        run = Run(task, number, time.monotonic(), seconds, need, lasting)
        self.runs[task, number] = run
        self.machine.world.log(
            "run-started", task=task, run=number, minion=self.minion_id
        )
        return self._answer(200)

    def _stop(self, fields: dict[str, Any]) -> tuple[int, bytes]:
        task, number = fields["task"], fields["run"]
        self.machine.world.log(
            "stop-ordered", task=task, run=number, minion=self.minion_id
        )
        run = self.runs.get((task, number))
        if run is None:
            self.highest[task] = max(self.highest.get(task, 0), number)
        else:
            loop = asyncio.get_running_loop()
            loop.call_later(STOP_SECONDS, self.end_run, run, "stopped")
        return self._answer(200)

    async def _hold(self, fields: dict[str, Any]) -> tuple[int, bytes] | None:
        self._extend(fields.get("deadline_ms"))
        acked = fields.get("ack_cursor", 0)
        self.ended = [row for row in self.ended if row[0] > acked]
        wait = min(fields.get("wait_ms", 0), 2000) / 1000.0
        if wait and not self.ended:
            try:
                async with asyncio.timeout(wait):
                    await self.changed.wait()
            except TimeoutError:
                pass
        if self.cut or not self.alive:
            return None
        now = time.monotonic()
        running = [
            [
                run.task,
                run.number,
                "",
                100 if run.lasting and now - run.started > 0.7 else 50,
                0,
            ]
            for run in self.runs.values()
        ]
        return self._answer(200, running=running, ended=self.ended[:500])


class Machine:
    """A machine, which runs one minion after another."""

    def __init__(
        self,
        world: "World",
        name: str,
        pool: str,
        zone: str,
        labels: list[str],
        capacity: dict[str, int],
    ) -> None:
        self.world = world
        self.name = name
        self.pool = pool
        self.zone = zone
        self.labels = labels
        self.capacity = capacity
        self.state = "up"
        self.minion: Minion | None = None

    async def boot(self) -> None:
        """Starts a new minion."""
        self.minion = Minion(self)
        await self.minion.start()
        self.state = "up"
        self.world.log(
            "machine-up", machine=self.name, minion=self.minion.minion_id
        )

    def crash(self) -> None:
        """Ends the minion; its entry goes after three heartbeats."""
        minion, self.minion = self.minion, None
        assert minion is not None
        self.state = "down"
        self.world.log(
            "machine-crash", machine=self.name, minion=minion.minion_id
        )
        minion.end_life()
        asyncio.get_running_loop().call_later(
            3 * HEARTBEAT_SECONDS,
            lambda: asyncio.ensure_future(
                self.world.store.delete("keyed.servers", minion.minion_id)
            ),
        )

    def describe(self) -> dict[str, Any]:
        """Returns its row in the list of machines."""
        return {
            "machine": self.name,
            "pool": self.pool,
            "state": self.state,
            "zone": self.zone,
            "labels": self.labels,
            "capacity": self.capacity,
            "id": self.minion.minion_id if self.minion is not None else "",
        }


class Entry:
    """One entry process of the system."""

    def __init__(self, world: "World", name: str, zone: str) -> None:
        self.world = world
        self.name = name
        first = reserve_ports(4)
        self.front = first
        self.ready = first + 1
        world.folder.mkdir(exist_ok=True)
        self.path = world.folder / f"{name}.toml"
        self.path.write_text(
            SETTINGS.format(
                name=name,
                zone=zone,
                front=first,
                ready=first + 1,
                metrics=first + 2,
                forwarding=first + 3,
                store=world.store.server.address,
                cloud=world.cloud.address,
            )
        )
        self.child: asyncio.subprocess.Process | None = None
        self.started_at = 0.0

    async def start(self, stdout: Any = None) -> None:
        """Starts the process with the command of the deploy file."""
        if stdout is None:
            stdout = (self.world.folder / f"{self.name}.log").open("ab")
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["CLEMENTINEWOOD_CONFIG"] = str(self.path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        self.child = await asyncio.create_subprocess_exec(
            *COMMAND,
            cwd=ROOT,
            env=environment,
            stdout=stdout,
            stderr=asyncio.subprocess.STDOUT,
        )
        self.started_at = self.world.now()
        self.world.log("entry-started", entry=self.name)

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        assert self.child is not None
        self.world.log("signal", entry=self.name, signal=number.name)
        self.child.send_signal(number)


@dataclasses.dataclass
class Answer:
    """Answer to a caller; status 0 if there was none."""

    status: int
    fields: dict[str, Any]


class World:
    """The platform, its minions, and callers."""

    def __init__(self) -> None:
        self.began = time.monotonic()
        self.lines: list[str] = []
        self.events: list[dict[str, Any]] = []
        self.minions_made = 0
        self.jobs: dict[str, dict[str, Any]] = {}
        self.machines: dict[str, Machine] = {}
        self.entries: list[Entry] = []
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = pathlib.Path(self.temporary.name)
        self.store = Store(self)
        self.cloud = HttpServer(self._handle_cloud)
        self.fences: dict[str, int] = {}
        self.waves: dict[int, list[str]] = {}
        self.serviced: set[tuple[int, str]] = set()
        self.on_machine_order: Callable[[str], None] | None = None
        self.task_seconds = 1.0

    def log(self, what: str, **fields: Any) -> None:
        """Records an event."""
        at = round(time.monotonic() - self.began, 3)
        event = {"at": at, "what": what, **fields}
        self.events.append(event)
        self.lines.append(
            f"{at:8.3f} {what} "
            + " ".join(f"{name}={value}" for name, value in fields.items())
        )

    def now(self) -> float:
        """Returns seconds since the start."""
        return time.monotonic() - self.began

    def find_step(self, task: str) -> dict[str, Any]:
        """Returns the step of a task."""
        job_id, _, step, _ = task.split(".")
        found: dict[str, Any] = self.jobs[job_id]["steps"][int(step)]
        return found

    def work_seconds(self, task: str) -> float:
        """Returns how long a task works."""
        return float(self.find_step(task).get("estimate_ms", 1000)) / 1000.0

    async def _handle_cloud(self, request: Request) -> tuple[int, bytes] | None:
        if request.path == "/-/machines":
            rows = [item.describe() for item in self.machines.values()]
            return render({"machines": rows, "next_page_token": ""})
        fields = request.read_json()
        machine = self.machines.get(fields.get("machine", ""))
        if machine is None:
            return render({}, 400)
        token = int(request.headers["x-fencing-token"])
        answer = self._order_machine(machine, request.path, fields, token)
        self.log(
            "machine-order",
            path=request.path,
            machine=machine.name,
            holder=request.headers["x-lease-holder"],
            token=token,
            status=answer[0],
        )
        if self.on_machine_order is not None:
            self.on_machine_order(request.headers["x-lease-holder"])
        return answer

    def _order_machine(
        self, machine: Machine, path: str, fields: dict[str, Any], token: int
    ) -> tuple[int, bytes]:
        if token < self.fences.get(machine.name, 0):
            return render({"reason": "fence"}, 409)
        self.fences[machine.name] = token
        wave = fields.get("wave")
        pool = fields.get("pool", machine.pool)
        if path == "/-/machine-upkeep":
            if machine.name not in self.waves.get(wave, ()):
                return render({"reason": "wave"}, 409)
            if (wave, machine.name) in self.serviced:
                return render({})
        elif pool == machine.pool:
            return render({})
        if machine.state != "up":
            return render({"reason": "busy"}, 409)
        machine.crash()
        machine.state = "upkeep"
        if path == "/-/machine-upkeep":
            self.serviced.add((wave, machine.name))
        else:
            machine.pool = pool
            machine.state = "moving"
        asyncio.get_running_loop().call_later(
            MAINTENANCE_SECONDS, lambda: asyncio.ensure_future(machine.boot())
        )
        return render({})

    async def declare_wave(
        self, number: int, machines: list[str], seconds: float, cap: int
    ) -> None:
        """Writes a maintenance wave."""
        self.waves[number] = machines
        await self.store.put(
            "keyed.op",
            f"wave/{number}",
            {
                "wave": number,
                "machines": machines,
                "duration_s": seconds,
                "cap": cap,
            },
        )
        self.log("wave", wave=number, machines=",".join(machines))

    async def start(
        self, machines: list[Machine], zones: list[str], stdouts: Any = None
    ) -> None:
        """Starts the platform, the minions and one entry in each zone."""
        await self.store.server.start()
        await self.cloud.start()
        for machine in machines:
            self.machines[machine.name] = machine
            await machine.boot()
        for number, zone in enumerate(zones):
            entry = Entry(self, f"edge-{zone}-1", zone)
            self.entries.append(entry)
            await entry.start(stdouts[number] if stdouts else None)

    def cut(self, machine: Machine, cut: bool) -> None:
        """Partitions a minion from the entries, or ends that.

        The minion runs on and reaches the store.
        """
        assert machine.minion is not None
        machine.minion.cut = cut
        self.log("cut" if cut else "cut-healed", machine=machine.name)

    async def configure(self, fields: dict[str, Any]) -> None:
        """Writes the configuration."""
        await self.store.put("keyed.op", "config", fields)
        self.log("configured", version=fields["version"])

    async def call(
        self,
        entry: Entry,
        method: str,
        path: str,
        body: dict[str, Any] | None = None,
        timeout: float = 3.0,
    ) -> Answer:
        """Sends one request of a caller over a new connection."""
        data = b"" if body is None else json.dumps(body).encode()
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: pule25.example\r\n"
            f"Authorization: Bearer {KEY}\r\n"
            f"X-Deadline-Ms: {int(timeout * 1000)}\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(data)}\r\n\r\n"
        )
        answer = Answer(0, {})
        writer = None
        try:
            async with asyncio.timeout(timeout):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", entry.front
                )
                writer.write(head.encode() + data)
                raw = await reader.readuntil(b"\r\n\r\n")
                status = int(raw.split(b" ", 2)[1])
                length = 0
                for line in raw.decode("latin-1").split("\r\n"):
                    name, _, value = line.partition(":")
                    if name.lower() == "content-length":
                        length = int(value)
                found = await reader.readexactly(length)
                answer = Answer(status, json.loads(found or b"{}"))
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        finally:
            if writer is not None:
                writer.close()
        self.log(
            "answered",
            entry=entry.name,
            method=method,
            path=path,
            status=answer.status,
            body=json.dumps(answer.fields),
        )
        return answer

    async def submit(
        self, entry: Entry, queue: str, job_id: str, job: dict[str, Any]
    ) -> Answer:
        """Submits a job."""
        self.jobs[job_id] = job
        return await self.call(entry, "POST", f"/{queue}/{job_id}", job)

    async def wait_ready(self, seconds: float = 30.0) -> bool:
        """Waits until every entry is ready for callers."""
        end = time.monotonic() + seconds
        for entry in self.entries:
            while time.monotonic() < end:
                if await self.is_ready(entry):
                    break
                await asyncio.sleep(0.2)
            else:
                return False
        return True

    async def is_ready(self, entry: Entry) -> bool:
        """Whether an entry answers the readiness check with 200."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", entry.ready
                )
                writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        except (OSError, TimeoutError):
            return False

    async def stop(self) -> None:
        """Ends every process and writes nothing more."""
        for entry in self.entries:
            child = entry.child
            if child is not None and child.returncode is None:
                child.kill()
                await child.wait()
        for machine in self.machines.values():
            if machine.minion is not None:
                machine.minion.end_life()
        self.store.server.close()
        self.cloud.close()

    def find_log(self, name: str) -> str:
        """Returns the lines that an entry has written."""
        path = self.folder / f"{name}.log"
        return path.read_text(errors="replace") if path.exists() else ""


def make_route(name: str, service: str, **fields: Any) -> dict[str, Any]:
    """Returns a route of the configuration."""
    return {
        "name": name,
        "host": "pule25.example",
        "path_prefix": f"/{name}/",
        "service": service,
        "max_attempts": 2,
        "stretch": 1.6,
        **fields,
    }


def make_configuration(
    routes: list[dict[str, Any]], services: list[str], version: int = 3
) -> dict[str, Any]:
    """Returns a configuration with one tenant without a limit."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "enforces_capacity": True} for name in services
        ],
        "tenants": [{"name": "canvas", "api_keys": [KEY], "weight": 4}],
        "limits": {},
    }


def run_case(
    scenario: Callable[[World, bool], Awaitable[int]], folder: pathlib.Path
) -> int:
    """Runs a scenario and writes `record.txt`; returns the exit status."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> int:
        world = World()
        status = 2
        try:
            async with asyncio.timeout(110.0):
                status = await scenario(world, trouble)
        except TimeoutError:
            world.log("timed-out")
        finally:
            await world.stop()
            world.log("exit", status=status, trouble=trouble)
            (folder / "record.txt").write_text("\n".join(world.lines) + "\n")
            world.temporary.cleanup()
        return status

    return asyncio.run(run())


if __name__ == "__main__":
    print("import this module", file=sys.stderr)
    sys.exit(2)
