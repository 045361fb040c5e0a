"""Admission decisions of one node for one service.

While the service is overloaded, a request that can still be served in time is queued. A request
whose predicted wait is too long is rejected immediately, with a retry delay.
"""

import hashlib
import math
from collections import deque

from drumbay.admission.limit import ConcurrencyLimit
from drumbay.admission.queue import AdmissionQueue
from drumbay.admission.records import (
    AdmissionRequest,
    Admitted,
    Queued,
    Rejected,
    RejectionReason,
    ServiceCapacity,
)

MAX_WAIT_FRACTION = 0.5
"""Longest wait, as a fraction of the time from arrival to deadline; the rest is for serving the
request or retrying it at another node."""

MAX_WAIT_FRACTION_UNRESPONSIVE = 0.25
"""The same for a service that has not responded recently."""

RESPONSIVE_WINDOW_SECONDS = 5.0
"""A service that responded within this time counts as responsive: its refusals mean that it is
overloaded, not down."""

RATE_WINDOW_SECONDS = 1.0
"""Window of the measured service rate. It is measured only once the queue has been non-empty for as
long: without a queue, the completion rate equals the arrival rate."""

MIN_RETRY_AFTER_SECONDS = 0.05
"""Lower bound of the retry delay."""

MAX_RETRY_AFTER_FRACTION = 1 / 3
"""Upper bound of the retry delay, as a fraction of the time until the deadline."""

RETRY_JITTER = 0.5
"""Retry delays are spread by up to this fraction, to avoid simultaneous retries."""


