"""Priorities of requests at the engines: live requests go before rollouts.

Engines schedule the request of the largest priority first. Rollouts use priorities below
``LIVE_PRIORITY_BASE``; the priority of a live route is added to that base, so that even a route
of priority 0 goes before rollouts.

On an engine saturated by live requests, strict priority would starve rollouts. There, rollouts go
first as long as they stay within the share guaranteed by the operator's weights.
"""

LIVE_PRIORITY_BASE = 100
GUARANTEED_PRIORITY = 1_000_000
"""Added for rollouts within their guaranteed share of an engine saturated by live requests."""


def live_engine_priority(route_priority: int) -> int:
    """Return the engine priority of requests of a live route."""
    return LIVE_PRIORITY_BASE + route_priority
