"""Pure decision when a second copy of a request goes out.

The load it answers: single answers that take far longer than their route's others, on workers that
are busy for a moment, slow or silent. The second copy goes out once the request has waited longer
than nearly all of its route's requests take, as in Dean and Barroso, "The Tail at Scale" (CACM
56(2), 2013). When all workers are slow together, second copies would only add to their load: a
budget bounds them to a share of the node's requests.
"""

import math

from drumbay.limits.recent_latency import RecentLatency
from drumbay.limits.retry_budget import RetryBudget, RetryBudgetPolicy

EARLIEST_SHARE_OF_TARGET = 0.2
LATEST_SHARE_OF_TARGET = 0.45
"""A caller waits for the answer: the second copy must leave it more than half of the objective, and
one sent within a fifth of it is not worth a worker's place yet."""

EARLIEST_UNAWAITED_SHARE_OF_TARGET = 0.5
LATEST_UNAWAITED_SHARE_OF_TARGET = 0.75
"""The system's own requests are parts of a batch job that takes seconds; a late one costs less than
the place of a second copy."""

LATEST_SHARE_WITHOUT_BUDGET = 1.0
"""A kept connection may have fallen silent, and with it those of all workers at once, more than any
budget holds. A request without a word on one for its whole objective is sent over a new one."""

BUDGET_POLICY = RetryBudgetPolicy(retry_ratio=0.1, min_retries_per_second=0.5, max_balance=10.0)
"""A tenth of the requests, and one each two seconds for nodes with few; ten at once, as many as a
node has under way at a worker that goes dark. Callers' requests have a budget of their own: a burst
of the system's requests must not use it up."""

UNKNOWN_SHARE_OF_TARGET = 0.2
"""Until a few answers of a route were seen, its requests count as taking this share of the
objective, which leaves room for a second copy and for the way to the caller."""

MAXIMUM_ROUTES = 256
"""Routes whose times are remembered: one whose times are forgotten counts as a new one."""


class HedgeTiming:
    """Recent times of each route's answers, and the budgets of second copies of one node.

    ``is_awaited`` tells throughout that a caller waits for the answer.
    """

    def __init__(self, now: float) -> None:
        """Start without observations and with full budgets."""
        self._budget = RetryBudget(BUDGET_POLICY, now)
        self._unawaited_budget = RetryBudget(BUDGET_POLICY, now)
        self._latencies: dict[str, RecentLatency] = {}

    def record_request(self, now: float, *, is_awaited: bool) -> None:
        """Count a request."""
        self._budget_of(is_awaited).record_request(now)

    def try_withdraw(self, now: float, *, is_awaited: bool) -> bool:
        """Take one second copy from the budget; false if it is spent."""
        return self._budget_of(is_awaited).try_withdraw(now)

    def _budget_of(self, is_awaited: bool) -> RetryBudget:
        return self._budget if is_awaited else self._unawaited_budget

    def observe(self, route_name: str, seconds: float) -> None:
        """Take the time of a worker's answer."""
        latency = self._latencies.pop(route_name, None) or RecentLatency()
        self._latencies[route_name] = latency
        if len(self._latencies) > MAXIMUM_ROUTES:
            del self._latencies[next(iter(self._latencies))]
        latency.observe(seconds)

    def knows(self, route_name: str) -> bool:
        """Return whether the usual time of a route's answers was seen."""
        return self._seen_usual_seconds(route_name) is not None

    def usual_seconds(self, route_name: str, target_seconds: float) -> float:
        """Return the median time of a route's answers, or a guess until it is known."""
        seen_seconds = self._seen_usual_seconds(route_name)
        return UNKNOWN_SHARE_OF_TARGET * target_seconds if seen_seconds is None else seen_seconds

    def _seen_usual_seconds(self, route_name: str) -> float | None:
        latency = self._latencies.get(route_name)
        return latency.usual_seconds() if latency is not None else None

    def delay_seconds(self, route_name: str, target_seconds: float, *, is_awaited: bool) -> float:
        """Return after how long a second copy goes out."""
        earliest, latest = EARLIEST_SHARE_OF_TARGET, LATEST_SHARE_OF_TARGET
        if not is_awaited:
            earliest, latest = EARLIEST_UNAWAITED_SHARE_OF_TARGET, LATEST_UNAWAITED_SHARE_OF_TARGET
        latency = self._latencies.get(route_name)
        slow = latency.hedge_delay_seconds() if latency is not None else None
        wanted_seconds = slow if slow is not None else math.inf
        return min(latest * target_seconds, max(earliest * target_seconds, wanted_seconds))
