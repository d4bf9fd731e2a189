"""Signs and verifies bundles with operators' keys, and computes record MACs."""

import base64
import binascii
import dataclasses
import hashlib
import hmac
import json
import re
from collections.abc import Mapping

from cryptography import exceptions
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ed25519
from returns import result

from clementinewood import fault

MARKER = "# clementinewood-signature: "
"""Prefix of the last line of a signed bundle. It is an INI comment, so a
signed bundle can be parsed like an unsigned one."""

MAC_BYTES = 32
MIN_CLUSTER_KEY_BYTES = 32

_CONTEXT = b"clementinewood bundle signature 1\n"
"""Prefix of the signed bytes, so that a signature is not valid for any other
kind of message."""

_NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")


@dataclasses.dataclass(frozen=True, slots=True)
class OperatorKey:
    """A public key that may sign bundles.

    Attributes:
        operator: Name of the operator.
        public: 32 bytes of the ed25519 public key.
        expires: Unix time in seconds from which the key is not accepted.
    """

    operator: str
    public: bytes
    expires: float

    def render(self) -> str:
        """Returns the key as written in settings."""
        encoded = base64.b64encode(self.public).decode()
        return f"{self.operator} {encoded} {self.expires:.0f}"


@dataclasses.dataclass(frozen=True, slots=True)
class SignedBundle:
    """The parts of a signed bundle.

    Attributes:
        text: Bundle text that is signed.
        operator: Name of the signer.
        signed: Unix time of signing, in seconds.
        expires: Unix time in seconds from which the signature is not
            accepted.
        signature: ed25519 signature.
    """

    text: str
    operator: str
    signed: float
    expires: float
    signature: bytes

    @property
    def digest(self) -> str:
        """SHA-256 of the text and its signature, in hexadecimal."""
        return hashlib.sha256(render_signed(self).encode()).hexdigest()


def generate_key() -> tuple[str, bytes]:
    """Returns a new private key as PEM text, and its public bytes."""
    private = ed25519.Ed25519PrivateKey.generate()
    pem = private.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )
    public = private.public_key().public_bytes(
        serialization.Encoding.Raw, serialization.PublicFormat.Raw
    )
    return pem.decode(), public


def parse_operator_key(text: str) -> OperatorKey:
    """Returns the key in `NAME PUBLIC-KEY-BASE64 EXPIRES-UNIX-TIME`.

    Raises:
        ValueError: The text does not have this form.
    """
    parts = text.split()
    if len(parts) != 3:
        raise ValueError("not a name, a public key and an expiry time")
    operator, encoded, expires = parts
    if not _NAME.fullmatch(operator):
        raise ValueError(f"{operator!r} is not an operator name")
    try:
        public = base64.b64decode(encoded, validate=True)
    except binascii.Error:
        raise ValueError("the public key is not base64") from None
    if len(public) != 32:
        raise ValueError(f"the public key has {len(public)} of 32 bytes")
    if not re.fullmatch(r"[0-9]{1,12}", expires):
        raise ValueError("the expiry time is not in Unix seconds")
    return OperatorKey(operator, public, float(expires))


def sign_bundle(
    text: str, operator: str, private_pem: str, *, signed: float, expires: float
) -> str:
    """Returns the bundle with its signature as the last line.

    Args:
        text: Bundle text; an earlier signature is replaced.
        operator: Name of the signer.
        private_pem: ed25519 private key.
        signed: Current Unix time, in seconds.
        expires: Unix time in seconds from which the signature is not
            accepted.

    Raises:
        ValueError: The private key is not an ed25519 key in PEM.
    """
    body = _strip_signature(text)
    try:
        private = serialization.load_pem_private_key(private_pem.encode(), None)
    except (TypeError, exceptions.UnsupportedAlgorithm) as error:
        raise ValueError(str(error)) from None
    if not isinstance(private, ed25519.Ed25519PrivateKey):
        raise ValueError("not an ed25519 private key")
    unsigned = SignedBundle(body, operator, signed, expires, b"")
    signature = private.sign(_signed_bytes(unsigned))
    return render_signed(dataclasses.replace(unsigned, signature=signature))


