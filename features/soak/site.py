"""Runs a site of real entry processes on simulated platform services."""

import dataclasses
import enum
import json
import os
import pathlib
import signal
import subprocess
import sys

from clementinewood import catalog, edge, identifiers, job, jobtable, ports
from features import dev_process, job_harness, runner
from features.soak import proxy, simulated_services

ZONES = ("zone-0", "zone-1", "zone-2")
GRACE_SECONDS = 6.0
RESTART_SECONDS = 0.5
FAULT_FREE_SECONDS = 3.0
CANCEL_SECONDS = 3.0
WATCH_SECONDS = 0.1
STALL_SECONDS = 0.5
DRAIN_SECONDS = 4.0
PORTS = 4
TEAMS = ("canvas", "shade", "tarp")
CAP_CPU = 24000

SETTINGS = """node = "{name}"
role = "entry"
ip = "127.0.0.1"
zone = "{zone}"
internal_ports = [{metrics},{forwarding}]
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[limits]
memory_mb = 300
[bounds]
grace_s = {grace}
lease_ms = 3000
[platform]
address = "{store}"
[cloud]
address = "{machines}"
"""


class ProcessState(enum.Enum):
    """State of an entry process."""

    RUNNING = "running"
    PAUSED = "paused"
    STOPPING = "stopping"
    DEAD = "dead"


class EntryProcess:
    """Runs one entry process with its proxies and settings."""

    def __init__(self, site, name, zone, folder, first_port):
        self.site = site
        self.name = name
        self.state = ProcessState.DEAD
        self.disturbed_until = float("-inf")
        self.store_fault_until = float("-inf")
        self.child = None
        self.path = folder / f"{name}.toml"
        self.output = (folder / f"{name}.log").open("ab")
        front, ready, metrics, forwarding = range(
            first_port, first_port + PORTS
        )
        self.store = simulated_services.SimulatedStore(site.harness)
        store_edge = edge.Edge(site.sockets, site.timers, self.store)
        store_address = store_edge.listen(("127.0.0.1", 0))
        self.store_proxy = self._proxy(store_address)
        machine_edge = edge.Edge(site.sockets, site.timers, site.machines)
        machine_address = machine_edge.listen(("127.0.0.1", 0))
        self.machine_proxy = self._proxy(machine_address)
        self.front_proxy = self._proxy(("127.0.0.1", front))
        self.path.write_text(
            SETTINGS.format(
                name=name,
                zone=zone,
                front=front,
                ready=ready,
                metrics=metrics,
                forwarding=forwarding,
                grace=GRACE_SECONDS,
                store="{}:{}".format(*self.store_proxy.address),
                machines="{}:{}".format(*self.machine_proxy.address),
            )
        )

    def _proxy(self, target):
        return proxy.Proxy(self.site.sockets, self.site.timers, target)

    @property
    def pid(self):
        return self.child.pid if self.child is not None else None

    def is_in_touch(self):
        """Returns whether process, store and its link were sound recently."""
        since = self.site.timers.clock() - FAULT_FREE_SECONDS
        return (
            self.state is ProcessState.RUNNING
            and self.site.find_last_stall() < since
            and self.disturbed_until < since
            and self.store_fault_until < since
        )

    def start(self):
        if self.state is not ProcessState.DEAD or self.site.closing:
            return
        environment = dict(os.environ, CLEMENTINEWOOD_CONFIG=str(self.path))
        self.child = subprocess.Popen(
            [sys.executable, "-m", "clementinewood_platform.main"],
            stdout=self.output,
            stderr=subprocess.STDOUT,
            cwd=runner.ROOT,
            env=environment,
        )
        self.state = ProcessState.RUNNING
        self.disturbed_until = self.site.timers.clock()

    def watch(self):
        """Schedules a restart if the process has ended."""
        status = self.child.poll() if self.child is not None else None
        if status is None:
            return
        if self.state is ProcessState.RUNNING:
            self.site.violations.append(
                f"{self.name} exited with status {status} although no fault"
                " stopped it"
            )
        self.child = None
        self.state = ProcessState.DEAD
        self.disturbed_until = self.site.timers.clock()
        self.site.timers.subscribe_once(RESTART_SECONDS, self.start)

    def send(self, number):
        if self.child is not None and self.child.poll() is None:
            self.child.send_signal(number)
            return True
        return False

    def kill(self):
        self.state = (
            ProcessState.DEAD if self.child is None else ProcessState.STOPPING
        )
        self.disturbed_until = self.site.timers.clock()
        self.send(signal.SIGKILL)

    def stop(self):
        if self.state is not ProcessState.RUNNING:
            return
        self.state = ProcessState.STOPPING
        self.send(signal.SIGTERM)
        child = self.child

        def end():
            # The platform kills processes that outlive the grace period.
            if child is self.child and child.poll() is None:
                self.disturbed_until = self.site.timers.clock()
                self.send(signal.SIGKILL)

        self.site.timers.subscribe_once(GRACE_SECONDS, end)

    def pause(self, seconds):
        if self.state is not ProcessState.RUNNING or not self.send(
            signal.SIGSTOP
        ):
            return
        self.state = ProcessState.PAUSED
        self.disturbed_until = self.site.timers.clock() + seconds

        def resume():
            self.send(signal.SIGCONT)
            if self.state is ProcessState.PAUSED:
                self.state = ProcessState.RUNNING

        self.site.timers.subscribe_once(seconds, resume)

    def send_sighup(self):
        """Sends SIGHUP once the process survives it.

        The start of the interpreter can't be protected from it.
        """
        if self.child is None or self.child.poll() is not None:
            return
        if dev_process.survives(self.child.pid, signal.SIGHUP):
            self.send(signal.SIGHUP)
        else:
            self.site.timers.subscribe_once(0.01, self.send_sighup)

    def close(self):
        if self.child is not None and self.child.poll() is None:
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
            self.child.wait()
        self.output.close()


