"""Routes configured by operators, and their lookup."""

from enum import StrEnum
from typing import Protocol

import msgspec

from drumbay.placement.regions import ANY_REGION, AllowedRegions
from drumbay.placement.warm_up import WarmUp
from drumbay.scaling.records import ServiceScaling
from drumbay.tenants.records import KeyTable, TenantName


class RequestKind(StrEnum):
    """Execution guarantee of a route's requests."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    ROLLOUT = "rollout"


class ServiceShare(msgspec.Struct, frozen=True, kw_only=True):
    """A service and its weight in a route's traffic split."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Settings for requests to one host below one path prefix.

    Public routes need no API key. ``priority`` 0 is the most urgent. ``due_seconds`` is the time
    from the submission of a batch job until all its results are due, ``None`` without a due time.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    shares: tuple[ServiceShare, ...]
    timeout_seconds: float
    target_seconds: float
    attempts: int
    queue_limit_seconds: float = 60.0
    due_seconds: float | None = None
    one_version_only: bool = False
    is_public: bool = False
    priority: int = 0
    allowed_regions: AllowedRegions = ANY_REGION


class RequestLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits for client requests."""

    header_bytes: int = 16_384
    body_bytes: int = 33_554_432
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


class RoutingConfiguration(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the routing configuration.

    ``keys`` is ``None`` if no tenants are configured, so that no request needs an API key.
    ``scaling`` lists the services whose worker count is managed, ``services`` those declared in
    addition to the ones that routes refer to. ``warm_ups`` lists the services whose workers bear
    few requests after a start.
    """

    version: int
    routes: tuple[Route, ...]
    limits: RequestLimits
    keys: KeyTable | None = None
    scaling: tuple[ServiceScaling, ...] = ()
    services: frozenset[str] = frozenset()
    warm_ups: tuple[WarmUp, ...] = ()

    @property
    def configured_services(self) -> frozenset[str]:
        """Return all services that are declared or referred to by a route."""
        routed_services = {share.service for route in self.routes for share in route.shares}
        return self.services | routed_services

    def find(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest matching path prefix."""
        matching = [r for r in self._routes_of_host(host) if path.startswith(r.path_prefix)]
        return max(matching, key=lambda route: len(route.path_prefix), default=None)

    def priority_of(self, route: Route, tenant: TenantName | None) -> int:
        """Return the tenant's priority if it has one, else the route's."""
        if tenant is None or self.keys is None:
            return route.priority
        return self.keys.priorities.get(tenant, route.priority)

    def allowed_regions(self, route: Route, tenant: TenantName | None) -> AllowedRegions:
        """Return the regions that both a request's route and its tenant allow."""
        if tenant is None or self.keys is None:
            return route.allowed_regions
        return route.allowed_regions.intersect(self.keys.allowed_regions.get(tenant, ANY_REGION))

    def priority_levels_of(self, service: str) -> frozenset[int]:
        """Return the priorities that requests to a service may have."""
        routes = [
            route
            for route in self.routes
            if route.kind is not RequestKind.ROLLOUT
            and any(share.service == service for share in route.shares)
        ]
        priority_levels = {route.priority for route in routes}
        if self.keys is not None and any(not route.is_public for route in routes):
            priority_levels |= set(self.keys.priorities.values())
        return frozenset(priority_levels)

    def batches_need_key(self, host: str) -> bool:
        """Return whether batch requests need a key.

        They need none if all rollout routes of the host are public.
        """
        routes = [r for r in self._routes_of_host(host) if r.kind is RequestKind.ROLLOUT]
        return not routes or not all(route.is_public for route in routes)

    def _routes_of_host(self, host: str) -> list[Route]:
        name = host.partition(":")[0].lower()
        return [route for route in self.routes if route.host.lower() == name]


class ServiceUse(Protocol):
    """Reports which kinds of routes lead to a service in the current configuration."""

    def batch_routes(self, service: str) -> int:
        """Return how many routes submit batch jobs to a service."""
        ...

    def has_only_batches(self, service: str) -> bool:
        """Return whether all routes to a service submit batch jobs."""
        ...


class BatchRegions(Protocol):
    """Reports in which regions a batch job may run and be held in the current configuration."""

    @property
    def current(self) -> RoutingConfiguration | None:
        """Return the configuration in force, if any."""
        ...

    def batch_regions(
        self, route_name: str, tenant: TenantName | None, recorded: AllowedRegions
    ) -> AllowedRegions:
        """Return the allowed regions; ``recorded`` ones if the route is gone."""
        ...


class RouteTable:
    """Holds the current configuration; older versions are ignored."""

    def __init__(self) -> None:
        """Create a table without a configuration."""
        self._current: RoutingConfiguration | None = None
        self._current_weights: dict[str, dict[str, float]] = {}
        self._priority_levels: dict[str, frozenset[int]] = {}

    @property
    def current(self) -> RoutingConfiguration | None:
        """Return the current configuration; ``None`` before the first."""
        return self._current

    def apply(self, configuration: RoutingConfiguration) -> bool:
        """Apply a configuration; return false if it is not newer than the current one."""
        if self._current is not None and configuration.version <= self._current.version:
            return False
        self._current = configuration
        self._priority_levels.clear()
        return True

    def priority_levels_of(self, service: str) -> frozenset[int]:
        """Return the priorities that requests to a service may have, cached per configuration."""
        if self._current is None:
            return frozenset()
        priority_levels = self._priority_levels.get(service)
        if priority_levels is None:
            priority_levels = self._priority_levels[service] = self._current.priority_levels_of(
                service
            )
        return priority_levels

    def allowed_regions(self, route: Route, tenant: TenantName | None) -> AllowedRegions:
        """Return the regions in which a request may run under the current configuration."""
        if self._current is None:
            return route.allowed_regions
        return self._current.allowed_regions(route, tenant)

    def batch_regions(
        self, route_name: str, tenant: TenantName | None, recorded: AllowedRegions
    ) -> AllowedRegions:
        """Return the regions in which a batch job may run and be held.

        Args:
            route_name: The route that accepted it.
            tenant: Its tenant.
            recorded: The regions allowed at its submission, used if the route is gone.
        """
        routes = self._current.routes if self._current is not None else ()
        route = next((route for route in routes if route.name == route_name), None)
        if route is None:
            return recorded
        return self.allowed_regions(route, tenant)

    def batch_routes(self, service: str) -> int:
        """Return how many routes submit batch jobs to a service."""
        return sum(route.kind is RequestKind.ROLLOUT for route in self._routes_to(service))

    def has_only_batches(self, service: str) -> bool:
        """Return whether all routes to a service submit batch jobs."""
        return all(route.kind is RequestKind.ROLLOUT for route in self._routes_to(service))

    def _routes_to(self, service: str) -> list[Route]:
        routes = self._current.routes if self._current is not None else ()
        return [r for r in routes if any(share.service == service for share in r.shares)]

    def choose_service(self, route: Route) -> str:
        """Select the service for the next request by smooth weighted round robin."""
        if len(route.shares) == 1:
            return route.shares[0].service
        current_weights = self._current_weights.setdefault(route.name, {})
        total = 0.0
        for share in route.shares:
            current_weights[share.service] = current_weights.get(share.service, 0.0) + share.weight
            total += share.weight
        chosen = max(route.shares, key=lambda share: current_weights[share.service])
        current_weights[chosen.service] -= total
        return chosen.service
