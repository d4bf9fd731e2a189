"""Scripted schedules, each of which tests one mechanism."""

from clementinewood import membership
from features import coordination_simulation

QUOTES, STORES = coordination_simulation.TEAMS
QUOTES_RIGHTS = coordination_simulation.team_resource(QUOTES)


def crash_while_running(create):
    """All rights run at an entry that crashes; the others want them."""
    simulation = coordination_simulation.Simulation(3, 1, create)
    simulation.work_time = coordination_simulation.TIMING.run_limit
    simulation.move(QUOTES, "n1", "n0", 2)
    simulation.move(QUOTES, "n2", "n0", 2)
    simulation.node("n0").request(QUOTES, 6)
    simulation.step()
    simulation.crash("n0")
    simulation.node("n1").request(QUOTES, 6)
    simulation.run(10.0)
    simulation.check_reclaimed()


def chain_of_two_removals(create):
    """Rights moved along a chain of two entries that both crash."""
    simulation = coordination_simulation.Simulation(3, 2, create)
    simulation.work_time = coordination_simulation.TIMING.run_limit
    simulation.move(QUOTES, "n1", "n0", 2)
    simulation.move(QUOTES, "n0", "n2", 4)
    simulation.crash("n1")
    simulation.run(1.5)
    simulation.crash("n0")
    for _ in range(60):
        simulation.node("n2").request(QUOTES, 6)
        simulation.step()
    simulation.check_reclaimed()


def lower_while_running(create):
    """A limit is lowered while one entry runs more than its new part."""
    simulation = coordination_simulation.Simulation(3, 3, create)
    simulation.work_time = coordination_simulation.TIMING.run_limit
    simulation.publish("n0", QUOTES, 9)
    simulation.run(2.0)
    simulation.move(QUOTES, "n0", "n1", 2)
    simulation.node("n1").request(QUOTES, 5)
    simulation.cut("n1", "n2")
    simulation.publish("n0", QUOTES, 6)
    while simulation.node("n2").coordination.offset < len(
        simulation.control
    ) - 1 or (len(simulation.limits) < 4):
        simulation.step()
    for _ in range(20):
        simulation.node("n2").request(QUOTES, 2)
        simulation.step()
    simulation.check_reclaimed()


def lower_across_a_partition(create):
    """A limit is lowered while two sides only share the log."""
    simulation = coordination_simulation.Simulation(3, 31, create)
    for name in ("n0", "n1"):
        simulation.cut(name, "n2")
    simulation.run(1.0)
    simulation.publish("n0", QUOTES, 3)
    simulation.run(2.0)
    for _ in range(160):
        simulation.step()
        if not any(
            n.coordination.ledger.is_reduction_pending(QUOTES_RIGHTS)
            for n in simulation.live()
        ):
            break
    else:
        raise coordination_simulation.HistoryError(
            "gated: nobody starts work any more"
        )
    simulation.check_reclaimed()


def lower_while_one_is_dead(create):
    """A limit is lowered when a crashed entry has given its rights away."""
    simulation = coordination_simulation.Simulation(3, 4, create)
    simulation.work_time = coordination_simulation.TIMING.run_limit
    simulation.move(QUOTES, "n0", "n1", 2)
    simulation.crash("n0")
    simulation.publish("n1", QUOTES, 2)
    for _ in range(40):
        for name in ("n1", "n2"):
            simulation.node(name).request(QUOTES, 4)
        simulation.step()
    simulation.check_reclaimed()


def repeat_transfers(create):
    """Every message arrives twice."""
    simulation = coordination_simulation.Simulation(3, 5, create)
    simulation.repeats = 1.0
    simulation.work_time = coordination_simulation.TIMING.run_limit
    for _ in range(4):
        simulation.move(QUOTES, "n0", "n1", 1)
        simulation.move(QUOTES, "n1", "n0", 1)
        simulation.run(0.5)
    for node in simulation.live():
        node.request(QUOTES, 6)
    simulation.run(5.0)
    simulation.check_reclaimed()


def join_beside_an_outage(create):
    """A joiner reads a log that the older entries cannot reach."""
    simulation = coordination_simulation.Simulation(2, 6, create)
    simulation.set_access(False, "n0", "n1")
    simulation.run(3.0)
    simulation.join("n2")
    for name in ("n0", "n1"):
        simulation.cut("n2", name)
    simulation.run(4.0)
    simulation.publish("n2", QUOTES, 3)
    for _ in range(30):
        simulation.node("n0").request(QUOTES, 1)
        simulation.step()
    simulation.check_reclaimed()


def close_beside_an_outage(create):
    """A late removal reaches a joiner while the removed entry still acts."""
    simulation = coordination_simulation.Simulation(2, 7, create)
    simulation.work_time = coordination_simulation.TIMING.run_limit
    simulation.set_access(False, "n0", "n1")
    simulation.run(3.0)
    simulation.join("n2")
    for name in ("n0", "n1"):
        simulation.cut("n2", name)
    simulation.run(2.0)
    n0, n1 = simulation.node("n0"), simulation.node("n1")
    # n1 sent these before it lost the log; they take effect only now.
    simulation.append(n1, -1, "control", membership.Suspected(n0.me))
    offset = len(simulation.control)
    simulation.append(n1, -2, "control", membership.Removed(n0.me, offset))
    simulation.crash("n1")
    simulation.cuts -= {(a, n1.me) for a in simulation.nodes}
    for _ in range(60):
        n0.request(QUOTES, 6)
        simulation.node("n2").request(QUOTES, 6)
        simulation.step()
    simulation.check_reclaimed()


