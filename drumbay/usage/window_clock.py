"""Wall clock time for usage windows, unaffected by temporary clock jumps."""

from drumbay.clock import Clock

MAX_DRIFT_SECONDS = 0.2
"""A larger change between two readings is treated as a jump."""

JUMP_CONFIRMATION_SECONDS = 30.0
"""A jump that lasts this long is accepted as the correct time."""


class WindowClock:
    """The system's wall clock, extrapolated by the monotonic clock after a jump."""

    def __init__(self, clock: Clock) -> None:
        """Start with the current wall clock time."""
        self._clock = clock
        self._offset = clock.wall() - clock.monotonic()
        self._jumped_at: float | None = None

    def now(self) -> float:
        """Return seconds since the Unix epoch."""
        self._update_offset()
        return self.at(self._clock.monotonic())

    def at(self, monotonic_seconds: float) -> float:
        """Return the wall clock time of a monotonic time."""
        return monotonic_seconds + self._offset

    def _update_offset(self) -> None:
        monotonic = self._clock.monotonic()
        offset = self._clock.wall() - monotonic
        if abs(offset - self._offset) <= MAX_DRIFT_SECONDS:
            self._jumped_at = None
        elif self._jumped_at is None:
            self._jumped_at = monotonic
            return
        elif monotonic - self._jumped_at < JUMP_CONFIRMATION_SECONDS:
            return
        self._jumped_at = None
        self._offset = offset
