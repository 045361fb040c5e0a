"""Validation of backend responses: attempt id, typed errors and body framing."""

import msgspec

from drumbay.backends.interface import (
    BackendRefusedError,
    ExchangeBrokenError,
    ResponseMismatchError,
    StaleFenceError,
)
from drumbay.backends.transfer import StreamedResponse
from drumbay.backends.wire import REQUEST_ID_HEADER, RETRY_AFTER_HEADER, ErrorBody, ErrorDetail
from drumbay.exceptions import Execution
from drumbay.identifiers import AttemptId

HTTP_OK = 200
HTTP_NO_CONTENT = 204
HTTP_NOT_MODIFIED = 304
MAX_ERROR_BYTES = 64 << 10


def check_attempt_id(response: StreamedResponse, attempt_id: AttemptId) -> None:
    """Check that the response carries the id of the attempt it was requested for.

    Raises:
        ResponseMismatchError: The id is missing or differs.
    """
    received_id = response.headers.get(REQUEST_ID_HEADER, "")
    if received_id != attempt_id:
        raise ResponseMismatchError(f"sent attempt {attempt_id}, got {received_id!r}")


def check_body_framing(response: StreamedResponse) -> None:
    """Check that the body has framing, so that truncation can be detected.

    Raises:
        ExchangeBrokenError: The body is delimited only by the end of the connection.
    """
    is_framed = "Content-Length" in response.headers or "Transfer-Encoding" in response.headers
    if not is_framed and response.status not in (HTTP_NO_CONTENT, HTTP_NOT_MODIFIED):
        raise ExchangeBrokenError("the answer has no length")


def decode_error_detail(body: bytes) -> ErrorDetail | None:
    """Return the typed error in a body, or ``None`` if the body is not one."""
    try:
        return msgspec.json.decode(body, type=ErrorBody).error
    except msgspec.DecodeError:
        return None


def raise_if_not_run(response: StreamedResponse, detail: ErrorDetail | None) -> None:
    """Raise if the typed error states that the request did not run.

    Raises:
        BackendRefusedError: The backend did not run the request.
    """
    if detail is not None and detail.run is Execution.NOT_RUN:
        raise BackendRefusedError(detail.code, retry_after_seconds(response))


async def raise_for_status(response: StreamedResponse) -> None:
    """Raise the error for a response whose status is not 200.

    Raises:
        BackendRefusedError: The backend did not run the request.
        StaleFenceError: The engine has seen a newer fencing token.
        ExchangeBrokenError: Any other failure.
    """
    if response.status == HTTP_OK:
        return
    detail = decode_error_detail(await response.body(MAX_ERROR_BYTES))
    raise_if_not_run(response, detail)
    if detail is not None and detail.code == StaleFenceError.code:
        raise StaleFenceError(detail.message)
    error_text = "" if detail is None else f" {detail.code}: {detail.message}"
    raise ExchangeBrokenError(f"status {response.status}{error_text}")


def retry_after_seconds(response: StreamedResponse) -> float | None:
    """Return the seconds given in ``Retry-After``, or ``None``."""
    text = response.headers.get(RETRY_AFTER_HEADER)
    if text is None:
        return None
    try:
        return max(float(text), 0.0)
    except ValueError:
        # The HTTP-date form of RFC 9110 is not supported.
        return None
