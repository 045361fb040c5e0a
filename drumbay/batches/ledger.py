"""Persistence of batch jobs in the key-value store.

* ``drumbay/batch-index/ID``: an :class:`IndexEntry`, to find old batch jobs without reading their
  items.
* ``drumbay/item-failures/ID/REVISION``: the :class:`OwnerFailures` that the owner with a revision
  has seen. Only that owner writes the key.
* ``drumbay/batches-open/ADDRESS/ID``: an empty value while the batch job is open, so that a
  restarted node finds the jobs that it owned at its address.

Keys of a batch job, below ``drumbay/batches/ID/``:

* ``owner``: the :class:`OwnerRecord`. Its revision is the fencing token: every write of results
  compares it, so that a replaced owner or an ended batch job cannot list further results.
* ``spec/NNNN``: parts of the submitted batch job.
* ``progress/NNNNNNNNNNNN-NNNN``: partial texts of long items, from which a new owner resumes.
* ``results/NNNNNNNN``: results starting at that position. Each key is written once.

A write whose response is lost may still be applied later. It is retried unchanged until the store
responds; once one copy has been applied, the comparisons of the others fail.
"""

from collections.abc import Callable
from typing import Protocol

import msgspec

from drumbay.batches.exceptions import BatchEndedError, BatchMovedError, BatchNotFoundError
from drumbay.batches.item_failures import OwnerFailures, OwnerKey
from drumbay.batches.records import (
    BatchId,
    BatchSpec,
    ItemId,
    ItemResult,
    OwnerRecord,
    OwnerState,
    PartialText,
    ResultPage,
    StoredOwner,
    page_of,
)
from drumbay.comm.network_address import NetworkAddress
from drumbay.identifiers import Revision
from drumbay.kv.interface import Delete, ModRevisionIs, Put, RangeResult, TransactionResult
from drumbay.observability.logs import log_event
from drumbay.placement.regions import AllowedRegions

BATCH_PREFIX = "drumbay/batches/"
BATCH_INDEX_PREFIX = "drumbay/batch-index/"
OPEN_BATCH_PREFIX = "drumbay/batches-open/"
ITEM_FAILURES_PREFIX = "drumbay/item-failures/"
KEYS_PER_DELETE = 30
SPEC_PART_BYTES = 1_000_000
"""Within the store's limits of 1 MB per value and 32 operations per transaction."""
ABSENT = Revision(0)

RESULTS_PER_WRITE = 64
"""Maximum number, so that the write that contains a position can be located."""

_encoder = msgspec.msgpack.Encoder()
_owner_decoder = msgspec.msgpack.Decoder(OwnerRecord)
_spec_decoder = msgspec.msgpack.Decoder(BatchSpec)
_progress_decoder = msgspec.msgpack.Decoder(tuple[PartialText, ...])
_failures_decoder = msgspec.msgpack.Decoder(OwnerFailures)
_results_decoder = msgspec.msgpack.Decoder(tuple[ItemResult, ...])


class IndexEntry(msgspec.Struct, frozen=True, kw_only=True):
    """Submission time of a batch job, in Unix seconds."""

    submitted_at: float


_index_decoder = msgspec.msgpack.Decoder(IndexEntry)


class StoredBatch(msgspec.Struct, frozen=True, kw_only=True):
    """Complete stored state of a batch job."""

    owner: StoredOwner
    spec: BatchSpec
    results: tuple[ItemResult, ...]
    progress: tuple[PartialText, ...]


class BatchStore(Protocol):
    """The operations of a key-value store that the ledger needs."""

    async def range_prefix(self, prefix: str) -> RangeResult:
        """Return every key that starts with ``prefix``."""
        ...

    async def range_page(self, prefix: str, after: str) -> RangeResult:
        """Return one page of the keys of ``prefix`` that sort after a key."""
        ...

    async def transact(
        self, compares: tuple[ModRevisionIs, ...], operations: tuple[Put | Delete, ...]
    ) -> TransactionResult:
        """Execute ``operations`` atomically if all ``compares`` hold, else nothing."""
        ...


