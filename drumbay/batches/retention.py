"""Removes ended batch jobs from the store once nobody may read them any more.

The leader looks now and again. A batch job that has not ended stays, however old it is.
"""

from collections.abc import Callable

from drumbay.batches.exceptions import BatchNotFoundError
from drumbay.batches.ledger import BatchLedger
from drumbay.batches.records import BatchId, OwnerState
from drumbay.clock import Clock
from drumbay.kv.interface import KeyValueError
from drumbay.observability.logs import log_event

SWEEP_INTERVAL_SECONDS = 120.0
MARGIN_SECONDS = 120.0
"""Added to the time that results must stay: clocks of machines differ by seconds."""


class BatchRetention:
    """Deletes what has been kept long enough, while this node leads."""

    def __init__(
        self,
        clock: Clock,
        ledger: BatchLedger,
        keep_seconds: float,
        is_leader: Callable[[], bool],
    ) -> None:
        """Keep batch jobs for ``keep_seconds`` after their submission, and a margin."""
        self._clock = clock
        self._ledger = ledger
        self._keep_seconds = keep_seconds
        self._is_leader = is_leader

    async def run(self) -> None:
        """Sweep now and again until cancelled."""
        while True:
            await self._clock.sleep(SWEEP_INTERVAL_SECONDS)
            if not self._is_leader():
                continue
            try:
                await self.sweep()
            except KeyValueError as error:
                log_event("batch_sweep_failed", level="WARNING", error=error.code)

    async def sweep(self) -> None:
        """Delete every ended batch job that is old enough."""
        limit = self._clock.wall() - self._keep_seconds - MARGIN_SECONDS
        for batch_id in await self._ledger.submitted_before(limit):
            if await self._has_ended(batch_id):
                await self._ledger.delete(batch_id)
                log_event("batch_deleted", batch=batch_id)

    async def _has_ended(self, batch_id: BatchId) -> bool:
        try:
            owner = await self._ledger.read_owner(batch_id)
        except BatchNotFoundError:
            # An earlier deletion came as far as the owner record.
            return True
        return owner.record.state is OwnerState.ENDED
