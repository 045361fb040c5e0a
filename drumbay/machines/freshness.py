"""Renewal of cached state after a pause of the process.

A paused process (stopped, or without processor time) misses changes without noticing. A timer
detects the pause, and the cached state is renewed before it is used again.
"""

import asyncio
from collections.abc import Awaitable, Callable

from drumbay.clock import Clock

PAUSE_CHECK_SECONDS = 0.5
PAUSE_LIMIT_SECONDS = 2.5
"""The state is renewed if the process may have been paused for longer than this."""

MAX_RENEWALS = 3
"""Maximum attempts of a renewal that pauses interrupt."""


class FreshnessGuard:
    """Renews state after each pause, once for all concurrent callers.

    Args:
        clock: Time.
        renew: Renews the state if possible.
    """

    def __init__(self, clock: Clock, renew: Callable[[], Awaitable[None]]) -> None:
        """Create a guard whose first :meth:`ensure` renews the state."""
        self._clock = clock
        self._renew = renew
        self._fresh_at = float("-inf")
        self._renewal_lock = asyncio.Lock()

    async def run(self) -> None:
        """Detect pauses until cancelled."""
        while True:
            await self.ensure()
            started_at = self._clock.monotonic()
            await self._clock.sleep(PAUSE_CHECK_SECONDS)
            if self._clock.monotonic() - started_at <= PAUSE_LIMIT_SECONDS:
                self._fresh_at = self._clock.monotonic()

    async def ensure(self) -> None:
        """Renew the state if it is from before a pause; return also after a failed renewal."""
        if self._is_fresh():
            return
        async with self._renewal_lock:
            for _ in range(MAX_RENEWALS):
                if self._is_fresh():
                    return
                # NOTE: the state dates from the start of the request, since a pause may delay the
                # response.
                started_at = self._clock.monotonic()
                await self._renew()
                self._fresh_at = started_at

    def _is_fresh(self) -> bool:
        return self._clock.monotonic() - self._fresh_at <= PAUSE_LIMIT_SECONDS
