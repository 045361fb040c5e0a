"""Checks that each sample reaches the trainer exactly once."""

from drumbay.identifiers import SampleId, StreamName
from drumbay.simulation.checkers.violation import Limits, Promise, Violation
from drumbay.simulation.history import History, SampleConsumed, StepRequested


def check_exactly_once(history: History, limits: Limits) -> tuple[Violation, ...]:
    """Report samples that were consumed twice, never requested, or never consumed.

    A missing sample counts if the trainer moved on to a later step or the run has settled.
    """
    consumed: dict[tuple[StreamName, SampleId], float] = {}
    violations = []
    requested = _requested_samples(history)
    for sample in history.of(SampleConsumed):
        key = (sample.stream, sample.sample_id)
        if key in consumed:
            detail = f"consumed again; first at {consumed[key]:.3f} s"
            violations.append(_violation(sample.sample_id, sample.time_seconds, detail))
        elif key not in requested:
            detail = f"consumed by {sample.stream}, which never asked for it"
            violations.append(_violation(sample.sample_id, sample.time_seconds, detail))
        consumed.setdefault(key, sample.time_seconds)
    violations += _missing_samples(history, limits, consumed)
    return tuple(violations)


def _requested_samples(history: History) -> set[tuple[StreamName, SampleId]]:
    return {
        (requested.stream, sample_id)
        for requested in history.of(StepRequested)
        for sample_id in requested.sample_ids
    }


def _missing_samples(
    history: History, limits: Limits, consumed: dict[tuple[StreamName, SampleId], float]
) -> list[Violation]:
    steps = history.of(StepRequested)
    latest_step: dict[StreamName, int] = {}
    for requested in steps:
        latest = latest_step.get(requested.stream, requested.step)
        latest_step[requested.stream] = max(latest, requested.step)
    violations = []
    for requested in steps:
        if not limits.settled and requested.step >= latest_step[requested.stream]:
            continue
        for sample_id in requested.sample_ids:
            if (requested.stream, sample_id) not in consumed:
                detail = f"asked for by {requested.stream} and never consumed"
                violations.append(_violation(sample_id, requested.time_seconds, detail))
    return violations


def _violation(sample_id: SampleId, time_seconds: float, detail: str) -> Violation:
    return Violation(
        promise=Promise.EXACTLY_ONCE,
        subject=sample_id,
        time_seconds=time_seconds,
        detail=detail,
    )
