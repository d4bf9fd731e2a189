"""Scripted schedules, each built for one mechanism."""

from clementinewood import membership
from features import simulation

QUOTES, STORES = simulation.TEAMS
QUOTES_RIGHTS = simulation.team_resource(QUOTES)


def crash_while_running(create):
    """All rights run at an entry that crashes; the others want them."""
    world = simulation.World(3, 1, create)
    world.work_time = simulation.TIMING.run_limit
    world.move(QUOTES, "n1", "n0", 2)
    world.move(QUOTES, "n2", "n0", 2)
    world.node("n0").request(QUOTES, 6)
    world.step()
    world.crash("n0")
    world.node("n1").request(QUOTES, 6)
    world.run(10.0)
    world.check_reclaimed()


def chain_of_two_removals(create):
    """Rights moved along a chain of two entries that both crash."""
    world = simulation.World(3, 2, create)
    world.work_time = simulation.TIMING.run_limit
    world.move(QUOTES, "n1", "n0", 2)
    world.move(QUOTES, "n0", "n2", 4)
    world.crash("n1")
    world.run(1.5)
    world.crash("n0")
    for _ in range(60):
        world.node("n2").request(QUOTES, 6)
        world.step()
    world.check_reclaimed()


def lower_while_running(create):
    """A limit is lowered while one entry runs more than its new part."""
    world = simulation.World(3, 3, create)
    world.work_time = simulation.TIMING.run_limit
    world.publish("n0", QUOTES, 9)
    world.run(2.0)
    world.move(QUOTES, "n0", "n1", 2)
    world.node("n1").request(QUOTES, 5)
    world.cut("n1", "n2")
    world.publish("n0", QUOTES, 6)
    while world.node("n2").co.offset < len(world.control) - 1 or (
        len(world.limits) < 4
    ):
        world.step()
    for _ in range(20):
        world.node("n2").request(QUOTES, 2)
        world.step()
    world.check_reclaimed()


def lower_across_a_partition(create):
    """A limit is lowered while two sides only share the log."""
    world = simulation.World(3, 31, create)
    for name in ("n0", "n1"):
        world.cut(name, "n2")
    world.run(1.0)
    world.publish("n0", QUOTES, 3)
    world.run(2.0)
    for _ in range(160):
        world.step()
        if not any(
            n.co.ledger.is_reduction_pending(QUOTES_RIGHTS)
            for n in world.live()
        ):
            break
    else:
        raise simulation.HistoryError("gated: nobody starts work any more")
    world.check_reclaimed()


def lower_while_one_is_dead(create):
    """A limit is lowered when a crashed entry has given its rights away."""
    world = simulation.World(3, 4, create)
    world.work_time = simulation.TIMING.run_limit
    world.move(QUOTES, "n0", "n1", 2)
    world.crash("n0")
    world.publish("n1", QUOTES, 2)
    for _ in range(40):
        for name in ("n1", "n2"):
            world.node(name).request(QUOTES, 4)
        world.step()
    world.check_reclaimed()


def repeat_transfers(create):
    """Every message arrives twice."""
    world = simulation.World(3, 5, create)
    world.repeats = 1.0
    world.work_time = simulation.TIMING.run_limit
    for _ in range(4):
        world.move(QUOTES, "n0", "n1", 1)
        world.move(QUOTES, "n1", "n0", 1)
        world.run(0.5)
    for node in world.live():
        node.request(QUOTES, 6)
    world.run(5.0)
    world.check_reclaimed()


def join_beside_an_outage(create):
    """A joiner reads a log that the older entries cannot reach."""
    world = simulation.World(2, 6, create)
    world.set_access(False, "n0", "n1")
    world.run(3.0)
    world.join("n2")
    for name in ("n0", "n1"):
        world.cut("n2", name)
    world.run(4.0)
    world.publish("n2", QUOTES, 3)
    for _ in range(30):
        world.node("n0").request(QUOTES, 1)
        world.step()
    world.check_reclaimed()


