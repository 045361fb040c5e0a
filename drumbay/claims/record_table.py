"""The records of one replica: a write-once register per idempotency key.

It does no input or output: it takes the replica's running time and returns the rows that must be
durable before the reply is sent. Each key is an acceptor of single-decree consensus with a single
ballot: if competing claims split the votes, all of them are abandoned.
"""

from enum import StrEnum

import msgspec

from drumbay.claims.exceptions import TableFullError
from drumbay.claims.records import (
    MAX_RELEASED_ATTEMPTS,
    AnsweredClaim,
    Claim,
    KeyRecord,
    merge_records,
)
from drumbay.identifiers import AttemptId, IdempotencyKey

EXPIRY_INTERVAL_SECONDS = 1.0
"""Minimum time between two removals of expired records."""

MERGED_AGE_TOLERANCE_SECONDS = 60.0
"""An imported record that differs only by this much age is not written again."""

MAX_JOURNAL_KEYS = 200_000
"""A journal that exceeds this size is discarded."""


class TableLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of one replica.

    Attributes:
        retention_seconds: How long a key is kept after its last change.
        max_records: Maximum number of keys; beyond it, claims on new keys are refused.
        max_bytes: Maximum encoded size; beyond it, claims on new keys are refused and
            answers are recorded without their body.
        max_answer_bytes: Larger answers are recorded without their body.
    """

    retention_seconds: float = 86_400.0
    max_records: int = 500_000
    max_bytes: int = 256 * 1024**2
    max_answer_bytes: int = 64 * 1024


class ClaimVote(StrEnum):
    """How a replica votes on a claim."""

    GRANTED = "granted"
    HELD = "held"
    ANSWERED = "answered"
    RELEASED = "released"
    FULL = "full"


class ClaimDecision(msgspec.Struct, frozen=True, kw_only=True):
    """A vote, the key's record after it, and the row to make durable before the reply."""

    vote: ClaimVote
    record: KeyRecord
    row: bytes | None = None


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(KeyRecord).decode


