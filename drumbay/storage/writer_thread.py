"""Runs blocking disk operations outside the event loop.

An fsync usually takes milliseconds, but seconds on a busy disk, and would block the event loop for
as long.
"""

import asyncio
from collections.abc import Awaitable, Callable
from concurrent.futures import ThreadPoolExecutor

BlockingRunner = Callable[[Callable[[], None]], Awaitable[None]]
"""Runs blocking functions one at a time in call order, and propagates their exceptions."""


class WriterThread:
    """A single thread that runs blocking functions in call order.

    Cancelling a caller does not interrupt its function, and the next function waits for it.
    """

    def __init__(self, name: str) -> None:
        """Create a thread called ``name``, which starts with the first call."""
        self._executor = ThreadPoolExecutor(max_workers=1, thread_name_prefix=name)

    async def run(self, function: Callable[[], None]) -> None:
        """Run a blocking function and propagate its exception."""
        await asyncio.get_running_loop().run_in_executor(self._executor, function)


async def run_inline(function: Callable[[], None]) -> None:
    """Run the function directly, for simulations or where blocking is harmless."""
    function()
