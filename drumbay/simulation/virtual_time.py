"""Runs a coroutine on an event loop whose time is virtual.

The loop is asyncio's own, patched by :class:`aiotools.VirtualClock`: when no task is ready,
time advances to the next timer. The order of events depends only on the code and its seeds.
"""

import asyncio
import selectors
from collections.abc import Awaitable, Callable
from concurrent.futures import Executor
from contextlib import ExitStack
from typing import Any, TypeVar, TypeVarTuple

from aiotools import VirtualClock

from drumbay.simulation.exceptions import RealInputOutputError, SimulationDeadlockError
from drumbay.simulation.process import create_task_of_current_process

ResultT = TypeVar("ResultT")
ArgumentTs = TypeVarTuple("ArgumentTs")

CLOCK_RESOLUTION_SECONDS = 1e-6
"""Timers due within this span fire together; must be below every simulated latency."""

_WAKE_UP_PIPE_REGISTRATIONS = 1


class _LoopOnlySelector(selectors.SelectSelector):
    """A selector that accepts only the loop's own wake-up pipe."""

    def register(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        """Register the loop's wake-up pipe.

        Raises:
            RealInputOutputError: Something else was registered.
        """
        if len(self.get_map()) >= _WAKE_UP_PIPE_REGISTRATIONS:
            raise RealInputOutputError("simulated code opened a real socket")
        return super().register(fileobj, events, data)


class SimulationLoop(asyncio.SelectorEventLoop):
    """An event loop without sockets and threads."""

    _clock_resolution: float

    def __init__(self) -> None:
        """Create a loop that registers each task with its simulated process."""
        super().__init__(_LoopOnlySelector())
        self.set_task_factory(create_task_of_current_process)

    def use_fine_clock_resolution(self) -> None:
        """Set the clock resolution to :data:`CLOCK_RESOLUTION_SECONDS`.

        ``patch_loop`` sets one millisecond, which would let two processes with a lower
        latency exchange messages forever without time advancing.
        """
        self._clock_resolution = CLOCK_RESOLUTION_SECONDS

    def run_in_executor(
        self, executor: Executor | None, func: Callable[[*ArgumentTs], ResultT], *args: *ArgumentTs
    ) -> "asyncio.Future[ResultT]":
        """Reject threads, whose timing is not virtual.

        Raises:
            RealInputOutputError: Always.
        """
        raise RealInputOutputError("simulated code used a thread")


class _DeadlockDetectingClock(VirtualClock):
    """A virtual clock that raises an error if the loop would wait forever."""

    def _virtual_select(self, orig_select: Callable[..., Any], timeout: float | None) -> Any:
        if timeout is None:
            raise SimulationDeadlockError(f"no timer and nothing ready at {self.vtime:.6f} s")
        self.vtime += timeout
        # The system call is skipped: no external file descriptor is registered.
        return []


async def _enter_virtual_time(stack: ExitStack, clock: VirtualClock) -> None:
    stack.enter_context(clock.patch_loop())
    loop = asyncio.get_running_loop()
    assert isinstance(loop, SimulationLoop)
    loop.use_fine_clock_resolution()


def run_simulation(main: Callable[[], Awaitable[ResultT]]) -> ResultT:
    """Run ``main()`` in virtual time starting at 0 and return its result.

    Args:
        main: Called inside the running loop.

    Raises:
        SimulationDeadlockError: The simulation can make no progress.
        RealInputOutputError: Simulated code used a real socket or thread.
    """

    async def run_main() -> ResultT:
        return await main()

    with ExitStack() as stack, asyncio.Runner(loop_factory=SimulationLoop) as runner:
        # The patch stays active after main(), so that the clean-up of cancelled tasks runs in
        # virtual time too.
        runner.run(_enter_virtual_time(stack, _DeadlockDetectingClock()))
        return runner.run(run_main())
