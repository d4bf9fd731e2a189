"""Steps for planning in the daemon."""

import collections
import re

import behave

from clementinewood import (
    dev,
    fleet_record,
    httpclient,
    signature,
)
from features import fleet_control_harness, loop

Step = fleet_record.Step
RACE_STEPS = 400
RUN_MS = "1500"
LOAD = 8


def run_races(count, **options):
    for seed in range(count):
        race = fleet_control_harness.Race(seed, **options)
        race.run(RACE_STEPS)
        assert race.landed > 200, race.landed
        assert race.harness.reboots > 20, race.harness.reboots


@behave.then(
    "hosts stay in one pool and budgets hold in {n:d} races of two instances"
)
def check_races(context, n):
    run_races(n)


@behave.then("the races find a fold without pool versions and counts")
def check_broken(context):
    try:
        run_races(6, kind=fleet_control_harness.UnboundedState)
    except AssertionError as error:
        assert "are out" in str(error), error
        return
    raise AssertionError("no budget was exceeded")


@behave.given("two fleet instances after a race")
def create_raced(context):
    race = fleet_control_harness.Race(1)
    race.run(RACE_STEPS)
    context.harness = race.harness


@behave.when("a new fleet instance starts from a snapshot of it")
def restore(context):
    truth = context.harness.truth
    context.fresh = fleet_control_harness.Node(
        context.harness, "e3/1", type(truth.state.fleet)
    )
    restored = context.fresh.state.restore(truth.state.snapshot())
    assert type(restored).__name__ == "Success", restored


@behave.then("its fleet state and its pools are those of the others")
def check_restored(context):
    found, expected = (
        context.fresh.state.fleet,
        context.harness.truth.state.fleet,
    )
    steps = {host.step for host in expected.hosts.values()}
    assert len(steps) > 1, "no host is out of service"
    for name in (
        "declaration",
        "bundle_version",
        "hosts",
        "home",
        "pool_versions",
        "lease",
        "pause",
        "roll",
        "offset",
        "time",
    ):
        assert getattr(found, name) == getattr(expected, name), name
    planned = {pool: n for pool, n in expected.planned.items() if n}
    assert found.planned == planned, (found.planned, planned)
    view = context.harness.truth.control.view
    view.refresh()
    context.fresh.control.view.refresh()
    for pool, counts in context.fresh.control.view.pools.items():
        assert counts.members == view.pools[pool].members, pool


@behave.then("both fold the next fleet records alike")
def check_alike(context):
    harness, fresh = context.harness, context.fresh
    start = len(harness.log)
    for worker, host in list(harness.truth.state.fleet.hosts.items()):
        harness.append(
            "e1/1",
            fleet_record.MaintenanceStep(
                worker, Step.LOST, host.version, 9e9, boot="b"
            ),
        )
    fresh.read()
    assert fresh.state.next_offset == len(harness.log) > start
    assert fresh.state.snapshot() == harness.truth.state.snapshot()


@behave.given("a fleet instance with hosts quotes-1 and quotes-2 in quotes")
def create_declared(context):
    context.harness = fleet_control_harness.FleetControlHarness()
    hosts = context.harness.truth.state.fleet.hosts
    assert hosts["quotes-1"].pool == hosts["quotes-2"].pool == "quotes"


def publish(harness, change):
    text = fleet_control_harness.SHORT_TEXT
    version = harness.truth.state.version + 1
    text = re.sub(r"(?m)^version = \d+$", f"version = {version}", text)
    signed = signature.sign_bundle(
        change(text),
        "night",
        fleet_control_harness.PRIVATE,
        signed=1.0,
        expires=9e9,
    )
    harness.append("e1/1", harness.truth.state.create_bundle_payload(signed))
    assert harness.truth.state.version == version


def move_hosts(text):
    # A zone then holds 3 of the 7 hosts of stores.
    text = text.replace("max_unavailable_zone = 2", "max_unavailable_zone = 3")
    return text.replace(
        "workers = quotes-[1-6]", "workers = quotes-[3-6]"
    ).replace("workers = stores-[1-6]", "workers = stores-[1-6], quotes-1")


