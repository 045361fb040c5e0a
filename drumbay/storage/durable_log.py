"""A record log in an SQLite database in WAL mode, with group commit.

SQLite gives atomic commits, a checksummed write-ahead log whose torn tail is dropped at the
next open, and typed errors for a full disk. One writer thread commits: appends that arrive
while a commit is being synchronised to the disk are committed together by the next one
(group commit; DeWitt et al., "Implementation Techniques for Main Memory Database Systems",
SIGMOD 1984, section 5).
"""

import asyncio
import os
import sqlite3
from collections.abc import Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import msgspec
import xxhash

from drumbay.storage.interface import (
    StorageClosedError,
    StorageCorruptError,
    StorageError,
    StorageFullError,
    StoreId,
)

FILE_SUFFIX = ".sqlite3"
DEFAULT_MAX_BYTES = 4 * 1024**3
WAL_KEPT_BYTES = 16 * 1024**2
"""The write-ahead file is cut back to this size after a checkpoint."""

CREATE_TABLES = """
CREATE TABLE IF NOT EXISTS identity (store_id TEXT NOT NULL);
CREATE TABLE IF NOT EXISTS log (
    sequence INTEGER PRIMARY KEY AUTOINCREMENT,
    checksum BLOB NOT NULL,
    payload BLOB NOT NULL
);
"""
INSERT_RECORD = "INSERT INTO log (checksum, payload) VALUES (?, ?)"


class _PendingWrite(msgspec.Struct, kw_only=True):
    """One append or snapshot that waits for its commit."""

    records: Sequence[bytes]
    replaces_all: bool
    done: asyncio.Future[None]


def _checksum(payload: bytes) -> bytes:
    """Return the checksum stored beside a record."""
    return xxhash.xxh3_64_digest(payload)


def _typed_error(error: sqlite3.Error) -> StorageError:
    """Translate an SQLite error into the exception tree."""
    code = getattr(error, "sqlite_errorcode", None)
    primary_code = None if code is None else code & 0xFF
    if primary_code == sqlite3.SQLITE_FULL:
        return StorageFullError(str(error))
    if primary_code in (sqlite3.SQLITE_CORRUPT, sqlite3.SQLITE_NOTADB):
        return StorageCorruptError(str(error))
    return StorageError(str(error))


def _connect(path: Path, max_bytes: int) -> sqlite3.Connection:
    """Open the database for one process, synchronised at every commit."""
    connection = sqlite3.connect(path, timeout=0, isolation_level=None, check_same_thread=False)
    # NOTE: exclusive locking must be set before WAL mode is entered: SQLite then keeps the
    # WAL index on the heap instead of in a shared memory file, and a second process that
    # opens the same store fails instead of writing to it.
    connection.execute("PRAGMA locking_mode=EXCLUSIVE")
    connection.execute("PRAGMA journal_mode=WAL")
    connection.execute("PRAGMA synchronous=FULL")
    connection.execute(f"PRAGMA journal_size_limit={WAL_KEPT_BYTES}")
    page_size_bytes = connection.execute("PRAGMA page_size").fetchone()[0]
    connection.execute(f"PRAGMA max_page_count={max_bytes // page_size_bytes}")
    return connection


def _ensure_identity(connection: sqlite3.Connection, new_store_id: StoreId) -> StoreId:
    """Return the stored identity; a store without one is new and gets ``new_store_id``."""
    connection.executescript(CREATE_TABLES)
    row = connection.execute("SELECT store_id FROM identity").fetchone()
    if row is not None:
        return StoreId(row[0])
    connection.execute("INSERT INTO identity (store_id) VALUES (?)", (new_store_id,))
    return new_store_id


