"""Bounded in-memory store of a node's own decision records.

Records are stored encoded and compressed, which saves memory and garbage collection time.
"""

import zlib
from collections import OrderedDict

import msgspec

from drumbay.explain.records import DecisionRecord, SubjectKind

DEFAULT_MAX_SUBJECTS = 5_000
DEFAULT_MAX_RECORDS_PER_SUBJECT = 16
DEFAULT_MAX_BYTES = 16 * 1024 * 1024
COMPRESSION_LEVEL = 1

_decoder = msgspec.msgpack.Decoder(DecisionRecord)
_encoder = msgspec.msgpack.Encoder()


class SubjectKey(msgspec.Struct, frozen=True):
    """Identifies the subject of a list of records."""

    kind: SubjectKind
    subject_id: str


class DecisionStore:
    """Keeps the newest records of the most recently updated subjects.

    Args:
        max_subjects: Subjects to keep; the least recently updated one is evicted.
        max_records_per_subject: Records to keep per subject; the oldest is dropped.
        max_bytes: Total size of the compressed records; the least recently updated
            subjects are evicted.
    """

    def __init__(
        self,
        max_subjects: int = DEFAULT_MAX_SUBJECTS,
        max_records_per_subject: int = DEFAULT_MAX_RECORDS_PER_SUBJECT,
        max_bytes: int = DEFAULT_MAX_BYTES,
    ) -> None:
        """Create an empty store."""
        self._max_subjects = max_subjects
        self._max_records = max_records_per_subject
        self._max_bytes = max_bytes
        self._records: OrderedDict[SubjectKey, list[bytes]] = OrderedDict()
        self._size_bytes = 0

    @property
    def size_bytes(self) -> int:
        """Return the total size of the compressed records."""
        return self._size_bytes

    def add(self, record: DecisionRecord) -> None:
        """Add a record and evict the oldest ones above the limits."""
        key = SubjectKey(record.subject_kind, record.subject_id)
        records = self._records.setdefault(key, [])
        encoded = zlib.compress(_encoder.encode(record), COMPRESSION_LEVEL)
        records.append(encoded)
        self._size_bytes += len(encoded)
        self._records.move_to_end(key)
        if len(records) > self._max_records:
            self._size_bytes -= len(records.pop(0))
        while self._is_too_large():
            _, evicted = self._records.popitem(last=False)
            self._size_bytes -= sum(len(encoded_record) for encoded_record in evicted)

    def _is_too_large(self) -> bool:
        if len(self._records) > self._max_subjects:
            return True
        return self._size_bytes > self._max_bytes and len(self._records) > 1

    def find(self, kind: SubjectKind, subject_id: str) -> tuple[DecisionRecord, ...]:
        """Return the records of one subject, oldest first."""
        records = self._records.get(SubjectKey(kind, subject_id), ())
        return tuple(_decoder.decode(zlib.decompress(encoded)) for encoded in records)
