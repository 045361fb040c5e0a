"""Executes the decisions of the rollout scheduler on engines."""

import asyncio
from collections.abc import AsyncIterator, Callable, Iterable

import msgspec

from drumbay.backends.interface import (
    BackendAddress,
    BackendError,
    BackendNotReachedError,
    BackendRefusedError,
    EngineClient,
    ExchangeBrokenError,
    GenerationRequest,
    TokenChunk,
)
from drumbay.clock import Clock
from drumbay.exceptions import DeadlineExceededError
from drumbay.identifiers import AttemptId, BackendId, BootId, StreamName
from drumbay.observability.logs import log_event
from drumbay.rollout.events import (
    AttemptFailed,
    AttemptFailure,
    Cancel,
    ChunkReceived,
    Dispatch,
    RolloutDecision,
    RolloutEvent,
    SampleFinished,
    Tick,
    WantedSample,
    WantedSamplesChanged,
)
from drumbay.rollout.exceptions import SampleError
from drumbay.rollout.sample import Sample, SampleBuilder, SampleKey
from drumbay.rollout.scheduler import RolloutScheduler
from drumbay.tasks import TaskOwner

VERSION_NOT_LOADED = "version_not_loaded"
"""Refusal reason of an engine that does not serve the requested version."""


class RunnerParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Time limits of the runner.

    Attributes:
        attempt_timeout_seconds: Time limit of one attempt.
        first_chunk_timeout_seconds: Time limit of the first chunk, including queueing and
            prefill.
        chunk_timeout_seconds: Time limit between chunks.
        tick_seconds: Interval of periodic scheduling.
    """

    attempt_timeout_seconds: float = 1800.0
    first_chunk_timeout_seconds: float = 120.0
    chunk_timeout_seconds: float = 30.0
    tick_seconds: float = 0.25


class RunningAttempt(msgspec.Struct, frozen=True, kw_only=True):
    """An attempt in progress."""

    attempt: int
    attempt_id: AttemptId
    engine: BackendAddress
    task: asyncio.Task[None]


class RolloutRunner:
    """Generates the samples of one stream while this node owns it."""

    def __init__(
        self,
        stream: StreamName,
        model: str,
        boot_id: BootId,
        scheduler: RolloutScheduler,
        engine_client: EngineClient,
        address_of: Callable[[BackendId], BackendAddress | None],
        clock: Clock,
        task_owner: TaskOwner,
        *,
        on_finished: Callable[[Sample], None],
        on_decision: Callable[[RolloutDecision], None] = lambda decision: None,
        may_send: Callable[[], bool] = lambda: True,
        builder_type: type[SampleBuilder] = SampleBuilder,
        parameters: RunnerParameters | None = None,
    ) -> None:
        """Create a runner; :meth:`start` adds periodic scheduling.

        Args:
            stream: The sample stream.
            model: Model that the engines serve.
            boot_id: Identifies this process; makes attempt ids unique.
            scheduler: Makes the decisions.
            engine_client: Client of the engines.
            address_of: Returns the address of an engine, or ``None`` if it has left.
            clock: Source of time.
            task_owner: Owner of the attempt tasks.
            on_finished: Called with each finished sample.
            on_decision: Called with each decision before it is executed.
            may_send: Returns whether this node still holds the lease; checked before each attempt.
            builder_type: Class that assembles a sample from its chunks.
            parameters: Time limits.
        """
        self._stream = stream
        self._model = model
        self._boot_id = boot_id
        self._scheduler = scheduler
        self._engine_client = engine_client
        self._address_of = address_of
        self._clock = clock
        self._task_owner = task_owner
        self._on_finished = on_finished
        self._on_decision = on_decision
        self._may_send = may_send
        self._builder_type = builder_type
        self._parameters = parameters or RunnerParameters()
        self._builders: dict[SampleKey, SampleBuilder] = {}
        self._running: dict[SampleKey, RunningAttempt] = {}
        self._tick_task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start periodic scheduling every ``tick_seconds``."""
        self._tick_task = self._task_owner.spawn(
            self._run_ticks(), name=f"rollout_tick_{self._stream}"
        )

    def stop(self) -> None:
        """Stop scheduling and cancel all attempts, e.g. after another node became the owner."""
        if self._tick_task is not None:
            self._tick_task.cancel()
        for key in list(self._running):
            self._cancel_attempt(key)

    def running_on(self, backend_id: BackendId) -> int:
        """Return the number of attempts in progress on an engine."""
        return sum(
            1
            for running_attempt in self._running.values()
            if running_attempt.engine.backend_id == backend_id
        )

    async def _run_ticks(self) -> None:
        while True:
            await self._clock.sleep(self._parameters.tick_seconds)
            self.handle(Tick())

    def set_wanted(self, wanted: Iterable[WantedSample]) -> None:
        """Replace the set of samples to generate."""
        samples = tuple(wanted)
        keys = {sample.key for sample in samples}
        self.handle(WantedSamplesChanged(wanted=samples))
        for key in [key for key in self._builders if key not in keys]:
            del self._builders[key]

    def handle(self, event: RolloutEvent) -> None:
        """Pass an event to the scheduler and execute its decisions."""
        for decision in self._scheduler.handle(event, self._clock.monotonic()):
            self._on_decision(decision)
            match decision:
                case Dispatch():
                    self._dispatch(decision)
                case Cancel(key=key, reason=reason):
                    log_event(
                        "rollout_cancelled", sample=key.sample_id(self._stream), reason=reason
                    )
                    self._cancel_attempt(key)

    def _cancel_attempt(self, key: SampleKey) -> None:
        running = self._running.pop(key, None)
        if running is None:
            return
        running.task.cancel()
        self._cancel_on_engine(running.engine, running.attempt_id)

    def _cancel_on_engine(self, engine: BackendAddress, attempt_id: AttemptId) -> None:
        cancel = self._engine_client.cancel(engine, attempt_id)
        self._task_owner.spawn(cancel, name=f"rollout_cancel_{attempt_id}")

    def _dispatch(self, decision: Dispatch) -> None:
        key = decision.key
        builder = self._builders.get(key)
        if builder is None:
            builder = self._builder_type(key, decision.prompt)
            self._builders[key] = builder
        engine = self._address_of(decision.backend_id)
        attempt_id = AttemptId(f"{key.sample_id(self._stream)}/{self._boot_id}/{decision.attempt}")
        attempt = self._run_attempt(decision, builder, engine, attempt_id)
        task = self._task_owner.spawn(attempt, name=f"rollout_{attempt_id}")
        if engine is not None:
            self._running[key] = RunningAttempt(
                attempt=decision.attempt, attempt_id=attempt_id, engine=engine, task=task
            )

    async def _run_attempt(
        self,
        decision: Dispatch,
        builder: SampleBuilder,
        engine: BackendAddress | None,
        attempt_id: AttemptId,
    ) -> None:
        """Run one attempt and report its outcome to the scheduler."""
        try:
            if engine is None or not self._may_send():
                raise BackendNotReachedError(decision.backend_id)
            builder.keep_tokens(decision.kept_tokens)
            builder.start_attempt(attempt_id)
            await self._receive_chunks(decision, builder, engine, attempt_id)
            sample = builder.finish()
        except (BackendError, SampleError, DeadlineExceededError) as error:
            self._report_failure(decision, engine, attempt_id, error)
            return
        self._remove_running(decision)
        self._builders.pop(decision.key, None)
        self.handle(SampleFinished(key=decision.key, attempt=decision.attempt))
        self._on_finished(sample)

    async def _receive_chunks(
        self,
        decision: Dispatch,
        builder: SampleBuilder,
        engine: BackendAddress,
        attempt_id: AttemptId,
    ) -> None:
        """Receive chunks until the stream ends."""
        request = GenerationRequest(
            attempt_id=attempt_id,
            model=self._model,
            prompt=decision.prompt.text,
            max_tokens=decision.prompt.max_tokens,
            resume_tokens=builder.token_ids,
            weight_version=decision.version,
            priority=decision.priority,
            seed=decision.prompt.seed,
            target_tokens=decision.prompt.target_tokens,
        )
        chunks = self._engine_client.generate(
            engine, request, timeout_seconds=self._parameters.attempt_timeout_seconds
        )
        timeout = self._parameters.first_chunk_timeout_seconds
        while (chunk := await self._next_chunk(chunks, timeout)) is not None:
            timeout = self._parameters.chunk_timeout_seconds
            if not self._is_current(decision):
                # A wait that completes while it is being cancelled still returns its result.
                raise ExchangeBrokenError("the attempt was cancelled")
            builder.add_chunk(chunk)
            self._check_version(decision, chunk)
            self.handle(
                ChunkReceived(
                    key=decision.key,
                    attempt=decision.attempt,
                    version=chunk.weight_version,
                    spans=builder.spans,
                )
            )

    def _check_version(self, decision: Dispatch, chunk: TokenChunk) -> None:
        """Log a warning if an engine generates with older weights than it was asked for."""
        is_first_chunk = chunk.first_index == decision.kept_tokens
        if is_first_chunk and chunk.weight_version < decision.version:
            log_event(
                "engine_version_mismatch",
                level="WARNING",
                backend=decision.backend_id,
                requested_version=decision.version,
                stamped_version=chunk.weight_version,
            )

    async def _next_chunk(
        self, chunks: AsyncIterator[TokenChunk], timeout: float
    ) -> TokenChunk | None:
        return await self._clock.wait_for(anext(chunks, None), timeout)

    def _report_failure(
        self,
        decision: Dispatch,
        engine: BackendAddress | None,
        attempt_id: AttemptId,
        error: Exception,
    ) -> None:
        self._remove_running(decision)
        failure = _classify_failure(error)
        log_event(
            "rollout_attempt_failed",
            level="WARNING",
            attempt=attempt_id,
            backend=decision.backend_id,
            failure=failure,
            error=type(error).__name__,
        )
        if engine is not None and failure is AttemptFailure.BROKEN:
            self._cancel_on_engine(engine, attempt_id)
        retry_after_seconds = (
            error.retry_after_seconds if isinstance(error, BackendRefusedError) else None
        )
        self.handle(
            AttemptFailed(
                key=decision.key,
                attempt=decision.attempt,
                failure=failure,
                retry_after_seconds=retry_after_seconds,
            )
        )

    def _is_current(self, decision: Dispatch) -> bool:
        running = self._running.get(decision.key)
        return running is not None and running.attempt == decision.attempt

    def _remove_running(self, decision: Dispatch) -> None:
        if self._is_current(decision):
            del self._running[decision.key]


def _classify_failure(error: Exception) -> AttemptFailure:
    if isinstance(error, BackendNotReachedError):
        return AttemptFailure.NOT_REACHED
    if isinstance(error, BackendRefusedError):
        if error.reason == VERSION_NOT_LOADED:
            return AttemptFailure.VERSION_NOT_LOADED
        return AttemptFailure.REFUSED
    return AttemptFailure.BROKEN
