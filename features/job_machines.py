"""The simulated machine service of sites in `job_harness`."""

from clementinewood import catalog, identifiers, ports

SERVICE_SECONDS = 0.004
MOVE_SECONDS = 1.5
UPKEEP_SECONDS = 2.0
LISTED_SECONDS = 4.5


class Machine:
    """One machine; its minion ends with every move and upkeep."""

    def __init__(self, machine_id, pool, minion):
        self.machine_id = identifiers.MachineId(machine_id)
        self.pool = pool
        self.minion = minion
        self.state = catalog.MachineState.UP
        self.token = 0
        self.wave = 0

    def describe(self):
        minion = self.minion
        return catalog.Machine(
            machine_id=self.machine_id,
            pool=self.pool,
            state=self.state,
            zone=minion.zone,
            minion_id=minion.minion_id
            if self.state is catalog.MachineState.UP
            else identifiers.MinionId(""),
            capacity=minion.capacity,
            labels=minion.labels,
        )


class MachineService:
    """Carries out moves and upkeep; minions in the spare pool are off."""

    def __init__(self, harness, spare_pool):
        self.harness = harness
        self.spare_pool = spare_pool
        self.machines = {}
        self.incarnations = 0
        self.orders = []
        self.upkeep_seconds = UPKEEP_SECONDS
        self.serviced = {}
        self.interrupted = []

    def add(self, minion):
        machine = Machine(f"machine-{minion.minion_id}", minion.pool, minion)
        self.machines[machine.machine_id] = machine

    def move(self, machine_id, pool, term):
        machine = self.machines[machine_id]
        if term < machine.token:
            return ports.MachineOutcome.FENCED
        machine.token = term
        if machine.state is not catalog.MachineState.UP:
            return ports.MachineOutcome.BUSY
        if machine.pool == pool:
            return ports.MachineOutcome.ACCEPTED
        self.orders.append((term, "move", machine_id, pool))
        machine.pool = pool
        self._take_down(machine, catalog.MachineState.MOVING, MOVE_SECONDS)
        return ports.MachineOutcome.ACCEPTED

    def service(self, machine_id, number, term):
        """Begins the maintenance that a wave asks for, once."""
        machine = self.machines[machine_id]
        if term < machine.token:
            return ports.MachineOutcome.FENCED
        machine.token = term
        wave = self._find_wave(number)
        if wave is None or machine_id not in wave.machines:
            return ports.MachineOutcome.NOT_IN_WAVE
        if (number, machine_id) in self.serviced:
            return ports.MachineOutcome.ACCEPTED
        if machine.state is not catalog.MachineState.UP:
            return ports.MachineOutcome.BUSY
        down = len(self.list_down(number))
        if down >= wave.cap:
            self.harness.violations.append(
                f"{machine_id} is taken down beside {down} others"
            )
        self.orders.append((term, "upkeep", machine_id, machine.pool))
        self.serviced[number, machine_id] = self.harness.clock()
        machine.wave = number
        self._take_down(
            machine, catalog.MachineState.UPKEEP, self.upkeep_seconds
        )
        return ports.MachineOutcome.ACCEPTED

    def list_down(self, number):
        """Returns the machines under maintenance for a wave."""
        return [
            item
            for item in self.machines.values()
            if item.state is catalog.MachineState.UPKEEP and item.wave == number
        ]

    def _find_wave(self, number):
        for wave in self.harness.declared.waves:
            if wave.number == number:
                return wave
        return None

    def _take_down(self, machine, state, seconds):
        machine.state = state
        self.interrupted += machine.minion.running
        self.harness.remove_minion(machine.minion)
        self.harness.timers.subscribe_once(
            seconds, lambda: self._come_back(machine)
        )

    def crash(self, minion):
        """Takes the machine of `minion` down without a word to anybody."""
        machine = self.find(minion)
        machine.state = catalog.MachineState.DOWN
        minion.unreachable = True
        minion.crash()
        # The platform lists an unresponsive minion for some time.
        self.harness.timers.subscribe_once(
            LISTED_SECONDS, lambda: self.harness.remove_minion(minion)
        )

    def find(self, minion):
        return next(
            item for item in self.machines.values() if item.minion is minion
        )

    def _come_back(self, machine):
        machine.state = catalog.MachineState.UP
        old = machine.minion
        self.incarnations += 1
        machine.minion = self.harness.create_minion(
            f"{old.minion_id.partition('/')[0]}/{self.incarnations}",
            old.zone,
            machine.pool,
            old.capacity,
        )
        if machine.pool != self.spare_pool:
            self.harness.join_minion(machine.minion)


class MachineAccess:
    """One entry's calls to the machine service, lists apart from orders."""

    def __init__(self, harness, service, link, order_link, receive):
        self.harness = harness
        self.service = service
        self.link = link
        self.order_link = order_link
        self.receive = receive

    def list_machines(self, on_result):
        self._call(
            self.link,
            lambda: tuple(
                machine.describe() for machine in self.service.machines.values()
            ),
            on_result,
            lambda execution: ports.Failed(execution, "lost"),
        )

    def move(self, machine_id, pool, term, on_result, *, send_before):
        self._order(
            lambda: self.service.move(machine_id, pool, term),
            on_result,
            send_before,
        )

    def start_maintenance(
        self, machine_id, wave, term, on_result, *, send_before
    ):
        self._order(
            lambda: self.service.service(machine_id, wave, term),
            on_result,
            send_before,
        )

    def _order(self, apply, on_result, send_before):
        assert self.harness.clock() < send_before
        link = self.order_link
        if self.link.down or self.link.refuses:
            link = self.link
        self._call(
            link,
            apply,
            on_result,
            lambda execution: ports.MachineOutcome.UNKNOWN,
        )

    def _call(self, link, apply, on_result, lost):
        self.harness.call(
            link, SERVICE_SECONDS, apply, self.receive(on_result), lost
        )
