"""Typed records of an acceptance run."""

import msgspec

from drumbay.api.schema import VersionSpan


class AcceptancePlan(msgspec.Struct, frozen=True, kw_only=True):
    """What is driven.

    Attributes:
        nodes: Base URLs of the nodes.
        trainer: Base URL of the emulated trainer.
        model: Model of the live requests and rollouts.
        stream: Sample stream of the trainer.
        steps: Training steps to wait for.
        samples_per_step: Samples of one step.
        live_requests: Live requests per step.
        bookings: Requests that may not be repeated, per step.
        stop_process_id: Process of the last node, stopped in the middle; ``None``: none.
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


class Refusal(msgspec.Struct, frozen=True, kw_only=True):
    """A sending of a live request that was refused as not run.

    Attributes:
        node: URL of the node that refused.
        request_id: The request, as the node names it.
        code: Stable name of the refusal.
        detail: What the node said.
    """

    node: str
    request_id: str
    code: str
    detail: str


class LiveResult(msgspec.Struct, frozen=True, kw_only=True):
    """What a caller got for one live request; no spans if it failed.

    Attributes:
        request_id: The request, as the node that answered names it.
        token_ids: Tokens of the answer.
        spans: The versions that made them.
        finish_reason: Why the answer ended.
        failure: Stable name of the failure; empty if the request was answered.
        refusals: Sendings that were refused as not run, before it was answered or failed.
    """

    request_id: str
    token_ids: tuple[int, ...] = ()
    spans: tuple[VersionSpan, ...] = ()
    finish_reason: str = ""
    failure: str = ""
    refusals: tuple[Refusal, ...] = ()


class BookingResult(msgspec.Struct, frozen=True, kw_only=True):
    """What a caller got for all sendings of one booking.

    Attributes:
        key: Idempotency key.
        answers: Bodies of the answered sendings.
        not_run: Sendings refused as not run.
        may_have_run: Sendings whose outcome the caller was told is not known.
    """

    key: str
    answers: tuple[bytes, ...]
    not_run: int
    may_have_run: int


class AcceptanceResult(msgspec.Struct, frozen=True, kw_only=True):
    """Everything that callers saw."""

    live: tuple[LiveResult, ...]
    bookings: tuple[BookingResult, ...]
    lookups_answered: int
    lookups_failed: int


class Disagreement(msgspec.Struct, frozen=True, kw_only=True):
    """One promise that the emulators' logs contradict."""

    promise: str
    subject: str
    detail: str
