"""Tells a worker that has gone from connections to it that have fallen silent.

Streams say nothing more in both cases. A question on a new connection tells them apart: a worker
that answers lives, and what was open to it has fallen silent.
"""

from collections.abc import Callable

from drumbay.clock import Clock
from drumbay.identifiers import BackendId
from drumbay.observability.logs import log_event
from drumbay.tasks import TaskOwner
from drumbay.workers.directory import WorkerDirectory
from drumbay.workers.interface import WorkerClient
from drumbay.workers.records import Worker, WorkerError, WorkerStart
from drumbay.workers.worker_record import WorkerRecord

CHECK_SECONDS = 0.6
"""Meanwhile the worker gets nothing new; the client's own limit of a report is as long."""

REPEATED_SILENCE_SECONDS = 5.0
"""A worker that makes nothing again so soon after it answered a check, with no event in between, is
taken for stuck: its streams are silent for 0.7 to 1.6 s each time."""


FEWEST_SILENT_RUNS = 3
"""A worker that answers while so many runs that had made events are all silent has lost its
connections. Fewer may have been preempted together on a crowded worker, which is better left for a
while: sending items there at once cost 0.10 of the worth of days of high load (five pairs)."""


class SilenceCheck:
    """Asks workers whose streams have fallen silent, once at a time each."""

    def __init__(
        self,
        clock: Clock,
        directory: WorkerDirectory,
        client: WorkerClient,
        task_owner: TaskOwner,
        on_silent_connections: Callable[[], None],
    ) -> None:
        """Create a check that has asked nobody.

        Args:
            clock: Time.
            directory: Where workers are paused.
            client: Calls to workers.
            task_owner: Runs the questions.
            on_silent_connections: Called when a worker answers whose streams all fell silent.
        """
        self._clock = clock
        self._directory = directory
        self._client = client
        self._task_owner = task_owner
        self._on_silent_connections = on_silent_connections
        self._silent_runs: dict[BackendId, int] = {}
        self._answered_at: dict[WorkerStart, float] = {}

    def suspect(self, worker_id: BackendId) -> None:
        """Note a run that made events and is silent, as all others on its worker are.

        The worker gets nothing new until it is known why. A worker that is paused already, or that
        was found alive lately and made nothing since, has failed once more.
        """
        if worker_id in self._silent_runs:
            self._silent_runs[worker_id] += 1
            return
        now = self._clock.monotonic()
        record = self._directory.get(worker_id)
        if record is None:
            return
        if not record.is_available(now) or self._is_stuck(record, now):
            self._directory.observe_failure(worker_id, now)
            return
        self._silent_runs[worker_id] = 1
        self._directory.pause(worker_id, now, CHECK_SECONDS)
        self._task_owner.spawn(self._check(record.worker), f"silence-check-{worker_id}")

    def _is_stuck(self, record: WorkerRecord, now: float) -> bool:
        answered_at = self._answered_at.pop(record.worker.start, None)
        if answered_at is None or now - answered_at > REPEATED_SILENCE_SECONDS:
            return False
        return not record.pace.is_heard_since(answered_at)

    async def _check(self, worker: Worker) -> None:
        worker_id = worker.worker_id
        has_lost_connections = False
        try:
            has_lost_connections = await self._has_lost_connections(worker)
        except WorkerError as error:
            log_event("silent_worker_gone", level="WARNING", worker=worker_id, detail=str(error))
        finally:
            silent_runs = self._silent_runs.pop(worker_id)
        now = self._clock.monotonic()
        if has_lost_connections:
            self._note_answer(worker.start, now)
            self._directory.end_pause(worker_id, now)
            self._on_silent_connections()
            return
        for _ in range(silent_runs):
            self._directory.observe_failure(worker_id, now, worker.started_at_ms)

    async def _has_lost_connections(self, worker: Worker) -> bool:
        """Return whether a worker answers over a new connection that should have made events.

        Raises:
            WorkerError: It does not answer.
        """
        asked_at = self._clock.monotonic()
        status = await self._client.status(worker, fresh_connection=True)
        self._directory.take_status(
            worker.worker_id, status, self._clock.monotonic(), asked_at=asked_at
        )
        silent_runs = self._silent_runs[worker.worker_id]
        log_event(
            "silent_worker_lives",
            worker=worker.worker_id,
            answer_seconds=round(self._clock.monotonic() - asked_at, 3),
            busy=status.busy,
            silent_runs=silent_runs,
        )
        if self._directory.has_restarted(worker):
            # It has started again: its runs have ended with the start before, not gone silent.
            return False
        # A worker that loads weights makes no events, over connections that work.
        return silent_runs >= FEWEST_SILENT_RUNS and not status.busy

    def _note_answer(self, start: WorkerStart, now: float) -> None:
        kept = {s: at for s, at in self._answered_at.items() if now - at < REPEATED_SILENCE_SECONDS}
        self._answered_at = kept | {start: now}
