"""Classifies failed item runs and updates the directory's record of the worker."""

from drumbay.batches.decisions import RunFailure
from drumbay.workers.directory import WorkerDirectory
from drumbay.workers.records import (
    Worker,
    WorkerCutOffError,
    WorkerError,
    WorkerFailedError,
    WorkerMisdirectedError,
    WorkerNotEligibleError,
    WorkerRefusedError,
    WorkerRejectedError,
    WorkerTimedOutError,
    WorkerUnreachableError,
)

MISDIRECTED_PAUSE_SECONDS = 1.0
"""Pause of a worker whose address another one uses now, until discovery reports the change."""


def record_run_failure(
    directory: WorkerDirectory, worker: Worker, model: str, error: WorkerError, now: float
) -> RunFailure:
    """Record a failed run in the directory; return how the run ended."""
    worker_id = worker.worker_id
    worker_start = worker.started_at_ms
    match error:
        case WorkerNotEligibleError():
            return RunFailure.REFUSED
        case WorkerMisdirectedError():
            directory.pause(worker_id, now, MISDIRECTED_PAUSE_SECONDS, worker_start)
            return RunFailure.REFUSED
        case WorkerUnreachableError():
            directory.observe_failure(worker_id, now, worker_start, is_unreachable=True)
            return RunFailure.REFUSED
        case WorkerRefusedError():
            directory.observe_refusal(worker_id, model, now, worker_start)
            return RunFailure.REFUSED
        case WorkerRejectedError():
            return RunFailure.REJECTED
        case WorkerTimedOutError():
            return RunFailure.BROKEN
        case WorkerCutOffError():
            return RunFailure.CUT_OFF
        case WorkerFailedError():
            return RunFailure.FAILED
        case _:
            return RunFailure.BROKEN
