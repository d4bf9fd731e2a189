"""Parses, checks and compares bundles.

A bundle is the versioned configuration that operators sign and roll out.
"""

import dataclasses
import enum
import math
import re
import sys
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any

from returns import result

from clementinewood import fault, inifile
from clementinewood.identifiers import (
    CustomerId,
    KeyId,
    PoolId,
    QueueId,
    ServiceId,
    TeamId,
    WorkerId,
    ZoneId,
)

OPEN_TEAM = TeamId("open")
"""Team of requests without a key, which only open queues accept."""

SHARE_TOLERANCE = 1e-6
"""Excess over 1 that the sum of the shares may have, since shares such as
1/3 have no exact decimal form."""

MAX_RANGE = 20000
"""Most workers that one range may name; a longer range is taken for a
typing error."""


MAX_RUN_LIMIT = 120.0
"""Longest run limit, in seconds.

The escrow tokens of a failed entry are reclaimed only after the longest run
that it may have started, so a higher limit leaves them unused for longer.
"""


class ZoneState(enum.Enum):
    """Whether an availability zone may run work."""

    IN = "in"
    OUT = "out"


class Priority(enum.Enum):
    """Priority class of a queue's requests."""

    URGENT = "urgent"
    INTERACTIVE = "interactive"
    OVERNIGHT = "overnight"


class KeyState(enum.Enum):
    """Whether a caller's key is accepted."""

    GRANTED = "granted"
    REVOKED = "revoked"


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneSpec:
    """An availability zone."""

    state: ZoneState
    region: str


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A service.

    Attributes:
        slots: Requests that one minion runs concurrently.
        connections: Connections that one minion accepts.
        run_limit: Seconds after which a minion stops a request.
    """

    slots: int
    connections: int
    run_limit: float


@dataclasses.dataclass(frozen=True, slots=True)
class PoolSpec:
    """A pool of workers.

    Attributes:
        service: Service that the workers' minions run.
        workers: Workers assigned initially, before pools lend any.
        spare: Whether other pools borrow from this one first.
        max_unavailable: Workers that may be unavailable at the same time.
        max_unavailable_zone: The same limit while a whole zone is out.
    """

    service: ServiceId
    workers: tuple[WorkerId, ...]
    spare: bool
    max_unavailable: int
    max_unavailable_zone: int


@dataclasses.dataclass(frozen=True, slots=True)
class QueueSpec:
    """A queue of requests.

    Attributes:
        pool: Pool that serves the queue.
        teams: Teams whose keys are accepted.
        open: Whether requests without a key are accepted.
        priority: Priority class of its requests.
        capacity: Requests that may wait in the queue.
        run_limit: Seconds that one request may run.
        max_attempts: Attempts per request, the first included.
        closing: Whether new requests are rejected while queued ones still
            run; a queue may be removed only in this state.
    """

    pool: PoolId
    teams: frozenset[TeamId]
    open: bool
    priority: Priority
    capacity: int
    run_limit: float
    max_attempts: int
    closing: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class TeamSpec:
    """A team.

    Attributes:
        share: Fraction of the fleet's slots, above 0 and up to 1, that the
            team gets when the fleet is full.
        limit: Requests that may run at the same time in the whole fleet.
    """

    share: float
    limit: int


@dataclasses.dataclass(frozen=True, slots=True)
class KeySpec:
    """A caller's key; the bundle holds its digest, never the secret."""

    team: TeamId
    customer: CustomerId
    digest: bytes
    state: KeyState


