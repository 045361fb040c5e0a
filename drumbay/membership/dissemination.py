"""News waiting to be piggybacked, each sent a bounded number of times (SWIM, section 4.1)."""

import heapq
import math

import msgspec

from drumbay.comm.codec import encoded_size_bytes
from drumbay.identifiers import NodeId
from drumbay.membership.messages import MembershipDatagram
from drumbay.membership.records import Member, StateUpdate


class _QueuedNews:
    """One piece of news and how often it was sent."""

    def __init__(self, news: StateUpdate | Member, order: int) -> None:
        self.news = news
        self.size_bytes = len(msgspec.msgpack.encode(news))
        self.transmissions = 0
        self.order = order


def retransmit_limit(multiplier: float, member_count: int) -> int:
    """Return how often one node sends a piece of news: multiplier times log10 of the size."""
    return max(1, math.ceil(multiplier * math.log10(member_count + 1)))


class DisseminationQueue:
    """News about members, at most one piece each, the least often sent first."""

    def __init__(self, retransmit_multiplier: float) -> None:
        """Create an empty queue."""
        self._multiplier = retransmit_multiplier
        self._queued: dict[NodeId, _QueuedNews] = {}
        self._order = 0

    def __len__(self) -> int:
        """Return how many pieces of news wait."""
        return len(self._queued)

    def add(self, news: StateUpdate | Member) -> None:
        """Queue news; it replaces older news about the same member."""
        self._order += 1
        self._queued[news.node_id] = _QueuedNews(news, self._order)

    def add_if_absent(self, news: StateUpdate | Member) -> None:
        """Queue news unless something about the same member waits already."""
        if news.node_id not in self._queued:
            self.add(news)

    def attach(
        self,
        message: MembershipDatagram,
        limit_bytes: int,
        member_count: int,
        first: StateUpdate | None = None,
    ) -> MembershipDatagram:
        """Return the message with as much news as fits.

        Args:
            message: A datagram without news.
            limit_bytes: Largest encoded size of the result.
            member_count: Size of the cluster, which sets the retransmit limit.
            first: News for the recipient itself, ahead of the queue.
        """
        if not self._queued and first is None:
            return message
        room = limit_bytes - encoded_size_bytes(message)
        updates: list[StateUpdate] = []
        records: list[Member] = []
        if first is not None:
            updates.append(first)
            room -= len(msgspec.msgpack.encode(first))
        for queued in self._take(room, member_count):
            if isinstance(queued.news, Member):
                records.append(queued.news)
            else:
                updates.append(queued.news)
        return msgspec.structs.replace(message, updates=tuple(updates), records=tuple(records))

    def _take(self, room: int, member_count: int) -> list[_QueuedNews]:
        taken: list[_QueuedNews] = []
        limit = retransmit_limit(self._multiplier, member_count)
        heap = [(each.transmissions, -each.order, node) for node, each in self._queued.items()]
        heapq.heapify(heap)
        while heap:
            _, _, node_id = heapq.heappop(heap)
            queued = self._queued[node_id]
            # Two bytes: each array may need a longer length prefix.
            if queued.size_bytes + 2 > room:
                break
            room -= queued.size_bytes
            queued.transmissions += 1
            taken.append(queued)
            if queued.transmissions >= limit:
                del self._queued[node_id]
        return taken
