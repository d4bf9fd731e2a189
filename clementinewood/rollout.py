"""Rolls bundles out zone by zone, and halts on failures."""

import dataclasses
from collections.abc import Mapping

from clementinewood import fleet, fleet_record, identifiers, roll_state

RollAction = fleet_record.RollAction


@dataclasses.dataclass(frozen=True, slots=True)
class Signals:
    """Health of a zone as reported by the entries.

    Attributes:
        requests: Number of requests answered in the window.
        failures: Number of those that failed for internal reasons.
    """

    requests: int = 0
    failures: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutSettings:
    """Thresholds for completing and halting a roll.

    Attributes:
        observe: Minimum seconds between the start and the end of a zone's roll.
        failure_rate: Failures per request that halt a roll.
        excess: Failures per request above the other zones that halt it.
        minimum: Requests below which the failure rate is not evaluated.
        broken_hosts: Hosts broken by the roll in one zone that halt it.
    """

    observe: float = 60.0
    failure_rate: float = 0.2
    excess: float = 0.05
    minimum: int = 20
    broken_hosts: int = 2


@dataclasses.dataclass(frozen=True, slots=True)
class AcceptedVersion:
    """The bundle accepted as a version, for concurrent operators."""

    version: int
    operator: str
    record: identifiers.RecordId


class Rollout:
    """Decides which bundle is in force in each zone, and the next roll step.

    A roll is never reverted: after a halt, the zones keep their bundles. The
    fix is the next bundle, which first goes to the zones that have the halted
    one. Revoked keys, lowered limits and zones out are not rolled; they take
    effect everywhere once the bundle is accepted.

    Args:
        fleet_view: Folded state joined with host reports.
        settings: Thresholds for completing and halting a roll.
        validity: Seconds within which a record must reach the log.
    """

    def __init__(
        self,
        fleet_view: fleet.Fleet,
        settings: RolloutSettings,
        *,
        validity: float = 10.0,
    ) -> None:
        self._fleet = fleet_view
        self.settings = settings
        self._validity = validity

    @property
    def state(self) -> roll_state.RollState:
        """Folded state of the roll."""
        return self._fleet.state.roll

    def version_in_force(self, zone: identifiers.ZoneId) -> int:
        """Returns the bundle version that was rolled to a zone."""
        return self.state.zone_versions.get(zone, 0)

    def find_accepted(self, version: int) -> AcceptedVersion | None:
        """Returns the bundle accepted as `version`, or None."""
        accepted = self._fleet.state.accepted_versions.get(version)
        if accepted is None:
            return None
        return AcceptedVersion(version, accepted.operator, accepted.record)

    def next_zone(self) -> identifiers.ZoneId | None:
        """Returns the zone that the newest bundle goes to next."""
        state = self._fleet.state
        zones = [
            zone
            for zone in state.declaration.zones
            if zone not in state.roll.done
        ]
        if not zones:
            return None
        return max(
            zones,
            key=lambda zone: (
                self.version_in_force(zone),
                -state.declaration.zones.index(zone),
            ),
        )

    def list_outdated(
        self, zone: identifiers.ZoneId
    ) -> list[identifiers.WorkerId]:
        """Returns the hosts in `zone` that lack their pool's revision."""
        return sorted(self._fleet.outdated.get(zone, ()))

    def plan(
        self,
        signals: Mapping[identifiers.ZoneId, Signals],
        now: float,
        *,
        paused: bool = False,
    ) -> fleet_record.RollStep | None:
        """Returns the next roll step, if one is due.

        Args:
            signals: Health by zone over a window shorter than `observe`.
            now: Log time.
            paused: Whether correlated failures pause new work.
        """
        roll = self.state
        state = self._fleet.state
        if state.bundle_version == 0 or roll.halted:
            return None
        if roll.zone is not None:
            reason = self.find_fault(roll.zone, signals)
            if reason:
                return self._step(roll.zone, RollAction.HALT, now, reason)
            if now - roll.since >= self.settings.observe and not any(
                self._fleet.can_start(worker) or state.hosts[worker].is_planned
                for worker in self.list_outdated(roll.zone)
            ):
                return self._step(roll.zone, RollAction.DONE, now)
            return None
        zone = self.next_zone()
        if zone is None or paused:
            return None
        return self._step(zone, RollAction.START, now)

    def find_fault(
        self,
        zone: identifiers.ZoneId,
        signals: Mapping[identifiers.ZoneId, Signals],
    ) -> str:
        """Returns why the roll in `zone` must halt, or an empty string."""
        broken = sum(
            1
            for worker in self._fleet.in_progress
            if self._broke_in_roll(worker, zone)
        )
        if broken >= self.settings.broken_hosts:
            return f"{broken} hosts in {zone} failed their checks"
        here = signals.get(zone, Signals())
        if here.requests < self.settings.minimum:
            return ""
        rate = here.failures / here.requests
        if rate >= self.settings.failure_rate:
            return f"failure rate {rate:.3f} in {zone}"
        others = [
            signal
            for other_zone, signal in signals.items()
            if other_zone != zone
        ]
        requests = sum(signal.requests for signal in others)
        failures = sum(signal.failures for signal in others)
        if requests >= self.settings.minimum:
            excess = rate - failures / requests
            if excess >= self.settings.excess:
                return f"failure rate {excess:.3f} above the other zones"
        return ""

    def _broke_in_roll(
        self, worker: identifiers.WorkerId, zone: identifiers.ZoneId
    ) -> bool:
        host = self._fleet.state.hosts[worker]
        report = self._fleet.reports.get(worker)
        return (
            host.step is fleet_record.Step.BROKEN
            and report is not None
            and report.worker.zone == zone
            and host.since >= self.state.since
        )

    def _step(
        self,
        zone: identifiers.ZoneId,
        action: RollAction,
        now: float,
        reason: str = "",
    ) -> fleet_record.RollStep:
        return fleet_record.RollStep(
            self._fleet.state.bundle_version,
            zone,
            action,
            self.state.version,
            now + self._validity,
            reason,
        )
