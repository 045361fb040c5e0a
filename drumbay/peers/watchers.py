"""Selection of the watchers, the nodes that watch the store on behalf of the others.

Calls to the store are billed and rate-limited, and a watch on every node would multiply the cost of
each change by the number of nodes. The nodes that registered first are the watchers and all others
follow them, so a new node never displaces an older one.
"""

from collections.abc import Callable, Iterable, Sequence

import msgspec

from drumbay.comm.network_address import NetworkAddress
from drumbay.identifiers import Revision

MAX_NODES_ALL_WATCHING = 12
"""Up to this many nodes, every node is a watcher."""

MIN_WATCHERS = 3
NODES_PER_WATCHER = 50
"""Limits the load of a watcher, which serves about one call per second to each follower."""


class RegisteredNode(msgspec.Struct, frozen=True, kw_only=True, order=True):
    """A registered node; ``registered_at`` is the revision that created its entry."""

    registered_at: Revision
    address: NetworkAddress


class WatcherRanking(msgspec.Struct, frozen=True, kw_only=True):
    """Registered nodes, ordered by their precedence as watchers."""

    nodes: tuple[NetworkAddress, ...]

    @classmethod
    def of(cls, nodes: Iterable[RegisteredNode]) -> "WatcherRanking":
        """Rank nodes by their registration, the oldest first."""
        return cls(nodes=tuple(node.address for node in sorted(nodes)))

    @property
    def has_followers(self) -> bool:
        """Return whether there are more nodes than watchers."""
        return len(self.nodes) > MAX_NODES_ALL_WATCHING

    @property
    def watcher_count(self) -> int:
        """Return the number of watchers."""
        if not self.has_followers:
            return len(self.nodes)
        return max(MIN_WATCHERS, -(-len(self.nodes) // NODES_PER_WATCHER))

    @property
    def watchers(self) -> tuple[NetworkAddress, ...]:
        """Return the watchers, the longest registered first."""
        return self.nodes[: self.watcher_count]

    def is_watcher(self, address: NetworkAddress) -> bool:
        """Return whether a node is a watcher; in a small cluster, unregistered nodes are too."""
        return not self.has_followers or address in self.watchers

    def sources_for(
        self, address: NetworkAddress, is_near: Callable[[NetworkAddress], bool] = lambda _: True
    ) -> tuple[NetworkAddress, ...]:
        """Return the watchers that a node may follow, rotated to balance the load.

        Near watchers come first, unless the near nodes are too many for them.
        """
        watchers = [watcher for watcher in self.watchers if watcher != address]
        near = [watcher for watcher in watchers if is_near(watcher)]
        if len(near) == len(watchers):
            return _rotate(watchers, self.nodes, address)
        near_nodes = [node for node in self.nodes if is_near(node)]
        if len(near_nodes) > len(near) * NODES_PER_WATCHER:
            return _rotate(watchers, self.nodes, address)
        distant = [watcher for watcher in watchers if not is_near(watcher)]
        return _rotate(near, near_nodes, address) + _rotate(distant, near_nodes, address)


def _rotate(
    watchers: Sequence[NetworkAddress], nodes: Sequence[NetworkAddress], address: NetworkAddress
) -> tuple[NetworkAddress, ...]:
    """Return the watchers, starting with another one for each of the nodes in turn."""
    if not watchers:
        return ()
    position = nodes.index(address) if address in nodes else 0
    start = position % len(watchers)
    return (*watchers[start:], *watchers[:start])
