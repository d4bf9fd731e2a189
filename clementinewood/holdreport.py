"""Logs and counts the holds of look-ahead placement."""

from collections.abc import Sequence

from clementinewood import event, identifiers, lookahead, metric

_EVENTS = {
    lookahead.ChangeKind.HELD: (event.Event.ROOM_HELD, "begins_in"),
    lookahead.ChangeKind.STARTED: (event.Event.HELD_STEP_STARTED, "held"),
    lookahead.ChangeKind.LAPSED: (event.Event.HOLD_LAPSED, "held"),
}
"""Event of each change, and the name of its field for the seconds."""


def report(
    metrics: metric.Metrics,
    changes: Sequence[lookahead.Change],
    backfilled: int,
) -> None:
    """Logs and counts changes of holds.

    Args:
        metrics: Instruments.
        changes: The changes.
        backfilled: Number of tasks started on held room.
    """
    for change in changes:
        logged, seconds = _EVENTS[change.kind]
        event.emit(
            logged,
            step=".".join(map(str, change.step)),
            pool=change.pool,
            tasks=change.tasks,
            minions=",".join(change.minions),
            exception=None,
            **{seconds: round(change.seconds, 3)},
        )
        metrics.count(metric.HOLDS, pool=change.pool, change=change.kind.value)
    if backfilled:
        metrics.count(metric.BACKFILLED_TASKS, backfilled)


if __name__ == "__main__":
    event.configure_log()
    example = lookahead.Change(
        kind=lookahead.ChangeKind.LAPSED,
        pool=identifiers.PoolId("quotes"),
        step=(identifiers.JobId("5c0e7a21d94b36f8"), 0, 1),
        tasks=4,
        minions=(identifiers.MinionId("m1"),),
        seconds=1.5,
    )
    report(metric.Metrics(), [example], 2)
