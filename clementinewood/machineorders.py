"""Tracks orders about machines until their effect on the machines is known.

Load pattern: a machine service that is slow, silent or carries out orders late,
and changes of the leader meanwhile. An order that may be carried out, even
later, keeps its machine reserved and its place in a wave; it is repeated until
the service says what became of it. Each order is stored before it is sent, so
that a successor repeats it with its own token, which fences the older one.
"""

import dataclasses
import enum
from collections.abc import Iterator, Mapping

from clementinewood import catalog, identifiers, ports

LIST_LAG_SECONDS = 0.4
"""Delay after which the list of machines shows the effect of an order."""

RETRY_SECONDS = 0.25
"""Pause before an order is repeated that the service has refused for now."""


@dataclasses.dataclass(frozen=True, slots=True)
class Maintenance:
    """Maintenance of a machine for a wave."""

    wave: int


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """Move of a machine to another pool."""

    pool: identifiers.PoolId


Operation = Maintenance | Move


class OrderState(enum.Enum):
    """State of an order about a machine."""

    STORING = "storing"
    """Its record is being stored; it has not been sent."""

    READY = "ready"
    """To be sent, or sent again."""

    IN_FLIGHT = "in-flight"
    CARRIED_OUT = "carried-out"
    """Accepted; the machine is down until a later list shows it up."""


@dataclasses.dataclass(slots=True, kw_only=True)
class MachineOrder:
    """One order about one machine.

    Attributes:
        machine_id: The machine.
        operation: What is ordered.
        minion_id: Minion that the machine ran when it was ordered.
        state: State of the order.
        changed_at: Monotonic time in seconds of the last change of state.
        uncertain: Whether an attempt without a response, or one of an earlier
            leader, may have been carried out or may be yet.
        not_before: Monotonic time in seconds before which it is not sent.
    """

    machine_id: identifiers.MachineId
    operation: Operation
    minion_id: identifiers.MinionId
    state: OrderState = OrderState.STORING
    changed_at: float = 0.0
    uncertain: bool = False
    not_before: float = 0.0

    def is_due(self, machine: catalog.Machine | None, now: float) -> bool:
        """Whether it can be sent to a machine that is listed like this."""
        return (
            self.state is OrderState.READY
            and now >= self.not_before
            and machine is not None
            and machine.state is catalog.MachineState.UP
        )


class Effect(enum.Enum):
    """What the outcome of an attempt says about its order."""

    CARRIED_OUT = "carried-out"
    OPEN = "open"
    """It is repeated."""

    WITHDRAWN = "withdrawn"
    """It has not been carried out, and never will be."""


_EFFECTS = {
    ports.MachineOutcome.ACCEPTED: Effect.CARRIED_OUT,
    ports.MachineOutcome.UNKNOWN: Effect.OPEN,
    ports.MachineOutcome.NOT_IN_WAVE: Effect.WITHDRAWN,
    ports.MachineOutcome.INVALID: Effect.WITHDRAWN,
}
"""Effects that do not depend on earlier attempts."""


class MachineOrders:
    """Holds the order of each machine that has one."""

    def __init__(self) -> None:
        self._orders: dict[identifiers.MachineId, MachineOrder] = {}

    def __contains__(self, machine_id: object) -> bool:
        return machine_id in self._orders

    def __iter__(self) -> Iterator[MachineOrder]:
        return iter(list(self._orders.values()))

    def add(
        self,
        machine_id: identifiers.MachineId,
        operation: Operation,
        minion_id: identifiers.MinionId,
        now: float,
    ) -> MachineOrder:
        """Adds a new order, which is to be stored before it is sent."""
        order = MachineOrder(
            machine_id=machine_id,
            operation=operation,
            minion_id=minion_id,
            changed_at=now,
        )
        self._orders[machine_id] = order
        return order

    def restore(
        self,
        machine_id: identifiers.MachineId,
        operation: Operation,
        minion_id: identifiers.MinionId,
        now: float,
    ) -> None:
        """Adds a stored order of an earlier leader."""
        order = self.add(machine_id, operation, minion_id, now)
        order.state = OrderState.READY
        order.uncertain = True

    def is_held(self, order: MachineOrder) -> bool:
        """Whether `order` is still the order of its machine."""
        return self._orders.get(order.machine_id) is order

    def remove(self, order: MachineOrder) -> None:
        """Removes an order whose effect is known."""
        if self.is_held(order):
            del self._orders[order.machine_id]

    def apply_outcome(
        self, order: MachineOrder, outcome: ports.MachineOutcome, now: float
    ) -> Effect:
        """Applies the outcome of an attempt.

        A rejection says nothing about earlier attempts without a response.
        """
        effect = _EFFECTS.get(
            outcome, Effect.OPEN if order.uncertain else Effect.WITHDRAWN
        )
        order.changed_at = now
        match effect:
            case Effect.CARRIED_OUT:
                order.state = OrderState.CARRIED_OUT
            case Effect.OPEN:
                order.state = OrderState.READY
                if outcome is ports.MachineOutcome.UNKNOWN:
                    order.uncertain = True
                else:
                    order.not_before = now + RETRY_SECONDS
            case Effect.WITHDRAWN:
                self.remove(order)
        return effect

    def settle(
        self,
        machines: Mapping[identifiers.MachineId, catalog.Machine],
        listed_at: float,
    ) -> list[MachineOrder]:
        """Removes and returns the orders whose machines are back or gone.

        Args:
            machines: All machines.
            listed_at: Monotonic time in seconds at which they were requested.
        """
        settled = [
            order
            for order in self
            if order.changed_at + LIST_LAG_SECONDS <= listed_at
            and _is_settled(order, machines.get(order.machine_id))
        ]
        for order in settled:
            self.remove(order)
        return settled

    def list_maintained(self, wave: int) -> set[identifiers.MachineId]:
        """Returns the machines that are, or may be, down for a wave."""
        return {
            order.machine_id
            for order in self._orders.values()
            if order.operation == Maintenance(wave)
        }

    def find_target(
        self, machine_id: identifiers.MachineId
    ) -> identifiers.PoolId | None:
        """Returns the pool that a machine is ordered to, or None."""
        order = self._orders.get(machine_id)
        match order.operation if order is not None else None:
            case Move(pool):
                return pool
        return None


def _is_settled(order: MachineOrder, machine: catalog.Machine | None) -> bool:
    if machine is None:
        return order.state is not OrderState.IN_FLIGHT
    match order.state:
        case OrderState.CARRIED_OUT:
            return machine.state is catalog.MachineState.UP
        case OrderState.READY:
            # Sending it would wait for a machine that has been lost.
            down = machine.state is catalog.MachineState.DOWN
            if down and not order.uncertain:
                return True
            return _has_moved(order, machine)
    return False


def _has_moved(order: MachineOrder, machine: catalog.Machine) -> bool:
    """Whether a machine has moved as ordered, whoever sent the order.

    The machine service carries out a repeated move to the same pool only once,
    so another attempt that arrives late ends nothing.
    """
    match order.operation:
        case Move(pool):
            return (
                machine.state is catalog.MachineState.UP
                and machine.pool == pool
                and machine.minion_id not in ("", order.minion_id)
            )
    return False


if __name__ == "__main__":
    example = MachineOrders()
    print(
        example.add(
            identifiers.MachineId("m-1"),
            Maintenance(1),
            identifiers.MinionId("i-1"),
            0.0,
        )
    )
