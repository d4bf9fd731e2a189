"""Steps for fleet planning without faults."""

import dataclasses

import behave

from clementinewood import capacity, fleet, fleet_fold, fleet_record
from features import fleet_harness, fleet_mutants


class Counter:
    """Counts accepted assignments."""

    def __init__(self):
        self.assigned = self.cordoned = 0

    def on_tick(self):
        pass

    def before(self, payload):
        pass

    def after(self, payload, outcome):
        if outcome is fleet_fold.Outcome.APPLIED:
            self.assigned += isinstance(payload, fleet_record.WorkerAssigned)
            step = getattr(payload, "step", None)
            self.cordoned += step is fleet_record.Step.CORDONED

    def on_start(self, worker):
        pass

    def on_reboot(self, host):
        assert not host.tasks


@behave.given("a fleet of three pools of 4 hosts")
def create_fleet(context):
    prepare(context, fleet_harness.Parts())


@behave.given(
    "a fleet of three pools of 4 hosts whose maintenance never pauses"
)
def create_unpaused(context):
    prepare(context, fleet_mutants.PARTS["no pause"])


def prepare(context, parts):
    context.harness = fleet_harness.FleetHarness(parts)
    context.counter = Counter()
    context.harness.observers.append(context.counter)


@behave.given("every fleet host runs a task of {seconds:g} seconds")
def start_tasks(context, seconds):
    for worker in context.harness.hosts:
        assert context.harness.start_task(worker, seconds)
    context.harness.deliver()


@behave.when('pool "{pool}" needs {hosts:d} hosts for {seconds:g} seconds')
def set_need(context, pool, hosts, seconds):
    context.harness.needs[pool] = capacity.DEFAULT.scale(hosts)
    context.harness.advance(seconds)


@behave.when("fleet time passes the due time and {seconds:g} seconds more")
def pass_due_time(context, seconds):
    settings = fleet_harness.SETTINGS.waves
    context.harness.advance(settings.period * settings.lead + seconds)


@behave.when("fleet time passes by {seconds:g} seconds")
def pass_time(context, seconds):
    context.harness.advance(seconds)


@behave.when('a bundle takes fleet zone "{zone}" out')
def take_zone_out(context, zone):
    context.harness.publish(fleet_harness.declare(out=[zone]))


@behave.when("a bundle takes no fleet zone out")
def take_no_zone_out(context):
    context.harness.publish(fleet_harness.declare())


@behave.when("a bundle with a new fleet revision is published")
def publish_revision(context):
    context.harness.publish(fleet_harness.declare(revision=2))


def list_zone(context, zone):
    return [
        worker
        for worker, host in context.harness.hosts.items()
        if host.worker.zone == zone
    ]


@behave.then('fleet zone "{zone}" starts no task after {seconds:g} seconds')
def check_zone_out(context, zone, seconds):
    context.harness.advance(seconds)
    for worker in list_zone(context, zone):
        assert not context.harness.start_task(worker, 1)


@behave.then('fleet zone "{zone}" starts tasks')
def check_zone_in(context, zone):
    for worker in list_zone(context, zone):
        assert context.harness.start_task(worker, 1)


@behave.then('fleet pool "{pool}" has {hosts:d} serving hosts')
def check_serving(context, pool, hosts):
    count = context.harness.view.pools[pool].serving_count
    assert count == hosts, count


@behave.then("{count:d} fleet hosts were assigned")
def check_assigned(context, count):
    assert context.counter.assigned == count, context.counter.assigned


@behave.then("every fleet host has booted {count:d} times")
def check_boots(context, count):
    boots = {w: h.boots for w, h in context.harness.hosts.items()}
    assert set(boots.values()) == {count}, boots


@behave.then("the fleet roll is done in every zone")
def check_roll(context):
    roll = context.harness.truth.roll
    assert roll.done == set(fleet_harness.ZONES), roll
    assert set(roll.zone_versions.values()) == {2}, roll


@behave.when('the hosts of fleet pools "{pools}" fail for {seconds:g} seconds')
def fail_pools(context, pools, seconds):
    for worker, host in context.harness.hosts.items():
        if host.pool in pools.split(","):
            context.harness.fail(worker, seconds=seconds)


@behave.then("{count:d} fleet hosts were cordoned")
def check_cordoned(context, count):
    assert context.counter.cordoned == count, context.counter.cordoned


@behave.then("more than {count:d} fleet hosts were cordoned")
def check_more_cordoned(context, count):
    assert context.counter.cordoned > count


@behave.given('fleet host "{worker}" stays down after its next reboot')
def stay_down(context, worker):
    context.harness.hosts[worker].returns = False


@behave.when('fleet host "{worker}" comes back broken')
def come_back_broken(context, worker):
    host = context.harness.hosts[worker]
    host.up, host.healthy, host.returns = True, False, True


@behave.when('fleet host "{worker}" is repaired')
def repair(context, worker):
    context.harness.hosts[worker].healthy = True


@behave.then('fleet host "{worker}" is recorded as lost')
def check_lost(context, worker):
    step = context.harness.truth.hosts[worker].step
    assert step is fleet_record.Step.LOST, step


@behave.then('every host of fleet pools "{pools}" has booted {count:d} times')
def check_pool_boots(context, pools, count):
    for host in context.harness.hosts.values():
        if host.pool in pools.split(","):
            assert host.boots == count, host


@behave.then('fleet host "{worker}" starts no task')
def check_no_task(context, worker):
    assert not context.harness.start_task(worker, 1)


@behave.then('fleet host "{worker}" is in service and maintained')
def check_maintained(context, worker):
    state = context.harness.truth.hosts[worker]
    assert state.step is fleet_record.Step.IN_SERVICE, state
    assert state.maintained > 0, state


@behave.when('fleet host "{worker}" is listed as live and as leaving')
def list_twice(context, worker):
    harness = context.harness
    reports = [host.report(harness.now + 1) for host in harness.hosts.values()]
    twin = dataclasses.replace(
        harness.hosts[worker].report(harness.now + 1),
        listing=fleet.Listing.LEAVING,
    )
    harness.view.observe_list([twin, *reports], harness.now + 1)


@behave.then('fleet host "{worker}" starts no task in the view of that list')
def check_listed(context, worker):
    assert not context.harness.view.can_start(worker)
    assert context.harness.view.can_start("east-1")


@behave.when("a fleet host that no pool has is listed for {seconds:g} seconds")
def list_new(context, seconds):
    worker = fleet.Worker("new-0", "z2", "z2-r9")
    context.harness.hosts["new-0"] = fleet_harness.Host(worker, None)
    context.harness.advance(seconds)
