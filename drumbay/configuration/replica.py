"""The replica of the configuration on a node with a disk, and its file."""

import asyncio
import os
from pathlib import Path

import msgspec
import xxhash

from drumbay.configuration.errors import ReplicaFileError
from drumbay.configuration.messages import (
    ConfigurationUpdate,
    ReplicaRead,
    ReplicaReadReply,
    ReplicaStore,
    ReplicaStoreReply,
)
from drumbay.configuration.state import ApplyOutcome, ConfigurationState
from drumbay.identifiers import NodeId, Revision
from drumbay.observability.logs import log_event
from drumbay.storage.writer_thread import BlockingRunner, run_inline

FILE_NAME = "configuration.msgpack"
FILE_FORMAT = 1


class ReplicaContent(msgspec.Struct, frozen=True, kw_only=True):
    """Content of the replica file.

    Attributes:
        complete: Whether the replica has recovered since its disk was last empty.
        snapshot: Snapshot of the configuration.
    """

    complete: bool
    snapshot: ConfigurationUpdate


class _FileEnvelope(msgspec.Struct, frozen=True, kw_only=True):
    file_format: int
    checksum: int
    content: bytes


class ReplicaFile:
    """File of a replica's configuration; each write replaces it atomically and durably."""

    def __init__(self, data_folder: Path) -> None:
        """Use ``configuration.msgpack`` in ``data_folder``."""
        self._path = data_folder / FILE_NAME

    def load(self) -> ReplicaContent | None:
        """Return the content; ``None`` if the file does not exist.

        Raises:
            ReplicaFileError: The file is corrupt or has an unknown format.
        """
        try:
            envelope = msgspec.msgpack.decode(self._path.read_bytes(), type=_FileEnvelope)
            if envelope.file_format != FILE_FORMAT:
                raise ReplicaFileError(f"{self._path}: file format {envelope.file_format}")
            if envelope.checksum != xxhash.xxh3_64_intdigest(envelope.content):
                raise ReplicaFileError(f"{self._path}: checksum mismatch")
            return msgspec.msgpack.decode(envelope.content, type=ReplicaContent)
        except FileNotFoundError:
            return None
        except (OSError, msgspec.MsgspecError) as error:
            raise ReplicaFileError(f"{self._path}: {error}") from error

    def save(self, content: ReplicaContent) -> None:
        """Replace the file durably.

        Raises:
            OSError: The write failed; the previous content is kept.
        """
        encoded = msgspec.msgpack.encode(content)
        envelope = _FileEnvelope(
            file_format=FILE_FORMAT,
            checksum=xxhash.xxh3_64_intdigest(encoded),
            content=encoded,
        )
        self._path.parent.mkdir(parents=True, exist_ok=True)
        temporary = self._path.with_suffix(".tmp")
        with temporary.open("wb") as stream:
            stream.write(msgspec.msgpack.encode(envelope))
            stream.flush()
            os.fsync(stream.fileno())
        temporary.replace(self._path)
        # NOTE: syncing the folder makes the rename survive a power failure.
        folder = os.open(self._path.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)


class ConfigurationReplica:
    """Stores the newest configuration on disk and serves it to other nodes.

    The replica may hold a revision that this node has not applied yet.
    """

    def __init__(
        self, node_id: NodeId, file: ReplicaFile, run_blocking: BlockingRunner = run_inline
    ) -> None:
        """Load the file; a corrupt one is treated as an empty disk.

        Args:
            node_id: This node.
            file: File of the configuration.
            run_blocking: Runs blocking disk operations.
        """
        self._node_id = node_id
        self._file = file
        self._run_blocking = run_blocking
        # Serializes writes: each builds on the previous one.
        self._write_lock = asyncio.Lock()
        self._state = ConfigurationState()
        self._complete = False
        try:
            content = file.load()
        except ReplicaFileError as error:
            log_event("configuration_file_damaged", level="ERROR", detail=str(error))
            content = None
        if content is not None:
            self._state.apply(content.snapshot)
            self._complete = content.complete

    @property
    def revision(self) -> Revision:
        """Return the revision on disk."""
        return self._state.revision

    async def store(self, request: ReplicaStore) -> ReplicaStoreReply:
        """Store an update on disk and return the resulting revision.

        Raises:
            OSError: The write failed; the previous revision is kept.
        """
        async with self._write_lock:
            if self._state.classify(request.update) is ApplyOutcome.APPLIED:
                candidate = self._state.copy()
                candidate.apply(request.update)
                await self._save(candidate, complete=self._complete)
                self._state.apply(request.update)
            return ReplicaStoreReply(revision=self._state.revision)

    async def _save(self, state: ConfigurationState, *, complete: bool) -> None:
        content = ReplicaContent(complete=complete, snapshot=state.snapshot())
        await self._run_blocking(lambda: self._file.save(content))

    def read(self, request: ReplicaRead) -> ReplicaReadReply:
        """Return the changes after the requested revision."""
        return ReplicaReadReply(
            node_id=self._node_id,
            complete=self._complete,
            revision=self._state.revision,
            update=self._state.update_since(request.after_revision),
        )

    async def mark_complete(self, recovered: ConfigurationUpdate) -> None:
        """Record that the replica holds every change that it ever acknowledged.

        Args:
            recovered: Snapshot read from the key-value service or a majority of replicas.

        Raises:
            OSError: The write failed; the replica stays incomplete.
        """
        await self.store(ReplicaStore(update=recovered))
        async with self._write_lock:
            if not self._complete:
                await self._save(self._state, complete=True)
                self._complete = True
