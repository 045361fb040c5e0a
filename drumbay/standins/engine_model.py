"""An emulated inference engine with continuous batching.

Time and randomness are injected, so the same model runs on virtual time in a simulation and
behind an HTTP server in a process. Requests are never preempted; a weight update switches
running requests to the new version in mid-stream, as in Piché et al., "PipelineRL" (2025),
section 4.
"""

import random
from collections.abc import AsyncGenerator, Callable
from contextlib import aclosing

from drumbay.backends.interface import (
    BackendError,
    BackendNotReachedError,
    CacheEvent,
    EngineStatus,
    ExchangeBrokenError,
    FencedOrder,
    GenerationRequest,
    TokenChunk,
)
from drumbay.clock import Clock
from drumbay.identifiers import AttemptId, BackendId, BootId, Fence, WeightVersion
from drumbay.standins.cache_transfer import CacheExport
from drumbay.standins.engine_context import EngineContext
from drumbay.standins.engine_orders import LoadedWeights, WeightSource
from drumbay.standins.engine_parameters import EngineParameters
from drumbay.standins.engine_process import EngineProcess
from drumbay.standins.execution_log import ExecutionLog
from drumbay.standins.faults import FaultSwitches

NO_FENCE = Fence(0)


class EngineModel:
    """Emulated engine across restarts of its process."""

    def __init__(
        self,
        clock: Clock,
        backend_id: BackendId,
        model: str,
        weight_version: WeightVersion,
        random_source: random.Random,
        parameters: EngineParameters | None = None,
        weight_source: WeightSource | None = None,
    ) -> None:
        """Create an engine with a running process.

        Args:
            clock: Clock of the engine.
            backend_id: Name of the engine.
            model: Model loaded at each start.
            weight_version: Version loaded at each start.
            random_source: Source of randomness for boot ids and lost cache events.
            parameters: Sizes, rates and delays.
            weight_source: Where weights are fetched from; with ``None`` no fetch is needed.
        """
        parameters = parameters or EngineParameters()
        self._context = EngineContext(clock, backend_id, random_source, parameters)
        self._initial_model = model
        self._initial_version = weight_version
        self._weight_source = weight_source
        self._process = self._start(NO_FENCE)

    @property
    def backend_id(self) -> BackendId:
        """Name of the engine."""
        return self._context.backend_id

    @property
    def log(self) -> ExecutionLog:
        """Execution log of the engine."""
        return self._context.log

    @property
    def faults(self) -> FaultSwitches:
        """Injectable faults."""
        return self._context.faults

    @property
    def boot_id(self) -> BootId:
        """Identity of the current or last process."""
        return self._process.boot_id

    @property
    def crashed(self) -> bool:
        """Whether the process is down."""
        return self._process.ended

    @property
    def actual_version(self) -> WeightVersion:
        """Version that produces tokens; the reported one can differ."""
        return self._process.weights.version

    def set_crash_callback(self, on_crash: Callable[[], None]) -> None:
        """Set the function that is called when the process crashes."""
        self._context.on_crash = on_crash

    def crash(self) -> None:
        """Crash the process; every stream breaks and its state is lost."""
        if self._process.ended:
            return
        self._context.log_crash(self.boot_id)
        self._process.abort()
        # Wakes callers that wait for a frozen process, so that they see the crash.
        self.resume()

    def restart(self) -> None:
        """Restart the process with the initial weights and an empty cache."""
        self.crash()
        keeps_fence = self._context.parameters.keeps_fence_over_restart
        fence = self._process.weights.highest_fence if keeps_fence else NO_FENCE
        self._process = self._start(fence)

    def freeze(self) -> None:
        """Pause all work; requests are still accepted but get no response."""
        self._context.freeze()

    def resume(self) -> None:
        """Resume the work of a frozen process."""
        self._context.resume()

    async def close(self) -> None:
        """Stop the process and all background tasks."""
        self.crash()
        await self._context.tasks.close()

    async def generate(self, request: GenerationRequest) -> AsyncGenerator[TokenChunk]:
        """Run an attempt and yield its chunks; closing the iterator cancels the attempt.

        Raises:
            BackendNotReachedError: The process is down.
            BackendRefusedError: The engine rejected the request.
            ExchangeBrokenError: The stream broke.
        """
        process = await self._running_process()
        generation = process.admit(request)
        # Closing this iterator must close the inner one too.
        async with aclosing(process.stream(generation)) as chunks:
            async for chunk in chunks:
                yield chunk

    def drain_in_background(self, chunks: AsyncGenerator[TokenChunk]) -> None:
        """Consume a stream whose reader is disconnected, until it ends or is cancelled."""
        self._context.tasks.spawn(_drain(chunks), "unread-stream")

    async def cancel(self, attempt_id: AttemptId) -> None:
        """Cancel an attempt; its stream ends with the finish reason ``cancelled``.

        Raises:
            BackendNotReachedError: The process is down.
            ExchangeBrokenError: The process crashed before it responded.
        """
        process = await self._running_process()
        process.cancel(attempt_id)

    async def order(self, order: FencedOrder) -> EngineStatus:
        """Execute a fenced order and return the status after it.

        The order continues when the caller stops waiting.

        Raises:
            BackendNotReachedError: The process is down.
            StaleFenceError: The engine has seen a newer fence.
            BackendError: The order failed or the process crashed.
        """
        process = await self._running_process()
        return await process.orders.submit(order)

    async def status(self) -> EngineStatus:
        """Return the status that the engine reports; its load values lag.

        Raises:
            BackendNotReachedError: The process is down.
            ExchangeBrokenError: The process crashed before it responded.
        """
        process = await self._running_process()
        return process.status()

    async def cache_events(self, after_sequence: int) -> tuple[CacheEvent, ...]:
        """Return the cache events that the current process has published.

        Raises:
            BackendNotReachedError: The process is down.
            ExchangeBrokenError: The process crashed before it responded.
        """
        process = await self._running_process()
        return process.cache_events(after_sequence)

    async def export_cache(self, attempt_id: AttemptId) -> CacheExport:
        """Return the KV cache of a running or ended attempt.

        Raises:
            BackendNotReachedError: The process is down.
            UnknownAttemptError: The engine has no cache for the attempt.
            MixedVersionsError: The weights changed while it was computed.
        """
        process = await self._running_process()
        return process.cache_transfers.export(attempt_id)

    async def import_cache(self, export: CacheExport) -> None:
        """Import the KV cache of a completion that is to be resumed on this engine.

        Raises:
            BackendNotReachedError: The process is down.
            BackendRefusedError: Another model or weight version is loaded.
        """
        process = await self._running_process()
        rate = self._context.parameters.cache_transfer_bytes_per_second
        await self._context.work(export.size_bytes / rate)
        process.cache_transfers.store_import(export)

    def _start(self, fence: Fence) -> EngineProcess:
        boot_id = self._context.start_run()
        weights = LoadedWeights(self._initial_model, self._initial_version, fence)
        return EngineProcess(self._context, boot_id, weights, self._weight_source)

    async def _running_process(self) -> EngineProcess:
        """Wait while the engine is frozen, and return its current process."""
        process = self._process
        if process.ended:
            raise BackendNotReachedError(f"{self.backend_id} is down")
        await self._context.freeze_gate.wait_open()
        if process.ended:
            raise ExchangeBrokenError(f"{self.backend_id} died")
        return process


async def _drain(chunks: AsyncGenerator[TokenChunk]) -> None:
    async with aclosing(chunks):
        try:
            async for _chunk in chunks:
                continue
        except BackendError:
            return
