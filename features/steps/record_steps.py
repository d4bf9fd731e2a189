"""Steps for records and signatures."""

import contextlib
import dataclasses
from unittest import mock

import behave
import hypothesis
from cryptography.hazmat.primitives.asymmetric import ed25519
from hypothesis import strategies
from thriftpy2 import utils

from clementinewood import (
    fault,
    fleet_record,
    record,
    signature,
    state,
    verdict,
)
from clementinewood.identifiers import EntryId, Incarnation, ZoneId

KEY = b"k" * 32
ME = Incarnation("entry-1/0a")
LIGHT = {"derandomize": True, "deadline": None, "database": None}
CLAIM = record.Claim("t", b"d" * 32, b"r" * 32, "req", ME, True)
OUTCOME = record.ClaimOutcome("t", b"d" * 32, "req", verdict.Execution.RAN)
PAYLOADS = [
    record.BundleAccepted(1, 2, True, b"\x00\xff", b"d" * 32),
    record.Joined(ME, EntryId("e"), "127.0.0.1", 9, ZoneId("z")),
    record.Removed(ME),
    record.Closed(ME, {"team:a": 3}, {}),
    record.Left(ME),
    fleet_record.WorkerAssigned("w", "p", 4, 9, 2.5),
    fleet_record.MaintenanceStep("w", fleet_record.Step.LOST, 0, 7.0),
    fleet_record.MaintenanceStep(
        "w",
        fleet_record.Step.CORDONED,
        3,
        1.75e9,
        fleet_record.Purpose.MOVE,
        "p",
        "boot-3",
        12,
    ),
    fleet_record.RollStep(
        3, ZoneId("z"), fleet_record.RollAction.HALT, 1, 2.5, "failing"
    ),
    fleet_record.PlannerLease(ME, 0, 2.5),
    fleet_record.MaintenancePause(True, 4, 2.5),
    record.Snapshot(7, b"\x01" * 3000),
    record.Claims((CLAIM, CLAIM), (OUTCOME,)),
    record.Suspected(ME),
    record.Refuted(4, True, False),
]


def read(data):
    return record.decode_record(data, KEY)


def code_of(found):
    assert type(found).__name__ == "Failure", found
    return found.failure().code


@behave.then("a record of each kind survives encoding in formats 1 and 2")
def check_kinds(context):
    assert {type(p) for p in PAYLOADS} == set(record._KINDS.values())
    for payload in PAYLOADS:
        for number in (1, 2):
            entry = record.create_record(
                ME, payload, format=record.Format(number)
            )
            assert read(record.encode_record(entry, KEY)).unwrap() == entry


# Fixed, so that rewording the test does not change its examples.
CLOSINGS_SEED = int(
    "925b5c41d4c70fb5037301cfea023567c7ee92b51948ae8e"
    "bb870b3f1fd92f0d0e54471b8622c4bcf8186bc4f7303db2",
    16,
)


@behave.then("{n:d} random closing records survive encoding")
def check_closings(context, n):
    amounts = strategies.dictionaries(
        strategies.text(max_size=9), strategies.integers(0, 2**62)
    )

    @hypothesis.seed(CLOSINGS_SEED)
    @hypothesis.settings(max_examples=n, **LIGHT)
    @hypothesis.given(strategies.text(), amounts, amounts)
    def run(name, given, received):
        entry = record.create_record(ME, record.Closed(name, given, received))
        assert read(record.encode_record(entry, KEY)).unwrap() == entry

    run()


# Fixed, so that rewording the test does not change its examples.
MUTATIONS_SEED = int(
    "c8b2a36db9731e0156174d907fd4c58a61086ed7de6ac8d6"
    "747621d718096174802bdba24467440a08c842f0b527caa0",
    16,
)


def check_mutations(n):
    whole = [
        record.encode_record(record.create_record(ME, payload), KEY)
        for payload in PAYLOADS
    ]

    @hypothesis.seed(MUTATIONS_SEED)
    @hypothesis.settings(
        max_examples=n, phases=[hypothesis.Phase.generate], **LIGHT
    )
    @hypothesis.given(
        strategies.sampled_from(whole),
        strategies.integers(0, 300),
        strategies.binary(min_size=1, max_size=8),
        strategies.sampled_from(["patch", "cut", "insert", "random"]),
    )
    def run(data, place, patch, how):
        place %= len(data)
        match how:
            case "patch":
                broken = data[:place] + patch + data[place + len(patch) :]
            case "cut":
                broken = data[:place]
            case "insert":
                broken = data[:place] + patch + data[place:]
            case _:
                broken = patch
        if broken != data:
            code = code_of(read(broken))
            assert code in (
                fault.Code.RECORD_FOREIGN,
                fault.Code.RECORD_MAC,
            ), code

    run()


