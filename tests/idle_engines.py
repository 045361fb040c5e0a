"""Emulated engines that respond only to polls, for tests that count polls per node."""

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


class PollCounts(msgspec.Struct, kw_only=True):
    """Number of polls sent by one node."""

    statuses: int = 0
    cache_events: int = 0


class IdleEngineClient:
    """Client for idle engines at version 1 that respond to polls without delay."""

    def __init__(self, model_of: Callable[[BackendAddress], str]) -> None:
        """Create the client of one node."""
        self.polls = PollCounts()
        self._model_of = model_of

    async def generate(
        self, engine: BackendAddress, request: GenerationRequest, *, timeout_seconds: float
    ) -> AsyncIterator[TokenChunk]:
        """Raise an error: idle engines do not generate."""
        raise BackendNotReachedError("an idle engine generates nothing")
        yield  # pragma: no cover - makes this an async generator

    async def cancel(self, engine: BackendAddress, attempt_id: AttemptId) -> None:
        """Do nothing."""

    async def order(
        self, engine: BackendAddress, order: FencedOrder, *, timeout_seconds: float
    ) -> EngineStatus:
        """Return the status without executing the order."""
        return await self.status(engine, timeout_seconds=timeout_seconds)

    async def status(self, engine: BackendAddress, *, timeout_seconds: float) -> EngineStatus:
        """Return the status of an idle engine."""
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
