"""Chooses a minion for each attempt.

Starts in a pool go to the better of two random minions, by load and zone.
Minions that fail requests which succeed elsewhere are ejected (at most a third
of a pool) and probed. Each entry uses only the outcomes of its own attempts.
"""

import dataclasses
import math
import random
from collections.abc import Iterable, Mapping

from clementinewood import identifiers, retry

Outcome = retry.Outcome

REMOTE_COST = 1.25
"""Load factor of minions in another zone, which adds about 0.5 ms."""

SLOW_START_SECONDS = 5.0
"""Seconds over which a new or readmitted minion reaches its full load."""

SLOW_START_INITIAL_RATIO = 0.25
"""Fraction of its slots that a minion gets when its slow start begins."""

EJECT_FAILURES = 3
"""Consecutive failures that make a minion a candidate for ejection."""

EJECT_MAX_PROBABILITY = 0.001
"""Largest probability of such a series on a healthy minion.

It is computed from the failure rate of the rest of the pool: requests that can
never run fail everywhere and must not eject minions.
"""

EJECT_RATE = 0.5
"""Failure rate that makes a minion a candidate for ejection."""

EJECT_SAMPLES = 5.0
"""Attempts (decayed) needed before the failure rate is used."""

EJECT_MARGIN = 0.3
"""Least excess of its failure rate over that of the rest of the pool."""

EJECT_POOL_DIVISOR = 3
"""At most one of this many usable minions of a pool is ejected."""

FAILURE_RATE_DECAY_SECONDS = 10.0
"""Time constant of failure rates in seconds."""

PROBE_DELAY_SECONDS = 1.0
"""Seconds before the first probe; doubles after each failed probe."""

MAX_PROBE_DELAY_SECONDS = 30.0
"""Most seconds between probes; a repaired minion stays unused for that long."""

FAILED_ATTEMPT_LOAD_SECONDS = 0.05, 1.0
"""Bounds of the decay time of a failed attempt's load, in seconds.

A minion that fails at once has the fewest requests in flight and would
otherwise attract most of the work. Between the bounds, a failure counts for
about one run time; with more, detecting a faulty minion would take too long.
"""

RUN_SAMPLES = 16
"""Responses over which a pool's run time is averaged."""

