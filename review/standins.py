"""Stand-ins for the platform of a small deployment, on loopback.

Written from PROTOCOL.md, RULES.md and DEPLOY.md for the cases in review/.
One asyncio process serves the store, the machine service and the minions; the
entries are the project's own program, started with the command of the deploy
file. Only the standard library is used.
"""

import asyncio
import base64
import bisect
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from urllib import parse

ROOT = pathlib.Path(__file__).resolve().parents[1]
HEARTBEAT_S = 1.5
STOP_S = 0.1
MAX_HOLD_S = 6.0
GANG_TIMEOUT_S = 3.0
APPEND_S = 0.004
RECORD_BYTES = 262144
CALL_BYTES = 2097152
STORE_BYTES = 400_000_000
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
MEMORY_MB = 300
RESTART_S = 0.5
GRACE_S = 6.0

STATUS = {
    200: "OK",
    400: "Bad Request",
    403: "Forbidden",
    404: "Not Found",
    409: "Conflict",
    410: "Gone",
    412: "Precondition Failed",
    421: "Misdirected Request",
    429: "Too Many Requests",
    503: "Service Unavailable",
    507: "Insufficient Storage",
}

SETTINGS = """node = "{name}"
role = "entry"
machine_class = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "{zone}"
region = "tas"
internal_ports = [{internal},{last}]
seeds = []
bootstrap = true
in_fault_budget = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
control_mode = "invoke"
contracts = [
  "base","drain","config","cost","recover","sched","tenants","quota","places",
  "platform","upkeep",
]
[zones]
hobart = "tas"
launceston = "tas"
burnie = "tas"
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
control = "127.0.0.1:{control}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
slack_ms = 200
config_ms = 2000
rollback_slack_ms = 250
strict_revoke = true
revoke_ms = 5000
evac_ms = 5000
recover_s = 12
max_hold_ms = 6000
stop_timeout_ms = 200
gang_timeout_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
move_s = 1.5
maintenance_s = 2
require_fencing = true
lease_ms = 3000
[platform]
address = "{store}"
form = "log"
writes_per_s = 600
reads_per_s = 2000
parts = 8
append_ms = 4.0
partition_mb_s = 20.0
read_mb_s = 80.0
record_bytes = 262144
call_bytes = 2097152
keep_s = 300
part_mb = 200
min_ttl_ms = 1000
[cloud]
address = "{cloud}"
rate_per_s = 64.0
duties = []
duty_per_s = 64.0
"""


class SilentError(Exception):
    """The call gets no answer; its connection returns nothing further."""


class ResetError(Exception):
    """The connection is closed without an answer."""


def free_port(count=1):
    """Returns the first of `count` adjacent free ports."""
    while True:
        base = random.randrange(20000, 32000)
        socks = []
        try:
            for port in range(base, base + count):
                sock = socket.socket()
                socks.append(sock)
                sock.bind(("127.0.0.1", port))
            return base
        except OSError:
            continue
        finally:
            for sock in socks:
                sock.close()


