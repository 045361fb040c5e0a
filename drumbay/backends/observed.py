"""An engine client that reports the weight version and boot id of generated tokens."""

from collections.abc import AsyncGenerator, Callable
from contextlib import aclosing

from drumbay.backends.delegating import DelegatingEngineClient
from drumbay.backends.interface import (
    BackendAddress,
    EngineClient,
    GenerationRequest,
    TokenChunk,
)

TokenVersionListener = Callable[[str, BackendAddress, TokenChunk], None]


class ObservedEngineClient(DelegatingEngineClient):
    """Reports the first chunk of an attempt and each change of boot id or weight version.

    Args:
        client: Wrapped client.
        on_token_version: Called with the model, the engine and each reported chunk.
    """

    def __init__(self, client: EngineClient, on_token_version: TokenVersionListener) -> None:
        """Wrap ``client``."""
        super().__init__(client)
        self._on_token_version = on_token_version

    async def generate(
        self, engine: BackendAddress, request: GenerationRequest, *, timeout_seconds: float
    ) -> AsyncGenerator[TokenChunk, None]:
        """Yield the chunks of one attempt; see the interface."""
        previous: TokenChunk | None = None
        chunks = super().generate(engine, request, timeout_seconds=timeout_seconds)
        async with aclosing(chunks):
            async for chunk in chunks:
                if previous is None or _version_differs(previous, chunk):
                    self._on_token_version(request.model, engine, chunk)
                previous = chunk
                yield chunk


def _version_differs(previous: TokenChunk, chunk: TokenChunk) -> bool:
    same_process = previous.boot_id == chunk.boot_id
    return not same_process or previous.weight_version != chunk.weight_version
