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
from drumbay.workers.records import Worker, WorkerError

CHECK_SECONDS = 0.6
"""Meanwhile the worker gets nothing new; the client's own limit of a report is as long."""

REPEATED_SILENCE_SECONDS = 5.0
"""A worker that makes nothing again so soon after it answered a check, with no event in between, is
taken for stuck: its streams are silent for 0.7 to 1.6 s each time."""


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
        self._answered_at: dict[BackendId, float] = {}

    def suspect(self, worker_id: BackendId, *, made_events: bool) -> None:
        """Pause a worker whose streams are silent until it is known why.

        Several streams of a worker fall silent together: they count once. ``made_events`` tells
        that it had made events for them, so that it does not only keep them waiting.
        """
        now = self._clock.monotonic()
        record = self._directory.get(worker_id)
        if record is None or not record.is_available(now):
            return
        answered_at = self._answered_at.pop(worker_id, None)
        is_stuck = (
            answered_at is not None
            and now - answered_at < REPEATED_SILENCE_SECONDS
            and not record.pace.is_heard_since(answered_at)
        )
        if is_stuck:
            self._directory.observe_failure(worker_id, now)
            return
        self._directory.pause(worker_id, now, CHECK_SECONDS)
        check = self._check(record.worker, made_events=made_events)
        self._task_owner.spawn(check, f"silence-check-{worker_id}")

    async def _check(self, worker: Worker, *, made_events: bool) -> None:
        asked_at = self._clock.monotonic()
        try:
            status = await self._client.status(worker, fresh_connection=True)
        except WorkerError as error:
            self._directory.observe_failure(worker.worker_id, self._clock.monotonic())
            log_event(
                "silent_worker_gone",
                level="WARNING",
                worker=worker.worker_id,
                detail=str(error),
            )
            return
        now = self._clock.monotonic()
        self._forget_old_answers(now)
        self._answered_at[worker.worker_id] = now
        self._directory.end_pause(worker.worker_id, now)
        log_event(
            "silent_worker_lives",
            worker=worker.worker_id,
            answer_seconds=round(now - asked_at, 3),
            busy=status.busy,
        )
        if made_events and not status.busy:
            # A worker that loads weights makes no events, over connections that work.
            self._on_silent_connections()

    def _forget_old_answers(self, now: float) -> None:
        kept = {w: at for w, at in self._answered_at.items() if now - at < REPEATED_SILENCE_SECONDS}
        self._answered_at = kept
