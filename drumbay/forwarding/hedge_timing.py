"""Decides when a hedge (a second copy of a request) is sent.

A hedge is sent once the request has waited longer than nearly all requests of its route take, as
in Dean and Barroso, "The Tail at Scale" (CACM 56(2), 2013). A budget limits hedges to a share of
the node's requests, since they only add load when all workers are slow.
"""

import math

from drumbay.limits.recent_latency import RecentLatency
from drumbay.limits.retry_budget import RetryBudget, RetryBudgetPolicy

MIN_DELAY_TARGET_SHARE = 0.2
MAX_DELAY_TARGET_SHARE = 0.45
"""Bounds of the hedge delay for requests that a client waits for, as shares of the latency
target."""

MIN_BACKGROUND_DELAY_TARGET_SHARE = 0.5
MAX_BACKGROUND_DELAY_TARGET_SHARE = 0.75
"""Bounds for internal requests, such as reward scoring of batch jobs, where latency matters
less."""

STALLED_CONNECTION_TARGET_SHARE = 1.0
"""Share of the target after which a reused connection without a response counts as stalled. The
request is then resent over a new connection even if the hedge budget is used up."""

BUDGET_POLICY = RetryBudgetPolicy(retry_ratio=0.1, min_retries_per_second=0.5, max_balance=10.0)
"""Hedge budget. Interactive and background requests have separate budgets, so that a burst of
background requests cannot exhaust the interactive one."""

DEFAULT_LATENCY_TARGET_SHARE = 0.2
"""Assumed latency, as a share of the target, until enough responses of a route were observed."""

MAX_TRACKED_ROUTES = 256
"""Maximum number of routes with stored latencies; the least recently used is evicted."""


class HedgeTiming:
    """Recent response latencies of each route and the hedge budgets of one node.

    ``is_interactive`` says whether a client waits for the response.
    """

    def __init__(self, now: float) -> None:
        """Start without observations and with full budgets."""
        self._interactive_budget = RetryBudget(BUDGET_POLICY, now)
        self._background_budget = RetryBudget(BUDGET_POLICY, now)
        self._latencies: dict[str, RecentLatency] = {}

    def record_request(self, now: float, *, is_interactive: bool) -> None:
        """Count a request toward the budget."""
        self._budget_of(is_interactive).record_request(now)

    def try_withdraw(self, now: float, *, is_interactive: bool) -> bool:
        """Take one hedge from the budget; return false if the budget is used up."""
        return self._budget_of(is_interactive).try_withdraw(now)

    def _budget_of(self, is_interactive: bool) -> RetryBudget:
        return self._interactive_budget if is_interactive else self._background_budget

    def observe(self, route_name: str, seconds: float) -> None:
        """Record the latency of a worker's response."""
        latency = self._latencies.pop(route_name, None) or RecentLatency()
        self._latencies[route_name] = latency
        if len(self._latencies) > MAX_TRACKED_ROUTES:
            del self._latencies[next(iter(self._latencies))]
        latency.observe(seconds)

    def has_typical_latency(self, route_name: str) -> bool:
        """Return whether enough responses of a route were observed."""
        return self._observed_typical_seconds(route_name) is not None

    def typical_seconds(self, route_name: str, target_seconds: float) -> float:
        """Return the median latency of a route, or the default until it is known."""
        observed_typical = self._observed_typical_seconds(route_name)
        return (
            DEFAULT_LATENCY_TARGET_SHARE * target_seconds
            if observed_typical is None
            else observed_typical
        )

    def _observed_typical_seconds(self, route_name: str) -> float | None:
        latency = self._latencies.get(route_name)
        return latency.median_seconds() if latency is not None else None

    def delay_seconds(
        self, route_name: str, target_seconds: float, *, is_interactive: bool
    ) -> float:
        """Return the delay after which a hedge is sent."""
        min_share, max_share = MIN_DELAY_TARGET_SHARE, MAX_DELAY_TARGET_SHARE
        if not is_interactive:
            min_share, max_share = (
                MIN_BACKGROUND_DELAY_TARGET_SHARE,
                MAX_BACKGROUND_DELAY_TARGET_SHARE,
            )
        latency = self._latencies.get(route_name)
        hedge_delay = latency.hedge_delay_seconds() if latency is not None else None
        preferred_seconds = hedge_delay if hedge_delay is not None else math.inf
        return min(max_share * target_seconds, max(min_share * target_seconds, preferred_seconds))
