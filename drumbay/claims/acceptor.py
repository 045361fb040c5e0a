"""The state machine of one claim replica: epochs and the table of claimed keys.

It does no input or output: a method takes the replica's running time and returns a reply with
the rows that must be durable before the reply is sent.
"""

from bisect import bisect_right

import msgspec

from drumbay.claims.exceptions import WrongEpochError, WrongStoreError
from drumbay.claims.messages import (
    ActivateReplica,
    ChangeRecorded,
    ClaimAlreadyAnswered,
    ClaimGranted,
    ClaimHeld,
    ClaimKey,
    ClaimRejected,
    ClaimRejection,
    ExportRecords,
    ImportRecords,
    JournalStarted,
    RecordsExported,
    RecordsImported,
    ReleaseClaim,
    ReplicaActivated,
    ReplicaSealed,
    SealReplica,
    StartJournal,
    StoreAnswer,
)
from drumbay.claims.record_table import ClaimDecision, ClaimVote, RecordTable, TableLimits
from drumbay.claims.records import EpochState, KeyRecord
from drumbay.comm.interface import Message
from drumbay.identifiers import IdempotencyKey
from drumbay.storage.interface import StoreId

EXPORT_PAGE_BYTES = 64 * 1024
"""A page ends with the record that reaches this size. It bounds how long one import blocks the
event loop of the receiving replica."""


class AcceptorDecision(msgspec.Struct, frozen=True, kw_only=True):
    """A reply, and the rows to make durable before it is sent.

    Attributes:
        reply: The reply to send.
        rows: Rows to append; ``None`` if the reply depends on no durable state.
    """

    reply: Message
    rows: tuple[bytes, ...] | None = None


_encode = msgspec.msgpack.Encoder().encode
_row_decoder = msgspec.msgpack.Decoder(KeyRecord | EpochState)


