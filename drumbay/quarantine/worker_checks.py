"""Checks whether the workers of unanswered runs are alive, until it is known.

A new connection to the address of a crashed worker need not be refused: a load balancer or a
supervisor may accept it, or the machine may be gone. So a worker that does not respond is asked
again until it responds or discovery has replaced it.
"""

from collections.abc import Callable
from enum import StrEnum

from drumbay.clock import Clock
from drumbay.tasks import TaskOwner
from drumbay.workers.directory import WorkerDirectory
from drumbay.workers.interface import WorkerClient
from drumbay.workers.records import ProbeResult, Worker, WorkerIncarnation
from drumbay.workers.worker_record import WorkerRecord

CHECK_INTERVAL_SECONDS = 0.3
MAX_CHECK_INTERVAL_SECONDS = 1.2
"""Pauses between two calls of a worker that does not respond; they double."""

DISCOVERY_POLL_SECONDS = 0.3
"""Interval at which it is looked up meanwhile."""

RESPONSE_WAIT_SECONDS = 0.2
"""A worker that may just be slow is checked only if it sends nothing for this time."""


class WorkerCondition(StrEnum):
    """What a check has shown; the value is the evidence in log lines."""

    RESPONDS = "responds"
    SILENT = "no_response"
    """It may have crashed, or cannot be reached."""
    REFUSES = "refused"
    """Nothing listens at its address."""
    REPLACED = "replaced"
    """Its entry is gone, or names another incarnation or another worker at its address."""


class WorkerChecks:
    """Checks workers one call at a time each, as long as someone wants to know."""

    def __init__(
        self,
        clock: Clock,
        directory: WorkerDirectory,
        client: WorkerClient,
        task_owner: TaskOwner,
        on_condition: Callable[[Worker, WorkerCondition, float], bool],
    ) -> None:
        """Check no worker yet.

        Args:
            clock: Time.
            directory: What discovery knows.
            client: Calls the workers.
            task_owner: Runs the checks.
            on_condition: Called with a worker, its condition, and the monotonic time since which
                this holds; returns whether the worker must be checked further.
        """
        self._clock = clock
        self._directory = directory
        self._client = client
        self._task_owner = task_owner
        self._on_condition = on_condition
        self._checked: set[WorkerIncarnation] = set()

    def start(self, worker: Worker, *, may_be_slow: bool) -> None:
        """Check a worker, unless this is under way; ``may_be_slow`` leaves it time to respond."""
        if worker.incarnation not in self._checked:
            self._checked.add(worker.incarnation)
            self._task_owner.spawn(self._run(worker, may_be_slow), "worker-end-check")

    async def _run(self, worker: Worker, may_be_slow: bool) -> None:
        try:
            if may_be_slow and await self._responds_meanwhile(worker):
                return
            await self._check_until_known(worker)
        finally:
            self._checked.discard(worker.incarnation)

    async def _responds_meanwhile(self, worker: Worker) -> bool:
        """Wait for any response of a worker; return whether one came and is enough."""
        await self._clock.sleep(RESPONSE_WAIT_SECONDS)
        record = self._directory.get(worker.worker_id, worker.started_at_ms)
        # A response that came at once may have been sent before the worker crashed.
        counts_from = self._clock.monotonic() - RESPONSE_WAIT_SECONDS / 2
        if record is None or not _was_heard_since(record, counts_from):
            return False
        return not self._on_condition(worker, WorkerCondition.RESPONDS, counts_from)

    async def _check_until_known(self, worker: Worker) -> None:
        pause_seconds = CHECK_INTERVAL_SECONDS
        while True:
            checked_at = self._clock.monotonic()
            condition = WorkerCondition.REPLACED
            if not self._is_replaced(worker):
                condition = await self._probe(worker)
            if not self._on_condition(worker, condition, checked_at):
                return
            if condition is WorkerCondition.SILENT:
                await self._wait_unless_replaced(worker, pause_seconds)
                pause_seconds = min(2 * pause_seconds, MAX_CHECK_INTERVAL_SECONDS)

    async def _wait_unless_replaced(self, worker: Worker, seconds: float) -> None:
        ends_at = self._clock.monotonic() + seconds
        while self._clock.monotonic() < ends_at and not self._is_replaced(worker):
            await self._clock.sleep(DISCOVERY_POLL_SECONDS)

    def _is_replaced(self, worker: Worker) -> bool:
        """Return whether discovery lists the worker no more, or another one at its address."""
        is_listed = self._directory.get(worker.worker_id, worker.started_at_ms) is not None
        return not is_listed or self._directory.is_replaced(worker)

    async def _probe(self, worker: Worker) -> WorkerCondition:
        match await self._client.probe(worker):
            case ProbeResult.RESPONDS:
                return WorkerCondition.RESPONDS
            case ProbeResult.REPLACED:
                return WorkerCondition.REPLACED
            case ProbeResult.REFUSES:
                return WorkerCondition.REFUSES
            case ProbeResult.SILENT:
                return WorkerCondition.SILENT


def _was_heard_since(record: WorkerRecord, time: float) -> bool:
    """Return whether a worker has sent a response, or an event of a stream, since then."""
    return record.responsiveness.heard_at >= time or record.event_intervals.is_active_since(time)
