"""An engine client over HTTP: OpenAI-compatible completions and admin requests."""

from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import aclosing
from typing import TypeVar

import msgspec

from drumbay.backends.chunk_validator import ChunkValidator
from drumbay.backends.connector import HttpCall, HttpConnector
from drumbay.backends.interface import (
    BackendAddress,
    BackendError,
    CacheEvent,
    EngineStatus,
    ExchangeBrokenError,
    FencedOrder,
    GenerationRequest,
    TokenChunk,
)
from drumbay.backends.responses import check_attempt_id, raise_for_status
from drumbay.backends.sse import EventDecoder
from drumbay.backends.transfer import StreamedResponse
from drumbay.backends.wire import (
    CACHE_EVENTS_PATH,
    CANCEL_PATH,
    COMPLETIONS_PATH,
    DONE_EVENT,
    JSON_TYPE,
    ORDERS_PATH,
    REQUEST_ID_HEADER,
    STATUS_PATH,
    AttemptBody,
    CacheEventPage,
    CompletionChunk,
    completion_body,
)
from drumbay.identifiers import AttemptId
from drumbay.tasks import TaskOwner

CANCEL_TIMEOUT_SECONDS = 2.0
MAX_ADMIN_RESPONSE_BYTES = 4 << 20
JSON_HEADERS = {"Content-Type": JSON_TYPE}

RecordT = TypeVar("RecordT")


class HttpEngineClient:
    """An :class:`~drumbay.backends.interface.EngineClient` over HTTP."""

    def __init__(self, connector: HttpConnector, task_owner: TaskOwner) -> None:
        """Create a client; ``task_owner`` owns the background cancellation requests."""
        self._connector = connector
        self._task_owner = task_owner

    async def generate(
        self, engine: BackendAddress, request: GenerationRequest, *, timeout_seconds: float
    ) -> AsyncIterator[TokenChunk]:
        """Yield the chunks of one attempt; see the interface.

        Closing the iterator early aborts the transfer and cancels the attempt on the engine.
        """
        response = await self._connector.exchange(
            HttpCall(
                method="POST",
                url=engine.base_url + COMPLETIONS_PATH,
                headers={**JSON_HEADERS, REQUEST_ID_HEADER: request.attempt_id},
                body=msgspec.json.encode(completion_body(request)),
                timeout_seconds=timeout_seconds,
            )
        )
        try:
            check_attempt_id(response, request.attempt_id)
            await raise_for_status(response)
            async with aclosing(_validated_chunks(response, request)) as chunks:
                async for chunk in chunks:
                    yield chunk
        except GeneratorExit:
            self._cancel_in_background(engine, request.attempt_id)
            raise
        finally:
            response.abort()

    async def cancel(self, engine: BackendAddress, attempt_id: AttemptId) -> None:
        """Request cancellation of an attempt; never raises BackendError."""
        call = HttpCall(
            method="POST",
            url=engine.base_url + CANCEL_PATH,
            headers=JSON_HEADERS,
            body=msgspec.json.encode(AttemptBody(attempt_id=attempt_id)),
            timeout_seconds=CANCEL_TIMEOUT_SECONDS,
        )
        try:
            response = await self._connector.exchange(call)
            await response.body(MAX_ADMIN_RESPONSE_BYTES)
        except BackendError:
            return

    async def order(
        self, engine: BackendAddress, order: FencedOrder, *, timeout_seconds: float
    ) -> EngineStatus:
        """Send a fenced order; see the interface."""
        call = HttpCall(
            method="POST",
            url=engine.base_url + ORDERS_PATH,
            headers=JSON_HEADERS,
            body=msgspec.json.encode(order),
            timeout_seconds=timeout_seconds,
        )
        return await self._call_admin(call, EngineStatus)

    async def status(self, engine: BackendAddress, *, timeout_seconds: float) -> EngineStatus:
        """Return the engine's status report; see the interface."""
        call = HttpCall(
            method="GET",
            url=engine.base_url + STATUS_PATH,
            headers={},
            timeout_seconds=timeout_seconds,
        )
        return await self._call_admin(call, EngineStatus)

    async def cache_events(
        self, engine: BackendAddress, after_sequence: int, *, timeout_seconds: float
    ) -> tuple[CacheEvent, ...]:
        """Return published cache events; see the interface."""
        call = HttpCall(
            method="GET",
            url=f"{engine.base_url}{CACHE_EVENTS_PATH}?after={after_sequence}",
            headers={},
            timeout_seconds=timeout_seconds,
        )
        page = await self._call_admin(call, CacheEventPage)
        return page.events

    async def _call_admin(self, call: HttpCall, record_type: type[RecordT]) -> RecordT:
        response = await self._connector.exchange(call)
        await raise_for_status(response)
        body = await response.body(MAX_ADMIN_RESPONSE_BYTES)
        try:
            return msgspec.json.decode(body, type=record_type)
        except msgspec.DecodeError as error:
            raise ExchangeBrokenError(f"{call.url}: {error}") from error

    def _cancel_in_background(self, engine: BackendAddress, attempt_id: AttemptId) -> None:
        self._task_owner.spawn(self.cancel(engine, attempt_id), f"cancel-{attempt_id}")


async def _validated_chunks(
    response: StreamedResponse, request: GenerationRequest
) -> AsyncGenerator[TokenChunk]:
    """Yield the validated chunks of a stream, which must end with a ``[DONE]`` event."""
    decoder = EventDecoder()
    validator = ChunkValidator(request)
    received_done = False
    async with aclosing(response.body_parts()) as parts:
        async for part in parts:
            for event in decoder.feed(part):
                if event == DONE_EVENT:
                    received_done = True
                    continue
                chunk = _decode_chunk(event)
                validator.accept(chunk)
                yield chunk
    validator.finish()
    if not received_done:
        raise ExchangeBrokenError("the stream ended without its last event")


def _decode_chunk(event: bytes) -> TokenChunk:
    try:
        return msgspec.json.decode(event, type=CompletionChunk).to_token_chunk()
    except msgspec.DecodeError as error:
        raise ExchangeBrokenError(f"an event is not a chunk: {error}") from error