@behave.when("a bundle moves quotes-1 to stores and removes quotes-2")
def move(context):
    context.versions = {
        worker: host.version
        for worker, host in context.harness.truth.state.fleet.hosts.items()
    }
    publish(context.harness, move_hosts)


@behave.then("quotes-1 is arriving in stores and quotes-2 is in no pool")
def check_moved(context):
    truth = context.harness.truth
    host = truth.state.fleet.hosts["quotes-1"]
    assert (host.pool, host.step) == ("stores", Step.ARRIVING), host
    assert "quotes-2" not in truth.state.fleet.hosts
    limits = truth.state.roster.escrow.limits
    assert not limits.get("slot:quotes-2"), limits["slot:quotes-2"]
    assert limits["slot:quotes-1"] > 0


@behave.then("a host that comes back has a version above every earlier one")
def check_versions(context):
    publish(context.harness, lambda text: text)
    hosts = context.harness.truth.state.fleet.hosts
    for worker in ("quotes-1", "quotes-2"):
        assert hosts[worker].version > context.versions[worker]
    assert hosts["quotes-1"].pool == "quotes"


@behave.given("two fleet instances whose hosts are due")
def create_due(context):
    context.harness = fleet_control_harness.FleetControlHarness()
    context.harness.advance(35.0)
    context.harness.share_evidence()
    context.first, context.second = context.harness.nodes


@behave.when("the first takes the lease")
def take_lease(context):
    harness = context.harness
    (lease,) = harness.run_round(context.first)
    assert isinstance(lease, fleet_record.PlannerLease)
    assert harness.truth.state.planner_lease.holder == context.first.name


@behave.given("two fleet instances of which the first has cordoned a host")
def create_cordoned(context):
    create_due(context)
    harness = context.harness
    take_lease(context)
    payloads = context.first.plan()
    for payload in payloads:
        offset = harness.append(context.first.name, payload)
        context.first.control.on_appended(offset)
    context.first.read()
    cordons = [
        item
        for item in payloads
        if isinstance(item, fleet_record.MaintenanceStep)
    ]
    context.worker = cordons[0].worker
    host = harness.truth.state.fleet.hosts[context.worker]
    assert host.step is Step.CORDONED, host


def plan_after(context, seconds):
    """Returns the steps that the first plans for the host after a while."""
    harness = context.harness
    for _ in range(seconds):
        harness.advance(1.0)
        harness.share_evidence()
        # The lease expires meanwhile; a later round shows the step.
        for _ in range(2):
            for payload in context.first.plan():
                if getattr(payload, "worker", "") == context.worker and (
                    payload.step is Step.REBOOTING
                ):
                    context.first.control.on_failed()
                    return payload
                offset = harness.append(context.first.name, payload)
                context.first.control.on_appended(offset)
            context.first.read()
    return None


@behave.then(
    "the host is not rebooted while the second has not folded the cordon"
)
def check_unaware(context):
    assert plan_after(context, 15) is None
    context.second.read()


@behave.then("the host is not rebooted while the second runs a request on it")
def check_running(context):
    pool = context.harness.truth.state.fleet.hosts[context.worker].pool
    context.second.control.meter.start(context.worker, pool)
    assert plan_after(context, 15) is None
    context.second.control.meter.finish(context.worker, pool, 15.0)


@behave.then("the host is not rebooted while the platform reports a task on it")
def check_platform(context):
    host = context.harness.hosts[context.worker]
    host["running"] = 1
    assert plan_after(context, 15) is None
    host["running"] = 0


@behave.then("the host is rebooted once nothing runs on it")
def check_rebooted(context):
    assert plan_after(context, 15) is not None


@behave.given("the second has shown that it folded the cordon")
def show_folded(context):
    context.second.read()
    context.harness.share_evidence()
    assert not context.first.control._count_running(context.worker)


@behave.when("the host returns and is cordoned again")
def cordon_again(context):
    fleet = context.harness.truth.state.fleet
    for step in (Step.IN_SERVICE, Step.CORDONED):
        host = fleet.hosts[context.worker]
        context.harness.append(
            context.first.name,
            fleet_record.MaintenanceStep(
                context.worker,
                step,
                host.version,
                9e9,
                fleet_record.Purpose.MAINTENANCE,
                pool_version=fleet.pool_versions[host.pool],
            ),
        )
    assert fleet.hosts[context.worker].step is Step.CORDONED


