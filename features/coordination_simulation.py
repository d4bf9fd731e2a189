"""Simulated entries over an in-memory log, links and minions.

Time moves in steps. Every entry has its own clock with its own rate. The
history is checked when work starts at a minion and when a decision is given, so
a schedule fails at the step that breaks a property.
"""

import dataclasses
import json
import random

from clementinewood import (
    claim,
    coordination,
    identifiers,
    ledger,
    membership,
    verdict,
)

STEP_SECONDS = 0.25
TIMING = membership.Timing(
    fresh=2.0,
    start_window=0.5,
    run_limit=4.0,
    margin=0.5,
    drift=0.05,
    suspect_after=1.5,
    remove_after=0.5,
    resuspect_delay=10.0,
)
WINDOW = 40.0
TEAMS = ("quotes", "stores")
KEYED_TEAM = TEAMS[1]
LIMIT = 6


class HistoryError(AssertionError):
    """A property that the history does not have."""


def team_resource(team):
    return ledger.team_resource(identifiers.TeamId(team))


@dataclasses.dataclass
class Work:
    node: "Node"
    team: str
    decided: float
    offset: int
    key: str | None = None
    request_id: str | None = None
    until: float = 0.0


class Node:
    """One incarnation with its clock, its log reader and its requests."""

    def __init__(self, simulation, name, number):
        self.simulation = simulation
        self.name = name
        self.rate = 1 + simulation.rng.uniform(-0.02, 0.02)
        self.shift = simulation.rng.uniform(0, 1000)
        self.me = identifiers.Incarnation(f"{name}/{number}")
        self.coordination = simulation.create(self.me)
        self.alive = True
        self.refuses = False
        self.access = self.reads_claims = True
        self.paused_until = 0.0
        self.control_next = self.claims_next = 0
        self.read = None
        self.read_at = float("-inf")
        self.outbox = []
        self.inbox = []
        self.waiting = dict.fromkeys(TEAMS, 0)
        self.queue = []
        self.unsent = []
        self.ended = []
        self.keyed = {}

    @property
    def now(self):
        return self.shift + self.rate * self.simulation.time

    @property
    def runs(self):
        return self.alive and self.simulation.time >= self.paused_until

    def step(self):
        now = self.coordination.now = self.now
        self._read_log(now)
        for sender, message in self.inbox:
            self.coordination.on_message(sender, message, now)
        self.inbox.clear()
        for peer in self.simulation.nodes.values():
            gone = not peer.alive and peer.refuses
            if gone and (self.me, peer.me) not in self.simulation.cuts:
                self.coordination.on_peer_absent(peer.me, now)
        for work, execution in self.ended:
            self._finish(work, execution, now)
        self.ended.clear()
        usable = now - self.read_at <= TIMING.fresh
        for team in TEAMS:
            resource = team_resource(team)
            self.coordination.balancer.set_waiting(resource, self.waiting[team])
        self.coordination.advance(now, log_usable=usable)
        self._start_work(now)
        for receiver, message in self.coordination.take_messages():
            self.simulation.send(self.me, receiver, message)
        for payload in self.coordination.take_appends():
            self.outbox.append((self.simulation.next_id(), "control", payload))
        if usable:
            batch = self.coordination.claims.take_batch(now)
            if batch is not None:
                self.outbox.append((self.simulation.next_id(), "claims", batch))
        if self.access and self.simulation.log_up:
            for item in self.outbox:
                self.simulation.append(self, *item)
        if self.coordination.may_publish(now) and usable:
            self.simulation.mark_publishable(self.coordination.offset)

    def request(self, team, count):
        self.waiting[team] = min(2 * LIMIT, self.waiting[team] + count)

    def request_keyed(self, key, body=b""):
        self.waiting[KEYED_TEAM] += 1
        self.queue.append((key, body))

    def _submit(self, key, body, now):
        """Claims a key once a right for the request is taken."""
        request_id = identifiers.RequestId(f"r{self.simulation.next_id()}")
        claim_key = claim.ClaimKey.create(KEYED_TEAM, key)
        self.keyed[request_id] = (key, claim_key)
        mine = claim.Claim(claim_key, request_id, self.me, body)
        self._apply_decision(self.coordination.submit(mine, now), now)

    def _read_log(self, now):
        simulation = self.simulation
        if self.read is not None and simulation.time >= self.read[0]:
            _, sent, control, claims = self.read
            self.read = None
            if self.access:
                self._fold_control(control, now)
                self.control_next = control
                self.coordination.on_control_head(sent)
                claims = claims if self.reads_claims else self.claims_next
                for index in range(self.claims_next, claims):
                    identity, time, batch = simulation.claims[index]
                    self._seen(identity)
                    self.coordination.on_claims(batch, time, now)
                self.claims_next = claims
                if self.reads_claims:
                    self.coordination.on_claims_head(sent)
                self.read_at = max(self.read_at, sent)
        if self.read is None and self.access and simulation.log_up:
            delay = (
                simulation.rng.choice((0, 0, 0, 1)) * STEP_SECONDS
                + simulation.slowness
            )
            self.read = (
                simulation.time + delay + STEP_SECONDS / 2,
                now,
                len(simulation.control),
                len(simulation.claims),
            )

    def _fold_control(self, end, now):
        """Folds the records before `end`, or bridges them by a snapshot."""
        simulation = self.simulation
        bridges = (
            simulation.bridging
            and self.coordination.offset < end - 1
            and simulation.rng.random() < simulation.bridging
        )
        for index in range(self.control_next, end):
            identity, author, payload = simulation.control[index]
            self._seen(identity)
            if not bridges:
                self.coordination.on_control(author, payload, index, now)
        if bridges:
            simulation.bridges += 1
            self.coordination.adopt_roster(
                simulation.restore_roster(end), end - 1, now
            )

    def _seen(self, identity):
        self.outbox = [item for item in self.outbox if item[0] != identity]

    def _start_work(self, now):
        for decision in self.coordination.take_decisions():
            self._apply_decision(decision, now)
        for team in TEAMS:
            while self.waiting[team] and self.coordination.acquire_tokens(
                [team_resource(team)], now
            ):
                self.waiting[team] -= 1
                if team == KEYED_TEAM:
                    self._submit(*self.queue.pop(0), now)
                else:
                    self._dispatch(team, None, None)
        if self.runs:
            for work in self.unsent:
                self.simulation.start(work)
            self.unsent.clear()

    def _dispatch(self, team, key, request_id):
        work = Work(
            self,
            team,
            self.simulation.time,
            self.coordination.offset,
            key,
            request_id,
        )
        self.unsent.append(work)
        if self.simulation.rng.random() < self.simulation.stall:
            # The process stops between the decision and the send.
            self.paused_until = (
                self.simulation.time + self.simulation.rng.choice((1, 8))
            )

    def _apply_decision(self, decision, now):
        kind, request_id = decision.kind, decision.request_id
        key, claim_key = self.keyed[request_id]
        if kind is claim.DecisionKind.WAIT:
            return
        resources = [team_resource(KEYED_TEAM)]
        if kind is claim.DecisionKind.RUN and self.coordination.may_dispatch(
            resources, now
        ):
            self._dispatch(KEYED_TEAM, key, request_id)
            return
        self.coordination.release_tokens(resources)
        if kind is claim.DecisionKind.RUN:
            self.coordination.claims.finish(
                claim_key, request_id, verdict.Execution.NOT_RUN, now
            )
        self.simulation.record_decision(decision, key)

    def _finish(self, work, execution, now):
        self.coordination.release_tokens([team_resource(work.team)])
        if work.key is not None:
            _, claim_key = self.keyed[work.request_id]
            self.coordination.claims.finish(
                claim_key,
                work.request_id,
                execution,
                now,
                answer="done" if execution is verdict.Execution.RAN else None,
                size=4,
            )


