"""Selection of gossip peers and handling of digests. Pure: no I/O, no clock.

New revisions spread by rumor mongering, and anti-entropy repairs what it misses: Demers et
al., "Epidemic Algorithms for Replicated Database Maintenance" (1987), sections 1.3 and 1.4.
Only digests are pushed; a node that is behind pulls the missing changes, so that each change
is sent to each node about once.
"""

import random
from collections.abc import Sequence
from enum import StrEnum

import xxhash

from drumbay.configuration.messages import ConfigurationDigest, PeerView
from drumbay.identifiers import NodeId, Revision

FANOUT = 3
"""Peers that get a digest of a new revision in one round."""

WATCHERS_PER_ZONE = 2
"""Nodes of a zone that watch the key-value service."""

SAME_ZONE_PROBABILITY = 0.6
SAME_REGION_PROBABILITY = 0.3


class Distance(StrEnum):
    """Distance class of a peer."""

    ZONE = "zone"
    REGION = "region"
    FAR = "far"


def distance(own: PeerView, peer: PeerView) -> Distance:
    """Return the distance class of ``peer`` as seen from ``own``."""
    if peer.region != own.region:
        return Distance.FAR
    return Distance.ZONE if peer.zone == own.zone else Distance.REGION


class PeerDirectory:
    """The peers of a node, grouped by distance."""

    def __init__(self, own: PeerView, members: Sequence[PeerView]) -> None:
        """Group ``members`` without ``own``."""
        self.by_distance: dict[Distance, list[PeerView]] = {level: [] for level in Distance}
        for peer in members:
            if peer.node_id != own.node_id:
                self.by_distance[distance(own, peer)].append(peer)

    def gossip_targets(self, generator: random.Random) -> list[PeerView]:
        """Return up to ``FANOUT`` peers: one of each distance, then random ones, nearest first."""
        targets: list[PeerView] = []
        for level in Distance:
            peers = self.by_distance[level]
            if peers:
                targets.append(generator.choice(peers))
        for level in Distance:
            remaining = [peer for peer in self.by_distance[level] if peer not in targets]
            wanted = min(FANOUT - len(targets), len(remaining))
            if wanted > 0:
                targets.extend(generator.sample(remaining, wanted))
        return targets

    def anti_entropy_target(self, generator: random.Random) -> PeerView | None:
        """Return a random peer, preferring near ones; ``None`` without peers."""
        draw = generator.random()
        if draw < SAME_ZONE_PROBABILITY:
            order = (Distance.ZONE, Distance.REGION, Distance.FAR)
        elif draw < SAME_ZONE_PROBABILITY + SAME_REGION_PROBABILITY:
            order = (Distance.REGION, Distance.ZONE, Distance.FAR)
        else:
            order = (Distance.FAR, Distance.REGION, Distance.ZONE)
        for level in order:
            if self.by_distance[level]:
                return generator.choice(self.by_distance[level])
        return None


class DigestReaction(StrEnum):
    """What a node does with a peer's digest."""

    PULL = "pull"
    REPLY = "answer"
    NOTHING = "nothing"
    REPORT_DIVERGENCE = "report_divergence"


def react_to_digest(
    digest: ConfigurationDigest, revision: Revision, content_hash: int
) -> DigestReaction:
    """Return what a node at ``revision`` does with a peer's digest."""
    if digest.revision > revision:
        return DigestReaction.PULL
    if digest.revision < revision:
        return DigestReaction.NOTHING if digest.is_reply else DigestReaction.REPLY
    if digest.content_hash != content_hash:
        return DigestReaction.REPORT_DIVERGENCE
    return DigestReaction.NOTHING


def _rendezvous_weight(zone: str, node_id: NodeId) -> int:
    return xxhash.xxh3_64_intdigest(f"watch\x00{zone}\x00{node_id}".encode())


def is_watcher(own: PeerView, members: Sequence[PeerView]) -> bool:
    """Return whether a node watches the key-value service (rendezvous hashing per zone)."""
    own_weight = _rendezvous_weight(own.zone, own.node_id)
    rank = 0
    for peer in members:
        if peer.zone != own.zone or peer.region != own.region or peer.node_id == own.node_id:
            continue
        peer_weight = _rendezvous_weight(peer.zone, peer.node_id)
        if (peer_weight, peer.node_id) > (own_weight, own.node_id):
            rank += 1
    return rank < WATCHERS_PER_ZONE
