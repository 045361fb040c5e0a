"""One node: the services joined behind the operations of the HTTP interface."""

from collections.abc import AsyncGenerator
from pathlib import Path

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
from drumbay.backends.guarded import GuardedApplicationClient, GuardedEngineClient
from drumbay.backends.interface import ApplicationAnswer, BackendAddress, TokenChunk
from drumbay.backends.observed import ObservedEngineClient
from drumbay.claims.service import ClaimService
from drumbay.configuration.view import ConfigurationView
from drumbay.delivery.service import DeliveryService
from drumbay.exceptions import DrumbayError
from drumbay.explain.recorder import DecisionRecorder
from drumbay.explain.records import SubjectKind
from drumbay.explain.service import ExplainService
from drumbay.explain.store import DecisionStore
from drumbay.identifiers import (
    BackendId,
    Cursor,
    NodeId,
    RequestId,
    Revision,
    StreamName,
    WeightVersion,
)
from drumbay.machines.watcher import MachineListWatcher
from drumbay.node.backend_subset import BackendSubset
from drumbay.node.backends import BackendSupervisor
from drumbay.node.batches import batch_body, empty_batch_body
from drumbay.node.coordination import CoordinationServices
from drumbay.node.environment import NodeEnvironment
from drumbay.node.failures import stream_failure
from drumbay.node.operations import ResourceOperations
from drumbay.node.recorded import RecordedRequests
from drumbay.node.replicas import NodeReplicas
from drumbay.node.request_services import RequestServices
from drumbay.node.rollouts import RolloutSupervisor
from drumbay.node.state_metrics import NodeStateCollector
from drumbay.node.stop_sequence import StopStep, run_stop_steps
from drumbay.node.stream_messages import CheckpointRequest, PullRequest, SubmitStepRequest
from drumbay.node.streams import StreamService
from drumbay.node.weights import WeightSupervisor
from drumbay.observability.logs import log_event
from drumbay.observability.metrics import NodeMetrics
from drumbay.requests.claimed_once import ClaimedOnceRunner
from drumbay.requests.identity import IdentityFactory
from drumbay.requests.records import ApplicationCall, LiveRequest
from drumbay.resources.schema import AccessToken
from drumbay.routing.directory import BackendDirectory
from drumbay.settings import NodeSettings
from drumbay.tasks import TaskOwner

DRAIN_POLL_SECONDS = 0.05
OWNERSHIP_LIMIT_SECONDS = 5.0
MEMBERSHIP_LIMIT_SECONDS = 5.0
TASKS_LIMIT_SECONDS = 8.0
LOGS_LIMIT_SECONDS = 5.0


