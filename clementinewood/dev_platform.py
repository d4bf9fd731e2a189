"""Simulates the platform's actions on hosts: reboots and pool changes."""

from collections.abc import Callable, Mapping
from typing import Any

from clementinewood import (
    fleet_fold,
    fleet_record,
    identifiers,
    logservice,
    minion,
    timer,
)

Step = fleet_record.Step

PERIOD_SECONDS = 0.25
REBOOT_SECONDS = 3.0

_POOL_CHANGE_STEPS = frozenset({Step.ARRIVING, Step.CHECKING, Step.LOST})
"""Steps in which a host without running requests moves to its new pool."""


class HostPlatform:
    """Updates the host list as the hosts' steps require.

    Attributes:
        reboots: Number of reboots of each host.
        interrupted: Number of requests that ran on a host when it rebooted.

    Args:
        log: Serves the host list.
        minions: Minion of each host.
        timers: Timer service.
        find_fleet: Returns the newest folded state.
    """

    def __init__(
        self,
        log: logservice.LogService,
        minions: Mapping[identifiers.WorkerId, minion.Minion],
        timers: timer.TimerService,
        find_fleet: Callable[[], fleet_fold.FleetState],
    ) -> None:
        self.reboots: dict[identifiers.WorkerId, int] = {}
        self.interrupted = 0
        self._log = log
        self._minions = minions
        self._timers = timers
        self._find_fleet = find_fleet

    def start(self) -> None:
        """Applies the folded state every `PERIOD_SECONDS` from now on."""
        self._timers.subscribe_every(PERIOD_SECONDS, self._advance)

    def _advance(self) -> None:
        hosts = self._find_fleet().hosts
        for item in list(self._log.hosts):
            worker = identifiers.WorkerId(item["id"])
            server = self._minions.get(worker)
            if server is None:
                continue
            item["running"] = server.running
            state = hosts.get(worker)
            if state is None:
                continue
            if state.step is Step.REBOOTING and item["boot"] == state.boot:
                self._reboot(worker, item, server)
            elif state.step in _POOL_CHANGE_STEPS and not server.running:
                item["pool"] = state.pool

    def _reboot(
        self,
        worker: identifiers.WorkerId,
        item: dict[str, Any],
        server: minion.Minion,
    ) -> None:
        """Removes a host from the list and adds it back with a new boot id."""
        count = self.reboots[worker] = self.reboots.get(worker, 0) + 1
        self.interrupted += server.running
        for connection in list(server.open_connections):
            connection.close()
        self._log.hosts = [
            other for other in self._log.hosts if other is not item
        ]

        def restore_host() -> None:
            item["boot"] = f"boot-{count + 1}"
            self._log.hosts = [*self._log.hosts, item]

        self._timers.subscribe_once(REBOOT_SECONDS, restore_host)


if __name__ == "__main__":
    print(sorted(step.value for step in _POOL_CHANGE_STEPS))
