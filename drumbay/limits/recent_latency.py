"""Latency of recent attempts of one route: median and hedge delay."""

from collections import deque

HEDGE_QUANTILE = 0.95
"""Attempts slower than this quantile are hedged."""

MIN_HEDGE_DELAY_SECONDS = 0.02
"""Lower bound of the hedge delay; a hedge sent sooner would arrive together with most responses."""

MIN_OBSERVATIONS = 20
"""With fewer observations, the quantile would be the maximum."""

MAX_OBSERVATIONS = 100

MIN_OBSERVATIONS_FOR_MEDIAN = 3
"""With fewer observations, a single slow back end may determine the median."""


class RecentLatency:
    """Keeps the latencies of the latest attempts of one route that got a response."""

    def __init__(self) -> None:
        """Start without observations."""
        self._seconds: deque[float] = deque(maxlen=MAX_OBSERVATIONS)

    def observe(self, seconds: float) -> None:
        """Record the latency of an attempt that got a response."""
        self._seconds.append(seconds)

    def median_seconds(self) -> float | None:
        """Return the median latency; ``None`` with too few observations."""
        if len(self._seconds) < MIN_OBSERVATIONS_FOR_MEDIAN:
            return None
        return sorted(self._seconds)[len(self._seconds) // 2]

    def hedge_delay_seconds(self) -> float | None:
        """Return the delay before an attempt is hedged; ``None`` with too few observations."""
        if len(self._seconds) < MIN_OBSERVATIONS:
            return None
        quantile_seconds = sorted(self._seconds)[int(HEDGE_QUANTILE * len(self._seconds))]
        return max(MIN_HEDGE_DELAY_SECONDS, quantile_seconds)
