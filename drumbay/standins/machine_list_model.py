"""An emulated list of live and leaving machines that lags behind reality."""

from enum import StrEnum

import msgspec

from drumbay.clock import Clock
from drumbay.standins.simple_process import SimpleProcess


class MachineState(StrEnum):
    """What the platform says of a machine."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class Machine(msgspec.Struct, frozen=True, kw_only=True):
    """One machine of the list.

    Attributes:
        name: Name of the machine.
        address: IP address and port of the process that runs on it.
        zone: Zone of the machine.
        state: What the platform says of it.
    """

    name: str
    address: str
    zone: str
    state: MachineState = MachineState.LIVE


class MachineChange(msgspec.Struct, frozen=True, kw_only=True):
    """A change, as it truly happened and as it became visible."""

    happened_at_seconds: float
    visible_at_seconds: float
    machine: Machine


class MachineListModel(SimpleProcess):
    """The list; a change becomes visible after a lag."""

    def __init__(self, clock: Clock, lag_seconds: float = 5.0) -> None:
        """Create an empty list."""
        super().__init__()
        self._clock = clock
        self._lag_seconds = lag_seconds
        self._changes: list[MachineChange] = []

    def set_machine(self, machine: Machine) -> None:
        """Add or change a machine; it is visible after the lag."""
        now = self._clock.monotonic()
        self._changes.append(
            MachineChange(
                happened_at_seconds=now,
                visible_at_seconds=now + self._lag_seconds,
                machine=machine,
            )
        )

    def visible(self) -> tuple[Machine, ...]:
        """Return the machines that readers see now, in the order of their first change."""
        now = self._clock.monotonic()
        machines: dict[str, Machine] = {}
        for change in self._changes:
            if change.visible_at_seconds <= now:
                machines[change.machine.name] = change.machine
        return tuple(
            machine for machine in machines.values() if machine.state is not MachineState.GONE
        )

    def changes(self) -> tuple[MachineChange, ...]:
        """Return every change as it truly happened, oldest first."""
        return tuple(self._changes)
