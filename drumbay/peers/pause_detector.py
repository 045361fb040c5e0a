"""Detects pauses of this process, such as a suspended machine.

Messages that wait in socket buffers during a pause are stale when the process reads them.
"""

from drumbay.clock import Clock

TICK_SECONDS = 0.25
MAX_TICK_DELAY_SECONDS = 0.25
"""A tick delayed by more than this counts as a pause. A blocked event loop counts too, which only
causes data to be fetched again."""


class PauseDetector:
    """Detects gaps between the ticks of a periodic timer."""

    def __init__(self, clock: Clock) -> None:
        """Create a detector for a process that has just started."""
        self._clock = clock
        self._last_tick_at = clock.monotonic()
        self._running_since = self._last_tick_at

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            await self._clock.sleep(TICK_SECONDS)
            self._tick()

    def _tick(self) -> None:
        now = self._clock.monotonic()
        if now - self._last_tick_at > TICK_SECONDS + MAX_TICK_DELAY_SECONDS:
            self._running_since = now
        self._last_tick_at = now

    def has_run_for(self, seconds: float) -> bool:
        """Return whether this process has run without a pause for this long."""
        now = self._clock.monotonic()
        is_running = now - self._last_tick_at <= TICK_SECONDS + MAX_TICK_DELAY_SECONDS
        return is_running and now - self._running_since >= seconds
