"""State of an emulated engine that survives restarts of its process."""

import random

from drumbay.clock import Clock
from drumbay.identifiers import BackendId
from drumbay.standins.engine_parameters import EngineParameters
from drumbay.standins.faults import FaultKind
from drumbay.standins.process_context import ProcessContext
from drumbay.standins.process_gate import ProcessGate

ENGINE_FAULTS = (
    FaultKind.SWAP_FAILS,
    FaultKind.SWAP_FAILS_ACKNOWLEDGED,
    FaultKind.ORDER_ANSWER_LOST,
    FaultKind.CROSSED_ANSWER,
    FaultKind.TRUNCATED_ANSWER,
    FaultKind.LATE_ANSWER,
    FaultKind.SLOW,
)


class EngineContext(ProcessContext):
    """Process context with the parameters and the swap gate of an engine.

    Attributes:
        parameters: Sizes, rates and delays.
        swap_gate: Closed while weights are swapped.
    """

    def __init__(
        self,
        clock: Clock,
        backend_id: BackendId,
        random_source: random.Random,
        parameters: EngineParameters,
    ) -> None:
        """Create the context of an engine."""
        super().__init__(clock, backend_id, random_source, ENGINE_FAULTS)
        self.parameters = parameters
        self.swap_gate = ProcessGate()

    async def decode(self, seconds: float) -> None:
        """Spend time on work that pauses while the process is frozen or weights are swapped."""
        await self.work(seconds)
        while not (self.freeze_gate.is_open and self.swap_gate.is_open):
            await self.freeze_gate.wait_open()
            await self.swap_gate.wait_open()
