"""Work that blocks on a disk, kept off the event loop of a node.

Making a file durable takes some milliseconds as a rule and seconds on a busy disk. On the event
loop, every caller of the node would wait as long.
"""

import asyncio
from collections.abc import Awaitable, Callable
from concurrent.futures import ThreadPoolExecutor

RunBlocking = Callable[[Callable[[], None]], Awaitable[None]]
"""Does blocking work, one after the other in the order of the calls, and raises what it raises."""


class WriterThread:
    """One thread that does blocking work in the order of the calls.

    A caller that is cancelled does not end its work half way, and the next one waits for it.
    """

    def __init__(self, name: str) -> None:
        """Name the thread, which starts with the first work."""
        self._executor = ThreadPoolExecutor(max_workers=1, thread_name_prefix=name)

    async def run(self, work: Callable[[], None]) -> None:
        """Do blocking work and raise what it raises."""
        await asyncio.get_running_loop().run_in_executor(self._executor, work)


async def run_inline(work: Callable[[], None]) -> None:
    """Do the work at once, where threads must not be used or nobody waits meanwhile."""
    work()
