"""Checks that planned stops do not interrupt requests in flight."""

from drumbay.simulation.checkers.violation import Limits, Promise, Violation
from drumbay.simulation.history import (
    BackendStopped,
    ExecutionAborted,
    ExecutionFinished,
    ExecutionStarted,
    History,
    NodeDisturbed,
    PlannedStopStarted,
    RequestInvoked,
    RequestOutcome,
    RequestReturned,
)


def check_planned_stop(history: History, _limits: Limits) -> tuple[Violation, ...]:
    """Report requests interrupted by the planned stop of a node or back end."""
    return _check_nodes(history) + _check_backends(history)


def _check_nodes(history: History) -> tuple[Violation, ...]:
    returns = {returned.invocation_id: returned for returned in history.of(RequestReturned)}
    violations = []
    for stop in history.of(PlannedStopStarted):
        next_disturbance_at = _next_disturbance(history, stop)
        for invoked in history.of(RequestInvoked):
            if invoked.node_id != stop.node_id or invoked.time_seconds > stop.time_seconds:
                continue
            returned = returns.get(invoked.invocation_id)
            if returned is None or returned.outcome is not RequestOutcome.CUT_OFF:
                continue
            if stop.time_seconds <= returned.time_seconds < next_disturbance_at:
                detail = f"cut off by the planned stop of {stop.node_id}"
                violations.append(_violation(invoked.operation_id, returned.time_seconds, detail))
    return tuple(violations)


def _next_disturbance(history: History, stop: PlannedStopStarted) -> float:
    """Return the time of the first injected fault after the stop began, or infinity."""
    times = [
        disturbed.time_seconds
        for disturbed in history.of(NodeDisturbed)
        if disturbed.node_id == stop.node_id
        and disturbed.time_seconds >= stop.time_seconds
        and not disturbed.planned
    ]
    return min(times, default=float("inf"))


def _check_backends(history: History) -> tuple[Violation, ...]:
    finished = {
        finished.execution_id: finished.time_seconds for finished in history.of(ExecutionFinished)
    }
    aborted = {
        aborted.execution_id: aborted.time_seconds for aborted in history.of(ExecutionAborted)
    }
    violations = []
    for stop in history.of(BackendStopped):
        if not stop.planned:
            continue
        for started in history.of(ExecutionStarted):
            if started.backend_id != stop.backend_id or started.time_seconds > stop.time_seconds:
                continue
            if aborted.get(started.execution_id, float("inf")) < stop.time_seconds:
                # A crash before the stop aborted it.
                continue
            if finished.get(started.execution_id, float("inf")) > stop.time_seconds:
                detail = f"running on {stop.backend_id} when its planned stop ended it"
                violations.append(_violation(started.operation_id, stop.time_seconds, detail))
    return tuple(violations)


def _violation(operation_id: str, time_seconds: float, detail: str) -> Violation:
    return Violation(
        promise=Promise.PLANNED_STOP,
        subject=operation_id,
        time_seconds=time_seconds,
        detail=detail,
    )
