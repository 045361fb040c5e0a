"""An application client over HTTP."""

from drumbay.backends.answers import (
    check_delimited,
    check_identity,
    error_detail,
    raise_if_refused,
)
from drumbay.backends.connector import HttpCall, HttpConnector
from drumbay.backends.interface import ApplicationAnswer, ApplicationRequest, BackendAddress
from drumbay.backends.wire import IDEMPOTENCY_KEY_HEADER, REQUEST_ID_HEADER

DEFAULT_MAX_ANSWER_BYTES = 8 << 20
DEFAULT_CONTENT_TYPE = "application/octet-stream"
REFUSAL_STATUSES = (429, 503)
BODY_METHODS = ("POST", "PUT", "PATCH")


class HttpApplicationClient:
    """An :class:`~drumbay.backends.interface.ApplicationClient` over HTTP."""

    def __init__(
        self, connector: HttpConnector, max_answer_bytes: int = DEFAULT_MAX_ANSWER_BYTES
    ) -> None:
        """Create a client that takes answers of at most ``max_answer_bytes``."""
        self._connector = connector
        self._max_answer_bytes = max_answer_bytes

    async def exchange(
        self, server: BackendAddress, request: ApplicationRequest, *, timeout_seconds: float
    ) -> ApplicationAnswer:
        """Run one request and return its whole answer; see the interface."""
        has_body = bool(request.body) or request.method in BODY_METHODS
        answer = await self._connector.exchange(
            HttpCall(
                method=request.method,
                url=server.base_url + request.path,
                headers=_headers(request),
                body=request.body if has_body else None,
                timeout_seconds=timeout_seconds,
            )
        )
        try:
            check_identity(answer, request.attempt_id)
            check_delimited(answer)
            body = await answer.body(self._max_answer_bytes)
        finally:
            answer.abort()
        if answer.status in REFUSAL_STATUSES:
            raise_if_refused(answer, error_detail(body))
        return ApplicationAnswer(
            attempt_id=request.attempt_id,
            status=answer.status,
            body=body,
            content_type=answer.headers.get("Content-Type", DEFAULT_CONTENT_TYPE),
        )


def _headers(request: ApplicationRequest) -> dict[str, str]:
    headers = {
        REQUEST_ID_HEADER: request.attempt_id,
        "Content-Type": request.content_type,
    }
    if request.idempotency_key is not None:
        headers[IDEMPOTENCY_KEY_HEADER] = request.idempotency_key
    return headers
