"""Encodes signed bundles as control records, and decodes them."""

import hashlib

from returns import result

from clementinewood import bundle, delta, record, signature

FULL_BUNDLE_EVERY = 64
"""Versions from one record that holds a whole bundle to the next; records
between them may hold a delta."""


def create_payload(
    text: str,
    parser: bundle.BundleParser,
    current: bundle.Bundle | None,
    current_text: str,
) -> record.BundleAccepted:
    """Returns the record payload that activates a signed bundle.

    Args:
        text: Signed bundle, already verified by the caller.
        parser: Parses the text.
        current: Active bundle; None before the first.
        current_text: Signed text of the active bundle.

    Raises:
        ValueError: The text is not a signed, valid bundle, or the bundle may
            not replace the active one.
    """
    split = signature.split_signed(text)
    if not isinstance(split, result.Success):
        raise ValueError(split.failure().render())
    parsed = parser.parse(split.unwrap().text)
    if not isinstance(parsed, result.Success):
        raise ValueError(parsed.failure()[0].render())
    declared = parsed.unwrap()
    if current is not None:
        conflicts = bundle.check_change(current, declared)
        if conflicts:
            raise ValueError(conflicts[0].render())
    version = declared.version
    content, is_delta = delta.compress(text), False
    if current is not None and version % FULL_BUNDLE_EVERY:
        smaller = delta.encode_delta(current_text, text)
        if len(smaller) < len(content):
            content, is_delta = smaller, True
    return record.BundleAccepted(
        0 if current is None else current.version,
        version,
        is_delta,
        content,
        hashlib.sha256(text.encode()).digest(),
    )


def read_payload(
    payload: record.BundleAccepted,
    parser: bundle.BundleParser,
    current_text: str,
) -> tuple[str, str, bundle.Bundle] | None:
    """Returns the signed text, its operator and the bundle of a record.

    Args:
        payload: The record's payload.
        parser: Parses the text.
        current_text: Signed text of the active bundle, the base of a delta.

    Returns:
        None when the record has no valid bundle with the digest and version
        that it states.
    """
    try:
        if payload.delta:
            text = delta.apply_delta(current_text, payload.content)
        else:
            text = delta.decompress(payload.content)
    except ValueError:
        return None
    digest = hashlib.sha256(text.encode()).digest()
    split = signature.split_signed(text)
    if digest != payload.digest or not isinstance(split, result.Success):
        return None
    signed = split.unwrap()
    parsed = parser.parse(signed.text)
    if not isinstance(parsed, result.Success):
        return None
    declared = parsed.unwrap()
    if declared.version != payload.version:
        return None
    return text, signed.operator, declared
