"""OpenAI-compatible completions and chat completions, optionally streamed (SSE)."""

import asyncio
from contextlib import aclosing
from typing import ClassVar

import msgspec
from tornado.iostream import StreamClosedError

from drumbay.api.base import ApiHandler
from drumbay.api.schema import (
    ChatCompletionBody,
    CompletionAnswer,
    CompletionBody,
    CompletionEvent,
    ErrorBody,
    Usage,
)
from drumbay.backends.interface import FinishReason, TokenChunk
from drumbay.backends.wire import ChatDelta, ChatMessage, Choice
from drumbay.requests.records import LiveRequest
from drumbay.resources.schema import Role

EVENT_STREAM_CONTENT_TYPE = "text/event-stream"
ASSISTANT_ROLE = "assistant"
END_OF_STREAM = b"data: [DONE]\n\n"


class CompletionsHandler(ApiHandler):
    """``POST /v1/completions``."""

    response_object: ClassVar[str] = "text_completion"
    event_object: ClassVar[str] = "text_completion"

    allowed_roles: ClassVar[tuple[Role, ...]] = (Role.CALLER, Role.OPERATOR)

    _task: "asyncio.Task[None] | None" = None
    _is_disconnected = False

    async def post(self) -> None:
        """Serve one completion."""
        body = self.decode_body(CompletionBody)
        await self._serve(body, body.prompt)

    async def _serve(self, body: CompletionBody | ChatCompletionBody, prompt: str) -> None:
        request = LiveRequest(
            request_id=self.new_request_id(),
            model=body.model,
            prompt=prompt,
            max_tokens=body.max_tokens,
            seed=body.seed,
            target_tokens=body.target_tokens,
            timeout_seconds=self.requested_timeout_seconds(),
        )
        self._task = asyncio.current_task()
        try:
            if body.stream:
                await self._stream(request)
            else:
                await self._respond(request)
        except asyncio.CancelledError:
            if not self._is_disconnected:
                raise
        finally:
            self._task = None

    def on_connection_close(self) -> None:
        """Cancel the generation when the client disconnects."""
        self._is_disconnected = True
        if self._task is not None:
            self._task.cancel()

    async def _respond(self, request: LiveRequest) -> None:
        async with aclosing(self.node.generate(request)) as generation:
            chunks = [chunk async for chunk in generation]
        token_ids = tuple(token for chunk in chunks for token in chunk.token_ids)
        finish_reason = chunks[-1].finish_reason
        text = "".join(chunk.text for chunk in chunks)
        response = CompletionAnswer(
            id=request.request_id,
            object=self.response_object,
            created=self.node.unix_seconds(),
            model=request.model,
            choices=(self.response_choice(text, finish_reason),),
            usage=Usage(completion_tokens=len(token_ids)),
            text=text,
            token_ids=token_ids,
            finish_reason=finish_reason.value if finish_reason else "",
            spans=self.node.version_spans(request.request_id),
        )
        self.write_json(response)

    async def _stream(self, request: LiveRequest) -> None:
        """Stream chunks; an error after the first one is sent as a typed error event."""
        has_started = False
        try:
            async with aclosing(self.node.generate(request)) as generation:
                async for chunk in generation:
                    if not has_started:
                        has_started = True
                        self.set_header("Content-Type", EVENT_STREAM_CONTENT_TYPE)
                    await self._write_chunk(request, chunk)
            self.write(END_OF_STREAM)
        except StreamClosedError:
            return
        except Exception as error:
            if not has_started:
                raise
            self.log_exception(type(error), error)
            self._write_event(msgspec.json.encode(ErrorBody(error=self.error_detail(error))))
        await self.finish()

    async def _write_chunk(self, request: LiveRequest, chunk: TokenChunk) -> None:
        event = CompletionEvent(
            id=request.request_id,
            object=self.event_object,
            created=self.node.unix_seconds(),
            model=request.model,
            choices=(self.event_choice(chunk),),
            attempt_id=chunk.attempt_id,
            boot_id=chunk.boot_id,
            weight_version=chunk.weight_version,
            first_index=chunk.first_index,
            token_ids=chunk.token_ids,
        )
        self._write_event(msgspec.json.encode(event))
        await self.flush()

    def response_choice(self, text: str, finish_reason: FinishReason | None) -> Choice:
        """Return the choice of a non-streamed response."""
        return Choice(text=text, finish_reason=finish_reason)

    def event_choice(self, chunk: TokenChunk) -> Choice:
        """Return the choice of a streamed event."""
        return Choice(text=chunk.text, finish_reason=chunk.finish_reason)

    def _write_event(self, data: bytes) -> None:
        self.write(b"data: " + data + b"\n\n")


class ChatCompletionsHandler(CompletionsHandler):
    """``POST /v1/chat/completions``."""

    response_object: ClassVar[str] = "chat.completion"
    event_object: ClassVar[str] = "chat.completion.chunk"

    async def post(self) -> None:
        """Serve one chat completion; its messages are joined into one prompt."""
        body = self.decode_body(ChatCompletionBody)
        prompt = "\n".join(f"{message.role}: {message.content}" for message in body.messages)
        await self._serve(body, prompt)

    def response_choice(self, text: str, finish_reason: FinishReason | None) -> Choice:
        """Return the choice of a non-streamed response."""
        message = ChatMessage(role=ASSISTANT_ROLE, content=text)
        return Choice(message=message, finish_reason=finish_reason)

    def event_choice(self, chunk: TokenChunk) -> Choice:
        """Return the choice of a streamed event."""
        return Choice(delta=ChatDelta(content=chunk.text), finish_reason=chunk.finish_reason)
