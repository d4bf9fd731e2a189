"""Steps for membership payloads in control records."""

import typing

import behave
from thriftpy2 import utils

from clementinewood import (
    identifiers,
    ledger,
    membership,
    membership_record,
    record,
)

KEY = b"k" * 32
AUTHOR = identifiers.Incarnation("e1/1")
JOINED = record.Joined(AUTHOR, "e1", "::1", 7000, "z1")
PAYLOADS = [
    membership.Joined(),
    membership.Suspected("e2/1"),
    membership.Refuted(7, True, False, frozenset({"team:a", "slot:b"}), 5),
    membership.Removed("e2/1", 4),
    membership.Left(True),
    ledger.FencingRecord("e2/1", AUTHOR, {"team:a": 2}, {"slot:b": 3}),
]


def read_back(payload):
    entry = record.create_record(AUTHOR, payload)
    decoded = record.decode_record(record.encode_record(entry, KEY), KEY)
    return membership_record.translate_payload(decoded.unwrap().payload, AUTHOR)


@behave.then("each kind of membership payload is read back from its record")
def check_read_back(context):
    for payload in PAYLOADS:
        found = read_back(membership_record.create_payload(payload, JOINED))
        assert found == payload, (found, payload)
    # Limits come with bundles, so every other kind has to be here.
    kinds = {type(payload) for payload in PAYLOADS} | {membership.Limits}
    assert kinds == set(typing.get_args(membership.Payload))


@behave.then("a refutation of an earlier writer has no debts and opens nothing")
def check_earlier_refutation(context):
    raw = utils.serialize(
        record.wire.Refuted(
            offset=7, flushed=True, complete=True, debts=None, opened=None
        ),
        record.CODEC,
    )
    read = utils.deserialize(record.wire.Refuted(), raw, record.CODEC)
    decoded = record.MAP.decode(record.Refuted, read)
    assert decoded == record.Refuted(7, True, True, (), -1), decoded
