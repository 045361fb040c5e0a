"""Warm-up of workers, and the interface that limits starts at them.

A worker is *cold* while it bears only few requests a second, for example after it has started. A
*start* is a send of a request to a worker.
"""

import math
from collections.abc import Mapping
from typing import Protocol

import msgspec

from drumbay.workers.records import Worker


class WarmUp(msgspec.Struct, frozen=True, kw_only=True):
    """Warm-up of a service's workers.

    ``seconds`` is how long a worker stays cold after a start, ``requests_per_second`` the rate it
    bears meanwhile.
    """

    service: str
    seconds: float
    requests_per_second: float


class WarmUpTolerance(msgspec.Struct, frozen=True, kw_only=True):
    """By how much all nodes together may exceed a cold worker's rate in any second."""

    factor: float = 1.0
    extra_requests: float = 0.0

    def limit(self, warm_up: WarmUp) -> float:
        """Return the most requests that a cold worker may get in one second."""
        return warm_up.requests_per_second * self.factor + self.extra_requests


class StartLimiter(Protocol):
    """Counts this node's starts at workers, and tells how many more are allowed now."""

    def remaining_starts(self, worker: Worker, now: float) -> float:
        """Return how many requests may be started now; infinite without a limit."""
        ...

    def next_start_at(self, worker: Worker, now: float) -> float:
        """Return the time from which another request may be started; infinite if never."""
        ...

    def is_cold(self, worker: Worker, now: float) -> bool:
        """Return whether a worker is known to be cold."""
        ...

    def record_start(self, worker: Worker, now: float) -> None:
        """Record that a request is sent to a worker."""
        ...


class UnlimitedStarts:
    """A :class:`StartLimiter` without limits."""

    def remaining_starts(self, worker: Worker, now: float) -> float:
        """Return infinity."""
        del worker, now
        return math.inf

    def next_start_at(self, worker: Worker, now: float) -> float:
        """Return ``now``."""
        del worker
        return now

    def is_cold(self, worker: Worker, now: float) -> bool:
        """Return false."""
        del worker, now
        return False

    def record_start(self, worker: Worker, now: float) -> None:
        """Ignore the start."""


def warm_ups_by_service(warm_ups: tuple[WarmUp, ...]) -> Mapping[str, WarmUp]:
    """Return the services whose workers warm up at a limited rate."""
    return {
        warm_up.service: warm_up
        for warm_up in warm_ups
        if warm_up.seconds > 0 and warm_up.requests_per_second > 0
    }
