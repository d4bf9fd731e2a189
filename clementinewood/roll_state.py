"""Folds the progress of the newest bundle through the zones."""

import dataclasses

from clementinewood import fleet_record, identifiers

RollAction = fleet_record.RollAction


@dataclasses.dataclass(frozen=True, slots=True)
class RollState:
    """Folded roll of the newest bundle.

    Attributes:
        zones: Zones of the bundle, in the order of the roll.
        zone_versions: Bundle version in force in each zone.
        zone: Zone to which the bundle is being rolled, if any.
        since: Log time of the last accepted step, in seconds.
        halted: Reason of the halt, or empty.
        version: Incremented with every accepted step or bundle.
        done: Zones in which the roll of the newest bundle is complete.
    """

    zones: tuple[identifiers.ZoneId, ...] = ()
    zone_versions: dict[identifiers.ZoneId, int] = dataclasses.field(
        default_factory=dict
    )
    zone: identifiers.ZoneId | None = None
    since: float = 0.0
    halted: str = ""
    version: int = 0
    done: frozenset[identifiers.ZoneId] = frozenset()

    def follow(
        self, payload: fleet_record.RollStep, time: float
    ) -> "RollState | None":
        """Returns the state after a step, or None if the step is invalid."""
        if self.halted or payload.zone not in self.zones:
            return None
        version = self.version + 1
        match payload.action:
            case RollAction.START:
                if self.zone is not None or payload.zone in self.done:
                    return None
                return dataclasses.replace(
                    self,
                    version=version,
                    since=time,
                    zone=payload.zone,
                    zone_versions={
                        **self.zone_versions,
                        payload.zone: payload.bundle,
                    },
                )
            case RollAction.DONE:
                if self.zone != payload.zone:
                    return None
                return dataclasses.replace(
                    self,
                    version=version,
                    since=time,
                    zone=None,
                    done=self.done | {payload.zone},
                )
            case RollAction.HALT:
                return dataclasses.replace(
                    self,
                    version=version,
                    since=time,
                    halted=payload.reason or "halted",
                )

    def supersede(
        self, zones: tuple[identifiers.ZoneId, ...], time: float
    ) -> "RollState":
        """Returns the state after the next bundle was accepted.

        Zones keep their version until the new one is rolled to them.
        """
        return RollState(
            zones,
            {zone: self.zone_versions.get(zone, 0) for zone in zones},
            since=time,
            version=self.version + 1,
        )
