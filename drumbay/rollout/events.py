"""Events that the rollout scheduler takes and decisions that it returns."""

from enum import StrEnum

import msgspec

from drumbay.explain.records import CandidateVerdict
from drumbay.identifiers import BackendId, WeightVersion
from drumbay.rollout.sample import RolloutPrompt, SampleKey, TokenSpan
from drumbay.rollout.staleness import FloorForecast


class WantedSample(msgspec.Struct, frozen=True, kw_only=True):
    """A sample that has to be generated."""

    key: SampleKey
    prompt: RolloutPrompt


class WorkChanged(msgspec.Struct, frozen=True, kw_only=True):
    """The whole set of samples that have to be generated; others are given up."""

    wanted: tuple[WantedSample, ...]


class EngineReported(msgspec.Struct, frozen=True, kw_only=True):
    """Newest knowledge of one engine.

    Attributes:
        backend_id: The engine.
        version: Version that serves new requests; ``None`` takes no new work.
        slots: Requests that may run there at once, those of ``other_load`` included.
        other_load: Requests of other work in its batch and queue.
        excess: Rollouts to stop there now, because other work waits for their places.
        contended: Whether other work asks for more than its share of the engine.
    """

    backend_id: BackendId
    version: WeightVersion | None
    slots: int
    other_load: int = 0
    excess: int = 0
    contended: bool = False


class EngineLost(msgspec.Struct, frozen=True, kw_only=True):
    """An engine left or is unreachable; its attempts fail on their own."""

    backend_id: BackendId


class FloorChanged(msgspec.Struct, frozen=True, kw_only=True):
    """The trainer accepts other versions than before, or is expected to."""

    forecast: FloorForecast


class ChunkReceived(msgspec.Struct, frozen=True, kw_only=True):
    """An attempt produced tokens.

    Attributes:
        key: The sample.
        attempt: Number of the attempt, as in its :class:`Dispatch`.
        version: Version that the engine stamped on the chunk.
        spans: Origin of all tokens of the sample, this chunk included.
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
    """Why an attempt ended without a finished sample."""

    NOT_REACHED = "not_reached"
    REFUSED = "refused"
    VERSION_NOT_LOADED = "version_not_loaded"
    BROKEN = "broken"


class SampleFailed(msgspec.Struct, frozen=True, kw_only=True):
    """An attempt ended without a finished sample; its tokens so far are held."""

    key: SampleKey
    attempt: int
    failure: AttemptFailure
    retry_after_seconds: float | None = None


class TimePassed(msgspec.Struct, frozen=True, kw_only=True):
    """Nothing happened; decide again."""


RolloutEvent = (
    WorkChanged
    | EngineReported
    | EngineLost
    | FloorChanged
    | ChunkReceived
    | SampleFinished
    | SampleFailed
    | TimePassed
)


class Dispatch(msgspec.Struct, frozen=True, kw_only=True):
    """Start an attempt.

    Attributes:
        key: The sample.
        prompt: What to complete.
        attempt: Number of the attempt, unique per scheduler.
        backend_id: The engine.
        version: Version that the request names.
        priority: Priority at the engine; larger runs first.
        kept_tokens: Leading tokens to resume from; the others are dropped.
        candidates: Engines as the choice saw them, the chosen one first.
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
    """Stop an attempt; a later :class:`Dispatch` of the sample says what is kept."""

    key: SampleKey
    attempt: int
    reason: CancelReason


RolloutDecision = Dispatch | Cancel
