"""Majorities of replicas, and changes of the replica set. Pure: no I/O, no clock.

A set changes in two steps, as in joint consensus (Ongaro and Ousterhout, "In Search of an
Understandable Consensus Algorithm", 2014, section 6): first to the new and the previous
members together, where both majorities are needed, and once that is applied to the new
members alone. Successive majorities therefore always share a replica.
"""

from collections.abc import Collection, Mapping, Sequence

from drumbay.configuration.messages import ReplicaSet
from drumbay.identifiers import NodeId

MAX_REPLICAS = 7
REMOVE_AFTER_SECONDS = 120.0
"""Absence from the membership after which a replica is removed from the set."""


def _is_majority(members: Sequence[NodeId], voters: Collection[NodeId]) -> bool:
    count = sum(1 for node_id in members if node_id in voters)
    return count * 2 > len(members)


def has_majority(replica_set: ReplicaSet, voters: Collection[NodeId]) -> bool:
    """Return whether ``voters`` include a majority; an empty set needs no voters."""
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
    """Return the replica set to propose; ``None`` to keep the current one.

    Args:
        current: The applied set.
        live_with_disk: Live members that have a data folder.
        absent_seconds: How long each absent replica has been out of the membership.
    """
    if current.previous:
        return ReplicaSet(members=current.members)
    kept = [
        node_id
        for node_id in current.members
        if absent_seconds.get(node_id, 0.0) < REMOVE_AFTER_SECONDS
    ]
    # NOTE: a node in the minority partition must not propose a set. No majority could store
    # it, and it would block every later revision until the partition heals.
    if not has_majority(current, [node_id for node_id in kept if node_id in live_with_disk]):
        return None
    candidates = sorted(node_id for node_id in live_with_disk if node_id not in current.members)
    members = tuple(sorted([*kept, *candidates[: max(0, MAX_REPLICAS - len(kept))]]))
    if members == current.members:
        return None
    return ReplicaSet(members=members, previous=current.members)
