"""Keeps requests away from workers that do not respond, and exchanges this with other nodes.

A request that waits unusually long may just be slow, so its worker is asked for a response over a
new connection. While none comes, this node asks again and announces it to others, which would
otherwise each lose requests to find out by themselves.
"""

from collections.abc import Callable

import msgspec

from drumbay.clock import Clock
from drumbay.identifiers import BackendId
from drumbay.observability.logs import log_event
from drumbay.tasks import TaskOwner
from drumbay.workers.directory import WorkerDirectory
from drumbay.workers.interface import WorkerClient
from drumbay.workers.records import Worker
from drumbay.workers.worker_record import WorkerRecord

FIRST_CHECK_SECONDS = 0.05
"""Timeout of the first check, after which other nodes are told."""

CHECK_SECONDS = 0.6
CHECK_INTERVAL_SECONDS = 0.4
"""Timeout of later checks, and the pause after each one."""

MIN_SECONDS_BETWEEN_SUSPICIONS = 1.0
"""After a worker has responded to a check; bounds the checks of a slow service."""

MAX_CHECKS = 30
"""A worker that never responds is left to discovery, which removes it."""


class WorkerUnresponsive(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """A worker has sent nothing to a node for some time, nor responds to its checks.

    ``started_at_ms`` identifies its incarnation; 0 if unknown.
    """

    worker_id: BackendId
    silent_seconds: float
    started_at_ms: int = 0


class WorkerResponsive(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """A worker has responded to the node that had announced that it does not."""

    worker_id: BackendId
    started_at_ms: int = 0


ResponsivenessNotice = WorkerUnresponsive | WorkerResponsive


class UnresponsiveWorkers:
    """Records which workers respond to this node's requests, and what other nodes announce."""

    def __init__(
        self,
        clock: Clock,
        directory: WorkerDirectory,
        client: WorkerClient,
        task_owner: TaskOwner,
        broadcast: Callable[[ResponsivenessNotice], None] = lambda _: None,
    ) -> None:
        """Keep the records of a directory up to date.

        Args:
            clock: Time.
            directory: The workers.
            client: Asks them for responses.
            task_owner: Runs the checks.
            broadcast: Tells other nodes.
        """
        self._clock = clock
        self._directory = directory
        self._client = client
        self._task_owner = task_owner
        self._broadcast = broadcast

    def record_response(self, worker: Worker) -> None:
        """Record that a worker has sent a response, whatever it says."""
        record = self._directory.get(worker.worker_id, worker.started_at_ms)
        if record is not None:
            record.responsiveness.record_response(self._clock.monotonic())

    def record_unanswered(self, worker: Worker, request_id: str, silent_since: float) -> None:
        """Record that a worker has sent nothing since a monotonic time while a request waits."""
        record = self._directory.get(worker.worker_id, worker.started_at_ms)
        now = self._clock.monotonic()
        if record is None or self._was_checked_recently(record, now):
            return
        if not record.responsiveness.record_silence(silent_since, now):
            return
        log_event(
            "worker_unresponsive",
            worker=worker.worker_id,
            request=request_id,
            silent_seconds=round(now - silent_since, 3),
            own_requests=record.in_flight,
        )
        self._task_owner.spawn(self._run_checks(record), f"response-check-{worker.worker_id}")

    @staticmethod
    def _was_checked_recently(record: WorkerRecord, now: float) -> bool:
        return now - record.responsiveness.checked_at < MIN_SECONDS_BETWEEN_SUSPICIONS

    async def _run_checks(self, record: WorkerRecord) -> None:
        """Ask a worker for a response until it gives one, is gone, or has been asked often."""
        worker = record.worker
        for number in range(MAX_CHECKS):
            timeout_seconds = CHECK_SECONDS if number else FIRST_CHECK_SECONDS
            responds = await self._client.responds(worker, timeout_seconds)
            if self._directory.get(worker.worker_id, worker.started_at_ms) is not record:
                return
            if responds or record.responsiveness.heard_at > record.responsiveness.silent_since:
                self._record_end(record, was_announced=number > 0)
                return
            self._announce(record)
            if number:
                await self._clock.sleep(CHECK_INTERVAL_SECONDS)

    def _announce(self, record: WorkerRecord) -> None:
        now = self._clock.monotonic()
        silent_since = record.responsiveness.silent_since
        record.responsiveness.record_failed_check(silent_since, now)
        self._broadcast(
            WorkerUnresponsive(
                worker_id=record.worker.worker_id,
                silent_seconds=round(now - silent_since, 3),
                started_at_ms=record.worker.started_at_ms,
            )
        )

    def _record_end(self, record: WorkerRecord, *, was_announced: bool) -> None:
        now = self._clock.monotonic()
        worker = record.worker
        log_event(
            "worker_responds_again",
            worker=worker.worker_id,
            silent_seconds=round(now - record.responsiveness.silent_since, 3),
            was_announced=was_announced,
        )
        record.responsiveness.record_response(now)
        record.responsiveness.checked_at = now
        if was_announced:
            self._broadcast(
                WorkerResponsive(worker_id=worker.worker_id, started_at_ms=worker.started_at_ms)
            )

    def handle_notice(self, notice: ResponsivenessNotice) -> None:
        """Apply the announcement of another node."""
        record = self._directory.get(notice.worker_id, notice.started_at_ms or None)
        if record is None:
            return
        now = self._clock.monotonic()
        if isinstance(notice, WorkerResponsive):
            record.responsiveness.record_response_elsewhere()
        elif record.responsiveness.record_failed_check(now - notice.silent_seconds, now):
            log_event(
                "worker_announced_unresponsive",
                worker=notice.worker_id,
                silent_seconds=notice.silent_seconds,
            )
