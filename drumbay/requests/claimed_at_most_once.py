"""At-most-once execution: idempotency keys are claimed on a quorum of replicas."""

from collections.abc import Coroutine
from typing import Any

from drumbay.backends.interface import ApplicationResponse, BackendRefusedError
from drumbay.claims.outcomes import ClaimAnswered, ClaimFailed, ClaimOutcome
from drumbay.claims.records import StoredAnswer
from drumbay.claims.service import ClaimService
from drumbay.clock import Clock
from drumbay.exceptions import DeadlineExceededError, Execution, RequestFailedError
from drumbay.identifiers import AttemptId, IdempotencyKey
from drumbay.observability.metrics import NodeMetrics
from drumbay.requests.at_most_once import Dispatch
from drumbay.requests.errors import RequestTimeoutError

KEY_SEPARATOR = "/"
RAN = "ran"
REPLAYED = "replayed"
TIMED_OUT = "timed_out"
RETRY_AFTER_SECONDS = 1.0


class ClaimedAtMostOnceRunner:
    """Implements :class:`drumbay.requests.at_most_once.AtMostOnceRunner` with the claim service.

    Args:
        claims: Claims idempotency keys.
        clock: Time source.
        metrics: Counts claims.
    """

    def __init__(self, claims: ClaimService, clock: Clock, metrics: NodeMetrics) -> None:
        """Use the node's claim service."""
        self._claims = claims
        self._clock = clock
        self._metrics = metrics

    async def run(
        self,
        *,
        scope: str,
        key: IdempotencyKey,
        digest: str,
        dispatch: Dispatch,
        remaining_seconds: float,
    ) -> ApplicationResponse:
        """Run ``dispatch`` at most once per scope and key.

        Raises:
            RequestFailedError: The request failed; the error states whether it may have run.
        """
        scoped_key = IdempotencyKey(f"{scope}{KEY_SEPARATOR}{key}")

        started_at = self._clock.monotonic()

        async def run_claimed(attempt_id: AttemptId) -> StoredAnswer:
            self._metrics.record_claim_duration(self._clock.monotonic() - started_at)
            return _to_stored_answer(await _dispatch_claimed(dispatch))

        claimed_run = self._claims.run_once(scoped_key, bytes.fromhex(digest), run_claimed)
        outcome = await self._wait_for_outcome(claimed_run, remaining_seconds)
        match outcome:
            case ClaimAnswered(answer=stored_answer, attempt_id=attempt_id, replayed=replayed):
                self._metrics.record_claim(REPLAYED if replayed else RAN)
                return ApplicationResponse(
                    attempt_id=attempt_id,
                    status=stored_answer.status,
                    body=stored_answer.body,
                    content_type=stored_answer.content_type,
                )
            case ClaimFailed():
                self._metrics.record_claim(outcome.failure.value)
                raise outcome.to_error()

    async def _wait_for_outcome(
        self, claimed_run: Coroutine[Any, Any, ClaimOutcome], timeout_seconds: float
    ) -> ClaimOutcome:
        """Await the outcome with a timeout.

        A dispatch in progress continues, and its response is stored for the caller's retry.

        Raises:
            RequestTimeoutError: The timeout expired; the request may have run.
        """
        try:
            return await self._clock.wait_for(claimed_run, timeout_seconds)
        except DeadlineExceededError as error:
            self._metrics.record_claim(TIMED_OUT)
            raise RequestTimeoutError(
                "the time limit passed",
                execution=Execution.MAY_HAVE_RUN,
                retry_after_seconds=RETRY_AFTER_SECONDS,
            ) from error


async def _dispatch_claimed(dispatch: Dispatch) -> ApplicationResponse:
    """Dispatch the request; raise a "not run" error as one that the claim service expects.

    Raises:
        BackendRefusedError: No backend has run the request.
        RequestFailedError: The request may have run.
    """
    try:
        return await dispatch()
    except RequestFailedError as error:
        if error.execution is Execution.NOT_RUN:
            raise BackendRefusedError(error.code, error.retry_after_seconds) from error
        raise


def _to_stored_answer(response: ApplicationResponse) -> StoredAnswer:
    return StoredAnswer(
        status=response.status, content_type=response.content_type, body=response.body
    )
