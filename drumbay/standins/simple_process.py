"""Crash and freeze of an emulated process without volatile state."""

from collections.abc import Callable

from drumbay.standins.execution_log import ExecutionLog
from drumbay.standins.faults import FaultKind, FaultSwitches
from drumbay.standins.process_gate import FREEZE_HOLD, ProcessGate


class SimpleProcess:
    """Base class of emulators whose state survives a crash.

    Attributes:
        log: Execution log.
        faults: Injectable faults.
        crashed: Whether the process is down.
    """

    def __init__(self, supported_faults: tuple[FaultKind, ...] = ()) -> None:
        """Create a running process."""
        self.log = ExecutionLog()
        self.faults = FaultSwitches(supported_faults)
        self.crashed = False
        self._gate = ProcessGate()
        self._on_crash: Callable[[], None] | None = None

    def set_crash_callback(self, on_crash: Callable[[], None]) -> None:
        """Set the function that is called when the process crashes."""
        self._on_crash = on_crash

    def crash(self) -> None:
        """Crash the process."""
        if self.crashed:
            return
        self.crashed = True
        self.resume()
        if self._on_crash is not None:
            self._on_crash()

    def restart(self) -> None:
        """Restart the process."""
        self.crashed = False

    def freeze(self) -> None:
        """Pause all work."""
        self._gate.hold(FREEZE_HOLD)

    def resume(self) -> None:
        """Resume the work."""
        self._gate.release(FREEZE_HOLD)
