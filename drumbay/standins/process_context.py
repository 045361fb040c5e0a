"""State of an emulated process that survives restarts."""

import random
from collections.abc import Callable

from drumbay.clock import Clock
from drumbay.identifiers import BackendId, BootId
from drumbay.standins.execution_log import ExecutionLog, ProcessCrashed, ProcessStarted
from drumbay.standins.faults import SLOW_FACTOR, FaultKind, FaultSwitches
from drumbay.standins.process_gate import FREEZE_HOLD, ProcessGate
from drumbay.tasks import TaskOwner

BOOT_ID_BITS = 48
MILLISECONDS_PER_SECOND = 1000


class ProcessContext:
    """Clock, log, faults and freeze gate of an emulated process.

    Attributes:
        clock: Clock of the process.
        backend_id: Name of the process.
        random_source: Source of randomness.
        log: Execution log.
        faults: Injectable faults.
        freeze_gate: Closed while the process is frozen.
        tasks: Owner of the background tasks.
        on_crash: Called when the process crashes, so that a server can close its connections.
    """

    def __init__(
        self,
        clock: Clock,
        backend_id: BackendId,
        random_source: random.Random,
        supported_faults: tuple[FaultKind, ...],
    ) -> None:
        """Create the context of a process."""
        self.clock = clock
        self.backend_id = backend_id
        self.random_source = random_source
        self.log = ExecutionLog()
        self.faults = FaultSwitches(supported_faults)
        self.freeze_gate = ProcessGate()
        self.tasks = TaskOwner()
        self.on_crash: Callable[[], None] | None = None

    def freeze(self) -> None:
        """Pause all work; requests are still accepted but get no response."""
        self.freeze_gate.hold(FREEZE_HOLD)

    def resume(self) -> None:
        """Resume the work of a frozen process."""
        self.freeze_gate.release(FREEZE_HOLD)

    async def work(self, seconds: float) -> None:
        """Spend time on work, longer with the fault ``slow``, and wait while frozen."""
        slowdown = SLOW_FACTOR if self.faults.should_inject(FaultKind.SLOW) else 1.0
        await self.clock.sleep(seconds * slowdown)
        await self.freeze_gate.wait_open()

    def start_run(self) -> BootId:
        """Create the boot id of a new process and log the start."""
        bits = self.random_source.getrandbits(BOOT_ID_BITS)
        # The start time distinguishes processes that are started with the same seed.
        started = round(self.clock.wall() * MILLISECONDS_PER_SECOND)
        boot_id = BootId(f"{self.backend_id}-{started:x}-{bits:012x}")
        now = self.clock.monotonic()
        record = ProcessStarted(time_seconds=now, source=self.backend_id, boot_id=boot_id)
        self.log.append(record)
        return boot_id

    def log_crash(self, boot_id: BootId) -> None:
        """Log a crash and call ``on_crash``."""
        now = self.clock.monotonic()
        record = ProcessCrashed(time_seconds=now, source=self.backend_id, boot_id=boot_id)
        self.log.append(record)
        if self.on_crash is not None:
            self.on_crash()
