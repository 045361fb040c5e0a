"""An engine client that tells which version and boot each engine stamps on its tokens."""

from collections.abc import AsyncGenerator, Callable
from contextlib import aclosing

from drumbay.backends.delegating import DelegatingEngineClient
from drumbay.backends.interface import (
    BackendAddress,
    EngineClient,
    GenerationRequest,
    TokenChunk,
)

StampListener = Callable[[str, BackendAddress, TokenChunk], None]


class ObservedEngineClient(DelegatingEngineClient):
    """An engine client that tells of the stamps on tokens.

    Args:
        client: Does the work.
        on_stamp: Told of the model, the engine and the chunk whenever the boot or the
            version differs from the chunk before of the same attempt, and of the first one.
    """

    def __init__(self, client: EngineClient, on_stamp: StampListener) -> None:
        """Observe ``client``."""
        super().__init__(client)
        self._on_stamp = on_stamp

    async def generate(
        self, engine: BackendAddress, request: GenerationRequest, *, timeout_seconds: float
    ) -> AsyncGenerator[TokenChunk, None]:
        """Yield the chunks of one attempt; see the interface."""
        previous: TokenChunk | None = None
        chunks = super().generate(engine, request, timeout_seconds=timeout_seconds)
        async with aclosing(chunks):
            async for chunk in chunks:
                if previous is None or _stamp_differs(previous, chunk):
                    self._on_stamp(request.model, engine, chunk)
                previous = chunk
                yield chunk


def _stamp_differs(previous: TokenChunk, chunk: TokenChunk) -> bool:
    same_boot = previous.boot_id == chunk.boot_id
    return not same_boot or previous.weight_version != chunk.weight_version
