"""Weight rollouts on one node: ownership per model and announcements of published versions."""

from collections.abc import Callable

import msgspec

from drumbay.backends.interface import BackendAddress, TokenChunk
from drumbay.clock import Clock
from drumbay.comm.interface import Address, Message, Transport, TransportError
from drumbay.configuration.service import ConfigurationService
from drumbay.explain.records import DecisionRecord
from drumbay.identifiers import Fence, NodeId, WeightVersion
from drumbay.node.environment import NodeEnvironment
from drumbay.observability.logs import log_event
from drumbay.ownership.manager import OwnershipManager
from drumbay.resources.schema import WeightPolicy
from drumbay.routing.directory import BackendDirectory
from drumbay.routing.policy_engines import PolicyEngines
from drumbay.tasks import TaskOwner
from drumbay.weights.events import VersionNeed
from drumbay.weights.service import WeightRolloutService
from drumbay.weights.store_interface import WeightStoreClient, WeightStoreUnavailableError

OWNERSHIP_PREFIX = "weights."
DEFAULT_STORE_INTERVAL_SECONDS = 1.0
ANNOUNCE_TIMEOUT_SECONDS = 2.0


class OwnedRollout(msgspec.Struct, frozen=True, kw_only=True):
    """State of a weight rollout that this node owns."""

    model: str
    target: WeightVersion
    done: bool
    loading_engines: int


class AnnounceVersionRequest(Message, frozen=True, kw_only=True):
    """Announces a version that a trainer has published."""

    model: str
    version: WeightVersion


class VersionNoted(Message, frozen=True, kw_only=True):
    """Acknowledges a published version."""


class WeightSupervisor:
    """Runs the weight rollouts of the models that this node owns.

    Args:
        environment: External dependencies of the node.
        node_id: This node.
        ownership: Leases with fencing tokens.
        configuration: The current configuration.
        directory: This node's view of the backends.
        record: Receives decision records.
        address_of: Returns the address of a live node.
        task_owner: Owns the background tasks.
        store_interval_seconds: Time between two reads of the weight store.
    """

    def __init__(
        self,
        *,
        environment: NodeEnvironment,
        node_id: NodeId,
        ownership: OwnershipManager,
        configuration: ConfigurationService,
        directory: BackendDirectory,
        record: Callable[[DecisionRecord], None],
        address_of: Callable[[NodeId], Address | None],
        task_owner: TaskOwner,
        store_interval_seconds: float = DEFAULT_STORE_INTERVAL_SECONDS,
    ) -> None:
        """Create a supervisor without models."""
        self._clock: Clock = environment.clock
        self._transport: Transport = environment.transport
        self._store: WeightStoreClient | None = environment.weight_store
        self._node_id = node_id
        self._ownership = ownership
        self._directory = directory
        self._address_of = address_of
        self._task_owner = task_owner
        self._store_interval_seconds = store_interval_seconds
        self._models: frozenset[str] = frozenset()
        self._service = WeightRolloutService(
            clock=environment.clock,
            engine_client=environment.engine_client,
            transport=environment.transport,
            node_id=node_id,
            view=configuration.current_view,
            engines_of=PolicyEngines(directory).engines_for,
            lease_fence=self._lease_fence,
            owner_address=self._owner_address,
            needs=_no_version_needs,
            record=record,
            task_owner=task_owner,
            in_service=lambda engine: not directory.is_evacuated(engine),
        )

    def start(self) -> None:
        """Start serving announcements and running rollouts."""
        self._transport.handle_calls(AnnounceVersionRequest, self._handle_announcement)
        self._service.start()
        if self._store is not None:
            self._task_owner.spawn(self._run_store_polling(self._store), "weight-store")

    def set_policies(self, policies: tuple[WeightPolicy, ...]) -> None:
        """Campaign for ownership of the models of the current policies."""
        models = frozenset(policy.model for policy in policies)
        for model in sorted(models - self._models):
            self._ownership.campaign(OWNERSHIP_PREFIX + model)
        for model in sorted(self._models - models):
            withdrawal = self._ownership.withdraw(OWNERSHIP_PREFIX + model)
            self._task_owner.spawn(withdrawal, f"withdraw-weights-{model}")
        self._models = models

    def observe_token_version(self, model: str, engine: BackendAddress, chunk: TokenChunk) -> None:
        """Record the weight version and boot id that an engine reported with its tokens."""
        reported = self._directory.reported_version(engine.backend_id)
        if reported is None:
            return
        self._service.observe_token_version(
            model, engine.backend_id, chunk.boot_id, chunk.weight_version, reported
        )

    async def announce(self, model: str, version: WeightVersion) -> None:
        """Announce a published version to the nodes that may own the model's rollout."""
        self._service.publish(model, version)
        request = AnnounceVersionRequest(model=model, version=version)
        for candidate in self._ownership.ranked_candidates(OWNERSHIP_PREFIX + model):
            address = self._address_of(candidate)
            if candidate != self._node_id and address is not None:
                await self._send_announcement(address, request)

    async def _send_announcement(self, address: Address, request: AnnounceVersionRequest) -> None:
        try:
            await self._transport.call(address, request, timeout_seconds=ANNOUNCE_TIMEOUT_SECONDS)
        except TransportError as error:
            log_event("version_not_announced", level="WARNING", error=error.code)

    async def _handle_announcement(self, request: AnnounceVersionRequest) -> VersionNoted:
        self._service.publish(request.model, request.version)
        return VersionNoted()

    async def _run_store_polling(self, store: WeightStoreClient) -> None:
        """Poll the weight store for the models that this node may own."""
        while True:
            for model in sorted(self._models):
                if self._node_id in self._ownership.ranked_candidates(OWNERSHIP_PREFIX + model):
                    await self._poll_store(store, model)
            await self._clock.sleep(self._store_interval_seconds)

    async def _poll_store(self, store: WeightStoreClient, model: str) -> None:
        try:
            versions = await store.versions(model)
        except WeightStoreUnavailableError as error:
            log_event("weight_store_unavailable", level="WARNING", detail=str(error))
            return
        for version in versions:
            self._service.publish(model, version)

    def owned_rollouts(self) -> tuple[OwnedRollout, ...]:
        """Return the rollouts that this node owns and that have a target."""
        owned = (model for model in sorted(self._models) if self._lease_fence(model) is not None)
        return tuple(
            OwnedRollout(
                model=model,
                target=target,
                done=self._service.is_done(model),
                loading_engines=len(self._service.busy_engines(model)),
            )
            for model in owned
            if (target := self._service.target(model)) is not None
        )

    def _lease_fence(self, model: str) -> Fence | None:
        # Engines check the fence, so a rollout may continue during an outage of the key-value
        # service; see docs/design/ownership.md.
        name = OWNERSHIP_PREFIX + model
        return self._ownership.fence_to_continue(name, self._clock.monotonic())

    def _owner_address(self, model: str) -> Address | None:
        """Return the address of the node that most likely owns a model's rollout."""
        for candidate in self._ownership.ranked_candidates(OWNERSHIP_PREFIX + model):
            return self._address_of(candidate)
        return None


def _no_version_needs(model: str) -> tuple[VersionNeed, ...]:
    """Return no required versions: running samples continue under the next version."""
    return ()
