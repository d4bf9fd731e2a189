"""Fleet control of several entries over one in-memory log and manual clock."""

import dataclasses
import random

from clementinewood import (
    dev,
    fleet_control,
    fleet_fold,
    fleet_record,
    hostlist,
    record,
    signature,
    state,
)
from features import fleet_mutants

Step = fleet_record.Step
PRIVATE, _ = signature.generate_key()
EPOCH = 1.8e9
SHORT_TEXT = (
    dev.read_example("guild")
    .replace("interval = 42d", "interval = 40s")
    .replace("duration = 30m", "duration = 5s")
)
"""Bundle whose hosts are due for maintenance after 30 s."""

ZONES = ("hobart", "launceston", "burnie")


class Node:
    """One entry: its fold of the log and its fleet control."""

    def __init__(self, harness, name, kind):
        self.harness = harness
        self.name = name
        self.state = state.ControlState()
        self.state.fleet = kind()
        self.control = fleet_control.FleetControl(name, self.state)

    def read(self, count=None):
        """Folds the next records."""
        end = len(self.harness.log) if count is None else count
        for offset in range(
            self.state.next_offset,
            min(len(self.harness.log), self.state.next_offset + end),
        ):
            entry, time = self.harness.log[offset]
            self.control.on_record(time, self.harness.now)
            version = self.state.version
            self.state.apply(entry, offset, time)
            if self.state.version != version:
                self.control.configure(self.state.bundle)

    def plan(self, *, fresh=True, read_at=None):
        now = self.harness.now
        return self.control.plan(
            now, fresh=fresh, read_at=now if read_at is None else read_at
        )


class FleetControlHarness:
    """A log, hosts and entries.

    Args:
        names: Entries, all of which have joined.
        kind: Class of the folded fleet state.
        text: Bundle in force.
    """

    def __init__(
        self, names=("e1/1", "e2/1"), *, kind=fleet_fold.FleetState, text=None
    ):
        self.now = 1000.0
        self.log = []
        self.truth = Node(self, "reader/1", kind)
        self.nodes = [Node(self, name, kind) for name in names]
        self.in_flight = []
        self.reboots = 0
        for name in names:
            self.append(name, record.Joined(name, name[:2], "::", 1, "hobart"))
        signed = signature.sign_bundle(
            text or SHORT_TEXT, "night", PRIVATE, signed=1.0, expires=9e9
        )
        self.append(names[0], self.truth.state.create_bundle_payload(signed))
        self.hosts = {}
        for pool, spec in self.truth.state.bundle.pools.items():
            for index, worker in enumerate(spec.workers):
                self.hosts[worker] = {
                    "zone": ZONES[index % 3],
                    "pool": pool,
                    "boot": 1,
                    "running": 0,
                    "back_at": 0.0,
                }
        for node in self.nodes:
            node.read()

    def append(self, author, payload):
        """Appends a record; returns its offset."""
        entry = record.create_record(author, payload)
        self.log.append((entry, EPOCH + self.now))
        self.truth.read()
        return len(self.log) - 1

    def list_hosts(self):
        """Returns the host list of the platform."""
        return {
            worker: hostlist.Host(
                worker,
                host["zone"],
                f"{host['zone']}-r1",
                ("::", 1),
                leaving=False,
                running=host["running"],
                boot=f"b{host['boot']}",
                pool=host["pool"],
            )
            for worker, host in self.hosts.items()
            if host["back_at"] <= self.now
        }

    def advance(self, seconds):
        """Lets time pass and the platform follow the log."""
        self.now += seconds
        for worker, host in self.hosts.items():
            found = self.truth.state.fleet.hosts[worker]
            if (
                found.step is Step.REBOOTING
                and found.boot == f"b{host['boot']}"
            ):
                assert not host["running"], f"the reboot of {worker} cut work"
                host["boot"] += 1
                host["back_at"] = self.now + 3.0
                self.reboots += 1
            elif found.step is Step.ARRIVING and not host["running"]:
                host["pool"] = found.pool

    def share_evidence(self, *, leaving=None):
        """Brings host list and usage to the nodes.

        Args:
            leaving: Host that each node's list shows as leaving, by node.
        """
        for node in self.nodes:
            listed = self.list_hosts()
            worker = (leaving or {}).get(node.name)
            if worker in listed:
                listed[worker] = dataclasses.replace(
                    listed[worker], leaving=True
                )
            node.control.observe_hosts(listed, self.now)
            for other in self.nodes:
                node.control.observe_usage(
                    other.name, other.control.create_usage(), self.now
                )

    def run_round(self, node):
        """Appends all that a node plans now, and has every node read it."""
        payloads = node.plan()
        for payload in payloads:
            node.control.on_appended(self.append(node.name, payload))
        for other in self.nodes:
            other.read()
        return payloads