@dataclasses.dataclass(frozen=True, slots=True)
class MaintenanceSpec:
    """Maintenance of hosts.

    Attributes:
        interval: Seconds within which every host is maintained once.
        duration: Seconds for one host, including drain and return.
        pause_unavailable: Fraction of the fleet whose unplanned
            unavailability pauses maintenance.
    """

    interval: float = 42 * 86400.0
    duration: float = 1800.0
    pause_unavailable: float = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutSpec:
    """Roll-out in waves, one zone after another.

    Attributes:
        zones: Order of the zones; zones not listed follow, sorted by name.
        soak: Seconds of healthy signals before the next zone starts.
        halt_failures: Fraction of requests that may fail before the roll
            halts.
    """

    zones: tuple[ZoneId, ...] = ()
    soak: float = 10.0
    halt_failures: float = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Bundle:
    """One version of everything operators declare."""

    version: int
    site: str
    zones: Mapping[ZoneId, ZoneSpec]
    services: Mapping[ServiceId, ServiceSpec]
    pools: Mapping[PoolId, PoolSpec]
    queues: Mapping[QueueId, QueueSpec]
    teams: Mapping[TeamId, TeamSpec]
    keys: Mapping[KeyId, KeySpec]
    maintenance: MaintenanceSpec = MaintenanceSpec()
    rollout: RolloutSpec = RolloutSpec()

    @property
    def total_slots(self) -> int:
        """Slots of all workers by their initial assignment."""
        return sum(
            len(pool.workers) * self.services[pool.service].slots
            for pool in self.pools.values()
        )


class ChangeKind(enum.Enum):
    """How a declared item differs between two bundles."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One difference between two bundles.

    Attributes:
        kind: How the item differs.
        section: Kind of section, such as `team`.
        name: Name of the item; empty for sections without names.
        option: Option that changed; empty when the item was added or removed.
        old: Value before; None when added.
        new: Value after; None when removed.
    """

    kind: ChangeKind
    section: str
    name: str
    option: str = ""
    old: Any = None
    new: Any = None

    def describe(self) -> str:
        """Returns the change as a phrase for operators."""
        item = f"{self.section} {self.name}".strip()
        match self:
            case Change(kind=ChangeKind.ADDED):
                return f"{item} is added"
            case Change(kind=ChangeKind.REMOVED):
                return f"{item} is removed"
            case Change(section="zone", option="state", new=ZoneState.OUT):
                return f"{item} is taken out of service"
            case Change(section="zone", option="state"):
                return f"{item} is brought back into service"
            case Change(section="key", option="state", new=KeyState.REVOKED):
                return f"{item} is revoked"
            case Change(section="key", option="state"):
                return f"{item} is granted again"
            case Change(old=tuple() | frozenset(), new=tuple() | frozenset()):
                return f"{item}: {self.option} {self._describe_members()}"
        old, new = _render_value(self.old), _render_value(self.new)
        direction = "changes"
        if isinstance(self.old, int | float) and not isinstance(self.old, bool):
            direction = "rises" if self.new > self.old else "falls"
        return f"{item}: {self.option} {direction} from {old} to {new}"

    def _describe_members(self) -> str:
        gained = sorted(set(self.new) - set(self.old))
        lost = sorted(set(self.old) - set(self.new))
        parts = []
        if gained:
            parts.append("gains " + ", ".join(gained))
        if lost:
            parts.append("loses " + ", ".join(lost))
        return " and ".join(parts) or "changes its order"


def _render_value(value: object) -> str:
    match value:
        case enum.Enum():
            return str(value.value)
        case bool():
            return "yes" if value else "no"
        case bytes():
            return f"sha256:{value.hex()[:8]}..."
        case float():
            return f"{value:g}"
    return str(value)


_NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
_RANGE = re.compile(r"\[(\d+)-(\d+)\]")
_DURATION = re.compile(r"(\d+(?:\.\d+)?)\s*(ms|s|m|h|d)?")
_UNITS = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0, "d": 86400.0, "": 1.0}


def _parse_name(text: str) -> str:
    if not _NAME.fullmatch(text):
        raise ValueError("not a name")
    return text


def _parse_int(low: int, high: int) -> Callable[[str], int]:
    def parse(text: str) -> int:
        # int() also accepts "1_0", whitespace and non-ASCII digits.
        if not re.fullmatch(r"[0-9]{1,12}", text):
            raise ValueError("not a whole number")
        if not low <= int(text) <= high:
            raise ValueError("number out of range")
        return int(text)

    return parse


def _parse_fraction(text: str) -> float:
    if not re.fullmatch(r"[0-9]*\.?[0-9]+", text):
        raise ValueError("not a number")
    if not 0 < float(text) <= 1:
        raise ValueError("number out of range")
    return float(text)


