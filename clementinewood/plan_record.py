"""Fold of the records that the planner appends."""

from clementinewood import control_data, record


def apply_payload(
    content: control_data.Content,
    payload: record.MaintenanceStep | record.RollStep | record.PlannerLease,
    offset: int,
) -> bool:
    """Folds one record, unless the version that it names is stale.

    Returns:
        Whether it counted.
    """
    match payload:
        case record.MaintenanceStep():
            return _apply_step(content, payload, offset)
        case record.RollStep():
            return _apply_roll(content, payload, offset)
        case record.PlannerLease():
            return _apply_lease(content, payload, offset)


def _apply_step(
    content: control_data.Content, payload: record.MaintenanceStep, offset: int
) -> bool:
    present = content.steps.get(payload.worker)
    version = 0 if present is None else present.version
    if payload.worker not in content.assignments:
        return False
    if version != payload.expected:
        return False
    content.steps[payload.worker] = control_data.MaintenanceState(
        payload.step, offset + 1, content.time
    )
    return True


def _apply_roll(
    content: control_data.Content, payload: record.RollStep, offset: int
) -> bool:
    version = 0 if content.roll is None else content.roll.version
    if version != payload.expected:
        return False
    content.roll = control_data.Roll(
        payload.bundle_version, payload.zone, payload.phase, offset + 1
    )
    return True


def _apply_lease(
    content: control_data.Content, payload: record.PlannerLease, offset: int
) -> bool:
    lease = content.planner_lease
    version = 0 if lease is None else lease.version
    if version != payload.expected or payload.holder not in content.members:
        return False
    content.planner_lease = control_data.Lease(
        payload.holder, content.time + payload.seconds, offset + 1
    )
    return True
