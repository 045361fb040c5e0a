"""Discrete-event model of engines, a trainer and weight updates around the scheduler.

The scheduler and the stream owner are the production code; engines, trainer and sample lengths
are modelled. Time is virtual.
"""

import random
from collections.abc import Generator, Iterator

import msgspec
import simpy

from drumbay.backends.interface import FinishReason
from drumbay.delivery.exceptions import NothingReadyError
from drumbay.delivery.log_entries import BatchFixed, StreamSnapshot
from drumbay.delivery.messages import Ballot
from drumbay.delivery.stream_owner import FixBatch, StreamOwner
from drumbay.identifiers import (
    AttemptId,
    BackendId,
    BootId,
    Cursor,
    Fence,
    StreamName,
    WeightVersion,
)
from drumbay.rollout.events import (
    Cancel,
    ChunkReceived,
    Dispatch,
    EngineReported,
    RolloutEvent,
    SampleFinished,
    StalenessForecastChanged,
    Tick,
    WantedSample,
    WantedSamplesChanged,
)
from drumbay.rollout.policy import SchedulingPolicy
from drumbay.rollout.sample import RolloutPrompt, Sample, SampleKey, TokenSpan
from drumbay.rollout.scheduler import RolloutScheduler
from drumbay.rollout.staleness import StalenessForecast
from drumbay.standins.batch_rate import BatchRate

CHUNK_TOKENS = 32
TICK_INTERVAL_SECONDS = 0.5
MAX_TOKENS = 8192
SimulationProcess = Generator[simpy.Event, None, None]


class RolloutModelParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Sizes, durations and length distribution of the model.

    Attributes:
        engines: Number of engines.
        slots_per_engine: Maximum batch size of an engine.
        samples_per_step: Samples that the trainer consumes per step.
        siblings_per_group: Samples per prompt.
        groups: Prompts in the data set, from which each step draws.
        train_seconds: Duration of a training step.
        load_seconds: Time from the publication of a version until an engine has loaded it.
        swap_pause_seconds: Pause of an engine while it swaps weights.
        max_staleness_versions: Maximum staleness of a sample, in versions behind the trainer.
        median_tokens: Median length of a sample.
        group_sigma: Log-normal spread between groups.
        sibling_sigma: Log-normal spread within a group.
        steps: Number of training steps.
        warm_up_steps: Number of first steps excluded from the results.
    """

    engines: int
    slots_per_engine: int = 16
    samples_per_step: int = 256
    siblings_per_group: int = 8
    groups: int = 256
    train_seconds: float = 60.0
    load_seconds: float = 3.0
    swap_pause_seconds: float = 0.2
    max_staleness_versions: int = 1
    median_tokens: float = 300.0
    group_sigma: float = 0.9
    sibling_sigma: float = 0.4
    steps: int = 24
    warm_up_steps: int = 4


class Variant(msgspec.Struct, frozen=True, kw_only=True):
    """Variant of the system under comparison.

    Attributes:
        name: Name in the report.
        policy: Scheduling policy.
        submitted_ahead: Number of steps submitted ahead of the current one.
        deferrable_steps: Number of batches by which a late sample may be deferred.
        drains_before_load: Whether an engine finishes its samples before it loads weights;
            otherwise running samples continue with the new weights.
    """

    name: str
    policy: SchedulingPolicy
    submitted_ahead: int
    deferrable_steps: int
    drains_before_load: bool


class StepRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One training step.

    Attributes:
        waited_seconds: Time spent waiting for a complete batch.
        trained_seconds: Time spent training.
        staleness_versions: Staleness of the oldest token of each sample.
        token_count: Number of tokens in the batch.
    """

    waited_seconds: float
    trained_seconds: float
    staleness_versions: tuple[int, ...]
    token_count: int


class RunningSample(msgspec.Struct, kw_only=True):
    """A sample that an engine is generating."""

    dispatch: Dispatch
    spans: list[TokenSpan]
    ready_at: float


class BatchingEngine:
    """An engine that decodes a batch in chunks, at a rate that depends on the batch size."""

    def __init__(self, name: str) -> None:
        """Create an idle engine with weight version 0."""
        self.backend_id = BackendId(name)
        self.version = WeightVersion(0)
        self.loading = False
        self.running: dict[SampleKey, RunningSample] = {}
        self.generated_tokens = 0