def _parse_duration(text: str) -> float:
    match = _DURATION.fullmatch(text)
    if match is None:
        raise ValueError("not a duration")
    seconds = float(match[1]) * _UNITS[match[2] or ""]
    if not 0 < seconds <= 366 * 86400:
        raise ValueError("duration out of range")
    return seconds


def _parse_run_limit(text: str) -> float:
    seconds = _parse_duration(text)
    if seconds > MAX_RUN_LIMIT:
        raise ValueError("run limit out of range")
    return seconds


def _parse_flag(text: str) -> bool:
    if text not in ("yes", "no"):
        raise ValueError("neither yes nor no")
    return text == "yes"


def _parse_enum(kind: type[enum.Enum]) -> Callable[[str], enum.Enum]:
    def parse(text: str) -> enum.Enum:
        try:
            return kind(text)
        except ValueError:
            raise ValueError("unknown value") from None

    return parse


def _split_names(text: str) -> list[str]:
    return [part for part in re.split(r"[,\s]+", text) if part]


def _parse_names(text: str) -> tuple[str, ...]:
    names = _split_names(text)
    for name in names:
        if not _NAME.fullmatch(name):
            raise ValueError(f"{name!r} is not a name")
    if len(set(names)) != len(names):
        raise ValueError("a name is given twice")
    return tuple(names)


def _parse_workers(text: str) -> tuple[str, ...]:
    names = [name for part in _split_names(text) for name in _expand(part)]
    if len(set(names)) != len(names):
        raise ValueError("a worker is named twice")
    return tuple(names)


def _expand(part: str) -> Iterator[str]:
    """Yields the names of `part`, such as `brass-[01-06]`."""
    match = _RANGE.search(part)
    if match is None:
        yield _parse_name(part)
        return
    low, high = int(match[1]), int(match[2])
    if high < low or high - low >= MAX_RANGE:
        raise ValueError(f"range {part!r} is empty or too long")
    for number in range(low, high + 1):
        digits = str(number).zfill(len(match[1]))
        yield _parse_name(part[: match.start()] + digits + part[match.end() :])


def _parse_digest(text: str) -> bytes:
    match = re.fullmatch(r"sha256:([0-9a-f]{64})", text)
    if match is None:
        raise ValueError("not a SHA-256 digest")
    return bytes.fromhex(match[1])


_POSITIVE = "a whole number, 1 to 1000000"
_COUNT = "a whole number, 0 to 1000000"
_NAME_LIST = "names of a-z, 0-9, '.', '_' and '-', separated by commas"
_RUN_LIMIT = "a duration up to 120s"
_DURATION_RULE = "a duration such as 500ms, 30s, 5m, 2h or 42d"
_FLAG = inifile.Option(_parse_flag, "yes or no", False)
_FRACTION = "a number above 0, up to 1"


def _list_values(kind: type[enum.Enum]) -> str:
    return ", ".join(member.value for member in kind)


