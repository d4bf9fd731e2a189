"""Choice of a minion for each attempt."""

import dataclasses
import random
from collections.abc import Iterable

from clementinewood import identifiers, retry

Outcome = retry.Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A minion as the host list and the assignments describe it."""

    minion: identifiers.MinionId
    pool: identifiers.PoolId
    zone: identifiers.ZoneId
    address: tuple[str, int]
    slots: int = 8
    leaving: bool = False


class _Minion:
    """Routing state of one minion."""

    __slots__ = ("in_flight", "joined", "target")

    def __init__(self, target: Target, joined: float) -> None:
        self.target = target
        self.joined = joined
        self.in_flight = 0


class Router:
    """Chooses minions by load, zone and health.

    Args:
        zone: Zone of this entry.
        rng: Seeded source of random choices.
    """

    def __init__(self, zone: identifiers.ZoneId, rng: random.Random) -> None:
        self._zone = zone
        self._rng = rng
        self._minions: dict[identifiers.MinionId, _Minion] = {}
        self._zones_out: frozenset[identifiers.ZoneId] = frozenset()

    def update(self, targets: Iterable[Target], now: float) -> None:
        """Replaces the set of known minions."""
        known = self._minions
        self._minions = {}
        for target in targets:
            minion = known.get(target.minion) or _Minion(target, now)
            minion.target = target
            self._minions[target.minion] = minion

    def set_zones_out(self, zones: Iterable[identifiers.ZoneId]) -> None:
        """Sets the zones in which nothing may start."""
        self._zones_out = frozenset(zones)

    def choose(
        self,
        pool: identifiers.PoolId,
        now: float,
        exclude: frozenset[identifiers.MinionId] = frozenset(),
    ) -> Target | None:
        """Returns the minion for the next start in `pool`, if any may start."""
        usable = [
            minion
            for minion in self._minions.values()
            if minion.target.pool == pool
            and not minion.target.leaving
            and minion.target.zone not in self._zones_out
            and minion.target.minion not in exclude
            and minion.in_flight < minion.target.slots
        ]
        if not usable:
            return None
        pair = self._rng.sample(usable, min(2, len(usable)))
        return min(pair, key=lambda minion: minion.in_flight).target

    def start(self, minion: identifiers.MinionId, now: float) -> None:
        """Counts a start at `minion`."""
        if minion in self._minions:
            self._minions[minion].in_flight += 1

    def finish(
        self,
        minion: identifiers.MinionId,
        outcome: Outcome,
        seconds: float,
        now: float,
    ) -> None:
        """Counts the end of an attempt at `minion`."""
        known = self._minions.get(minion)
        if known is not None and known.in_flight > 0:
            known.in_flight -= 1

    def mark_leaving(self, minion: identifiers.MinionId, now: float) -> None:
        """Stops starts at a minion whose connection says that it leaves."""
        if minion in self._minions:
            state = self._minions[minion]
            state.target = dataclasses.replace(state.target, leaving=True)
