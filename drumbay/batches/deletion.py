"""Deletes ended batch jobs, at a node that may read their bodies.

Deletion reads a batch job to learn its keys. A node outside the allowed regions asks one inside.
"""

from drumbay.batches.body_holders import BodyHolders
from drumbay.batches.delegation import Delegation
from drumbay.batches.exceptions import BatchNotDelegatedError, BatchNotFoundError
from drumbay.batches.ledger import BatchLedger
from drumbay.batches.records import BatchId, OwnerRecord, OwnerState
from drumbay.kv.interface import KeyValueError
from drumbay.observability.logs import log_event
from drumbay.peers.messages import (
    DeleteBatch,
    DoneReply,
    NotOwnerReply,
    PeerReply,
    UnavailableReply,
)

DELETE_TIMEOUT_SECONDS = 4.0


class BatchDeletion:
    """Deletes ended batch jobs here or through other nodes."""

    def __init__(self, ledger: BatchLedger, delegation: Delegation, holders: BodyHolders) -> None:
        """Delete from ``ledger`` here where ``holders`` allows it, else by ``delegation``."""
        self._ledger = ledger
        self._delegation = delegation
        self._holders = holders

    async def delete(self, batch_id: BatchId, owner: OwnerRecord) -> None:
        """Delete an ended batch job.

        Raises:
            BatchNotDelegatedError: No node in the allowed regions deleted it.
        """
        regions = self._holders.regions_of(owner)
        if self._holders.includes_this_node(regions):
            await self._ledger.within(lambda: regions).delete(batch_id)
            return
        request = DeleteBatch(batch_id=batch_id)
        reply = await self._delegation.request(request, regions, DELETE_TIMEOUT_SECONDS)
        if not isinstance(reply, DoneReply):
            raise BatchNotDelegatedError(batch_id)

    async def handle(self, request: DeleteBatch) -> PeerReply:
        """Delete an ended batch job for a node outside its allowed regions."""
        batch_id = request.batch_id
        try:
            owner = await self._ledger.read_owner(batch_id)
            regions = self._holders.regions_of(owner.record)
            if owner.record.state is not OwnerState.ENDED:
                return NotOwnerReply()
            if not self._holders.includes_this_node(regions):
                return UnavailableReply()
            await self._ledger.within(lambda: regions).delete(batch_id)
        except BatchNotFoundError:
            return DoneReply()
        except KeyValueError as error:
            log_event("batch_not_deleted", level="WARNING", batch=batch_id, error=error.code)
            return UnavailableReply()
        return DoneReply()
