"""Restores a stream replica after a failed write, e.g. when a full disk has free space again."""

from collections.abc import Callable

from drumbay.clock import Clock
from drumbay.delivery.replica import DeliveryReplica
from drumbay.observability.logs import log_event
from drumbay.storage.interface import RecordLog, StorageCorruptError, StorageError
from drumbay.tasks import TaskOwner

REOPEN_INTERVAL_SECONDS = 5.0


class ReplicaReopener:
    """Reopens the record log of a replica after each storage failure.

    Args:
        replica: The replica.
        open_log: Opens its log.
        clock: Time source.
        task_owner: Owner of the reopening tasks.
    """

    def __init__(
        self,
        replica: DeliveryReplica,
        open_log: Callable[[], RecordLog],
        clock: Clock,
        task_owner: TaskOwner,
    ) -> None:
        """Create a reopener; it handles failures after :meth:`start`."""
        self._replica = replica
        self._open_log = open_log
        self._clock = clock
        self._task_owner = task_owner

    def start(self) -> None:
        """Start to handle storage failures."""
        self._replica.on_storage_failure = self._handle_failure

    def _handle_failure(self, failed: RecordLog) -> None:
        self._task_owner.spawn(self._reopen(failed), "stream-replica-reopen")

    async def _reopen(self, failed: RecordLog) -> None:
        store_id = failed.store_id
        await failed.close()
        while True:
            await self._clock.sleep(REOPEN_INTERVAL_SECONDS)
            try:
                log = self._open_log()
                if log.store_id != store_id:
                    # NOTE: a store without its earlier promises must not vote.
                    await log.close()
                    raise StorageCorruptError("the store was emptied; restart to join as a new one")
                self._replica.restore_from(log)
            except StorageError as error:
                log_event("stream_store_failed", level="ERROR", code=error.code, detail=str(error))
                continue
            log_event("stream_store_reopened", streams=len(self._replica.acceptors))
            return
