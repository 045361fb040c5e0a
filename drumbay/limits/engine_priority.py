"""Priorities that engines are given: live requests always go before rollouts.

Engines take the request of the largest priority first. Rollouts use the priorities below
``LIVE_PRIORITY_BASE`` among themselves; the priority of a live route is added to it, so that
a route without a priority of its own goes before rollouts too.

Strict priority alone would starve rollouts while live requests ask for more than an engine
has. There the few rollouts of the share that the operator's weights guarantee go first.
"""

LIVE_PRIORITY_BASE = 100
GUARANTEED_PRIORITY = 1_000_000
"""Added for rollouts within their guaranteed share of an engine that live requests fill."""


def live_engine_priority(route_priority: int) -> int:
    """Return the priority at the engine of a request of a live route."""
    return LIVE_PRIORITY_BASE + route_priority
