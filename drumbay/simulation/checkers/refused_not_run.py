"""Checks that a request reported as not run did not run."""

from drumbay.simulation.checkers.violation import Limits, Promise, Violation
from drumbay.simulation.history import (
    ExecutionStarted,
    History,
    RequestInvoked,
    RequestOutcome,
    RequestReturned,
)


def check_refused_not_run(history: History, _limits: Limits) -> tuple[Violation, ...]:
    """Report executions that only refused invocations can have caused.

    If the execution names its invocation, that one must not have been refused. Otherwise some
    invocation of the operation must have started before it and not been refused as not run.
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
        if _contradicts_refusal(started, invocations, refused):
            violations.append(_violation(started))
    return tuple(violations)


def _contradicts_refusal(
    started: ExecutionStarted, invocations: list[RequestInvoked], refused: set[str]
) -> bool:
    if started.invocation_id is not None:
        return started.invocation_id in refused
    return bool(invocations) and not any(
        invoked.invocation_id not in refused and invoked.time_seconds <= started.time_seconds
        for invoked in invocations
    )


def _violation(started: ExecutionStarted) -> Violation:
    return Violation(
        promise=Promise.REFUSED_NOT_RUN,
        subject=started.operation_id,
        time_seconds=started.time_seconds,
        detail=f"ran on {started.backend_id} though the caller was told that it did not run",
    )
