"""No sample is built from weights older than the agreed bound, at its consumption."""

from drumbay.simulation.checkers.token_log import TokenLog
from drumbay.simulation.checkers.violation import Limits, Promise, Violation
from drumbay.simulation.history import History, SampleConsumed


def check_staleness(history: History, limits: Limits) -> tuple[Violation, ...]:
    """Report samples with a token that is too old by the engines' own logs.

    Where a token was produced more than once alike, the newest production counts; where
    no engine produced it, the version that the sample names does.
    """
    log = TokenLog(history)
    violations = []
    for sample in history.of(SampleConsumed):
        age = _oldest_age(log, sample)
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


def _oldest_age(log: TokenLog, sample: SampleConsumed) -> int:
    oldest = int(sample.trainer_version)
    for span in sample.spans:
        for offset, token_id in enumerate(span.token_ids):
            index = span.first_index + offset
            versions = log.versions_of(sample.operation_id, index, token_id)
            oldest = min(oldest, max(versions, default=span.weight_version))
    return sample.trainer_version - oldest
