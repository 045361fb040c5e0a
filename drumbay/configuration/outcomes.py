"""Results of operators' writes."""

from enum import StrEnum

import msgspec

from drumbay.identifiers import Revision


class WriteOutcome(StrEnum):
    """Outcome of a write as reported to the operator."""

    ACCEPTED = "accepted"
    """Committed, stored by a majority of the replicas, and applied on this node."""

    REFUSED = "refused"
    """Not committed, and never will be."""

    UNKNOWN_YET = "unknown_yet"
    """Not known yet; query the status with the operation identifier."""


class WriteResult(msgspec.Struct, frozen=True, kw_only=True):
    """Result of an operator's write.

    Attributes:
        outcome: The outcome.
        operation_id: Identifier to query the status with.
        committed_revision: Revision of the commit, if one is known.
        detail: Human-readable explanation.
    """

    outcome: WriteOutcome
    operation_id: str
    committed_revision: Revision | None = None
    detail: str = ""


def refused_result(operation_id: str, detail: str) -> WriteResult:
    """Return the result of a write that was not and will never be committed."""
    return WriteResult(outcome=WriteOutcome.REFUSED, operation_id=operation_id, detail=detail)


def unknown_result(operation_id: str, detail: str) -> WriteResult:
    """Return the result of a write whose outcome is not known yet."""
    return WriteResult(outcome=WriteOutcome.UNKNOWN_YET, operation_id=operation_id, detail=detail)