@behave.then("{n:d} mutated or random byte strings are refused as records")
def check_foreign(context, n):
    context.n = n
    check_mutations(n)


@behave.then("mutated records pass when the record MAC is not checked")
def check_without_mac(context):
    with mock.patch.object(signature, "check_mac", lambda *_: True):
        try:
            check_mutations(context.n)
        except AssertionError:
            return
    raise AssertionError("no mutated record passed")


@behave.then("a record under another cluster key is refused with code {code}")
def check_other_key(context, code):
    entry = record.create_record(ME, record.Removed(ME))
    found = read(record.encode_record(entry, b"x" * 32))
    assert code_of(found).value == code


def write_envelope(**fields):
    """Returns an authentic record with any envelope."""
    envelope = record.wire.Record(id=b"i" * 16, author="a", **fields)
    body = utils.serialize(envelope, record.CODEC)[:-1]
    return seal(body)


def seal(body):
    mac = signature.compute_mac(KEY, body)
    return body + b"\x0b\x00\x20\x00\x00\x00\x20" + mac + b"\x00"


@behave.then(
    "authentic records of an unknown kind, format or field type are refused"
)
def check_unknown(context):
    for row in context.table:
        data = write_envelope(
            kind=int(row["kind"]),
            format=int(row["format"]),
            payload=row["payload"].encode() + b"\x00",
        )
        assert code_of(read(data)).value == row["code"], row


@behave.then("an authentic record with a further field is read")
def check_further_field(context):
    entry = record.create_record(ME, record.Removed(ME))
    body = record.encode_record(entry, KEY)[: -record._MAC_TRAILER_BYTES]
    newer = body + b"\x08\x00\x09\x00\x00\x00\x01"
    assert read(seal(newer)).unwrap() == entry


@behave.then(
    "members that read formats {one:d} and {two:d} make writers use format"
    " {used:d}"
)
def check_format(context, one, two, used):
    folded = state.ControlState()
    for offset, newest in enumerate((one, two)):
        joined = dataclasses.replace(
            PAYLOADS[1], incarnation=f"e{offset}", newest_format=newest
        )
        entry = record.create_record(joined.incarnation, joined)
        folded.apply(entry, offset, 1.0)
    assert folded.writable_format == used


@behave.given("a bundle signed by operator {operator} until time {end:g}")
def sign(context, operator, end):
    private, public = signature.generate_key()
    context.keys = {operator: signature.OperatorKey(operator, public, 1000.0)}
    context.signed = signature.sign_bundle(
        "[bundle]\nversion = 1\n", operator, private, signed=1.0, expires=end
    )


def verify(context, text, *, now=50.0, keys=None):
    return signature.verify_bundle(text, keys or context.keys, now=now)


@behave.then("the signed bundle is verified at time {now:g}")
def check_verified(context, now):
    found = verify(context, context.signed, now=now).unwrap()
    assert found.text == "[bundle]\nversion = 1\n"
    assert found.operator == "night"


@behave.then("at time {now:g} the signature is refused as expired")
def check_expired(context, now):
    code = code_of(verify(context, context.signed, now=now))
    assert code is fault.Code.EXPIRED


@behave.then("a key that expired at time {end:g} is refused as expired")
def check_key_expired(context, end):
    key = dataclasses.replace(context.keys["night"], expires=end)
    code = code_of(verify(context, context.signed, keys={"night": key}))
    assert code is fault.Code.EXPIRED


def check_changes(context):
    for place, old in enumerate(context.signed):
        new = "1" if old != "1" else "2"
        changed = context.signed[:place] + new + context.signed[place + 1 :]
        assert code_of(verify(context, changed)) is fault.Code.SIGNATURE
    assert type(verify(context, context.signed + " ")).__name__ == "Failure"


@behave.then("a change of any character of the signed bundle is refused")
def check_changed(context):
    check_changes(context)


@behave.then("the signature of another operator's key is refused as signature")
def check_other_operator(context):
    _, public = signature.generate_key()
    other = signature.OperatorKey("night", public, 1000.0)
    code = code_of(verify(context, context.signed, keys={"night": other}))
    assert code is fault.Code.SIGNATURE


@behave.then("that change passes when the operator's signature is not checked")
def check_without_signature(context):
    unchecked = mock.Mock(spec=ed25519.Ed25519PublicKey)
    unchecked.from_public_bytes.return_value = mock.Mock()
    with (
        mock.patch.object(signature.ed25519, "Ed25519PublicKey", new=unchecked),
        contextlib.suppress(AssertionError),
    ):
        check_changes(context)
        raise RuntimeError("no change passed")
