"""Interface to the platform's list of machines, which lags behind their actual states."""

from enum import StrEnum
from typing import Protocol

import msgspec

from drumbay.exceptions import UnavailableError
from drumbay.identifiers import BackendId


class MachineListUnavailableError(UnavailableError):
    """The machine list could not be read."""

    code = "machine_list_unavailable"


class MachineState(StrEnum):
    """State of a machine as the platform reports it."""

    LIVE = "live"
    LEAVING = "leaving"


class MachineRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One machine; its name is the identifier of the back end that runs on it."""

    name: str
    state: MachineState


class MachineListClient(Protocol):
    """Reads the machine list."""

    async def read(self) -> tuple[MachineRecord, ...]:
        """Return the machines.

        Raises:
            MachineListUnavailableError: The list could not be read.
        """
        ...


def leaving_backends(machines: tuple[MachineRecord, ...]) -> tuple[BackendId, ...]:
    """Return the back ends whose machines are leaving."""
    return tuple(
        BackendId(machine.name) for machine in machines if machine.state is MachineState.LEAVING
    )
