"""Admission of requests: per-route limits, and fair shares between classes of work.

A request that cannot be served soon is refused at once, with the time after which it is
worth coming back, estimated from the observed service rate. Nothing is queued here.

Shares between live traffic, application requests and rollouts are weighted max-min fair
over recent demand, hence work-conserving: a class may use all places that the others did not
ask for of late. What it holds beyond its share when the others come back is reported by
:meth:`AdmissionController.excess_places`.
"""

import math
from enum import StrEnum

import msgspec

from drumbay.exceptions import ConfigurationError
from drumbay.limits.demand import RecentCounter, RecentPeak
from drumbay.limits.fair_share import ShareDemand, fair_allocation
from drumbay.limits.token_bucket import TokenBucket
from drumbay.resources.schema import RouteKind


class RefusalReason(StrEnum):
    """Which limit refused a request."""

    ROUTE_CONCURRENCY = "route_concurrency"
    ROUTE_RATE = "route_rate"
    NODE_CAPACITY = "node_capacity"
    FAIR_SHARE = "fair_share"
    PRIORITY_RESERVE = "priority_reserve"


class RouteLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of one route on this node.

    Attributes:
        route_name: Name of the route.
        route_kind: Class of work the route belongs to.
        max_concurrency: Most requests in flight.
        max_rate_per_second: Most requests started per second, averaged over the burst.
        burst_seconds: Seconds of the rate that may start at once.
        priority: Larger is served first.
    """

    route_name: str
    route_kind: RouteKind
    max_concurrency: int
    max_rate_per_second: float
    burst_seconds: float = 1.0
    priority: int = 0


class ClassWeights(msgspec.Struct, frozen=True, kw_only=True):
    """Weights by which the classes of work share a node when all ask for more."""

    live: float = 4.0
    application: float = 2.0
    rollout: float = 2.0

    def of(self, route_kind: RouteKind) -> float:
        """Return the weight of one class."""
        if route_kind is RouteKind.LIVE:
            return self.live
        if route_kind is RouteKind.APPLICATION:
            return self.application
        return self.rollout


class AdmissionPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Capacity of a node and how it is shared.

    Attributes:
        max_in_flight: Most requests in flight on the node.
        class_weights: Weight of each class of work.
        headroom_places: Places kept free for each other class beyond its recent demand, so
            that its next requests need not wait for one to end.
        priority_reserve_share: Part of the node's places kept for routes of positive
            priority, for each class that has such a route.
        window_seconds: Window over which demand and service rate are observed.
        min_retry_after_seconds: Shortest time a refused caller is told.
        max_retry_after_seconds: Longest time a refused caller is told.
    """

    max_in_flight: int = 512
    class_weights: ClassWeights = ClassWeights()
    headroom_places: int = 4
    priority_reserve_share: float = 0.1
    window_seconds: float = 5.0
    min_retry_after_seconds: float = 0.05
    max_retry_after_seconds: float = 30.0


class UnknownRouteError(ConfigurationError):
    """No limits have been set for a route."""

    code = "unknown_route"


class Permit(msgspec.Struct, frozen=True, kw_only=True):
    """Permission for one request; it must be released exactly once."""

    route_name: str
    route_kind: RouteKind


class Refusal(msgspec.Struct, frozen=True, kw_only=True):
    """A request was refused and has not run."""

    route_name: str
    reason: RefusalReason
    retry_after_seconds: float


class _Flow:
    """Requests in flight and recent outcomes of one route or class of work."""

    def __init__(self, window_seconds: float, now: float) -> None:
        self._window_seconds = window_seconds
        self.in_flight = 0
        self._peak = RecentPeak(window_seconds, now)
        self._refusals = RecentCounter(window_seconds, now)
        self._completions = RecentCounter(window_seconds, now)

    def start(self, now: float) -> None:
        self.in_flight += 1
        self._peak.observe(now, self.in_flight)

    def finish(self, now: float) -> None:
        self.in_flight -= 1
        self._completions.add(now)

    def refuse(self, now: float) -> None:
        self._refusals.add(now)

    def demand(self, now: float) -> float:
        """Return the places that recent requests, refused ones included, asked for."""
        return self._peak.peak(now, self.in_flight) + self._refusals.count(now)

    def seconds_to_place(self, now: float) -> float:
        """Estimate when a place frees for one more after those refused before it."""
        service_rate = self._completions.rate_per_second(now)
        if service_rate <= 0:
            return self._window_seconds
        return (self._refusals.count(now) + 1.0) / service_rate


class _Route:
    """State of one route."""

    def __init__(self, limits: RouteLimits, window_seconds: float, now: float) -> None:
        self.limits = limits
        self.flow = _Flow(window_seconds, now)
        self.rate = _rate_bucket(limits, now)


