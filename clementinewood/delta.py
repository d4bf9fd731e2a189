"""Encodes the differences between two INI texts, section by section."""

import difflib
import json
import re
import zlib

MAX_TEXT_BYTES = 16 << 20
"""Maximum size of a bundle; one for 12,000 workers is well below 1 MB."""

_BLOCK_START = re.compile(r"^(?=\[|# clementinewood-)", re.MULTILINE)


def compress(text: str) -> bytes:
    """Returns the compressed bytes of `text`."""
    return zlib.compress(text.encode(), 9)


def decompress(data: bytes) -> str:
    """Returns the text that `compress` compressed.

    Raises:
        ValueError: The data is malformed or exceeds `MAX_TEXT_BYTES`.
    """
    inflater = zlib.decompressobj()
    try:
        raw = inflater.decompress(data, MAX_TEXT_BYTES)
    except zlib.error as error:
        raise ValueError(f"not compressed data: {error}") from None
    if not inflater.eof or inflater.unused_data:
        raise ValueError(
            "compressed data is truncated, has trailing bytes or decompresses "
            f"to more than {MAX_TEXT_BYTES} bytes"
        )
    return raw.decode()


def encode_delta(base: str, text: str) -> bytes:
    """Returns the delta from `base` to `text`, as edits of sections."""
    before, after = _split_blocks(base), _split_blocks(text)
    matcher = difflib.SequenceMatcher(None, before, after, autojunk=False)
    edits = [
        [start, end, "".join(after[low:high])]
        for tag, start, end, low, high in matcher.get_opcodes()
        if tag != "equal"
    ]
    return compress(json.dumps(edits, separators=(",", ":")))


def apply_delta(base: str, data: bytes) -> str:
    """Returns the text that results from applying a delta to `base`.

    Raises:
        ValueError: The data is malformed or its edits do not fit `base`.
    """
    try:
        edits = json.loads(decompress(data))
    except RecursionError:
        raise ValueError("delta is nested too deeply") from None
    blocks = _split_blocks(base)
    parts: list[str] = []
    position = 0
    if not isinstance(edits, list):
        raise ValueError("delta is not a list of edits")
    for edit in edits:
        match edit:
            case [int(start), int(end), str(text)] if (
                position <= start <= end <= len(blocks)
            ):
                parts += blocks[position:start]
                parts.append(text)
                position = end
            case _:
                raise ValueError(
                    f"delta edit is malformed or out of range: {edit!r}"
                )
    parts += blocks[position:]
    return "".join(parts)


def _split_blocks(text: str) -> list[str]:
    return [block for block in _BLOCK_START.split(text) if block]


if __name__ == "__main__":
    old = "[a]\nx = 1\n[b]\ny = 2\n"
    new = "[a]\nx = 1\n[b]\ny = 3\n"
    change = encode_delta(old, new)
    print(len(change), apply_delta(old, change) == new)
