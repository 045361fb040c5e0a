"""Reading back ends' answers: identity, typed errors and whole bodies."""

import msgspec

from drumbay.backends.interface import (
    AnswerMismatchError,
    BackendRefusedError,
    ExchangeBrokenError,
    StaleFenceError,
)
from drumbay.backends.transfer import HttpAnswer
from drumbay.backends.wire import REQUEST_ID_HEADER, RETRY_AFTER_HEADER, ErrorBody, ErrorDetail
from drumbay.exceptions import Execution
from drumbay.identifiers import AttemptId

HTTP_OK = 200
HTTP_NO_CONTENT = 204
HTTP_NOT_MODIFIED = 304
MAX_ERROR_BYTES = 64 << 10


def check_identity(answer: HttpAnswer, attempt_id: AttemptId) -> None:
    """Check that an answer names the attempt it was asked for.

    Raises:
        AnswerMismatchError: It names another one or none.
    """
    named = answer.headers.get(REQUEST_ID_HEADER, "")
    if named != attempt_id:
        raise AnswerMismatchError(f"sent attempt {attempt_id}, got {named!r}")


def check_delimited(answer: HttpAnswer) -> None:
    """Check that the end of the body can be told from a cut connection.

    Raises:
        ExchangeBrokenError: The body ends with the connection.
    """
    has_length = "Content-Length" in answer.headers or "Transfer-Encoding" in answer.headers
    if not has_length and answer.status not in (HTTP_NO_CONTENT, HTTP_NOT_MODIFIED):
        raise ExchangeBrokenError("the answer has no length")


def error_detail(body: bytes) -> ErrorDetail | None:
    """Return the typed error of a body, or ``None`` when it holds none."""
    try:
        return msgspec.json.decode(body, type=ErrorBody).error
    except msgspec.DecodeError:
        return None


def raise_if_refused(answer: HttpAnswer, detail: ErrorDetail | None) -> None:
    """Raise when the back end says that it did not run the request.

    Raises:
        BackendRefusedError: The back end's own answer says so.
    """
    if detail is not None and detail.run is Execution.NOT_RUN:
        raise BackendRefusedError(detail.code, retry_after_seconds(answer))


async def raise_for_status(answer: HttpAnswer) -> None:
    """Raise the failure that an answer stands for, if its status is not 200.

    Raises:
        BackendRefusedError: The request was not run.
        StaleFenceError: The engine has seen a newer fence.
        ExchangeBrokenError: Any other failure.
    """
    if answer.status == HTTP_OK:
        return
    detail = error_detail(await answer.body(MAX_ERROR_BYTES))
    raise_if_refused(answer, detail)
    if detail is not None and detail.code == StaleFenceError.code:
        raise StaleFenceError(detail.message)
    code = "" if detail is None else f" {detail.code}: {detail.message}"
    raise ExchangeBrokenError(f"status {answer.status}{code}")


def retry_after_seconds(answer: HttpAnswer) -> float | None:
    """Return the number of seconds in ``Retry-After``, or ``None``."""
    text = answer.headers.get(RETRY_AFTER_HEADER)
    if text is None:
        return None
    try:
        return max(float(text), 0.0)
    except ValueError:
        # NOTE: the date form of RFC 9110 is not used by our back ends.
        return None
