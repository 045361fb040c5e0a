"""A fake of the node behind the HTTP interface, for the tests of the handlers."""

import asyncio
import hashlib
from collections.abc import AsyncGenerator

from prometheus_client import CollectorRegistry

from drumbay.api.schema import (
    ApplyBody,
    ApplyOutcomeBody,
    BatchBody,
    ExplanationBody,
    ResourceListBody,
    RolloutReceipt,
    RolloutSubmission,
    StatusBody,
    VersionSpan,
    WeightAnnouncement,
)
from drumbay.backends.interface import ApplicationResponse, FinishReason, TokenChunk
from drumbay.explain.records import SubjectKind
from drumbay.identifiers import (
    AttemptId,
    BootId,
    Cursor,
    NodeId,
    RequestId,
    Revision,
    StreamName,
    WeightVersion,
)
from drumbay.requests.records import ApplicationCall, LiveRequest
from drumbay.resources.schema import AccessToken, Role

CHUNK_COUNT = 3


def token_for(role: Role) -> str:
    return f"secret-of-{role}"


CREATED_UNIX_SECONDS = 1_750_000_000


class FakeNode:
    """Returns canned results; some operations raise ``failure`` if it is set."""

    def __init__(self) -> None:
        self.ready = True
        self.draining = False
        self.tokens: tuple[AccessToken, ...] = tuple(
            AccessToken(
                name=role.value,
                role=role,
                sha256=hashlib.sha256(token_for(role).encode()).hexdigest(),
            )
            for role in Role
        )
        self.failure: Exception | None = None
        self.chunks_before_failure = 0
        self.hangs = False
        self.calls: list[object] = []
        self.generation_started = asyncio.Event()
        self.generation_closed = asyncio.Event()
        self.registry = CollectorRegistry()

    def new_request_id(self) -> RequestId:
        return RequestId("node-1~boot~1")

    def unix_seconds(self) -> int:
        return CREATED_UNIX_SECONDS

    async def generate(self, request: LiveRequest) -> AsyncGenerator[TokenChunk, None]:
        self.calls.append(request)
        try:
            for index in range(CHUNK_COUNT):
                if self.failure is not None and index == self.chunks_before_failure:
                    raise self.failure
                yield make_chunk(index, is_last=index == CHUNK_COUNT - 1)
                self.generation_started.set()
                if self.hangs:
                    await asyncio.Event().wait()
        finally:
            self.generation_closed.set()

    def version_spans(self, request_id: RequestId) -> tuple[VersionSpan, ...]:
        return ()

    async def run_application(self, call: ApplicationCall) -> ApplicationResponse:
        self.calls.append(call)
        if self.failure is not None:
            raise self.failure
        return ApplicationResponse(
            attempt_id=AttemptId("a"), status=200, body=b"done", content_type="text/plain"
        )

    async def submit_rollouts(self, submission: RolloutSubmission) -> RolloutReceipt:
        self.calls.append(submission)
        return RolloutReceipt(stream=submission.stream, step=submission.step, owner=NodeId("n"))

    async def pull(
        self,
        stream: StreamName,
        cursor: Cursor,
        max_samples: int,
        oldest_version: WeightVersion,
    ) -> BatchBody:
        self.calls.append((stream, cursor, max_samples, oldest_version))
        return BatchBody(
            stream=stream, cursor=cursor, next_cursor=cursor, oldest_version=oldest_version
        )

    async def record_checkpoint(self, stream: StreamName, cursor: Cursor) -> None:
        self.calls.append((stream, cursor))

    async def announce_weights(self, model: str, announcement: WeightAnnouncement) -> None:
        self.calls.append((model, announcement))

    async def apply(self, body: ApplyBody) -> ApplyOutcomeBody:
        self.calls.append(body)
        if self.failure is not None:
            raise self.failure
        return ApplyOutcomeBody(
            outcome="accepted", operation_id=body.operation_id, mod_revision=Revision(7)
        )

    async def delete(
        self, kind: str, name: str, operation_id: str, expected_revision: Revision | None
    ) -> ApplyOutcomeBody:
        self.calls.append((kind, name, expected_revision))
        return ApplyOutcomeBody(outcome="unknown_yet", operation_id=operation_id)

    async def operation(self, operation_id: str) -> ApplyOutcomeBody:
        return ApplyOutcomeBody(outcome="accepted", operation_id=operation_id)

    def resources(self, kind: str | None, name: str | None) -> ResourceListBody:
        return ResourceListBody(revision=Revision(7), items=())

    async def explain(self, kind: SubjectKind, subject_id: str) -> ExplanationBody:
        return ExplanationBody(records=(), nodes_asked=3, nodes_answered=2)

    def status(self) -> StatusBody:
        return StatusBody(
            node_id=NodeId("node-1"),
            boot_id=BootId("boot"),
            version="0",
            ready=self.ready,
            draining=self.draining,
            configuration_revision=Revision(7),
            configuration_state="current" if self.ready else "starting",
            configuration_confirmed_age_seconds=0.5 if self.ready else None,
            members=(),
            owned=(),
        )

    def metrics_registry(self) -> CollectorRegistry:
        return self.registry

    def access_tokens(self) -> tuple[AccessToken, ...]:
        return self.tokens


def make_chunk(index: int, *, is_last: bool) -> TokenChunk:
    return TokenChunk(
        attempt_id=AttemptId("a"),
        first_index=index,
        token_ids=(index,),
        text=f"t{index}",
        weight_version=WeightVersion(1),
        boot_id=BootId("engine"),
        finish_reason=FinishReason.STOP if is_last else None,
    )
