"""Draws faults and brings them about, in series that overlap."""

import json

from clementinewood import jobtable, ports
from features.soak import faces, proxy


class Faults:
    """Random faults of one seed.

    Args:
        site: The site.
        dice: Source of random choices.
        note: Called with a line for each fault.
    """

    def __init__(self, site, dice, note):
        self.site = site
        self.dice = dice
        self.note = note
        self.stopped = False
        self.kinds = (
            self.kill,
            self.kill_dispatcher,
            self.stop,
            self.stop_in_turn,
            self.pause,
            self.hang_up,
            self.trouble_store,
            self.trouble_every_store,
            self.trouble_link,
            self.reset_links,
            self.silence_links,
            self.lose_history,
            self.crash_minion,
            self.trouble_minion,
            self.drain_minion,
            self.change_keys,
            self.evacuate,
            self.trouble_machines,
            self.kill_all,
        )

    def start(self):
        self._next()

    def _next(self):
        if self.stopped:
            return
        self.dice.choice(self.kinds)()
        self.site.timers.subscribe_once(
            self.dice.choice((0.1, 0.4, 0.8, 1.5, 3.0)), self._next
        )

    def _say(self, kind, *details):
        self.note(" ".join([kind, *(str(item) for item in details)]))

    def _entry(self):
        return self.dice.choice(self.site.entries)

    def _minion(self):
        return self.dice.choice(list(self.site.harness.minions.values()))

    def _span(self):
        return self.dice.uniform(0.3, 5.0)

    def kill(self):
        entry = self._entry()
        self._say("kill", entry.name)
        entry.kill()

    def kill_dispatcher(self):
        """Kills the entry that dispatches, by the newest record of it."""
        newest = self.site.harness.store.newest[ports.Stream.DISPATCH]
        record = newest.get(jobtable.LEADER_KEY)
        if record is None:
            return
        holder = json.loads(record.value)[1].partition("/")[0]
        entry = next(item for item in self.site.entries if item.name == holder)
        self._say("kill dispatcher", entry.name)
        entry.kill()

    def kill_all(self):
        if self.dice.random() < 0.5:
            return
        self._say("kill all")
        for entry in self.site.entries:
            entry.kill()

    def stop(self):
        entry = self._entry()
        self._say("stop", entry.name)
        entry.stop()

    def stop_in_turn(self):
        gap = self.dice.uniform(0.5, 2.0)
        self._say("stop in turn", round(gap, 1))
        for number, entry in enumerate(self.site.entries):
            self.site.timers.subscribe_once(number * gap, entry.stop)

    def pause(self):
        entry, seconds = self._entry(), self._span()
        self._say("pause", entry.name, round(seconds, 1))
        entry.pause(seconds)

    def hang_up(self):
        entry = self._entry()
        self._say("hang up", entry.name)
        entry.hang_up()

    def trouble_store(self):
        entry = self._entry()
        mode = self.dice.choice(list(faces.StoreMode)[1:])
        self._trouble_stores([entry], mode, self._span())

    def trouble_every_store(self):
        mode = self.dice.choice(list(faces.StoreMode)[1:])
        self._trouble_stores(self.site.entries, mode, self._span())

    def _trouble_stores(self, entries, mode, seconds):
        names = ",".join(entry.name for entry in entries)
        self._say("store", mode.value, names, round(seconds, 1))
        self.site.note_store_trouble(seconds)
        for entry in entries:
            entry.store.mode = mode

            def calm(store=entry.store):
                if store.mode is mode:
                    store.mode = faces.StoreMode.SOUND

            self.site.timers.subscribe_once(seconds, calm)

    def trouble_link(self):
        entry = self._entry()
        link = self.dice.choice(("front_proxy", "store_proxy", "machine_proxy"))
        mode = self.dice.choice(list(proxy.Mode)[1:])
        seconds = self._span()
        self._say("link", entry.name, link, mode.value, round(seconds, 1))
        if link == "store_proxy":
            self.site.note_store_trouble(seconds)
        getattr(entry, link).trouble(
            mode, seconds, self.dice.uniform(0.02, 0.3)
        )

    def reset_links(self):
        entry = self._entry()
        self._say("reset", entry.name)
        self.site.note_store_trouble(0.0)
        for item in (entry.front_proxy, entry.store_proxy):
            item.reset()

    def silence_links(self):
        """Open connections fall silent for good; new ones work."""
        self._say("silence open connections")
        self.site.note_store_trouble(0.0)
        for entry in self.site.entries:
            entry.store_proxy.silence_open()
        for item in self.site.minion_proxies.values():
            if self.dice.random() < 0.5:
                item.silence_open()

    def lose_history(self):
        self._say("history dropped")
        store = self.site.harness.store
        for stream in store.first:
            store.drop_history(stream)

    def crash_minion(self):
        minion = self._minion()
        self._say("crash", minion.minion_id)
        self.site.note_minion_trouble()
        if self.dice.random() < 0.5:
            minion.crash()
        else:
            self.site.harness.machine_service.crash(minion)

    def trouble_minion(self):
        minion = self._minion()
        mode = self.dice.choice(list(proxy.Mode)[1:])
        seconds = self._span()
        self._say(
            "minion link", minion.minion_id, mode.value, round(seconds, 1)
        )
        self.site.note_minion_trouble(seconds)
        self.site.minion_proxies[minion.minion_id].trouble(
            mode, seconds, self.dice.uniform(0.02, 0.3)
        )

    def drain_minion(self):
        minion = self._minion()
        self._say("drain", minion.minion_id)
        self.site.note_minion_trouble(4.0)
        self.site.drain_minion(minion)

    def change_keys(self):
        team = self.dice.choice(list(self.site.keys.values()))
        self._say("keys", team)
        self.site.exchange_key(team)

    def evacuate(self):
        zone = f"zone-{self.dice.randrange(3)}"
        self._say("evacuate", zone)
        self.site.evacuate(zone, self.dice.uniform(2.0, 8.0))

    def trouble_machines(self):
        seconds = self._span()
        self._say("machine service silent", round(seconds, 1))
        self.site.machines.down = True

        def calm():
            self.site.machines.down = False

        self.site.timers.subscribe_once(seconds, calm)

    def calm(self):
        """Ends every fault that lasts."""
        self.stopped = True
        self.site.machines.down = False
        for entry in self.site.entries:
            entry.store.mode = faces.StoreMode.SOUND
            for item in (
                entry.front_proxy,
                entry.store_proxy,
                entry.machine_proxy,
            ):
                item.mode = proxy.Mode.PASS
        for item in self.site.minion_proxies.values():
            item.mode = proxy.Mode.PASS
