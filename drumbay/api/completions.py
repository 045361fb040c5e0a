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
    ErrorBody,
)
from drumbay.backends.interface import TokenChunk
from drumbay.requests.records import LiveRequest
from drumbay.resources.schema import Role

EVENT_STREAM_CONTENT_TYPE = "text/event-stream"
END_OF_STREAM = b"data: [DONE]\n\n"


class CompletionsHandler(ApiHandler):
    """``POST /v1/completions``."""

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
        answer = CompletionAnswer(
            id=request.request_id,
            model=request.model,
            text="".join(chunk.text for chunk in chunks),
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
                    await self._write_chunk(chunk)
            self.write(END_OF_STREAM)
        except StreamClosedError:
            return
        except Exception as error:
            if not started:
                raise
            self.log_exception(type(error), error)
            self._write_event(msgspec.json.encode(ErrorBody(error=self.error_detail(error))))
        await self.finish()

    async def _write_chunk(self, chunk: TokenChunk) -> None:
        self._write_event(msgspec.json.encode(chunk))
        await self.flush()

    def _write_event(self, data: bytes) -> None:
        self.write(b"data: " + data + b"\n\n")


class ChatCompletionsHandler(CompletionsHandler):
    """``POST /v1/chat/completions``."""

    async def post(self) -> None:
        """Serve one chat completion; the messages become one prompt."""
        body = self.decode_body(ChatCompletionBody)
        prompt = "\n".join(f"{message.role}: {message.content}" for message in body.messages)
        await self._serve(body, prompt)
