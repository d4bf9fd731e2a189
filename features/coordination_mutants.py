"""Coordinations with one mechanism disabled, to show that a check fails."""

import dataclasses

from clementinewood import claim, coordination, freshness, ledger, membership
from features import coordination_simulation


class HastyMembership(membership.Membership):
    """Closes a removed member while its work may still run."""

    def may_fence(self, member, now):
        return True


class ForgetfulMembership(membership.Membership):
    """Never closes a removed member."""

    def may_fence(self, member, now):
        return False


class UnknownMembership(membership.Membership):
    """Appends and claims before older members know this entry."""

    @property
    def is_confirmed(self):
        return self.is_member

    def is_complete(self, now):
        return True


class RivalMembership(membership.Membership):
    """Closes members that do not know this entry after the usual wait."""

    def may_fence(self, member, now):
        since = self._removed_at.setdefault(member, now)
        return now - since >= self.timing.fencing_delay


class SeparateEscrowAccounts(ledger.EscrowAccounts):
    """Re-mints each removed member alone."""

    def _groups(self):
        return [{member} for member in self.removals]


class UngatedLedger(ledger.Ledger):
    """Starts work at once under a lowered limit."""

    def _synchronize_reductions(self):
        pass


class TrustingLedger(ledger.Ledger):
    """Takes a removed member for settled."""

    def _finish_reduction_if_settled(self, resource):
        reduction = self._pending_reductions[resource]
        reduction.settled.update(self.escrow.removals)
        super()._finish_reduction_if_settled(resource)


class VouchingLedger(ledger.Ledger):
    """Vouches for lowerings that it has only folded."""

    def report(self, offset):
        return dataclasses.replace(super().report(offset), opened=offset)


class RemoteLedger(ledger.Ledger):
    """Takes no report from a member that it cannot hear."""

    def on_report(self, member, report):
        if report.surplus or not report.whole:
            super().on_report(member, report)


class RepeatingLedger(ledger.Ledger):
    """Adds a repeated transfer again."""

    def receive(self, transfer):
        row = self._received.get(transfer.giver, {})
        if row.get(transfer.resource, 0) >= transfer.total:
            row[transfer.resource] -= 1
        return super().receive(transfer)


class QuorumClaims(claim.ClaimTable):
    """Runs an outage claim that a majority has recorded."""

    def _is_recorded(self, unconfirmed, peers):
        return 2 * (len(unconfirmed.answers & peers) + 1) > len(peers) + 1


class UncoveredClaims(claim.ClaimTable):
    """Ignores claims in the log that no member has read."""

    def _is_recorded(self, unconfirmed, peers):
        return peers <= unconfirmed.answers


class SwayedClaims(claim.ClaimTable):
    """Lets a peer's message change what the stream means."""

    def on_releases(self, outcomes, now):
        super().on_releases(outcomes, now)
        for outcome in outcomes:
            self._apply_outcome(outcome, now)


class ArrivalFreshness(freshness.Freshness):
    """Counts peers' statements from their arrival."""

    def on_relay(self, age, now, *, head):
        super().on_relay(age, self.arrival(), head=head)

    def on_peer_status(self, member, reachable, offset, now):
        super().on_peer_status(member, reachable, offset, self.arrival())


class LenientFreshness(freshness.Freshness):
    """Ignores members that are gone."""

    def _appended_nothing(self, peer, last):
        return True


class UnboundFreshness(freshness.Freshness):
    """Appends right after stating that the log cannot be reached."""

    def may_append(self, now):
        return True


class BoldFreshness(freshness.Freshness):
    """Acts on whatever it has folded."""

    def is_fresh(self, now):
        return self.me in self._members


class TimidFreshness(freshness.Freshness):
    """Has no rule for a log outage."""

    def _list_stale_reasons(self, now):
        yield "log out of reach"


class LateStatement(freshness.Freshness):
    """States that the log is out of reach only once its read is too old."""

    def report_reachability(self, now):
        super().report_reachability(now)
        return now - self.read_at <= self.fresh


def create(mechanism):
    """Returns a function that makes coordinations without `mechanism`."""
    replaced = MUTANTS[mechanism]

    def create_one(me):
        roster = membership.Roster()
        if issubclass(replaced, ledger.EscrowAccounts):
            roster = membership.Roster(replaced())
        made = coordination.Coordination(
            me,
            timing=coordination_simulation.TIMING,
            window=coordination_simulation.WINDOW,
            roster=roster,
        )
        for name in ("membership", "ledger", "claims", "freshness"):
            part = getattr(made, name)
            if issubclass(replaced, type(part)):
                part.__class__ = replaced
                part.arrival = lambda: made.now
        return made

    return create_one


MUTANTS = {
    "wait before a closing": HastyMembership,
    "closing": ForgetfulMembership,
    "confirmation of a joiner": UnknownMembership,
    "closing only by known members": RivalMembership,
    "joint re-mint": SeparateEscrowAccounts,
    "gate of a lowered limit": UngatedLedger,
    "gate for removed members": TrustingLedger,
    "proof of settled lowerings": VouchingLedger,
    "reports through the log": RemoteLedger,
    "cumulative transfers": RepeatingLedger,
    "answers of all members": QuorumClaims,
    "cover of departed members": UncoveredClaims,
    "fold from the stream alone": SwayedClaims,
    "echo of the question": ArrivalFreshness,
    "proof about gone members": LenientFreshness,
    "hold of appends": UnboundFreshness,
    "refusal when stale": BoldFreshness,
    "rule for an outage": TimidFreshness,
    "early statement": LateStatement,
}
