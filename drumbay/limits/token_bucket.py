"""Token bucket whose current time is an argument, so that simulations control the clock.

``docs/design/limits.md`` compares it with libraries.
"""


class TokenBucket:
    """Tokens that refill at a constant rate up to a capacity."""

    def __init__(
        self, *, rate_per_second: float, capacity: float, now: float, initial: float | None = None
    ) -> None:
        """Create a bucket; it is full unless ``initial`` tokens are given."""
        self._rate_per_second = rate_per_second
        self._capacity = capacity
        self._tokens = capacity if initial is None else min(initial, capacity)
        self._updated_at = now

    def available(self, now: float) -> float:
        """Return the tokens available at ``now``; a clock that moves backwards adds none."""
        if now > self._updated_at:
            refill = (now - self._updated_at) * self._rate_per_second
            self._tokens = min(self._capacity, self._tokens + refill)
            self._updated_at = now
        return self._tokens

    def try_take(self, now: float, amount: float = 1.0) -> bool:
        """Take ``amount`` tokens if available; return whether they were."""
        if self.available(now) < amount:
            return False
        self._tokens -= amount
        return True

    def add(self, now: float, amount: float) -> None:
        """Add tokens, up to the capacity."""
        self._tokens = min(self._capacity, self.available(now) + amount)

    def seconds_until(self, now: float, amount: float = 1.0) -> float:
        """Return the seconds until ``amount`` tokens are available if no others are taken."""
        missing = amount - self.available(now)
        if missing <= 0:
            return 0.0
        if self._rate_per_second <= 0:
            return float("inf")
        return missing / self._rate_per_second
