"""State of one emulated engine process, lost when it crashes."""

import asyncio
from collections.abc import AsyncGenerator

from drumbay.backends.interface import (
    BackendError,
    BackendRefusedError,
    CacheEvent,
    EngineStatus,
    ExchangeBrokenError,
    FinishReason,
    GenerationRequest,
    TokenChunk,
)
from drumbay.identifiers import AttemptId, BootId
from drumbay.standins.batch_slots import BatchSlots, LoadHistory, LoadSample
from drumbay.standins.cache_transfer import CacheTransfers
from drumbay.standins.engine_context import EngineContext
from drumbay.standins.engine_decoder import EngineDecoder
from drumbay.standins.engine_orders import LoadedWeights, OrderExecutor, WeightSource
from drumbay.standins.execution_log import (
    GenerationAccepted,
    GenerationOutcome,
    GenerationRefused,
)
from drumbay.standins.faults import FaultKind
from drumbay.standins.generation import Generation
from drumbay.standins.order_queue import OrderQueue
from drumbay.standins.prefix_cache import CacheEventFeed, PrefixCache


class EngineProcess:
    """Batch, queue, cache and orders of one engine process.

    Attributes:
        boot_id: Identity of the process.
        weights: Loaded weights.
        orders: Orders in progress.
        cache_transfers: Exportable and imported KV caches.
        ended: Whether the process has crashed.
    """

    def __init__(
        self,
        context: EngineContext,
        boot_id: BootId,
        weights: LoadedWeights,
        weight_source: WeightSource | None,
    ) -> None:
        """Start with an empty cache and an empty batch."""
        parameters = context.parameters
        self.boot_id = boot_id
        self.weights = weights
        self.ended = False
        self._context = context
        self._load_history = LoadHistory(parameters.load_report_lag_seconds)
        self._slots = BatchSlots(parameters.max_batch, self._record_load)
        self._feed = CacheEventFeed(
            parameters.cache_event_delay_seconds, parameters.cache_event_backlog
        )
        cache = PrefixCache(parameters.cache_blocks)
        self._decoder = EngineDecoder(
            context, weights, self._slots, cache, self._publish_cache_event
        )
        executor = OrderExecutor(context, weights, weight_source)
        self.orders = OrderQueue(context, boot_id, weights, executor, self._finish_order)
        self.cache_transfers = CacheTransfers(weights)
        self._generations: dict[AttemptId, Generation] = {}
        self._previous_request: GenerationRequest | None = None

    def admit(self, request: GenerationRequest) -> Generation:
        """Check a request and add it to the queue.

        Raises:
            BackendRefusedError: The request is not accepted.
        """
        reason = self._refusal_reason(request)
        if reason is not None:
            self._log_refusal(request, reason)
            retry_after = self._context.parameters.overload_retry_seconds
            raise BackendRefusedError(reason, retry_after)
        generation = Generation(request, self.boot_id, self._slots.enqueue(request.priority))
        generation.cache_imported = self.cache_transfers.consume_import(request)
        self.cache_transfers.retain(generation)
        self._apply_response_faults(generation)
        self._previous_request = request
        self._generations[request.attempt_id] = generation
        self._context.log.append(
            GenerationAccepted(
                time_seconds=self._context.clock.monotonic(),
                source=self._context.backend_id,
                boot_id=self.boot_id,
                attempt_id=request.attempt_id,
                requested_version=request.weight_version,
            )
        )
        name = f"generation-{request.attempt_id}"
        generation.task = self._context.tasks.spawn(self._run_generation(generation), name)
        return generation

    async def stream(self, generation: Generation) -> AsyncGenerator[TokenChunk]:
        """Yield the chunks of an admitted request; closing the stream cancels the request.

        Raises:
            ExchangeBrokenError: The stream broke.
        """
        try:
            while True:
                chunk = await generation.chunks.get()
                await self._context.freeze_gate.wait_open()
                if isinstance(chunk, BackendError):
                    raise chunk
                yield chunk
                if chunk.finish_reason is not None:
                    return
        finally:
            self._end_generation(generation, GenerationOutcome.CANCELLED)

    def cancel(self, attempt_id: AttemptId) -> None:
        """Cancel an attempt; its stream ends with the finish reason ``cancelled``."""
        generation = self._generations.get(attempt_id)
        if generation is not None:
            self._end_generation(generation, GenerationOutcome.CANCELLED)

    def abort(self) -> None:
        """Break every stream and order, as a process crash does."""
        self.ended = True
        for generation in list(self._generations.values()):
            self._end_generation(generation, GenerationOutcome.CRASHED)
        self.orders.abort()

    def status(self) -> EngineStatus:
        """Return the status of the engine; its load values lag."""
        load = self._load_history.report(self._context.clock.monotonic())
        return EngineStatus(
            backend_id=self._context.backend_id,
            boot_id=self.boot_id,
            model=self.weights.model,
            weight_version=self.weights.reported_version,
            highest_fence=self.weights.highest_fence,
            running=load.running,
            waiting=load.waiting,
            observed_age_seconds=self._context.parameters.load_report_lag_seconds,
        )

    def cache_events(self, after_sequence: int) -> tuple[CacheEvent, ...]:
        """Return the events published so far after a sequence number."""
        return self._feed.published(self._context.clock.monotonic(), after_sequence)

    def _refusal_reason(self, request: GenerationRequest) -> str | None:
        if request.model != self.weights.model:
            return "model_not_loaded"
        version = request.weight_version
        if version is not None and version != self.weights.reported_version:
            return "version_not_loaded"
        if request.attempt_id in self._generations:
            return "attempt_id_in_use"
        if self._slots.full and self._slots.waiting >= self._context.parameters.max_waiting:
            return "overloaded"
        return self.cache_transfers.refusal_reason(request)

    def _apply_response_faults(self, generation: Generation) -> None:
        faults = self._context.faults
        generation.truncated = faults.should_inject(FaultKind.TRUNCATED_ANSWER)
        generation.delay_pending = faults.should_inject(FaultKind.LATE_ANSWER)
        if self._previous_request is not None and faults.should_inject(FaultKind.CROSSED_ANSWER):
            generation.mismatched_request = self._previous_request

    async def _run_generation(self, generation: Generation) -> None:
        await generation.ticket.granted
        outcome = await self._decoder.decode(generation)
        self._end_generation(generation, outcome)

    def _end_generation(self, generation: Generation, outcome: GenerationOutcome) -> None:
        """Record the outcome of a generation and release its slot; idempotent."""
        if generation.outcome is not None:
            return
        generation.outcome = outcome
        self._generations.pop(generation.request.attempt_id, None)
        self._slots.release(generation.ticket)
        now = self._context.clock.monotonic()
        record = generation.ended_record(now, self._context.backend_id, outcome)
        self._context.log.append(record)
        if outcome is GenerationOutcome.CANCELLED:
            generation.chunks.put_nowait(self._cancelled_chunk(generation))
        elif outcome is not GenerationOutcome.FINISHED:
            generation.chunks.put_nowait(ExchangeBrokenError(f"the stream ended: {outcome}"))
        task = generation.task
        if task is not None and task is not asyncio.current_task():
            task.cancel()

    def _cancelled_chunk(self, generation: Generation) -> TokenChunk:
        return TokenChunk(
            attempt_id=generation.request.attempt_id,
            boot_id=self.boot_id,
            weight_version=self.weights.version,
            first_index=generation.next_index,
            token_ids=(),
            finish_reason=FinishReason.CANCELLED,
        )

    def _finish_order(self) -> EngineStatus:
        for generation in list(self._generations.values()):
            if generation.request.model != self.weights.model:
                self._end_generation(generation, GenerationOutcome.MODEL_CHANGED)
        return self.status()

    def _log_refusal(self, request: GenerationRequest, reason: str) -> None:
        self._context.log.append(
            GenerationRefused(
                time_seconds=self._context.clock.monotonic(),
                source=self._context.backend_id,
                boot_id=self.boot_id,
                attempt_id=request.attempt_id,
                reason=reason,
            )
        )

    def _record_load(self) -> None:
        self._load_history.record(
            LoadSample(
                time_seconds=self._context.clock.monotonic(),
                running=self._slots.running,
                waiting=self._slots.waiting,
            )
        )

    def _publish_cache_event(self, event: CacheEvent) -> None:
        if self._context.random_source.random() < self._context.parameters.cache_event_loss:
            return
        self._feed.append(self._context.clock.monotonic(), event)
