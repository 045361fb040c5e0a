"""The request path of a node: routes, admission, dispatch, live and application requests."""

from collections.abc import Callable
from random import Random

from drumbay.backends.interface import ApplicationClient, EngineClient
from drumbay.clock import Clock
from drumbay.configuration.view import ConfigurationView
from drumbay.explain.recorder import DecisionRecorder
from drumbay.limits.admission import AdmissionController, AdmissionPolicy
from drumbay.limits.retry_budget import RetryBudget, RetryBudgetPolicy
from drumbay.observability.logs import log_event
from drumbay.observability.metrics import NO_ROUTE, NodeMetrics
from drumbay.requests.admission_gate import AdmissionGate
from drumbay.requests.application import ApplicationRequestService
from drumbay.requests.at_most_once import AtMostOnceRunner
from drumbay.requests.dispatcher import Dispatcher
from drumbay.requests.live import LiveRequestService
from drumbay.requests.route_table import RouteTable
from drumbay.resources.schema import RouteKind
from drumbay.routing.directory import BackendDirectory
from drumbay.routing.selectors import InvalidSelectorError


class RequestServices:
    """Creates and connects the services that handle callers' requests on one node.

    Attributes:
        gate: Admission control.
        dispatcher: Selects backends.
        live: Live generation requests.
        applications: Application requests.
        max_timeout_seconds: Maximum timeout that any route has had since the start.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        zone: str,
        engine_client: EngineClient,
        application_client: ApplicationClient,
        directory: BackendDirectory,
        recorder: DecisionRecorder,
        at_most_once_runner: AtMostOnceRunner,
        random: Random,
        is_ready: Callable[[], bool],
        metrics: NodeMetrics | None = None,
    ) -> None:
        """Create the services; there are no routes until a configuration is applied."""
        now = clock.monotonic()
        retry_budget = RetryBudget(RetryBudgetPolicy(), now)
        self.routes = RouteTable(())
        self.max_timeout_seconds = 0.0
        self.gate = AdmissionGate(clock, AdmissionController(AdmissionPolicy(), now), metrics)
        self.dispatcher = Dispatcher(clock, zone, directory, recorder, random, metrics=metrics)
        self.live = LiveRequestService(
            clock, engine_client, self.dispatcher, self.gate, retry_budget, is_ready
        )
        self.applications = ApplicationRequestService(
            clock,
            application_client,
            self.dispatcher,
            self.gate,
            retry_budget,
            at_most_once_runner,
            is_ready,
        )

    def live_route_name(self, model: str) -> str:
        """Return the name of the live route of a model, for metrics."""
        compiled = self.routes.for_model(RouteKind.LIVE, model)
        return compiled.route.name if compiled else NO_ROUTE

    def application_route_name(self, path: str) -> str:
        """Return the name of the application route of a path, for metrics."""
        compiled = self.routes.for_path(path)
        return compiled.route.name if compiled else NO_ROUTE

    def apply_configuration(self, view: ConfigurationView) -> None:
        """Apply the current routes; if a selector is invalid, the previous routes are kept."""
        routes = tuple(view.routes.values())
        try:
            table = RouteTable(routes)
        except InvalidSelectorError as error:
            log_event("routes_refused", level="ERROR", detail=str(error))
            return
        self.routes = table
        timeouts = (route.timeout_seconds for route in routes)
        self.max_timeout_seconds = max((self.max_timeout_seconds, *timeouts))
        self.gate.set_routes(routes)
        self.dispatcher.set_routes(table)
        self.live.set_routes(table)
        self.applications.set_routes(table)
