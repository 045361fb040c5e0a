"""Constructs, wires and starts the services of one node, and applies configuration changes."""

from pathlib import Path

from drumbay.backends.guarded import GuardedApplicationClient, GuardedEngineClient
from drumbay.backends.interface import BackendAddress, TokenChunk
from drumbay.backends.observed import ObservedEngineClient
from drumbay.claims.service import ClaimService
from drumbay.configuration.view import ConfigurationView
from drumbay.delivery.service import DeliveryService
from drumbay.explain.recorder import DecisionRecorder
from drumbay.explain.records import RejectionReason
from drumbay.explain.service import ExplainService
from drumbay.explain.store import DecisionStore
from drumbay.identifiers import (
    BackendId,
    NodeId,
    Revision,
)
from drumbay.machines.watcher import MachineListWatcher
from drumbay.node.backend_subset import BackendSubset
from drumbay.node.backends import BackendSupervisor
from drumbay.node.coordination import CoordinationServices
from drumbay.node.environment import NodeEnvironment
from drumbay.node.operations import ResourceOperations
from drumbay.node.recorded_requests import RecordingRequestService
from drumbay.node.replicas import NodeReplicas
from drumbay.node.request_services import RequestServices
from drumbay.node.rollouts import RolloutSupervisor
from drumbay.node.state_metrics import NodeStateCollector
from drumbay.node.streams import StreamService
from drumbay.node.weights import WeightSupervisor
from drumbay.observability.logs import log_event
from drumbay.observability.metrics import NodeMetrics
from drumbay.requests.claimed_at_most_once import ClaimedAtMostOnceRunner
from drumbay.requests.identity import RequestIdFactory
from drumbay.routing.directory import BackendDirectory
from drumbay.settings import NodeSettings
from drumbay.tasks import TaskOwner


class NodeServices:
    """The services of one node.

    Args:
        settings: Settings of the node.
        environment: External dependencies; real, emulated or simulated.
    """

    def __init__(self, settings: NodeSettings, environment: NodeEnvironment) -> None:
        """Create the services; :meth:`start` starts them.

        Raises:
            StorageError: The data folder cannot be used.
        """
        self._settings = settings
        self._environment = environment
        self._clock = environment.clock
        self._node_id = NodeId(settings.node_id)
        self._tasks = TaskOwner()
        self._metrics = NodeMetrics()
        self._request_ids = RequestIdFactory(self._node_id, environment.boot_id)
        self._coordination = CoordinationServices(settings, environment, self._tasks)
        self._directory = BackendDirectory(topology=settings.topology)
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
        self._machine_watcher = self._make_machine_watcher()
        guarded = GuardedEngineClient(environment.engine_client, self._check_send)
        self._engine_client = ObservedEngineClient(guarded, self._observe_token_version)
        self._requests = self._make_request_services()
        self._recorded_requests = RecordingRequestService(
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
            sample_generator=self._rollouts,
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
            rejected_frames=self._environment.rejected_frames,
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
                environment.application_client, self._check_send
            ),
            directory=self._directory,
            recorder=self._recorder,
            at_most_once_runner=ClaimedAtMostOnceRunner(self._claims, self._clock, self._metrics),
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

    async def _check_send(self, backend_id: BackendId) -> RejectionReason | None:
        """Return why a backend may not get work; refreshes a stale machine list first."""
        if self._machine_watcher is not None:
            await self._machine_watcher.ensure_fresh()
        return self._directory.send_refusal(backend_id)

    def _observe_token_version(self, model: str, engine: BackendAddress, chunk: TokenChunk) -> None:
        self._weights.observe_token_version(model, engine, chunk)

    def _configuration_revision(self) -> Revision:
        return self._coordination.configuration.current_view().revision

    def start(self) -> None:
        """Start every service."""
        if self._replicas is not None:
            self._replicas.start()
        self._explain.start()
        self._streams.start()
        self._weights.start()
        self._backends.start()
        if self._machine_watcher is not None:
            self._machine_watcher.start()
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
