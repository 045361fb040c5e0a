"""Assembles what decides where the requests of one node may run."""

from drumbay.forwarding.routes import RouteTable
from drumbay.observability.serving_metrics import ServingMetrics
from drumbay.placement.evacuations import EvacuatedZones
from drumbay.placement.gate import PlacementGate
from drumbay.placement.topology import Topology
from drumbay.serving.settings import ServingEnvironment, ServingSettings
from drumbay.serving.warm_up import WorkerWarmUps
from drumbay.workers.directory import WorkerDirectory


class NodePlacement:
    """The placement constraint of one node, with its state.

    Attributes:
        evacuations: The evacuated zones.
        warm_ups: The cold workers, and the limit on starts there.
        gate: Decides which workers may get a request.
    """

    def __init__(
        self,
        settings: ServingSettings,
        environment: ServingEnvironment,
        topology: Topology,
        routes: RouteTable,
        directory: WorkerDirectory,
        metrics: ServingMetrics,
    ) -> None:
        """Connect the parts with each other, the metrics and the client that sends to workers."""
        self.evacuations = EvacuatedZones()
        self.warm_ups = WorkerWarmUps(
            environment.clock,
            routes,
            directory,
            self.evacuations,
            settings.warm_up_tolerance,
            settings.identity.address,
            metrics,
        )
        self.gate = PlacementGate(
            environment.clock, topology, self.evacuations, metrics, self.warm_ups.limits
        )
        self._directory = directory
        self.evacuations.add_listener(
            lambda: metrics.set_evacuated_zones(len(self.evacuations.zones))
        )
        metrics.set_evacuated_zone_requests(self._evacuated_zone_requests)
        environment.workers.set_send_check(self.gate.may_still_send)

    def _evacuated_zone_requests(self) -> int:
        return sum(
            record.in_flight
            for record in self._directory.all_records().values()
            if self.evacuations.contains(record.worker.zone)
        )
