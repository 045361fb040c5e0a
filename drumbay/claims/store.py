"""The durable state of one replica: its acceptor kept in a record log.

The log holds whole records, the last one of a key counts. A snapshot replaces the log when
most of its records have been overwritten or have expired.
"""

from collections.abc import Callable, Sequence

from drumbay.claims.acceptor import Acceptor
from drumbay.storage.interface import RecordLog

MIN_RECORDS_BEFORE_SNAPSHOT = 10_000
SNAPSHOT_GARBAGE_FACTOR = 3
"""A snapshot is due when the log has this many times the live records."""

CreateAcceptor = Callable[[RecordLog], Acceptor]


class ReplicaStore:
    """An acceptor and the log that it is rebuilt from.

    Attributes:
        acceptor: The state in memory; it is ahead of the disk while a write is under way.
        running_seconds: Running time of the newest record when the store was opened.
    """

    def __init__(self, log: RecordLog, create_acceptor: CreateAcceptor) -> None:
        """Rebuild the acceptor from the log.

        Raises:
            StorageError: The log cannot be read.
        """
        self._log = log
        self.acceptor = create_acceptor(log)
        self.running_seconds = 0.0
        self._logged_records = 0
        self._snapshot_under_way = False
        for row in log.replay():
            self.running_seconds = max(self.running_seconds, self.acceptor.load_row(row))
            self._logged_records += 1

    @property
    def size_bytes(self) -> int:
        """Return the space taken on the disk in bytes."""
        return self._log.size_bytes

    async def append(self, rows: Sequence[bytes]) -> None:
        """Make rows durable.

        NOTE: the order of the rows is fixed when this is called, so call it in the same
        step of the event loop in which the acceptor decided.

        Raises:
            StorageError: The write failed; the acceptor is ahead of the disk for good.
        """
        self._logged_records += len(rows)
        await self._log.append(rows)
        if self._snapshot_is_due():
            await self._take_snapshot()

    def _snapshot_is_due(self) -> bool:
        live_records = len(self.acceptor.table)
        limit = max(MIN_RECORDS_BEFORE_SNAPSHOT, SNAPSHOT_GARBAGE_FACTOR * live_records)
        return self._logged_records > limit and not self._snapshot_under_way

    async def _take_snapshot(self) -> None:
        self._snapshot_under_way = True
        rows = self.acceptor.snapshot_rows()
        self._logged_records = len(rows)
        try:
            await self._log.snapshot(rows)
        finally:
            self._snapshot_under_way = False

    async def close(self) -> None:
        """Close the log."""
        await self._log.close()
