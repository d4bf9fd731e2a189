"""The simulated policy service of sites in `job_harness`."""

import zlib

from clementinewood import catalog

POLICY_SETTINGS = catalog.PolicySettings(
    decide=0.05, per_minion=0.002, valid=1.5
)


class PolicyService:
    """Allows some minions to run a step and answers one call at a time."""

    def __init__(self, harness, share):
        self.harness = harness
        self.share = share
        self.silent = False
        self.free_at = 0.0
        self.named = []
        self.refused = 0
        self.tickets = {}

    def allows(self, step, minion_id):
        # Fixed for each step and minion, whatever the order of the calls.
        return (
            zlib.crc32(f"{step} {minion_id}".encode()) % 1000
            < 1000 * self.share
        )

    def ask(self, query, on_answer):
        now = self.harness.clock()
        if self.silent:
            self.harness.timers.subscribe_once(1.0, lambda: on_answer(None))
            return
        self.named.append(len(query.minions))
        seconds = (
            POLICY_SETTINGS.decide
            + len(query.minions) * POLICY_SETTINGS.per_minion
        )
        self.free_at = max(self.free_at, now) + seconds

        def answer():
            step = query.key.render()
            expires = self.harness.clock() + POLICY_SETTINGS.valid
            good = {}
            for minion_id in query.minions:
                minion = self.harness.minions.get(minion_id)
                if minion is not None and self.allows(step, minion_id):
                    text = f"ticket-{len(self.tickets)}"
                    incarnation = minion.incarnation
                    self.tickets[text] = (step, minion_id, incarnation, expires)
                    good[minion_id] = text
            on_answer(good)

        self.harness.timers.subscribe_once(self.free_at - now, answer)

    def is_valid(self, task, minion, text):
        step = f"{task.job}.{task.occurrence}.{task.step}"
        known = self.tickets.get(text)
        valid = (
            known is not None
            and known[:3] == (step, minion.minion_id, minion.incarnation)
            and self.harness.clock() <= known[3]
        )
        self.refused += not valid
        return valid
