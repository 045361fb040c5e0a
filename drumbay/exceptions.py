"""The base classes of the exception hierarchy.

Every exception that drumbay raises derives from :class:`DrumbayError`. Modules derive their own
exceptions from the classes here.
"""

from enum import StrEnum
from typing import ClassVar


class Execution(StrEnum):
    """Whether a failed request ran on a backend."""

    NOT_RUN = "not_run"
    """No backend has run the request, and none will."""

    MAY_HAVE_RUN = "may_have_run"
    """A part of the request may have been sent to a backend."""


class DrumbayError(Exception):
    """Base class of every exception raised by drumbay.

    Attributes:
        code: Stable machine-readable error code, unique in the hierarchy.
    """

    code: ClassVar[str] = "internal"


class ConfigurationError(DrumbayError):
    """A settings file or an operators' resource is not valid."""

    code = "invalid_configuration"


class UnavailableError(DrumbayError):
    """A required process or service is unavailable."""

    code = "unavailable"


class DeadlineExceededError(UnavailableError):
    """An operation did not finish before its deadline."""

    code = "deadline_exceeded"


class RequestFailedError(DrumbayError):
    """A caller's request failed.

    Attributes:
        execution: Whether the request may have run.
        http_status: Status code of the HTTP response.
        retry_after_seconds: Delay after which to retry; ``None`` if a retry does not help.
    """

    code = "request_failed"
    http_status: ClassVar[int] = 503

    def __init__(
        self,
        detail: str,
        *,
        execution: Execution,
        retry_after_seconds: float | None = None,
    ) -> None:
        """Store the detail, the execution state and the retry delay."""
        super().__init__(detail)
        self.detail = detail
        self.execution = execution
        self.retry_after_seconds = retry_after_seconds
