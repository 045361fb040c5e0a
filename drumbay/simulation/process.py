"""Simulated operating-system process that can be frozen and killed.

All external events of a process (timers, messages, service responses) go through
:meth:`SimulatedProcess.deliver`. A frozen process queues them until it resumes; a killed one
drops them.
"""

import asyncio
from collections.abc import AsyncGenerator, AsyncIterator, Awaitable, Callable, Coroutine
from contextvars import Context, ContextVar
from typing import Any, TypeVar

from drumbay.identifiers import BootId

ResultT = TypeVar("ResultT")

MIN_TIMER_DELAY_SECONDS = 2e-6
"""Must exceed the clock resolution of the simulation loop."""

_current_process: ContextVar["SimulatedProcess | None"] = ContextVar(
    "current_process", default=None
)


def create_task_of_current_process(
    loop: asyncio.AbstractEventLoop,
    coroutine: Any,
    context: Context | None = None,
) -> "asyncio.Task[Any]":
    """Task factory that registers each task with the process that created it."""
    task: asyncio.Task[Any] = asyncio.Task(coroutine, loop=loop, context=context)
    process = process_of(context)
    if process is not None:
        process.add_task(task)
    return task


def process_of(context: Context | None) -> "SimulatedProcess | None":
    """Return the process that ``context`` belongs to."""
    if context is None:
        return _current_process.get()
    return context.get(_current_process)


class SimulatedProcess:
    """A process from its start until it is killed.

    Attributes:
        boot_id: Identity of the process.
    """

    def __init__(self, boot_id: BootId) -> None:
        """Create a running process without tasks."""
        self.boot_id = boot_id
        self._alive = True
        self._frozen = False
        self._queued_callbacks: list[Callable[[], None]] = []
        # A dict, so that a kill cancels the tasks in order of creation.
        self._tasks: dict[asyncio.Task[Any], None] = {}

    @property
    def alive(self) -> bool:
        """Return whether the process has not been killed yet."""
        return self._alive

    @property
    def frozen(self) -> bool:
        """Return whether the process is suspended."""
        return self._frozen

    def add_task(self, task: "asyncio.Task[Any]") -> None:
        """Register a task, which a kill cancels."""
        self._tasks[task] = None
        task.add_done_callback(self._remove_task)

    def _remove_task(self, task: "asyncio.Task[Any]") -> None:
        self._tasks.pop(task, None)

    def spawn(self, coroutine: Coroutine[Any, Any, ResultT], name: str) -> "asyncio.Task[ResultT]":
        """Start a task of this process; tasks that it creates belong to the process too."""
        loop = asyncio.get_running_loop()
        return loop.create_task(coroutine, name=name, context=self._context())

    def run(self, function: Callable[[], None]) -> None:
        """Run a synchronous function in the context of this process."""
        self._context().run(function)

    def _context(self) -> Context:
        context = Context()
        context.run(_current_process.set, self)
        return context

    def deliver(self, callback: Callable[[], None]) -> None:
        """Run ``callback`` now, on resuming if frozen, never if killed."""
        if not self._alive:
            return
        if self._frozen:
            self._queued_callbacks.append(callback)
            return
        callback()

    def schedule(self, seconds: float, callback: Callable[[], None]) -> asyncio.TimerHandle:
        """Deliver ``callback`` after ``seconds``, or the minimum timer delay if that is longer.

        The loop runs timers that are due within its clock resolution without advancing time.
        Without the minimum, a process that wakes a rounding error before its deadline and
        waits again would loop forever at the same virtual time.
        """
        loop = asyncio.get_running_loop()
        delay_seconds = max(seconds, MIN_TIMER_DELAY_SECONDS) if seconds > 0 else 0.0
        return loop.call_later(delay_seconds, self.deliver, callback)

    def raise_if_killed(self) -> None:
        """Abort the clean-up code of a killed process before it has an external effect.

        Raises:
            asyncio.CancelledError: The process has been killed.
        """
        if not self._alive:
            raise asyncio.CancelledError

    async def await_external(self, external: Awaitable[ResultT]) -> ResultT:
        """Await an operation that runs outside the process.

        The operation continues while the process is frozen; its result is delivered on
        resuming.
        """
        external_task = start_external_task(external)
        if not self._alive:
            external_task.cancel()
        self.raise_if_killed()
        outcome: asyncio.Future[None] = asyncio.get_running_loop().create_future()

        def signal_done() -> None:
            if not outcome.done():
                outcome.set_result(None)

        external_task.add_done_callback(lambda _task: self.deliver(signal_done))
        try:
            await outcome
        finally:
            external_task.cancel()
        return external_task.result()

    async def iterate_external(self, external: AsyncIterator[ResultT]) -> AsyncIterator[ResultT]:
        """Yield the items of an asynchronous iterator that runs outside the process."""
        try:
            while True:
                try:
                    item = await self.await_external(external.__anext__())
                except StopAsyncIteration:
                    return
                yield item
        finally:
            if isinstance(external, AsyncGenerator):
                start_external_task(external.aclose())

    def freeze(self) -> None:
        """Suspend the process, as SIGSTOP does."""
        self._frozen = True

    def resume(self) -> None:
        """Resume the process and deliver the queued events in order."""
        self._frozen = False
        while self._queued_callbacks and not self._frozen and self._alive:
            self._queued_callbacks.pop(0)()

    async def kill(self) -> None:
        """Kill the process, as SIGKILL does; its later actions have no external effect."""
        self._alive = False
        self._frozen = False
        self._queued_callbacks.clear()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def start_external_task(external: Awaitable[ResultT]) -> "asyncio.Task[ResultT]":
    """Start a task outside all simulated processes."""

    async def run() -> ResultT:
        return await external

    task = asyncio.get_running_loop().create_task(run(), context=Context())
    task.add_done_callback(_retrieve_exception)
    if isinstance(external, Coroutine):
        # Closes a coroutine that a task cancelled before its first step never awaited.
        task.add_done_callback(lambda _task: external.close())
    return task


def _retrieve_exception(task: "asyncio.Task[Any]") -> None:
    """Mark an exception as retrieved, since the calling process may have been killed."""
    if not task.cancelled():
        task.exception()