StoreWithin = Callable[[Callable[[], AllowedRegions]], BatchStore]
"""Returns a view of the store whose calls pass through nodes in the allowed regions only."""


class BatchLedger:
    """Reads and writes batch jobs; every method may raise ``KeyValueError``."""

    def __init__(
        self,
        store: BatchStore,
        store_within: StoreWithin | None = None,
        body_store: BatchStore | None = None,
    ) -> None:
        """Create a ledger in a key-value store.

        Args:
            store: Passes calls through any node.
            store_within: Restricts the store; without it, it cannot be restricted.
            body_store: Used for calls with bodies or texts; ``store`` by default.
        """
        self._store = store
        self._store_within = store_within
        self._body_store = body_store or store

    def within(self, allowed_regions: Callable[[], AllowedRegions]) -> "BatchLedger":
        """Return a ledger whose calls with bodies or texts stay in the allowed regions."""
        if self._store_within is None:
            return self
        return BatchLedger(self._store, self._store_within, self._store_within(allowed_regions))

    async def accept(
        self, spec: BatchSpec, owner: OwnerRecord, submitted_at: float
    ) -> Revision | None:
        """Store a new batch job; return the owner's revision, or ``None`` if the job exists."""
        key = _owner_key(spec.batch_id)
        encoded = _encoder.encode(spec)
        parts = [
            encoded[offset : offset + SPEC_PART_BYTES]
            for offset in range(0, len(encoded), SPEC_PART_BYTES)
        ]
        entry = IndexEntry(submitted_at=submitted_at)
        puts = [
            Put(key=key, value=_encoder.encode(owner)),
            Put(key=f"{BATCH_INDEX_PREFIX}{spec.batch_id}", value=_encoder.encode(entry)),
            Put(key=_open_key(owner.address, spec.batch_id), value=b""),
        ]
        for number, part in enumerate(parts):
            puts.append(Put(key=f"{BATCH_PREFIX}{spec.batch_id}/spec/{number:04d}", value=part))
        outcome = await self._body_store.transact(
            (ModRevisionIs(key=key, mod_revision=ABSENT),), tuple(puts)
        )
        return outcome.revision if outcome.succeeded else None

    async def read_owner(self, batch_id: BatchId) -> StoredOwner:
        """Return the owner of a batch job.

        Raises:
            BatchNotFoundError: The batch job does not exist.
        """
        found = await self._store.range_prefix(_owner_key(batch_id))
        for item in found.items:
            record = _owner_decoder.decode(item.value)
            return StoredOwner(record=record, revision=item.mod_revision)
        raise BatchNotFoundError(batch_id)

    async def replace_owner(
        self, batch_id: BatchId, previous: StoredOwner, record: OwnerRecord
    ) -> Revision:
        """Replace the owner record read before.

        Raises:
            BatchMovedError: The record has changed since it was read.
        """
        key = _owner_key(batch_id)
        operations: list[Put | Delete] = [Put(key=key, value=_encoder.encode(record))]
        is_open = record.state is OwnerState.OPEN
        if not is_open or record.address != previous.record.address:
            operations.append(Delete(key=_open_key(previous.record.address, batch_id)))
        if is_open:
            operations.append(Put(key=_open_key(record.address, batch_id), value=b""))
        outcome = await self._store.transact(
            (ModRevisionIs(key=key, mod_revision=previous.revision),), tuple(operations)
        )
        if not outcome.succeeded:
            raise BatchMovedError(batch_id)
        return outcome.revision

    async def read(self, batch_id: BatchId) -> StoredBatch:
        """Return the complete stored state of a batch job.

        Raises:
            BatchNotFoundError: The batch job does not exist.
        """
        found = await self._body_store.range_prefix(f"{BATCH_PREFIX}{batch_id}/")
        owner: StoredOwner | None = None
        spec = b""
        results: list[ItemResult] = []
        progress: dict[ItemId, PartialText] = {}
        for item in sorted(found.items, key=lambda entry: entry.key):
            part = item.key.removeprefix(f"{BATCH_PREFIX}{batch_id}/")
            if part == "owner":
                record = _owner_decoder.decode(item.value)
                owner = StoredOwner(record=record, revision=item.mod_revision)
            elif part.startswith("spec/"):
                spec += item.value
            elif part.startswith("progress/"):
                for piece in _progress_decoder.decode(item.value):
                    _merge_progress(progress, piece)
            else:
                results.extend(_results_decoder.decode(item.value))
        if owner is None:
            raise BatchNotFoundError(batch_id)
        return StoredBatch(
            owner=owner,
            spec=_spec_decoder.decode(spec),
            results=tuple(results),
            progress=tuple(progress.values()),
        )

    async def read_results(
        self, batch_id: BatchId, position: int, total: int, size_bytes: int
    ) -> ResultPage:
        """Return results from a position on, limited to a size but at least one if there is any.

        Reads only the store page that contains the position, since all results of a batch job may
        take several megabytes.
        """
        prefix = _result_prefix(batch_id)
        can_skip = position >= RESULTS_PER_WRITE
        after = _result_key(batch_id, position - RESULTS_PER_WRITE) if can_skip else ""
        results: list[ItemResult] = []
        while not results:
            found = await self._body_store.range_page(prefix, after)
            for item in found.items:
                start = int(item.key.removeprefix(prefix))
                listed = _results_decoder.decode(item.value)
                results.extend(listed[max(0, position - start) :])
            if not found.has_more:
                break
            after = found.items[-1].key
        page = page_of(results, total, 0, size_bytes)
        return msgspec.structs.replace(page, position=position)

    async def append(
        self,
        batch_id: BatchId,
        owner_revision: Revision,
        position: int,
        results: tuple[ItemResult, ...],
    ) -> None:
        """Write results starting at a position; retry unchanged after an unknown outcome.

        Raises:
            BatchMovedError: Another node owns the batch job.
            BatchEndedError: The batch job has ended.
        """
        owner_key = _owner_key(batch_id)
        result_key = _result_key(batch_id, position)
        outcome = await self._body_store.transact(
            (
                ModRevisionIs(key=owner_key, mod_revision=owner_revision),
                ModRevisionIs(key=result_key, mod_revision=ABSENT),
            ),
            (Put(key=result_key, value=_encoder.encode(results)),),
        )
        if outcome.succeeded:
            return
        await self.check_owner(batch_id, owner_revision)
        # The key exists: an earlier copy of this write, the only one to this key, was applied.

    async def save_progress(
        self,
        batch_id: BatchId,
        owner_revision: Revision,
        number: int,
        pieces: tuple[PartialText, ...],
    ) -> bool:
        """Store partial texts; return whether this node still owns the batch job."""
        key = f"{BATCH_PREFIX}{batch_id}/progress/{owner_revision:012d}-{number:04d}"
        outcome = await self._body_store.transact(
            (ModRevisionIs(key=_owner_key(batch_id), mod_revision=owner_revision),),
            (Put(key=key, value=_encoder.encode(pieces)),),
        )
        return outcome.succeeded

    async def save_failures(self, owner: OwnerKey, failures: OwnerFailures) -> None:
        """Store all failures of items that an owner has seen so far.

        They also count if the owner has been replaced meanwhile.
        """
        key = f"{_failures_prefix(owner.batch_id)}{owner.revision:012d}"
        await self._store.transact((), (Put(key=key, value=_encoder.encode(failures)),))

    async def read_failures(self) -> tuple[tuple[OwnerKey, OwnerFailures], ...]:
        """Return the failures of items in all batch jobs; records of another form are skipped."""
        found = await self._store.range_prefix(ITEM_FAILURES_PREFIX)
        stored: list[tuple[OwnerKey, OwnerFailures]] = []
        for item in found.items:
            try:
                stored.append((_owner_of_failures(item.key), _failures_decoder.decode(item.value)))
            except (msgspec.DecodeError, ValueError) as error:
                log_event("item_failures_invalid", level="WARNING", key=item.key, detail=str(error))
        return tuple(stored)

    async def open_batches_at(self, address: NetworkAddress) -> tuple[BatchId, ...]:
        """Return the open batch jobs whose owner has the given address."""
        prefix = _open_key(address, BatchId(""))
        found = await self._store.range_prefix(prefix)
        return tuple(BatchId(item.key.removeprefix(prefix)) for item in found.items)

    async def submitted_before(self, wall_seconds: float) -> tuple[BatchId, ...]:
        """Return the batch jobs that were submitted before a wall-clock time."""
        found = await self._store.range_prefix(BATCH_INDEX_PREFIX)
        return tuple(
            BatchId(item.key.removeprefix(BATCH_INDEX_PREFIX))
            for item in found.items
            if _index_decoder.decode(item.value).submitted_at < wall_seconds
        )

    async def delete(self, batch_id: BatchId) -> None:
        """Delete an ended batch job, its index entry last; reads its bodies to learn the keys."""
        found = await self._body_store.range_prefix(f"{BATCH_PREFIX}{batch_id}/")
        failures = await self._store.range_prefix(_failures_prefix(batch_id))
        keys = sorted((item.key for item in (*found.items, *failures.items)), reverse=True)
        for offset in range(0, len(keys), KEYS_PER_DELETE):
            chunk = keys[offset : offset + KEYS_PER_DELETE]
            await self._store.transact((), tuple(Delete(key=key) for key in chunk))
        await self._store.transact((), (Delete(key=f"{BATCH_INDEX_PREFIX}{batch_id}"),))

    async def check_owner(self, batch_id: BatchId, owner_revision: Revision) -> None:
        """Verify that the owner's revision is current.

        Raises:
            BatchMovedError: Another node owns the batch job.
            BatchEndedError: The batch job has ended.
        """
        owner = await self.read_owner(batch_id)
        if owner.record.state is OwnerState.ENDED:
            raise BatchEndedError(batch_id)
        if owner.revision != owner_revision:
            raise BatchMovedError(batch_id)