_OPTIONS: dict[str, dict[str, inifile.Option]] = {
    "bundle": {
        "version": inifile.Option(_parse_int(1, 10**12 - 1), _POSITIVE),
        "site": inifile.Option(_parse_name, "a name"),
    },
    "zone": {
        "state": inifile.Option(
            _parse_enum(ZoneState), _list_values(ZoneState), ZoneState.IN
        ),
        "region": inifile.Option(_parse_name, "a name"),
    },
    "service": {
        "slots": inifile.Option(_parse_int(1, 10**6), _POSITIVE),
        "connections": inifile.Option(_parse_int(1, 10**6), _POSITIVE),
        "run_limit": inifile.Option(_parse_run_limit, _RUN_LIMIT),
    },
    "pool": {
        "service": inifile.Option(_parse_name, "a declared service"),
        "workers": inifile.Option(
            _parse_workers, _NAME_LIST + "; ranges such as w[01-12]"
        ),
        "spare": _FLAG,
        "max_unavailable": inifile.Option(_parse_int(0, 10**6), _COUNT),
        "max_unavailable_zone": inifile.Option(_parse_int(0, 10**6), _COUNT),
    },
    "queue": {
        "pool": inifile.Option(_parse_name, "a declared pool"),
        "teams": inifile.Option(_parse_names, _NAME_LIST, ()),
        "open": _FLAG,
        "priority": inifile.Option(
            _parse_enum(Priority), _list_values(Priority), Priority.INTERACTIVE
        ),
        "capacity": inifile.Option(_parse_int(1, 10**6), _POSITIVE),
        "run_limit": inifile.Option(_parse_duration, _DURATION_RULE),
        "max_attempts": inifile.Option(
            _parse_int(1, 10), "a whole number, 1 to 10", 3
        ),
        "closing": _FLAG,
    },
    "team": {
        "share": inifile.Option(_parse_fraction, _FRACTION),
        "limit": inifile.Option(_parse_int(0, 10**6), _COUNT),
    },
    "key": {
        "team": inifile.Option(_parse_name, "a declared team"),
        "customer": inifile.Option(_parse_name, "a name"),
        "digest": inifile.Option(
            _parse_digest, "sha256: and 64 hexadecimal digits"
        ),
        "state": inifile.Option(
            _parse_enum(KeyState), _list_values(KeyState), KeyState.GRANTED
        ),
    },
    "maintenance": {
        "interval": inifile.Option(
            _parse_duration, _DURATION_RULE, 42 * 86400.0
        ),
        "duration": inifile.Option(_parse_duration, _DURATION_RULE, 1800.0),
        "pause_unavailable": inifile.Option(_parse_fraction, _FRACTION, 0.05),
    },
    "rollout": {
        "zones": inifile.Option(_parse_names, _NAME_LIST, ()),
        "soak": inifile.Option(_parse_duration, _DURATION_RULE, 10.0),
        "halt_failures": inifile.Option(_parse_fraction, _FRACTION, 0.05),
    },
}

_SPECS: dict[str, Callable[..., Any]] = {
    "zone": ZoneSpec,
    "service": ServiceSpec,
    "pool": PoolSpec,
    "queue": lambda teams, **rest: QueueSpec(teams=frozenset(teams), **rest),
    "team": TeamSpec,
    "key": KeySpec,
    "maintenance": MaintenanceSpec,
    "rollout": RolloutSpec,
}
_UNNAMED = ("bundle", "maintenance", "rollout")
_REQUIRED_KINDS = ("bundle", "zone", "service", "pool", "queue", "team")


