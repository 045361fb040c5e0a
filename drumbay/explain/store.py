"""Bounded in-memory store of a node's own decision records.

Records are kept encoded and compressed: as objects they take about ten times the memory, and
the garbage collector would walk through them.
"""

import zlib
from collections import OrderedDict

import msgspec

from drumbay.explain.records import DecisionRecord, SubjectKind

DEFAULT_MAXIMUM_SUBJECTS = 5_000
DEFAULT_MAXIMUM_RECORDS_PER_SUBJECT = 16
DEFAULT_MAXIMUM_BYTES = 16 * 1024 * 1024
COMPRESSION_LEVEL = 1

_decoder = msgspec.msgpack.Decoder(DecisionRecord)
_encoder = msgspec.msgpack.Encoder()


class SubjectKey(msgspec.Struct, frozen=True):
    """What a list of records is about."""

    kind: SubjectKind
    subject_id: str


class DecisionStore:
    """Keeps the newest records of the most recently decided subjects.

    Args:
        maximum_subjects: Subjects kept; the least recently decided is dropped.
        maximum_records_per_subject: Records kept per subject; the oldest is dropped.
        maximum_bytes: Bytes of the compressed records kept; the least recently decided
            subjects are dropped.
    """

    def __init__(
        self,
        maximum_subjects: int = DEFAULT_MAXIMUM_SUBJECTS,
        maximum_records_per_subject: int = DEFAULT_MAXIMUM_RECORDS_PER_SUBJECT,
        maximum_bytes: int = DEFAULT_MAXIMUM_BYTES,
    ) -> None:
        """Create an empty store."""
        self._maximum_subjects = maximum_subjects
        self._maximum_records = maximum_records_per_subject
        self._maximum_bytes = maximum_bytes
        self._records: OrderedDict[SubjectKey, list[bytes]] = OrderedDict()
        self._size_bytes = 0

    @property
    def size_bytes(self) -> int:
        """Return the bytes of the compressed records."""
        return self._size_bytes

    def add(self, record: DecisionRecord) -> None:
        """Keep a record, dropping the oldest ones over the bounds."""
        key = SubjectKey(record.subject_kind, record.subject_id)
        records = self._records.setdefault(key, [])
        encoded = zlib.compress(_encoder.encode(record), COMPRESSION_LEVEL)
        records.append(encoded)
        self._size_bytes += len(encoded)
        self._records.move_to_end(key)
        if len(records) > self._maximum_records:
            self._size_bytes -= len(records.pop(0))
        while self._is_too_large():
            _, dropped = self._records.popitem(last=False)
            self._size_bytes -= sum(len(each) for each in dropped)

    def _is_too_large(self) -> bool:
        if len(self._records) > self._maximum_subjects:
            return True
        return self._size_bytes > self._maximum_bytes and len(self._records) > 1

    def find(self, kind: SubjectKind, subject_id: str) -> tuple[DecisionRecord, ...]:
        """Return the records of one subject, oldest first."""
        records = self._records.get(SubjectKey(kind, subject_id), ())
        return tuple(_decoder.decode(zlib.decompress(encoded)) for encoded in records)
