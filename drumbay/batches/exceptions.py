"""Failures of batch jobs."""

from drumbay.exceptions import DrumbayError, RequestFailedError, UnavailableError


class BatchError(DrumbayError):
    """A call about a batch job was not served."""

    code = "batch"


class BatchNotFoundError(BatchError):
    """The store holds no such batch job or item."""

    code = "batch_not_found"


class BatchEndedError(BatchError):
    """The batch job has ended: it takes no results and gives no bodies."""

    code = "batch_ended"


class BatchMovedError(BatchError):
    """Another node owns the batch job now."""

    code = "batch_moved"


class BatchInvalidError(BatchError):
    """The submission is not a batch job."""

    code = "batch_invalid"


class BatchUnavailableError(UnavailableError):
    """Neither the owner nor the store answered; nothing can be said for sure."""

    code = "batch_unavailable"


class BatchRefusedError(RequestFailedError):
    """The batch job was not accepted."""

    code = "batch_refused"


class BatchOutcomeUnknownError(RequestFailedError):
    """The store may have taken the batch job, but did not say so in time."""

    code = "batch_outcome_unknown"
    http_status = 504