def _merge_progress(progress: dict[ItemId, PartialText], piece: PartialText) -> None:
    """Append a piece to the text that it continues; drop it if an earlier piece is missing."""
    previous = progress.get(piece.item_id)
    if previous is None or piece.first:
        if piece.first:
            progress[piece.item_id] = piece
        return
    progress[piece.item_id] = msgspec.structs.replace(
        piece, texts=previous.texts + piece.texts, first=True
    )


def _open_key(address: NetworkAddress, batch_id: BatchId) -> str:
    return f"{OPEN_BATCH_PREFIX}{address}/{batch_id}"


def _failures_prefix(batch_id: BatchId) -> str:
    return f"{ITEM_FAILURES_PREFIX}{batch_id}/"


def _owner_of_failures(key: str) -> OwnerKey:
    """Return whose failures a key holds.

    Raises:
        ValueError: The key names no revision.
    """
    batch_id, _, revision = key.removeprefix(ITEM_FAILURES_PREFIX).rpartition("/")
    return OwnerKey(batch_id=BatchId(batch_id), revision=Revision(int(revision)))


def _result_prefix(batch_id: BatchId) -> str:
    return f"{BATCH_PREFIX}{batch_id}/results/"


def _result_key(batch_id: BatchId, position: int) -> str:
    return f"{_result_prefix(batch_id)}{position:08d}"


def _owner_key(batch_id: BatchId) -> str:
    return f"{BATCH_PREFIX}{batch_id}/owner"
