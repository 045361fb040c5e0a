"""The durable state of one replica: its acceptor kept in a record log.

The log holds whole records, the last one of a key counts. A snapshot replaces the log when
most of its records have been overwritten or have expired.
"""

from collections.abc import Callable, Sequence

import xxhash

from drumbay.claims.acceptor import Acceptor
from drumbay.storage.interface import RecordLog

MIN_RECORDS_BEFORE_SNAPSHOT = 10_000
SNAPSHOT_GARBAGE_FACTOR = 3.0
"""A snapshot is due when the log has this many times the live records, or up to once more:
the replicas of a set must not write their snapshots at the same time."""

_FACTOR_STEPS = 1000

CreateAcceptor = Callable[[RecordLog], Acceptor]


class ReplicaStore:
    """An acceptor and the log that it is rebuilt from.

    Attributes:
        acceptor: The state in memory; it is ahead of the disk while a write is under way.
        is_new: Whether nothing had been written when the store was opened.
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
        step = xxhash.xxh32_intdigest(log.store_id.encode()) % _FACTOR_STEPS
        self._garbage_factor = SNAPSHOT_GARBAGE_FACTOR + step / _FACTOR_STEPS
        for row in log.replay():
            self.running_seconds = max(self.running_seconds, self.acceptor.load_row(row))
            self._logged_records += 1
        self.is_new = self._logged_records == 0

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

    @property
    def snapshot_is_due(self) -> bool:
        """Return whether most of the log is no longer needed."""
        live_records = len(self.acceptor.table)
        limit = max(MIN_RECORDS_BEFORE_SNAPSHOT, int(self._garbage_factor * live_records))
        return self._logged_records > limit and not self._snapshot_under_way

    async def take_snapshot(self) -> None:
        """Replace the log by the present state; later writes wait until it is durable.

        Raises:
            StorageError: The write failed.
        """
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
