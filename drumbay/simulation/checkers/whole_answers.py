"""Checks that a caller receives the complete response to its own request."""

from drumbay.simulation.checkers.token_log import TokenLog, first_gap, total_length
from drumbay.simulation.checkers.violation import Limits, Promise, Violation
from drumbay.simulation.history import (
    CompletionReturned,
    ExecutionFinished,
    ExecutionStarted,
    History,
    RequestInvoked,
    RequestOutcome,
    RequestReturned,
)


def check_whole_answers(history: History, _limits: Limits) -> tuple[Violation, ...]:
    """Report responses that no back end gave to the operation, and incomplete completions."""
    operations = {
        invoked.invocation_id: invoked.operation_id for invoked in history.of(RequestInvoked)
    }
    return _check_responses(history, operations) + _check_completions(history, operations)


def _check_responses(history: History, operations: dict[str, str]) -> tuple[Violation, ...]:
    responses_by_operation = _collect_responses(history)
    completions = {returned.invocation_id for returned in history.of(CompletionReturned)}
    violations = []
    for returned in history.of(RequestReturned):
        if returned.outcome is not RequestOutcome.ANSWERED:
            continue
        if returned.invocation_id in completions:
            continue
        operation_id = operations.get(returned.invocation_id, returned.invocation_id)
        if returned.answer not in responses_by_operation.get(operation_id, ()):
            detail = f"no back end gave this answer of {len(returned.answer)} bytes to it"
            violations.append(_violation(operation_id, returned.time_seconds, detail))
    return tuple(violations)


def _collect_responses(history: History) -> dict[str, list[bytes]]:
    started = {started.execution_id: started for started in history.of(ExecutionStarted)}
    responses: dict[str, list[bytes]] = {}
    for finished in history.of(ExecutionFinished):
        execution = started.get(finished.execution_id)
        if execution is not None:
            responses.setdefault(execution.operation_id, []).append(finished.answer)
    return responses


def _check_completions(history: History, operations: dict[str, str]) -> tuple[Violation, ...]:
    log = TokenLog(history)
    violations = []
    for returned in history.of(CompletionReturned):
        operation_id = operations.get(returned.invocation_id, returned.invocation_id)
        detail = _completion_mismatch(log, operation_id, returned)
        if detail is not None:
            violations.append(_violation(operation_id, returned.time_seconds, detail))
    return tuple(violations)


def _completion_mismatch(
    log: TokenLog, operation_id: str, returned: CompletionReturned
) -> str | None:
    gap = first_gap(returned.spans)
    if gap is not None:
        return f"the completion has no token {gap}"
    for span in returned.spans:
        for offset, token_id in enumerate(span.token_ids):
            index = span.first_index + offset
            if not log.was_produced(operation_id, index, token_id):
                return f"no engine produced its token {index}"
    length = total_length(returned.spans)
    if not log.finished_with_length(operation_id, length):
        return f"no engine ended it after {length} tokens"
    return None


def _violation(operation_id: str, time_seconds: float, detail: str) -> Violation:
    return Violation(
        promise=Promise.WHOLE_ANSWERS,
        subject=operation_id,
        time_seconds=time_seconds,
        detail=detail,
    )
