"""A simulated machine: its clock, and the process that runs on it."""

import asyncio
from collections.abc import Awaitable
from pathlib import Path
from typing import TypeVar

import msgspec

from drumbay.comm.interface import Address
from drumbay.exceptions import DeadlineExceededError
from drumbay.identifiers import BootId
from drumbay.simulation.exceptions import SimulationError
from drumbay.simulation.process import SimulatedProcess
from drumbay.storage.simulated_log import SimulatedDisk

ResultT = TypeVar("ResultT")

SIMULATION_EPOCH_SECONDS = 1_750_000_000.0
"""Wall-clock time, in seconds since the Unix epoch, at virtual time 0."""


class HostNotRunningError(SimulationError):
    """An operation needs a running process and the host has none."""

    code = "simulation_host_not_running"


class Location(msgspec.Struct, frozen=True, kw_only=True):
    """Zone and region of a host."""

    zone: str
    region: str


class WallClockOffset:
    """Offset of a machine's wall clock; persists across process restarts."""

    def __init__(self, offset_seconds: float = 0.0, drift: float = 0.0) -> None:
        """Create an offset that grows by ``drift`` seconds in each second."""
        self._offset_seconds = offset_seconds
        self._drift = drift

    def jump(self, seconds: float) -> None:
        """Shift the wall clock by ``seconds``."""
        self._offset_seconds += seconds

    def wall(self, virtual_seconds: float) -> float:
        """Return the wall clock at a virtual time."""
        skew = self._offset_seconds + self._drift * virtual_seconds
        return SIMULATION_EPOCH_SECONDS + virtual_seconds + skew


class HostClock:
    """The clock of one simulated process; implements :class:`drumbay.clock.Clock`."""

    def __init__(self, process: SimulatedProcess, offset: WallClockOffset) -> None:
        """Create the clock of ``process`` on a machine with this wall-clock offset."""
        self._process = process
        self._offset = offset

    def monotonic(self) -> float:
        """Return virtual time in seconds; it advances while the process is frozen."""
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        """Return the machine's wall clock in seconds since the Unix epoch."""
        return self._offset.wall(self.monotonic())

    async def sleep(self, seconds: float) -> None:
        """Suspend the calling task for ``seconds``, longer if the process is frozen."""
        self._process.raise_if_killed()
        timer_done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        timer = self._process.schedule(seconds, lambda: _set_done(timer_done))
        try:
            await timer_done
        finally:
            timer.cancel()

    async def wait_for(self, awaitable: Awaitable[ResultT], timeout_seconds: float) -> ResultT:
        """Await with a timeout; a frozen process handles its expiry only on resuming.

        Raises:
            DeadlineExceededError: The timeout expired first.
        """
        task = asyncio.ensure_future(awaitable)
        if not self._process.alive:
            task.cancel()
        self._process.raise_if_killed()
        finished: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        task.add_done_callback(lambda _work: _set_done(finished))
        timer = self._process.schedule(timeout_seconds, lambda: _set_done(finished))
        try:
            await finished
        except asyncio.CancelledError:
            await _cancel_and_wait(task)
            raise
        finally:
            timer.cancel()
        expired = not task.done()
        if expired:
            await _cancel_and_wait(task)
        if expired and task.cancelled():
            raise DeadlineExceededError(f"no result within {timeout_seconds:.3f} s")
        return task.result()


def _set_done(future: "asyncio.Future[None]") -> None:
    if not future.done():
        future.set_result(None)


async def _cancel_and_wait(task: "asyncio.Future[ResultT]") -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


class SimulatedHost:
    """A machine that runs at most one process at a time.

    Attributes:
        name: Name of the machine.
        address: Where its process is reached.
        location: Zone and region of the machine.
        data_folder: Folder for bulk data; ``None`` on a machine without disk.
        disk: Contents of the machine's disk, kept across restarts; ``None`` without a disk.
        wall_clock: Offset of the machine's wall clock.
    """

    def __init__(
        self,
        name: str,
        address: Address,
        location: Location,
        *,
        data_folder: Path | None = None,
        disk: SimulatedDisk | None = None,
        wall_clock: WallClockOffset | None = None,
    ) -> None:
        """Create a machine without a process."""
        self.name = name
        self.address = address
        self.location = location
        self.data_folder = data_folder
        self.disk = disk
        self.wall_clock = wall_clock if wall_clock is not None else WallClockOffset()
        self._boot_count = 0
        self._process: SimulatedProcess | None = None

    @property
    def running(self) -> bool:
        """Return whether the host has a process, frozen or not."""
        return self._process is not None and self._process.alive

    @property
    def process(self) -> SimulatedProcess:
        """Return the running process.

        Raises:
            HostNotRunningError: No process runs.
        """
        if self._process is None or not self._process.alive:
            raise HostNotRunningError(f"host {self.name} runs no process")
        return self._process

    def start(self) -> SimulatedProcess:
        """Start a new process with a new boot id.

        Raises:
            SimulationError: A process is running already.
        """
        if self.running:
            raise SimulationError(f"host {self.name} runs a process already")
        self._boot_count += 1
        self._process = SimulatedProcess(BootId(f"{self.name}#{self._boot_count}"))
        return self._process

    def clock(self) -> HostClock:
        """Return a clock for the running process."""
        return HostClock(self.process, self.wall_clock)

    def freeze(self) -> None:
        """Suspend the process, as SIGSTOP does."""
        self.process.freeze()

    def resume(self) -> None:
        """Resume a frozen process, as SIGCONT does."""
        self.process.resume()

    async def kill(self) -> None:
        """End the process, as SIGKILL does."""
        await self.process.kill()
