"""Applies the node's request quarantine to one client request."""

from drumbay.exceptions import Execution
from drumbay.forwarding.attempts import Attempt, RequestAttempts
from drumbay.forwarding.records import RequestQuarantinedError
from drumbay.forwarding.request_log import log_run_broken
from drumbay.identifiers import BackendId
from drumbay.quarantine.crash_retry import CRASHES_UNTIL_BACKOFF
from drumbay.quarantine.fingerprint import Fingerprint
from drumbay.quarantine.records import CrashPolicy, Decision, Verdict
from drumbay.quarantine.service import Quarantine
from drumbay.workers.records import WorkerBrokenError

MIN_UNANSWERED_RUNS = 2
"""A request that waits for this many workers may have crashed them if one does not respond. A
single one may have been crashed by another request, whose neighbors must be served."""


class RequestQuarantine:
    """Queries the quarantine for a request and reports the outcomes of its runs to it.

    Attributes:
        avoided_workers: Workers that must not get the request.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        request_id: str,
        fingerprint: Fingerprint,
        crash_policy: CrashPolicy,
        service: str,
        attempts: RequestAttempts,
    ) -> None:
        """Create the quarantine view of a request."""
        self._quarantine = quarantine
        self._request_id = request_id
        self._fingerprint = fingerprint
        self._crash_policy = crash_policy
        self._service = service
        self._attempts = attempts
        self.avoided_workers: frozenset[BackendId] = frozenset()

    def allows_run(self, now: float) -> bool:
        """Return whether the quarantine allows another run of the request.

        Raises:
            RequestQuarantinedError: The request must not run and no attempt is in flight.
        """
        if self._may_have_crashed_workers(now) and self._quarantine.leaves_too_few_workers(
            self._service, self._attempts.running_on()
        ):
            return False
        if self._attempts.worker_failures and self._quarantine.awaits_workers_that_failed(
            self._fingerprint, self._service
        ):
            return False
        if self._quarantine.is_idle:
            return True
        verdict = self._quarantine.verdict(
            self._fingerprint, self._service, policy=self._crash_policy
        )
        if self._is_retried_alone(verdict) and self._attempts.in_flight:
            return False
        if verdict.decision is Decision.RUN:
            self.avoided_workers = verdict.avoided_workers
            return True
        if verdict.decision is Decision.HOLD and not self._attempts.in_flight:
            self._quarantine.log_held(self._request_id, self._fingerprint, verdict)
            raise self._error(verdict)
        return False

    def _is_retried_alone(self, verdict: Verdict) -> bool:
        """Return whether the request is accepted work that runs on one worker at a time."""
        is_retried = self._crash_policy is CrashPolicy.RETRY
        return is_retried and verdict.consecutive_crashes >= CRASHES_UNTIL_BACKOFF

    def _may_have_crashed_workers(self, now: float) -> bool:
        """Return whether the request waits for several workers, and one does not respond.

        The others may have crashed a moment ago, when nothing could tell yet.
        """
        return len(self._attempts.running_on()) >= MIN_UNANSWERED_RUNS and any(
            attempt.record.responsiveness.is_avoided(now)
            for attempt in self._attempts.in_flight.values()
        )

    def _error(self, verdict: Verdict) -> RequestQuarantinedError:
        has_run = self._attempts.may_have_run
        return RequestQuarantinedError(
            f"{verdict.consecutive_crashes} workers ended under it: {verdict.reason}",
            execution=Execution.MAY_HAVE_RUN if has_run else Execution.NOT_RUN,
            retry_after_seconds=None if has_run else verdict.retry_after_seconds,
            worker_failures=self._attempts.worker_failures,
        )

    def record_answer(self, attempt: Attempt, *, has_failed: bool) -> None:
        """Record that a worker has answered, and whether the answer says that the run failed."""
        self._quarantine.record_answer(
            self._fingerprint,
            self._request_id,
            attempt.record.worker,
            attempt.sent_at,
            has_failed=has_failed,
        )

    def record_broken_run(self, attempt: Attempt, error: WorkerBrokenError, now: float) -> None:
        """Record a run that ended without a response; the worker may have crashed."""
        worker = attempt.record.worker
        self._quarantine.record_broken_run(
            self._fingerprint, self._request_id, worker, attempt.sent_at
        )
        log_run_broken(
            self._request_id,
            self._fingerprint,
            worker,
            error,
            now - attempt.sent_at,
            was_kept=attempt.reused_connection,
        )

    def record_unanswered_run(self, attempt: Attempt) -> None:
        """Record a run whose worker does not respond, or that is stopped before it has."""
        self._quarantine.record_unanswered_run(
            self._fingerprint, self._request_id, attempt.record.worker, attempt.sent_at
        )
