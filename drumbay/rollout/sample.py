"""Rollout samples and the weight versions that produced their tokens.

The spans of a sample are built only from what engines stamped on the chunks. The version
that was ordered or requested is never used: an engine may acknowledge a swap that failed.
"""

from array import array

import msgspec

from drumbay.backends.interface import FinishReason, TokenChunk
from drumbay.identifiers import AttemptId, BootId, SampleId, StreamName, WeightVersion
from drumbay.rollout.exceptions import (
    CacheVersionMismatchError,
    ChunkOutOfSequenceError,
    ForeignChunkError,
    IncompleteSampleError,
)

TOKEN_ID_TYPE = "q"
"""Code of a signed 64-bit number for :class:`array.array`."""

MAX_TEXT_PIECES = 64


class SampleKey(msgspec.Struct, frozen=True, order=True):
    """Place of a sample in its stream.

    Attributes:
        step: Number of the trainer's step that asked for the sample.
        index: Index of the sample in the step, from 0.
        reroll: How often a delivered-but-refused sample of this place was replaced.
    """

    step: int
    index: int
    reroll: int = 0

    def sample_id(self, stream: StreamName) -> SampleId:
        """Return the identifier that is unique in the cluster."""
        return SampleId(f"{stream}/{self.step}/{self.index}/{self.reroll}")

    def next_reroll(self) -> "SampleKey":
        """Return the key of the sample that replaces a refused one."""
        return SampleKey(self.step, self.index, self.reroll + 1)


class RolloutPrompt(msgspec.Struct, frozen=True, kw_only=True):
    """What a trainer asks to be completed.

    Attributes:
        text: The prompt.
        group: Prompts of one group share their text; their lengths are correlated.
        max_tokens: Most tokens of the completion.
        seed: Seed of the sampling.
        target_tokens: Length hint for emulated engines; ``None`` on real ones.
    """

    text: str
    group: str
    max_tokens: int
    seed: int = 0
    target_tokens: int | None = None


class TokenSpan(msgspec.Struct, frozen=True, kw_only=True):
    """Consecutive tokens produced by one run of one engine under one weight version."""

    weight_version: WeightVersion
    boot_id: BootId
    attempt_id: AttemptId
    first_index: int
    token_count: int


class Sample(msgspec.Struct, frozen=True, kw_only=True):
    """A finished completion with the origin of each of its tokens."""

    key: SampleKey
    prompt: RolloutPrompt
    token_ids: tuple[int, ...]
    text: str
    spans: tuple[TokenSpan, ...]
    finish_reason: FinishReason

    @property
    def oldest_version(self) -> WeightVersion:
        """Return the oldest version that produced a token of the sample."""
        return min(span.weight_version for span in self.spans)


class _SpanText:
    """Text of one span; its pieces are joined now and then to save memory."""

    __slots__ = ("_pieces",)

    def __init__(self) -> None:
        self._pieces: list[str] = []

    def append(self, text: str) -> None:
        self._pieces.append(text)
        if len(self._pieces) > MAX_TEXT_PIECES:
            self._pieces = [self.joined()]

    def joined(self) -> str:
        return "".join(self._pieces)


