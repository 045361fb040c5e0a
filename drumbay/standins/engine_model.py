"""An emulated model engine with continuous batching.

The model is pure apart from the clock and the random source that are passed in, so it runs
on virtual time in a simulation and behind an HTTP server as a process. Requests are never
preempted; a change of weights switches running requests to the new version in mid-stream,
as in Piché et al., "PipelineRL" (2025), section 4.
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
from drumbay.standins.engine_run import EngineRun
from drumbay.standins.execution_log import ExecutionLog
from drumbay.standins.faults import FaultSwitches

NO_FENCE = Fence(0)


class EngineModel:
    """One emulated engine over all runs of its process."""

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
        """Create an engine whose process has started.

        Args:
            clock: Time of the engine.
            backend_id: Name of the engine.
            model: Model loaded at each start.
            weight_version: Version loaded at each start.
            random_source: Source of boot ids and lost cache events.
            parameters: Sizes, rates and delays.
            weight_source: Where weights are fetched from; ``None`` has them at hand.
        """
        parameters = parameters or EngineParameters()
        self._context = EngineContext(clock, backend_id, random_source, parameters)
        self._initial_model = model
        self._initial_version = weight_version
        self._weight_source = weight_source
        self._run = self._start(NO_FENCE)

    @property
    def backend_id(self) -> BackendId:
        """Name of the engine."""
        return self._context.backend_id

    @property
    def log(self) -> ExecutionLog:
        """What the engine truly did."""
        return self._context.log

    @property
    def faults(self) -> FaultSwitches:
        """Switchable faults."""
        return self._context.faults

    @property
    def boot_id(self) -> BootId:
        """Identity of the current or last run of the process."""
        return self._run.boot_id

    @property
    def crashed(self) -> bool:
        """Whether the process is down."""
        return self._run.ended

    @property
    def true_version(self) -> WeightVersion:
        """Version that truly produces tokens, whatever the engine claims."""
        return self._run.weights.version

    def watch_crashes(self, on_crash: Callable[[], None]) -> None:
        """Have ``on_crash`` called whenever the process dies."""
        self._context.on_crash = on_crash

    def crash(self) -> None:
        """End the process at once; every stream breaks and nothing is kept."""
        if self._run.ended:
            return
        self._context.log_crash(self.boot_id)
        self._run.abort()
        # NOTE: whoever waits for a frozen process must see that it died.
        self.thaw()

    def restart(self) -> None:
        """Start the process again, with the initial weights and an empty cache."""
        self.crash()
        keeps_fence = self._context.parameters.keeps_fence_over_restart
        fence = self._run.weights.highest_fence if keeps_fence else NO_FENCE
        self._run = self._start(fence)

    def freeze(self) -> None:
        """Stop all work; requests are taken from the network but nothing is answered."""
        self._context.freeze()

    def thaw(self) -> None:
        """Let a frozen process go on where it stood."""
        self._context.thaw()

    async def close(self) -> None:
        """End the process and all background tasks."""
        self.crash()
        await self._context.tasks.close()

    async def generate(self, request: GenerationRequest) -> AsyncGenerator[TokenChunk]:
        """Run one attempt and yield its chunks; closing the iterator cancels it.

        Raises:
            BackendNotReachedError: The process is down.
            BackendRefusedError: The engine will not run the request.
            ExchangeBrokenError: The stream broke.
        """
        run = await self._reach()
        generation = run.admit(request)
        # NOTE: without aclosing, closing this iterator would leave the inner one open.
        async with aclosing(run.stream(generation)) as chunks:
            async for chunk in chunks:
                yield chunk

    def run_unread(self, chunks: AsyncGenerator[TokenChunk]) -> None:
        """Go on with a stream whose reader is cut off, until it ends or is cancelled."""
        self._context.tasks.spawn(_read_to_the_end(chunks), "unread-stream")

    async def cancel(self, attempt_id: AttemptId) -> None:
        """Stop an attempt; its stream ends with the finish reason ``cancelled``.

        Raises:
            BackendNotReachedError: The process is down.
            ExchangeBrokenError: The process died before it answered.
        """
        run = await self._reach()
        run.cancel(attempt_id)

    async def order(self, order: FencedOrder) -> EngineStatus:
        """Carry out a fenced order and return the status after it.

        The order goes on when the caller stops waiting.

        Raises:
            BackendNotReachedError: The process is down.
            StaleFenceError: The engine has seen a newer fence.
            BackendError: The order failed or the process died.
        """
        run = await self._reach()
        return await run.orders.submit(order)

    async def status(self) -> EngineStatus:
        """Return the engine's own report; its load figures lag.

        Raises:
            BackendNotReachedError: The process is down.
            ExchangeBrokenError: The process died before it answered.
        """
        run = await self._reach()
        return run.status()

    async def cache_events(self, after_sequence: int) -> tuple[CacheEvent, ...]:
        """Return the published cache events of this run of the process.

        Raises:
            BackendNotReachedError: The process is down.
            ExchangeBrokenError: The process died before it answered.
        """
        run = await self._reach()
        return run.cache_events(after_sequence)

    async def export_cache(self, attempt_id: AttemptId) -> CacheExport:
        """Return the keys and values of an attempt, running or ended.

        Raises:
            BackendNotReachedError: The process is down.
            UnknownAttemptError: They are not held.
            MixedVersionsError: The weights changed while they were computed.
        """
        run = await self._reach()
        return run.cache_transfers.export(attempt_id)

    async def import_cache(self, export: CacheExport) -> None:
        """Take keys and values for a completion that is resumed here.

        Raises:
            BackendNotReachedError: The process is down.
            BackendRefusedError: Other weights are loaded.
        """
        run = await self._reach()
        rate = self._context.parameters.cache_transfer_bytes_per_second
        await self._context.work(export.size_bytes / rate)
        run.cache_transfers.accept(export)

    def _start(self, fence: Fence) -> EngineRun:
        boot_id = self._context.start_run()
        weights = LoadedWeights(self._initial_model, self._initial_version, fence)
        return EngineRun(self._context, boot_id, weights, self._weight_source)

    async def _reach(self) -> EngineRun:
        """Return the run that handles a request, once the process is not frozen."""
        run = self._run
        if run.ended:
            raise BackendNotReachedError(f"{self.backend_id} is down")
        await self._context.freeze_gate.passed()
        if run.ended:
            raise ExchangeBrokenError(f"{self.backend_id} died")
        return run


async def _read_to_the_end(chunks: AsyncGenerator[TokenChunk]) -> None:
    async with aclosing(chunks):
        try:
            async for _chunk in chunks:
                continue
        except BackendError:
            return
