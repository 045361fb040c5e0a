"""Reports workers that send nothing for unusually long while an attempt waits for them."""

import asyncio
import math
from collections.abc import Mapping

from drumbay.forwarding.attempts import Attempt
from drumbay.workers.records import WorkerResponse
from drumbay.workers.responsiveness import CONFIRMED_SECONDS
from drumbay.workers.unresponsive_workers import UnresponsiveWorkers

InFlight = Mapping[asyncio.Task[WorkerResponse], Attempt]


RECHECK_SECONDS = 0.1
"""Interval at which a reported worker is looked at again."""


class AnswerWatch:
    """Watches the attempts of one request; each is reported at most once."""

    def __init__(self, unresponsive_workers: UnresponsiveWorkers, request_id: str) -> None:
        """Report to ``unresponsive_workers``; :meth:`set_patience` says after what time."""
        self._unresponsive_workers = unresponsive_workers
        self._request_id = request_id
        self._patience_seconds = math.inf
        self._reported: set[asyncio.Task[WorkerResponse]] = set()
        self._taken: set[asyncio.Task[WorkerResponse]] = set()
        self._checked_at = -math.inf

    def set_patience(self, seconds: float) -> None:
        """Set how long nearly all attempts take at most."""
        self._patience_seconds = seconds

    def next_check_at(self, in_flight: InFlight) -> float:
        """Return the monotonic time of the next check; infinite if none is due."""
        return min(
            (self._due_at(task, attempt) for task, attempt in in_flight.items()), default=math.inf
        )

    def _due_at(self, task: asyncio.Task[WorkerResponse], attempt: Attempt) -> float:
        if self._is_new(task):
            return _silent_since(attempt) + self._patience_seconds
        if task in self._taken:
            return math.inf
        return max(_silent_since(attempt) + CONFIRMED_SECONDS, self._checked_at + RECHECK_SECONDS)

    def check(self, in_flight: InFlight, now: float) -> None:
        """Report the workers of attempts that have waited for too long."""
        self._checked_at = now
        for task, attempt in in_flight.items():
            silent_since = _silent_since(attempt)
            if self._is_new(task) and now >= silent_since + self._patience_seconds:
                self._reported.add(task)
                self._unresponsive_workers.record_unanswered(
                    attempt.record.worker, self._request_id, silent_since
                )

    def take_unresponsive(self, in_flight: InFlight, now: float) -> list[Attempt]:
        """Return the attempts whose workers have failed checks for some time, once each."""
        found = [
            task
            for task, attempt in in_flight.items()
            if task in self._reported
            and task not in self._taken
            and attempt.record.responsiveness.is_confirmed(now)
        ]
        self._taken.update(found)
        return [in_flight[task] for task in found]

    def _is_new(self, task: asyncio.Task[WorkerResponse]) -> bool:
        return task not in self._reported


def _silent_since(attempt: Attempt) -> float:
    """Return when an attempt was sent, or its worker last responded to another request."""
    return max(attempt.sent_at, attempt.record.responsiveness.heard_at)
