"""Typed records of an acceptance run."""

import msgspec

from drumbay.api.schema import VersionSpan


class AcceptancePlan(msgspec.Struct, frozen=True, kw_only=True):
    """Configuration of an acceptance run.

    Attributes:
        nodes: Base URLs of the nodes.
        trainer: Base URL of the emulated trainer.
        model: Model of the live requests and rollouts.
        stream: Sample stream of the trainer.
        steps: Training steps to wait for.
        samples_per_step: Samples of one step.
        live_requests: Live requests per step.
        bookings: Non-idempotent requests per step.
        stop_process_id: Process id of the last node, which is stopped during the run; ``None``
            to stop none.
    """

    nodes: tuple[str, ...]
    trainer: str
    model: str
    stream: str
    steps: int = 2
    samples_per_step: int = 24
    live_requests: int = 24
    bookings: int = 16
    stop_process_id: int | None = None


class Rejection(msgspec.Struct, frozen=True, kw_only=True):
    """An attempt of a live request that a node rejected as not run.

    Attributes:
        node: URL of the node.
        request_id: Request id that the node assigned.
        code: Error code.
        detail: Error detail.
    """

    node: str
    request_id: str
    code: str
    detail: str


class LiveResult(msgspec.Struct, frozen=True, kw_only=True):
    """Result of one live request; no spans if it failed.

    Attributes:
        request_id: Request id that the last node assigned.
        token_ids: Tokens of the response.
        spans: Weight versions of the tokens.
        finish_reason: Why the generation ended.
        failure: Error code; empty if the request succeeded.
        rejections: Earlier attempts that were rejected as not run.
    """

    request_id: str
    token_ids: tuple[int, ...] = ()
    spans: tuple[VersionSpan, ...] = ()
    finish_reason: str = ""
    failure: str = ""
    rejections: tuple[Rejection, ...] = ()


class BookingResult(msgspec.Struct, frozen=True, kw_only=True):
    """Results of all attempts of one booking.

    Attributes:
        key: Idempotency key.
        response_bodies: Bodies of the successful responses.
        not_run: Number of attempts rejected as not run.
        may_have_run: Number of attempts with an unknown outcome.
    """

    key: str
    response_bodies: tuple[bytes, ...]
    not_run: int
    may_have_run: int


class AcceptanceResult(msgspec.Struct, frozen=True, kw_only=True):
    """All results that callers received."""

    live: tuple[LiveResult, ...]
    bookings: tuple[BookingResult, ...]
    lookups_answered: int
    lookups_failed: int


class Mismatch(msgspec.Struct, frozen=True, kw_only=True):
    """One violation of a guarantee, according to the emulators' execution logs.

    Attributes:
        guarantee: Name of the violated guarantee.
        subject: Request, sample, idempotency key or stream concerned.
        detail: What was observed.
    """

    guarantee: str
    subject: str
    detail: str
