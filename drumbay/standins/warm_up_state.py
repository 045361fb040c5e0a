"""Warm-up of an emulated worker: how long it stays cold, and how much it gets meanwhile."""

from collections import deque

import msgspec

RATE_WINDOW_SECONDS = 1.0
"""Span over which the requests that reach a cold worker are counted."""


class WarmUpState(msgspec.Struct, kw_only=True):
    """State of one start of a worker.

    Attributes:
        cold_from: Monotonic time at which the worker turned cold last.
        cold_until: Monotonic time until which the worker bears only a limited rate.
        is_announced: Whether the worker's discovery entry says how long it stays cold.
        recent_arrivals: Times at which requests reached the worker in the last second of it.
    """

    cold_from: float = 0.0
    cold_until: float = 0.0
    is_announced: bool = True
    recent_arrivals: deque[float] = msgspec.field(default_factory=deque)

    def is_cold(self, now: float) -> bool:
        """Return whether the worker is cold."""
        return now < self.cold_until

    def turn_cold(self, seconds: float, now: float) -> None:
        """Start, or prolong, the time for which the worker is cold."""
        if not self.is_cold(now):
            self.cold_from = now
        self.cold_until = max(self.cold_until, now + seconds)

    def announced_seconds(self, now: float) -> float:
        """Return for how long the worker's entry says it stays cold."""
        return max(0.0, self.cold_until - now) if self.is_announced else 0.0

    def record_arrival(self, now: float) -> int:
        """Return how many requests have reached the worker in the last second, with this one."""
        self.recent_arrivals.append(now)
        while self.recent_arrivals[0] <= now - RATE_WINDOW_SECONDS:
            self.recent_arrivals.popleft()
        return len(self.recent_arrivals)
