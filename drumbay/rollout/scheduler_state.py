"""What the rollout scheduler knows about samples and engines."""

import math

import msgspec

from drumbay.identifiers import BackendId, WeightVersion
from drumbay.rollout.decode_rate import DecodeRateModel
from drumbay.rollout.events import EngineReported, WantedSample
from drumbay.rollout.sample import RolloutPrompt, SampleKey, TokenSpan
from drumbay.rollout.staleness import FloorForecast, accepted_prefix

STAMP_VALIDITY_SECONDS = 30.0
"""How long a stamp overrides the version that its engine reports."""

FIRST_BACKOFF_SECONDS = 1.0
MAX_BACKOFF_DOUBLINGS = 5
NO_FORECAST = FloorForecast(accepted=WeightVersion(0), accepted_next=WeightVersion(0))


class TrackedSample(msgspec.Struct, kw_only=True):
    """One sample that is queued or running.

    Attributes:
        key: The sample.
        prompt: What to complete.
        spans: Origin of the tokens held.
        attempt: Number of the running attempt; ``None`` while queued.
        backend_id: Engine of the running attempt.
        version: Version that the running attempt was dispatched under.
        kept_tokens: Tokens held when the running attempt started.
        last_chunk_at: When tokens arrived last, or the attempt started.
        not_before: Earliest time of the next attempt.
    """

    key: SampleKey
    prompt: RolloutPrompt
    spans: tuple[TokenSpan, ...] = ()
    attempt: int | None = None
    backend_id: BackendId | None = None
    version: WeightVersion | None = None
    kept_tokens: int = 0
    last_chunk_at: float = 0.0
    not_before: float = 0.0

    @property
    def token_count(self) -> int:
        """Return the number of tokens held."""
        return sum(span.token_count for span in self.spans)

    @property
    def awaits_tokens(self) -> bool:
        """Return whether the running attempt has produced nothing yet."""
        return self.token_count == self.kept_tokens

    @property
    def oldest_version(self) -> WeightVersion | None:
        """Return the oldest version among the tokens held."""
        return min((span.weight_version for span in self.spans), default=None)

    def oldest_with(self, version: WeightVersion) -> WeightVersion:
        """Return the oldest version after more tokens of ``version``."""
        oldest = self.oldest_version
        return version if oldest is None else min(oldest, version)

    def keep_accepted(self, accepted: WeightVersion) -> None:
        """Drop the tokens from the first span on that is not accepted."""
        kept = accepted_prefix(self.spans, accepted)
        self.spans = tuple(span for span in self.spans if span.first_index < kept)


class TrackedEngine(msgspec.Struct, kw_only=True):
    """One engine.

    Attributes:
        report: Newest report.
        stamped_version: Version that the engine stamped under this reported version, where
            it differs. A swap that failed though acknowledged shows up here.
        stamped_at: When a chunk was stamped last.
        not_before: Earliest time of the next dispatch.
        failures: Attempts in a row that failed without a token.
        rate: Time per token by batch size.
    """

    report: EngineReported
    stamped_version: WeightVersion | None = None
    stamped_at: float = 0.0
    not_before: float = 0.0
    failures: int = 0
    rate: DecodeRateModel

    @property
    def version(self) -> WeightVersion | None:
        """Return the version that is expected to produce the next tokens."""
        if self.report.version is None or self.stamped_version is None:
            return self.report.version
        return self.stamped_version

    @property
    def named_version(self) -> WeightVersion | None:
        """Return the version that a request must name for the engine to take it.

        An engine whose swap failed though acknowledged claims the newer version; a report
        that lags behind a swap claims the older one.
        """
        if self.report.version is None or self.stamped_version is None:
            return self.report.version
        return max(self.report.version, self.stamped_version)

    def update(self, report: EngineReported, now: float) -> None:
        """Take a newer report.

        A stamp is forgotten once the reported version changes, and after a while: the
        engine may have been mended under the same version.
        """
        expired = now - self.stamped_at >= STAMP_VALIDITY_SECONDS
        if report.version != self.report.version or expired:
            self.stamped_version = None
        self.report = report

    def observe_failure(self, now: float, retry_after_seconds: float | None) -> None:
        """Leave the engine alone for a time that doubles with each failure in a row.

        An engine that fails at once would otherwise look like the least loaded one.
        """
        doublings = min(self.failures, MAX_BACKOFF_DOUBLINGS)
        self.failures += 1
        backoff_seconds = retry_after_seconds or FIRST_BACKOFF_SECONDS * 2**doublings
        self.not_before = max(self.not_before, now + backoff_seconds)

    def observe_stamp(self, version: WeightVersion, now: float) -> None:
        """Take the version of a chunk, which is the truth whatever was reported."""
        self.failures = 0
        self.stamped_version = None if version == self.report.version else version
        self.stamped_at = now


