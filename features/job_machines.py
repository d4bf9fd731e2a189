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

    def add(self, minion):
        machine = Machine(f"machine-{minion.minion_id}", minion.pool, minion)
        self.machines[machine.machine_id] = machine

    def order(self, kind, machine_id, pool, term, seconds):
        machine = self.machines[machine_id]
        if term < machine.token:
            return ports.MachineOutcome.FENCED
        machine.token = term
        if machine.state is not catalog.MachineState.UP:
            return ports.MachineOutcome.BUSY
        self.orders.append((term, kind, machine_id, pool))
        machine.state = (
            catalog.MachineState.UPKEEP
            if kind == "upkeep"
            else catalog.MachineState.MOVING
        )
        machine.pool = pool
        self.harness.remove_minion(machine.minion)
        self.harness.timers.subscribe_once(
            seconds, lambda: self._come_back(machine)
        )
        return ports.MachineOutcome.ACCEPTED

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
    """One entry's calls to the machine service."""

    def __init__(self, harness, service, link, receive):
        self.harness = harness
        self.service = service
        self.link = link
        self.receive = receive

    def list_machines(self, on_result):
        self._call(
            lambda: tuple(
                machine.describe() for machine in self.service.machines.values()
            ),
            on_result,
            lambda execution: ports.Failed(execution, "lost"),
        )

    def move(self, machine_id, pool, term, on_result, *, send_before):
        assert self.harness.clock() < send_before
        self._order("move", machine_id, pool, term, MOVE_SECONDS, on_result)

    def start_maintenance(
        self, machine_id, wave, term, on_result, *, send_before
    ):
        assert self.harness.clock() < send_before
        pool = self.service.machines[machine_id].pool
        self._order("upkeep", machine_id, pool, term, UPKEEP_SECONDS, on_result)

    def _order(self, kind, machine_id, pool, term, seconds, on_result):
        self._call(
            lambda: self.service.order(kind, machine_id, pool, term, seconds),
            on_result,
            lambda execution: ports.MachineOutcome.UNKNOWN,
        )

    def _call(self, apply, on_result, lost):
        self.harness.call(
            self.link, SERVICE_SECONDS, apply, self.receive(on_result), lost
        )
