"""Injects random faults that may overlap."""

import json

from clementinewood import jobtable, ports
from features.soak import proxy, simulated_services


class FaultInjector:
    """Injects the random faults of one seed.

    Args:
        site: Site that gets the faults.
        rng: Source of random choices.
        record_line: Called with one line of text per fault.
    """

    def __init__(self, site, rng, record_line):
        self.site = site
        self.rng = rng
        self.record_line = record_line
        self.stopped = False
        self.kinds = (
            self.kill,
            self.kill_dispatcher,
            self.stop,
            self.stop_in_turn,
            self.pause,
            self.send_sighup,
            self.degrade_store,
            self.degrade_all_stores,
            self.degrade_entry_link,
            self.reset_links,
            self.stall_links,
            self.lose_history,
            self.crash_minion,
            self.degrade_minion_link,
            self.drain_minion,
            self.change_keys,
            self.evacuate,
            self.hang_machine_service,
            self.kill_all,
        )

    def start(self):
        self._next()

    def _next(self):
        if self.stopped:
            return
        self.rng.choice(self.kinds)()
        self.site.timers.subscribe_once(
            self.rng.choice((0.1, 0.4, 0.8, 1.5, 3.0)), self._next
        )

    def _log_fault(self, kind, *details):
        self.record_line(" ".join([kind, *(str(item) for item in details)]))

    def _entry(self):
        return self.rng.choice(self.site.entries)

    def _minion(self):
        return self.rng.choice(list(self.site.harness.minions.values()))

    def _draw_duration(self):
        return self.rng.uniform(0.3, 5.0)

    def kill(self):
        entry = self._entry()
        self._log_fault("kill", entry.name)
        entry.kill()

    def kill_dispatcher(self):
        """Kills the leader named by the newest stored LeaderRecord."""
        newest = self.site.harness.store.newest[ports.Stream.DISPATCH]
        record = newest.get(jobtable.LEADER_KEY)
        if record is None:
            return
        holder = json.loads(record.value)[1].partition("/")[0]
        entry = next(item for item in self.site.entries if item.name == holder)
        self._log_fault("kill dispatcher", entry.name)
        entry.kill()

    def kill_all(self):
        if self.rng.random() < 0.5:
            return
        self._log_fault("kill all")
        for entry in self.site.entries:
            entry.kill()

    def stop(self):
        entry = self._entry()
        self._log_fault("stop", entry.name)
        entry.stop()

    def stop_in_turn(self):
        gap = self.rng.uniform(0.5, 2.0)
        self._log_fault("stop in turn", round(gap, 1))
        for number, entry in enumerate(self.site.entries):
            self.site.timers.subscribe_once(number * gap, entry.stop)

    def pause(self):
        entry, seconds = self._entry(), self._draw_duration()
        self._log_fault("pause", entry.name, round(seconds, 1))
        entry.pause(seconds)

    def send_sighup(self):
        entry = self._entry()
        self._log_fault("hang up", entry.name)
        entry.send_sighup()

    def degrade_store(self):
        entry = self._entry()
        mode = self.rng.choice(list(simulated_services.StoreMode)[1:])
        self._degrade_stores([entry], mode, self._draw_duration())

    def degrade_all_stores(self):
        mode = self.rng.choice(list(simulated_services.StoreMode)[1:])
        self._degrade_stores(self.site.entries, mode, self._draw_duration())

    def _degrade_stores(self, entries, mode, seconds):
        names = ",".join(entry.name for entry in entries)
        self._log_fault("store", mode.value, names, round(seconds, 1))
        self.site.extend_store_fault(seconds)
        for entry in entries:
            entry.store.mode = mode

            def end_fault(store=entry.store):
                if store.mode is mode:
                    store.mode = simulated_services.StoreMode.HEALTHY

            self.site.timers.subscribe_once(seconds, end_fault)

    def degrade_entry_link(self):
        entry = self._entry()
        link = self.rng.choice(("front_proxy", "store_proxy", "machine_proxy"))
        mode = self.rng.choice(list(proxy.Mode)[1:])
        seconds = self._draw_duration()
        self._log_fault("link", entry.name, link, mode.value, round(seconds, 1))
        if link == "store_proxy":
            self.site.extend_store_fault(seconds)
        getattr(entry, link).set_fault(
            mode, seconds, self.rng.uniform(0.02, 0.3)
        )

    def reset_links(self):
        entry = self._entry()
        self._log_fault("reset", entry.name)
        self.site.extend_store_fault(0.0)
        for item in (entry.front_proxy, entry.store_proxy):
            item.reset()

    def stall_links(self):
        """Stops relaying on open connections for good; new ones work."""
        self._log_fault("silence open connections")
        self.site.extend_store_fault(0.0)
        for entry in self.site.entries:
            entry.store_proxy.stall_open()
        for item in self.site.minion_proxies.values():
            if self.rng.random() < 0.5:
                item.stall_open()

    def lose_history(self):
        self._log_fault("history dropped")
        store = self.site.harness.store
        for stream in store.first:
            store.drop_history(stream)

    def crash_minion(self):
        minion = self._minion()
        self._log_fault("crash", minion.minion_id)
        self.site.extend_minion_fault()
        if self.rng.random() < 0.5:
            minion.crash()
        else:
            self.site.harness.machine_service.crash(minion)

    def degrade_minion_link(self):
        minion = self._minion()
        mode = self.rng.choice(list(proxy.Mode)[1:])
        seconds = self._draw_duration()
        self._log_fault(
            "minion link", minion.minion_id, mode.value, round(seconds, 1)
        )
        self.site.extend_minion_fault(seconds)
        self.site.minion_proxies[minion.minion_id].set_fault(
            mode, seconds, self.rng.uniform(0.02, 0.3)
        )

    def drain_minion(self):
        minion = self._minion()
        self._log_fault("drain", minion.minion_id)
        self.site.extend_minion_fault(4.0)
        self.site.drain_minion(minion)

    def change_keys(self):
        team = self.rng.choice(list(self.site.keys.values()))
        self._log_fault("keys", team)
        self.site.exchange_key(team)

    def evacuate(self):
        zone = f"zone-{self.rng.randrange(3)}"
        self._log_fault("evacuate", zone)
        self.site.evacuate(zone, self.rng.uniform(2.0, 8.0))

    def hang_machine_service(self):
        seconds = self._draw_duration()
        self._log_fault("machine service silent", round(seconds, 1))
        self.site.machines.down = True

        def end_fault():
            self.site.machines.down = False

        self.site.timers.subscribe_once(seconds, end_fault)

    def end_faults(self):
        """Ends all faults that have a duration."""
        self.stopped = True
        self.site.machines.down = False
        for entry in self.site.entries:
            entry.store.mode = simulated_services.StoreMode.HEALTHY
            for item in (
                entry.front_proxy,
                entry.store_proxy,
                entry.machine_proxy,
            ):
                item.mode = proxy.Mode.PASS
        for item in self.site.minion_proxies.values():
            item.mode = proxy.Mode.PASS
