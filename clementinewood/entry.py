"""The entry daemon, which connects callers to minions in one process."""

import random
import time
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from clementinewood import (
    bundle,
    claim,
    claim_record,
    coordination,
    edge,
    event,
    fleet_control,
    fleet_record,
    gateway,
    hostlist,
    httpclient,
    identifiers,
    ledger,
    logclient,
    membership,
    membership_record,
    metric,
    page,
    peer,
    peerwire,
    publication,
    record,
    relay,
    retry,
    router,
    scheduler,
    settings,
    site_view,
    snapshot_writer,
    state,
    targets,
    timer,
    transport,
    upstreams,
    verdict,
    web,
)

ADVANCE_SECONDS = 0.25
"""Period of status messages to peers and of other periodic work."""

PEER_REPORT_MAX_AGE_SECONDS = 2.0
"""Age up to which another entry's report of its own state is used."""

USAGE_REPEAT_SECONDS = 1.0
"""Period of usage reports while nothing changes; less than
`PEER_REPORT_MAX_AGE_SECONDS`."""

MAX_CLOCK_SKEW_SECONDS = 60.0
"""Maximum difference between the clocks of log and entry."""

LOG_CONNECTIONS = 2 * (logclient.MAX_READS + 1)
"""Concurrent reads and one append for each of the two streams."""


