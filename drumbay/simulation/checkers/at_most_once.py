"""Checks that a non-idempotent request runs at most once."""

from drumbay.simulation.checkers.violation import Limits, Promise, Violation
from drumbay.simulation.history import ExecutionStarted, History, RequestInvoked


def check_at_most_once(history: History, _limits: Limits) -> tuple[Violation, ...]:
    """Report non-repeatable operations that ran more than once."""
    non_repeatable = {
        invoked.operation_id for invoked in history.of(RequestInvoked) if not invoked.repeatable
    }
    first_executions: dict[str, ExecutionStarted] = {}
    violations = []
    for started in history.of(ExecutionStarted):
        if started.operation_id not in non_repeatable:
            continue
        first = first_executions.setdefault(started.operation_id, started)
        if first is not started:
            violations.append(_violation(first, started))
    return tuple(violations)


def _violation(first: ExecutionStarted, second: ExecutionStarted) -> Violation:
    return Violation(
        promise=Promise.AT_MOST_ONCE,
        subject=second.operation_id,
        time_seconds=second.time_seconds,
        detail=(
            f"ran on {second.backend_id} after it had run on {first.backend_id}"
            f" at {first.time_seconds:.3f} s"
        ),
    )
