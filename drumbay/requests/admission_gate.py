"""Admission control: a context manager that rejects requests over the limits."""

from collections.abc import Iterator
from contextlib import contextmanager

from drumbay.clock import Clock
from drumbay.exceptions import Execution
from drumbay.limits.admission import AdmissionController, Refusal, RouteLimits
from drumbay.observability.metrics import NodeMetrics
from drumbay.requests.errors import NotReadyError, OverloadedError
from drumbay.resources.schema import Route

STOPPING_RETRY_AFTER_SECONDS = 1.0
STOPPING_REASON = "stopping"


class AdmissionGate:
    """Counts the requests of this node and rejects new ones over the limits.

    Args:
        clock: Time source.
        controller: Enforces limits and fair shares.
        metrics: Counts rejections.
    """

    def __init__(
        self,
        clock: Clock,
        controller: AdmissionController,
        metrics: NodeMetrics | None = None,
    ) -> None:
        """Create a gate that admits requests."""
        self._metrics = metrics or NodeMetrics()
        self._clock = clock
        self._controller = controller
        self._routes: tuple[str, ...] = ()
        self.is_stopping = False

    @property
    def in_flight(self) -> int:
        """Return the number of requests in flight."""
        return self._controller.in_flight

    def set_routes(self, routes: tuple[Route, ...]) -> None:
        """Replace the routes with those of the current configuration."""
        now = self._clock.monotonic()
        names = tuple(route.name for route in routes)
        for name in self._routes:
            if name not in names:
                self._controller.remove_route(name)
        for route in routes:
            self._controller.set_route(_route_limits(route), now)
        self._routes = names

    @contextmanager
    def admitted(self, route: Route) -> Iterator[None]:
        """Hold one concurrency slot of the route while the block runs.

        Raises:
            NotReadyError: The node is shutting down.
            OverloadedError: A limit is reached; the request has not run.
        """
        if self.is_stopping:
            self._metrics.record_refusal(route.name, STOPPING_REASON)
            raise NotReadyError(
                "this node is stopping",
                execution=Execution.NOT_RUN,
                retry_after_seconds=STOPPING_RETRY_AFTER_SECONDS,
            )
        permit = self._controller.try_admit(route.name, self._clock.monotonic())
        if isinstance(permit, Refusal):
            self._metrics.record_refusal(route.name, permit.reason.value)
            raise OverloadedError(
                f"route {route.name}: {permit.reason.value}",
                execution=Execution.NOT_RUN,
                retry_after_seconds=permit.retry_after_seconds,
            )
        try:
            yield
        finally:
            self._controller.release(permit, self._clock.monotonic())


def _route_limits(route: Route) -> RouteLimits:
    return RouteLimits(
        route_name=route.name,
        route_kind=route.route_kind,
        max_concurrency=route.max_concurrency,
        max_rate_per_second=route.max_rate_per_second,
        priority=route.priority,
    )
