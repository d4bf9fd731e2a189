"""Settings that switch the scheduling features of a deployment."""

import dataclasses
from collections.abc import Mapping
from typing import Any

from returns import result

from clementinewood import fault

SECTION = "scheduling"
"""Name of the section in a settings file."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SchedulingSettings:
    """Scheduling features; each acts only where the load calls for it.

    Attributes:
        lookahead: Whether room is held for large tasks that wait.
        admission: Whether jobs that can't finish in time are refused.
        fair_order: Whether teams' shares order waiting jobs of a full pool.
        stable_demand: Whether the demand of a pool follows from the mean work
            of its jobs instead of that of the last arrivals.
    """

    lookahead: bool = True
    admission: bool = True
    fair_order: bool = True
    stable_demand: bool = True


DEFAULTS = SchedulingSettings()
"""Features of a deployment whose settings file has no such section."""


def parse(
    fields: Mapping[str, Any], source: str = ""
) -> result.Result[SchedulingSettings, fault.Fault]:
    """Checks the section `scheduling` of a settings file.

    Args:
        fields: The section; settings that are left out keep their defaults.
        source: Name of the file.
    """
    known = [field.name for field in dataclasses.fields(SchedulingSettings)]
    for name, value in fields.items():
        if name not in known:
            return result.Failure(
                fault.Fault(
                    code=fault.Code.UNKNOWN_OPTION,
                    detail="there is no such setting",
                    source=source,
                    section=SECTION,
                    option=name,
                    allowed=", ".join(known),
                )
            )
        if not isinstance(value, bool):
            return result.Failure(
                fault.Fault(
                    code=fault.Code.VALUE,
                    detail="the value has the wrong type",
                    source=source,
                    section=SECTION,
                    option=name,
                    value=str(value),
                    allowed="true, false",
                )
            )
    return result.Success(SchedulingSettings(**fields))


if __name__ == "__main__":
    print(parse({"lookahead": False}))
