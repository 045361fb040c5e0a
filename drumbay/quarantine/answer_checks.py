"""Checks whether workers live on after they have answered.

A worker that ended after its answer may have broken no run: nobody notices until discovery does.
So a worker that answered a suspected request is asked for its report a few times.
"""

from collections.abc import Callable, Sequence

from drumbay.clock import Clock
from drumbay.quarantine.answered_runs import OUTLIVED_AFTER_SECONDS, AnsweredRuns
from drumbay.quarantine.fingerprint import Fingerprint
from drumbay.quarantine.worker_checks import WorkerCondition
from drumbay.tasks import TaskOwner
from drumbay.workers.interface import WorkerClient
from drumbay.workers.records import ProbeResult, Worker, WorkerIncarnation

CHECK_PAUSES_SECONDS = (0.05, 0.3, OUTLIVED_AFTER_SECONDS - 0.3)
"""Pauses before the checks of a worker; the last check is after it has outlived the answer."""

MAX_CHECKED_WORKERS = 64
"""Workers that a node checks at a time; the ends of others are left to discovery."""

_CONDITIONS = {
    ProbeResult.RESPONDS: WorkerCondition.RESPONDS,
    ProbeResult.REPLACED: WorkerCondition.REPLACED,
    ProbeResult.REFUSES: WorkerCondition.REFUSES,
    ProbeResult.SILENT: WorkerCondition.SILENT,
}


class AnswerChecks:
    """Checks workers while it is not known whether they have outlived their answers."""

    def __init__(
        self,
        clock: Clock,
        client: WorkerClient,
        task_owner: TaskOwner,
        answered: AnsweredRuns,
        is_suspected: Callable[[Fingerprint], bool],
        on_condition: Callable[[Worker, WorkerCondition, float], None],
    ) -> None:
        """Check no worker yet.

        Args:
            clock: Time.
            client: Calls the workers.
            task_owner: Runs the checks.
            answered: The runs that the workers may not have outlived.
            is_suspected: Tells whether a request is suspected; a worker that has answered one is
                checked until it has outlived it.
            on_condition: Called with a worker, its condition, and the monotonic time since which
                this holds.
        """
        self._clock = clock
        self._client = client
        self._task_owner = task_owner
        self._answered = answered
        self._is_suspected = is_suspected
        self._on_condition = on_condition
        self._checked: set[WorkerIncarnation] = set()

    def check_gone(self, worker: Worker) -> None:
        """Check a worker that is gone from discovery: it must respond at once."""
        self._task_owner.spawn(self._check(worker, is_gone=True), "worker-gone-check")

    def start(self, worker: Worker) -> None:
        """Check a worker until it has outlived its last answer, unless this is under way."""
        self._start(worker, CHECK_PAUSES_SECONDS)

    def check_once(self, worker: Worker) -> None:
        """Check once whether a worker lives now, unless it is checked anyway."""
        self._start(worker, CHECK_PAUSES_SECONDS[:1])

    def _start(self, worker: Worker, pauses_seconds: Sequence[float]) -> None:
        if worker.incarnation not in self._checked and len(self._checked) < MAX_CHECKED_WORKERS:
            self._checked.add(worker.incarnation)
            self._task_owner.spawn(self._run(worker, pauses_seconds), "worker-answer-check")

    async def _run(self, worker: Worker, pauses_seconds: Sequence[float]) -> None:
        """Check a worker after each pause, and further while it has answered suspected requests."""
        try:
            while pauses_seconds:
                for pause_seconds in pauses_seconds:
                    await self._clock.sleep(pause_seconds)
                    await self._check(worker, is_gone=False)
                pauses_seconds = CHECK_PAUSES_SECONDS if self._has_suspects(worker) else ()
        finally:
            self._checked.discard(worker.incarnation)

    def _has_suspects(self, worker: Worker) -> bool:
        """Return whether a worker has answered suspected requests that it may not have outlived."""
        runs = self._answered.of_worker(worker.incarnation)
        return any(self._is_suspected(run.fingerprint) for run in runs)

    async def _check(self, worker: Worker, *, is_gone: bool) -> None:
        if not self._answered.of_worker(worker.incarnation):
            return
        checked_at = self._clock.monotonic()
        condition = _CONDITIONS[await self._client.probe(worker)]
        if is_gone and condition is WorkerCondition.SILENT:
            condition = WorkerCondition.REPLACED
        self._on_condition(worker, condition, checked_at)
