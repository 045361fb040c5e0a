"""Asks nodes in the allowed regions to own batch jobs that this node may not hold."""

from drumbay.batches.body_holders import BodyHolders
from drumbay.batches.records import BatchId
from drumbay.identifiers import Revision
from drumbay.observability.logs import log_event
from drumbay.peers.messages import (
    DoneReply,
    NotOwnerReply,
    PeerReply,
    TakeOverBatch,
    UnavailableReply,
)
from drumbay.peers.transport import PeerClient, PeerUnavailableError
from drumbay.placement.regions import AllowedRegions

REQUEST_ATTEMPTS = 3
REQUEST_TIMEOUT_SECONDS = 0.8
"""A takeover takes three calls of the store; readers wait for it."""


class TakeoverRequests:
    """Requests takeovers by other nodes; no body passes through this one."""

    def __init__(self, peers: PeerClient, holders: BodyHolders) -> None:
        """Call the nodes that ``holders`` allows."""
        self._peers = peers
        self._holders = holders

    async def request(
        self,
        batch_id: BatchId,
        owner_revision: Revision,
        regions: AllowedRegions,
        *,
        owner_is_gone: bool,
    ) -> bool:
        """Return whether another node owns the batch job now, or its owner had changed before."""
        request = TakeOverBatch(
            batch_id=batch_id, owner_revision=owner_revision, owner_is_gone=owner_is_gone
        )
        nodes = self._holders.ranked(batch_id, regions)[:REQUEST_ATTEMPTS]
        for address in nodes:
            try:
                reply: PeerReply = await self._peers.call(address, request, REQUEST_TIMEOUT_SECONDS)
            except PeerUnavailableError:
                self._holders.mark_unresponsive(address)
                reply = UnavailableReply()
            log_event(
                "batch_takeover_requested",
                batch=batch_id,
                node=str(address),
                reply=type(reply).__name__,
                allowed_regions=",".join(regions.names()),
            )
            if isinstance(reply, DoneReply | NotOwnerReply):
                return True
        log_event(
            "batch_takeover_failed",
            level="WARNING",
            batch=batch_id,
            nodes=len(nodes),
            allowed_regions=",".join(regions.names()),
        )
        return False
