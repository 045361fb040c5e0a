"""Records how the attempts of one client request end, and when the next one may be sent."""

import asyncio

import msgspec

from drumbay.forwarding.attempts import Attempt, RequestAttempts
from drumbay.forwarding.request_log import log_run_failed
from drumbay.forwarding.request_quarantine import RequestQuarantine
from drumbay.forwarding.routes import Route
from drumbay.forwarding.worker_picker import WorkerPicker
from drumbay.observability.serving_metrics import ServingMetrics
from drumbay.workers.directory import WorkerDirectory
from drumbay.workers.records import (
    WorkerBrokenError,
    WorkerConnectionClosedError,
    WorkerError,
    WorkerMisdirectedError,
    WorkerNotEligibleError,
    WorkerRefusedError,
    WorkerResponse,
    WorkerTimedOutError,
    WorkerUnreachableError,
)

MISDIRECTED_PAUSE_SECONDS = 5.0
"""Pause for a worker whose address now serves another one, until discovery is updated."""

INELIGIBLE_PAUSE_SECONDS = 0.02
"""Pause after a send that the placement constraint stopped as its last step."""


class AttemptOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """How an attempt ended.

    ``response`` is ``None`` if it failed; the next attempt may follow after ``pause_seconds``.
    ``is_worker_full`` is set if the worker refused the request for lack of room.
    """

    response: WorkerResponse | None = None
    pause_seconds: float = 0.0
    is_worker_full: bool = False


class AttemptOutcomes:
    """Tells the directory, the metrics and the quarantine how attempts of a request ended."""

    def __init__(
        self,
        directory: WorkerDirectory,
        picker: WorkerPicker,
        metrics: ServingMetrics,
        quarantine: RequestQuarantine,
        route: Route,
        request_id: str,
        attempts: RequestAttempts,
    ) -> None:
        """Record the outcomes of the attempts in ``attempts``, too."""
        self._directory = directory
        self._picker = picker
        self._metrics = metrics
        self._quarantine = quarantine
        self._route = route
        self._request_id = request_id
        self._attempts = attempts

    def record(
        self, task: asyncio.Task[WorkerResponse], attempt: Attempt, now: float
    ) -> AttemptOutcome:
        """Record the end of an attempt, whose task is done."""
        worker_id = attempt.record.worker.worker_id
        worker_started_at_ms = attempt.record.worker.started_at_ms
        try:
            response = task.result()
            self._record_success(attempt, now)
            return AttemptOutcome(response=response)
        except WorkerNotEligibleError:
            # Not sent, so no refusal by a worker: it must not use up those of the admission.
            self._attempts.sent -= 1
            return AttemptOutcome(pause_seconds=INELIGIBLE_PAUSE_SECONDS)
        except WorkerMisdirectedError:
            self._attempts.refusals += 1
            self._directory.pause(worker_id, now, MISDIRECTED_PAUSE_SECONDS, worker_started_at_ms)
        except WorkerUnreachableError:
            self._attempts.refusals += 1
            self._directory.observe_failed_run(worker_id, now, worker_started_at_ms)
            self._directory.observe_failure(
                worker_id, now, worker_started_at_ms, is_unreachable=True
            )
        except WorkerRefusedError:
            self._attempts.refusals += 1
            self._metrics.count_worker_refusal(self._route.name)
            pause_seconds = self._picker.refusal_backoff_seconds(attempt.record, self._route, now)
            self._directory.pause(worker_id, now, pause_seconds, worker_started_at_ms)
            return AttemptOutcome(is_worker_full=True)
        except WorkerConnectionClosedError as error:
            # Workers close idle connections, so this says nothing about them.
            self._record_broken_run(attempt, error, now)
            self._attempts.closed = attempt
        except WorkerBrokenError as error:
            self._record_broken_run(attempt, error, now)
            self._directory.observe_failure(worker_id, now, worker_started_at_ms)
        except WorkerTimedOutError as error:
            self._record_failed_run(attempt, error, now)
        except WorkerError as error:
            self._record_failed_run(attempt, error, now)
            self._attempts.worker_failures += 1
            self._attempts.failed_workers.append(attempt.record.worker)
        return AttemptOutcome()

    def _record_success(self, attempt: Attempt, now: float) -> None:
        elapsed_seconds = now - attempt.sent_at
        self._attempts.response_seconds = elapsed_seconds
        self._attempts.record_run_start(attempt)
        self._quarantine.record_answer(attempt, has_failed=False)
        self._attempts.successful = attempt
        self._metrics.observe_expected_time(attempt.choice.expected_seconds, elapsed_seconds)
        self._record_failed_workers(now)

    def _record_broken_run(self, attempt: Attempt, error: WorkerBrokenError, now: float) -> None:
        self._attempts.record_run_start(attempt)
        self._attempts.may_have_run = True
        self._quarantine.record_broken_run(attempt, error, now)
        self._attempts.failed_workers.append(attempt.record.worker)

    def _record_failed_run(self, attempt: Attempt, error: WorkerError, now: float) -> None:
        elapsed_seconds = now - attempt.sent_at
        log_run_failed(self._request_id, attempt.record.worker, error, elapsed_seconds)
        self._attempts.record_run_start(attempt)
        self._quarantine.record_answer(attempt, has_failed=True)
        self._attempts.may_have_run = True

    def _record_failed_workers(self, now: float) -> None:
        """Record failed runs against their workers, now that another worker has succeeded.

        A request that fails on every worker says nothing about the workers.
        """
        for worker in self._attempts.failed_workers:
            self._directory.observe_failed_run(worker.worker_id, now, worker.started_at_ms)
