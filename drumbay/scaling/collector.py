"""Collects the slot demand of open batch jobs from the nodes that own them."""

import asyncio
from collections.abc import Callable, Iterable

import msgspec

from drumbay.batches.slot_usage import JobSlotUsage
from drumbay.clock import Clock
from drumbay.comm.network_address import NetworkAddress
from drumbay.observability.logs import log_event
from drumbay.peers.messages import CollectPlaces, PlacesReply
from drumbay.peers.transport import PeerClient, PeerUnavailableError

REPLY_TIMEOUT_SECONDS = 0.4
"""Timeout of a call to an owner, which replies from memory."""

REPLY_LIFETIME_SECONDS = 3.0
"""The last reply of an unreachable node is used for this time. After that, another node has taken
over its batch jobs and reports them."""


class _OwnerReply(msgspec.Struct, frozen=True, kw_only=True):
    """The last reply of a node."""

    received_at: float
    jobs: tuple[JobSlotUsage, ...]


class DemandCollector:
    """Collects the slot demand of the open batch jobs of all nodes."""

    def __init__(
        self,
        clock: Clock,
        peers: PeerClient,
        own_address: NetworkAddress,
        own_slot_usage: Callable[[], tuple[JobSlotUsage, ...]],
        open_batch_owners: Callable[[], Iterable[NetworkAddress]],
    ) -> None:
        """Create a collector without replies.

        Args:
            clock: Clock.
            peers: Calls to other nodes.
            own_address: Address of this node.
            own_slot_usage: Returns the slot demand of this node's batch jobs.
            open_batch_owners: Returns the nodes that own open batch jobs.
        """
        self._clock = clock
        self._peers = peers
        self._own_address = own_address
        self._own_slot_usage = own_slot_usage
        self._open_batch_owners = open_batch_owners
        self._replies: dict[NetworkAddress, _OwnerReply] = {}

    async def collect(self) -> tuple[JobSlotUsage, ...]:
        """Query every owner; return the recently reported batch jobs, each once."""
        owners = set(self._open_batch_owners()) - {self._own_address}
        await asyncio.gather(*(self._query(owner) for owner in owners))
        since = self._clock.monotonic() - REPLY_LIFETIME_SECONDS
        self._replies = {
            owner: reply
            for owner, reply in self._replies.items()
            if owner in owners and reply.received_at >= since
        }
        # For a batch job that moved between nodes, the newest report is used.
        oldest_first = sorted(self._replies.values(), key=lambda reply: reply.received_at)
        by_id = {job.batch_id: job for reply in oldest_first for job in reply.jobs}
        by_id.update((job.batch_id, job) for job in self._own_slot_usage())
        return tuple(by_id[batch_id] for batch_id in sorted(by_id))

    async def _query(self, owner: NetworkAddress) -> None:
        try:
            response = await self._peers.call(owner, CollectPlaces(), REPLY_TIMEOUT_SECONDS)
        except PeerUnavailableError as error:
            log_event("places_not_told", level="WARNING", owner=str(owner), detail=str(error))
            return
        if not isinstance(response, PlacesReply):
            log_event("places_not_told", level="WARNING", owner=str(owner), detail="another reply")
            return
        self._replies[owner] = _OwnerReply(received_at=self._clock.monotonic(), jobs=response.jobs)
