"""What an operator is told about a write."""

from enum import StrEnum

import msgspec

from drumbay.identifiers import Revision


class WriteOutcome(StrEnum):
    """What an operator is told about a write."""

    ACCEPTED = "accepted"
    """Committed, stored by a majority of the replicas, and in force on this node."""

    REFUSED = "refused"
    """Certainly not committed, now or later."""

    UNKNOWN_YET = "unknown_yet"
    """Ask again with the operation identifier."""


class WriteResult(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome of an operator's write.

    Attributes:
        outcome: What is known.
        operation_id: Identifier to ask again with.
        committed_revision: Revision of the commit, if it is known to have happened.
        detail: One sentence for a person.
    """

    outcome: WriteOutcome
    operation_id: str
    committed_revision: Revision | None = None
    detail: str = ""


def refused(operation_id: str, detail: str) -> WriteResult:
    """Return the result of a write that certainly has no effect."""
    return WriteResult(outcome=WriteOutcome.REFUSED, operation_id=operation_id, detail=detail)


def unknown_yet(operation_id: str, detail: str) -> WriteResult:
    """Return the result of a write that must be asked about again."""
    return WriteResult(outcome=WriteOutcome.UNKNOWN_YET, operation_id=operation_id, detail=detail)
