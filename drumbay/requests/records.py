"""Typed records of callers' requests inside a node."""

import msgspec

from drumbay.identifiers import IdempotencyKey, RequestId


class LiveRequest(msgspec.Struct, frozen=True, kw_only=True):
    """One live generation request.

    Attributes:
        request_id: Identity of the request.
        model: Model the caller names.
        prompt: Prompt text.
        max_tokens: Most tokens to generate.
        seed: Seed of the sampling.
        target_tokens: Length hint for emulated engines.
        timeout_seconds: The caller's own time limit; ``None`` takes the route's.
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
        request_id: Identity of the request.
        method: HTTP method.
        path: Path with the query string, from ``/``.
        body: Request body.
        content_type: Media type of the body.
        idempotency_key: The caller's key.
        repeatable: What the caller declared; ``None`` takes the route's default.
        timeout_seconds: The caller's own time limit; ``None`` takes the route's.
    """

    request_id: RequestId
    method: str
    path: str
    body: bytes = b""
    content_type: str = "application/octet-stream"
    idempotency_key: IdempotencyKey | None = None
    repeatable: bool | None = None
    timeout_seconds: float | None = None