@behave.when("the first learns of both by a snapshot alone")
def bridge_gap(context):
    harness = context.harness
    start = len(harness.log)
    harness.append(
        context.first.name, harness.truth.state.create_snapshot_payload()
    )
    context.first.state.begin_gap(start)
    context.first.read()
    assert context.first.state.snapshot() == harness.truth.state.snapshot()


@behave.then(
    "the first counts the second as one that may send work to the host"
)
def check_counted(context):
    assert context.first.control._count_running(context.worker) == 2


@behave.when("the first takes the lease and plans a round")
def plan_round(context):
    take_lease(context)
    context.planned = context.first.plan()
    assert len(context.planned) > 1, context.planned


@behave.then("it plans nothing while an append is under way")
def check_appending(context):
    harness = context.harness
    for payload in context.planned:
        harness.advance(3.0)
        assert context.first.plan() == []
        offset = harness.append(context.first.name, payload)
        context.first.control.on_appended(offset)


@behave.then("it plans nothing until the last record is folded")
def check_unfolded(context):
    context.harness.advance(3.0)
    context.harness.share_evidence()
    context.first.read(
        len(context.harness.log) - 1 - context.first.state.next_offset
    )
    assert context.first.state.next_offset == len(context.harness.log) - 1
    assert context.first.plan() == []
    context.first.read()
    context.second.read()


@behave.then("it plans again when every append has failed")
def check_failed(context):
    harness = context.harness
    planned = context.first.plan()
    assert planned
    for _ in planned:
        assert context.first.plan() == []
        context.first.control.on_failed()
    harness.advance(3.0)
    harness.share_evidence()
    assert context.first.plan()


@behave.then("the second plans nothing")
def check_second(context):
    context.harness.advance(1.0)
    assert context.second.plan() == []


@behave.then("the first plans nothing when it is stale or reads by relays")
def check_stale(context):
    first, now = context.first, context.harness.now
    assert first.plan(fresh=False) == []
    assert first.plan(read_at=now - 2.5) == []
    assert first.plan()


class LoadedSite:
    """A site on a manual clock whose callers keep requests running.

    Args:
        text: Bundle.
        queues: Queues that get requests.
        load: Requests in progress at each entry.
        run_ms: Run time of a request.
    """

    def __init__(self, text, queues, *, load=LOAD, run_ms=RUN_MS):
        self.loop = loop.Loop()
        self.site = dev.DevSite(
            text,
            timers=self.loop.timers,
            sockets=self.loop.sockets,
            wall_clock=lambda: 1.8e9 + self.loop.clock(),
        )
        self.results = collections.Counter()
        self.open = 0
        self.stopped = False
        self.queues = queues
        self.load = load
        self.run_ms = run_ms
        self.key = dev.find_secrets(text)[0]
        self.site.start()
        self.entries = self.site.entries
        self.loop.run_until(
            lambda: all(
                item.coordination.membership.is_confirmed
                for item in self.entries
            )
        )
        self.site.post_bundle(text)
        self.loop.run_until(
            lambda: all(
                item.state.version == 1 and item.hosts for item in self.entries
            )
        )

    def start_load(self):
        for config in self.site.settings:
            client = httpclient.HttpClient(
                self.site.sockets,
                self.site.timers,
                config.callers,
                max_connections=self.load * len(self.queues),
            )
            for queue in self.queues:
                for _ in range(self.load):
                    self._send(client, queue)

    def _send(self, client, queue):
        self.open += 1

        def receive(outcome):
            self.open -= 1
            answered = isinstance(outcome, httpclient.Response)
            self.results[outcome.status if answered else str(outcome)] += 1
            if not self.stopped:
                self._send(client, queue)

        client.send(
            "POST",
            f"/q/{queue}/",
            [
                (b"authorization", f"Bearer {self.key}".encode()),
                (b"run-ms", self.run_ms.encode()),
            ],
            b"sail",
            timeout=60.0,
            on_result=receive,
        )

    def stop_load(self):
        self.stopped = True
        self.loop.run_until(lambda: not self.open)

    def find_returned(self):
        """Returns rebooted hosts that serve at every entry."""
        return [
            worker
            for worker in self.site.platform.reboots
            if all(item.fleet.is_in_service(worker) for item in self.entries)
        ]

    def serves_again(self, worker):
        """Whether the host has started a request since its return."""
        since = self.entries[0].state.fleet.hosts[worker].since
        history = self.site.minions[worker].history
        return any(run.started > since for run in history)


