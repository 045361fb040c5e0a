"""Fault injection and rate limit of the key-value emulator."""

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
    """Active faults; the default is a healthy service.

    Attributes:
        outage: Refuse every operation and break every watch. Leases still expire.
        request_delay_seconds: Time before an operation takes effect.
        answer_delay_seconds: Time between the effect and the response.
        lost_answers: Number of next writes that take effect but get no response.
        lost_requests: Number of next writes that are dropped without effect or response.
        lost_answer_probability: Probability that any other write gets no response.
        lost_request_probability: Probability that any other write is dropped.
        rate_limit_per_second: Operations accepted per second; ``None`` for no limit.
        rate_limit_burst: Burst size of the rate limit.
        watches_broken: Break every watch and refuse new ones; other operations still work.
        watches_stalled: Keep watches open without delivering changes.
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


class EmulatedWriteOutcome(StrEnum):
    """Outcome of a write."""

    ANSWERED = "answered"
    ANSWER_LOST = "answer_lost"
    REQUEST_LOST = "request_lost"


class TokenBucket:
    """Token bucket rate limiter."""

    def __init__(self, rate_per_second: float, burst: int, now: float) -> None:
        """Create a full bucket."""
        self._rate_per_second = rate_per_second
        self._burst = float(burst)
        self._tokens = float(burst)
        self._updated_at = now

    def try_take(self, now: float) -> bool:
        """Take a token; return ``False`` if there is none."""
        refill = (now - self._updated_at) * self._rate_per_second
        self._tokens = min(self._burst, self._tokens + refill)
        self._updated_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class KeyValueFaultInjector:
    """Decides the outcome of each operation from the active faults.

    Attributes:
        arrived: Number of operations received, including watch requests.
        refused: Number of operations refused.
        unanswered: Number of writes whose request or response was lost.
    """

    def __init__(self, generator: random.Random) -> None:
        """Create an injector without faults."""
        self.arrived = 0
        self.refused = 0
        self.unanswered = 0
        self._generator = generator
        self._faults = KeyValueFaults()
        self._bucket: TokenBucket | None = None
        self._remaining_lost_responses = 0
        self._remaining_lost_requests = 0

    @property
    def faults(self) -> KeyValueFaults:
        """Return the active faults, as they were set."""
        return self._faults

    def set_faults(self, faults: KeyValueFaults, now: float) -> None:
        """Replace the active faults; the loss counters and the rate limit are reset."""
        self._faults = faults
        self._remaining_lost_responses = faults.lost_answers
        self._remaining_lost_requests = faults.lost_requests
        self._bucket = None
        if faults.rate_limit_per_second is not None:
            self._bucket = TokenBucket(faults.rate_limit_per_second, faults.rate_limit_burst, now)

    def admit(self, now: float) -> None:
        """Accept or refuse an arriving operation.

        Raises:
            KeyValueUnavailableError: The service is in an outage.
            KeyValueRateLimitedError: The rate limit is exceeded.
        """
        self.arrived += 1
        self.refused += 1
        self.check_outage()
        if self._bucket is not None and not self._bucket.try_take(now):
            raise KeyValueRateLimitedError("too many requests")
        self.refused -= 1

    def check_outage(self) -> None:
        """Raise an error during an outage.

        Raises:
            KeyValueUnavailableError: The service is in an outage.
        """
        if self._faults.outage:
            raise KeyValueUnavailableError("outage")

    def check_watch(self) -> None:
        """Raise an error if watches cannot be served.

        Raises:
            KeyValueUnavailableError: The service is in an outage, or watches are broken.
        """
        self.check_outage()
        if self._faults.watches_broken:
            raise KeyValueUnavailableError("watch broken")

    def draw_write_outcome(self) -> EmulatedWriteOutcome:
        """Draw the outcome of the next write."""
        outcome = self._draw_outcome()
        if outcome is not EmulatedWriteOutcome.ANSWERED:
            self.unanswered += 1
        return outcome

    def _draw_outcome(self) -> EmulatedWriteOutcome:
        if self._remaining_lost_requests > 0:
            self._remaining_lost_requests -= 1
            return EmulatedWriteOutcome.REQUEST_LOST
        if self._remaining_lost_responses > 0:
            self._remaining_lost_responses -= 1
            return EmulatedWriteOutcome.ANSWER_LOST
        return self._draw_random_outcome()

    def _draw_random_outcome(self) -> EmulatedWriteOutcome:
        lost_request = self._faults.lost_request_probability
        lost_either = lost_request + self._faults.lost_answer_probability
        if lost_either == 0.0:
            return EmulatedWriteOutcome.ANSWERED
        sample = self._generator.random()
        if sample < lost_request:
            return EmulatedWriteOutcome.REQUEST_LOST
        if sample < lost_either:
            return EmulatedWriteOutcome.ANSWER_LOST
        return EmulatedWriteOutcome.ANSWERED