class Acceptor:
    """Votes on claims according to the epochs and records of one store."""

    def __init__(self, store_id: StoreId, limits: TableLimits) -> None:
        """Create the acceptor of a new store."""
        self.store_id = store_id
        self.table = RecordTable(limits)
        self.epochs = EpochState()
        self._journal_id = ""
        # Keys of the export in progress, and the change journal it is limited to.
        self._export_keys: list[IdempotencyKey] | None = None
        self._export_journal_id = ""

    def load_row(self, row: bytes) -> float:
        """Apply a durable row at start-up; return the running time it was written at."""
        loaded = _row_decoder.decode(row)
        if isinstance(loaded, EpochState):
            self.epochs = loaded
            return 0.0
        self.table.put(loaded)
        return loaded.updated_at_seconds

    def snapshot_rows(self) -> list[bytes]:
        """Return the rows from which the whole state can be restored."""
        return [_encode(self.epochs), *self.table.rows()]

    def claim(self, request: ClaimKey, now: float) -> AcceptorDecision:
        """Vote on a claim."""
        rejection = self._check_request(request)
        if rejection is not None:
            return self._reject(rejection)
        return self._reply_to_claim(self.table.claim(request.key, request.claim, now))

    def _check_request(self, request: ClaimKey) -> ClaimRejection | None:
        if request.store_id != self.store_id:
            return ClaimRejection.WRONG_STORE
        if request.epoch != self.epochs.active_epoch:
            return ClaimRejection.WRONG_EPOCH
        return ClaimRejection.SEALED if self.epochs.sealed else None

    def _reject(self, reason: ClaimRejection) -> AcceptorDecision:
        return AcceptorDecision(
            reply=ClaimRejected(reason=reason, active_epoch=self.epochs.active_epoch)
        )

    def _reply_to_claim(self, decision: ClaimDecision) -> AcceptorDecision:
        record = decision.record
        if decision.row is not None:
            granted = ClaimGranted(released=record.released)
            return AcceptorDecision(reply=granted, rows=(decision.row,))
        if record.answered is not None:
            return AcceptorDecision(reply=ClaimAlreadyAnswered(answered=record.answered))
        if decision.vote is ClaimVote.HELD:
            held = ClaimHeld(holders=record.holders, released=record.released)
            return AcceptorDecision(reply=held)
        if decision.vote is ClaimVote.RELEASED:
            return self._reject(ClaimRejection.ATTEMPT_RELEASED)
        return self._reject(ClaimRejection.FULL)

    def release(self, request: ReleaseClaim, now: float) -> AcceptorDecision:
        """Record that attempts were abandoned; accepted in any epoch.

        Raises:
            WrongStoreError: The request is meant for another store.
        """
        self._require_store(request.store_id)
        row = self.table.release(request.key, request.attempt_ids, now)
        return self._acknowledge(None if row is None else (row,))

    def store_answer(self, request: StoreAnswer, now: float) -> AcceptorDecision:
        """Record that an attempt has run; accepted in any epoch.

        Raises:
            WrongStoreError: The request is meant for another store.
        """
        self._require_store(request.store_id)
        return self._acknowledge((self.table.store_answer(request.key, request.answered, now),))

    def _acknowledge(self, rows: tuple[bytes, ...] | None) -> AcceptorDecision:
        reply = ChangeRecorded(active_epoch=self.epochs.active_epoch, sealed=self.epochs.sealed)
        return AcceptorDecision(reply=reply, rows=rows)

    def seal(self, request: SealReplica) -> AcceptorDecision:
        """Permanently stop granting claims in an epoch.

        A replica that is active in a later epoch counts as sealed: it grants claims only in
        its active epoch, which never decreases. An interrupted change can therefore be
        resumed when only some of the target members were activated.

        Raises:
            WrongStoreError: The request is meant for another store.
            WrongEpochError: The replica has not reached that epoch.
        """
        self._require_store(request.store_id)
        if request.epoch > self.epochs.active_epoch:
            raise WrongEpochError(f"active in {self.epochs.active_epoch}, not {request.epoch}")
        sealed_epoch = max(request.epoch, self.epochs.sealed_epoch)
        self.epochs = EpochState(active_epoch=self.epochs.active_epoch, sealed_epoch=sealed_epoch)
        return AcceptorDecision(reply=ReplicaSealed(), rows=(_encode(self.epochs),))

    def start_journal(self, request: StartJournal) -> AcceptorDecision:
        """Start recording which keys change, replacing an earlier journal.

        Raises:
            WrongStoreError: The request is meant for another store.
        """
        self._require_store(request.store_id)
        self._journal_id = request.journal_id
        self.table.start_journal()
        return AcceptorDecision(reply=JournalStarted())

    def export(self, request: ExportRecords, now: float) -> AcceptorDecision:
        """Return a page of records.

        Raises:
            WrongStoreError: The request is meant for another store.
            WrongEpochError: The replica may still grant claims in that epoch, and the
                export is not a preliminary one.
        """
        self._require_store(request.store_id)
        if request.epoch > self.epochs.sealed_epoch and not request.preliminary:
            raise WrongEpochError(f"epoch {request.epoch} is not sealed here")
        keys = self._keys_to_export(request)
        start = bisect_right(keys, request.after_key)
        return AcceptorDecision(reply=self._export_page(keys, start, now))

    def _keys_to_export(self, request: ExportRecords) -> list[IdempotencyKey]:
        """Return the sorted keys of an export, computed when its first page is read."""
        keys = self._export_keys
        in_progress = request.after_key != "" and request.journal_id == self._export_journal_id
        if keys is None or not in_progress:
            keys = self._journaled_keys(request.journal_id)
            self._export_keys = keys
            self._export_journal_id = request.journal_id
        return keys

    def _journaled_keys(self, journal_id: str) -> list[IdempotencyKey]:
        """Return the keys of a journal, or all keys if that journal is not available."""
        journaled = self.table.journal_keys()
        if journaled is None or journal_id != self._journal_id:
            return self.table.keys()
        return journaled

    def _export_page(self, keys: list[IdempotencyKey], start: int, now: float) -> RecordsExported:
        records: list[KeyRecord] = []
        size_bytes = 0
        for index in range(start, len(keys)):
            record = self.table.get(keys[index], now)
            if record is None:
                continue
            age_seconds = now - record.updated_at_seconds
            records.append(msgspec.structs.replace(record, updated_at_seconds=-age_seconds))
            size_bytes += len(_encode(record))
            if size_bytes >= EXPORT_PAGE_BYTES:
                return RecordsExported(records=tuple(records), complete=False)
        return RecordsExported(records=tuple(records), complete=True)

    def import_records(self, request: ImportRecords, now: float) -> AcceptorDecision:
        """Merge records of the epoch before ``request.epoch``.

        A merge after the activation is safe, since it only adds facts.

        Raises:
            WrongStoreError: The request is meant for another store.
            WrongEpochError: The replica has passed that epoch.
        """
        self._require_store(request.store_id)
        self._require_epoch_not_older(request.epoch)
        merged = (self._merge(record, now) for record in request.records)
        rows = tuple(row for row in merged if row is not None)
        return AcceptorDecision(reply=RecordsImported(), rows=rows)

    def _merge(self, record: KeyRecord, now: float) -> bytes | None:
        rebased = msgspec.structs.replace(
            record, updated_at_seconds=now + record.updated_at_seconds
        )
        return self.table.merge(rebased, now)

    def activate(self, request: ActivateReplica) -> AcceptorDecision:
        """Start serving an epoch, once all records of the previous one were imported.

        Raises:
            WrongStoreError: The request is meant for another store.
            WrongEpochError: The replica has passed that epoch.
        """
        self._require_store(request.store_id)
        self._require_epoch_not_older(request.epoch)
        if request.epoch > self.epochs.active_epoch:
            self.epochs = EpochState(
                active_epoch=request.epoch, sealed_epoch=self.epochs.sealed_epoch
            )
            self._export_keys = None
            self._journal_id = ""
            self.table.stop_journal()
        return AcceptorDecision(reply=ReplicaActivated(), rows=(_encode(self.epochs),))

    def _require_store(self, store_id: StoreId) -> None:
        if store_id != self.store_id:
            raise WrongStoreError("the request is meant for another store")

    def _require_epoch_not_older(self, epoch: int) -> None:
        if epoch < self.epochs.active_epoch:
            raise WrongEpochError(f"active in {self.epochs.active_epoch}, not {epoch}")