@dataclasses.dataclass(frozen=True)
class Leadership:
    """Holds one term of leadership.

    Attributes:
        entry: Entry that leads.
        began: When its candidacy was stored.
    """

    entry: EntryProcess
    began: float


@dataclasses.dataclass(frozen=True)
class RunStart:
    """Holds the start of one run.

    Attributes:
        time: When the minion began it.
        minion_id: The minion.
        task: The task.
        number: Number of the run.
        starter: Who sent the order.
        in_touch: Whether the entry that sent it was in touch.
    """

    time: float
    minion_id: identifiers.MinionId
    task: job.TaskId
    number: int
    starter: simulated_services.Starter
    in_touch: bool


class SoakHarness(job_harness.JobHarness):
    """Simulates the platform with the records that real processes read."""

    def __init__(self, site, seed, minions, spare):
        self.site = site
        site.harness = self
        self.turns = {}
        self.evacuated_at = {}
        self.shown_completed = set()
        self.unknown_at = {}
        self.refused = {}
        self.leaderships = {}
        self.appends = []
        self.starts = []
        super().__init__(
            seed, entries=0, minions=minions, spare=spare, timers=site.timers
        )

    def find_cancel_bound(self):
        # The bound holds only while entries reach the platform.
        return CANCEL_SECONDS if self.site.is_fault_free() else float("inf")

    def read_waiting(self, stream):
        """Returns the seconds of work of appends that wait in a partition."""
        return self.turns.get(stream, 0.0) - self.clock()

    def take_turn(self, stream, seconds):
        """Reserves `seconds` of a partition; returns the seconds until done."""
        now = self.clock()
        free_at = max(self.turns.get(stream, 0.0), now) + seconds
        self.turns[stream] = free_at
        return free_at - now

    def join_minion(self, minion):
        self.site.serve_minion(minion)
        super().join_minion(minion)

    def render_minion(self, minion):
        return json.dumps(
            {
                "service": minion.pool,
                "address": "{}:{}".format(*self.site.find_address(minion)),
                "zone": minion.zone,
                "state": minion.state.value,
                "capacity": simulated_services.render_resources(
                    minion.capacity
                ),
                "labels": list(minion.labels),
                "born": minion.incarnation,
            }
        ).encode()

    def record_append(self, stream, items, offset):
        """Notes records that were just stored, and terms that begin."""
        for item in items:
            self.appends.append((self.clock(), stream, offset, item))
            if item.key == jobtable.LEADER_KEY:
                term, incarnation, _ = json.loads(item.value)
                name = incarnation.partition("/")[0]
                entry = self.site.find_entry(name)
                self.leaderships.setdefault(
                    term, Leadership(entry, self.clock())
                )

    def record_run_end(self, minion, task, running, how):
        super().record_run_end(minion, task, running, how)
        self.site.simulated_minions[minion.minion_id].handle_run_end(how)

    def record_run_start(self, minion, task, number, starter):
        super().record_run_start(minion, task, number, starter)
        name = task.render()
        now = self.clock()
        in_touch = self.leaderships[starter.term].entry.is_in_touch()
        self.starts.append(
            RunStart(now, minion.minion_id, task, number, starter, in_touch)
        )
        if task.job in self.shown_completed:
            self.violations.append(
                f"{name} starts after its job was shown as completed"
            )
        left = self.evacuated_at.get(minion.zone)
        if left is not None and now > left + 5.0 and self.site.is_fault_free():
            self.violations.append(f"{name} starts in evacuated {minion.zone}")
        self.check_cap(self.accepted[task.job].team)

    def find_cancelled_starts(self):
        """Yields violations by runs of jobs whose cancellation was answered.

        A leader reads the log of jobs after its candidacy was stored, so it
        knows every cancellation that was acknowledged before, whatever the
        faults. Orders that a minion carries out late are no fault of it.
        """
        answered = self.unknown_at | self.cancelled_at
        for start in self.starts:
            job_id = start.task.job
            cancelled = answered.get(job_id)
            if (
                cancelled is None
                or start.time <= cancelled + CANCEL_SECONDS
                or start.starter.late
            ):
                continue
            term = start.starter.term
            how = "unknown" if job_id in self.unknown_at else "acknowledged"
            text = (
                f"{start.task.render()} starts {start.time - cancelled:.3f} s"
                f" after its cancellation was answered as {how}, in term {term}"
            )
            if self.leaderships[term].began > cancelled:
                yield f"{text}, which began later"
            elif start.in_touch:
                yield f"{text}, whose leader is in touch"

    def check_cap(self, team):
        used = most = 0
        for minion in self.minions.values():
            for task in minion.running:
                accepted = self.accepted[task.job]
                if accepted.team == team:
                    cpu = accepted.steps[task.step].need.cpu
                    used, most = used + cpu, max(most, cpu)
        if used > CAP_CPU * 1.1 + most:
            self.violations.append(
                f"team {team} runs {used} of {CAP_CPU} thousandths of a core,"
                f" over by more than 10% and one task of {most}"
            )


