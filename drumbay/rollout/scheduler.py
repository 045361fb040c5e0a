"""Scheduler of rollouts: assigns samples to engines and cancels attempts; does no I/O."""

from drumbay.identifiers import BackendId, WeightVersion
from drumbay.limits.engine_priority import GUARANTEED_PRIORITY
from drumbay.rollout.decode_rate import DecodeRateModel
from drumbay.rollout.events import (
    AttemptFailed,
    Cancel,
    CancelReason,
    ChunkReceived,
    Dispatch,
    EngineReported,
    EnginesLost,
    RolloutDecision,
    RolloutEvent,
    SampleFinished,
    StalenessForecastChanged,
    Tick,
    WantedSamplesChanged,
)
from drumbay.rollout.lengths import LengthEstimator
from drumbay.rollout.placement import Placement
from drumbay.rollout.policy import SchedulingPolicy
from drumbay.rollout.scheduler_state import SchedulerState, TrackedEngine, TrackedSample
from drumbay.rollout.staleness import accepted_prefix

SAMPLE_RETRY_DELAY_SECONDS = 0.05
PRIORITY_RESUMED = 1
PRIORITY_LAST_OF_STEP = 2


class RolloutScheduler:
    """Deterministic scheduler that is driven by events."""

    def __init__(self, policy: SchedulingPolicy) -> None:
        """Create a scheduler without samples and engines."""
        self._policy = policy
        self._state = SchedulerState()
        self._lengths = LengthEstimator()
        self._placement = Placement(policy, self._state, self._lengths)
        self._last_attempt = 0
        self._last_oldest_accepted = WeightVersion(0)

    def handle(self, event: RolloutEvent, now: float) -> tuple[RolloutDecision, ...]:
        """Apply an event at monotonic time ``now`` and return the decisions, in order."""
        decisions: list[RolloutDecision] = []
        match event:
            case WantedSamplesChanged():
                decisions.extend(self._update_wanted_samples(event))
            case EngineReported():
                self._update_engine(event, now)
                decisions.extend(self._preempt(event))
            case EnginesLost(backend_ids=backend_ids):
                for backend_id in backend_ids:
                    self._state.engines.pop(backend_id, None)
            case StalenessForecastChanged(forecast=forecast):
                self._state.update_forecast(forecast, now)
            case ChunkReceived():
                # Chunks are frequent and free no slots, so no further scheduling is needed.
                return self._handle_chunk(event, now)
            case SampleFinished():
                self._handle_finished(event)
            case AttemptFailed():
                self._handle_failed(event, now)
            case Tick():
                pass
        decisions.extend(self._cancel_stale(now))
        decisions.extend(self._dispatch_queued(now))
        decisions.extend(self._move_one_sample(now))
        return tuple(decisions)

    def _update_wanted_samples(self, event: WantedSamplesChanged) -> list[RolloutDecision]:
        wanted_keys = {wanted.key for wanted in event.wanted}
        cancels: list[RolloutDecision] = []
        for sample in [s for s in self._state.samples.values() if s.key not in wanted_keys]:
            if sample.attempt is not None:
                cancels.append(self._cancel(sample, CancelReason.NOT_WANTED))
            del self._state.samples[sample.key]
        for wanted in event.wanted:
            self._state.add_wanted(wanted)
        self._state.update_step_sizes()
        return cancels

    def _update_engine(self, report: EngineReported, now: float) -> None:
        engine = self._state.engines.get(report.backend_id)
        if engine is None:
            engine = TrackedEngine(report=report, rate=DecodeRateModel())
            self._state.engines[report.backend_id] = engine
        engine.update(report, now)

    def _preempt(self, report: EngineReported) -> list[RolloutDecision]:
        """Preempt excess rollouts: the latest step first, within a step the fewest tokens first."""
        if report.excess <= 0:
            return []
        running = [s for s in self._state.running() if s.backend_id == report.backend_id]
        running.sort(key=lambda sample: (-sample.key.step, sample.token_count, sample.key))
        return [self._cancel(sample, CancelReason.PREEMPTED) for sample in running[: report.excess]]

    def _handle_chunk(self, event: ChunkReceived, now: float) -> tuple[RolloutDecision, ...]:
        sample = self._state.sample_of_attempt(event.key, event.attempt)
        if sample is None or sample.backend_id is None:
            return ()
        engine = self._state.engines.get(sample.backend_id)
        count_before = sample.token_count
        sample.spans = event.spans
        new_tokens = sample.token_count - count_before
        if engine is not None:
            engine.observe_token_version(event.version, now)
            if new_tokens > 0:
                seconds_per_token = (now - sample.last_chunk_at) / new_tokens
                engine.rate.observe(self._state.load_on(sample.backend_id), seconds_per_token)
        sample.last_chunk_at = now
        if not self._is_stale(sample):
            return ()
        cancel = self._cancel(sample, CancelReason.STALE_TOKENS)
        sample.drop_stale_tokens(self._state.forecast.oldest_accepted)
        return (cancel,)

    def _handle_finished(self, event: SampleFinished) -> None:
        sample = self._state.sample_of_attempt(event.key, event.attempt)
        if sample is None:
            return
        self._lengths.observe(sample.prompt.group, sample.token_count)
        # A sample that has become too stale is requested again by a ``WantedSamplesChanged`` event.
        self._state.end_attempt(sample)
        del self._state.samples[sample.key]

    def _handle_failed(self, event: AttemptFailed, now: float) -> None:
        sample = self._state.sample_of_attempt(event.key, event.attempt)
        if sample is None or sample.backend_id is None:
            return
        engine = self._state.engines.get(sample.backend_id)
        if engine is not None and sample.awaits_tokens:
            engine.back_off(now, event.retry_after_seconds)
        self._state.end_attempt(sample)
        sample.not_before = now + SAMPLE_RETRY_DELAY_SECONDS
        if not self._policy.keep_partial:
            sample.spans = ()

    def _cancel_stale(self, now: float) -> list[RolloutDecision]:
        """Cancel running samples whose tokens are, or are expected to become, too stale."""
        decisions: list[RolloutDecision] = []
        for sample in self._state.running():
            if self._is_stale(sample):
                decisions.append(self._cancel(sample, CancelReason.STALE_TOKENS))
            elif self._policy.avoid_expiry and self._placement.should_restart_elsewhere(
                sample, now
            ):
                decisions.append(self._cancel(sample, CancelReason.WOULD_EXPIRE))
                sample.spans = ()
        oldest_accepted = self._state.forecast.oldest_accepted
        if oldest_accepted > self._last_oldest_accepted:
            self._last_oldest_accepted = oldest_accepted
            for sample in self._state.samples.values():
                sample.drop_stale_tokens(oldest_accepted)
        return decisions

    def _dispatch_queued(self, now: float) -> list[RolloutDecision]:
        decisions: list[RolloutDecision] = []
        if not self._placement.any_free_slot(now):
            return decisions
        ready_samples = [
            sample
            for sample in self._state.queued()
            if sample.not_before <= now and not self._placement.is_deferred(sample)
        ]
        for sample in sorted(ready_samples, key=self._queue_sort_key):
            backend_id = self._placement.choose_engine(sample, now)
            if backend_id is not None:
                if self._placement.should_restart(sample, backend_id, now):
                    sample.spans = ()
                decisions.append(self._dispatch(sample, backend_id, now))
                if not self._placement.any_free_slot(now):
                    break
        return decisions

    def _queue_sort_key(self, sample: TrackedSample) -> tuple[float, ...]:
        """Return the sort key: by step, with ``longest_first`` by length, then by index."""
        key = sample.key
        expected = 0.0
        if self._policy.longest_first:
            expected = -self._lengths.expected_remaining(sample.prompt.group, sample.token_count)
        return (key.step, expected, key.index, key.reroll)

    def _dispatch(self, sample: TrackedSample, backend_id: BackendId, now: float) -> Dispatch:
        version = self._state.engines[backend_id].version_to_request
        assert version is not None
        self._last_attempt += 1
        candidates = self._placement.candidates(sample, backend_id, now)
        self._state.start_attempt(sample, self._last_attempt, backend_id, version, now)
        return Dispatch(
            key=sample.key,
            prompt=sample.prompt,
            attempt=self._last_attempt,
            backend_id=backend_id,
            version=version,
            priority=self._priority(sample) + self._guaranteed_priority(backend_id),
            kept_tokens=sample.token_count,
            candidates=candidates,
        )

    def _guaranteed_priority(self, backend_id: BackendId) -> int:
        """Return the priority boost that protects the rollouts' share of a contended engine."""
        contended = self._state.engines[backend_id].report.contended
        return GUARANTEED_PRIORITY if contended else 0

    def _priority(self, sample: TrackedSample) -> int:
        if not self._policy.prioritize_last:
            return 0
        step = sample.key.step
        if step == min(key.step for key in self._state.samples):
            remaining = sum(1 for key in self._state.samples if key.step == step)
            if remaining <= self._policy.last_share * self._state.step_sizes[step]:
                return PRIORITY_LAST_OF_STEP
        return PRIORITY_RESUMED if sample.spans else 0

    def _move_one_sample(self, now: float) -> list[RolloutDecision]:
        """Move the running sample that saves the most time, if no sample is queued."""
        if not self._policy.move_long or self._state.queued():
            return []
        moves = [
            move
            for sample in self._state.running()
            if (move := self._placement.best_move(sample, now))
        ]
        if not moves:
            return []
        best = max(moves, key=lambda move: move.gain_seconds)
        cancel = self._cancel(best.sample, CancelReason.MOVE)
        return [cancel, self._dispatch(best.sample, best.backend_id, now)]

    def _cancel(self, sample: TrackedSample, reason: CancelReason) -> Cancel:
        assert sample.attempt is not None
        cancel = Cancel(key=sample.key, attempt=sample.attempt, reason=reason)
        self._state.end_attempt(sample)
        if not self._policy.keep_partial:
            sample.spans = ()
        return cancel

    def _is_stale(self, sample: TrackedSample) -> bool:
        """Return whether the tokens or the requested version of an attempt are too stale.

        Once there are tokens, only their versions count: the engine may have loaded another
        version since the dispatch.
        """
        oldest_accepted = self._state.forecast.oldest_accepted
        if accepted_prefix(sample.spans, oldest_accepted) < sample.token_count:
            return True
        return (
            sample.awaits_tokens and sample.version is not None and sample.version < oldest_accepted
        )
