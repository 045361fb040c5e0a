"""Clients that ask right before each send whether a back end may still get work."""

from collections.abc import AsyncGenerator, Awaitable, Callable
from contextlib import aclosing

from drumbay.backends.delegating import DelegatingEngineClient
from drumbay.backends.interface import (
    ApplicationAnswer,
    ApplicationClient,
    ApplicationRequest,
    BackendAddress,
    BackendRefusedError,
    EngineClient,
    GenerationRequest,
    TokenChunk,
)
from drumbay.identifiers import BackendId

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


class GuardedEngineClient(DelegatingEngineClient):
    """An engine client that asks before each generation.

    Only generations are work; orders and questions reach an engine that is leaving too.

    Args:
        client: Does the work.
        may_send: Asked before each generation.
    """

    def __init__(self, client: EngineClient, may_send: WorkCheck) -> None:
        """Guard ``client``."""
        super().__init__(client)
        self._may_send = may_send

    async def generate(
        self, engine: BackendAddress, request: GenerationRequest, *, timeout_seconds: float
    ) -> AsyncGenerator[TokenChunk, None]:
        """Yield the chunks of one attempt; see the interface.

        Raises:
            BackendRefusedError: The engine may not get work; the attempt did not run.
        """
        await _require_work_allowed(self._may_send, engine.backend_id)
        chunks = super().generate(engine, request, timeout_seconds=timeout_seconds)
        async with aclosing(chunks):
            async for chunk in chunks:
                yield chunk
