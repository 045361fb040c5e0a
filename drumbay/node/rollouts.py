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
    EngineLost,
    EngineReported,
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


class _OwnedRollouts:
    """One owned stream: its policy, runner and what is known of its trainer and engines."""

    def __init__(self, policy: WeightPolicy, runner: RolloutRunner, floor: WeightVersion) -> None:
        self.policy = policy
        self.runner = runner
        self.progress = TrainerProgress(
            policy.max_staleness_versions, policy.samples_per_step, floor
        )
        self.forecast: StalenessForecast | None = None
        self.engines: tuple[BackendId, ...] = ()


class RolloutSupervisor:
    """Runs one rollout runner per owned stream.

    Args:
        clock: Time.
        boot_id: Identity of this run of the process.
        engine_client: Talks to engines.
        directory: Back ends as this node knows them.
        delivery: The replicated log of the owned streams.
        ownership: Says whether a stream's lease still holds.
        recorder: Takes decision records.
        task_owner: Owns the runners' tasks.
        pin_engines: Told, by stream, which engines must be watched while it is owned.
        metrics: Counts finished samples.
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
        self._owned: dict[StreamName, _OwnedRollouts] = {}
        self._allotments = EngineAllotments()

    def set_policies(self, policies: tuple[WeightPolicy, ...]) -> None:
        """Take in the weight policies in force."""
        self._policies = {policy.stream: policy for policy in policies}

    def start_stream(self, stream: StreamName, fence: Fence) -> None:
        """Begin to generate the missing samples of a stream."""
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
        floor = self._delivery.oldest_accepted_version(stream)
        self._owned[stream] = _OwnedRollouts(policy, runner, floor)
        self._announce_floor(stream, self._owned[stream])
        runner.start()
        self._task_owner.spawn(self._follow_engines(stream), f"rollout-engines-{stream}")
        self.refresh(stream)

    def stop_stream(self, stream: StreamName) -> None:
        """Stop generating samples of a stream."""
        owned = self._owned.pop(stream, None)
        if owned is not None:
            owned.runner.stop()
            self._allotments.forget_stream(stream)
            self._pin_engines(OWNERSHIP_PREFIX + stream, ())

    def refresh(self, stream: StreamName) -> None:
        """Give the runner the samples that are missing now."""
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

    def observe_floor(self, stream: StreamName, oldest_version: WeightVersion) -> None:
        """Take note of the oldest version that the trainer now accepts."""
        owned = self._owned.get(stream)
        if owned is None:
            return
        try:
            delivered = self._delivery.progress(stream).delivered_samples
        except NotOwnerError:
            return
        owned.progress.record_pull(oldest_version, delivered, self._clock.monotonic())
        self._announce_floor(stream, owned)

    def _announce_floor(self, stream: StreamName, owned: _OwnedRollouts) -> None:
        """Give the scheduler a forecast, if it differs from the last one."""
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

    async def _follow_engines(self, stream: StreamName) -> None:
        """Tell the runner which engines may be used, while the stream is owned."""
        owned = self._owned.get(stream)
        while owned is not None and self._owned.get(stream) is owned:
            self._announce_floor(stream, owned)
            self._report_engines(stream, owned)
            await self._clock.sleep(ENGINE_REFRESH_SECONDS)

    def _report_engines(self, stream: StreamName, owned: _OwnedRollouts) -> None:
        policy = self._policies.get(stream)
        if policy is None:
            return
        engines = self._policy_engines.engines_for(policy)
        self._pin_engines(
            OWNERSHIP_PREFIX + stream, tuple(address.backend_id for address in engines)
        )
        views = [
            view
            for view in self._directory.views_for(engines, self._clock.monotonic())
            if view.unavailability is None
        ]
        usable = tuple(view.backend_id for view in views)
        for backend_id in owned.engines:
            if backend_id not in usable:
                owned.runner.handle(EngineLost(backend_id=backend_id))
        owned.engines = usable
        for view in views:
            owned.runner.handle(self._engine_report(stream, policy, view))

    def _engine_report(
        self, stream: StreamName, policy: WeightPolicy, view: BackendView
    ) -> EngineReported:
        rollouts = {
            name: owned.runner.running_on(view.backend_id) for name, owned in self._owned.items()
        }
        allotment = self._allotments.allot(
            stream, policy.sharing, view, rollouts, self._clock.monotonic()
        )
        return EngineReported(
            backend_id=view.backend_id,
            version=view.weight_version,
            slots=allotment.rollout_slots + allotment.live_load,
            other_load=allotment.live_load,
            excess=allotment.excess,
            contended=allotment.contended,
        )
