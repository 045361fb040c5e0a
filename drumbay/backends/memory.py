"""Clients that call emulated back ends in the same process, on any clock."""

from collections.abc import AsyncIterator, Awaitable, Coroutine, Mapping
from typing import TypeVar

from drumbay.backends.interface import (
    AnswerMismatchError,
    ApplicationAnswer,
    ApplicationRequest,
    BackendAddress,
    BackendError,
    BackendNotReachedError,
    CacheEvent,
    EngineStatus,
    ExchangeBrokenError,
    FencedOrder,
    GenerationRequest,
    TokenChunk,
)
from drumbay.backends.sequence import ChunkSequence
from drumbay.clock import Clock
from drumbay.exceptions import DeadlineExceededError
from drumbay.identifiers import AttemptId
from drumbay.standins.engine_model import EngineModel
from drumbay.standins.service_model import ServiceModel

ResultT = TypeVar("ResultT")


class AnswerLostError(ExchangeBrokenError):
    """The network lost an answer; the back end was not told."""

    code = "answer_lost"


class BackendNetwork:
    """The network between one node and its back ends, with switchable cuts.

    Attributes:
        latency_seconds: Time of one message, one way.
    """

    def __init__(self, clock: Clock, latency_seconds: float = 0.0005) -> None:
        """Create a network without cuts."""
        self.latency_seconds = latency_seconds
        self._clock = clock
        self._requests_cut: dict[str, None] = {}
        self._answers_cut: dict[str, None] = {}

    def cut_requests(self, base_url: str) -> None:
        """Let no new request reach a back end; streams under way break too."""
        self._requests_cut[base_url] = None

    def cut_answers(self, base_url: str) -> None:
        """Lose every answer of a back end; requests still reach it and run."""
        self._answers_cut[base_url] = None

    def heal(self, base_url: str) -> None:
        """Remove all cuts towards a back end."""
        self._requests_cut.pop(base_url, None)
        self._answers_cut.pop(base_url, None)

    async def deliver_request(self, base_url: str) -> None:
        """Carry a request to a back end.

        Raises:
            BackendNotReachedError: The way is cut.
        """
        if base_url in self._requests_cut:
            raise BackendNotReachedError(f"no way to {base_url}")
        await self._clock.sleep(self.latency_seconds)

    async def write_response(self, base_url: str) -> None:
        """Carry an answer, or one chunk of it, back.

        Raises:
            AnswerLostError: The way is cut.
        """
        await self._clock.sleep(self.latency_seconds)
        if base_url in self._answers_cut or base_url in self._requests_cut:
            raise AnswerLostError(f"the answer of {base_url} was lost")


class _Exchange:
    """One exchange with a back end, within a time limit."""

    def __init__(
        self, clock: Clock, network: BackendNetwork, base_url: str, timeout_seconds: float
    ) -> None:
        self._clock = clock
        self._network = network
        self._base_url = base_url
        self._ends_at = clock.monotonic() + timeout_seconds

    async def call(self, awaitable: Awaitable[ResultT]) -> ResultT:
        """Carry a request there, await the back end and carry its answer back.

        Raises:
            BackendNotReachedError: The request did not get there.
            ExchangeBrokenError: The answer was lost or late.
            BackendError: The back end's own answer.
        """
        try:
            await self.send()
        except BaseException:
            # NOTE: the caller may be cancelled here too, e.g. at the end of a simulation.
            if isinstance(awaitable, Coroutine):
                awaitable.close()
            raise
        return await self.receive(awaitable)

    async def send(self) -> None:
        """Carry a request to the back end."""
        await self._network.deliver_request(self._base_url)

    async def receive(self, awaitable: Awaitable[ResultT]) -> ResultT:
        """Await the back end and carry its answer back, be it a failure."""
        try:
            result = await self._within_limit(awaitable)
        except (BackendNotReachedError, ExchangeBrokenError):
            raise
        except BackendError:
            await self._within_limit(self._network.write_response(self._base_url))
            raise
        await self._within_limit(self._network.write_response(self._base_url))
        return result

    async def _within_limit(self, awaitable: Awaitable[ResultT]) -> ResultT:
        remaining = max(self._ends_at - self._clock.monotonic(), 0.0)
        try:
            return await self._clock.wait_for(awaitable, remaining)
        except DeadlineExceededError as error:
            raise ExchangeBrokenError("no answer in time") from error


