"""Bounds the memory that a node uses for request bodies and responses of its callers.

Guards against running out of memory when many callers send large bodies or read large responses
slowly. This module counts bytes and decides; its callers refuse requests and drop responses.
"""

from enum import StrEnum

import msgspec

PROCESS_BASELINE_BYTES = 72_000_000
"""Memory of the process without callers' bytes: code, routes, workers, connections, batch jobs."""

HELD_FRACTION_OF_MEMORY = 0.5
"""Fraction of the remaining memory for callers' bytes. The rest is for temporary copies while bytes
are decoded or sent, and for data received from workers."""

MIN_BOUND_BYTES = 8_000_000
"""Lower limit of the bound, so that small processes can serve several requests at once."""

REQUEST_OVERHEAD_BYTES = 32_768
"""Memory of an open request besides its body: headers, tasks, connections."""

BODY_COPIES = 2
"""Copies of a request body in memory: as received, and decoded or being forwarded."""

MAX_HELD_FRACTION_FOR_OVERSIZED = 0.25
"""A request larger than the bound of its kind is accepted only while other requests hold at most
this fraction of the bound, so that oversized requests are served one at a time."""

STALL_TIMEOUT_SECONDS = 20.0
"""A connection without progress for this time is dropped; short partitions are tolerated."""

EXPECTED_SIZE_DECAY = 0.95
"""Decay of the expected size with each smaller response."""

MAX_TRACKED_ROUTES = 256
"""Limit on the tracked routes; the least recently updated route is evicted."""


class HeldKind(StrEnum):
    """Kind of request that holds bytes."""

    RESULTS = "results"
    SUBMISSION = "submission"
    LOOKUP = "lookup"


class ShedReason(StrEnum):
    """Why a request was refused, or its response dropped."""

    NO_ROOM = "no_room"
    NOT_READ = "not_read"
    NOT_SENT = "not_sent"
    TOO_SLOW = "too_slow"


BOUND_FRACTIONS = {HeldKind.RESULTS: 0.5, HeldKind.SUBMISSION: 0.75, HeldKind.LOOKUP: 1.0}
"""Fraction of the bound up to which each kind is accepted. Results are shed first, since they can
be read again at any node; then submissions, which can be retried; lookups last."""

STALL_TIMEOUT_UNDER_PRESSURE_SECONDS = {
    HeldKind.RESULTS: 2.0,
    HeldKind.SUBMISSION: 5.0,
    HeldKind.LOOKUP: 5.0,
}
"""Stall timeouts while other requests are refused for lack of memory. Pauses of a second or two by
packet loss are tolerated."""


class HeldBytesUsage(msgspec.Struct, frozen=True, kw_only=True):
    """Bytes held and their bound."""

    held_bytes: int
    bound_bytes: int | None


class HeldBytes:
    """Counts held bytes by kind; decides which requests to accept and which to drop."""

    def __init__(self, bound_bytes: int | None) -> None:
        """Start with nothing held; ``bound_bytes`` is ``None`` for no bound."""
        self._bound_bytes = bound_bytes
        self._held = dict.fromkeys(HeldKind, 0)

    @property
    def usage(self) -> HeldBytesUsage:
        """Return the bytes held in total, and the bound."""
        return HeldBytesUsage(held_bytes=self._total(), bound_bytes=self._bound_bytes)

    def held(self, kind: HeldKind) -> int:
        """Return the bytes held of one kind."""
        return self._held[kind]

    def try_reserve(self, kind: HeldKind, amount_bytes: int, already_held_bytes: int = 0) -> bool:
        """Reserve bytes if they fit the bound; return whether they did.

        ``already_held_bytes`` is what the same request holds already. For oversized requests, it
        counts as part of the request and not as held by others.
        """
        if not self._fits(kind, amount_bytes, already_held_bytes):
            return False
        self.reserve(kind, amount_bytes)
        return True

    def reserve(self, kind: HeldKind, amount_bytes: int) -> None:
        """Reserve bytes regardless of the bound, as for a response that is ready to be sent."""
        self._held[kind] += amount_bytes

    def release(self, kind: HeldKind, amount_bytes: int) -> None:
        """Release reserved bytes."""
        self._held[kind] -= amount_bytes

    def should_drop(self, kind: HeldKind, stalled_seconds: float, *, leaving: bool) -> bool:
        """Return whether to drop an unread response or an incomplete body that is stalled.

        Args:
            kind: The kind of the request.
            stalled_seconds: Time since the last byte was sent or received.
            leaving: Whether the node is shutting down, so that the shorter timeouts apply.
        """
        is_under_pressure = leaving or self._is_under_pressure()
        timeout_seconds = (
            STALL_TIMEOUT_UNDER_PRESSURE_SECONDS[kind]
            if is_under_pressure
            else STALL_TIMEOUT_SECONDS
        )
        return stalled_seconds >= timeout_seconds

    def _fits(self, kind: HeldKind, amount_bytes: int, already_held_bytes: int) -> bool:
        if self._bound_bytes is None:
            return True
        limit_bytes = BOUND_FRACTIONS[kind] * self._bound_bytes
        if self._total() + amount_bytes <= limit_bytes:
            return True
        others_bytes = self._total() - already_held_bytes
        is_oversized = (
            already_held_bytes + amount_bytes > limit_bytes - self._max_held_for_oversized_bytes()
        )
        return is_oversized and others_bytes <= self._max_held_for_oversized_bytes()

    def _max_held_for_oversized_bytes(self) -> float:
        return MAX_HELD_FRACTION_FOR_OVERSIZED * (self._bound_bytes or 0)

    def _is_under_pressure(self) -> bool:
        """Return whether the kind that is shed first is refused already."""
        if self._bound_bytes is None:
            return False
        return self._total() >= BOUND_FRACTIONS[HeldKind.RESULTS] * self._bound_bytes

    def _total(self) -> int:
        return sum(self._held.values())


class ExpectedResponseSizes:
    """Estimates the response size of each route from recent responses.

    Memory for a response is reserved when its request is accepted, before the size is known.
    """

    def __init__(self) -> None:
        """Create an estimator without observations."""
        self._sizes: dict[str, float] = {}

    def expected_bytes(self, route_name: str) -> int:
        """Return the expected size; 0 for an unknown route."""
        return int(self._sizes.get(route_name, 0.0))

    def observe(self, route_name: str, size_bytes: int) -> None:
        """Record the size of a response."""
        decayed_bytes = self._sizes.pop(route_name, 0.0) * EXPECTED_SIZE_DECAY
        self._sizes[route_name] = max(float(size_bytes), decayed_bytes)
        if len(self._sizes) > MAX_TRACKED_ROUTES:
            del self._sizes[next(iter(self._sizes))]


def held_bytes_bound(memory_bytes: int | None) -> int | None:
    """Return the bound on held bytes for a memory limit; ``None`` for no limit."""
    if memory_bytes is None:
        return None
    bound_bytes = HELD_FRACTION_OF_MEMORY * (memory_bytes - PROCESS_BASELINE_BYTES)
    return max(MIN_BOUND_BYTES, int(bound_bytes))
