"""The record log interface and its exceptions."""

from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import NewType, Protocol

from drumbay.exceptions import UnavailableError

StoreId = NewType("StoreId", str)
"""Id assigned when a store is created; a store that lost its data gets another one."""


DURABLE_REPLY_TIMEOUT_SECONDS = 8.0
"""Timeout of a call to a replica that commits to disk before it replies. It allows for slow writes
on busy disks: a caller that gives up earlier and starts over never gets through to replicas whose
disks are busy. It is below the 10 s timeout of requests that are forwarded to a stream's owner."""


class StorageError(UnavailableError):
    """A record log could not be read or written; recent appends may not be durable."""

    code = "storage"


class StorageFullError(StorageError):
    """The disk is full or the log has reached its maximum size; the append had no effect."""

    code = "storage_full"


class StorageCorruptError(StorageError):
    """Stored data is corrupt."""

    code = "storage_corrupt"


class StorageClosedError(StorageError):
    """The log is closed, or an earlier write to it failed."""

    code = "storage_closed"


class RecordLog(Protocol):
    """A persistent append-only log of opaque records.

    Operations take effect in call order, even if the caller does not await one before it starts
    the next. After a failed write the log rejects all writes until it is reopened, so that no
    append survives whose predecessor is lost.
    """

    @property
    def store_id(self) -> StoreId:
        """Return the id assigned when the store was created."""
        ...

    @property
    def size_bytes(self) -> int:
        """Return the disk space used in bytes."""
        ...

    def replay(self) -> Iterator[bytes]:
        """Yield every record in order, starting with the last snapshot.

        Must be called before the first append.

        Raises:
            StorageCorruptError: The checksum of a record does not match.
            StorageError: The disk could not be read.
        """
        ...

    async def append(self, records: Sequence[bytes]) -> None:
        """Append records atomically; they are durable on return.

        Raises:
            StorageFullError: The disk is full, or the log has reached its maximum size.
            StorageError: The write failed.
        """
        ...

    async def snapshot(self, records: Sequence[bytes]) -> None:
        """Atomically replace everything appended before this call by ``records``.

        Raises:
            StorageFullError: The disk is full, or the log has reached its maximum size.
            StorageError: The write failed.
        """
        ...

    async def close(self) -> None:
        """Wait for pending writes and close the files."""
        ...


class LogOpener(Protocol):
    """Opens a record log in a data directory, on a real or a simulated disk."""

    def __call__(self, folder: Path, name: str, *, new_store_id: StoreId) -> RecordLog:
        """Open the log ``name``; a new store gets ``new_store_id``.

        Raises:
            StorageError: The log cannot be opened.
        """
        ...
