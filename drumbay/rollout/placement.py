"""Selects engines for samples by expected finish time and weight version."""

import math

import msgspec

from drumbay.explain.records import CandidateVerdict, RejectionReason
from drumbay.identifiers import BackendId, WeightVersion
from drumbay.rollout.lengths import LengthEstimator
from drumbay.rollout.policy import SchedulingPolicy
from drumbay.rollout.scheduler_state import SchedulerState, TrackedSample
from drumbay.rollout.staleness import DispatchVerdict, dispatch_verdict

MIN_MOVE_LOAD_DIFFERENCE = 2
"""A sample moves only if the loads differ by more than this, to avoid moving it back and forth."""


class Move(msgspec.Struct, frozen=True, kw_only=True):
    """Move of a running sample to a less loaded engine."""

    sample: TrackedSample
    backend_id: BackendId
    gain_seconds: float


class Placement:
    """Evaluates engines for samples without changing any state."""

    def __init__(
        self, policy: SchedulingPolicy, state: SchedulerState, lengths: LengthEstimator
    ) -> None:
        """Create a placement over the scheduler's state and length estimates."""
        self._policy = policy
        self._state = state
        self._lengths = lengths

    def should_restart_elsewhere(self, sample: TrackedSample, now: float) -> bool:
        """Return whether a sample is expected to expire here, but not if restarted elsewhere."""
        oldest = sample.oldest_version
        if oldest is None or sample.backend_id not in self._state.engines:
            return False
        finish_at = now + self.expected_seconds(sample, sample.backend_id, sample.token_count)
        if oldest >= self._state.forecast.oldest_accepted_at_collection(sample.key.step, finish_at):
            return False
        return any(
            engine.version is not None
            and engine.version > oldest
            and self._dispatch_verdict(sample, backend_id, engine.version, 0, now)
            is DispatchVerdict.ALLOWED
            and self.has_free_slot(backend_id, now)
            for backend_id, engine in self._state.engines.items()
        )

    def expected_seconds(
        self, sample: TrackedSample, backend_id: BackendId, kept_tokens: int
    ) -> float:
        """Return the expected time to finish a sample that has ``kept_tokens`` tokens."""
        load = self._state.load_on(backend_id)
        if sample.backend_id != backend_id:
            load += 1
        rate = self._state.engines[backend_id].rate
        remaining = self._lengths.expected_remaining(sample.prompt.group, kept_tokens)
        return remaining * rate.seconds_per_token(load)

    def _dispatch_verdict(
        self,
        sample: TrackedSample,
        backend_id: BackendId,
        version: WeightVersion,
        kept_tokens: int,
        now: float,
    ) -> DispatchVerdict:
        oldest = sample.oldest_version_with(version) if kept_tokens else version
        finish_at = now + self.expected_seconds(sample, backend_id, kept_tokens)
        return dispatch_verdict(oldest, self._state.forecast, sample.key.step, finish_at)

    def has_free_slot(self, backend_id: BackendId, now: float) -> bool:
        """Return whether an engine can run one more rollout now."""
        engine = self._state.engines[backend_id]
        return engine.not_before <= now and self._state.load_on(backend_id) < engine.report.slots

    def any_free_slot(self, now: float) -> bool:
        """Return whether any engine can run one more rollout now."""
        return any(self.has_free_slot(backend_id, now) for backend_id in self._state.engines)

    def choose_engine(self, sample: TrackedSample, now: float) -> BackendId | None:
        """Return the best eligible engine for a sample; ``None`` if there is none."""
        best: BackendId | None = None
        best_cost = (math.inf, math.inf, math.inf)
        for backend_id in self._state.engines:
            if self._rejection_reason(sample, backend_id, now) is not None:
                continue
            cost = self._cost(sample, backend_id, now)
            if cost < best_cost:
                best, best_cost = backend_id, cost
        return best

    def candidates(
        self, sample: TrackedSample, chosen: BackendId, now: float
    ) -> tuple[CandidateVerdict, ...]:
        """Return the verdict on every engine for a sample, the selected one first."""
        others = [backend_id for backend_id in self._state.engines if backend_id != chosen]
        verdicts = [self._candidate_verdict(sample, chosen, None, now)]
        for backend_id in others:
            rejection = (
                self._rejection_reason(sample, backend_id, now) or RejectionReason.HIGHER_COST
            )
            verdicts.append(self._candidate_verdict(sample, backend_id, rejection, now))
        return tuple(verdicts)

    def _candidate_verdict(
        self,
        sample: TrackedSample,
        backend_id: BackendId,
        rejection: RejectionReason | None,
        now: float,
    ) -> CandidateVerdict:
        return CandidateVerdict(
            backend_id=backend_id,
            rejection=rejection,
            cost=self.expected_seconds(sample, backend_id, sample.token_count),
            weight_version=self._state.engines[backend_id].version,
            outstanding=self._state.load_on(backend_id),
        )

    def _rejection_reason(
        self, sample: TrackedSample, backend_id: BackendId, now: float
    ) -> RejectionReason | None:
        """Return why an engine cannot run a sample now; ``None`` if it can."""
        engine = self._state.engines[backend_id]
        version = engine.version
        if engine.not_before > now:
            return RejectionReason.CIRCUIT_OPEN
        if not self.has_free_slot(backend_id, now):
            return RejectionReason.OVERLOADED
        if version is None:
            return RejectionReason.VERSION
        newest = max(self._newest_version(), self._state.forecast.newest_version)
        verdict = self._dispatch_verdict(sample, backend_id, version, sample.token_count, now)
        if verdict is DispatchVerdict.NOT_ACCEPTED:
            return RejectionReason.VERSION
        # No engine has newer weights than the newest version, so waiting would not help.
        expires = verdict is DispatchVerdict.WOULD_EXPIRE and self._policy.avoid_expiry
        if version < newest and (expires or self._waits_for_newest_version(now)):
            return RejectionReason.VERSION
        return None

    def _waits_for_newest_version(self, now: float) -> bool:
        """Return whether to wait for engines to load the newest version."""
        since_publication = now - self._state.newest_published_at
        return (
            self._policy.newest_version_first and since_publication < self._policy.load_wait_seconds
        )

    def should_restart(self, sample: TrackedSample, backend_id: BackendId, now: float) -> bool:
        """Return whether a sample would expire if resumed, but not if restarted from the prompt."""
        version = self._state.engines[backend_id].version
        if version is None or not sample.spans or not self._policy.avoid_expiry:
            return False
        resumed = self._dispatch_verdict(sample, backend_id, version, sample.token_count, now)
        started = self._dispatch_verdict(sample, backend_id, version, 0, now)
        return resumed is not DispatchVerdict.ALLOWED and started is DispatchVerdict.ALLOWED

    def _cost(
        self, sample: TrackedSample, backend_id: BackendId, now: float
    ) -> tuple[float, float, float]:
        version = self._state.engines[backend_id].version
        assert version is not None
        verdict = self._dispatch_verdict(sample, backend_id, version, sample.token_count, now)
        expires = float(verdict is DispatchVerdict.WOULD_EXPIRE)
        load = float(self._state.load_on(backend_id))
        if self._policy.newest_version_first:
            return (expires, float(-version), load)
        return (expires if self._policy.avoid_expiry else 0.0, load, float(-version))

    def _newest_version(self) -> WeightVersion:
        versions = [engine.version for engine in self._state.engines.values()]
        known = [version for version in versions if version is not None]
        return max(known, default=WeightVersion(0))

    def is_deferred(self, sample: TrackedSample) -> bool:
        """Return whether a short sample waits until its step is next and has its weights."""
        forecast = self._state.forecast
        if self._policy.defer_below_quantile <= 0.0 or sample.spans:
            return False
        is_next_step = sample.key.step <= forecast.next_step
        if is_next_step and forecast.newest_version >= forecast.next_version:
            return False
        expected = self._lengths.expected_tokens(sample.prompt.group)
        return expected < self._lengths.quantile(self._policy.defer_below_quantile)

    def best_move(self, sample: TrackedSample, now: float) -> Move | None:
        """Return the best move of a running sample; ``None`` if no move saves time."""
        source = sample.backend_id
        # A sample without new tokens since its last start is not moved again.
        if source is None or source not in self._state.engines or sample.awaits_tokens:
            return None
        stay_seconds = self.expected_seconds(sample, source, sample.token_count)
        best: Move | None = None
        for backend_id, engine in self._state.engines.items():
            version = engine.version
            difference = self._state.load_on(source) - self._state.load_on(backend_id)
            if version is None or difference <= MIN_MOVE_LOAD_DIFFERENCE:
                continue
            verdict = self._dispatch_verdict(sample, backend_id, version, sample.token_count, now)
            if verdict is not DispatchVerdict.ALLOWED or not self.has_free_slot(backend_id, now):
                continue
            move_seconds = self.expected_seconds(sample, backend_id, sample.token_count)
            gain = stay_seconds - move_seconds - self._policy.move_cost_seconds
            if gain > 0 and (best is None or gain > best.gain_seconds):
                best = Move(sample=sample, backend_id=backend_id, gain_seconds=gain)
        return best
