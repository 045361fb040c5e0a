"""Tells whether this process has been running, or has just stood still.

What other nodes tell of the present waits in the sockets of a process that is paused, and is old
when the process reads it.
"""

from drumbay.clock import Clock

TICK_SECONDS = 0.25
SLACK_SECONDS = 0.25
"""A tick that comes later than this follows a pause, or a second of work in one piece: what is not
trusted then is asked for again."""


class Standstill:
    """Notices gaps in the running of this process."""

    def __init__(self, clock: Clock) -> None:
        """Start as a process that has just begun to run."""
        self._clock = clock
        self._ticked_at = clock.monotonic()
        self._running_since = self._ticked_at

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            await self._clock.sleep(TICK_SECONDS)
            self._tick()

    def _tick(self) -> None:
        now = self._clock.monotonic()
        if now - self._ticked_at > TICK_SECONDS + SLACK_SECONDS:
            self._running_since = now
        self._ticked_at = now

    def has_run_for(self, seconds: float) -> bool:
        """Return whether this process has been running without a gap for so long."""
        now = self._clock.monotonic()
        is_running = now - self._ticked_at <= TICK_SECONDS + SLACK_SECONDS
        return is_running and now - self._running_since >= seconds
