"""Recent runs that workers have answered, until it is known that the workers outlived them.

An answer shows that a run has ended, not that its worker lives on: a request may crash its worker
after it is answered. A worker that sends anything some time after an answer has outlived the run.
No I/O.
"""

from collections import deque
from itertools import takewhile

import msgspec

from drumbay.comm.network_address import NetworkAddress
from drumbay.quarantine.fingerprint import Fingerprint
from drumbay.workers.records import Worker, WorkerIncarnation

OUTLIVED_AFTER_SECONDS = 1.0
"""A worker that sends something this long after an answer has outlived the run."""

ALIVE_AFTER_SECONDS = 0.04
"""A worker that responds this long after it failed a run has not crashed at once."""

MEMORY_SECONDS = 5.0
"""Discovery shows within this time that a worker has ended; after it, a run was outlived."""

MAX_RUNS_PER_WORKER = 64
MAX_WORKERS = 1_024
"""Bounds on what is remembered; the oldest is dropped first."""


class AnsweredRun(msgspec.Struct, frozen=True, kw_only=True):
    """A run that its worker answered. Times are monotonic seconds.

    Attributes:
        fingerprint: The request.
        request_id: The attempt of the client.
        worker: Where it ran.
        began_at: When the run began.
        answered_at: When the whole answer had arrived.
        has_failed: Whether the answer says that the run has failed.
    """

    fingerprint: Fingerprint
    request_id: str
    worker: Worker
    began_at: float
    answered_at: float
    has_failed: bool = False


class AnsweredRuns:
    """Answered runs by worker, the oldest first; bounded."""

    def __init__(self) -> None:
        """Know no runs."""
        self._runs: dict[WorkerIncarnation, deque[AnsweredRun]] = {}
        self._alive_at: dict[WorkerIncarnation, float] = {}
        self._expired_at = float("-inf")

    def add(self, run: AnsweredRun) -> tuple[AnsweredRun, ...]:
        """Add a run; return the earlier ones that its worker has outlived."""
        incarnation = run.worker.incarnation
        outlived = self.take_outlived(incarnation, run.answered_at)
        runs = self._runs.pop(incarnation, None)
        if runs is None:
            runs = deque(maxlen=MAX_RUNS_PER_WORKER)
        if len(self._runs) >= MAX_WORKERS:
            self.take_all(next(iter(self._runs)))
        runs.append(run)
        self._runs[incarnation] = runs
        return outlived

    def take_outlived(
        self, incarnation: WorkerIncarnation, alive_at: float
    ) -> tuple[AnsweredRun, ...]:
        """Remove and return the runs that a worker has outlived which was alive at a time."""
        return self._take_until(incarnation, alive_at - OUTLIVED_AFTER_SECONDS)

    def take_expired(self, now: float) -> tuple[AnsweredRun, ...]:
        """Remove and return the runs whose workers discovery would have removed by now."""
        if now - self._expired_at < OUTLIVED_AFTER_SECONDS:
            return ()
        self._expired_at = now
        return tuple(
            run
            for incarnation in list(self._runs)
            for run in self._take_until(incarnation, now - MEMORY_SECONDS)
        )

    def _take_until(
        self, incarnation: WorkerIncarnation, answered_until: float
    ) -> tuple[AnsweredRun, ...]:
        runs = self._runs.get(incarnation)
        if runs is None:
            return ()
        taken: list[AnsweredRun] = []
        while runs and runs[0].answered_at <= answered_until:
            taken.append(runs.popleft())
        if not runs:
            del self._runs[incarnation]
            self._alive_at.pop(incarnation, None)
        return tuple(taken)

    def record_alive(self, incarnation: WorkerIncarnation, at: float) -> None:
        """Record that a worker has responded to a check that began at a time."""
        if incarnation in self._runs:
            self._alive_at[incarnation] = at

    def was_alive_after(self, run: AnsweredRun) -> bool:
        """Return whether a worker has responded to a check a moment after a run."""
        alive_at = self._alive_at.get(run.worker.incarnation, float("-inf"))
        return alive_at >= run.answered_at + ALIVE_AFTER_SECONDS

    def take_all(self, incarnation: WorkerIncarnation) -> tuple[AnsweredRun, ...]:
        """Remove and return the runs on a worker."""
        self._alive_at.pop(incarnation, None)
        return tuple(self._runs.pop(incarnation, ()))

    def of_worker(self, incarnation: WorkerIncarnation) -> tuple[AnsweredRun, ...]:
        """Return the runs on a worker."""
        return tuple(self._runs.get(incarnation, ()))

    def workers_at(self, address: NetworkAddress) -> tuple[Worker, ...]:
        """Return the workers at an address that may not have outlived their last answers."""
        latest = (runs[-1].worker for runs in self._runs.values())
        return tuple(worker for worker in latest if worker.address == address)

    def of_request(self, fingerprint: Fingerprint, since: float) -> tuple[AnsweredRun, ...]:
        """Return the runs of a request that were answered after a time."""
        return tuple(
            run
            for runs in self._runs.values()
            for run in takewhile(lambda run: run.answered_at > since, reversed(runs))
            if run.fingerprint == fingerprint
        )
