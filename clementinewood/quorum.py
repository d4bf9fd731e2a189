"""Decides whose leases may be valid while two leaders reach different minions.

Load pattern: a partition cuts the leader off from the store, together with some
minions. A successor can't fence those minions, and the former leader would go
on extending their leases. A minion rejects a former leader once it has accepted
the successor's token. So without the store, a leader extends leases only while
more than half of the minions confirm its token, and a successor counts an
earlier leader's leases from when half of them have accepted its own.
"""

from collections.abc import Iterable, Set

from clementinewood import identifiers, run

CONFIRMATION_WINDOW_SECONDS = 2.0
"""Age from which a minion's confirmation no longer counts. A successor allows
for leases that a former leader grants within this time."""


class Minions:
    """Confirmations of a leader's token by the minions that may be alive.

    Args:
        views: All minions that the leader knows.
        confirmed_since: Monotonic time in seconds from which a confirmation
            counts.
        live: Minions that machines run, as the machine service says; None if
            that is not known. Then those that the platform lists count.
    """

    def __init__(
        self,
        views: Iterable[run.MinionView],
        *,
        confirmed_since: float,
        live: Set[identifiers.MinionId] | None,
    ) -> None:
        self._known = 0
        self._confirmed = 0
        for view in views:
            exists = view.listed if live is None else view.minion_id in live
            if view.ended or not exists:
                continue
            self._known += 1
            self._confirmed += view.token_confirmed_at >= confirmed_since

    def exclude_successor(self) -> bool:
        """Returns whether too few minions are left for a successor."""
        return self._confirmed * 2 > self._known or not self._known

    def exclude_former_leader(self) -> bool:
        """Returns whether too few minions are left for a former leader."""
        return self._confirmed * 2 >= self._known


if __name__ == "__main__":
    nobody = Minions([], confirmed_since=0.0, live=None)
    print(nobody.exclude_successor(), nobody.exclude_former_leader())
