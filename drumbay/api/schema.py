"""Typed records of the HTTP interface (JSON), also exported as JSON Schema."""

import msgspec

from drumbay.backends.wire import ChatMessage, Choice
from drumbay.explain.records import DecisionRecord
from drumbay.identifiers import (
    AttemptId,
    BackendId,
    BootId,
    NodeId,
    Revision,
    SampleId,
    WeightVersion,
)
from drumbay.resources.schema import AnyResource
from drumbay.rollout.sample import RolloutPrompt, TokenSpan


class ApiRecord(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base of request bodies; unknown fields are rejected."""


class ErrorDetail(msgspec.Struct, frozen=True, kw_only=True):
    """A failure as callers see it.

    Attributes:
        code: Stable name of the failure.
        detail: One sentence for a person.
        run: ``not_run`` or ``may_have_run``; empty where nothing could run.
        retry_after_seconds: When to come back; ``None`` if coming back does not help.
        request_id: The request, for ``drumbay explain request``.
    """

    code: str
    detail: str
    run: str = ""
    retry_after_seconds: float | None = None
    request_id: str | None = None


class ErrorBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body of every answer with a status of 400 or more."""

    error: ErrorDetail


class CompletionBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body of ``POST /v1/completions``; unknown OpenAI fields are ignored."""

    model: str
    prompt: str
    max_tokens: int = 256
    stream: bool = False
    seed: int = 0
    target_tokens: int | None = None


class ChatCompletionBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body of ``POST /v1/chat/completions``; unknown OpenAI fields are ignored."""

    model: str
    messages: tuple[ChatMessage, ...]
    max_tokens: int = 256
    stream: bool = False
    seed: int = 0
    target_tokens: int | None = None


class VersionSpan(msgspec.Struct, frozen=True, kw_only=True):
    """Consecutive tokens made by one run of one engine under one version."""

    weight_version: WeightVersion
    backend_id: BackendId
    boot_id: BootId
    first_index: int
    token_count: int


class Usage(msgspec.Struct, frozen=True, kw_only=True):
    """Tokens of a completion; those of the prompt are the engine's to count."""

    completion_tokens: int


class CompletionAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Whole answer of a completion request: OpenAI's fields, then drumbay's own.

    Attributes:
        id: Identity of the request.
        object: ``text_completion`` or ``chat.completion``.
        created: Seconds since the Unix epoch.
        model: The model.
        choices: The one choice.
        usage: Tokens generated.
        text: Text of the completion.
        token_ids: Tokens of the completion.
        finish_reason: Why it ended.
        spans: Which version and engine produced which tokens.
    """

    id: str
    object: str
    created: int
    model: str
    choices: tuple[Choice, ...]
    usage: Usage
    text: str
    token_ids: tuple[int, ...]
    finish_reason: str
    spans: tuple[VersionSpan, ...]


class CompletionEvent(msgspec.Struct, frozen=True, kw_only=True):
    """One server-sent event of a streamed completion: OpenAI's fields, then drumbay's own.

    Attributes:
        id: Request id.
        object: ``text_completion`` or ``chat.completion.chunk``.
        created: Seconds since the Unix epoch.
        model: The model.
        choices: A single choice, with the new text.
        attempt_id: The attempt that produced the tokens.
        boot_id: Boot id of the engine that produced them.
        weight_version: Weight version that produced them.
        first_index: Index of the first token in the whole completion.
        token_ids: The tokens.
    """

    id: str
    object: str
    created: int
    model: str
    choices: tuple[Choice, ...]
    attempt_id: AttemptId
    boot_id: BootId
    weight_version: WeightVersion
    first_index: int
    token_ids: tuple[int, ...]


class RolloutSubmission(ApiRecord, frozen=True, kw_only=True):
    """Body of ``POST /v1/rollouts``: the samples of one step of one stream."""

    stream: str
    step: int
    model: str
    prompts: tuple[RolloutPrompt, ...]


class RolloutReceipt(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to a rollout submission; submitting a step again has no effect."""

    stream: str
    step: int
    owner: NodeId


class DeliveredSample(msgspec.Struct, frozen=True, kw_only=True):
    """One sample as a trainer receives it.

    Attributes:
        sample_id: Identity of the sample; it reaches the trainer exactly once.
        step: Step that asked for it.
        index: Index of its prompt in the step, from 0.
        prompt: Prompt text.
        text: Completion.
        token_ids: Tokens of the completion.
        weight_versions: Versions that produced the tokens, in order of first use.
        spans: Which version, engine run and attempt produced which tokens.
        cursor: Position of the batch that holds the sample.
    """

    sample_id: SampleId
    cursor: int
    weight_versions: tuple[WeightVersion, ...]
    step: int
    index: int
    prompt: str
    text: str
    token_ids: tuple[int, ...]
    spans: tuple[TokenSpan, ...]


class BatchBody(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to a pull: the batch that is fixed at this cursor.

    While no sample is ready the batch is empty and ``next_cursor`` equals ``cursor``.
    """

    stream: str
    cursor: int
    next_cursor: int
    oldest_version: WeightVersion
    samples: tuple[DeliveredSample, ...] = ()


class CheckpointBody(ApiRecord, frozen=True, kw_only=True):
    """Body of ``POST /v1/streams/{stream}/checkpoint``: the next cursor it holds."""

    cursor: int


class WeightAnnouncement(ApiRecord, frozen=True, kw_only=True):
    """Body of ``POST /v1/models/{model}/versions``: a published version."""

    version: WeightVersion


class ResourceBody(msgspec.Struct, frozen=True, kw_only=True):
    """One resource with the revision of its last change."""

    resource: AnyResource
    mod_revision: Revision


class ResourceListBody(msgspec.Struct, frozen=True, kw_only=True):
    """All resources of a query, at one configuration revision of the answering node."""

    revision: Revision
    items: tuple[ResourceBody, ...]


class ApplyBody(ApiRecord, frozen=True, kw_only=True):
    """Body of ``PUT /v1/resources/{kind}/{name}``.

    Attributes:
        resource: The resource as it shall be.
        operation_id: Identity of this change; the same id is applied once.
        expected_revision: Revision the writer has seen; 0 if it shall be new; ``None``
            overwrites whatever is there.
    """

    resource: AnyResource
    operation_id: str
    expected_revision: Revision | None = None


class ApplyOutcomeBody(msgspec.Struct, frozen=True, kw_only=True):
    """What became of a change: ``accepted`` or ``unknown_yet`` (ask again by the id)."""

    outcome: str
    operation_id: str
    mod_revision: Revision | None = None


class ExplanationBody(msgspec.Struct, frozen=True, kw_only=True):
    """Decision records of one subject, oldest first.

    Attributes:
        records: Records of every node that answered.
        nodes_asked: Nodes that were asked.
        nodes_answered: Nodes that answered.
    """

    records: tuple[DecisionRecord, ...]
    nodes_asked: int
    nodes_answered: int


class MemberBody(msgspec.Struct, frozen=True, kw_only=True):
    """One node as the answering node sees it."""

    node_id: NodeId
    zone: str
    region: str
    state: str
    incarnation: int


class StatusBody(msgspec.Struct, frozen=True, kw_only=True):
    """State of one node.

    Attributes:
        node_id: The node.
        boot_id: This run of its process.
        version: Version of the program.
        ready: Whether a configuration has been loaded.
        draining: Whether the node is stopping and refuses new work.
        configuration_revision: Revision in force on the node.
        configuration_state: ``starting``, ``current``, or ``unconfirmed`` when nobody has
            confirmed of late that nothing newer is in force.
        configuration_confirmed_age_seconds: Time since the last confirmation.
        members: Nodes as this one sees them.
        owned: Sample streams that the node owns.
        evacuated_zones: Zones whose back ends get no new work from the node.
    """

    node_id: NodeId
    boot_id: BootId
    version: str
    ready: bool
    draining: bool
    configuration_revision: Revision
    configuration_state: str
    configuration_confirmed_age_seconds: float | None
    members: tuple[MemberBody, ...]
    owned: tuple[str, ...]
    evacuated_zones: tuple[str, ...] = ()
