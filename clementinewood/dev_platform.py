"""Stand-in for what the platform does to hosts: reboots and pool changes."""

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

_SWITCHES = frozenset({Step.ARRIVING, Step.CHECKING, Step.LOST})
"""Steps in which a host without work takes up the service of its pool."""


class HostPlatform:
    """Keeps the host list as the hosts' steps ask for it.

    Attributes:
        reboots: Reboots of each host.
        cut: Requests that ran on a host when it rebooted.

    Args:
        log: Serves the host list.
        minions: Server of each host.
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
        self.cut = 0
        self._log = log
        self._minions = minions
        self._timers = timers
        self._find_fleet = find_fleet

    def start(self) -> None:
        """Follows the folded state from now on."""
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
            elif state.step in _SWITCHES and not server.running:
                item["pool"] = state.pool

    def _reboot(
        self,
        worker: identifiers.WorkerId,
        item: dict[str, Any],
        server: minion.Minion,
    ) -> None:
        """Takes a host off the list and brings it back with a new boot id."""
        count = self.reboots[worker] = self.reboots.get(worker, 0) + 1
        self.cut += server.running
        for connection in list(server.open_connections):
            connection.close()
        self._log.hosts = [
            other for other in self._log.hosts if other is not item
        ]

        def come_back() -> None:
            item["boot"] = f"boot-{count + 1}"
            self._log.hosts = [*self._log.hosts, item]

        self._timers.subscribe_once(REBOOT_SECONDS, come_back)


if __name__ == "__main__":
    print(sorted(step.value for step in _SWITCHES))
