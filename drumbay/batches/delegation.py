"""Asks nodes in the allowed regions to do what this node may not do with a batch job."""

from drumbay.batches.body_holders import BodyHolders
from drumbay.batches.records import BatchId
from drumbay.identifiers import Revision
from drumbay.observability.logs import log_event
from drumbay.peers.messages import (
    DeleteBatch,
    DoneReply,
    NotOwnerReply,
    PeerReply,
    TakeOverBatch,
    UnavailableReply,
)
from drumbay.peers.transport import PeerClient, PeerUnavailableError
from drumbay.placement.regions import AllowedRegions

DELEGATION_ATTEMPTS = 3
"""Nodes that are asked at most, one after the other."""

TAKEOVER_TIMEOUT_SECONDS = 0.8
"""A takeover makes three calls to the store, and readers wait for it."""


class Delegation:
    """Calls nodes in the allowed regions one after the other; no body passes through this node."""

    def __init__(self, peers: PeerClient, holders: BodyHolders) -> None:
        """Call the nodes that ``holders`` allows."""
        self._peers = peers
        self._holders = holders

    async def take_over(
        self,
        batch_id: BatchId,
        owner_revision: Revision,
        regions: AllowedRegions,
        *,
        owner_is_gone: bool,
    ) -> bool:
        """Ask other nodes to take over a batch job.

        Returns:
            Whether one has, or the owner is no longer the one of ``owner_revision``.
        """
        request = TakeOverBatch(
            batch_id=batch_id, owner_revision=owner_revision, owner_is_gone=owner_is_gone
        )
        reply = await self.request(request, regions, TAKEOVER_TIMEOUT_SECONDS)
        return isinstance(reply, DoneReply | NotOwnerReply)

    async def request(
        self,
        request: TakeOverBatch | DeleteBatch,
        regions: AllowedRegions,
        timeout_seconds: float,
    ) -> PeerReply:
        """Call nodes until one can serve the request, and return its reply.

        If none can, the reply is :class:`UnavailableReply`.
        """
        batch_id = request.batch_id
        nodes = self._holders.ranked(batch_id, regions)[:DELEGATION_ATTEMPTS]
        for address in nodes:
            try:
                reply = await self._peers.call(address, request, timeout_seconds)
            except PeerUnavailableError:
                self._holders.mark_unresponsive(address)
                reply = UnavailableReply()
            log_event(
                "batch_delegated",
                batch=batch_id,
                request=type(request).__name__,
                node=str(address),
                reply=type(reply).__name__,
                allowed_regions=",".join(regions.names()),
            )
            if not isinstance(reply, UnavailableReply):
                return reply
        log_event(
            "batch_not_delegated",
            level="WARNING",
            batch=batch_id,
            request=type(request).__name__,
            nodes=len(nodes),
            allowed_regions=",".join(regions.names()),
        )
        return UnavailableReply()