class _Parser:
    """Parses one bundle text and collects every error in `faults`."""

    def __init__(self, source: str) -> None:
        self.source = source
        self.faults: list[fault.Fault] = []
        self._sections: dict[tuple[str, str], inifile.Section] = {}
        self._specs: dict[str, dict[Any, Any]] = {kind: {} for kind in _OPTIONS}
        self._broken: set[tuple[str, str]] = set()

    def parse(self, text: str) -> Bundle | None:
        """Returns the bundle, or None when `faults` has entries."""
        for section in inifile.read_sections(text, self.source, self.faults):
            self._read_section(section)
        return self._check()

    def resume(self, parts: Iterable[tuple[str, str, Any]]) -> Bundle | None:
        """Returns the bundle of sections that were parsed before.

        Args:
            parts: Kind, name and content of each section, in order.

        Returns:
            None when a section is given twice or `faults` has entries.
        """
        for kind, label, spec in parts:
            if (kind, label) in self._sections:
                return None
            name = f"{kind} {label}".strip()
            self._sections[kind, label] = inifile.Section(name, 0, {})
            self._specs[kind][label] = spec
        return self._check()

    def list_parts(self) -> list[tuple[str, str, Any]]:
        """Returns kind, name and content of each section, in order."""
        return [
            (kind, label, self._specs[kind][label])
            for kind, label in self._sections
        ]

    def read_part(self, block: str) -> tuple[str, str, Any] | None:
        """Returns the only section of `block`, or None when it has errors."""
        for section in inifile.read_sections(block, self.source, self.faults):
            self._read_section(section)
        if self.faults or len(self._sections) != 1:
            return None
        return self.list_parts()[0]

    def _check(self) -> Bundle | None:
        for kind in _REQUIRED_KINDS:
            if not any(found == kind for found, _ in self._sections):
                self._add(
                    fault.Code.MISSING,
                    f"no [{kind}{'' if kind in _UNNAMED else ' NAME'}] section",
                )
        self._check_references()
        self._check_pools()
        self._check_teams()
        self._check_queues()
        self._check_keys()
        if self.faults:
            return None
        specs = self._specs
        return Bundle(
            version=specs["bundle"][""]["version"],
            site=specs["bundle"][""]["site"],
            zones=specs["zone"],
            services=specs["service"],
            pools=specs["pool"],
            queues=specs["queue"],
            teams=specs["team"],
            keys=specs["key"],
            maintenance=specs["maintenance"].get("", MaintenanceSpec()),
            rollout=specs["rollout"].get("", RolloutSpec()),
        )

    def _read_section(self, section: inifile.Section) -> None:
        kind, label = section.kind, section.label
        options = _OPTIONS.get(kind)
        if options is None:
            self._add(
                fault.Code.UNKNOWN_SECTION,
                "unknown section",
                section=section,
                allowed=", ".join(_OPTIONS),
                suggestion=fault.find_near_match(kind, _OPTIONS),
            )
            return
        if kind in _UNNAMED:
            if label:
                self._add(
                    fault.Code.SYNTAX,
                    f"section {kind} takes no name",
                    section=section,
                )
                return
        elif not _NAME.fullmatch(label):
            self._add(
                fault.Code.VALUE,
                f"section {kind} needs a name",
                section=section,
                value=label,
                allowed="a name of a-z, 0-9, '.', '_' and '-'",
            )
            return
        self._sections[kind, label] = section
        values = inifile.read_options(
            section, options, self.source, self.faults
        )
        if values is None:
            self._broken.add((kind, label))
        elif kind == "bundle":
            self._specs[kind][label] = values
        else:
            self._specs[kind][label] = _SPECS[kind](**values)

    def _add(
        self,
        code: fault.Code,
        detail: str,
        *,
        section: inifile.Section | None = None,
        option: str = "",
        value: str | None = None,
        allowed: str = "",
        suggestion: str = "",
    ) -> None:
        line = None
        if section is not None:
            given = section.options.get(option)
            line = section.line if given is None else given.line
            if value is None and given is not None:
                value = given.text
        self.faults.append(
            fault.Fault(
                code=code,
                detail=detail,
                source=self.source,
                section="" if section is None else section.name,
                option=option,
                value=value or "",
                allowed=allowed,
                line=line,
                suggestion=suggestion,
            )
        )

    def _conflict(
        self, kind: str, name: str, option: str, detail: str, allowed: str = ""
    ) -> None:
        self._add(
            fault.Code.CONFLICT,
            detail,
            section=self._sections[kind, name],
            option=option,
            allowed=allowed,
        )

    def _names(self, kind: str) -> dict[str, None]:
        """Returns the declared names, including sections with errors."""
        return {label: None for found, label in self._sections if found == kind}

    def _check_references(self) -> None:
        names = {kind: self._names(kind) for kind in _OPTIONS}

        def check(
            kind: str, name: str, option: str, target: str, used: Iterable[str]
        ) -> None:
            known = names[target]
            for item in used:
                if item not in known:
                    self._add(
                        fault.Code.CONFLICT,
                        f"{target} {item!r} is not declared",
                        section=self._sections[kind, name],
                        option=option,
                        value="",
                        allowed=", ".join(list(known)[:8])
                        + (", ..." if len(known) > 8 else ""),
                        suggestion=fault.find_near_match(item, known),
                    )

        for name, pool in self._specs["pool"].items():
            check("pool", name, "service", "service", [pool.service])
        for name, queue in self._specs["queue"].items():
            check("queue", name, "pool", "pool", [queue.pool])
            check("queue", name, "teams", "team", sorted(queue.teams))
            if queue.open:
                check("queue", name, "open", "team", [OPEN_TEAM])
        for name, key in self._specs["key"].items():
            check("key", name, "team", "team", [key.team])
        for rollout in self._specs["rollout"].values():
            check("rollout", "", "zones", "zone", rollout.zones)

    def _check_pools(self) -> None:
        self._check_owners()
        maintenance = self._specs["maintenance"].get("", MaintenanceSpec())
        zones = max(1, len(self._names("zone")))
        for name, pool in self._specs["pool"].items():
            self._check_budget(name, pool, maintenance, zones)

    def _check_owners(self) -> None:
        pools: dict[str, PoolSpec] = self._specs["pool"]
        every = set().union(*(pool.workers for pool in pools.values()))
        if len(every) == sum(len(pool.workers) for pool in pools.values()):
            return
        owner: dict[str, str] = {}
        for name, pool in pools.items():
            for worker in pool.workers:
                first = owner.setdefault(worker, name)
                if first != name:
                    self._add(
                        fault.Code.CONFLICT,
                        f"worker {worker!r} is already in pool {first!r}",
                        section=self._sections["pool", name],
                        option="workers",
                        value="",
                        allowed="a worker in exactly one pool",
                    )

    def _check_budget(
        self,
        name: str,
        pool: PoolSpec,
        maintenance: MaintenanceSpec,
        zones: int,
    ) -> None:
        size = len(pool.workers)
        if not size:
            return
        if pool.max_unavailable < 1:
            self._conflict(
                "pool",
                name,
                "max_unavailable",
                "no worker may ever be maintained",
                f"1 to {size}",
            )
            return
        if pool.max_unavailable > size:
            self._conflict(
                "pool",
                name,
                "max_unavailable",
                f"the pool has only {size} workers",
                f"1 to {size}",
            )
        share = math.ceil(size / zones)
        if pool.max_unavailable_zone < share:
            # With workers spread evenly, one zone holds `share` workers, so the
            # loss of that zone alone would exceed the limit.
            self._conflict(
                "pool",
                name,
                "max_unavailable_zone",
                f"one of {zones} zones holds {share} of {size} workers",
                f"{share} to {size}",
            )
        rounds = math.ceil(size / pool.max_unavailable)
        if rounds * maintenance.duration > maintenance.interval:
            self._conflict(
                "pool",
                name,
                "max_unavailable",
                f"{rounds} rounds of {maintenance.duration:g} s do not fit the"
                f" maintenance interval of {maintenance.interval:g} s",
                f"at least {self._compute_min_unavailable(size, maintenance)}",
            )

    @staticmethod
    def _compute_min_unavailable(
        size: int, maintenance: MaintenanceSpec
    ) -> int:
        rounds = max(1, int(maintenance.interval // maintenance.duration))
        return math.ceil(size / rounds)

    def _check_teams(self) -> None:
        teams: dict[str, TeamSpec] = self._specs["team"]
        total = sum(team.share for team in teams.values())
        if total > 1 + SHARE_TOLERANCE:
            last = next(reversed(teams))
            self._conflict(
                "team",
                last,
                "share",
                f"the shares of all teams add up to {total:g}",
                "shares that add up to at most 1",
            )
        if any(kind in ("pool", "service") for kind, _ in self._broken):
            return
        slots = self._count_slots()
        for name, team in teams.items():
            if team.limit > slots:
                self._conflict(
                    "team",
                    name,
                    "limit",
                    f"the fleet has only {slots} slots",
                    f"0 to {slots}",
                )
            elif 0 < team.limit < math.floor(team.share * slots):
                self._conflict(
                    "team",
                    name,
                    "limit",
                    f"the share of {team.share:g} is"
                    f" {math.floor(team.share * slots)} of {slots} slots",
                    "a limit that lets the team use its share",
                )

    def _count_slots(self) -> int:
        services = self._specs["service"]
        return sum(
            len(pool.workers) * services[pool.service].slots
            for pool in self._specs["pool"].values()
            if pool.service in services
        )

    def _check_queues(self) -> None:
        zones = self._specs["zone"].values()
        if zones and all(zone.state is ZoneState.OUT for zone in zones):
            self._add(
                fault.Code.CONFLICT,
                "every zone is out, so no queue could be served",
                allowed="at least one zone in",
            )
        for name, queue in self._specs["queue"].items():
            self._check_queue(name, queue)

    def _check_queue(self, name: str, queue: QueueSpec) -> None:
        pool = self._specs["pool"].get(queue.pool)
        if pool is not None:
            if not pool.workers:
                self._conflict(
                    "queue",
                    name,
                    "pool",
                    f"pool {queue.pool!r} has no workers, so the queue would"
                    " be stranded",
                    "a pool with workers",
                )
            service = self._specs["service"].get(pool.service)
            if service is not None and queue.run_limit > service.run_limit:
                self._conflict(
                    "queue",
                    name,
                    "run_limit",
                    f"service {pool.service!r} stops requests after"
                    f" {service.run_limit:g} s",
                    f"up to {service.run_limit:g}s",
                )
        if not queue.teams and not queue.open:
            self._conflict(
                "queue",
                name,
                "teams",
                "no team may use the queue and it is not open, so it would"
                " be stranded",
                "at least one team, or open = yes",
            )
            return
        users = set(queue.teams) | ({OPEN_TEAM} if queue.open else set())
        known = [self._specs["team"].get(team) for team in users]
        if None not in known and not any(team.limit for team in known if team):
            self._conflict(
                "queue",
                name,
                "teams",
                "every team that may use the queue has a limit of 0, so it"
                " would be stranded",
                "a team with a limit above 0",
            )

    def _check_keys(self) -> None:
        seen: dict[bytes, str] = {}
        for name, key in self._specs["key"].items():
            first = seen.setdefault(key.digest, name)
            if first != name:
                self._conflict(
                    "key",
                    name,
                    "digest",
                    f"the digest is that of key {first!r}",
                    "a different secret for each key",
                )


def parse_bundle(
    text: str, source: str = "bundle"
) -> result.Result[Bundle, tuple[fault.Fault, ...]]:
    """Parses and checks a bundle.

    Args:
        text: INI text.
        source: Name used in errors.

    Returns:
        The bundle, or every error found, in the order of the text.
    """
    return BundleParser().parse(text, source)


class BundleParser:
    """Parses successive versions of a bundle.

    Unchanged sections are not parsed again: a bundle for 12,000 workers takes
    0.1 s to parse, which would block the event loop of an entry at every
    change.
    """

    def __init__(self) -> None:
        self._parts: dict[str, tuple[str, str, Any]] = {}

    def parse(
        self, text: str, source: str = "bundle"
    ) -> result.Result[Bundle, tuple[fault.Fault, ...]]:
        """Parses and checks a bundle, like `parse_bundle`."""
        preamble, blocks = _split_blocks(text)
        if self._parts and _is_comment(preamble):
            reused = self._resume(blocks, source)
            if reused is not None:
                return result.Success(reused)
        parser = _Parser(source)
        parsed = parser.parse(text)
        if parsed is None:
            ordered = sorted(parser.faults, key=lambda item: item.line or 0)
            return result.Failure(tuple(ordered))
        parts = parser.list_parts()
        if len(parts) == len(blocks):
            self._parts = dict(zip(blocks, parts, strict=True))
        return result.Success(parsed)

    def _resume(self, blocks: list[str], source: str) -> Bundle | None:
        """Returns the bundle, or None when the whole text must be parsed.

        Errors are left to the parse of the whole text, which knows the line
        numbers.
        """
        parts = {}
        for block in blocks:
            part = self._parts.get(block) or _Parser(source).read_part(block)
            if part is None or block in parts:
                return None
            parts[block] = part
        parsed = _Parser(source).resume(parts.values())
        if parsed is not None:
            self._parts = parts
        return parsed


_BLOCK_START = re.compile(r"^(?=\[)", re.MULTILINE)


def _split_blocks(text: str) -> tuple[str, list[str]]:
    """Returns the text before the first section and the text of each."""
    first, *rest = _BLOCK_START.split(text)
    if first.startswith("["):
        return "", [first, *rest]
    return first, rest


def _is_comment(text: str) -> bool:
    lines = (line.strip() for line in text.split("\n"))
    return all(not line or line[0] in "#;" for line in lines)


_NAMED_SECTIONS = {
    "zone": "zones",
    "service": "services",
    "pool": "pools",
    "queue": "queues",
    "team": "teams",
    "key": "keys",
}


def diff_bundles(old: Bundle, new: Bundle) -> tuple[Change, ...]:
    """Returns the changes from `old` to `new`, ordered by section."""
    changes: list[Change] = []
    if old.site != new.site:
        changes.append(
            Change(ChangeKind.CHANGED, "bundle", "", "site", old.site, new.site)
        )
    for section, attribute in _NAMED_SECTIONS.items():
        before = getattr(old, attribute)
        after = getattr(new, attribute)
        for name in sorted(before.keys() - after.keys()):
            changes.append(
                Change(ChangeKind.REMOVED, section, name, old=before[name])
            )
        for name in sorted(after.keys() - before.keys()):
            changes.append(
                Change(ChangeKind.ADDED, section, name, new=after[name])
            )
        for name in sorted(before.keys() & after.keys()):
            changes += _diff_specs(section, name, before[name], after[name])
    changes += _diff_specs("maintenance", "", old.maintenance, new.maintenance)
    changes += _diff_specs("rollout", "", old.rollout, new.rollout)
    return tuple(changes)


def _diff_specs(section: str, name: str, old: Any, new: Any) -> list[Change]:
    if old == new:
        return []
    return [
        Change(
            ChangeKind.CHANGED,
            section,
            name,
            field.name,
            getattr(old, field.name),
            getattr(new, field.name),
        )
        for field in dataclasses.fields(old)
        if getattr(old, field.name) != getattr(new, field.name)
    ]


def check_change(old: Bundle, new: Bundle) -> tuple[fault.Fault, ...]:
    """Returns one fault for each reason why `new` may not replace `old`.

    A bundle that is valid by itself may still harm requests that were accepted
    under the one before it.
    """
    faults = []

    def add(section: str, option: str, detail: str, allowed: str) -> None:
        faults.append(
            fault.Fault(
                code=fault.Code.CONFLICT,
                detail=detail,
                section=section,
                option=option,
                allowed=allowed,
            )
        )

    if new.version <= old.version:
        add(
            "bundle",
            "version",
            f"version {old.version} is in force",
            f"{old.version + 1} or above",
        )
    if new.site != old.site:
        add("bundle", "site", "the bundle is for another site", old.site)
    for name in sorted(old.queues.keys() - new.queues.keys()):
        if not old.queues[name].closing:
            add(
                f"queue {name}",
                "",
                "removing it would strand the requests that wait in it",
                "removal after a bundle that has closing = yes for it",
            )
    return tuple(faults)


def plan_change(old: Bundle, new: Bundle) -> tuple[str, ...]:
    """Returns the effects of a change on the fleet, one line for each."""
    lines = []
    home = {w: p for p, spec in old.pools.items() for w in spec.workers}
    for pool, spec in new.pools.items():
        moved = [w for w in spec.workers if home.get(w) not in (None, pool)]
        added = [w for w in spec.workers if w not in home]
        if moved:
            lines.append(f"pool {pool}: {len(moved)} workers move in and drain")
        if added:
            lines.append(f"pool {pool}: {len(added)} workers are new")
    kept = {w for spec in new.pools.values() for w in spec.workers}
    gone = [w for w in home if w not in kept]
    if gone:
        lines.append(f"{len(gone)} workers leave the fleet")
    for team in sorted(old.teams.keys() & new.teams.keys()):
        lower = old.teams[team].limit - new.teams[team].limit
        if lower > 0:
            lines.append(
                f"team {team}: starts nothing until every entry has the bundle"
                f" and {lower} rights are given back"
            )
    out = [z for z, spec in new.zones.items() if spec.state is ZoneState.OUT]
    if out:
        lines.append(f"no task starts in {', '.join(out)}")
    order = [
        *new.rollout.zones,
        *sorted(new.zones.keys() - set(new.rollout.zones)),
    ]
    lines.append(
        f"waves: {', '.join(order)}, {new.rollout.soak:g} s of good signals"
        " between them"
    )
    return tuple(lines)


if __name__ == "__main__":
    with open(sys.argv[1], encoding="utf-8") as file:
        match parse_bundle(file.read(), sys.argv[1]):
            case result.Success(value):
                print(f"version {value.version}, {value.total_slots} slots")
            case result.Failure(faults):
                print("\n".join(item.render() for item in faults))
