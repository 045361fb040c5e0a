"""Messages by which one node asks another for its decision records."""

from drumbay.comm.interface import Message
from drumbay.explain.records import DecisionRecord, SubjectKind


class ExplainRequest(Message, frozen=True, kw_only=True):
    """Ask for the records of one subject."""

    subject_kind: SubjectKind
    subject_id: str


class ExplainReply(Message, frozen=True, kw_only=True):
    """The records that the asked node holds, oldest first."""

    records: tuple[DecisionRecord, ...]
