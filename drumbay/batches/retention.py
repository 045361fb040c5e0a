"""Deletes ended batch jobs from the store after their retention time.

The leader sweeps periodically. Open batch jobs are kept regardless of their age.
"""

from collections.abc import Awaitable, Callable

from drumbay.batches.exceptions import BatchNotDelegatedError, BatchNotFoundError
from drumbay.batches.ledger import BatchLedger
from drumbay.batches.records import BatchId, OwnerRecord, OwnerState
from drumbay.clock import Clock
from drumbay.kv.interface import KeyValueError
from drumbay.observability.logs import log_event

SWEEP_INTERVAL_SECONDS = 120.0
CLOCK_SKEW_MARGIN_SECONDS = 120.0
"""Added to the retention time to allow for clock skew between machines."""


class BatchRetention:
    """Deletes expired batch jobs while this node is the leader."""

    def __init__(
        self,
        clock: Clock,
        ledger: BatchLedger,
        keep_seconds: float,
        is_leader: Callable[[], bool],
        delete: Callable[[BatchId, OwnerRecord], Awaitable[None]] | None = None,
    ) -> None:
        """Keep batch jobs for ``keep_seconds`` after their submission, plus a margin.

        ``delete`` deletes an ended batch job where its bodies may be read; by default this node
        does.
        """
        self._clock = clock
        self._ledger = ledger
        self._keep_seconds = keep_seconds
        self._is_leader = is_leader
        self._delete_where_allowed = delete

    async def run(self) -> None:
        """Sweep periodically until cancelled."""
        while True:
            await self._clock.sleep(SWEEP_INTERVAL_SECONDS)
            if not self._is_leader():
                continue
            try:
                await self.sweep()
            except KeyValueError as error:
                log_event("batch_sweep_failed", level="WARNING", error=error.code)

    async def sweep(self) -> None:
        """Delete every ended batch job past its retention time."""
        cutoff = self._clock.wall() - self._keep_seconds - CLOCK_SKEW_MARGIN_SECONDS
        for batch_id in await self._ledger.submitted_before(cutoff):
            try:
                is_deleted = await self._delete_if_ended(batch_id)
            except BatchNotDelegatedError as error:
                log_event("batch_not_deleted", level="WARNING", batch=batch_id, error=error.code)
                continue
            if is_deleted:
                log_event("batch_deleted", batch=batch_id)

    async def _delete_if_ended(self, batch_id: BatchId) -> bool:
        try:
            owner = await self._ledger.read_owner(batch_id)
        except BatchNotFoundError:
            # An earlier, interrupted deletion removed the owner record, after all bodies.
            await self._ledger.delete(batch_id)
            return True
        if owner.record.state is not OwnerState.ENDED:
            return False
        if self._delete_where_allowed is None:
            await self._ledger.delete(batch_id)
        else:
            await self._delete_where_allowed(batch_id, owner.record)
        return True
