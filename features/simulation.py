"""Entries over an in-memory log, links and minions, with checked history.

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

STEP = 0.25
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

    def __init__(self, world, name, number):
        self.world = world
        self.name = name
        self.rate = 1 + world.rng.uniform(-0.02, 0.02)
        self.shift = world.rng.uniform(0, 1000)
        self.me = identifiers.Incarnation(f"{name}/{number}")
        self.co = world.create(self.me)
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
        return self.shift + self.rate * self.world.time

    @property
    def runs(self):
        return self.alive and self.world.time >= self.paused_until

    def step(self):
        now = self.co.now = self.now
        self._read_log(now)
        for sender, message in self.inbox:
            self.co.on_message(sender, message, now)
        self.inbox.clear()
        for peer in self.world.nodes.values():
            gone = not peer.alive and peer.refuses
            if gone and (self.me, peer.me) not in self.world.cuts:
                self.co.on_peer_absent(peer.me, now)
        for work, execution in self.ended:
            self._finish(work, execution, now)
        self.ended.clear()
        usable = now - self.read_at <= TIMING.fresh
        for team in TEAMS:
            resource = team_resource(team)
            self.co.balancer.set_waiting(resource, self.waiting[team])
        self.co.advance(now, log_usable=usable)
        self._start_work(now)
        for receiver, message in self.co.take_messages():
            self.world.send(self.me, receiver, message)
        for payload in self.co.take_appends():
            self.outbox.append((self.world.next_id(), "control", payload))
        if usable:
            batch = self.co.claims.take_batch(now)
            if batch is not None:
                self.outbox.append((self.world.next_id(), "claims", batch))
        if self.access and self.world.log_up:
            for item in self.outbox:
                self.world.append(self, *item)
        if self.co.may_publish(now) and usable:
            self.world.accept(self.co.offset)

    def request(self, team, count):
        self.waiting[team] = min(2 * LIMIT, self.waiting[team] + count)

    def request_keyed(self, key, body=b""):
        self.waiting[KEYED_TEAM] += 1
        self.queue.append((key, body))

    def _submit(self, key, body, now):
        """Claims a key once a right for the request is taken."""
        request_id = identifiers.RequestId(f"r{self.world.next_id()}")
        claim_key = claim.ClaimKey.create(KEYED_TEAM, key)
        self.keyed[request_id] = (key, claim_key)
        mine = claim.Claim(claim_key, request_id, self.me, body)
        self._rule(self.co.submit(mine, now), now)

    def _read_log(self, now):
        world = self.world
        if self.read is not None and world.time >= self.read[0]:
            _, sent, control, claims = self.read
            self.read = None
            if self.access:
                self._fold_control(control, now)
                self.control_next = control
                self.co.on_control_head(sent)
                claims = claims if self.reads_claims else self.claims_next
                for index in range(self.claims_next, claims):
                    identity, time, batch = world.claims[index]
                    self._seen(identity)
                    self.co.on_claims(batch, time, now)
                self.claims_next = claims
                if self.reads_claims:
                    self.co.on_claims_head(sent)
                self.read_at = max(self.read_at, sent)
        if self.read is None and self.access and world.log_up:
            delay = world.rng.choice((0, 0, 0, 1)) * STEP + world.slowness
            self.read = (
                world.time + delay + STEP / 2,
                now,
                len(world.control),
                len(world.claims),
            )

    def _fold_control(self, end, now):
        """Folds the records before `end`, or bridges them by a snapshot."""
        world = self.world
        bridges = (
            world.bridging
            and self.co.offset < end - 1
            and world.rng.random() < world.bridging
        )
        for index in range(self.control_next, end):
            identity, author, payload = world.control[index]
            self._seen(identity)
            if not bridges:
                self.co.on_control(author, payload, index, now)
        if bridges:
            world.bridges += 1
            self.co.adopt_roster(world.restore_roster(end), end - 1, now)

    def _seen(self, identity):
        self.outbox = [item for item in self.outbox if item[0] != identity]

    def _start_work(self, now):
        for decision in self.co.take_decisions():
            self._rule(decision, now)
        for team in TEAMS:
            while self.waiting[team] and self.co.acquire_tokens(
                [team_resource(team)], now
            ):
                self.waiting[team] -= 1
                if team == KEYED_TEAM:
                    self._submit(*self.queue.pop(0), now)
                else:
                    self._dispatch(team, None, None)
        if self.runs:
            for work in self.unsent:
                self.world.start(work)
            self.unsent.clear()

    def _dispatch(self, team, key, request_id):
        work = Work(
            self, team, self.world.time, self.co.offset, key, request_id
        )
        self.unsent.append(work)
        if self.world.rng.random() < self.world.stall:
            # The process stops between the decision and the send.
            self.paused_until = self.world.time + self.world.rng.choice((1, 8))

    def _rule(self, decision, now):
        kind, request_id = decision.kind, decision.request_id
        key, claim_key = self.keyed[request_id]
        if kind is claim.DecisionKind.WAIT:
            return
        resources = [team_resource(KEYED_TEAM)]
        if kind is claim.DecisionKind.RUN and self.co.may_dispatch(
            resources, now
        ):
            self._dispatch(KEYED_TEAM, key, request_id)
            return
        self.co.release_tokens(resources)
        if kind is claim.DecisionKind.RUN:
            self.co.claims.finish(
                claim_key, request_id, verdict.Execution.NOT_RUN, now
            )
        self.world.rule(decision, key)

    def _finish(self, work, execution, now):
        self.co.release_tokens([team_resource(work.team)])
        if work.key is not None:
            _, claim_key = self.keyed[work.request_id]
            self.co.claims.finish(
                claim_key,
                work.request_id,
                execution,
                now,
                answer="done" if execution is verdict.Execution.RAN else None,
                size=4,
            )


class World:
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
        self.flying, self.landing = [], []
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
                # The platform reports a host that is gone for good.
                node.refuses = True

    def move(self, team, giver, receiver, amount):
        """Transfers rights and waits until they have arrived."""
        giver, receiver = self.node(giver), self.node(receiver)
        gift = giver.co.ledger.give(team_resource(team), receiver.me, amount)
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
        if node.runs and node.co.may_publish(node.now):
            limits = dict(node.co.roster.escrow.limits)
            limits[team_resource(team)] = limit
            item = (self.next_id(), "control", membership.Limits(limits))
            node.outbox.append(item)

    def step(self):
        self.time += STEP
        self.steps += 1
        self._end_work()
        for item in [i for i in self.landing if i[0] <= self.time]:
            self.landing.remove(item)
            self._land(*item[1:])
        due = [m for m in self.flying if m[0] <= self.time]
        self.flying = [m for m in self.flying if m[0] > self.time]
        for _, sender, receiver, message in due:
            if self.nodes[receiver].alive:
                self.nodes[receiver].inbox.append((sender, message))
        for node in list(self.by_name.values()):
            if node.runs:
                node.step()
                if node.runs and node.co.is_removed:
                    self.crash(node.name)
                    self.join(node.name).access = node.access

    def run(self, seconds):
        for _ in range(round(seconds / STEP)):
            self.step()

    def send(self, sender, receiver, message):
        if receiver not in self.nodes or (sender, receiver) in self.cuts:
            return
        if self.rng.random() < self.loss:
            return
        for _ in range(2 if self.rng.random() < self.repeats else 1):
            delay = self.rng.choice((0, 0, 1, 2)) if self.loss else 0
            delay = delay * STEP + self.latency.get((sender, receiver), 0.0)
            due = self.time + delay + STEP / 2
            self.flying.append((due, sender, receiver, message))

    def append(self, node, identity, stream, payload):
        if any(item[1] == identity for item in self.landing):
            return
        due = self.time + self.slowness + STEP / 2
        self.landing.append((due, identity, stream, payload, node))

    def _land(self, identity, stream, payload, node):
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
            node.co.freshness.on_known_offset(self.ids[identity])

    def accept(self, offset):
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

    def rule(self, decision, key):
        self.decision_kinds[decision.request_id] = decision.kind
        self.never_runs(decision.request_id)
        ran = {claim.DecisionKind.RAN, claim.DecisionKind.ANSWER}
        if decision.kind in ran and key not in self.executions:
            raise HistoryError(f"ran: {key} has not run")

    def check_serving(self):
        """All live entries may act."""
        for node in self.live():
            if not node.co.may_act(node.now):
                reason = node.co.freshness.explain(node.now)
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
        node = next(n for n in self.live() if not n.co.leaving)
        limit = self._limit(TEAMS[0], len(self.control))
        self.work_time = TIMING.run_limit
        complete = node.co.membership.is_complete(node.now)
        keyed = complete and self._limit(KEYED_TEAM, len(self.control)) > 0
        for index in range(80):
            if keyed and index % 20 == 0:
                # A first try may be told that it did not run.
                node.request_keyed("last")
            node.request(TEAMS[0], limit)
            self.step()
            running = sum(work.team == TEAMS[0] for work in self.work)
            if running >= limit and (not keyed or "last" in self.executions):
                return
        raise HistoryError(f"capacity: {running} of {limit} run, or no claim")

    def _find_unclaimed(self):
        live = self.live()
        if any(n.outbox for n in live) or self.landing:
            return "records are still under way"
        for team in TEAMS if live else ():
            resource = team_resource(team)
            held = [n.co.ledger.held(resource) for n in live]
            limit = self._limit(team, len(self.control))
            if sum(held) != limit or min(held) < 0:
                return f"{held} of {limit} {team}"
            if any(n.co.ledger.is_reduction_pending(resource) for n in live):
                return f"{team} is gated"
        if any(not n.co.may_act(n.now) for n in live):
            return "an entry is stale"
        if any(n.co.roster.escrow.removals for n in live):
            return "a removed member is not closed"
        return ""


def create_coordination(me):
    return coordination.Coordination(me, timing=TIMING, window=WINDOW)
