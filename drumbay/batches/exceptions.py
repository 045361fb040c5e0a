"""Exceptions of batch jobs."""

from drumbay.exceptions import DrumbayError, RequestFailedError, UnavailableError


class BatchError(DrumbayError):
    """Base class of errors in calls about a batch job."""

    code = "batch"


class BatchNotFoundError(BatchError):
    """The batch job or item does not exist in the store."""

    code = "batch_not_found"


class BatchEndedError(BatchError):
    """The batch job has ended: it accepts no results and serves no item bodies."""

    code = "batch_ended"


class BatchMovedError(BatchError):
    """Another node owns the batch job now."""

    code = "batch_moved"


class BatchInvalidError(BatchError):
    """The submission is not a valid batch job."""

    code = "batch_invalid"


class BatchUnavailableError(UnavailableError):
    """Neither the owner nor the store answered."""

    code = "batch_unavailable"


class BatchNotDelegatedError(BatchUnavailableError):
    """No node in the allowed regions of a batch job did what this node may not do with it."""

    code = "batch_not_delegated"


class BatchRefusedError(RequestFailedError):
    """The batch job was not accepted."""

    code = "batch_refused"


class BatchWithoutRegionError(BatchRefusedError):
    """No region is allowed both by the route and by the tenant of the batch job."""

    code = "batch_without_region"


class BatchOutcomeUnknownError(RequestFailedError):
    """The store did not confirm in time whether it accepted the batch job."""

    code = "batch_outcome_unknown"
    http_status = 504
