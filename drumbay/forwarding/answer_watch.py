"""Reports workers that have sent nothing since an attempt that waits unusually long."""

import asyncio
import math
from collections.abc import Mapping

from drumbay.forwarding.attempts import Attempt
from drumbay.workers.records import WorkerResponse
from drumbay.workers.unresponsive_workers import UnresponsiveWorkers

InFlight = Mapping[asyncio.Task[WorkerResponse], Attempt]


class AnswerWatch:
    """Watches the attempts of one request; each is reported at most once."""

    def __init__(self, unresponsive_workers: UnresponsiveWorkers, request_id: str) -> None:
        """Report to ``unresponsive_workers``; :meth:`set_patience` says after what time."""
        self._unresponsive_workers = unresponsive_workers
        self._request_id = request_id
        self._patience_seconds = math.inf
        self._reported: set[asyncio.Task[WorkerResponse]] = set()

    def set_patience(self, seconds: float) -> None:
        """Set how long nearly all attempts take at most."""
        self._patience_seconds = seconds

    def next_check_at(self, in_flight: InFlight) -> float:
        """Return the monotonic time of the next report; infinite if none is due."""
        sent_at = [attempt.sent_at for task, attempt in in_flight.items() if self._is_new(task)]
        return min(sent_at, default=math.inf) + self._patience_seconds

    def check(self, in_flight: InFlight, now: float) -> None:
        """Report the workers of attempts that have waited for too long."""
        for task, attempt in in_flight.items():
            if self._is_new(task) and now >= attempt.sent_at + self._patience_seconds:
                self._reported.add(task)
                self._unresponsive_workers.record_unanswered(
                    attempt.record.worker, self._request_id, attempt.sent_at
                )

    def _is_new(self, task: asyncio.Task[WorkerResponse]) -> bool:
        return task not in self._reported
