"""Runs the planner in an entry: lease, rounds, host reports, explanations."""

import collections
import dataclasses
from collections.abc import Mapping, Sequence
from typing import Any

from clementinewood import (
    bundle,
    capacity,
    control_data,
    demand,
    fleet,
    fleet_fold,
    fleet_record,
    hostlist,
    identifiers,
    move,
    peerwire,
    planner,
)

Step = fleet_record.Step
Purpose = fleet_record.Purpose

PLANNING_PERIOD_SECONDS = 2.0

READ_SECONDS = 2.0
"""Maximum age of this entry's own read of the log for it to plan."""

ROUND_RECORDS = 20
"""Maximum records of one round. An entry appends at most 20 records a second,
and claims share that rate."""

LEASE_RETRY_SECONDS = 2.0
"""Seconds between two attempts to acquire the lease."""

USAGE_SECONDS = 1.0
"""Period of usage reports to the planner."""

MAX_USAGE_AGE_SECONDS = 10.0
"""Age above which a member's usage is not used to estimate demand."""

CLOCK_RECORDS = 64
"""Number of latest records from which the log's clock is estimated. The planner
renews its lease every few seconds, so the drift of the local clock stays
small."""

_REASONS: dict[Step, str] = {
    Step.IN_SERVICE: "in service",
    Step.CORDONED: "gets no new work and drains",
    Step.CHECKPOINTING: "its tasks were asked to checkpoint",
    Step.REBOOTING: "reboots",
    Step.CHECKING: "is checked before it returns",
    Step.ARRIVING: "was assigned and does not serve its pool yet",
    Step.BROKEN: "failed its checks",
    Step.LOST: "was absent for too long",
}


class WorkMeter:
    """Counts this entry's requests by pool and host."""

    def __init__(self) -> None:
        self.workers: collections.Counter[identifiers.WorkerId] = (
            collections.Counter()
        )
        self.pools: collections.Counter[identifiers.PoolId] = (
            collections.Counter()
        )
        self.completed: collections.Counter[identifiers.PoolId] = (
            collections.Counter()
        )
        self.busy: dict[identifiers.PoolId, float] = {}

    def start(
        self, worker: identifiers.WorkerId, pool: identifiers.PoolId
    ) -> None:
        """Counts a request that may reach the host from now on."""
        self.workers[worker] += 1
        self.pools[pool] += 1

    def finish(
        self,
        worker: identifiers.WorkerId,
        pool: identifiers.PoolId,
        seconds: float,
    ) -> None:
        """Counts the end of a request that ran for `seconds`."""
        self.workers[worker] -= 1
        if not self.workers[worker]:
            del self.workers[worker]
        self.pools[pool] -= 1
        self.completed[pool] += 1
        self.busy[pool] = self.busy.get(pool, 0.0) + seconds


@dataclasses.dataclass(slots=True)
class _MemberUsage:
    """Latest usage of a member, and the totals at the last sample."""

    usage: peerwire.FleetUsage
    received: float
    workers: dict[identifiers.WorkerId, int]
    counted: dict[identifiers.PoolId, tuple[int, float]]


