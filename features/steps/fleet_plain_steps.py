"""Steps for fleet planning without faults."""

import behave

from clementinewood import capacity, fleet_fold, fleet_record
from features import fleet_world


class Counter:
    """Counts accepted assignments."""

    def __init__(self):
        self.assigned = 0

    def on_tick(self):
        pass

    def before(self, payload):
        pass

    def after(self, payload, outcome):
        if outcome is fleet_fold.Outcome.APPLIED:
            self.assigned += isinstance(payload, fleet_record.WorkerAssigned)

    def on_start(self, worker):
        pass

    def on_reboot(self, host):
        assert not host.tasks


@behave.given("a fleet of three pools of 4 hosts")
def create_fleet(context):
    context.world = fleet_world.World()
    context.counter = Counter()
    context.world.observers.append(context.counter)


@behave.given("every fleet host runs a task of {seconds:g} seconds")
def start_tasks(context, seconds):
    for worker in context.world.hosts:
        assert context.world.start_task(worker, seconds)
    context.world.deliver()


@behave.when('pool "{pool}" needs {hosts:d} hosts for {seconds:g} seconds')
def set_need(context, pool, hosts, seconds):
    context.world.needs[pool] = capacity.DEFAULT.scale(hosts)
    context.world.advance(seconds)


@behave.when("fleet time passes the due time and {seconds:g} seconds more")
def pass_due_time(context, seconds):
    settings = fleet_world.SETTINGS.waves
    context.world.advance(settings.period * settings.lead + seconds)


@behave.when("fleet time passes by {seconds:g} seconds")
def pass_time(context, seconds):
    context.world.advance(seconds)


@behave.when('a bundle takes fleet zone "{zone}" out')
def take_zone_out(context, zone):
    context.world.publish(fleet_world.declare(out=[zone]))


@behave.when("a bundle takes no fleet zone out")
def take_no_zone_out(context):
    context.world.publish(fleet_world.declare())


@behave.when("a bundle with a new fleet revision is published")
def publish_revision(context):
    context.world.publish(fleet_world.declare(revision=2))


def list_zone(context, zone):
    return [
        worker
        for worker, host in context.world.hosts.items()
        if host.worker.zone == zone
    ]


@behave.then('fleet zone "{zone}" starts no task after {seconds:g} seconds')
def check_zone_out(context, zone, seconds):
    context.world.advance(seconds)
    for worker in list_zone(context, zone):
        assert not context.world.start_task(worker, 1)


@behave.then('fleet zone "{zone}" starts tasks')
def check_zone_in(context, zone):
    for worker in list_zone(context, zone):
        assert context.world.start_task(worker, 1)


@behave.then('fleet pool "{pool}" has {hosts:d} serving hosts')
def check_serving(context, pool, hosts):
    count = context.world.view.pools[pool].serving_count
    assert count == hosts, count


@behave.then("{count:d} fleet hosts were assigned")
def check_assigned(context, count):
    assert context.counter.assigned == count, context.counter.assigned


@behave.then("every fleet host has booted {count:d} times")
def check_boots(context, count):
    boots = {w: h.boots for w, h in context.world.hosts.items()}
    assert set(boots.values()) == {count}, boots


@behave.then("the fleet roll is done in every zone")
def check_roll(context):
    roll = context.world.truth.roll
    assert roll.done == set(fleet_world.ZONES), roll
    assert set(roll.zone_versions.values()) == {2}, roll
