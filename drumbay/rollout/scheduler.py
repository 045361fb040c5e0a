"""Pure decisions about rollouts: which sample runs where, and which one is stopped."""

from drumbay.identifiers import BackendId, WeightVersion
from drumbay.limits.engine_priority import GUARANTEED_PRIORITY
from drumbay.rollout.decode_rate import DecodeRateModel
from drumbay.rollout.events import (
    Cancel,
    CancelReason,
    ChunkReceived,
    Dispatch,
    EngineLost,
    EngineReported,
    FloorChanged,
    RolloutDecision,
    RolloutEvent,
    SampleFailed,
    SampleFinished,
    TimePassed,
    WorkChanged,
)
from drumbay.rollout.lengths import LengthEstimator
from drumbay.rollout.placement import Placement
from drumbay.rollout.policy import SchedulingPolicy
from drumbay.rollout.scheduler_state import SchedulerState, TrackedEngine, TrackedSample
from drumbay.rollout.staleness import accepted_prefix

SAMPLE_BACKOFF_SECONDS = 0.05
PRIORITY_RESUMED = 1
PRIORITY_LAST_OF_STEP = 2


class RolloutScheduler:
    """Decides from events alone; deterministic."""

    def __init__(self, policy: SchedulingPolicy) -> None:
        """Create a scheduler that knows no sample and no engine."""
        self._policy = policy
        self._state = SchedulerState()
        self._lengths = LengthEstimator()
        self._placement = Placement(policy, self._state, self._lengths)
        self._attempts = 0
        self._kept_accepted = WeightVersion(0)

    def handle(self, event: RolloutEvent, now: float) -> tuple[RolloutDecision, ...]:
        """Take an event at a monotonic time and return what to do, in order."""
        decisions: list[RolloutDecision] = []
        match event:
            case WorkChanged():
                decisions.extend(self._change_work(event))
            case EngineReported():
                self._update_engine(event, now)
                decisions.extend(self._preempt(event))
            case EngineLost(backend_id=backend_id):
                self._state.engines.pop(backend_id, None)
            case FloorChanged(forecast=forecast):
                self._state.update_forecast(forecast, now)
            case ChunkReceived():
                # NOTE: chunks are frequent; they free no place, so nothing else is decided.
                return self._take_chunk(event, now)
            case SampleFinished():
                self._finish(event)
            case SampleFailed():
                self._fail(event, now)
            case TimePassed():
                pass
        decisions.extend(self._stop_stale(now))
        decisions.extend(self._dispatch_queued(now))
        decisions.extend(self._move_long(now))
        return tuple(decisions)

    def _change_work(self, event: WorkChanged) -> list[RolloutDecision]:
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
        """Stop rollouts that other work waits for: of the latest step, with fewest tokens."""
        if report.excess <= 0:
            return []
        running = [s for s in self._state.running() if s.backend_id == report.backend_id]
        running.sort(key=lambda sample: (-sample.key.step, sample.token_count, sample.key))
        return [self._cancel(sample, CancelReason.PREEMPTED) for sample in running[: report.excess]]

    def _take_chunk(self, event: ChunkReceived, now: float) -> tuple[RolloutDecision, ...]:
        sample = self._state.attempt(event.key, event.attempt)
        if sample is None or sample.backend_id is None:
            return ()
        engine = self._state.engines.get(sample.backend_id)
        before = sample.token_count
        sample.spans = event.spans
        produced = sample.token_count - before
        if engine is not None:
            engine.observe_stamp(event.version, now)
            if produced > 0:
                seconds_per_token = (now - sample.last_chunk_at) / produced
                engine.rate.observe(self._state.batch_on(sample.backend_id), seconds_per_token)
        sample.last_chunk_at = now
        if not self._is_stale(sample):
            return ()
        cancel = self._cancel(sample, CancelReason.STALE_TOKENS)
        sample.keep_accepted(self._state.forecast.accepted)
        return (cancel,)

    def _finish(self, event: SampleFinished) -> None:
        sample = self._state.attempt(event.key, event.attempt)
        if sample is None:
            return
        self._lengths.observe(sample.prompt.group, sample.token_count)
        # NOTE: a sample too old for the trainer by now comes back by ``WorkChanged``.
        self._state.end_attempt(sample)
        del self._state.samples[sample.key]

    def _fail(self, event: SampleFailed, now: float) -> None:
        sample = self._state.attempt(event.key, event.attempt)
        if sample is None or sample.backend_id is None:
            return
        engine = self._state.engines.get(sample.backend_id)
        if engine is not None and sample.awaits_tokens:
            engine.observe_failure(now, event.retry_after_seconds)
        self._state.end_attempt(sample)
        sample.not_before = now + SAMPLE_BACKOFF_SECONDS
        if not self._policy.keep_partial:
            sample.spans = ()

    def _stop_stale(self, now: float) -> list[RolloutDecision]:
        """Stop running samples whose tokens are, or will end, outside the bound."""
        decisions: list[RolloutDecision] = []
        for sample in self._state.running():
            if self._is_stale(sample):
                decisions.append(self._cancel(sample, CancelReason.STALE_TOKENS))
            elif self._policy.avoid_expiry and self._placement.is_doomed(sample, now):
                decisions.append(self._cancel(sample, CancelReason.WOULD_EXPIRE))
                sample.spans = ()
        accepted = self._state.forecast.accepted
        if accepted > self._kept_accepted:
            self._kept_accepted = accepted
            for sample in self._state.samples.values():
                sample.keep_accepted(accepted)
        return decisions

    def _dispatch_queued(self, now: float) -> list[RolloutDecision]:
        decisions: list[RolloutDecision] = []
        if not self._placement.any_room(now):
            return decisions
        startable = [
            sample
            for sample in self._state.queued()
            if sample.not_before <= now and not self._placement.is_held(sample)
        ]
        for sample in sorted(startable, key=self._queue_order):
            backend_id = self._placement.choose_engine(sample, now)
            if backend_id is not None:
                if self._placement.should_restart(sample, backend_id, now):
                    sample.spans = ()
                decisions.append(self._start(sample, backend_id, now))
                if not self._placement.any_room(now):
                    break
        return decisions

    def _queue_order(self, sample: TrackedSample) -> tuple[float, ...]:
        """Return the sort key: earliest step, then the longest or the first that came."""
        key = sample.key
        expected = 0.0
        if self._policy.longest_first:
            expected = -self._lengths.expected_remaining(sample.prompt.group, sample.token_count)
        return (key.step, expected, key.index, key.reroll)

    def _start(self, sample: TrackedSample, backend_id: BackendId, now: float) -> Dispatch:
        version = self._state.engines[backend_id].named_version
        assert version is not None
        self._attempts += 1
        candidates = self._placement.candidates(sample, backend_id, now)
        self._state.start_attempt(sample, self._attempts, backend_id, version, now)
        return Dispatch(
            key=sample.key,
            prompt=sample.prompt,
            attempt=self._attempts,
            backend_id=backend_id,
            version=version,
            priority=self._priority(sample) + self._guaranteed_priority(backend_id),
            kept_tokens=sample.token_count,
            candidates=candidates,
        )

    def _guaranteed_priority(self, backend_id: BackendId) -> int:
        """Return what lets rollouts pass other work that asks for more than its share."""
        contended = self._state.engines[backend_id].report.contended
        return GUARANTEED_PRIORITY if contended else 0

    def _priority(self, sample: TrackedSample) -> int:
        if not self._policy.prioritise_last:
            return 0
        step = sample.key.step
        if step == min(key.step for key in self._state.samples):
            left = sum(1 for key in self._state.samples if key.step == step)
            if left <= self._policy.last_share * self._state.step_sizes[step]:
                return PRIORITY_LAST_OF_STEP
        return PRIORITY_RESUMED if sample.spans else 0

    def _move_long(self, now: float) -> list[RolloutDecision]:
        """Move the sample that is expected to end last, if that gains more than it costs."""
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
        return [cancel, self._start(best.sample, best.backend_id, now)]

    def _cancel(self, sample: TrackedSample, reason: CancelReason) -> Cancel:
        assert sample.attempt is not None
        cancel = Cancel(key=sample.key, attempt=sample.attempt, reason=reason)
        self._state.end_attempt(sample)
        if not self._policy.keep_partial:
            sample.spans = ()
        return cancel

    def _is_stale(self, sample: TrackedSample) -> bool:
        """Return whether an attempt holds, or names, a version that is not accepted.

        An attempt that has produced tokens is judged by their stamps alone: its engine may
        have moved on since the dispatch.
        """
        accepted = self._state.forecast.accepted
        if accepted_prefix(sample.spans, accepted) < sample.token_count:
            return True
        return sample.awaits_tokens and sample.version is not None and sample.version < accepted
