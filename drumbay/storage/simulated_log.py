"""A record log on a simulated disk, for deterministic simulation.

The disk object outlives the simulated process, the log object does not. A record is durable only
after the commit time, so a process that is killed earlier loses it, as on a real disk.
"""

from collections.abc import Iterator, Sequence

import msgspec

from drumbay.clock import Clock
from drumbay.storage.interface import StorageClosedError, StorageFullError, StoreId


class SimulatedDisk:
    """Durable content of one disk: a list of records per log.

    Attributes:
        full: While true, every write fails.
        busy_commit_seconds: Minimum duration of a write, to simulate a busy disk.
    """

    def __init__(self) -> None:
        """Create an empty disk."""
        self.records: dict[str, list[bytes]] = {}
        self.store_ids: dict[str, StoreId] = {}
        self.full = False
        self.busy_commit_seconds = 0.0


class _PendingWrite(msgspec.Struct, frozen=True, kw_only=True):
    """An append or snapshot that is not durable yet."""

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
        """Open the log ``name``; create it if it does not exist."""
        self._disk = disk
        self._clock = clock
        self._commit_seconds = commit_seconds
        self._store_id = disk.store_ids.setdefault(name, new_store_id)
        self._records = disk.records.setdefault(name, [])
        self._failed = False
        self._pending: list[_PendingWrite] = []
        self._write_count = 0

    @property
    def store_id(self) -> StoreId:
        """Return the id assigned when the store was created."""
        return self._store_id

    @property
    def size_bytes(self) -> int:
        """Return the sum of the record sizes in bytes."""
        return sum(len(record) for record in self._records)

    def replay(self) -> Iterator[bytes]:
        """Yield every durable record in order, starting with the last snapshot."""
        return iter(tuple(self._records))

    async def append(self, records: Sequence[bytes]) -> None:
        """Append records after the commit time.

        Raises:
            StorageFullError: The disk is full.
            StorageClosedError: An earlier write failed.
        """
        await self._write(records, replaces_all=False)

    async def snapshot(self, records: Sequence[bytes]) -> None:
        """Replace all records after the commit time.

        Raises:
            StorageFullError: The disk is full.
            StorageClosedError: An earlier write failed.
        """
        await self._write(records, replaces_all=True)

    async def _write(self, records: Sequence[bytes], *, replaces_all: bool) -> None:
        self._write_count += 1
        number = self._write_count
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
        """Make every write up to ``number`` durable, in call order.

        NOTE: timers due at the same time fire in arbitrary order.
        """
        while self._pending and self._pending[0].number <= number:
            write = self._pending.pop(0)
            if write.replaces_all:
                self._records.clear()
            self._records.extend(write.records)

    async def close(self) -> None:
        """Reject all later writes."""
        self._failed = True