async def read_message(reader):
    """Returns first line, headers and body of one HTTP message, or None."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return lines[0], headers, body


class Server:
    """Serves HTTP/1.1 with keep-alive; `handle` returns status and body."""

    def __init__(self, handle):
        self.handle = handle
        self.address = ""
        self.server = None
        self.writers = set()

    async def start(self):
        """Listens on a free port."""
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=1 << 24
        )
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                path, _, query = target.partition("?")
                try:
                    status, answer = await self.handle(
                        method,
                        path,
                        dict(parse.parse_qsl(query)),
                        headers,
                        body,
                    )
                except SilentError:
                    # Whatever comes on this connection is lost.
                    while await reader.read(65536):
                        pass
                    return
                except ResetError:
                    return
                if not isinstance(answer, bytes):
                    answer = json.dumps(answer).encode()
                writer.write(
                    b"HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n"
                    % (status, STATUS.get(status, "X").encode(), len(answer))
                    + answer
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def reset_all(self):
        """Resets all open connections."""
        for writer in list(self.writers):
            writer.transport.abort()


class Partition:
    """The only partition of one keyed topic."""

    def __init__(self):
        self.records = []
        self.newest = {}
        self.bytes = 0
        self.epoch = 0
        self.seq = None
        self.recent = {}
        self.changed = asyncio.Event()
        self.lock = asyncio.Lock()

    def put(self, key, value):
        """Appends one record and returns its offset."""
        offset = len(self.records)
        self.records.append((key, value))
        old = self.newest.pop(key, None)
        if old is not None:
            self.bytes -= len(old[0])
        if value:
            self.newest[key] = (value, offset)
            self.bytes += len(value)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        return offset


class Store:
    """The platform's metadata store."""

    def __init__(self, site):
        self.site = site
        self.topics = {}

    def topic(self, name):
        """Returns the partition of a topic, created on first use."""
        return self.topics.setdefault(name, Partition())

    def put(self, topic, key, value):
        """Writes as the operator or a minion does."""
        return self.topic(topic).put(
            key, json.dumps(value).encode() if value is not None else b""
        )

    async def handle(self, method, path, query, headers, body):
        """Answers one call."""
        match path:
            case "/-/log-append":
                return await self.append(query, body)
            case "/-/log-read":
                return await self.read(query)
            case "/-/log-newest":
                return await self.newest(query)
        return 404, {}

    async def append(self, query, body):
        """Answers `POST /-/log-append`."""
        name = query["topic"]
        if name in ("keyed.op", "keyed.servers"):
            return 403, {}
        items, place = [], 0
        largest = 0
        while place < len(body):
            size = int.from_bytes(body[place : place + 4], "big")
            record = body[place + 4 : place + 4 + size]
            place += 4 + size
            largest = max(largest, size)
            key = record[1 : 1 + record[0]].decode()
            items.append((key, record[1 + record[0] :]))
        if largest > RECORD_BYTES or len(body) > CALL_BYTES:
            self.site.note_refused(name, largest, len(body))
            return 400, {"error": "record_bytes or call_bytes exceeded"}
        part = self.topic(name)
        async with part.lock:
            await asyncio.sleep(APPEND_S)
            if sum(p.bytes for p in self.topics.values()) > STORE_BYTES:
                return 507, {}
            if "epoch" in query:
                epoch, seq = int(query["epoch"]), int(query["seq"])
                if epoch < part.epoch:
                    return 409, {"reason": "fenced"}
                if epoch == part.epoch:
                    if seq in part.recent:
                        return 200, part.recent[seq]
                    if part.seq is not None and seq != part.seq + 1:
                        return 409, {"reason": "seq", "seq": part.seq + 1}
                else:
                    part.recent = {}
                part.epoch, part.seq = epoch, seq
            first = len(part.records)
            for key, value in items:
                part.put(key, value)
            answer = {"offset": first, "end": len(part.records)}
            if "epoch" in query:
                part.recent[seq] = answer
                part.recent = dict(list(part.recent.items())[-5:])
            return 200, answer

    async def read(self, query):
        """Answers `GET /-/log-read`."""
        part = self.topic(query["topic"])
        start = int(query["from"])
        wait = int(query.get("wait_ms", 0)) / 1000.0
        limit = int(query.get("max_kb", 1024)) * 1024
        end_at = time.monotonic() + wait
        while len(part.records) <= start:
            left = end_at - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(part.changed.wait(), left)
            except TimeoutError:
                break
        await asyncio.sleep(0.002)
        out = [struct.pack(">QQ", len(part.records), 0)]
        size = 0
        for key, value in part.records[start:]:
            name = key.encode()
            record = bytes((len(name),)) + name + value
            if size and size + len(record) > limit:
                break
            size += len(record) + 4
            out.append(struct.pack(">I", len(record)) + record)
        return 200, b"".join(out)

    async def newest(self, query):
        """Answers `GET /-/log-newest`."""
        part = self.topic(query["topic"])
        await asyncio.sleep(0.004)
        keys = self.site.sorted_keys(query["topic"], part)
        after = query.get("after", "")
        place = bisect.bisect_right(keys, after) if after else 0
        items, size = [], 0
        while place < len(keys) and len(items) < PAGE_ITEMS:
            found = part.newest.get(keys[place])
            if found is not None:
                size += len(found[0])
                if items and size > PAGE_BYTES:
                    break
                items.append(
                    {
                        "key": keys[place],
                        "value": base64.b64encode(found[0]).decode(),
                        "offset": found[1],
                    }
                )
            place += 1
        return 200, {
            "items": items,
            "more": place < len(keys),
            "end": len(part.records),
        }


