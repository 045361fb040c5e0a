"""Switchable faults of the key-value stand-in, and its rate limit."""

import random
from enum import StrEnum
from typing import Annotated

import msgspec
from msgspec import Meta

from drumbay.kv.interface import KeyValueRateLimitedError, KeyValueUnavailableError

Probability = Annotated[float, Meta(ge=0, le=1)]
NonNegativeSeconds = Annotated[float, Meta(ge=0)]
NonNegativeCount = Annotated[int, Meta(ge=0)]


class KeyValueFaults(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Faults in force; the default value is a healthy service.

    Attributes:
        outage: Refuse every operation and break every watch. Leases keep running out.
        request_delay_seconds: Time before an operation takes effect.
        answer_delay_seconds: Time between the effect and its answer.
        lost_answers: Number of coming writes that take effect without an answer.
        lost_requests: Number of coming writes that are dropped without effect or answer.
        lost_answer_probability: Share of the remaining writes that lose their answer.
        lost_request_probability: Share of the remaining writes that are dropped.
        rate_limit_per_second: Operations accepted per second; ``None`` for no limit.
        rate_limit_burst: Operations accepted at once after an idle time.
        watches_broken: Break every watch and refuse new ones; other operations work.
        watches_stalled: Keep watches open but deliver nothing until switched off.
    """

    outage: bool = False
    request_delay_seconds: NonNegativeSeconds = 0.0
    answer_delay_seconds: NonNegativeSeconds = 0.0
    lost_answers: NonNegativeCount = 0
    lost_requests: NonNegativeCount = 0
    lost_answer_probability: Probability = 0.0
    lost_request_probability: Probability = 0.0
    rate_limit_per_second: Annotated[float, Meta(gt=0)] | None = None
    rate_limit_burst: Annotated[int, Meta(ge=1)] = 10
    watches_broken: bool = False
    watches_stalled: bool = False


class WriteFate(StrEnum):
    """What becomes of one write."""

    ANSWERED = "answered"
    ANSWER_LOST = "answer_lost"
    REQUEST_LOST = "request_lost"


class TokenBucket:
    """Rate limit: tokens refill with time, and each operation takes one."""

    def __init__(self, rate_per_second: float, burst: int, now: float) -> None:
        """Create a full bucket."""
        self._rate_per_second = rate_per_second
        self._burst = float(burst)
        self._tokens = float(burst)
        self._updated_at = now

    def take(self, now: float) -> bool:
        """Take one token; return ``False`` if there is none."""
        refill = (now - self._updated_at) * self._rate_per_second
        self._tokens = min(self._burst, self._tokens + refill)
        self._updated_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class FaultInjector:
    """Decides the fate of each operation from the faults in force.

    Attributes:
        arrived: Operations that arrived so far, watches being opened included.
        refused: How many of them were refused.
        unanswered: How many writes lost their request or their answer.
    """

    def __init__(self, generator: random.Random) -> None:
        """Create an injector of a healthy service."""
        self.arrived = 0
        self.refused = 0
        self.unanswered = 0
        self._generator = generator
        self._faults = KeyValueFaults()
        self._bucket: TokenBucket | None = None
        self._lost_answers_left = 0
        self._lost_requests_left = 0

    @property
    def faults(self) -> KeyValueFaults:
        """Return the faults in force, as they were set."""
        return self._faults

    def set_faults(self, faults: KeyValueFaults, now: float) -> None:
        """Replace the faults in force; counters and the rate limit start anew."""
        self._faults = faults
        self._lost_answers_left = faults.lost_answers
        self._lost_requests_left = faults.lost_requests
        self._bucket = None
        if faults.rate_limit_per_second is not None:
            self._bucket = TokenBucket(faults.rate_limit_per_second, faults.rate_limit_burst, now)

    def admit(self, now: float) -> None:
        """Accept or refuse one operation on its arrival.

        Raises:
            KeyValueUnavailableError: The service is in an outage.
            KeyValueRateLimitedError: The rate limit is reached.
        """
        self.arrived += 1
        self.refused += 1
        self.check_outage()
        if self._bucket is not None and not self._bucket.take(now):
            raise KeyValueRateLimitedError("too many requests")
        self.refused -= 1

    def check_outage(self) -> None:
        """Refuse if the service is in an outage.

        Raises:
            KeyValueUnavailableError: The service is in an outage.
        """
        if self._faults.outage:
            raise KeyValueUnavailableError("outage")

    def check_watch(self) -> None:
        """Refuse if watches can not be served.

        Raises:
            KeyValueUnavailableError: The service is in an outage, or watches are broken.
        """
        self.check_outage()
        if self._faults.watches_broken:
            raise KeyValueUnavailableError("watch broken")

    def draw_write_fate(self) -> WriteFate:
        """Return what becomes of the next write."""
        fate = self._draw_fate()
        if fate is not WriteFate.ANSWERED:
            self.unanswered += 1
        return fate

    def _draw_fate(self) -> WriteFate:
        if self._lost_requests_left > 0:
            self._lost_requests_left -= 1
            return WriteFate.REQUEST_LOST
        if self._lost_answers_left > 0:
            self._lost_answers_left -= 1
            return WriteFate.ANSWER_LOST
        return self._draw_random_fate()

    def _draw_random_fate(self) -> WriteFate:
        lost_request = self._faults.lost_request_probability
        lost_either = lost_request + self._faults.lost_answer_probability
        if lost_either == 0.0:
            return WriteFate.ANSWERED
        draw = self._generator.random()
        if draw < lost_request:
            return WriteFate.REQUEST_LOST
        if draw < lost_either:
            return WriteFate.ANSWER_LOST
        return WriteFate.ANSWERED
