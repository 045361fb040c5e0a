"""Selection and read schedule of the readers of the machine list. Pure: no I/O, no clock.

The cost of a read grows with the number of machines. In a large cluster only a few nodes of each
zone read the list, in turn, and notify the others.
"""

from collections.abc import Sequence

import xxhash

from drumbay.configuration.messages import PeerView
from drumbay.identifiers import NodeId

MAX_NODES_WITHOUT_SHARING = 16
"""Largest cluster in which every node reads the list itself."""

READERS_PER_ZONE = 2
READ_PERIOD_SECONDS = 1.0
"""Time between successive reads by the readers of a cluster."""


def select_readers(members: Sequence[PeerView]) -> tuple[NodeId, ...]:
    """Return the readers, sorted (rendezvous hashing per zone)."""
    if len(members) <= MAX_NODES_WITHOUT_SHARING:
        return tuple(sorted(peer.node_id for peer in members))
    zones: dict[tuple[str, str], list[NodeId]] = {}
    for peer in members:
        zones.setdefault((peer.region, peer.zone), []).append(peer.node_id)
    readers: list[NodeId] = []
    for node_ids in zones.values():
        node_ids.sort(key=lambda node_id: (_weight(node_id), node_id), reverse=True)
        readers.extend(node_ids[:READERS_PER_ZONE])
    return tuple(sorted(readers))


def _weight(node_id: NodeId) -> int:
    return xxhash.xxh3_64_intdigest(f"machines\0{node_id}".encode())


def seconds_until_read(rank: int, reader_count: int, wall_seconds: float) -> float:
    """Return the time until a reader's next read, at least half a period away.

    The wall clock determines the order of the readers without messages between them. An offset of a
    node's clock only shifts its reads.
    """
    rotation_seconds = reader_count * READ_PERIOD_SECONDS
    remaining = (rank * READ_PERIOD_SECONDS - wall_seconds) % rotation_seconds
    # NOTE: a timer that fires slightly early must not repeat the last read.
    return remaining if remaining >= READ_PERIOD_SECONDS / 2 else remaining + rotation_seconds
