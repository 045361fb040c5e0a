"""A record log in an SQLite database in WAL mode, with group commit.

SQLite provides atomic commits, a checksummed write-ahead log whose torn tail is discarded at the
next open, and distinct errors for a full disk. A single thread commits: appends that arrive during
a commit are written together by the next one (group commit; DeWitt et al., "Implementation
Techniques for Main Memory Database Systems", SIGMOD 1984, section 5).
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
WAL_SIZE_LIMIT_BYTES = 16 * 1024**2
"""The write-ahead log is truncated to this size after a checkpoint."""

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
    """An append or snapshot that waits for its commit."""

    records: Sequence[bytes]
    replaces_all: bool
    done: asyncio.Future[None]


def _checksum(payload: bytes) -> bytes:
    """Return the checksum that is stored with a record."""
    return xxhash.xxh3_64_digest(payload)


def _to_storage_error(error: sqlite3.Error) -> StorageError:
    """Convert an SQLite error to a :class:`StorageError`."""
    code = getattr(error, "sqlite_errorcode", None)
    primary_code = None if code is None else code & 0xFF
    if primary_code == sqlite3.SQLITE_FULL:
        return StorageFullError(str(error))
    if primary_code in (sqlite3.SQLITE_CORRUPT, sqlite3.SQLITE_NOTADB):
        return StorageCorruptError(str(error))
    return StorageError(str(error))


def _connect(path: Path, max_bytes: int) -> sqlite3.Connection:
    """Open the database exclusively, with an fsync at every commit."""
    connection = sqlite3.connect(path, timeout=0, isolation_level=None, check_same_thread=False)
    # NOTE: exclusive locking must be set before WAL mode: SQLite then keeps the WAL index on the
    # heap instead of in shared memory, and a second process fails to open the same store.
    connection.execute("PRAGMA locking_mode=EXCLUSIVE")
    connection.execute("PRAGMA journal_mode=WAL")
    connection.execute("PRAGMA synchronous=FULL")
    connection.execute(f"PRAGMA journal_size_limit={WAL_SIZE_LIMIT_BYTES}")
    page_size_bytes = connection.execute("PRAGMA page_size").fetchone()[0]
    connection.execute(f"PRAGMA max_page_count={max_bytes // page_size_bytes}")
    return connection


def _ensure_store_id(connection: sqlite3.Connection, new_store_id: StoreId) -> StoreId:
    """Return the stored id; a new store gets ``new_store_id``."""
    connection.executescript(CREATE_TABLES)
    row = connection.execute("SELECT store_id FROM identity").fetchone()
    if row is not None:
        return StoreId(row[0])
    connection.execute("INSERT INTO identity (store_id) VALUES (?)", (new_store_id,))
    return new_store_id


def _fsync_directory(folder: Path) -> None:
    """Make the directory entries of newly created files durable."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


class DurableLog:
    """A :class:`~drumbay.storage.interface.RecordLog` on the local disk."""

    def __init__(self, connection: sqlite3.Connection, path: Path, store_id: StoreId) -> None:
        """Use an open database; call :meth:`open` instead."""
        self._connection = connection
        self._path = path
        self._store_id = store_id
        self._writer = ThreadPoolExecutor(max_workers=1, thread_name_prefix=path.stem)
        self._pending: list[_PendingWrite] = []
        self._commit_task: asyncio.Task[None] | None = None
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
        """Open the log ``name`` in ``folder``; create it if it does not exist.

        Args:
            folder: The node's data directory; created if it does not exist.
            name: Name of the log, unique in the directory.
            new_store_id: Id of the store if it is new; must be random.
            max_bytes: Maximum size of the database file.

        Raises:
            StorageError: The store cannot be opened, or another process has it open.
        """
        path = folder / f"{name}{FILE_SUFFIX}"
        try:
            folder.mkdir(parents=True, exist_ok=True)
            connection = _connect(path, max_bytes)
            store_id = _ensure_store_id(connection, new_store_id)
            _fsync_directory(folder)
        except sqlite3.Error as error:
            raise _to_storage_error(error) from error
        except OSError as error:
            raise StorageError(str(error)) from error
        return cls(connection, path, store_id)

    @property
    def store_id(self) -> StoreId:
        """Return the id assigned when the store was created."""
        return self._store_id

    @property
    def size_bytes(self) -> int:
        """Return the size of the database and its write-ahead log in bytes."""
        files = (self._path, self._path.with_name(f"{self._path.name}-wal"))
        return sum(file.stat().st_size for file in files if file.exists())

    def replay(self) -> Iterator[bytes]:
        """Yield every record in order, starting with the last snapshot.

        Raises:
            StorageCorruptError: The checksum of a record does not match.
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
            raise _to_storage_error(error) from error

    async def append(self, records: Sequence[bytes]) -> None:
        """Append records atomically; they are durable on return.

        Raises:
            StorageFullError: The disk is full, or the log has reached its maximum size.
            StorageError: The write failed.
        """
        await self._write(records, replaces_all=False)

    async def snapshot(self, records: Sequence[bytes]) -> None:
        """Atomically replace everything appended before this call by ``records``.

        Raises:
            StorageFullError: The disk is full, or the log has reached its maximum size.
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
        if self._commit_task is None:
            self._commit_task = loop.create_task(self._commit_pending())
        # NOTE: a cancelled caller must not cancel the write, since later writes depend on it.
        await asyncio.shield(pending.done)

    async def _commit_pending(self) -> None:
        """Commit until nothing is pending; each commit includes all writes that have arrived."""
        loop = asyncio.get_running_loop()
        while self._pending:
            batch = self._pending
            self._pending = []
            failure = self._failure
            if failure is None:
                failure = await loop.run_in_executor(self._writer, self._commit, batch)
            self._failure = failure
            for pending in batch:
                self._complete(pending, failure)
        self._commit_task = None

    @staticmethod
    def _complete(pending: _PendingWrite, failure: StorageError | None) -> None:
        if failure is None:
            pending.done.set_result(None)
            return
        pending.done.set_exception(failure)
        # Keeps asyncio from reporting the error if the caller was cancelled.
        pending.done.exception()

    def _commit(self, batch: list[_PendingWrite]) -> StorageError | None:
        """Write a batch in one transaction, on the writer thread."""
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
            return _to_storage_error(error)
        return None

    async def close(self) -> None:
        """Wait for pending writes and close the files."""
        while self._commit_task is not None:
            await self._commit_task
        self._failure = self._failure or StorageClosedError("closed")
        self._connection.close()
        self._writer.shutdown(wait=False)
