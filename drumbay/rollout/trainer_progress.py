"""What is known of a trainer's steps from its pulls, as a forecast for the scheduler."""

from collections.abc import Sequence

from drumbay.identifiers import WeightVersion
from drumbay.rollout.staleness import FloorForecast

DEFAULT_STEP_SECONDS = 60.0


class TrainerProgress:
    """Follows one trainer; pure.

    A trainer collects samples until it has those of a step, trains, publishes a version and
    then pulls with a higher oldest accepted version. Its version is taken to be that one
    plus the agreed bound. The forecast only saves work; it decides nothing about the bound.
    """

    def __init__(
        self, max_staleness_versions: int, samples_per_step: int, oldest_accepted: WeightVersion
    ) -> None:
        """Start with a trainer that collects.

        Args:
            max_staleness_versions: Agreed bound.
            samples_per_step: Samples that make a step whole.
            oldest_accepted: Oldest version that the trainer is known to accept.
        """
        self._bound = max_staleness_versions
        self._samples_per_step = samples_per_step
        self._oldest_accepted = oldest_accepted
        self._delivered_before = 0
        self._rose_at: float | None = None
        self._step_seconds = DEFAULT_STEP_SECONDS

    @property
    def oldest_accepted(self) -> WeightVersion:
        """Return the oldest version that the trainer is known to accept."""
        return self._oldest_accepted

    def observe_pull(
        self, oldest_accepted: WeightVersion, delivered_samples: int, now: float
    ) -> None:
        """Take note of a pull.

        Args:
            oldest_accepted: Oldest version that the trainer stated.
            delivered_samples: Samples in batches so far, before this pull.
            now: Monotonic time in seconds.
        """
        if oldest_accepted > self._oldest_accepted:
            if self._rose_at is not None:
                self._step_seconds = now - self._rose_at
            self._rose_at = now
            self._oldest_accepted = oldest_accepted
            self._delivered_before = delivered_samples
        elif self._has_whole_step(delivered_samples):
            # NOTE: it pulls again without a new version, e.g. after a restart.
            self._delivered_before = delivered_samples

    def _has_whole_step(self, delivered_samples: int) -> bool:
        return delivered_samples - self._delivered_before >= self._samples_per_step

    def forecast(
        self, delivered_samples: int, outstanding_steps: Sequence[int], now: float
    ) -> FloorForecast:
        """Return what the trainer is expected to accept later.

        Args:
            delivered_samples: Samples in batches so far.
            outstanding_steps: Steps of the samples in no batch, in ascending order.
            now: Monotonic time in seconds.
        """
        training = self._has_whole_step(delivered_samples)
        taken = 0 if training else delivered_samples - self._delivered_before
        rises = 1 if training else 0
        # NOTE: a trainer of few steps accepts version 0 whatever its own version is.
        version = self._oldest_accepted + self._bound if self._oldest_accepted > 0 else 0
        collection_at = now
        if training and self._rose_at is not None:
            collection_at = max(now, self._rose_at + self._step_seconds)
        return FloorForecast(
            accepted=self._oldest_accepted,
            accepted_next=WeightVersion(self._oldest_accepted + rises),
            newest_version=WeightVersion(version),
            version_next=WeightVersion(version + rises),
            next_step=self._next_step(taken, outstanding_steps),
            next_collection_at=collection_at,
            interval_seconds=self._step_seconds,
        )

    def _next_step(self, taken: int, outstanding_steps: Sequence[int]) -> int:
        """Return the step of the last sample that the next whole step needs."""
        if not outstanding_steps:
            return 0
        needed = max(1, self._samples_per_step - taken)
        return outstanding_steps[min(needed, len(outstanding_steps)) - 1]
