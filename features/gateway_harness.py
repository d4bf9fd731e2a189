"""A gateway with scripted minions, claims and time that records its history."""

import dataclasses
import json
import random

from clementinewood import (
    claim,
    dev,
    edge,
    gateway,
    httpclient,
    identifiers,
    ledger,
    metric,
    retry,
    router,
    timer,
    verdict,
)
from features import clock

QUEUE = "quotes"
ME = identifiers.Incarnation("entry-1/1")
EFFECTS = {
    retry.Outcome.SUCCEEDED,
    retry.Outcome.FAILED,
    retry.Outcome.LOST,
    retry.Outcome.TIMED_OUT,
    retry.Outcome.INVALID,
}
"""Outcomes after which the minion may have done the work."""


@dataclasses.dataclass
class Sent:
    """One attempt handed to the sender."""

    request_id: str
    minion: str
    idempotent: bool
    run_limit: float
    at: float
    report: object
    outcome: retry.Outcome | None = None
    ended: float = 0.0


class ScriptedClaims:
    """Claims that wait until the test rules on them."""

    def __init__(self, harness):
        self._harness = harness

    def submit(self, item):
        self._harness.claims[item.request_id] = item
        return claim.Decision(item.request_id, claim.DecisionKind.WAIT)

    def finish(self, item, answer, size, *, execution):
        self._harness.finished.append((item.request_id, execution))


class GatewayHarness:
    """Everything around one gateway.

    Args:
        limit: Upper limit of the team that submits.
        kind: Gateway class, which broken variants replace.
    """

    def __init__(self, *, limit=4, kind=gateway.Gateway, seed=0):
        self.rng = random.Random(seed)
        self.clock = clock.ManualClock(1000.0)
        self.timers = timer.TimerService(clock=self.clock)
        self.fresh = True
        self.sent = []
        self.answers = {}
        self.exchanges = []
        self.escrow = ledger.EscrowAccounts()
        self.tokens = ledger.Ledger(ME, self.escrow)
        self.escrow.join(ME, 0)
        self.claims = {}
        self.finished = []
        text = dev.read_example("guild")
        self.bundle = dev.parse_text(text)
        self.secret = dev.find_secrets(text)[0]
        self.team = self.bundle.keys[
            identifiers.KeyId(self.secret.partition(".")[0])
        ].team
        self.escrow.set_limit(ledger.team_resource(self.team), limit, 1)
        self.router = router.Router(
            identifiers.ZoneId("hobart"), random.Random(seed)
        )
        self.gateway = kind(
            self.timers,
            pages=self,
            sender=self,
            tokens=self.tokens,
            claims=ScriptedClaims(self),
            router_=self.router,
            retries=retry.RetryPolicy(random.Random(seed)),
            is_fresh=lambda: self.fresh,
            explain_stale=lambda: "test",
            me=ME,
            metrics=metric.Metrics(),
            wall_clock=self.clock,
        )
        self.gateway.configure(self.bundle, entries=1)
        targets = []
        for worker in self.bundle.pools[identifiers.PoolId(QUEUE)].workers:
            minion = identifiers.MinionId(worker)
            self.escrow.set_limit(ledger.slot_resource(minion), 8, 2)
            targets.append(
                router.Target(
                    minion,
                    identifiers.PoolId(QUEUE),
                    identifiers.ZoneId("hobart"),
                    ("127.0.0.1", 1),
                    slots=8,
                )
            )
        self.router.update(targets, self.clock.now)

    # The caller.

    def submit(self, *, idempotent=False, key=None, body=b"x", deadline=8000):
        headers = [
            (b"authorization", f"Bearer {self.secret}".encode()),
            (b"x-idempotent", b"true" if idempotent else b"false"),
            (b"x-deadline-ms", b"%d" % deadline),
        ]
        if key is not None:
            headers.append((b"idempotency-key", key.encode()))
        number = len(self.exchanges)

        def answer(status, fields, content):
            assert number not in self.answers, "answered twice"
            self.answers[number] = (status, dict(fields), content)

        request = edge.HttpRequest(
            "POST", f"/q/{QUEUE}/", tuple(headers), body, ("127.0.0.1", 1)
        )
        exchange = edge.Exchange(request, answer)
        self.exchanges.append(exchange)
        self.gateway.handle_exchange(exchange)
        return number

    def read_verdict(self, number):
        return self.answers[number][1][b"x-execution"].decode()

    def read_reason(self, number):
        return json.loads(self.answers[number][2])["reason"]

    # The sender and the claims.

    def send(self, target, request_id, method, path, headers, body, **rest):
        # Reads the caller's header, not the value that the gateway parsed.
        idempotent = dict(headers)[b"x-idempotent"] == b"true"
        run_limit = rest["run_limit"]
        self.sent.append(
            Sent(
                request_id,
                target.minion,
                idempotent,
                run_limit,
                self.clock.now,
                rest["on_result"],
            )
        )

    def end(self, sent, outcome):
        sent.outcome = outcome
        sent.ended = self.clock.now
        answer = None
        if outcome in (retry.Outcome.SUCCEEDED, retry.Outcome.FAILED):
            status = 200 if outcome is retry.Outcome.SUCCEEDED else 500
            answer = httpclient.Response(status, (), sent.request_id.encode())
        sent.report(outcome, answer)

    def claim(self, kind, answer=None):
        """Decides every claim that waits."""
        for request_id in list(self.claims):
            del self.claims[request_id]
            self.gateway.on_decision(claim.Decision(request_id, kind, answer))

    def handle_exchange(self, exchange):
        exchange.respond(404, [], b"")

    def render_refusal(self, refusal):
        return gateway.render_refusal(refusal, identifiers.create_request_id())

    def move(self, seconds):
        """Moves time in small steps and runs what is due."""
        end = self.clock.now + seconds
        while self.clock.now < end:
            self.clock.now = min(end, self.clock.now + 0.02)
            self.timers.run_due()

    # Checks over the history.

    def check(self):
        self.check_limit()
        self.check_once()
        self.check_verdicts()

    def check_limit(self):
        """No team has more running than its limit, lost work included."""
        limit = self.escrow.limits[ledger.team_resource(self.team)]
        edges = []
        for item in self.sent:
            lease = item.at + item.run_limit
            match item.outcome:
                case None:
                    end = float("inf")
                case retry.Outcome.NOT_SENT | retry.Outcome.REFUSED:
                    continue
                case retry.Outcome.SUCCEEDED | retry.Outcome.FAILED:
                    end = item.ended
                case _:
                    end = max(item.ended, lease)
            edges += [(item.at, 1), (end, -1)]
        running = 0
        for _, change in sorted(edges):
            running += change
            assert running <= limit, f"limit: {running} running"

    def check_once(self):
        effects = {}
        for item in self.sent:
            if not item.idempotent and (
                item.outcome is None or item.outcome in EFFECTS
            ):
                effects[item.request_id] = effects.get(item.request_id, 0) + 1
        assert all(n == 1 for n in effects.values()), f"once: {effects}"

    def check_verdicts(self):
        effects = {}
        for item in self.sent:
            if item.outcome in EFFECTS:
                effects[item.request_id] = item.outcome
        for status, fields, content in self.answers.values():
            request_id = fields[b"x-request-id"].decode()
            execution = fields[b"x-execution"].decode()
            if execution == verdict.Execution.NOT_RUN.value:
                assert request_id not in effects, f"verdict: {request_id}"
            if status == 200:
                assert content == request_id.encode(), "another's answer"

    def check_end(self):
        """After a quiet time everything is answered and given back."""
        for item in list(self.sent):
            if item.outcome is None:
                self.end(item, retry.Outcome.SUCCEEDED)
        self.fresh = True
        for _ in range(40):
            self.move(2.0)
            for item in list(self.sent):
                if item.outcome is None:
                    self.end(item, retry.Outcome.SUCCEEDED)
        gone = sum(1 for item in self.exchanges if item.answered)
        assert gone == len(self.exchanges), "end: requests without an answer"
        assert not self.gateway.in_flight_requests, "end: flows are left"
        for resource in self.tokens.resources():
            assert self.tokens.running(resource) == 0, f"end: {resource}"


