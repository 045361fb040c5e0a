"""Clock of everything outside the simulated processes: platform, back ends and callers."""

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

from drumbay.exceptions import DeadlineExceededError
from drumbay.simulation.host import SIMULATION_EPOCH_SECONDS

ResultT = TypeVar("ResultT")


def virtual_now() -> float:
    """Return virtual time in seconds."""
    return asyncio.get_running_loop().time()


class SimulationClock:
    """Virtual time, unaffected by skew, freezes and kills; a :class:`drumbay.clock.Clock`."""

    def monotonic(self) -> float:
        """Return virtual time in seconds."""
        return virtual_now()

    def wall(self) -> float:
        """Return the wall clock without skew, in seconds since the Unix epoch."""
        return SIMULATION_EPOCH_SECONDS + self.monotonic()

    async def sleep(self, seconds: float) -> None:
        """Suspend the calling task for ``seconds``."""
        await asyncio.sleep(seconds)

    async def wait_for(self, awaitable: Awaitable[ResultT], timeout_seconds: float) -> ResultT:
        """Await with a timeout.

        Raises:
            DeadlineExceededError: The timeout expired first.
        """
        try:
            return await asyncio.wait_for(awaitable, timeout_seconds)
        except TimeoutError as error:
            raise DeadlineExceededError(f"no result within {timeout_seconds:.3f} s") from error
