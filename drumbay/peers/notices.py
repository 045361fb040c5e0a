"""Notices to other nodes: one call a node at a time, which carries all that came meanwhile.

A leader that loads a version on many workers has a notice for every node at each load. A call and a
task for each of them took 300 MB at 300 nodes and 3,000 workers, and ended the process.
"""

from collections.abc import Iterable

from drumbay.comm.http_exchange import NetworkAddress
from drumbay.observability.logs import log_event
from drumbay.peers.messages import Notice, Notices, PlacesNotice
from drumbay.peers.transport import PeerClient, PeerUnavailableError
from drumbay.tasks import TaskOwner

NOTICE_TIMEOUT_SECONDS = 0.3
"""Calls between nodes take milliseconds. One that is silent for longer gets the next notice with
what is new by then, rather than holding this one up."""

LONGEST_QUEUE = 4_096
"""Notices that wait for a node that is slow; older ones are dropped. Each saves the node a refused
request or a read, and nothing depends on it. More than a leader's loads at 3,000 workers."""


class NoticeQueues:
    """What each node is still to be told."""

    def __init__(self, peers: PeerClient, task_owner: TaskOwner) -> None:
        """Wait for nothing."""
        self._peers = peers
        self._task_owner = task_owner
        self._waiting: dict[NetworkAddress, list[Notice]] = {}

    def tell(self, addresses: Iterable[NetworkAddress], notice: Notice) -> None:
        """Tell nodes of something, soon and at most once.

        What a node's batch jobs hold replaces what waits to be told of them.
        """
        for address in addresses:
            queue = self._waiting.get(address)
            if queue is None:
                self._waiting[address] = [notice]
                self._task_owner.spawn(self._send(address), "notices")
                continue
            if isinstance(notice, PlacesNotice):
                queue[:] = [waiting for waiting in queue if not isinstance(waiting, PlacesNotice)]
            queue.append(notice)
            if len(queue) > LONGEST_QUEUE:
                queue.pop(0)

    async def _send(self, address: NetworkAddress) -> None:
        """Tell one node all that waits for it, until nothing does."""
        try:
            while notices := tuple(self._waiting[address]):
                self._waiting[address].clear()
                await self._call(address, Notices(notices=notices))
        finally:
            del self._waiting[address]

    async def _call(self, address: NetworkAddress, notices: Notices) -> None:
        try:
            await self._peers.call(address, notices, NOTICE_TIMEOUT_SECONDS)
        except PeerUnavailableError as error:
            log_event(
                "notices_not_told",
                level="DEBUG",
                node=str(address),
                notices=len(notices.notices),
                error=error.code,
            )
