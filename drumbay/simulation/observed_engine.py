"""An emulated engine that also keeps the requests it got, to read its log by."""

from collections.abc import AsyncGenerator
from contextlib import aclosing

from drumbay.backends.interface import GenerationRequest, TokenChunk
from drumbay.identifiers import AttemptId
from drumbay.simulation.outside_clock import virtual_now
from drumbay.standins.engine_model import EngineModel


class ObservedEngine(EngineModel):
    """An engine model whose requests are kept for the history.

    Attributes:
        requests: Every request that reached the engine, by attempt.
        active: Streams that are open now.
        closed_at_seconds: When the stream of an attempt was closed, by either side.
    """

    requests: dict[AttemptId, GenerationRequest]
    active: int
    closed_at_seconds: dict[AttemptId, float]

    def keep_requests(self) -> None:
        """Start to keep requests; call it before the first one."""
        self.requests = {}
        self.active = 0
        self.closed_at_seconds = {}

    async def generate(self, request: GenerationRequest) -> AsyncGenerator[TokenChunk]:
        """Run one attempt; see the base class."""
        self.requests[request.attempt_id] = request
        self.active += 1
        try:
            async with aclosing(super().generate(request)) as chunks:
                async for chunk in chunks:
                    yield chunk
        finally:
            self.active -= 1
            self.closed_at_seconds[request.attempt_id] = virtual_now()
