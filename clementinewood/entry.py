"""The entry daemon: everything between callers and minions in one process."""

import hmac
import json
import random
import time
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from returns import result

from clementinewood import (
    bundle,
    claim,
    coordination,
    edge,
    event,
    explanation,
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
    record,
    relay,
    retry,
    router,
    scheduler,
    settings,
    signature,
    state,
    timer,
    transport,
    upstreams,
    verdict,
    web,
)

ADVANCE_SECONDS = 0.25
"""Period of status messages to peers."""

POLL_SECONDS = 0.02
"""Period at which log progress and claims are looked at."""

CLOCK_MARGIN = 60.0
"""Seconds by which the clocks of log and entry may differ."""

LOG_CONNECTIONS = 2 * (logclient.MAX_READS + 1)
"""Reads and one append of each of the two streams."""

BUNDLE_SECONDS = 10.0
"""Time after which the outcome of an appended bundle counts as unknown."""

SNAPSHOT_TURN_SECONDS = 30.0
"""Time for a member to write a due snapshot before the next one does, and
pause before it tries again when none has landed."""


def translate_claims(payload: record.Claims) -> claim.Batch:
    """Returns the claims of a record of the claims stream."""
    return claim.Batch(
        tuple(
            claim.Claim(
                claim.ClaimKey(item.team, item.key_digest),
                item.request,
                item.claimant,
                item.request_digest,
                item.outage,
            )
            for item in payload.claims
        ),
        tuple(
            claim.Outcome(
                claim.ClaimKey(item.team, item.key_digest),
                item.request,
                item.execution,
            )
            for item in payload.outcomes
        ),
    )


def create_claims(batch: claim.Batch) -> record.Claims:
    """Returns the record of a batch of claims."""
    return record.Claims(
        tuple(
            record.Claim(
                item.key.team,
                item.key.digest,
                item.request,
                item.request_id,
                item.claimant,
                item.outage,
            )
            for item in batch.claims
        ),
        tuple(
            record.ClaimOutcome(
                item.key.team,
                item.key.digest,
                item.request_id,
                item.execution,
            )
            for item in batch.outcomes
        ),
    )


