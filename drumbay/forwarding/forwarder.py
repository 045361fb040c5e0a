"""Forwards the client requests of a node to workers, with retries, hedging and a deadline."""

from drumbay.admission.gate import AdmissionGate
from drumbay.clock import Clock
from drumbay.forwarding.forwarded_request import ForwardedRequest, ForwardingServices
from drumbay.forwarding.hedge_timing import HedgeTiming
from drumbay.forwarding.records import ClientRequest, ForwardingError
from drumbay.forwarding.routes import Route, RouteTable
from drumbay.forwarding.start_borrower import NoOtherNodes, StartBorrower
from drumbay.forwarding.worker_call import WorkerCaller
from drumbay.forwarding.worker_picker import WorkerPicker
from drumbay.observability.serving_metrics import ServingMetrics
from drumbay.placement.gate import PlacementGate
from drumbay.quarantine.service import Quarantine
from drumbay.usage.counter import UsageCounter
from drumbay.workers.directory import WorkerDirectory
from drumbay.workers.interface import WorkerClient
from drumbay.workers.records import WorkerResponse
from drumbay.workers.unresponsive_workers import UnresponsiveWorkers


class Forwarder:
    """Serves synchronous requests, one response per request."""

    def __init__(
        self,
        clock: Clock,
        directory: WorkerDirectory,
        routes: RouteTable,
        client: WorkerClient,
        placement: PlacementGate,
        metrics: ServingMetrics,
        usage: UsageCounter,
        quarantine: Quarantine,
        unresponsive_workers: UnresponsiveWorkers,
        machine: str,
        *,
        has_admission: bool = True,
        start_borrower: StartBorrower | None = None,
    ) -> None:
        """Create a forwarder.

        ``placement`` decides which workers may get a request. ``machine`` seeds the order in which
        equally good workers are tried, so that nodes spread over them.
        """
        self.directory = directory
        self.metrics = metrics
        self.hedge_timing = HedgeTiming(clock.monotonic())
        self.caller = WorkerCaller(
            clock,
            directory,
            client,
            self.hedge_timing,
            quarantine,
            placement,
            unresponsive_workers,
        )
        self._clock = clock
        self._routes = routes
        self._usage = usage
        self._services = ForwardingServices(
            clock=clock,
            directory=directory,
            client=client,
            picker=WorkerPicker(directory, client, self.hedge_timing, placement, machine),
            caller=self.caller,
            metrics=metrics,
            hedge_timing=self.hedge_timing,
            quarantine=quarantine,
            admission=AdmissionGate(clock, directory, placement, metrics, is_enabled=has_admission),
            start_borrower=start_borrower or NoOtherNodes(),
            unresponsive_workers=unresponsive_workers,
        )

    async def forward(self, route: Route, request: ClientRequest) -> WorkerResponse:
        """Return a worker's complete response.

        Raises:
            ForwardingError: The request failed; ``execution`` says whether it may have run.
        """
        service = self._routes.choose_service(route)
        regions = self._routes.allowed_regions(route, request.tenant)
        forwarding = ForwardedRequest(
            self._services,
            route,
            service,
            request,
            self._routes.priority_levels_of(service),
            lambda: self._routes.regions_in_force(route.name, request.tenant, regions).intersect(
                request.allowed_regions()
            ),
        )
        started_at = self._clock.monotonic()
        ticket = self._usage.open() if request.tenant is not None else None
        outcome = "cancelled"
        try:
            response = await forwarding.run()
            outcome = "answered"
            forwarding.log_success(response)
            return response
        except ForwardingError as error:
            outcome = error.code
            forwarding.log_failure(error)
            raise
        finally:
            forwarding.close(has_succeeded=outcome == "answered")
            if ticket is not None and request.tenant is not None:
                self._usage.close(ticket, request.tenant, forwarding.first_run_at)
            self.metrics.count_request(route.name, outcome, self._clock.monotonic() - started_at)
