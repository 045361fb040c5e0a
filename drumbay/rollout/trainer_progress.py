"""Tracks a trainer's steps from its pull requests, to forecast the versions that it accepts."""

from collections.abc import Sequence

from drumbay.identifiers import WeightVersion
from drumbay.rollout.staleness import StalenessForecast

DEFAULT_STEP_SECONDS = 60.0


class TrainerProgress:
    """Tracks the progress of one trainer; does no I/O.

    A trainer collects the samples of a step, trains, publishes a version, and then pulls with a
    higher oldest accepted version. Its own version is assumed to be that version plus the
    configured staleness bound.
    """

    def __init__(
        self, max_staleness_versions: int, samples_per_step: int, oldest_accepted: WeightVersion
    ) -> None:
        """Start with a trainer that is collecting samples.

        Args:
            max_staleness_versions: Configured staleness bound.
            samples_per_step: Number of samples of a step.
            oldest_accepted: Oldest version that the trainer accepts.
        """
        self._max_staleness_versions = max_staleness_versions
        self._samples_per_step = samples_per_step
        self._oldest_accepted = oldest_accepted
        self._delivered_at_step_start = 0
        self._step_started_at: float | None = None
        self._step_seconds = DEFAULT_STEP_SECONDS

    @property
    def oldest_accepted(self) -> WeightVersion:
        """Return the oldest version that the trainer accepts."""
        return self._oldest_accepted

    def record_pull(
        self, oldest_accepted: WeightVersion, delivered_samples: int, now: float
    ) -> None:
        """Record a pull request of the trainer.

        Args:
            oldest_accepted: Oldest version that the trainer accepts.
            delivered_samples: Number of samples delivered in batches before this pull.
            now: Monotonic time in seconds.
        """
        if oldest_accepted > self._oldest_accepted:
            if self._step_started_at is not None:
                self._step_seconds = now - self._step_started_at
            self._step_started_at = now
            self._oldest_accepted = oldest_accepted
            self._delivered_at_step_start = delivered_samples
        elif self._has_complete_step(delivered_samples):
            # The trainer starts the step over, e.g. after a restart.
            self._delivered_at_step_start = delivered_samples

    def _has_complete_step(self, delivered_samples: int) -> bool:
        return delivered_samples - self._delivered_at_step_start >= self._samples_per_step

    def forecast(
        self, delivered_samples: int, outstanding_steps: Sequence[int], now: float
    ) -> StalenessForecast:
        """Return a forecast of the versions that the trainer accepts.

        Args:
            delivered_samples: Number of samples delivered in batches so far.
            outstanding_steps: Steps of the undelivered samples, in ascending order.
            now: Monotonic time in seconds.
        """
        is_training = self._has_complete_step(delivered_samples)
        collected = 0 if is_training else delivered_samples - self._delivered_at_step_start
        version_increase = 1 if is_training else 0
        # While the oldest accepted version is 0, the trainer's own version is unknown.
        version = (
            self._oldest_accepted + self._max_staleness_versions if self._oldest_accepted > 0 else 0
        )
        collection_at = now
        if is_training and self._step_started_at is not None:
            collection_at = max(now, self._step_started_at + self._step_seconds)
        return StalenessForecast(
            oldest_accepted=self._oldest_accepted,
            next_oldest_accepted=WeightVersion(self._oldest_accepted + version_increase),
            newest_version=WeightVersion(version),
            next_version=WeightVersion(version + version_increase),
            next_step=self._next_step(collected, outstanding_steps),
            next_collection_at=collection_at,
            interval_seconds=self._step_seconds,
        )

    def _next_step(self, collected: int, outstanding_steps: Sequence[int]) -> int:
        """Return the step of the last sample that completes the next batch."""
        if not outstanding_steps:
            return 0
        remaining = max(1, self._samples_per_step - collected)
        return outstanding_steps[min(remaining, len(outstanding_steps)) - 1]
