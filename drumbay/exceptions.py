"""The exception tree.

Every failure that drumbay raises is a subclass of :class:`DrumbayError`. Modules add
their own branches below the ones in this file; callers catch the branch they can handle.
"""

from enum import StrEnum
from typing import ClassVar


class Execution(StrEnum):
    """What is known about whether a failed request ran on a back end."""

    NOT_RUN = "not_run"
    """Proved: no back end has run it and none will."""

    MAY_HAVE_RUN = "may_have_run"
    """The first byte may have left towards a back end."""


class DrumbayError(Exception):
    """Root of every exception raised by drumbay.

    Attributes:
        code: Stable machine-readable name of the failure, unique in the tree.
    """

    code: ClassVar[str] = "internal"


class ConfigurationError(DrumbayError):
    """A settings file or an operators' resource is not valid."""

    code = "invalid_configuration"


class UnavailableError(DrumbayError):
    """A process or service that was needed could not be used."""

    code = "unavailable"


class DeadlineExceededError(UnavailableError):
    """An operation did not finish within its time limit."""

    code = "deadline_exceeded"


class RequestFailedError(DrumbayError):
    """A caller's request got its final answer without being served.

    Attributes:
        execution: Whether the request may have run.
        http_status: Status of the HTTP answer.
        retry_after_seconds: When the caller may come back; ``None`` if never.
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
        """Store the detail and what is known about the execution."""
        super().__init__(detail)
        self.detail = detail
        self.execution = execution
        self.retry_after_seconds = retry_after_seconds
