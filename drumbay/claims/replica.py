"""Serves the requests to a claim replica; replies are sent once the acceptor's rows are durable."""

from collections.abc import Callable

from drumbay.claims.acceptor import Acceptor, AcceptorDecision
from drumbay.claims.exceptions import ReplicaNotReadyError
from drumbay.claims.messages import (
    ActivateReplica,
    ClaimKey,
    DescribeReplica,
    ExportRecords,
    ImportRecords,
    ReleaseClaim,
    ReplicaDescription,
    SealReplica,
    StartJournal,
    StoreAnswer,
)
from drumbay.claims.record_table import TableLimits
from drumbay.claims.store import ReplicaStore
from drumbay.clock import Clock
from drumbay.comm.interface import Message, Transport
from drumbay.identifiers import Epoch, NodeId
from drumbay.observability.logs import log_event
from drumbay.storage.interface import RecordLog, StorageCorruptError, StorageError, StoreId
from drumbay.tasks import TaskOwner

REOPEN_INTERVAL_SECONDS = 5.0
"""Time between attempts to reopen a store after a storage failure."""

NO_VOTING_EPOCH = Epoch(-1)
"""Matches no epoch of a request."""

OpenLog = Callable[[], RecordLog]


class ClaimReplica:
    """Votes on claims with the state of one store.

    Ages of records count only the time in which the replica was running, so that neither a jump
    of the wall clock nor a long stop expires a claim early.
    """

    def __init__(
        self,
        *,
        node_id: NodeId,
        clock: Clock,
        transport: Transport,
        open_log: OpenLog,
        limits: TableLimits,
        task_owner: TaskOwner,
    ) -> None:
        """Create a replica that does not serve yet.

        Args:
            node_id: The node the replica runs on.
            clock: Time of this process.
            transport: Receives the requests.
            open_log: Opens the replica's log; called again after a storage failure.
            limits: Limits of memory and retention.
            task_owner: Owner of the replica's tasks.
        """
        self._node_id = node_id
        self._clock = clock
        self._transport = transport
        self._open_log = open_log
        self._limits = limits
        self._task_owner = task_owner
        self._store: ReplicaStore | None = None
        self._last_written_store_id: StoreId | None = None
        self._opened_at_seconds = 0.0

    def start(self) -> None:
        """Open the store, with retries if that fails, and serve requests."""
        self._open()
        if self._store is None:
            self._task_owner.spawn(self._reopen(None), "claim-replica-reopen")
        transport = self._transport
        transport.handle_calls(ClaimKey, self._claim)
        transport.handle_calls(ReleaseClaim, self._release)
        transport.handle_calls(StoreAnswer, self._store_answer)
        transport.handle_calls(DescribeReplica, self._describe)
        transport.handle_calls(SealReplica, self._seal)
        transport.handle_calls(StartJournal, self._start_journal)
        transport.handle_calls(ExportRecords, self._export)
        transport.handle_calls(ImportRecords, self._import)
        transport.handle_calls(ActivateReplica, self._activate)

    async def close(self) -> None:
        """Stop voting and close the store."""
        store, self._store = self._store, None
        if store is not None:
            await store.close()

    @property
    def acceptor(self) -> Acceptor:
        """Return the replica's state.

        Raises:
            ReplicaNotReadyError: The store is not open.
        """
        return self._require_store().acceptor

    def voting_epoch(self) -> Epoch:
        """Return the epoch in which this store may vote; ``NO_VOTING_EPOCH`` if there is none.

        Other replicas on the same disk use this epoch, so that a seal or a lost disk stops
        them too.
        """
        if self._store is None or self.acceptor.epochs.sealed:
            return NO_VOTING_EPOCH
        return self.acceptor.epochs.active_epoch

    @property
    def size_bytes(self) -> int:
        """Return the size on disk in bytes."""
        return self._require_store().size_bytes

    def create_acceptor(self, log: RecordLog) -> Acceptor:
        """Return an empty acceptor for a log."""
        return Acceptor(log.store_id, self._limits)

    def _require_store(self) -> ReplicaStore:
        if self._store is None:
            raise ReplicaNotReadyError("the claim store is not open")
        return self._store

    def _now(self) -> float:
        """Return the replica's running time in seconds."""
        elapsed_seconds = self._clock.monotonic() - self._opened_at_seconds
        return self._require_store().running_seconds + elapsed_seconds

    def _open(self) -> None:
        try:
            store = ReplicaStore(self._open_log(), self.create_acceptor)
            self._check_identity(store)
        except StorageError as error:
            log_event("claim_store_failed", level="ERROR", code=error.code, detail=str(error))
            return
        self._store = store
        if not store.is_new:
            self._last_written_store_id = store.acceptor.store_id
        self._opened_at_seconds = self._clock.monotonic()
        log_event(
            "claim_store_opened",
            node=self._node_id,
            records=len(store.acceptor.table),
            epoch=store.acceptor.epochs.active_epoch,
        )

    def _check_identity(self, store: ReplicaStore) -> None:
        """Reject a store that lost its records but kept its identity while this process ran.

        Raises:
            StorageCorruptError: The store is empty but has its earlier identity.
        """
        if store.is_new and store.acceptor.store_id == self._last_written_store_id:
            self._task_owner.spawn(store.close(), "claim-replica-close")
            raise StorageCorruptError("the store was emptied; restart to join as a new one")

    async def make_durable(self, decision: AcceptorDecision) -> Message:
        """Return the reply of a decision once its rows are on the disk.

        Raises:
            StorageError: The rows could not be written; the replica stops voting until its
                state has been read back from the disk.
        """
        store = self._require_store()
        if decision.rows is None:
            return decision.reply
        try:
            await store.append(decision.rows)
        except StorageError as error:
            self._handle_storage_failure(store, error)
            raise
        self._last_written_store_id = store.acceptor.store_id
        if store.snapshot_is_due:
            self._task_owner.spawn(self._take_snapshot(store), "claim-replica-snapshot")
        return decision.reply

    async def _take_snapshot(self, store: ReplicaStore) -> None:
        if not store.snapshot_is_due:
            return
        try:
            await store.take_snapshot()
        except StorageError as error:
            self._handle_storage_failure(store, error)

    def _handle_storage_failure(self, store: ReplicaStore, error: StorageError) -> None:
        if self._store is not store:
            return
        self._store = None
        log_event("claim_store_failed", level="ERROR", code=error.code, detail=str(error))
        self._task_owner.spawn(self._reopen(store), "claim-replica-reopen")

    async def _reopen(self, failed: ReplicaStore | None) -> None:
        if failed is not None:
            await failed.close()
        while self._store is None:
            await self._clock.sleep(REOPEN_INTERVAL_SECONDS)
            self._open()

    async def _claim(self, request: ClaimKey) -> Message:
        return await self.make_durable(self.acceptor.claim(request, self._now()))

    async def _release(self, request: ReleaseClaim) -> Message:
        return await self.make_durable(self.acceptor.release(request, self._now()))

    async def _store_answer(self, request: StoreAnswer) -> Message:
        return await self.make_durable(self.acceptor.store_answer(request, self._now()))

    async def _seal(self, request: SealReplica) -> Message:
        return await self.make_durable(self.acceptor.seal(request))

    async def _start_journal(self, request: StartJournal) -> Message:
        return await self.make_durable(self.acceptor.start_journal(request))

    async def _export(self, request: ExportRecords) -> Message:
        return await self.make_durable(self.acceptor.export(request, self._now()))

    async def _import(self, request: ImportRecords) -> Message:
        return await self.make_durable(self.acceptor.import_records(request, self._now()))

    async def _activate(self, request: ActivateReplica) -> Message:
        return await self.make_durable(self.acceptor.activate(request))

    async def _describe(self, request: DescribeReplica) -> Message:
        acceptor = self.acceptor
        return ReplicaDescription(
            node_id=self._node_id,
            store_id=acceptor.store_id,
            active_epoch=acceptor.epochs.active_epoch,
            sealed_epoch=acceptor.epochs.sealed_epoch,
            records=len(acceptor.table),
        )
