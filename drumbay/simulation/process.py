"""One run of a simulated operating-system process: freezing, killing and its tasks.

Everything that reaches a process from outside (timers, messages, answers of services)
passes :meth:`SimulatedProcess.deliver`. A frozen process keeps these events until it
wakes; a killed one drops them.
"""

import asyncio
from collections.abc import AsyncGenerator, AsyncIterator, Awaitable, Callable, Coroutine
from contextvars import Context, ContextVar
from typing import Any, TypeVar

from drumbay.identifiers import BootId

ResultT = TypeVar("ResultT")

SHORTEST_WAIT_SECONDS = 2e-6
"""Above the clock resolution of the simulation loop."""

_current_process: ContextVar["SimulatedProcess | None"] = ContextVar(
    "current_process", default=None
)


def create_task_of_current_process(
    loop: asyncio.AbstractEventLoop,
    coroutine: Any,
    context: Context | None = None,
) -> "asyncio.Task[Any]":
    """Task factory that records each task with the process whose code created it."""
    task: asyncio.Task[Any] = asyncio.Task(coroutine, loop=loop, context=context)
    process = process_of(context)
    if process is not None:
        process.add_task(task)
    return task


def process_of(context: Context | None) -> "SimulatedProcess | None":
    """Return the process to which code run in ``context`` belongs."""
    if context is None:
        return _current_process.get()
    return context.get(_current_process)


class SimulatedProcess:
    """One run of a process from start to kill.

    Attributes:
        boot_id: Identity of this run.
    """

    def __init__(self, boot_id: BootId) -> None:
        """Create a running process without tasks."""
        self.boot_id = boot_id
        self._alive = True
        self._frozen = False
        self._deferred: list[Callable[[], None]] = []
        # A dict keeps the order of creation, so that a kill cancels in the same order.
        self._tasks: dict[asyncio.Task[Any], None] = {}

    @property
    def alive(self) -> bool:
        """Return whether the process has not been killed."""
        return self._alive

    @property
    def frozen(self) -> bool:
        """Return whether the process is stopped."""
        return self._frozen

    def add_task(self, task: "asyncio.Task[Any]") -> None:
        """Record a task of this process; a kill cancels it."""
        self._tasks[task] = None
        task.add_done_callback(self._forget_task)

    def _forget_task(self, task: "asyncio.Task[Any]") -> None:
        self._tasks.pop(task, None)

    def spawn(self, coroutine: Coroutine[Any, Any, ResultT], name: str) -> "asyncio.Task[ResultT]":
        """Start a task that belongs to this process, as do all tasks it starts."""
        loop = asyncio.get_running_loop()
        return loop.create_task(coroutine, name=name, context=self._context())

    def run(self, function: Callable[[], None]) -> None:
        """Run a synchronous function as code of this process."""
        self._context().run(function)

    def _context(self) -> Context:
        context = Context()
        context.run(_current_process.set, self)
        return context

    def deliver(self, callback: Callable[[], None]) -> None:
        """Run ``callback`` now, on waking if frozen, never if killed."""
        if not self._alive:
            return
        if self._frozen:
            self._deferred.append(callback)
            return
        callback()

    def schedule(self, seconds: float, callback: Callable[[], None]) -> asyncio.TimerHandle:
        """Deliver ``callback`` after ``seconds``, rounded up to the shortest wait.

        NOTE: the loop runs timers that are due within its clock resolution without moving
        time. A process that waits for "deadline minus now" and is woken a rounding error
        early would then wait again and again for ever while time stands still.
        """
        loop = asyncio.get_running_loop()
        delay_seconds = max(seconds, SHORTEST_WAIT_SECONDS) if seconds > 0 else 0.0
        return loop.call_later(delay_seconds, self.deliver, callback)

    def require_alive(self) -> None:
        """End clean-up code of a killed process at its first use of the outside.

        Raises:
            asyncio.CancelledError: The process has been killed.
        """
        if not self._alive:
            raise asyncio.CancelledError

    async def call_out(self, outside: Awaitable[ResultT]) -> ResultT:
        """Await something that runs outside the process.

        The outside runs on while the process is frozen; its outcome is seen on waking.
        """
        outside_task = start_outside(outside)
        if not self._alive:
            outside_task.cancel()
        self.require_alive()
        outcome: asyncio.Future[None] = asyncio.get_running_loop().create_future()

        def announce() -> None:
            if not outcome.done():
                outcome.set_result(None)

        outside_task.add_done_callback(lambda _task: self.deliver(announce))
        try:
            await outcome
        finally:
            outside_task.cancel()
        return outside_task.result()

    async def iterate_out(self, outside: AsyncIterator[ResultT]) -> AsyncIterator[ResultT]:
        """Yield the items of an iterator that runs outside the process."""
        try:
            while True:
                try:
                    item = await self.call_out(outside.__anext__())
                except StopAsyncIteration:
                    return
                yield item
        finally:
            if isinstance(outside, AsyncGenerator):
                start_outside(outside.aclose())

    def freeze(self) -> None:
        """Stop the process, as SIGSTOP does."""
        self._frozen = True

    def wake(self) -> None:
        """Continue the process; events that came meanwhile are seen in their order."""
        self._frozen = False
        while self._deferred and not self._frozen and self._alive:
            self._deferred.pop(0)()

    async def kill(self) -> None:
        """End the process, as SIGKILL does; nothing that it does afterwards has an effect."""
        self._alive = False
        self._frozen = False
        self._deferred.clear()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def start_outside(outside: Awaitable[ResultT]) -> "asyncio.Task[ResultT]":
    """Start a task that belongs to no simulated process."""

    async def run() -> ResultT:
        return await outside

    task = asyncio.get_running_loop().create_task(run(), context=Context())
    task.add_done_callback(_retrieve_exception)
    if isinstance(outside, Coroutine):
        # A task that is cancelled before its first step never awaits what it was given.
        task.add_done_callback(lambda _task: outside.close())
    return task


def _retrieve_exception(task: "asyncio.Task[Any]") -> None:
    """Mark an outcome as seen; the process that asked may be gone."""
    if not task.cancelled():
        task.exception()
