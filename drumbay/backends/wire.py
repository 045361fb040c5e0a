"""Bodies of the HTTP protocol between drumbay and its backends.

The protocol is OpenAI's completions API with server-sent events, extended by fields for the
attempt, the engine's boot id and the weight version of each chunk.
"""

import msgspec

from drumbay.backends.interface import CacheEvent, FinishReason, GenerationRequest, TokenChunk
from drumbay.exceptions import Execution
from drumbay.identifiers import AttemptId, BackendId, BootId, WeightVersion

COMPLETIONS_PATH = "/v1/completions"
CHAT_COMPLETIONS_PATH = "/v1/chat/completions"
ORDERS_PATH = "/admin/orders"
STATUS_PATH = "/admin/status"
CACHE_EVENTS_PATH = "/admin/cache-events"
CANCEL_PATH = "/admin/cancel"
CACHE_EXPORT_PATH = "/admin/kv-cache/export"
CACHE_IMPORT_PATH = "/admin/kv-cache/import"

REQUEST_ID_HEADER = "X-Request-Id"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
RETRY_AFTER_HEADER = "Retry-After"
JSON_TYPE = "application/json"
EVENT_STREAM_TYPE = "text/event-stream"
DONE_EVENT = b"[DONE]"


class CompletionBody(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Body of ``POST /v1/completions``; the last four fields are drumbay extensions."""

    model: str
    prompt: str
    max_tokens: int = 16
    stream: bool = False
    seed: int = 0
    priority: int = 0
    resume_tokens: tuple[int, ...] = ()
    weight_version: WeightVersion | None = None
    target_tokens: int | None = None

    def to_generation_request(self, attempt_id: AttemptId) -> GenerationRequest:
        """Return the generation request of an attempt."""
        return GenerationRequest(
            attempt_id=attempt_id,
            model=self.model,
            prompt=self.prompt,
            max_tokens=self.max_tokens,
            resume_tokens=self.resume_tokens,
            weight_version=self.weight_version,
            priority=self.priority,
            seed=self.seed,
            target_tokens=self.target_tokens,
        )


def completion_body(request: GenerationRequest) -> CompletionBody:
    """Return the body of a streaming completion request."""
    return CompletionBody(
        model=request.model,
        prompt=request.prompt,
        max_tokens=request.max_tokens,
        stream=True,
        seed=request.seed,
        priority=request.priority,
        resume_tokens=request.resume_tokens,
        weight_version=request.weight_version,
        target_tokens=request.target_tokens,
    )


class ChatMessage(msgspec.Struct, frozen=True, kw_only=True):
    """One message of a chat."""

    role: str
    content: str


class ChatCompletionBody(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Body of ``POST /v1/chat/completions``."""

    model: str
    messages: tuple[ChatMessage, ...]
    max_tokens: int = 16
    stream: bool = False
    seed: int = 0
    priority: int = 0
    weight_version: WeightVersion | None = None

    def to_completion_body(self) -> CompletionBody:
        """Return the completion request for the messages joined into one prompt."""
        lines = [f"{message.role}: {message.content}" for message in self.messages]
        return CompletionBody(
            model=self.model,
            prompt="\n".join([*lines, "assistant:"]),
            max_tokens=self.max_tokens,
            stream=self.stream,
            seed=self.seed,
            priority=self.priority,
            weight_version=self.weight_version,
        )


class ChatDelta(msgspec.Struct, frozen=True, kw_only=True):
    """Text delta of a streamed chat message."""

    content: str


class Choice(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The only choice of a response.

    Attributes:
        text: Text of a completion.
        delta: Text delta of a streamed chat message.
        message: Complete chat message.
        index: Always 0.
        finish_reason: Set once the completion has ended.
    """

    index: int = 0
    text: str | None = None
    delta: ChatDelta | None = None
    message: ChatMessage | None = None
    finish_reason: FinishReason | None = None


class CompletionChunk(msgspec.Struct, frozen=True, kw_only=True):
    """One server-sent event of a streamed completion; ``id`` is the attempt id."""

    id: AttemptId
    object: str
    model: str
    choices: tuple[Choice, ...]
    boot_id: BootId
    weight_version: WeightVersion
    first_index: int
    token_ids: tuple[int, ...]

    def to_token_chunk(self) -> TokenChunk:
        """Convert the event to a token chunk."""
        choice = self.choices[0] if self.choices else Choice()
        return TokenChunk(
            attempt_id=self.id,
            boot_id=self.boot_id,
            weight_version=self.weight_version,
            first_index=self.first_index,
            token_ids=self.token_ids,
            text=choice.text or "",
            finish_reason=choice.finish_reason,
        )


class Usage(msgspec.Struct, frozen=True, kw_only=True):
    """Token counts of a response."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class CompletionResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Response to a completion request without streaming.

    Attributes:
        id: Attempt id.
        object: OpenAI object type.
        model: Name of the model.
        choices: The only choice.
        usage: Token counts.
        boot_id: Id of the engine process, which changes on restart.
        weight_versions: Weight versions that generated the tokens, in order and without repetition.
        token_ids: All token ids.
    """

    id: AttemptId
    object: str
    model: str
    choices: tuple[Choice, ...]
    usage: Usage
    boot_id: BootId
    weight_versions: tuple[WeightVersion, ...]
    token_ids: tuple[int, ...]


class ErrorDetail(msgspec.Struct, frozen=True, kw_only=True):
    """Error code, message and whether the request ran."""

    code: str
    message: str = ""
    run: Execution | None = None


class ErrorBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body of all error responses."""

    error: ErrorDetail


class AttemptBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body of an admin request that concerns one attempt."""

    attempt_id: AttemptId


class CacheEventPage(msgspec.Struct, frozen=True, kw_only=True):
    """Response of ``GET /admin/cache-events``."""

    events: tuple[CacheEvent, ...]


class ServiceStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Response of ``GET /admin/status`` of an application or scoring service."""

    backend_id: BackendId
    boot_id: BootId
    running: int
    waiting: int
