"""Asks the nodes that own open batch jobs what these hold and want."""

import asyncio
from collections.abc import Callable, Iterable

import msgspec

from drumbay.batches.places import JobPlaces
from drumbay.clock import Clock
from drumbay.comm.http_exchange import NetworkAddress
from drumbay.observability.logs import log_event
from drumbay.peers.messages import CollectPlaces, PlacesReply
from drumbay.peers.transport import PeerClient, PeerUnavailableError

ANSWER_SECONDS = 0.4
"""A node answers from memory; one that takes longer is busy or cut off. The others count now."""

REPLY_LIFETIME_SECONDS = 3.0
"""A node that falls silent counts with what it told for so long: its jobs outlive a short cut, and
after that another node has taken them up and tells the same."""


class _Told(msgspec.Struct, frozen=True, kw_only=True):
    """What a node told, and when."""

    at: float
    jobs: tuple[JobPlaces, ...]


class PlacesCollector:
    """Knows what the open batch jobs of all nodes hold and want."""

    def __init__(
        self,
        clock: Clock,
        peers: PeerClient,
        own_address: NetworkAddress,
        own_places: Callable[[], tuple[JobPlaces, ...]],
        open_owners: Callable[[], Iterable[NetworkAddress]],
    ) -> None:
        """Create a collector that has heard nobody.

        Args:
            clock: Time.
            peers: Calls to other nodes.
            own_address: This node.
            own_places: Returns what this node's batch jobs hold and want.
            open_owners: Returns the nodes that own open batch jobs.
        """
        self._clock = clock
        self._peers = peers
        self._own_address = own_address
        self._own_places = own_places
        self._open_owners = open_owners
        self._told: dict[NetworkAddress, _Told] = {}

    async def collect(self) -> tuple[JobPlaces, ...]:
        """Ask every owner, and return what all told lately, each batch job once."""
        owners = set(self._open_owners()) - {self._own_address}
        await asyncio.gather(*(self._ask(owner) for owner in owners))
        since = self._clock.monotonic() - REPLY_LIFETIME_SECONDS
        self._told = {
            owner: told
            for owner, told in self._told.items()
            if owner in owners and told.at >= since
        }
        # The newest word on a batch job that has moved from node to node counts.
        in_order = sorted(self._told.values(), key=lambda told: told.at)
        by_id = {job.batch_id: job for told in in_order for job in told.jobs}
        by_id.update((job.batch_id, job) for job in self._own_places())
        return tuple(by_id[batch_id] for batch_id in sorted(by_id))

    async def _ask(self, owner: NetworkAddress) -> None:
        try:
            reply = await self._peers.call(owner, CollectPlaces(), ANSWER_SECONDS)
        except PeerUnavailableError as error:
            log_event("places_not_told", level="WARNING", owner=str(owner), detail=str(error))
            return
        if not isinstance(reply, PlacesReply):
            log_event("places_not_told", level="WARNING", owner=str(owner), detail="another reply")
            return
        self._told[owner] = _Told(at=self._clock.monotonic(), jobs=reply.jobs)
