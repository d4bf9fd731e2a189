"""Parses and validates the INI settings of one entry process."""

import dataclasses
import enum
import ipaddress
import re
import sys
import typing
from collections.abc import Mapping
from typing import Annotated, Any

import pydantic
from returns import result

from clementinewood import edge, fault, inifile, signature
from clementinewood.identifiers import EntryId, ZoneId

Address = tuple[str, int]

_NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")


class LogLevel(enum.Enum):
    """Lowest severity that is logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class LogFormat(enum.Enum):
    """Format of log lines."""

    TEXT = "text"
    JSON = "json"


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one entry process.

    Attributes:
        entry: Configured name of this entry.
        zone: Availability zone of this host.
        callers: Address that callers and operators connect to.
        peers: Address that other entries connect to.
        log: Address of the platform's log.
        hosts: Address of the platform's host list.
        cluster_key: Secret of at least 32 bytes that all entries of the site
            share.
        others: Peer addresses of the other entries.
        operators: Public keys that may sign bundles, by operator.
        operator_token: SHA-256 of the token that the operators' pages
            require; None admits everyone who can reach this entry.
        edge_limits: Limits on callers' connections and requests.
        log_level: Lowest severity that is logged.
        log_format: Format of log lines.
    """

    entry: EntryId
    zone: ZoneId
    callers: Address
    peers: Address
    log: Address
    hosts: Address
    cluster_key: bytes = dataclasses.field(repr=False)
    others: Mapping[EntryId, Address]
    operators: Mapping[str, signature.OperatorKey]
    operator_token: bytes | None
    edge_limits: edge.EdgeLimits
    log_level: LogLevel
    log_format: LogFormat


def parse_address(text: str) -> Address:
    """Returns the address in `IP:PORT`.

    Raises:
        ValueError: The text is not an IPv4 address and a port.
    """
    host, colon, port = text.rpartition(":")
    if not colon or not re.fullmatch(r"[0-9]{1,5}", port):
        raise ValueError("not an IP address and a port")
    if not 0 < int(port) < 65536:
        raise ValueError("port out of range")
    try:
        return str(ipaddress.IPv4Address(host)), int(port)
    except ValueError:
        # Host names are not resolved: a DNS lookup would block the event
        # loop.
        raise ValueError("not an IPv4 address") from None


def _check_name(text: str) -> str:
    if not _NAME.fullmatch(text):
        raise ValueError("not a name")
    return text


def _parse_cluster_key(text: str) -> bytes:
    try:
        key = bytes.fromhex(text)
    except ValueError:
        raise ValueError("not hexadecimal") from None
    if len(key) < signature.MIN_CLUSTER_KEY_BYTES:
        raise ValueError("key is too short")
    return key


def _parse_digest(text: str) -> bytes:
    prefix, _, digits = text.partition(":")
    if prefix != "sha256" or not re.fullmatch(r"[0-9a-f]{64}", digits):
        raise ValueError("not a SHA-256 digest")
    return bytes.fromhex(digits)


_NAME_RULE = "a name of a-z, 0-9, '.', '_' and '-'"
_ADDRESS_RULE = "an IPv4 address and a port, such as 10.0.0.1:8080"
_OPERATOR_RULE = "public key in base64 and expiry time in Unix seconds"

_NameOption = Annotated[
    str,
    pydantic.AfterValidator(_check_name),
    pydantic.Field(description=_NAME_RULE),
]
_AddressOption = Annotated[
    Address,
    pydantic.BeforeValidator(parse_address),
    pydantic.Field(description=_ADDRESS_RULE),
]
_KeyOption = Annotated[
    bytes,
    pydantic.BeforeValidator(_parse_cluster_key),
    pydantic.Field(description="at least 64 hexadecimal digits"),
]
_TokenOption = Annotated[
    bytes,
    pydantic.BeforeValidator(_parse_digest),
    pydantic.Field(description="sha256: and 64 hexadecimal digits"),
]


def _create_range(low: float, high: float, unit: str) -> Any:
    return pydantic.Field(
        ge=low, le=high, description=f"{low} to {high} {unit}"
    )


