"""Exchange of whole records between two nodes whose tables differ.

Anti-entropy (Demers et al. 1987, section 1.3) repairs what gossip has missed: a new node's empty
table, news lost with datagrams, and all that happened on the far side of a cut. Members are
spread over buckets by hash; only the buckets whose digests differ are sent, a few at a time, so
that an exchange costs bytes in proportion to the difference.
"""

import random

import msgspec

from drumbay.comm.codec import MAX_DATAGRAM_MESSAGE_BYTES, encoded_size_bytes
from drumbay.comm.interface import Address
from drumbay.identifiers import NodeId
from drumbay.membership.member_table import DIGEST_BUCKETS, MemberTable, bucket_of
from drumbay.membership.messages import SyncRecords, SyncRequest
from drumbay.membership.outbox import Outbox
from drumbay.membership.records import Member

MAX_BUCKETS_PER_EXCHANGE = 16


class AntiEntropy:
    """Starts and answers exchanges."""

    def __init__(self, table: MemberTable, outbox: Outbox, rng: random.Random) -> None:
        """Create without exchanges; the protocol keeps no state between datagrams."""
        self._table = table
        self._outbox = outbox
        self._random = rng

    def start(self, peer: Address, peer_id: NodeId | None) -> None:
        """Ask a peer to compare tables."""
        request = SyncRequest(
            sender=self._table.self_member.node_id,
            record=self._table.self_member,
            digests=tuple(self._table.digests()),
        )
        self._outbox.send(peer, peer_id, request)

    def handle_request(self, sender: Address, request: SyncRequest) -> None:
        """Answer with the members of differing buckets, and ask for the sender's."""
        own_digests = self._table.digests()
        if len(request.digests) != DIGEST_BUCKETS:
            return
        # The two nodes' own buckets come first, so that each learns at once what the other
        # says against it; the others in random rotation, so that exchanges cover them all.
        own_id = self._table.self_member.node_id
        start = self._random.randrange(DIGEST_BUCKETS)
        rotation = [(start + step) % DIGEST_BUCKETS for step in range(DIGEST_BUCKETS)]
        order = dict.fromkeys([bucket_of(request.sender), bucket_of(own_id), *rotation])
        differing = [each for each in order if own_digests[each] != request.digests[each]]
        chosen = differing[:MAX_BUCKETS_PER_EXCHANGE]
        if chosen:
            self._send_buckets(sender, chosen, wanted=tuple(chosen))

    def handle_records(self, sender: Address, message: SyncRecords) -> None:
        """Send the members that the peer wants; the caller merges the received ones first."""
        wanted = [each for each in message.wanted_buckets if 0 <= each < DIGEST_BUCKETS]
        if wanted:
            self._send_buckets(sender, wanted[:MAX_BUCKETS_PER_EXCHANGE], wanted=())

    def _send_buckets(self, peer: Address, buckets: list[int], wanted: tuple[int, ...]) -> None:
        members = [member for bucket in buckets for member in self._table.bucket(bucket)]
        empty = SyncRecords(
            sender=self._table.self_member.node_id, bucket_members=(), wanted_buckets=wanted
        )
        room = MAX_DATAGRAM_MESSAGE_BYTES - encoded_size_bytes(empty) - 2
        pages = _pages(members, room)
        for number, page in enumerate(pages):
            last = number == len(pages) - 1
            message = msgspec.structs.replace(
                empty, bucket_members=tuple(page), wanted_buckets=wanted if last else ()
            )
            self._outbox.send_plain(peer, message)


def _pages(members: list[Member], room_bytes: int) -> list[list[Member]]:
    """Split members into lists whose encoding fits ``room_bytes`` each; at least one list."""
    pages: list[list[Member]] = [[]]
    left = room_bytes
    for member in members:
        size = len(msgspec.msgpack.encode(member))
        if size > left and pages[-1]:
            pages.append([])
            left = room_bytes
        pages[-1].append(member)
        left -= size
    return pages