class Gate:
    """One entry's way to the store."""

    def __init__(self, store, entry):
        self.store = store
        self.entry = entry
        self.mode = "pass"

    async def handle(self, *call):
        """Passes a call on, refuses it or leaves it unanswered."""
        if self.mode == "pass" and "epoch" in call[2]:
            self.store.site.last_writer = self.entry
        if self.mode == "silent":
            raise SilentError
        if self.mode == "busy":
            return 503, {}
        answer = await self.store.handle(*call)
        if self.mode == "silent":
            raise SilentError
        return (503, {}) if self.mode == "busy" else answer


class Minion:
    """One worker. A task's spec says how its runs go (see `plan_run`)."""

    def __init__(self, site, number, service, zone):
        self.site = site
        self.machine = f"mx-{number:02d}"
        self.id = f"i-{number:02d}{random.randrange(1 << 24):06x}"
        self.service = service
        self.zone = zone
        self.labels = ["a", f"r{number % 3}-{number % 2}"]
        self.capacity = {"cpu": 32000, "mem_mb": 65536, "gpu": 0}
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.token = 0
        self.deadline = 0.0
        self.running = {}
        self.ended = []
        self.next_end = 1
        self.closed = {}
        self.cut = False
        self.heard = time.monotonic()
        self.listed = False
        self.wake = asyncio.Event()
        self.on_reported = None
        self.bad = False
        self.down = False

    @property
    def clock(self):
        """The steady clock of this life, in seconds."""
        return time.monotonic() - self.began + 5.0

    def used(self):
        """Returns the room that its runs take."""
        total = {"cpu": 0, "mem_mb": 0}
        for row in self.running.values():
            total["cpu"] += row["need"][0]
            total["mem_mb"] += row["need"][1]
        return total

    async def handle(self, method, path, query, headers, body):
        """Answers one call."""
        if self.down:
            raise ResetError
        if self.cut:
            raise SilentError
        if path == "/healthz":
            return 200, {}
        if headers.get("x-expect-instance") not in (None, self.id):
            return 421, {}
        fields = json.loads(body or b"{}")
        call = {
            "/-/run-start": self.start,
            "/-/run-stop": self.stop,
            "/-/hold": self.hold,
            "/-/pace": self.pace,
        }.get(path)
        if call is None:
            return 404, {}
        token = fields.get("fencing_token", 0)
        if token < self.token:
            return 409, {"reason": "fence", "clock_ms": int(self.clock * 1000)}
        self.token = token
        status, answer = await call(fields)
        if self.cut:
            raise SilentError
        answer["clock_ms"] = int(self.clock * 1000)
        answer["born"] = self.born
        if self.on_reported is not None and answer.get("ended"):
            asyncio.get_running_loop().call_later(
                0.0, self.on_reported, answer["ended"]
            )
        return status, answer

    def extend(self, fields):
        """Extends the lease, never beyond `max_hold_ms`."""
        if "deadline_ms" in fields:
            wanted = fields["deadline_ms"] / 1000.0
            self.deadline = max(
                self.deadline, min(wanted, self.clock + MAX_HOLD_S)
            )

    async def start(self, fields):
        """Answers `POST /-/run-start`."""
        name, run = fields["task"], fields["run"]
        if fields["deadline_ms"] / 1000.0 < self.clock:
            return 409, {"reason": "late"}
        self.extend(fields)
        known = self.running.get(name)
        if known is not None and known["run"] == run:
            return 200, {}
        if known is not None or run <= self.closed.get(name, 0):
            return 409, {"reason": "old"}
        need, seconds, how = self.site.plan_run(name, fields["spec"])
        used = self.used()
        if (
            used["cpu"] + need[0] > self.capacity["cpu"]
            or used["mem_mb"] + need[1] > self.capacity["mem_mb"]
        ):
            return 409, {"reason": "room"}
        self.running[name] = {
            "run": run,
            "ends": self.clock + seconds,
            "how": how,
            "need": need,
            "stopping": False,
        }
        self.site.on_start(self, name, run)
        if self.bad:
            self.end(name, "failed")
        else:
            self.site.join_gang(self, name, run, fields["spec"])
        return 200, {}

    async def stop(self, fields):
        """Answers `POST /-/run-stop`."""
        name, run = fields["task"], fields["run"]
        self.closed[name] = max(run, self.closed.get(name, 0))
        row = self.running.get(name)
        if row is not None and row["run"] == run and not row["stopping"]:
            row["stopping"] = True
            row["ends"] = self.clock + STOP_S
            row["how"] = "stopped"
        return 200, {}

    async def pace(self, fields):
        """Answers `POST /-/pace`."""
        return 200, {}

    async def hold(self, fields):
        """Answers `POST /-/hold`."""
        cursor = fields["ack_cursor"]
        for row in self.ended:
            if row[0] <= cursor:
                self.site.on_noted(self, row)
        self.ended = [row for row in self.ended if row[0] > cursor]
        self.extend(fields)
        wait = min(fields.get("wait_ms", 0), 2000) / 1000.0
        if wait and not self.ended:
            self.wake = self.wake if not self.wake.is_set() else asyncio.Event()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.wake.wait(), wait)
        return 200, {
            "running": [
                [name, row["run"], "", 100, 0]
                for name, row in self.running.items()
            ],
            "ended": [list(row) for row in self.ended[:500]],
        }

    def end(self, name, how):
        """Ends a run and lists its end."""
        row = self.running.pop(name)
        self.closed[name] = max(row["run"], self.closed.get(name, 0))
        entry = (self.next_end, name, row["run"], how, "")
        self.next_end += 1
        self.ended.append(entry)
        self.site.on_end(self, entry)
        self.wake.set()
        self.site.break_gang(name, row["run"], how)

    def rebirth(self):
        """Begins the next life: under a new id, knowing nothing."""
        self.id = f"i-{random.randrange(1 << 32):08x}"
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.token = 0
        self.deadline = 0.0
        self.running = {}
        self.ended = []
        self.next_end = 1
        self.closed = {}
        self.down = False

    def tick(self):
        """Ends the runs that are over or whose lease has lapsed."""
        now = self.clock
        lapsed = now > self.deadline
        for name, row in list(self.running.items()):
            if row["ends"] <= now:
                self.end(name, row["how"])
            elif lapsed:
                self.end(name, "lapsed")

    def render(self):
        """Returns what it says of itself in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "seq": int(time.monotonic() * 10),
            "capacity": self.capacity,
            "labels": self.labels,
            "born": self.born,
        }

    async def beat(self):
        """Registers in the store while it can; else its entry expires."""
        while True:
            if self.down:
                pass
            elif not self.cut:
                self.heard = time.monotonic()
                self.listed = True
                self.site.store.put("keyed.servers", self.id, self.render())
            elif (
                self.listed and time.monotonic() - self.heard > 3 * HEARTBEAT_S
            ):
                self.listed = False
                self.site.store.put("keyed.servers", self.id, None)
                self.site.log("list", f"{self.id} silent, its entry is removed")
            await asyncio.sleep(HEARTBEAT_S if not self.cut else 0.1)


class MachineService:
    """Lists machines; there is no spare pool, so nothing is moved."""

    def __init__(self, site):
        self.site = site

    async def handle(self, method, path, query, headers, body):
        """Answers one call."""
        if path == "/-/machines":
            return 200, {
                "next_page_token": None,
                "machines": [
                    {
                        "machine": m.machine,
                        "pool": m.service,
                        "state": "down" if m.down else "up",
                        "zone": m.zone,
                        "labels": m.labels,
                        "capacity": m.capacity,
                        "id": "" if m.down else m.id,
                    }
                    for m in self.site.minions
                ],
            }
        return 409, {"reason": "busy"}


class Entry:
    """One entry process, started with the command of the deploy file."""

    def __init__(self, site, name, zone):
        self.site = site
        self.name = name
        self.zone = zone
        self.gate = Gate(site.store, self)
        self.child = None
        self.kills = 0
        self.starts = 0
        self.peak_mb = 0.0
        self.wanted = True

    async def prepare(self):
        """Writes its settings file."""
        server = await self.site.serve(self.gate.handle)
        base = free_port(5)
        self.front, self.ready, control, internal = range(base, base + 4)
        self.path = self.site.folder / f"{self.name}.toml"
        self.path.write_text(
            SETTINGS.format(
                name=self.name,
                zone=self.zone,
                front=self.front,
                ready=self.ready,
                control=control,
                internal=internal,
                last=internal + 1,
                store=server.address,
                cloud=self.site.cloud_address,
            )
        )

    async def start(self):
        """Starts the process."""
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            command = tomllib.load(file)["roles"]["entry"]["run"].split()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["CLEMENTINEWOOD_CONFIG"] = str(self.path)
        with open(self.site.folder / f"{self.name}.log", "ab") as output:
            self.child = await asyncio.create_subprocess_exec(
                *command,
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )
        self.starts += 1
        self.site.log("entry", f"{self.name} started")

    def send(self, number):
        """Sends a signal to the process."""
        if self.child is not None and self.child.returncode is None:
            self.child.send_signal(number)

    def memory_mb(self):
        """Returns its resident memory in megabytes."""
        try:
            with open(f"/proc/{self.child.pid}/status") as file:
                for line in file:
                    if line.startswith("VmRSS"):
                        return int(line.split()[1]) / 1024.0
        except (OSError, AttributeError):
            pass
        return 0.0

    async def watch(self):
        """Acts as the platform: memory limit and restarts."""
        while True:
            if self.child is not None and self.child.returncode is None:
                used = self.memory_mb()
                self.peak_mb = max(self.peak_mb, used)
                if used > MEMORY_MB:
                    self.kills += 1
                    self.site.log(
                        "memory",
                        f"{self.name} has {used:.0f} MB of"
                        f" {MEMORY_MB} MB: killed, time {self.kills}",
                    )
                    self.send(signal.SIGKILL)
            elif self.child is not None and self.wanted:
                self.site.log("entry", f"{self.name} has ended")
                await asyncio.sleep(RESTART_S)
                if self.wanted:
                    await self.start()
            await asyncio.sleep(0.05)

    async def terminate(self):
        """Stops it as the platform does: SIGTERM, SIGKILL after grace_s."""
        self.wanted = False
        self.send(signal.SIGTERM)
        if self.child is not None:
            try:
                await asyncio.wait_for(self.child.wait(), GRACE_S)
            except TimeoutError:
                self.send(signal.SIGKILL)
                await self.child.wait()
        self.child = None

    async def close(self):
        """Kills the process."""
        self.wanted = False
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.child is not None:
            await self.child.wait()


class Site:
    """A small deployment: three entries, six workers, one or two queues."""

    def __init__(
        self,
        case,
        *,
        zones=("hobart", "launceston", "burnie"),
        entry_zones=None,
        minions=6,
        max_attempts=2,
    ):
        self.case = pathlib.Path(case)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.zones = zones
        self.entry_zones = entry_zones or zones
        self.count = minions
        self.max_attempts = max_attempts
        self.began = time.monotonic()
        self.lines = []
        self.store = Store(self)
        self.servers = []
        self.minions = []
        self.entries = []
        self.starts = []
        self.ends = []
        self.noted = []
        self.gangs = set()
        self.last_writer = None
        self.version = 0
        self.refused_appends = 0
        self._keys = {}

    def log(self, kind, text):
        """Adds a line to the record."""
        self.lines.append(
            f"{time.monotonic() - self.began:8.3f} {kind:<8} {text}"
        )

    def write_record(self):
        """Writes record.txt."""
        (self.case / "record.txt").write_text("\n".join(self.lines) + "\n")

    def note_refused(self, topic, largest, size):
        """Records an append beyond the limits of the store."""
        self.refused_appends += 1
        if self.refused_appends <= 20 or self.refused_appends % 100 == 0:
            self.log(
                "store",
                f"append to {topic} refused (400): largest record"
                f" {largest} bytes, call {size} bytes"
                f" (refusal {self.refused_appends})",
            )

    def sorted_keys(self, name, part):
        """Returns the keys of a topic in order."""
        known = self._keys.get(name)
        if known is None or known[0] != len(part.newest):
            known = (len(part.newest), sorted(part.newest))
            self._keys[name] = known
        return known[1]

    # Hooks of the minions.

    def plan_run(self, name, spec):
        """Returns what a run takes, how long it lasts and how it ends."""
        fields = json.loads(spec)
        step = fields["steps"][int(name.split(".")[2])]
        how = "done"
        if step.get("fail_first"):
            earlier = sum(1 for row in self.starts if row[2] == name)
            if earlier < step["fail_first"]:
                how = "failed"
        seconds = step["ms"] / 1000.0
        if how == "failed":
            seconds = step.get("fail_ms", step["ms"]) / 1000.0
            seconds += int(name.split(".")[3]) * step.get("stagger_ms", 0) / 1e3
        return (step["cpu"], step["mem_mb"]), seconds, how

    def _members(self, name, run):
        prefix = name.rpartition(".")[0] + "."
        return [
            (minion, other)
            for minion in self.minions
            for other, row in minion.running.items()
            if other.startswith(prefix) and row["run"] == run
        ]

    def join_gang(self, minion, name, run, spec):
        """Lets a gang work from when all its members are present."""
        step = json.loads(spec)["steps"][int(name.split(".")[2])]
        if not step.get("gang"):
            return
        members = self._members(name, run)
        present = len(members) == step["gang"]
        for other, member in members:
            row = other.running[member]
            seconds = step["ms"] / 1000.0 if present else GANG_TIMEOUT_S
            if present or member == name:
                row["how"] = "done" if present else "alone"
                row["ends"] = other.clock + seconds

    def break_gang(self, name, run, how):
        """Ends the other members of a gang of which one hasn't ended done."""
        if how in ("done", "broken") or not self.is_gang(name):
            return
        for other, member in self._members(name, run):
            if member in other.running:
                other.end(member, "broken")

    def is_gang(self, name):
        """Whether a task belongs to a gang."""
        return name.split(".")[0] in self.gangs

    def on_start(self, minion, name, run):
        """Records a start."""
        self.starts.append((time.monotonic(), minion.id, name, run))
        if len(self.starts) <= 400:
            self.log("start", f"{name} run {run} on {minion.id}")

    def on_end(self, minion, row):
        """Records an end."""
        self.ends.append((time.monotonic(), minion.id, row))
        if len(self.ends) <= 400:
            self.log(
                "end",
                f"{row[1]} run {row[2]} on {minion.id}: {row[3]}"
                f" (end {row[0]})",
            )

    def on_noted(self, minion, row):
        """Records that `ack_cursor` has reached an end."""
        self.noted.append((minion.id, row))

    # Life of the site.

    async def serve(self, handle):
        """Starts a server that ends with the site."""
        server = await Server(handle).start()
        self.servers.append(server)
        return server

    async def open(self):
        """Starts the platform; the entries are prepared, not started."""
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.temporary.name)
        machines = await self.serve(MachineService(self).handle)
        self.cloud_address = machines.address
        for number in range(self.count):
            minion = Minion(self, number, "quotes", self.zones[number % 3])
            server = await self.serve(minion.handle)
            minion.address = server.address
            minion.server = server
            self.minions.append(minion)
        self.tasks = [asyncio.create_task(m.beat()) for m in self.minions]
        self.tasks.append(asyncio.create_task(self._tick()))
        for number, zone in enumerate(self.entry_zones):
            entry = Entry(self, f"edge-{zone}-{number + 1}", zone)
            await entry.prepare()
            self.entries.append(entry)

    async def _tick(self):
        while True:
            for minion in self.minions:
                minion.tick()
            await asyncio.sleep(0.01)

    async def start_entries(self):
        """Starts all entries."""
        for entry in self.entries:
            entry.wanted = True
            await entry.start()
        self.tasks += [asyncio.create_task(e.watch()) for e in self.entries]

    async def wait_ready(self, seconds=30.0):
        """Waits until all entries are ready for callers."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            states = [await self.is_ready(e) for e in self.entries]
            if all(states):
                return True
            await asyncio.sleep(0.2)
        return False

    async def crash(self, minion, seconds):
        """Ends a worker's life; the machine is back after `seconds`."""
        lost = ", ".join(minion.running) or "nothing"
        self.log("crash", f"{minion.machine} ({minion.id}) crashes with {lost}")
        minion.down = True
        minion.running = {}
        minion.server.reset_all()
        gone = minion.id

        def expire():
            self.store.put("keyed.servers", gone, None)

        asyncio.get_running_loop().call_later(3 * HEARTBEAT_S, expire)
        await asyncio.sleep(seconds)
        minion.rebirth()
        self.store.put("keyed.servers", minion.id, minion.render())
        self.log("crash", f"{minion.machine} is up again as {minion.id}")

    async def is_ready(self, entry):
        """Asks an entry as the platform does."""
        status, _ = await http(entry.ready, "GET", "/-/readyz", {}, b"", 1.0)
        return status == 200

    def configure(self, routes, keys=("key-canvas",), cap=0):
        """Writes the next version of the configuration."""
        self.version += 3
        self.store.put(
            "keyed.op",
            "config",
            {
                "version": self.version,
                "routes": [
                    {
                        "name": name,
                        "host": "guild.example",
                        "path_prefix": f"/{name}/",
                        "service": "quotes",
                        "priority": 0,
                        "max_attempts": self.max_attempts,
                        "stretch": 1.6,
                        "target_duration_ms": 600,
                        "public": False,
                    }
                    for name in routes
                ],
                "services": [
                    {
                        "name": "quotes",
                        "enforces_capacity": True,
                        "spare": False,
                    }
                ],
                "tenants": [
                    {
                        "name": "canvas",
                        "api_keys": list(keys),
                        "weight": 5,
                        "cap": {"cpu": cap, "mem_mb": 0, "gpu": 0},
                    }
                ],
                "limits": {"max_body_bytes": 262144},
            },
        )
        self.log(
            "operator",
            f"version {self.version}: routes"
            f" {','.join(routes)}, keys {','.join(keys)}",
        )

    # Calls of clients.

    async def call(
        self,
        entry,
        method,
        path,
        *,
        key="key-canvas",
        body=None,
        deadline=3.0,
        quiet=False,
    ):
        """Sends one request of a client."""
        headers = {
            "Host": "guild.example",
            "Authorization": f"Bearer {key}",
            "X-Deadline-Ms": str(int(deadline * 1000)),
        }
        data = b"" if body is None else json.dumps(body).encode()
        if data:
            headers["Content-Type"] = "application/json"
        status, answer = await http(
            entry.front, method, path, headers, data, deadline
        )
        text = answer.decode("utf-8", "replace")[:160]
        if not quiet:
            self.log(
                "client",
                f"{method} {path} at {entry.name}:"
                f" {status or 'no answer'} {text}",
            )
        return status, text

    async def submit(self, entry, route, steps, *, job=None, **options):
        """Submits a job; returns its id and the status."""
        job = job or f"{random.getrandbits(64):016x}"
        spec = json.dumps(
            {
                "steps": [
                    {
                        k: s[k]
                        for k in (
                            "ms",
                            "cpu",
                            "mem_mb",
                            "fail_first",
                            "fail_ms",
                            "stagger_ms",
                        )
                        if k in s
                    }
                    | ({"gang": s["count"]} if s.get("gang") else {})
                    for s in steps
                ]
            }
            | ({"pad": options.pop("pad")} if "pad" in options else {})
        )
        if any(s.get("gang") for s in steps):
            self.gangs.add(job)
        body = {
            "spec": spec,
            "steps": [
                {
                    "count": s["count"],
                    "cpu": s["cpu"],
                    "mem_mb": s["mem_mb"],
                    "estimate_ms": s["ms"],
                }
                | ({"after": s["after"]} if s.get("after") else {})
                | ({"gang": True} if s.get("gang") else {})
                for s in steps
            ],
        }
        status, _ = await self.call(
            entry, "POST", f"/{route}/{job}", body=body, **options
        )
        return job, status

    async def state(self, job, route="quotes", **options):
        """Returns the state of a job from the first entry that tells it."""
        for entry in self.entries:
            status, text = await self.call(
                entry, "GET", f"/{route}/{job}", **options
            )
            if status == 200:
                return json.loads(text)["state"]
        return None

    async def close(self):
        """Ends everything and writes the record."""
        for entry in self.entries:
            await entry.close()
        for task in self.tasks:
            task.cancel()
        for server in self.servers:
            server.server.close()
            server.reset_all()
        await asyncio.sleep(0.1)
        self.write_record()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(
                self.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True
            )
        self.temporary.cleanup()


async def http(port, method, path, headers, body, timeout):
    """Sends one request; returns status (0 without an answer) and body."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", port, limit=1 << 24
            )
            lines = [f"{method} {path} HTTP/1.1"]
            headers = {"Host": "guild.example"} | headers
            headers["Content-Length"] = str(len(body))
            headers["Connection"] = "close"
            lines += [f"{name}: {value}" for name, value in headers.items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            first, _, answer = await read_message(reader)
            return int(first.split()[1]), answer
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()


def run(case, play):
    """Plays a case; exits with 1 if the rule broke, 0 if not, 2 if unclear."""

    async def main():
        site = play.create(case)
        await site.open()
        try:
            async with asyncio.timeout(114):
                return await play.play(site)
        except TimeoutError:
            site.log("judge", "the case did not end in time")
            return 2
        finally:
            await site.close()

    try:
        code = asyncio.run(main())
    except Exception as error:
        print(f"could not run: {error!r}", file=sys.stderr)
        code = 2
    sys.exit(code)
