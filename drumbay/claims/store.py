"""The durable state of one replica: an acceptor backed by a record log.

The log contains whole records, of which the last one of a key is current. A snapshot replaces the
log when most of its records were overwritten or have expired.
"""

from collections.abc import Callable, Sequence

import xxhash

from drumbay.claims.acceptor import Acceptor
from drumbay.storage.interface import RecordLog

MIN_RECORDS_BEFORE_SNAPSHOT = 10_000
SNAPSHOT_GARBAGE_FACTOR = 3.0
"""A snapshot is due when the log has this many times the live records. Each store adds an offset
of up to 1, so that the replicas of a set do not write their snapshots at the same time."""

_OFFSET_STEPS = 1000

CreateAcceptor = Callable[[RecordLog], Acceptor]


class ReplicaStore:
    """An acceptor and the log that it is restored from.

    Attributes:
        acceptor: The state in memory; it is ahead of the disk while a write is in progress.
        is_new: Whether nothing had been written when the store was opened.
        running_seconds: Running time of the newest record when the store was opened.
    """

    def __init__(self, log: RecordLog, create_acceptor: CreateAcceptor) -> None:
        """Restore the acceptor from the log.

        Raises:
            StorageError: The log cannot be read.
        """
        self._log = log
        self.acceptor = create_acceptor(log)
        self.running_seconds = 0.0
        self._logged_records = 0
        self._snapshot_in_progress = False
        step = xxhash.xxh32_intdigest(log.store_id.encode()) % _OFFSET_STEPS
        self._garbage_factor = SNAPSHOT_GARBAGE_FACTOR + step / _OFFSET_STEPS
        for row in log.replay():
            self.running_seconds = max(self.running_seconds, self.acceptor.load_row(row))
            self._logged_records += 1
        self.is_new = self._logged_records == 0

    @property
    def size_bytes(self) -> int:
        """Return the size on disk in bytes."""
        return self._log.size_bytes

    async def append(self, rows: Sequence[bytes]) -> None:
        """Make rows durable.

        NOTE: rows are written in the order of the calls, so call this in the same step of the
        event loop in which the acceptor returned them.

        Raises:
            StorageError: The write failed; the acceptor is ahead of the disk and must be discarded.
        """
        self._logged_records += len(rows)
        await self._log.append(rows)

    @property
    def snapshot_is_due(self) -> bool:
        """Return whether most of the log is no longer needed."""
        live_records = len(self.acceptor.table)
        limit = max(MIN_RECORDS_BEFORE_SNAPSHOT, int(self._garbage_factor * live_records))
        return self._logged_records > limit and not self._snapshot_in_progress

    async def take_snapshot(self) -> None:
        """Replace the log by the current state; later writes wait until it is durable.

        Raises:
            StorageError: The write failed.
        """
        self._snapshot_in_progress = True
        rows = self.acceptor.snapshot_rows()
        self._logged_records = len(rows)
        try:
            await self._log.snapshot(rows)
        finally:
            self._snapshot_in_progress = False

    async def close(self) -> None:
        """Close the log."""
        await self._log.close()
