"""Latency and failure rate of a worker's responses.

Latencies are relative to the typical latency of the route, because routes differ. Observations
decay, so that a worker that was slow or failing is used again.
"""

import math

OBSERVATION_DECAY_SECONDS = 10.0
"""Time constant of the exponential decay of observations. Workers turn slow for some seconds and
recover; with a shorter memory a node with few requests would try a slow worker again each time."""

LATENCY_SMOOTHING = 0.3
"""Weight of the newest response in the moving average of latencies."""

FAILURE_SMOOTHING = 0.3
"""Weight of the newest run in the moving average of failures."""


class ResponseStats:
    """Moving averages of a worker's relative latency and failure rate."""

    def __init__(self) -> None:
        """Start with the typical latency and no failures."""
        self._relative_latency = 1.0
        self._last_response_at = -math.inf
        self._failure_rate = 0.0
        self._last_run_at = -math.inf

    @property
    def last_run_at(self) -> float:
        """Return the time of the last run's end, successful or not; ``-inf`` if there was none."""
        return self._last_run_at

    def relative_latency(self, now: float) -> float:
        """Return the expected relative latency; 1 without recent data."""
        weight = decay_weight(now - self._last_response_at, OBSERVATION_DECAY_SECONDS)
        return 1.0 + (self._relative_latency - 1.0) * weight

    def failure_rate(self, now: float) -> float:
        """Return the expected share of failed runs; 0 without recent data."""
        return self._failure_rate * decay_weight(now - self._last_run_at, OBSERVATION_DECAY_SECONDS)

    def observe_response(self, relative_latency: float | None, now: float) -> None:
        """Record a response; its latency is ``None`` if the route's typical latency is unknown."""
        self._update_failure_rate(0.0, now)
        if relative_latency is not None:
            self._update_latency(relative_latency, now)

    def observe_cancelled_run(self, relative_latency: float, now: float) -> None:
        """Record a cancelled run; the given latency is a lower bound."""
        if relative_latency > self.relative_latency(now):
            self._update_latency(relative_latency, now)

    def observe_failure(self, now: float) -> None:
        """Record a failed run."""
        self._update_failure_rate(1.0, now)

    def _update_latency(self, relative_latency: float, now: float) -> None:
        expected = self.relative_latency(now)
        self._relative_latency = expected + LATENCY_SMOOTHING * (relative_latency - expected)
        self._last_response_at = now

    def _update_failure_rate(self, failed: float, now: float) -> None:
        expected = self.failure_rate(now)
        self._failure_rate = expected + FAILURE_SMOOTHING * (failed - expected)
        self._last_run_at = now


def decay_weight(age_seconds: float, time_constant_seconds: float) -> float:
    """Return the weight of an observation of this age, from 1 down to 0."""
    return math.exp(-max(0.0, age_seconds) / time_constant_seconds)
