"""Defines the load report that the leader stores while a pool is overloaded.

Load pattern: a queue's demand rises to about five times its mean for some
seconds, which is more than its pool and all machines that can move in run. Only
the leader knows how long jobs wait there, while every entry answers callers.
"""

import dataclasses
import json
import math
from collections.abc import Mapping
from typing import Any

from returns import result

from clementinewood import decoding, identifiers

MAX_AGE_SECONDS = 1.5
"""Age from which a report causes no refusals: reports follow each other by 0.25
s, and a follower reads them up to 0.5 s later; one may be lost."""

MAX_SECONDS = 1e6
"""Longest wait that a report may contain; a longer one is a fault."""

MAX_RATIO = 1e3
"""Largest learned ratio that a report may contain; a larger one is a fault."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PoolLoad:
    """Load of one pool.

    Attributes:
        pool: The pool.
        cores: Cores at work, arriving, or able to move in.
        wait: Predicted seconds that a new job within its team's rate waits.
        over_rate_wait: Predicted seconds that one beyond the rate waits.
        ratios: Learned ratio of actual to declared run time, by queue.
    """

    pool: identifiers.PoolId
    cores: float
    wait: float
    over_rate_wait: float
    ratios: Mapping[identifiers.QueueId, float]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadReport:
    """Load of the pools in which jobs wait long.

    Attributes:
        term: Term of the leader that has measured it.
        pools: Load of these pools, by name; empty once there are none.
        over_rate: Teams that are beyond their rate.
    """

    term: identifiers.Term
    pools: Mapping[identifiers.PoolId, PoolLoad]
    over_rate: frozenset[identifiers.TeamId] = frozenset()


def encode(report: LoadReport) -> bytes:
    """Returns the stored form of `report`."""
    document = {
        "term": report.term,
        "pools": [
            {
                "pool": load.pool,
                "cores": round(load.cores, 3),
                "wait": round(load.wait, 3),
                "over_rate_wait": round(load.over_rate_wait, 3),
                "ratios": {
                    queue: round(ratio, 3)
                    for queue, ratio in load.ratios.items()
                },
            }
            for load in report.pools.values()
        ],
        "over_rate": sorted(report.over_rate),
    }
    return json.dumps(document, separators=(",", ":")).encode()


def decode(data: bytes) -> result.Result[LoadReport, str]:
    """Decodes a load report, or returns why it is malformed."""
    try:
        document = json.loads(data)
        term = document["term"]
        if type(term) is not int or term < 0:
            raise ValueError(f"term {term!r}")
        loads = [_read_pool(item) for item in _read_list(document["pools"])]
        pools = {load.pool: load for load in loads}
        if len(pools) < len(loads):
            raise ValueError("a pool is named twice")
        teams = [
            identifiers.TeamId(_read_name(team))
            for team in _read_list(document["over_rate"])
        ]
    except decoding.ERRORS as error:
        return result.Failure(f"load report is malformed: {error!r}")
    return result.Success(
        LoadReport(
            term=identifiers.Term(term),
            pools=pools,
            over_rate=frozenset(teams),
        )
    )


def is_usable(
    report: LoadReport,
    *,
    term: identifiers.Term,
    stored_after: float,
    now: float,
) -> bool:
    """Whether jobs may be refused because of `report`.

    Args:
        report: The report.
        term: Newest term that the entry knows.
        stored_after: Monotonic time in seconds after which the report was
            stored.
        now: Monotonic time in seconds.
    """
    return report.term == term and now - stored_after <= MAX_AGE_SECONDS


def _read_pool(item: Any) -> PoolLoad:
    wait = _read_number(item["wait"], MAX_SECONDS)
    over_rate_wait = _read_number(item["over_rate_wait"], MAX_SECONDS)
    if wait > over_rate_wait:
        raise ValueError("the waits are in the wrong order")
    cores = _read_number(item["cores"], math.inf)
    ratios = {
        identifiers.QueueId(_read_name(queue)): _read_number(ratio, MAX_RATIO)
        for queue, ratio in item["ratios"].items()
    }
    if cores <= 0.0 or not all(ratios.values()):
        raise ValueError("cores and ratios must be above 0")
    return PoolLoad(
        pool=identifiers.PoolId(_read_name(item["pool"])),
        cores=cores,
        wait=wait,
        over_rate_wait=over_rate_wait,
        ratios=ratios,
    )


def _read_list(value: Any) -> list[Any]:
    if not isinstance(value, list):
        raise TypeError(f"not a list: {value!r:.40}")
    return value


def _read_name(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"not a name: {value!r:.40}")
    return value


def _read_number(value: Any, most: float) -> float:
    if type(value) not in (int, float):
        raise TypeError(f"not a number: {value!r:.40}")
    number = float(value)
    if not math.isfinite(number) or not 0.0 <= number <= most:
        raise ValueError(f"out of range: {number}")
    return number


if __name__ == "__main__":
    example = LoadReport(term=identifiers.Term(3), pools={})
    print(decode(encode(example)))
