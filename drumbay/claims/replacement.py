"""Decides which stores should be the members of the replica set.

It does no input or output: it takes the stores that responded to a probe and the time, and returns
a target set when the current one should change.
"""

import msgspec

from drumbay.claims.replica_set import ReplicaMember, ReplicaSet
from drumbay.identifiers import NodeId
from drumbay.storage.interface import StoreId


class ReplacementPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """When the replica set is changed.

    Attributes:
        replica_count: Desired number of members; odd.
        minimum_count: Members needed to create the first set after ``replace_after_seconds``.
        replace_after_seconds: How long a member may be absent before it is replaced, and
            how long the first set waits for ``replica_count`` stores.
    """

    replica_count: int = 3
    minimum_count: int = 1
    replace_after_seconds: float = 30.0


class ReplacementPlanner:
    """Tracks the absence of members and plans replacements."""

    def __init__(self, policy: ReplacementPolicy) -> None:
        """Create a planner without probe results."""
        self._policy = policy
        self._absent_since: dict[StoreId, float] = {}
        self._first_probe_seconds: float | None = None

    def plan(
        self, current: ReplicaSet | None, present: tuple[ReplicaMember, ...], now: float
    ) -> tuple[ReplicaMember, ...] | None:
        """Return the members of the next epoch, or ``None`` for no change.

        Args:
            current: The replica set; ``None`` before the first one.
            present: Every store that responded to the latest probe, with its current address.
            now: Monotonic time in seconds.
        """
        if self._first_probe_seconds is None:
            self._first_probe_seconds = now
        if current is None:
            return self._plan_first(present, now)
        self._update_absences(current, present, now)
        if not current.is_active:
            return self._plan_new_target(current, present, now)
        return self._plan_change(current, present, now)

    def _plan_first(
        self, present: tuple[ReplicaMember, ...], now: float
    ) -> tuple[ReplicaMember, ...] | None:
        waited_seconds = now - (self._first_probe_seconds or 0.0)
        target = self._add_stores((), present)
        if len(target) == self._policy.replica_count:
            return target
        has_minimum = len(target) >= self._policy.minimum_count
        return (
            target if has_minimum and waited_seconds >= self._policy.replace_after_seconds else None
        )

    def _update_absences(
        self, current: ReplicaSet, present: tuple[ReplicaMember, ...], now: float
    ) -> None:
        present_ids = {member.store_id for member in present}
        known = {member.store_id for member in current.members + current.target}
        absent = sorted(known - present_ids)
        self._absent_since = {each: self._absent_since.get(each, now) for each in absent}

    def _is_lost(
        self, member: ReplicaMember, present: tuple[ReplicaMember, ...], now: float
    ) -> bool:
        """Return whether a member was absent for too long, or its node has another store."""
        if any(each.node_id == member.node_id for each in present):
            return all(each.store_id != member.store_id for each in present)
        absent_since = self._absent_since.get(member.store_id, now)
        return now - absent_since >= self._policy.replace_after_seconds

    def _plan_new_target(
        self, current: ReplicaSet, present: tuple[ReplicaMember, ...], now: float
    ) -> tuple[ReplicaMember, ...] | None:
        """Return another target if a target member was lost during the change."""
        if not any(self._is_lost(member, present, now) for member in current.target):
            return None
        kept = _present_members(current.target, present)
        target = self._add_stores(kept, present)
        return target if len(target) >= len(current.target) else None

    def _plan_change(
        self, current: ReplicaSet, present: tuple[ReplicaMember, ...], now: float
    ) -> tuple[ReplicaMember, ...] | None:
        kept = _present_members(current.members, present)
        if len(kept) < current.majority:
            return None
        recently_absent = [
            member
            for member in current.members
            if member.store_id in self._absent_since and not self._is_lost(member, present, now)
        ]
        if recently_absent:
            return None
        target = self._add_stores(kept, present)
        shrinks = len(target) < len(current.members)
        grows_partially = len(current.members) < len(target) < self._policy.replica_count
        if shrinks or grows_partially or target == current.members:
            return None
        return target

    def _add_stores(
        self, kept: tuple[ReplicaMember, ...], present: tuple[ReplicaMember, ...]
    ) -> tuple[ReplicaMember, ...]:
        """Add stores up to the desired count, each from the zone with the fewest members."""
        members = list(kept)
        used_nodes: dict[NodeId, None] = dict.fromkeys(member.node_id for member in kept)
        while len(members) < self._policy.replica_count:
            candidates = [each for each in present if each.node_id not in used_nodes]
            if not candidates:
                break
            best = min(candidates, key=lambda each: (_zone_count(members, each), each.node_id))
            members.append(best)
            used_nodes[best.node_id] = None
        return tuple(members)


def _zone_count(members: list[ReplicaMember], candidate: ReplicaMember) -> int:
    return sum(1 for member in members if member.zone == candidate.zone)


def _present_members(
    members: tuple[ReplicaMember, ...], present: tuple[ReplicaMember, ...]
) -> tuple[ReplicaMember, ...]:
    """Return the members that are present, with their current addresses, in member order."""
    by_store = {member.store_id: member for member in present}
    return tuple(by_store[each.store_id] for each in members if each.store_id in by_store)