def close_beside_an_outage(create):
    """A late removal reaches a joiner while the removed entry still acts."""
    world = simulation.World(2, 7, create)
    world.work_time = simulation.TIMING.run_limit
    world.set_access(False, "n0", "n1")
    world.run(3.0)
    world.join("n2")
    for name in ("n0", "n1"):
        world.cut("n2", name)
    world.run(2.0)
    n0, n1 = world.node("n0"), world.node("n1")
    # n1 sent these before it lost the log; they took effect only now.
    world.append(n1, -1, "control", membership.Suspected(n0.me))
    offset = len(world.control)
    world.append(n1, -2, "control", membership.Removed(n0.me, offset))
    world.crash("n1")
    world.cuts -= {(a, n1.me) for a in world.nodes}
    for _ in range(60):
        n0.request(QUOTES, 6)
        world.node("n2").request(QUOTES, 6)
        world.step()
    world.check_reclaimed()


def publish_and_crash(create):
    """The only entry that reads the log publishes, then crashes."""
    world = simulation.World(2, 8, create)
    world.set_access(False, "n0")
    world.run(3.0)
    world.cut("n0", "n1")
    world.publish("n1", QUOTES, 3)
    world.run(2.0)
    world.crash("n1")
    world.cuts.clear()
    for _ in range(20):
        world.node("n0").request(QUOTES, 1)
        world.step()


def regain_publish_and_crash(create):
    """An entry gets the log back, publishes at once and crashes."""
    world = simulation.World(2, 9, create)
    world.set_access(False, "n0", "n1")
    world.run(6.0)
    world.set_access(True, "n1")
    world.cut("n0", "n1")
    for _ in range(6):
        if len(world.limits) < 3 and not world.landing:
            world.publish("n1", QUOTES, 3)
        world.step()
    world.crash("n1")
    world.cuts.clear()
    for _ in range(20):
        world.node("n0").request(QUOTES, 1)
        world.step()


def delay_statements(create):
    """Statements of a peer arrive five seconds late."""
    world = simulation.World(2, 10, create)
    n0, n1 = world.node("n0"), world.node("n1")
    world.set_access(False, "n0")
    world.latency[(n1.me, n0.me)] = 5.0
    world.run(0.5)
    world.publish("n1", QUOTES, 3)
    for _ in range(30):
        n0.request(QUOTES, 1)
        world.step()


def isolate(create):
    """An entry is cut from the log and its peers while limits change."""
    world = simulation.World(3, 11, create)
    world.set_access(False, "n0")
    for name in ("n1", "n2"):
        world.cut("n0", name)
    world.publish("n1", QUOTES, 3)
    for _ in range(30):
        world.node("n0").request(QUOTES, 1)
        world.step()
    world.check_reclaimed()


def lose_log_for_all(create):
    """The log is out for all entries, at several phases of their reads."""
    for seed in range(8):
        world = simulation.World(3, 20 + seed, create)
        world.log_up = False
        for _ in range(120):
            world.step()
            world.check_serving()
        world.log_up = True
        for _ in range(20):
            world.step()
            world.check_serving()


def slow_log_for_all(create):
    """Every answer of the log takes longer than a read counts."""
    world = simulation.World(3, 30, create)
    world.slowness = 3.0
    for _ in range(120):
        world.step()
        world.check_serving()


def claim_in_parts(create):
    """Two entries that cannot talk claim one key, one without the log."""
    world = simulation.World(3, 12, create)
    world.set_access(False, "n0")
    world.run(2.0)
    world.cut("n0", "n2")
    world.slowness = 0.25
    world.run(1.0)
    world.node("n0").co.claims.outage_after_seconds = 0.0
    world.node("n2").co.claims.outage_after_seconds = 60.0
    world.node("n2").request_keyed("k")
    world.node("n0").request_keyed("k")
    world.run(6.0)
    world.check_ran("k")


def claim_after_a_departure(create):
    """The claims of a removed entry are in the log but nobody has read them."""
    world = simulation.World(3, 13, create)
    for name in ("n0", "n1"):
        world.node(name).reads_claims = False
    world.node("n2").request_keyed("k")
    world.run(3.0)
    world.crash("n2")
    world.run(4.0)
    world.log_up = False
    world.run(3.0)
    world.node("n0").request_keyed("k")
    world.run(6.0)
    world.check_ran("k")


def release_before_the_log(create):
    """A claim is given up by message before the stream shows it."""
    world = simulation.World(3, 14, create)
    world.node("n1").co.claims.outage_after_seconds = 60.0
    world.cut("n0", "n2")
    world.log_up = False
    world.run(1.0)
    world.node("n0").request_keyed("k")
    world.step()
    world.node("n1").request_keyed("k")
    world.run(1.5)
    world.log_up = True
    for _ in range(12):
        world.node("n2").request_keyed("k")
        world.step()
    world.check_ran("k")


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
