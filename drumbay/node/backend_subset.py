"""Which back ends this node watches: its share, and those that what it owns needs.

The share comes from :mod:`drumbay.routing.subsets`. The number of back ends that a node
watches over all groups bounds what it spends on polling them, so a group gets a part of it
by its size. Groups up to a threshold are watched whole by every node.
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
    """How many back ends one node watches; see ``docs/CAPACITY.md`` for the figures.

    Attributes:
        whole_group_size: Groups up to this size are watched whole.
        total_degree: Back ends of the larger groups together, shared out by size.
        least_degree: Fewest back ends of a larger group.
    """

    whole_group_size: int = 16
    total_degree: int = 32
    least_degree: int = 8


def group_degree(group_size: int, total_size: int, policy: WatchPolicy) -> int:
    """Return how many back ends of a group one node watches.

    Args:
        group_size: Back ends of the group.
        total_size: Back ends of all groups above the threshold.
        policy: Bounds.
    """
    if group_size <= policy.whole_group_size:
        return group_size
    share = round(policy.total_degree * group_size / total_size)
    return max(policy.least_degree, share)


def share_of_node(
    node_id: NodeId,
    nodes: tuple[NodeMember, ...],
    groups: Iterable[BackendGroup],
    policy: WatchPolicy,
) -> frozenset[BackendId]:
    """Return the back ends of one node over all groups."""
    ordered = sorted(groups, key=lambda group: group.name)
    sizes = [len(group.backends) for group in ordered]
    total_size = sum(size for size in sizes if size > policy.whole_group_size)
    assigned: list[BackendId] = []
    for group, size in zip(ordered, sizes, strict=True):
        workers = [
            WorkerMember(backend_id=BackendId(backend.id), zone=backend.zone)
            for backend in group.backends
        ]
        subset_policy = SubsetPolicy(degree=group_degree(size, total_size, policy), salt=group.name)
        assigned.extend(assign_workers(node_id, nodes, workers, subset_policy))
    return frozenset(assigned)


class BackendSubset:
    """Keeps the directory's set of watched back ends up to date.

    Args:
        node_id: This node.
        nodes: Returns the live nodes; the same tuple while they do not change.
        directory: Told what to watch.
        policy: Bounds of the set.
    """

    def __init__(
        self,
        node_id: NodeId,
        nodes: Callable[[], tuple[NodeMember, ...]],
        directory: BackendDirectory,
        policy: WatchPolicy | None = None,
    ) -> None:
        """Create a subset of no groups."""
        self._node_id = node_id
        self._nodes = nodes
        self._directory = directory
        self._policy = policy or WatchPolicy()
        self._groups: tuple[BackendGroup, ...] = ()
        self._assigned_for: tuple[NodeMember, ...] | None = None
        self._assigned: frozenset[BackendId] = frozenset()
        self._pinned: dict[str, frozenset[BackendId]] = {}

    @property
    def assigned(self) -> frozenset[BackendId]:
        """Return this node's share, without what is pinned."""
        return self._assigned

    def set_groups(self, view: ConfigurationView) -> None:
        """Take in the groups in force; a change that leaves them alone costs nothing."""
        groups = tuple(group for _, group in sorted(view.groups.items()))
        if groups != self._groups:
            self._groups = groups
            self._assigned_for = None
        self.refresh()

    def refresh(self) -> bool:
        """Work out the share anew if the live nodes changed; return whether it changed."""
        nodes = self._nodes()
        if nodes is self._assigned_for:
            return False
        self._assigned_for = nodes
        assigned = share_of_node(self._node_id, nodes, self._groups, self._policy)
        if assigned == self._assigned:
            return False
        self._assigned = assigned
        self._tell()
        return True

    def pin(self, owner: str, backend_ids: Iterable[BackendId]) -> bool:
        """Watch back ends besides the share; return whether the set for ``owner`` changed.

        Args:
            owner: What needs them; a later call for it replaces its set.
            backend_ids: The back ends; none ends the pin.
        """
        pinned = frozenset(backend_ids)
        if pinned == self._pinned.get(owner, frozenset()):
            return False
        if pinned:
            self._pinned[owner] = pinned
        else:
            self._pinned.pop(owner)
        self._tell()
        return True

    def _tell(self) -> None:
        self._directory.set_watched(self._assigned.union(*self._pinned.values()))
