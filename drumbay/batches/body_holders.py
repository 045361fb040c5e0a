"""Decides which nodes may hold the bodies and texts of a batch job, and which to ask first."""

import hashlib
from typing import Protocol

from drumbay.batches.records import BatchId, BatchSpec, OwnerRecord
from drumbay.comm.network_address import NetworkAddress
from drumbay.forwarding.routes import BatchRegions
from drumbay.placement.regions import ANY_REGION, AllowedRegions
from drumbay.placement.topology import Topology


class NodeRegions(Protocol):
    """The other nodes and the regions they are in."""

    def is_in(self, address: NetworkAddress, regions: AllowedRegions) -> bool:
        """Return whether a node is in one of the given regions, as far as is known."""
        ...

    def responsive(self) -> list[NetworkAddress]:
        """Return every other node that is not known to be unresponsive."""
        ...

    def responsive_in(self, regions: AllowedRegions) -> list[NetworkAddress]:
        """Return every other node in the given regions that is not known to be unresponsive."""
        ...

    def mark_unresponsive(self, address: NetworkAddress) -> None:
        """Move a node that failed to reply to the end of the candidates for a while."""
        ...


class BodyHolders:
    """The nodes in the allowed regions of batch jobs, under the configuration in force.

    The node to which the client is connected may hold a body as well; callers decide that.
    """

    def __init__(
        self,
        routes: BatchRegions,
        topology: Topology,
        nodes: NodeRegions,
        own_address: NetworkAddress,
    ) -> None:
        """Decide for the node with ``own_address``."""
        self._routes = routes
        self._topology = topology
        self._nodes = nodes
        self._own_address = own_address

    @property
    def has_regions(self) -> bool:
        """Return whether the deployment has regions at all."""
        return bool(self._topology.regions)

    @property
    def knows_regions(self) -> bool:
        """Return whether this node knows how the configuration restricts batch jobs."""
        return not self.has_regions or self._routes.current is not None

    def regions_of(self, job: BatchSpec | OwnerRecord) -> AllowedRegions:
        """Return the regions in which a batch job may run and be held now."""
        recorded = AllowedRegions.of(job.allowed_regions)
        return self._routes.regions_in_force(job.route_name, job.tenant, recorded)

    def includes_this_node(self, regions: AllowedRegions) -> bool:
        """Return whether this node is in the allowed regions."""
        return regions.permits(self._topology.region)

    def includes(self, address: NetworkAddress | None, regions: AllowedRegions) -> bool:
        """Return whether a node is in the allowed regions; an unknown one only if any region is."""
        if address == self._own_address:
            return self.includes_this_node(regions)
        if address is None:
            return regions == ANY_REGION
        return self._nodes.is_in(address, regions)

    def responsive(self, regions: AllowedRegions) -> list[NetworkAddress]:
        """Return the other responsive nodes in the allowed regions."""
        return self._nodes.responsive_in(regions)

    def ranked(self, batch_id: BatchId, regions: AllowedRegions) -> list[NetworkAddress]:
        """Return the other responsive nodes in the allowed regions, in the order to ask them.

        Rendezvous hashing: all nodes ask the same one first, and batch jobs spread over the nodes.
        """
        return sorted(
            self.responsive(regions), key=lambda address: _rendezvous_hash(batch_id, address)
        )

    def mark_unresponsive(self, address: NetworkAddress) -> None:
        """Ask a node that failed to reply only after all others, for a while."""
        self._nodes.mark_unresponsive(address)


def _rendezvous_hash(batch_id: BatchId, address: NetworkAddress) -> bytes:
    return hashlib.blake2b(f"{batch_id}/{address}".encode(), digest_size=8).digest()
