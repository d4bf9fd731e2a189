"""Random schedules of faults and load over the simulated entries."""

from features import coordination_simulation

NAMES = ("n0", "n1", "n2", "n3")


def run_schedule(seed, operations, create=None, count=3, bridging=0.0):
    """Runs one schedule, a list of (operation, argument), to its end.

    Reads bridge their records by a snapshot with probability `bridging`.

    Returns:
        The simulation, whose history holds or else a HistoryError was raised.
    """
    simulation = coordination_simulation.Simulation(count, seed, create)
    simulation.bridging = bridging
    for operation, argument in operations:
        OPERATIONS[operation % len(OPERATIONS)](simulation, argument)
        simulation.step()
    simulation.check_reclaimed()
    if simulation.live():
        simulation.check_capacity()
    return simulation


def pick(simulation, argument):
    live = simulation.live()
    return live[argument % len(live)] if live else simulation.join("n0")


def pass_time(simulation, argument):
    simulation.run(argument % 8 * coordination_simulation.STEP_SECONDS)


def load(simulation, argument):
    team = coordination_simulation.TEAMS[0]
    pick(simulation, argument).request(team, 1 + argument // 8 % 6)


def claim_key(simulation, argument):
    pick(simulation, argument).request_keyed(f"k{argument // 4 % 8}")


def claim_everywhere(simulation, argument):
    for node in simulation.live():
        node.request_keyed(f"k{argument % 16}")


def cut_link(simulation, argument):
    one, two = pick(simulation, argument), pick(simulation, argument // 4)
    simulation.cut(one.name, two.name, both=argument % 2 == 0)


def cut_log(simulation, argument):
    node = pick(simulation, argument)
    node.access = not node.access


def switch_log(simulation, argument):
    simulation.log_up = not simulation.log_up


def slow_log(simulation, argument):
    simulation.slowness = (0.0, 0.5, 3.0, 0.0)[argument % 4]


def lose_answers(simulation, argument):
    simulation.lost_answers = (0.0, 0.5, 1.0, 0.0)[argument % 4]


def disturb_links(simulation, argument):
    simulation.loss = (0.0, 0.1, 0.4, 0.0)[argument % 4]
    simulation.repeats = 0.3 * (argument // 4 % 2)


def pause(simulation, argument):
    node = pick(simulation, argument)
    node.paused_until = (
        simulation.time + (0.5, 1.5, 3.0, 9.0)[argument // 4 % 4]
    )


def stall_sends(simulation, argument):
    simulation.stall = (0.0, 0.2)[argument % 2]


def crash(simulation, argument):
    simulation.crash(
        pick(simulation, argument).name, refuses=argument // 8 % 2 == 0
    )


def replace(simulation, argument):
    down = [n for n in NAMES if n not in simulation.by_name]
    down += [n.name for n in simulation.by_name.values() if not n.alive]
    if down:
        simulation.join(down[argument % len(down)])


def leave(simulation, argument):
    if len(simulation.live()) > 1:
        pick(simulation, argument).coordination.leave()


def change_limit(simulation, argument):
    team = coordination_simulation.TEAMS[argument % 2]
    simulation.publish(
        pick(simulation, argument // 2).name, team, argument // 8 % 10
    )


def delay_link(simulation, argument):
    one, two = pick(simulation, argument), pick(simulation, argument // 4)
    simulation.latency[(one.me, two.me)] = (0.5, 2.0, 6.0, 0.0)[
        argument // 16 % 4
    ]


def stop_claims_reader(simulation, argument):
    node = pick(simulation, argument)
    node.reads_claims = not node.reads_claims


def heal(simulation, argument):
    simulation.heal()


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
