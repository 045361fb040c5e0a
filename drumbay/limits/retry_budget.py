"""Budget that bounds retries to a fraction of the requests.

Each first attempt deposits a fraction of a retry and each retry withdraws a whole one, as in
Finagle's ``RetryBudget``. This prevents a retry storm: when many requests fail, the load on the
back ends grows by that fraction only.
"""

import msgspec

from drumbay.limits.token_bucket import TokenBucket


class RetryBudgetPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Size of a retry budget.

    Attributes:
        retry_ratio: Retries earned by one request.
        min_retries_per_second: Retries earned per second regardless of requests, for low traffic.
        max_balance: Maximum balance, which is also the initial one.
    """

    retry_ratio: float = 0.1
    min_retries_per_second: float = 0.2
    max_balance: float = 10.0


class RetryBudget:
    """Decides whether a failed request may be retried."""

    def __init__(self, policy: RetryBudgetPolicy, now: float) -> None:
        """Create a budget with a full balance."""
        self._retry_ratio = policy.retry_ratio
        self._balance = TokenBucket(
            rate_per_second=policy.min_retries_per_second, capacity=policy.max_balance, now=now
        )

    def record_request(self, now: float) -> None:
        """Count the first attempt of a request."""
        self._balance.add(now, self._retry_ratio)

    def try_withdraw(self, now: float) -> bool:
        """Withdraw one retry; return whether the balance sufficed."""
        return self._balance.try_take(now)
