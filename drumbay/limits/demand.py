"""Sliding-window counter and peak, from which recent demand and service rates are estimated."""


class RecentCounter:
    """Counts events over a sliding window, approximated by two fixed windows.

    The count of the previous window is weighted by the fraction of it that the sliding window
    still covers.
    """

    def __init__(self, window_seconds: float, now: float) -> None:
        """Create a counter at zero."""
        self._window_seconds = window_seconds
        self._started_at = now
        self._current = 0
        self._previous = 0

    def add(self, now: float, amount: int = 1) -> None:
        """Count ``amount`` events at ``now``."""
        self._advance(now)
        self._current += amount

    def count(self, now: float) -> float:
        """Return the approximate number of events in the window that ends at ``now``."""
        self._advance(now)
        elapsed_share = min(1.0, max(0.0, (now - self._started_at) / self._window_seconds))
        return self._current + self._previous * (1.0 - elapsed_share)

    def rate_per_second(self, now: float) -> float:
        """Return the approximate number of events per second."""
        return self.count(now) / self._window_seconds

    def _advance(self, now: float) -> None:
        elapsed_windows = int((now - self._started_at) / self._window_seconds)
        if elapsed_windows < 1:
            return
        self._previous = self._current if elapsed_windows == 1 else 0
        self._current = 0
        self._started_at += elapsed_windows * self._window_seconds


class RecentPeak:
    """Tracks the largest value in the current and the previous window."""

    def __init__(self, window_seconds: float, now: float) -> None:
        """Create a tracker whose peak is zero."""
        self._window_seconds = window_seconds
        self._started_at = now
        self._current = 0
        self._previous = 0

    def observe(self, now: float, value: int) -> None:
        """Record the value from ``now`` on."""
        self._advance(now, value)
        self._current = max(self._current, value)

    def peak(self, now: float, value: int) -> int:
        """Return the peak at ``now``, given the current value."""
        self._advance(now, value)
        return max(self._current, self._previous, value)

    def _advance(self, now: float, value: int) -> None:
        elapsed_windows = int((now - self._started_at) / self._window_seconds)
        if elapsed_windows < 1:
            return
        self._previous = self._current if elapsed_windows == 1 else value
        self._current = value
        self._started_at += elapsed_windows * self._window_seconds
