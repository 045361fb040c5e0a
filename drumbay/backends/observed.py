"""An engine client that tells which version and boot each engine stamps on its tokens."""

from collections.abc import AsyncGenerator, Callable

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

StampListener = Callable[[str, BackendAddress, TokenChunk], None]


class ObservedEngineClient:
    """Implements :class:`drumbay.backends.interface.EngineClient` over another client.

    Args:
        client: Does the work.
        on_stamp: Told of the model, the engine and the chunk whenever the boot or the
            version differs from the chunk before of the same attempt, and of the first one.
    """

    def __init__(self, client: EngineClient, on_stamp: StampListener) -> None:
        """Observe ``client``."""
        self._client = client
        self._on_stamp = on_stamp

    async def generate(
        self, engine: BackendAddress, request: GenerationRequest, *, timeout_seconds: float
    ) -> AsyncGenerator[TokenChunk, None]:
        """Yield the chunks of one attempt; see the interface."""
        previous: TokenChunk | None = None
        chunks = self._client.generate(engine, request, timeout_seconds=timeout_seconds)
        async for chunk in chunks:
            if previous is None or _stamp_differs(previous, chunk):
                self._on_stamp(request.model, engine, chunk)
            previous = chunk
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


def _stamp_differs(previous: TokenChunk, chunk: TokenChunk) -> bool:
    same_boot = previous.boot_id == chunk.boot_id
    return not same_boot or previous.weight_version != chunk.weight_version
