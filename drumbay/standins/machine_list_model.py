"""Emulated machine list of the platform, which shows changes with a lag."""

from enum import StrEnum

import msgspec

from drumbay.clock import Clock
from drumbay.standins.simple_process import SimpleProcess


class MachineState(StrEnum):
    """State of a machine as the platform reports it."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class Machine(msgspec.Struct, frozen=True, kw_only=True):
    """Entry of the machine list.

    Attributes:
        name: Name of the machine.
        address: IP address and port of the process on the machine.
        zone: Zone of the machine.
        state: Reported state.
    """

    name: str
    address: str
    zone: str
    state: MachineState = MachineState.LIVE


class MachineChange(msgspec.Struct, frozen=True, kw_only=True):
    """A change, with the times at which it happened and became visible."""

    happened_at_seconds: float
    visible_at_seconds: float
    machine: Machine


class MachineListModel(SimpleProcess):
    """Machine list in which changes become visible after a lag."""

    def __init__(self, clock: Clock, lag_seconds: float = 5.0) -> None:
        """Create an empty list."""
        super().__init__()
        self._clock = clock
        self._lag_seconds = lag_seconds
        self._changes: list[MachineChange] = []

    def set_machine(self, machine: Machine) -> None:
        """Add or update a machine; the change is visible after the lag."""
        now = self._clock.monotonic()
        self._changes.append(
            MachineChange(
                happened_at_seconds=now,
                visible_at_seconds=now + self._lag_seconds,
                machine=machine,
            )
        )

    def visible(self) -> tuple[Machine, ...]:
        """Return the currently visible machines, in the order of their first change."""
        now = self._clock.monotonic()
        machines: dict[str, Machine] = {}
        for change in self._changes:
            if change.visible_at_seconds <= now:
                machines[change.machine.name] = change.machine
        return tuple(
            machine for machine in machines.values() if machine.state is not MachineState.GONE
        )

    def changes(self) -> tuple[MachineChange, ...]:
        """Return all changes, visible or not, oldest first."""
        return tuple(self._changes)
