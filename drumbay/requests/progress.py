"""Progress of one completion across attempts: its tokens and their weight versions."""

from drumbay.api.schema import VersionSpan
from drumbay.backends.interface import (
    ExchangeBrokenError,
    FinishReason,
    GenerationRequest,
    ResponseMismatchError,
    TokenChunk,
)
from drumbay.identifiers import AttemptId, BackendId, WeightVersion


class CompletionProgress:
    """Tokens delivered so far and their weight version spans; checks the order of chunks."""

    def __init__(self) -> None:
        """Start without tokens."""
        self._token_ids: list[int] = []
        self._spans: list[VersionSpan] = []
        self._finish_reason: FinishReason | None = None

    @property
    def is_finished(self) -> bool:
        """Return whether the last chunk has been accepted."""
        return self._finish_reason is not None

    @property
    def token_ids(self) -> tuple[int, ...]:
        """Return the tokens delivered so far."""
        return tuple(self._token_ids)

    @property
    def spans(self) -> tuple[VersionSpan, ...]:
        """Return the version spans of the tokens delivered so far."""
        return tuple(self._spans)

    @property
    def last_version(self) -> WeightVersion | None:
        """Return the version of the last token; ``None`` before the first."""
        return self._spans[-1].weight_version if self._spans else None

    def accept(self, backend_id: BackendId, request: GenerationRequest, chunk: TokenChunk) -> None:
        """Append the next chunk.

        Raises:
            ResponseMismatchError: The chunk belongs to another attempt or is out of order.
            ExchangeBrokenError: The engine cancelled the attempt; the chunk is not appended.
        """
        if chunk.attempt_id != request.attempt_id:
            raise ResponseMismatchError(f"a chunk of attempt {chunk.attempt_id}")
        if chunk.first_index != len(self._token_ids):
            raise ResponseMismatchError(
                f"a chunk from token {chunk.first_index}, expected {len(self._token_ids)}"
            )
        if chunk.finish_reason is FinishReason.CANCELLED:
            raise ExchangeBrokenError("the engine cancelled the attempt")
        self._token_ids.extend(chunk.token_ids)
        self._finish_reason = chunk.finish_reason
        if chunk.token_ids:
            self._extend_spans(backend_id, chunk)

    def _extend_spans(self, backend_id: BackendId, chunk: TokenChunk) -> None:
        last = self._spans[-1] if self._spans else None
        extends_last = (
            last is not None
            and last.weight_version == chunk.weight_version
            and last.boot_id == chunk.boot_id
            and last.backend_id == backend_id
        )
        if last is None or not extends_last:
            self._spans.append(
                VersionSpan(
                    weight_version=chunk.weight_version,
                    backend_id=backend_id,
                    boot_id=chunk.boot_id,
                    first_index=chunk.first_index,
                    token_count=len(chunk.token_ids),
                )
            )
            return
        self._spans[-1] = VersionSpan(
            weight_version=last.weight_version,
            backend_id=last.backend_id,
            boot_id=last.boot_id,
            first_index=last.first_index,
            token_count=last.token_count + len(chunk.token_ids),
        )


def build_generation_request(
    *,
    attempt_id: AttemptId,
    model: str,
    prompt: str,
    max_tokens: int,
    progress: CompletionProgress,
    priority: int,
    seed: int,
    target_tokens: int | None,
    weight_version: WeightVersion | None = None,
) -> GenerationRequest:
    """Return the request of an attempt that resumes after the tokens of ``progress``."""
    return GenerationRequest(
        attempt_id=attempt_id,
        model=model,
        prompt=prompt,
        max_tokens=max_tokens,
        resume_tokens=progress.token_ids,
        weight_version=weight_version,
        priority=priority,
        seed=seed,
        target_tokens=target_tokens,
    )
