"""Base class of decorators for engine clients."""

from collections.abc import AsyncGenerator
from contextlib import aclosing

from drumbay.backends.interface import (
    BackendAddress,
    CacheEvent,
    EngineClient,
    EngineStatus,
    FencedOrder,
    GenerationRequest,
    TokenChunk,
)
from drumbay.identifiers import AttemptId


class DelegatingEngineClient:
    """Forwards all calls to another :class:`drumbay.backends.interface.EngineClient`.

    Args:
        client: Wrapped client.
    """

    def __init__(self, client: EngineClient) -> None:
        """Wrap ``client``."""
        self._client = client

    async def generate(
        self, engine: BackendAddress, request: GenerationRequest, *, timeout_seconds: float
    ) -> AsyncGenerator[TokenChunk, None]:
        """Yield the chunks of one attempt; see the interface.

        Closing the iterator immediately closes the stream of the wrapped client.
        """
        chunks = self._client.generate(engine, request, timeout_seconds=timeout_seconds)
        if not isinstance(chunks, AsyncGenerator):
            async for chunk in chunks:
                yield chunk
            return
        async with aclosing(chunks):
            async for chunk in chunks:
                yield chunk

    async def cancel(self, engine: BackendAddress, attempt_id: AttemptId) -> None:
        """Ask an engine to stop an attempt; see the interface."""
        await self._client.cancel(engine, attempt_id)

    async def order(
        self, engine: BackendAddress, order: FencedOrder, *, timeout_seconds: float
    ) -> EngineStatus:
        """Send a fenced order; see the interface."""
        return await self._client.order(engine, order, timeout_seconds=timeout_seconds)

    async def status(self, engine: BackendAddress, *, timeout_seconds: float) -> EngineStatus:
        """Return the engine's status report; see the interface."""
        return await self._client.status(engine, timeout_seconds=timeout_seconds)

    async def cache_events(
        self, engine: BackendAddress, after_sequence: int, *, timeout_seconds: float
    ) -> tuple[CacheEvent, ...]:
        """Return published cache events; see the interface."""
        return await self._client.cache_events(
            engine, after_sequence, timeout_seconds=timeout_seconds
        )
