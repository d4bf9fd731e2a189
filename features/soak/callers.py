"""Simulates callers that submit jobs, poll their state and cancel some."""

import json

from clementinewood import httpclient, identifiers, job
from features.soak import site as site_module

PATIENCE_MS = 3000
TIMEOUT_SECONDS = 4.0
MAX_TRIES = 8
ASK_SECONDS = 0.4
CANCELLED_SHARE = 0.1
KEY_SECONDS = 5.0
VISIBLE_SECONDS = 3.0
QUIET_SECONDS = 3.0


class Caller:
    """Simulates one caller with persistent connections to each entry.

    Every other caller connects through the proxies. Only the direct ones check
    for cut requests, since a proxy accepts requests for an entry that no longer
    listens.
    """

    def __init__(self, site, rng, number):
        self.site = site
        self.rng = rng
        self.number = number
        self.count = 0
        self.stopped = False
        self.jobs = []
        self.direct = number % 2 == 0
        self.clients = {
            entry.name: httpclient.HttpClient(
                site.sockets,
                site.timers,
                entry.front_proxy.target
                if self.direct
                else entry.front_proxy.address,
                # High enough that no request waits for a connection, since
                # its time is measured from when it was sent.
                max_connections=256,
            )
            for entry in site.entries
        }
        for client in self.clients.values():
            client.host = b"guild"

    def start(self):
        self._next()

    def _next(self):
        if not self.stopped:
            Work(self).submit()
            self.site.timers.subscribe_once(
                self.rng.expovariate(1.5), self._next
            )


class Work:
    """Follows one job from its first attempt until its end was shown."""

    def __init__(self, caller):
        self.caller = caller
        self.site = caller.site
        self.harness = caller.site.harness
        rng = caller.rng
        caller.count += 1
        name = f"{caller.number:04x}{caller.count:012x}"
        self.job_id = identifiers.JobId(name)
        self.team = rng.choice(site_module.TEAMS)
        self.key = self._find_key()
        steps = [
            job.Step(
                count=rng.randint(1, 6),
                need=job.Resources(rng.choice((500, 1000, 2000)), 100),
                estimate=rng.uniform(0.1, 1.0),
                after=(number - 1,) if number else (),
            )
            for number in range(rng.randint(1, 3))
        ]
        self.site.accept(self.job_id, self.team, steps)
        self.body = json.dumps(
            {
                "spec": "soak",
                "steps": [
                    {
                        "count": step.count,
                        "cpu": step.need.cpu,
                        "mem_mb": step.need.memory,
                        "estimate_ms": int(step.estimate * 1000),
                        "after": list(step.after),
                    }
                    for step in steps
                ],
            }
        ).encode()
        self.cancels = rng.random() < CANCELLED_SHARE
        self.accepted_at = None
        self.cancelled_at = None
        self.maybe_accepted = False
        self.completed = False
        self.tries = 0
        caller.jobs.append(self)

    def _find_key(self):
        return next(
            key for key, owner in self.site.keys.items() if owner == self.team
        )

    def _send(self, method, body, on_result):
        site = self.site
        entry = self.caller.rng.choice(site.entries)
        attempt = site_module.Attempt(entry, site.timers.clock())
        headers = [
            (b"authorization", f"Bearer {self.key}".encode()),
            (b"x-deadline-ms", str(PATIENCE_MS).encode()),
        ]

        site.open_requests += 1

        def finish(outcome):
            site.open_requests -= 1
            attempt.ended = site.timers.clock()
            match outcome:
                case httpclient.Response(status=status):
                    attempt.status = status
                case httpclient.Lost(detail=detail):
                    attempt.lost = detail
                    self._check_cut(method, attempt)
            on_result(attempt, outcome)

        self.caller.clients[entry.name].send(
            method,
            f"/quotes/{self.job_id}",
            headers,
            body,
            timeout=TIMEOUT_SECONDS,
            on_result=finish,
        )

    def _check_cut(self, method, attempt):
        """Checks that a graceful stop cut no request sent before it."""
        entry = attempt.entry
        quiet_since = attempt.sent - QUIET_SECONDS
        fault_free = (
            self.caller.direct
            and entry.state is site_module.ProcessState.STOPPING
            and entry.disturbed_until < quiet_since
            and self.site.store_fault_until < quiet_since
        )
        if fault_free:
            self.site.violations.append(
                f"{entry.name} cut {method} {self.job_id} during a graceful"
                f" stop: {attempt.lost}"
            )

    def submit(self):
        self.tries += 1
        if self.tries > MAX_TRIES or self.caller.stopped:
            return
        if self.key in self.site.revoked_at and not self.maybe_accepted:
            self.key = self._find_key()
        self._send("POST", self.body, self._on_submitted)

    def _on_submitted(self, attempt, outcome):
        if 200 <= attempt.status < 300:
            self._check_key(attempt)
            if self.accepted_at is None:
                self.accepted_at = attempt.ended
                self._poll_later()
                if self.cancels:
                    self._later(self.caller.rng.uniform(0.0, 2.0), self.cancel)
                if self.caller.rng.random() < 0.05:
                    # Repeats the request, which must be idempotent.
                    self._later(1.0, self.submit)
            return
        if attempt.lost or attempt.status in (502, 504):
            self.maybe_accepted = True
        if self.accepted_at is None and attempt.status != 401:
            self._later(self.caller.rng.uniform(0.2, 0.8), self.submit)

    def _check_key(self, attempt):
        revoked = self.site.revoked_at.get(self.key)
        if revoked is not None and attempt.sent > revoked + KEY_SECONDS:
            self.site.violations.append(
                f"{attempt.entry.name} accepted a key for {self.job_id}"
                f" more than {KEY_SECONDS} s after its revocation"
            )

    def _later(self, seconds, callback):
        self.site.timers.subscribe_once(seconds, callback)

    def _poll_later(self):
        self._later(self.caller.rng.uniform(0.5, 1.5) * ASK_SECONDS, self.ask)

    def ask(self):
        if not self.completed and self.cancelled_at is None:
            if self.key in self.site.revoked_at:
                self.key = self._find_key()
            self._send("GET", b"", self._on_state)

    def _on_state(self, attempt, outcome):
        if attempt.status == 200:
            state = json.loads(outcome.body)["state"]
            if state == "completed":
                self.completed = True
                self.harness.shown_completed.add(self.job_id)
                self._check_completed()
            elif state == "failed":
                self.site.violations.append(f"{self.job_id} is shown as failed")
        elif attempt.status == 410 and self.cancelled_at is None:
            visible = attempt.sent > self.accepted_at + VISIBLE_SECONDS
            if visible:
                self.site.violations.append(
                    f"{self.job_id} is unknown more than {VISIBLE_SECONDS} s"
                    " after it was accepted"
                )
        self._poll_later()

    def _check_completed(self):
        ended = self.harness.ended_done()
        for number, step in enumerate(self.harness.accepted[self.job_id].steps):
            for position in range(step.count):
                task = job.TaskId(self.job_id, 0, number, position)
                if task not in ended:
                    self.site.violations.append(
                        f"{self.job_id} is completed without {task.render()}"
                    )

    def cancel(self):
        if self.completed:
            return

        def finish(attempt, outcome):
            if attempt.status in (200, 410):
                if self.cancelled_at is None:
                    self.cancelled_at = attempt.ended
                    self.harness.cancelled_at[self.job_id] = attempt.ended
            else:
                self._later(0.3, self.cancel)

        if self.key in self.site.revoked_at:
            self.key = self._find_key()
        self._send("DELETE", b"", finish)
