"""Prefill and decode of a generation on an emulated engine."""

from collections.abc import Callable

from drumbay.backends.interface import CacheEvent, FinishReason, TokenChunk
from drumbay.backends.prefix_hash import BLOCK_CHARACTERS, prefix_hashes
from drumbay.identifiers import WeightVersion
from drumbay.standins.batch_slots import BatchSlots
from drumbay.standins.engine_context import EngineContext
from drumbay.standins.engine_orders import LoadedWeights
from drumbay.standins.execution_log import GenerationOutcome
from drumbay.standins.generation import CHARACTERS_PER_TOKEN, Generation
from drumbay.standins.prefix_cache import PrefixCache
from drumbay.standins.token_source import token_at, token_text

BLOCK_TOKENS = BLOCK_CHARACTERS // CHARACTERS_PER_TOKEN


class EngineDecoder:
    """Prefills prompts and decodes tokens at the rate of the batch."""

    def __init__(
        self,
        context: EngineContext,
        weights: LoadedWeights,
        slots: BatchSlots,
        cache: PrefixCache,
        publish: Callable[[CacheEvent], None],
    ) -> None:
        """Create a decoder; ``publish`` is called with each prefix cache event."""
        self._context = context
        self._weights = weights
        self._slots = slots
        self._cache = cache
        self._publish = publish

    async def decode(self, generation: Generation) -> GenerationOutcome:
        """Run a generation that has a batch slot, and return how it ended."""
        generation.started_at_seconds = self._context.clock.monotonic()
        await self._prefill(generation)
        while generation.next_index < generation.length:
            if generation.truncated and generation.next_index >= generation.truncation_index:
                return GenerationOutcome.TRUNCATED
            await self._decode_chunk(generation)
        if generation.next_index == len(generation.request.resume_tokens):
            self._emit(generation, generation.next_index, (), self._weights.version)
        return GenerationOutcome.FINISHED

    async def _prefill(self, generation: Generation) -> None:
        request = generation.request
        version = self._weights.version
        generation.prefill_version = version
        if generation.cache_imported:
            return
        hashes = prefix_hashes(request.model, request.prompt)
        cached_tokens = self._cache.cached_blocks(version, hashes) * BLOCK_TOKENS
        uncached_tokens = generation.prompt_tokens + len(request.resume_tokens) - cached_tokens
        await self._context.decode(self._context.parameters.rate.prefill_seconds(uncached_tokens))
        for event in self._cache.store(version, hashes):
            self._publish(event)

    async def _decode_chunk(self, generation: Generation) -> None:
        parameters = self._context.parameters
        first = generation.next_index
        count = min(parameters.chunk_tokens, generation.length - first)
        await self._context.decode(parameters.rate.decode_seconds(count, self._slots.running))
        if generation.delay_pending:
            generation.delay_pending = False
            await self._context.decode(parameters.late_answer_seconds)
        # Read after the wait: a weight swap may have happened during the decode step.
        version = self._weights.version
        request = generation.request
        tokens = tuple(
            token_at(request.model, request.seed, request.prompt, version, index)
            for index in range(first, first + count)
        )
        generation.add_tokens(version, tokens)
        self._emit(generation, first, tokens, version)

    def _emit(
        self,
        generation: Generation,
        first: int,
        tokens: tuple[int, ...],
        version: WeightVersion,
    ) -> None:
        request = generation.request
        attributed_request = generation.mismatched_request or request
        if attributed_request is not request:
            tokens = tuple(
                token_at(
                    attributed_request.model,
                    attributed_request.seed,
                    attributed_request.prompt,
                    version,
                    first + offset,
                )
                for offset in range(len(tokens))
            )
        generation.chunks.put_nowait(
            TokenChunk(
                attempt_id=attributed_request.attempt_id,
                boot_id=generation.boot_id,
                weight_version=version,
                first_index=first,
                token_ids=tokens,
                text="".join(token_text(token) for token in tokens),
                finish_reason=self._finish_reason(generation),
            )
        )

    def _finish_reason(self, generation: Generation) -> FinishReason | None:
        if generation.next_index < generation.length:
            return None
        if generation.unbounded_length <= generation.request.max_tokens:
            return FinishReason.STOP
        return FinishReason.LENGTH
