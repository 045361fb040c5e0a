"""Selects the backends that this node watches: its subset of each group, and pinned ones.

Subsets are computed by :mod:`drumbay.routing.subsets`. To bound the cost of polling, a node
watches a fixed total of backends of all large groups, divided in proportion to their sizes. Small
groups are watched completely by every node.
"""

from collections.abc import Callable, Iterable

import msgspec

from drumbay.configuration.view import ConfigurationView
from drumbay.identifiers import BackendId, NodeId
from drumbay.resources.schema import BackendGroup
from drumbay.routing.directory import BackendDirectory
from drumbay.routing.subsets import (
    NodeMember,
    SubsetPolicy,
    WorkerMember,
    assign_workers,
)


class WatchPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """How many backends one node watches; see ``docs/CAPACITY.md``.

    Attributes:
        max_full_watch_size: Groups up to this size are watched completely.
        total_degree: Total watched backends of all larger groups, divided in proportion to
            their sizes.
        min_degree: Minimum number of watched backends of a larger group.
    """

    max_full_watch_size: int = 16
    total_degree: int = 32
    min_degree: int = 8


def group_degree(group_size: int, total_size: int, policy: WatchPolicy) -> int:
    """Return how many backends of a group one node watches.

    Args:
        group_size: Number of backends in the group.
        total_size: Number of backends in all groups above the threshold.
        policy: Limits and thresholds.
    """
    if group_size <= policy.max_full_watch_size:
        return group_size
    proportional_degree = round(policy.total_degree * group_size / total_size)
    return max(policy.min_degree, proportional_degree)


def assign_backends(
    node_id: NodeId,
    nodes: tuple[NodeMember, ...],
    groups: Iterable[BackendGroup],
    policy: WatchPolicy,
) -> frozenset[BackendId]:
    """Return the backends of all groups that one node is assigned."""
    sorted_groups = sorted(groups, key=lambda group: group.name)
    sizes = [len(group.backends) for group in sorted_groups]
    total_size = sum(size for size in sizes if size > policy.max_full_watch_size)
    assigned: list[BackendId] = []
    for group, size in zip(sorted_groups, sizes, strict=True):
        workers = [
            WorkerMember(backend_id=BackendId(backend.id), zone=backend.zone)
            for backend in group.backends
        ]
        subset_policy = SubsetPolicy(degree=group_degree(size, total_size, policy), salt=group.name)
        assigned.extend(assign_workers(node_id, nodes, workers, subset_policy))
    return frozenset(assigned)


class BackendSubset:
    """Keeps the directory's set of watched backends up to date.

    Args:
        node_id: This node.
        nodes: Returns the live nodes; the same tuple object while they do not change.
        directory: Updated with the watched backends.
        policy: How many backends to watch.
    """

    def __init__(
        self,
        node_id: NodeId,
        nodes: Callable[[], tuple[NodeMember, ...]],
        directory: BackendDirectory,
        policy: WatchPolicy | None = None,
    ) -> None:
        """Create a subset without groups."""
        self._node_id = node_id
        self._nodes = nodes
        self._directory = directory
        self._policy = policy or WatchPolicy()
        self._groups: tuple[BackendGroup, ...] = ()
        self._assigned_nodes: tuple[NodeMember, ...] | None = None
        self._assigned: frozenset[BackendId] = frozenset()
        self._pinned: dict[str, frozenset[BackendId]] = {}

    @property
    def assigned(self) -> frozenset[BackendId]:
        """Return this node's subset, without pinned backends."""
        return self._assigned

    def set_groups(self, view: ConfigurationView) -> None:
        """Apply the current groups; recomputes the subset only if they changed."""
        groups = tuple(group for _, group in sorted(view.groups.items()))
        if groups != self._groups:
            self._groups = groups
            self._assigned_nodes = None
        self.refresh()

    def refresh(self) -> bool:
        """Recompute the subset if nodes or groups changed; return whether the subset changed."""
        nodes = self._nodes()
        if nodes is self._assigned_nodes:
            return False
        self._assigned_nodes = nodes
        assigned = assign_backends(self._node_id, nodes, self._groups, self._policy)
        if assigned == self._assigned:
            return False
        self._assigned = assigned
        self._update_directory()
        return True

    def pin(self, owner: str, backend_ids: Iterable[BackendId]) -> bool:
        """Watch backends in addition to the subset; return whether the set of ``owner`` changed.

        Args:
            owner: Name of the component that needs them; a later call replaces its set.
            backend_ids: The backends; empty to remove the pin.
        """
        pinned = frozenset(backend_ids)
        if pinned == self._pinned.get(owner, frozenset()):
            return False
        if pinned:
            self._pinned[owner] = pinned
        else:
            self._pinned.pop(owner)
        self._update_directory()
        return True

    def _update_directory(self) -> None:
        self._directory.set_watched(self._assigned.union(*self._pinned.values()))
