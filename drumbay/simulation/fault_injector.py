"""Injects the faults of a plan into hosts, network, services and back ends."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from drumbay.simulation.faults import (
    AnyFault,
    CompactKeyValue,
    CrashBackend,
    CutPath,
    DegradeNetwork,
    DelayMachineList,
    DisturbAnswers,
    DisturbKeyValue,
    FailSwaps,
    FaultPlan,
    FillDisk,
    FreezeHost,
    JumpClock,
    KeyValueCondition,
    KillHost,
    LoseDisk,
    SlowDisks,
)
from drumbay.simulation.network import Cut
from drumbay.standins.faults import FaultKind as BackendFaultKind


class FaultEnvironment(Protocol):
    """System under test, as the fault injector controls it.

    Each method sets the new state. The injector merges overlapping faults, so that the
    environment sees each state change once.
    """

    async def kill_host(self, host: str) -> None:
        """Kill the process of a host; no effect if none runs."""
        ...

    async def start_host(self, host: str) -> None:
        """Start a process on a host; no effect if one runs already."""
        ...

    def freeze_host(self, host: str) -> None:
        """Suspend the process of a host; no effect if none runs."""
        ...

    def resume_host(self, host: str) -> None:
        """Resume the process of a host; no effect if none runs."""
        ...

    def cut(self, cut: Cut, *, both_ways: bool) -> None:
        """Apply a cut."""
        ...

    def heal(self, cut: Cut, *, both_ways: bool) -> None:
        """Undo one earlier :meth:`cut`."""
        ...

    def degrade_network(self, faults: tuple[DegradeNetwork, ...]) -> None:
        """Replace the active network degradations."""
        ...

    def disturb_key_value(self, conditions: tuple[KeyValueCondition, ...]) -> None:
        """Replace the active conditions of the key-value service."""
        ...

    def compact_key_value(self) -> None:
        """Compact the history of the key-value service."""
        ...

    def crash_backend(self, backend: str) -> None:
        """Kill the process of a back end."""
        ...

    def restart_backend(self, backend: str) -> None:
        """Start the process of a back end."""
        ...

    def fail_swaps(self, backend: str, count: int, *, acknowledged: bool) -> None:
        """Make the next ``count`` weight swaps of an engine fail; 0 ends the fault."""
        ...

    def disturb_answers(self, backend: str, kind: BackendFaultKind, count: int) -> None:
        """Corrupt or delay the next ``count`` responses of a back end; 0 ends the fault."""
        ...

    def set_machine_list_lag(self, lag_seconds: float | None) -> None:
        """Set the propagation lag of the machine list; ``None`` restores the default."""
        ...

    def jump_clock(self, host: str, seconds: float) -> None:
        """Shift the wall clock of a host."""
        ...

    def set_disk_full(self, host: str, *, full: bool) -> None:
        """Make the disk of a host reject writes, or accept them again."""
        ...

    def set_disk_busy(self, host: str, commit_seconds: float) -> None:
        """Set the minimum commit time of a host's disk; 0 restores the default."""
        ...

    def lose_disk(self, host: str) -> None:
        """Erase the disk of a host."""
        ...


