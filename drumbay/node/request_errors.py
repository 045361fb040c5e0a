"""Maps errors of internal services to the errors returned to callers."""

from drumbay.comm.interface import RemoteFailureError
from drumbay.delivery import exceptions as delivery
from drumbay.exceptions import DrumbayError, Execution, RequestFailedError
from drumbay.requests.errors import (
    InvalidRequestError,
    NotOwnerError,
    StaleBatchRefusedError,
)

RETRY_AFTER_SECONDS = 1.0

_STALE_CODES = (delivery.StaleBatchError.code,)
_INVALID_CODES = (
    delivery.CursorAheadError.code,
    delivery.CursorTrimmedError.code,
    delivery.StepOutOfOrderError.code,
)


def stream_request_error(error: DrumbayError) -> RequestFailedError:
    """Return the error for a trainer whose stream request failed.

    Stream requests are idempotent, so the trainer may retry one whose outcome is unknown.
    """
    code = error.remote_code if isinstance(error, RemoteFailureError) else error.code
    if code in _STALE_CODES:
        return StaleBatchRefusedError(str(error), execution=Execution.NOT_RUN)
    if code in _INVALID_CODES:
        return InvalidRequestError(str(error), execution=Execution.NOT_RUN)
    return NotOwnerError(
        str(error),
        execution=Execution.MAY_HAVE_RUN,
        retry_after_seconds=RETRY_AFTER_SECONDS,
    )