LEAVING_MARK_SECONDS = 30.0
"""Seconds for which a connection's notice of leaving overrides the host list.

It is longer than the delay of the list.
"""


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A minion as given by the host list and the assignments.

    Attributes:
        minion: Its id.
        pool: Pool that it serves.
        zone: Its availability zone.
        address: Host and port.
        slots: Requests that this entry may run on it at once.
        leaving: Whether it must get no new work.
    """

    minion: identifiers.MinionId
    pool: identifiers.PoolId
    zone: identifiers.ZoneId
    address: tuple[str, int]
    slots: int = 8
    leaving: bool = False


class _Minion:
    """Routing state of one minion."""

    __slots__ = (
        "attempts",
        "consecutive",
        "cost",
        "ejected",
        "failures",
        "failure_load",
        "failure_load_at",
        "failure_load_seconds",
        "in_flight",
        "leaving_seen",
        "listed_leaving",
        "probe_at",
        "probe_delay",
        "probing",
        "ramp_from",
        "target",
        "window_at",
    )

    def __init__(self, target: Target, ramp_from: float) -> None:
        self.target = target
        self.cost = 1.0
        self.ramp_from = ramp_from
        self.in_flight = 0
        self.consecutive = 0
        self.attempts = 0.0
        self.failures = 0.0
        self.window_at = 0.0
        self.failure_load = 0.0
        self.failure_load_at = 0.0
        self.failure_load_seconds = FAILED_ATTEMPT_LOAD_SECONDS[1]
        self.ejected = False
        self.probing = False
        self.probe_at = 0.0
        self.probe_delay = PROBE_DELAY_SECONDS
        self.leaving_seen: float | None = None
        self.listed_leaving = False

    def load(self, now: float) -> float:
        """Returns the requests in flight plus the decayed failed attempts."""
        if not self.failure_load:
            return self.in_flight
        failure_load = self.failure_load * math.exp(
            (self.failure_load_at - now) / self.failure_load_seconds
        )
        return self.in_flight + (failure_load if failure_load > 0.01 else 0.0)

    def capacity(self, now: float) -> float:
        """Returns the slots it may fill now, which grow during slow start."""
        slots = self.target.slots
        age = now - self.ramp_from
        if age >= SLOW_START_SECONDS:
            return slots
        part = (
            SLOW_START_INITIAL_RATIO
            + (1.0 - SLOW_START_INITIAL_RATIO) * age / SLOW_START_SECONDS
        )
        return max(min(slots, 1.0), slots * part)

    def room(self, now: float) -> int:
        """Returns the requests it can take now; recent failures use slots."""
        filled = self.in_flight
        if self.failure_load:
            filled = int(self.load(now) + 0.5)
        return min(
            self.target.slots - self.in_flight,
            math.ceil(self.capacity(now) - 1e-9) - filled,
        )

    def score(self, now: float) -> float:
        return (self.load(now) + 1.0) / self.capacity(now) * self.cost

    def add_failure_load(self, seconds: float, now: float) -> None:
        """Counts a failed attempt as load for about `seconds`."""
        self.failure_load = self.load(now) - self.in_flight + 1.0
        self.failure_load_at = now
        self.failure_load_seconds = min(
            max(FAILED_ATTEMPT_LOAD_SECONDS[0], seconds),
            FAILED_ATTEMPT_LOAD_SECONDS[1],
        )

    def count(self, failed: bool, now: float) -> None:
        fade = math.exp((self.window_at - now) / FAILURE_RATE_DECAY_SECONDS)
        self.window_at = now
        self.attempts = self.attempts * fade + 1.0
        self.failures = self.failures * fade + failed
        self.consecutive = self.consecutive + 1 if failed else 0

    def clear_failures(self, now: float) -> None:
        """Clears the failure record, at readmission."""
        self.attempts = self.failures = 0.0
        self.consecutive = 0
        self.window_at = now


class _Pool:
    """Usable minions of one pool: the open and the ejected ones."""

    __slots__ = ("ejected", "open", "run_time", "usable")

    def __init__(
        self, run_time: float = FAILED_ATTEMPT_LOAD_SECONDS[1]
    ) -> None:
        self.run_time = run_time
        self.usable: list[_Minion] = []
        self.open: list[_Minion] = []
        self.ejected: list[_Minion] = []


class Router:
    """Chooses minions by load, zone and health.

    Args:
        zone: Zone of this entry.
        rng: Source of random choices.
        costs: Load factors of zones that override the default.
    """

    def __init__(
        self,
        zone: identifiers.ZoneId,
        rng: random.Random,
        *,
        costs: Mapping[identifiers.ZoneId, float] | None = None,
    ) -> None:
        self._zone = zone
        self._rng = rng
        self._costs = dict(costs or {})
        self._minions: dict[identifiers.MinionId, _Minion] = {}
        self._retired: dict[identifiers.MinionId, _Minion] = {}
        self._pools: dict[identifiers.PoolId, _Pool] = {}
        self._zones_out: frozenset[identifiers.ZoneId] = frozenset()
        self._listed: tuple[Target, ...] | None = None
        self._marked = False

    def update(self, targets: Iterable[Target], now: float) -> None:
        """Replaces the set of known minions.

        The first minions of a pool start at full load; later ones use slow
        start. An entry calls this 4 times a second, mostly with unchanged
        targets, for which nothing is rebuilt.
        """
        targets = tuple(targets)
        if targets == self._listed and not self._retired and not self._marked:
            return
        self._listed = targets
        known = {**self._retired, **self._minions}
        pools = self._pools.keys()
        self._minions = {}
        for target in targets:
            minion = known.pop(target.minion, None)
            if minion is None:
                ramp_from = now if target.pool in pools else -math.inf
                minion = _Minion(target, ramp_from)
            elif minion.target.pool != target.pool:
                minion.ramp_from = now
            minion.target = target
            minion.cost = self._costs.get(
                target.zone, 1.0 if target.zone == self._zone else REMOTE_COST
            )
            self._update_leaving(minion, target.leaving, now)
            self._minions[target.minion] = minion
        # A minion that is listed again must not appear idle while it still
        # runs earlier requests.
        self._retired = {
            name: minion for name, minion in known.items() if minion.in_flight
        }
        # A leaving mark expires by time, so unchanged targets don't suffice.
        self._marked = any(
            minion.leaving_seen is not None for minion in self._minions.values()
        )
        self._rebuild()

    def set_zones_out(self, zones: Iterable[identifiers.ZoneId]) -> None:
        """Sets the zones in which nothing may start."""
        zones = frozenset(zones)
        if zones != self._zones_out:
            self._zones_out = zones
            self._rebuild()

    def mark_leaving(self, minion: identifiers.MinionId, now: float) -> None:
        """Stops starts at a minion that announced on a connection to leave."""
        known = self._minions.get(minion)
        if known is not None:
            known.leaving_seen = now
            self._marked = True
            self._rebuild()

    def choose(
        self,
        pool: identifiers.PoolId,
        now: float,
        exclude: frozenset[identifiers.MinionId] = frozenset(),
        *,
        probe: bool = True,
    ) -> Target | None:
        """Returns the minion for the next start in `pool`, or None if full.

        Args:
            pool: Pool that the work is for.
            now: Monotonic time in seconds.
            exclude: Minions to avoid.
            probe: Whether the work may probe an ejected minion; False for
                work that can't be repeated.
        """
        known = self._pools.get(pool)
        if known is None:
            return None
        if probe:
            for minion in known.ejected:
                if (
                    now >= minion.probe_at
                    and not minion.in_flight
                    and not minion.probing
                    and minion.target.minion not in exclude
                ):
                    return minion.target
        minions = known.open
        if not exclude and len(minions) > 1:
            first = self._rng.randrange(len(minions))
            second = self._rng.randrange(len(minions) - 1)
            pair = minions[first], minions[second + (second >= first)]
            if pair[0].room(now) > 0 and pair[1].room(now) > 0:
                return min(pair, key=lambda each: each.score(now)).target
        candidates = [
            minion
            for minion in minions
            if minion.in_flight < minion.target.slots
            and minion.room(now) > 0
            and minion.target.minion not in exclude
        ]
        if not candidates:
            return None
        if len(candidates) > 2:
            candidates = self._rng.sample(candidates, 2)
        return min(candidates, key=lambda minion: minion.score(now)).target

    def start(self, minion: identifiers.MinionId, now: float) -> None:
        """Counts a start at `minion`."""
        known = self._minions.get(minion)
        if known is not None:
            known.in_flight += 1
            known.probing = known.ejected

    def finish(
        self,
        minion: identifiers.MinionId,
        outcome: Outcome,
        seconds: float,
        now: float,
        *,
        blame: bool = True,
    ) -> None:
        """Records the end of an attempt at `minion`.

        Args:
            minion: Minion of the attempt.
            outcome: How the attempt ended.
            seconds: Duration of the attempt in seconds.
            now: Monotonic time in seconds.
            blame: Whether a failure counts against the minion; False if the
                same request has failed on another one before.
        """
        known = self._minions.get(minion) or self._retired.get(minion)
        if known is None:
            return
        known.in_flight = max(0, known.in_flight - 1)
        if minion in self._retired:
            if not known.in_flight:
                del self._retired[minion]
            return
        pool = self._pools[known.target.pool]
        match outcome:
            case Outcome.SUCCEEDED:
                known.count(False, now)
                pool.run_time += (seconds - pool.run_time) / RUN_SAMPLES
                if known.ejected and known.probing:
                    self._readmit(known, now)
            case Outcome.REFUSED:
                # An overloaded or leaving minion is healthy.
                known.add_failure_load(pool.run_time, now)
                if known.ejected and known.probing:
                    self._defer_probe(known, now)
            case _:
                known.add_failure_load(pool.run_time, now)
                if known.ejected and known.probing:
                    self._defer_probe(known, now)
                elif blame:
                    known.count(True, now)
                    self._eject_if_unhealthy(known, now)

    def ejected(
        self, pool: identifiers.PoolId
    ) -> frozenset[identifiers.MinionId]:
        """Returns the minions of `pool` that are ejected."""
        known = self._pools.get(pool, _Pool())
        return frozenset(minion.target.minion for minion in known.ejected)

    def free_slots(self, pool: identifiers.PoolId, now: float) -> int:
        """Returns how many more requests `pool` can take."""
        known = self._pools.get(pool, _Pool())
        return sum(max(0, minion.room(now)) for minion in known.open)

    def _update_leaving(
        self, minion: _Minion, leaving: bool, now: float
    ) -> None:
        if minion.leaving_seen is not None and not leaving:
            returned = minion.listed_leaving
            if returned or now - minion.leaving_seen > LEAVING_MARK_SECONDS:
                minion.leaving_seen = None
                minion.ramp_from = now
        minion.listed_leaving = leaving

    def _rebuild(self) -> None:
        pools: dict[identifiers.PoolId, _Pool] = {
            name: _Pool(pool.run_time) for name, pool in self._pools.items()
        }
        for minion in self._minions.values():
            target = minion.target
            pool = pools.setdefault(target.pool, _Pool())
            if (
                target.leaving
                or minion.leaving_seen is not None
                or target.zone in self._zones_out
            ):
                continue
            pool.usable.append(minion)
            (pool.ejected if minion.ejected else pool.open).append(minion)
        for pool in pools.values():
            # The limit counts usable minions: when a zone goes out, earlier
            # ejections may exceed it.
            pool.ejected.sort(key=lambda minion: minion.probe_delay)
            while len(pool.ejected) > len(pool.usable) // EJECT_POOL_DIVISOR:
                minion = pool.ejected.pop(0)
                minion.ejected = minion.probing = False
                pool.open.append(minion)
        self._pools = pools

    def _eject_if_unhealthy(self, minion: _Minion, now: float) -> None:
        pool = self._pools[minion.target.pool]
        if minion not in pool.open:
            return
        if len(pool.ejected) >= len(pool.usable) // EJECT_POOL_DIVISOR:
            return
        others = [other for other in pool.open if other is not minion]
        others_rate = sum(other.failures for other in others) / max(
            1.0, sum(other.attempts for other in others)
        )
        rate = minion.failures / minion.attempts
        in_series = (
            minion.consecutive >= EJECT_FAILURES
            and others_rate**minion.consecutive <= EJECT_MAX_PROBABILITY
        )
        by_rate = minion.attempts >= EJECT_SAMPLES and rate >= max(
            EJECT_RATE, others_rate + EJECT_MARGIN
        )
        if not (in_series or by_rate):
            return
        minion.ejected = True
        minion.probing = False
        minion.probe_delay = PROBE_DELAY_SECONDS
        minion.probe_at = now + PROBE_DELAY_SECONDS
        pool.open.remove(minion)
        pool.ejected.append(minion)

    def _defer_probe(self, minion: _Minion, now: float) -> None:
        minion.probing = False
        minion.probe_delay = min(
            MAX_PROBE_DELAY_SECONDS, 2.0 * minion.probe_delay
        )
        minion.probe_at = now + minion.probe_delay * self._rng.uniform(0.75, 1)

    def _readmit(self, minion: _Minion, now: float) -> None:
        minion.ejected = minion.probing = False
        minion.clear_failures(now)
        minion.ramp_from = now
        pool = self._pools[minion.target.pool]
        if minion in pool.ejected:
            pool.ejected.remove(minion)
            pool.open.append(minion)


if __name__ == "__main__":
    router = Router(identifiers.ZoneId("hobart"), random.Random(1))
    quotes = identifiers.PoolId("quotes")
    router.update(
        [
            Target(
                identifiers.MinionId(f"quotes-{number}"),
                quotes,
                identifiers.ZoneId("hobart" if number % 2 else "burnie"),
                ("127.0.0.1", 8000 + number),
            )
            for number in range(6)
        ],
        0.0,
    )
    print(router.choose(quotes, 0.0))
