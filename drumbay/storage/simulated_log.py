"""A record log on a simulated disk, for deterministic simulation.

The disk object outlives the simulated process; the log object dies with it. A record is on
the disk only after the commit time has passed, so a process that is killed before loses it,
as on a real disk.
"""

from collections.abc import Iterator, Sequence

import msgspec

from drumbay.clock import Clock
from drumbay.storage.interface import StorageClosedError, StorageFullError, StoreId


class SimulatedDisk:
    """The durable content of one disk: a list of records per log.

    Attributes:
        full: Makes every write fail while true.
        busy_commit_seconds: Shortest time that a write takes while others fill the disk.
    """

    def __init__(self) -> None:
        """Create an empty disk."""
        self.records: dict[str, list[bytes]] = {}
        self.store_ids: dict[str, StoreId] = {}
        self.full = False
        self.busy_commit_seconds = 0.0


class _PendingWrite(msgspec.Struct, frozen=True, kw_only=True):
    """One append or snapshot that is not on the disk yet."""

    number: int
    records: Sequence[bytes]
    replaces_all: bool


class SimulatedLog:
    """A :class:`~drumbay.storage.interface.RecordLog` on a :class:`SimulatedDisk`."""

    def __init__(
        self,
        disk: SimulatedDisk,
        name: str,
        *,
        clock: Clock,
        new_store_id: StoreId,
        commit_seconds: float,
    ) -> None:
        """Open the log ``name``; a log that is not on the disk is made."""
        self._disk = disk
        self._clock = clock
        self._commit_seconds = commit_seconds
        self._store_id = disk.store_ids.setdefault(name, new_store_id)
        self._records = disk.records.setdefault(name, [])
        self._failed = False
        self._pending: list[_PendingWrite] = []
        self._writes = 0

    @property
    def store_id(self) -> StoreId:
        """Return the identity given when the store was first made."""
        return self._store_id

    @property
    def size_bytes(self) -> int:
        """Return the sum of the record sizes in bytes."""
        return sum(len(record) for record in self._records)

    def replay(self) -> Iterator[bytes]:
        """Yield every durable record in order, from the last snapshot on."""
        return iter(tuple(self._records))

    async def append(self, records: Sequence[bytes]) -> None:
        """Append records after the commit time.

        Raises:
            StorageFullError: The disk is full.
            StorageClosedError: An earlier write failed.
        """
        await self._write(records, replaces_all=False)

    async def snapshot(self, records: Sequence[bytes]) -> None:
        """Replace every record after the commit time.

        Raises:
            StorageFullError: The disk is full.
            StorageClosedError: An earlier write failed.
        """
        await self._write(records, replaces_all=True)

    async def _write(self, records: Sequence[bytes], *, replaces_all: bool) -> None:
        self._writes += 1
        number = self._writes
        self._pending.append(
            _PendingWrite(number=number, records=records, replaces_all=replaces_all)
        )
        await self._clock.sleep(max(self._commit_seconds, self._disk.busy_commit_seconds))
        if self._failed:
            raise StorageClosedError("an earlier write failed")
        if self._disk.full:
            self._failed = True
            raise StorageFullError("the simulated disk is full")
        self._commit_through(number)

    def _commit_through(self, number: int) -> None:
        """Put every write up to ``number`` on the disk, in the order of the calls.

        NOTE: timers due at the same instant fire in any order.
        """
        while self._pending and self._pending[0].number <= number:
            write = self._pending.pop(0)
            if write.replaces_all:
                self._records.clear()
            self._records.extend(write.records)

    async def close(self) -> None:
        """Refuse later writes."""
        self._failed = True