class RolloutModel:
    """Simulation of one variant with one seed."""

    def __init__(self, parameters: RolloutModelParameters, variant: Variant, seed: int) -> None:
        """Create the model; :meth:`run` executes it."""
        self._parameters = parameters
        self._variant = variant
        self._random = random.Random(seed)
        self._group_medians = [
            self._random.lognormvariate(0, parameters.group_sigma) * parameters.median_tokens
            for _ in range(parameters.groups)
        ]
        self._environment = simpy.Environment()
        self._batch_rate = BatchRate()
        self._scheduler = RolloutScheduler(variant.policy)
        self._owner = StreamOwner(
            StreamName("bench"),
            Ballot(Fence(1), BootId("bench")),
            StreamSnapshot(),
            max_open_steps=variant.submitted_ahead + variant.deferrable_steps,
        )
        self._engines = {
            BackendId(f"engine-{index}"): BatchingEngine(f"engine-{index}")
            for index in range(parameters.engines)
        }
        self._target_tokens: dict[SampleKey, int] = {}
        self._partial_spans: dict[SampleKey, list[TokenSpan]] = {}
        self._version = WeightVersion(0)
        self._step_seconds = parameters.train_seconds
        self.steps: list[StepRecord] = []

    @property
    def generated_tokens(self) -> int:
        """Return the number of generated tokens, discarded ones included."""
        return sum(engine.generated_tokens for engine in self._engines.values())

    @property
    def pending_tokens(self) -> int:
        """Return the number of generated tokens that may still be consumed."""
        span_lists = [sample.spans for e in self._engines.values() for sample in e.running.values()]
        running = sum(span.token_count for spans in span_lists for span in spans)
        return running + sum(len(sample.token_ids) for sample in self._owner.ready.values())

    def run(self) -> None:
        """Run all training steps."""
        for engine in self._engines.values():
            self._report_engine(engine)
            self._environment.process(self._decode(engine))
        self._environment.process(self._tick())
        self._environment.run(until=self._environment.process(self._train()))

    def _handle(self, event: RolloutEvent) -> None:
        for decision in self._scheduler.handle(event, self._environment.now):
            match decision:
                case Dispatch():
                    self._start_sample(decision)
                case Cancel(key=key):
                    self._cancel_sample(key)

    def _start_sample(self, dispatch: Dispatch) -> None:
        partial_spans = self._partial_spans.pop(dispatch.key, [])
        kept_spans = [span for span in partial_spans if span.first_index < dispatch.kept_tokens]
        prefill_seconds = self._batch_rate.prefill_seconds(dispatch.kept_tokens + 64)
        running = RunningSample(
            dispatch=dispatch, spans=kept_spans, ready_at=self._environment.now + prefill_seconds
        )
        self._engines[dispatch.backend_id].running[dispatch.key] = running

    def _cancel_sample(self, key: SampleKey) -> None:
        for engine in self._engines.values():
            running = engine.running.pop(key, None)
            if running is not None:
                self._partial_spans[key] = running.spans

    def _report_engine(self, engine: BatchingEngine) -> None:
        drains = engine.loading and self._variant.drains_before_load
        self._handle(
            EngineReported(
                backend_id=engine.backend_id,
                version=None if drains else engine.version,
                slots=self._parameters.slots_per_engine,
            )
        )

    def _tick(self) -> SimulationProcess:
        while True:
            yield self._environment.timeout(TICK_INTERVAL_SECONDS)
            self._handle(Tick())

    def _decode(self, engine: BatchingEngine) -> SimulationProcess:
        while True:
            now = self._environment.now
            batch = [sample for sample in engine.running.values() if sample.ready_at <= now]
            if not batch:
                yield self._environment.timeout(TICK_INTERVAL_SECONDS / 10)
                continue
            yield self._environment.timeout(
                self._batch_rate.decode_seconds(CHUNK_TOKENS, len(batch))
            )
            for sample in batch:
                if engine.running.get(sample.dispatch.key) is sample:
                    self._generate_chunk(engine, sample)

    def _generate_chunk(self, engine: BatchingEngine, sample: RunningSample) -> None:
        key, attempt = sample.dispatch.key, sample.dispatch.attempt
        first_index = sum(span.token_count for span in sample.spans)
        produced = min(CHUNK_TOKENS, self._target_tokens[key] - first_index)
        engine.generated_tokens += produced
        span = TokenSpan(
            weight_version=engine.version,
            boot_id=BootId(engine.backend_id),
            attempt_id=AttemptId(str(attempt)),
            first_index=first_index,
            token_count=produced,
        )
        _append_span(sample.spans, span)
        spans = tuple(sample.spans)
        self._handle(ChunkReceived(key=key, attempt=attempt, version=engine.version, spans=spans))
        finished = first_index + produced == self._target_tokens[key]
        if finished and engine.running.get(key) is sample:
            del engine.running[key]
            self._handle(SampleFinished(key=key, attempt=attempt))
            self._owner.add_sample(_to_sample(sample))

    def _submit(self, step: int) -> None:
        parameters = self._parameters
        group_count = parameters.samples_per_step // parameters.siblings_per_group
        prompts: list[RolloutPrompt] = []
        for group in self._random.sample(range(parameters.groups), group_count):
            for _ in range(parameters.siblings_per_group):
                spread = self._random.lognormvariate(0, parameters.sibling_sigma)
                target = max(8, min(MAX_TOKENS, int(self._group_medians[group] * spread)))
                self._target_tokens[SampleKey(step, len(prompts))] = target
                prompts.append(RolloutPrompt(text="", group=str(group), max_tokens=MAX_TOKENS))
        entry = self._owner.decide_submit(step, prompts)
        if entry is not None:
            self._owner.apply_chosen(entry)
        self._update_wanted_samples()

    def _update_wanted_samples(self) -> None:
        wanted = [
            WantedSample(key=sample.key, prompt=sample.prompt) for sample in self._owner.missing()
        ]
        self._handle(WantedSamplesChanged(wanted=tuple(wanted)))

    def _oldest_accepted(self, version: WeightVersion) -> WeightVersion:
        return WeightVersion(max(0, version - self._parameters.max_staleness_versions))

    def _train(self) -> SimulationProcess:
        ahead = self._variant.submitted_ahead
        for step in range(ahead):
            self._submit(step)
        for step in range(self._parameters.steps):
            started_at = self._environment.now
            # The scheduler needs the published version before it gets new work.
            self._forecast(step, started_at, self._version)
            self._submit(step + ahead)
            while (entry := self._collect_batch(step)) is None:
                yield self._environment.timeout(TICK_INTERVAL_SECONDS / 2)
            collected_at = self._environment.now
            trained_at = collected_at + self._parameters.train_seconds
            self._forecast(step + 1, trained_at, WeightVersion(self._version + 1))
            yield self._environment.timeout(self._parameters.train_seconds)
            self._record_step(entry, collected_at - started_at)
            self._publish(trained_at - started_at)

    def _collect_batch(self, step: int) -> BatchFixed | None:
        if self._owner.drop_stale(self._oldest_accepted(self._version)):
            self._update_wanted_samples()
        count = self._parameters.samples_per_step
        try:
            decision = self._owner.decide_pull(
                Cursor(step), count, self._oldest_accepted(self._version), min_samples=count
            )
        except NothingReadyError:
            return None
        assert isinstance(decision, FixBatch)
        self._owner.apply_chosen(decision.entry)
        return decision.entry

    def _forecast(
        self, next_step: int, next_collection_at: float, upcoming_version: WeightVersion
    ) -> None:
        forecast = StalenessForecast(
            oldest_accepted=self._oldest_accepted(self._version),
            next_oldest_accepted=self._oldest_accepted(upcoming_version),
            newest_version=self._version,
            next_version=upcoming_version,
            next_step=next_step,
            next_collection_at=next_collection_at,
            interval_seconds=self._step_seconds,
            deferrable_steps=self._variant.deferrable_steps,
        )
        self._handle(StalenessForecastChanged(forecast=forecast))

    def _record_step(self, entry: BatchFixed, waited_seconds: float) -> None:
        samples = entry.batch.samples
        self.steps.append(
            StepRecord(
                waited_seconds=waited_seconds,
                trained_seconds=self._parameters.train_seconds,
                staleness_versions=tuple(self._version - s.oldest_version for s in samples),
                token_count=sum(len(sample.token_ids) for sample in samples),
            )
        )

    def _publish(self, step_seconds: float) -> None:
        self._version = WeightVersion(self._version + 1)
        self._step_seconds = step_seconds
        for engine in self._engines.values():
            if not engine.loading:
                self._environment.process(self._load_weights(engine))

    def _load_weights(self, engine: BatchingEngine) -> SimulationProcess:
        engine.loading = True
        self._report_engine(engine)
        while self._variant.drains_before_load and engine.running:
            yield self._environment.timeout(TICK_INTERVAL_SECONDS / 10)
        while engine.version < self._version:
            version = self._version
            yield self._environment.timeout(self._parameters.load_seconds)
            resumes_at = self._environment.now + self._parameters.swap_pause_seconds
            for sample in engine.running.values():
                sample.ready_at = max(sample.ready_at, resumes_at)
            engine.version = version
        engine.loading = False
        self._report_engine(engine)


def _append_span(spans: list[TokenSpan], added: TokenSpan) -> None:
    last = spans[-1] if spans else None
    if (
        last is not None
        and last.weight_version == added.weight_version
        and last.attempt_id == added.attempt_id
    ):
        token_count = last.token_count + added.token_count
        spans[-1] = msgspec.structs.replace(last, token_count=token_count)
    else:
        spans.append(added)


def _to_sample(running: RunningSample) -> Sample:
    token_count = sum(span.token_count for span in running.spans)
    return Sample(
        key=running.dispatch.key,
        prompt=running.dispatch.prompt,
        token_ids=(0,) * token_count,
        text="",
        spans=tuple(running.spans),
        finish_reason=FinishReason.STOP,
    )


def staleness_of(steps: list[StepRecord]) -> Iterator[int]:
    """Yield the staleness of every consumed sample."""
    for step in steps:
        yield from step.staleness_versions
