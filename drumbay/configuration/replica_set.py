"""Majorities of replicas, and changes of the replica set. Pure.

A set changes in two steps, as in joint consensus (Ongaro and Ousterhout, "In Search of an
Understandable Consensus Algorithm", 2014, section 6): first to the new members together
with the earlier ones, where both majorities are needed, and once that is in force to the
new members alone. Two majorities that follow each other thus always meet in one replica.
"""

from collections.abc import Collection, Mapping, Sequence

from drumbay.configuration.messages import ReplicaSet
from drumbay.identifiers import NodeId

MAX_REPLICAS = 7
REMOVE_AFTER_SECONDS = 120.0
"""How long a replica must be out of the membership before it is replaced."""


def _is_majority(members: Sequence[NodeId], voters: Collection[NodeId]) -> bool:
    count = sum(1 for node_id in members if node_id in voters)
    return count * 2 > len(members)


def has_majority(replica_set: ReplicaSet, voters: Collection[NodeId]) -> bool:
    """Tell whether ``voters`` decide for a replica set; an empty set needs nobody."""
    if not replica_set.members:
        return True
    if replica_set.previous and not _is_majority(replica_set.previous, voters):
        return False
    return _is_majority(replica_set.members, voters)


def plan_replica_set(
    current: ReplicaSet,
    live_with_disk: Collection[NodeId],
    absent_seconds: Mapping[NodeId, float],
) -> ReplicaSet | None:
    """Return the set that should be proposed; ``None`` to keep the current one.

    Args:
        current: The set in force.
        live_with_disk: Live members that have a data folder.
        absent_seconds: For current replicas out of the membership: since how long.
    """
    if current.previous:
        return ReplicaSet(members=current.members)
    kept = [
        node_id
        for node_id in current.members
        if absent_seconds.get(node_id, 0.0) < REMOVE_AFTER_SECONDS
    ]
    # NOTE: a node on the small side of a cut must propose nothing. Its set could never
    # come in force, and it would hold back every later revision until the cut heals.
    if not has_majority(current, [node_id for node_id in kept if node_id in live_with_disk]):
        return None
    newcomers = sorted(node_id for node_id in live_with_disk if node_id not in current.members)
    members = tuple(sorted([*kept, *newcomers[: max(0, MAX_REPLICAS - len(kept))]]))
    if members == current.members:
        return None
    return ReplicaSet(members=members, previous=current.members)