class RecordTable:
    """The records of one replica, held in their encoded form.

    Encoded records need less memory than objects, and a snapshot only copies references. The
    dictionary is ordered by the last change, oldest first. An imported record may come after
    newer ones: it is treated as absent once expired, but removed only after those before it.
    """

    def __init__(self, limits: TableLimits) -> None:
        """Create an empty table."""
        self._limits = limits
        self._rows: dict[IdempotencyKey, bytes] = {}
        self._size_bytes = 0
        self._next_expiry_seconds = 0.0
        self._journal: dict[IdempotencyKey, None] | None = None

    def __len__(self) -> int:
        """Return the number of records, including expired ones that were not removed yet."""
        return len(self._rows)

    @property
    def size_bytes(self) -> int:
        """Return the encoded size of all records."""
        return self._size_bytes

    def rows(self) -> list[bytes]:
        """Return every record in its encoded form."""
        return list(self._rows.values())

    def keys(self) -> list[IdempotencyKey]:
        """Return every key, sorted."""
        return sorted(self._rows)

    def start_journal(self) -> None:
        """Start recording which keys change."""
        self._journal = {}

    def stop_journal(self) -> None:
        """Discard the journal."""
        self._journal = None

    def journal_keys(self) -> list[IdempotencyKey] | None:
        """Return the keys that changed since the journal began, sorted; ``None`` without one."""
        return None if self._journal is None else sorted(self._journal)

    def _record_change(self, key: IdempotencyKey) -> None:
        if self._journal is None:
            return
        self._journal[key] = None
        if len(self._journal) > MAX_JOURNAL_KEYS:
            self._journal = None

    def get(self, key: IdempotencyKey, now: float) -> KeyRecord | None:
        """Return the record of a key unless it has expired."""
        row = self._rows.get(key)
        if row is None:
            return None
        record = _decode(row)
        return None if self._is_expired(record, now) else record

    def put(self, record: KeyRecord) -> bytes:
        """Set a key's record and return the row to make durable."""
        row = _encode(record)
        replaced = self._rows.pop(record.key, b"")
        self._rows[record.key] = row
        self._size_bytes += len(row) - len(replaced)
        self._record_change(record.key)
        return row

    def claim(self, key: IdempotencyKey, claim: Claim, now: float) -> ClaimDecision:
        """Grant a claim unless the key has another unreleased claim or an answer."""
        self.expire(now)
        found = self.get(key, now)
        record = found or KeyRecord(key=key, updated_at_seconds=now)
        vote = self._vote_on(record, claim)
        if vote is ClaimVote.GRANTED and found is None and self._is_full():
            vote = ClaimVote.FULL
        if vote is not ClaimVote.GRANTED:
            return ClaimDecision(vote=vote, record=record)
        granted = msgspec.structs.replace(record, updated_at_seconds=now, holders=(claim,))
        # NOTE: a repeated claim is written again, because its first write may be in progress and
        # the reply must not be sent before it is durable.
        return ClaimDecision(vote=vote, record=granted, row=self.put(granted))

    @staticmethod
    def _vote_on(record: KeyRecord, claim: Claim) -> ClaimVote:
        if record.answered is not None:
            return ClaimVote.ANSWERED
        if claim.attempt_id in record.released:
            return ClaimVote.RELEASED
        if any(holder.attempt_id != claim.attempt_id for holder in record.holders):
            return ClaimVote.HELD
        return ClaimVote.GRANTED

    def release(
        self, key: IdempotencyKey, attempt_ids: tuple[AttemptId, ...], now: float
    ) -> bytes | None:
        """Record that attempts were abandoned; return the row to make durable.

        Nothing is recorded for an unknown key while the table is full: a lost release
        does not affect safety (see :data:`~drumbay.claims.records.MAX_RELEASED_ATTEMPTS`).
        """
        found = self.get(key, now)
        if found is None and self._is_full():
            return None
        record = found or KeyRecord(key=key, updated_at_seconds=now)
        if record.answered is not None:
            return None
        new = tuple(each for each in attempt_ids if each not in record.released)
        remaining = tuple(each for each in record.holders if each.attempt_id not in attempt_ids)
        released = (record.released + new)[-MAX_RELEASED_ATTEMPTS:]
        return self.put(
            msgspec.structs.replace(
                record, updated_at_seconds=now, holders=remaining, released=released
            )
        )

    def store_answer(self, key: IdempotencyKey, answered: AnsweredClaim, now: float) -> bytes:
        """Record that an attempt has run; return the row to make durable.

        Raises:
            TableFullError: The key is new and the table is full.
        """
        found = self.get(key, now)
        if found is None and self._is_full():
            raise TableFullError("no room for another key")
        record = found or KeyRecord(key=key, updated_at_seconds=now)
        stored = record.answered or self._without_oversized_body(answered)
        return self.put(
            msgspec.structs.replace(record, updated_at_seconds=now, holders=(), answered=stored)
        )

    def merge(self, imported: KeyRecord, now: float) -> bytes | None:
        """Merge another replica's record of a key.

        Returns:
            The row to make durable; ``None`` if the record did not change.
        """
        own = self.get(imported.key, now)
        if own is None:
            return self.put(imported)
        merged = merge_records(own, imported)
        age_difference_seconds = merged.updated_at_seconds - own.updated_at_seconds
        with_own_timestamp = msgspec.structs.replace(
            merged, updated_at_seconds=own.updated_at_seconds
        )
        if with_own_timestamp == own and age_difference_seconds <= MERGED_AGE_TOLERANCE_SECONDS:
            return None
        return self.put(merged)

    def expire(self, now: float) -> int:
        """Remove expired records, oldest first; return how many were removed."""
        if now < self._next_expiry_seconds:
            return 0
        self._next_expiry_seconds = now + EXPIRY_INTERVAL_SECONDS
        expired: list[IdempotencyKey] = []
        for key, row in self._rows.items():
            if not self._is_expired(_decode(row), now):
                break
            expired.append(key)
        for key in expired:
            self._size_bytes -= len(self._rows.pop(key))
        return len(expired)

    def _is_expired(self, record: KeyRecord, now: float) -> bool:
        return now - record.updated_at_seconds > self._limits.retention_seconds

    def _is_full(self) -> bool:
        too_many_records = len(self._rows) >= self._limits.max_records
        return too_many_records or self._size_bytes >= self._limits.max_bytes

    def _without_oversized_body(self, answered: AnsweredClaim) -> AnsweredClaim:
        answer = answered.answer
        if answer is None:
            return answered
        fits = len(answer.body) <= self._limits.max_answer_bytes
        if fits and self._size_bytes + len(answer.body) <= self._limits.max_bytes:
            return answered
        return msgspec.structs.replace(answered, answer=None)
