"""Choice of peers and of the reaction to a digest. Pure: no I/O, no clock.

New revisions spread by rumour mongering and are repaired by anti-entropy, as in Demers et
al., "Epidemic Algorithms for Replicated Database Maintenance" (1987), sections 1.3 and 1.4.
Only digests are pushed; a node that is behind pulls the missing changes, so each change
crosses to each node about once.
"""

import random
from collections.abc import Sequence
from enum import StrEnum

import xxhash

from drumbay.configuration.messages import ConfigurationDigest, PeerView
from drumbay.identifiers import NodeId, Revision

FANOUT = 3
"""Peers told of a new revision at once: own zone, own region, any other region."""

WATCHERS_PER_ZONE = 2
"""Nodes of a zone that watch the key-value service."""

SAME_ZONE_SHARE = 0.6
SAME_REGION_SHARE = 0.3


class Distance(StrEnum):
    """How far away a peer is."""

    ZONE = "zone"
    REGION = "region"
    FAR = "far"


def distance(own: PeerView, peer: PeerView) -> Distance:
    """Return how far ``peer`` is from ``own``."""
    if peer.region != own.region:
        return Distance.FAR
    return Distance.ZONE if peer.zone == own.zone else Distance.REGION


class PeerDirectory:
    """Peers grouped by distance from one node."""

    def __init__(self, own: PeerView, members: Sequence[PeerView]) -> None:
        """Group ``members`` without ``own``."""
        self.by_distance: dict[Distance, list[PeerView]] = {level: [] for level in Distance}
        for peer in members:
            if peer.node_id != own.node_id:
                self.by_distance[distance(own, peer)].append(peer)

    def rumour_targets(self, generator: random.Random) -> list[PeerView]:
        """Return up to ``FANOUT`` peers, one of each distance, topped up from the near ones."""
        targets: list[PeerView] = []
        for level in Distance:
            peers = self.by_distance[level]
            if peers:
                targets.append(generator.choice(peers))
        for level in Distance:
            spare = [peer for peer in self.by_distance[level] if peer not in targets]
            wanted = min(FANOUT - len(targets), len(spare))
            if wanted > 0:
                targets.extend(generator.sample(spare, wanted))
        return targets

    def anti_entropy_target(self, generator: random.Random) -> PeerView | None:
        """Return a random peer, mostly a near one; ``None`` without peers."""
        draw = generator.random()
        if draw < SAME_ZONE_SHARE:
            order = (Distance.ZONE, Distance.REGION, Distance.FAR)
        elif draw < SAME_ZONE_SHARE + SAME_REGION_SHARE:
            order = (Distance.REGION, Distance.ZONE, Distance.FAR)
        else:
            order = (Distance.FAR, Distance.REGION, Distance.ZONE)
        for level in order:
            if self.by_distance[level]:
                return generator.choice(self.by_distance[level])
        return None


class DigestReaction(StrEnum):
    """What to do about a peer's digest."""

    PULL = "pull"
    ANSWER = "answer"
    NOTHING = "nothing"
    REPORT_DIVERGENCE = "report_divergence"


def react_to_digest(
    digest: ConfigurationDigest, revision: Revision, content_hash: int
) -> DigestReaction:
    """Return what a node at ``revision`` does about a peer's digest."""
    if digest.revision > revision:
        return DigestReaction.PULL
    if digest.revision < revision:
        return DigestReaction.NOTHING if digest.is_reply else DigestReaction.ANSWER
    if digest.content_hash != content_hash:
        return DigestReaction.REPORT_DIVERGENCE
    return DigestReaction.NOTHING


def _weight(zone: str, node_id: NodeId) -> int:
    return xxhash.xxh3_64_intdigest(f"watch\x00{zone}\x00{node_id}".encode())


def is_watcher(own: PeerView, members: Sequence[PeerView]) -> bool:
    """Tell whether a node watches the key-value service (rendezvous hashing per zone)."""
    own_weight = _weight(own.zone, own.node_id)
    heavier = 0
    for peer in members:
        if peer.zone != own.zone or peer.region != own.region or peer.node_id == own.node_id:
            continue
        peer_weight = _weight(peer.zone, peer.node_id)
        if (peer_weight, peer.node_id) > (own_weight, own.node_id):
            heavier += 1
    return heavier < WATCHERS_PER_ZONE
