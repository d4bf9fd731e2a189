"""Describes errors in an input, for the `Failure` of a `returns` result."""

import dataclasses
import difflib
import enum
from collections.abc import Iterable


class Code(enum.Enum):
    """Kind of error for which an input was rejected."""

    SYNTAX = "syntax"
    UNKNOWN_SECTION = "unknown-section"
    UNKNOWN_OPTION = "unknown-option"
    MISSING = "missing"
    DUPLICATE = "duplicate"
    VALUE = "value"
    CONFLICT = "conflict"
    UNREADABLE = "unreadable"
    SIGNATURE = "signature"
    EXPIRED = "expired"
    RECORD_FOREIGN = "record-foreign"
    RECORD_MAC = "record-mac"
    RECORD_FORMAT = "record-format"
    RECORD_KIND = "record-kind"
    RECORD_PAYLOAD = "record-payload"
    SNAPSHOT = "snapshot"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Fault:
    """One error in an input.

    Attributes:
        code: Kind of the error.
        detail: Description of the error, without the final period.
        source: File name or other origin of the input.
        section: INI section.
        option: INI option.
        value: The value as written.
        allowed: Description of the allowed values.
        line: Line number, from 1.
        suggestion: Known name closest to an unknown one.
    """

    code: Code
    detail: str
    source: str = ""
    section: str = ""
    option: str = ""
    value: str = ""
    allowed: str = ""
    line: int | None = None
    suggestion: str = ""

    def render(self) -> str:
        """Returns the error as one line of text for operators."""
        place = self.source
        if self.line is not None:
            place += f":{self.line}"
        parts = [f"{place}: " if place else ""]
        if self.section:
            parts.append(f"[{self.section}] ")
        if self.option:
            parts.append(f"{self.option}: ")
        parts.append(self.detail)
        if self.value:
            parts.append(f", got {self.value!r}")
        if self.allowed:
            parts.append(f", allowed: {self.allowed}")
        if self.suggestion:
            parts.append(f", did you mean {self.suggestion!r}?")
        return "".join(parts)


def find_near_match(name: str, known: Iterable[str]) -> str:
    """Returns the known name closest to `name`, or an empty string."""
    matches = difflib.get_close_matches(name, list(known), n=1)
    return matches[0] if matches else ""


if __name__ == "__main__":
    print(
        Fault(
            code=Code.UNKNOWN_OPTION,
            detail="unknown option",
            source="guild.ini",
            section="team sails",
            option="limt",
            suggestion=find_near_match("limt", ["limit", "share"]),
            line=12,
        ).render()
    )
