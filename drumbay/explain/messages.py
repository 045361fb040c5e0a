"""Messages with which nodes query each other's decision records."""

from drumbay.comm.interface import Message
from drumbay.explain.records import DecisionRecord, SubjectKind


class ExplainRequest(Message, frozen=True, kw_only=True):
    """Requests the records of one subject."""

    subject_kind: SubjectKind
    subject_id: str


class ExplainReply(Message, frozen=True, kw_only=True):
    """The records of the responding node, oldest first."""

    records: tuple[DecisionRecord, ...]
