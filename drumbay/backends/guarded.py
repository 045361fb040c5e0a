"""Clients that ask right before each send whether a back end may still get work."""

from collections.abc import AsyncGenerator, Awaitable, Callable
from contextlib import aclosing

from drumbay.backends.interface import (
    ApplicationAnswer,
    ApplicationClient,
    ApplicationRequest,
    BackendAddress,
    BackendRefusedError,
    CacheEvent,
    EngineClient,
    EngineStatus,
    FencedOrder,
    GenerationRequest,
    TokenChunk,
)
from drumbay.identifiers import AttemptId, BackendId

LEAVING = "leaving"
"""Reason of the refusal of work for a back end that is about to leave."""

WorkCheck = Callable[[BackendId], Awaitable[bool]]
"""Returns whether a back end may get work; it may take the time to find out."""


async def _require_work_allowed(check: WorkCheck, backend_id: BackendId) -> None:
    if not await check(backend_id):
        raise BackendRefusedError(LEAVING)


class GuardedApplicationClient:
    """Implements :class:`drumbay.backends.interface.ApplicationClient` over another client.

    Args:
        client: Does the work.
        may_send: Asked before each request.
    """

    def __init__(self, client: ApplicationClient, may_send: WorkCheck) -> None:
        """Guard ``client``."""
        self._client = client
        self._may_send = may_send

    async def exchange(
        self, server: BackendAddress, request: ApplicationRequest, *, timeout_seconds: float
    ) -> ApplicationAnswer:
        """Run one request and return its whole answer; see the interface.

        Raises:
            BackendRefusedError: The server may not get work; the request did not run.
        """
        await _require_work_allowed(self._may_send, server.backend_id)
        return await self._client.exchange(server, request, timeout_seconds=timeout_seconds)


class GuardedEngineClient:
    """Implements :class:`drumbay.backends.interface.EngineClient` over another client.

    Only generations are work; orders and questions reach an engine that is leaving too.

    Args:
        client: Does the work.
        may_send: Asked before each generation.
    """

    def __init__(self, client: EngineClient, may_send: WorkCheck) -> None:
        """Guard ``client``."""
        self._client = client
        self._may_send = may_send

    async def generate(
        self, engine: BackendAddress, request: GenerationRequest, *, timeout_seconds: float
    ) -> AsyncGenerator[TokenChunk, None]:
        """Yield the chunks of one attempt; see the interface.

        Raises:
            BackendRefusedError: The engine may not get work; the attempt did not run.
        """
        await _require_work_allowed(self._may_send, engine.backend_id)
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
        """Give a fenced order; see the interface."""
        return await self._client.order(engine, order, timeout_seconds=timeout_seconds)

    async def status(self, engine: BackendAddress, *, timeout_seconds: float) -> EngineStatus:
        """Return the engine's own report; see the interface."""
        return await self._client.status(engine, timeout_seconds=timeout_seconds)

    async def cache_events(
        self, engine: BackendAddress, after_sequence: int, *, timeout_seconds: float
    ) -> tuple[CacheEvent, ...]:
        """Return published cache events; see the interface."""
        return await self._client.cache_events(
            engine, after_sequence, timeout_seconds=timeout_seconds
        )
