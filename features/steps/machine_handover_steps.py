"""Steps for maintenance waves while the dispatcher changes."""

import itertools
import random
from unittest import mock

import behave

from clementinewood import (
    catalog,
    dispatcher,
    identifiers,
    jobtable,
    leaderelector,
    machineorders,
    orderhandover,
    ports,
    run,
    verdict,
)
from features import job_harness, wave_faults

MACHINE = identifiers.MachineId("machine-m0")
OLD_MINION = identifiers.MinionId("m0")


@behave.given(
    "a site whose wave takes {count:d} machines down, {cap:d} at once"
)
def create_wave_site(context, count, cap):
    context.site = wave_faults.WaveSite(1, machines=count, cap=cap)
    context.harness = context.site.harness


@behave.when("the store takes {seconds:g} seconds for each append of progress")
def slow_appends(context, seconds):
    store = context.harness.store
    put, context.begun_at_completion = store.put, []

    def observe(stream, key, value):
        if stream is ports.Stream.STATUS and b"completed" in value:
            records = store.newest[ports.Stream.DISPATCH].items()
            context.begun_at_completion.append(
                [
                    name
                    for name, record in records
                    if name.startswith(f"w/{wave_faults.WAVE}/")
                    and b"begun" in record.value
                ]
            )
        return put(stream, key, value)

    store.put = observe
    store.append_seconds[ports.Stream.DISPATCH] = seconds
    context.site.begin_wave()


@behave.then("the maintenance of each of its machines was stored before")
def check_stored_before(context):
    (begun,) = context.begun_at_completion
    assert len(begun) == len(context.site.wave.machines), begun


@behave.when(
    "the first status of the wave is stored {seconds:g} seconds late without"
    " an answer"
)
def delay_first_status(context, seconds):
    harness = context.harness
    store, access = harness.store, harness.dispatcher()._store
    append = access.append

    def lose_first(stream, items, on_result, *, fence=None):
        if stream is not ports.Stream.STATUS:
            append(stream, items, on_result, fence=fence)
            return
        access.append = append
        later = harness.timers.subscribe_once
        later(seconds, lambda: store.append(stream, items, fence))
        lost = ports.Failed(verdict.Execution.MAY_HAVE_RUN, "lost")
        later(job_harness.SILENCE_SECONDS, lambda: on_result(lost))

    access.append = lose_first
    context.site.begin_wave()


@behave.then("it still is after {seconds:g} seconds")
def check_still_completed(context, seconds):
    context.harness.run_for(seconds)
    assert context.site.is_completed()


@behave.given("maintenance takes {seconds:g} seconds")
def set_maintenance_seconds(context, seconds):
    context.harness.machine_service.upkeep_seconds = seconds


@behave.given("a long-running job whose tasks may be away one at a time")
def submit_lasting(context):
    context.site.submit_lasting()


@behave.when("the maintenance of {count:d} machines has begun")
def await_maintenance(context, count):
    context.site.begin_wave()
    service = context.harness.machine_service
    context.harness.run_until(
        lambda: len(service.list_down(wave_faults.WAVE)) == count
    )


@behave.when("the dispatcher is killed and starts again on the same host")
def restart_dispatcher(context):
    harness = context.harness
    again = context.site.restart(harness.dispatcher())
    harness.run_until(lambda: again.dispatching, 5.0)


@behave.when(
    "the machine service carries out orders {earliest:g} to {latest:g} seconds"
    " late for {seconds:g} seconds"
)
def delay_machine_orders(context, earliest, latest, seconds):
    harness = context.harness
    links = list(harness.machine_order_links.values())
    for link in links:
        link.lost_answer_ratio, link.carried_out = 1.0, 1.0
        link.earliest, link.late = earliest, latest
    context.site.begin_wave()
    harness.run_for(seconds)
    for link in links:
        link.lost_answer_ratio = 0.0


@behave.when("the dispatcher is killed while its tasks are moved")
def kill_while_moving_tasks(context):
    context.site.begin_wave()
    harness = context.harness
    harness.run_until(lambda: list_stops(harness))
    harness.kill(harness.dispatcher())


def list_machines(site, stage):
    """Returns the machines of the wave in a stage, as stored."""
    waves = site.harness.dispatcher().table.waves
    progress = waves.get(wave_faults.WAVE, jobtable.WaveProgress())
    return [
        site.harness.machine_service.machines[machine_id]
        for machine_id, found in progress.machines.items()
        if found.stage is stage
    ]


def list_tasks_to_move(site):
    """Returns long-running tasks on machines that are to be drained."""
    return [
        task
        for machine in list_machines(site, jobtable.MaintenanceStage.DRAINING)
        for task in machine.minion.running
        if task.job == wave_faults.LASTING
    ]


