"""Adaptive limit on the requests that one node has in flight at a service.

Nodes share an overloaded or slow service without exchanging messages: each one adapts its own limit
by additive increase and multiplicative decrease (Chiu and Jain 1989, section 2).
"""

import math

from drumbay.admission.records import ServiceCapacity

DECREASE_FACTOR = 0.7
"""Factor applied to the limit when all workers refuse a request."""

DECREASE_INTERVAL_SECONDS = 0.1
"""Minimum time between two decreases; the recent latency if that is longer. Refusals of requests
sent before a decrease must not cause another one."""

INITIAL_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 0.2
"""Exponential backoff after a request was refused by all workers."""

LIMIT_EXPIRY_SECONDS = 1.0
"""The limit is removed once the queue is empty and no request was refused for this long."""

SLOW_LATENCY_RATIO = 2.0
"""Ratio of recent to baseline latency above which the service counts as slow."""

RECENT_LATENCY_WEIGHT = 0.2
BASELINE_LATENCY_WEIGHT = 0.005
"""Weights of the newest response in the two moving averages of the latency. The baseline changes
slowly, so that it hardly follows a few seconds of high latency."""


class ConcurrencyLimit:
    """Limits the requests in flight at one service; inactive until the service is overloaded."""

    def __init__(self) -> None:
        """Start without a limit."""
        self._limit: float | None = None
        self._decreased_at = -math.inf
        self._last_refusal_at = -math.inf
        self._consecutive_refusals = 0
        self._backoff_until = -math.inf
        self._recent_latency_seconds: float | None = None
        self._baseline_latency_seconds: float | None = None

    @property
    def is_active(self) -> bool:
        """Return whether requests may have to wait."""
        return self._limit is not None or self._is_slow()

    @property
    def recent_latency_seconds(self) -> float | None:
        """Return the moving average of recent latencies."""
        return self._recent_latency_seconds

    def current(self, capacity: ServiceCapacity) -> int:
        """Return the limit, at least one."""
        limit = (
            capacity.max_in_flight
            if self._limit is None
            else min(capacity.max_in_flight, int(self._limit))
        )
        return max(1, limit)

    def pause_ends_at(self, capacity: ServiceCapacity, now: float) -> float:
        """Return when the next request may be sent; ``now`` or earlier if immediately.

        If all workers are paused for longer than the maximum backoff, the pauses are ignored: only
        a request shows whether a worker is available again.
        """
        ends_at = capacity.pause_ends_at
        if capacity.available_workers or ends_at is None or ends_at > now + MAX_BACKOFF_SECONDS:
            return self._backoff_until
        return max(self._backoff_until, ends_at)

    def record_refusal(self, in_flight: int, now: float) -> None:
        """Record that all workers refused a request while ``in_flight`` were in flight."""
        self._last_refusal_at = now
        self._back_off(now)
        if now - self._decreased_at < max(
            DECREASE_INTERVAL_SECONDS, self._recent_latency_seconds or 0.0
        ):
            return
        self._decreased_at = now
        current = in_flight if self._limit is None else min(self._limit, float(in_flight))
        self._limit = max(1.0, DECREASE_FACTOR * current)

    def _back_off(self, now: float) -> None:
        if now < self._backoff_until:
            return
        backoff_seconds = INITIAL_BACKOFF_SECONDS * 2 ** min(self._consecutive_refusals, 8)
        self._consecutive_refusals += 1
        self._backoff_until = now + min(backoff_seconds, MAX_BACKOFF_SECONDS)

    def record_response(self, latency_seconds: float) -> None:
        """Record the latency of a response."""
        self._consecutive_refusals = 0
        self._recent_latency_seconds = _moving_average(
            self._recent_latency_seconds, latency_seconds, RECENT_LATENCY_WEIGHT
        )
        self._baseline_latency_seconds = _moving_average(
            self._baseline_latency_seconds, latency_seconds, BASELINE_LATENCY_WEIGHT
        )
        if self._limit is not None:
            self._limit += 1.0 / self._limit

    def record_idle(self, now: float) -> None:
        """Record that the queue is empty; remove the limit after a time without refusals."""
        if self._limit is not None and now - self._last_refusal_at >= LIMIT_EXPIRY_SECONDS:
            self._limit = None

    def _is_slow(self) -> bool:
        if self._recent_latency_seconds is None or self._baseline_latency_seconds is None:
            return False
        return self._recent_latency_seconds > SLOW_LATENCY_RATIO * self._baseline_latency_seconds


def _moving_average(previous: float | None, value: float, weight: float) -> float:
    return value if previous is None else previous + weight * (value - previous)