class AdmissionController:
    """Decides which requests start on this node."""

    def __init__(self, policy: AdmissionPolicy, now: float) -> None:
        """Create a controller without routes."""
        self._policy = policy
        self._in_flight = 0
        self._routes: dict[str, _Route] = {}
        self._classes = {kind: _Flow(policy.window_seconds, now) for kind in RouteKind}
        self._guaranteed = _guaranteed_places(policy)

    @property
    def in_flight(self) -> int:
        """Return the requests in flight on the node."""
        return self._in_flight

    def class_in_flight(self, route_kind: RouteKind) -> int:
        """Return the requests in flight of one class of work."""
        return self._classes[route_kind].in_flight

    def set_route(self, limits: RouteLimits, now: float) -> None:
        """Set the limits of a route; its requests in flight stay counted."""
        route = self._routes.get(limits.route_name)
        if route is None:
            self._routes[limits.route_name] = _Route(limits, self._policy.window_seconds, now)
            return
        if limits != route.limits:
            route.limits = limits
            route.rate = _rate_bucket(limits, now, initial=route.rate.available(now))

    def remove_route(self, route_name: str) -> None:
        """Remove a route; its requests in flight may still be released."""
        self._routes.pop(route_name, None)

    def try_admit(self, route_name: str, now: float) -> Permit | Refusal:
        """Admit one request or refuse it.

        Raises:
            UnknownRouteError: The route has no limits.
        """
        route = self._routes.get(route_name)
        if route is None:
            raise UnknownRouteError(f"route {route_name!r} has no limits")
        work = self._classes[route.limits.route_kind]
        reason = self._exceeded_limit(route, now)
        if reason is not None:
            return self._refuse(route, work, reason, now)
        route.flow.start(now)
        work.start(now)
        self._in_flight += 1
        return Permit(route_name=route_name, route_kind=route.limits.route_kind)

    def release(self, permit: Permit, now: float) -> None:
        """End an admitted request, however it ended."""
        route = self._routes.get(permit.route_name)
        if route is not None and route.flow.in_flight > 0:
            route.flow.finish(now)
        self._classes[permit.route_kind].finish(now)
        self._in_flight -= 1

    def excess_places(self, route_kind: RouteKind, now: float) -> int:
        """Return the places a class holds beyond its fair share while others ask for them.

        Rollouts hold places for minutes. Whoever runs them may stop that many, to resume
        them elsewhere or later, so that live requests need not wait for their end.
        """
        held = self._classes[route_kind].in_flight
        return max(0, held - math.ceil(self._fair_share(route_kind, held, now)))

    def _exceeded_limit(self, route: _Route, now: float) -> RefusalReason | None:
        limits = route.limits
        if route.flow.in_flight >= limits.max_concurrency:
            return RefusalReason.ROUTE_CONCURRENCY
        free = self._policy.max_in_flight - self._in_flight
        if free <= 0:
            return RefusalReason.NODE_CAPACITY
        held = self._classes[limits.route_kind].in_flight
        if not self._is_within_share(limits.route_kind, held, now):
            return RefusalReason.FAIR_SHARE
        if limits.priority <= 0 and free <= self._priority_reserve(limits.route_kind):
            return RefusalReason.PRIORITY_RESERVE
        if not route.rate.try_take(now):
            return RefusalReason.ROUTE_RATE
        return None

    def _is_within_share(self, route_kind: RouteKind, held: int, now: float) -> bool:
        # NOTE: max-min fairness gives every class its weight's part of the places if it asks
        # for them, so that the demands need not be weighed below it.
        if held < self._guaranteed[route_kind]:
            return True
        return held < self._fair_share(route_kind, held + 1, now)

    def _fair_share(self, route_kind: RouteKind, own_places: int, now: float) -> float:
        policy = self._policy
        demands = [
            ShareDemand(
                weight=policy.class_weights.of(kind),
                places=max(own_places, flow.demand(now))
                if kind is route_kind
                else flow.demand(now) + policy.headroom_places,
            )
            for kind, flow in self._classes.items()
        ]
        allocation = fair_allocation(policy.max_in_flight, demands)
        return allocation[list(self._classes).index(route_kind)]

    def _priority_reserve(self, route_kind: RouteKind) -> int:
        """Return the places kept for prioritized routes; none if the class has none."""
        for route in self._routes.values():
            if route.limits.route_kind is route_kind and route.limits.priority > 0:
                return math.floor(self._policy.max_in_flight * self._policy.priority_reserve_share)
        return 0

    def _refuse(self, route: _Route, work: _Flow, reason: RefusalReason, now: float) -> Refusal:
        if reason is RefusalReason.ROUTE_RATE:
            retry_after = route.rate.seconds_until(now)
        else:
            flow = route.flow if reason is RefusalReason.ROUTE_CONCURRENCY else work
            retry_after = flow.seconds_to_place(now)
            flow.refuse(now)
        policy = self._policy
        bounded = max(policy.min_retry_after_seconds, retry_after)
        return Refusal(
            route_name=route.limits.route_name,
            reason=reason,
            retry_after_seconds=min(policy.max_retry_after_seconds, bounded),
        )


def _guaranteed_places(policy: AdmissionPolicy) -> dict[RouteKind, int]:
    total_weight = sum(policy.class_weights.of(kind) for kind in RouteKind)
    return {
        kind: math.floor(policy.max_in_flight * policy.class_weights.of(kind) / total_weight)
        for kind in RouteKind
    }


def _rate_bucket(limits: RouteLimits, now: float, initial: float | None = None) -> TokenBucket:
    capacity = max(1.0, limits.max_rate_per_second * limits.burst_seconds)
    return TokenBucket(
        rate_per_second=limits.max_rate_per_second, capacity=capacity, now=now, initial=initial
    )
