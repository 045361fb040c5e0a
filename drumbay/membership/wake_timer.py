"""Timer whose deadline can be brought forward."""

import asyncio
import math

from drumbay.clock import Clock
from drumbay.exceptions import DeadlineExceededError

MIN_WAIT_SECONDS = 0.001


class WakeTimer:
    """Lets one task wait until a deadline or an earlier wake-up."""

    def __init__(self, clock: Clock) -> None:
        """Create a timer without a waiting task."""
        self._clock = clock
        self._event = asyncio.Event()
        self._until = math.inf

    async def wait_until(self, deadline: float) -> None:
        """Wait until ``deadline`` in monotonic seconds, or until woken."""
        self._until = deadline
        self._event.clear()
        # NOTE: a wait of zero would busy-loop on a deadline that was rounded down.
        seconds = max(MIN_WAIT_SECONDS, deadline - self._clock.monotonic())
        try:
            await self._clock.wait_for(self._event.wait(), seconds)
        except DeadlineExceededError:
            return

    def wake_before(self, deadline: float) -> None:
        """Wake the waiting task if its deadline is after ``deadline``."""
        if deadline < self._until:
            self._event.set()
