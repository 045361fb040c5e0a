"""Admission control: per-route limits, and fair shares between classes of work.

A request over a limit is refused immediately, with a retry delay estimated from the observed
service rate. Nothing is queued here.

Shares between live traffic, application requests and rollouts are weighted max-min fair
over recent demand, hence work-conserving: a class may use all slots that the others did not
request recently. :meth:`AdmissionController.excess_slots` reports how many slots a class holds
beyond its share once the others request theirs again.
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
        route_kind: Class of work that the route belongs to.
        max_concurrency: Maximum number of requests in flight.
        max_rate_per_second: Maximum sustained rate at which requests start.
        burst_seconds: How many seconds of that rate may start at once after an idle time.
        priority: Routes of positive priority may use the priority reserve.
    """

    route_name: str
    route_kind: RouteKind
    max_concurrency: int
    max_rate_per_second: float
    burst_seconds: float = 1.0
    priority: int = 0


class ClassWeights(msgspec.Struct, frozen=True, kw_only=True):
    """Weights by which the classes of work share an overloaded node."""

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
        max_in_flight: Maximum number of requests in flight on the node.
        class_weights: Weight of each class of work.
        headroom_slots: Slots kept free for each of the other classes beyond its recent demand, so
            that its next requests need not wait for a request to end.
        priority_reserve_share: Fraction of the node's slots reserved for routes of positive
            priority, for each class that has such a route.
        window_seconds: Window over which demand and service rate are observed.
        min_retry_after_seconds: Lower bound of the retry delay of a refused request.
        max_retry_after_seconds: Upper bound of the retry delay of a refused request.
    """

    max_in_flight: int = 512
    class_weights: ClassWeights = ClassWeights()
    headroom_slots: int = 4
    priority_reserve_share: float = 0.1
    window_seconds: float = 5.0
    min_retry_after_seconds: float = 0.05
    max_retry_after_seconds: float = 30.0


class UnknownRouteError(ConfigurationError):
    """The limits of a route are not set."""

    code = "unknown_route"


class Permit(msgspec.Struct, frozen=True, kw_only=True):
    """Permission to run one request; it must be released exactly once."""

    route_name: str
    route_kind: RouteKind


class Refusal(msgspec.Struct, frozen=True, kw_only=True):
    """A request was refused and has not run."""

    route_name: str
    reason: RefusalReason
    retry_after_seconds: float


class _LoadTracker:
    """Tracks the requests in flight and the recent load of one route or class of work."""

    def __init__(self, window_seconds: float, now: float) -> None:
        self._window_seconds = window_seconds
        self.in_flight = 0
        self._peak = RecentPeak(window_seconds, now)
        self._refusals = RecentCounter(window_seconds, now)
        self._completions = RecentCounter(window_seconds, now)

    def record_start(self, now: float) -> None:
        self.in_flight += 1
        self._peak.observe(now, self.in_flight)

    def record_completion(self, now: float) -> None:
        self.in_flight -= 1
        self._completions.add(now)

    def record_refusal(self, now: float) -> None:
        self._refusals.add(now)

    def demand(self, now: float) -> float:
        """Return the slots that recent requests needed, including refused ones."""
        return self._peak.peak(now, self.in_flight) + self._refusals.count(now)

    def seconds_until_free_slot(self, now: float) -> float:
        """Estimate when a slot is free for one more request after those refused recently."""
        service_rate = self._completions.rate_per_second(now)
        if service_rate <= 0:
            return self._window_seconds
        return (self._refusals.count(now) + 1.0) / service_rate


class _Route:
    """State of one route."""

    def __init__(self, limits: RouteLimits, window_seconds: float, now: float) -> None:
        self.limits = limits
        self.load = _LoadTracker(window_seconds, now)
        self.rate = _rate_bucket(limits, now)


class AdmissionController:
    """Decides which requests start on this node."""

    def __init__(self, policy: AdmissionPolicy, now: float) -> None:
        """Create a controller without routes."""
        self._policy = policy
        self._in_flight = 0
        self._routes: dict[str, _Route] = {}
        self._classes = {kind: _LoadTracker(policy.window_seconds, now) for kind in RouteKind}
        self._guaranteed_slots = _guaranteed_slots_per_class(policy)

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
        class_load = self._classes[route.limits.route_kind]
        reason = self._exceeded_limit(route, now)
        if reason is not None:
            return self._refuse(route, class_load, reason, now)
        route.load.record_start(now)
        class_load.record_start(now)
        self._in_flight += 1
        return Permit(route_name=route_name, route_kind=route.limits.route_kind)

    def release(self, permit: Permit, now: float) -> None:
        """End an admitted request, however it ended."""
        route = self._routes.get(permit.route_name)
        if route is not None and route.load.in_flight > 0:
            route.load.record_completion(now)
        self._classes[permit.route_kind].record_completion(now)
        self._in_flight -= 1

    def excess_slots(self, route_kind: RouteKind, now: float) -> int:
        """Return the slots a class holds beyond its fair share while other classes need them.

        Rollouts hold slots for minutes. Their owner may preempt this many of them and resume them
        later or elsewhere, so that live requests need not wait for their end.
        """
        in_use = self._classes[route_kind].in_flight
        return max(0, in_use - math.ceil(self._fair_share(route_kind, in_use, now)))

    def _exceeded_limit(self, route: _Route, now: float) -> RefusalReason | None:
        limits = route.limits
        if route.load.in_flight >= limits.max_concurrency:
            return RefusalReason.ROUTE_CONCURRENCY
        free_slots = self._policy.max_in_flight - self._in_flight
        if free_slots <= 0:
            return RefusalReason.NODE_CAPACITY
        in_use = self._classes[limits.route_kind].in_flight
        if not self._is_within_share(limits.route_kind, in_use, now):
            return RefusalReason.FAIR_SHARE
        if limits.priority <= 0 and free_slots <= self._priority_reserve(limits.route_kind):
            return RefusalReason.PRIORITY_RESERVE
        if not route.rate.try_take(now):
            return RefusalReason.ROUTE_RATE
        return None

    def _is_within_share(self, route_kind: RouteKind, in_use: int, now: float) -> bool:
        # Max-min fairness guarantees every class the share of its weight, so the allocation
        # need not be computed below that share.
        if in_use < self._guaranteed_slots[route_kind]:
            return True
        return in_use < self._fair_share(route_kind, in_use + 1, now)

    def _fair_share(self, route_kind: RouteKind, own_demand: int, now: float) -> float:
        policy = self._policy
        demands = [
            ShareDemand(
                weight=policy.class_weights.of(kind),
                amount=max(own_demand, load.demand(now))
                if kind is route_kind
                else load.demand(now) + policy.headroom_slots,
            )
            for kind, load in self._classes.items()
        ]
        allocation = fair_allocation(policy.max_in_flight, demands)
        return allocation[list(self._classes).index(route_kind)]

    def _priority_reserve(self, route_kind: RouteKind) -> int:
        """Return the slots reserved for prioritized routes; 0 if the class has no such route."""
        for route in self._routes.values():
            if route.limits.route_kind is route_kind and route.limits.priority > 0:
                return math.floor(self._policy.max_in_flight * self._policy.priority_reserve_share)
        return 0

    def _refuse(
        self, route: _Route, class_load: _LoadTracker, reason: RefusalReason, now: float
    ) -> Refusal:
        if reason is RefusalReason.ROUTE_RATE:
            retry_after = route.rate.seconds_until(now)
        else:
            load = route.load if reason is RefusalReason.ROUTE_CONCURRENCY else class_load
            retry_after = load.seconds_until_free_slot(now)
            load.record_refusal(now)
        policy = self._policy
        bounded = max(policy.min_retry_after_seconds, retry_after)
        return Refusal(
            route_name=route.limits.route_name,
            reason=reason,
            retry_after_seconds=min(policy.max_retry_after_seconds, bounded),
        )


def _guaranteed_slots_per_class(policy: AdmissionPolicy) -> dict[RouteKind, int]:
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
