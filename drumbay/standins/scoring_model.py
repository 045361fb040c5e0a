"""Emulated scoring service: ``POST`` a prompt and a completion to get a score."""

import random

import msgspec
import xxhash

from drumbay.backends.interface import ApplicationRequest, ApplicationResponse
from drumbay.clock import Clock
from drumbay.identifiers import BackendId
from drumbay.standins.execution_log import ScoringExecuted
from drumbay.standins.service_model import (
    ExecutionContext,
    ServiceModel,
    ServiceParameters,
    ServiceResult,
)

HTTP_OK = 200
SCORE_STEPS = 1000


class ScoreRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Body of a scoring request."""

    prompt: str
    token_ids: tuple[int, ...]


class ScoreResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Response body; ``score`` is between 0 and 1."""

    score: float


def compute_score(request: ScoreRequest) -> float:
    """Return a deterministic score of a completion."""
    hashed: int = xxhash.xxh64_intdigest(msgspec.json.encode(request))
    return (hashed % SCORE_STEPS) / SCORE_STEPS


class ScoringOperations:
    """Operations of the scoring service."""

    def rejection_reason(self, request: ApplicationRequest) -> str | None:
        """Reject bodies that are not a score request."""
        try:
            msgspec.json.decode(request.body, type=ScoreRequest)
        except msgspec.DecodeError:
            return "invalid_body"
        return None

    def execute(self, context: ExecutionContext, request: ApplicationRequest) -> ServiceResult:
        """Score one completion."""
        score = compute_score(msgspec.json.decode(request.body, type=ScoreRequest))
        return ServiceResult(
            response=ApplicationResponse(
                attempt_id=request.attempt_id,
                status=HTTP_OK,
                body=msgspec.json.encode(ScoreResponse(score=score)),
                content_type="application/json",
            ),
            record=ScoringExecuted(
                time_seconds=context.time_seconds,
                source=context.source,
                boot_id=context.boot_id,
                attempt_id=request.attempt_id,
                score=score,
            ),
        )


class ScoringModel(ServiceModel):
    """Emulated scoring service."""

    def __init__(
        self,
        clock: Clock,
        backend_id: BackendId,
        random_source: random.Random,
        parameters: ServiceParameters | None = None,
    ) -> None:
        """Create a scoring service with a running process."""
        super().__init__(clock, backend_id, ScoringOperations(), random_source, parameters)