class ServiceAdmission:
    """Tracks the in-flight and queued requests of one service at one node."""

    def __init__(self) -> None:
        """Start without requests."""
        self._limit = ConcurrencyLimit()
        self._queue = AdmissionQueue()
        self._in_flight = 0
        self._completion_times: deque[float] = deque()
        self._last_response_at = -math.inf
        self._queued_since: float | None = None

    @property
    def needs_capacity(self) -> bool:
        """Return whether admission decisions need the current capacity."""
        return self._limit.is_active or len(self._queue) > 0

    @property
    def queue_length(self) -> int:
        """Return the number of queued requests."""
        return len(self._queue)

    @property
    def in_flight(self) -> int:
        """Return the number of requests in flight."""
        return self._in_flight

    def try_admit(
        self, request: AdmissionRequest, now: float, capacity: ServiceCapacity | None
    ) -> Admitted | Queued | Rejected:
        """Decide on a new request; ``capacity`` is required if :attr:`needs_capacity`."""
        if not len(self._queue):
            self._limit.record_idle(now)
        if capacity is None or not self.needs_capacity or self._can_admit_now(capacity, now):
            self._in_flight += 1
            return Admitted(request=request)
        return self._reject_or_queue(request, now, capacity)

    def requeue(
        self, request: AdmissionRequest, now: float, capacity: ServiceCapacity
    ) -> Queued | Rejected:
        """Queue or reject a request in flight that every worker refused."""
        self._limit.record_refusal(self._in_flight, now)
        self._in_flight -= 1
        return self._reject_or_queue(request, now, capacity)

    def complete(self, latency_seconds: float, now: float) -> None:
        """Record the end of a request to which a worker responded."""
        self._in_flight -= 1
        self._limit.record_response(latency_seconds)
        self._completion_times.append(now)
        self._last_response_at = now
        self._drop_old_completions(now)

    def release(self) -> None:
        """Record the end of a request without a response, or whose caller disconnected."""
        self._in_flight -= 1

    def cancel(self, request: AdmissionRequest, now: float) -> None:
        """Remove a queued request whose caller disconnected."""
        if self._queue.remove(request):
            self._update_queued_since(now)

    def dispatch(self, now: float, capacity: ServiceCapacity) -> list[Admitted | Rejected]:
        """Admit and reject queued requests; return the decisions."""
        decisions: list[Admitted | Rejected] = []
        while len(self._queue) and self._has_capacity(capacity, now):
            request = self._queue.pop(now)
            if capacity.lacks_workers_for(request) or now > self._wait_deadline(request, now):
                decisions.append(self._rejection(request, now, capacity))
                continue
            self._in_flight += 1
            decisions.append(Admitted(request=request))
        for request in self._queue.requests():
            if capacity.lacks_workers_for(request) or self._exceeds_wait_limit(
                request, now, capacity
            ):
                self._queue.remove(request)
                decisions.append(self._rejection(request, now, capacity))
        self._update_queued_since(now)
        return decisions

    def _can_admit_now(self, capacity: ServiceCapacity, now: float) -> bool:
        """Return whether a new request may be sent without queueing."""
        return not len(self._queue) and self._has_capacity(capacity, now)

    def _has_capacity(self, capacity: ServiceCapacity, now: float) -> bool:
        if not self._limit.is_active:
            return True
        if now < self._limit.pause_ends_at(capacity, now):
            return False
        return self._in_flight < self._limit.current(capacity)

    def _reject_or_queue(
        self, request: AdmissionRequest, now: float, capacity: ServiceCapacity
    ) -> Queued | Rejected:
        if capacity.lacks_workers_for(request) or self._exceeds_wait_limit(request, now, capacity):
            return self._rejection(request, now, capacity)
        self._queue.push(request)
        self._update_queued_since(now)
        return Queued(request=request)

    def _exceeds_wait_limit(
        self, request: AdmissionRequest, now: float, capacity: ServiceCapacity
    ) -> bool:
        return now + self._predicted_wait_seconds(request, now, capacity) > self._wait_deadline(
            request, now
        )

    def _wait_deadline(self, request: AdmissionRequest, now: float) -> float:
        """Return the time until which a request may be queued."""
        responsive_since = min(request.arrived_at, now - RESPONSIVE_WINDOW_SECONDS)
        is_responsive = self._last_response_at >= responsive_since
        wait_fraction = MAX_WAIT_FRACTION if is_responsive else MAX_WAIT_FRACTION_UNRESPONSIVE
        return request.arrived_at + wait_fraction * (request.deadline - request.arrived_at)

    def _rejection(
        self, request: AdmissionRequest, now: float, capacity: ServiceCapacity
    ) -> Rejected:
        predicted = self._predicted_wait_seconds(request, now, capacity)
        return Rejected(
            request=request,
            reason=self._rejection_reason(request, now, capacity),
            predicted_wait_seconds=predicted,
            retry_after_seconds=retry_after_seconds(
                request.request_id, predicted, request.deadline - now
            ),
            queue_length=len(self._queue),
            limit=self._limit.current(capacity),
        )

    def _rejection_reason(
        self, request: AdmissionRequest, now: float, capacity: ServiceCapacity
    ) -> RejectionReason:
        if capacity.lacks_workers_for(request):
            return RejectionReason.NO_WORKER_IN_SERVICE
        if now > self._wait_deadline(request, now):
            return RejectionReason.WAITED_TOO_LONG
        return RejectionReason.QUEUE_TOO_LONG

    def _predicted_wait_seconds(
        self, request: AdmissionRequest, now: float, capacity: ServiceCapacity
    ) -> float:
        """Estimate how long a request will be queued."""
        pause_seconds = max(0.0, self._limit.pause_ends_at(capacity, now) - now)
        rate = self._service_rate(now, capacity)
        if rate is None:
            return pause_seconds
        return max(pause_seconds, self._queue.count_ahead(request, now) / rate)

    def _service_rate(self, now: float, capacity: ServiceCapacity) -> float | None:
        since = self._queued_since
        if since is not None and now - since >= RATE_WINDOW_SECONDS:
            self._drop_old_completions(now)
            return max(1, len(self._completion_times)) / RATE_WINDOW_SECONDS
        latency_seconds = self._limit.recent_latency_seconds
        if not latency_seconds:
            return None
        # Little's law. Right after a decrease, more requests than the limit may be in flight.
        return max(self._limit.current(capacity), self._in_flight) / latency_seconds

    def _drop_old_completions(self, now: float) -> None:
        while self._completion_times and now - self._completion_times[0] > RATE_WINDOW_SECONDS:
            self._completion_times.popleft()

    def _update_queued_since(self, now: float) -> None:
        if not len(self._queue):
            self._queued_since = None
        elif self._queued_since is None:
            self._queued_since = now


def retry_after_seconds(
    request_id: str, expected_wait_seconds: float, remaining_seconds: float
) -> float:
    """Return the delay after which a rejected caller should retry.

    The delay follows the expected wait, bounded by the caller's remaining time. Its jitter is
    derived from the request id, so that the same id always gets the same delay.
    """
    digest = hashlib.blake2s(request_id.encode(), digest_size=4).digest()
    jitter = 1.0 + RETRY_JITTER * int.from_bytes(digest) / 2**32
    delay_seconds = jitter * max(expected_wait_seconds, MIN_RETRY_AFTER_SECONDS)
    max_delay_seconds = MAX_RETRY_AFTER_FRACTION * max(0.0, remaining_seconds)
    if delay_seconds > max_delay_seconds:
        delay_seconds = max_delay_seconds * jitter / (1.0 + RETRY_JITTER)
    return round(delay_seconds, 3)
