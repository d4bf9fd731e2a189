"""Computes lower bounds for fleet planning and provides baseline planners."""

import bisect
import math

from clementinewood import budget


def count_least_idle(need, zones, planned):
    """Returns the fewest idle hosts that survive the loss of any one zone.

    Among any T hosts, at least ceil(T / zones) are in one zone. Rack losses
    and random failures are left out, which can only lower the bound.
    """
    total = need
    while total - max(math.ceil(total / zones), planned) < need:
        total += 1
    return total - need


def count_least_moves(needs, start, total):
    """Returns the fewest moves of a policy that knows all needs in advance.

    This is optimal paging: host k of a pool is a page, requested whenever the
    pool needs k hosts. For pages of equal size and cost it is optimal to
    fetch on demand and to evict the page whose next request is furthest away.

    Args:
        needs: Hosts needed by each pool, one mapping per time step.
        start: Hosts of each pool before the first time step.
        total: Number of hosts of all pools together.
    """
    uses = {}
    for time, need in enumerate(needs):
        for pool, count in need.items():
            for k in range(count):
                uses.setdefault((pool, k), []).append(time)
    held = {(pool, k) for pool, count in start.items() for k in range(count)}
    moves = 0
    for time, need in enumerate(needs):
        wanted = {(p, k) for p, count in need.items() for k in range(count)}
        missing = wanted - held
        if not missing:
            continue
        moves += len(missing)
        held |= missing
        excess = len(held) - total
        if excess > 0:
            idle = sorted(
                held - wanted,
                key=lambda page: (_next_use(uses.get(page, []), time), page),
                reverse=True,
            )
            held -= set(idle[:excess])
    return moves


def _next_use(times, now):
    index = bisect.bisect_right(times, now)
    return times[index] if index < len(times) else math.inf


def plan_nothing(site, needs):
    """Moves no host, so that the pools stay static."""
    return []


def plan_proportional(site, needs):
    """Moves hosts every round until pools are in proportion to their needs."""
    records = site.planner.wave.advance(
        budget.create_reservation(site.fleet, site.planner.budget), site.now
    )
    weights = {q: max(0.2, need.processors / 32) for q, need in needs.items()}
    if not weights:
        return records
    scale = site.shape.hosts / sum(weights.values())
    goals = {queue: int(weight * scale) for queue, weight in weights.items()}
    counts = {
        pool: view.serving_count + len(view.arriving) + len(view.incoming)
        for pool, view in site.fleet.pools.items()
    }
    givers = [
        worker
        for pool, view in sorted(site.fleet.pools.items())
        for hosts in view.serving.values()
        for worker in sorted(hosts)
        if counts[pool] > goals.get(pool, 0)
    ]
    reservation = budget.create_reservation(site.fleet, site.planner.budget)
    for worker in givers:
        source = site.state.hosts[worker].pool
        target = min(goals, key=lambda q: counts[q] / max(1, goals[q]))
        if (
            counts[source] <= goals.get(source, 0)
            or counts[target] >= goals[target]
        ):
            continue
        record = site.planner.mover.create_move(
            worker, target, reservation, site.now
        )
        if record is not None:
            counts[source] -= 1
            counts[target] += 1
            records.append(record)
    return records
