"""Generates the samples of the streams that this node owns."""

from collections.abc import Callable

from drumbay.backends.interface import BackendAddress, EngineClient
from drumbay.clock import Clock
from drumbay.delivery.exceptions import NotOwnerError
from drumbay.delivery.service import DeliveryService
from drumbay.explain.recorder import DecisionRecorder
from drumbay.explain.records import SubjectKind
from drumbay.identifiers import BackendId, BootId, Fence, StreamName, WeightVersion
from drumbay.observability.logs import log_event
from drumbay.observability.metrics import NodeMetrics
from drumbay.ownership.manager import OwnershipManager
from drumbay.resources.schema import WeightPolicy
from drumbay.rollout.engine_allotments import EngineAllotments
from drumbay.rollout.events import (
    Cancel,
    Dispatch,
    EngineReported,
    EnginesLost,
    RolloutDecision,
    StalenessForecastChanged,
    WantedSample,
)
from drumbay.rollout.policy import policy_for
from drumbay.rollout.runner import RolloutRunner
from drumbay.rollout.sample import Sample
from drumbay.rollout.scheduler import RolloutScheduler
from drumbay.rollout.staleness import StalenessForecast
from drumbay.rollout.trainer_progress import TrainerProgress
from drumbay.routing.backend_choice import BackendView
from drumbay.routing.directory import BackendDirectory
from drumbay.routing.policy_engines import PolicyEngines
from drumbay.tasks import TaskOwner

ENGINE_REFRESH_SECONDS = 0.5
OWNERSHIP_PREFIX = "stream."


class _OwnedStream:
    """State of one owned stream: policy, runner, trainer progress and usable engines."""

    def __init__(
        self, policy: WeightPolicy, runner: RolloutRunner, oldest_accepted: WeightVersion
    ) -> None:
        self.policy = policy
        self.runner = runner
        self.progress = TrainerProgress(
            policy.max_staleness_versions, policy.samples_per_step, oldest_accepted
        )
        self.forecast: StalenessForecast | None = None
        self.engines: tuple[BackendId, ...] = ()


