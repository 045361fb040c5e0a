"""Emulated engines that only answer polls, for tests of who polls what."""

from collections.abc import AsyncIterator, Callable

import msgspec

from drumbay.backends.interface import (
    BackendAddress,
    BackendNotReachedError,
    CacheEvent,
    EngineStatus,
    FencedOrder,
    GenerationRequest,
    TokenChunk,
)
from drumbay.identifiers import AttemptId, BootId, Fence, WeightVersion


class PollCounter(msgspec.Struct, kw_only=True):
    """Polls of back ends by one node."""

    statuses: int = 0
    cache_events: int = 0


class IdleEngineClient:
    """Engines that answer polls at once, idle and at version 1, and serve nothing else."""

    def __init__(self, model_of: Callable[[BackendAddress], str]) -> None:
        """Create the client of one node."""
        self.polls = PollCounter()
        self._model_of = model_of

    async def generate(
        self, engine: BackendAddress, request: GenerationRequest, *, timeout_seconds: float
    ) -> AsyncIterator[TokenChunk]:
        """Refuse: idle engines generate nothing."""
        raise BackendNotReachedError("an idle engine generates nothing")
        yield  # pragma: no cover - makes this an async generator

    async def cancel(self, engine: BackendAddress, attempt_id: AttemptId) -> None:
        """Do nothing."""

    async def order(
        self, engine: BackendAddress, order: FencedOrder, *, timeout_seconds: float
    ) -> EngineStatus:
        """Answer an order as a status."""
        return await self.status(engine, timeout_seconds=timeout_seconds)

    async def status(self, engine: BackendAddress, *, timeout_seconds: float) -> EngineStatus:
        """Return an idle engine's report."""
        self.polls.statuses += 1
        return EngineStatus(
            backend_id=engine.backend_id,
            boot_id=BootId("boot"),
            model=self._model_of(engine),
            weight_version=WeightVersion(1),
            highest_fence=Fence(0),
            running=0,
            waiting=0,
        )

    async def cache_events(
        self, engine: BackendAddress, after_sequence: int, *, timeout_seconds: float
    ) -> tuple[CacheEvent, ...]:
        """Return no events."""
        self.polls.cache_events += 1
        return ()
