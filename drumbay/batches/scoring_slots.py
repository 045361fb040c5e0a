"""Admission of reward requests to scoring services. No I/O.

Scoring services also serve client requests, which take precedence: reward requests use only a share
of the slots, and those of the oldest batch job go first.
"""

import heapq
from collections.abc import Iterable

import msgspec

from drumbay.workers.worker_record import WorkerRecord

MAX_SLOT_SHARE = 0.67
"""Maximum share of the otherwise free slots for the reward requests of one node."""

MIN_SLOTS = 1
"""Keeps reward requests going when client requests fill all slots."""


class Ticket(msgspec.Struct, frozen=True, order=True):
    """A waiting reward request; the smallest ticket goes first.

    ``batch_started_at`` is the monotonic submission time of its batch job.
    """

    batch_started_at: float
    number: int


class ScoringSlots:
    """Queue and in-flight count of the reward requests of one route."""

    def __init__(self) -> None:
        """Start with no requests."""
        self._waiting: list[Ticket] = []
        self._cancelled: set[Ticket] = set()
        self._issued_count = 0
        self._in_use = 0

    def enqueue(self, batch_started_at: float) -> Ticket:
        """Add a waiting request and return its ticket."""
        self._issued_count += 1
        ticket = Ticket(batch_started_at, self._issued_count)
        heapq.heappush(self._waiting, ticket)
        return ticket

    def admit(self, limit: int) -> tuple[Ticket, ...]:
        """Return the requests that may be sent now, with ``limit`` slots in total."""
        admitted: list[Ticket] = []
        while self._waiting and self._in_use < limit:
            ticket = heapq.heappop(self._waiting)
            if ticket in self._cancelled:
                self._cancelled.discard(ticket)
                continue
            self._in_use += 1
            admitted.append(ticket)
        return tuple(admitted)

    def cancel(self, ticket: Ticket) -> None:
        """Remove a waiting request."""
        self._cancelled.add(ticket)

    def release(self) -> None:
        """Free the slot of a finished request."""
        self._in_use -= 1


def slot_limit(records: Iterable[WorkerRecord], now: float) -> int:
    """Return how many reward requests a node may have in flight at these workers."""
    slots = sum(
        max(0, record.worker.slots - record.reported_other_requests(now))
        for record in records
        if record.is_available(now)
    )
    return max(MIN_SLOTS, int(MAX_SLOT_SHARE * slots))
