"""Combines the rolled bundle with immediate parts of the accepted one."""

import dataclasses
import enum
from collections.abc import Mapping
from typing import Any, Protocol, TypeVar

REVOKED = "REVOKED"


class Key(Protocol):
    """Part of a `KeySpec` that is read here."""

    @property
    def state(self) -> enum.Enum:
        """GRANTED or REVOKED."""


class Team(Protocol):
    """Part of a `TeamSpec` that is read here."""

    @property
    def limit(self) -> int:
        """Maximum number of running requests."""


KeyT = TypeVar("KeyT", bound=Key)
BundleT = TypeVar("BundleT", bound=Any)


def compose(rolled: BundleT, accepted: BundleT) -> BundleT:
    """Returns the bundle that a zone acts on.

    Args:
        rolled: Newest bundle that was rolled to the zone.
        accepted: Newest accepted bundle.

    Returns:
        `rolled` with the restrictions of `accepted`: revoked, removed or
        changed keys, lowered limits, removed teams and zones out. Zones back in
        service are taken from `accepted` too, since all zones must agree.
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
    """Returns the keys in force.

    A key that the accepted bundle lacks is dropped. A key whose team or secret
    changed is replaced at once, since the old secret is withdrawn. A revoked
    key stays revoked until a bundle that grants it again is rolled.
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
