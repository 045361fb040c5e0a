"""Time of day for windows of usage, which passes over jumps of the system's clock."""

from drumbay.clock import Clock

LARGEST_DRIFT_SECONDS = 0.2
"""Between two readings some seconds apart a disciplined clock drifts by far less; a larger change
is a jump."""

JUMP_HOLD_SECONDS = 30.0
"""A jump that stays for so long is taken over: the clock was wrong before. Faults that step a clock
and back last for less."""


class WindowClock:
    """The system's wall clock, carried on by the monotonic one while the former has jumped."""

    def __init__(self, clock: Clock) -> None:
        """Take the time of day as it is now."""
        self._clock = clock
        self._offset = clock.wall() - clock.monotonic()
        self._jumped_at: float | None = None

    def now(self) -> float:
        """Return seconds since the Unix epoch."""
        self._follow()
        return self.at(self._clock.monotonic())

    def at(self, monotonic_seconds: float) -> float:
        """Return the time of day of a reading of the monotonic clock."""
        return monotonic_seconds + self._offset

    def _follow(self) -> None:
        monotonic = self._clock.monotonic()
        offset = self._clock.wall() - monotonic
        if abs(offset - self._offset) <= LARGEST_DRIFT_SECONDS:
            self._jumped_at = None
        elif self._jumped_at is None:
            self._jumped_at = monotonic
            return
        elif monotonic - self._jumped_at < JUMP_HOLD_SECONDS:
            return
        self._jumped_at = None
        self._offset = offset
