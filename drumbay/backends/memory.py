"""In-memory clients for emulated backends in the same process."""

from collections.abc import AsyncIterator, Awaitable, Coroutine, Mapping
from typing import TypeVar

from drumbay.backends.chunk_validator import ChunkValidator
from drumbay.backends.interface import (
    ApplicationRequest,
    ApplicationResponse,
    BackendAddress,
    BackendError,
    BackendNotReachedError,
    CacheEvent,
    EngineStatus,
    ExchangeBrokenError,
    FencedOrder,
    GenerationRequest,
    ResponseMismatchError,
    TokenChunk,
)
from drumbay.clock import Clock
from drumbay.exceptions import DeadlineExceededError
from drumbay.identifiers import AttemptId
from drumbay.standins.engine_model import EngineModel
from drumbay.standins.service_model import ServiceModel

ResultT = TypeVar("ResultT")


class ResponseLostError(ExchangeBrokenError):
    """The network dropped a response; the backend is not notified."""

    code = "answer_lost"


class BackendNetwork:
    """Emulated network between one node and its backends, with fault injection.

    Attributes:
        latency_seconds: One-way latency of a message.
    """

    def __init__(self, clock: Clock, latency_seconds: float = 0.0005) -> None:
        """Create a network without faults."""
        self.latency_seconds = latency_seconds
        self._clock = clock
        self._blocked_requests: dict[str, None] = {}
        self._dropped_responses: dict[str, None] = {}

    def block_requests(self, base_url: str) -> None:
        """Drop all requests to a backend; running streams break too."""
        self._blocked_requests[base_url] = None

    def drop_responses(self, base_url: str) -> None:
        """Drop all responses of a backend; requests still reach it and run."""
        self._dropped_responses[base_url] = None

    def heal(self, base_url: str) -> None:
        """Remove all faults between the node and a backend."""
        self._blocked_requests.pop(base_url, None)
        self._dropped_responses.pop(base_url, None)

    async def deliver_request(self, base_url: str) -> None:
        """Deliver a request to a backend.

        Raises:
            BackendNotReachedError: Requests to the backend are blocked.
        """
        if base_url in self._blocked_requests:
            raise BackendNotReachedError(f"no way to {base_url}")
        await self._clock.sleep(self.latency_seconds)

    async def deliver_response(self, base_url: str) -> None:
        """Deliver a response, or one chunk of it, to the node.

        Raises:
            ResponseLostError: Messages from the backend are dropped.
        """
        await self._clock.sleep(self.latency_seconds)
        if base_url in self._dropped_responses or base_url in self._blocked_requests:
            raise ResponseLostError(f"the answer of {base_url} was lost")


class _Exchange:
    """One exchange with a backend, with a timeout."""

    def __init__(
        self, clock: Clock, network: BackendNetwork, base_url: str, timeout_seconds: float
    ) -> None:
        self._clock = clock
        self._network = network
        self._base_url = base_url
        self._deadline = clock.monotonic() + timeout_seconds

    async def call(self, awaitable: Awaitable[ResultT]) -> ResultT:
        """Deliver a request, await the backend and deliver its response.

        Raises:
            BackendNotReachedError: The request was not delivered.
            ExchangeBrokenError: The response was lost or late.
            BackendError: The backend responded with an error.
        """
        try:
            await self.send()
        except BaseException:
            # An unawaited coroutine would cause a warning, also if this call is cancelled.
            if isinstance(awaitable, Coroutine):
                awaitable.close()
            raise
        return await self.receive(awaitable)

    async def send(self) -> None:
        """Deliver the request to the backend."""
        await self._network.deliver_request(self._base_url)

    async def receive(self, awaitable: Awaitable[ResultT]) -> ResultT:
        """Await the backend and deliver its response or error."""
        try:
            result = await self._with_timeout(awaitable)
        except (BackendNotReachedError, ExchangeBrokenError):
            raise
        except BackendError:
            await self._with_timeout(self._network.deliver_response(self._base_url))
            raise
        await self._with_timeout(self._network.deliver_response(self._base_url))
        return result

    async def _with_timeout(self, awaitable: Awaitable[ResultT]) -> ResultT:
        remaining = max(self._deadline - self._clock.monotonic(), 0.0)
        try:
            return await self._clock.wait_for(awaitable, remaining)
        except DeadlineExceededError as error:
            raise ExchangeBrokenError("no answer in time") from error


