"""Requests of callers, as passed between the components of a node."""

import msgspec

from drumbay.identifiers import IdempotencyKey, RequestId


class LiveRequest(msgspec.Struct, frozen=True, kw_only=True):
    """One live generation request.

    Attributes:
        request_id: Id of the request.
        model: Requested model.
        prompt: Prompt text.
        max_tokens: Maximum number of tokens to generate.
        seed: Sampling seed.
        target_tokens: Length hint for emulated engines.
        timeout_seconds: The caller's timeout; ``None`` uses the route's.
    """

    request_id: RequestId
    model: str
    prompt: str
    max_tokens: int
    seed: int = 0
    target_tokens: int | None = None
    timeout_seconds: float | None = None


class ApplicationCall(msgspec.Struct, frozen=True, kw_only=True):
    """One application request.

    Attributes:
        request_id: Id of the request.
        method: HTTP method.
        path: Path starting with ``/``, including the query string.
        body: Request body.
        content_type: Media type of the body.
        idempotency_key: The caller's idempotency key.
        repeatable: Whether the caller allows the request to run more than once; ``None``
            uses the default of the method and route.
        timeout_seconds: The caller's timeout; ``None`` uses the route's.
    """

    request_id: RequestId
    method: str
    path: str
    body: bytes = b""
    content_type: str = "application/octet-stream"
    idempotency_key: IdempotencyKey | None = None
    repeatable: bool | None = None
    timeout_seconds: float | None = None
