"""Exit codes and error output of the command line."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from enum import IntEnum

import typer

from drumbay.exceptions import ConfigurationError, DrumbayError


class ExitCode(IntEnum):
    """Exit codes, documented in ``docs/OPERATIONS.md``."""

    SUCCESS = 0
    FAILED = 1
    INVALID_INPUT = 2
    REFUSED = 3
    UNKNOWN_OUTCOME = 4
    UNREACHABLE = 5


class ServerUnreachableError(DrumbayError):
    """The node named by ``--server`` did not respond.

    Attributes:
        may_have_run: Whether the request may have been sent.
    """

    code = "server_unreachable"

    def __init__(self, detail: str, *, may_have_run: bool = False) -> None:
        """Store the detail and whether the request may have been sent."""
        super().__init__(detail)
        self.may_have_run = may_have_run


class ServerRefusedError(DrumbayError):
    """The node rejected the operation.

    Attributes:
        remote_code: Error code that the node returned.
        may_have_run: Whether the operation may have been executed.
    """

    code = "server_refused"

    def __init__(self, remote_code: str, detail: str, *, may_have_run: bool = False) -> None:
        """Store the node's code and detail."""
        super().__init__(f"{remote_code}: {detail}")
        self.remote_code = remote_code
        self.may_have_run = may_have_run


class OutcomeUnknownError(DrumbayError):
    """A change was sent but got no response, so it may have been applied."""

    code = "outcome_unknown"

    def __init__(self, operation_id: str, detail: str) -> None:
        """Add the command that queries the outcome to the message."""
        super().__init__(f"{detail}; ask with: drumbay operation {operation_id}")
        self.operation_id = operation_id


def exit_code_for(error: DrumbayError) -> ExitCode:
    """Return the exit code for an error."""
    if isinstance(error, ConfigurationError):
        return ExitCode.INVALID_INPUT
    if isinstance(error, ServerRefusedError):
        return ExitCode.REFUSED
    if isinstance(error, OutcomeUnknownError):
        return ExitCode.UNKNOWN_OUTCOME
    if isinstance(error, ServerUnreachableError):
        return ExitCode.UNREACHABLE
    return ExitCode.FAILED


@contextmanager
def exit_on_error(echo: Callable[[str], None] | None = None) -> Iterator[None]:
    """Print an error of the block as one line and exit with its code."""
    try:
        yield
    except DrumbayError as error:
        line = f"error: {error.code}: {error}"
        if echo is None:
            typer.echo(line, err=True)
        else:
            echo(line)
        raise typer.Exit(exit_code_for(error)) from error
