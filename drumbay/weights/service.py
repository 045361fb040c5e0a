"""Service that rolls out model weights, one owner node per model."""

import asyncio
from collections.abc import Callable
from typing import ClassVar

from drumbay.backends.interface import (
    BackendAddress,
    BackendError,
    BackendNotReachedError,
    BackendRefusedError,
    EngineClient,
    FencedOrder,
    OrderKind,
    StaleFenceError,
)
from drumbay.clock import Clock
from drumbay.comm.interface import Address, Message, Transport
from drumbay.configuration.view import ConfigurationView
from drumbay.explain.records import DecisionRecord, SubjectKind
from drumbay.identifiers import BackendId, BootId, Fence, NodeId, WeightVersion
from drumbay.observability.logs import log_event
from drumbay.resources.schema import WeightPolicy
from drumbay.tasks import TaskOwner
from drumbay.weights.events import (
    EnginesChanged,
    IssueLoadOrder,
    NeedsChanged,
    OrderFailed,
    OrderSucceeded,
    OwnershipChanged,
    PolicyChanged,
    RolloutDone,
    RolloutStarted,
    SetAside,
    StatusReported,
    StatusRequestFailed,
    Tick,
    TokenVersionObserved,
    VersionNeed,
    VersionPublished,
    WeightRolloutDecision,
    WeightRolloutEvent,
    WeightRolloutPolicy,
    Withdrawal,
)
from drumbay.weights.planner import WeightRolloutPlanner

TICK_SECONDS = 0.5
STATUS_INTERVAL_SECONDS = 5.0
STATUS_TIMEOUT_SECONDS = 2.0
MAX_CONCURRENT_STATUS_CALLS = 64
ORDER_TIMEOUT_SECONDS = 90.0
DEFAULT_MAX_CONCURRENT_LOADS = 256


def withdrawals_of(view: ConfigurationView, model: str) -> tuple[Withdrawal, ...]:
    """Return the configured rollbacks of a model."""
    return tuple(
        Withdrawal(
            keep=WeightVersion(rollback.keep),
            through=WeightVersion(rollback.withdrawn_through),
        )
        for _name, rollback in sorted(view.rollbacks.items())
        if rollback.model == model
    )


class EngineStamp(Message, frozen=True, kw_only=True):
    """Datagram to the owner of a rollout: an engine's tokens are not of its reported version."""

    model: str
    engine: BackendId
    boot_id: BootId
    version: WeightVersion


