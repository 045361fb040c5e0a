"""Errors returned to the caller of a failed request; each states whether it may have run."""

from typing import ClassVar

from drumbay.backends.interface import BackendNotReachedError, BackendRefusedError
from drumbay.exceptions import Execution, RequestFailedError

NOT_READY_RETRY_AFTER_SECONDS = 1.0


NOT_RUN_ERRORS: tuple[type[Exception], ...] = (BackendNotReachedError, BackendRefusedError)
"""Errors of an attempt that guarantee that the request has not run."""


class NoRouteError(RequestFailedError):
    """No route matches the request."""

    code = "no_route"
    http_status: ClassVar[int] = 404


class InvalidRequestError(RequestFailedError):
    """The request is malformed."""

    code = "invalid_request"
    http_status: ClassVar[int] = 400


class NotFoundError(RequestFailedError):
    """The requested resource does not exist."""

    code = "not_found"
    http_status: ClassVar[int] = 404


class ConflictingWriteError(RequestFailedError):
    """The resource was modified concurrently; nothing was written."""

    code = "conflict"
    http_status: ClassVar[int] = 409


class PermissionDeniedError(RequestFailedError):
    """The token does not grant permission for this operation."""

    code = "permission_denied"
    http_status: ClassVar[int] = 403


class AuthenticationRequiredError(RequestFailedError):
    """The request has no valid bearer token."""

    code = "authentication_required"
    http_status: ClassVar[int] = 401


class NotReadyError(RequestFailedError):
    """This node has no configuration yet, or is shutting down."""

    code = "not_ready"


class OverloadedError(RequestFailedError):
    """A limit of the route is reached."""

    code = "overloaded"
    http_status: ClassVar[int] = 429


class NoBackendError(RequestFailedError):
    """No backend is eligible for the request."""

    code = "no_backend"


class BackendFailedError(RequestFailedError):
    """The last attempt on a backend failed; the request may have run."""

    code = "backend_failed"
    http_status: ClassVar[int] = 502


class RequestTimeoutError(RequestFailedError):
    """The request timed out."""

    code = "request_timeout"
    http_status: ClassVar[int] = 504


class NotOwnerError(RequestFailedError):
    """No node currently owns the stream."""

    code = "no_stream_owner"


class StaleBatchRefusedError(RequestFailedError):
    """The batch at this cursor contains weight versions older than the trainer accepts."""

    code = "stale_batch"
    http_status: ClassVar[int] = 410


def invalid_request_error(
    detail: str, retry_after_seconds: float | None = None
) -> InvalidRequestError:
    """Return the error of a malformed request."""
    return InvalidRequestError(
        detail, execution=Execution.NOT_RUN, retry_after_seconds=retry_after_seconds
    )


def no_route_error(detail: str, *, is_ready: bool) -> RequestFailedError:
    """Return the error for a request that matches no route.

    Args:
        detail: Message for the caller.
        is_ready: Whether this node has a configuration. Without one it has no routes, so the
            caller should retry.
    """
    if is_ready:
        return NoRouteError(detail, execution=Execution.NOT_RUN)
    return NotReadyError(
        "this node has no configuration yet",
        execution=Execution.NOT_RUN,
        retry_after_seconds=NOT_READY_RETRY_AFTER_SECONDS,
    )
