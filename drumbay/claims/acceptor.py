"""The decisions of one replica: epochs guard the table of keys.

Pure: every method takes the replica's running time and returns a reply with the rows that
must be durable before the reply is sent.
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
from drumbay.claims.record_table import ClaimDecision, ClaimVerdict, RecordTable, TableLimits
from drumbay.claims.records import EpochState, KeyRecord
from drumbay.comm.interface import Message
from drumbay.identifiers import IdempotencyKey
from drumbay.storage.interface import StoreId

EXPORT_PAGE_BYTES = 64 * 1024
"""A page ends with the record that reaches this size; it bounds how long one import keeps
the event loop of a serving replica busy."""


class AcceptorDecision(msgspec.Struct, frozen=True, kw_only=True):
    """A reply, and the rows to make durable before it is sent.

    Attributes:
        reply: What to answer.
        rows: Rows to append; ``None`` if the reply promises nothing.
    """

    reply: Message
    rows: tuple[bytes, ...] | None = None


_encode = msgspec.msgpack.Encoder().encode
_row_decoder = msgspec.msgpack.Decoder(KeyRecord | EpochState)


class Acceptor:
    """What one store has promised, and what it may still promise."""

    def __init__(self, store_id: StoreId, limits: TableLimits) -> None:
        """Create the acceptor of a new store."""
        self.store_id = store_id
        self.table = RecordTable(limits)
        self.epochs = EpochState()
        self._journal_id = ""
        # The keys of the export under way, and the journal it is limited to.
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
        """Return the rows that stand for the whole state."""
        return [_encode(self.epochs), *self.table.rows()]

    def claim(self, request: ClaimKey, now: float) -> AcceptorDecision:
        """Vote on a claim."""
        rejection = self._rejection_of(request)
        if rejection is not None:
            return self._reject(rejection)
        return self._reply_to_claim(self.table.claim(request.key, request.claim, now))

    def _rejection_of(self, request: ClaimKey) -> ClaimRejection | None:
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
        if decision.verdict is ClaimVerdict.HELD:
            held = ClaimHeld(holders=record.holders, released=record.released)
            return AcceptorDecision(reply=held)
        if decision.verdict is ClaimVerdict.RELEASED:
            return self._reject(ClaimRejection.ATTEMPT_RELEASED)
        return self._reject(ClaimRejection.FULL)

    def release(self, request: ReleaseClaim, now: float) -> AcceptorDecision:
        """Remember attempts that have given up, in whatever epoch.

        Raises:
            WrongStoreError: The request is meant for another store.
        """
        self._require_store(request.store_id)
        row = self.table.release(request.key, request.attempt_ids, now)
        return self._recorded(None if row is None else (row,))

    def store_answer(self, request: StoreAnswer, now: float) -> AcceptorDecision:
        """Remember that an attempt has run, in whatever epoch: it is a fact.

        Raises:
            WrongStoreError: The request is meant for another store.
        """
        self._require_store(request.store_id)
        return self._recorded((self.table.store_answer(request.key, request.answered, now),))

    def _recorded(self, rows: tuple[bytes, ...] | None) -> AcceptorDecision:
        reply = ChangeRecorded(active_epoch=self.epochs.active_epoch, sealed=self.epochs.sealed)
        return AcceptorDecision(reply=reply, rows=rows)

    def seal(self, request: SealReplica) -> AcceptorDecision:
        """Stop granting in an epoch for good.

        A replica that takes part in a later epoch has stopped already: it grants only in
        its active epoch, and that only grows. An interrupted change can so be taken up
        again when some members are activated and others are not.

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
        """Note from now on which keys change; an earlier journal ends.

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
        return AcceptorDecision(reply=self._page_from(keys, start, now))

    def _keys_to_export(self, request: ExportRecords) -> list[IdempotencyKey]:
        """Return the sorted keys of an export; they are computed at its first page."""
        keys = self._export_keys
        under_way = request.after_key != "" and request.journal_id == self._export_journal_id
        if keys is None or not under_way:
            keys = self._changed_keys(request.journal_id)
            self._export_keys = keys
            self._export_journal_id = request.journal_id
        return keys

    def _changed_keys(self, journal_id: str) -> list[IdempotencyKey]:
        """Return the keys of a journal, or all keys if it is not being kept."""
        noted = self.table.journal_keys()
        if noted is None or journal_id != self._journal_id:
            return self.table.keys()
        return noted

    def _page_from(self, keys: list[IdempotencyKey], start: int, now: float) -> RecordsExported:
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

        A merge after the activation is harmless: it can only add what is already true.

        Raises:
            WrongStoreError: The request is meant for another store.
            WrongEpochError: The replica has passed that epoch.
        """
        self._require_store(request.store_id)
        self._require_not_passed(request.epoch)
        merged = (self._merge(record, now) for record in request.records)
        rows = tuple(row for row in merged if row is not None)
        return AcceptorDecision(reply=RecordsImported(), rows=rows)

    def _merge(self, record: KeyRecord, now: float) -> bytes | None:
        dated = msgspec.structs.replace(record, updated_at_seconds=now + record.updated_at_seconds)
        return self.table.merge(dated, now)

    def activate(self, request: ActivateReplica) -> AcceptorDecision:
        """Take part in an epoch whose predecessor's records have all been imported.

        Raises:
            WrongStoreError: The request is meant for another store.
            WrongEpochError: The replica has passed that epoch.
        """
        self._require_store(request.store_id)
        self._require_not_passed(request.epoch)
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

    def _require_not_passed(self, epoch: int) -> None:
        if epoch < self.epochs.active_epoch:
            raise WrongEpochError(f"active in {self.epochs.active_epoch}, not {epoch}")
