"""Log lines of synchronous requests."""

import math
from collections.abc import Iterable

import msgspec

from drumbay.forwarding.records import ForwardingError
from drumbay.forwarding.worker_choice import ChosenWorker
from drumbay.identifiers import BackendId
from drumbay.observability.logs import log_event
from drumbay.quarantine.fingerprint import Fingerprint
from drumbay.workers.records import Worker, WorkerError


class RequestTrace(msgspec.Struct, frozen=True, kw_only=True):
    """Attempts that led to a request's final outcome."""

    request_id: str
    fingerprint: Fingerprint
    route: str
    service: str
    sent: int
    refusals: int
    workers: Iterable[BackendId]
    elapsed_seconds: float


def log_served(trace: RequestTrace, status: int, choice: ChosenWorker | None) -> None:
    """Log a response, the attempts made and the expected latency of the selected worker."""
    log_event(
        "request_served",
        request=trace.request_id,
        fingerprint=trace.fingerprint,
        route=trace.route,
        service=trace.service,
        status=status,
        sent=trace.sent,
        refusals=trace.refusals,
        workers=",".join(sorted(trace.workers)),
        elapsed_seconds=round(trace.elapsed_seconds, 4),
        expected_seconds=round(choice.expected_seconds, 4) if choice else None,
        load_age_seconds=_finite(choice.load_age_seconds) if choice else None,
        slowdown=round(choice.slowdown, 2) if choice else None,
    )


def log_not_served(trace: RequestTrace, error: ForwardingError) -> None:
    """Log a final failure and the attempts made."""
    log_event(
        "request_not_served",
        level="WARNING",
        request=trace.request_id,
        fingerprint=trace.fingerprint,
        route=trace.route,
        service=trace.service,
        error=error.code,
        execution=error.execution,
        sent=trace.sent,
        refusals=trace.refusals,
        workers=",".join(sorted(trace.workers)),
        elapsed_seconds=round(trace.elapsed_seconds, 4),
    )


def log_run_broken(
    request_id: str,
    fingerprint: Fingerprint,
    worker: Worker,
    error: WorkerError,
    elapsed_seconds: float,
    *,
    was_kept: bool,
) -> None:
    """Log a run that ended without a response, over a reused or a new connection."""
    log_event(
        "request_run_broken",
        level="WARNING",
        request=request_id,
        fingerprint=fingerprint,
        worker=worker.worker_id,
        kept_connection=was_kept,
        elapsed_seconds=round(elapsed_seconds, 4),
        detail=str(error),
    )


def log_run_abandoned(
    request_id: str, worker: Worker, elapsed_seconds: float, *, was_kept: bool
) -> None:
    """Log a run that was cancelled without a response, as the request has its outcome."""
    log_event(
        "request_run_abandoned",
        request=request_id,
        worker=worker.worker_id,
        kept_connection=was_kept,
        elapsed_seconds=round(elapsed_seconds, 4),
    )


def log_run_failed(
    request_id: str, worker: Worker, error: WorkerError, elapsed_seconds: float
) -> None:
    """Log a run that ended with a worker error."""
    log_event(
        "request_run_failed",
        level="WARNING",
        request=request_id,
        worker=worker.worker_id,
        error=error.code,
        elapsed_seconds=round(elapsed_seconds, 4),
    )


def _finite(seconds: float) -> float | None:
    """Return a rounded age; ``None`` if no report was ever received."""
    return round(seconds, 3) if math.isfinite(seconds) else None
