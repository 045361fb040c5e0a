"""An emulated engine that records its requests, which its log refers to by attempt."""

from collections.abc import AsyncGenerator
from contextlib import aclosing

from drumbay.backends.interface import GenerationRequest, TokenChunk
from drumbay.identifiers import AttemptId
from drumbay.simulation.simulation_clock import virtual_now
from drumbay.standins.engine_model import EngineModel


class ObservedEngine(EngineModel):
    """An engine model that records requests for the history.

    Attributes:
        requests: Received requests by attempt.
        open_stream_count: Number of open streams.
        closed_at_seconds: Time at which either side closed the stream, by attempt.
    """

    requests: dict[AttemptId, GenerationRequest]
    open_stream_count: int
    closed_at_seconds: dict[AttemptId, float]

    def start_recording(self) -> None:
        """Initialize the recording; must be called before the first request."""
        self.requests = {}
        self.open_stream_count = 0
        self.closed_at_seconds = {}

    async def generate(self, request: GenerationRequest) -> AsyncGenerator[TokenChunk]:
        """Run one attempt; see the base class."""
        self.requests[request.attempt_id] = request
        self.open_stream_count += 1
        try:
            async with aclosing(super().generate(request)) as chunks:
                async for chunk in chunks:
                    yield chunk
        finally:
            self.open_stream_count -= 1
            self.closed_at_seconds[request.attempt_id] = virtual_now()
