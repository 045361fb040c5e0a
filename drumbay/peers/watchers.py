"""Pure decisions: which nodes watch the store for all.

Each call to the store is priced and limited, and a watch on every node multiplies each change
by the number of nodes. So the nodes that have been registered longest watch, and the others
follow these. A new node does not displace an older one.
"""

from collections.abc import Iterable

import msgspec

from drumbay.comm.http_exchange import NetworkAddress
from drumbay.identifiers import Revision

DIRECT_NODES = 12
"""Up to so many nodes, each one watches the store itself."""

MINIMUM_WATCHERS = 3
NODES_PER_WATCHER = 50
"""A watcher answers about one call a second from each node that follows it, some milliseconds of
processor time each; each change that it watches is a priced call to the store."""


class RegisteredNode(msgspec.Struct, frozen=True, kw_only=True, order=True):
    """A node's entry; ``registered_at`` is the revision at which it was created."""

    registered_at: Revision
    address: NetworkAddress


class WatcherRanking(msgspec.Struct, frozen=True, kw_only=True):
    """Registered nodes in the order in which they are to watch."""

    nodes: tuple[NetworkAddress, ...]

    @classmethod
    def of(cls, nodes: Iterable[RegisteredNode]) -> "WatcherRanking":
        """Rank nodes by their time of registration."""
        return cls(nodes=tuple(node.address for node in sorted(nodes)))

    @property
    def has_followers(self) -> bool:
        """Return whether some nodes watch for others."""
        return len(self.nodes) > DIRECT_NODES

    @property
    def watcher_count(self) -> int:
        """Return how many nodes watch."""
        if not self.has_followers:
            return len(self.nodes)
        return max(MINIMUM_WATCHERS, -(-len(self.nodes) // NODES_PER_WATCHER))

    @property
    def watchers(self) -> tuple[NetworkAddress, ...]:
        """Return the nodes that watch, the longest registered first."""
        return self.nodes[: self.watcher_count]

    def is_watcher(self, address: NetworkAddress) -> bool:
        """Return whether a node watches: also one that is not registered among few."""
        return not self.has_followers or address in self.watchers

    def sources_for(self, address: NetworkAddress) -> tuple[NetworkAddress, ...]:
        """Return the watchers that a node may follow, in an order that spreads the nodes."""
        watchers = [watcher for watcher in self.watchers if watcher != address]
        if not watchers:
            return ()
        position = self.nodes.index(address) if address in self.nodes else 0
        first = position % len(watchers)
        return tuple(watchers[first:] + watchers[:first])
