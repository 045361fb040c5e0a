"""Queue of updates to piggyback, each sent a bounded number of times (SWIM, section 4.1)."""

import heapq
import math

import msgspec

from drumbay.comm.codec import encoded_size_bytes
from drumbay.identifiers import NodeId
from drumbay.membership.messages import MembershipDatagram
from drumbay.membership.records import Member, StateUpdate


class _QueuedUpdate:
    """A queued update and the number of its transmissions."""

    def __init__(self, update: StateUpdate | Member, order: int) -> None:
        self.update = update
        self.size_bytes = len(msgspec.msgpack.encode(update))
        self.transmissions = 0
        self.order = order


def retransmit_limit(multiplier: float, member_count: int) -> int:
    """Return how often a node sends an update; grows with log10 of the cluster size."""
    return max(1, math.ceil(multiplier * math.log10(member_count + 1)))


class DisseminationQueue:
    """Queued updates, at most one per member; those sent least often go first."""

    def __init__(self, retransmit_multiplier: float) -> None:
        """Create an empty queue."""
        self._multiplier = retransmit_multiplier
        self._queued: dict[NodeId, _QueuedUpdate] = {}
        self._order = 0

    def __len__(self) -> int:
        """Return the number of queued updates."""
        return len(self._queued)

    def add(self, update: StateUpdate | Member) -> None:
        """Queue an update; it replaces an older one about the same member."""
        self._order += 1
        self._queued[update.node_id] = _QueuedUpdate(update, self._order)

    def add_if_absent(self, update: StateUpdate | Member) -> None:
        """Queue an update unless one about the same member is queued."""
        if update.node_id not in self._queued:
            self.add(update)

    def attach(
        self,
        message: MembershipDatagram,
        limit_bytes: int,
        member_count: int,
        first: StateUpdate | None = None,
    ) -> MembershipDatagram:
        """Return the message with as many queued updates as fit.

        Args:
            message: A datagram without updates.
            limit_bytes: Largest encoded size of the result.
            member_count: Size of the cluster, which determines the retransmit limit.
            first: Update about the recipient, sent ahead of the queue.
        """
        if not self._queued and first is None:
            return message
        available_bytes = limit_bytes - encoded_size_bytes(message)
        updates: list[StateUpdate] = []
        records: list[Member] = []
        if first is not None:
            updates.append(first)
            available_bytes -= len(msgspec.msgpack.encode(first))
        for queued in self._select(available_bytes, member_count):
            if isinstance(queued.update, Member):
                records.append(queued.update)
            else:
                updates.append(queued.update)
        return msgspec.structs.replace(message, updates=tuple(updates), records=tuple(records))

    def _select(self, available_bytes: int, member_count: int) -> list[_QueuedUpdate]:
        selected: list[_QueuedUpdate] = []
        limit = retransmit_limit(self._multiplier, member_count)
        heap = [(each.transmissions, -each.order, node) for node, each in self._queued.items()]
        heapq.heapify(heap)
        while heap:
            _, _, node_id = heapq.heappop(heap)
            queued = self._queued[node_id]
            # Reserve two bytes: each of the two arrays may need a longer length prefix.
            if queued.size_bytes + 2 > available_bytes:
                break
            available_bytes -= queued.size_bytes
            queued.transmissions += 1
            selected.append(queued)
            if queued.transmissions >= limit:
                del self._queued[node_id]
        return selected
