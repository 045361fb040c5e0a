"""A wait for a moment that may be brought forward."""

import asyncio
import math

from drumbay.clock import Clock
from drumbay.exceptions import DeadlineExceededError

MIN_WAIT_SECONDS = 0.001


class WakeTimer:
    """Lets one task wait until a time on a clock, or until it is woken before."""

    def __init__(self, clock: Clock) -> None:
        """Create a timer that nobody waits on."""
        self._clock = clock
        self._event = asyncio.Event()
        self._until = math.inf

    async def wait_until(self, deadline: float) -> None:
        """Wait until ``deadline`` in monotonic seconds, or until woken."""
        self._until = deadline
        self._event.clear()
        # NOTE: a wait of zero would let a rounded deadline spin without time passing.
        seconds = max(MIN_WAIT_SECONDS, deadline - self._clock.monotonic())
        try:
            await self._clock.wait_for(self._event.wait(), seconds)
        except DeadlineExceededError:
            return

    def wake_before(self, deadline: float) -> None:
        """Wake the waiting task if it waits for longer than ``deadline``."""
        if deadline < self._until:
            self._event.set()