def run_schedule(steps, kind=gateway.Gateway):
    """Plays (action, number) pairs and checks the history."""
    harness = GatewayHarness(kind=kind)
    outcomes = list(retry.Outcome)
    for action, number in steps:
        waiting = [item for item in harness.sent if item.outcome is None]
        match action:
            case "submit":
                harness.submit(
                    idempotent=number % 2 == 0,
                    deadline=(300, 2000, 8000)[number % 3],
                )
            case "end" if waiting:
                outcome = outcomes[number % len(outcomes)]
                harness.end(waiting[number % len(waiting)], outcome)
            case "cancel" if harness.exchanges:
                exchange = harness.exchanges[number % len(harness.exchanges)]
                exchange.cancel()
            case "move":
                harness.move((0.05, 0.5, 3.0)[number % 3])
            case "stale":
                harness.fresh = number % 2 == 0
        harness.check()
    harness.check_end()
    harness.check()


class HastyRelease(gateway.Gateway):
    """Frees rights at once although lost work may still run."""

    def _release_tokens(self, item, target, outcome, now):
        del outcome
        super()._release_tokens(item, target, retry.Outcome.REFUSED, now)


class Repeating(gateway.Gateway):
    """Takes every request for idempotent."""

    def _accept(self, exchange, head, grant):
        super()._accept(
            exchange, dataclasses.replace(head, idempotent=True), grant
        )


class Forgetful(gateway.Gateway):
    """Refuses without looking at earlier attempts."""

    def _refuse(self, item, refusal):
        item.attempt = None
        refusal = dataclasses.replace(
            refusal, execution=verdict.Execution.NOT_RUN
        )
        super()._refuse(item, refusal)


BROKEN = {
    "frees rights of lost work at once": (HastyRelease, "limit"),
    "repeats every request": (Repeating, "once"),
    "forgets earlier attempts": (Forgetful, "verdict"),
}
