"""Circuit breaker of one back end, with the time passed in.

Closed, it counts failures in a window. When too many of the recent attempts failed it opens
and admits nothing for a while; then it is half open and admits a few probes. Their success
closes it; one failure opens it again for longer.

``pybreaker`` was weighed and not taken: it reads the clock itself, wraps the call it guards,
and lets every call through while half open. See ``docs/design/limits.md``.
"""

from enum import StrEnum

import msgspec


class CircuitState(StrEnum):
    """State of a circuit breaker."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


class CircuitPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """When a breaker opens and closes.

    Attributes:
        window_seconds: Length of the window in which outcomes are counted.
        min_failures: Fewest failures in the window that open it.
        failure_share: Share of failures in the window that opens it.
        open_seconds: Time it stays open at first; doubles with each failed probe.
        max_open_seconds: Longest time it stays open.
        max_probes: Attempts admitted at once while half open.
        successes_to_close: Successful probes that close it.
    """

    window_seconds: float = 10.0
    min_failures: int = 3
    failure_share: float = 0.5
    open_seconds: float = 1.0
    max_open_seconds: float = 30.0
    max_probes: int = 1
    successes_to_close: int = 1


class CircuitPermit(msgspec.Struct, frozen=True, kw_only=True):
    """Permission for one attempt; it names the period of the breaker that gave it."""

    period: int


class CircuitBreaker:
    """Stops sending attempts to a back end that fails."""

    def __init__(self, policy: CircuitPolicy, now: float) -> None:
        """Create a closed breaker."""
        self._policy = policy
        self._period = 0
        self._opened_at: float | None = None
        self._open_seconds = policy.open_seconds
        self._probes_in_flight = 0
        self._probe_successes = 0
        self._window_started_at = now
        self._failure_count = 0
        self._success_count = 0

    def state(self, now: float) -> CircuitState:
        """Return the state at ``now``."""
        if self._opened_at is None:
            return CircuitState.CLOSED
        if now < self._opened_at + self._open_seconds:
            return CircuitState.OPEN
        return CircuitState.HALF_OPEN

    def admits(self, now: float) -> bool:
        """Return whether :meth:`try_acquire` would give a permit."""
        state = self.state(now)
        if state is CircuitState.HALF_OPEN:
            return self._probes_in_flight < self._policy.max_probes
        return state is CircuitState.CLOSED

    def try_acquire(self, now: float) -> CircuitPermit | None:
        """Return a permit for one attempt, or ``None``."""
        if not self.admits(now):
            return None
        if self._opened_at is not None:
            self._probes_in_flight += 1
        return CircuitPermit(period=self._period)

    def record_success(self, permit: CircuitPermit, now: float) -> None:
        """Record that the attempt of a permit succeeded."""
        if permit.period != self._period:
            # NOTE: an attempt begun before the breaker opened says nothing about now.
            return
        if self._opened_at is None:
            self._roll_window(now)
            self._success_count += 1
            return
        self._probes_in_flight -= 1
        self._probe_successes += 1
        if self._probe_successes >= self._policy.successes_to_close:
            self._close(now)

    def record_failure(self, permit: CircuitPermit, now: float) -> None:
        """Record that the attempt of a permit failed for the back end's reasons."""
        if permit.period != self._period:
            return
        if self._opened_at is not None:
            self._open_seconds = min(self._open_seconds * 2, self._policy.max_open_seconds)
            self._open(now)
            return
        self._roll_window(now)
        self._failure_count += 1
        total = self._failure_count + self._success_count
        has_enough = self._failure_count >= self._policy.min_failures
        if has_enough and self._failure_count >= self._policy.failure_share * total:
            self._open(now)

    def record_no_outcome(self, permit: CircuitPermit) -> None:
        """Give a permit back: the attempt said nothing about the back end."""
        if permit.period == self._period and self._opened_at is not None:
            self._probes_in_flight -= 1

    def _roll_window(self, now: float) -> None:
        if now - self._window_started_at >= self._policy.window_seconds:
            self._window_started_at = now
            self._failure_count = 0
            self._success_count = 0

    def _open(self, now: float) -> None:
        self._period += 1
        self._opened_at = now
        self._probes_in_flight = 0
        self._probe_successes = 0

    def _close(self, now: float) -> None:
        self._period += 1
        self._opened_at = None
        self._open_seconds = self._policy.open_seconds
        self._window_started_at = now
        self._failure_count = 0
        self._success_count = 0
