"""OpenAI-compatible completion handlers of an emulated engine."""

from collections.abc import AsyncGenerator
from contextlib import aclosing

import msgspec
from tornado.iostream import StreamClosedError

from drumbay.backends.interface import (
    BackendError,
    BackendRefusedError,
    ExchangeBrokenError,
    GenerationRequest,
    StaleFenceError,
    TokenChunk,
)
from drumbay.backends.sse import encode_event
from drumbay.backends.wire import (
    DONE_EVENT,
    EVENT_STREAM_TYPE,
    REQUEST_ID_HEADER,
    ChatCompletionBody,
    ChatDelta,
    ChatMessage,
    Choice,
    CompletionBody,
    CompletionChunk,
    CompletionResponse,
    Usage,
)
from drumbay.exceptions import Execution
from drumbay.identifiers import AttemptId
from drumbay.standins.emulator_server import HTTP_BAD_REQUEST, JsonHandler
from drumbay.standins.engine_model import EngineModel
from drumbay.standins.generation import CHARACTERS_PER_TOKEN
from drumbay.tasks import TaskOwner

HTTP_CONFLICT = 409
HTTP_TOO_MANY_REQUESTS = 429
HTTP_SERVER_ERROR = 500
HTTP_UNAVAILABLE = 503
OVERLOADED = "overloaded"


class EngineHandler(JsonHandler):
    """Base class of the engine's request handlers."""

    def initialize(self, engine: EngineModel, tasks: TaskOwner) -> None:
        """Set the engine and the owner of background tasks."""
        self.engine = engine
        self.tasks = tasks

    def send_backend_error(self, error: BackendError) -> None:
        """Respond with an error, or drop the connection as a crashed process would."""
        if isinstance(error, BackendRefusedError):
            status = HTTP_TOO_MANY_REQUESTS if error.reason == OVERLOADED else HTTP_UNAVAILABLE
            self.send_error_body(
                status,
                error.reason,
                "refused without running",
                run=Execution.NOT_RUN,
                retry_after_seconds=error.retry_after_seconds,
            )
        elif isinstance(error, StaleFenceError):
            self.send_error_body(HTTP_CONFLICT, error.code, str(error))
        elif isinstance(error, ExchangeBrokenError) or self.engine.crashed:
            self.drop_connection()
        else:
            self.send_error_body(HTTP_SERVER_ERROR, error.code, str(error))


class CompletionsHandler(EngineHandler):
    """``POST /v1/completions``."""

    object_name = "text_completion"
    _attempt_id = AttemptId("")

    async def post(self) -> None:
        """Generate a completion, streamed or in one response."""
        self._attempt_id = AttemptId(self.request.headers.get(REQUEST_ID_HEADER, ""))
        self.set_header(REQUEST_ID_HEADER, self._attempt_id)
        try:
            body = self.decode_body()
        except msgspec.DecodeError as error:
            self.send_error_body(
                HTTP_BAD_REQUEST, "invalid_body", str(error), run=Execution.NOT_RUN
            )
            return
        request = body.to_generation_request(self._attempt_id)
        async with aclosing(self.engine.generate(request)) as chunks:
            if body.stream:
                await self._send_stream(request, chunks)
            else:
                await self._send_completion(request, chunks)

    def on_connection_close(self) -> None:
        """Cancel the generation when the client disconnects."""
        self.tasks.spawn(self._cancel(), f"cancel-{self._attempt_id}")

    def decode_body(self) -> CompletionBody:
        """Decode the request body.

        Raises:
            msgspec.DecodeError: The body is not valid.
        """
        return msgspec.json.decode(self.request.body, type=CompletionBody)

    def delta_choice(self, chunk: TokenChunk) -> Choice:
        """Return the choice of a streamed chunk."""
        return Choice(text=chunk.text, finish_reason=chunk.finish_reason)

    def completion_choice(self, text: str, last: TokenChunk) -> Choice:
        """Return the choice of a non-streamed response."""
        return Choice(text=text, finish_reason=last.finish_reason)

    async def _cancel(self) -> None:
        try:
            await self.engine.cancel(self._attempt_id)
        except BackendError:
            return

    async def _send_stream(
        self, request: GenerationRequest, chunks: AsyncGenerator[TokenChunk]
    ) -> None:
        headers_sent = False
        try:
            async for chunk in chunks:
                if not headers_sent:
                    self.set_header("Content-Type", EVENT_STREAM_TYPE)
                    headers_sent = True
                self.write(encode_event(msgspec.json.encode(self._event(request, chunk))))
                await self.flush()
            self.write(encode_event(DONE_EVENT))
        except StreamClosedError:
            return
        except BackendRefusedError as error:
            self.send_backend_error(error)
        except BackendError:
            self.drop_connection()

    async def _send_completion(
        self, request: GenerationRequest, chunks: AsyncGenerator[TokenChunk]
    ) -> None:
        received_chunks: list[TokenChunk] = []
        try:
            async for chunk in chunks:
                received_chunks.append(chunk)
        except BackendRefusedError as error:
            self.send_backend_error(error)
            return
        except BackendError:
            self.drop_connection()
            return
        self.send(self._completion_response(request, received_chunks))

    def _event(self, request: GenerationRequest, chunk: TokenChunk) -> CompletionChunk:
        return CompletionChunk(
            id=chunk.attempt_id,
            object=self.object_name,
            model=request.model,
            choices=(self.delta_choice(chunk),),
            boot_id=chunk.boot_id,
            weight_version=chunk.weight_version,
            first_index=chunk.first_index,
            token_ids=chunk.token_ids,
        )

    def _completion_response(
        self, request: GenerationRequest, chunks: list[TokenChunk]
    ) -> CompletionResponse:
        tokens = tuple(token for chunk in chunks for token in chunk.token_ids)
        prompt_tokens = len(request.prompt) // CHARACTERS_PER_TOKEN + 1
        last = chunks[-1]
        return CompletionResponse(
            id=last.attempt_id,
            object=self.object_name,
            model=request.model,
            choices=(self.completion_choice("".join(chunk.text for chunk in chunks), last),),
            usage=Usage(
                prompt_tokens=prompt_tokens,
                completion_tokens=len(tokens),
                total_tokens=prompt_tokens + len(tokens),
            ),
            boot_id=last.boot_id,
            weight_versions=tuple(dict.fromkeys(chunk.weight_version for chunk in chunks)),
            token_ids=tokens,
        )


class ChatCompletionsHandler(CompletionsHandler):
    """``POST /v1/chat/completions``."""

    object_name = "chat.completion"

    def decode_body(self) -> CompletionBody:
        """Decode the request body, with its messages joined into one prompt.

        Raises:
            msgspec.DecodeError: The body is not valid.
        """
        return msgspec.json.decode(self.request.body, type=ChatCompletionBody).to_completion_body()

    def delta_choice(self, chunk: TokenChunk) -> Choice:
        """Return the choice of a streamed chunk."""
        return Choice(delta=ChatDelta(content=chunk.text), finish_reason=chunk.finish_reason)

    def completion_choice(self, text: str, last: TokenChunk) -> Choice:
        """Return the choice of a non-streamed response."""
        message = ChatMessage(role="assistant", content=text)
        return Choice(message=message, finish_reason=last.finish_reason)
