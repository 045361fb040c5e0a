"""An emulated scoring service: ``POST`` a prompt and a completion, get a score."""

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


class ScoreAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Body of the answer; ``score`` is from 0 to 1."""

    score: float


def score_of(request: ScoreRequest) -> float:
    """Return the score of a completion; it depends on the request alone."""
    hashed: int = xxhash.xxh64_intdigest(msgspec.json.encode(request))
    return (hashed % SCORE_STEPS) / SCORE_STEPS


class ScoringOperations:
    """Scores completions."""

    def rejection(self, request: ApplicationRequest) -> str | None:
        """Refuse bodies that are not a score request."""
        try:
            msgspec.json.decode(request.body, type=ScoreRequest)
        except msgspec.DecodeError:
            return "invalid_body"
        return None

    def execute(self, context: ExecutionContext, request: ApplicationRequest) -> ServiceResult:
        """Score one completion."""
        score = score_of(msgspec.json.decode(request.body, type=ScoreRequest))
        return ServiceResult(
            answer=ApplicationResponse(
                attempt_id=request.attempt_id,
                status=HTTP_OK,
                body=msgspec.json.encode(ScoreAnswer(score=score)),
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
    """One emulated scoring service."""

    def __init__(
        self,
        clock: Clock,
        backend_id: BackendId,
        random_source: random.Random,
        parameters: ServiceParameters | None = None,
    ) -> None:
        """Create a scoring service whose process has started."""
        super().__init__(clock, backend_id, ScoringOperations(), random_source, parameters)
