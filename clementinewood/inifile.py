"""Reads INI text with line numbers and reports every error, not the first."""

import configparser
import dataclasses
from collections.abc import Callable, Iterator, Mapping
from typing import Any, Final

from clementinewood import fault

REQUIRED: Final = object()
"""Default of an option that must be given."""


@dataclasses.dataclass(frozen=True, slots=True)
class Value:
    """An option's value as written, and its line number from 1."""

    text: str
    line: int


@dataclasses.dataclass(frozen=True, slots=True)
class Section:
    """One section.

    Attributes:
        name: Whole text between the brackets.
        line: Line number of the header, from 1.
        options: Values by option name.
    """

    name: str
    line: int
    options: Mapping[str, Value]

    @property
    def kind(self) -> str:
        """The first word of the name."""
        return self.name.partition(" ")[0]

    @property
    def label(self) -> str:
        """The name after its first word."""
        return self.name.partition(" ")[2].strip()


@dataclasses.dataclass(frozen=True, slots=True)
class Option:
    """How to parse one option.

    Attributes:
        parse: Returns the value of a text; raises ValueError.
        allowed: Description of the allowed values, shown in errors.
        default: Value when the option is missing; `REQUIRED` for none.
    """

    parse: Callable[[str], Any]
    allowed: str
    default: Any = REQUIRED


class _Reader(configparser.RawConfigParser):
    """Records the line number of every section and option.

    configparser reports neither. It reads lines one at a time and calls
    `optionxform` for each option that it finds, so the line iterator and that
    hook both know the current line.
    """

    def __init__(self, source: str) -> None:
        super().__init__(
            strict=False,
            delimiters=("=",),
            comment_prefixes=("#", ";"),
            empty_lines_in_values=False,
            default_section="",
        )
        self.faults: list[fault.Fault] = []
        self.section_lines: dict[str, int] = {}
        self.option_lines: dict[tuple[str, str], int] = {}
        self._source = source
        self._line = 0
        self._section = ""
        self._reading = True

    def read_lines(self, lines: list[str]) -> None:
        """Reads all lines and collects errors in `faults`."""
        try:
            self.read_file(self._track_lines(lines), self._source)
        except configparser.ParsingError as error:
            for line, text in error.errors:
                self._add_fault(
                    fault.Code.SYNTAX,
                    line,
                    "not a section, an option or a comment",
                    value=text.strip("'").removesuffix("\\n"),
                    allowed="[section], option = value, # comment",
                )
        except configparser.Error as error:
            self._add_fault(
                fault.Code.SYNTAX, self._line, f"unreadable: {error.message}"
            )
        self._reading = False

    def optionxform(self, optionstr: str) -> str:
        name = optionstr.strip().lower()
        if self._reading:
            key = (self._section, name)
            if key in self.option_lines:
                self._add_fault(
                    fault.Code.DUPLICATE,
                    self._line,
                    f"option was given on line {self.option_lines[key]}",
                    option=name,
                )
            else:
                self.option_lines[key] = self._line
        return name

    def _track_lines(self, lines: list[str]) -> Iterator[str]:
        for number, line in enumerate(lines, start=1):
            self._line = number
            text = line.strip()
            header = self.SECTCRE.match(text)
            if header is not None and (
                line[0] != "[" or header.group() != text
            ):
                # configparser ignores text after a header, and reads an
                # indented header as a value or as a header, depending on the
                # lines before it.
                self._add_fault(
                    fault.Code.SYNTAX,
                    number,
                    "a section header stands alone on its line, not indented",
                    value=text,
                )
                line = "\n"
            elif header is not None:
                name = " ".join(header.group("header").split())
                self._record_section(name)
                line = f"[{name}]\n"
            elif not self._section and text and text[0] not in "#;":
                self._add_fault(
                    fault.Code.SYNTAX,
                    number,
                    "text before the first section",
                    value=text,
                )
                line = "\n"
            yield line

    def _record_section(self, name: str) -> None:
        self._section = name
        if name in self.section_lines:
            self._add_fault(
                fault.Code.DUPLICATE,
                self._line,
                f"section was given on line {self.section_lines[name]}",
            )
        else:
            self.section_lines[name] = self._line

    def _add_fault(
        self,
        code: fault.Code,
        line: int,
        detail: str,
        *,
        option: str = "",
        value: str = "",
        allowed: str = "",
    ) -> None:
        self.faults.append(
            fault.Fault(
                code=code,
                detail=detail,
                source=self._source,
                section=self._section,
                option=option,
                value=value,
                allowed=allowed,
                line=line,
            )
        )


def read_sections(
    text: str, source: str, faults: list[fault.Fault]
) -> list[Section]:
    """Reads INI text.

    Args:
        text: The whole text.
        source: Name used in errors.
        faults: List to which syntax errors are appended.

    Returns:
        The sections that could be read, in the order of the text.
    """
    reader = _Reader(source)
    # Split on "\n" only, as configparser does: the other separators of
    # str.splitlines would shift the line numbers.
    reader.read_lines([line + "\n" for line in text.split("\n")])
    faults.extend(reader.faults)
    return [
        Section(
            name,
            line,
            {
                option: Value(value, reader.option_lines[name, option])
                for option, value in reader.items(name)
            },
        )
        for name, line in reader.section_lines.items()
        if reader.has_section(name)
    ]


def read_options(
    section: Section,
    options: Mapping[str, Option],
    source: str,
    faults: list[fault.Fault],
) -> dict[str, Any] | None:
    """Reads the options of one section.

    Args:
        section: The section.
        options: Known options.
        source: Name used in errors.
        faults: List to which errors are appended.

    Returns:
        Values by option name, or None when any option has an error.
    """
    before = len(faults)
    for name, value in section.options.items():
        if name not in options:
            faults.append(
                fault.Fault(
                    code=fault.Code.UNKNOWN_OPTION,
                    detail="unknown option",
                    source=source,
                    section=section.name,
                    option=name,
                    value=value.text,
                    allowed=", ".join(options),
                    line=value.line,
                    suggestion=fault.find_near_match(name, options),
                )
            )
    values: dict[str, Any] = {}
    for name, option in options.items():
        given = section.options.get(name)
        if given is None:
            if option.default is REQUIRED:
                faults.append(
                    fault.Fault(
                        code=fault.Code.MISSING,
                        detail="option is missing",
                        source=source,
                        section=section.name,
                        option=name,
                        allowed=option.allowed,
                        line=section.line,
                    )
                )
            values[name] = option.default
            continue
        try:
            values[name] = option.parse(given.text)
        except ValueError as error:
            faults.append(
                fault.Fault(
                    code=fault.Code.VALUE,
                    detail=str(error) or "value is not allowed",
                    source=source,
                    section=section.name,
                    option=name,
                    value=given.text,
                    allowed=option.allowed,
                    line=given.line,
                )
            )
    return values if len(faults) == before else None


if __name__ == "__main__":
    found: list[fault.Fault] = []
    for part in read_sections("[zone a]\nstate = in\nbad\n", "example", found):
        print(part)
    for item in found:
        print(item.render())
