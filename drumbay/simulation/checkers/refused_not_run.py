"""A request refused as not run truly did not run."""

from drumbay.simulation.checkers.violation import Limits, Promise, Violation
from drumbay.simulation.history import (
    ExecutionStarted,
    History,
    RequestInvoked,
    RequestOutcome,
    RequestReturned,
)


def check_refused_not_run(history: History, _limits: Limits) -> tuple[Violation, ...]:
    """Report executions that only refused invocations can account for.

    An execution whose log names its invocation is decided by that one. Any other needs an
    invocation of its operation that began before it and was not refused as not run.
    """
    refused = {
        returned.invocation_id
        for returned in history.of(RequestReturned)
        if returned.outcome is RequestOutcome.NOT_RUN
    }
    invoked_by_operation: dict[str, list[RequestInvoked]] = {}
    for invoked in history.of(RequestInvoked):
        invoked_by_operation.setdefault(invoked.operation_id, []).append(invoked)
    violations = []
    for started in history.of(ExecutionStarted):
        invocations = invoked_by_operation.get(started.operation_id, [])
        if _is_refuted(started, invocations, refused):
            violations.append(_describe(started))
    return tuple(violations)


def _is_refuted(
    started: ExecutionStarted, invocations: list[RequestInvoked], refused: set[str]
) -> bool:
    if started.invocation_id is not None:
        return started.invocation_id in refused
    return bool(invocations) and not any(
        invoked.invocation_id not in refused and invoked.time_seconds <= started.time_seconds
        for invoked in invocations
    )


def _describe(started: ExecutionStarted) -> Violation:
    return Violation(
        promise=Promise.REFUSED_NOT_RUN,
        subject=started.operation_id,
        time_seconds=started.time_seconds,
        detail=f"ran on {started.backend_id} though the caller was told that it did not run",
    )