@behave.when(
    "the dispatcher is killed and starts again while tasks are to be moved"
)
def restart_while_moving_tasks(context):
    context.site.begin_wave()
    harness = context.harness
    harness.run_until(lambda: list_tasks_to_move(context.site))
    context.site.restart(harness.dispatcher())


@behave.when(
    "a machine order is lost and the dispatcher is killed and starts again"
)
def restart_after_order(context):
    context.site.begin_wave()
    harness = context.harness
    links = list(harness.machine_order_links.values())
    for link in links:
        link.lost_answer_ratio, link.carried_out = 1.0, 0.0
    ordered = jobtable.MaintenanceStage.ORDERED
    harness.run_until(lambda: list_machines(context.site, ordered))
    context.site.restart(harness.dispatcher())
    for link in links:
        link.lost_answer_ratio = 0.0


@behave.when("no minion is listed for {seconds:g} seconds")
def empty_minion_list(context, seconds):
    harness = context.harness
    for minion_id in harness.minions:
        harness.store.put(ports.Stream.MINIONS, minion_id, b"")
    before = len(harness.machine_service.orders)
    with mock.patch.object(harness, "publish"):
        harness.run_for(seconds)
    context.orders = harness.machine_service.orders[before:]


@behave.then("no machine was taken down meanwhile")
def check_no_orders(context):
    assert not context.orders, context.orders


@behave.then("no machine was taken down under a task of the job")
def check_uninterrupted(context):
    tasks = context.harness.machine_service.interrupted
    assert not [task for task in tasks if task.job == wave_faults.LASTING]


def list_stops(harness):
    """Returns minion and task of each stop of a long-running task."""
    return [
        (entry[2], entry[3])
        for entry in harness.history
        if entry[0] == "end"
        and entry[3].job == wave_faults.LASTING
        and entry[4] is run.RunOutcome.STOPPED
    ]


@behave.then("the wave is completed within {seconds:g} seconds")
def await_wave(context, seconds):
    harness = context.harness
    harness.run_until(context.site.is_completed, seconds)
    assert not context.site.list_unserviced()
    harness.run_for(harness.machine_service.upkeep_seconds + 3.0)


@behave.then("no task of the job was stopped twice for one machine")
def check_stops(context):
    stops = list_stops(context.harness)
    assert stops and len(stops) == len(set(stops)), stops


@behave.then("all tasks of the job are at work")
def check_all_working(context):
    assert context.site.count_working() == context.site.tasks


@behave.given("{count:d} waves beside faults drawn from seed {seed:d}")
def draw_waves(context, count, seed):
    rng = random.Random(seed)
    context.seeds = [rng.randrange(1 << 30) for _ in range(count)]


@behave.then(
    "no wave goes over its cap, forgets a machine or leaves a task waiting"
)
def check_waves(context):
    for seed in context.seeds:
        site = wave_faults.run_wave(seed)
        broken = wave_faults.list_violations(site)
        assert not broken, (seed, broken)


@behave.given("a machine order without a response")
def create_uncertain_order(context):
    context.orders = machineorders.MachineOrders()
    context.order = context.orders.add(
        MACHINE, machineorders.Maintenance(1), OLD_MINION, 0.0
    )
    context.orders.apply_outcome(
        context.order, ports.MachineOutcome.UNKNOWN, 1.0
    )


@behave.when('the next attempt has the outcome "{outcome}"')
def apply_outcome(context, outcome):
    context.orders.apply_outcome(
        context.order, ports.MachineOutcome(outcome), 2.0
    )


@behave.then("the machine {does} count against the wave's cap")
def check_counted(context, does):
    counted = MACHINE in context.orders.list_maintained(1)
    assert counted is (does == "does"), does


@behave.then("a list that shows it up {does} free its place")
def check_settled(context, does):
    listed = catalog.Machine(
        machine_id=MACHINE,
        pool=job_harness.QUOTES_POOL,
        state=catalog.MachineState.UP,
        zone=identifiers.ZoneId("zone-0"),
        minion_id=OLD_MINION,
    )
    context.orders.settle({MACHINE: listed}, 10.0)
    counted = MACHINE in context.orders.list_maintained(1)
    assert counted is (does == "does not"), does


@behave.then("some wave breaks a rule without regard to {mechanism}")
def check_mutant(context, mechanism):
    with wave_faults.MUTANTS[mechanism]():
        assert any(
            wave_faults.list_violations(wave_faults.run_wave(seed))
            for seed in context.seeds
        )


TAKEOVER = 100.0
LEASE_SECONDS = 3.0


@behave.given("a machine whose last order does not exist")
def create_no_order(context):
    context.orders = {}


@behave.given("a machine whose last order was settled {age:g} s ago")
def create_settled_order(context, age):
    context.orders = {
        MACHINE: jobtable.StoredOrder(settled=True, read_at=TAKEOVER - age)
    }


