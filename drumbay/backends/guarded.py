"""Clients that check before each request whether the backend may still be sent work."""

from collections.abc import AsyncGenerator, Awaitable, Callable
from contextlib import aclosing

from drumbay.backends.delegating import DelegatingEngineClient
from drumbay.backends.interface import (
    ApplicationClient,
    ApplicationRequest,
    ApplicationResponse,
    BackendAddress,
    BackendRefusedError,
    EngineClient,
    GenerationRequest,
    TokenChunk,
)
from drumbay.identifiers import BackendId

LEAVING_REASON = "leaving"
"""Rejection reason for a backend that is about to be removed."""

DispatchCheck = Callable[[BackendId], Awaitable[bool]]
"""Returns whether a backend may be sent work; may wait for up-to-date information."""


async def _raise_unless_dispatchable(may_send: DispatchCheck, backend_id: BackendId) -> None:
    if not await may_send(backend_id):
        raise BackendRefusedError(LEAVING_REASON)


class GuardedApplicationClient:
    """An application client that sends no requests to servers that are about to be removed.

    Args:
        client: Wrapped client.
        may_send: Checked before each request.
    """

    def __init__(self, client: ApplicationClient, may_send: DispatchCheck) -> None:
        """Wrap ``client``."""
        self._client = client
        self._may_send = may_send

    async def exchange(
        self, server: BackendAddress, request: ApplicationRequest, *, timeout_seconds: float
    ) -> ApplicationResponse:
        """Run one request and return its complete response; see the interface.

        Raises:
            BackendRefusedError: The server may not be sent work; the request did not run.
        """
        await _raise_unless_dispatchable(self._may_send, server.backend_id)
        return await self._client.exchange(server, request, timeout_seconds=timeout_seconds)


class GuardedEngineClient(DelegatingEngineClient):
    """An engine client that starts no generations on engines that are about to be removed.

    Orders and status requests are sent also to an engine that is about to be removed.

    Args:
        client: Wrapped client.
        may_send: Checked before each generation.
    """

    def __init__(self, client: EngineClient, may_send: DispatchCheck) -> None:
        """Wrap ``client``."""
        super().__init__(client)
        self._may_send = may_send

    async def generate(
        self, engine: BackendAddress, request: GenerationRequest, *, timeout_seconds: float
    ) -> AsyncGenerator[TokenChunk, None]:
        """Yield the chunks of one attempt; see the interface.

        Raises:
            BackendRefusedError: The engine may not be sent work; the attempt did not run.
        """
        await _raise_unless_dispatchable(self._may_send, engine.backend_id)
        chunks = super().generate(engine, request, timeout_seconds=timeout_seconds)
        async with aclosing(chunks):
            async for chunk in chunks:
                yield chunk
