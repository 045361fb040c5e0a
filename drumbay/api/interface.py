"""What the HTTP handlers need of a node. The node implements it; tests may stand in."""

from collections.abc import AsyncGenerator
from typing import Protocol

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
from drumbay.backends.interface import ApplicationResponse, TokenChunk
from drumbay.explain.records import SubjectKind
from drumbay.identifiers import Cursor, RequestId, Revision, StreamName, WeightVersion
from drumbay.requests.records import ApplicationCall, LiveRequest
from drumbay.resources.schema import AccessToken


class NodeInterface(Protocol):
    """Operations that a node offers to callers, trainers and operators.

    Every operation may raise :class:`drumbay.exceptions.RequestFailedError`.
    """

    def new_request_id(self) -> RequestId:
        """Return an id for a request that came in at this node."""
        ...

    def wall_seconds(self) -> int:
        """Return the node's wall clock in seconds since the Unix epoch."""
        ...

    def generate(self, request: LiveRequest) -> AsyncGenerator[TokenChunk, None]:
        """Serve a live generation request; yields chunks of one whole completion.

        Closing the generator cancels the generation.
        """
        ...

    def spans_of(self, request_id: RequestId) -> tuple[VersionSpan, ...]:
        """Return the version spans of a live request that was served here."""
        ...

    async def run_application(self, call: ApplicationCall) -> ApplicationResponse:
        """Run an application request."""
        ...

    async def submit_rollouts(self, submission: RolloutSubmission) -> RolloutReceipt:
        """Take the samples of a step."""
        ...

    async def pull(
        self,
        stream: StreamName,
        cursor: Cursor,
        max_samples: int,
        oldest_version: WeightVersion,
    ) -> BatchBody:
        """Return the batch at a cursor, fixing it if this is the first pull."""
        ...

    async def checkpointed(self, stream: StreamName, cursor: Cursor) -> None:
        """Take note of the next cursor that a trainer's checkpoint holds."""
        ...

    async def announce_weights(self, model: str, announcement: WeightAnnouncement) -> None:
        """Take note of a newly published weight version."""
        ...

    async def apply(self, body: ApplyBody) -> ApplyOutcomeBody:
        """Create or change a resource."""
        ...

    async def delete(
        self, kind: str, name: str, operation_id: str, expected_revision: Revision | None
    ) -> ApplyOutcomeBody:
        """Remove a resource."""
        ...

    async def operation(self, operation_id: str) -> ApplyOutcomeBody:
        """Return what became of an earlier change."""
        ...

    def resources(self, kind: str | None, name: str | None) -> ResourceListBody:
        """Return the resources that are in force at this node."""
        ...

    async def explain(self, kind: SubjectKind, subject_id: str) -> ExplanationBody:
        """Return the decision records of a subject."""
        ...

    def status(self) -> StatusBody:
        """Return this node's state."""
        ...

    def metrics_registry(self) -> CollectorRegistry:
        """Return the registry of this node's metrics."""
        ...

    def access_tokens(self) -> tuple[AccessToken, ...]:
        """Return the tokens that are in force at this node."""
        ...