class Entry:
    """One entry process.

    Args:
        config: Settings of this process.
        sockets: Owns the sockets.
        timers: Timer service.
        site: Serves pages; shared by entries of one process.
        on_stopped: Called after a graceful stop, or after the other entries
            removed this one; the process should end then.
        wall_clock: Wall-clock time in seconds.
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
        self._fresh = False
        self._gap_at = float("-inf")
        self._snapshot_due: float | None = None
        self._snapshot_sent = float("-inf")
        self._ready = False
        self._ejected: dict[identifiers.MinionId, identifiers.PoolId] = {}
        self._peer_versions: dict[identifiers.EntryId, tuple[int, bool]] = {}
        self._told_usage: dict[identifiers.TeamId, scheduler.Usage] = {}
        self._hosts: Mapping[identifiers.WorkerId, hostlist.Host] = {}
        self._folded_at: dict[identifiers.Incarnation, float] = {}
        self._create_log_clients()
        self._create_request_path()
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
        self._claims_relay = relay.RelayBuffer("claims", config.cluster_key)
        self._control = logclient.LogClient(
            http,
            self._timers,
            "control",
            self._on_control,
            key=config.cluster_key,
            rate=rate,
            on_gap=self._on_control_gap,
        )
        self._claims = logclient.LogClient(
            http,
            self._timers,
            "claims",
            self._on_claims,
            key=config.cluster_key,
            on_gap=self._on_claims_gap,
            rate=rate,
        )
        self._claims_gap = False
        self._control_read: float | None = None
        self._claims_read: float | None = None
        self._host_list = hostlist.HostList(
            httpclient.HttpClient(self._sockets, self._timers, config.hosts),
            self._timers,
            self._on_hosts,
        )

    def _create_request_path(self) -> None:
        self._router = router.Router(self.config.zone, self._random)
        self._upstreams = upstreams.Upstreams(
            self._sockets, self._timers, self.fleet.meter
        )
        self.gateway = gateway.Gateway(
            self._timers,
            pages=self,
            sender=self._upstreams,
            rights=self.coordination.ledger,
            claims=self,
            router_=self._router,
            retries=retry.RetryPolicy(self._random),
            is_fresh=lambda: self.coordination.may_act(self._clock()),
            explain_stale=lambda: self.coordination.freshness.explain(
                self._clock()
            ),
            me=self.me,
            metrics=self.metrics,
            context=self,
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
        observe(metric.FRESH, lambda: [({}, float(self.is_fresh))])
        observe(metric.BUNDLE_VERSION, lambda: [({}, self.state.version)])
        observe(
            metric.LOG_LAG,
            lambda: [({}, self._clock() - self.coordination.freshness.read_at)],
        )
        observe(
            metric.QUEUED,
            lambda: [
                ({"team": team}, usage.queued)
                for team, usage in self.gateway.scheduler.usage().items()
            ],
        )
        observe(
            metric.RUNNING,
            lambda: [
                ({"team": team}, usage.running)
                for team, usage in self.gateway.scheduler.usage().items()
            ],
        )
        observe(
            metric.HELD_RIGHTS,
            lambda: [
                ({"team": team}, self._count_held(team))
                for team in self.gateway.scheduler.usage()
            ],
        )

        observe(metric.EJECTED, lambda: [({}, len(self._list_ejected()))])
        observe(metric.HANDLER_FAILURES, lambda: [({}, self._count_failures())])
        observe(metric.RECORDS_REFUSED, self._count_refused_records)

    def _list_ejected(
        self,
    ) -> dict[identifiers.MinionId, identifiers.PoolId]:
        pools = {item.pool for item in self.state.assignments.values()}
        return {
            minion: pool
            for pool in sorted(pools)
            for minion in self._router.ejected(pool)
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

    def _count_held(self, team: identifiers.TeamId) -> int:
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
        self._timers.subscribe_every(POLL_SECONDS, self._poll)
        event.emit(event.Event.ENTRY_STARTED, incarnation=self.me)

    def stop(self) -> None:
        """Starts a graceful shutdown, which cuts no request."""
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
        """Folds the next control record, once, from the log or a peer."""
        if item.offset < self.state.next_offset:
            return
        self._relay.add(item)
        now = self._clock()
        version = self.state.version
        author, payload = item.record.author, item.record.payload
        self.fleet.on_record(item.time, now)
        self.state.apply(item.record, item.offset, item.time)
        self._tell_coordination(author, item.offset, now)
        if self.state.version != version:
            self._apply_bundle()
        if isinstance(payload, record.Joined | record.Left | record.Removed):
            self._on_members(payload)

    def _tell_coordination(
        self, author: identifiers.Incarnation, offset: int, now: float
    ) -> None:
        """Tells coordination what the record at `offset` changed."""
        if not self.state.based:
            # Nothing after a gap counts as folded before a snapshot.
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
        """Notes that control records before `start` expired unread."""
        event.emit(event.Event.LOG_GAP, start=start)
        self.state.begin_gap(start)
        self._gap_at = self._clock()

    def _write_snapshot(self, now: float) -> None:
        """Appends a snapshot when one is due and it is this entry's turn.

        The first member writes it; each next one waits longer, so that one
        stopped writer is replaced without everybody writing at once.
        """
        if not self._control.reachable or self._stopping:
            return
        retained = self._control.retained_from
        bootstrap = None
        if (self._control.last_head_read or 0.0) > self._gap_at:
            # Before that read the log may hold records not seen here.
            bootstrap = self.state.create_bootstrap_payload(
                retained_from=retained, head=self._control.next_offset
            )
        members = list(self.state.members)
        place = members.index(self.me) if self.me in members else None
        due = place is not None and self.state.is_snapshot_due(
            retained_from=retained
        )
        if bootstrap is None and not due:
            self._snapshot_due = None
            self._snapshot_sent = float("-inf")
            return
        if self._snapshot_due is None:
            self._snapshot_due = now
        wait = SNAPSHOT_TURN_SECONDS * (place or 0)
        if (
            now - self._snapshot_due < wait
            or now - self._snapshot_sent < SNAPSHOT_TURN_SECONDS
        ):
            return
        self._snapshot_sent = now
        payload = bootstrap or self.state.create_snapshot_payload()

        def report(outcome: logclient.AppendResult) -> None:
            event.emit(
                event.Event.SNAPSHOT_APPENDED
                if isinstance(outcome, logclient.Appended)
                else event.Event.SNAPSHOT_FAILED,
                next_offset=payload.next_offset,
                bytes=len(payload.content),
                outcome=type(outcome).__name__,
            )

        self._control.append(record.create_record(self.me, payload), report)

    def _apply_bundle(self) -> None:
        declared = self.state.bundle
        assert declared is not None
        event.emit(
            event.Event.BUNDLE_IN_FORCE,
            version=declared.version,
            entry=self.config.entry,
        )
        self._router.set_zones_out(
            zone
            for zone, spec in declared.zones.items()
            if spec.state is bundle.ZoneState.OUT
        )
        self.fleet.configure(declared)
        self.gateway.configure(
            declared, entries=max(1, len(self.coordination.roster.members))
        )
        self._update_targets()

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
        # Rights and claims of this incarnation are void; a new one starts
        # with empty state. Answers under way are still delivered.
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
            if self._wall_clock() - entries[0].time < window + CLOCK_MARGIN:
                # Claims that still count may be among those that expired.
                self.coordination.membership.on_claims_missed(now)
        for item in entries:
            payload = item.record.payload
            if item.offset < self._claims_relay.next_offset:
                continue
            if isinstance(payload, record.Claims):
                self._claims_relay.add(item)
                self.coordination.on_claims(
                    translate_claims(payload), item.time, now
                )
        self._flush()

    def _poll(self) -> None:
        """Notes reads to the head and appends claims."""
        if self._stopped:
            return
        if (
            self.state.based
            and self._control.last_head_read != self._control_read
        ):
            self._control_read = self._control.last_head_read
            assert self._control_read is not None
            self.coordination.on_control_head(self._control_read)
        if self._claims.last_head_read != self._claims_read:
            self._claims_read = self._claims.last_head_read
            assert self._claims_read is not None
            self.coordination.on_claims_head(self._claims_read)
        fresh = self.is_fresh
        if fresh != self._fresh:
            self._fresh = fresh
            name = (
                event.Event.CONFIGURATION_FRESH
                if fresh
                else event.Event.CONFIGURATION_STALE
            )
            event.emit(
                name,
                entry=self.config.entry,
                why=self.coordination.freshness.explain(self._clock()),
            )
            self.gateway.pump()
        self._append_claims()

    def _append_claims(self) -> None:
        if not self._claims.reachable:
            return
        batch = self.coordination.claims.take_batch(self._clock())
        if batch is not None:
            entry = record.create_record(self.me, create_claims(batch))
            self._claims.append(entry, lambda outcome: None)

    def _advance(self) -> None:
        """Sends status to peers and appends what membership asks for."""
        if self._stopped:
            return
        now = self._clock()
        self._set_demand()
        self._note_replaced()
        if not self._control.reachable:
            # Peers that are not members in this entry's stale state send it
            # no status, so it asks everyone for what it lacks.
            self._hub.broadcast(
                peerwire.RelayRequest("control", self.state.next_offset)
            )
        self.coordination.advance(
            now, log_usable=self._control.reachable and self.state.based
        )
        if self.coordination.is_removed and not self._stopping:
            self._on_removed()
        self._update_targets()
        self._note_changes()
        self._send_usage()
        self._plan(now)
        self._write_snapshot(now)
        self._flush()
        self.gateway.pump()

    def _note_changes(self) -> None:
        """Logs changes that no single decision announces."""
        ready, detail = self.read_readiness()
        if ready != self._ready:
            self._ready = ready
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
        usable = self.state.based and self._control.reachable

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
        pools: dict[identifiers.PoolId, int] = {}
        for team, usage in self.gateway.scheduler.usage().items():
            balancer.set_waiting(ledger.team_resource(team), usage.queued)
        for item in self.gateway.flows.values():
            if item.phase is gateway.Phase.QUEUED:
                pools[item.pool] = pools.get(item.pool, 0) + 1
        self.fleet.observe_queued(pools)
        for worker, assignment in self.state.assignments.items():
            slot = ledger.slot_resource(identifiers.MinionId(worker))
            balancer.set_waiting(slot, pools.get(assignment.pool, 0))

    def _flush(self) -> None:
        """Sends and appends what the decisions have asked for."""
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
            case ledger.Closing(member):
                event.emit(event.Event.MEMBER_CLOSED, member=member)

        def report(outcome: logclient.AppendResult) -> None:
            if isinstance(outcome, logclient.Rejected):
                self.coordination.on_append_failed(payload)

        self._control.append(entry, report)

    # Peers.

    def on_message(self, sender: peer.PeerIdentity, message: Any) -> None:
        """Applies a message from another entry."""
        now = self._clock()
        match message:
            case peerwire.UsageReport(teams=teams, version=version):
                self._peer_versions[sender.entry] = (version, True)
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
                self.gateway.scheduler.report_usage(
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
        """Tells a new link's peer the usage of all teams."""
        self._told_usage.clear()

    def on_peer_down(self, sender: peer.PeerIdentity) -> None:
        """Does nothing: silence is judged by membership."""

    def on_peer_refused(
        self, entry: identifiers.EntryId, dialled_at: float
    ) -> None:
        """Notes that nothing listens at the address of `entry`."""
        for member, folded_at in self._folded_at.items():
            if member.startswith(f"{entry}/") and folded_at < dialled_at:
                self.coordination.on_peer_absent(member, self._clock())

    def _note_replaced(self) -> None:
        """Notes members whose entry runs as a later incarnation by now.

        Without this, survivors of a log outage wait for a process that is
        gone and refuse all work.
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
            if self._told_usage.get(team) != usage:
                self._told_usage[team] = usage
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
        self._hub.broadcast(
            peerwire.UsageReport(tuple(changed), self.state.version)
        )
        planner = self.fleet.find_usage_reader(self._clock())
        if planner is not None:
            report = peerwire.UsageReport(
                (), self.state.version, self.fleet.create_usage()
            )
            self._hub.send(planner, report)

    # Minions.

    def _on_hosts(
        self, hosts: Mapping[identifiers.WorkerId, hostlist.Host]
    ) -> None:
        self._hosts = hosts
        assert self._host_list.read_at is not None
        self.fleet.observe_hosts(hosts, self._host_list.read_at)
        self._update_targets()

    def _update_targets(self) -> None:
        """Tells the router which minions serve which pool."""
        targets = []
        own: dict[identifiers.PoolId, int] = {}
        fleet: dict[identifiers.PoolId, int] = {}
        rights = self.coordination.ledger
        limits = self.coordination.roster.mints.limits
        for worker, assignment in self.state.assignments.items():
            host = self._hosts.get(worker)
            if host is None:
                continue
            minion = identifiers.MinionId(worker)
            slot = ledger.slot_resource(minion)
            held = max(0, rights.held(slot))
            pool = assignment.pool
            leaving = host.leaving or not self.fleet.is_in_service(worker)
            if not leaving:
                own[pool] = own.get(pool, 0) + held
                fleet[pool] = fleet.get(pool, 0) + limits.get(slot, 0)
            targets.append(
                router.Target(
                    minion,
                    pool,
                    host.zone,
                    host.address,
                    slots=held,
                    leaving=leaving,
                )
            )
        self._router.update(targets, self._clock())
        for pool, slots in fleet.items():
            self.gateway.scheduler.set_slots(pool, own=own[pool], fleet=slots)

    # Claims, as the gateway sees them.

    def submit(self, item: claim.Claim) -> claim.Decision:
        """Starts the claim of a keyed request."""
        decision = self.coordination.submit(item, self._clock())
        self._append_claims()
        return decision

    def finish(
        self,
        item: claim.Claim,
        answer: object | None,
        size: int,
        *,
        execution: verdict.Execution,
    ) -> None:
        """Notes how the request of a claim ended."""
        self.coordination.claims.finish(
            item.key,
            item.request_id,
            execution,
            self._clock(),
            answer=answer,
            size=size,
        )

    # Pages.

    def handle_exchange(self, exchange: edge.Exchange) -> None:
        """Serves a page."""
        request = exchange.request
        path = request.target.partition("?")[0]
        if (request.method, path) == ("POST", "/v1/bundles"):
            if self._has_token(request):
                self._post_bundle(exchange)
            else:
                _respond_json(exchange, 401, {"error": page.TOKEN_NEEDED})
        else:
            self._site.handle_exchange(exchange)

    def render_refusal(
        self, refusal: verdict.Refusal
    ) -> tuple[int, Sequence[edge.Header], bytes]:
        """Renders a refusal by the edge."""
        return self._site.render_refusal(refusal)

    def _post_bundle(self, exchange: edge.Exchange) -> None:
        """Appends a signed bundle and answers with what the log made of it."""
        text = exchange.request.body.decode("utf-8", "replace")
        checked = signature.verify_bundle(
            text, self.config.operators, now=self._wall_clock()
        )
        if not isinstance(checked, result.Success):
            fault = checked.failure()
            event.emit(event.Event.BUNDLE_REFUSED, detail=fault.detail)
            _respond_json(exchange, 403, {"error": fault.detail, "faults": []})
            return
        digest = checked.unwrap().digest
        for accepted in self.state.history:
            if accepted.digest == digest:
                _respond_json(exchange, 200, {"version": accepted.version})
                return
        if not (
            self._control.reachable
            and self.state.based
            and self.coordination.may_publish(self._clock())
        ):
            _respond_json(
                exchange, 503, {"error": "this entry can't publish now"}
            )
            return
        parsed = bundle.parse_bundle(checked.unwrap().text)
        if isinstance(parsed, result.Failure):
            faults = [item.render() for item in parsed.failure()]
            _respond_json(
                exchange, 400, {"error": "invalid bundle", "faults": faults}
            )
            return
        if parsed.unwrap().version <= self.state.version:
            _respond_json(
                exchange,
                409,
                {"error": f"version {self.state.version} is in force"},
            )
            return
        self._append_bundle(exchange, text, digest)

    def _append_bundle(
        self, exchange: edge.Exchange, text: str, digest: str
    ) -> None:
        try:
            payload = self.state.create_bundle_payload(text)
        except ValueError as error:
            _respond_json(
                exchange, 400, {"error": str(error), "faults": [str(error)]}
            )
            return

        def report(outcome: logclient.AppendResult) -> None:
            event.emit(
                event.Event.BUNDLE_APPENDED,
                version=payload.version,
                outcome=type(outcome).__name__,
            )
            if not isinstance(outcome, logclient.Appended):
                _respond_json(exchange, 503, {"error": "outcome unknown"})
            else:
                self._timers.subscribe_once(
                    0.0,
                    lambda: self._answer_bundle(
                        exchange, digest, outcome.offset, BUNDLE_SECONDS
                    ),
                )

        entry = record.create_record(self.me, payload)
        self._control.append(entry, report)

    def _answer_bundle(
        self,
        exchange: edge.Exchange,
        digest: str,
        offset: int,
        patience: float,
    ) -> None:
        """Answers once the bundle's record is folded here."""
        if self.state.next_offset <= offset and patience > 0:
            self._timers.subscribe_once(
                POLL_SECONDS,
                lambda: self._answer_bundle(
                    exchange, digest, offset, patience - POLL_SECONDS
                ),
            )
            return
        if any(item.digest == digest for item in self.state.history):
            _respond_json(exchange, 200, {"version": self.state.version})
        else:
            _respond_json(exchange, 409, {"error": "another bundle came first"})

    def is_operator(self, request: web.Request) -> bool:
        """Returns whether a request carries the operators' token."""
        return self._has_token(request.exchange.request)

    def _has_token(self, request: edge.HttpRequest) -> bool:
        digest = self.config.operator_token
        if digest is None:
            return True
        given = request.find_header(b"authorization") or ""
        token = given.removeprefix("Bearer ")
        return hmac.compare_digest(signature.hash_secret(token), digest)

    def read_readiness(self) -> tuple[bool, str]:
        """Returns whether callers may be sent here, and why not."""
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

    def render_metrics(self) -> bytes:
        """Returns the metrics as Prometheus text."""
        return self.metrics.render()

    def list_bundles(self) -> list[dict[str, Any]]:
        """Returns the accepted bundles, oldest first."""
        return [
            {
                "version": item.version,
                "operator": item.operator,
                "digest": item.digest,
                "time": item.time,
                "entry": item.author,
            }
            for item in self.state.history
        ]

    def read_bundle_text(self) -> str:
        """Returns the signed text of the bundle in force, or nothing."""
        return self.state.bundle_text

    def describe_status(self) -> dict[str, Any]:
        """Returns the state of the site as this entry sees it."""
        ready, detail = self.read_readiness()
        usage = self.gateway.scheduler.usage()
        return {
            "entry": self.config.entry,
            "incarnation": self.me,
            "zone": self.config.zone,
            "version": self.state.version,
            "ready": ready,
            "detail": detail,
            "entries": self._describe_entries(),
            "teams": {
                team: {
                    "queued": item.queued,
                    "running": item.running,
                    "held": self._count_held(team),
                    "slot_seconds": round(item.slot_seconds, 3),
                }
                for team, item in usage.items()
            },
            "pools": self._describe_pools(),
            "fleet": self.fleet.describe(),
        }

    def _describe_entries(self) -> list[dict[str, Any]]:
        entries: list[dict[str, Any]] = [
            {
                "entry": self.config.entry,
                "version": self.state.version,
                "fresh": self.is_fresh,
            }
        ]
        for name in self.config.others:
            version, fresh = self._peer_versions.get(name, (0, False))
            entries.append({"entry": name, "version": version, "fresh": fresh})
        return entries

    def _describe_pools(self) -> dict[str, dict[str, Any]]:
        pools: dict[str, dict[str, Any]] = {}
        steps = self.fleet.describe_pools()
        for worker, assignment in self.state.assignments.items():
            found = pools.setdefault(
                assignment.pool,
                {
                    "workers": 0,
                    "listed": 0,
                    "leaving": 0,
                    "steps": steps[assignment.pool],
                },
            )
            host = self._hosts.get(worker)
            found["workers"] += 1
            found["listed"] += host is not None
            found["leaving"] += host is not None and host.leaving
        return pools

    def explain(self, subject: str) -> dict[str, Any] | None:
        """Returns why a request, team or worker is in its state."""
        found = self.gateway.explain_request(identifiers.RequestId(subject))
        if found is not None:
            return found
        declared = self.state.bundle
        team = identifiers.TeamId(subject)
        usage = self.gateway.scheduler.usage().get(team)
        if usage is not None and declared is not None:
            return explanation.explain_team(
                team,
                usage,
                declared.teams.get(team),
                held=self._count_held(team),
            )
        return self._explain_worker(identifiers.WorkerId(subject))

    def _explain_worker(
        self, worker: identifiers.WorkerId
    ) -> dict[str, Any] | None:
        details = self.fleet.explain(worker)
        declared = self.state.bundle
        if details is None or declared is None:
            return None
        pool = identifiers.PoolId(details["pool"])
        found = explanation.explain_worker(
            worker,
            pool,
            self._hosts.get(worker),
            declared,
            ejected=identifiers.MinionId(worker) in self._router.ejected(pool),
        )
        if details["step"] != fleet_record.Step.IN_SERVICE.value:
            found["why"] = f"gets no new work: {details['reason']}"
        return details | found


def _respond_json(
    exchange: edge.Exchange, status: int, content: object
) -> None:
    exchange.respond(
        status,
        [(b"content-type", b"application/json")],
        json.dumps(content).encode() + b"\n",
    )
