"""Converts claims to and from records of the claims stream."""

from clementinewood import claim, record


def translate_claims(payload: record.Claims) -> claim.Batch:
    """Returns the claims and outcomes of a claims stream record."""
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
    """Returns the claims stream record of a batch."""
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
