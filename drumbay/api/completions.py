"""OpenAI-compatible completions and chat completions, whole or streamed (SSE)."""

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

    answer_object: ClassVar[str] = "text_completion"
    event_object: ClassVar[str] = "text_completion"

    allowed_roles: ClassVar[tuple[Role, ...]] = (Role.CALLER, Role.OPERATOR)

    _serving: "asyncio.Task[None] | None" = None
    _is_caller_gone = False

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
            timeout_seconds=self.caller_timeout_seconds(),
        )
        self._serving = asyncio.current_task()
        try:
            if body.stream:
                await self._stream(request)
            else:
                await self._answer_whole(request)
        except asyncio.CancelledError:
            if not self._is_caller_gone:
                raise
        finally:
            self._serving = None

    def on_connection_close(self) -> None:
        """Cancel the generation: nobody waits for its answer any more."""
        self._is_caller_gone = True
        if self._serving is not None:
            self._serving.cancel()

    async def _answer_whole(self, request: LiveRequest) -> None:
        async with aclosing(self.node.generate(request)) as generation:
            chunks = [chunk async for chunk in generation]
        token_ids = tuple(token for chunk in chunks for token in chunk.token_ids)
        finish_reason = chunks[-1].finish_reason
        text = "".join(chunk.text for chunk in chunks)
        answer = CompletionAnswer(
            id=request.request_id,
            object=self.answer_object,
            created=self.node.wall_seconds(),
            model=request.model,
            choices=(self.whole_choice(text, finish_reason),),
            usage=Usage(completion_tokens=len(token_ids)),
            text=text,
            token_ids=token_ids,
            finish_reason=finish_reason.value if finish_reason else "",
            spans=self.node.spans_of(request.request_id),
        )
        self.write_record(answer)

    async def _stream(self, request: LiveRequest) -> None:
        """Stream chunks; a failure after the first one becomes a typed error event."""
        started = False
        try:
            async with aclosing(self.node.generate(request)) as generation:
                async for chunk in generation:
                    if not started:
                        started = True
                        self.set_header("Content-Type", EVENT_STREAM_CONTENT_TYPE)
                    await self._write_chunk(request, chunk)
            self.write(END_OF_STREAM)
        except StreamClosedError:
            return
        except Exception as error:
            if not started:
                raise
            self.log_exception(type(error), error)
            self._write_event(msgspec.json.encode(ErrorBody(error=self.error_detail(error))))
        await self.finish()

    async def _write_chunk(self, request: LiveRequest, chunk: TokenChunk) -> None:
        event = CompletionEvent(
            id=request.request_id,
            object=self.event_object,
            created=self.node.wall_seconds(),
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

    def whole_choice(self, text: str, finish_reason: FinishReason | None) -> Choice:
        """Return the choice of a whole answer."""
        return Choice(text=text, finish_reason=finish_reason)

    def event_choice(self, chunk: TokenChunk) -> Choice:
        """Return the choice of one event."""
        return Choice(text=chunk.text, finish_reason=chunk.finish_reason)

    def _write_event(self, data: bytes) -> None:
        self.write(b"data: " + data + b"\n\n")


class ChatCompletionsHandler(CompletionsHandler):
    """``POST /v1/chat/completions``."""

    answer_object: ClassVar[str] = "chat.completion"
    event_object: ClassVar[str] = "chat.completion.chunk"

    async def post(self) -> None:
        """Serve one chat completion; the messages become one prompt."""
        body = self.decode_body(ChatCompletionBody)
        prompt = "\n".join(f"{message.role}: {message.content}" for message in body.messages)
        await self._serve(body, prompt)

    def whole_choice(self, text: str, finish_reason: FinishReason | None) -> Choice:
        """Return the choice of a whole answer."""
        message = ChatMessage(role=ASSISTANT_ROLE, content=text)
        return Choice(message=message, finish_reason=finish_reason)

    def event_choice(self, chunk: TokenChunk) -> Choice:
        """Return the choice of one event."""
        return Choice(delta=ChatDelta(content=chunk.text), finish_reason=chunk.finish_reason)
