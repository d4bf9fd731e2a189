"""Differences between two texts made of INI sections, as bytes."""

import difflib
import json
import re
import zlib

MAX_TEXT_BYTES = 16 << 20
"""A bundle for 12,000 workers has well under 1 MB; more is not a bundle."""

_BLOCK_START = re.compile(r"^(?=\[|# clementinewood-)", re.MULTILINE)


def compress(text: str) -> bytes:
    """Returns `text` in a form that `decompress` reads."""
    return zlib.compress(text.encode(), 9)


def decompress(data: bytes) -> str:
    """Reads what `compress` wrote.

    Raises:
        ValueError: The data is malformed or too long.
    """
    inflater = zlib.decompressobj()
    try:
        raw = inflater.decompress(data, MAX_TEXT_BYTES)
    except zlib.error as error:
        raise ValueError(f"not compressed data: {error}") from None
    if not inflater.eof or inflater.unused_data:
        raise ValueError("compressed data is cut short, too long or followed")
    return raw.decode()


def encode_delta(base: str, text: str) -> bytes:
    """Returns what turns `base` into `text`, section by section."""
    before, after = _split_blocks(base), _split_blocks(text)
    matcher = difflib.SequenceMatcher(None, before, after, autojunk=False)
    edits = [
        [start, end, "".join(after[low:high])]
        for tag, start, end, low, high in matcher.get_opcodes()
        if tag != "equal"
    ]
    return compress(json.dumps(edits, separators=(",", ":")))


def apply_delta(base: str, data: bytes) -> str:
    """Returns the text that `data` makes of `base`.

    Raises:
        ValueError: The data is malformed or made against another text.
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
                raise ValueError("delta holds an edit that does not apply")
    parts += blocks[position:]
    return "".join(parts)


def _split_blocks(text: str) -> list[str]:
    return [block for block in _BLOCK_START.split(text) if block]


if __name__ == "__main__":
    old = "[a]\nx = 1\n[b]\ny = 2\n"
    new = "[a]\nx = 1\n[b]\ny = 3\n"
    change = encode_delta(old, new)
    print(len(change), apply_delta(old, change) == new)
