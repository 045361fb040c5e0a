"""Deadlines of requests, propagated between processes as the remaining seconds.

Clocks of two machines differ, so a point in time cannot be propagated. The time in transit is not
subtracted and must be small compared to the deadline, as with gRPC's ``grpc-timeout``.
"""

import math

import msgspec

from drumbay.exceptions import DrumbayError

TIMEOUT_HEADER = "Drumbay-Timeout-Seconds"
MAX_TIMEOUT_SECONDS = 86_400.0


class InvalidTimeoutError(DrumbayError):
    """The remaining time is not a positive, finite number of seconds within the limit."""

    code = "invalid_timeout"


class Deadline(msgspec.Struct, frozen=True, kw_only=True):
    """Time on this process's monotonic clock by which a response is needed."""

    expires_at: float

    @classmethod
    def after(cls, seconds: float, now: float) -> "Deadline":
        """Return the deadline in ``seconds`` from ``now``."""
        return cls(expires_at=now + seconds)

    def remaining_seconds(self, now: float) -> float:
        """Return the remaining time in seconds, 0 once it has passed."""
        return max(0.0, self.expires_at - now)

    def is_expired(self, now: float) -> bool:
        """Return whether the deadline has passed."""
        return now >= self.expires_at

    def attempt_timeout_seconds(self, now: float, timeout_seconds: float) -> float:
        """Return the smaller of ``timeout_seconds`` and the remaining time."""
        return min(self.remaining_seconds(now), timeout_seconds)

    def shortened(self, seconds: float, now: float) -> "Deadline":
        """Return the earlier of this deadline and one in ``seconds`` from ``now``."""
        return Deadline(expires_at=min(self.expires_at, now + seconds))

    def header_value(self, now: float) -> str:
        """Return the remaining seconds as text for ``TIMEOUT_HEADER``."""
        return f"{self.remaining_seconds(now):.3f}"


def parse_timeout_seconds(text: str) -> float:
    """Parse the remaining seconds from the value of ``TIMEOUT_HEADER``.

    Raises:
        InvalidTimeoutError: Not a number, not finite, not positive, or over
            ``MAX_TIMEOUT_SECONDS``.
    """
    try:
        seconds = float(text)
    except ValueError as error:
        raise InvalidTimeoutError("the remaining time is not a number of seconds") from error
    if not math.isfinite(seconds) or not 0 < seconds <= MAX_TIMEOUT_SECONDS:
        raise InvalidTimeoutError(
            f"the remaining time must be over 0 and at most {MAX_TIMEOUT_SECONDS:.0f} seconds"
        )
    return seconds
