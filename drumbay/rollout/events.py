"""Events and decisions of the rollout scheduler."""

from enum import StrEnum

import msgspec

from drumbay.explain.records import CandidateVerdict
from drumbay.identifiers import BackendId, WeightVersion
from drumbay.rollout.sample import RolloutPrompt, SampleKey, TokenSpan
from drumbay.rollout.staleness import StalenessForecast


class WantedSample(msgspec.Struct, frozen=True, kw_only=True):
    """A sample to generate."""

    key: SampleKey
    prompt: RolloutPrompt


class WantedSamplesChanged(msgspec.Struct, frozen=True, kw_only=True):
    """The complete set of samples to generate; all others are cancelled."""

    wanted: tuple[WantedSample, ...]


class EngineReported(msgspec.Struct, frozen=True, kw_only=True):
    """Current state of one engine.

    Attributes:
        backend_id: The engine.
        version: Version that serves new requests; with ``None`` no attempts are dispatched.
        slots: Maximum number of concurrent requests, including ``other_load``.
        other_load: Running and queued requests that are not rollouts of this scheduler.
        excess: Number of rollouts to preempt, because other requests wait for their slots.
        contended: Whether other requests demand more than their share of the engine.
    """

    backend_id: BackendId
    version: WeightVersion | None
    slots: int
    other_load: int = 0
    excess: int = 0
    contended: bool = False


class EnginesLost(msgspec.Struct, frozen=True, kw_only=True):
    """Engines get no new attempts, e.g. as they left; attempts on them end separately."""

    backend_ids: tuple[BackendId, ...]


class StalenessForecastChanged(msgspec.Struct, frozen=True, kw_only=True):
    """The forecast of the versions that the trainer accepts changed."""

    forecast: StalenessForecast


class ChunkReceived(msgspec.Struct, frozen=True, kw_only=True):
    """An attempt generated tokens.

    Attributes:
        key: The sample.
        attempt: Number of the attempt, as in its :class:`Dispatch`.
        version: Weight version that generated the chunk.
        spans: Origin of all tokens of the sample, including this chunk.
    """

    key: SampleKey
    attempt: int
    version: WeightVersion
    spans: tuple[TokenSpan, ...]


class SampleFinished(msgspec.Struct, frozen=True, kw_only=True):
    """An attempt completed its sample."""

    key: SampleKey
    attempt: int


class AttemptFailure(StrEnum):
    """Why an attempt ended before the sample was complete."""

    NOT_REACHED = "not_reached"
    REFUSED = "refused"
    VERSION_NOT_LOADED = "version_not_loaded"
    BROKEN = "broken"


class AttemptFailed(msgspec.Struct, frozen=True, kw_only=True):
    """An attempt ended before its sample was complete; the tokens so far are kept."""

    key: SampleKey
    attempt: int
    failure: AttemptFailure
    retry_after_seconds: float | None = None


class Tick(msgspec.Struct, frozen=True, kw_only=True):
    """Periodic event without new information."""


RolloutEvent = (
    WantedSamplesChanged
    | EngineReported
    | EnginesLost
    | StalenessForecastChanged
    | ChunkReceived
    | SampleFinished
    | AttemptFailed
    | Tick
)


class Dispatch(msgspec.Struct, frozen=True, kw_only=True):
    """Start an attempt.

    Attributes:
        key: The sample.
        prompt: The prompt.
        attempt: Number of the attempt, unique per scheduler.
        backend_id: The engine.
        version: Version to request from the engine.
        priority: Priority in the engine's queue; higher runs first.
        kept_tokens: Number of leading tokens to resume from; the others are dropped.
        candidates: Verdicts on all engines, the selected one first.
    """

    key: SampleKey
    prompt: RolloutPrompt
    attempt: int
    backend_id: BackendId
    version: WeightVersion
    priority: int
    kept_tokens: int
    candidates: tuple[CandidateVerdict, ...] = ()


class CancelReason(StrEnum):
    """Why a running attempt is cancelled."""

    STALE_TOKENS = "stale_tokens"
    WOULD_EXPIRE = "would_expire"
    MOVE = "move"
    PREEMPTED = "preempted"
    NOT_WANTED = "not_wanted"


class Cancel(msgspec.Struct, frozen=True, kw_only=True):
    """Stop an attempt; the next :class:`Dispatch` of the sample states which tokens are kept."""

    key: SampleKey
    attempt: int
    reason: CancelReason


RolloutDecision = Dispatch | Cancel