class _Section(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class _EntrySection(_Section):
    id: _NameOption
    zone: _NameOption
    callers: _AddressOption
    peers: _AddressOption
    log: _AddressOption
    hosts: _AddressOption
    cluster_key: _KeyOption
    operator_token: _TokenOption | None = None


_DEFAULTS = edge.EdgeLimits()


class _EdgeSection(_Section):
    header_bytes: Annotated[int, _create_range(1024, 1 << 20, "bytes")] = (
        _DEFAULTS.header_bytes
    )
    body_bytes: Annotated[int, _create_range(0, 64 << 20, "bytes")] = (
        _DEFAULTS.body_bytes
    )
    pipelined_bytes: Annotated[int, _create_range(1024, 16 << 20, "bytes")] = (
        _DEFAULTS.pipelined_bytes
    )
    connections: Annotated[int, _create_range(1, 100000, "connections")] = (
        _DEFAULTS.connections
    )
    connections_per_address: Annotated[
        int, _create_range(1, 100000, "connections")
    ] = _DEFAULTS.connections_per_address
    request_seconds: Annotated[float, _create_range(0.1, 3600, "seconds")] = (
        _DEFAULTS.request_seconds
    )
    idle_seconds: Annotated[float, _create_range(0.1, 3600, "seconds")] = (
        _DEFAULTS.idle_seconds
    )


class _LoggingSection(_Section):
    level: Annotated[
        LogLevel,
        pydantic.Field(description=", ".join(i.value for i in LogLevel)),
    ] = LogLevel.INFO
    format: Annotated[
        LogFormat,
        pydantic.Field(description=", ".join(i.value for i in LogFormat)),
    ] = LogFormat.TEXT


_MODELS: dict[str, type[_Section]] = {
    "entry": _EntrySection,
    "edge": _EdgeSection,
    "logging": _LoggingSection,
}
_MAP_SECTIONS = ("peers", "operators")
_KNOWN_SECTIONS = (*_MODELS, *_MAP_SECTIONS)
_REQUIRED_SECTIONS = ("entry", "operators")


class _Parser:
    """Parses one settings text and collects every error in `faults`."""

    def __init__(self, source: str) -> None:
        self.source = source
        self.faults: list[fault.Fault] = []
        self._sections: dict[str, inifile.Section] = {}

    def parse(self, text: str) -> Settings | None:
        """Returns the settings, or None when `faults` has entries."""
        for section in inifile.read_sections(text, self.source, self.faults):
            if section.name in _KNOWN_SECTIONS:
                self._sections[section.name] = section
            else:
                self._add(
                    fault.Code.UNKNOWN_SECTION,
                    "unknown section",
                    section=section,
                    allowed=", ".join(_KNOWN_SECTIONS),
                    suggestion=fault.find_near_match(
                        section.name, _KNOWN_SECTIONS
                    ),
                )
        for name in _REQUIRED_SECTIONS:
            if name not in self._sections:
                self._add(fault.Code.MISSING, f"no [{name}] section")
        models = {name: self._validate(name) for name in _MODELS}
        others = self._read_peers()
        operators = self._read_operators()
        main = models["entry"]
        if isinstance(main, _EntrySection):
            self._check_addresses(main, others)
        if self.faults:
            return None
        assert isinstance(main, _EntrySection)
        limits = typing.cast(_EdgeSection, models["edge"])
        logging = typing.cast(_LoggingSection, models["logging"])
        return Settings(
            entry=EntryId(main.id),
            zone=ZoneId(main.zone),
            callers=main.callers,
            peers=main.peers,
            log=main.log,
            hosts=main.hosts,
            cluster_key=main.cluster_key,
            others=others,
            operators=operators,
            operator_token=main.operator_token,
            edge_limits=edge.EdgeLimits(**limits.model_dump()),
            log_level=logging.level,
            log_format=logging.format,
        )

    def _add(
        self,
        code: fault.Code,
        detail: str,
        *,
        section: inifile.Section | None = None,
        option: str = "",
        allowed: str = "",
        suggestion: str = "",
    ) -> None:
        given = None if section is None else section.options.get(option)
        line = None
        if section is not None:
            line = section.line if given is None else given.line
        # An error message may be logged, so it must not hold the key.
        secret = option == "cluster_key"
        self.faults.append(
            fault.Fault(
                code=code,
                detail=detail,
                source=self.source,
                section="" if section is None else section.name,
                option=option,
                value="" if given is None or secret else given.text,
                allowed=allowed,
                line=line,
                suggestion=suggestion,
            )
        )

    def _validate(self, name: str) -> _Section | None:
        model = _MODELS[name]
        section = self._sections.get(name)
        if section is None:
            return None if name in _REQUIRED_SECTIONS else model()
        values = {key: value.text for key, value in section.options.items()}
        try:
            return model.model_validate(values)
        except pydantic.ValidationError as error:
            for item in error.errors():
                self._add_invalid(model, section, item)
        return None

    def _add_invalid(
        self, model: type[_Section], section: inifile.Section, item: Any
    ) -> None:
        """Adds a fault for an error of pydantic."""
        option = str(item["loc"][0])
        field = model.model_fields.get(option)
        if field is None:
            self._add(
                fault.Code.UNKNOWN_OPTION,
                "unknown option",
                section=section,
                option=option,
                allowed=", ".join(model.model_fields),
                suggestion=fault.find_near_match(option, model.model_fields),
            )
            return
        missing = item["type"] == "missing"
        detail = item["msg"].removeprefix("Value error, ")
        self._add(
            fault.Code.MISSING if missing else fault.Code.VALUE,
            "option is missing" if missing else detail,
            section=section,
            option=option,
            allowed=field.description or "",
        )

    def _read_peers(self) -> dict[EntryId, Address]:
        section = self._sections.get("peers")
        others: dict[EntryId, Address] = {}
        for name, value in section.options.items() if section else ():
            try:
                others[EntryId(_check_name(name))] = parse_address(value.text)
            except ValueError as error:
                self._add(
                    fault.Code.VALUE,
                    str(error),
                    section=section,
                    option=name,
                    allowed=f"entry name = {_ADDRESS_RULE}",
                )
        return others

    def _read_operators(self) -> dict[str, signature.OperatorKey]:
        section = self._sections.get("operators")
        operators: dict[str, signature.OperatorKey] = {}
        for name, value in section.options.items() if section else ():
            try:
                operators[name] = signature.parse_operator_key(
                    f"{name} {value.text}"
                )
            except ValueError as error:
                self._add(
                    fault.Code.VALUE,
                    str(error),
                    section=section,
                    option=name,
                    allowed=_OPERATOR_RULE,
                )
        if section is not None and not section.options:
            self._add(
                fault.Code.MISSING,
                "no operator could sign a bundle",
                section=section,
                allowed=f"at least one: NAME = {_OPERATOR_RULE}",
            )
        return operators

    def _check_addresses(
        self, main: _EntrySection, others: Mapping[EntryId, Address]
    ) -> None:
        if main.callers == main.peers:
            self._add(
                fault.Code.CONFLICT,
                "callers and peers need different addresses",
                section=self._sections["entry"],
                option="peers",
            )
        owner: dict[Address, str] = {main.peers: main.id}
        for name, address in others.items():
            section = self._sections["peers"]
            if name == main.id:
                if address != main.peers:
                    self._add(
                        fault.Code.CONFLICT,
                        "this entry itself, with another address",
                        section=section,
                        option=name,
                        allowed=f"{main.peers[0]}:{main.peers[1]}",
                    )
                continue
            first = owner.setdefault(address, name)
            if first != name:
                self._add(
                    fault.Code.CONFLICT,
                    f"the address is that of entry {first!r}",
                    section=section,
                    option=name,
                    allowed="a different address for each entry",
                )


def parse_settings(
    text: str, source: str = "settings"
) -> result.Result[Settings, tuple[fault.Fault, ...]]:
    """Parses and checks settings.

    `[peers]` may list this entry too, so that all entries of a site can share
    one list; `Settings.others` leaves it out.

    Args:
        text: INI text.
        source: Name used in errors.

    Returns:
        The settings, or every error found, in the order of the text.
    """
    parser = _Parser(source)
    parsed = parser.parse(text)
    if parsed is None:
        ordered = sorted(parser.faults, key=lambda item: item.line or 0)
        return result.Failure(tuple(ordered))
    others = {
        name: address
        for name, address in parsed.others.items()
        if name != parsed.entry
    }
    return result.Success(dataclasses.replace(parsed, others=others))


def read_settings(
    path: str,
) -> result.Result[Settings, tuple[fault.Fault, ...]]:
    """Parses and checks the settings in file `path`."""
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        unreadable = fault.Fault(
            code=fault.Code.UNREADABLE, detail=str(error), source=path
        )
        return result.Failure((unreadable,))
    return parse_settings(text, path)


if __name__ == "__main__":
    match read_settings(sys.argv[1]):
        case result.Success(value):
            print(value)
        case result.Failure(faults):
            print("\n".join(item.render() for item in faults))
