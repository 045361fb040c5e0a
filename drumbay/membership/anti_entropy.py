"""Anti-entropy exchange between two nodes whose member tables differ.

Anti-entropy (Demers et al. 1987, section 1.3) repairs what gossip has missed: a new node's empty
table, updates in lost datagrams, and changes on the other side of a partition. Members are hashed
into buckets. Only buckets whose digests differ are sent, as compact updates and a bounded number at
a time; full records follow only for members that the receiver does not know.
"""

import random
from typing import TypeVar

import msgspec

from drumbay.comm.codec import MAX_DATAGRAM_MESSAGE_BYTES, encoded_size_bytes
from drumbay.comm.interface import Address
from drumbay.identifiers import NodeId
from drumbay.membership.member_table import DIGEST_BUCKETS, MemberTable, bucket_of
from drumbay.membership.messages import SyncMembers, SyncRequest, SyncUpdates, SyncWanted
from drumbay.membership.outbox import Outbox
from drumbay.membership.records import Member, StateUpdate, boot_mark_of, state_update_of

MAX_BUCKETS_PER_EXCHANGE = 32

ItemT = TypeVar("ItemT", Member, StateUpdate)


class AntiEntropy:
    """Starts and serves exchanges; keeps no state between datagrams."""

    def __init__(self, table: MemberTable, outbox: Outbox, rng: random.Random) -> None:
        """Create the exchange of a member table."""
        self._table = table
        self._outbox = outbox
        self._random = rng

    def start(self, peer: Address, peer_id: NodeId | None) -> None:
        """Send this node's digests to a peer."""
        request = SyncRequest(
            sender=self._self_id(),
            record=self._table.self_member,
            digests=tuple(self._table.digests()),
        )
        self._outbox.send(peer, peer_id, request)

    def handle_request(self, sender: Address, request: SyncRequest) -> None:
        """Send the differing buckets, and request the sender's version of them."""
        if len(request.digests) != DIGEST_BUCKETS:
            return
        own_digests = self._table.digests()
        # The two nodes' own buckets come first, so that each can refute a wrong state at once;
        # the others in random rotation, so that repeated exchanges cover all of them.
        start = self._random.randrange(DIGEST_BUCKETS)
        rotation = [(start + step) % DIGEST_BUCKETS for step in range(DIGEST_BUCKETS)]
        order = dict.fromkeys([bucket_of(request.sender), bucket_of(self._self_id()), *rotation])
        differing = [each for each in order if own_digests[each] != request.digests[each]]
        chosen = differing[:MAX_BUCKETS_PER_EXCHANGE]
        if chosen:
            self._send_buckets(sender, chosen, wanted=tuple(chosen))

    def handle_updates(self, sender: Address, message: SyncUpdates) -> bool:
        """Request unknown members, and send the buckets that the peer requested.

        Returns:
            Whether there are unknown members, which stay unknown if the next datagram is lost.
        """
        unknown = [each.node_id for each in message.bucket_updates if self._is_unknown(each)]
        if unknown:
            wanted = SyncWanted(sender=self._self_id(), node_ids=tuple(unknown))
            self._outbox.send_plain(sender, wanted)
        buckets = [each for each in message.wanted_buckets if 0 <= each < DIGEST_BUCKETS]
        if buckets:
            self._send_buckets(sender, buckets[:MAX_BUCKETS_PER_EXCHANGE], wanted=())
        return bool(unknown)

    def handle_wanted(self, sender: Address, message: SyncWanted) -> None:
        """Send the full records that the peer requested."""
        found = [self._table.get(node_id) for node_id in message.node_ids]
        members = [member for member in found if member is not None]
        empty = SyncMembers(sender=self._self_id(), members=())
        for page in _pages(members, _available_bytes(empty)):
            self._outbox.send_plain(sender, msgspec.structs.replace(empty, members=tuple(page)))

    def _self_id(self) -> NodeId:
        return self._table.self_member.node_id

    def _is_unknown(self, update: StateUpdate) -> bool:
        """Return whether this node needs the full record of the member."""
        known = self._table.get(update.node_id)
        if known is None:
            return update.is_reachable
        is_other_boot = boot_mark_of(known.boot_id) != update.boot_mark
        return is_other_boot and update.incarnation >= known.incarnation

    def _send_buckets(self, peer: Address, buckets: list[int], wanted: tuple[int, ...]) -> None:
        members = [member for bucket in buckets for member in self._table.bucket(bucket)]
        updates = [state_update_of(member) for member in members]
        empty = SyncUpdates(sender=self._self_id(), bucket_updates=(), wanted_buckets=wanted)
        pages = _pages(updates, _available_bytes(empty))
        for number, page in enumerate(pages):
            is_last = number == len(pages) - 1
            message = msgspec.structs.replace(
                empty, bucket_updates=tuple(page), wanted_buckets=wanted if is_last else ()
            )
            self._outbox.send_plain(peer, message)


def _available_bytes(empty: SyncUpdates | SyncMembers) -> int:
    # Reserve two bytes, since a longer array needs a longer length prefix.
    return MAX_DATAGRAM_MESSAGE_BYTES - encoded_size_bytes(empty) - 2


def _pages(items: list[ItemT], available_bytes: int) -> list[list[ItemT]]:
    """Split items into one or more lists of at most ``available_bytes`` when encoded."""
    pages: list[list[ItemT]] = [[]]
    remaining_bytes = available_bytes
    for item in items:
        size_bytes = len(msgspec.msgpack.encode(item))
        if size_bytes > remaining_bytes and pages[-1]:
            pages.append([])
            remaining_bytes = available_bytes
        pages[-1].append(item)
        remaining_bytes -= size_bytes
    return pages
