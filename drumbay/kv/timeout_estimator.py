"""Adaptive timeout for calls to the key-value store, based on observed response times.

Like the TCP retransmission timer (RFC 6298), it combines a smoothed response time and its variation
and doubles after each timeout. Lost responses are detected quickly, yet a store that has become
slow is still given enough time.
"""

SMOOTHING = 0.125
VARIATION_SMOOTHING = 0.25
VARIATION_FACTOR = 4.0
MIN_TIMEOUT_SECONDS = 0.35
MAX_TIMEOUT_SECONDS = 1.0


class TimeoutEstimator:
    """Estimates the timeout of the next call."""

    def __init__(self) -> None:
        """Start with the maximum timeout, until a response has been observed."""
        self._smoothed_seconds: float | None = None
        self._variation_seconds = 0.0
        self._backoff = 1.0

    @property
    def timeout_seconds(self) -> float:
        """Return how long to wait for a response."""
        if self._smoothed_seconds is None:
            return MAX_TIMEOUT_SECONDS
        limit = self._smoothed_seconds + VARIATION_FACTOR * self._variation_seconds
        return min(MAX_TIMEOUT_SECONDS, max(MIN_TIMEOUT_SECONDS, limit) * self._backoff)

    def record_response(self, seconds: float) -> None:
        """Record the response time of a call."""
        self._backoff = 1.0
        if self._smoothed_seconds is None:
            self._smoothed_seconds = seconds
            self._variation_seconds = seconds / 2
            return
        deviation = abs(self._smoothed_seconds - seconds)
        self._variation_seconds += VARIATION_SMOOTHING * (deviation - self._variation_seconds)
        self._smoothed_seconds += SMOOTHING * (seconds - self._smoothed_seconds)

    def record_timeout(self) -> None:
        """Record that a call timed out."""
        self._backoff = min(self._backoff * 2.0, MAX_TIMEOUT_SECONDS / MIN_TIMEOUT_SECONDS)
