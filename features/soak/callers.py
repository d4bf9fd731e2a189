"""Simulates callers that submit jobs, poll their state and cancel some."""

import enum
import json

from clementinewood import httpclient, identifiers, job
from features.soak import faults
from features.soak import site as site_module

PATIENCE_MS = 3000
TIMEOUT_SECONDS = 4.0
MAX_TRIES = 8
HURRY_SECONDS = 0.02
ASK_SECONDS = 0.4
ENDED_ASK_SECONDS = 2.0
FINAL_ASK_SECONDS = (3.2, 3.8)
SHOWN_SECONDS = 3.0
KEY_SECONDS = 5.0
VISIBLE_SECONDS = 3.0
QUIET_SECONDS = 3.0


class Cancelling(enum.Enum):
    """Says when a caller cancels a job."""

    NEVER = "never"
    SUBMITTED = "submitted"
    """Soon after its first attempt, whether it is answered or not."""

    ACCEPTED = "accepted"
    COMPLETED = "completed"
    """Soon after it was shown as completed."""


CANCELLING_WEIGHTS = {
    faults.Mix.ALL: (0.6, 0.08, 0.16, 0.16),
    faults.Mix.POWER: (0.35, 0.1, 0.15, 0.4),
}


class Caller:
    """Simulates one caller with persistent connections to each entry.

    Every other caller connects through the proxies. Only the direct ones check
    for cut requests, since a proxy accepts requests for an entry that no longer
    listens.
    """

    def __init__(self, site, rng, number, mix=faults.Mix.ALL):
        self.site = site
        self.rng = rng
        self.mix = mix
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

    def stop(self):
        """Submits nothing more; asks once more for each completed job."""
        self.stopped = True
        for item in self.jobs:
            if item.completed:
                self.site.timers.subscribe_once(
                    self.rng.uniform(*FINAL_ASK_SECONDS), item.ask
                )

    def _next(self):
        if not self.stopped:
            Work(self).submit()
            self.site.timers.subscribe_once(
                self.rng.expovariate(1.5), self._next
            )


class Work:
    """Follows one job from its first attempt, also after its end was shown.

    Attributes:
        accepted_at: When it was accepted; None if it was not.
        cancelled_at: When a cancellation was acknowledged; None if none was.
        cancel_sent: Whether a cancellation was sent.
        maybe_accepted: Whether an attempt got no certain answer.
        timeout: Seconds after which the caller gives up the next attempt.
        completed_at: When it was first shown as completed; None if it was not.
    """

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
        self.cancelling = rng.choices(
            list(Cancelling), CANCELLING_WEIGHTS[caller.mix]
        )[0]
        self.accepted_at = None
        self.cancelled_at = None
        self.cancel_sent = False
        self.maybe_accepted = False
        self.completed_at = None
        self.tries = 0
        self.timeout = TIMEOUT_SECONDS
        if self.cancelling is Cancelling.SUBMITTED:
            hurry = rng.choice((HURRY_SECONDS, 1.0))
            if rng.random() < 0.5:
                self.timeout = rng.uniform(0.0, HURRY_SECONDS)
            self._later(rng.uniform(0.0, hurry), self.cancel)
        caller.jobs.append(self)

    @property
    def completed(self):
        return self.completed_at is not None

    def _find_key(self):
        return next(
            key for key, owner in self.site.keys.items() if owner == self.team
        )

    def _send(self, method, body, on_result, timeout=TIMEOUT_SECONDS):
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
                    if timeout == TIMEOUT_SECONDS:
                        self._check_cut(method, attempt)
            self._record_answer(method, attempt, outcome)
            on_result(attempt, outcome)

        self.caller.clients[entry.name].send(
            method,
            f"/quotes/{self.job_id}",
            headers,
            body,
            timeout=timeout,
            on_result=finish,
        )

    def _record_answer(self, method, attempt, outcome):
        text = attempt.lost
        if isinstance(outcome, httpclient.Response):
            text = outcome.body.decode(errors="replace")
        self.site.answers.append(
            (
                attempt.sent,
                attempt.ended,
                attempt.entry.name,
                method,
                self.job_id,
                attempt.status,
                text,
            )
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
        if self.cancelled_at is not None and self.caller.rng.random() < 0.5:
            return
        if self.key in self.site.revoked_at and not self.maybe_accepted:
            self.key = self._find_key()
        timeout, self.timeout = self.timeout, TIMEOUT_SECONDS
        self._send("POST", self.body, self._on_submitted, timeout)

    def _on_submitted(self, attempt, outcome):
        if 200 <= attempt.status < 300:
            self._check_key(attempt)
            if self.accepted_at is None:
                self.accepted_at = attempt.ended
                # It was not known when its cancellation was answered.
                self.harness.unknown_at.pop(self.job_id, None)
                self._poll_later()
                if self.cancelling is Cancelling.ACCEPTED:
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
        ended = self.completed or self.cancelled_at is not None
        if ended and self.caller.stopped:
            return
        seconds = ENDED_ASK_SECONDS if ended else ASK_SECONDS
        self._later(self.caller.rng.uniform(0.5, 1.5) * seconds, self.ask)

    def ask(self):
        if self.key in self.site.revoked_at:
            self.key = self._find_key()
        self._send("GET", b"", self._on_state)

    def _on_state(self, attempt, outcome):
        if attempt.status == 200:
            state = json.loads(outcome.body)["state"]
            if state == "completed":
                self._handle_completed(attempt)
            elif state == "failed":
                self.site.violations.append(f"{self.job_id} is shown as failed")
            elif state == "cancelled" and not self.cancel_sent:
                self.site.violations.append(
                    f"{self.job_id} is shown as cancelled, but nobody asked"
                )
            elif state != "cancelled":
                self._check_still_completed(attempt, state)
        elif attempt.status == 410 and (
            self.cancelled_at is None or self.completed
        ):
            visible = attempt.sent > self.accepted_at + VISIBLE_SECONDS
            if visible:
                self.site.violations.append(
                    f"{self.job_id} is unknown more than {VISIBLE_SECONDS} s"
                    " after it was accepted"
                )
        self._poll_later()

    def _handle_completed(self, attempt):
        if self.completed:
            return
        self.completed_at = attempt.ended
        self.harness.shown_completed.add(self.job_id)
        self._check_completed()
        if self.cancelling is Cancelling.COMPLETED:
            self._later(self.caller.rng.expovariate(3.0), self.cancel)

    def _check_still_completed(self, attempt, state):
        """Checks that an entry in touch shows no older state."""
        if (
            self.completed
            and attempt.sent > self.completed_at + SHOWN_SECONDS
            and attempt.entry.is_in_touch()
        ):
            self.site.violations.append(
                f"{self.job_id} is shown as {state} by {attempt.entry.name}"
                f" {attempt.ended - self.completed_at:.3f} s after it was shown"
                " as completed"
            )

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
        def finish(attempt, outcome):
            if 200 <= attempt.status < 300 or attempt.status == 410:
                self._handle_cancelled(attempt)
            else:
                self._later(0.3, self.cancel)

        if self.key in self.site.revoked_at:
            self.key = self._find_key()
        self.cancel_sent = True
        self._send("DELETE", b"", finish)

    def _handle_cancelled(self, attempt):
        if self.cancelled_at is not None:
            return
        self.cancelled_at = attempt.ended
        accepted = (
            self.accepted_at is not None and self.accepted_at < attempt.sent
        )
        if attempt.status != 410 or accepted:
            self.harness.cancelled_at[self.job_id] = attempt.ended
        elif self.accepted_at is None:
            self.harness.unknown_at[self.job_id] = attempt.ended
