"""One node: its HTTP operations and its planned stop."""

from collections.abc import AsyncGenerator

from prometheus_client import CollectorRegistry

from drumbay import __version__
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
from drumbay.exceptions import DrumbayError
from drumbay.explain.records import SubjectKind
from drumbay.identifiers import (
    Cursor,
    RequestId,
    Revision,
    StreamName,
    WeightVersion,
)
from drumbay.node.batches import batch_body, empty_batch_body
from drumbay.node.request_errors import stream_request_error
from drumbay.node.services import NodeServices
from drumbay.node.stop_sequence import StopStep, run_stop_steps
from drumbay.node.stream_messages import CheckpointRequest, PullRequest, SubmitStepRequest
from drumbay.observability.logs import log_event
from drumbay.requests.records import ApplicationCall, LiveRequest
from drumbay.resources.schema import AccessToken

DRAIN_POLL_SECONDS = 0.05
OWNERSHIP_STOP_TIMEOUT_SECONDS = 5.0
MEMBERSHIP_LEAVE_TIMEOUT_SECONDS = 5.0
TASKS_CLOSE_TIMEOUT_SECONDS = 8.0
LOGS_CLOSE_TIMEOUT_SECONDS = 5.0


class Node(NodeServices):
    """Implements :class:`drumbay.api.interface.NodeInterface`.

    Args:
        settings: Settings of the node.
        environment: External dependencies; real, emulated or simulated.
    """

    def reject_new_requests(self) -> None:
        """Reject new requests; those in flight continue."""
        self._requests.gate.is_stopping = True
        self._operations.is_stopping = True
        log_event("node_draining", node_id=self._node_id, in_flight=self._requests.gate.in_flight)

    @property
    def max_request_seconds(self) -> float:
        """Return an upper bound of the timeouts of the requests in flight."""
        return self._requests.max_timeout_seconds

    async def drain(self) -> None:
        """Reject new requests and wait until those in flight have ended."""
        self.reject_new_requests()
        await self.wait_idle()

    async def wait_idle(self) -> None:
        """Wait until no request is in flight."""
        # A non-idempotent request continues after its caller disconnects; the admission gate no
        # longer counts it then, but the claim service does.
        while self._in_flight_count() > 0:
            await self._clock.sleep(DRAIN_POLL_SECONDS)

    def _in_flight_count(self) -> int:
        requests = self._requests.gate.in_flight + self._claims.active_dispatches
        return requests + self._operations.in_flight

    async def stop(self) -> None:
        """Stop as planned: drain, then run :meth:`stop_steps`."""
        await self.drain()
        await run_stop_steps(self.stop_steps())

    def stop_steps(self) -> tuple[StopStep, ...]:
        """Return the steps after the drain: release leases, leave the cluster, close the logs."""
        coordination = self._coordination
        steps = [
            StopStep(
                name="give-up-ownership",
                run=coordination.ownership.stop,
                timeout_seconds=OWNERSHIP_STOP_TIMEOUT_SECONDS,
            ),
            StopStep(
                name="leave-membership",
                run=coordination.membership.leave,
                timeout_seconds=MEMBERSHIP_LEAVE_TIMEOUT_SECONDS,
            ),
            StopStep(
                name="end-tasks", run=self._tasks.close, timeout_seconds=TASKS_CLOSE_TIMEOUT_SECONDS
            ),
        ]
        if self._replicas is not None:
            steps.append(
                StopStep(
                    name="close-logs",
                    run=self._replicas.close,
                    timeout_seconds=LOGS_CLOSE_TIMEOUT_SECONDS,
                )
            )
        return tuple(steps)

    async def close(self) -> None:
        """Cancel every task and close the logs immediately."""
        await self._tasks.close()
        if self._replicas is not None:
            await self._replicas.close()

    def new_request_id(self) -> RequestId:
        """Return an id for a new request at this node."""
        return self._request_ids.next_request_id()

    def unix_seconds(self) -> int:
        """Return the current time in whole seconds since the Unix epoch."""
        return int(self._clock.wall())

    def generate(self, request: LiveRequest) -> AsyncGenerator[TokenChunk, None]:
        """Serve a live generation request."""
        return self._recorded_requests.generate(request)

    def version_spans(self, request_id: RequestId) -> tuple[VersionSpan, ...]:
        """Return the version spans of a live request that was served here."""
        return self._requests.live.spans_of(request_id)

    async def run_application(self, call: ApplicationCall) -> ApplicationResponse:
        """Run an application request."""
        return await self._recorded_requests.run_application(call)

    async def submit_rollouts(self, submission: RolloutSubmission) -> RolloutReceipt:
        """Submit the prompts of a training step."""
        request = SubmitStepRequest(
            stream=StreamName(submission.stream),
            step=submission.step,
            prompts=submission.prompts,
        )
        try:
            owner = await self._streams.submit(request)
        except DrumbayError as error:
            raise stream_request_error(error) from error
        return RolloutReceipt(stream=submission.stream, step=submission.step, owner=owner)

    async def pull(
        self,
        stream: StreamName,
        cursor: Cursor,
        max_samples: int,
        oldest_version: WeightVersion,
    ) -> BatchBody:
        """Return the batch at a cursor; the first pull determines its content."""
        request = PullRequest(
            stream=stream,
            cursor=cursor,
            max_samples=max_samples,
            oldest_version=oldest_version,
        )
        try:
            reply = await self._streams.pull(request)
        except DrumbayError as error:
            raise stream_request_error(error) from error
        if reply.batch is None:
            return empty_batch_body(request)
        return batch_body(reply.batch)

    async def record_checkpoint(self, stream: StreamName, cursor: Cursor) -> None:
        """Record the next cursor in a trainer's checkpoint."""
        try:
            await self._streams.record_checkpoint(CheckpointRequest(stream=stream, cursor=cursor))
        except DrumbayError as error:
            raise stream_request_error(error) from error

    async def announce_weights(self, model: str, announcement: WeightAnnouncement) -> None:
        """Register a newly published weight version."""
        await self._weights.announce(model, announcement.version)

    async def apply(self, body: ApplyBody) -> ApplyOutcomeBody:
        """Create or change a resource."""
        return await self._operations.apply(body)

    async def delete(
        self, kind: str, name: str, operation_id: str, expected_revision: Revision | None
    ) -> ApplyOutcomeBody:
        """Remove a resource."""
        return await self._operations.delete(kind, name, operation_id, expected_revision)

    async def operation(self, operation_id: str) -> ApplyOutcomeBody:
        """Return the outcome of an earlier change."""
        return await self._operations.operation(operation_id)

    def resources(self, kind: str | None, name: str | None) -> ResourceListBody:
        """Return the resources of this node's current configuration."""
        return self._operations.resources(kind, name)

    async def explain(self, kind: SubjectKind, subject_id: str) -> ExplanationBody:
        """Return the decision records of a subject."""
        return await self._explain.explain(kind, subject_id)

    def status(self) -> StatusBody:
        """Return this node's state."""
        coordination = self._coordination
        configuration = coordination.configuration
        readiness = configuration.readiness()
        return StatusBody(
            node_id=self._node_id,
            boot_id=self._environment.boot_id,
            version=__version__,
            ready=readiness.ready,
            draining=self._requests.gate.is_stopping,
            configuration_revision=self._configuration_revision(),
            configuration_state=readiness.reason.value,
            configuration_confirmed_age_seconds=readiness.confirmed_age_seconds,
            members=coordination.cluster.member_bodies(),
            owned=tuple(self._delivery.owned_streams),
            evacuated_zones=tuple(sorted(configuration.current_view().evacuated_zones())),
        )

    def metrics_registry(self) -> CollectorRegistry:
        """Return the registry of this node's metrics."""
        return self._metrics.registry

    def access_tokens(self) -> tuple[AccessToken, ...]:
        """Return the access tokens of this node's current configuration."""
        return tuple(self._coordination.configuration.current_view().tokens.values())
