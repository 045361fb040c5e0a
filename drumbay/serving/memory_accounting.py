"""Accounting of the memory that a node uses for client requests and responses."""

from functools import partial

from drumbay.limits.held_bytes import (
    BODY_COPIES,
    REQUEST_OVERHEAD_BYTES,
    ExpectedResponseSizes,
    HeldBytes,
    HeldKind,
    ShedReason,
)
from drumbay.observability.logs import log_event
from drumbay.observability.serving_metrics import ServingMetrics


class MemoryAccounting:
    """The memory used by one node for its clients."""

    def __init__(self, limit_bytes: int | None, metrics: ServingMetrics) -> None:
        """Limit the total to ``limit_bytes``; with ``None`` it is only counted."""
        self.bytes = HeldBytes(limit_bytes)
        self.response_sizes = ExpectedResponseSizes()
        self.metrics = metrics
        for kind in HeldKind:
            metrics.track_held_bytes(kind, partial(self.bytes.held, kind))

    def open(
        self, kind: HeldKind, request_id: str, route_name: str | None = None
    ) -> "MemoryReservation":
        """Create an empty reservation; ``route_name`` is used to estimate the response size."""
        return MemoryReservation(self, kind, request_id, route_name)


class MemoryReservation:
    """The memory reserved for one request and its response."""

    def __init__(
        self, memory: MemoryAccounting, kind: HeldKind, request_id: str, route_name: str | None
    ) -> None:
        """Create an empty reservation."""
        self._memory = memory
        self._kind = kind
        self._request_id = request_id
        self._route_name = route_name
        self._reserved_bytes = 0

    def try_reserve_request(self, body_bytes: int) -> bool:
        """Reserve memory for a request and its expected response; return whether it fits."""
        expected_bytes = 0
        if self._route_name is not None:
            expected_bytes = self._memory.response_sizes.expected_bytes(self._route_name)
        return self._try_reserve(REQUEST_OVERHEAD_BYTES + BODY_COPIES * body_bytes + expected_bytes)

    def try_reserve_body(self, body_bytes: int) -> bool:
        """Reserve memory for a part of a body of unknown length."""
        return self._try_reserve(BODY_COPIES * body_bytes)

    def try_reserve_response(self, response_bytes: int) -> bool:
        """Reserve memory for a response that the client can request again."""
        return self._try_reserve(response_bytes)

    def replace_with_response(self, response_bytes: int) -> None:
        """Replace the reservation by that of the response, even beyond the limit."""
        if self._route_name is not None and response_bytes:
            # Failures without a body say nothing about the size of responses.
            self._memory.response_sizes.observe(self._route_name, response_bytes)
        self.release()
        self._reserved_bytes = REQUEST_OVERHEAD_BYTES + response_bytes
        self._memory.bytes.reserve(self._kind, self._reserved_bytes)

    def should_drop_reader(self, unread_seconds: float, *, leaving: bool) -> bool:
        """Return whether to drop a response that the client has not read for some time."""
        if not self._memory.bytes.should_drop(self._kind, unread_seconds, leaving=leaving):
            return False
        self._record_shed(ShedReason.NOT_READ, self._reserved_bytes, unread_seconds)
        return True

    def should_reject_body(self, stalled_seconds: float) -> bool:
        """Return whether to reject a request whose body has stalled for some time."""
        if not self._memory.bytes.should_drop(self._kind, stalled_seconds, leaving=False):
            return False
        self._record_shed(ShedReason.NOT_SENT, self._reserved_bytes, stalled_seconds)
        return True

    def record_slow_body(self, seconds: float) -> None:
        """Record that a request is refused, as its body arrives too slowly."""
        self._record_shed(ShedReason.TOO_SLOW, self._reserved_bytes, seconds)

    def release(self) -> None:
        """Release the whole reservation."""
        self._memory.bytes.release(self._kind, self._reserved_bytes)
        self._reserved_bytes = 0

    def _try_reserve(self, amount_bytes: int) -> bool:
        if not self._memory.bytes.try_reserve(self._kind, amount_bytes, self._reserved_bytes):
            self._record_shed(ShedReason.NO_ROOM, amount_bytes, 0.0)
            return False
        self._reserved_bytes += amount_bytes
        return True

    def _record_shed(self, reason: ShedReason, amount_bytes: int, stalled_seconds: float) -> None:
        memory_usage = self._memory.bytes.usage
        self._memory.metrics.count_shed(self._kind, reason)
        log_event(
            "request_shed",
            level="WARNING",
            request=self._request_id,
            kind=self._kind,
            reason=reason,
            amount_bytes=amount_bytes,
            still_seconds=stalled_seconds,
            held_bytes=memory_usage.held_bytes,
            bound_bytes=memory_usage.bound_bytes,
        )