@behave.when("a site under load maintains its first hosts")
def maintain(context):
    site = LoadedSite(
        fleet_control_harness.SHORT_TEXT, ["quotes", "stores", "claims"]
    )
    context.add_cleanup(site.loop.close)
    context.site = site
    site.start_load()
    site.loop.run_until(lambda: site.site.platform.reboots)
    context.status = site.entries[1].view.describe_status()
    context.explained = {
        worker: site.entries[1].view.explain(worker)
        for worker in site.site.platform.reboots
    }
    site.loop.run_until(
        lambda: any(map(site.serves_again, site.find_returned()))
    )
    site.stop_load()


@behave.then("no request was cut or refused, and a rebooted host serves again")
def check_uncut(context):
    site = context.site
    assert set(site.results) == {200}, site.results
    assert site.results[200] > 100, site.results
    assert site.site.platform.interrupted == 0
    assert site.find_returned()
    assert not site.site.timers.failures and not site.site.sockets.failures


@behave.then("status and explanations name the steps")
def check_pages(context):
    status = context.status
    steps = collections.Counter()
    for pool in status["pools"].values():
        steps.update(pool["steps"])
        assert sum(pool["steps"].values()) == pool["workers"], pool
    assert steps["rebooting"] >= 1, steps
    holder = context.site.entries[0].state.planner_lease.holder
    assert status["fleet"]["planner"] == holder
    waves = status["fleet"]["waves"]
    assert len(waves) == 1, waves
    assert waves.keys() <= set(context.site.site.declared.zones), waves
    assert all(set(found) == {"maintenance"} for found in waves.values())
    for worker, found in context.explained.items():
        assert found["worker"] == worker
        assert found["step"] == "rebooting", found
        assert found["reason"].startswith("maintenance: reboots"), found


@behave.when("a site under load maintains hosts without waiting for drains")
def maintain_hastily(context):
    # Longer than a round, so that work is left when the next step comes.
    site = LoadedSite(
        fleet_control_harness.SHORT_TEXT, ["quotes", "stores"], run_ms="6000"
    )
    context.add_cleanup(site.loop.close)
    context.site = site
    for item in site.entries:
        item.fleet.planner.wave.is_drained = lambda worker: True
    site.start_load()
    site.loop.run_until(lambda: len(site.site.platform.reboots) >= 2)


@behave.then("requests were cut by reboots")
def check_cut(context):
    assert context.site.site.platform.interrupted > 0


def find_borrowed(site, pool):
    return [
        worker
        for worker, host in site.entries[0].state.fleet.hosts.items()
        if host.pool == pool and not worker.startswith(f"{pool}-")
    ]


@behave.when("the demand for a pool of a site exceeds its hosts")
def borrow(context):
    # 75 requests at a time need 10 hosts of 8 slots; the pool has 6.
    site = LoadedSite(dev.read_example("guild"), ["quotes"], load=25)
    context.add_cleanup(site.loop.close)
    context.site = site
    site.start_load()
    site.loop.run_until(
        lambda: any(
            site.serves_again(worker)
            for worker in find_borrowed(site, "quotes")
        )
    )
    site.stop_load()


@behave.then("a borrowed host runs that pool's requests, and no request is cut")
def check_borrowed(context):
    site = context.site
    borrowed = find_borrowed(site, "quotes")
    assert borrowed
    for worker in borrowed:
        for run in site.site.minions[worker].history:
            assert run.target == "/q/quotes/", run
            assert run.result == "ran", run
    assert set(site.results) == {200}, site.results