class Entry:
    """One entry process.

    Args:
        config: Settings of this process.
        sockets: Transport that owns the sockets.
        timers: Timer service.
        site: Serves pages; shared by entries of one process.
        on_stopped: Called after a graceful stop, or after the other entries
            removed this one; the process should then exit.
        wall_clock: Returns Unix time in seconds.
        seed: Seed of all random choices.
    """

    def __init__(
        self,
        config: settings.Settings,
        sockets: transport.Transport,
        timers: timer.TimerService,
        site: web.Web,
        *,
        on_stopped: Callable[[], None] = lambda: None,
        wall_clock: Callable[[], float] = time.time,
        seed: int | None = None,
    ) -> None:
        self.config = config
        self.me = identifiers.create_incarnation(config.entry)
        self.state = state.ControlState()
        self.coordination = coordination.Coordination(
            self.me,
            timing=membership.Timing(run_limit=bundle.MAX_RUN_LIMIT),
            roster=self.state.roster,
        )
        self.fleet = fleet_control.FleetControl(self.me, self.state)
        self.metrics = metric.Metrics()
        self._timers = timers
        self._clock = timers.clock
        self._wall_clock = wall_clock
        self._on_stopped = on_stopped
        self._site = site
        self._sockets = sockets
        self._random = random.Random(seed)
        self.was_removed = False
        self._stopping = False
        self._stopped = False
        self._was_fresh = False
        self._was_ready = False
        self._ejected: dict[identifiers.MinionId, identifiers.PoolId] = {}
        self._peer_versions: dict[
            identifiers.EntryId, tuple[int, bool, float]
        ] = {}
        self._last_report: tuple[int, bool] = (0, False)
        self._last_report_at = float("-inf")
        self._last_usage: dict[identifiers.TeamId, scheduler.Usage] = {}
        self.hosts: Mapping[identifiers.WorkerId, hostlist.Host] = {}
        self._folded_at: dict[identifiers.Incarnation, float] = {}
        self.view = site_view.SiteView(self)
        self._create_log_clients()
        self._create_request_path()
        self._targets = targets.TargetTable(
            self.state,
            self.coordination.ledger,
            self.fleet,
            self.gateway,
            self.router,
        )
        self._create_links()
        self._observe_gauges()

    def _create_log_clients(self) -> None:
        config = self.config
        http = httpclient.HttpClient(
            self._sockets,
            self._timers,
            config.log,
            max_connections=LOG_CONNECTIONS,
        )
        rate = logclient.AppendRate()
        self._relay = relay.RelayBuffer("control", config.cluster_key)
        self._control = logclient.LogClient(
            http,
            self._timers,
            "control",
            self._on_control,
            key=config.cluster_key,
            rate=rate,
            on_gap=self._on_control_gap,
            on_head=self._on_control_head,
        )
        self._claims = logclient.LogClient(
            http,
            self._timers,
            "claims",
            self._on_claims,
            key=config.cluster_key,
            on_gap=self._on_claims_gap,
            on_head=self._on_claims_head,
            rate=rate,
        )
        self._claims_gap = False
        self._claims_scheduled = False
        self._snapshots = snapshot_writer.SnapshotWriter(
            self.me, self._control, self.state
        )
        self._publication = publication.Publication(
            self.me,
            config.operators,
            self._control,
            self.state,
            self.coordination,
            self._timers,
            wall_clock=self._wall_clock,
        )
        self._host_list = hostlist.HostList(
            httpclient.HttpClient(self._sockets, self._timers, config.hosts),
            self._timers,
            self._on_hosts,
            on_unchanged=self._on_hosts_unchanged,
        )

    def _create_request_path(self) -> None:
        self.router = router.Router(self.config.zone, self._random)
        self._upstreams = upstreams.Upstreams(
            self._sockets, self._timers, self.fleet.meter
        )
        self.gateway: gateway.Gateway = gateway.Gateway(
            self._timers,
            pages=self,
            sender=self._upstreams,
            tokens=self.coordination.ledger,
            claims=self,
            router_=self.router,
            retries=retry.RetryPolicy(self._random),
            is_fresh=lambda: self.coordination.may_act(self._clock()),
            explain_stale=lambda: self.coordination.freshness.explain(
                self._clock()
            ),
            me=self.me,
            metrics=self.metrics,
            context=self.view,
            wall_clock=self._wall_clock,
        )
        self._edge = edge.Edge(
            self._sockets,
            self._timers,
            self.gateway,
            limits=self.config.edge_limits,
            clock=self._clock,
        )

    def _create_links(self) -> None:
        self._hub = peer.PeerHub(
            self._sockets,
            self._timers,
            identity=peer.PeerIdentity(
                self.config.entry, self.me, self.config.zone
            ),
            cluster_key=self.config.cluster_key,
            peers=self.config.others,
            listener=self,
            metrics=self.metrics,
        )

    def _observe_gauges(self) -> None:
        observe = self.metrics.observe
        observe(
            metric.CONFIGURATION_FRESH, lambda: [({}, float(self.is_fresh))]
        )
        observe(metric.BUNDLE_VERSION, lambda: [({}, self.state.version)])
        observe(
            metric.LOG_LAG,
            lambda: [({}, self._clock() - self.coordination.freshness.read_at)],
        )
        observe(
            metric.QUEUED_REQUESTS,
            lambda: [
                ({"team": team}, usage.queued)
                for team, usage in self.gateway.scheduler.usage().items()
            ],
        )
        observe(
            metric.RUNNING_REQUESTS,
            lambda: [
                ({"team": team}, usage.running)
                for team, usage in self.gateway.scheduler.usage().items()
            ],
        )
        observe(
            metric.HELD_RIGHTS,
            lambda: [
                ({"team": team}, self.count_held(team))
                for team in self.gateway.scheduler.usage()
            ],
        )

        observe(
            metric.EJECTED_MINIONS, lambda: [({}, len(self._list_ejected()))]
        )
        observe(metric.HANDLER_FAILURES, lambda: [({}, self._count_failures())])
        observe(
            metric.SLOW_TURNS, lambda: [({}, float(self._timers.slow_turns))]
        )
        observe(metric.RECORDS_REFUSED, self._count_refused_records)

    def _list_ejected(
        self,
    ) -> dict[identifiers.MinionId, identifiers.PoolId]:
        pools = {item.pool for item in self.state.assignments.values()}
        return {
            minion: pool
            for pool in sorted(pools)
            for minion in self.router.ejected(pool)
        }

    def _count_failures(self) -> int:
        return (
            self._sockets.failures
            + self._timers.failures
            + self._site.failures
            + self._edge.failures
            + self._control.failures
            + self._claims.failures
        )

    def _count_refused_records(self) -> list[metric.Reading]:
        refused = self._control.refused + self._claims.refused
        return [
            ({"cause": code.value}, count) for code, count in refused.items()
        ]

    def count_held(self, team: identifiers.TeamId) -> int:
        """Returns this entry's tokens of a team's upper limit."""
        return self.coordination.ledger.held(ledger.team_resource(team))

    @property
    def is_fresh(self) -> bool:
        """Whether this entry may act on its configuration now."""
        return self.coordination.freshness.is_fresh(self._clock())

    def start(self) -> None:
        """Listens, follows the log and joins the other entries."""
        self._hub.listen(self.config.peers)
        self._hub.start_dialling()
        self._edge.listen(self.config.callers)
        self._control.start()
        self._claims.start()
        self._host_list.start()
        self._timers.subscribe_every(ADVANCE_SECONDS, self._advance)
        event.emit(event.Event.ENTRY_STARTED, incarnation=self.me)

    def stop(self) -> None:
        """Starts a graceful shutdown, which completes all requests."""
        if self._stopping:
            return
        self._stopping = True
        event.emit(event.Event.DRAIN_STARTED, incarnation=self.me)
        self._edge.start_drain(self._on_drained)

    def _on_drained(self) -> None:
        self.coordination.leave()

    def _finish_stop(self) -> None:
        if self._stopped:
            return
        self._stopped = True
        self._hub.close()
        self._upstreams.close_all()
        self._control.close()
        self._claims.close()
        event.emit(event.Event.DRAIN_FINISHED, incarnation=self.me)
        self._on_stopped()

    # Log.

    def _on_control(self, entries: list[logclient.LoggedRecord]) -> None:
        for item in entries:
            self._fold(item)
        self._flush()

    def _fold(self, item: logclient.LoggedRecord) -> None:
        """Folds a control record from the log or a peer, once."""
        if item.offset < self.state.next_offset:
            return
        self._relay.add(item)
        now = self._clock()
        version = self.state.version
        author, payload = item.record.author, item.record.payload
        self.fleet.on_record(item.time, now)
        held_lease = self._holds_planner_lease()
        outcome = self.state.apply(item.record, item.offset, item.time)
        self._update_coordination(author, item.offset, now)
        if outcome is state.Outcome.APPLIED:
            self._log_fleet_change(payload, held_lease)
        if self.state.version != version:
            self._apply_bundle()
        if isinstance(payload, record.Joined | record.Left | record.Removed):
            self._on_members(payload)

    def _holds_planner_lease(self) -> bool:
        lease = self.state.planner_lease
        return lease is not None and lease.holder == self.me

    def _log_fleet_change(
        self, payload: record.Payload, held_lease: bool
    ) -> None:
        """Logs the fleet changes of an applied record.

        Args:
            payload: The record's payload.
            held_lease: Whether this entry held the planner lease before it.
        """
        match payload:
            case fleet_record.WorkerAssigned(worker=worker, pool=pool):
                event.emit(
                    event.Event.WORKER_ASSIGNED, worker=worker, pool=pool
                )
            case fleet_record.MaintenanceStep(worker=worker, step=step):
                event.emit(
                    event.Event.MAINTENANCE_STEP,
                    worker=worker,
                    step=step.value,
                    purpose=payload.purpose.value,
                )
            case fleet_record.PlannerLease():
                holds_lease = self._holds_planner_lease()
                if holds_lease != held_lease:
                    event.emit(
                        event.Event.PLANNER_LEASE_ACQUIRED
                        if holds_lease
                        else event.Event.PLANNER_LEASE_LOST,
                        entry=self.config.entry,
                    )

    def _update_coordination(
        self, author: identifiers.Incarnation, offset: int, now: float
    ) -> None:
        """Passes the changes of the record at `offset` to coordination."""
        if not self.state.has_base:
            # Records after a gap are not folded before a snapshot is read.
            return
        change = self.state.change
        if self.state.roster is not self.coordination.roster:
            self.coordination.adopt_roster(self.state.roster, offset, now)
        elif change is not None:
            self.coordination.on_folded(
                author, change.payload, offset, now, counted=change.counted
            )
        else:
            self.coordination.on_other_control(offset)

    def _on_control_gap(self, start: int) -> None:
        """Handles control records before `start` that expired unread."""
        event.emit(event.Event.LOG_GAP, start=start)
        self.state.begin_gap(start)
        self._snapshots.gap_at = self._clock()

    def _apply_bundle(self) -> None:
        declared = self.state.bundle
        assert declared is not None
        event.emit(
            event.Event.BUNDLE_IN_FORCE,
            version=declared.version,
            entry=self.config.entry,
        )
        self.router.set_zones_out(
            zone
            for zone, spec in declared.zones.items()
            if spec.state is bundle.ZoneState.OUT
        )
        self.fleet.configure(declared)
        self.gateway.configure(
            declared, entries=max(1, len(self.coordination.roster.members))
        )
        self._targets.update(self._clock())

    def _on_members(
        self, payload: record.Joined | record.Left | record.Removed
    ) -> None:
        names = {
            record.Joined: event.Event.MEMBER_JOINED,
            record.Left: event.Event.MEMBER_REMOVED,
            record.Removed: event.Event.MEMBER_REMOVED,
        }
        event.emit(names[type(payload)], member=payload.incarnation)
        if not isinstance(payload, record.Joined):
            self.gateway.scheduler.forget_member(payload.incarnation)
        if self.coordination.is_removed:
            self._on_removed()

    def _on_removed(self) -> None:
        if self.coordination.leaving:
            self._finish_stop()
            return
        event.emit(event.Event.REMOVED_SELF, incarnation=self.me)
        # Tokens and claims of this incarnation are no longer valid; the next
        # one starts with empty state. Pending responses are still delivered.
        self.was_removed = True
        self._stopping = True
        self._edge.start_drain(self._finish_stop)

    def _on_claims_gap(self, start: int) -> None:
        self._claims_gap = True

    def _on_claims(self, entries: list[logclient.LoggedRecord]) -> None:
        now = self._clock()
        if self._claims_gap:
            self._claims_gap = False
            window = self.coordination.claims.window
            if (
                self._wall_clock() - entries[0].time
                < window + MAX_CLOCK_SKEW_SECONDS
            ):
                # Claims within the window may be among the expired ones.
                self.coordination.membership.on_claims_missed(now)
        for item in entries:
            payload = item.record.payload
            if isinstance(payload, record.Claims):
                self.coordination.on_claims(
                    claim_record.translate_claims(payload), item.time, now
                )
        self._flush()

    def _on_control_head(self, sent: float) -> None:
        if self.state.has_base:
            self.coordination.on_control_head(sent)
            self._update_freshness()

    def _on_claims_head(self, sent: float) -> None:
        self.coordination.on_claims_head(sent)
        self._append_claims()

    def _update_freshness(self) -> None:
        """Logs when the configuration becomes stale or fresh."""
        fresh = self.is_fresh
        if fresh == self._was_fresh:
            return
        self._was_fresh = fresh
        event.emit(
            event.Event.CONFIGURATION_FRESH
            if fresh
            else event.Event.CONFIGURATION_STALE,
            entry=self.config.entry,
            why=self.coordination.freshness.explain(self._clock()),
        )
        self.gateway.start_ready_requests()

    def _append_claims(self) -> None:
        if not self._claims.reachable:
            return
        batch = self.coordination.claims.take_batch(self._clock())
        if batch is not None:
            payload = claim_record.create_claims(batch)
            self._append_claim_record(record.create_record(self.me, payload))

    def _append_claim_record(self, item: record.Record) -> None:
        """Appends a batch of claims, retrying until the log stores it."""

        def report(outcome: logclient.AppendResult) -> None:
            if isinstance(outcome, logclient.Rejected):
                self._timers.subscribe_once(
                    ADVANCE_SECONDS, lambda: self._append_claim_record(item)
                )

        self._claims.append(item, report)

    def _schedule_claims(self) -> None:
        """Appends claims and outcomes at the append rate, in batches."""
        self._append_claims()
        if not self._claims_scheduled:
            self._claims_scheduled = True
            self._timers.subscribe_once(
                self.coordination.claims.append_period, self._append_scheduled
            )

    def _append_scheduled(self) -> None:
        self._claims_scheduled = False
        self._append_claims()

    def _advance(self) -> None:
        """Sends status to peers and appends the records that are due."""
        if self._stopped:
            return
        now = self._clock()
        self._update_freshness()
        self._append_claims()
        self._set_demand()
        self._detect_replaced_members()
        if not self._control.reachable:
            # Members that this entry's stale state does not contain may not
            # relay records on their own, so it asks all peers for them.
            self._hub.broadcast(
                peerwire.RelayRequest("control", self.state.next_offset)
            )
        self.coordination.advance(
            now, log_usable=self._control.reachable and self.state.has_base
        )
        if self.coordination.is_removed and not self._stopping:
            self._on_removed()
        self._targets.update(self._clock())
        self._log_state_changes()
        self._send_usage()
        self._plan(now)
        if not self._stopping:
            self._snapshots.write(now)
        self._flush()
        self.gateway.start_ready_requests()

    def _log_state_changes(self) -> None:
        """Logs changes of readiness and of the ejected minions."""
        ready, detail = self.read_readiness()
        if ready != self._was_ready:
            self._was_ready = ready
            event.emit(
                event.Event.ENTRY_READY if ready else event.Event.ENTRY_UNREADY,
                entry=self.config.entry,
                detail=detail,
            )
        ejected = self._list_ejected()
        for minion in ejected.keys() - self._ejected.keys():
            event.emit(
                event.Event.MINION_EJECTED, minion=minion, pool=ejected[minion]
            )
        for minion in self._ejected.keys() - ejected.keys():
            event.emit(
                event.Event.MINION_RESTORED,
                minion=minion,
                pool=self._ejected[minion],
            )
        self._ejected = ejected

    def _plan(self, now: float) -> None:
        """Appends the fleet records that are due."""
        usable = self.state.has_base and self._control.reachable

        def report(outcome: logclient.AppendResult) -> None:
            if isinstance(outcome, logclient.Appended):
                self.fleet.on_appended(outcome.offset)
            else:
                self.fleet.on_failed()

        for payload in self.fleet.plan(
            now,
            fresh=usable and self.is_fresh and not self._stopping,
            read_at=self._control.last_head_read,
        ):
            entry = record.create_record(self.me, payload)
            self._control.append(entry, report)

    def _set_demand(self) -> None:
        balancer = self.coordination.balancer
        for team, usage in self.gateway.scheduler.usage().items():
            balancer.set_waiting(ledger.team_resource(team), usage.queued)
        waiting = self._targets.count_waiting()
        self.fleet.observe_queued(waiting)
        self._targets.set_demand(balancer, waiting)

    def _flush(self) -> None:
        """Sends queued messages, appends and decisions."""
        for member, message in self.coordination.take_messages():
            if isinstance(message, coordination.Relay):
                self._relay_to(member, message.after + 1)
            else:
                self._hub.send(member, message)
        for payload in self.coordination.take_appends():
            self._append(payload)
        for decision in self.coordination.take_decisions():
            self.gateway.on_decision(decision)

    def _relay_to(
        self, member: identifiers.Incarnation, next_offset: int
    ) -> None:
        message = self._relay.select(next_offset)
        if message is not None:
            self._hub.send(member, message)

    def _append(self, payload: membership.Payload) -> None:
        host, port = self.config.peers
        joined = record.Joined(
            self.me, self.config.entry, host, port, self.config.zone
        )
        entry = record.create_record(
            self.me, membership_record.create_payload(payload, joined)
        )
        match payload:
            case membership.Suspected(member):
                event.emit(event.Event.MEMBER_SUSPECTED, member=member)
            case ledger.FencingRecord(member):
                event.emit(event.Event.MEMBER_TOKENS_RECLAIMED, member=member)

        def report(outcome: logclient.AppendResult) -> None:
            if isinstance(outcome, logclient.Rejected):
                self.coordination.on_append_failed(payload)

        self._control.append(entry, report)

    # Peers.

    def on_message(self, sender: peer.PeerIdentity, message: Any) -> None:
        """Applies a message from another entry."""
        now = self._clock()
        match message:
            case peerwire.UsageReport(
                teams=teams, version=version, fresh=fresh
            ):
                self._peer_versions[sender.entry] = (version, fresh, now)
                if message.fleet is not None:
                    self.fleet.observe_usage(
                        sender.incarnation, message.fleet, now
                    )
                usage = {
                    item.team: scheduler.Usage(
                        item.queued,
                        item.running,
                        item.slot_seconds,
                        item.urgent_seconds,
                        item.raised,
                    )
                    for item in teams
                }
                self.gateway.scheduler.apply_peer_usage(
                    sender.incarnation, usage, now
                )
            case peerwire.RelayRequest(next_offset=next_offset):
                self._relay_to(sender.incarnation, next_offset)
            case peerwire.RelayRecords():
                for item in relay.decode_relayed(
                    message, self.state.next_offset, self.config.cluster_key
                ):
                    if item.offset == self.state.next_offset:
                        self._control.observe(item)
                        self._fold(item)
            case _:
                self.coordination.on_message(sender.incarnation, message, now)
        self._flush()

    def on_peer_up(self, sender: peer.PeerIdentity) -> None:
        """Resends the usage of all teams and a full report."""
        self._last_usage.clear()
        self.coordination.balancer.request_full_report()

    def on_peer_down(self, sender: peer.PeerIdentity) -> None:
        """Does nothing: membership detects unresponsive peers."""

    def on_peer_refused(
        self, entry: identifiers.EntryId, dialled_at: float
    ) -> None:
        """Handles a refused connection to the address of `entry`."""
        for member, folded_at in self._folded_at.items():
            if member.startswith(f"{entry}/") and folded_at < dialled_at:
                self.coordination.on_peer_absent(member, self._clock())

    def _detect_replaced_members(self) -> None:
        """Marks members as absent if a later incarnation is running.

        Otherwise, the remaining members would wait during a log outage for a
        process that no longer exists, and reject all work.
        """
        now = self._clock()
        present = [item.incarnation for item in self._hub.list_up()]
        for member in self.coordination.roster.members:
            self._folded_at.setdefault(member, now)
            if any(
                identifiers.is_successor(later, member)
                for later in (self.me, *present)
            ):
                self.coordination.on_peer_absent(member, now)
        for member in list(self._folded_at):
            if member not in self.coordination.roster.members:
                del self._folded_at[member]

    def _send_usage(self) -> None:
        changed = []
        for team, usage in self.gateway.scheduler.usage().items():
            if self._last_usage.get(team) != usage:
                self._last_usage[team] = usage
                changed.append(
                    peerwire.TeamUsage(
                        team,
                        usage.queued,
                        usage.running,
                        usage.slot_seconds,
                        usage.urgent_seconds,
                        usage.raised,
                    )
                )
        now = self._clock()
        current = (self.state.version, self.is_fresh)
        if (
            changed
            or current != self._last_report
            or now - self._last_report_at >= USAGE_REPEAT_SECONDS
        ):
            self._last_report, self._last_report_at = current, now
            self._hub.broadcast(peerwire.UsageReport(tuple(changed), *current))
        planner = self.fleet.take_due_usage_target(self._clock())
        if planner is not None:
            report = peerwire.UsageReport(
                (),
                self.state.version,
                self.is_fresh,
                self.fleet.create_usage(),
            )
            self._hub.send(planner, report)

    # Minions.

    def _on_hosts(
        self, hosts: Mapping[identifiers.WorkerId, hostlist.Host]
    ) -> None:
        self.hosts = hosts
        assert self._host_list.read_at is not None
        self.fleet.observe_hosts(hosts, self._host_list.read_at)
        self._targets.set_hosts(hosts, self._clock())

    def _on_hosts_unchanged(self, read_at: float) -> None:
        self.fleet.observe_hosts(self.hosts, read_at)

    # Claims, for the gateway.

    def submit(self, item: claim.Claim) -> claim.Decision:
        """Starts the claim of a keyed request."""
        decision = self.coordination.submit(item, self._clock())
        self._schedule_claims()
        return decision

    def finish(
        self,
        item: claim.Claim,
        answer: object | None,
        size: int,
        *,
        execution: verdict.Execution,
    ) -> None:
        """Stores the outcome of a claimed request."""
        self.coordination.claims.finish(
            item.key,
            item.request_id,
            execution,
            self._clock(),
            answer=answer,
            size=size,
        )
        self._schedule_claims()

    def describe_peer(self, name: identifiers.EntryId) -> tuple[int, bool]:
        """Returns the bundle version of another entry and its freshness.

        An entry without a report in the last `PEER_REPORT_MAX_AGE_SECONDS`
        counts as not fresh.
        """
        no_report = (0, False, float("-inf"))
        version, fresh, received_at = self._peer_versions.get(name, no_report)
        recent = self._clock() - received_at <= PEER_REPORT_MAX_AGE_SECONDS
        return version, fresh and recent

    def read_readiness(self) -> tuple[bool, str]:
        """Returns whether callers may be sent here, and the reason."""
        failures = self._sockets.failures + self._timers.failures
        if failures:
            return False, f"{failures} handler failures"
        if self._stopping:
            return False, "stopping"
        if self.state.bundle is None:
            return False, "no bundle is in force"
        if not self.is_fresh:
            return False, self.coordination.freshness.explain(self._clock())
        return True, "ready"

    # Pages.

    def handle_exchange(self, exchange: edge.Exchange) -> None:
        """Serves a page."""
        request = exchange.request
        path = request.target.partition("?")[0]
        if (request.method, path) == ("POST", "/v1/bundles"):
            if self.view.has_token(request):
                self._publication.post(exchange)
            else:
                publication.respond_json(
                    exchange, 401, {"error": page.TOKEN_NEEDED}
                )
        else:
            self._site.handle_exchange(exchange)

    def render_refusal(
        self, refusal: verdict.Refusal
    ) -> tuple[int, Sequence[edge.Header], bytes]:
        """Returns status, headers and body for a rejection by the edge."""
        return self._site.render_refusal(refusal)
