"""Budget that bounds retries to a share of the requests.

Each first attempt deposits a share of one retry and each retry withdraws a whole one, as in
Finagle's ``RetryBudget``. When a large part of the requests fails, the load on the back
ends then grows by that share only, where retrying each failure would multiply it.
"""

import msgspec

from drumbay.limits.token_bucket import TokenBucket


class RetryBudgetPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Size of a retry budget.

    Attributes:
        retry_ratio: Retries earned by one request.
        min_retries_per_second: Retries earned without any request, for low traffic.
        max_balance: Most retries that can be saved up; also the balance at the start.
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
        """Take one retry from the budget; False if it is spent."""
        return self._balance.try_take(now)
