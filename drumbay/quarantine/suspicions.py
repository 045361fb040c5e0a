"""Recent runs whose workers may have crashed: they had no answer, or nothing since. No I/O."""

from collections.abc import Callable, Iterable

import msgspec

from drumbay.quarantine.fingerprint import Fingerprint
from drumbay.quarantine.records import WorkerCrash, WorkerKind
from drumbay.workers.records import Worker, WorkerIncarnation

SUSPICION_TIMEOUT_SECONDS = 30.0
"""A worker replaced within this time after a run without a response counts as crashed by it."""

MAX_SUSPICIONS = 1_024
MAX_RUNS_PER_SUSPICION = 8
"""Bounds on the suspected requests and on the runs of each; the oldest are dropped first."""


class SuspectRun(msgspec.Struct, kw_only=True, eq=False):
    """A run whose worker may have crashed. Times are monotonic seconds.

    Attributes:
        fingerprint: The request.
        request_id: The attempt of the client.
        worker: Where it ran.
        began_at: When the run began.
        failed_at: When it ended without a response, or its worker was found gone after one.
        awaits_check: Whether its worker is about to be checked for the first time.
        on_crash: Called once it is certain that its worker has crashed.
        answered_at: When its worker answered it; ``None`` if it did not.
    """

    fingerprint: Fingerprint
    request_id: str
    worker: Worker
    began_at: float
    failed_at: float
    awaits_check: bool = True
    on_crash: Callable[[], None] | None = None
    answered_at: float | None = None

    def notify_of_crash(self) -> None:
        """Report, once, that the worker has certainly crashed."""
        if self.on_crash is not None:
            self.on_crash()
            self.on_crash = None

    def crash(self, now: float, *, is_confirmed: bool) -> WorkerCrash:
        """Return the crash of its worker, learned of now."""
        return WorkerCrash(
            worker_id=self.worker.worker_id,
            kind=WorkerKind(service=self.worker.service, release=self.worker.release),
            began_at=self.began_at,
            ended_at=self.failed_at,
            started_at_ms=self.worker.started_at_ms,
            learned_at=now,
            is_confirmed=is_confirmed,
        )


class Suspicions:
    """Suspect runs by request; bounded."""

    def __init__(self) -> None:
        """Suspect nothing."""
        self._runs: dict[Fingerprint, list[SuspectRun]] = {}

    def __len__(self) -> int:
        """Return the number of suspected requests."""
        return len(self._runs)

    def __contains__(self, fingerprint: object) -> bool:
        """Return whether a request is suspected."""
        return fingerprint in self._runs

    def add(self, run: SuspectRun) -> None:
        """Add a run."""
        self._drop_old(run.failed_at)
        if run.fingerprint not in self._runs and len(self._runs) >= MAX_SUSPICIONS:
            self.drop_request(next(iter(self._runs)))
        kept = self._runs.pop(run.fingerprint, [])
        self._runs[run.fingerprint] = [*kept, run][-MAX_RUNS_PER_SUSPICION:]

    def _drop_old(self, now: float) -> None:
        """Drop requests whose last suspect run is too old; they are ordered by its time."""
        for fingerprint, runs in list(self._runs.items()):
            if now - runs[-1].failed_at <= SUSPICION_TIMEOUT_SECONDS:
                return
            self.drop_request(fingerprint)

    def checks_of(self, fingerprint: Fingerprint, since: float = float("-inf")) -> int:
        """Return how many runs of a request have workers that are being checked.

        Only those count that ended at a monotonic time or later.
        """
        runs = self._runs.get(fingerprint, ())
        return sum(run.awaits_check and run.failed_at >= since for run in runs)

    def of_request(self, fingerprint: Fingerprint, now: float) -> tuple[SuspectRun, ...]:
        """Return the runs of a request that are recent enough."""
        return self._recent(self._runs.get(fingerprint, ()), now)

    def of_worker(self, incarnation: WorkerIncarnation, now: float) -> tuple[SuspectRun, ...]:
        """Return the runs on a worker that are recent enough."""
        runs = (run for runs in self._runs.values() for run in runs)
        return self._recent((run for run in runs if run.worker.incarnation == incarnation), now)

    @staticmethod
    def _recent(runs: Iterable[SuspectRun], now: float) -> tuple[SuspectRun, ...]:
        return tuple(run for run in runs if now - run.failed_at <= SUSPICION_TIMEOUT_SECONDS)

    def drop(self, runs: Iterable[SuspectRun]) -> None:
        """Drop runs whose workers have responded, or have certainly crashed."""
        for run in runs:
            kept = [other for other in self._runs.get(run.fingerprint, ()) if other is not run]
            if kept:
                self._runs[run.fingerprint] = kept
            else:
                self._runs.pop(run.fingerprint, None)

    def drop_request(self, fingerprint: Fingerprint) -> None:
        """Drop a request that another node has cleared."""
        self._runs.pop(fingerprint, None)