def publish_and_crash(create):
    """The only entry that reads the log publishes, then crashes."""
    simulation = coordination_simulation.Simulation(2, 8, create)
    simulation.set_access(False, "n0")
    simulation.run(3.0)
    simulation.cut("n0", "n1")
    simulation.publish("n1", QUOTES, 3)
    simulation.run(2.0)
    simulation.crash("n1")
    simulation.cuts.clear()
    for _ in range(20):
        simulation.node("n0").request(QUOTES, 1)
        simulation.step()


def regain_publish_and_crash(create):
    """An entry gets the log back, publishes at once and crashes."""
    simulation = coordination_simulation.Simulation(2, 9, create)
    simulation.set_access(False, "n0", "n1")
    simulation.run(6.0)
    simulation.set_access(True, "n1")
    simulation.cut("n0", "n1")
    for _ in range(6):
        if len(simulation.limits) < 3 and not simulation.appends_in_flight:
            simulation.publish("n1", QUOTES, 3)
        simulation.step()
    simulation.crash("n1")
    simulation.cuts.clear()
    for _ in range(20):
        simulation.node("n0").request(QUOTES, 1)
        simulation.step()


def delay_statements(create):
    """Statements of a peer arrive five seconds late."""
    simulation = coordination_simulation.Simulation(2, 10, create)
    n0, n1 = simulation.node("n0"), simulation.node("n1")
    simulation.set_access(False, "n0")
    simulation.latency[(n1.me, n0.me)] = 5.0
    simulation.run(0.5)
    simulation.publish("n1", QUOTES, 3)
    for _ in range(30):
        n0.request(QUOTES, 1)
        simulation.step()


def isolate(create):
    """An entry is cut from the log and its peers while limits change."""
    simulation = coordination_simulation.Simulation(3, 11, create)
    simulation.set_access(False, "n0")
    for name in ("n1", "n2"):
        simulation.cut("n0", name)
    simulation.publish("n1", QUOTES, 3)
    for _ in range(30):
        simulation.node("n0").request(QUOTES, 1)
        simulation.step()
    simulation.check_reclaimed()


def lose_log_for_all(create):
    """The log is out for all entries, at several phases of their reads."""
    for seed in range(8):
        simulation = coordination_simulation.Simulation(3, 20 + seed, create)
        simulation.log_up = False
        for _ in range(120):
            simulation.step()
            simulation.check_serving()
        simulation.log_up = True
        for _ in range(20):
            simulation.step()
            simulation.check_serving()


def slow_log_for_all(create):
    """Every answer of the log takes longer than a read counts."""
    simulation = coordination_simulation.Simulation(3, 30, create)
    simulation.slowness = 3.0
    for _ in range(120):
        simulation.step()
        simulation.check_serving()


def claim_in_parts(create):
    """Two entries that cannot talk claim one key, one without the log."""
    simulation = coordination_simulation.Simulation(3, 12, create)
    simulation.set_access(False, "n0")
    simulation.run(2.0)
    simulation.cut("n0", "n2")
    simulation.slowness = 0.25
    simulation.run(1.0)
    simulation.node("n0").coordination.claims.outage_after_seconds = 0.0
    simulation.node("n2").coordination.claims.outage_after_seconds = 60.0
    simulation.node("n2").request_keyed("k")
    simulation.node("n0").request_keyed("k")
    simulation.run(6.0)
    simulation.check_ran("k")


def claim_after_a_departure(create):
    """The claims of a removed entry are in the log but nobody has read them."""
    simulation = coordination_simulation.Simulation(3, 13, create)
    for name in ("n0", "n1"):
        simulation.node(name).reads_claims = False
    simulation.node("n2").request_keyed("k")
    simulation.run(3.0)
    simulation.crash("n2")
    simulation.run(4.0)
    simulation.log_up = False
    simulation.run(3.0)
    simulation.node("n0").request_keyed("k")
    simulation.run(6.0)
    simulation.check_ran("k")


def release_before_the_log(create):
    """A claim is given up by message before the stream shows it."""
    simulation = coordination_simulation.Simulation(3, 14, create)
    simulation.node("n1").coordination.claims.outage_after_seconds = 60.0
    simulation.cut("n0", "n2")
    simulation.log_up = False
    simulation.run(1.0)
    simulation.node("n0").request_keyed("k")
    simulation.step()
    simulation.node("n1").request_keyed("k")
    simulation.run(1.5)
    simulation.log_up = True
    for _ in range(12):
        simulation.node("n2").request_keyed("k")
        simulation.step()
    simulation.check_ran("k")


SCRIPTS = {
    script.__name__.replace("_", " "): script
    for script in (
        crash_while_running,
        chain_of_two_removals,
        lower_while_running,
        lower_across_a_partition,
        lower_while_one_is_dead,
        repeat_transfers,
        join_beside_an_outage,
        close_beside_an_outage,
        publish_and_crash,
        regain_publish_and_crash,
        delay_statements,
        isolate,
        lose_log_for_all,
        slow_log_for_all,
        claim_in_parts,
        claim_after_a_departure,
        release_before_the_log,
    )
}
