"""Network partitions between nodes and the back ends of other zones and regions."""

from drumbay.backends.memory import BackendNetwork
from drumbay.identifiers import NodeId
from drumbay.simulation.deployment import Deployment
from drumbay.simulation.host import Location
from drumbay.simulation.network import Cut, Scope


class BackendPartitions:
    """Applies zone and region cuts to the connections between nodes and back ends.

    A cut from the node towards the back end drops requests, one in the other direction drops
    responses. Cuts between single hosts affect only traffic between nodes.
    """

    def __init__(self, deployment: Deployment) -> None:
        """Start without any cut."""
        self._deployment = deployment
        self._locations = {plan.node_id: plan.location for plan in deployment.nodes}
        self._networks: dict[NodeId, BackendNetwork] = {}
        self._cuts: list[Cut] = []

    def add(self, node_id: NodeId, network: BackendNetwork) -> None:
        """Register the network of a node's new process; replaces that of the previous one."""
        self._networks[node_id] = network
        self._apply_to(node_id)

    def cut(self, cut: Cut, *, both_ways: bool) -> None:
        """Apply a cut."""
        self._cuts.append(cut)
        if both_ways:
            self._cuts.append(cut.reversed())
        self._apply()

    def heal(self, cut: Cut, *, both_ways: bool) -> None:
        """Undo one earlier :meth:`cut`."""
        self._cuts.remove(cut)
        if both_ways:
            self._cuts.remove(cut.reversed())
        self._apply()

    def _apply(self) -> None:
        for node_id in self._networks:
            self._apply_to(node_id)

    def _apply_to(self, node_id: NodeId) -> None:
        network = self._networks[node_id]
        for worker in self._deployment.workers:
            network.heal(worker.base_url)
            if self._is_cut(self._locations[node_id], worker.location):
                network.block_requests(worker.base_url)
            elif self._is_cut(worker.location, self._locations[node_id]):
                network.drop_responses(worker.base_url)

    def _is_cut(self, source: Location, target: Location) -> bool:
        return any(
            (cut.scope is Scope.ZONE and (cut.source, cut.target) == (source.zone, target.zone))
            or (
                cut.scope is Scope.REGION
                and (cut.source, cut.target) == (source.region, target.region)
            )
            for cut in self._cuts
        )