class SampleBuilder:
    """Collects the chunks of one sample over its attempts."""

    def __init__(self, key: SampleKey, prompt: RolloutPrompt) -> None:
        """Create a builder without tokens."""
        self.key = key
        self.prompt = prompt
        # NOTE: an owner holds thousands of samples; a list of numbers takes nine times as much.
        self._token_ids = array(TOKEN_ID_TYPE)
        self._spans: list[TokenSpan] = []
        self._texts: list[_SpanText] = []
        self._attempt_id: AttemptId | None = None
        self._finish_reason: FinishReason | None = None

    @property
    def token_ids(self) -> tuple[int, ...]:
        """Return the tokens held so far."""
        return tuple(self._token_ids)

    @property
    def token_count(self) -> int:
        """Return the number of tokens held so far."""
        return len(self._token_ids)

    @property
    def spans(self) -> tuple[TokenSpan, ...]:
        """Return the origin of the tokens held so far."""
        return tuple(self._spans)

    @property
    def oldest_version(self) -> WeightVersion | None:
        """Return the oldest version among the tokens, or ``None`` without tokens."""
        return min((span.weight_version for span in self._spans), default=None)

    def start_attempt(self, attempt_id: AttemptId) -> None:
        """Take chunks of this attempt only, from now on."""
        self._attempt_id = attempt_id

    def keep_tokens(self, token_count: int) -> None:
        """Drop the tokens from an index on.

        Args:
            token_count: How many leading tokens are kept; whole spans.

        Raises:
            ChunkOutOfSequenceError: The index lies inside a span or past the end.
        """
        kept_spans = [span for span in self._spans if span.first_index < token_count]
        if sum(span.token_count for span in kept_spans) != token_count:
            raise ChunkOutOfSequenceError(f"no span ends at token {token_count}")
        self._spans = kept_spans
        self._texts = self._texts[: len(kept_spans)]
        del self._token_ids[token_count:]
        self._finish_reason = None

    def add_chunk(self, chunk: TokenChunk) -> None:
        """Append the tokens of a chunk.

        Raises:
            ForeignChunkError: The chunk is not of the current attempt.
            ChunkOutOfSequenceError: The chunk leaves a gap, overlaps, or follows the end.
        """
        if chunk.attempt_id != self._attempt_id:
            raise ForeignChunkError(f"chunk of {chunk.attempt_id}, expected {self._attempt_id}")
        if chunk.first_index != self.token_count or self._finish_reason is not None:
            raise ChunkOutOfSequenceError(
                f"chunk at {chunk.first_index}, expected {self.token_count}"
            )
        self._extend_spans(chunk)
        self._token_ids.extend(chunk.token_ids)
        self._texts[-1].append(chunk.text)
        # NOTE: an engine ends a cancelled attempt with CANCELLED; the sample is not whole.
        if chunk.finish_reason in (FinishReason.STOP, FinishReason.LENGTH):
            self._finish_reason = chunk.finish_reason

    def _extend_spans(self, chunk: TokenChunk) -> None:
        # NOTE: an empty completion still names the version that decided to stop.
        if not chunk.token_ids and self._spans:
            return
        added = TokenSpan(
            weight_version=chunk.weight_version,
            boot_id=chunk.boot_id,
            attempt_id=chunk.attempt_id,
            first_index=chunk.first_index,
            token_count=len(chunk.token_ids),
        )
        if self._spans and _same_origin(self._spans[-1], added):
            last = self._spans.pop()
            token_count = last.token_count + added.token_count
            added = msgspec.structs.replace(last, token_count=token_count)
        else:
            self._texts.append(_SpanText())
        self._spans.append(added)

    def finish(self) -> Sample:
        """Return the finished sample.

        Raises:
            IncompleteSampleError: The last chunk has not arrived.
        """
        if self._finish_reason is None:
            raise IncompleteSampleError(f"{self.token_count} tokens without a finish reason")
        return Sample(
            key=self.key,
            prompt=self.prompt,
            token_ids=self.token_ids,
            text="".join(span_text.joined() for span_text in self._texts),
            spans=self.spans,
            finish_reason=self._finish_reason,
        )


def _same_origin(first: TokenSpan, second: TokenSpan) -> bool:
    return (
        first.weight_version == second.weight_version
        and first.boot_id == second.boot_id
        and first.attempt_id == second.attempt_id
    )


def check_cache_import(cache_version: WeightVersion, serving_version: WeightVersion) -> None:
    """Refuse to continue a sample on a KV cache of another weight version.

    Raises:
        CacheVersionMismatchError: The versions differ.
    """
    if cache_version != serving_version:
        raise CacheVersionMismatchError(
            f"cache of version {cache_version}, engine serves {serving_version}"
        )