def render_signed(signed: SignedBundle) -> str:
    """Returns the text of a signed bundle."""
    line = json.dumps(
        {
            "operator": signed.operator,
            "signed": signed.signed,
            "expires": signed.expires,
            "ed25519": base64.b64encode(signed.signature).decode(),
        }
    )
    return f"{signed.text}{MARKER}{line}\n"


def split_signed(text: str) -> result.Result[SignedBundle, fault.Fault]:
    """Parses a signed bundle without verifying its signature."""
    body, marker, line = text.rpartition(MARKER)
    if not marker or "\n" in line.rstrip("\n") or not body.endswith("\n"):
        return _fail("the bundle has no signature line at its end")
    try:
        values = json.loads(line)
        signed = SignedBundle(
            body,
            str(values["operator"]),
            float(values["signed"]),
            float(values["expires"]),
            base64.b64decode(values["ed25519"], validate=True),
        )
    except (ValueError, KeyError, TypeError, RecursionError):
        return _fail("the signature line is malformed")
    if render_signed(signed) != text:
        # The digest of the text identifies a bundle when operators race, so
        # each bundle must have exactly one text.
        return _fail("the signature line is not in its normal form")
    return result.Success(signed)


def verify_bundle(
    text: str, keys: Mapping[str, OperatorKey], *, now: float
) -> result.Result[SignedBundle, fault.Fault]:
    """Verifies the signature of a bundle.

    Args:
        text: Signed bundle.
        keys: Public keys by operator.
        now: Unix time in seconds.

    Returns:
        The parts of the bundle, or why it is rejected.
    """
    split = split_signed(text)
    if not isinstance(split, result.Success):
        return split
    signed = split.unwrap()
    key = keys.get(signed.operator)
    if key is None:
        return _fail(
            f"operator {signed.operator!r} has no key here",
            suggestion=fault.find_near_match(signed.operator, keys),
        )
    try:
        ed25519.Ed25519PublicKey.from_public_bytes(key.public).verify(
            signed.signature, _signed_bytes(signed)
        )
    except exceptions.InvalidSignature:
        return _fail(f"the signature is not by operator {signed.operator!r}")
    if now >= key.expires:
        return _fail(
            f"the key of operator {signed.operator!r} has expired",
            code=fault.Code.EXPIRED,
        )
    if now >= signed.expires:
        return _fail(
            "the signature has expired; sign the bundle again",
            code=fault.Code.EXPIRED,
        )
    return result.Success(signed)


def hash_secret(secret: str) -> bytes:
    """Returns the SHA-256 digest that is stored in place of a random secret."""
    return hashlib.sha256(secret.encode()).digest()


def compute_mac(key: bytes, data: bytes) -> bytes:
    """Returns the HMAC-SHA256 of `data` under the cluster key."""
    return hmac.digest(key, data, "sha256")


def check_mac(key: bytes, data: bytes, mac: bytes) -> bool:
    """Returns whether `mac` matches `data`, compared in constant time."""
    return hmac.compare_digest(compute_mac(key, data), mac)


def _signed_bytes(signed: SignedBundle) -> bytes:
    head = json.dumps([signed.operator, signed.signed, signed.expires])
    return _CONTEXT + head.encode() + b"\n" + signed.text.encode()


def _strip_signature(text: str) -> str:
    body, marker, _ = text.rpartition(MARKER)
    kept = body if marker else text
    return kept if kept.endswith("\n") else kept + "\n"


def _fail(
    detail: str,
    *,
    code: fault.Code = fault.Code.SIGNATURE,
    suggestion: str = "",
) -> result.Result[SignedBundle, fault.Fault]:
    return result.Failure(
        fault.Fault(code=code, detail=detail, suggestion=suggestion)
    )


if __name__ == "__main__":
    pem, public_bytes = generate_key()
    example = sign_bundle(
        "[bundle]\n", "night", pem, signed=1.0, expires=1000.0
    )
    operators = {"night": OperatorKey("night", public_bytes, 5000.0)}
    print(verify_bundle(example, operators, now=10.0))
    print(verify_bundle(example, operators, now=2000.0))