@behave.given(
    "a machine whose last order is not settled and was read {age:g} s ago"
)
def create_open_order(context, age):
    context.orders = {
        MACHINE: jobtable.StoredOrder(settled=False, read_at=TAKEOVER - age)
    }


@behave.when(
    "a leader takes over whose predecessor may have ordered until {age:g} s ago"
)
def take_over_machines(context, age):
    context.waits = orderhandover.compute_waits(
        context.orders,
        now=TAKEOVER,
        last_order_at=TAKEOVER - age,
        lease_seconds=LEASE_SECONDS,
    )


@behave.then("it may order that machine after {seconds:g} seconds")
def check_order_wait(context, seconds):
    wait = context.waits.get(MACHINE, TAKEOVER) - TAKEOVER
    assert wait == seconds, context.waits


@behave.given(
    "the log has a settled move and an unsettled maintenance of a machine"
)
def create_two_orders(context):
    move = jobtable.StoredMove(identifiers.PoolId("a"), OLD_MINION, True)
    maintenance = jobtable.MachineProgress(
        jobtable.MaintenanceStage.ORDERED, OLD_MINION
    )
    context.records = [
        jobtable.StoredRecord(
            jobtable.render_move_key(MACHINE), jobtable.encode_move(move), 5
        ),
        jobtable.StoredRecord(
            jobtable.render_wave_machine_key(1, MACHINE),
            jobtable.encode_machine_progress(maintenance),
            3,
        ),
    ]


@behave.then(
    "the machine's newest order is not settled, in any order of the records"
)
def check_two_orders(context):
    for records in itertools.permutations(context.records):
        table = jobtable.JobTable(lambda: TAKEOVER)
        for record in records:
            table.apply(record)
        assert not table.list_machine_orders()[MACHINE].settled


@behave.given(
    "a new leader that finds an unsettled move of a machine to pool b"
)
def restore_move(context):
    context.orders = machineorders.MachineOrders()
    context.orders.restore(
        MACHINE,
        machineorders.Move(identifiers.PoolId("b")),
        OLD_MINION,
        TAKEOVER,
    )


@behave.when("the machine is listed as {state} in pool {pool} with {minion}")
def list_moved_machine(context, state, pool, minion):
    minions = {
        "a new minion": "m1",
        "its old minion": OLD_MINION,
        "no minion": "",
    }
    machine = catalog.Machine(
        machine_id=MACHINE,
        pool=identifiers.PoolId(pool),
        state=catalog.MachineState(state),
        zone=identifiers.ZoneId("a"),
        minion_id=identifiers.MinionId(minions[minion]),
    )
    context.settled = context.orders.settle(
        {MACHINE: machine}, TAKEOVER + machineorders.LIST_LAG_SECONDS
    )


@behave.then("the move is settled")
def check_move_settled(context):
    assert [order.machine_id for order in context.settled] == [MACHINE]
    assert MACHINE not in context.orders


@behave.then("the move is not settled")
def check_move_open(context):
    assert not context.settled
    assert MACHINE in context.orders


@behave.given("a leader whose record another entry reads at {read:g} seconds")
def read_leader(context, read):
    context.timers = mock.Mock()
    context.elector = leaderelector.LeaderElector(
        identifiers.Incarnation("entry-2/1"),
        store=mock.Mock(),
        dispatch_feed=mock.Mock(),
        jobs_feed=mock.Mock(),
        timers=context.timers,
        random_fraction=lambda: 0.5,
        lease_seconds=3.0,
        create_driver=mock.Mock(),
        on_elected=mock.Mock(),
        on_stepped_down=mock.Mock(),
    )
    context.timers.clock.return_value = read
    context.elector.observe_leadership(
        jobtable.LeaderRecord(
            identifiers.Term(1), identifiers.Incarnation("entry-1/1")
        ),
        1,
    )


@behave.when(
    "the other entry's candidacy is stored at {stored:g} seconds and it leads"
    " at {leads:g} seconds"
)
def take_over(context, stored, leads):
    context.timers.clock.return_value = stored
    context.elector._handle_candidacy_stored(2)
    context.timers.clock.return_value = leads


@behave.then("its first machine order comes at {first:g} seconds or later")
def check_first_order(context, first):
    delay = context.elector._compute_machine_order_delay()
    assert context.timers.clock() + delay >= first - 1e-6, delay


@behave.then(
    "the longest lease of a predecessor covers {permission:g} s of permission"
    " and {lease:g} s of lease on slow clocks"
)
def check_prior_lease(context, permission, lease):
    longest = (permission + lease) * (1 + run.CLOCK_DRIFT)
    assert longest <= dispatcher.MAX_PRIOR_LEASE_SECONDS, longest
