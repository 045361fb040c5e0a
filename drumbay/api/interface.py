"""The node interface that the HTTP handlers use; tests substitute a fake."""

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
        """Return an id for a new request at this node."""
        ...

    def unix_seconds(self) -> int:
        """Return the current time in whole seconds since the Unix epoch."""
        ...

    def generate(self, request: LiveRequest) -> AsyncGenerator[TokenChunk, None]:
        """Serve a live generation request; yields the chunks of one completion.

        Closing the generator cancels the generation.
        """
        ...

    def version_spans(self, request_id: RequestId) -> tuple[VersionSpan, ...]:
        """Return the version spans of a live request that was served here."""
        ...

    async def run_application(self, call: ApplicationCall) -> ApplicationResponse:
        """Run an application request."""
        ...

    async def submit_rollouts(self, submission: RolloutSubmission) -> RolloutReceipt:
        """Submit the prompts of a training step."""
        ...

    async def pull(
        self,
        stream: StreamName,
        cursor: Cursor,
        max_samples: int,
        oldest_version: WeightVersion,
    ) -> BatchBody:
        """Return the batch at a cursor; the first pull determines its content."""
        ...

    async def record_checkpoint(self, stream: StreamName, cursor: Cursor) -> None:
        """Record the next cursor in a trainer's checkpoint."""
        ...

    async def announce_weights(self, model: str, announcement: WeightAnnouncement) -> None:
        """Register a newly published weight version."""
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
        """Return the outcome of an earlier change."""
        ...

    def resources(self, kind: str | None, name: str | None) -> ResourceListBody:
        """Return the resources of this node's current configuration."""
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
        """Return the access tokens of this node's current configuration."""
        ...
