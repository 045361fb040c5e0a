"""Checks that a leaving back end gets no new work after a limit."""

from drumbay.identifiers import BackendId
from drumbay.simulation.checkers.violation import Limits, Promise, Violation
from drumbay.simulation.history import (
    BackendLeaving,
    BackendReturned,
    ExecutionStarted,
    History,
)


def check_leaving_backends(history: History, limits: Limits) -> tuple[Violation, ...]:
    """Report executions that started on a leaving back end after the limit."""
    events: list[BackendLeaving | BackendReturned | ExecutionStarted] = [
        *history.of(BackendLeaving),
        *history.of(BackendReturned),
        *history.of(ExecutionStarted),
    ]
    events.sort(key=lambda event: event.time_seconds)
    leaving_since: dict[BackendId, float] = {}
    violations = []
    for event in events:
        if isinstance(event, BackendLeaving):
            leaving_since.setdefault(event.backend_id, event.time_seconds)
        elif isinstance(event, BackendReturned):
            leaving_since.pop(event.backend_id, None)
        else:
            since = leaving_since.get(event.backend_id)
            if since is not None and event.time_seconds > since + limits.leaving_seconds:
                violations.append(_violation(event, since))
    return tuple(violations)


def _violation(started: ExecutionStarted, since: float) -> Violation:
    delay = started.time_seconds - since
    return Violation(
        promise=Promise.LEAVING_BACKENDS,
        subject=started.backend_id,
        time_seconds=started.time_seconds,
        detail=f"began operation {started.operation_id} {delay:.3f} s after it was leaving",
    )