class FleetControl:
    """Returns the fleet records that this entry should append.

    Every entry runs one. The lease only avoids duplicate work; it is not needed
    for safety, since every record states the versions that it replaces.

    Args:
        me: Incarnation of this entry.
        state: Folded control stream; its `fleet` stays the same object.
        meter: This entry's running requests.
        settings: Settings of the planner; periods come from the bundle.
    """

    def __init__(
        self,
        me: identifiers.Incarnation,
        state: control_data.Content,
        meter: WorkMeter | None = None,
        settings: planner.PlannerSettings | None = None,
    ) -> None:
        self.me = me
        self.state = state
        self.meter = meter or WorkMeter()
        self.view = fleet.Fleet(state.fleet, lazy=True)
        self.planner = planner.Planner(
            me,
            self.view,
            settings or planner.PlannerSettings(limit=ROUND_RECORDS),
        )
        self.demand = demand.DemandEstimator()
        self._hosts: Mapping[identifiers.WorkerId, hostlist.Host] = {}
        self._hosts_read = float("-inf")
        self._observed: Mapping[identifiers.WorkerId, hostlist.Host] = {}
        self._absent_zones: dict[identifiers.WorkerId, identifiers.ZoneId] = {}
        self._workers: dict[identifiers.WorkerId, fleet.Worker] = {}
        self._usage: dict[identifiers.Incarnation, _MemberUsage] = {}
        self._queued: Mapping[identifiers.PoolId, int] = {}
        self._clock_offsets: collections.deque[float] = collections.deque(
            maxlen=CLOCK_RECORDS
        )
        self._cordoned_at: dict[identifiers.WorkerId, int] = {}
        self._appending = 0
        self._last_offset = -1
        self._next_round = float("-inf")
        self._next_lease = float("-inf")
        self._next_usage = float("-inf")
        state.fleet.subscribe(self._on_change)
        self._on_change(None)

    def estimate_log_time(self, now: float) -> float:
        """Returns the estimated log time, which is never too high.

        Records arrive after their log time, so the largest difference between
        log time and local clock is the best estimate.
        """
        offset = max(self._clock_offsets, default=float("-inf"))
        return max(self.state.time, now + offset)

    def on_record(self, time: float, now: float) -> None:
        """Updates the log clock estimate with a record read at `now`."""
        self._clock_offsets.append(time - now)

    def configure(self, declared: bundle.Bundle) -> None:
        """Applies periods and thresholds of the bundle in force."""
        maintenance, rolls = declared.maintenance, declared.rollout
        self.planner.maintenance.configure(
            dataclasses.replace(
                self.planner.maintenance.settings,
                period=maintenance.interval,
                pause_fraction=maintenance.pause_unavailable,
            )
        )
        self.planner.rollout.settings = dataclasses.replace(
            self.planner.rollout.settings,
            observe=rolls.soak,
            failure_rate=rolls.halt_failures,
        )

    def observe_hosts(
        self,
        hosts: Mapping[identifiers.WorkerId, hostlist.Host],
        read_at: float,
    ) -> None:
        """Stores the host list, requested at monotonic time `read_at`."""
        # A rebooting host is not on the list; its zone is kept.
        for worker in self._hosts.keys() - hosts.keys():
            self._absent_zones[worker] = self._hosts[worker].zone
        for worker in list(self._absent_zones):
            if worker in hosts or worker not in self.state.fleet.hosts:
                del self._absent_zones[worker]
        self._hosts, self._hosts_read = hosts, read_at

    def observe_queued(self, queued: Mapping[identifiers.PoolId, int]) -> None:
        """Stores the number of requests queued at this entry, by pool."""
        self._queued = queued

    def observe_usage(
        self,
        member: identifiers.Incarnation,
        usage: peerwire.FleetUsage,
        now: float,
    ) -> None:
        """Stores the usage of a member."""
        old = self._usage.get(member)
        self._usage[member] = _MemberUsage(
            usage,
            now,
            {item.worker: item.running for item in usage.workers},
            old.counted if old else {},
        )

    def create_usage(self) -> peerwire.FleetUsage:
        """Returns this entry's usage, for the planner.

        Hosts in service are omitted: their load affects no decision, and for
        12,000 hosts it would exceed the limit on a node's control traffic.
        """
        meter, hosts = self.meter, self.state.fleet.hosts
        names = meter.pools.keys() | self._queued.keys()
        return peerwire.FleetUsage(
            self.state.next_offset,
            tuple(
                peerwire.PoolUsage(
                    pool,
                    meter.pools[pool],
                    self._queued.get(pool, 0),
                    meter.completed[pool],
                    meter.busy.get(pool, 0.0),
                )
                for pool in sorted(names)
            ),
            tuple(
                peerwire.WorkerUsage(worker, running)
                for worker, running in sorted(meter.workers.items())
                if worker not in hosts
                or hosts[worker].step is not Step.IN_SERVICE
            ),
        )

    def take_due_usage_target(
        self, now: float
    ) -> identifiers.Incarnation | None:
        """Returns the planner if a usage report to it is due, or None."""
        holder = self.state.fleet.lease.holder
        if holder in (None, self.me) or now < self._next_usage:
            return None
        self._next_usage = now + USAGE_SECONDS
        return holder

    def is_in_service(self, worker: identifiers.WorkerId) -> bool:
        """Returns whether requests may be sent to the host."""
        host = self.state.fleet.hosts.get(worker)
        return host is not None and host.step is Step.IN_SERVICE

    def plan(
        self, now: float, *, fresh: bool, read_at: float | None
    ) -> list[fleet_record.PlanPayload]:
        """Returns the records to append now, in that order.

        Call `on_appended` or `on_failed` once for each. No further records are
        returned until then and until the last one is folded.

        Args:
            now: Monotonic time.
            fresh: Whether this entry may act on its configuration.
            read_at: Monotonic time at which this entry itself sent the last
                read that reached the head of the log. Freshness does not
                suffice, since relays keep an entry fresh that cannot append.
        """
        if not fresh or read_at is None or now - read_at > READ_SECONDS:
            return []
        if self.is_busy or self.state.bundle is None:
            return []
        if self.me not in self.state.members or not self._clock_offsets:
            return []
        log_time = self.estimate_log_time(now)
        lease = self.planner.plan_lease(log_time)
        if lease is not None and now >= self._next_lease:
            self._next_lease = now + LEASE_RETRY_SECONDS
            return self._start_round([lease])
        if not self.planner.holds_lease(log_time) or now < self._next_round:
            return []
        self._next_round = now + PLANNING_PERIOD_SECONDS
        self.view.refresh()
        self._observe(now, log_time)
        self._sample_demand(now, log_time)
        return self._start_round(
            self.planner.plan(self._estimate_needs(log_time), log_time)
        )

    @property
    def is_busy(self) -> bool:
        """Whether records of the last round are not folded yet."""
        return self._appending > 0 or (
            self.state.next_offset <= self._last_offset
        )

    def on_appended(self, offset: int) -> None:
        """Handles a record that the log has stored."""
        self._appending -= 1
        self._last_offset = max(self._last_offset, offset)

    def on_failed(self) -> None:
        """Handles a record whose append failed or has an unknown outcome."""
        self._appending -= 1

    def _start_round(
        self, records: Sequence[fleet_record.Payload]
    ) -> list[fleet_record.PlanPayload]:
        planned = [
            item
            for item in records
            # Only operators publish bundles, never the planner.
            if not isinstance(item, fleet_record.BundleAccepted)
        ]
        self._appending = len(planned)
        return planned

    def _on_change(self, worker: identifiers.WorkerId | None) -> None:
        """Stores the offset from which on a host gets no new work."""
        hosts = self.state.fleet.hosts
        if worker is None:
            # A snapshot may hide that a host returned and was cordoned again.
            self._cordoned_at.clear()
        for changed in list(hosts) if worker is None else (worker,):
            if hosts[changed].step in fleet_fold.DRAINING:
                self._cordoned_at.setdefault(changed, self.state.fleet.offset)
            else:
                self._cordoned_at.pop(changed, None)

    # Host reports.

    def _observe(self, now: float, log_time: float) -> None:
        """Joins the host list with the usage of the members."""
        if self._hosts_read == float("-inf"):
            return
        time = log_time - (now - self._hosts_read)
        self.observe_usage(self.me, self.create_usage(), now)
        for gone in self._usage.keys() - self.state.members.keys():
            del self._usage[gone]
        observed, self._observed = self._observed, self._hosts
        progress = self.view.in_progress
        self.view.observe_changes(
            [
                self._create_report(host, time)
                for worker, host in self._hosts.items()
                # The time of a report matters only for hosts in progress;
                # new reports of all 12,000 hosts would take 50 ms.
                if worker in progress or observed.get(worker) != host
            ],
            self._hosts.keys(),
            time,
        )

    def _create_report(
        self, host: hostlist.Host, time: float
    ) -> fleet.HostReport:
        running = host.running
        if host.worker in self._cordoned_at:
            running += self._count_running(host.worker)
        return fleet.HostReport(
            self._get_worker(host),
            fleet.Listing.LEAVING if host.leaving else fleet.Listing.LIVE,
            running,
            host.boot,
            host.healthy,
            host.pool,
            time,
        )

    def _count_running(self, worker: identifiers.WorkerId) -> int:
        """Returns how many requests may be running on a draining host.

        A member that has not reported that it folded the cordon counts as one
        request, since it may still send work there.
        """
        cordoned = self._cordoned_at[worker]
        running = 0
        for member in self.state.members:
            reported = self._usage.get(member)
            if reported is None or reported.usage.next_offset <= cordoned:
                running += 1
            else:
                running += reported.workers.get(worker, 0)
        return running

    def _get_worker(self, host: hostlist.Host) -> fleet.Worker:
        """Returns the worker, as the same object until it changes."""
        old = self._workers.get(host.worker)
        size = capacity.Resources(
            host.processors, host.memory_gb, host.accelerators
        )
        if (
            old is None
            or old.resources != size
            or (old.zone, old.rack) != (host.zone, host.rack)
        ):
            old = fleet.Worker(host.worker, host.zone, host.rack, size)
            self._workers[host.worker] = old
        return old

    # Demand.

    def _list_queue_pools(self) -> set[identifiers.PoolId]:
        declared = self.state.bundle
        assert declared is not None
        return {queue.pool for queue in declared.queues.values()}

    def _sample_demand(self, now: float, log_time: float) -> None:
        """Adds a demand sample if all members have reported recently."""
        for member in self.state.members:
            reported = self._usage.get(member)
            if (
                reported is None
                or now - reported.received > MAX_USAGE_AGE_SECONDS
            ):
                return
        totals = {pool: [0.0] * 4 for pool in self._list_queue_pools()}
        for reported in self._usage.values():
            for item in reported.usage.pools:
                total = totals.setdefault(item.pool, [0.0] * 4)
                past = reported.counted.get(
                    item.pool, (item.completed, item.busy)
                )
                total[0] += item.running
                total[1] += item.queued
                total[2] += item.completed - past[0]
                total[3] += item.busy - past[1]
                reported.counted[item.pool] = (item.completed, item.busy)
        for pool, (running, queued, completed, busy) in totals.items():
            self.demand.report(
                pool,
                demand.UsageSample(log_time, running, queued, completed, busy),
            )

    def _estimate_needs(self, log_time: float) -> move.Needs:
        """Returns the needs of pools with a queue whose demand is known."""
        declared = self.state.bundle
        assert declared is not None
        needs: dict[identifiers.PoolId, capacity.Resources] = {}
        for pool in sorted(self._list_queue_pools()):
            counts = self.view.pools.get(pool)
            host = capacity.DEFAULT
            if counts is not None and counts.serving_count:
                host = counts.capacity.scale(1 / counts.serving_count)
            slots = declared.services[declared.pools[pool].service].slots
            needs.update(
                self.demand.estimate_needs([pool], slots, host, log_time)
            )
        return needs

    # Pages.

    def describe_pools(self) -> dict[str, dict[str, int]]:
        """Returns the number of hosts of each pool by step."""
        pools: dict[str, dict[str, int]] = {}
        for host in self.state.fleet.hosts.values():
            steps = pools.setdefault(host.pool, {})
            steps[host.step.value] = steps.get(host.step.value, 0) + 1
        return pools

    def describe(self) -> dict[str, Any]:
        """Returns the planner's lease and the waves in progress."""
        state = self.state.fleet
        waves: dict[str, dict[str, int]] = {}
        for worker, host in sorted(state.hosts.items()):
            if host.step is Step.IN_SERVICE or host.purpose is Purpose.NONE:
                continue
            listed = self._hosts.get(worker)
            zone = listed.zone if listed else self._absent_zones.get(worker)
            purposes = waves.setdefault(zone or "unknown", {})
            name = host.purpose.value
            purposes[name] = purposes.get(name, 0) + 1
        return {
            "planner": state.lease.holder,
            "lease_until": state.lease.until,
            "paused": state.pause.paused,
            "roll_zone": state.roll.zone,
            "roll_halted": state.roll.halted,
            "waves": waves,
        }

    def explain(self, worker: identifiers.WorkerId) -> dict[str, Any] | None:
        """Explains the state of a host; None if it is unknown."""
        state = self.state.fleet
        host = state.hosts.get(worker)
        if host is None:
            return None
        listed = self._hosts.get(worker)
        reason = _REASONS[host.step]
        if host.purpose is not Purpose.NONE:
            reason = f"{host.purpose.value}: {reason}"
        home = state.home.get(worker)
        if home is None:
            reason += "; no bundle declares it"
        elif home != host.pool:
            reason += f"; lent by pool {home}"
        if listed is None:
            reason += "; not on the host list"
        elif listed.leaving:
            reason += "; the host list says that it leaves"
        return {
            "worker": worker,
            "pool": host.pool,
            "step": host.step.value,
            "reason": reason,
            "target": host.target,
            "since": host.since,
            "version": host.version,
            "maintained": host.maintained,
            "running": None if listed is None else listed.running,
            "running_here": self.meter.workers[worker],
        }


if __name__ == "__main__":
    CONTROL = FleetControl(
        identifiers.Incarnation("entry-1/a"), control_data.Content()
    )
    print(CONTROL.plan(0.0, fresh=True, read_at=0.0), CONTROL.describe())