class Simulation:
    """All nodes, the log, the links and the history.

    Args:
        count: Number of entries at the start.
        seed: Seed of delays, losses and clock rates.
        create: Makes the coordination of an incarnation; a test that breaks a
            mechanism passes its own.
    """

    bridging = 0.0
    """Probability that a read bridges its records by a snapshot."""

    def __init__(self, count=3, seed=0, create=None):
        self.rng = random.Random(seed)
        self.create = create if create is not None else create_coordination
        self.time = 0.0
        self.control, self.claims, self.ids = [], [], {}
        self.roster, self.limits = membership.Roster(), []
        self.log_up, self.slowness = True, 0.0
        self.lost_answers = 0.0
        self.loss = self.repeats = self.stall = 0.0
        self.cuts, self.latency = set(), {}
        self.bridges = 0
        self.work_time = None
        self.messages_in_flight, self.appends_in_flight = [], []
        self.nodes = {}
        self.by_name = {}
        self.work = []
        self.executions = {}
        self.not_run = set()
        self.decision_kinds = {}
        self.accepted, self.accepted_to = {}, -1
        self.steps = 0
        self._id = 0
        for index in range(count):
            self.join(f"n{index}")
        self.run(3.0)
        for team in TEAMS:
            self.publish("n0", team, LIMIT)
            self.run(2.0)

    def restore_roster(self, end):
        """Returns the roster of a snapshot of the records before `end`."""
        roster = membership.Roster()
        for index, (_, author, payload) in enumerate(self.control[:end]):
            roster.apply(author, payload, index)
        return membership.Roster.load(json.loads(json.dumps(roster.dump())))

    def next_id(self):
        self._id += 1
        return self._id

    def node(self, name):
        return self.by_name[name]

    def live(self):
        return [n for n in self.by_name.values() if n.alive]

    def join(self, name):
        node = Node(self, name, self.next_id())
        self.nodes[node.me] = node
        self.by_name[name] = node
        return node

    def crash(self, name, refuses=True):
        node = self.node(name)
        node.alive, node.refuses = False, refuses

    def cut(self, one, two, both=True):
        """Cuts the link between two names, or only from `one` to `two`."""
        for a in self.nodes.values():
            for b in self.nodes.values():
                if a.name == one and b.name == two:
                    self.cuts |= {(a.me, b.me)}
                    self.cuts |= {(b.me, a.me)} if both else set()

    def heal(self):
        self.cuts.clear()
        self.latency.clear()
        self.log_up, self.slowness, self.lost_answers = True, 0.0, 0.0
        self.loss = self.repeats = self.stall = 0.0
        for node in self.nodes.values():
            node.access = node.reads_claims = True
            node.paused_until = min(node.paused_until, self.time)
            if not node.alive:
                # The platform reports a host that was removed permanently.
                node.refuses = True

    def move(self, team, giver, receiver, amount):
        """Transfers rights and waits until they have arrived."""
        giver, receiver = self.node(giver), self.node(receiver)
        gift = giver.coordination.ledger.give(
            team_resource(team), receiver.me, amount
        )
        assert gift is not None
        self.send(giver.me, receiver.me, gift)
        self.step()

    def set_access(self, access, *names):
        """Connects entries to the log or cuts them off."""
        for name in names:
            self.node(name).access = access

    def publish(self, name, team, limit):
        """Lets an entry append limits, as an operator asks it to."""
        node = self.node(name)
        if node.runs and node.coordination.may_publish(node.now):
            limits = dict(node.coordination.roster.escrow.limits)
            limits[team_resource(team)] = limit
            item = (self.next_id(), "control", membership.Limits(limits))
            node.outbox.append(item)

    def step(self):
        self.time += STEP_SECONDS
        self.steps += 1
        self._end_work()
        for item in [i for i in self.appends_in_flight if i[0] <= self.time]:
            self.appends_in_flight.remove(item)
            self._deliver_append(*item[1:])
        due = [m for m in self.messages_in_flight if m[0] <= self.time]
        self.messages_in_flight = [
            m for m in self.messages_in_flight if m[0] > self.time
        ]
        for _, sender, receiver, message in due:
            if self.nodes[receiver].alive:
                self.nodes[receiver].inbox.append((sender, message))
        for node in list(self.by_name.values()):
            if node.runs:
                node.step()
                if node.runs and node.coordination.is_removed:
                    self.crash(node.name)
                    self.join(node.name).access = node.access

    def run(self, seconds):
        for _ in range(round(seconds / STEP_SECONDS)):
            self.step()

    def send(self, sender, receiver, message):
        if receiver not in self.nodes or (sender, receiver) in self.cuts:
            return
        if self.rng.random() < self.loss:
            return
        for _ in range(2 if self.rng.random() < self.repeats else 1):
            delay = self.rng.choice((0, 0, 1, 2)) if self.loss else 0
            delay = delay * STEP_SECONDS + self.latency.get(
                (sender, receiver), 0.0
            )
            due = self.time + delay + STEP_SECONDS / 2
            self.messages_in_flight.append((due, sender, receiver, message))

    def append(self, node, identity, stream, payload):
        if any(item[1] == identity for item in self.appends_in_flight):
            return
        due = self.time + self.slowness + STEP_SECONDS / 2
        self.appends_in_flight.append((due, identity, stream, payload, node))

    def _deliver_append(self, identity, stream, payload, node):
        if not self.log_up:
            return
        if identity not in self.ids:
            if stream == "control":
                self.control.append((identity, node.me, payload))
                offset = self.ids[identity] = len(self.control) - 1
                counted = self.roster.apply(node.me, payload, offset)
                if counted and isinstance(payload, membership.Limits):
                    self.limits.append((offset, payload.limits))
            else:
                self.claims.append((identity, self.time, payload))
                self.ids[identity] = -1
        if self.rng.random() >= self.lost_answers and node.alive:
            node._seen(identity)
            node.coordination.freshness.on_known_offset(self.ids[identity])

    def mark_publishable(self, offset):
        """Notes that operators may be told of all records up to `offset`."""
        for index in range(self.accepted_to + 1, offset + 1):
            self.accepted[index] = self.time
        self.accepted_to = max(self.accepted_to, offset)

    def start(self, work):
        """A minion gets a request; it refuses one that comes too late."""
        self._check_fresh(work)
        if self.time - work.decided > TIMING.start_window:
            if work.request_id is not None:
                self.never_runs(work.request_id)
            work.node.ended.append((work, verdict.Execution.NOT_RUN))
            return
        running = 1 + sum(w.team == work.team for w in self.work)
        if running > (limit := self._limit(work.team, work.offset)):
            raise HistoryError(
                f"limit: {running} of {work.team} run at {self.time},"
                f" the limit is {limit}"
            )
        if work.key is not None:
            if work.request_id in self.not_run:
                raise HistoryError(f"not-run: {work.request_id} runs")
            if work.key in self.executions:
                raise HistoryError(
                    f"once: {work.key} runs again at {self.time}"
                )
            self.executions[work.key] = work.request_id
        work_time = self.rng.uniform(0.5, TIMING.run_limit)
        work.until = self.time + (self.work_time or work_time)
        self.work.append(work)

    def _check_fresh(self, work):
        late = work.decided - TIMING.fresh * 1.05
        for index, _ in self.limits:
            accepted = self.accepted.get(index, self.time)
            if index > work.offset and accepted < late:
                raise HistoryError(
                    f"fresh: {work.node.me} acts at {work.decided} without"
                    f" record {index} accepted at {self.accepted[index]}"
                )

    def _limit(self, team, offset):
        """Highest limit in force at `offset` or later."""
        resource, highest = team_resource(team), 0
        for index, limits in self.limits:
            limit = limits.get(resource, 0)
            highest = limit if index <= offset else max(highest, limit)
        return highest

    def _end_work(self):
        for work in [w for w in self.work if w.until <= self.time]:
            self.work.remove(work)
            work.node.ended.append((work, verdict.Execution.RAN))

    def never_runs(self, request_id):
        self.not_run.add(request_id)
        if request_id in self.executions.values():
            raise HistoryError(f"not-run: {request_id} has run")

    def record_decision(self, decision, key):
        self.decision_kinds[decision.request_id] = decision.kind
        self.never_runs(decision.request_id)
        ran = {claim.DecisionKind.RAN, claim.DecisionKind.ANSWER}
        if decision.kind in ran and key not in self.executions:
            raise HistoryError(f"ran: {key} has not run")

    def check_serving(self):
        """All live entries may act."""
        for node in self.live():
            if not node.coordination.may_act(node.now):
                reason = node.coordination.freshness.explain(node.now)
                raise HistoryError(
                    f"serving: {node.me} at {self.time}: {reason}"
                )

    def check_ran(self, key):
        """The key was run by someone."""
        if key not in self.executions:
            raise HistoryError(f"claimed: nobody ran {key}")

    def check_reclaimed(self):
        """After faults stop, all rights are usable by the live entries."""
        self.heal()
        for node in self.live():
            node.waiting = dict.fromkeys(TEAMS, 0)
            node.queue.clear()
        give_up = self.time + 4 * TIMING.fencing_delay
        while reason := self._find_unclaimed():
            if self.time > give_up:
                raise HistoryError(f"reclaim: {reason}")
            self.step()

    def check_capacity(self):
        """One entry can run as much as the limit, and a new key."""
        node = next(n for n in self.live() if not n.coordination.leaving)
        limit = self._limit(TEAMS[0], len(self.control))
        self.work_time = TIMING.run_limit
        complete = node.coordination.membership.is_complete(node.now)
        keyed = complete and self._limit(KEYED_TEAM, len(self.control)) > 0
        for index in range(80):
            if keyed and index % 20 == 0:
                # A first attempt may get the verdict that it did not run.
                node.request_keyed("last")
            node.request(TEAMS[0], limit)
            self.step()
            running = sum(work.team == TEAMS[0] for work in self.work)
            if running >= limit and (not keyed or "last" in self.executions):
                return
        raise HistoryError(f"capacity: {running} of {limit} run, or no claim")

    def _find_unclaimed(self):
        live = self.live()
        if any(n.outbox for n in live) or self.appends_in_flight:
            return "records are still under way"
        for team in TEAMS if live else ():
            resource = team_resource(team)
            held = [n.coordination.ledger.held(resource) for n in live]
            limit = self._limit(team, len(self.control))
            if sum(held) != limit or min(held) < 0:
                return f"{held} of {limit} {team}"
            if any(
                n.coordination.ledger.is_reduction_pending(resource)
                for n in live
            ):
                return f"{team} is gated"
        if any(not n.coordination.may_act(n.now) for n in live):
            return "an entry is stale"
        if any(n.coordination.roster.escrow.removals for n in live):
            return "a removed member is not closed"
        return ""


def create_coordination(me):
    return coordination.Coordination(me, timing=TIMING, window=WINDOW)
