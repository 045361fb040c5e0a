"""Crash and freeze of an emulated process that has no work of its own to lose."""

from collections.abc import Callable

from drumbay.standins.execution_log import ExecutionLog
from drumbay.standins.faults import FaultKind, FaultSwitches
from drumbay.standins.process_gate import FREEZE_HOLD, ProcessGate


class SimpleProcess:
    """Base class of emulators whose data outlive a crash.

    Attributes:
        log: What the process truly did.
        faults: Switchable faults.
        crashed: Whether the process is down.
    """

    def __init__(self, supported_faults: tuple[FaultKind, ...] = ()) -> None:
        """Create a process that runs."""
        self.log = ExecutionLog()
        self.faults = FaultSwitches(supported_faults)
        self.crashed = False
        self._gate = ProcessGate()
        self._on_crash: Callable[[], None] | None = None

    def watch_crashes(self, on_crash: Callable[[], None]) -> None:
        """Have ``on_crash`` called whenever the process dies."""
        self._on_crash = on_crash

    def crash(self) -> None:
        """End the process at once."""
        if self.crashed:
            return
        self.crashed = True
        self.thaw()
        if self._on_crash is not None:
            self._on_crash()

    def restart(self) -> None:
        """Start the process again."""
        self.crashed = False

    def freeze(self) -> None:
        """Stop all work."""
        self._gate.hold(FREEZE_HOLD)

    def thaw(self) -> None:
        """Go on with the work."""
        self._gate.release(FREEZE_HOLD)
