"""Injects random faults that may overlap."""

import enum
import json
import random

from clementinewood import jobtable, ports
from features.soak import proxy, simulated_services


class Mix(enum.Enum):
    """Says which faults and which cancellations are frequent."""

    ALL = "all"
    POWER = "power"


class FaultInjector:
    """Injects the random faults of one seed.

    Args:
        site: Site that gets the faults.
        rng: Source of random choices.
        record_line: Called with one line of text per fault.
        mix: Which faults are injected.
    """

    def __init__(self, site, rng, record_line, mix=Mix.ALL):
        self.site = site
        self.schedule = rng
        self.rng = rng
        self.record_line = record_line
        self.stopped = False
        power_kinds = (
            self.lose_power,
            self.lose_power,
            self.crash_after_ends,
            self.delay_orders,
            self.lose_order_answers,
            self.degrade_all_stores,
        )
        all_kinds = (
            *power_kinds,
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
        self.kinds = {
            Mix.ALL: all_kinds,
            Mix.POWER: (
                *power_kinds,
                self.kill_dispatcher,
                self.pause,
                self.crash_minion,
            ),
        }[mix]

    def start(self):
        self._next()

    def _next(self):
        if self.stopped:
            return
        # Each fault has draws of its own: how many it takes depends on the
        # state of the site, and the faults after it must not.
        self.rng = random.Random(self.schedule.random())
        self.schedule.choice(self.kinds)()
        self.site.timers.subscribe_once(
            self.schedule.choice((0.1, 0.4, 0.8, 1.5, 3.0)), self._next
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

    def lose_power(self):
        """Ends all entries and all or some minions at once, maybe twice.

        The store may turn away all entries, or all but one, in the seconds
        around it.
        """
        rng = self.rng
        before = rng.choice((0.0, rng.uniform(0.0, 5.0), rng.uniform(1.0, 3.0)))
        after = rng.choice((0.0, rng.uniform(0.0, 2.0)))
        share = rng.choice((0.0, 0.5, 1.0, 1.0))
        if before:
            mode = rng.choice(
                (
                    simulated_services.StoreMode.REFUSING,
                    simulated_services.StoreMode.SILENT,
                )
            )
            entries = list(self.site.entries)
            if rng.random() < 0.25:
                entries.remove(self._entry())
            self._degrade_stores(entries, mode, before + after)
        times = [before]
        if rng.random() < 0.25:
            times.append(before + rng.uniform(0.5, 4.0))
        for seconds in times:
            self.site.timers.subscribe_once(
                seconds, lambda: self._cut_power(share, rng)
            )

    def _cut_power(self, share, rng):
        if self.stopped:
            return
        minions = [
            minion
            for minion in self.site.harness.minions.values()
            if rng.random() < share
        ]
        self._log_fault(
            "power", "minions", *(minion.minion_id for minion in minions)
        )
        self.site.extend_minion_fault()
        for entry in self.site.entries:
            entry.kill()
        for minion in minions:
            minion.crash()

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
        self.site.extend_store_fault(entries, seconds)
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
            self.site.extend_store_fault([entry], seconds)
        getattr(entry, link).set_fault(
            mode, seconds, self.rng.uniform(0.02, 0.3)
        )

    def reset_links(self):
        entry = self._entry()
        self._log_fault("reset", entry.name)
        self.site.extend_store_fault([entry])
        for item in (entry.front_proxy, entry.store_proxy):
            item.reset()

    def stall_links(self):
        """Stops relaying on open connections for good; new ones work."""
        self._log_fault("silence open connections")
        self.site.extend_store_fault(self.site.entries)
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

    def _simulated_minions(self):
        """Returns some minions, or all of them."""
        minions = list(self.site.harness.minions.values())
        count = self.rng.choice((1, 3, len(minions)))
        return [
            self.site.simulated_minions[minion.minion_id]
            for minion in self.rng.sample(minions, min(count, len(minions)))
        ]

    def crash_after_ends(self):
        seconds = self.rng.uniform(0.3, 3.0)
        chosen = self._simulated_minions()
        self._log_fault("crash after ends", len(chosen), round(seconds, 1))
        self.site.extend_minion_fault(seconds)
        for item in chosen:
            item.crashes_after_end = True

        def end_fault():
            for item in chosen:
                item.crashes_after_end = False

        self.site.timers.subscribe_once(seconds, end_fault)

    def delay_orders(self):
        self._degrade_orders(simulated_services.OrderFault.LATE)

    def lose_order_answers(self):
        self._degrade_orders(simulated_services.OrderFault.UNANSWERED)

    def _degrade_orders(self, fault):
        seconds = self._draw_duration()
        share = self.rng.uniform(0.1, 0.6)
        chosen = self._simulated_minions()
        self._log_fault(
            "orders",
            fault.value,
            len(chosen),
            round(seconds, 1),
            round(share, 1),
        )
        self.site.extend_minion_fault(
            seconds + simulated_services.LATE_ORDER_SECONDS
        )
        for item in chosen:
            item.order_fault, item.order_fault_share = fault, share

        def end_fault():
            for item in chosen:
                if item.order_fault is fault:
                    item.order_fault, item.order_fault_share = None, 0.0

        self.site.timers.subscribe_once(seconds, end_fault)

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
        for item in self.site.simulated_minions.values():
            item.order_fault, item.order_fault_share = None, 0.0
            item.crashes_after_end = False