class MemoryEngineClient:
    """An :class:`~drumbay.backends.interface.EngineClient` on emulated engines."""

    def __init__(
        self, clock: Clock, engines: Mapping[str, EngineModel], network: BackendNetwork
    ) -> None:
        """Create a client of the engines, which are looked up by base URL."""
        self._clock = clock
        self._engines = engines
        self._network = network

    async def generate(
        self, engine: BackendAddress, request: GenerationRequest, *, timeout_seconds: float
    ) -> AsyncIterator[TokenChunk]:
        """Yield the chunks of one attempt; see the interface."""
        exchange = self._exchange(engine, timeout_seconds)
        sequence = ChunkSequence(request)
        model = self._model(engine)
        await exchange.send()
        chunks = model.generate(request)
        lost = False
        try:
            while (chunk := await exchange.receive(anext(chunks, None))) is not None:
                sequence.accept(chunk)
                yield chunk
        except AnswerLostError:
            # NOTE: an engine behind a cut does not learn that its caller has gone.
            lost = True
            model.run_unread(chunks)
            raise
        finally:
            if not lost:
                await chunks.aclose()
        sequence.end()

    async def cancel(self, engine: BackendAddress, attempt_id: AttemptId) -> None:
        """Ask an engine to stop an attempt; never raises BackendError."""
        try:
            await self._network.deliver_request(engine.base_url)
            await self._model(engine).cancel(attempt_id)
        except BackendError:
            return

    async def order(
        self, engine: BackendAddress, order: FencedOrder, *, timeout_seconds: float
    ) -> EngineStatus:
        """Give a fenced order; see the interface."""
        exchange = self._exchange(engine, timeout_seconds)
        return await exchange.call(self._model(engine).order(order))

    async def status(self, engine: BackendAddress, *, timeout_seconds: float) -> EngineStatus:
        """Return the engine's own report; see the interface."""
        exchange = self._exchange(engine, timeout_seconds)
        return await exchange.call(self._model(engine).status())

    async def cache_events(
        self, engine: BackendAddress, after_sequence: int, *, timeout_seconds: float
    ) -> tuple[CacheEvent, ...]:
        """Return published cache events; see the interface."""
        exchange = self._exchange(engine, timeout_seconds)
        return await exchange.call(self._model(engine).cache_events(after_sequence))

    def _exchange(self, engine: BackendAddress, timeout_seconds: float) -> _Exchange:
        return _Exchange(self._clock, self._network, engine.base_url, timeout_seconds)

    def _model(self, engine: BackendAddress) -> EngineModel:
        model = self._engines.get(engine.base_url)
        if model is None:
            raise BackendNotReachedError(f"nothing listens at {engine.base_url}")
        return model


class MemoryApplicationClient:
    """An :class:`~drumbay.backends.interface.ApplicationClient` on emulated services."""

    def __init__(
        self, clock: Clock, servers: Mapping[str, ServiceModel], network: BackendNetwork
    ) -> None:
        """Create a client of the services, which are looked up by base URL."""
        self._clock = clock
        self._servers = servers
        self._network = network

    async def exchange(
        self, server: BackendAddress, request: ApplicationRequest, *, timeout_seconds: float
    ) -> ApplicationAnswer:
        """Run one request and return its whole answer; see the interface."""
        model = self._servers.get(server.base_url)
        if model is None:
            raise BackendNotReachedError(f"nothing listens at {server.base_url}")
        exchange = _Exchange(self._clock, self._network, server.base_url, timeout_seconds)
        answer = await exchange.call(model.exchange(request))
        if answer.attempt_id != request.attempt_id:
            raise AnswerMismatchError(f"sent attempt {request.attempt_id}, got {answer.attempt_id}")
        return answer
