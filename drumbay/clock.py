"""The clock interface and the system clock.

All other code reads the time and sleeps through a :class:`Clock`, so that it also runs on the
virtual time of a simulation.
"""

import asyncio
import time
from collections.abc import Awaitable, Coroutine
from typing import Protocol, TypeVar

from drumbay.exceptions import DeadlineExceededError

ResultT = TypeVar("ResultT")


def seconds_since_boot() -> float:
    """Return seconds since the machine was started, including time in suspension.

    ``time.monotonic`` stops during suspension, after which expired leases and stale copies would
    look current. It is the fallback on systems without ``CLOCK_BOOTTIME``.
    """
    if hasattr(time, "CLOCK_BOOTTIME"):
        return time.clock_gettime(time.CLOCK_BOOTTIME)
    return time.monotonic()


class BootTimeEventLoop(asyncio.SelectorEventLoop):
    """An event loop whose timers include the time in suspension.

    The kernel's wait does not count that time. A timer that expired during suspension therefore
    runs only when the next event or other timer wakes the loop; nodes have frequent timers.
    """

    def time(self) -> float:
        """Return the clock reading that timers are based on."""
        return seconds_since_boot()


def run_on_system_clock(main: Coroutine[None, None, ResultT]) -> ResultT:
    """Run a coroutine on an event loop with the same time base as :class:`SystemClock`."""
    with asyncio.Runner(loop_factory=BootTimeEventLoop) as runner:
        return runner.run(main)


class Clock(Protocol):
    """Interface to the time of one process."""

    def monotonic(self) -> float:
        """Return seconds since an arbitrary origin; never decreases, includes suspension."""
        ...

    def wall(self) -> float:
        """Return seconds since the Unix epoch; may jump or be skewed."""
        ...

    async def sleep(self, seconds: float) -> None:
        """Suspend the calling task for ``seconds``."""
        ...

    async def wait_for(self, awaitable: Awaitable[ResultT], timeout_seconds: float) -> ResultT:
        """Await with a timeout, after which the awaitable is cancelled.

        Raises:
            DeadlineExceededError: The timeout expired.
        """
        ...


class SystemClock:
    """The clock of the operating system."""

    def monotonic(self) -> float:
        """Return seconds since the machine was started."""
        return seconds_since_boot()

    def wall(self) -> float:
        """Return the system's wall clock in seconds since the Unix epoch."""
        return time.time()

    async def sleep(self, seconds: float) -> None:
        """Suspend the calling task for ``seconds``."""
        await asyncio.sleep(seconds)

    async def wait_for(self, awaitable: Awaitable[ResultT], timeout_seconds: float) -> ResultT:
        """Await with a timeout, after which the awaitable is cancelled.

        Raises:
            DeadlineExceededError: The timeout expired.
        """
        # Not asyncio.wait_for: up to Python 3.11 it loses a cancellation that coincides with the
        # result (python/cpython#86296), so that a task waiting in a loop would never end.
        try:
            async with asyncio.timeout(timeout_seconds):
                return await awaitable
        except TimeoutError as error:
            raise DeadlineExceededError(f"no result within {timeout_seconds:.3f} s") from error
