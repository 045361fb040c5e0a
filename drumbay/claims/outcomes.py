"""Outcomes of non-repeatable requests."""

from enum import StrEnum
from typing import ClassVar

import msgspec

from drumbay.claims.exceptions import (
    AnswerNotKeptError,
    KeyConflictError,
    RequestInProgressError,
    RequestNotRunError,
    RequestOutcomeUnknownError,
    RequestUnresolvedError,
)
from drumbay.claims.records import StoredAnswer
from drumbay.exceptions import Execution, RequestFailedError
from drumbay.identifiers import AttemptId


class ClaimFailure(StrEnum):
    """Why a request has no answer."""

    NOT_RUN = "not_run"
    """Abandoned before the dispatch, and no earlier attempt has run."""

    BACKEND_NOT_RUN = "backend_not_run"
    """The dispatch failed in a way that proves that the back end did not run it."""

    KEY_CONFLICT = "key_conflict"
    """The key was used for another request."""

    IN_PROGRESS = "in_progress"
    """Another attempt at the key is in progress, or its outcome is unknown."""

    UNRESOLVED = "unresolved"
    """Not dispatched, but too few replicas voted to rule out an earlier attempt."""

    OUTCOME_UNKNOWN = "outcome_unknown"
    """Dispatched, and the exchange was interrupted."""

    ANSWER_NOT_KEPT = "answer_not_kept"
    """It ran earlier, but the answer was too large to store."""


class ClaimAnswered(msgspec.Struct, frozen=True, kw_only=True):
    """The request ran and was answered.

    Attributes:
        answer: The answer of the back end.
        attempt_id: The attempt that ran.
        replayed: Whether the answer was stored by an earlier attempt.
    """

    answer: StoredAnswer
    attempt_id: AttemptId
    replayed: bool


class ClaimFailed(msgspec.Struct, frozen=True, kw_only=True):
    """The request has no answer.

    Attributes:
        failure: The reason.
        retry_after_seconds: When the caller may retry with the same key; ``None`` if a
            retry cannot succeed.
        cause: The error of the dispatch, if there was one.
    """

    failure: ClaimFailure
    retry_after_seconds: float | None = None
    cause: Exception | None = None

    _NOT_RUN: ClassVar[tuple[ClaimFailure, ...]] = (
        ClaimFailure.NOT_RUN,
        ClaimFailure.BACKEND_NOT_RUN,
        ClaimFailure.KEY_CONFLICT,
    )

    @property
    def execution(self) -> Execution:
        """Return whether the request of this key may have run."""
        if self.failure in self._NOT_RUN:
            return Execution.NOT_RUN
        return Execution.MAY_HAVE_RUN

    def to_error(self) -> RequestFailedError:
        """Return the exception to report to the caller."""
        error_type = _ERROR_TYPES[self.failure]
        return error_type(
            self.failure.value,
            execution=self.execution,
            retry_after_seconds=self.retry_after_seconds,
        )


ClaimOutcome = ClaimAnswered | ClaimFailed

_ERROR_TYPES: dict[ClaimFailure, type[RequestFailedError]] = {
    ClaimFailure.NOT_RUN: RequestNotRunError,
    ClaimFailure.BACKEND_NOT_RUN: RequestNotRunError,
    ClaimFailure.KEY_CONFLICT: KeyConflictError,
    ClaimFailure.IN_PROGRESS: RequestInProgressError,
    ClaimFailure.UNRESOLVED: RequestUnresolvedError,
    ClaimFailure.OUTCOME_UNKNOWN: RequestOutcomeUnknownError,
    ClaimFailure.ANSWER_NOT_KEPT: AnswerNotKeptError,
}