class MemoryEngineClient:
    """An :class:`~drumbay.backends.interface.EngineClient` for emulated engines."""

    def __init__(
        self, clock: Clock, engines: Mapping[str, EngineModel], network: BackendNetwork
    ) -> None:
        """Create a client for engines, given by base URL."""
        self._clock = clock
        self._engines = engines
        self._network = network

    async def generate(
        self, engine: BackendAddress, request: GenerationRequest, *, timeout_seconds: float
    ) -> AsyncIterator[TokenChunk]:
        """Yield the chunks of one attempt; see the interface."""
        exchange = self._exchange(engine, timeout_seconds)
        validator = ChunkValidator(request)
        engine_model = self._engine_at(engine)
        await exchange.send()
        chunks = engine_model.generate(request)
        response_lost = False
        try:
            while (chunk := await exchange.receive(anext(chunks, None))) is not None:
                validator.accept(chunk)
                yield chunk
        except ResponseLostError:
            # The engine cannot detect the disconnected caller, so it continues to generate.
            response_lost = True
            engine_model.drain_in_background(chunks)
            raise
        finally:
            if not response_lost:
                await chunks.aclose()
        validator.finish()

    async def cancel(self, engine: BackendAddress, attempt_id: AttemptId) -> None:
        """Request cancellation of an attempt; never raises BackendError."""
        try:
            await self._network.deliver_request(engine.base_url)
            await self._engine_at(engine).cancel(attempt_id)
        except BackendError:
            return

    async def order(
        self, engine: BackendAddress, order: FencedOrder, *, timeout_seconds: float
    ) -> EngineStatus:
        """Send a fenced order; see the interface."""
        exchange = self._exchange(engine, timeout_seconds)
        return await exchange.call(self._engine_at(engine).order(order))

    async def status(self, engine: BackendAddress, *, timeout_seconds: float) -> EngineStatus:
        """Return the engine's status report; see the interface."""
        exchange = self._exchange(engine, timeout_seconds)
        return await exchange.call(self._engine_at(engine).status())

    async def cache_events(
        self, engine: BackendAddress, after_sequence: int, *, timeout_seconds: float
    ) -> tuple[CacheEvent, ...]:
        """Return published cache events; see the interface."""
        exchange = self._exchange(engine, timeout_seconds)
        return await exchange.call(self._engine_at(engine).cache_events(after_sequence))

    def _exchange(self, engine: BackendAddress, timeout_seconds: float) -> _Exchange:
        return _Exchange(self._clock, self._network, engine.base_url, timeout_seconds)

    def _engine_at(self, engine: BackendAddress) -> EngineModel:
        engine_model = self._engines.get(engine.base_url)
        if engine_model is None:
            raise BackendNotReachedError(f"nothing listens at {engine.base_url}")
        return engine_model


class MemoryApplicationClient:
    """An :class:`~drumbay.backends.interface.ApplicationClient` for emulated services."""

    def __init__(
        self, clock: Clock, servers: Mapping[str, ServiceModel], network: BackendNetwork
    ) -> None:
        """Create a client for services, given by base URL."""
        self._clock = clock
        self._servers = servers
        self._network = network

    async def exchange(
        self, server: BackendAddress, request: ApplicationRequest, *, timeout_seconds: float
    ) -> ApplicationResponse:
        """Run one request and return its complete response; see the interface."""
        service = self._servers.get(server.base_url)
        if service is None:
            raise BackendNotReachedError(f"nothing listens at {server.base_url}")
        exchange = _Exchange(self._clock, self._network, server.base_url, timeout_seconds)
        response = await exchange.call(service.exchange(request))
        if response.attempt_id != request.attempt_id:
            raise ResponseMismatchError(
                f"sent attempt {request.attempt_id}, got {response.attempt_id}"
            )
        return response
