"""Estimates a worker's token rate from the intervals between stream events.

Single intervals are unreliable: a run may have been preempted, or this process may have read
several events at once. The estimate is therefore the median of recent intervals, and long-term
values are medians of such medians, sampled at fixed intervals.
"""

import statistics
from collections import deque

INTERVAL_SAMPLES = 7
"""Number of intervals that a median is computed from; a slowdown shows in it after four of them."""

SAMPLE_LIFETIME_SECONDS = 4.0
"""Age after which samples are discarded, since the worker's rate may have changed."""

ACTIVITY_SECONDS = 1.0
"""A worker that sent an event within this time counts as alive."""

FALLBACK_MEDIANS = 9
MEDIAN_SPACING_SECONDS = 0.5
"""Number and spacing of the medians used when recent samples are missing. They span more than the
start of a batch job, during which event times are not representative."""

MIN_FALLBACK_MEDIANS = 3
"""Fewer could all stem from the start of one batch job."""

BASELINE_MEDIANS = 40
"""Number of medians that the long-term baseline is computed from."""

MIN_BASELINE_MEDIANS = 8
"""With fewer, a temporary slowdown would be taken for the baseline."""

SUSTAINED_SECONDS = 0.8
"""Slowdowns shorter than this are ignored; they are common on shared machines."""


class EventIntervalEstimate:
    """Seconds between events on one worker, over all of this node's runs there."""

    def __init__(self) -> None:
        """Start without samples."""
        self._samples: deque[float] = deque(maxlen=INTERVAL_SAMPLES)
        self._last_sample_at = float("-inf")
        self._fallback_medians: deque[float] = deque(maxlen=FALLBACK_MEDIANS)
        self._baseline_medians: deque[float] = deque(maxlen=BASELINE_MEDIANS)
        self._recent_medians: deque[tuple[float, float]] = deque()
        self._median_stored_at = float("-inf")

    def observe(self, seconds: float, now: float) -> None:
        """Record the seconds between two events of a run."""
        if now - self._last_sample_at > SAMPLE_LIFETIME_SECONDS:
            self._samples.clear()
        self._samples.append(seconds)
        self._last_sample_at = now
        if len(self._samples) < INTERVAL_SAMPLES:
            return
        median = statistics.median_low(self._samples)
        self._recent_medians.append((now, median))
        while self._recent_medians[0][0] < now - SUSTAINED_SECONDS:
            self._recent_medians.popleft()
        if now - self._median_stored_at >= MEDIAN_SPACING_SECONDS:
            self._fallback_medians.append(median)
            self._baseline_medians.append(median)
            self._median_stored_at = now

    def is_active(self, now: float) -> bool:
        """Return whether the worker sent an event recently."""
        return now - self._last_sample_at < ACTIVITY_SECONDS

    def is_active_since(self, since: float) -> bool:
        """Return whether the worker sent an event after a monotonic time."""
        return self._last_sample_at > since

    def recent(self, now: float) -> float | None:
        """Return the median of recent intervals; ``None`` if there are too few."""
        is_known = len(self._samples) == INTERVAL_SAMPLES
        if not is_known or now - self._last_sample_at > SAMPLE_LIFETIME_SECONDS:
            return None
        return statistics.median_low(self._samples)

    def sustained(self, now: float) -> float | None:
        """Return the lowest recent median, which short slowdowns do not affect.

        ``None`` if the medians span too little time.
        """
        if self.recent(now) is None:
            return None
        if self._recent_medians[-1][0] - self._recent_medians[0][0] < SUSTAINED_SECONDS / 2:
            return None
        return min(median for _, median in self._recent_medians)

    def baseline(self) -> float | None:
        """Return the long-term baseline; ``None`` with too few samples."""
        if len(self._baseline_medians) < MIN_BASELINE_MEDIANS:
            return None
        return statistics.median_low(self._baseline_medians)

    def _fallback_median(self) -> float | None:
        if len(self._fallback_medians) < MIN_FALLBACK_MEDIANS:
            return None
        return statistics.median_low(self._fallback_medians)

    def current(self, now: float) -> float | None:
        """Return the recent median, else the fallback from earlier medians.

        ``None`` if too few events were ever received.
        """
        recent = self.recent(now)
        return recent if recent is not None else self._fallback_median()
