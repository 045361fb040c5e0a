"""Which nodes read the machine list, and when. Pure: no I/O, no clock.

The list names every machine, so reading it costs in proportion to the deployment. In a large
cluster a few nodes of each zone read it in turns, and the others hear from them.
"""

from collections.abc import Sequence

import xxhash

from drumbay.configuration.messages import PeerView
from drumbay.identifiers import NodeId

READ_ALL_UP_TO_NODES = 16
"""Up to so many nodes each one reads the list and nothing is shared."""

READERS_PER_ZONE = 2
TURN_SECONDS = 1.0
"""Time between two reads of the list by the cluster as a whole."""


def readers_of(members: Sequence[PeerView]) -> tuple[NodeId, ...]:
    """Return the nodes that read the list, sorted (rendezvous hashing per zone)."""
    if len(members) <= READ_ALL_UP_TO_NODES:
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


def seconds_to_turn(rank: int, reader_count: int, wall_seconds: float) -> float:
    """Return the time until a reader's next turn, at least half a turn away.

    Turns follow the wall clock, so that readers stay apart without messages. Clocks that
    differ only move the turns.
    """
    round_seconds = reader_count * TURN_SECONDS
    remaining = (rank * TURN_SECONDS - wall_seconds) % round_seconds
    # NOTE: a timer may fire a little early; the turn that was just taken is not taken twice.
    return remaining if remaining >= TURN_SECONDS / 2 else remaining + round_seconds
