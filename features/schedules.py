"""Random schedules of faults and load over the simulated entries."""

from features import simulation

NAMES = ("n0", "n1", "n2", "n3")


def run_schedule(seed, operations, create=None, count=3, bridging=0.0):
    """Runs one schedule, a list of (operation, argument), to its end.

    Reads bridge their records by a snapshot with probability `bridging`.

    Returns:
        The world, whose history holds or else a HistoryError was raised.
    """
    world = simulation.World(count, seed, create)
    world.bridging = bridging
    for operation, argument in operations:
        OPERATIONS[operation % len(OPERATIONS)](world, argument)
        world.step()
    world.check_reclaimed()
    if world.live():
        world.check_capacity()
    return world


def pick(world, argument):
    live = world.live()
    return live[argument % len(live)] if live else world.join("n0")


def pass_time(world, argument):
    world.run(argument % 8 * simulation.STEP)


def load(world, argument):
    team = simulation.TEAMS[0]
    pick(world, argument).request(team, 1 + argument // 8 % 6)


def claim_key(world, argument):
    pick(world, argument).request_keyed(f"k{argument // 4 % 8}")


def claim_everywhere(world, argument):
    for node in world.live():
        node.request_keyed(f"k{argument % 16}")


def cut_link(world, argument):
    one, two = pick(world, argument), pick(world, argument // 4)
    world.cut(one.name, two.name, both=argument % 2 == 0)


def cut_log(world, argument):
    node = pick(world, argument)
    node.access = not node.access


def switch_log(world, argument):
    world.log_up = not world.log_up


def slow_log(world, argument):
    world.slowness = (0.0, 0.5, 3.0, 0.0)[argument % 4]


def lose_answers(world, argument):
    world.lost_answers = (0.0, 0.5, 1.0, 0.0)[argument % 4]


def disturb_links(world, argument):
    world.loss = (0.0, 0.1, 0.4, 0.0)[argument % 4]
    world.repeats = 0.3 * (argument // 4 % 2)


def pause(world, argument):
    node = pick(world, argument)
    node.paused_until = world.time + (0.5, 1.5, 3.0, 9.0)[argument // 4 % 4]


def stall_sends(world, argument):
    world.stall = (0.0, 0.2)[argument % 2]


def crash(world, argument):
    world.crash(pick(world, argument).name, refuses=argument // 8 % 2 == 0)


def replace(world, argument):
    down = [n for n in NAMES if n not in world.by_name]
    down += [n.name for n in world.by_name.values() if not n.alive]
    if down:
        world.join(down[argument % len(down)])


def leave(world, argument):
    if len(world.live()) > 1:
        pick(world, argument).co.leave()


def change_limit(world, argument):
    team = simulation.TEAMS[argument % 2]
    world.publish(pick(world, argument // 2).name, team, argument // 8 % 10)


def delay_link(world, argument):
    one, two = pick(world, argument), pick(world, argument // 4)
    world.latency[(one.me, two.me)] = (0.5, 2.0, 6.0, 0.0)[argument // 16 % 4]


def stop_claims_reader(world, argument):
    node = pick(world, argument)
    node.reads_claims = not node.reads_claims


def heal(world, argument):
    world.heal()


OPERATIONS = (
    pass_time,
    pass_time,
    load,
    load,
    load,
    claim_key,
    claim_everywhere,
    cut_link,
    cut_log,
    switch_log,
    slow_log,
    lose_answers,
    disturb_links,
    pause,
    stall_sends,
    crash,
    replace,
    replace,
    leave,
    change_limit,
    change_limit,
    delay_link,
    stop_claims_reader,
    heal,
)
