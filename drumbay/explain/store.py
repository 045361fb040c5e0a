"""Bounded in-memory store of a node's own decision records."""

from collections import OrderedDict

import msgspec

from drumbay.explain.records import DecisionRecord, SubjectKind

DEFAULT_MAXIMUM_SUBJECTS = 5_000
DEFAULT_MAXIMUM_RECORDS_PER_SUBJECT = 16


class SubjectKey(msgspec.Struct, frozen=True):
    """What a list of records is about."""

    kind: SubjectKind
    subject_id: str


class DecisionStore:
    """Keeps the newest records of the most recently decided subjects.

    Args:
        maximum_subjects: Subjects kept; the least recently decided is dropped.
        maximum_records_per_subject: Records kept per subject; the oldest is dropped.
    """

    def __init__(
        self,
        maximum_subjects: int = DEFAULT_MAXIMUM_SUBJECTS,
        maximum_records_per_subject: int = DEFAULT_MAXIMUM_RECORDS_PER_SUBJECT,
    ) -> None:
        """Create an empty store."""
        self._maximum_subjects = maximum_subjects
        self._maximum_records = maximum_records_per_subject
        self._records: OrderedDict[SubjectKey, list[DecisionRecord]] = OrderedDict()

    def add(self, record: DecisionRecord) -> None:
        """Keep a record, dropping the oldest ones over the bounds."""
        key = SubjectKey(record.subject_kind, record.subject_id)
        records = self._records.setdefault(key, [])
        records.append(record)
        self._records.move_to_end(key)
        if len(records) > self._maximum_records:
            del records[0]
        if len(self._records) > self._maximum_subjects:
            self._records.popitem(last=False)

    def find(self, kind: SubjectKind, subject_id: str) -> tuple[DecisionRecord, ...]:
        """Return the records of one subject, oldest first."""
        return tuple(self._records.get(SubjectKey(kind, subject_id), ()))
