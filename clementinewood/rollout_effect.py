"""What of an accepted bundle applies at once, and what waits for its wave."""

import dataclasses
import enum
from collections.abc import Mapping
from typing import Any, Protocol, TypeVar

REVOKED = "REVOKED"


class Key(Protocol):
    """What is read of a `KeySpec`."""

    @property
    def state(self) -> enum.Enum:
        """GRANTED or REVOKED."""


class Team(Protocol):
    """What is read of a `TeamSpec`."""

    @property
    def limit(self) -> int:
        """Largest number of running requests."""


KeyT = TypeVar("KeyT", bound=Key)
BundleT = TypeVar("BundleT", bound=Any)


def compose(rolled: BundleT, accepted: BundleT) -> BundleT:
    """Returns the bundle that a zone acts on.

    Args:
        rolled: Newest bundle whose wave has reached the zone.
        accepted: Newest accepted bundle.

    Returns:
        `rolled` with whatever `accepted` takes away: revoked, removed or
        changed keys, lowered limits, removed teams and zones out. Zones that
        come back follow `accepted` too, since a zone is in or out for all.
    """
    return dataclasses.replace(
        rolled,
        keys=compose_keys(rolled.keys, accepted.keys),
        teams=compose_teams(rolled.teams, accepted.teams),
        zones=accepted.zones,
    )


def compose_keys(
    rolled: Mapping[Any, KeyT], accepted: Mapping[Any, KeyT]
) -> dict[Any, KeyT]:
    """Returns the keys that work now.

    A key that the accepted bundle lacks does not work. One whose team or
    secret changed is replaced at once, since the old secret is withdrawn. A
    key that was revoked stays so until the wave that grants it again.
    """
    keys = {}
    for key, spec in rolled.items():
        if key not in accepted:
            continue
        revoked = spec.state.name == REVOKED
        keys[key] = spec if revoked else accepted[key]
    return keys


def compose_teams(
    rolled: Mapping[Any, Any], accepted: Mapping[Any, Any]
) -> dict[Any, Any]:
    """Returns the teams with the lower of both limits."""
    return {
        team: dataclasses.replace(
            spec,
            limit=min(
                spec.limit, accepted[team].limit if team in accepted else 0
            ),
        )
        for team, spec in rolled.items()
    }
