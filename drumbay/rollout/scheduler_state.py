"""Samples and engines tracked by the rollout scheduler."""

import math

import msgspec

from drumbay.identifiers import BackendId, WeightVersion
from drumbay.rollout.decode_rate import DecodeRateModel
from drumbay.rollout.events import EngineReported, WantedSample
from drumbay.rollout.sample import RolloutPrompt, SampleKey, TokenSpan
from drumbay.rollout.staleness import StalenessForecast, accepted_prefix

TOKEN_VERSION_VALIDITY_SECONDS = 30.0
"""How long the version of a token overrides the version that the engine reports."""

FIRST_BACKOFF_SECONDS = 1.0
MAX_BACKOFF_DOUBLINGS = 5
NO_FORECAST = StalenessForecast(
    oldest_accepted=WeightVersion(0), next_oldest_accepted=WeightVersion(0)
)


class TrackedSample(msgspec.Struct, kw_only=True):
    """One sample that is queued or running.

    Attributes:
        key: The sample.
        prompt: The prompt.
        spans: Origin of the tokens so far.
        attempt: Number of the running attempt; ``None`` while queued.
        backend_id: Engine of the running attempt.
        version: Version that the running attempt requested.
        kept_tokens: Number of tokens when the running attempt started.
        last_chunk_at: Time of the last chunk, or of the start of the attempt.
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
        """Return the number of tokens so far."""
        return sum(span.token_count for span in self.spans)

    @property
    def awaits_tokens(self) -> bool:
        """Return whether the running attempt has not generated any tokens yet."""
        return self.token_count == self.kept_tokens

    @property
    def oldest_version(self) -> WeightVersion | None:
        """Return the oldest version among the tokens; ``None`` without tokens."""
        return min((span.weight_version for span in self.spans), default=None)

    def oldest_version_with(self, version: WeightVersion) -> WeightVersion:
        """Return the oldest version if more tokens are generated with ``version``."""
        oldest = self.oldest_version
        return version if oldest is None else min(oldest, version)

    def drop_stale_tokens(self, oldest_accepted: WeightVersion) -> None:
        """Drop the first span that is too stale, and all tokens after it."""
        kept = accepted_prefix(self.spans, oldest_accepted)
        self.spans = tuple(span for span in self.spans if span.first_index < kept)


class TrackedEngine(msgspec.Struct, kw_only=True):
    """State of one engine.

    Attributes:
        report: Last report.
        token_version: Version of the last token, if it differs from the reported version,
            e.g. after a weight swap that failed although it was acknowledged.
        last_token_at: Time of the last chunk.
        not_before: Earliest time of the next dispatch.
        failures: Consecutive attempts that failed without a token.
        rate: Model of the time per token.
    """

    report: EngineReported
    token_version: WeightVersion | None = None
    last_token_at: float = 0.0
    not_before: float = 0.0
    failures: int = 0
    rate: DecodeRateModel

    @property
    def version(self) -> WeightVersion | None:
        """Return the version that is expected to generate the next tokens."""
        if self.report.version is None or self.token_version is None:
            return self.report.version
        return self.token_version

    @property
    def version_to_request(self) -> WeightVersion | None:
        """Return the version to request, so that the engine accepts the request.

        It is the newer of both versions: an engine expects the reported one after a weight swap
        that failed although it was acknowledged, and the observed one if its report is stale.
        """
        if self.report.version is None or self.token_version is None:
            return self.report.version
        return max(self.report.version, self.token_version)

    def update(self, report: EngineReported, now: float) -> None:
        """Apply a report.

        The observed version is discarded when the reported version changes, and expires since
        the engine may be repaired without a new version.
        """
        expired = now - self.last_token_at >= TOKEN_VERSION_VALIDITY_SECONDS
        if report.version != self.report.version or expired:
            self.token_version = None
        self.report = report

    def back_off(self, now: float, retry_after_seconds: float | None) -> None:
        """Back off exponentially after a failed attempt.

        An engine that fails immediately would otherwise appear to be the least loaded.
        """
        doublings = min(self.failures, MAX_BACKOFF_DOUBLINGS)
        self.failures += 1
        backoff_seconds = retry_after_seconds or FIRST_BACKOFF_SECONDS * 2**doublings
        self.not_before = max(self.not_before, now + backoff_seconds)

    def observe_token_version(self, version: WeightVersion, now: float) -> None:
        """Record the version of a chunk, which takes precedence over the reported one."""
        self.failures = 0
        self.token_version = None if version == self.report.version else version
        self.last_token_at = now


class SchedulerState:
    """Samples and engines with derived counts."""

    def __init__(self) -> None:
        """Create an empty state."""
        self.samples: dict[SampleKey, TrackedSample] = {}
        self.engines: dict[BackendId, TrackedEngine] = {}
        self.step_sizes: dict[int, int] = {}
        self.forecast = NO_FORECAST
        self.newest_published_at = -math.inf
        self._running_on: dict[BackendId, int] = {}

    def update_forecast(self, forecast: StalenessForecast, now: float) -> None:
        """Apply a forecast."""
        if forecast.newest_version > self.forecast.newest_version:
            self.newest_published_at = now
        self.forecast = forecast

    def queued(self) -> list[TrackedSample]:
        """Return the samples without a running attempt."""
        return [sample for sample in self.samples.values() if sample.attempt is None]

    def running(self) -> list[TrackedSample]:
        """Return the samples with a running attempt."""
        return [sample for sample in self.samples.values() if sample.attempt is not None]

    def running_on(self, backend_id: BackendId) -> int:
        """Return the number of running attempts on an engine."""
        return self._running_on.get(backend_id, 0)

    def load_on(self, backend_id: BackendId) -> int:
        """Return the load of an engine, including other requests."""
        engine = self.engines.get(backend_id)
        other_load = 0 if engine is None else engine.report.other_load
        return self.running_on(backend_id) + other_load

    def update_step_sizes(self) -> None:
        """Update the maximum number of samples that each step has had at once."""
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
        """Record the start of an attempt of a queued sample."""
        sample.attempt = attempt
        sample.backend_id = backend_id
        sample.version = version
        sample.kept_tokens = sample.token_count
        sample.last_chunk_at = now
        self._running_on[backend_id] = self.running_on(backend_id) + 1

    def end_attempt(self, sample: TrackedSample) -> None:
        """Record the end of the attempt of a running sample."""
        if sample.backend_id is not None:
            self._running_on[sample.backend_id] -= 1
        sample.attempt = None
        sample.backend_id = None
        sample.version = None

    def sample_of_attempt(self, key: SampleKey, attempt: int) -> TrackedSample | None:
        """Return the sample of an attempt; ``None`` if the attempt is not the current one."""
        sample = self.samples.get(key)
        return sample if sample is not None and sample.attempt == attempt else None

    def add_wanted(self, wanted: WantedSample) -> None:
        """Queue a sample unless it is already tracked."""
        if wanted.key not in self.samples:
            self.samples[wanted.key] = TrackedSample(key=wanted.key, prompt=wanted.prompt)
