"""Routes configured by operators, and their lookup."""

from collections.abc import Mapping
from enum import StrEnum
from typing import Protocol

import msgspec

from drumbay.placement.regions import ANY_REGION, AllowedRegions
from drumbay.placement.warm_up import WarmUp, warm_ups_by_service
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

    def regions_by_route(self) -> dict[str, AllowedRegions]:
        """Return the allowed regions by route name; all routes of one name bind."""
        regions: dict[str, AllowedRegions] = {}
        for route in self.routes:
            others = regions.get(route.name, ANY_REGION)
            regions[route.name] = route.allowed_regions.intersect(others)
        return regions

    def regions_of_tenant(self, tenant: TenantName | None) -> AllowedRegions:
        """Return the regions that a tenant allows; any if it is not configured."""
        if tenant is None or self.keys is None:
            return ANY_REGION
        return self.keys.allowed_regions.get(tenant, ANY_REGION)

    def has_tenant(self, tenant: TenantName | None) -> bool:
        """Return whether a tenant is configured; true for requests without one."""
        return tenant is None or (self.keys is not None and tenant in self.keys.allowed_regions)

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
        routes = self._batch_routes_of_host(host)
        return not routes or not all(route.is_public for route in routes)

    def has_batch_routes(self, host: str) -> bool:
        """Return whether the host has a rollout route; open batch jobs outlive theirs."""
        return bool(self._batch_routes_of_host(host))

    def _batch_routes_of_host(self, host: str) -> list[Route]:
        return [r for r in self._routes_of_host(host) if r.kind is RequestKind.ROLLOUT]

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


class BatchRouting(ServiceUse, Protocol):
    """Reports the route of an accepted batch job in the current configuration."""

    @property
    def current(self) -> RoutingConfiguration | None:
        """Return the configuration in force, if any."""
        ...

    def batch_route(self, name: str, host: str, path: str) -> Route | None:
        """Return the route of a batch job; ``None`` if the configuration has none for it."""
        ...

    def choose_service(self, route: Route) -> str:
        """Select the service for the next batch job of a route."""
        ...


class BatchRegions(Protocol):
    """Reports in which regions a batch job may run and be held in the current configuration."""

    @property
    def current(self) -> RoutingConfiguration | None:
        """Return the configuration in force, if any."""
        ...

    def regions_in_force(
        self, route_name: str, tenant: TenantName | None, recorded: AllowedRegions
    ) -> AllowedRegions:
        """Return the allowed regions; ``recorded`` ones bind too if route or tenant is gone."""
        ...


class RouteTable:
    """Holds the current configuration; older versions are ignored."""

    def __init__(self) -> None:
        """Create a table without a configuration."""
        self._current: RoutingConfiguration | None = None
        self._current_weights: dict[str, dict[str, float]] = {}
        self._priority_levels: dict[str, frozenset[int]] = {}
        self._regions_by_route: dict[str, AllowedRegions] = {}
        self.warm_ups: Mapping[str, WarmUp] = {}
        """Services whose workers warm up at a limited rate."""

    @property
    def current(self) -> RoutingConfiguration | None:
        """Return the current configuration; ``None`` before the first."""
        return self._current

    def apply(self, configuration: RoutingConfiguration) -> bool:
        """Apply a configuration; return false if it is not newer than the current one."""
        if self._current is not None and configuration.version <= self._current.version:
            return False
        self._current = configuration
        self.warm_ups = warm_ups_by_service(configuration.warm_ups)
        self._priority_levels.clear()
        self._regions_by_route = configuration.regions_by_route()
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
        """Return the regions in which a new request may run."""
        return self.regions_in_force(route.name, tenant, route.allowed_regions)

    def regions_in_force(
        self, route_name: str, tenant: TenantName | None, recorded: AllowedRegions
    ) -> AllowedRegions:
        """Return the regions in which an earlier request or batch job may run and be held now.

        Args:
            route_name: The route by which it came.
            tenant: Its tenant.
            recorded: The regions allowed when it came; they bind as well if the configuration no
                longer has its route or its tenant.
        """
        if self._current is None:
            return recorded
        route_regions = self._regions_by_route.get(route_name)
        regions = self._current.regions_of_tenant(tenant)
        if route_regions is not None:
            regions = regions.intersect(route_regions)
        is_configured = route_regions is not None and self._current.has_tenant(tenant)
        return regions if is_configured else regions.intersect(recorded)

    def batch_route(self, name: str, host: str, path: str) -> Route | None:
        """Return the route by which the items of an accepted batch job run now.

        That is the route of its name or, if it was renamed or replaced, the one of its items' path;
        ``None`` if the configuration has neither.
        """
        if self._current is None:
            return None
        named = next((route for route in self._current.routes if route.name == name), None)
        route = named or self._current.find(host, path)
        is_for_batches = route is not None and route.kind is RequestKind.ROLLOUT
        return route if is_for_batches else None

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
