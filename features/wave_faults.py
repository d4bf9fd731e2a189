"""Runs a maintenance wave beside changes of the dispatcher and other faults."""

import enum
import json
import random
from unittest import mock

from clementinewood import (
    catalog,
    identifiers,
    job,
    machinecontrol,
    ports,
    run,
)
from features import job_faults, job_harness

WAVE = 1
WAVE_SECONDS = 40.0
LASTING = identifiers.JobId("00000000000000bb")
SETTLE_SECONDS = 60.0
RESTART_SECONDS = 0.1


class WaveFault(enum.Enum):
    """Fault during a wave."""

    RESTART = "restart"
    """The dispatcher is killed and starts again on its host."""

    REPLACE = "replace"
    """The dispatcher is killed; another entry takes its place."""

    STOP = "stop"
    LATE_MACHINE_ORDERS = "late-machine-orders"
    SILENT_MACHINE_SERVICE = "silent-machine-service"
    LOSSY_STORE = "lossy-store"
    STORE_CUT = "store-cut"
    PAUSE = "pause"


class WaveSite:
    """A site with a wave and a long-running job.

    Args:
        seed: Seed of every random choice.
        machines: Machines of the pool, all of them in the wave.
        cap: Machines that may be down at once.
        tasks: Tasks of the long-running job.
    """

    def __init__(self, seed, *, machines=12, cap=3, tasks=4):
        self.harness = job_harness.JobHarness(
            seed, entries=4, minions=machines, spare=4
        )
        self.harness.run_for(1.5)
        self.tasks = tasks
        self.stops_over_budget = []
        self.harness.on_run_end = self._check_budget
        self.wave = catalog.Wave(
            number=WAVE,
            machines=tuple(
                list(self.harness.machine_service.machines)[:machines]
            ),
            seconds=WAVE_SECONDS,
            cap=cap,
        )

    def begin_wave(self):
        if not self.harness.declared.waves:
            self.harness.declare(waves=(self.wave,))

    def submit_lasting(self):
        harness = self.harness
        step = job.Step(
            count=self.tasks,
            need=job.Resources(1000, 100),
            long_running=True,
            max_per_minion=1,
            max_unavailable=1,
        )
        harness.submit(harness.entries[0], LASTING, [step])
        harness.run_until(lambda: self.count_working() == self.tasks)

    def count_working(self):
        """Returns the tasks of the long-running job that are at work."""
        return sum(
            task.job == LASTING
            for minion in self.harness.minions.values()
            for task in minion.running
        )

    def _check_budget(self, task, how):
        """Checks the one task that orders may make unavailable at a time."""
        away = self.tasks - self.count_working()
        if task.job == LASTING and how is run.RunOutcome.STOPPED and away > 1:
            self.stops_over_budget.append(
                f"{task.render()} is stopped while {away - 1} are away"
            )

    def restart(self, entry):
        """Kills the process of an entry, which starts again on its host."""
        self.harness.kill(entry)
        self.harness.run_for(RESTART_SECONDS)
        return self.harness.add_entry(entry._minions.name)

    def is_completed(self):
        newest = self.harness.store.newest[ports.Stream.STATUS]
        record = newest.get(f"wave/{WAVE}")
        return record is not None and json.loads(record.value) == "completed"

    def list_unserviced(self):
        serviced = {
            machine_id
            for _, machine_id in self.harness.machine_service.serviced
        }
        return set(self.wave.machines) - serviced

    def list_cordoned(self):
        """Returns the minions that the dispatcher keeps work off."""
        driver = self.harness.dispatcher().elector.driver
        views = driver.dispatcher.views.values()
        return [
            view.minion_id
            for view in views
            if view.cordoned and view.minion_id in self.harness.minions
        ]


def run_wave(seed):
    """Runs one wave under faults drawn from `seed`, then lets it settle."""
    rng = random.Random(seed)
    site = WaveSite(
        seed, cap=rng.choice((1, 2, 3)), tasks=rng.choice((2, 4, 6))
    )
    harness = site.harness
    harness.machine_service.upkeep_seconds = rng.choice((2.0, 2.0, 5.0))
    site.submit_lasting()
    site.begin_wave()
    number = 0
    end = harness.clock() + 20.0
    while harness.clock() < end:
        harness.run_for(rng.uniform(0.3, 1.0))
        if rng.random() < 0.3:
            inject_fault(site, rng, rng.choice(list(WaveFault)))
        name = f"{seed:08x}{number:08x}"
        number += 1
        steps = job_faults.create_steps(1, rng.randint(1, 6), 0.8)
        entry = rng.choice(harness.entries)
        if not entry._timers.paused:
            harness.submit(entry, name, steps)
    job_faults.clear_faults(harness)
    for link in (
        *harness.machine_links.values(),
        *harness.machine_order_links.values(),
    ):
        link.down = False
        link.lost_answer_ratio = 0.0
    harness.run_for(SETTLE_SECONDS)
    return site


def inject_fault(site, rng, kind):
    """Injects one fault, which ends by itself."""
    harness = site.harness
    entry = harness.dispatcher() or rng.choice(harness.entries)
    span = rng.uniform(1.0, 5.0)
    later = harness.timers.subscribe_once
    match kind:
        case WaveFault.RESTART:
            site.restart(entry)
        case WaveFault.REPLACE:
            harness.kill(entry)
            later(span, lambda: harness.add_entry(entry._minions.name))
        case WaveFault.STOP:
            job_faults.inject_fault(harness, rng, job_faults.FaultKind.STOP)
        case WaveFault.LATE_MACHINE_ORDERS:
            links = list(harness.machine_order_links.values())
            for link in links:
                link.lost_answer_ratio, link.carried_out = 0.5, 1.0
                link.earliest, link.late = 2.0, 12.0
            later(span, lambda: _end_losses(links))
        case WaveFault.SILENT_MACHINE_SERVICE:
            links = list(harness.machine_links.values())
            for link in links:
                link.down = True
            later(span, lambda: _end_silence(links))
        case WaveFault.LOSSY_STORE:
            job_faults.inject_fault(
                harness, rng, job_faults.FaultKind.LOSSY_STORE
            )
        case WaveFault.STORE_CUT:
            job_faults.inject_fault(
                harness, rng, job_faults.FaultKind.STORE_CUT
            )
        case WaveFault.PAUSE:
            job_faults.inject_fault(harness, rng, job_faults.FaultKind.PAUSE)


def _end_losses(links):
    for link in links:
        link.lost_answer_ratio = 0.0


def _end_silence(links):
    for link in links:
        link.down = False


def list_violations(site):
    """Returns what broke in a wave that has settled."""
    harness = site.harness
    broken = harness.violations + site.stops_over_budget
    if not site.is_completed():
        broken.append("the wave was not completed")
    broken += [f"{name} had no upkeep" for name in site.list_unserviced()]
    broken += [f"{name} stays cordoned" for name in site.list_cordoned()]
    if site.count_working() != site.tasks:
        broken.append(f"{site.count_working()} long-running tasks at work")
    return broken


def ignore_listed_maintenance():
    """Counts only machines that this leader has ordered down."""
    return mock.patch.object(
        machinecontrol.MachineControl,
        "_list_down",
        lambda self, wave: self._orders.list_maintained(wave.number),
    )


MUTANTS = {
    "listed maintenance": ignore_listed_maintenance,
}
"""Variants that lack one mechanism, by what they disregard."""
