"""At-most-once execution through claims on a quorum of replicas."""

from collections.abc import Coroutine
from typing import Any

from drumbay.backends.interface import ApplicationAnswer, BackendRefusedError
from drumbay.claims.outcomes import ClaimAnswered, ClaimFailed, ClaimOutcome
from drumbay.claims.records import StoredAnswer
from drumbay.claims.service import ClaimService
from drumbay.clock import Clock
from drumbay.exceptions import DeadlineExceededError, Execution, RequestFailedError
from drumbay.identifiers import AttemptId, IdempotencyKey
from drumbay.observability.metrics import NodeMetrics
from drumbay.requests.errors import RequestTimeoutError
from drumbay.requests.once import Dispatch

KEY_SEPARATOR = "/"
RAN = "ran"
REPLAYED = "replayed"
TIMED_OUT = "timed_out"
RETRY_AFTER_SECONDS = 1.0


class ClaimedOnceRunner:
    """Implements :class:`drumbay.requests.once.OnceRunner` by claims.

    Args:
        claims: Claims idempotency keys.
        clock: Time.
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
    ) -> ApplicationAnswer:
        """Run ``dispatch`` at most once per scope and key.

        Raises:
            RequestFailedError: It was not served; the error says whether it may have run.
        """
        scoped_key = IdempotencyKey(f"{scope}{KEY_SEPARATOR}{key}")

        started_at = self._clock.monotonic()

        async def run_claimed(attempt_id: AttemptId) -> StoredAnswer:
            self._metrics.record_claim_duration(self._clock.monotonic() - started_at)
            return _stored(await _dispatch_claimed(dispatch))

        claimed = self._claims.run_once(scoped_key, bytes.fromhex(digest), run_claimed)
        outcome = await self._within(claimed, remaining_seconds)
        match outcome:
            case ClaimAnswered(answer=answer, attempt_id=attempt_id, replayed=replayed):
                self._metrics.record_claim(REPLAYED if replayed else RAN)
                return ApplicationAnswer(
                    attempt_id=attempt_id,
                    status=answer.status,
                    body=answer.body,
                    content_type=answer.content_type,
                )
            case ClaimFailed():
                self._metrics.record_claim(outcome.failure.value)
                raise outcome.to_error()

    async def _within(
        self, claimed: Coroutine[Any, Any, ClaimOutcome], limit_seconds: float
    ) -> ClaimOutcome:
        """Await a claimed run with a time limit.

        A dispatch under way goes on, and its answer is stored for the caller's retry.

        Raises:
            RequestTimeoutError: The limit passed; the request may have run.
        """
        try:
            return await self._clock.wait_for(claimed, limit_seconds)
        except DeadlineExceededError as error:
            self._metrics.record_claim(TIMED_OUT)
            raise RequestTimeoutError(
                "the time limit passed",
                execution=Execution.MAY_HAVE_RUN,
                retry_after_seconds=RETRY_AFTER_SECONDS,
            ) from error


async def _dispatch_claimed(dispatch: Dispatch) -> ApplicationAnswer:
    """Dispatch, and tell the claim service by its own exception when nothing ran.

    Raises:
        BackendRefusedError: No back end has run the request.
        RequestFailedError: It may have run.
    """
    try:
        return await dispatch()
    except RequestFailedError as error:
        if error.execution is Execution.NOT_RUN:
            raise BackendRefusedError(error.code, error.retry_after_seconds) from error
        raise


def _stored(answer: ApplicationAnswer) -> StoredAnswer:
    return StoredAnswer(status=answer.status, content_type=answer.content_type, body=answer.body)
