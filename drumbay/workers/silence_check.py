"""Distinguishes a failed worker from stalled connections to a running one.

Streams stop in both cases. A status request over a new connection shows which one it is: if the
worker responds, its existing connections have stalled.
"""

from collections.abc import Callable

from drumbay.clock import Clock
from drumbay.identifiers import BackendId
from drumbay.observability.logs import log_event
from drumbay.tasks import TaskOwner
from drumbay.workers.directory import WorkerDirectory
from drumbay.workers.interface import WorkerClient
from drumbay.workers.records import Worker, WorkerError, WorkerIncarnation
from drumbay.workers.worker_record import WorkerRecord

CHECK_SECONDS = 0.6
"""The worker is paused during the check; equals the client's timeout of status requests."""

REPEATED_STALL_SECONDS = 5.0
"""A worker that stalls again within this time after a check, without any event in between, counts
as failed."""


MIN_SILENT_RUNS = 3
"""Stalled connections are assumed from this many silent runs. Fewer may have been preempted on a
busy worker."""


class SilenceCheck:
    """Sends status requests to workers with silent streams, one at a time per worker."""

    def __init__(
        self,
        clock: Clock,
        directory: WorkerDirectory,
        client: WorkerClient,
        task_owner: TaskOwner,
        on_stalled_connections: Callable[[], None],
    ) -> None:
        """Create a check.

        Args:
            clock: Clock.
            directory: Directory in which workers are paused.
            client: Client for status requests.
            task_owner: Runs the checks.
            on_stalled_connections: Called when all connections to a running worker have stalled.
        """
        self._clock = clock
        self._directory = directory
        self._client = client
        self._task_owner = task_owner
        self._on_stalled_connections = on_stalled_connections
        self._silent_runs: dict[BackendId, int] = {}
        self._responded_at: dict[WorkerIncarnation, float] = {}

    def report_silent_run(self, worker_id: BackendId) -> None:
        """Report a run without events on a worker whose other runs are silent too.

        The worker is paused until the check is done. If it is already paused, or has sent nothing
        since a recent successful check, a failure is recorded instead.
        """
        if worker_id in self._silent_runs:
            self._silent_runs[worker_id] += 1
            return
        now = self._clock.monotonic()
        record = self._directory.get(worker_id)
        if record is None:
            return
        if not record.is_available(now) or self._has_stalled_again(record, now):
            self._directory.observe_failure(worker_id, now)
            return
        self._silent_runs[worker_id] = 1
        self._directory.pause(worker_id, now, CHECK_SECONDS)
        self._task_owner.spawn(self._run_check(record.worker), f"silence-check-{worker_id}")

    def _has_stalled_again(self, record: WorkerRecord, now: float) -> bool:
        responded_at = self._responded_at.pop(record.worker.incarnation, None)
        if responded_at is None or now - responded_at > REPEATED_STALL_SECONDS:
            return False
        return not record.event_intervals.is_active_since(responded_at)

    async def _run_check(self, worker: Worker) -> None:
        worker_id = worker.worker_id
        has_stalled_connections = False
        try:
            has_stalled_connections = await self._has_stalled_connections(worker)
        except WorkerError as error:
            log_event("silent_worker_gone", level="WARNING", worker=worker_id, detail=str(error))
        finally:
            silent_runs = self._silent_runs.pop(worker_id)
        now = self._clock.monotonic()
        if has_stalled_connections:
            self._record_response(worker.incarnation, now)
            self._directory.end_pause(worker_id, now)
            self._on_stalled_connections()
            return
        for _ in range(silent_runs):
            self._directory.observe_failure(worker_id, now, worker.started_at_ms)

    async def _has_stalled_connections(self, worker: Worker) -> bool:
        """Return whether the worker responds over a new connection and should have sent events.

        Raises:
            WorkerError: The worker does not respond.
        """
        asked_at = self._clock.monotonic()
        status = await self._client.status(worker, fresh_connection=True)
        self._directory.apply_status(
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
            # After a restart the previous runs have ended rather than stalled.
            return False
        # A worker that is loading weights sends no events on healthy connections.
        return silent_runs >= MIN_SILENT_RUNS and not status.busy

    def _record_response(self, responded: WorkerIncarnation, now: float) -> None:
        recent = {
            incarnation: at
            for incarnation, at in self._responded_at.items()
            if now - at < REPEATED_STALL_SECONDS
        }
        self._responded_at = recent | {responded: now}