class RolloutSupervisor:
    """Runs one rollout runner per owned stream.

    Args:
        clock: Source of the current time.
        boot_id: Identifier of this process incarnation.
        engine_client: Engine API client.
        directory: This node's view of the backends.
        delivery: The replicated log of the owned streams.
        ownership: Leases with fencing tokens.
        recorder: Receives decision records.
        task_owner: Owns the runners' tasks.
        pin_engines: Called with the engines that must be watched for an owned stream.
        metrics: Counts of finished samples.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        boot_id: BootId,
        engine_client: EngineClient,
        directory: BackendDirectory,
        delivery: DeliveryService,
        ownership: OwnershipManager,
        recorder: DecisionRecorder,
        task_owner: TaskOwner,
        pin_engines: Callable[[str, tuple[BackendId, ...]], None],
        metrics: NodeMetrics,
    ) -> None:
        """Create a supervisor without streams."""
        self._metrics = metrics
        self._clock = clock
        self._boot_id = boot_id
        self._engine_client = engine_client
        self._directory = directory
        self._delivery = delivery
        self._ownership = ownership
        self._recorder = recorder
        self._task_owner = task_owner
        self._pin_engines = pin_engines
        self._policies: dict[StreamName, WeightPolicy] = {}
        self._policy_engines = PolicyEngines(directory)
        self._owned: dict[StreamName, _OwnedStream] = {}
        self._allotments = EngineAllotments()

    def set_policies(self, policies: tuple[WeightPolicy, ...]) -> None:
        """Apply the current weight policies, and the availability of their engines."""
        self._policies = {policy.stream: policy for policy in policies}
        for stream, owned in list(self._owned.items()):
            self._update_engines(stream, owned)

    def start_stream(self, stream: StreamName, fence: Fence) -> None:
        """Start generating the missing samples of a stream."""
        policy = self._policies.get(stream)
        if policy is None:
            return
        self.stop_stream(stream)
        runner = RolloutRunner(
            stream,
            policy.model,
            self._boot_id,
            RolloutScheduler(policy_for(policy.objective)),
            self._engine_client,
            self._address_of,
            self._clock,
            self._task_owner,
            on_finished=lambda sample: self._handle_finished(stream, sample),
            on_decision=lambda decision: self._record_decision(stream, decision),
            may_send=lambda: self._still_owns(stream, fence),
        )
        oldest_accepted = self._delivery.oldest_accepted_version(stream)
        self._owned[stream] = _OwnedStream(policy, runner, oldest_accepted)
        self._update_forecast(stream, self._owned[stream])
        runner.start()
        self._task_owner.spawn(self._run_engine_updates(stream), f"rollout-engines-{stream}")
        self.refresh(stream)

    def stop_stream(self, stream: StreamName) -> None:
        """Stop generating samples of a stream."""
        owned = self._owned.pop(stream, None)
        if owned is not None:
            owned.runner.stop()
            self._allotments.remove_stream(stream)
            self._pin_engines(OWNERSHIP_PREFIX + stream, ())

    def refresh(self, stream: StreamName) -> None:
        """Update the runner with the samples that are currently missing."""
        owned = self._owned.get(stream)
        if owned is None:
            return
        try:
            missing = self._delivery.missing(stream)
        except NotOwnerError:
            self.stop_stream(stream)
            return
        owned.runner.set_wanted(
            WantedSample(key=sample.key, prompt=sample.prompt) for sample in missing
        )

    def observe_oldest_accepted(self, stream: StreamName, oldest_version: WeightVersion) -> None:
        """Record the oldest weight version that the trainer accepts."""
        owned = self._owned.get(stream)
        if owned is None:
            return
        try:
            delivered = self._delivery.progress(stream).delivered_samples
        except NotOwnerError:
            return
        owned.progress.record_pull(oldest_version, delivered, self._clock.monotonic())
        self._update_forecast(stream, owned)

    def _update_forecast(self, stream: StreamName, owned: _OwnedStream) -> None:
        """Send the scheduler a new staleness forecast, if it changed."""
        try:
            progress = self._delivery.progress(stream)
        except NotOwnerError:
            return
        now = self._clock.monotonic()
        forecast = owned.progress.forecast(
            progress.delivered_samples, progress.outstanding_steps, now
        )
        if forecast.differs_from(owned.forecast):
            owned.forecast = forecast
            owned.runner.handle(StalenessForecastChanged(forecast=forecast))

    def _address_of(self, backend_id: BackendId) -> BackendAddress | None:
        return self._directory.address(backend_id)

    def _still_owns(self, stream: StreamName, fence: Fence) -> bool:
        name = OWNERSHIP_PREFIX + stream
        return self._ownership.fence_to_continue(name, self._clock.monotonic()) == fence

    def _record_decision(self, stream: StreamName, decision: RolloutDecision) -> None:
        sample_id = decision.key.sample_id(stream)
        match decision:
            case Dispatch():
                self._recorder.record(
                    SubjectKind.SAMPLE,
                    sample_id,
                    "sample_dispatched",
                    detail=(
                        f"attempt {decision.attempt} under version {decision.version}, priority "
                        f"{decision.priority}, resumed from token {decision.kept_tokens}"
                    ),
                    candidates=decision.candidates,
                )
            case Cancel():
                self._recorder.record(
                    SubjectKind.SAMPLE,
                    sample_id,
                    "sample_cancelled",
                    detail=f"attempt {decision.attempt}: {decision.reason}",
                )

    def _handle_finished(self, stream: StreamName, sample: Sample) -> None:
        try:
            added = self._delivery.add_sample(stream, sample)
        except NotOwnerError:
            self.stop_stream(stream)
            return
        if added:
            self._metrics.record_sample_finished(stream)
        sample_id = sample.key.sample_id(stream)
        versions = ", ".join(
            f"{span.weight_version} for {span.token_count} tokens by {span.attempt_id}"
            for span in sample.spans
        )
        self._recorder.record(
            SubjectKind.SAMPLE,
            sample_id,
            "sample_finished" if added else "sample_duplicate",
            detail=f"versions: {versions}",
        )
        log_event("sample_finished", sample_id=sample_id, tokens=len(sample.token_ids))

    async def _run_engine_updates(self, stream: StreamName) -> None:
        """Periodically update the runner with the usable engines, while the stream is owned."""
        owned = self._owned.get(stream)
        while owned is not None and self._owned.get(stream) is owned:
            self._update_forecast(stream, owned)
            self._update_engines(stream, owned)
            await self._clock.sleep(ENGINE_REFRESH_SECONDS)

    def _update_engines(self, stream: StreamName, owned: _OwnedStream) -> None:
        policy = self._policies.get(stream)
        if policy is None:
            return
        engines = self._policy_engines.engines_for(policy)
        self._pin_engines(
            OWNERSHIP_PREFIX + stream, tuple(address.backend_id for address in engines)
        )
        usable_views = [
            view
            for view in self._directory.views_for(engines, self._clock.monotonic())
            if view.unavailability is None
        ]
        usable_engines = tuple(view.backend_id for view in usable_views)
        lost_engines = tuple(engine for engine in owned.engines if engine not in usable_engines)
        if lost_engines:
            # In one event: between two, samples could start on the engine of the second.
            owned.runner.handle(EnginesLost(backend_ids=lost_engines))
        owned.engines = usable_engines
        for view in usable_views:
            owned.runner.handle(self._engine_report(stream, policy, view))

    def _engine_report(
        self, stream: StreamName, policy: WeightPolicy, view: BackendView
    ) -> EngineReported:
        running_by_stream = {
            name: owned.runner.running_on(view.backend_id) for name, owned in self._owned.items()
        }
        allotment = self._allotments.allot(
            stream, policy.sharing, view, running_by_stream, self._clock.monotonic()
        )
        return EngineReported(
            backend_id=view.backend_id,
            version=view.weight_version,
            slots=allotment.rollout_slots + allotment.live_load,
            other_load=allotment.live_load,
            excess=allotment.excess,
            contended=allotment.contended,
        )
