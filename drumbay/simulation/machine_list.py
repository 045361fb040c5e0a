"""Simulated machine list of the platform, with a configurable propagation lag."""

import asyncio

from drumbay.identifiers import BackendId
from drumbay.machines.interface import MachineRecord, MachineState
from drumbay.simulation.process import SimulatedProcess

DEFAULT_LAG_SECONDS = 2.0


class SimulatedMachineList:
    """Machine states of the back ends over time.

    Attributes:
        lag_seconds: Time until a new change becomes visible.
    """

    def __init__(self, backends: tuple[BackendId, ...]) -> None:
        """Create a list of live machines, one per back end."""
        self.lag_seconds = DEFAULT_LAG_SECONDS
        self._changes: dict[BackendId, list[tuple[float, MachineState]]] = {
            backend: [(float("-inf"), MachineState.LIVE)] for backend in backends
        }

    def set_state(self, backend: BackendId, state: MachineState) -> float:
        """Change the state of a machine; readers see it after the current lag.

        Returns:
            Virtual time at which the change becomes visible.
        """
        changes = self._changes[backend]
        now = asyncio.get_running_loop().time()
        visible_at = max(now + self.lag_seconds, changes[-1][0])
        changes.append((visible_at, state))
        return visible_at

    def visible(self) -> tuple[MachineRecord, ...]:
        """Return the currently visible states."""
        now = asyncio.get_running_loop().time()
        records = []
        for backend, changes in self._changes.items():
            states = [state for visible_at, state in changes if visible_at <= now]
            records.append(MachineRecord(name=backend, state=states[-1]))
        return tuple(records)


class ProcessMachineListClient:
    """The machine list accessed from one simulated process."""

    def __init__(self, process: SimulatedProcess, machine_list: SimulatedMachineList) -> None:
        """Give ``process`` access to the list."""
        self._process = process
        self._machine_list = machine_list

    async def read(self) -> tuple[MachineRecord, ...]:
        """Return the machines."""
        return await self._process.await_external(self._read())

    async def _read(self) -> tuple[MachineRecord, ...]:
        return self._machine_list.visible()