class Node:
    """Implements :class:`drumbay.api.interface.NodeInterface`.

    Args:
        settings: Settings of the node.
        environment: Everything from outside; real, hollow or simulated.
    """

    def __init__(self, settings: NodeSettings, environment: NodeEnvironment) -> None:
        """Join the services; nothing runs before :meth:`start`.

        Raises:
            StorageError: The data folder cannot be used.
        """
        self._settings = settings
        self._environment = environment
        self._clock = environment.clock
        self._node_id = NodeId(settings.node_id)
        self._tasks = TaskOwner()
        self._metrics = NodeMetrics()
        self._identities = IdentityFactory(self._node_id, environment.boot_id)
        self._coordination = CoordinationServices(settings, environment, self._tasks)
        self._directory = BackendDirectory()
        self._decisions = DecisionStore()
        self._recorder = DecisionRecorder(
            self._clock, self._node_id, self._configuration_revision, self._decisions
        )
        self._explain = ExplainService(
            self._clock,
            environment.transport,
            self._node_id,
            self._coordination.cluster.peers,
            self._decisions,
        )
        self._backends = BackendSupervisor(
            self._clock,
            environment.engine_client,
            self._directory,
            BackendSubset(self._node_id, self._coordination.cluster.subset_nodes, self._directory),
            self._recorder,
            self._tasks,
            environment.random,
        )
        self._machines = self._make_machine_watcher()
        guarded = GuardedEngineClient(environment.engine_client, self._may_send)
        self._engine_client = ObservedEngineClient(guarded, self._observe_stamp)
        self._requests = self._make_request_services()
        self._recorded = RecordedRequests(
            self._requests, self._recorder, self._clock, self._metrics
        )
        self._replicas = self._make_replicas()
        self._delivery = DeliveryService(
            environment.transport,
            self._clock,
            self._tasks,
            environment.boot_id,
            self._coordination.stream_replicas,
            on_work_changed=lambda stream: self._rollouts.refresh(stream),
            on_samples_stale=self._metrics.record_samples_stale,
        )
        self._rollouts = RolloutSupervisor(
            clock=self._clock,
            boot_id=environment.boot_id,
            engine_client=self._engine_client,
            directory=self._directory,
            delivery=self._delivery,
            ownership=self._coordination.ownership,
            recorder=self._recorder,
            task_owner=self._tasks,
            pin_engines=self._backends.pin,
            metrics=self._metrics,
        )
        self._streams = StreamService(
            clock=self._clock,
            transport=environment.transport,
            node_id=self._node_id,
            ownership=self._coordination.ownership,
            delivery=self._delivery,
            worker=self._rollouts,
            address_of=self._coordination.cluster.address_of,
            task_owner=self._tasks,
            metrics=self._metrics,
        )
        self._weights = WeightSupervisor(
            environment=environment,
            node_id=self._node_id,
            ownership=self._coordination.ownership,
            configuration=self._coordination.configuration,
            directory=self._directory,
            record=self._decisions.add,
            address_of=self._coordination.cluster.address_of,
            task_owner=self._tasks,
            store_interval_seconds=settings.weight_store_interval_seconds,
        )
        self._operations = ResourceOperations(
            self._coordination.configuration, self._coordination.operators
        )
        self._metrics.registry.register(self._make_state_collector())

    def _make_state_collector(self) -> NodeStateCollector:
        return NodeStateCollector(
            clock=self._clock,
            coordination=self._coordination,
            directory=self._directory,
            delivery=self._delivery,
            weights=self._weights,
            in_flight=lambda: self._requests.gate.in_flight,
            refused_frames=self._environment.refused_frames,
        )

    def _make_machine_watcher(self) -> MachineListWatcher | None:
        environment = self._environment
        if environment.machine_list is None:
            return None
        return MachineListWatcher(
            clock=self._clock,
            transport=environment.transport,
            client=environment.machine_list,
            node_id=self._node_id,
            boot_id=environment.boot_id,
            members=self._coordination.cluster.peers,
            on_leaving=self._backends.set_leaving,
            random=environment.random,
            task_owner=self._tasks,
        )

    def _make_request_services(self) -> RequestServices:
        environment = self._environment
        self._claims = ClaimService(
            clock=self._clock,
            transport=environment.transport,
            node_id=self._node_id,
            boot_id=environment.boot_id,
            random=environment.random,
            replica_set_view=self._coordination.replica_set.replica_set,
            task_owner=self._tasks,
        )
        return RequestServices(
            clock=self._clock,
            zone=self._settings.zone,
            engine_client=self._engine_client,
            application_client=GuardedApplicationClient(
                environment.application_client, self._may_send
            ),
            directory=self._directory,
            recorder=self._recorder,
            once=ClaimedOnceRunner(self._claims, self._clock, self._metrics),
            random=environment.random,
            is_ready=lambda: self._coordination.configuration.readiness().ready,
            metrics=self._metrics,
        )

    def _make_replicas(self) -> NodeReplicas | None:
        if self._settings.data_folder is None:
            return None
        environment = self._environment
        return NodeReplicas(
            clock=self._clock,
            transport=environment.transport,
            node_id=self._node_id,
            data_folder=Path(self._settings.data_folder),
            open_log=environment.open_log,
            random=environment.random,
            task_owner=self._tasks,
        )

    async def _may_send(self, backend_id: BackendId) -> bool:
        """Return whether a back end may get work, also after a pause of this process."""
        if self._machines is not None:
            await self._machines.ensure_fresh()
        return not self._directory.is_leaving(backend_id)

    def _observe_stamp(self, model: str, engine: BackendAddress, chunk: TokenChunk) -> None:
        self._weights.observe_stamp(model, engine, chunk)

    def _configuration_revision(self) -> Revision:
        return self._coordination.configuration.snapshot().revision

    def start(self) -> None:
        """Start every service."""
        if self._replicas is not None:
            self._replicas.start()
        self._explain.start()
        self._streams.start()
        self._weights.start()
        self._backends.start()
        if self._machines is not None:
            self._machines.start()
        self._coordination.configuration.on_change(self._apply_configuration)
        self._coordination.start()
        log_event("node_started", node_id=self._node_id, boot_id=self._environment.boot_id)

    def _apply_configuration(self, view: ConfigurationView) -> None:
        self._backends.apply_configuration(view)
        self._requests.apply_configuration(view)
        policies = tuple(view.policies.values())
        self._rollouts.set_policies(policies)
        self._weights.set_policies(policies)
        streams = frozenset(policy.stream for policy in policies)
        self._streams.set_streams(streams)
        log_event("configuration_in_force", node_id=self._node_id, revision=view.revision)

    def refuse_new_requests(self) -> None:
        """Take no more requests; those in flight go on."""
        self._requests.gate.is_stopping = True
        self._operations.is_stopping = True
        log_event("node_draining", node_id=self._node_id, in_flight=self._requests.gate.in_flight)

    @property
    def longest_request_seconds(self) -> float:
        """Return the longest time that a request in flight may take by its route."""
        return self._requests.longest_timeout_seconds

    async def drain(self) -> None:
        """Refuse new requests and wait until those in flight have ended."""
        self.refuse_new_requests()
        await self.wait_idle()

    async def wait_idle(self) -> None:
        """Wait until no request is in flight."""
        # A caller that went away leaves the gate, while its unrepeatable request goes on.
        while self._in_flight() > 0:
            await self._clock.sleep(DRAIN_POLL_SECONDS)

    def _in_flight(self) -> int:
        requests = self._requests.gate.in_flight + self._claims.dispatches_under_way
        return requests + self._operations.in_flight

    async def stop(self) -> None:
        """Stop in an orderly way: drain, then the steps of :meth:`stop_steps`."""
        await self.drain()
        await run_stop_steps(self.stop_steps())

    def stop_steps(self) -> tuple[StopStep, ...]:
        """Return the steps after the drain: hand over, leave the membership, close the logs."""
        coordination = self._coordination
        steps = [
            StopStep(
                name="give-up-ownership",
                run=coordination.ownership.stop,
                limit_seconds=OWNERSHIP_LIMIT_SECONDS,
            ),
            StopStep(
                name="leave-membership",
                run=coordination.membership.leave,
                limit_seconds=MEMBERSHIP_LIMIT_SECONDS,
            ),
            StopStep(name="end-tasks", run=self._tasks.close, limit_seconds=TASKS_LIMIT_SECONDS),
        ]
        if self._replicas is not None:
            steps.append(
                StopStep(
                    name="close-logs",
                    run=self._replicas.close,
                    limit_seconds=LOGS_LIMIT_SECONDS,
                )
            )
        return tuple(steps)

    async def close(self) -> None:
        """End every task and close the logs at once."""
        await self._tasks.close()
        if self._replicas is not None:
            await self._replicas.close()

    def new_request_id(self) -> RequestId:
        """Return an id for a request that came in at this node."""
        return self._identities.next_request()

    def wall_seconds(self) -> int:
        """Return the node's wall clock in seconds since the Unix epoch."""
        return int(self._clock.wall())

    def generate(self, request: LiveRequest) -> AsyncGenerator[TokenChunk, None]:
        """Serve a live generation request."""
        return self._recorded.generate(request)

    def spans_of(self, request_id: RequestId) -> tuple[VersionSpan, ...]:
        """Return the version spans of a live request that was served here."""
        return self._requests.live.spans_of(request_id)

    async def run_application(self, call: ApplicationCall) -> ApplicationAnswer:
        """Run an application request."""
        return await self._recorded.run_application(call)

    async def submit_rollouts(self, submission: RolloutSubmission) -> RolloutReceipt:
        """Take the samples of a step."""
        request = SubmitStepRequest(
            stream=StreamName(submission.stream),
            step=submission.step,
            prompts=submission.prompts,
        )
        try:
            owner = await self._streams.submit(request)
        except DrumbayError as error:
            raise stream_failure(error) from error
        return RolloutReceipt(stream=submission.stream, step=submission.step, owner=owner)

    async def pull(
        self,
        stream: StreamName,
        cursor: Cursor,
        max_samples: int,
        oldest_version: WeightVersion,
    ) -> BatchBody:
        """Return the batch at a cursor, fixing it if this is the first pull."""
        request = PullRequest(
            stream=stream,
            cursor=cursor,
            max_samples=max_samples,
            oldest_version=oldest_version,
        )
        try:
            reply = await self._streams.pull(request)
        except DrumbayError as error:
            raise stream_failure(error) from error
        if reply.batch is None:
            return empty_batch_body(request)
        return batch_body(reply.batch)

    async def checkpointed(self, stream: StreamName, cursor: Cursor) -> None:
        """Take note of the next cursor that a trainer's checkpoint holds."""
        try:
            await self._streams.checkpointed(CheckpointRequest(stream=stream, cursor=cursor))
        except DrumbayError as error:
            raise stream_failure(error) from error

    async def announce_weights(self, model: str, announcement: WeightAnnouncement) -> None:
        """Take note of a newly published weight version."""
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
        """Return what became of an earlier change."""
        return await self._operations.operation(operation_id)

    def resources(self, kind: str | None, name: str | None) -> ResourceListBody:
        """Return the resources that are in force at this node."""
        return self._operations.resources(kind, name)

    async def explain(self, kind: SubjectKind, subject_id: str) -> ExplanationBody:
        """Return the decision records of a subject."""
        return await self._explain.explain(kind, subject_id)

    def status(self) -> StatusBody:
        """Return this node's state."""
        coordination = self._coordination
        readiness = coordination.configuration.readiness()
        return StatusBody(
            node_id=self._node_id,
            boot_id=self._environment.boot_id,
            version=__version__,
            ready=readiness.ready,
            draining=self._requests.gate.is_stopping,
            configuration_revision=self._configuration_revision(),
            configuration_state=readiness.reason.value,
            configuration_confirmed_age_seconds=readiness.confirmed_age_seconds,
            members=coordination.cluster.bodies(),
            owned=tuple(self._delivery.owned_streams),
        )

    def metrics_registry(self) -> CollectorRegistry:
        """Return the registry of this node's metrics."""
        return self._metrics.registry

    def access_tokens(self) -> tuple[AccessToken, ...]:
        """Return the tokens that are in force at this node."""
        return tuple(self._coordination.configuration.snapshot().tokens.values())