class WeightRolloutService:
    """Runs the weight rollouts that this node owns.

    Every node runs the service, but only the owner of a model's rollout issues orders: the
    node for which ``lease_fence`` returns a fence. Call :meth:`start`; the service stops with
    its task owner.

    Attributes:
        planner_type: Class of the planners.
    """

    planner_type: ClassVar[type[WeightRolloutPlanner]] = WeightRolloutPlanner

    def __init__(
        self,
        *,
        clock: Clock,
        engine_client: EngineClient,
        transport: Transport,
        node_id: NodeId,
        view: Callable[[], ConfigurationView],
        engines_of: Callable[[WeightPolicy], tuple[BackendAddress, ...]],
        lease_fence: Callable[[str], Fence | None],
        owner_address: Callable[[str], Address | None],
        needs: Callable[[str], tuple[VersionNeed, ...]],
        record: Callable[[DecisionRecord], None],
        task_owner: TaskOwner,
        max_concurrent_loads: int = DEFAULT_MAX_CONCURRENT_LOADS,
        in_service: Callable[[BackendId], bool] = lambda engine: True,
    ) -> None:
        """Create the service.

        Args:
            clock: Source of time.
            engine_client: Client of the engines.
            transport: Messages between nodes.
            node_id: This node, for the decision records.
            view: Returns the current configuration.
            engines_of: Returns the addresses of the engines that a policy selects.
            lease_fence: Returns the fence of the lease on a model's rollout while this
                node owns it, else ``None``.
            owner_address: Returns the address of the owner of a model's rollout.
            needs: Returns the versions of a model that running samples need.
            record: Stores a decision record.
            task_owner: Owner of the background tasks.
            max_concurrent_loads: Maximum number of engines that read from the weight store at
                once.
            in_service: Returns whether an engine gets requests; one that does not is no
                capacity, and may load at any time.
        """
        self._clock = clock
        self._engine_client = engine_client
        self._transport = transport
        self._owner_address = owner_address
        self._node_id = node_id
        self._view = view
        self._engines_of = engines_of
        self._lease_fence = lease_fence
        self._needs = needs
        self._record = record
        self._task_owner = task_owner
        self._max_concurrent_loads = max_concurrent_loads
        self._in_service = in_service
        self._planners: dict[str, WeightRolloutPlanner] = {}
        self._published: dict[str, list[WeightVersion]] = {}
        self._addresses: dict[BackendId, BackendAddress] = {}
        self._next_status_at: dict[BackendId, float] = {}
        self._owned: dict[str, bool] = {}
        self._status_semaphore = asyncio.Semaphore(MAX_CONCURRENT_STATUS_CALLS)

    def start(self) -> None:
        """Register the message handler and start the background task."""
        self._transport.handle_datagrams(EngineStamp, self._handle_engine_stamp)
        self._task_owner.spawn(self._run(), "weight rollout")

    def publish(self, model: str, version: WeightVersion) -> None:
        """Record that the trainer published a version; to be called on every node."""
        versions = self._published.setdefault(model, [])
        if version not in versions:
            versions.append(version)
        self._handle(model, VersionPublished(version=version))

    def observe_token_version(
        self,
        model: str,
        engine: BackendId,
        boot_id: BootId,
        version: WeightVersion,
        reported_version: WeightVersion,
    ) -> None:
        """Process the weight version of a chunk of tokens.

        Args:
            model: Name of the model.
            engine: The engine.
            boot_id: Identifies the engine process.
            version: Version that generated the chunk.
            reported_version: Version that the engine last reported; only a difference is
                sent to the owner.
        """
        if version == reported_version:
            return
        stamp = EngineStamp(model=model, engine=engine, boot_id=boot_id, version=version)
        if self._lease_fence(model) is not None:
            self._handle_engine_stamp(self._transport.address, stamp)
            return
        owner = self._owner_address(model)
        if owner is not None:
            self._transport.send_datagram(owner, stamp)

    def _handle_engine_stamp(self, _source: Address, stamp: EngineStamp) -> None:
        observation = TokenVersionObserved(
            engine=stamp.engine, boot_id=stamp.boot_id, version=stamp.version
        )
        self._handle(stamp.model, observation)

    def target(self, model: str) -> WeightVersion | None:
        """Return the target version, if this node owns the model's rollout."""
        planner = self._planners.get(model)
        return planner.target if planner is not None else None

    def is_done(self, model: str) -> bool:
        """Return whether this node owns the model's rollout and it has completed."""
        planner = self._planners.get(model)
        return planner is not None and planner.is_done

    def busy_engines(self, model: str) -> tuple[BackendId, ...]:
        """Return the engines that are executing this node's orders."""
        planner = self._planners.get(model)
        return planner.busy_engines() if planner is not None else ()

    async def _run(self) -> None:
        while True:
            view = self._view()
            for _name, policy in sorted(view.policies.items()):
                self._update_rollout(policy, view)
            await self._clock.sleep(TICK_SECONDS)

    def _update_rollout(self, policy: WeightPolicy, view: ConfigurationView) -> None:
        model = policy.model
        if model not in self._planners:
            self._planners[model] = self.planner_type(self._rollout_policy(policy))
            for version in self._published.get(model, []):
                self._handle(model, VersionPublished(version=version))
        fence = self._lease_fence(model)
        if fence is None and not self._owned.get(model, False):
            # The planner already knows that this node is not the owner.
            return
        engines = self._engines_of(policy)
        for engine in engines:
            self._addresses[engine.backend_id] = engine
        policy_changed = PolicyChanged(
            policy=self._rollout_policy(policy), withdrawals=withdrawals_of(view, model)
        )
        # Ownership comes last: a new owner plans at once and needs all other inputs.
        self._handle(model, policy_changed)
        engine_ids = tuple(backend.backend_id for backend in engines)
        out_of_service = frozenset(engine for engine in engine_ids if not self._in_service(engine))
        self._handle(model, EnginesChanged(engines=engine_ids, out_of_service=out_of_service))
        self._handle(model, NeedsChanged(needs=self._needs(model)))
        self._handle(model, OwnershipChanged(lease_fence=fence))
        self._handle(model, Tick())
        if fence is not None:
            self._poll_status(model, engines, force=not self._owned.get(model, False))
        self._owned[model] = fence is not None

    def _rollout_policy(self, policy: WeightPolicy) -> WeightRolloutPolicy:
        return WeightRolloutPolicy(
            min_serving_share=policy.min_serving_share,
            max_staleness_versions=policy.max_staleness_versions,
            max_concurrent_loads=self._max_concurrent_loads,
        )

    def _poll_status(self, model: str, engines: tuple[BackendAddress, ...], *, force: bool) -> None:
        now = self._clock.monotonic()
        for engine in engines:
            if force or now >= self._next_status_at.get(engine.backend_id, 0.0):
                self._next_status_at[engine.backend_id] = now + STATUS_INTERVAL_SECONDS
                self._task_owner.spawn(self._request_status(model, engine), "engine status")

    async def _request_status(self, model: str, engine: BackendAddress) -> None:
        async with self._status_semaphore:
            try:
                status = await self._engine_client.status(
                    engine, timeout_seconds=STATUS_TIMEOUT_SECONDS
                )
            except BackendError:
                self._handle(model, StatusRequestFailed(engine=engine.backend_id))
                return
        self._handle(model, StatusReported(status=status))

    def _handle(self, model: str, event: WeightRolloutEvent) -> None:
        planner = self._planners.get(model)
        if planner is None:
            return
        for decision in planner.handle(event, self._clock.monotonic()):
            self._record_decision(model, decision)
            if isinstance(decision, IssueLoadOrder):
                self._task_owner.spawn(self._send_order(model, decision), "weight order")

    async def _send_order(self, model: str, decision: IssueLoadOrder) -> None:
        order = FencedOrder(
            fence=decision.fence,
            kind=OrderKind.LOAD_VERSION,
            model=model,
            weight_version=decision.version,
        )
        outcome: WeightRolloutEvent
        try:
            status = await self._engine_client.order(
                self._addresses[decision.engine], order, timeout_seconds=ORDER_TIMEOUT_SECONDS
            )
            outcome = OrderSucceeded(engine=decision.engine, fence=decision.fence, status=status)
        except BackendError as error:
            outcome = OrderFailed(
                engine=decision.engine,
                fence=decision.fence,
                reason=error.code,
                outcome_unknown=not isinstance(error, BackendNotReachedError | BackendRefusedError),
                stale_fence=isinstance(error, StaleFenceError),
            )
        self._handle(model, outcome)

    def _record_decision(self, model: str, decision: WeightRolloutDecision) -> None:
        match decision:
            case IssueLoadOrder(engine=engine, detail=detail):
                event, subject_id = "weights_load_ordered", str(engine)
            case SetAside(engine=engine, detail=detail):
                event, subject_id = "weights_engine_set_aside", str(engine)
            case RolloutStarted(detail=detail):
                event, subject_id = "weights_rollout_started", model
            case RolloutDone(detail=detail):
                event, subject_id = "weights_rollout_done", model
        level = "DEBUG" if isinstance(decision, IssueLoadOrder) else "INFO"
        log_event(event, level=level, model=model, subject=subject_id, detail=detail)
        self._record(
            DecisionRecord(
                subject_kind=SubjectKind.BACKEND,
                subject_id=subject_id,
                event=event,
                node_id=self._node_id,
                wall_time_seconds=self._clock.wall(),
                configuration_revision=self._view().revision,
                detail=detail,
            )
        )