class Race:
    """Instances that all plan, with records late, reordered or lost.

    Args:
        seed: Seed of every choice.
        kind: Class of the folded fleet state.
    """

    def __init__(self, seed, kind=fleet_fold.FleetState):
        self.random = random.Random(seed)
        text = SHORT_TEXT.replace("unavailable = 1", "unavailable = 2")
        self.harness = FleetControlHarness(kind=kind, text=text)
        self.landed = 0
        for node in self.harness.nodes:
            # Each instance assumes that it holds the lease, as after a pause:
            # budgets have to hold without the lease.
            node.control.planner.holds_lease = lambda now: True
            node.control.planner.plan_lease = lambda now: None
            # Hosts come from several zones, so only budgets bound them.
            settings = node.control.planner.maintenance.settings
            node.control.planner.maintenance.settings = dataclasses.replace(
                settings, pools_apart=True
            )

    def run(self, steps):
        harness, choose = self.harness, self.random
        for _ in range(steps):
            harness.advance(0.5)
            host = choose.choice(list(harness.hosts.values()))
            # Work ends on any host and starts only on hosts in service.
            host["running"] = 0
            worker = choose.choice(list(harness.hosts))
            found = harness.truth.state.fleet.hosts[worker]
            if found.step is Step.IN_SERVICE and choose.random() < 0.3:
                harness.hosts[worker]["running"] = 1
            self._share_demand()
            if choose.random() < 0.8:
                # Host lists of different age lead to different choices.
                harness.share_evidence(
                    leaving={
                        node.name: choose.choice(list(harness.hosts))
                        for node in harness.nodes
                    }
                )
            for node in harness.nodes:
                if choose.random() < 0.7:
                    node.read(choose.randrange(12))
                harness.in_flight += [
                    (node, payload) for payload in node.plan()
                ]
            self._deliver_append()
        self._finish()

    def _share_demand(self):
        """Makes work wait for a pool that changes from time to time."""
        pools = sorted(self.harness.truth.state.bundle.pools)
        pool = pools[int(self.harness.now // 60) % len(pools)]
        for node in self.harness.nodes:
            node.control.observe_queued({pool: 400})

    def _deliver_append(self):
        harness, choose = self.harness, self.random
        choose.shuffle(harness.in_flight)
        for _ in range(choose.randrange(len(harness.in_flight) + 1)):
            node, payload = harness.in_flight.pop()
            if choose.random() < 0.1:
                node.control.on_failed()
                continue
            node.control.on_appended(harness.append(node.name, payload))
            self.landed += 1
            self.check_budgets()

    def _finish(self):
        while self.harness.in_flight:
            self._deliver_append()
        for node in self.harness.nodes:
            node.read()
        self.check_pools()

    def check_budgets(self):
        """No pool has more hosts out by plan than its budget."""
        fleet = self.harness.truth.state.fleet
        out = {}
        for worker, host in fleet.hosts.items():
            if worker in fleet.home and host.is_planned:
                out[host.pool] = out.get(host.pool, 0) + 1
        for pool, count in out.items():
            limit = fleet.declaration.pools[pool].max_unavailable
            assert count <= limit, f"{count} hosts of {pool} are out"

    def check_pools(self):
        """Every host is in exactly one pool, the same at every instance."""
        expected = self.harness.truth.state.snapshot()
        for node in [self.harness.truth, *self.harness.nodes]:
            assert node.state.snapshot() == expected, node.name
            node.control.view.refresh()
            members = [
                worker
                for pool in node.control.view.pools.values()
                for worker in pool.members
            ]
            assert sorted(members) == sorted(self.harness.hosts), node.name


class NoCounts(dict):
    """Counts nothing."""

    def get(self, key, default=None):
        return 0

    def __getitem__(self, key):
        return 0


class UnboundedState(fleet_mutants.NoPoolVersion):
    """Folds cordons that were decided on another state of the pool."""

    def _count_planned(self):
        self.planned = NoCounts()
