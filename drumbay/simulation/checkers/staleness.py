"""Checks that no consumed sample exceeds the staleness bound."""

from drumbay.simulation.checkers.token_log import TokenLog
from drumbay.simulation.checkers.violation import Limits, Promise, Violation
from drumbay.simulation.history import History, SampleConsumed


def check_staleness(history: History, limits: Limits) -> tuple[Violation, ...]:
    """Report samples with a token that is too old according to the engine logs.

    If an identical token was produced more than once, the newest version counts. If no engine
    produced it, the version reported in the sample is used.
    """
    log = TokenLog(history)
    violations = []
    for sample in history.of(SampleConsumed):
        age = _max_token_age(log, sample)
        if age > limits.max_staleness_versions:
            violations.append(
                Violation(
                    promise=Promise.STALENESS,
                    subject=sample.sample_id,
                    time_seconds=sample.time_seconds,
                    detail=(
                        f"consumed {age} versions behind the trainer's version"
                        f" {sample.trainer_version}; the bound is {limits.max_staleness_versions}"
                    ),
                )
            )
    return tuple(violations)


def _max_token_age(log: TokenLog, sample: SampleConsumed) -> int:
    oldest = int(sample.trainer_version)
    for span in sample.spans:
        for offset, token_id in enumerate(span.token_ids):
            index = span.first_index + offset
            versions = log.versions_of(sample.operation_id, index, token_id)
            oldest = min(oldest, max(versions, default=span.weight_version))
    return sample.trainer_version - oldest
