"""Clients that check as the last step before each request whether its backend may get work."""

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
from drumbay.explain.records import RejectionReason
from drumbay.identifiers import BackendId

SendCheck = Callable[[BackendId], Awaitable[RejectionReason | None]]
"""Returns why a backend may not be sent work, ``None`` if it may; may wait for that."""


async def _raise_unless_dispatchable(check_send: SendCheck, backend_id: BackendId) -> None:
    reason = await check_send(backend_id)
    if reason is not None:
        raise BackendRefusedError(reason)


class GuardedApplicationClient:
    """An application client that sends no requests to servers that may not get work.

    Args:
        client: Wrapped client.
        check_send: Called before each request.
    """

    def __init__(self, client: ApplicationClient, check_send: SendCheck) -> None:
        """Wrap ``client``."""
        self._client = client
        self._check_send = check_send

    async def exchange(
        self, server: BackendAddress, request: ApplicationRequest, *, timeout_seconds: float
    ) -> ApplicationResponse:
        """Run one request and return its complete response; see the interface.

        Raises:
            BackendRefusedError: The server may not be sent work; the request did not run.
        """
        await _raise_unless_dispatchable(self._check_send, server.backend_id)
        return await self._client.exchange(server, request, timeout_seconds=timeout_seconds)


class GuardedEngineClient(DelegatingEngineClient):
    """An engine client that starts no generations on engines that may not get work.

    Orders and status requests are sent to these engines as well.

    Args:
        client: Wrapped client.
        check_send: Called before each generation.
    """

    def __init__(self, client: EngineClient, check_send: SendCheck) -> None:
        """Wrap ``client``."""
        super().__init__(client)
        self._check_send = check_send

    async def generate(
        self, engine: BackendAddress, request: GenerationRequest, *, timeout_seconds: float
    ) -> AsyncGenerator[TokenChunk, None]:
        """Yield the chunks of one attempt; see the interface.

        Raises:
            BackendRefusedError: The engine may not be sent work; the attempt did not run.
        """
        await _raise_unless_dispatchable(self._check_send, engine.backend_id)
        chunks = super().generate(engine, request, timeout_seconds=timeout_seconds)
        async with aclosing(chunks):
            async for chunk in chunks:
                yield chunk
