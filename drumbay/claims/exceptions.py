"""Errors of non-repeatable requests and of claim replicas."""

from drumbay.exceptions import DrumbayError, RequestFailedError


class KeyConflictError(RequestFailedError):
    """The idempotency key was used for another request; this one did not run."""

    code = "idempotency_key_conflict"
    http_status = 422


class RequestNotRunError(RequestFailedError):
    """The request did not run; it may be sent again with the same key."""

    code = "not_run"
    http_status = 503


class RequestInProgressError(RequestFailedError):
    """Another attempt with this key is in progress, or its outcome is unknown."""

    code = "in_progress_or_unknown"
    http_status = 409


class RequestUnresolvedError(RequestFailedError):
    """This attempt was not dispatched, but an earlier one could not be ruled out."""

    code = "earlier_attempt_unknown"
    http_status = 503


class RequestOutcomeUnknownError(RequestFailedError):
    """The exchange with the back end was interrupted; the request may have run."""

    code = "outcome_unknown"
    http_status = 502


class AnswerNotKeptError(RequestFailedError):
    """The request ran earlier, but its answer was too large to store for a replay."""

    code = "answer_not_kept"
    http_status = 410


class ReplicaError(DrumbayError):
    """A replica rejected a request of a dispatcher or of an epoch change."""

    code = "claim_replica"


class WrongStoreError(ReplicaError):
    """The request names another store, e.g. because the replica lost its disk."""

    code = "wrong_store"


class WrongEpochError(ReplicaError):
    """The request is not valid in the replica's current epoch."""

    code = "wrong_epoch"


class TableFullError(ReplicaError):
    """The replica has reached its limit of keys or bytes."""

    code = "claim_table_full"


class ReplicaNotReadyError(ReplicaError):
    """The replica's storage failed and has not been reopened."""

    code = "claim_replica_not_ready"
