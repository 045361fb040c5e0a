"""Batched, best-effort notices to other nodes.

There is at most one call in flight per node. Notices that are queued meanwhile go out together in
the next call, which bounds memory when one event produces a notice for every node.
"""

from collections.abc import Iterable

from drumbay.comm.network_address import NetworkAddress
from drumbay.observability.logs import log_event
from drumbay.peers.messages import Notice, Notices, PlacesNotice
from drumbay.peers.transport import PeerClient, PeerUnavailableError
from drumbay.tasks import TaskOwner

NOTICE_TIMEOUT_SECONDS = 0.3
MAX_QUEUE_LENGTH = 4_096
"""Per node; the oldest notices are dropped, since they are only hints."""

MAX_KNOWN_OUTCOMES = 64
"""Nodes whose last call counts in :attr:`NoticeQueues.is_cut_off`."""


class NoticeQueues:
    """Queues of pending notices, one per node."""

    def __init__(self, peers: PeerClient, task_owner: TaskOwner) -> None:
        """Create empty queues."""
        self._peers = peers
        self._task_owner = task_owner
        self._queues: dict[NetworkAddress, list[Notice]] = {}
        self._has_arrived: dict[NetworkAddress, bool] = {}

    @property
    def is_cut_off(self) -> bool:
        """Return whether the last notices to most nodes did not arrive.

        The notices of others then probably do not arrive here either.
        """
        return 2 * sum(self._has_arrived.values()) < len(self._has_arrived)

    def send(self, addresses: Iterable[NetworkAddress], notice: Notice) -> None:
        """Queue a notice for delivery at most once to each node.

        A :class:`PlacesNotice` replaces a queued one.
        """
        for address in addresses:
            queue = self._queues.get(address)
            if queue is None:
                self._queues[address] = [notice]
                self._task_owner.spawn(self._drain(address), "notices")
                continue
            if isinstance(notice, PlacesNotice):
                queue[:] = [queued for queued in queue if not isinstance(queued, PlacesNotice)]
            queue.append(notice)
            if len(queue) > MAX_QUEUE_LENGTH:
                queue.pop(0)

    async def _drain(self, address: NetworkAddress) -> None:
        """Send queued notices to one node until its queue is empty."""
        try:
            while notices := tuple(self._queues[address]):
                self._queues[address].clear()
                await self._call(address, Notices(notices=notices))
        finally:
            del self._queues[address]

    async def _call(self, address: NetworkAddress, notices: Notices) -> None:
        try:
            await self._peers.call(address, notices, NOTICE_TIMEOUT_SECONDS)
            self._record_outcome(address, has_arrived=True)
        except PeerUnavailableError as error:
            self._record_outcome(address, has_arrived=False)
            log_event(
                "notices_not_told",
                level="DEBUG",
                node=str(address),
                notices=len(notices.notices),
                error=error.code,
            )

    def _record_outcome(self, address: NetworkAddress, *, has_arrived: bool) -> None:
        """Store the outcome of the last call to a node; the longest unused one makes room."""
        self._has_arrived.pop(address, None)
        self._has_arrived[address] = has_arrived
        if len(self._has_arrived) > MAX_KNOWN_OUTCOMES:
            del self._has_arrived[next(iter(self._has_arrived))]
