"""Converts control records to membership payloads and back."""

from clementinewood import identifiers, ledger, membership, record


def translate_payload(
    payload: record.Payload, author: identifiers.Incarnation
) -> membership.Payload | None:
    """Returns the membership payload of a control record, or None."""
    match payload:
        case record.Joined():
            return membership.Joined()
        case record.Suspected(incarnation=member):
            return membership.Suspected(member)
        case record.Refuted():
            return membership.Refuted(
                payload.offset,
                payload.flushed,
                payload.complete,
                frozenset(ledger.ResourceId(item) for item in payload.debts),
                payload.opened,
            )
        case record.Removed(incarnation=member, expected=expected):
            return membership.Removed(member, expected)
        case record.Left(complete=complete):
            return membership.Left(complete)
        case record.Closed(incarnation=member, given=given, received=received):
            return ledger.FencingRecord(
                member,
                author,
                {ledger.ResourceId(r): n for r, n in given.items()},
                {ledger.ResourceId(r): n for r, n in received.items()},
            )
    return None


def create_payload(
    payload: membership.Payload, joined: record.Joined
) -> record.Payload:
    """Returns the control record payload for a membership payload.

    Args:
        payload: The membership payload to append.
        joined: The author's `Joined`, with its address and zone.

    Raises:
        TypeError: The payload is `Limits`, which are read from bundles and have
            no record kind.
    """
    match payload:
        case membership.Joined():
            return joined
        case membership.Suspected(member):
            return record.Suspected(member)
        case membership.Refuted(offset, flushed, complete, debts, opened):
            return record.Refuted(
                offset, flushed, complete, tuple(sorted(debts)), opened
            )
        case membership.Removed(member, expected):
            return record.Removed(member, expected)
        case membership.Left(complete):
            return record.Left(joined.incarnation, complete)
        case ledger.FencingRecord(member, _, given, received):
            return record.Closed(
                member,
                {str(r): n for r, n in given.items()},
                {str(r): n for r, n in received.items()},
            )
    raise TypeError(f"no record kind for {payload!r}")
