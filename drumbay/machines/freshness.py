"""Whether a process may trust what it learned from outside: not after a pause.

A paused process (stopped by the system, starved of processor time) misses what happened
meanwhile and does not know that it was paused. It notices by its own timer, and asks anew
before it acts on what it knew.
"""

import asyncio
from collections.abc import Awaitable, Callable

from drumbay.clock import Clock

TICK_SECONDS = 0.5
PAUSE_LIMIT_SECONDS = 2.5
"""Knowledge is renewed if the process may not have run for so long."""

MOST_RENEWALS = 3
"""A renewal that a pause interrupts is repeated so often at most."""


class Freshness:
    """Renews knowledge after each pause, once for all who wait for it.

    Args:
        clock: Time.
        renew: Renews the knowledge as far as that can be done now.
    """

    def __init__(self, clock: Clock, renew: Callable[[], Awaitable[None]]) -> None:
        """Know nothing yet: the first :meth:`ensure` renews."""
        self._clock = clock
        self._renew = renew
        self._fresh_at = float("-inf")
        self._renewal = asyncio.Lock()

    async def run(self) -> None:
        """Notice pauses until cancelled."""
        while True:
            await self.ensure()
            began = self._clock.monotonic()
            await self._clock.sleep(TICK_SECONDS)
            if self._clock.monotonic() - began <= PAUSE_LIMIT_SECONDS:
                self._fresh_at = self._clock.monotonic()

    async def ensure(self) -> None:
        """Return once the knowledge is not from before a pause, or cannot be renewed."""
        if self._is_fresh():
            return
        async with self._renewal:
            for _ in range(MOST_RENEWALS):
                if self._is_fresh():
                    return
                # NOTE: an answer that was on its way during a pause is as old as its request.
                began = self._clock.monotonic()
                await self._renew()
                self._fresh_at = began

    def _is_fresh(self) -> bool:
        return self._clock.monotonic() - self._fresh_at <= PAUSE_LIMIT_SECONDS
