"""Tells which machines a new leader may order at once.

Load pattern: the leader changes while a peak builds up. Orders of two leaders
about one machine must be a lease apart; a new leader that waits that long for
every machine leaves a pool short for seconds. Each order is stored before it is
sent and marked once its effect is known, and a new leader has read all of its
predecessors' records. So only machines with an order whose effect is not known,
or has become known within the last lease, have to wait.
"""

from collections.abc import Mapping

from clementinewood import identifiers, jobtable


def compute_waits(
    orders: Mapping[identifiers.MachineId, jobtable.StoredOrder],
    *,
    now: float,
    last_order_at: float,
    lease_seconds: float,
) -> dict[identifiers.MachineId, float]:
    """Returns the monotonic time from which each machine may be ordered.

    Machines that may be ordered at once are left out.

    Args:
        orders: The newest stored order about each machine.
        now: Monotonic time in seconds.
        last_order_at: Monotonic time in seconds by which the previous leaders
            have sent their last order.
        lease_seconds: Least time in seconds between orders of two leaders.
    """
    waits = {}
    for machine_id, order in orders.items():
        sent_by = last_order_at
        if order.settled:
            # It was sent before it was marked, and read after that.
            sent_by = min(last_order_at, order.read_at)
        if sent_by + lease_seconds > now:
            waits[machine_id] = sent_by + lease_seconds
    return waits


if __name__ == "__main__":
    machine = identifiers.MachineId("m1")
    print(
        compute_waits(
            {machine: jobtable.StoredOrder(settled=True, read_at=1.0)},
            now=2.0,
            last_order_at=2.0,
            lease_seconds=3.0,
        )
    )