class SchedulerState:
    """Samples and engines, with the counts that decisions need."""

    def __init__(self) -> None:
        """Create an empty state."""
        self.samples: dict[SampleKey, TrackedSample] = {}
        self.engines: dict[BackendId, TrackedEngine] = {}
        self.step_sizes: dict[int, int] = {}
        self.forecast = NO_FORECAST
        self.newest_published_at = -math.inf
        self._running_on: dict[BackendId, int] = {}

    def update_forecast(self, forecast: FloorForecast, now: float) -> None:
        """Take a newer forecast."""
        if forecast.newest_version > self.forecast.newest_version:
            self.newest_published_at = now
        self.forecast = forecast

    def queued(self) -> list[TrackedSample]:
        """Return the samples that wait for an engine."""
        return [sample for sample in self.samples.values() if sample.attempt is None]

    def running(self) -> list[TrackedSample]:
        """Return the samples that have an attempt under way."""
        return [sample for sample in self.samples.values() if sample.attempt is not None]

    def running_on(self, backend_id: BackendId) -> int:
        """Return the number of attempts under way on an engine."""
        return self._running_on.get(backend_id, 0)

    def batch_on(self, backend_id: BackendId) -> int:
        """Return the batch of an engine, other work included."""
        engine = self.engines.get(backend_id)
        other_load = 0 if engine is None else engine.report.other_load
        return self.running_on(backend_id) + other_load

    def update_step_sizes(self) -> None:
        """Remember the largest number of samples that each step had at once."""
        counts: dict[int, int] = {}
        for key in self.samples:
            counts[key.step] = counts.get(key.step, 0) + 1
        self.step_sizes = {
            step: max(count, self.step_sizes.get(step, 0)) for step, count in counts.items()
        }

    def start_attempt(
        self,
        sample: TrackedSample,
        attempt: int,
        backend_id: BackendId,
        version: WeightVersion,
        now: float,
    ) -> None:
        """Record that an attempt of a queued sample starts."""
        sample.attempt = attempt
        sample.backend_id = backend_id
        sample.version = version
        sample.kept_tokens = sample.token_count
        sample.last_chunk_at = now
        self._running_on[backend_id] = self.running_on(backend_id) + 1

    def end_attempt(self, sample: TrackedSample) -> None:
        """Record that the attempt of a running sample ended."""
        if sample.backend_id is not None:
            self._running_on[sample.backend_id] -= 1
        sample.attempt = None
        sample.backend_id = None
        sample.version = None

    def attempt(self, key: SampleKey, attempt: int) -> TrackedSample | None:
        """Return the sample of an attempt, or ``None`` if the attempt is not current."""
        sample = self.samples.get(key)
        return sample if sample is not None and sample.attempt == attempt else None

    def add_wanted(self, wanted: WantedSample) -> None:
        """Queue a sample unless it is known."""
        if wanted.key not in self.samples:
            self.samples[wanted.key] = TrackedSample(key=wanted.key, prompt=wanted.prompt)