class Site:
    """Runs entries, minions and machines, and declares the configuration.

    Args:
        sockets: Accepts and opens connections.
        timers: Timer service.
        seed: Seed of the random choices.
        folder: Folder for settings and logs.
        entries: Number of entry processes.
        minions: Number of minions in the one pool.
        spare: Number of spare machines.
    """

    def __init__(
        self, sockets, timers, seed, folder, *, entries=4, minions=8, spare=4
    ):
        self.sockets = sockets
        self.timers = timers
        self.closing = False
        self.violations = []
        self.addresses = {}
        self.minion_proxies = {}
        self.simulated_minions = {}
        self.answers = []
        SoakHarness(self, seed, minions, spare)
        self.harness.violations = self.violations
        self.machines = simulated_services.SimulatedMachineService(self.harness)
        self.version = 0
        self.keys = {f"key-{team}-0": team for team in TEAMS}
        self.revoked_at = {}
        self.declare()
        self.open_requests = 0
        self.store_fault_until = float("-inf")
        self.minion_fault_until = float("-inf")
        self.entries = []
        # Below the range of ephemeral ports, which connections use.
        base = dev_process.find_base_port()
        self.entries = [
            EntryProcess(
                self,
                f"entry-{number}",
                ZONES[number % len(ZONES)],
                pathlib.Path(folder),
                base + number * PORTS,
            )
            for number in range(entries)
        ]
        self.watched_at = timers.clock()
        self.stalled_at = float("-inf")
        timers.subscribe_every(WATCH_SECONDS, self._watch)

    def start(self):
        for entry in self.entries:
            entry.start()

    def find_last_stall(self):
        """Returns when the simulated services last got no processor time."""
        now = self.timers.clock()
        if now - self.watched_at > WATCH_SECONDS + STALL_SECONDS:
            return now
        return self.stalled_at

    def _watch(self):
        self.stalled_at = self.find_last_stall()
        self.watched_at = self.timers.clock()
        for entry in self.entries:
            entry.watch()

    def find_entry(self, name):
        return next(entry for entry in self.entries if entry.name == name)

    def extend_store_fault(self, entries, seconds=0.0):
        end = self.timers.clock() + seconds
        self.store_fault_until = max(self.store_fault_until, end)
        for entry in entries:
            entry.store_fault_until = max(entry.store_fault_until, end)

    def extend_minion_fault(self, seconds=0.0):
        end = self.timers.clock() + seconds
        self.minion_fault_until = max(self.minion_fault_until, end)

    def is_fault_free(self):
        """Returns whether no fault was active recently."""
        since = self.timers.clock() - FAULT_FREE_SECONDS
        return (
            self.store_fault_until < since
            and self.minion_fault_until < since
            and all(entry.disturbed_until < since for entry in self.entries)
        )

    def serve_minion(self, minion):
        """Serves a minion that starts at an address behind a proxy."""
        simulated_minion = simulated_services.SimulatedMinion(
            self.harness, minion
        )
        self.simulated_minions[minion.minion_id] = simulated_minion
        server = edge.Edge(self.sockets, self.timers, simulated_minion)
        address = server.listen(("127.0.0.1", 0))
        found = proxy.Proxy(self.sockets, self.timers, address)
        self.minion_proxies[minion.minion_id] = found
        self.addresses[minion.minion_id] = found.address

    def find_address(self, minion):
        return self.addresses[minion.minion_id]

    # Changes by operators.

    def declare(self):
        """Stores a new version of the configuration."""
        self.version += 1
        routes = [
            {
                "name": "quotes",
                "host": "guild",
                "path_prefix": "/quotes/",
                "service": "quotes",
                "priority": 0,
                "max_attempts": 3,
                "stretch": 2.0,
                "target_duration_ms": 600,
                "public": False,
            }
        ]
        services = [
            {"name": "quotes", "enforces_capacity": True, "spare": False},
            {"name": "noticeboard", "enforces_capacity": True, "spare": True},
        ]
        tenants = [
            {
                "name": team,
                "api_keys": [
                    key for key, owner in self.keys.items() if owner == team
                ],
                "weight": 5,
                "cap": {"cpu": CAP_CPU, "mem_mb": 0, "gpu": 0},
            }
            for team in TEAMS
        ]
        fields = {
            "version": self.version,
            "routes": routes,
            "services": services,
            "tenants": tenants,
            "limits": {"max_body_bytes": 262144},
        }
        self.harness.store.put(
            ports.Stream.DECLARATIONS, "config", json.dumps(fields).encode()
        )

    def exchange_key(self, team):
        """Gives a team a new key and revokes the previous one."""
        old = next(key for key, owner in self.keys.items() if owner == team)
        del self.keys[old]
        self.keys[f"key-{team}-{self.version}"] = team
        self.revoked_at[old] = self.timers.clock()
        self.declare()

    def evacuate(self, zone, seconds):
        if zone in self.harness.evacuated_at:
            return
        self.harness.store.put(
            ports.Stream.DECLARATIONS, f"evacuate/{zone}", b"{}"
        )
        self.harness.evacuated_at[zone] = self.timers.clock()

        def end_evacuation():
            self.harness.evacuated_at.pop(zone)
            self.harness.store.put(
                ports.Stream.DECLARATIONS, f"evacuate/{zone}", b""
            )

        self.timers.subscribe_once(seconds, end_evacuation)

    def accept(self, job_id, team, steps):
        """Records a submitted job, so that minions know its tasks."""
        self.harness.accepted[job_id] = job.Job(
            job_id=job_id,
            queue=identifiers.QueueId("quotes"),
            team=identifiers.TeamId(team),
            spec="soak",
            steps=tuple(steps),
            accepted=0.0,
        )

    def drain_minion(self, minion):
        """Announces that a minion leaves, and stops it later."""
        minion.state = catalog.MinionState.DRAINING
        self.harness.publish(minion)

        def leave():
            minion.state = catalog.MinionState.READY
            minion.crash()

        self.timers.subscribe_once(DRAIN_SECONDS, leave)

    def close(self):
        self.closing = True
        for entry in self.entries:
            entry.close()


@dataclasses.dataclass
class Attempt:
    """Holds one attempt of a request at one entry."""

    entry: EntryProcess
    sent: float
    status: int = 0
    lost: str = ""
    ended: float = 0.0
