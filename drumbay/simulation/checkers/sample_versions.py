"""Checks that each sample reports the weight versions that produced it."""

from drumbay.simulation.checkers.token_log import Token, TokenLog, first_gap, total_length
from drumbay.simulation.checkers.violation import Limits, Promise, Violation
from drumbay.simulation.history import History, SampleConsumed, VersionSpan


def check_sample_versions(history: History, _limits: Limits) -> tuple[Violation, ...]:
    """Report samples with tokens that no engine produced with the reported version."""
    log = TokenLog(history)
    violations = []
    for sample in history.of(SampleConsumed):
        detail = _mismatch(log, sample)
        if detail is None:
            continue
        violations.append(
            Violation(
                promise=Promise.SAMPLE_VERSIONS,
                subject=sample.sample_id,
                time_seconds=sample.time_seconds,
                detail=detail,
            )
        )
    return tuple(violations)


def _mismatch(log: TokenLog, sample: SampleConsumed) -> str | None:
    gap = first_gap(sample.spans)
    if gap is not None:
        return f"the sample has no token {gap}"
    for span in sample.spans:
        mismatch = _span_mismatch(log, sample.operation_id, span)
        if mismatch is not None:
            return mismatch
    length = total_length(sample.spans)
    if not log.finished_with_length(sample.operation_id, length):
        return f"no engine ended it after {length} tokens"
    return None


def _span_mismatch(log: TokenLog, operation_id: str, span: VersionSpan) -> str | None:
    for offset, token_id in enumerate(span.token_ids):
        token = Token(
            operation_id=operation_id,
            index=span.first_index + offset,
            token_id=token_id,
            weight_version=span.weight_version,
        )
        if log.was_produced_with_version(token):
            continue
        versions = log.versions_of(operation_id, token.index, token_id)
        return (
            f"names version {span.weight_version} for token {token.index};"
            f" the engines' logs have {versions or 'no such token'}"
        )
    return None
