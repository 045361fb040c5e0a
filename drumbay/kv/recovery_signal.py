"""Signal that the key-value store has recovered, for callers that wait before a retry."""

import asyncio
from contextlib import suppress

from drumbay.clock import Clock
from drumbay.exceptions import DeadlineExceededError


class RecoverySignal:
    """Wakes all waiters on the first successful call after a failure."""

    def __init__(self) -> None:
        """Start in the available state."""
        self._is_unavailable = False
        self._recovered = asyncio.Event()

    def record_failure(self) -> None:
        """Record that a call failed."""
        self._is_unavailable = True

    def record_success(self) -> None:
        """Record that a call succeeded; wake the waiters if the last one failed."""
        if not self._is_unavailable:
            return
        self._is_unavailable = False
        self._recovered.set()
        self._recovered = asyncio.Event()

    async def wait(self, clock: Clock, seconds: float) -> None:
        """Wait until the store has recovered, for at most ``seconds``."""
        with suppress(DeadlineExceededError):
            await clock.wait_for(self._recovered.wait(), seconds)
