"""The clock interface, and the system's clock.

Nothing else in drumbay reads the time or sleeps: the same code then runs on real time and
on the virtual time of a simulation.
"""

import asyncio
import time
from collections.abc import Awaitable
from typing import Protocol, TypeVar

from drumbay.exceptions import DeadlineExceededError

ResultT = TypeVar("ResultT")


class Clock(Protocol):
    """Time as one process sees it."""

    def monotonic(self) -> float:
        """Return seconds since an arbitrary origin; never decreases."""
        ...

    def wall(self) -> float:
        """Return seconds since the Unix epoch; may jump and be skewed."""
        ...

    async def sleep(self, seconds: float) -> None:
        """Suspend the calling task for ``seconds``."""
        ...

    async def wait_for(self, awaitable: Awaitable[ResultT], timeout_seconds: float) -> ResultT:
        """Await with a time limit; the awaitable is cancelled when the limit passes.

        Raises:
            DeadlineExceededError: The limit passed first.
        """
        ...


class SystemClock:
    """The clock of the machine."""

    def monotonic(self) -> float:
        """Return the system's monotonic clock in seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Return the system's wall clock in seconds since the Unix epoch."""
        return time.time()

    async def sleep(self, seconds: float) -> None:
        """Suspend the calling task for ``seconds``."""
        await asyncio.sleep(seconds)

    async def wait_for(self, awaitable: Awaitable[ResultT], timeout_seconds: float) -> ResultT:
        """Await with a time limit.

        Raises:
            DeadlineExceededError: The limit passed first.
        """
        # NOTE: not asyncio.wait_for: up to Python 3.11 it drops a cancellation that comes in
        # the same moment as the result (python/cpython#86296), and a task that waits in a
        # loop would then never end.
        try:
            async with asyncio.timeout(timeout_seconds):
                return await awaitable
        except TimeoutError as error:
            raise DeadlineExceededError(f"no result within {timeout_seconds:.3f} s") from error
