"""Batch slots of an emulated engine, the queue for them, and the load history."""

import asyncio
import heapq
from collections import deque
from collections.abc import Callable

import msgspec


class Ticket:
    """A request for a batch slot: queued, granted or released."""

    def __init__(self) -> None:
        """Create a queued ticket."""
        self.granted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.in_batch = False
        self.released = False


class BatchSlots:
    """Slots of a bounded batch, granted by priority and then by arrival."""

    def __init__(self, max_batch: int, on_change: Callable[[], None]) -> None:
        """Create an empty batch; ``on_change`` is called when its counts change."""
        self._max_batch = max_batch
        self._on_change = on_change
        self._queue: list[tuple[int, int, Ticket]] = []
        self._arrivals = 0
        self.running = 0
        self.waiting = 0

    @property
    def full(self) -> bool:
        """Whether a new request would have to wait."""
        return self.running >= self._max_batch

    def enqueue(self, priority: int) -> Ticket:
        """Queue a request; a larger priority is granted first."""
        ticket = Ticket()
        self._arrivals += 1
        self.waiting += 1
        heapq.heappush(self._queue, (-priority, self._arrivals, ticket))
        self._grant()
        self._on_change()
        return ticket

    def release(self, ticket: Ticket) -> None:
        """Release a slot, or leave the queue; idempotent."""
        if ticket.released:
            return
        ticket.released = True
        if ticket.in_batch:
            self.running -= 1
        else:
            self.waiting -= 1
            ticket.granted.cancel()
        self._grant()
        self._on_change()

    def _grant(self) -> None:
        while self._queue and self.running < self._max_batch:
            ticket = heapq.heappop(self._queue)[2]
            if ticket.released:
                continue
            self.waiting -= 1
            self.running += 1
            ticket.in_batch = True
            # The future is done already if the waiting task was cancelled; that task releases
            # its ticket itself.
            if not ticket.granted.done():
                ticket.granted.set_result(None)


class LoadSample(msgspec.Struct, frozen=True, kw_only=True):
    """Load of an engine at a point in time."""

    time_seconds: float
    running: int
    waiting: int


class LoadHistory:
    """Recent load of an engine, reported with a lag."""

    def __init__(self, lag_seconds: float) -> None:
        """Create an empty history; reports are ``lag_seconds`` old."""
        self._lag_seconds = lag_seconds
        self._samples: deque[LoadSample] = deque()

    def record(self, sample: LoadSample) -> None:
        """Append a sample and drop those that can no longer be reported."""
        self._samples.append(sample)
        self._discard_before(sample.time_seconds - self._lag_seconds)

    def report(self, now: float) -> LoadSample:
        """Return the load as of ``now`` minus the lag."""
        reported_at = now - self._lag_seconds
        self._discard_before(reported_at)
        if not self._samples or self._samples[0].time_seconds > reported_at:
            return LoadSample(time_seconds=reported_at, running=0, waiting=0)
        return self._samples[0]

    def _discard_before(self, time_seconds: float) -> None:
        while len(self._samples) > 1 and self._samples[1].time_seconds <= time_seconds:
            self._samples.popleft()
