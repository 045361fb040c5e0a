"""Routes that operators configure, and the choice of a route for a request."""

from enum import StrEnum
from typing import Protocol

import msgspec

from drumbay.scaling.records import ServiceScaling
from drumbay.tenants.records import KeyTable, TenantName


class RequestKind(StrEnum):
    """What may be done with the requests of a route."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    ROLLOUT = "rollout"


class ServiceShare(msgspec.Struct, frozen=True, kw_only=True):
    """A service that takes a share of a route's requests."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Requests of one host below one path prefix; a public one needs no key.

    ``priority`` ranks its requests where they compete for workers: 0 goes first. All results of a
    batch job are due ``due_seconds`` after its submission; ``None`` if nothing says when.
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


class RequestLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds of what a client may send."""

    header_bytes: int = 16_384
    body_bytes: int = 33_554_432
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


class RoutingConfiguration(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the operators' configuration, whole.

    ``keys`` is ``None`` where it names no tenants: then no request needs a key. ``scaling`` names
    the services whose number of workers may be ordered, ``services`` those that are listed beside
    the routes.
    """

    version: int
    routes: tuple[Route, ...]
    limits: RequestLimits
    keys: KeyTable | None = None
    scaling: tuple[ServiceScaling, ...] = ()
    services: frozenset[str] = frozenset()

    @property
    def named_services(self) -> frozenset[str]:
        """Return the services that a route or the list of services names."""
        routed = {share.service for route in self.routes for share in route.shares}
        return self.services | routed

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of the host with the longest prefix of the path."""
        matching = [r for r in self._of_host(host) if path.startswith(r.path_prefix)]
        return max(matching, key=lambda route: len(route.path_prefix), default=None)

    def priority_of(self, route: Route, tenant: TenantName | None) -> int:
        """Return the rank of a request: its tenant's if that has one, else its route's."""
        if tenant is None or self.keys is None:
            return route.priority
        return self.keys.priorities.get(tenant, route.priority)

    def ranks_at(self, service: str) -> frozenset[int]:
        """Return the ranks that requests to a service may have."""
        routes = [
            route
            for route in self.routes
            if route.kind is not RequestKind.ROLLOUT
            and any(share.service == service for share in route.shares)
        ]
        ranks = {route.priority for route in routes}
        if self.keys is not None and any(not route.is_public for route in routes):
            ranks |= set(self.keys.priorities.values())
        return frozenset(ranks)

    def batches_need_key(self, host: str) -> bool:
        """Return whether calls about batch jobs need a key: unless all their routes are public."""
        routes = [r for r in self._of_host(host) if r.kind is RequestKind.ROLLOUT]
        return not routes or not all(route.is_public for route in routes)

    def _of_host(self, host: str) -> list[Route]:
        name = host.partition(":")[0].lower()
        return [route for route in self.routes if route.host.lower() == name]


class ServiceUse(Protocol):
    """Tells which kinds of requests reach a service by the configuration in force."""

    def batch_routes(self, service: str) -> int:
        """Return how many routes submit batch jobs to a service."""
        ...

    def has_only_batches(self, service: str) -> bool:
        """Return whether all routes to a service submit batch jobs."""
        ...


class RouteTable:
    """The configuration in force; it never goes back to an older version."""

    def __init__(self) -> None:
        """Create a table without a configuration."""
        self._current: RoutingConfiguration | None = None
        self._credits: dict[str, dict[str, float]] = {}
        self._ranks: dict[str, frozenset[int]] = {}

    @property
    def current(self) -> RoutingConfiguration | None:
        """Return the configuration in force; ``None`` before the first."""
        return self._current

    def apply(self, configuration: RoutingConfiguration) -> bool:
        """Put a configuration in force unless it is older; return whether it was newer."""
        if self._current is not None and configuration.version <= self._current.version:
            return False
        self._current = configuration
        self._ranks.clear()
        return True

    def ranks_at(self, service: str) -> frozenset[int]:
        """Return the ranks that requests to a service may have, worked out once a version."""
        if self._current is None:
            return frozenset()
        ranks = self._ranks.get(service)
        if ranks is None:
            ranks = self._ranks[service] = self._current.ranks_at(service)
        return ranks

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
        """Return the service for the next request: smooth weighted round robin."""
        if len(route.shares) == 1:
            return route.shares[0].service
        credits = self._credits.setdefault(route.name, {})
        total = 0.0
        for share in route.shares:
            credits[share.service] = credits.get(share.service, 0.0) + share.weight
            total += share.weight
        chosen = max(route.shares, key=lambda share: credits[share.service])
        credits[chosen.service] -= total
        return chosen.service
