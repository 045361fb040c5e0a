"""Selects the service that runs the items of a batch job, as routes and workers change.

An accepted batch job outlives the configuration it was submitted under. Its items run at a service
that its route has had since then: at one of the current configuration if that has workers for them,
otherwise at an earlier one. So a route that has moved, or is gone, leaves no item without a worker.
"""

from collections.abc import Callable

from drumbay.batches.records import BatchSpec
from drumbay.batches.worker_selector import UNVERSIONED
from drumbay.clock import Clock
from drumbay.forwarding.routes import BatchRouting, RoutingConfiguration
from drumbay.observability.logs import log_event
from drumbay.placement.gate import PlacementGate
from drumbay.placement.regions import AllowedRegions
from drumbay.workers.directory import WorkerDirectory
from drumbay.workers.records import WorkerState
from drumbay.workers.worker_record import WorkerRecord


class JobService:
    """The service that runs the items of one batch job.

    Attributes:
        name: The selected service.
        candidates: The services that may run the items, the preferred one first: those of the
            route, then those that it had earlier.
    """

    def __init__(
        self,
        clock: Clock,
        routes: BatchRouting,
        directory: WorkerDirectory,
        placement: PlacementGate,
        allowed_regions: Callable[[], AllowedRegions],
        spec: BatchSpec,
    ) -> None:
        """Select the service of a batch job.

        Args:
            clock: Time.
            routes: The current configuration.
            directory: The workers.
            placement: Decides which workers may run the items.
            allowed_regions: Returns the regions in which the items may run now.
            spec: The batch job.
        """
        self.name = spec.service
        self.candidates: tuple[str, ...] = (spec.service,)
        self._clock = clock
        self._routes = routes
        self._directory = directory
        self._placement = placement
        self._allowed_regions = allowed_regions
        self._spec = spec
        self._configuration: RoutingConfiguration | None = None
        self.update()

    def update(self) -> bool:
        """Select the service again; return whether the candidates have changed."""
        previous = self.candidates
        if self._configuration is not self._routes.current:
            self._configuration = self._routes.current
            self.candidates = self._find_candidates()
        self._select()
        return set(self.candidates) != set(previous)

    def _find_candidates(self) -> tuple[str, ...]:
        spec = self._spec
        path = spec.items[0].target if spec.items else ""
        route = self._routes.batch_route(spec.route_name, spec.host, path)
        if route is None:
            return self.candidates
        current = [share.service for share in route.shares]
        preferred = self.name if self.name in current else self._routes.choose_service(route)
        return tuple(dict.fromkeys((preferred, *current, *self.candidates)))

    def _select(self) -> None:
        usable = (service for service in self.candidates if self._has_workers(service))
        selected = next(usable, self.candidates[0])
        if selected == self.name:
            return
        log_event(
            "batch_service_changed",
            batch=self._spec.batch_id,
            route=self._spec.route_name,
            previous=self.name,
            service=selected,
            candidates=",".join(self.candidates),
            configuration=self._configuration.version if self._configuration else None,
        )
        self.name = selected

    def _has_workers(self, service: str) -> bool:
        """Return whether a service has a worker that may run the items, now or after a pause."""
        now = self._clock.monotonic()
        regions = self._allowed_regions()
        return any(
            self._can_run_items(record, regions, now)
            for record in self._directory.of_service(service)
        )

    def _can_run_items(self, record: WorkerRecord, regions: AllowedRegions, now: float) -> bool:
        version = record.version_of(self._spec.model, now) or UNVERSIONED
        return (
            record.worker.state is WorkerState.READY
            and version >= self._spec.minimum_version
            and self._placement.is_in_service(record.worker, regions)
        )
