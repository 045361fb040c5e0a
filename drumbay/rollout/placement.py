"""Choice of an engine for a sample, from expected finish times and weight versions."""

import math

import msgspec

from drumbay.explain.records import CandidateVerdict, RejectionReason
from drumbay.identifiers import BackendId, WeightVersion
from drumbay.rollout.lengths import LengthEstimator
from drumbay.rollout.policy import SchedulingPolicy
from drumbay.rollout.scheduler_state import SchedulerState, TrackedSample
from drumbay.rollout.staleness import DispatchVerdict, judge_dispatch

MIN_MOVE_DIFFERENCE = 2
"""A move needs batches that differ by more than this, so that it does not go back."""


class Move(msgspec.Struct, frozen=True, kw_only=True):
    """A move of a running sample to an emptier engine."""

    sample: TrackedSample
    backend_id: BackendId
    gain_seconds: float


class Placement:
    """Judges engines for samples; changes nothing."""

    def __init__(
        self, policy: SchedulingPolicy, state: SchedulerState, lengths: LengthEstimator
    ) -> None:
        """Use the scheduler's state and observed lengths."""
        self._policy = policy
        self._state = state
        self._lengths = lengths

    def is_doomed(self, sample: TrackedSample, now: float) -> bool:
        """Return whether starting anew elsewhere is expected to succeed where this fails."""
        oldest = sample.oldest_version
        if oldest is None or sample.backend_id not in self._state.engines:
            return False
        finish_at = now + self.expected_seconds(sample, sample.backend_id, sample.token_count)
        if oldest >= self._state.forecast.accepted_when_taken(sample.key.step, finish_at):
            return False
        return any(
            engine.version is not None
            and engine.version > oldest
            and self._judge(sample, backend_id, engine.version, 0, now) is DispatchVerdict.ALLOWED
            and self.has_room(backend_id, now)
            for backend_id, engine in self._state.engines.items()
        )

    def expected_seconds(
        self, sample: TrackedSample, backend_id: BackendId, kept_tokens: int
    ) -> float:
        """Return how long a sample with this many tokens is expected to take."""
        batch = self._state.batch_on(backend_id)
        if sample.backend_id != backend_id:
            batch += 1
        rate = self._state.engines[backend_id].rate
        remaining = self._lengths.expected_remaining(sample.prompt.group, kept_tokens)
        return remaining * rate.seconds_per_token(batch)

    def _judge(
        self,
        sample: TrackedSample,
        backend_id: BackendId,
        version: WeightVersion,
        kept_tokens: int,
        now: float,
    ) -> DispatchVerdict:
        oldest = sample.oldest_with(version) if kept_tokens else version
        finish_at = now + self.expected_seconds(sample, backend_id, kept_tokens)
        return judge_dispatch(oldest, self._state.forecast, sample.key.step, finish_at)

    def has_room(self, backend_id: BackendId, now: float) -> bool:
        """Return whether an engine may take one more rollout now."""
        engine = self._state.engines[backend_id]
        return engine.not_before <= now and self._state.batch_on(backend_id) < engine.report.slots

    def any_room(self, now: float) -> bool:
        """Return whether any engine may take one more rollout now."""
        return any(self.has_room(backend_id, now) for backend_id in self._state.engines)

    def choose_engine(self, sample: TrackedSample, now: float) -> BackendId | None:
        """Return the best engine that may take a sample now."""
        best: BackendId | None = None
        best_cost = (math.inf, math.inf, math.inf)
        for backend_id in self._state.engines:
            if self._rejection(sample, backend_id, now) is not None:
                continue
            cost = self._cost(sample, backend_id, now)
            if cost < best_cost:
                best, best_cost = backend_id, cost
        return best

    def candidates(
        self, sample: TrackedSample, chosen: BackendId, now: float
    ) -> tuple[CandidateVerdict, ...]:
        """Return every engine as the choice for a sample saw it, the chosen one first."""
        others = [backend_id for backend_id in self._state.engines if backend_id != chosen]
        verdicts = [self._verdict(sample, chosen, None, now)]
        for backend_id in others:
            rejection = self._rejection(sample, backend_id, now) or RejectionReason.HIGHER_COST
            verdicts.append(self._verdict(sample, backend_id, rejection, now))
        return tuple(verdicts)

    def _verdict(
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
            outstanding=self._state.batch_on(backend_id),
        )

    def _rejection(
        self, sample: TrackedSample, backend_id: BackendId, now: float
    ) -> RejectionReason | None:
        """Return why an engine may not take a sample now."""
        engine = self._state.engines[backend_id]
        version = engine.version
        if engine.not_before > now:
            return RejectionReason.CIRCUIT_OPEN
        if not self.has_room(backend_id, now):
            return RejectionReason.OVERLOADED
        if version is None:
            return RejectionReason.VERSION
        newest = max(self._newest_version(), self._state.forecast.newest_version)
        verdict = self._judge(sample, backend_id, version, sample.token_count, now)
        if verdict is DispatchVerdict.NOT_ACCEPTED:
            return RejectionReason.VERSION
        # NOTE: on the newest weights nothing better can be had, so the sample starts.
        expires = verdict is DispatchVerdict.WOULD_EXPIRE and self._policy.avoid_expiry
        if version < newest and (expires or self._awaits_load(now)):
            return RejectionReason.VERSION
        return None

    def _awaits_load(self, now: float) -> bool:
        """Return whether engines are still expected to load the newest version."""
        since_publication = now - self._state.newest_published_at
        return (
            self._policy.newest_version_first and since_publication < self._policy.load_wait_seconds
        )

    def should_restart(self, sample: TrackedSample, backend_id: BackendId, now: float) -> bool:
        """Return whether held tokens would expire although a new start would not."""
        version = self._state.engines[backend_id].version
        if version is None or not sample.spans or not self._policy.avoid_expiry:
            return False
        resumed = self._judge(sample, backend_id, version, sample.token_count, now)
        started = self._judge(sample, backend_id, version, 0, now)
        return resumed is not DispatchVerdict.ALLOWED and started is DispatchVerdict.ALLOWED

    def _cost(
        self, sample: TrackedSample, backend_id: BackendId, now: float
    ) -> tuple[float, float, float]:
        version = self._state.engines[backend_id].version
        assert version is not None
        verdict = self._judge(sample, backend_id, version, sample.token_count, now)
        expires = float(verdict is DispatchVerdict.WOULD_EXPIRE)
        batch = float(self._state.batch_on(backend_id))
        if self._policy.newest_version_first:
            return (expires, float(-version), batch)
        return (expires if self._policy.avoid_expiry else 0.0, batch, float(-version))

    def _newest_version(self) -> WeightVersion:
        versions = [engine.version for engine in self._state.engines.values()]
        known = [version for version in versions if version is not None]
        return max(known, default=WeightVersion(0))

    def is_held(self, sample: TrackedSample) -> bool:
        """Return whether a short sample waits for the weights of its step's turn."""
        forecast = self._state.forecast
        if self._policy.hold_below_quantile <= 0.0 or sample.spans:
            return False
        its_turn = sample.key.step <= forecast.next_step
        if its_turn and forecast.newest_version >= forecast.version_next:
            return False
        expected = self._lengths.expected_tokens(sample.prompt.group)
        return expected < self._lengths.quantile(self._policy.hold_below_quantile)

    def best_move(self, sample: TrackedSample, now: float) -> Move | None:
        """Return the best move of a running sample, if one gains more than it costs."""
        source = sample.backend_id
        # NOTE: a sample that has produced nothing since its last move stays where it is.
        if source is None or source not in self._state.engines or sample.awaits_tokens:
            return None
        stay_seconds = self.expected_seconds(sample, source, sample.token_count)
        best: Move | None = None
        for backend_id, engine in self._state.engines.items():
            version = engine.version
            difference = self._state.batch_on(source) - self._state.batch_on(backend_id)
            if version is None or difference <= MIN_MOVE_DIFFERENCE:
                continue
            verdict = self._judge(sample, backend_id, version, sample.token_count, now)
            if verdict is not DispatchVerdict.ALLOWED or not self.has_room(backend_id, now):
                continue
            move_seconds = self.expected_seconds(sample, backend_id, sample.token_count)
            gain = stay_seconds - move_seconds - self._policy.move_cost_seconds
            if gain > 0 and (best is None or gain > best.gain_seconds):
                best = Move(sample=sample, backend_id=backend_id, gain_seconds=gain)
        return best
