"""What the owner of a stream knows of its trainer, from the trainer's pulls alone."""

from drumbay.identifiers import WeightVersion
from drumbay.rollout.staleness import FloorForecast

COLLECTING_SECONDS = 3.0
"""A trainer that pulled within this time is collecting samples, not training."""

DEFAULT_INTERVAL_SECONDS = 60.0


class TrainerView:
    """Forecasts the versions that a trainer accepts.

    A trainer that collects accepts, for the step it collects, what it accepts now. One that
    trains will accept one version less when it collects again.

    Args:
        floor: Oldest accepted version recorded in the stream's log.
        now: Monotonic time in seconds.
    """

    def __init__(self, floor: WeightVersion, now: float) -> None:
        """Start from the recorded floor."""
        self._floor = floor
        self._rose_at = now
        self._pulled_at: float | None = None
        self._interval_seconds = DEFAULT_INTERVAL_SECONDS
        self._next_step = 0
        self._newest_version = WeightVersion(0)

    @property
    def floor(self) -> WeightVersion:
        """Return the oldest version that the trainer has said it accepts."""
        return self._floor

    def observe_pull(self, oldest_version: WeightVersion, now: float) -> bool:
        """Take note of a pull; return whether the floor rose."""
        self._pulled_at = now
        if oldest_version <= self._floor:
            return False
        if self._floor > 0:
            self._interval_seconds = max(now - self._rose_at, COLLECTING_SECONDS)
        self._floor = oldest_version
        self._rose_at = now
        return True

    def observe_work(self, next_step: int, newest_version: WeightVersion) -> None:
        """Take note of the earliest unfinished step and the newest version on engines."""
        self._next_step = next_step
        self._newest_version = newest_version

    def forecast(self, now: float) -> FloorForecast:
        """Return the forecast at ``now``."""
        is_collecting = self._pulled_at is not None and now - self._pulled_at < COLLECTING_SECONDS
        has_pulled = self._pulled_at is not None
        rise = 1 if has_pulled and not is_collecting else 0
        return FloorForecast(
            accepted=self._floor,
            accepted_next=WeightVersion(self._floor + rise),
            newest_version=self._newest_version,
            version_next=WeightVersion(self._newest_version + rise),
            next_step=self._next_step,
            next_collection_at=max(now, self._rose_at + self._interval_seconds) if rise else now,
            interval_seconds=self._interval_seconds,
        )
