"""Durations of the last answered attempts of one route, and what follows from them.

Pure: the newest hundred durations in, order statistics out.
"""

from collections import deque

HEDGE_QUANTILE = 0.95
"""Nearly all attempts of a route end sooner; the rest are worth a second copy."""

MIN_HEDGE_DELAY_SECONDS = 0.02
"""A second copy sent sooner would arrive together with most answers."""

MIN_OBSERVATIONS = 20
"""With fewer, the quantile is just the slowest one seen."""

MAX_OBSERVATIONS = 100
"""Enough for the quantile, few enough to follow a change of the route."""

MIN_OBSERVATIONS_OF_USUAL = 3
"""The median of fewer durations may be that of a single slow back end."""


class RecentLatency:
    """Durations of the last answered attempts of one route."""

    def __init__(self) -> None:
        """Start without observations."""
        self._seconds: deque[float] = deque(maxlen=MAX_OBSERVATIONS)

    def observe(self, seconds: float) -> None:
        """Take in the duration of one answered attempt."""
        self._seconds.append(seconds)

    def usual_seconds(self) -> float | None:
        """Return the median duration; ``None`` while too little is known."""
        if len(self._seconds) < MIN_OBSERVATIONS_OF_USUAL:
            return None
        return sorted(self._seconds)[len(self._seconds) // 2]

    def hedge_delay_seconds(self) -> float | None:
        """Return after how long an attempt counts as slow; ``None`` while too little is known."""
        if len(self._seconds) < MIN_OBSERVATIONS:
            return None
        slow = sorted(self._seconds)[int(HEDGE_QUANTILE * len(self._seconds))]
        return max(MIN_HEDGE_DELAY_SECONDS, slow)
