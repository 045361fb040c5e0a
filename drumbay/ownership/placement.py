"""Placement of resources on nodes by rendezvous hashing over the live nodes.

Every node computes the same ranking without communication, resources are spread evenly, and a
node that leaves moves only its own resources (Thaler and
Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998, section 3).
"""

import heapq
from collections.abc import Sequence

import xxhash

from drumbay.identifiers import NodeId
from drumbay.ownership.records import OwnershipParameters


def rank_candidates(name: str, members: Sequence[NodeId], count: int) -> tuple[NodeId, ...]:
    """Return the ``count`` highest-ranked members for a resource, best first."""
    return tuple(heapq.nlargest(count, members, key=lambda member: (_weight(name, member), member)))


def _weight(name: str, member: NodeId) -> int:
    return xxhash.xxh3_64_intdigest(f"{name}\0{member}".encode())


class PlacementTable:
    """Caches the candidates of resources until the members change."""

    def __init__(self, node_id: NodeId, parameters: OwnershipParameters) -> None:
        """Create an empty table for ``node_id``."""
        self._node_id = node_id
        self._parameters = parameters
        self._members: tuple[NodeId, ...] = ()
        self._candidates: dict[str, tuple[NodeId, ...]] = {}

    def set_members(self, members: Sequence[NodeId]) -> None:
        """Replace the live members."""
        current = tuple(members)
        if current != self._members:
            self._members = current
            self._candidates.clear()

    def candidates(self, name: str) -> tuple[NodeId, ...]:
        """Return the candidates of a resource, best first."""
        cached = self._candidates.get(name)
        if cached is None:
            cached = rank_candidates(name, self._members, self._parameters.candidates)
            self._candidates[name] = cached
        return cached

    def own_rank(self, name: str) -> int | None:
        """Return this node's rank for a resource; ``None`` if it is not a candidate."""
        candidates = self.candidates(name)
        return candidates.index(self._node_id) if self._node_id in candidates else None

    def campaign_delay_seconds(self, name: str) -> float | None:
        """Return how long a resource must be without an owner before this node campaigns.

        ``None`` means that this node is not a candidate. The best candidate does not wait; each
        next one waits longer, in case those before it do not campaign.
        """
        rank = self.own_rank(name)
        if rank is None:
            return None
        return rank * self._parameters.fallback_delay_seconds