def _synchronise_folder(folder: Path) -> None:
    """Make the names of newly created files durable."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


class DurableLog:
    """A :class:`~drumbay.storage.interface.RecordLog` on the local disk."""

    def __init__(self, connection: sqlite3.Connection, path: Path, store_id: StoreId) -> None:
        """Use an open database; callers use :meth:`open`."""
        self._connection = connection
        self._path = path
        self._store_id = store_id
        self._writer = ThreadPoolExecutor(max_workers=1, thread_name_prefix=path.stem)
        self._pending: list[_PendingWrite] = []
        self._committing: asyncio.Task[None] | None = None
        self._failure: StorageError | None = None
        self.commits = 0

    @classmethod
    def open(
        cls,
        folder: Path,
        name: str,
        *,
        new_store_id: StoreId,
        max_bytes: int = DEFAULT_MAX_BYTES,
    ) -> "DurableLog":
        """Open the log ``name`` in ``folder``; make it if it does not exist.

        Args:
            folder: The node's data folder; made if it does not exist.
            name: Name of the log, unique in the folder.
            new_store_id: Identity for the store if it is new; must be random.
            max_bytes: Limit on the size of the database file.

        Raises:
            StorageError: The store cannot be opened, or another process has it open.
        """
        path = folder / f"{name}{FILE_SUFFIX}"
        try:
            folder.mkdir(parents=True, exist_ok=True)
            connection = _connect(path, max_bytes)
            store_id = _ensure_identity(connection, new_store_id)
            _synchronise_folder(folder)
        except sqlite3.Error as error:
            raise _typed_error(error) from error
        except OSError as error:
            raise StorageError(str(error)) from error
        return cls(connection, path, store_id)

    @property
    def store_id(self) -> StoreId:
        """Return the identity given when the store was first made."""
        return self._store_id

    @property
    def size_bytes(self) -> int:
        """Return the size of the database and its write-ahead file in bytes."""
        files = (self._path, self._path.with_name(f"{self._path.name}-wal"))
        return sum(file.stat().st_size for file in files if file.exists())

    def replay(self) -> Iterator[bytes]:
        """Yield every record in order, from the last snapshot on.

        Raises:
            StorageCorruptError: A record differs from what was written.
            StorageError: The disk could not be read.
        """
        try:
            rows = self._connection.execute(
                "SELECT sequence, checksum, payload FROM log ORDER BY sequence"
            )
            for sequence, checksum, payload in rows:
                if checksum != _checksum(payload):
                    raise StorageCorruptError(f"record {sequence} of {self._path.name}")
                yield payload
        except sqlite3.Error as error:
            raise _typed_error(error) from error

    async def append(self, records: Sequence[bytes]) -> None:
        """Append records atomically; on return they are durable.

        Raises:
            StorageFullError: There is no room.
            StorageError: The write failed.
        """
        await self._write(records, replaces_all=False)

    async def snapshot(self, records: Sequence[bytes]) -> None:
        """Atomically replace everything appended before this call by ``records``.

        Raises:
            StorageFullError: There is no room.
            StorageError: The write failed.
        """
        await self._write(records, replaces_all=True)

    async def _write(self, records: Sequence[bytes], *, replaces_all: bool) -> None:
        if self._failure is not None:
            raise StorageClosedError("an earlier write failed") from self._failure
        loop = asyncio.get_running_loop()
        pending = _PendingWrite(
            records=records, replaces_all=replaces_all, done=loop.create_future()
        )
        self._pending.append(pending)
        if self._committing is None:
            self._committing = loop.create_task(self._commit_pending())
        # NOTE: a cancelled caller must not cancel the write: later ones build on it.
        await asyncio.shield(pending.done)

    async def _commit_pending(self) -> None:
        """Commit until nothing is pending; each commit takes all that has arrived."""
        loop = asyncio.get_running_loop()
        while self._pending:
            batch = self._pending
            self._pending = []
            failure = self._failure
            if failure is None:
                failure = await loop.run_in_executor(self._writer, self._commit, batch)
            self._failure = failure
            for pending in batch:
                self._finish(pending, failure)
        self._committing = None

    @staticmethod
    def _finish(pending: _PendingWrite, failure: StorageError | None) -> None:
        if failure is None:
            pending.done.set_result(None)
            return
        pending.done.set_exception(failure)
        # The caller may have been cancelled; asyncio would then report the error as unseen.
        pending.done.exception()

    def _commit(self, batch: list[_PendingWrite]) -> StorageError | None:
        """Write a batch in one transaction; runs on the writer thread."""
        try:
            self._connection.execute("BEGIN IMMEDIATE")
            for pending in batch:
                if pending.replaces_all:
                    self._connection.execute("DELETE FROM log")
                rows = ((_checksum(payload), payload) for payload in pending.records)
                self._connection.executemany(INSERT_RECORD, rows)
            self._connection.execute("COMMIT")
            self.commits += 1
        except sqlite3.Error as error:
            if self._connection.in_transaction:
                self._connection.rollback()
            return _typed_error(error)
        return None

    async def close(self) -> None:
        """Wait for the writes under way and release the files."""
        while self._committing is not None:
            await self._committing
        self._failure = self._failure or StorageClosedError("closed")
        self._connection.close()
        self._writer.shutdown(wait=False)
