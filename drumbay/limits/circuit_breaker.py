"""Circuit breaker of one back end.

A closed breaker counts failures in a window and opens when too many recent attempts failed. An
open breaker admits nothing for a while, then becomes half open and admits a few probes. Successful
probes close it; a failed probe opens it again for longer.

The current time is an argument of each method, so that simulations control the clock. See
``docs/design/limits.md``.
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
        min_failures: Minimum number of failures in the window that open it.
        failure_share: Minimum fraction of failures in the window that opens it.
        open_seconds: Initial time it stays open; doubles with each failed probe.
        max_open_seconds: Maximum time it stays open.
        max_probes: Maximum number of concurrent attempts while half open.
        successes_to_close: Number of successful probes that close it.
    """

    window_seconds: float = 10.0
    min_failures: int = 3
    failure_share: float = 0.5
    open_seconds: float = 1.0
    max_open_seconds: float = 30.0
    max_probes: int = 1
    successes_to_close: int = 1


class CircuitPermit(msgspec.Struct, frozen=True, kw_only=True):
    """Permission for one attempt; ``period`` counts how often the breaker had opened or closed."""

    period: int


class CircuitBreaker:
    """Stops attempts at a failing back end."""

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
        """Return whether :meth:`try_acquire` would return a permit."""
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
            # The attempt started before the breaker last opened or closed.
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
        """Record that the attempt of a permit failed because of the back end."""
        if permit.period != self._period:
            return
        if self._opened_at is not None:
            self._open_seconds = min(self._open_seconds * 2, self._policy.max_open_seconds)
            self._open(now)
            return
        self._roll_window(now)
        self._failure_count += 1
        total = self._failure_count + self._success_count
        has_min_failures = self._failure_count >= self._policy.min_failures
        if has_min_failures and self._failure_count >= self._policy.failure_share * total:
            self._open(now)

    def record_no_outcome(self, permit: CircuitPermit) -> None:
        """Release a permit whose attempt showed neither success nor failure of the back end."""
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
