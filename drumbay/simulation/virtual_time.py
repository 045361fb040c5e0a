"""Runs a coroutine on an event loop whose time is virtual.

The loop is asyncio's own, patched by :class:`aiotools.VirtualClock`: when nothing is
ready, time jumps to the next timer. The order of events then depends only on the code
and on the seeds passed to it.
"""

import asyncio
import selectors
from collections.abc import Awaitable, Callable
from concurrent.futures import Executor
from contextlib import ExitStack
from typing import Any, TypeVar, TypeVarTuple

from aiotools import VirtualClock

from drumbay.simulation.exceptions import RealInputOutputError, SimulationWedgedError
from drumbay.simulation.process import create_task_of_current_process

ResultT = TypeVar("ResultT")
ArgumentTs = TypeVarTuple("ArgumentTs")

CLOCK_RESOLUTION_SECONDS = 1e-6
"""Timers due within this span fire together; far below every simulated latency."""

_LOOP_OWN_REGISTRATIONS = 1


class _ClosedSelector(selectors.SelectSelector):
    """A selector that admits the loop's own wake-up pipe and nothing else."""

    def register(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        """Register the loop's wake-up pipe.

        Raises:
            RealInputOutputError: Something else was registered.
        """
        if len(self.get_map()) >= _LOOP_OWN_REGISTRATIONS:
            raise RealInputOutputError("simulated code opened a real socket")
        return super().register(fileobj, events, data)


class SimulationLoop(asyncio.SelectorEventLoop):
    """An event loop without sockets and threads."""

    _clock_resolution: float

    def __init__(self) -> None:
        """Create the loop; tasks are recorded with the simulated process they belong to."""
        super().__init__(_ClosedSelector())
        self.set_task_factory(create_task_of_current_process)

    def use_fine_clock_resolution(self) -> None:
        """Make timers fire at their own time.

        NOTE: ``patch_loop`` sets one millisecond. Two processes half a millisecond apart
        would then exchange messages for ever without time passing.
        """
        self._clock_resolution = CLOCK_RESOLUTION_SECONDS

    def run_in_executor(
        self, executor: Executor | None, func: Callable[[*ArgumentTs], ResultT], *args: *ArgumentTs
    ) -> "asyncio.Future[ResultT]":
        """Refuse threads: their timing is not virtual.

        Raises:
            RealInputOutputError: Always.
        """
        raise RealInputOutputError("simulated code used a thread")


class _WedgeDetectingClock(VirtualClock):
    """A virtual clock that reports a loop which would wait for ever."""

    def _virtual_select(self, orig_select: Callable[..., Any], timeout: float | None) -> Any:
        if timeout is None:
            raise SimulationWedgedError(f"no timer and nothing ready at {self.vtime:.6f} s")
        self.vtime += timeout
        # No file descriptor is registered, so the system call is left out.
        return []


async def _enter_virtual_time(stack: ExitStack, clock: VirtualClock) -> None:
    stack.enter_context(clock.patch_loop())
    loop = asyncio.get_running_loop()
    assert isinstance(loop, SimulationLoop)
    loop.use_fine_clock_resolution()


def run_simulation(main: Callable[[], Awaitable[ResultT]]) -> ResultT:
    """Run ``main()`` to its end in virtual time that starts at 0 and return its result.

    Args:
        main: Called inside the running loop.

    Raises:
        SimulationWedgedError: The simulation can make no progress.
        RealInputOutputError: Simulated code used a real socket or thread.
    """

    async def run_main() -> ResultT:
        return await main()

    with ExitStack() as stack, asyncio.Runner(loop_factory=SimulationLoop) as runner:
        # NOTE: the patch outlives main(), so that tasks cancelled at the end which still
        # sleep in their clean-up do so in virtual time too.
        runner.run(_enter_virtual_time(stack, _WedgeDetectingClock()))
        return runner.run(run_main())
