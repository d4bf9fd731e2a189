"""Codec of the frames on links between entries."""

import pathlib
import struct
from typing import Any

import thriftpy2
from thriftpy2 import utils
from thriftpy2.protocol import TCyBinaryProtocolFactory

messages: Any = thriftpy2.load(
    str(pathlib.Path(__file__).with_name("peer.thrift")),
    module_name="peer_thrift",
)
"""Thrift structs by name; peer.thrift documents their fields."""

PROTOCOL_VERSION = 1
MAC_BYTES = 16
NONCE_BYTES = 32
MAX_FRAME_BYTES = 4 << 20
_LENGTH = struct.Struct(">I")
_FACTORY = TCyBinaryProtocolFactory()

_FIELDS: dict[type, str] = {
    messages.Challenge: "challenge",
    messages.Proof: "proof",
    messages.Status: "status",
    messages.StatusAck: "status_ack",
    messages.Transfers: "transfers",
    messages.TransferAcks: "transfer_acks",
    messages.RightsRequest: "rights_request",
    messages.RelayRequest: "relay_request",
    messages.Relay: "relay",
    messages.ClaimAsk: "claim_ask",
    messages.ClaimAnswer: "claim_answer",
    messages.ClaimSync: "claim_sync",
    messages.Leaving: "leaving",
}


class FrameError(ValueError):
    """Bytes that are no frame of this protocol."""


def name_message(message: Any) -> str:
    """Returns the field name of `message` in a frame, for metrics."""
    return _FIELDS[type(message)]


def encode_frame(sequence: int, message: Any) -> bytes:
    """Returns one frame without length and MAC."""
    frame = messages.Frame(sequence=sequence)
    setattr(frame, _FIELDS[type(message)], message)
    return utils.serialize(frame, proto_factory=_FACTORY)


def decode_frame(data: bytes) -> tuple[int, Any]:
    """Returns sequence number and message of a frame.

    Raises:
        FrameError: The bytes hold no frame with exactly one known message.
    """
    try:
        frame = utils.deserialize(
            messages.Frame(), data, proto_factory=_FACTORY
        )
    except Exception as error:
        raise FrameError(f"undecodable frame: {error}") from error
    found = [
        message
        for field in _FIELDS.values()
        if (message := getattr(frame, field)) is not None
    ]
    if len(found) != 1 or frame.sequence is None:
        raise FrameError(f"frame holds {len(found)} messages")
    return frame.sequence, found[0]


def pack_frame(body: bytes, mac: bytes = b"") -> bytes:
    """Returns `body` with its MAC and length in front."""
    return _LENGTH.pack(len(mac) + len(body)) + mac + body


class FrameReader:
    """Cuts a byte stream into frames."""

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the frames completed by `data`, MAC included.

        Raises:
            FrameError: A frame announces more than `MAX_FRAME_BYTES`.
        """
        self._buffer += data
        frames = []
        while len(self._buffer) >= _LENGTH.size:
            (size,) = _LENGTH.unpack_from(self._buffer)
            if size > MAX_FRAME_BYTES:
                raise FrameError(f"frame of {size} bytes")
            end = _LENGTH.size + size
            if len(self._buffer) < end:
                break
            frames.append(bytes(self._buffer[_LENGTH.size : end]))
            del self._buffer[:end]
        return frames


if __name__ == "__main__":
    example = encode_frame(1, messages.StatusAck(sequence=7))
    print(len(example), decode_frame(example))