class FaultInjector:
    """Runs a fault plan in virtual time."""

    def __init__(
        self,
        plan: FaultPlan,
        environment: FaultEnvironment,
        on_change: Callable[[AnyFault, bool], None],
    ) -> None:
        """Create an injector.

        Args:
            plan: Faults to inject.
            environment: System to inject them into.
            on_change: Called when a fault begins (true) and when it has ended (false).
        """
        self._plan = plan
        self._environment = environment
        self._on_change = on_change
        self._active: list[AnyFault] = []

    @property
    def active(self) -> tuple[AnyFault, ...]:
        """Return the active faults in the order in which they began."""
        return tuple(self._active)

    async def run(self) -> None:
        """Run the whole plan and return when all faults have ended."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        tasks = []
        for fault in self._plan.faults:
            await asyncio.sleep(started_at + fault.at_seconds - loop.time())
            tasks.append(loop.create_task(self._inject(fault)))
        await asyncio.gather(*tasks)

    async def _inject(self, fault: AnyFault) -> None:
        self._on_change(fault, True)
        self._active.append(fault)
        await self._begin(fault)
        await asyncio.sleep(fault.duration_seconds)
        # A repeated fault is an equal record; which of the two is removed does not matter.
        self._active.remove(fault)
        await self._end(fault)
        self._on_change(fault, False)

    async def _begin(self, fault: AnyFault) -> None:
        match fault:
            case KillHost() | LoseDisk() | FreezeHost() | FillDisk() | JumpClock():
                await self._begin_on_host(fault)
            case CutPath():
                self._environment.cut(fault.cut, both_ways=fault.both_ways)
            case CompactKeyValue():
                self._environment.compact_key_value()
            case CrashBackend():
                self._environment.crash_backend(fault.backend)
            case FailSwaps():
                self._environment.fail_swaps(
                    fault.backend, fault.count, acknowledged=fault.acknowledged
                )
            case DisturbAnswers():
                self._environment.disturb_answers(fault.backend, fault.disturbance, fault.count)
            case DegradeNetwork() | DisturbKeyValue() | DelayMachineList() | SlowDisks():
                self._apply_conditions(fault)

    async def _begin_on_host(
        self, fault: KillHost | LoseDisk | FreezeHost | FillDisk | JumpClock
    ) -> None:
        environment = self._environment
        match fault:
            case KillHost():
                await environment.kill_host(fault.host)
            case LoseDisk():
                await environment.kill_host(fault.host)
                environment.lose_disk(fault.host)
            case FreezeHost():
                environment.freeze_host(fault.host)
            case FillDisk():
                environment.set_disk_full(fault.host, full=True)
            case JumpClock():
                environment.jump_clock(fault.host, fault.jump_seconds)

    async def _end(self, fault: AnyFault) -> None:
        match fault:
            case KillHost() | LoseDisk() | FreezeHost() | FillDisk():
                await self._end_on_host(fault)
            case CutPath():
                self._environment.heal(fault.cut, both_ways=fault.both_ways)
            case CrashBackend():
                if not self._is_crashed(fault.backend):
                    self._environment.restart_backend(fault.backend)
            case DegradeNetwork() | DisturbKeyValue() | DelayMachineList() | SlowDisks():
                self._apply_conditions(fault)
            case FailSwaps():
                self._environment.fail_swaps(fault.backend, 0, acknowledged=fault.acknowledged)
            case DisturbAnswers():
                self._environment.disturb_answers(fault.backend, fault.disturbance, 0)
            case CompactKeyValue() | JumpClock():
                pass

    async def _end_on_host(self, fault: KillHost | LoseDisk | FreezeHost | FillDisk) -> None:
        environment = self._environment
        match fault:
            case KillHost() | LoseDisk():
                if not self._is_down(fault.host):
                    await environment.start_host(fault.host)
            case FreezeHost():
                if not self._is_frozen(fault.host):
                    environment.resume_host(fault.host)
            case FillDisk():
                environment.set_disk_full(fault.host, full=self._is_full(fault.host))

    def _apply_conditions(
        self, changed: DegradeNetwork | DisturbKeyValue | DelayMachineList | SlowDisks
    ) -> None:
        environment = self._environment
        active = self._active
        match changed:
            case DegradeNetwork():
                degradations = [fault for fault in active if isinstance(fault, DegradeNetwork)]
                environment.degrade_network(tuple(degradations))
            case DisturbKeyValue():
                disturbances = [fault for fault in active if isinstance(fault, DisturbKeyValue)]
                conditions = dict.fromkeys(fault.condition for fault in disturbances)
                environment.disturb_key_value(tuple(conditions))
            case DelayMachineList():
                delays = [fault for fault in active if isinstance(fault, DelayMachineList)]
                lags = [fault.lag_seconds for fault in delays]
                environment.set_machine_list_lag(max(lags, default=None))
            case SlowDisks():
                for host in changed.hosts:
                    environment.set_disk_busy(host, self._commit_seconds(host))

    def _commit_seconds(self, host: str) -> float:
        """Return the longest commit time set by active faults on a host's disk, else 0."""
        commit_times = [
            fault.commit_seconds
            for fault in self._active
            if isinstance(fault, SlowDisks) and host in fault.hosts
        ]
        return max(commit_times, default=0.0)

    def _is_down(self, host: str) -> bool:
        return any(
            isinstance(fault, KillHost | LoseDisk) and fault.host == host for fault in self._active
        )

    def _is_frozen(self, host: str) -> bool:
        return any(isinstance(fault, FreezeHost) and fault.host == host for fault in self._active)

    def _is_full(self, host: str) -> bool:
        return any(isinstance(fault, FillDisk) and fault.host == host for fault in self._active)

    def _is_crashed(self, backend: str) -> bool:
        return any(
            isinstance(fault, CrashBackend) and fault.backend == backend for fault in self._active
        )
