"""The record log interface and its exceptions."""

from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import NewType, Protocol

from drumbay.exceptions import UnavailableError

StoreId = NewType("StoreId", str)
"""Identity of one store, written when it is first made; an emptied disk has another."""


DURABLE_REPLY_SECONDS = 8.0
"""Time limit of a call to a replica that makes its reply durable first: a small write took up to
8.5 s, and 2.1 s at the 99th percentile, beside writers that filled the page cache. A caller that
gives up before and begins anew never gets through to replicas whose disks are busy. Below the 10 s
that a request waits which is passed on to the owner of a stream."""


class StorageError(UnavailableError):
    """A record log could not be read or written; its last appends may not be durable."""

    code = "storage"


class StorageFullError(StorageError):
    """The disk or the log's size limit is full; the append had no effect."""

    code = "storage_full"


class StorageCorruptError(StorageError):
    """What the disk returned is not what was written."""

    code = "storage_corrupt"


class StorageClosedError(StorageError):
    """The log was closed, or an earlier write of it failed."""

    code = "storage_closed"


class RecordLog(Protocol):
    """An append-only log of opaque records that outlives the process.

    Operations take effect in the order in which they are called, also when the caller does
    not await one before it starts the next. After a failed write the log refuses every
    later one until it is opened again, so that no append is kept whose predecessor is lost.
    """

    @property
    def store_id(self) -> StoreId:
        """Return the identity given when the store was first made."""
        ...

    @property
    def size_bytes(self) -> int:
        """Return the space taken on the disk in bytes."""
        ...

    def replay(self) -> Iterator[bytes]:
        """Yield every record in order, from the last snapshot on.

        Call it before the first append.

        Raises:
            StorageCorruptError: A record differs from what was written.
            StorageError: The disk could not be read.
        """
        ...

    async def append(self, records: Sequence[bytes]) -> None:
        """Append records atomically; on return they are durable.

        Raises:
            StorageFullError: There is no room.
            StorageError: The write failed.
        """
        ...

    async def snapshot(self, records: Sequence[bytes]) -> None:
        """Atomically replace everything appended before this call by ``records``.

        Raises:
            StorageFullError: There is no room.
            StorageError: The write failed.
        """
        ...

    async def close(self) -> None:
        """Wait for the writes under way and release the files."""
        ...


class LogOpener(Protocol):
    """Opens a record log below a data folder, on a disk or a simulated one."""

    def __call__(self, folder: Path, name: str, *, new_store_id: StoreId) -> RecordLog:
        """Open the log ``name``; ``new_store_id`` names the store if it is new.

        Raises:
            StorageError: The log cannot be opened.
        """
        ...
