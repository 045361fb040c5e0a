"""Pure decisions about which reward requests may be under way at a scoring service.

The services that score texts answer clients' requests too, which go first: reward requests
take a share of the places only, the batch job that began first before the others.
"""

import heapq
from collections.abc import Iterable

import msgspec

from drumbay.workers.worker_record import WorkerRecord

SHARE_OF_PLACES = 0.67
"""Reward requests of one node take at most this share of the places that others leave."""

MINIMUM_PLACES = 1
"""Reward requests go on, one by one, when clients fill every place."""


class Ticket(msgspec.Struct, frozen=True, order=True):
    """A reward request that waits; the smallest goes first.

    ``batch_started_at`` is the monotonic time at which its batch job began at this node.
    """

    batch_started_at: float
    number: int


class ScoringPlaces:
    """The reward requests of one route: those that wait, and how many are under way."""

    def __init__(self) -> None:
        """Start with none."""
        self._waiting: list[Ticket] = []
        self._left: set[Ticket] = set()
        self._issued = 0
        self._taken = 0

    def wait(self, batch_started_at: float) -> Ticket:
        """Join those that wait."""
        self._issued += 1
        ticket = Ticket(batch_started_at, self._issued)
        heapq.heappush(self._waiting, ticket)
        return ticket

    def admit(self, limit: int) -> tuple[Ticket, ...]:
        """Return those that may go now, with ``limit`` places for all."""
        admitted: list[Ticket] = []
        while self._waiting and self._taken < limit:
            ticket = heapq.heappop(self._waiting)
            if ticket in self._left:
                self._left.discard(ticket)
                continue
            self._taken += 1
            admitted.append(ticket)
        return tuple(admitted)

    def leave(self, ticket: Ticket) -> None:
        """Give up waiting."""
        self._left.add(ticket)

    def release(self) -> None:
        """Return the place of a request that has ended."""
        self._taken -= 1


def place_limit(records: Iterable[WorkerRecord], now: float) -> int:
    """Return how many reward requests one node may have under way at these workers."""
    places = sum(
        max(0, record.worker.slots - record.others_busy(now))
        for record in records
        if record.is_available(now)
    )
    return max(MINIMUM_PLACES, int(SHARE_OF_PLACES * places))
